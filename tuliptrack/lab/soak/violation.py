"""The violation of a soak's invariant."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True)
class Violation:
    """An invariant that did not hold."""

    rule: str
    request: str
    text: str
