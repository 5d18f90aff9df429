"""An event loop on virtual time, for tests whose clients, nodes and engines all run in this process.

The loop's clock hardly moves while callbacks are ready or sockets are readable, and jumps to the next timer
otherwise. So the durations that a test measures depend on its timers only, not on the load of the machine.
Sockets are real: the clock jumps only after no socket has become ready for `GRACE_S` of real time and the
kernel holds no bytes in transit between two of them, which takes longer on a busy machine. The loop waits for
threads of its executor. It does not wait for other threads and processes, so tests that use such threads or
processes run on real time.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

import pytest
from tcp_state import has_data_in_transit

from tuliptrack.rpc import clock

__all__ = ["Stuck", "VirtualTimeLoop", "virtual_time"]

GRACE_S = 0.002  # real seconds in which bytes on loopback usually arrive
MAX_TRANSIT_S = 0.1  # maximum real seconds that a jump waits for bytes in transit
EXECUTOR_POLL_S = 0.01  # real seconds between checks of the real-time limit while an executor thread runs
ITERATION_S = 10e-6  # virtual seconds per loop iteration, so that successive callbacks have different times
START_S = 1_000.0  # virtual time at the start, because monotonic clocks are not near zero


class Stuck(AssertionError):
    """The loop has run for longer than its limit in real time."""


class _VirtualSelector(selectors.EpollSelector):
    """Waits by advancing the virtual clock by the time-out, which the loop derives from its next timer."""

    def __init__(self, real_limit: float) -> None:
        super().__init__()
        self.now = START_S
        self.executor_calls = 0
        """Number of calls that executor threads are running."""
        self._real_deadline = time.monotonic() + real_limit

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready descriptors; if there are none, advance the clock by `timeout`."""
        if time.monotonic() > self._real_deadline:
            raise Stuck("a test on virtual time has exceeded its real-time limit")
        self.now += ITERATION_S
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        ready = self._select_after_transit()
        if not ready and timeout is not None:
            self.now += timeout
        return ready

    def _select_after_transit(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready descriptors after no more bytes are in transit and no executor call is running."""
        ready: list[tuple[selectors.SelectorKey, int]] = []
        while self.executor_calls and not ready and time.monotonic() <= self._real_deadline:
            ready = super().select(EXECUTOR_POLL_S)  # The end of the executor call wakes the loop.
        deadline = time.monotonic() + MAX_TRANSIT_S
        while not (ready := ready or super().select(GRACE_S)):
            descriptors = [key.fd for key in self.get_map().values()]
            if time.monotonic() > deadline or not has_data_in_transit(descriptors):
                break
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time()` is virtual."""

    def __init__(self, real_limit: float = 120.0) -> None:
        """Create a loop that raises `Stuck` after `real_limit` real seconds."""
        self._virtual = _VirtualSelector(real_limit)
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """Run a call in an executor; the clock does not jump until its thread has ended.

        Otherwise a test that waits for a thread, such as one that writes a file on a busy machine, would time
        out because the clock jumps ahead of the thread.
        """
        future = super().run_in_executor(executor, func, *args)
        self._virtual.executor_calls += 1
        future.add_done_callback(self._end_executor_call)
        return future

    def _end_executor_call(self, _: object) -> None:
        self._virtual.executor_calls -= 1


@contextmanager
def _program_clock(loop: VirtualTimeLoop) -> Iterator[None]:
    """Make the loop's clock the monotonic clock of the program; its wall clock stays that of the machine."""
    virtual = SimpleNamespace(monotonic_ns=lambda: int(loop.time() * 1e9), time_ns=time.time_ns)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock, "time", virtual)
        yield


@contextmanager
def virtual_time() -> Iterator[Callable[[Coroutine[Any, Any, None]], None]]:
    """Provide a function that runs a coroutine on virtual time, which the program's clock follows too."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualTimeLoop)
        with _program_clock(loop):
            yield runner.run
