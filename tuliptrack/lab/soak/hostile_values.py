"""Values that JSON allows in lists and answers, but that code reading numbers and names may not expect."""

from __future__ import annotations

__all__ = ["HOSTILE_ENTRIES", "HOSTILE_NUMBERS", "hostile_headers", "hostile_usage"]

HOSTILE_NUMBERS = ("1" + "0" * 400, "9" * 5_000, "1e999", "NaN", "-1", "[" * 2_000 + "]" * 2_000)
"""As JSON text: too large for a float, beyond Python's limit on digits, infinite, not a number, negative, deeply
nested.
"""
_FIELDS = ("size", "up_since_ms", "cell")
_ENTRY = '{"id":"hostile","host_port":"127.0.0.1:9","locality":"z","flavor":"reads","cell":1,"phase":"Ready","size":1.0'
HOSTILE_ENTRIES = (
    *(f'{_ENTRY},"{field}":{number}}}' for field in _FIELDS for number in HOSTILE_NUMBERS),
    _ENTRY.replace("hostile", r"\ud800") + "}",
    _ENTRY.replace(":9", ":" + "9" * 5_000) + "}",
    "7",
    "null",
)
"""Entries of a list, as JSON text, none of which can be used. Where a member's name comes twice, the last one
counts.
"""


def hostile_headers(turn: int) -> list[tuple[str, str]]:
    """Return head fields with an unusable load report."""
    return [("x-load-report", f'{{"inflight":{_number(turn)},"x0":0.5}}')]


def hostile_usage(turn: int) -> bytes:
    """Return a comment with an unusable load report and an event with unusable token counts."""
    number = _number(turn)
    usage = f'{{"prompt_tokens_details":{{"cached_tokens":{number}}},"completion_tokens":{number}}}'
    report = f': X-Load-Report: {{"inflight":{number},"x0":0.5}}'
    return f'{report}\n\ndata: {{"choices":[],"usage":{usage}}}\n\n'.encode()


def _number(turn: int) -> str:
    return HOSTILE_NUMBERS[turn % len(HOSTILE_NUMBERS)]
