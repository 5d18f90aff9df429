"""Unusable numbers that engines report beside their answers: load reports, usage and cached tokens.

The tests guard against an engine's complete answer being discarded because such a number raises an error. An engine
with a faulty counter would be out of service for every node at once.
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
from relay_harness import (
    FINAL_EVENTS,
    STREAM,
    STREAM_HEAD,
    TOKEN_EVENTS,
    ReceivedRequest,
    Script,
    answer_prefill,
    chunk,
    platform,
)
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
    """Return a decode engine whose answer is complete, with this head and these chunks."""

    async def script(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "DELETE":
            await answer_prefill(received, writer)
            return
        writer.write(opening)
        for part in parts:
            writer.write(chunk(part))
        writer.write(b"0\r\n\r\n")

    return script


def prefill_with(head: bytes, body: bytes) -> Script:
    """Return a prefill engine whose answer has this header line and this body."""

    async def script(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "DELETE":
            await answer_prefill(received, writer)
            return
        writer.write(b"HTTP/1.1 202 Accepted\r\n%bcontent-length: %d\r\n\r\n%b" % (head, len(body), body))

    return script


@pytest.mark.parametrize("number", HOSTILE_NUMBERS.values(), ids=HOSTILE_NUMBERS)
def test_an_answer_with_an_unusable_load_report_is_served(number: str) -> None:
    """Both engines send the load report in the head, and the decode engine also sends it in a comment of its
    stream."""
    report = f'{{"inflight":{number},"x0":0.5}}'
    head = f"x-load-report: {report}\r\n".encode()
    opening = STREAM_HEAD.replace(b"\r\n", b"\r\n" + head, 1)
    comment = f": X-Load-Report: {report}\n\n".encode()

    async def go() -> None:
        prefill = prefill_with(head, b'{"cached_tokens":3}')
        async with platform(r0=prefill, w0=decode_with(opening, *TOKEN_EVENTS, *FINAL_EVENTS, comment)) as p:
            for _ in range(3):
                reply = await p.send_request()
                assert (reply.status, reply.is_complete, reply.body) == (200, True, STREAM)
            assert len(p.engines["w0"].received()) == 3
            assert p.relay.counters.as_dict()["load_reports_ignored"] == 9

    run(go, virtual=True)


@pytest.mark.parametrize("number", HOSTILE_NUMBERS.values(), ids=HOSTILE_NUMBERS)
def test_an_answer_with_unusable_token_counts_is_served(number: str) -> None:
    """The counts are the cached tokens of the prefill engine's answer, and the usage at the end of the decode
    engine's stream."""
    usage = (
        f'{{"usage":{{"prompt_tokens_details":{{"cached_tokens":{number}}},"completion_tokens":{number}}}}}'
    )
    event = f"data: {usage}\n\n".encode()
    decode = decode_with(STREAM_HEAD, *TOKEN_EVENTS, event, *FINAL_EVENTS)

    async def go() -> None:
        prefill = prefill_with(b"", f'{{"cached_tokens":{number}}}'.encode())
        async with platform(r0=prefill, w0=decode) as p:
            reply = await p.send_request()
            assert (reply.status, reply.is_complete) == (200, True) and event in reply.body
            assert len(p.engines["w0"].received()) == 1

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
    except (
        ValueError,
        RecursionError,
    ):  # json.dumps cannot write such values; the tests above send them as text.
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
