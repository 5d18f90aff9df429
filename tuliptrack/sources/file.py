"""Endpoint lists from a file in protobuf text format, read again whenever the file has changed."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from typing import NamedTuple

import structlog

from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.periodic import run_periodically

__all__ = ["FileSource"]

log = structlog.get_logger("sources.file")


class _FileVersion(NamedTuple):
    """Metadata by which a change of the file is detected; all zero if it can't be read."""

    modified_ns: int = 0
    size_bytes: int = 0
    inode: int = 0


class FileSource:
    """Polls a file. One that is unreadable or half written is logged once and published as FAILED."""

    def __init__(self, path: str, poll_interval_us: int) -> None:
        """Prepare to read the file at `path`; `start` begins to poll."""
        self._path = path
        self._poll_interval_us = poll_interval_us
        self._publish: Callable[[pb.ServerList], None] = lambda _: None
        self._task: asyncio.Task[None] | None = None
        self._last_version: _FileVersion | None = None

    def start(self, publish: Callable[[pb.ServerList], None]) -> None:
        """Begin to poll; `publish` is called with each list read."""
        self._publish = publish
        self._task = asyncio.get_running_loop().create_task(self._poll())

    async def _poll(self) -> None:
        await run_periodically("endpoint list file", self._poll_interval_us / 1e6, self._read_if_changed)

    def _read_if_changed(self) -> None:
        version = self._file_version()
        if version != self._last_version:
            self._read(version)

    def _read(self, version: _FileVersion) -> None:
        self._last_version = version
        try:
            message, located = read_file(self._path, pb.ServerList)
            located.check()
        except ConfigError as error:
            log.warning("endpoint list rejected", source=self._path, reason=str(error))
            message = pb.ServerList(kind=pb.ServerList.FAILED)
        self._publish(message)

    def _file_version(self) -> _FileVersion:
        try:
            status = os.stat(self._path)
        except OSError:
            return _FileVersion()
        return _FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)

    def subscribe(self, on: bool) -> None:
        """Read the file if `on`; there is no watch stream to open or close."""
        if on:
            self.fetch()

    def fetch(self) -> None:
        """Read the file soon, changed or not."""
        asyncio.get_running_loop().call_soon(lambda: self._read(self._file_version()))

    async def close(self) -> None:
        """Stop polling."""
        if self._task:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
