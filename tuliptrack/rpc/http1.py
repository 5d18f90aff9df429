"""An HTTP/1.1 server on asyncio: `h1.ServerSide` keeps the protocol's state, this the socket, the bounds and
the times.

One request at a time on a connection; what a client pipelines waits until its turn, so answers go out in
order. A handler is called with the whole body, must not wait, and answers then or later through its
`HttpCall`: `respond`, or `start`, `send`, `end` for a stream (chunked; to HTTP/1.0 clients until the close).

Bounds: connections (where they are all taken, the one that has been without a request for longest makes
room), header and body sizes, the bytes of bodies that arrive (a `ByteBudget` shared with the other servers),
the time for a first and for any whole request, and what waits unsent for a slow reader (`send` says stop,
`on_writable` go on). A refusal that is known from the headers goes out before the body is read, and the
connection is closed after it. No task belongs to a connection: its transport calls back, and one timer
watches its times.

Every close is in this order: what waits is sent, our sending ends, what still comes is read and thrown away
until the client ends too (`_LINGER_S`, `_LINGER_BYTES` at most), then the socket is closed. A close over
bytes that nobody has read would reset the connection, and take along what the client has not read yet. A
request that comes in that time is never acted on: its client sees the end without an answer, and may send it
once more. A client that has ended its sending has left. Its end is seen whatever it sent before: past
`_MOST_AHEAD` further requests are thrown away, and the connection ends after those kept.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any

import structlog

from tuliptrack.decisions.concurrency_limit import BODIES_FULL, ByteBudget, rejection_text
from tuliptrack.rpc.h1 import Body, Fields, Head, Part, ProtocolError, ServerSide
from tuliptrack.rpc.listener import Listener
from tuliptrack.rpc.tcp import ended_by_peer, has_unread, send_at_once

__all__ = ["HttpCall", "HttpLimits", "HttpServer", "Refusal"]

log = structlog.get_logger("rpc.http1")
_SEND_BUFFER = 65_536  # bytes that the kernel keeps for a reader that is slow
_MOST_A_TURN = 4  # requests of one connection that are answered before others get their turn
_MOST_AHEAD = 65_536  # bytes of further requests kept while one is answered
_LINGER_S, _LINGER_BYTES = (
    1.0,
    1_048_576,
)  # after our end: how long the client's is waited for, and what it may send
_LOOKED_AT = 16  # connections of each kind that are looked at when room is wanted
_LINGER_MOST_S = 30.0  # the same, while a slow reader still takes what waits for it


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Sizes in bytes, times in microseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    pending_high: int = 32_768
    request_within: int = 10_000_000
    first_within: int = 0
    """From connecting to the first whole request; 0: as long as the two others allow."""
    idle: int = 60_000_000
    connections: int = 1_024


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that is known before the body is read."""

    status: int
    error: str
    headers: tuple[tuple[str, str], ...] = ()


_NO_ROOM = Refusal(503, rejection_text(BODIES_FULL), (("retry-after", "1"),))


def _nothing(*_: Any) -> None:
    pass


class HttpCall:
    """One request and its answer. It ends once: by `respond` or `end`, or by `on_gone` being called."""

    __slots__ = (
        "_link",
        "body",
        "fields",
        "headers",
        "method",
        "on_gone",
        "on_writable",
        "open",
        "started",
        "target",
    )

    def __init__(self, link: _HttpLink, method: str, target: str, fields: Fields) -> None:
        self._link = link
        self.method, self.target, self.fields = method, target, fields
        self.headers = dict(fields)
        self.body = b""
        self.open, self.started = True, False
        self.on_gone: Callable[[str], None] = _nothing
        self.on_writable: Callable[[], None] = _nothing

    @property
    def connection(self) -> object:
        return self._link

    def respond(
        self, status: int, body: bytes, headers: Fields | None = None, kind: str = "application/json"
    ) -> None:
        """The whole answer at once."""
        if self.open and not self.started:
            self.started, self.open = True, False
            self._link.whole(
                status, [("content-type", kind), ("content-length", str(len(body))), *(headers or [])], body
            )

    def error(self, status: int, text: str, headers: Fields | None = None, **facts: object) -> None:
        """An answer of the form {"error": text}."""
        self.respond(status, json.dumps({"error": text, **facts}).encode(), headers)

    def start(self, status: int, kind: str, headers: Fields | None = None) -> None:
        if self.open and not self.started:
            self._link.begin(
                status, [("content-type", kind), ("cache-control", "no-store"), *(headers or [])]
            )
            self.started = True

    def send(self, data: bytes) -> bool:
        """A part of a started answer; False asks to stop until `on_writable`."""
        return self._link.write(data) if self.open else False

    def end(self) -> None:
        if self.open:
            self.open = False
            self._link.finish()

    def abort(self) -> None:
        """End the connection in mid-answer, so that the client knows it isn't whole."""
        if self.open:
            self.open = False
            self._link.cut()

    def gone(self, reason: str) -> None:
        if self.open:
            self.open = False
            self.on_gone(reason)

    def left(self) -> bool:
        """Whether the client has ended its sending or reset the connection, though that may not have been
        read yet.
        """
        return self.open and (self._link.transport.is_closing() or ended_by_peer(self._link.transport))


class _HttpLink(asyncio.Protocol):
    """One connection."""

    def __init__(self, server: HttpServer) -> None:
        self.server, self.loop = server, server.loop
        self.side = ServerSide(server.limits.header_bytes, server.limits.body_bytes)
        self.transport: asyncio.Transport
        self.call: HttpCall | None = None
        """The request that is answered."""
        self._coming: HttpCall | None = None
        """The request whose body is coming."""
        self.held = 0
        """Bytes of the meter's that its body has."""
        self.closing = self.chunked = self.served = False
        """`closing`: nothing of it is acted on any more."""
        self._advancing = self._stopped = self._ended = False
        self._overrun = False
        """More has come ahead than is kept: nothing more is read of it."""
        self._lingers = False
        """Our sending has ended; the client's end is waited for."""
        self._thrown = 0
        """Bytes that came since."""
        self._linger_till = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._begun = False
        self._turn = 0
        """Requests that may still be answered in this turn of the loop."""

    # -- the transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.connected = self.loop.time()
        if not self.server.takes(self):
            transport.abort()
            return
        send_at_once(transport)
        transport.set_write_buffer_limits(high=self.server.limits.pending_high)
        if (sock := transport.get_extra_info("socket")) is not None:  # The kernel's part is bounded too.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER)
        self._watch()

    def data_received(self, data: bytes) -> None:
        if self._lingers:
            self._thrown += len(data)
            if self._thrown > _LINGER_BYTES:
                self.transport.close()
        elif not self._overrun and not (self.closing and self.call is None):
            self.side.receive(data)
            self._advance()
            self._overrun = self.call is not None and self.side.ahead > _MOST_AHEAD

    def eof_received(self) -> bool:
        if self._lingers:
            return False
        self.side.receive(b"")
        self._ended = True
        if self.call:
            self.closing = True
            self.call.gone("the client has closed its connection")
            return False
        self._advance()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        if self._timer:
            self._timer.cancel()
        self.let_go()
        call, self.call, self._coming = self.call, None, None
        self.server.left(self)
        if call:
            call.gone("the connection has ended")

    def pause_writing(self) -> None:
        self._stopped = True

    def resume_writing(self) -> None:
        self._stopped = False
        if self.call and self.call.open:
            self.call.on_writable()

    # -- in

    def _advance(self) -> None:
        """Deal with what has come: requests, one after another, as long as each is answered at once; a few in
        one turn of the loop, so that who sends hundreds at once holds up nobody else.
        """
        if self._advancing:
            return
        self._advancing = True
        self._turn = _MOST_A_TURN
        try:
            while self.call is None and not self.closing and self._turn and self._step():
                pass
        except ProtocolError as error:
            self.refuse(Refusal(error.status, error.reason))
        finally:
            self._advancing = False
        if self.call is None and (self.closing or self.side.over or (self._overrun and self._turn)):
            self.shut()
        elif not self._turn and self.call is None:
            self.transport.pause_reading()
            self.loop.call_soon(self._go_on)
        elif self.call is None and (self._timer is None or self.side.begun != self._begun):
            self._watch()

    def _go_on(self) -> None:
        """The next turn, after others had theirs."""
        if not self.closing and self.call is None:
            self.transport.resume_reading()
            self._advance()

    def _step(self) -> bool:
        """One event; False where more bytes are needed."""
        event = self.side.next()
        if event is None:
            return False
        if isinstance(event, Head):
            return self._head(event)
        coming = self._coming
        assert coming
        if isinstance(event, Part):
            if event.data and not self._hold(len(event.data)):
                self.refuse(_NO_ROOM)
        elif isinstance(event, Body):
            coming.body, self._coming = event.data, None
            self._whole(coming)
        return True

    def _head(self, head: Head) -> bool:
        call = HttpCall(self, head.method, head.target, head.fields)
        refusal = self.server.early(call)
        if refusal is None and head.told and not self._hold(head.told):
            refusal = _NO_ROOM
        if refusal:
            self.refuse(refusal)
            return False
        if self.side.wants_continue():
            self.transport.write(self.side.go_on())
        self._coming = call
        return True

    def _whole(self, call: HttpCall) -> None:
        self.call, self.served = call, True
        self._turn -= 1
        self.server.busy(self)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        try:
            self.server.handle(call)
        except Exception:
            log.exception("handler failed", target=call.target[:200])
            call.error(500, "the handler failed")
        self.let_go()

    def _hold(self, size: int) -> bool:
        if not self.server.bodies.acquire(size):
            return False
        self.held += size
        return True

    def let_go(self) -> None:
        self.server.bodies.release(self.held)
        self.held = 0

    # -- out

    def begin(self, status: int, headers: Fields) -> None:
        self._out(self._first(status, headers))

    def _first(self, status: int, headers: Fields) -> bytes:
        if self.server.last or self.closing or self._ended:
            headers = [*headers, ("connection", "close")]
        self.chunked = all(name != "content-length" for name, _ in headers)
        try:
            data = self.side.head(status, headers)
        except ProtocolError as error:
            return self._broke(error)
        self.chunked = self.chunked and self.side.may_frame
        return data

    def _broke(self, error: ProtocolError) -> bytes:
        log.info("answer not sent", reason=error.reason)
        self.transport.abort()
        return b""

    def _out(self, data: bytes) -> None:
        if data and not self._lingers and not self.transport.is_closing():
            self.transport.write(data)

    def write(self, data: bytes) -> bool:
        if data and self.chunked:
            self._out(b"%x\r\n%b\r\n" % (len(data), data))
        elif data:
            try:
                self._out(self.side.part(data))
            except ProtocolError as error:
                self._broke(error)
        return not self._stopped

    def whole(self, status: int, headers: Fields, body: bytes) -> None:
        """An answer in one write."""
        head = self._first(status, headers)
        if head:
            try:
                self._out(
                    head
                    + (self.side.part(body) if body and self.call and self.call.method != "HEAD" else b"")
                )
            except ProtocolError as error:
                self._broke(error)
        self.finish()

    def finish(self) -> None:
        try:
            self._out(self.side.end())
        except ProtocolError as error:
            self._broke(error)
        self.call = None
        self.server.idle(self)
        if self.server.last or self._ended or self.closing or not self.side.again():
            self.shut()
            return
        if not self._advancing:  # Else `_advance` sets the timer, once for all that it has dealt with.
            self._watch()
            self.loop.call_soon(self._advance)

    def cut(self) -> None:
        """End the connection in mid-answer; what was sent of it still goes out."""
        self.call = None
        self.shut()

    def refuse(self, refusal: Refusal) -> None:
        """Answer without having read the request, and close."""
        self.closing = True
        self.let_go()
        if self.side.owes():
            body = json.dumps({"error": refusal.error}).encode()
            self._out(
                self._first(
                    refusal.status,
                    [
                        ("content-type", "application/json"),
                        ("content-length", str(len(body))),
                        *refusal.headers,
                    ],
                )
            )
            try:
                self._out(self.side.part(body) + self.side.end())
            except ProtocolError as error:
                self._broke(error)
        self.shut()

    def shut(self) -> None:
        """Close in the order that the module's text tells."""
        self.closing = True
        if self._lingers or self.transport.is_closing():
            return
        if self._ended:
            self.transport.close()  # Nothing more can come; what waits unsent still goes out.
            return
        self._lingers = True
        self.server.lingers(self)
        if self._timer:
            self._timer.cancel()
        try:
            self.transport.resume_reading()
            self.transport.write_eof()
        except OSError:  # It was reset meanwhile.
            self.transport.abort()
            return
        self._linger_till = self.loop.time() + _LINGER_MOST_S
        self._timer = self.loop.call_later(_LINGER_S, self._linger, self.transport.get_write_buffer_size())

    def _linger(self, waiting: int) -> None:
        """The client's end has been waited for; a reader that still takes what waits for it is given more
        time.
        """
        left = self.transport.get_write_buffer_size()
        if 0 < left < waiting and self.loop.time() < self._linger_till:
            self._timer = self.loop.call_later(_LINGER_S, self._linger, left)
        else:
            self.transport.abort()

    # -- times

    def _watch(self) -> None:
        """Set the timer for what is to come next: a request's start, or its end."""
        limits = self.server.limits
        self._begun = self.side.begun
        if self._lingers:
            return
        if self._timer:
            self._timer.cancel()
        now = self.loop.time()
        at = now + (limits.request_within if self._begun else limits.idle) / 1e6
        if limits.first_within and not self.served:
            at = min(at, self.connected + limits.first_within / 1e6)
        self._timer = self.loop.call_later(max(at - now, 0), self._late)

    def _late(self) -> None:
        self._timer = None
        if self.call:
            return
        if self.side.begun:
            within = self.server.limits.request_within / 1e6
            self.refuse(Refusal(408, f"request: not sent whole within {within:g} s"))
        else:
            self.shut()


class HttpServer:
    """Listens on one address. `handle` gets each whole request; `early` may answer from the headers alone."""

    def __init__(
        self,
        handle: Callable[[HttpCall], None],
        early: Callable[[HttpCall], Refusal | None],
        limits: HttpLimits | None = None,
        bodies: ByteBudget | None = None,
    ) -> None:
        self.handle, self.early, self.limits = handle, early, limits or HttpLimits()
        self.bodies = bodies or ByteBudget(2**40)
        self.links: dict[_HttpLink, None] = {}
        """Every connection."""
        self._free: dict[_HttpLink, None] = {}
        """Those without a request that had one before, the longest without one first."""
        self._new: dict[_HttpLink, None] = {}
        """Those that have not sent a whole request yet, the oldest first."""
        self._lingering: dict[_HttpLink, None] = {}
        """Those on which our sending has ended, the first one first."""
        self.last = self.stopping = False
        """`last`: each connection closes with its next answer."""
        self.turned_away = self.made_room = 0
        self.loop: asyncio.AbstractEventLoop
        self._listener: Listener | None = None
        self._empty: asyncio.Event | None = None
        self.address = ""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start; returns host:port, with the kernel's choice for port 0."""
        self.loop = asyncio.get_running_loop()
        self._empty = asyncio.Event()
        self._listener = Listener(self.loop, lambda: _HttpLink(self))
        self.address = self._listener.start(host, port)
        return self.address

    # -- what its connections tell

    def takes(self, link: _HttpLink) -> bool:
        """Whether a new connection has room, made if need be; it is one of ours if so."""
        if len(self.links) >= self.limits.connections and not self.stopping and (spare := self._spare()):
            self.made_room += 1
            spare.closing = True
            self.left(spare)
            spare.transport.abort()
        if len(self.links) >= self.limits.connections or self.stopping:
            self.turned_away += 1
            link.closing = True
            return False
        self.links[link] = self._new[link] = None
        return True

    def _spare(self) -> _HttpLink | None:
        """The connection that makes room for a new one. Who has ended goes first, then who has asked for
        nothing yet, so that a flood of such connections makes room for itself and not in place of clients.
        One with bytes that were not read stays if it can: they may be a request. Of clients that were served
        before, it always stays.
        """
        if lingering := next(iter(self._lingering), None):
            return lingering
        silent = (link for link in self._new if not link.side.begun)
        # A kept connection may have brought requests that were read and wait for their turn: it is not closed
        # over them.
        resting = (link for link in self._free if not link.side.begun)
        for links in (silent, self._new, resting):
            if found := next((k for k in islice(links, _LOOKED_AT) if not has_unread(k.transport)), None):
                return found
            if links is self._new and self._new:
                return next(iter(self._new))
        return None

    def busy(self, link: _HttpLink) -> None:
        self._free.pop(link, None)
        self._new.pop(link, None)

    def lingers(self, link: _HttpLink) -> None:
        self.busy(link)
        if link in self.links:
            self._lingering[link] = None

    def idle(self, link: _HttpLink) -> None:
        if link in self.links:
            self._free[link] = None

    def left(self, link: _HttpLink) -> None:
        self.links.pop(link, None)
        self.busy(link)
        self._lingering.pop(link, None)
        if not self.links and self._empty:
            self._empty.set()

    # -- the end

    def close_free(self) -> None:
        """Close the connections that have no request."""
        for link in [*self._free, *self._new]:
            if not link.side.begun:
                link.shut()

    def cut_short(self) -> None:
        """End what is open: its connections close."""
        for link in list(self.links):
            if link.call:
                link.call.gone("server stopped")
            link.closing = True
            link.transport.abort()

    async def stop(self, grace: float = 0.0) -> None:
        """Take no new requests, let open ones run for `grace` seconds, then end all."""
        self.stopping = self.last = True
        if self._listener:
            await self._listener.close()
        self.close_free()
        assert self._empty
        if self.links and grace > 0:
            self._empty.clear()
            try:
                await asyncio.wait_for(self._empty.wait(), grace)
            except TimeoutError:
                pass
        self.cut_short()
        if self.links:
            self._empty.clear()
            await self._empty.wait()
