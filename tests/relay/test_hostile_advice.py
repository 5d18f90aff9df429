"""Advice of engines that cannot be used: load reports, usage and cached tokens.

Failure: an engine answers in full, and its answer is thrown away since a number beside it raises an error. An
engine whose counter goes wrong would be out of service for every node at once.
"""

from __future__ import annotations

import asyncio
import json
import math
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import settings as examples
from json_values import BEYOND_FLOATS, any_json
from relay_world import LAST, OPENING, STREAM, TOKENS, Script, Seen, chunk, platform, reads
from world import run

from tuliptrack.relay.event_stream import EventStream, StreamUsage
from tuliptrack.relay.load_reports import parse_load_report

HOSTILE_NUMBERS = {
    "beyond floats": "1" + "0" * 400,
    "beyond the limit on digits": "9" * 5_000,
    "infinite": "1e999",
    "not a number": "NaN",
    "negative": "-1",
    "nested deeply": "[" * 5_000 + "]" * 5_000,
}
NAMES = ("inflight", "x0")
MAX_TOKENS = 2**31


def decode_with(opening: bytes, *parts: bytes) -> Script:
    """A decode engine whose answer is complete, with this head and these parts."""

    async def script(one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            await reads(one, writer)
            return
        writer.write(opening)
        for part in parts:
            writer.write(chunk(part))
        writer.write(b"0\r\n\r\n")

    return script


def prefill_with(head: bytes, body: bytes) -> Script:
    """A prefill engine whose answer has this line in its head, and this body."""

    async def script(one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            await reads(one, writer)
            return
        writer.write(b"HTTP/1.1 202 Accepted\r\n%bcontent-length: %d\r\n\r\n%b" % (head, len(body), body))

    return script


@pytest.mark.parametrize("number", HOSTILE_NUMBERS.values(), ids=HOSTILE_NUMBERS)
def test_a_load_report_that_cannot_be_used_costs_no_answer(number: str) -> None:
    """Both engines send it in the head, and the decode engine in a comment of its stream too."""
    report = f'{{"inflight":{number},"x0":0.5}}'
    head = f"x-load-report: {report}\r\n".encode()
    opening = OPENING.replace(b"\r\n", b"\r\n" + head, 1)
    comment = f": X-Load-Report: {report}\n\n".encode()

    async def go() -> None:
        prefill = prefill_with(head, b'{"cached_tokens":3}')
        async with platform(r0=prefill, w0=decode_with(opening, *TOKENS, *LAST, comment)) as p:
            for _ in range(3):
                reply = await p.ask()
                assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)
            assert len(p.engines["w0"].asked()) == 3
            assert p.relay.counters.as_dict()["load_reports_ignored"] == 9

    run(go, virtual=True)


@pytest.mark.parametrize("number", HOSTILE_NUMBERS.values(), ids=HOSTILE_NUMBERS)
def test_token_counts_that_cannot_be_used_cost_no_answer(number: str) -> None:
    """The prefill engine's cached tokens, and the usage at the end of the decode engine's stream."""
    usage = (
        f'{{"usage":{{"prompt_tokens_details":{{"cached_tokens":{number}}},"completion_tokens":{number}}}}}'
    )
    event = f"data: {usage}\n\n".encode()
    decode = decode_with(OPENING, *TOKENS, event, *LAST)

    async def go() -> None:
        prefill = prefill_with(b"", f'{{"cached_tokens":{number}}}'.encode())
        async with platform(r0=prefill, w0=decode) as p:
            reply = await p.ask()
            assert (reply.status, reply.whole) == (200, True) and event in reply.body
            assert len(p.engines["w0"].asked()) == 1

    run(go, virtual=True)


@given(value=any_json, other=any_json)
@example(BEYOND_FLOATS, 1)
@examples(max_examples=200, deadline=None, derandomize=True)
def test_any_report_has_finite_numbers_or_none(value: Any, other: Any) -> None:
    values = _read_report({"inflight": value, "x0": other}) or _read_report(value)
    assert all(math.isfinite(one) and one >= 0 for one in values)
    assert len(values) in (0, len(NAMES))


def _read_report(report: Any) -> tuple[float, ...]:
    try:
        text = json.dumps(report)
    except (ValueError, RecursionError):  # Python writes no such text; the tests above have them as text.
        return ()
    return parse_load_report(text, NAMES)


@given(cached=any_json, output=any_json)
@example(1, BEYOND_FLOATS)
@examples(max_examples=200, deadline=None, derandomize=True)
def test_any_usage_is_a_count_or_none(cached: Any, output: Any) -> None:
    found: list[StreamUsage] = []
    usage = {"prompt_tokens_details": {"cached_tokens": cached}, "completion_tokens": output}
    try:
        event = b"data: " + json.dumps({"usage": usage}).encode() + b"\n\n"
    except (ValueError, RecursionError):
        return
    assert EventStream(NAMES, found.append).feed(event) == event
    for one in found:
        assert 0 <= one.cached_tokens <= MAX_TOKENS
        assert one.output_tokens is None or 0 <= one.output_tokens <= MAX_TOKENS
