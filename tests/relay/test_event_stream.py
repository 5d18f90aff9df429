"""Event streams and load reports of engines, well-formed and malformed, in pieces of any size."""

from __future__ import annotations

import pytest

from tuliptrack.relay.event_stream import MAX_EVENT_BYTES, EventStream, MalformedStreamError, StreamUsage
from tuliptrack.relay.load_reports import parse_load_report

NAMES = ("in_flight", "memory")
EVENTS = b'data: {"a": 1}\n\ndata: {"b": 2}\n\n'
FINAL_EVENT = b"data: [DONE]\n\n"
USAGE = b'data: {"usage": {"completion_tokens": 7, "prompt_tokens_details": {"cached_tokens": 4}}}\n\n'


def new_stream(usages: list[StreamUsage] | None = None) -> EventStream:
    return EventStream(NAMES, (usages if usages is not None else []).append)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1_000])
def test_events_arrive_unchanged_in_pieces_of_any_size_and_comments_do_not(size: int) -> None:
    usages: list[StreamUsage] = []
    stream = new_stream(usages)
    sent = b': X-Load-Report: {"in_flight": 2}\n\n' + EVENTS + b": ping\n\n" + USAGE + FINAL_EVENT
    pieces = [sent[start : start + size] for start in range(0, len(sent), size)]
    assert b"".join(stream.feed(piece) for piece in pieces) == EVENTS + USAGE + FINAL_EVENT
    assert stream.is_complete and stream.load_report == (2.0, 0.0)
    assert usages == [StreamUsage(cached_tokens=4, output_tokens=7)]


def test_a_stream_with_bytes_after_its_last_event_is_incomplete() -> None:
    """The engine breaks the stream off within an event that follows the event marking the end."""
    stream = new_stream()
    stream.feed(EVENTS)
    assert not stream.is_complete
    stream.feed(FINAL_EVENT)
    assert stream.is_complete
    stream.feed(b"data: x")
    assert not stream.is_complete


def test_an_invalid_report_or_count_leaves_the_last_valid_one() -> None:
    usages: list[StreamUsage] = []
    stream = new_stream(usages)
    stream.feed(b': x-load-report: {"memory": 0.5}\n\n: x-load-report: nonsense\n\n')
    assert stream.load_report == (0.0, 0.5)
    assert stream.feed(b'data: {"usage": 3}\n\n') == b'data: {"usage": 3}\n\n'
    stream.feed(b'data: {"usage": {"prompt_tokens_details": {"cached_tokens": 4}}}\n\n')
    assert usages == [StreamUsage(cached_tokens=4, output_tokens=None)]


@pytest.mark.parametrize("data", [b"event: x\n\n", b"\n\n", b"data: x" + b"y" * MAX_EVENT_BYTES])
def test_what_is_no_event_is_malformed(data: bytes) -> None:
    with pytest.raises(MalformedStreamError):
        new_stream().feed(data)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[1]",
        '{"memory": true}',
        '{"memory": "1"}',
        '{"memory": -1}',
        '{"memory": NaN}',
        '{"memory": 1e9}',
    ],
)
def test_a_load_report_with_an_invalid_value_is_not_used(text: str) -> None:
    assert parse_load_report(text, NAMES) == ()
    assert parse_load_report('{"memory": 1, "other": "x"}', NAMES) == (0.0, 1.0)
