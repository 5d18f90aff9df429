"""Trying a system call again while the machine has no room for it, for a bounded time."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import structlog

__all__ = ["MOMENTARY", "retry", "retry_async"]

log = structlog.get_logger("rpc.retry")
_AGAIN_S = 0.05
MOMENTARY = frozenset(
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


class _Patience:
    """Says whether a call that has failed is to be tried again. Bound: `seconds` since its making."""

    def __init__(self, what: str, seconds: float, may_pass: Callable[[Exception], bool]) -> None:
        self._what, self._may_pass = what, may_pass
        self._until = time.monotonic() + seconds
        self._told = False

    def check(self, error: Exception) -> None:
        """Raise the error where trying again is no use any more."""
        if time.monotonic() >= self._until or not self._may_pass(error):
            raise error
        if not self._told:
            self._told = True
            log.warning("tried again", what=self._what, reason=str(error))


def _momentary(error: Exception) -> bool:
    return isinstance(error, OSError) and error.errno in MOMENTARY


def retry(
    what: str,
    attempt: Callable[[], Result],
    seconds: float,
    may_pass: Callable[[Exception], bool] = _momentary,
) -> Result:
    """The result of the first attempt that doesn't fail with what may pass; the last error after so many
    seconds. Waits in between, so not for a running loop.
    """
    patience = _Patience(what, seconds, may_pass)
    while True:
        try:
            return attempt()
        except Exception as error:
            patience.check(error)
        time.sleep(_AGAIN_S)


async def retry_async(what: str, attempt: Callable[[], Awaitable[Result]], seconds: float) -> Result:
    """The same for attempts in a running loop."""
    patience = _Patience(what, seconds, _momentary)
    while True:
        try:
            return await attempt()
        except Exception as error:
            patience.check(error)
        await asyncio.sleep(_AGAIN_S)
