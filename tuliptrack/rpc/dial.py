"""Opens a connection with a timeout that holds even if cancelling the attempt fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

__all__ = ["dial"]

Opened = TypeVar("Opened")


async def dial(opening: Callable[[], Awaitable[Opened]], within_s: float) -> Opened:
    """Return the result of `opening`, which calls `open_connection` or `create_connection`.

    Raises:
        OSError: The connection failed.
        TimeoutError: Opening the connection took longer than `within_s` seconds.
    """
    return await asyncio.wait_for(_open_cancellable(opening), within_s)


async def _open_cancellable(opening: Callable[[], Awaitable[Opened]]) -> Opened:
    """Open a connection; translate an IndexError on cancellation back into the cancellation.

    If closing the socket fails during the cancellation, asyncio treats that as a failed attempt without a
    recorded error, and raises IndexError in place of CancelledError.
    """
    try:
        return await opening()
    except IndexError:
        raise asyncio.CancelledError from None
