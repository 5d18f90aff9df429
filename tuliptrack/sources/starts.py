"""When servers started: wall times, as lists tell them, in the node's monotonic time."""

from __future__ import annotations

from collections.abc import Container

__all__ = ["Starts"]


class Starts:
    """Bound: one entry for each server asked for and not forgotten, by `forget` or with the last `keep`."""

    def __init__(self) -> None:
        self._known: dict[int, tuple[int, int]] = {}

    def monotonic(self, server: int, unix_us: int, now: int, wall: int) -> int:
        """A start in monotonic microseconds; the same for each telling of one start, whatever the wall clock does. 0
        (long ago) stays 0."""
        if not unix_us:
            return 0
        known = self._known.get(server)
        if known and known[0] == unix_us:
            return known[1]
        # A start in the future is a clock that's ahead: it counts as now, so that it is cold, not warm.
        started = max(now - max(wall - unix_us, 0), 1)
        self._known[server] = (unix_us, started)
        return started

    def forget(self, server: int) -> None:
        """It has gone."""
        self._known.pop(server, None)

    def keep(self, servers: Container[int]) -> None:
        """Forget all but these."""
        self._known = {server: start for server, start in self._known.items() if server in servers}
