"""Parses JSON text from outside the process; any unusable text raises the same error.

Python's parser raises errors of other types for text that is nested too deeply and for integers with too many
digits. A caller that expects only `json.JSONDecodeError` would fail with them, or reject a complete message
for one number that it does not use. Here such an integer becomes an infinity, which no range contains, and
`parse_json_pruned` replaces values that are nested too deeply.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

__all__ = ["InvalidJsonError", "is_number_within", "parse_json", "parse_json_pruned"]

MAX_REASON_CHARACTERS = 200
MAX_DEPTH = 64
"""Number of levels that remain of a text that is nested too deeply."""
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
"""A string, or the begin or the end of an array or an object. A string without an end reaches to the end of the
text, so that it is searched once."""


class InvalidJsonError(ValueError):
    """The text is not valid JSON, or is nested too deeply."""


class NestedTooDeeplyError(InvalidJsonError):
    """The text is nested too deeply for Python's parser, whose limit depends on its version."""


def parse_json_pruned(text: str | bytes) -> Any:
    """Return the value of a JSON text; of one that is nested too deeply, deep values are replaced by None.

    Raises:
        InvalidJsonError: The text is not valid JSON.
    """
    try:
        return parse_json(text)
    except NestedTooDeeplyError:
        if isinstance(text, bytes):
            text = text.decode(json.detect_encoding(text), "surrogatepass")  # As `json.loads` has done.
        return parse_json(_prune(text))


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
    except RecursionError as error:
        raise NestedTooDeeplyError(str(error)[:MAX_REASON_CHARACTERS]) from None
    except (json.JSONDecodeError, UnicodeDecodeError, MemoryError) as error:
        reason = str(error) or type(error).__name__
        raise InvalidJsonError(reason[:MAX_REASON_CHARACTERS]) from None


def _prune(text: str) -> str:
    """Return a text with `null` in place of each array and object below `MAX_DEPTH` levels."""
    parts: list[str] = []
    depth, rest_from = 0, 0
    for token in _TOKEN.finditer(text):
        if token[0] in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts.append(text[rest_from : token.start()])
        elif token[0] in "]}":
            depth -= 1
            if depth == MAX_DEPTH:
                parts.append("null")
                rest_from = token.end()
    if depth <= MAX_DEPTH:
        parts.append(text[rest_from:])
    return "".join(parts)


def _integer_or_infinity(digits: str) -> int | float:
    try:
        return int(digits)
    except ValueError:
        return -math.inf if digits.startswith("-") else math.inf
