"""Request counts from a node's own log, by class and measure.

A node logs one JSON line for each request that has ended. An agent reads them as the log grows and reports
the counts; controllers compare the releases by them. The names of the measures are part of the reports.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tuliptrack.rpc.json_text import is_number_within, parse_json

__all__ = ["ALL_REQUESTS", "MEASURES", "LogMetrics"]

ALL_REQUESTS = ""
"""In place of a measure: all requests of a class, whatever their end."""
REJECTED, FAILED, BROKEN, LATE = MEASURES = ("refused", "failed", "broken", "late")
"""Measures as reports name them: rejected, failed before or after the first token, first token late."""
REQUEST_EVENT = "request"
REJECTED_ENDS = ("refused", "rejected")
"""Ends of rejected requests in the log: nodes of different versions write one or the other, and an agent has
to count both."""
FAILED_END = "failed"
DEFAULT_LATE_MS = 1000.0
MAX_LOGGED_MS = 1e12
CHUNK_BYTES = 1 << 20
"""Bytes of the log that are read at once; also the bound of an incomplete line that is kept until its end."""
MAX_CLASSES = 64
OTHER_CLASSES = "other"
"""All classes beyond the first `MAX_CLASSES`."""


@dataclass(frozen=True, slots=True)
class _LoggedRequest:
    request_class: str
    end: str
    first_token_ms: float | None
    """None if the request had no token."""

    @property
    def measure(self) -> str | None:
        """The measure of its end; None if that was neither a rejection nor a failure."""
        if self.end in REJECTED_ENDS:
            return REJECTED
        if self.end == FAILED_END:
            return FAILED if self.first_token_ms is None else BROKEN
        return None


class LogMetrics:
    """Counts the requests of a log that grows. Bound: `MAX_CLASSES` classes and one line."""

    def __init__(self, path: Path, late_ms: float = DEFAULT_LATE_MS, from_end: bool = False) -> None:
        """Prepare to count.

        Args:
            path: The log; it need not exist yet.
            late_ms: A request whose first token takes longer, in milliseconds, counts as late.
            from_end: Leave out what the log has now.
        """
        self.counts: Counter[tuple[str, str]] = Counter()
        """Requests by class and measure; all of a class under `ALL_REQUESTS`."""
        self._path, self._late_ms = path, late_ms
        self._offset_bytes = path.stat().st_size if from_end and path.exists() else 0
        self._partial_line = b""

    def read(self) -> None:
        """Count what was logged since the last call; lines that are no JSON (a traceback) are skipped."""
        try:
            with open(self._path, "rb") as file:
                file.seek(self._offset_bytes)
                while chunk := file.read(CHUNK_BYTES):
                    self._offset_bytes += len(chunk)
                    self._read_lines(chunk)
        except FileNotFoundError:
            pass

    def _read_lines(self, chunk: bytes) -> None:
        *lines, rest = (self._partial_line + chunk).split(b"\n")
        for line in lines:
            request = _parse(line)
            if request:
                self._count(request)
        self._partial_line = rest[-CHUNK_BYTES:]

    def _count(self, request: _LoggedRequest) -> None:
        name = request.request_class
        if (name, ALL_REQUESTS) not in self.counts and self._class_count() >= MAX_CLASSES:
            name = OTHER_CLASSES
        self.counts[name, ALL_REQUESTS] += 1
        if request.measure:
            self.counts[name, request.measure] += 1
        if request.first_token_ms is not None and request.first_token_ms > self._late_ms:
            self.counts[name, LATE] += 1

    def _class_count(self) -> int:
        return sum(measure == ALL_REQUESTS for _, measure in self.counts)


def _parse(line: bytes) -> _LoggedRequest | None:
    """Return the request of a log line, or None for any other line."""
    # The types are checked because comparing values of other types raises an error. The agent would then
    # report nothing any more, though only this line can't be read.
    try:
        fields = parse_json(line)
        if fields["event"] != REQUEST_EVENT:
            return None
        request_class, end, first_ms = fields["request_class"], fields["end"], fields["first_ms"]
    except (ValueError, KeyError, TypeError):
        return None
    is_time = first_ms is None or is_number_within(first_ms, 0, MAX_LOGGED_MS)
    if not is_time or not isinstance(request_class, str) or not isinstance(end, str):
        return None
    return _LoggedRequest(request_class, end, first_ms)
