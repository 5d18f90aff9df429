"""The fields of one record of a frame."""

from __future__ import annotations

import struct
from typing import Any

from tuliptrack.simulator_adapter.errors import WireError

__all__ = ["RECORD", "RecordReader"]

RECORD = struct.Struct("<HI")
"""Header of a record: its code, and the number of bytes that follow the header."""


class RecordReader:
    """Reads typed fields one after another; errors name the record."""

    def __init__(self, body: bytes, record: str) -> None:
        self.body, self.record, self.position = body, record, 0

    def read(self, field_format: str) -> tuple[Any, ...]:
        """Return the next fields, in the notation of `struct` (little endian).

        Raises:
            WireError: the record has fewer bytes left than the fields need.
        """
        size = struct.calcsize("<" + field_format)
        if self.position + size > len(self.body):
            needed = self.position + size
            raise WireError(f"{self.record}: fields end at byte {len(self.body)}, {needed} needed")
        values = struct.unpack_from("<" + field_format, self.body, self.position)
        self.position += size
        return values

    def read_bytes(self, length_format: str) -> bytes:
        """Return a byte string that is preceded by its length, in the given format."""
        (size,) = self.read(length_format)
        return bytes(self.read(f"{size}s")[0])

    def read_floats(self) -> tuple[float, ...]:
        """Return floats that are preceded by one byte, which holds the number of floats."""
        (count,) = self.read("B")
        return self.read(f"{count}f")

    def end(self) -> None:
        """Raise WireError unless all of the record was read."""
        if self.position != len(self.body):
            remaining = len(self.body) - self.position
            raise WireError(f"{self.record}: {remaining} bytes left over after its fields")
