"""What engines get of a client's request."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.rpc.h1 import Fields

__all__ = ["ForwardedRequest"]


@dataclass(slots=True)
class ForwardedRequest:
    """A client's request as it arrived, which engines get unchanged."""

    method: str
    target: str
    body: bytes
    """Empty once the answer has started, as no engine needs it any more."""
    fields: Fields
    """The header fields that are forwarded."""
