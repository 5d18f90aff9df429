"""The parts of a client's request that are forwarded to engines."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.rpc.h1 import Fields

__all__ = ["ForwardedRequest"]


@dataclass(slots=True)
class ForwardedRequest:
    """A client's request as it is forwarded to engines, unchanged."""

    method: str
    target: str
    body: bytes
    """The request's body; emptied once the answer has started or the request has ended, since no further
    attempt will need it."""
    fields: Fields
    """The header fields that are forwarded."""
