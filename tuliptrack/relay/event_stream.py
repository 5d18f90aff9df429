"""Parses an engine's event stream: complete events for the client, and the data in them that the node uses.

`EventStream.feed` takes the bytes and returns the complete events unchanged, in order. Comments are for the
node: they carry load reports and are not forwarded. The node also reads the last event, which shows that the
stream is complete, and the token counts near the end.

The format is that of the HTML standard, "Server-sent events". What it allows is handled as follows:

- A line ends with LF, CR or CR LF, and lines of one stream may differ in that. The endings are forwarded.
- A byte order mark at the start of the stream belongs to no line. It is forwarded with the first line.
- A line that begins with a colon is a comment, wherever it stands: in the block of an event, or alone.
- The fields `data`, `event`, `id` and `retry` make up an event, in any order and number. Fields of other
  names are forwarded with the event in whose block they stand; the standard has clients ignore them.
- Several `data` lines are one value, joined by LF.
- A blank line ends the block of an event. Further blank lines, and those after a comment alone, end nothing
  and are not forwarded.
- A block whose data is empty is no event: engines keep a connection alive by it. It is forwarded, but not
  before the first event, since the first output begins the answer.
- What follows the last blank line when the stream ends is no event, except for a comment.

A block without any of the four fields is malformed, though the standard would ignore it: an engine that sends
something else than events, such as an error page, is recognised by that before its client gets any of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

from tuliptrack.relay.load_reports import REPORT_FIELD, parse_load_report
from tuliptrack.rpc.json_text import is_number_within, parse_json

__all__ = ["JSON_FIELD_ERRORS", "EventStream", "MalformedStreamError", "StreamUsage", "token_count"]

MAX_EVENT_BYTES = 65_536
"""Maximum size of an incomplete event; beyond it the stream is malformed."""
MAX_TOKEN_COUNT = 2**31
"""Maximum token count of one prompt or answer; a greater value is treated as invalid."""
JSON_FIELD_ERRORS = (ValueError, TypeError, KeyError)
"""Exceptions that reading a field of unvalidated JSON may raise."""
_LINE_ENDINGS = b"\r\n"
_CARRIAGE_RETURN = b"\r"
_LINE_FEED = b"\n"
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_COMMENT = b":"
_DATA_FIELD = b"data"
_EVENT_FIELDS = frozenset({_DATA_FIELD, b"event", b"id", b"retry"})
_LAST_EVENT = b"[DONE]"


class MalformedStreamError(Exception):
    """The stream is not a valid event stream and cannot be forwarded any further."""


@dataclass(frozen=True, slots=True)
class StreamUsage:
    """Token counts of an answer."""

    cached_tokens: int
    output_tokens: int | None
    """Number of output tokens; None if the engine states no valid number."""


class _LineKind(Enum):
    """What became of a line, and so of a LF that completes its line ending."""

    PENDING = auto()
    """It belongs to the block being received."""
    FORWARDED = auto()
    """It was forwarded: it was the blank line that ended an event."""
    HELD = auto()
    """It was the blank line that ended a block before the first event."""
    DROPPED = auto()
    """It was a comment, or a blank line that ended no event."""


class EventStream:
    """The event stream of one answer. It buffers at most `MAX_EVENT_BYTES` and one piece of the body."""

    __slots__ = (
        "_block",
        "_data",
        "_has_event_field",
        "_held",
        "_is_first_line",
        "_last_kind",
        "_line",
        "_may_line_feed_follow",
        "_record_usage",
        "_report_names",
        "event_count",
        "has_last_event",
        "ignored_reports",
        "load_report",
    )

    def __init__(self, report_names: tuple[str, ...], record_usage: Callable[[StreamUsage], None]) -> None:
        """Create the parser at the start of a stream.

        Args:
            report_names: Names of the values of a load report.
            record_usage: Called with the token counts, before `feed` returns the event that carries them.
        """
        self._report_names, self._record_usage = report_names, record_usage
        self._line = bytearray()
        """The start of a line that is not complete yet."""
        self._block = bytearray()
        """The complete lines of an event that is not complete yet, with their endings, without comments."""
        self._data = bytearray()
        """The values of the block's `data` lines, each followed by a LF."""
        self._held = bytearray()
        """The blocks before the first event."""
        self._has_event_field = False
        """Whether the block has a field that the standard defines."""
        self._is_first_line = True
        self._may_line_feed_follow = False
        """Whether the last line ended with a CR at the end of a piece: a LF that follows belongs to it."""
        self._last_kind = _LineKind.DROPPED
        """The kind of the last complete line."""
        self.load_report: tuple[float, ...] = ()
        """The last valid load report; empty before the first."""
        self.ignored_reports = 0
        """Number of load reports that could not be used."""
        self.event_count = 0
        """Number of events so far."""
        self.has_last_event = False
        """Whether the engine has sent the event that marks the end of the stream."""

    @property
    def is_complete(self) -> bool:
        """Whether the stream has its last event and nothing after it but comments."""
        return self.has_last_event and not self._block and (not self._line or self._line.startswith(_COMMENT))

    def feed(self, data: bytes) -> bytes:
        """Add a piece of the body; return the events that are complete now, without comments.

        Raises:
            MalformedStreamError: The data is not a valid event stream.
        """
        events = bytearray()
        if self._may_line_feed_follow and data:
            self._may_line_feed_follow = False
            if data.startswith(_LINE_FEED):
                data = data[1:]
                self._complete_line_ending(events)
        for line in data.splitlines(keepends=True):
            if not line.endswith((_CARRIAGE_RETURN, _LINE_FEED)):
                self._line += line
                break
            if self._line:
                line, self._line = bytes(self._line) + line, bytearray()
            self._read_line(line, events)
        self._may_line_feed_follow = not self._line and data.endswith(_CARRIAGE_RETURN)
        if len(self._line) + len(self._block) + len(self._held) > MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return bytes(events)

    def _complete_line_ending(self, events: bytearray) -> None:
        """Treat a LF as the last line was treated, whose ending it completes."""
        if self._last_kind is _LineKind.PENDING:
            self._block += _LINE_FEED
        elif self._last_kind is _LineKind.FORWARDED:
            events += _LINE_FEED
        elif self._last_kind is _LineKind.HELD:
            self._held += _LINE_FEED

    def _read_line(self, line: bytes, events: bytearray) -> None:
        """Read a line with its ending; add the event that it ends to `events`."""
        text = line.rstrip(_LINE_ENDINGS)
        if self._is_first_line:
            self._is_first_line = False
            text = text.removeprefix(_BYTE_ORDER_MARK)
        if text.startswith(_COMMENT):
            self._last_kind = _LineKind.DROPPED
            self._read_comment(text)
        elif text:
            self._last_kind = _LineKind.PENDING
            self._block += line
            self._read_field(text)
        elif self._block:
            self._read_block()
            if self.event_count:
                events += self._held
                self._held.clear()
            output = events if self.event_count else self._held
            output += self._block
            output += line
            self._block.clear()
            self._last_kind = _LineKind.FORWARDED if self.event_count else _LineKind.HELD
        else:
            self._last_kind = _LineKind.DROPPED

    def _read_field(self, text: bytes) -> None:
        name, _, value = text.partition(b":")
        self._has_event_field = self._has_event_field or name in _EVENT_FIELDS
        if name == _DATA_FIELD:
            self._data += value.removeprefix(b" ") + _LINE_FEED

    def _read_block(self) -> None:
        """Read the block that is complete."""
        if not self._has_event_field:
            raise MalformedStreamError("malformed event")
        if data := bytes(self._data).strip():
            self.event_count += 1
            self._read_data(data)
        self._data.clear()
        self._has_event_field = False

    def _read_comment(self, text: bytes) -> None:
        name, _, value = text.removeprefix(_COMMENT).decode("latin-1").partition(":")
        if name.strip().lower() == REPORT_FIELD:
            report = parse_load_report(value, self._report_names)
            self.ignored_reports += not report
            self.load_report = report or self.load_report

    def _read_data(self, text: bytes) -> None:
        if text == _LAST_EVENT:
            self.has_last_event = True
        elif b'"usage"' in text and (usage := _parse_usage(text)):
            self._record_usage(usage)


def _parse_usage(text: bytes) -> StreamUsage | None:
    """Return the token counts of an event; None if they are invalid.

    Invalid counts are not an error of the stream, as the counts are meant for the client.
    """
    try:
        usage = parse_json(text)["usage"]
        cached_tokens = token_count(usage["prompt_tokens_details"]["cached_tokens"])
    except JSON_FIELD_ERRORS:
        return None
    try:
        return StreamUsage(cached_tokens, token_count(usage["completion_tokens"]))
    except JSON_FIELD_ERRORS:
        return StreamUsage(cached_tokens, None)


def token_count(value: object) -> int:
    """Return a token count from unvalidated JSON.

    Raises:
        ValueError: The value is not a valid count.
    """
    if not is_number_within(value, 0, MAX_TOKEN_COUNT):
        raise ValueError(f"must be a token count from 0 to {MAX_TOKEN_COUNT}")
    return int(cast(float, value))
