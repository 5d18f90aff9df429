"""Where log lines go: a descriptor that may fail, or block, without harm to the process that logs.

A full disk, and a reader that has gone or reads no more, must cost no request. A line that can't be written
at once is dropped and counted; the next line that is written comes after the count.
"""

from __future__ import annotations

import os
import select
import stat

__all__ = ["LogOutput"]

ATOMIC_WRITE_BYTES = select.PIPE_BUF
"""How much a pipe that polls as writable takes without blocking."""

CLOSED = -1
"""Stands for a descriptor that is not open."""


class LogOutput:
    """Writes text lines to a descriptor. `write` neither raises nor blocks, and nothing is buffered."""

    def __init__(self, descriptor: int) -> None:
        """Prepare for a descriptor.

        One that is not open is never written to, also where its number stands for something else later.
        """
        self.lost = 0
        """Lines that were dropped."""
        self._descriptor = descriptor
        self._poll: select.poll | None = None
        """Asked before each write, where a write may block."""
        self._unreported = 0
        """Dropped lines that no line of the log reports yet."""
        self._is_in_mid_line = False
        try:
            mode = os.fstat(descriptor).st_mode
        except OSError:
            self._descriptor = CLOSED
            return
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) or os.isatty(descriptor):
            self._poll = select.poll()
            self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> None:
        """Write complete lines, or drop what can't be written now."""
        start = "\n" if self._is_in_mid_line else ""
        if self._unreported:
            start += f"{self._unreported} lines of this log were dropped\n"
        data = (start + text).encode(errors="backslashreplace")
        written = self._write_at_once(data)
        if written == len(data):
            self._unreported = 0
            self._is_in_mid_line = False
            return
        self.lost += 1
        self._unreported += 1
        if written:
            self._is_in_mid_line = data[written - 1 : written] != b"\n"

    def flush(self) -> None:
        """Do nothing, since nothing is buffered; files have this method."""

    def _write_at_once(self, data: bytes) -> int:
        """Write what can be written without blocking, and return how many bytes that was."""
        written = 0
        try:
            while written < len(data) and self._is_writable():
                part = data[written : written + ATOMIC_WRITE_BYTES] if self._poll else data[written:]
                written += os.write(self._descriptor, part)
        except OSError:
            pass  # A disk that is full, or a reader that has gone: what is left of the line is dropped.
        return written

    def _is_writable(self) -> bool:
        if self._descriptor == CLOSED:
            return False
        return self._poll is None or any(event & select.POLLOUT for _, event in self._poll.poll(0))
