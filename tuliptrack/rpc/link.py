"""The I/O around `core.Core`: one connection on asyncio streams, with its reading task and its writes.

Event handlers run synchronously and must not block; what they send is written together at the end of the loop's
iteration. Many small frames are processed by turns, as described in `input_scheduler.py`. While the socket
accepts no more, calls queue their messages within the core's bounds, and control frames within its limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from abc import abstractmethod

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import Core
from tuliptrack.rpc.events import Event
from tuliptrack.rpc.input_scheduler import InputScheduler

__all__ = ["Link"]

_READ_SIZE = 131_072  # bytes of one read from a socket
_WRITE_HIGH = 262_144  # bytes in the write buffer beyond which calls queue their messages
# Bytes in the write buffer beyond which the connection is closed: only control frames can fill it so far.
_WRITE_LIMIT = 8_388_608


class _ReadBatch(threading.local):
    """The connections that have something to write as a result of the received bytes being processed; None
    while no received bytes are processed.
    """

    links: dict[Link, None] | None = None


_read_batch = _ReadBatch()


class Link:
    """One connection. Its owner awaits `run`, or ends it with `close`; neither leaves a task behind."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, core: Core) -> None:
        self.reader, self.writer, self.core = reader, writer, core
        self.loop = asyncio.get_running_loop()
        self.heard_at = now_us()
        """When something was last received, or what was received before was last processed, in monotonic
        microseconds. A connection whose input waits for its turn is not read, and yet not silent."""
        self.received_at = self.heard_at
        """When the input that is being processed was read, in monotonic microseconds."""
        self._inputs = InputScheduler.of(self.loop)
        self._received = b""
        """What was read last, until its first turn."""
        self._is_processed = asyncio.Event()
        """Whether the input that was read is processed, or the connection is closed."""
        self._scheduled = False
        self._blocked: asyncio.Task[None] | None = None
        self.closed = False
        self.flush_soon()

    @abstractmethod
    def on_event(self, event: Event) -> None:
        """Act on one event of the core."""

    async def run(self) -> None:
        """Read until the connection ends; on return it is closed and all its calls have ended."""
        reason = "closed by the peer"
        try:
            while not self.core.dead:
                data = await self.reader.read(_READ_SIZE)
                if not data:
                    break
                self.received_at, self._received = now_us(), data
                self._is_processed.clear()
                self._inputs.process(self)
                if self.has_input():
                    await self._is_processed.wait()
        except OSError as error:
            reason = str(error) or type(error).__name__
        finally:
            self.close(reason)
            if self._blocked:
                self._blocked.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await self._blocked
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.wait_for(self.writer.wait_closed(), 1.0)

    def has_input(self) -> bool:
        return not self.closed and not self.core.dead and (bool(self._received) or self.core.has_input)

    def process_input(self, quantum: int) -> int:
        """Process frames, and write what they have caused to be sent."""
        data, self._received = self._received, b""
        self.heard_at = now_us()
        _read_batch.links = {self: None}
        try:
            self._act(self.core.receive(data, self.received_at, quantum))
        finally:
            links, _read_batch.links = _read_batch.links, None
            for link in links:
                link._flush()
        if not self.has_input():
            self._is_processed.set()
        return self.core.work_done

    def abort(self) -> None:
        self.close("the input can't be processed")

    def _act(self, events: list[Event]) -> None:
        for event in events:
            self.on_event(event)

    def flush_soon(self) -> None:
        """Write the core's output: once the received bytes being processed are done with, or by `call_soon`
        if no received bytes are being processed.
        """
        if _read_batch.links is not None:
            _read_batch.links[self] = None
        elif not self._scheduled and not self.closed:
            self._scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        if self.closed or self._blocked:
            return
        if data := self.core.take():
            self.writer.write(data)
            waiting = self.writer.transport.get_write_buffer_size()
            if waiting > _WRITE_LIMIT:
                self.close("the peer reads nothing")
                return
            if waiting > _WRITE_HIGH:
                self._blocked = self.loop.create_task(self._unblock())
        self._act(self.core.events())
        if self.core.dead:
            self.close("broken")

    async def _unblock(self) -> None:
        with contextlib.suppress(OSError):
            await self.writer.drain()
        self._blocked = None
        self.flush_soon()

    def close(self, reason: str) -> None:
        """Close the connection: write what can be written, end every open call, close the socket."""
        if self.closed:
            return
        self.closed = True
        self._inputs.remove(self)
        self._is_processed.set()
        with contextlib.suppress(OSError, RuntimeError):
            for over in (False, True):  # First writes the given answers, then ends the other calls.
                if over:
                    self._act(self.core.lost(reason))
                if data := self.core.take():
                    self.writer.write(data)
            self.writer.close()
        if self.writer.transport.get_write_buffer_size() > 0:
            self.loop.call_later(1.0, self.writer.transport.abort)
