"""Runs a step of a long-lived task periodically, and continues after a step that raises."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tuliptrack.rpc.loop_errors import log_fault

__all__ = ["FaultHandler", "run_periodically"]

FaultHandler = Callable[[str, Exception], None]
"""A function that counts and logs an error that only a defect of this program can raise. Its arguments are
the name of the task and the error."""


def _log(_name: str, error: Exception) -> None:
    log_fault(error)


async def run_periodically(
    name: str,
    interval_s: float,
    step: Callable[[], Awaitable[None] | None],
    record_fault: FaultHandler = _log,
) -> None:
    """Run `step` now, and again `interval_s` after each run ends, until cancelled.

    Args:
        name: Name of the task, for `record_fault`.
        interval_s: Seconds from the end of a step to the start of the next.
        step: A function, or a coroutine function.
        record_fault: Called with an exception that a step raises. The task continues with the next step.
    """
    while True:
        # Uncaught, an exception would end the task without a log line, as nothing awaits the task: a node
        # would then never be restarted, or idle connections never be swept.
        try:
            ended = step()
            if ended is not None:
                await ended
        except Exception as error:
            record_fault(name, error)
        await asyncio.sleep(interval_s)
