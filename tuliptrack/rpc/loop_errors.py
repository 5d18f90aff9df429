"""Logs errors that an event loop reports because no caller handles them.

asyncio's transports call `close` and `shutdown` where an error can't be raised to a caller; the connection
has ended all the same. Such an error is logged in one line without a traceback. Anything else is a defect of
this program and keeps its traceback.
"""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

__all__ = ["log_fault", "log_loop_errors"]

log = structlog.get_logger("loop")


def log_loop_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Log the unhandled errors of this loop."""
    loop.set_exception_handler(_log)


def log_fault(error: Exception) -> None:
    """Log an error that only a defect of this program can raise, with its type and its traceback."""
    log.error("fault of this program", type=type(error).__name__, reason=str(error), exc_info=error)


def _log(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    if isinstance(error, OSError):
        log.info("a system call failed", reason=str(error))
    else:
        log.error("unhandled error", what=context.get("message", ""), exc_info=error)
