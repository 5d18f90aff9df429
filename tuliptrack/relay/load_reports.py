"""Reads the load reports of engines: a JSON object in a header field or in a comment of an event stream."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any

__all__ = ["REPORT_FIELD", "parse_load_report"]

REPORT_FIELD = "x-load-report"
MAX_REPORTED_VALUE = 1e9
"""A greater value is taken for a mistake: counts, shares and seconds stay far below."""


def parse_load_report(text: str | bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a report in the order of `names`; an empty tuple where it cannot be used.

    A value that is missing counts as 0.
    """
    try:
        report = json.loads(text)
    except (ValueError, RecursionError):
        return ()
    if not isinstance(report, Mapping):
        return ()
    values = tuple(report.get(name, 0.0) for name in names)
    return tuple(float(value) for value in values) if all(map(_is_valid, values)) else ()


def _is_valid(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value < MAX_REPORTED_VALUE
