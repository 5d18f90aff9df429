"""One HTTP/1.1 connection of a server on asyncio.

`h1.ServerSide` keeps the protocol state; this module handles the socket, its input and output, and timeouts.

A connection is closed in this order: pending output is sent, the write side is shut down, input is read and
discarded until the client closes as well (at most `LINGER_S` and `_LINGER_BYTES`), and the socket is closed.
Closing a socket with unread input would reset the connection, and the client would lose the part of the
answer that it has not read yet. A request that arrives while the connection lingers is not processed: its
client sees the connection end without an answer and may retry.

A client that has shut down its write side counts as disconnected. The shutdown is noticed however much the
client sent before: input beyond `_MAX_PIPELINED_BYTES`, or beyond what the server may hold of pipelined input
in all, is discarded, and the connection is closed after the buffered requests.

What a connection holds in memory is reserved in a budget of its server: the body being received in `bodies`,
and what is buffered behind a request being answered in `pipelined`. A body of known size is read to its end
and no further, so that the rest of the input stays in the kernel until it is reserved. A call does not keep
its body once its handler has returned.
"""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Protocol

import structlog

from tuliptrack.decisions.concurrency_limit import (
    BODIES_FULL,
    ByteBudget,
    ByteReservation,
    rejection_text,
)
from tuliptrack.rpc.arrival_times import ArrivalTimes
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.h1 import BodyPart, Fields, ProtocolError, RequestBody, RequestHead, ServerSide
from tuliptrack.rpc.http1_call import HttpCall, HttpLimits, Rejection
from tuliptrack.rpc.input_scheduler import (
    FIELDS_PER_UNIT,
    JSON_BYTES_PER_UNIT,
    QUANTUM,
    READ_BYTES,
    REQUEST_WORK,
    InputScheduler,
)
from tuliptrack.rpc.tcp import has_unread, last_arrival_us, set_nodelay

__all__ = ["LINGER_S", "ConnectionOwner", "ServerConnection"]

log = structlog.get_logger("rpc.http1")
LINGER_S = 1.0
"""Time for which a client's close is awaited after the write side was shut down."""
_LINGER_BYTES = 1_048_576  # input for which a client's close is awaited
_MAX_LINGER_S = 30.0  # seconds for which a close is awaited while a slow reader still reads output
_SEND_BUFFER = 65_536  # kernel send buffer per connection, which a slow reader can fill
_MAX_PIPELINED_BYTES = 65_536  # input that is buffered while a request is answered
_BODY_BUDGET_FULL = Rejection(503, rejection_text(BODIES_FULL), (("retry-after", "1"),))


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    limits: HttpLimits
    bodies: ByteBudget
    pipelined: ByteBudget
    loop: asyncio.AbstractEventLoop
    last: bool

    def handle(self, call: HttpCall, /) -> None:
        """Handle a complete request."""

    def reject_early(self, call: HttpCall, /) -> Rejection | None:
        """Return the rejection of a request by its head; else None."""

    def admit(self, link: ServerConnection) -> bool:
        """Register a new connection; False if there is no room for it."""

    def remove(self, link: ServerConnection) -> None:
        """Forget a connection that has ended."""

    def mark_busy(self, link: ServerConnection) -> None:
        """Note that a request is being answered."""

    def mark_idle(self, link: ServerConnection) -> None:
        """Note that no request is being answered."""

    def mark_lingering(self, link: ServerConnection) -> None:
        """Note that the write side is shut down and the client's close is awaited."""


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; see `input_scheduler.Receiver` and `http1_call.CallConnection`."""

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.loop = server, server.loop
        limits = server.limits
        self.side = ServerSide(limits.header_bytes, limits.header_fields, limits.body_bytes)
        self.transport: asyncio.Transport
        self.call: HttpCall | None = None
        """The request that is being answered."""
        self._receiving: HttpCall | None = None
        """The request whose body is being received."""
        self._body = ByteReservation(server.bodies)
        """What is reserved for the body of the request being received."""
        self._pipelined = ByteReservation(server.pipelined)
        """What is reserved for the input behind the request being answered."""
        self.closing = self.chunked = self.served = False
        """`closing`: whether the connection's input is no longer processed."""
        self._advancing = self._is_write_paused = self._is_eof_received = False
        self._is_over_limit = False
        """Whether the client pipelined more than may be held: its further input is discarded."""
        self._is_lingering = False
        """Whether the write side is shut down and the client's close is awaited."""
        self._discarded_bytes = 0
        """Bytes that were received, and discarded, since the write side was shut down."""
        self._linger_deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._was_mid_request = False
        self._inputs = InputScheduler.of(server.loop)
        self._read_size = READ_BYTES
        """The most that the read under way may bring."""
        self._arrivals = ArrivalTimes()
        self._is_input_pending = False
        """Whether received bytes may hold an event that was not processed yet."""
        self._work_done = 0
        """Work done on input in this turn."""

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connected = self.loop.time()
        if not self.server.admit(self):
            transport.abort()
            return
        set_nodelay(transport)
        if has_unread(transport):  # A request came while the connection waited to be accepted.
            self._arrivals.reading_paused(last_arrival_us(transport))
        transport.set_write_buffer_limits(high=self.server.limits.pending_high)
        if (sock := transport.get_extra_info("socket")) is not None:  # Bounds the kernel's buffer too.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
        self._start_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        self._read_size = min(self.side.awaited_body_bytes or READ_BYTES, READ_BYTES)
        return self._inputs.read_buffer[: self._read_size]

    def buffer_updated(self, size: int) -> None:
        if self._is_lingering:
            self._discarded_bytes += size
            if self._discarded_bytes > _LINGER_BYTES:
                self.transport.close()
        elif self._may_hold(size):
            is_more_unread = size == self._read_size and has_unread(self.transport)
            self._arrivals.received(size, self._inputs.earliest_arrival_us(), is_more_unread)
            self.side.receive(bytes(self._inputs.read_buffer[:size]))
            self._is_input_pending = True
            self._process_input()

    def _may_hold(self, size: int) -> bool:
        """Return whether input of this size is kept; behind a request being answered it is reserved."""
        if self._is_over_limit or (self.closing and self.call is None):
            return False
        if self.call is None:
            return True
        pipelined_bytes = self._pipelined.size_bytes + size
        is_reserved = self._pipelined.resize(pipelined_bytes)
        self._is_over_limit = not is_reserved or pipelined_bytes > _MAX_PIPELINED_BYTES
        return is_reserved

    def eof_received(self) -> bool:
        if self._is_lingering:
            return False
        self.side.receive(b"")
        self._is_eof_received = True
        if self.call:
            self.closing = True
            self.call.cancel("the client has closed its connection")
            return False
        # What came before the end has been processed: a connection with pending input is not read.
        self._is_input_pending = True
        self.process_input(QUANTUM)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        if self._timer:
            self._timer.cancel()
        self._inputs.remove(self)
        if not self._is_lingering:  # Otherwise the input was discarded as the write side was shut down.
            self._discard_input()
        call, self.call, self._receiving = self.call, None, None
        self.server.remove(self)
        if call:
            call.cancel("the connection has ended")

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False
        if self.call and self.call.open:
            self.call.on_writable()

    # -- input

    def _process_input(self) -> None:
        """Process the received bytes, now or in turn; until then nothing more is read."""
        self._inputs.process(self)
        if self.has_input():
            self._arrivals.reading_paused(now_us())
            self.transport.pause_reading()

    def has_input(self) -> bool:
        return self._is_input_pending and self.call is None and not self.closing

    def process_input(self, quantum: int) -> int:
        """Process requests in order, as long as each is answered immediately."""
        self._work_done = 0
        if self.has_input():
            self._advance(quantum)
        if not self.has_input() and not self.transport.is_reading() and not self.transport.is_closing():
            self._arrivals.reading_resumed(has_unread(self.transport))
            self.transport.resume_reading()
        return self._work_done

    def abort(self) -> None:
        self.transport.abort()

    def _advance(self, quantum: int) -> None:
        if self._advancing:
            return
        self._advancing = True
        try:
            while self.has_input() and self._work_done < quantum:
                self._work_done += 1
                self._is_input_pending = self._step()
        except ProtocolError as error:
            self.reject(Rejection(error.status, error.reason))
        finally:
            self._advancing = False
        if self.call is not None:
            return
        if not self.has_input():
            self._pipelined.release()
        if self.closing or self.side.is_over or (self._is_over_limit and not self._is_input_pending):
            self.close_gracefully()
        elif self._timer is None or self.side.is_mid_request != self._was_mid_request:
            self._start_timer()

    def _step(self) -> bool:
        """Process one event; False if more bytes are needed."""
        event = self.side.next()
        if event is None:
            return False
        if isinstance(event, RequestHead):
            return self._head(event)
        receiving = self._receiving
        assert receiving
        if isinstance(event, BodyPart):
            if event.data and not self._reserve_body(len(event.data)):
                self.reject(_BODY_BUDGET_FULL)
        elif isinstance(event, RequestBody):
            receiving.body, self._receiving = event.data, None
            self._handle_request(receiving)
        return True

    def _head(self, head: RequestHead) -> bool:
        self._work_done += len(head.fields) // FIELDS_PER_UNIT
        call = HttpCall(self, head.method, head.target, head.fields)
        rejection = self.server.reject_early(call)
        if rejection is None and head.content_length and not self._reserve_body(head.content_length):
            rejection = _BODY_BUDGET_FULL
        if rejection:
            self.reject(rejection)
            return False
        if self.side.wants_continue():
            self.transport.write(self.side.send_continue())
        self._receiving = call
        return True

    def _handle_request(self, call: HttpCall) -> None:
        self.call, self.served = call, True
        self._work_done += REQUEST_WORK + len(call.body) // JSON_BYTES_PER_UNIT
        pipelined_bytes = self.side.buffered_bytes
        call.received_at_us = self._arrivals.of_processed(pipelined_bytes, now_us())
        # What was read together with the request stays buffered even if it can't be reserved: one read at most.
        self._is_over_limit = self._is_over_limit or not self._pipelined.resize(pipelined_bytes)
        self.server.mark_busy(self)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        try:
            self.server.handle(call)
        except Exception:
            log.exception("handler failed", target=call.target[:200])
            call.error(500, "the handler failed")
        call.body = b""  # The call lasts as long as its answer; a handler keeps what it needs of the body.
        self._body.release()

    def _reserve_body(self, size: int) -> bool:
        return self._body.resize(self._body.size_bytes + size)

    def _discard_input(self) -> None:
        """Free what was received and not processed, now that no request is read any more."""
        self.side.discard_input()
        self._body.release()
        self._pipelined.release()

    # -- output

    @property
    def write_buffer_bytes(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size()

    def start_response(self, status: int, headers: Fields) -> None:
        self._write(self._response_head(status, headers))

    def _response_head(self, status: int, headers: Fields) -> bytes:
        if self.server.last or self.closing or self._is_eof_received:
            headers = [*headers, ("connection", "close")]
        self.chunked = all(name != "content-length" for name, _ in headers)
        try:
            data = self.side.head(status, headers)
        except ProtocolError as error:
            return self._fail_response(error)
        self.chunked = self.chunked and self.side.may_frame_chunks
        return data

    def _fail_response(self, error: ProtocolError) -> bytes:
        log.info("answer not sent", reason=error.reason)
        self.transport.abort()
        return b""

    def _write(self, data: bytes) -> None:
        if data and not self._is_lingering and not self.transport.is_closing():
            self.transport.write(data)

    def write(self, data: bytes) -> bool:
        if data and self.chunked:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
        elif data:
            try:
                self._write(self.side.part(data))
            except ProtocolError as error:
                self._fail_response(error)
        return not self._is_write_paused

    def send_response(self, status: int, headers: Fields, body: bytes) -> None:
        """Send a complete answer in one write."""
        head = self._response_head(status, headers)
        if head:
            try:
                self._write(
                    head
                    + (self.side.part(body) if body and self.call and self.call.method != "HEAD" else b"")
                )
            except ProtocolError as error:
                self._fail_response(error)
        self.end_response()

    def end_response(self) -> None:
        try:
            self._write(self.side.end())
        except ProtocolError as error:
            self._fail_response(error)
        self.call = None
        self.server.mark_idle(self)
        if self.server.last or self._is_eof_received or self.closing or not self.side.start_next_cycle():
            self.close_gracefully()
            return
        if not self._advancing:  # Otherwise `_advance` sets the timer, once for all requests.
            self._start_timer()
            self.loop.call_soon(self._process_input)

    def abort_response(self) -> None:
        """Close the connection in mid-answer; the part that was sent is still delivered."""
        self.call = None
        self.close_gracefully()

    def reject(self, rejection: Rejection) -> None:
        """Answer before the request is read completely, and close."""
        self.closing = True
        if self.side.can_respond():
            body = json.dumps({"error": rejection.error}).encode()
            self._write(
                self._response_head(
                    rejection.status,
                    [
                        ("content-type", "application/json"),
                        ("content-length", str(len(body))),
                        *rejection.headers,
                    ],
                )
            )
            try:
                self._write(self.side.part(body) + self.side.end())
            except ProtocolError as error:
                self._fail_response(error)
        self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close in the order that the module's docstring describes."""
        self.closing = True
        if self._is_lingering or self.transport.is_closing():
            return
        if self._is_eof_received:
            self.transport.close()  # No more input can arrive; pending output is still sent.
            return
        self._is_lingering = True
        self._discard_input()
        self.server.mark_lingering(self)
        if self._timer:
            self._timer.cancel()
        try:
            self.transport.resume_reading()
            self.transport.write_eof()
        except OSError:  # The connection was reset meanwhile.
            self.transport.abort()
            return
        self._linger_deadline = self.loop.time() + _MAX_LINGER_S
        self._timer = self.loop.call_later(LINGER_S, self._linger, self.write_buffer_bytes)

    def _linger(self, waiting: int) -> None:
        """Abort the connection, unless a slow reader is still reading pending output."""
        remaining = self.write_buffer_bytes
        if 0 < remaining < waiting and self.loop.time() < self._linger_deadline:
            self._timer = self.loop.call_later(LINGER_S, self._linger, remaining)
        else:
            self.transport.abort()

    # -- timeouts

    def _start_timer(self) -> None:
        """Set the timer for what is expected next: a request, or the rest of one received in part."""
        limits = self.server.limits
        self._was_mid_request = self.side.is_mid_request
        if self._is_lingering:
            return
        if self._timer:
            self._timer.cancel()
        now = self.loop.time()
        at = now + (limits.request_timeout if self._was_mid_request else limits.idle) / 1e6
        if limits.first_within and not self.served:
            at = min(at, self.connected + limits.first_within / 1e6)
        self._timer = self.loop.call_later(max(at - now, 0), self._timed_out)

    def _timed_out(self) -> None:
        self._timer = None
        if self.call:
            return
        if self.side.is_mid_request:
            within = self.server.limits.request_timeout / 1e6
            self.reject(Rejection(408, f"request: not sent whole within {within:g} s"))
        else:
            self.close_gracefully()
