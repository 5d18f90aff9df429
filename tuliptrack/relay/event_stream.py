"""Parses an engine's event stream: complete events for the client, and the data in them that the node uses.

`EventStream.feed` takes the bytes and returns the complete events unchanged. Comments are for the node: they
carry load reports and are not forwarded. The node also reads the last event, which shows that the stream is
complete, and the token counts near the end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
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
_SEPARATOR = b"\n\n"
_COMMENT = b":"
_DATA = b"data:"
_LAST_EVENT = b"[DONE]"


class MalformedStreamError(Exception):
    """The stream is not a valid event stream and cannot be forwarded any further."""


@dataclass(frozen=True, slots=True)
class StreamUsage:
    """Token counts of an answer."""

    cached_tokens: int
    output_tokens: int | None
    """Number of output tokens; None if the engine states no valid number."""


class EventStream:
    """The event stream of one answer. It buffers at most `MAX_EVENT_BYTES` and one piece of the body."""

    __slots__ = (
        "_buffer",
        "_record_usage",
        "_report_names",
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
        self._buffer = bytearray()
        self.load_report: tuple[float, ...] = ()
        """The last valid load report; empty before the first."""
        self.ignored_reports = 0
        """Number of load reports that could not be used."""
        self.has_last_event = False
        """Whether the engine has sent the event that marks the end of the stream."""

    @property
    def is_complete(self) -> bool:
        """Whether the stream has its last event and nothing after it."""
        return self.has_last_event and not self._buffer

    def feed(self, data: bytes) -> bytes:
        """Add a piece of the body; return the events that are complete now, without comments.

        Raises:
            MalformedStreamError: The data is not a valid event stream.
        """
        self._buffer += data
        end = self._buffer.rfind(_SEPARATOR)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise MalformedStreamError(f"an event of more than {MAX_EVENT_BYTES} bytes")
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[: end + len(_SEPARATOR)]
        events = [event for event in complete.split(_SEPARATOR) if self._read_event(event)]
        return _SEPARATOR.join([*events, b""]) if events else b""

    def _read_event(self, event: bytes) -> bool:
        """Parse an event; return whether it is forwarded to the client."""
        if event.startswith(_COMMENT):
            self._read_comment(event)
            return False
        if not event.startswith(_DATA):
            raise MalformedStreamError("malformed event")
        self._read_data(event.removeprefix(_DATA).strip())
        return True

    def _read_comment(self, event: bytes) -> None:
        name, _, value = event.removeprefix(_COMMENT).decode("latin-1").partition(":")
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
