"""The error of this package, and the lookup that raises it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

__all__ = ["WireError", "lookup"]

T = TypeVar("T")


class WireError(Exception):
    """A frame, record or settings text that cannot be decoded; the message says what is wrong and where."""


def lookup(table: Mapping[Any, T], code: object, field: str) -> T:
    """Return the value for a code of the protocol.

    Raises:
        WireError: the code is unknown; the message names the field.
    """
    try:
        return table[code]
    except KeyError:
        raise WireError(f"{field}: unknown value {code!r}") from None
