"""Server lists from a file in text format, read again whenever it has changed."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable

import structlog

from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.proto import fleet_pb2 as pb

__all__ = ["FileSource"]

log = structlog.get_logger("sources.file")


class FileSource:
    """Looks at the file every `poll` microseconds. A file that can't be read, or is half written, is logged
    once and told as FAILED; the list held stays.
    """

    def __init__(self, path: str, poll: int) -> None:
        self.path, self.poll = path, poll
        self.tell: Callable[[pb.ServerList], None] = lambda _: None
        self._task: asyncio.Task[None] | None = None
        self._seen: tuple[int, int, int] | None = None

    def start(self, tell: Callable[[pb.ServerList], None]) -> None:
        self.tell = tell
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(self.poll / 1e6)

    def look(self, anew: bool = False) -> None:
        """Read the file where it isn't what was read last, or `anew`."""
        try:
            status = os.stat(self.path)
            mark = (status.st_mtime_ns, status.st_size, status.st_ino)
        except OSError:
            mark = (0, 0, 0)
        if mark == self._seen and not anew:
            return
        self._seen = mark
        try:
            message, located = read_file(self.path, pb.ServerList)
            located.check()
        except ConfigError as error:
            log.warning("server list not taken", source=self.path, reason=str(error))
            message = pb.ServerList(kind=pb.ServerList.FAILED)
        self.tell(message)

    def subscribe(self, on: bool) -> None:
        """A file needs no subscription; asked for one, it is read anew."""
        if on:
            self.fetch()

    def fetch(self) -> None:
        asyncio.get_running_loop().call_soon(self.look, True)

    async def close(self) -> None:
        if self._task:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
