"""A file of complete lines that grows at its end and is on disk when an append returns.

An append that fails leaves the file as it was, so that it can be retried. Where a process was killed during
an append, the incomplete line that it left is cut off by the next append.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

__all__ = ["append"]

BLOCK_BYTES = 65_536
"""How much is read at a time to find the end of the last complete line."""

FILE_MODE = 0o644


def append(path: Path, text: str) -> None:
    """Append complete lines and sync them to disk.

    Raises:
        OSError: the file is without them.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        _append_at(descriptor, text.encode(), _end_of_complete_lines(descriptor))
    finally:
        os.close(descriptor)


def _append_at(descriptor: int, data: bytes, offset: int) -> None:
    """Replace all from an offset by `data`; undo it where that fails."""
    try:
        os.ftruncate(descriptor, offset)
        _write_all(descriptor, data, offset)
        os.fsync(descriptor)
    except OSError:
        # Where this fails too, the next append cuts off what is no complete line.
        with contextlib.suppress(OSError):
            os.ftruncate(descriptor, offset)
        raise


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of `data`; one system call may write only a part."""
    written = 0
    while written < len(data):
        written += os.pwrite(descriptor, data[written:], offset + written)


def _end_of_complete_lines(descriptor: int) -> int:
    """Return the offset at which the last complete line ends."""
    end = os.fstat(descriptor).st_size
    while end > 0:
        start = max(end - BLOCK_BYTES, 0)
        newline = os.pread(descriptor, end - start, start).rfind(b"\n")
        if newline >= 0:
            return start + newline + 1
        end = start
    return 0
