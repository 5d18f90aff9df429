"""Writes log lines to a descriptor that may fail or block, without affecting the process that logs.

A full disk, or a reader that has exited or stopped reading, must not affect any request. A line that can't be
written at once is dropped and counted; the count is written ahead of the next line that can be.
"""

from __future__ import annotations

import os
import select
import stat

__all__ = ["LogOutput"]

ATOMIC_WRITE_BYTES = select.PIPE_BUF
"""Number of bytes that a pipe accepts without blocking if `poll` reports it as writable."""

CLOSED = -1
"""Value that stands for a descriptor that is not open."""


class LogOutput:
    """Writes text lines to a descriptor. `write` neither raises nor blocks, and nothing is buffered."""

    def __init__(self, descriptor: int) -> None:
        """Prepare for writing to a descriptor.

        A descriptor that is not open now is never written to, even if its number is reused later.
        """
        self.lost = 0
        """Number of lines that were dropped."""
        self._descriptor = descriptor
        self._poll: select.poll | None = None
        """The object that polls the descriptor before each write; None if a write can't block."""
        self._unreported = 0
        """Number of dropped lines that were not yet reported in the log."""
        self._has_partial_line = False
        """Whether the last line was written only in part."""
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
        start = "\n" if self._has_partial_line else ""
        if self._unreported:
            start += f"{self._unreported} lines of this log were dropped\n"
        data = (start + text).encode(errors="backslashreplace")
        written = self._write_at_once(data)
        if written == len(data):
            self._unreported = 0
            self._has_partial_line = False
            return
        self.lost += 1
        self._unreported += 1
        if written:
            self._has_partial_line = data[written - 1 : written] != b"\n"

    def flush(self) -> None:
        """Do nothing, because nothing is buffered; text streams have this method."""

    def _write_at_once(self, data: bytes) -> int:
        """Write what can be written without blocking, and return how many bytes that was."""
        written = 0
        try:
            while written < len(data) and self._is_writable():
                part = data[written : written + ATOMIC_WRITE_BYTES] if self._poll else data[written:]
                written += os.write(self._descriptor, part)
        except OSError:
            pass  # The disk is full or the reader has exited: the rest of the line is dropped.
        return written

    def _is_writable(self) -> bool:
        if self._descriptor == CLOSED:
            return False
        return self._poll is None or any(event & select.POLLOUT for _, event in self._poll.poll(0))
