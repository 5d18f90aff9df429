"""A TCP proxy in front of one server, with injectable faults.

The proxy accepts connections and reads whatever is sent, so the sender's kernel gets every byte acknowledged,
whether or not the proxy forwards it. To the sender, a middlebox, a load balancer or a machine whose process is
gone looks the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from enum import Enum

__all__ = ["Fault", "FaultProxy"]

_READ_BYTES = 65_536
_SLOW_READ_INTERVAL_S = 0.05
_BACKLOG_FILLERS = 4


class Fault(Enum):
    """What happens to the bytes of a connection."""

    NONE = "none"
    """They are forwarded as they come."""
    DISCARD = "discard"
    """They are read and discarded: the connection stays silent for good."""
    HOLD = "hold"
    """They are read and buffered, and forwarded late, when the fault is over."""


def _ignore(*_: object) -> None:
    pass


class _Direction:
    """One direction of a proxied connection."""

    def __init__(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_from_client: bool,
    ) -> None:
        self.connection, self.reader, self.writer, self.is_from_client = (
            connection,
            reader,
            writer,
            is_from_client,
        )
        self.buffered: list[bytes] = []

    async def pump(self) -> None:
        """Forward bytes until the sender closes."""
        with contextlib.suppress(OSError):
            while data := await self._read():
                if self.is_from_client:
                    self.connection.answered = False
                    self.connection.proxy.on_request_bytes(self.connection, data)
                if self.connection.proxy.delay_s:
                    await asyncio.sleep(self.connection.proxy.delay_s)
                self.forward(data)
        if self.is_from_client and not self.connection.answered:
            self.connection.proxy.on_abandoned(self.connection)
        self.connection.ended = True
        if self.connection.fault is Fault.NONE:
            self.connection.close()

    async def _read(self) -> bytes:
        """Return the next bytes; slowly, if the proxy reads what clients send slowly."""
        bytes_per_s = self.connection.proxy.slow_read_bytes_per_s
        if not (self.is_from_client and bytes_per_s):
            return await self.reader.read(_READ_BYTES)
        await asyncio.sleep(_SLOW_READ_INTERVAL_S)
        return await self.reader.read(max(int(bytes_per_s * _SLOW_READ_INTERVAL_S), 1))

    def forward(self, data: bytes) -> None:
        """Forward, buffer or discard these bytes, depending on the connection's fault."""
        if self.connection.fault is Fault.HOLD:
            self.buffered.append(data)
        elif self.connection.fault is Fault.NONE and not self.writer.is_closing():
            if not self.is_from_client and not self.connection.answered:
                self.connection.answered = True
                self.connection.proxy.on_answer_bytes(self.connection)
            self.writer.write(data)

    def release(self) -> None:
        """Forward the buffered bytes."""
        buffered, self.buffered = self.buffered, []
        for data in buffered:
            self.forward(data)


class _Connection:
    """One proxied connection."""

    def __init__(self, proxy: FaultProxy, fault: Fault) -> None:
        self.proxy, self.fault = proxy, fault
        self.ended = False
        """Whether one side has closed the connection."""
        self.answered = True
        """Whether answer bytes were forwarded since the client last sent something."""
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
        """End the fault. A connection whose bytes were discarded can't continue, so it is reset."""
        if self.fault is Fault.DISCARD:
            self.close()
            return
        self.fault = Fault.NONE
        for direction in self.directions:
            direction.release()
        if self.ended:  # The bytes sent before one side closed arrive first, then the close.
            for writer in self.writers:
                writer.close()

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """A listener that forwards connections to `target` (host:port). `close` ends all of its connections and tasks."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        """Seconds by which bytes are delayed, in both directions."""
        self.slow_read_bytes_per_s = 0
        """How fast the proxy reads what clients send; 0: at once."""
        self.new_connections = Fault.NONE
        """The fault of new connections."""
        self.on_request_bytes: Callable[[object, bytes], None] = _ignore
        """Called with a connection and the bytes that its client sends, as they come, forwarded or not."""
        self.on_answer_bytes: Callable[[object], None] = _ignore
        """Called with a connection when the first bytes of an answer are forwarded on it."""
        self.on_abandoned: Callable[[object], None] = _ignore
        """Called with a connection that its client closed before an answer to its last bytes."""
        self._server: asyncio.Server | None = None
        self._full_listener: list[socket.socket] = []
        """A listener whose backlog is full, and the connections that fill it."""
        self._restarting: asyncio.Future[FaultProxy] | None = None
        self._connections: dict[_Connection, asyncio.Task[None]] = {}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> FaultProxy:
        self._server = await asyncio.start_server(self._accept, host, port)
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"
        return self

    @property
    def accepts(self) -> bool:
        """Whether the proxy listens and accepts connections."""
        return self._server is not None and self._server.is_serving()

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

    def accept_no_more(self) -> None:
        """Let no new connection come up: the listener is replaced by one whose backlog is full."""
        if self._server is None or self._full_listener:
            return
        host, _, port = self.address.rpartition(":")
        self._server.close()
        listener = socket.create_server((host, int(port)), backlog=0)
        self._full_listener = [listener, *(socket.socket() for _ in range(_BACKLOG_FILLERS))]
        for filler in self._full_listener[1:]:
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))

    def accept_again(self) -> None:
        """Accept connections again."""
        if not self._full_listener:
            return
        for sock in self._full_listener:
            sock.close()
        self._full_listener.clear()
        host, _, port = self.address.rpartition(":")
        self._restarting = asyncio.ensure_future(self.start(host, int(port)))

    def read_slowly(self, bytes_per_s: int) -> None:
        """Read what clients send at this pace; 0: at once."""
        self.slow_read_bytes_per_s = bytes_per_s

    def reset_open_connections(self) -> None:
        """Reset the connections that are open now."""
        for connection in list(self._connections):
            connection.close()

    def heal(self) -> None:
        """End every fault."""
        self.new_connections, self.delay_s = Fault.NONE, 0.0
        for connection in list(self._connections):
            connection.heal()

    async def close(self) -> None:
        if self._restarting:
            await asyncio.wait([self._restarting])
        for sock in self._full_listener:
            sock.close()
        if self._server:
            self._server.close()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
