"""Appends complete lines to a file; they are synced to disk when `append` returns.

An append that fails leaves the file as it was, so that it can be retried. If a process is killed during an
append, the next append truncates the incomplete line that it left.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

__all__ = ["append"]

BLOCK_BYTES = 65_536
"""Bytes read at a time when searching for the end of the last complete line."""

FILE_MODE = 0o644


def append(path: Path, text: str) -> None:
    """Append complete lines and sync them to disk.

    Raises:
        OSError: the lines were not appended.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        _append_at(descriptor, text.encode(), _end_of_complete_lines(descriptor))
    finally:
        os.close(descriptor)


def _append_at(descriptor: int, data: bytes, offset: int) -> None:
    """Replace everything from an offset on by `data`, and undo this on failure."""
    try:
        os.ftruncate(descriptor, offset)
        _write_all(descriptor, data, offset)
        os.fsync(descriptor)
    except OSError:
        # If this fails too, the next append truncates the incomplete line.
        with contextlib.suppress(OSError):
            os.ftruncate(descriptor, offset)
        raise


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of `data`; one system call may write only part of it."""
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
