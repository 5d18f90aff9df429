"""Opening a connection within a time, whatever fails as the try is called off."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

__all__ = ["dial"]

Opened = TypeVar("Opened")


async def dial(opening: Callable[[], Awaitable[Opened]], within_s: float) -> Opened:
    """What `opening`, which begins an `open_connection` or a `create_connection`, gives; OSError where it
    fails, TimeoutError where it takes longer.
    """
    return await asyncio.wait_for(_open_cancellable(opening), within_s)


async def _open_cancellable(opening: Callable[[], Awaitable[Opened]]) -> Opened:
    """Where the close of its socket fails as it is cancelled, asyncio takes that for a failed try of which it
    has noted no error, and raises IndexError: the cancellation has to go on.
    """
    try:
        return await opening()
    except IndexError:
        raise asyncio.CancelledError from None
