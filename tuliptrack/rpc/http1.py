"""An HTTP/1.1 server on asyncio.

This module accepts connections, evicts them and stops. The connections, and the order in which they are
closed, are in `http1_connection.py`; requests and their answers are in `http1_call.py`.

A connection serves one request at a time. Pipelined requests are buffered, so answers go out in order. A
handler is called with the complete body and must not block. It answers immediately or later through its
`HttpCall`: `respond`, or `start`, `send`, `end` for a stream, which is chunked, or for HTTP/1.0 clients
delimited by the close of the connection.

Limits: the work on received input in one iteration of the loop (`input_scheduler.py`), the number of
connections (at the limit, the connection that has been idle for longest is evicted), header and body sizes,
the bytes of request bodies being received (a `ByteBudget` shared with the other servers), the bytes of
requests that wait behind the one being answered (another `ByteBudget`), the time from the connect to the
first complete request, the time to receive each request, and the bytes that wait for a slow reader (`send`
returns False, `on_writable` is called once it may continue). A rejection that is known from the headers is
sent before the body is read, and the connection is closed after it. A connection has no task: its transport
calls back, and one timer enforces its timeouts.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from itertools import islice

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.rpc.http1_call import HttpCall, HttpLimits, Rejection
from tuliptrack.rpc.http1_connection import LINGER_S, ServerConnection
from tuliptrack.rpc.listener import Listener
from tuliptrack.rpc.tcp import has_unread

__all__ = ["HttpCall", "HttpLimits", "HttpServer", "Rejection"]

_UNLIMITED_BYTES = 2**40
_MAX_EVICTION_CANDIDATES = 16  # connections of each kind that are examined for an eviction


def _noop() -> None:
    pass


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
        pipelined: ByteBudget | None = None,
    ) -> None:
        self.handle, self.reject_early, self.limits = handle, reject_early, limits or HttpLimits()
        self.bodies = bodies or ByteBudget(_UNLIMITED_BYTES)
        self.pipelined = pipelined or ByteBudget(_UNLIMITED_BYTES)
        self.links: dict[ServerConnection, None] = {}
        """Every connection."""
        self._idle: dict[ServerConnection, None] = {}
        """Connections that have had a request and have none now, the one idle for longest first."""
        self._new: dict[ServerConnection, None] = {}
        """Connections that have not sent a complete request yet, the oldest first."""
        self._lingering: dict[ServerConnection, None] = {}
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
        self._listener = Listener(self.loop, lambda: ServerConnection(self))
        self.address = self._listener.start(host, port)
        return self.address

    # -- called by connections

    def admit(self, link: ServerConnection) -> bool:
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

    def _find_evictable(self) -> ServerConnection | None:
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

    def mark_busy(self, link: ServerConnection) -> None:
        self._idle.pop(link, None)
        self._new.pop(link, None)

    def mark_lingering(self, link: ServerConnection) -> None:
        self.mark_busy(link)
        if link in self.links:
            self._lingering[link] = None

    def mark_idle(self, link: ServerConnection) -> None:
        if link in self.links:
            self._idle[link] = None

    def remove(self, link: ServerConnection) -> None:
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
        if any(link.call for link in self.links):
            self.on_grace_over()
        await self._wait_until_closed(LINGER_S if self._lingering else 0.0)
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
