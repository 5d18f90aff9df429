"""The monotonic clock of a node, and timers that are all cancelled when the node stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVarTuple

from tuliptrack.rpc.clock import now_us

__all__ = ["US_PER_MS", "US_PER_S", "NodeClock", "TimerSet"]

US_PER_MS = 1_000
US_PER_S = 1_000_000

Arguments = TypeVarTuple("Arguments")


class NodeClock:
    """A monotonic clock in microseconds that can be advanced to the due time of a timer."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._latest_us = 0

    def now_us(self) -> int:
        """Return the time, which never goes back."""
        self._latest_us = max(self._latest_us, now_us())
        return self._latest_us

    def advance_to(self, time_us: int) -> None:
        """Make the time at least `time_us`, because the event loop may fire a timer a little early."""
        self._latest_us = max(self._latest_us, time_us)


class TimerSet:
    """The timers of one node: no more than those of its open requests and of its routers."""

    def __init__(self) -> None:
        """Start without timers."""
        self._handles: set[asyncio.TimerHandle] = set()

    def __len__(self) -> int:
        return len(self._handles)

    def call_later(
        self, delay_us: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> asyncio.TimerHandle:
        """Call `callback` after a delay in microseconds, at once if the delay is negative."""

        def fire() -> None:
            self._handles.discard(handle)
            callback(*arguments)

        handle = asyncio.get_running_loop().call_later(max(delay_us, 0) / US_PER_S, fire)
        self._handles.add(handle)
        return handle

    def cancel(self, handle: asyncio.TimerHandle | None) -> None:
        """Cancel a timer; no effect on one that has fired, or on None."""
        if handle:
            handle.cancel()
            self._handles.discard(handle)

    def close(self) -> None:
        """Cancel all timers."""
        for handle in self._handles:
            handle.cancel()
        self._handles.clear()
