"""Signals of a process from its start on, each handled once.

Before an event loop runs, signals are recorded; once it runs, they reach the handlers through it. A signal
that arrives before its handler is set is delivered when the handler is set. Signals with the same number that
arrive in one iteration of the loop are handled together: the handler is called once, after the last of them.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

__all__ = ["STOP_SIGNALS", "ProcessSignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Takes over some signals of this process. Create it in the main thread; call `attach`, then `handle`,
    then `block`.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Record these signals from now on, in place of their default actions."""
        self._numbers = numbers
        self._pending: set[signal.Signals] = set()
        """Signals that were received and not handled yet."""
        self._handlers: dict[signal.Signals, Callable[[], None]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_delivery_due = False
        for number in numbers:
            signal.signal(number, self._record)

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Receive signals through a loop from now on; no other thread may run yet."""
        # Without the mask, a signal that arrives while the loop takes over is recorded here and also read
        # from the loop's wakeup descriptor, and settings are reloaded twice. While the signal is
        # blocked, it reaches neither; once unblocked, it reaches only the loop.
        self._loop = loop
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, self._numbers)
        try:
            for number in self._numbers:
                loop.add_signal_handler(number, self._receive, number)
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)

    def handle(self, number: signal.Signals, handler: Callable[[], None]) -> None:
        """Call `handler` for each signal `number` from now on, and immediately if one is pending."""
        self._handlers[number] = handler
        self._deliver()

    def has_pending(self, *numbers: signal.Signals) -> bool:
        """Return whether one of these signals is pending."""
        return not self._pending.isdisjoint(numbers)

    def block(self) -> None:
        """Block these signals from now on; called when no handler is left."""
        # A closing loop restores the default actions of signals. Unless they are blocked, a signal may end a
        # process that has finished its work, and replace its exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, self._numbers)

    def _record(self, number: int, _frame: object) -> None:
        self._pending.add(signal.Signals(number))

    def _receive(self, number: signal.Signals) -> None:
        self._pending.add(number)
        if self._loop and not self._is_delivery_due:
            self._is_delivery_due = True
            self._loop.call_soon(self._deliver)

    def _deliver(self) -> None:
        self._is_delivery_due = False
        for number in sorted(self._pending & self._handlers.keys()):
            self._pending.discard(number)
            self._handlers[number]()
