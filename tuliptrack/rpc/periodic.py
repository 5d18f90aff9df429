"""Runs a step of a long-lived task again and again, also after one that raises."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tuliptrack.rpc.loop_errors import log_fault

__all__ = ["FaultHandler", "run_periodically"]

FaultHandler = Callable[[str, Exception], None]
"""Counts and logs an error that only a fault of this program can raise, by the name of the task."""


def _log(_name: str, error: Exception) -> None:
    log_fault(error)


async def run_periodically(
    name: str,
    interval_s: float,
    step: Callable[[], Awaitable[None] | None],
    record_fault: FaultHandler = _log,
) -> None:
    """Run `step` now and `interval_s` after each of its ends, until cancelled.

    Args:
        name: Of the task, for `record_fault`.
        interval_s: Seconds between two steps.
        step: A function, or a coroutine function.
        record_fault: Gets what a step raises. The task goes on with the next step.
    """
    while True:
        # Failure: a step raises, and the task ends without a line, as nobody waits for it. It would show as a
        # node that is never started again, or as connections that are never swept.
        try:
            ended = step()
            if ended is not None:
                await ended
        except Exception as error:
            record_fault(name, error)
        await asyncio.sleep(interval_s)
