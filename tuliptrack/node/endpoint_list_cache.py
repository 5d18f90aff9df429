"""Saves the last endpoint list to disk, so that the node can start while its source is unreachable.

One save runs at a time, in a thread. If lists arrive meanwhile, one further save covers them all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from tuliptrack.proto import fleet_pb2
from tuliptrack.sources.endpoint_list import save_cache

__all__ = ["EndpointListCache"]

log = structlog.get_logger("node")


class EndpointListCache:
    """The cached endpoint list of one node."""

    def __init__(self, path: str, current_list: Callable[[], fleet_pb2.ServerList]) -> None:
        """Create the cache without accessing the file.

        Args:
            path: The file; if empty, nothing is saved.
            current_list: Returns the list to save; called on the event loop.
        """
        self.path, self.current_list = path, current_list
        self.task: asyncio.Task[None] | None = None
        """The latest save, running or done."""
        self._is_save_due = False

    def save(self) -> None:
        """Save the list as it is now or, if a save is running, as it is when that save has ended."""
        if not self.path:
            return
        self._is_save_due = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._is_save_due:
            self._is_save_due = False
            try:
                await asyncio.to_thread(save_cache, self.path, self.current_list())
            except OSError as error:
                log.warning("endpoint list not cached", reason=str(error))

    async def close(self) -> None:
        """Wait for the running save: its thread can't be interrupted, and half a file would be of no use."""
        if self.task:
            await self.task
