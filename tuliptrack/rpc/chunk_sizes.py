"""Finds the first chunk of a chunked body (RFC 9112, section 7.1) that states too large a size, without I/O.

h11 passes on the data of a chunk as it arrives, but not the size that the chunk states: a chunk of gigabytes looks
like any other until it ends. `ChunkSizes` follows the framing of the same bytes. It does not validate it, since h11
does: it stops at the first size that it cannot read.
"""

from __future__ import annotations

import re

__all__ = ["ChunkSizes"]

_LINE_END = b"\n"
_CHUNK_END_BYTES = 2
"""The line ending after the data of a chunk."""
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,20}")
"""The size at the start of a chunk's first line, as h11 reads it; extensions may follow."""
_LINE_PREFIX_BYTES = 24
"""How much is stored of a line that arrives in parts: a size, and what follows it at once."""


class ChunkSizes:
    """The chunks of one body. What it holds does not grow with the body."""

    __slots__ = (
        "_data_bytes",
        "_is_over",
        "_line",
        "_max_chunk_bytes",
        "_unread_chunk_bytes",
        "oversized_after_bytes",
        "oversized_chunk_bytes",
    )

    def __init__(self, max_chunk_bytes: int) -> None:
        self._max_chunk_bytes = max_chunk_bytes
        self._line = bytearray()
        """The start of a line that is not complete yet."""
        self._unread_chunk_bytes = 0
        """What is missing of the current chunk, with the line ending after its data."""
        self._data_bytes = 0
        """Size of the data of all chunks whose size was read."""
        self._is_over = False
        """Whether the last chunk was reached, or a size that is too large or cannot be read."""
        self.oversized_chunk_bytes = 0
        """The size that the first oversized chunk states; 0 if none was found."""
        self.oversized_after_bytes = 0
        """Size of the data of the chunks before that one."""

    def receive(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        position = 0
        while position < len(data) and not self._is_over:
            if self._unread_chunk_bytes:
                skipped = min(self._unread_chunk_bytes, len(data) - position)
                self._unread_chunk_bytes -= skipped
                position += skipped
            else:
                position = self._read_line(data, position)

    def _read_line(self, data: bytes, position: int) -> int:
        """Read the line at a position, as far as it has arrived; return the position after it."""
        end = data.find(_LINE_END, position)
        next_position = end + 1 if end >= 0 else len(data)
        prefix_bytes = _LINE_PREFIX_BYTES - len(self._line)
        self._line += data[position : min(next_position, position + prefix_bytes)]
        if end >= 0:
            size = _SIZE.match(bytes(self._line))
            self._line.clear()
            self._begin_chunk(int(size[0], 16) if size else 0)
        return next_position

    def _begin_chunk(self, size: int) -> None:
        if size > self._max_chunk_bytes:
            self.oversized_chunk_bytes, self.oversized_after_bytes = size, self._data_bytes
        self._is_over = size == 0 or size > self._max_chunk_bytes
        self._unread_chunk_bytes = size + _CHUNK_END_BYTES
        self._data_bytes += size
