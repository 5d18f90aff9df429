"""Event streams and load reports of engines, well-formed and malformed, in pieces of any size."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

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


REPORT = b': X-Load-Report: {"in_flight": 2}'


def forwarded(sent: bytes, size: int = 0) -> tuple[EventStream, bytes]:
    """Return the stream after all of `sent`, in pieces of `size` bytes or at once, and what it forwarded."""
    stream = new_stream()
    size = size or len(sent)
    pieces = [sent[start : start + size] for start in range(0, len(sent), size)]
    return stream, b"".join(stream.feed(piece) for piece in pieces)


ALL_EVENTS = EVENTS + USAGE + FINAL_EVENT
TWO_LINES = b"data: 1\ndata: 2\n\n"


# Guards against an answer that lacks an event, or is cut off, for a comment within the block of an event.
@pytest.mark.parametrize("size", [0, 1, 2, 5])
@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (EVENTS + REPORT + b"\n" + USAGE + FINAL_EVENT, ALL_EVENTS),
        (EVENTS + USAGE + REPORT + b"\n" + FINAL_EVENT, ALL_EVENTS),
        (EVENTS + USAGE + b"data: [DONE]\n" + REPORT + b"\n\n", ALL_EVENTS),
        (b"data: 1\n" + REPORT + b"\ndata: 2\n\n" + FINAL_EVENT, TWO_LINES + FINAL_EVENT),
        (
            b":\n: a\n" + USAGE + b": b\n\n:\n\n" + REPORT + b"\n" + FINAL_EVENT + b": c\n\n",
            USAGE + FINAL_EVENT,
        ),
        (EVENTS + FINAL_EVENT + REPORT + b"\n", EVENTS + FINAL_EVENT),
        (EVENTS + REPORT + b"\n" + FINAL_EVENT + b": cut off", EVENTS + FINAL_EVENT),
        (b"\xef\xbb\xbf" + REPORT + b"\n" + FINAL_EVENT, FINAL_EVENT),
    ],
    ids=["before usage", "before done", "after done", "between", "many", "at the end", "cut off", "first"],
)
def test_a_comment_anywhere_costs_no_event_and_its_report_is_read(
    sent: bytes, expected: bytes, size: int
) -> None:
    stream, got = forwarded(sent, size)
    assert got == expected
    assert stream.is_complete and stream.load_report == (2.0, 0.0)


LEGAL_STREAMS = {
    "other fields": b'event: x\nid: 7\nretry: 3000\ndata: {"a": 1}\n\ndata: [DONE]\n\n',
    "fields without data": b"retry: 3000\n\nid\n\ndata: [DONE]\n\n",
    "fields of other names": b"data: 1\nx-other: 2\nother\n\ndata: [DONE]\n\n",
    "several data lines": b"data: [\ndata: 1\ndata: ]\n\ndata: [DONE]\n\n",
    "no space, no value": b"data:1\n\ndata\n\ndata:\n\ndata:[DONE]\n\n",
    "CR LF": b"data: 1\r\n\r\nevent: x\r\ndata: 2\r\n\r\ndata: [DONE]\r\n\r\n",
    "CR": b"data: 1\r\revent: x\rdata: 2\r\rdata: [DONE]\r\r",
    "mixed line ends": b"data: 1\r\n\rdata: 2\n\r\nevent: x\rdata: 3\r\n\ndata: [DONE]\n\r\n",
    "byte order mark": b"\xef\xbb\xbfdata: 1\n\ndata: [DONE]\n\n",
    "done with other fields": b"data: 1\n\nevent: end\ndata: [DONE]\nid: 9\n\n",
}


# Guards against a sound stream that is cut off, or changed, for a form that the format allows.
@pytest.mark.parametrize("size", [0, 1, 2, 3, 7])
@pytest.mark.parametrize("name", LEGAL_STREAMS)
def test_every_form_of_the_format_is_forwarded_unchanged(name: str, size: int) -> None:
    sent = LEGAL_STREAMS[name]
    stream, got = forwarded(sent, size)
    assert got == sent and stream.is_complete


def test_an_event_is_forwarded_as_soon_as_its_blank_line_ends_with_cr() -> None:
    """The LF that may still belong to it is not waited for."""
    stream = new_stream()
    assert stream.feed(b"data: 1\r\n\r") == b"data: 1\r\n\r"
    assert stream.feed(b"\n") == b"\n"
    assert stream.feed(b"data: 2\r") == b""
    assert stream.feed(b"\n\r") == b"data: 2\r\n\r"
    assert stream.feed(b"data: 3\n\n") == b"data: 3\n\n"
    assert stream.feed(b": comment\r") + stream.feed(b"\n") + stream.feed(b"\r") + stream.feed(b"\n") == b""


def test_blank_lines_that_end_no_event_are_not_forwarded() -> None:
    stream, got = forwarded(b"\n\r\n\r: a\n\n\ndata: 1\n\n\n\n\xef\n"[:-2] + FINAL_EVENT + b"\n\r\n")
    assert got == b"data: 1\n\n" + FINAL_EVENT and stream.is_complete


# Guards against an answer that begins, or goes on for ever, by what an engine sends to keep a connection alive.
@pytest.mark.parametrize("size", [0, 1, 2])
def test_blocks_without_data_are_no_events_and_follow_the_first_one(size: int) -> None:
    keep_alive = b"event: ping\r\n\r\nretry: 100\n\nid: 7\r\rdata:\n\ndata:  \r\n\r\n"
    stream, got = forwarded(keep_alive, size)
    assert got == b"" and stream.event_count == 0
    assert stream.feed(b"data: 1\n\n") == keep_alive + b"data: 1\n\n" and stream.event_count == 1
    assert stream.feed(keep_alive) == keep_alive and stream.event_count == 1
    with pytest.raises(MalformedStreamError):
        new_stream().feed(keep_alive * MAX_EVENT_BYTES)


def test_usage_in_several_data_lines_is_read() -> None:
    usages: list[StreamUsage] = []
    lines = USAGE.removeprefix(b"data: ").strip().replace(b", ", b",\ndata: ")
    sent = b"id: 1\ndata: " + lines + b"\r\n\r\n"
    assert new_stream(usages).feed(sent) == sent
    assert usages == [StreamUsage(cached_tokens=4, output_tokens=7)]


@pytest.mark.parametrize(
    "rest", [b"data: [DONE]", b"data: [DONE]\n", b"data: [DONE]\n\nx", FINAL_EVENT + b"id: 1\n"]
)
def test_a_stream_that_ends_within_an_event_is_incomplete(rest: bytes) -> None:
    """Clients discard what no blank line ends, so its last event would not reach them."""
    assert not forwarded(EVENTS + rest)[0].is_complete


FRAGMENTS = [b"data: 1", b"data: [DONE]", b"data", b"id: 1", b"other", b": c", REPORT, b"\n", b"\r", b"\r\n"]


@examples(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(FRAGMENTS), max_size=25), st.lists(st.integers(0, 300), max_size=8))
def test_what_is_forwarded_does_not_depend_on_how_the_bytes_come(
    fragments: list[bytes], places: list[int]
) -> None:
    sent = b"".join(fragments)

    def read(pieces: list[bytes]) -> tuple[object, ...]:
        stream = new_stream()
        got = b""
        try:
            for piece in pieces:
                got += stream.feed(piece)
        except MalformedStreamError as error:
            return (str(error),)
        return got, stream.is_complete, stream.load_report, stream.ignored_reports

    edges = sorted({0, len(sent), *(place % (len(sent) + 1) for place in places)})
    assert read([sent[a:b] for a, b in pairwise(edges)]) == read([sent])


@pytest.mark.parametrize(
    "data",
    [
        b"x-event: x\n\n",
        b"never an event\n\n",
        b"<html>\r\n<body>\r\n\r\n",
        b" data: x\n\n",
        b"data: x" + b"y" * MAX_EVENT_BYTES,
        b"data: x\n" * (MAX_EVENT_BYTES // 8 + 1),
        b":" + b"y" * (MAX_EVENT_BYTES + 1),
    ],
)
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
