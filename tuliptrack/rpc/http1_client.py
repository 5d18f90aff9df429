"""HTTP/1.1 towards one address on asyncio: `h1.ClientSide` keeps the protocol's state, this the sockets.

An `Exchange` is one request and its answer. It ends once, through `on_end`, and says how sure it is that the peer never
looked at it. Connections are kept and used again, the last one used first; one that has stood idle too long, or on which
more came than was asked for, is closed instead. Nothing is ever sent again from in here.

Bounds: `Connections` counts those of all addresses together. Where none is left, an idle one of any address makes room;
where none is idle, the exchange ends at once, never sent.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.h1 import Answer, ClientSide, Done, Fields, Part, Wrong
from tuliptrack.rpc.tcp import ended_by_peer, has_unconfirmed, send_at_once, stands

__all__ = ["ClientOptions", "Connections", "Exchange", "How", "Pool"]

_NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # this process has no room; the peer has no part in it


class How(Enum):
    """What ended an exchange."""

    ANSWER = "answer"
    """The whole answer has come."""
    CONNECT = "connect"
    """No connection came up in time, or it broke before the request's last byte was written: it never ran."""
    NO_ROOM = "no room"
    """We hold as many connections as we may, or as the system allows: it was never sent."""
    RESET = "reset"
    """The connection ended, or brought what can't be read, after the request was written."""
    GIVEN_UP = "given up"
    """`Exchange.cancel`."""


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Times in microseconds, sizes in bytes."""

    connect_timeout: int = 250_000
    idle: int = 12_000_000
    """How long a connection may stand idle and still be used."""
    rest: int = 50_000
    """How long a connection rests after an answer: what comes in that time was not asked for."""
    header_bytes: int = 16_384
    body_bytes: int = 262_144


def _nothing(*_: Any) -> None:
    pass


def _always() -> bool:
    return True


class Exchange:
    """One request. Callbacks run at once and must not wait."""

    __slots__ = ("_delivered", "_link", "_paused", "body", "connect_by", "fields", "lone", "method", "on_data", "on_end",
                 "on_head", "open", "sent", "spoilt", "status", "target", "wanted")

    def __init__(self, method: str, target: str, fields: Fields, body: bytes = b"") -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.on_head: Callable[[Answer], None] = _nothing
        self.on_data: Callable[[bytes], None] = _nothing
        self.on_end: Callable[[How, str], None] = _nothing
        self.wanted: Callable[[], bool] = _always
        """Asked once its connection has come up, just before it is sent; False: it is not."""
        self.open, self.status = True, 0
        self.sent = False
        """Its last byte has been written: the peer may act on it. Without, it never ran."""
        self.connect_by = 0
        """Microseconds on the node's clock until which it waits for a connection; 0: as long as any exchange does."""
        self.spoilt = self.lone = False
        """Of one that broke: what came can't be read; only its own connection has ended, which had been kept and brought
        nothing for it, or beside which others to the same address stand, or was not waited for in full."""
        self._link: _Link | None = None
        self._paused = self._delivered = False

    def cancel(self) -> None:
        """Give it up: its connection ends. `on_end` is called at once, unless it has been."""
        if self.open:
            link = self._link
            self.ended(How.GIVEN_UP, "given up")
            if link:
                link.drop("given up")

    def pause(self) -> None:
        """Take no more of the answer for now."""
        self._paused = True
        if self._link:
            self._link.transport.pause_reading()

    def resume(self) -> None:
        self._paused = False
        if self._link:
            self._link.transport.resume_reading()

    def delivered(self) -> bool:
        """Whether the peer's machine has confirmed the whole request, if only by an answer; True where that can't be known."""
        if self.sent and not self._delivered:
            self._delivered = self.status != 0 or self._link is None or not has_unconfirmed(self._link.transport)
        return self._delivered

    def ended(self, how: How, reason: str) -> None:
        if self.open:
            self.delivered()
            self.open, self._link = False, None
            self.on_end(how, reason)


class _Link(asyncio.Protocol):
    """One connection."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.side = ClientSide(pool.options.header_bytes, pool.options.body_bytes)
        self.transport: asyncio.Transport
        self.exchange: Exchange | None = None
        self.dead = False
        self.idle_since = 0.0
        self.uses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        send_at_once(transport)
        transport.set_write_buffer_limits(high=0)  # `resume_writing` then tells that all is written.

    def resume_writing(self) -> None:
        if self.exchange:
            self.exchange.sent = True

    def begin(self, exchange: Exchange) -> None:
        try:
            data = self.side.request(exchange.method, exchange.target, exchange.fields, exchange.body)
        except ValueError as error:
            exchange.ended(How.NO_ROOM, f"can't be sent: {error}")
            self.pool.rests(self)
            return
        self.exchange, exchange._link = exchange, self
        self.uses += 1
        self.transport.write(data)
        if not self.transport.get_write_buffer_size():
            exchange.sent = True
        if exchange._paused:
            self.transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.pool.heard_at = self.pool.loop.time()
        exchange = self.exchange
        if exchange is None:  # Nobody asked for it.
            self.drop("unasked")
            return
        self.side.receive(data)
        try:
            while exchange.open and (event := self.side.next()) is not None:
                if isinstance(event, Answer):
                    exchange.status = event.status
                    exchange.on_head(event)
                elif isinstance(event, Part):
                    exchange.on_data(event.data)
                elif isinstance(event, Done):
                    self._done(exchange)
                    return
        except Wrong as error:
            exchange.spoilt = True
            self._broke(error.reason)

    def _done(self, exchange: Exchange) -> None:
        self.exchange = None
        if not self.dead and self.side.again():
            self.pool.rests(self)
        else:
            self.drop("can't be used again")
        exchange.ended(How.ANSWER, "")

    def eof_received(self) -> bool:
        if self.exchange:  # An answer without a length ends with its connection.
            self.data_received(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._broke(str(exc) if exc else "the connection has ended")

    def _broke(self, reason: str) -> None:
        exchange, self.exchange = self.exchange, None
        self.drop(reason)
        if exchange:
            kept = self.uses > 1 and not exchange.status
            exchange.lone = kept or exchange.spoilt or any(link.stands() for link in self.pool.links)
            exchange.ended(How.RESET if exchange.sent else How.CONNECT, reason)

    def stands(self) -> bool:
        """Whether the kernel holds the connection to be up: what has just broken with it may not have been told yet."""
        return not self.dead and stands(self.transport)

    def ended(self) -> bool:
        """Whether the peer has ended the connection, though that may not have been read yet: what is written now is lost."""
        return self.transport.is_closing() or ended_by_peer(self.transport)

    def drop(self, reason: str) -> None:
        """End the connection now."""
        self.exchange = None
        if not self.dead:
            self.dead = True
            self.pool.lost(self)
            self.transport.abort()


class Connections:
    """How many connections may be held, to all addresses together."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.made = most, 0, 0
        self.pools: list[Pool] = []

    def take(self) -> bool:
        """Room for one more, made if need be by closing the one that has been idle for longest."""
        if self.held >= self.most:
            idle = [pool.idle[0] for pool in self.pools if pool.idle]
            if not idle:
                return False
            min(idle, key=lambda link: link.idle_since).drop("makes room")
        self.held += 1
        self.made += 1
        return True

    def give(self) -> None:
        self.held -= 1


class Pool:
    """Exchanges with one address. `close` ends every exchange and task of it."""

    def __init__(self, address: str, options: ClientOptions, connections: Connections) -> None:
        self.address, self.options, self.connections = address, options, connections
        self.loop = asyncio.get_running_loop()
        self.idle: list[_Link] = []
        """Connections without an exchange, the one used last at the end."""
        self.links: set[_Link] = set()
        self.heard_at = 0.0
        """When something last came from there, on the loop's clock."""
        self._tasks: dict[asyncio.Task[None], Exchange] = {}
        self._closed = False
        connections.pools.append(self)

    def send(self, exchange: Exchange) -> None:
        """Begin an exchange. `on_end` is never called from in here."""
        now = self.loop.time()
        while rested := self._rested(now):
            self.idle.remove(rested)
            if now - rested.idle_since < self.options.idle / 1e6 and not rested.ended():
                rested.begin(exchange)
                return
            rested.drop("idle for too long, or ended")
        if self._closed or not self.connections.take():
            self.loop.call_soon(exchange.ended, How.NO_ROOM, f"{self.connections.held} connections are open")
            return
        task = self.loop.create_task(self._connect(exchange))
        self._tasks[task] = exchange
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def _rested(self, now: float) -> _Link | None:
        """The idle connection to use next; None where none has rested."""
        return next((link for link in reversed(self.idle) if now - link.idle_since >= self.options.rest / 1e6), None)

    def has_spare(self) -> bool:
        """Whether an exchange would need no new connection."""
        return self._rested(self.loop.time()) is not None

    async def _connect(self, exchange: Exchange) -> None:
        host, _, port = self.address.rpartition(":")
        link = _Link(self)
        left = self.options.connect_timeout
        if exchange.connect_by:
            left = min(left, max(exchange.connect_by - now_us(), 0))
        try:
            await asyncio.wait_for(self.loop.create_connection(lambda: link, host.strip("[]"), int(port)), left / 1e6)
        except (OSError, ValueError) as error:  # a time-out is an OSError too
            self.connections.give()
            exchange.lone = isinstance(error, TimeoutError) and left < self.options.connect_timeout
            room = getattr(error, "errno", None) not in _NO_ROOM
            exchange.ended(How.CONNECT if room else How.NO_ROOM, f"connect: {error or 'timed out'}")
            return
        except asyncio.CancelledError:
            self.connections.give()
            raise
        self.links.add(link)
        if exchange.open and exchange.wanted() and exchange.open:
            link.begin(exchange)
        else:
            exchange.lone = True
            exchange.ended(How.CONNECT, "not wanted any more")
            self.rests(link)

    def rests(self, link: _Link) -> None:
        """A connection has no exchange now."""
        if self._closed:
            link.drop("closed")
            return
        link.idle_since = self.loop.time()
        link.transport.resume_reading()
        self.idle.append(link)

    def lost(self, link: _Link) -> None:
        if link in self.links:
            self.links.discard(link)
            self.connections.give()
        if link in self.idle:
            self.idle.remove(link)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self.loop.time()
        for link in [k for k in self.idle if now - k.idle_since >= self.options.idle / 1e6]:
            link.drop("idle for too long")

    def close_idle(self) -> None:
        for link in list(self.idle):
            link.drop("idle")

    @property
    def busy(self) -> bool:
        return bool(self._tasks) or len(self.links) > len(self.idle)

    async def close(self) -> None:
        """End it all."""
        self._closed = True
        if self in self.connections.pools:
            self.connections.pools.remove(self)
        tasks = list(self._tasks.items())
        for task, exchange in tasks:
            task.cancel()
            exchange.ended(How.GIVEN_UP, "closed")
        for link in list(self.links):
            exchange_out = link.exchange
            link.drop("closed")
            if exchange_out:
                exchange_out.ended(How.GIVEN_UP, "closed")
        if tasks:
            await asyncio.wait([task for task, _ in tasks])
