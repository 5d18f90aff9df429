"""Where log lines go: a descriptor that may fail, or stand still, without harm to the process that logs.

A full disk, a reader that has gone or one that reads no more must cost no request. A line that can't be
written at once is dropped and counted; the next one that can be is preceded by the count.
"""

from __future__ import annotations

import os
import select
import stat

__all__ = ["LogOutput"]

_AT_ONCE = select.PIPE_BUF  # bytes that a pipe with room takes without waiting


class LogOutput:
    """Text lines to a descriptor. `write` neither raises nor waits. Nothing is kept for later."""

    def __init__(self, descriptor: int) -> None:
        """A descriptor that isn't open takes nothing, also where it stands for something else later."""
        self._descriptor = descriptor
        self._poll: select.poll | None = None
        """Asked before each write, where a write may wait."""
        self.lost = 0
        """Lines that were dropped."""
        self._untold = 0
        """Of these, those of which no line tells yet."""
        self._in_mid_line = False
        try:
            mode = os.fstat(descriptor).st_mode
        except OSError:
            self._descriptor = -1
            return
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) or os.isatty(descriptor):
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write whole lines, or drop what can't be written now."""
        start = "\n" if self._in_mid_line else ""
        if self._untold:
            start += f"{self._untold} lines of this log were dropped\n"
        data = (start + text).encode(errors="backslashreplace")
        written = self._write_at_once(data)
        if written == len(data):
            self._untold, self._in_mid_line = 0, False
            return
        self.lost += 1
        self._untold += 1
        if written:
            self._in_mid_line = data[written - 1 : written] != b"\n"

    def flush(self) -> None:
        """Nothing waits to be written."""

    def _write_at_once(self, data: bytes) -> int:
        """How many bytes were written."""
        written = 0
        try:
            while written < len(data) and self._has_room():
                part = data[written : written + _AT_ONCE] if self._poll else data[written:]
                written += os.write(self._descriptor, part)
        except OSError:
            pass
        return written

    def _has_room(self) -> bool:
        if self._descriptor < 0:
            return False
        return self._poll is None or any(event & select.POLLOUT for _, event in self._poll.poll(0))
