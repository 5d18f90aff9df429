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
    """The arrival time of what a connection received while it was not read, in monotonic microseconds.

    `ArrivalTimes` dates such bytes too early if in doubt, this class too late: by the last that arrived.
    """

    __slots__ = ("_arrived_at_us", "_unread_bytes")

    def __init__(self) -> None:
        self._unread_bytes = 0
        self._arrived_at_us = 0

    def reading_resumed(self, unread_bytes: int, last_arrival_us: int) -> None:
        """Note that the connection is read again; the latest of its unread bytes arrived at `last_arrival_us`."""
        self._unread_bytes, self._arrived_at_us = unread_bytes, last_arrival_us

    def arrived_at_us(self, size: int) -> int | None:
        """Return when the next `size` bytes arrived by the latest; None if they were not held up."""
        if self._unread_bytes <= 0:
            return None
        self._unread_bytes -= size
        return self._arrived_at_us
