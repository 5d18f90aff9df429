"""A TCP link between two processes that can be cut, one way or both, slowed, left half open or reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import Flag, auto

__all__ = ["Cut", "Wire"]

_AT_ONCE = 65_536


class Cut(Flag):
    """What doesn't come through. Bytes are held back, as by a network that drops packets: both ends see an
    open connection.
    """

    NOTHING = 0
    THERE = auto()
    """From who connects to the other."""
    BACK = auto()
    BOTH = THERE | BACK


class Wire:
    """Listens, and passes each connection on to `target` (host:port)."""

    def __init__(self, target: str) -> None:
        self.target, self.address = target, ""
        self.delay = 0.0
        """Seconds that each piece of bytes takes more, each way."""
        self.cut = Cut.NOTHING
        self.closed_to_new = False
        """New connections are taken and never passed on: half open from their first moment."""
        self.passed = {Cut.THERE: 0, Cut.BACK: 0}
        """Bytes that have come through, each way."""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._passes, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def set(self, cut: Cut) -> None:
        """Cut, or mend: what was held back then goes on."""
        self.cut = cut
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Every connection breaks at once, both ends told."""
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

    async def _passes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        ends = [writer]
        self._writers.add(writer)
        try:
            while self.closed_to_new:
                await self._changed.wait()
            host, _, port = self.target.rpartition(":")
            onward, back = await asyncio.open_connection(host, int(port))
            ends.append(back)
            self._writers.add(back)
            await asyncio.gather(self._pump(reader, back, Cut.THERE), self._pump(onward, writer, Cut.BACK))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in ends:
                end.close()
                self._writers.discard(end)
            self._tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Cut) -> None:
        while data := await reader.read(_AT_ONCE):
            if self.delay:
                await asyncio.sleep(self.delay)
            while way in self.cut:
                await self._changed.wait()
            writer.write(data)
            self.passed[way] += len(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
