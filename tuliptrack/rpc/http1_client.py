"""One HTTP/1.1 client connection on asyncio.

`h1.ClientSide` keeps the protocol state; this module handles the socket. A connection carries one exchange at
a time, and never retries one. The work on an answer that comes in many parts is limited, as described in
`input_scheduler.py`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from tuliptrack.rpc.arrival_times import HeldUpInput
from tuliptrack.rpc.h1 import BodyPart, ClientSide, ProtocolError, ResponseEnd, ResponseHead
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.input_scheduler import (
    EVENT_BYTES_PER_UNIT,
    FIELDS_PER_UNIT,
    QUANTUM,
    READ_BYTES,
    InputScheduler,
)
from tuliptrack.rpc.tcp import (
    is_closed_by_peer,
    is_established,
    last_arrival_us,
    set_nodelay,
    set_receive_buffer,
    unread_bytes,
)

__all__ = ["ClientConnection", "ClientOptions", "Owner"]


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """Times in microseconds, sizes in bytes."""

    connect_timeout: int = 250_000
    """Time within which a working connection has to be found."""
    idle: int = 12_000_000
    """How long a connection may be idle and still be reused."""
    rest: int = 50_000
    """How long after an answer a connection is not reused: bytes that arrive in that time are unsolicited."""
    header_bytes: int = 16_384
    stated_bytes: int = 67_108_864
    """Maximum size that an answer may announce, of a chunk or of a body that is not chunked. A peer that announces
    gigabytes is at fault, whatever it sends then."""
    receive_bytes: int = 0
    """Size of the kernel's receive buffer; 0: as the system sets it. With room for a usual answer, a peer can
    write on while the exchange is paused, and what it has written is known by when it arrived."""
    write_bytes: int = 65_536
    """How much of a request waits in the write buffer of a connection; the rest stays in the exchange's body."""


class Owner(Protocol):
    """The pool that a connection belongs to."""

    options: ClientOptions
    loop: asyncio.AbstractEventLoop

    def mark_heard(self) -> None:
        """Note that something was received from the peer."""

    def doubt(self, since: float) -> None:
        """Note that an answer is overdue: nothing was received on one of the pool's connections since
        `since`, on the loop's clock.
        """

    def return_to_pool(self, connection: ClientConnection) -> None:
        """Take back a connection that has no exchange."""

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def any_established(self) -> bool:
        """Whether the kernel reports any of the pool's connections as established."""


class ClientConnection(asyncio.BufferedProtocol):
    """One connection; see `http1_exchange.Carrier` and `input_scheduler.Receiver`."""

    def __init__(self, owner: Owner, opened_for: Exchange) -> None:
        self.owner = owner
        self.opened_for: Exchange | None = opened_for
        """The exchange that the connection was opened for; None once it has been returned to the pool."""
        self.side = ClientSide(owner.options.header_bytes, owner.options.stated_bytes)
        self.transport: asyncio.Transport
        self.exchange: Exchange | None = None
        self.connected = self.dead = False
        self.idle_since = 0.0
        self.opened_at = self.heard_at = 0.0
        """When the connection was opened, and when something was last received on it, on the loop's clock."""
        self._is_reused = False
        self._inputs = InputScheduler.of(owner.loop)
        self._is_input_pending = False
        """Whether received bytes may hold an event that was not processed yet."""
        self._work_done = 0
        """Work done on input in this turn."""
        self._is_held = False
        """Whether the exchange asks to read nothing."""
        self._held_up = HeldUpInput()
        """What arrived while the exchange asked to read nothing."""
        self._body_position = 0
        """How much of the body of the exchange's request the transport was given."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.connected = transport, True
        self.opened_at = self.owner.loop.time()
        set_nodelay(transport)
        if self.owner.options.receive_bytes:
            set_receive_buffer(transport, self.owner.options.receive_bytes)
        # `resume_writing` is then called once all that the transport has is written.
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        if self.exchange:
            self._write_body(self.exchange)

    def _write_body(self, exchange: Exchange) -> None:
        """Write the body, a part at a time: the transport copies what the kernel does not take."""
        size, body = self.owner.options.write_bytes, memoryview(exchange.body)
        while (
            self._body_position < len(body)
            and not self.write_buffer_bytes
            and not self.transport.is_closing()
        ):
            self.transport.write(body[self._body_position : self._body_position + size])
            self._body_position += size
        if self._body_position >= len(body) and not self.write_buffer_bytes:
            self._sent(exchange)

    def _sent(self, exchange: Exchange) -> None:
        exchange.sent, exchange.sent_at = True, self.owner.loop.time()
        exchange.body = b""  # An exchange is never sent again.

    def begin(self, exchange: Exchange) -> None:
        """Send a request."""
        self._is_reused = self.opened_for is not exchange
        exchange.before_write()
        try:
            head = self.side.request(exchange.method, exchange.target, exchange.fields, exchange.body)
        except ValueError as error:
            exchange.ended(ExchangeOutcome.RESOURCE_EXHAUSTED, f"can't be sent: {error}")
            self.owner.return_to_pool(self)
            return
        self.exchange, exchange.carrier = exchange, self
        # The head goes out together with the first part of the body, in one segment if they fit.
        self._body_position = max(self.owner.options.write_bytes - len(head), 0)
        self.transport.write(head + exchange.body[: self._body_position])
        self._write_body(exchange)
        if exchange.paused:
            self.pause()

    @property
    def write_buffer_bytes(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._inputs.read_buffer[: self._held_up.read_size(READ_BYTES)]

    def buffer_updated(self, size: int) -> None:
        self.owner.mark_heard()
        self.heard_at = self.owner.loop.time()
        exchange = self.exchange
        if exchange is None:  # No request is open on this connection.
            self.drop("unasked")
            return
        exchange.heard = exchange.heard or exchange.sent
        exchange.arrived_at_us = self._held_up.arrived_at_us(size) or self._inputs.earliest_arrival_us()
        self.side.receive(bytes(self._inputs.read_buffer[:size]))
        self._is_input_pending = True
        self._inputs.process(self)
        self._update_reading()

    def has_input(self) -> bool:
        return self._is_input_pending and self.exchange is not None

    def process_input(self, quantum: int) -> int:
        """Pass parts of the answer to the exchange, in order."""
        self._work_done = 0
        try:
            while self.has_input() and self._work_done < quantum:
                self._work_done += 1
                self._is_input_pending = self._step()
        except ProtocolError as error:
            if self.exchange:
                self.exchange.is_malformed = True
            self._broke(error.reason)
        self._update_reading()
        return self._work_done

    def abort(self) -> None:
        self.transport.abort()

    def _step(self) -> bool:
        """Process one event; return False if more bytes are needed, or the exchange has ended."""
        exchange = self.exchange
        if exchange is None or not exchange.open or (event := self.side.next()) is None:
            return False
        if isinstance(event, ResponseHead):
            exchange.status = event.status
            self._work_done += len(event.fields) // FIELDS_PER_UNIT
            exchange.on_head(event)
        elif isinstance(event, BodyPart):
            self._work_done += len(event.data) // EVENT_BYTES_PER_UNIT
            exchange.on_data(event.data)
        elif isinstance(event, ResponseEnd):
            self._done(exchange)
            return False
        return True

    def _update_reading(self) -> None:
        """Read only if the exchange takes more, and nothing that was read waits for its turn."""
        if self._is_held or self.has_input():
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _done(self, exchange: Exchange) -> None:
        self.exchange = None
        # The rest of a request that was answered early must not be sent: the peer would receive the request in
        # full, and might process it, after it was sent to another peer.
        if not self.dead and exchange.sent and self.side.start_next_cycle():
            self.owner.return_to_pool(self)
        else:
            self.drop("can't be used again")
        exchange.ended(ExchangeOutcome.ANSWER, "")

    def eof_received(self) -> bool:
        if self.exchange:  # An answer without a length ends with its connection.
            # What came before the end has been processed: a connection with pending input is not read.
            self.side.receive(b"")
            self._is_input_pending = True
            self.process_input(QUANTUM)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._broke(str(exc) if exc else "the connection has ended")

    def _broke(self, reason: str) -> None:
        exchange, self.exchange = self.exchange, None
        self.drop(reason)
        if exchange:
            unanswered = self._is_reused and not exchange.status
            exchange.is_connection_only = unanswered or exchange.is_malformed or self.owner.any_established()
            exchange.ended(ExchangeOutcome.RESET if exchange.sent else ExchangeOutcome.CONNECT, reason)

    def is_established(self) -> bool:
        """Whether the kernel reports the connection as established; it may miss a very recent failure."""
        return not self.dead and is_established(self.transport)

    def is_closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection, even if the loop has not read that yet. If it has, a
        request that is written now is lost.
        """
        return self.transport.is_closing() or is_closed_by_peer(self.transport)

    def sample_unread(self) -> bool:
        """Date the bytes that were received and are not read yet; return whether there are any."""
        size = unread_bytes(self.transport)
        if self._is_held:
            self._held_up.sample(size, last_arrival_us(self.transport))
        return size > 0 or self.has_input()

    def pause(self) -> None:
        self._is_held = True
        self.sample_unread()
        self._update_reading()

    def resume(self) -> None:
        self._is_held = False
        self._update_reading()

    def doubt(self, since: float) -> None:
        self.owner.doubt(since)

    def drop(self, reason: str) -> None:
        """Close the connection now."""
        self.exchange = None
        self._inputs.remove(self)
        if not self.dead:
            self.dead = True
            self.owner.remove_connection(self)
            if self.connected:
                self.transport.abort()
