"""Reads JSON text from outside the process; text that is unusable in any way raises one error.

Failure: Python's reader raises errors of other kinds for nesting that is too deep and for whole numbers with
too many digits. A caller that expects a `ValueError` about JSON alone would end with them, and refuse a whole
message for one number that nobody reads. Here such a number becomes an infinity, which no range contains.
"""

from __future__ import annotations

import json
import math
from typing import Any

__all__ = ["InvalidJsonError", "is_number_within", "parse_json"]

MAX_REASON_CHARACTERS = 200


class InvalidJsonError(ValueError):
    """A text that is no JSON, or is nested too deeply."""


def parse_json(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Whole numbers beyond Python's limit on digits become infinities.

    Raises:
        InvalidJsonError: It is no JSON that can be read.
    """
    try:
        return _load(text)
    except InvalidJsonError:
        raise
    except ValueError:  # The limit on digits, which has no type of its own.
        return _load(text, parse_int=_integer_or_infinity)


def is_number_within(value: object, minimum: float, maximum: float) -> bool:
    """Return whether a value of unchecked JSON is a number from `minimum` to `maximum`; a boolean is none.

    No conversion takes place before the comparison, so a whole number of any size is compared exactly.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return minimum <= value <= maximum


def _load(text: str | bytes, **options: Any) -> Any:
    try:
        return json.loads(text, **options)
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError, MemoryError) as error:
        reason = str(error) or type(error).__name__
        raise InvalidJsonError(reason[:MAX_REASON_CHARACTERS]) from None


def _integer_or_infinity(digits: str) -> int | float:
    try:
        return int(digits)
    except ValueError:
        return -math.inf if digits.startswith("-") else math.inf
