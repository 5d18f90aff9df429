"""Parses load reports of engines: a JSON object in a header field or in a comment of an event stream.

Reports are advisory: an unusable report is ignored and does not affect the answer that it came with.
"""

from __future__ import annotations

from collections.abc import Mapping

from tuliptrack.rpc.json_text import InvalidJsonError, is_number_within, parse_json

__all__ = ["REPORT_FIELD", "parse_load_report"]

REPORT_FIELD = "x-load-report"
MAX_REPORTED_VALUE = 1e9
"""Value at and above which a reported value is treated as invalid: counts, shares and seconds stay far
below."""


def parse_load_report(text: str | bytes, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values of a report in the order of `names`; an empty tuple if it cannot be used.

    A value that is missing counts as 0.
    """
    try:
        report = parse_json(text)
    except InvalidJsonError:
        return ()
    if not isinstance(report, Mapping):
        return ()
    values = tuple(report.get(name, 0.0) for name in names)
    is_usable = all(is_number_within(value, 0, MAX_REPORTED_VALUE) for value in values)
    is_usable = is_usable and MAX_REPORTED_VALUE not in values
    return tuple(float(value) for value in values) if is_usable else ()
