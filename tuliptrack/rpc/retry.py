"""Retries a system call for a bounded time while the machine lacks a resource for it."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog

__all__ = ["TRANSIENT_ERRORS", "retry", "retry_async"]

log = structlog.get_logger("rpc.retry")
_RETRY_DELAY_S = 0.05
TRANSIENT_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Errors that may soon pass: this machine lacks a resource, or an address is still bound by a process that is
ending."""

Result = TypeVar("Result")


class _RetryBudget:
    """Decides whether a failed call is retried: only within `seconds` since this was created."""

    def __init__(self, what: str, seconds: float, may_pass: Callable[[Exception], bool]) -> None:
        self._what, self._may_pass = what, may_pass
        self._until = time.monotonic() + seconds
        self._has_logged = False

    def check(self, error: Exception) -> None:
        """Raise the error if the call is not to be retried."""
        if time.monotonic() >= self._until or not self._may_pass(error):
            raise error
        if not self._has_logged:
            self._has_logged = True
            log.warning("tried again", what=self._what, reason=str(error))


def _is_transient_error(error: Exception) -> bool:
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def retry(
    what: str,
    attempt: Callable[[], Result],
    seconds: float,
    may_pass: Callable[[Exception], bool] = _is_transient_error,
) -> Result:
    """Retry `attempt` while it raises errors for which `may_pass` is true, for at most `seconds`.

    Blocks between attempts, so it is not for a running event loop.

    Returns:
        The result of the first attempt that succeeds.

    Raises:
        Exception: The first error for which `may_pass` is false, or the last one when the time is over.
    """
    budget = _RetryBudget(what, seconds, may_pass)
    while True:
        try:
            return attempt()
        except Exception as error:
            budget.check(error)
        time.sleep(_RETRY_DELAY_S)


async def retry_async(what: str, attempt: Callable[[], Awaitable[Result]], seconds: float) -> Result:
    """Do the same as `retry` in a running event loop, but only for `TRANSIENT_ERRORS`."""
    budget = _RetryBudget(what, seconds, _is_transient_error)
    while True:
        try:
            return await attempt()
        except Exception as error:
            budget.check(error)
        await asyncio.sleep(_RETRY_DELAY_S)
