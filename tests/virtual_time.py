"""An event loop on virtual time, for worlds whose parties all live in this process.

The loop's clock stands still while anything is to be done or to be read, and jumps to the next timer when
nothing is. So what a test measures in seconds is what its timers say, whatever else the machine does. Sockets
are real: a jump is made only after they have brought nothing for `GRACE_S` of real time, and while the kernel
holds nothing that is on its way between two of them, for which a busy machine takes longer. Threads of the loop's
executor are waited for. Processes and other threads would be overtaken by it: tests with those run on real time.
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
from tcp_state import anything_on_its_way

from tuliptrack.rpc import clock

__all__ = ["Stuck", "VirtualTimeLoop", "virtual_time"]

GRACE_S = 0.002  # real seconds in which bytes within the machine usually arrive
ON_THE_WAY_S = 0.1  # real seconds for which a jump waits at most for what is on its way
EXECUTOR_S = 0.01  # real seconds between looks at whether the time allowed is over, while a thread works
TURN_S = 10e-6  # virtual seconds that each turn of the loop takes, so that no two moments of a chain are one
START_S = 1_000.0  # virtual time at the start: monotonic clocks are not near zero


class Stuck(AssertionError):
    """The real time allowed is over."""


class _VirtualSelector(selectors.EpollSelector):
    """Waits by moving the virtual clock; its owner's timers decide how far."""

    def __init__(self, real_limit: float) -> None:
        super().__init__()
        self.now = START_S
        self.executor_calls = 0
        """Calls that a thread of the executor works on."""
        self._until = time.monotonic() + real_limit

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready; where nothing is, the clock moves on by `timeout`."""
        if time.monotonic() > self._until:
            raise Stuck("a test on virtual time has taken all the real time that it may")
        self.now += TURN_S
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        ready = self._select_patiently()
        if not ready and timeout is not None:
            self.now += timeout
        return ready

    def _select_patiently(self) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready, where nothing was, once nothing is on its way any more."""
        ready: list[tuple[selectors.SelectorKey, int]] = []
        while self.executor_calls and not ready and time.monotonic() <= self._until:
            ready = super().select(EXECUTOR_S)  # A thread that ends wakes the loop.
        give_up = time.monotonic() + ON_THE_WAY_S
        while not (ready := ready or super().select(GRACE_S)):
            descriptors = [key.fd for key in self.get_map().values()]
            if time.monotonic() > give_up or not anything_on_its_way(descriptors):
                break
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time()` is virtual."""

    def __init__(self, real_limit: float = 120.0) -> None:
        """`real_limit`: real seconds after which the loop gives up."""
        self._virtual = _VirtualSelector(real_limit)
        super().__init__(self._virtual)

    def time(self) -> float:
        """Virtual seconds."""
        return self._virtual.now

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """As usual; the clock does not jump until the thread has ended.

        A thread that wrote a file was overtaken by the clock: the test that waited for it timed out though
        nothing was late. It showed on a busy machine.
        """
        future = super().run_in_executor(executor, func, *args)
        self._virtual.executor_calls += 1
        future.add_done_callback(self._end_executor_call)
        return future

    def _end_executor_call(self, _: object) -> None:
        self._virtual.executor_calls -= 1


@contextmanager
def _program_clock(loop: VirtualTimeLoop) -> Iterator[None]:
    """The program's monotonic clock is the loop's; its wall clock stays the machine's."""
    virtual = SimpleNamespace(monotonic_ns=lambda: int(loop.time() * 1e9), time_ns=time.time_ns)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock, "time", virtual)
        yield


@contextmanager
def virtual_time() -> Iterator[Callable[[Coroutine[Any, Any, None]], None]]:
    """A runner of coroutines on virtual time, the program's clock included."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualTimeLoop)
        with _program_clock(loop):
            yield runner.run
