"""An HTTP/1.1 server on asyncio.

`h1.ServerSide` keeps the protocol state; this module handles sockets, limits and timeouts.

A connection serves one request at a time. Pipelined requests are buffered, so answers go out in order. A
handler is called with the complete body and must not block. It answers immediately or later through its
`HttpCall`: `respond`, or `start`, `send`, `end` for a stream, which is chunked, or for HTTP/1.0 clients
delimited by the close of the connection.

Limits: the work on received input in one iteration of the loop (`input_scheduler.py`), the number of
connections (at the limit, the connection that has been idle for longest is evicted), header and body sizes,
the bytes of request bodies being received (a `ByteBudget` shared with the other servers), the time from the
connect to the first complete request, the time to receive each request, and the bytes that wait for a slow
reader (`send` returns False, `on_writable` is called once it may continue). A rejection that is known from
the headers is sent before the body is read, and the connection is closed after it. A connection has no task:
its transport calls back, and one timer enforces its timeouts.

A connection is closed in this order: pending output is sent, the write side is shut down, input is read and
discarded until the client closes as well (at most `_LINGER_S` and `_LINGER_BYTES`), and the socket is closed.
Closing a socket with unread input would reset the connection, and the client would lose the part of the
answer that it has not read yet. A request that arrives while the connection lingers is not processed: its
client sees the connection end without an answer and may retry.

A client that has shut down its write side counts as disconnected. The shutdown is noticed however much the
client sent before: input beyond `_MAX_PIPELINED_BYTES` is discarded, and the connection is closed after the
buffered requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any

import structlog

from tuliptrack.decisions.concurrency_limit import BODIES_FULL, ByteBudget, rejection_text
from tuliptrack.rpc.arrival_times import ArrivalTimes
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.h1 import BodyPart, Fields, ProtocolError, RequestBody, RequestHead, ServerSide
from tuliptrack.rpc.input_scheduler import (
    FIELDS_PER_UNIT,
    JSON_BYTES_PER_UNIT,
    QUANTUM,
    READ_BYTES,
    REQUEST_WORK,
    InputScheduler,
)
from tuliptrack.rpc.listener import Listener
from tuliptrack.rpc.tcp import has_unread, is_closed_by_peer, set_nodelay

__all__ = ["HttpCall", "HttpLimits", "HttpServer", "Rejection"]

log = structlog.get_logger("rpc.http1")
_SEND_BUFFER = 65_536  # kernel send buffer per connection, which a slow reader can fill
_MAX_PIPELINED_BYTES = 65_536  # input that is buffered while a request is answered
_LINGER_S, _LINGER_BYTES = 1.0, 1_048_576  # seconds and input bytes for which a client's close is awaited
_MAX_EVICTION_CANDIDATES = 16  # connections of each kind that are examined for an eviction
_MAX_LINGER_S = 30.0  # seconds for which a close is awaited while a slow reader still reads output


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Sizes in bytes, times in microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    pending_high: int = 32_768
    request_timeout: int = 10_000_000
    first_within: int = 0
    """Time from the connect to the first complete request; 0: only `request_timeout` and `idle` bound it."""
    idle: int = 60_000_000
    connections: int = 1_024


@dataclass(frozen=True, slots=True)
class Rejection:
    """An error answer that is sent before the body is read."""

    status: int
    error: str
    headers: tuple[tuple[str, str], ...] = ()


_BODY_BUDGET_FULL = Rejection(503, rejection_text(BODIES_FULL), (("retry-after", "1"),))


def _noop(*_: Any) -> None:
    pass


class HttpCall:
    """One request and its answer. A call ends once: by `respond`, `end` or `abort`, or when the server calls
    `on_cancelled`.
    """

    __slots__ = (
        "_link",
        "body",
        "fields",
        "headers",
        "method",
        "on_cancelled",
        "on_writable",
        "open",
        "received_at_us",
        "started",
        "target",
    )

    def __init__(self, link: _HttpLink, method: str, target: str, fields: Fields) -> None:
        self._link = link
        self.method, self.target, self.fields = method, target, fields
        self.headers = dict(fields)
        self.body = b""
        self.received_at_us = 0
        """When the last byte of the request arrived, in monotonic microseconds."""
        self.open, self.started = True, False
        self.on_cancelled: Callable[[str], None] = _noop
        self.on_writable: Callable[[], None] = _noop

    @property
    def connection(self) -> object:
        return self._link

    def respond(
        self, status: int, body: bytes, headers: Fields | None = None, kind: str = "application/json"
    ) -> None:
        """Send a complete answer."""
        if self.open and not self.started:
            self.started, self.open = True, False
            self._link.send_response(
                status, [("content-type", kind), ("content-length", str(len(body))), *(headers or [])], body
            )

    def error(self, status: int, text: str, headers: Fields | None = None, **facts: object) -> None:
        """Send a complete answer with the JSON body {"error": text, ...}."""
        self.respond(status, json.dumps({"error": text, **facts}).encode(), headers)

    def start(self, status: int, kind: str, headers: Fields | None = None) -> None:
        if self.open and not self.started:
            self._link.start_response(
                status, [("content-type", kind), ("cache-control", "no-store"), *(headers or [])]
            )
            self.started = True

    def send(self, data: bytes) -> bool:
        """Send a part of a started answer; False asks the caller to pause until `on_writable`."""
        return self._link.write(data) if self.open else False

    def end(self) -> None:
        if self.open:
            self.open = False
            self._link.end_response()

    def abort(self) -> None:
        """Close the connection in mid-answer, so that the client can tell that the answer is incomplete."""
        if self.open:
            self.open = False
            self._link.abort_response()

    def cancel(self, reason: str) -> None:
        if self.open:
            self.open = False
            self.on_cancelled(reason)

    def has_disconnected(self) -> bool:
        """Whether the client has closed or reset the connection, even if the loop has not read that yet."""
        return self.open and (self._link.transport.is_closing() or is_closed_by_peer(self._link.transport))


class _HttpLink(asyncio.BufferedProtocol):
    """One connection; see `input_scheduler.Receiver`."""

    def __init__(self, server: HttpServer) -> None:
        self.server, self.loop = server, server.loop
        self.side = ServerSide(server.limits.header_bytes, server.limits.body_bytes)
        self.transport: asyncio.Transport
        self.call: HttpCall | None = None
        """The request that is being answered."""
        self._receiving: HttpCall | None = None
        """The request whose body is being received."""
        self.reserved_bytes = 0
        """Bytes of the shared budget that are reserved for the body of the request being received."""
        self.closing = self.chunked = self.served = False
        """`closing`: whether the connection's input is no longer processed."""
        self._advancing = self._is_write_paused = self._is_eof_received = False
        self._is_over_limit = False
        """Whether the client pipelined more than `_MAX_PIPELINED_BYTES`: its further input is discarded."""
        self._is_lingering = False
        """Whether the write side is shut down and the client's close is awaited."""
        self._discarded_bytes = 0
        """Bytes that were received, and discarded, since the write side was shut down."""
        self._linger_deadline = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._was_mid_request = False
        self._inputs = InputScheduler.of(server.loop)
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
        transport.set_write_buffer_limits(high=self.server.limits.pending_high)
        if (sock := transport.get_extra_info("socket")) is not None:  # Bounds the kernel's buffer too.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
        self._start_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._inputs.read_buffer

    def buffer_updated(self, size: int) -> None:
        if self._is_lingering:
            self._discarded_bytes += size
            if self._discarded_bytes > _LINGER_BYTES:
                self.transport.close()
        elif not self._is_over_limit and not (self.closing and self.call is None):
            is_more_unread = size == READ_BYTES and has_unread(self.transport)
            self._arrivals.received(size, self._inputs.earliest_arrival_us(), is_more_unread)
            self.side.receive(bytes(self._inputs.read_buffer[:size]))
            self._is_input_pending = True
            self._process_input()
            self._is_over_limit = self.call is not None and self.side.buffered_bytes > _MAX_PIPELINED_BYTES

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
        self.release_body()
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
        call.received_at_us = self._arrivals.of_processed(self.side.buffered_bytes, now_us())
        self.server.mark_busy(self)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        try:
            self.server.handle(call)
        except Exception:
            log.exception("handler failed", target=call.target[:200])
            call.error(500, "the handler failed")
        self.release_body()

    def _reserve_body(self, size: int) -> bool:
        if not self.server.bodies.acquire(size):
            return False
        self.reserved_bytes += size
        return True

    def release_body(self) -> None:
        self.server.bodies.release(self.reserved_bytes)
        self.reserved_bytes = 0

    # -- output

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
        self.release_body()
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
        self._timer = self.loop.call_later(_LINGER_S, self._linger, self.transport.get_write_buffer_size())

    def _linger(self, waiting: int) -> None:
        """Abort the connection, unless a slow reader is still reading pending output."""
        remaining = self.transport.get_write_buffer_size()
        if 0 < remaining < waiting and self.loop.time() < self._linger_deadline:
            self._timer = self.loop.call_later(_LINGER_S, self._linger, remaining)
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


class HttpServer:
    """Listens on one address. `handle` gets each complete request; `reject_early` may reject it by its
    headers.
    """

    def __init__(
        self,
        handle: Callable[[HttpCall], None],
        reject_early: Callable[[HttpCall], Rejection | None],
        limits: HttpLimits | None = None,
        bodies: ByteBudget | None = None,
    ) -> None:
        self.handle, self.reject_early, self.limits = handle, reject_early, limits or HttpLimits()
        self.bodies = bodies or ByteBudget(2**40)
        self.links: dict[_HttpLink, None] = {}
        """Every connection."""
        self._idle: dict[_HttpLink, None] = {}
        """Connections that have had a request and have none now, the one idle for longest first."""
        self._new: dict[_HttpLink, None] = {}
        """Connections that have not sent a complete request yet, the oldest first."""
        self._lingering: dict[_HttpLink, None] = {}
        """Connections whose write side is shut down, in the order of the shutdowns."""
        self.last = self.stopping = False
        """`last`: whether each connection is closed after its next answer."""
        self.rejected_connections = self.evictions = 0
        self.on_grace_over: Callable[[], None] = _noop
        """Called by `stop` when the grace period is over, so that the application can answer open requests
        itself."""
        self.loop: asyncio.AbstractEventLoop
        self._listener: Listener | None = None
        self._all_closed: asyncio.Event | None = None
        self.address = ""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen; return host:port, with the port that the kernel chose for port 0."""
        self.loop = asyncio.get_running_loop()
        self._all_closed = asyncio.Event()
        self._listener = Listener(self.loop, lambda: _HttpLink(self))
        self.address = self._listener.start(host, port)
        return self.address

    # -- called by connections

    def admit(self, link: _HttpLink) -> bool:
        """Register a new connection, after an eviction if needed; False if there is no room for it."""
        if (
            len(self.links) >= self.limits.connections
            and not self.stopping
            and (evictable := self._find_evictable())
        ):
            self.evictions += 1
            evictable.closing = True
            self.remove(evictable)
            evictable.transport.abort()
        if len(self.links) >= self.limits.connections or self.stopping:
            self.rejected_connections += 1
            link.closing = True
            return False
        self.links[link] = self._new[link] = None
        return True

    def _find_evictable(self) -> _HttpLink | None:
        """Return the connection to close for a new one.

        Lingering connections go first, then those that have not sent a request, so that a flood of silent
        connections evicts its own connections and not those of clients. A connection with unread input, which
        may be a request, is kept if possible; if its client was served before, it is always kept.
        """
        if lingering := next(iter(self._lingering), None):
            return lingering
        silent = (link for link in self._new if not link.side.is_mid_request)
        # An idle connection whose pipelined requests were read and are not processed yet is not closed.
        resting = (link for link in self._idle if not link.side.is_mid_request)
        for links in (silent, self._new, resting):
            if found := next(
                (k for k in islice(links, _MAX_EVICTION_CANDIDATES) if not has_unread(k.transport)), None
            ):
                return found
            if links is self._new and self._new:
                return next(iter(self._new))
        return None

    def mark_busy(self, link: _HttpLink) -> None:
        self._idle.pop(link, None)
        self._new.pop(link, None)

    def mark_lingering(self, link: _HttpLink) -> None:
        self.mark_busy(link)
        if link in self.links:
            self._lingering[link] = None

    def mark_idle(self, link: _HttpLink) -> None:
        if link in self.links:
            self._idle[link] = None

    def remove(self, link: _HttpLink) -> None:
        self.links.pop(link, None)
        self.mark_busy(link)
        self._lingering.pop(link, None)
        if not self.links and self._all_closed:
            self._all_closed.set()

    # -- shutdown

    def close_idle_connections(self) -> None:
        """Close the connections that have no request, not even one received in part."""
        for link in [*self._idle, *self._new]:
            if not link.side.is_mid_request:
                link.close_gracefully()

    def abort_connections(self) -> None:
        """Abort all connections, and the requests on them."""
        for link in list(self.links):
            if link.call:
                link.call.cancel("server stopped")
            link.closing = True
            link.transport.abort()

    async def stop(self, grace: float = 0.0) -> None:
        """Accept no new requests, let open ones run for `grace` seconds, then end them and all connections.

        The answers that `on_grace_over` gives to open requests are still sent before their connections are
        aborted.
        """
        self.stopping = self.last = True
        if self._listener:
            await self._listener.close()
        self.close_idle_connections()
        await self._wait_until_closed(grace)
        if self.links:
            self.on_grace_over()
        await self._wait_until_closed(_LINGER_S if self._lingering else 0.0)
        self.abort_connections()
        await self._wait_until_closed(None)

    async def _wait_until_closed(self, seconds: float | None) -> None:
        """Wait until no connection is left, but not longer than `seconds`; None: without a limit."""
        assert self._all_closed
        if not self.links or seconds == 0:
            return
        self._all_closed.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_closed.wait(), seconds)
