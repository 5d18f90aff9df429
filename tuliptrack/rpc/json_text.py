"""Parses JSON text from outside the process; any unusable text raises the same error.

Python's parser raises errors of other types for text that is nested too deeply and for integers with too many
digits. A caller that expects only `json.JSONDecodeError` would fail with them, or reject a complete message
for one number that it does not use. Here such an integer becomes an infinity, which no range contains.
"""

from __future__ import annotations

import json
import math
from typing import Any

__all__ = ["InvalidJsonError", "is_number_within", "parse_json"]

MAX_REASON_CHARACTERS = 200


class InvalidJsonError(ValueError):
    """The text is not valid JSON, or is nested too deeply."""


def parse_json(text: str | bytes) -> Any:
    """Return the value of a JSON text.

    Integers beyond Python's limit on digits become infinities.

    Raises:
        InvalidJsonError: The text is not valid JSON, or is nested too deeply.
    """
    try:
        return _load(text)
    except InvalidJsonError:
        raise
    except ValueError:  # An integer exceeds the limit on digits, which has no exception type of its own.
        return _load(text, parse_int=_integer_or_infinity)


def is_number_within(value: object, minimum: float, maximum: float) -> bool:
    """Return whether a value of unchecked JSON is a number from `minimum` to `maximum`; booleans are not.

    The value is not converted before the comparison, so integers of any size are compared exactly.
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
