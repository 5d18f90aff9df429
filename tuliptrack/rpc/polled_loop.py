"""An event loop that knows how long received bytes may have waited before they are read.

While a loop runs callbacks it does not look for input. What it then finds may have arrived at any time since it
looked before, so the callbacks of a slow iteration, or a process that was not run for a while, would give a
request more time than its client does. `PollTimes` keeps the earliest time at which bytes that are read now can
have arrived.
"""

from __future__ import annotations

import asyncio
import selectors

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.input_scheduler import InputScheduler

__all__ = ["PollTimes", "new_event_loop"]

_WAITED_US = 1_000
"""Duration from which a poll has waited for input: it found none when it began."""


class PollTimes:
    """The times at which a loop looks for input, in monotonic microseconds."""

    def __init__(self, now_us: int) -> None:
        """Start with nothing unread."""
        self.earliest_arrival_us = now_us
        """The earliest time at which the input that the last poll has found can have arrived."""
        self._begun_at_us = self._ended_at_us = now_us

    def begin(self, now_us: int) -> None:
        """Note that a poll begins."""
        self._begun_at_us = now_us

    def end(self, now_us: int) -> None:
        """Note that a poll has ended, with or without input."""
        has_waited = now_us - self._begun_at_us >= _WAITED_US
        self.earliest_arrival_us = now_us if has_waited else self._ended_at_us
        self._ended_at_us = now_us


class _TimedSelector(selectors.DefaultSelector):
    """The usual selector of an event loop, which keeps the times of its polls."""

    def __init__(self) -> None:
        super().__init__()
        self.poll_times = PollTimes(now_us())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.poll_times.begin(now_us())
        ready = super().select(timeout)
        self.poll_times.end(now_us())
        return ready


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a new loop whose connections date what they read by its polls.

    Raises:
        OSError: The system lacks a resource for it.
    """
    selector = _TimedSelector()
    try:
        loop = asyncio.SelectorEventLoop(selector)
    except OSError:
        selector.close()
        raise
    InputScheduler.of(loop).poll_times = selector.poll_times
    return loop
