"""Counts a tenant's usage at one node in calendar windows, such as a day.

Windows are numbered from the beginning of 1970 (UTC). Times are in microseconds. The module does no I/O
and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CalendarClock", "CalendarWindow"]


class CalendarClock:
    """Converts a node's time to a Unix time that never steps back.

    A step back over the beginning of a window would reset the count of used units.
    """

    def __init__(self, epoch_offset_us: int) -> None:
        """Create a clock; the node's time plus `epoch_offset_us` is the Unix time."""
        self._epoch_offset_us = epoch_offset_us
        self._latest_us = 0

    def unix_us(self, now_us: int) -> int:
        """Return the Unix time for a node's time, in microseconds since 1970."""
        self._latest_us = max(now_us + self._epoch_offset_us, self._latest_us)
        return self._latest_us


@dataclass(slots=True)
class CalendarWindow:
    """The current window of one tenant: the units that this node may use in it, and those it has used."""

    length_us: int
    units: int
    used_units: int = 0
    _window_index: int = -1

    def advance(self, unix_us: int) -> None:
        """Reset the count if a new window has begun."""
        window_index = unix_us // self.length_us
        if window_index != self._window_index:
            self._window_index, self.used_units = window_index, 0

    def remaining_us(self, unix_us: int) -> int:
        """Return the time until the next window begins."""
        return self.length_us - unix_us % self.length_us
