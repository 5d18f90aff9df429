"""Trying a system call again while the machine has no room for it, for a bounded time."""

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
"""What may be over soon: this machine lacks something, or an address is still taken by a process that
ends."""

Result = TypeVar("Result")


class _RetryBudget:
    """Says whether a call that has failed is to be tried again. Bound: `seconds` since its making."""

    def __init__(self, what: str, seconds: float, may_pass: Callable[[Exception], bool]) -> None:
        self._what, self._may_pass = what, may_pass
        self._until = time.monotonic() + seconds
        self._has_logged = False

    def check(self, error: Exception) -> None:
        """Raise the error where trying again is no use any more."""
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
    """The result of the first attempt that doesn't fail with what may pass; the last error after so many
    seconds. Waits in between, so not for a running loop.
    """
    budget = _RetryBudget(what, seconds, may_pass)
    while True:
        try:
            return attempt()
        except Exception as error:
            budget.check(error)
        time.sleep(_RETRY_DELAY_S)


async def retry_async(what: str, attempt: Callable[[], Awaitable[Result]], seconds: float) -> Result:
    """The same for attempts in a running loop."""
    budget = _RetryBudget(what, seconds, _is_transient_error)
    while True:
        try:
            return await attempt()
        except Exception as error:
            budget.check(error)
        await asyncio.sleep(_RETRY_DELAY_S)
