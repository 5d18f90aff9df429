"""When servers started: wall times, as lists tell them, in the node's monotonic time.

The wall clock may be stepped at any time. Each start is translated once, and a server that has just started
is never taken for a warm one on the word of a clock that may be wrong: the clock's offset is read with the
first list and again with each one, and the reading by which the start is later counts. A start that was not
told in the list before, and that would lie far before that list was heard, has been told by another clock
than ours: it counts as now.
"""

from __future__ import annotations

from collections.abc import Container

__all__ = ["StartTimes"]

_TOLD_LATE_US = 30_000_000
"""A start is told in the lists at most so much later: outages of discovery last some seconds."""


class StartTimes:
    """Bound: one entry for each server asked for and not forgotten, by `forget` or with the last `keep`."""

    def __init__(self) -> None:
        self._offset: int | None = None
        """From monotonic to wall time, by the clock's first reading."""
        self._known: dict[int, tuple[int, int]] = {}
        self._list_heard_at: int | None = None

    def monotonic(self, server: int, unix_us: int, now: int, wall: int) -> int:
        """A start in monotonic microseconds; the same for each telling of one start, whatever the wall clock
        does. 0 (long ago) stays 0. `now` is monotonic, `wall` since 1970, both in microseconds and read in
        the same moment.
        """
        if self._offset is None:
            self._offset = wall - now
        if not unix_us:
            return 0
        known = self._known.get(server)
        if known and known[0] == unix_us:
            return known[1]
        started = max(unix_us - self._offset, unix_us - (wall - now))
        if self._list_heard_at is not None and started < self._list_heard_at - _TOLD_LATE_US:
            started = now
        # A start in the future is a clock that's behind: it counts as now, so that the server is cold, not
        # warm.
        started = max(min(started, now), 1)
        self._known[server] = (unix_us, started)
        return started

    def list_heard(self, now: int) -> None:
        """A list has been taken whole."""
        self._list_heard_at = now

    def forget(self, server: int) -> None:
        """It has gone."""
        self._known.pop(server, None)

    def keep(self, servers: Container[int]) -> None:
        """Forget all but these."""
        self._known = {server: start for server, start in self._known.items() if server in servers}
