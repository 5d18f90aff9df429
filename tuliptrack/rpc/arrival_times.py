"""When the bytes of a connection arrived, so that a request that had to wait is dated by its last byte.

A client counts the time of its request from when it sent it. The server may read the request later, and
process it later still: behind an earlier request of the same connection, or while other connections have
their turns. `ArrivalTimes` keeps the dates of the bytes that are read and not processed yet.

Bytes that waited in the kernel carry no date. They are dated by the last moment at which the connection was
known to have nothing unread: when its reading was paused, or when the loop last looked for input before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["ArrivalTimes", "HeldUpInput"]

_MAX_READS = 16
"""Reads that are dated separately; later ones share the date of the last one, which is then too early."""
_MAX_SAMPLES = 256
"""Samples of input that is held up; a later one takes the place of the last."""


@dataclass(slots=True)
class _Read:
    """Bytes that were read at once, up to the stream position `end`."""

    end: int
    arrived_at_us: int


class ArrivalTimes:
    """The arrival times of the bytes of one connection, in monotonic microseconds."""

    __slots__ = ("_reads", "_received_bytes", "_unread_since_us")

    def __init__(self) -> None:
        self._reads: deque[_Read] = deque()
        self._received_bytes = 0
        self._unread_since_us: int | None = None
        """The time since which the kernel may hold bytes that were not read; None if it holds none."""

    def reading_paused(self, now_us: int) -> None:
        """Note that the connection is not read until `reading_resumed`."""
        if self._unread_since_us is None:
            self._unread_since_us = now_us

    def reading_resumed(self, is_unread: bool) -> None:
        """Note that the connection is read again; `is_unread`: whether bytes have arrived meanwhile."""
        if not is_unread:
            self._unread_since_us = None

    def received(self, size: int, now_us: int, is_more_unread: bool) -> None:
        """Note that `size` bytes were read; `is_more_unread`: whether the kernel holds further ones."""
        arrived_at_us = now_us if self._unread_since_us is None else self._unread_since_us
        self._unread_since_us = arrived_at_us if is_more_unread else None
        self._received_bytes += size
        if len(self._reads) < _MAX_READS:
            self._reads.append(_Read(self._received_bytes, arrived_at_us))
        else:
            self._reads[-1].end = self._received_bytes

    def of_processed(self, buffered_bytes: int, now_us: int) -> int:
        """Return when the last byte that was processed arrived; `buffered_bytes` are left to process."""
        position = self._received_bytes - buffered_bytes
        while self._reads and self._reads[0].end < position:
            self._reads.popleft()
        return self._reads[0].arrived_at_us if self._reads else now_us


class HeldUpInput:
    """The arrival times of what a connection receives while it is not read, in monotonic microseconds.

    `ArrivalTimes` dates such bytes too early if in doubt, this class too late: by the last bytes that had arrived
    when `sample` first saw them. It has to be called now and then, or what arrives last dates all the rest.
    """

    __slots__ = ("_parts", "_read_bytes")

    def __init__(self) -> None:
        self._parts: deque[_Read] = deque()
        """What is unread, by its date; at most `_MAX_SAMPLES`."""
        self._read_bytes = 0

    def sample(self, unread_bytes: int, last_arrival_us: int) -> None:
        """Note how many bytes are unread now, and when the latest of them arrived."""
        end = self._read_bytes + unread_bytes
        if end <= (self._parts[-1].end if self._parts else self._read_bytes):
            return
        if len(self._parts) == _MAX_SAMPLES:
            self._parts.pop()
        self._parts.append(_Read(end, last_arrival_us))

    def read_size(self, maximum: int) -> int:
        """Return how much to read next, so that all of it has one date."""
        return min(maximum, self._parts[0].end - self._read_bytes) if self._parts else maximum

    def arrived_at_us(self, size: int) -> int | None:
        """Return when the next `size` bytes arrived by the latest; None if they were not held up."""
        if not self._parts:
            return None
        arrived_at_us = self._parts[0].arrived_at_us
        self._read_bytes += size
        while self._parts and self._parts[0].end <= self._read_bytes:
            self._parts.popleft()
        return arrived_at_us
