"""The error of this package, and the lookup that raises it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

__all__ = ["WireError", "lookup"]

T = TypeVar("T")


class WireError(Exception):
    """A frame, record or settings text that cannot be understood; its text says what and where."""


def lookup(table: Mapping[Any, T], code: object, what: str) -> T:
    """Return what a code of the protocol stands for; WireError names the field (`what`) if it is unknown."""
    try:
        return table[code]
    except KeyError:
        raise WireError(f"{what}: unknown value {code!r}") from None
