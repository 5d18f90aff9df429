"""A TCP proxy between two processes that can block either direction, add delay, leave connections half open
or reset them.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Flag, auto

__all__ = ["Cut", "TcpLink"]

_READ_BYTES = 65_536


class Cut(Flag):
    """Blocked directions. Bytes are held back, as by a network that drops packets: both ends see an open
    connection.
    """

    NOTHING = 0
    THERE = auto()
    """From the connecting side to `target`."""
    BACK = auto()
    BOTH = THERE | BACK


class TcpLink:
    """Listens and forwards each connection to `target` (host:port)."""

    def __init__(self, target: str) -> None:
        self.target, self.address = target, ""
        self.delay = 0.0
        """Seconds added to each read, in each direction."""
        self.cut = Cut.NOTHING
        self.closed_to_new = False
        """New connections are accepted and not forwarded: half open from the start."""
        self.passed = {Cut.THERE: 0, Cut.BACK: 0}
        """Bytes forwarded, by direction."""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def set(self, cut: Cut) -> None:
        """Set the blocked directions; bytes held back in the others are forwarded."""
        self.cut = cut
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Reset every connection on both sides."""
        for writer in self._writers:
            with contextlib.suppress(OSError):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def stop(self) -> None:
        if self._server:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        writers = [writer]
        self._writers.add(writer)
        try:
            while self.closed_to_new:
                await self._changed.wait()
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            writers.append(target_writer)
            self._writers.add(target_writer)
            await asyncio.gather(
                self._pump(reader, target_writer, Cut.THERE), self._pump(target_reader, writer, Cut.BACK)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for opened in writers:
                opened.close()
                self._writers.discard(opened)
            self._tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Cut) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            while direction in self.cut:
                await self._changed.wait()
            writer.write(data)
            self.passed[direction] += len(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
