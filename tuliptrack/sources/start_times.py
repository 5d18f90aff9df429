"""Start times of engines: wall times, as endpoint lists give them, converted to the node's monotonic time.

The wall clock may be stepped at any time. Each start is converted once, and a wrong clock must never make an
engine that has just started look warm. So the offset between the clocks is read with the first list and again
with each later one, and the reading that makes the start later is used. A start that was not in the previous
list, and that would lie far before that list was received, comes from a clock that differs from ours: it is
replaced by the present time.

All times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

__all__ = ["StartTimes"]

MAX_ANNOUNCEMENT_DELAY_US = 30_000_000
"""A start appears in the lists at most this much later, as outages of discovery last some seconds."""


@dataclass(frozen=True, slots=True)
class _KnownStart:
    unix_us: int
    """As the list gave it."""
    monotonic_us: int


class StartTimes:
    """Starts by endpoint id.

    Bound: one entry for each endpoint converted and not dropped since, by `forget` or `retain`.
    """

    def __init__(self) -> None:
        self._first_offset_us: int | None = None
        """Wall time minus monotonic time, by the first reading of the clocks."""
        self._known: dict[int, _KnownStart] = {}
        self._last_list_at_us: int | None = None

    def to_monotonic_us(self, endpoint_id: int, unix_us: int, now_us: int, wall_us: int) -> int:
        """Convert a start to monotonic time; the same start always gives the same result.

        Args:
            endpoint_id: The endpoint whose start it is.
            unix_us: The start since 1970, or 0 for long ago.
            now_us: The monotonic clock's reading.
            wall_us: The wall clock's reading of the same moment, since 1970.

        Returns:
            The start in monotonic time, from 1 to `now_us`; 0 for long ago.
        """
        if self._first_offset_us is None:
            self._first_offset_us = wall_us - now_us
        if not unix_us:
            return 0
        known = self._known.get(endpoint_id)
        if known is None or known.unix_us != unix_us:
            known = _KnownStart(unix_us, self._convert(unix_us, self._first_offset_us, now_us, wall_us))
            self._known[endpoint_id] = known
        return known.monotonic_us

    def _convert(self, unix_us: int, first_offset_us: int, now_us: int, wall_us: int) -> int:
        started_us = max(unix_us - first_offset_us, unix_us - (wall_us - now_us))
        last_list_at_us = self._last_list_at_us
        if last_list_at_us is not None and started_us < last_list_at_us - MAX_ANNOUNCEMENT_DELAY_US:
            started_us = now_us
        # A start in the future comes from a clock ahead of ours. It counts as now, so the engine is still
        # treated as warming up.
        return max(min(started_us, now_us), 1)

    def record_list(self, now_us: int) -> None:
        """Record that a list was received and applied as a whole."""
        self._last_list_at_us = now_us

    def forget(self, endpoint_id: int) -> None:
        """Drop the start of an endpoint that was removed."""
        self._known.pop(endpoint_id, None)

    def retain(self, endpoint_ids: Container[int]) -> None:
        """Drop the starts of all other endpoints."""
        self._known = {key: start for key, start in self._known.items() if key in endpoint_ids}
