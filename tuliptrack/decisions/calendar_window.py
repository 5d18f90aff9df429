"""Counts what a tenant uses at one node in windows of the calendar, such as a day.

Windows are numbered from 1970. Times are in microseconds. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CalendarClock", "CalendarWindow"]


class CalendarClock:
    """Turns a node's time into the time since 1970, which never steps back: a window would start anew."""

    def __init__(self, epoch_offset_us: int) -> None:
        """`epoch_offset_us` is added to the node's time."""
        self._epoch_offset_us = epoch_offset_us
        self._latest_us = 0

    def unix_us(self, now_us: int) -> int:
        """Return microseconds since 1970."""
        self._latest_us = max(now_us + self._epoch_offset_us, self._latest_us)
        return self._latest_us


@dataclass(slots=True)
class CalendarWindow:
    """The current window of one tenant, and what of it this node may use and has used."""

    length_us: int
    units: int
    used_units: int = 0
    _number: int = -1

    def advance(self, unix_us: int) -> None:
        """Begin to count anew if another window runs now."""
        number = unix_us // self.length_us
        if number != self._number:
            self._number, self.used_units = number, 0

    def remaining_us(self, unix_us: int) -> int:
        """Return the time until the next window."""
        return self.length_us - unix_us % self.length_us
