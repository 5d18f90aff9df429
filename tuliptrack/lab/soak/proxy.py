"""A TCP proxy in front of one server that can be told to fail.

The proxy accepts connections and reads whatever is sent, so the sender's kernel sees every byte confirmed,
whether or not it is handed on. That is what a middlebox, a load balancer or a machine whose process is gone
looks like from the other side.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum

__all__ = ["Fault", "FaultProxy"]

_READ_BYTES = 65_536


class Fault(Enum):
    """What happens to the bytes of a connection."""

    NONE = "none"
    """They are handed on as they come."""
    DISCARD = "discard"
    """They are read and thrown away: the connection is silent for good."""
    HOLD = "hold"
    """They are read and kept, and handed on when the fault is over: they arrive late."""


def _ignore(*_: object) -> None:
    pass


class _Direction:
    """One direction of a proxied connection."""

    def __init__(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        watched: bool,
    ) -> None:
        self.connection, self.reader, self.writer, self.watched = connection, reader, writer, watched
        self.held: list[bytes] = []

    async def pump(self) -> None:
        """Hand bytes on until the sender ends."""
        with contextlib.suppress(OSError):
            while data := await self.reader.read(_READ_BYTES):
                if self.watched:
                    self.connection.answered = False
                    self.connection.proxy.on_request_bytes(self.connection, data)
                if self.connection.proxy.delay_s:
                    await asyncio.sleep(self.connection.proxy.delay_s)
                self.hand_on(data)
        if self.watched and not self.connection.answered:
            self.connection.proxy.on_given_up(self.connection)
        self.connection.ended = True
        if self.connection.fault is Fault.NONE:
            self.connection.close()

    def hand_on(self, data: bytes) -> None:
        """Do with these bytes what the connection's fault says."""
        if self.connection.fault is Fault.HOLD:
            self.held.append(data)
        elif self.connection.fault is Fault.NONE and not self.writer.is_closing():
            if not self.watched and not self.connection.answered:
                self.connection.answered = True
                self.connection.proxy.on_answer_bytes(self.connection)
            self.writer.write(data)

    def release(self) -> None:
        """Hand on what was held."""
        held, self.held = self.held, []
        for data in held:
            self.hand_on(data)


class _Connection:
    """One proxied connection."""

    def __init__(self, proxy: FaultProxy, fault: Fault) -> None:
        self.proxy, self.fault = proxy, fault
        self.ended = False
        """One side has closed it."""
        self.answered = True
        """Something was handed back since the client last sent."""
        self.writers: list[asyncio.StreamWriter] = []
        self.directions: list[_Direction] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        host, _, port = self.proxy.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.close()
            return
        self.writers.append(upstream_writer)
        self.directions = [
            _Direction(self, reader, upstream_writer, True),
            _Direction(self, upstream_reader, writer, False),
        ]
        await asyncio.gather(*(direction.pump() for direction in self.directions))
        self.close()

    def heal(self) -> None:
        """The fault is over. What was thrown away is missing, so such a connection can't go on: it is
        reset.
        """
        if self.fault is Fault.DISCARD:
            self.close()
            return
        self.fault = Fault.NONE
        for direction in self.directions:
            direction.release()
        if self.ended:  # What one side had sent before it closed arrives, and then its end.
            for writer in self.writers:
                writer.close()

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """A listener that hands connections on to `target` (host:port). `close` ends every connection and task of
    it.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        """Seconds by which bytes arrive late, in both directions."""
        self.new_connections = Fault.NONE
        """What new connections are opened with."""
        self.on_request_bytes: Callable[[object, bytes], None] = _ignore
        """Called with a connection and what its client sends, as it comes and whatever becomes of it."""
        self.on_answer_bytes: Callable[[object], None] = _ignore
        """Called with a connection as the first bytes of an answer are handed back on it."""
        self.on_given_up: Callable[[object], None] = _ignore
        """Called with a connection that its client has closed without an answer to what it had sent last."""
        self._server: asyncio.Server | None = None
        self._connections: dict[_Connection, asyncio.Task[None]] = {}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> FaultProxy:
        self._server = await asyncio.start_server(self._accept, host, port)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        return self

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(self, self.new_connections)
        task = asyncio.current_task()
        assert task
        self._connections[connection] = task
        try:
            await connection.serve(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            connection.close()
            del self._connections[connection]

    def fail_open_connections(self, fault: Fault) -> None:
        """Apply a fault to the connections that are open now; new ones work."""
        for connection in self._connections:
            connection.fault = fault

    def fail_machine(self, fault: Fault) -> None:
        """Apply a fault to the connections that are open now and to all new ones."""
        self.new_connections = fault
        self.fail_open_connections(fault)

    def reset_open_connections(self) -> None:
        """End the connections that are open now."""
        for connection in list(self._connections):
            connection.close()

    def heal(self) -> None:
        """End every fault."""
        self.new_connections, self.delay_s = Fault.NONE, 0.0
        for connection in list(self._connections):
            connection.heal()

    async def close(self) -> None:
        if self._server:
            self._server.close()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
