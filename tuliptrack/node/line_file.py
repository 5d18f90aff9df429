"""A file of whole lines that grows at its end, on disk when an append returns.

An append that fails leaves the file as it was, so that it can be made anew. Where a process was killed in the
middle of one, the half line that it left is cut off by the next append.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

__all__ = ["append"]

_BLOCK = 65_536  # bytes looked at in one step for the end of the last whole line


def append(path: Path, text: str) -> None:
    """Put whole lines at the file's end and sync them; OSError leaves it without them."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
    try:
        end = _end_of_lines(descriptor)
        try:
            os.ftruncate(descriptor, end)
            _write_at(descriptor, text.encode(), end)
            os.fsync(descriptor)
        except OSError:
            with contextlib.suppress(
                OSError
            ):  # What is left then is cut off by the next append, if it is no whole line.
                os.ftruncate(descriptor, end)
            raise
    finally:
        os.close(descriptor)


def _write_at(descriptor: int, data: bytes, at: int) -> None:
    """Write all of it; a system call may take a part only."""
    written = 0
    while written < len(data):
        written += os.pwrite(descriptor, data[written:], at + written)


def _end_of_lines(descriptor: int) -> int:
    """Where the last whole line ends."""
    end = os.fstat(descriptor).st_size
    while end > 0:
        start = max(end - _BLOCK, 0)
        newline = os.pread(descriptor, end - start, start).rfind(b"\n")
        if newline >= 0:
            return start + newline + 1
        end = start
    return 0
