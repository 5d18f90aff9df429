"""The client's side: calls to one address over pooled connections, with connect time-outs and keepalive.

A call ends once, through `on_end`, and says how sure it is that the peer never looked at it.
Bounds: `Options.max_links` connections an address, `Options.max_waiting` calls that wait for one; one more
ends at once with RESOURCE_EXHAUSTED, marked unprocessed.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import (
    CallEnded,
    CallHeaders,
    Core,
    Event,
    GoAway,
    Limits,
    MessageReceived,
    Pong,
    Traffic,
    Writable,
)
from tuliptrack.rpc.link import Link
from tuliptrack.rpc.status import Code, Metadata, Status

__all__ = ["Channel", "ClientCall", "End", "How", "Options"]


class How(Enum):
    """What ended a call."""

    STATUS = "status"
    """The peer's own status."""
    RESET = "reset"
    """The stream or the connection broke."""
    CONNECT = "connect"
    """No connection was made in time: the peer never saw the call."""
    TIMEOUT = "timeout"
    """Our own deadline for it."""
    CANCELLED = "cancelled"
    """`ClientCall.cancel`."""


@dataclass(frozen=True, slots=True)
class End:
    """How a call ended. `unprocessed`: the peer vouches, or it follows, that it never looked at it."""

    how: How
    status: Status
    metadata: Metadata = ()
    unprocessed: bool = False


@dataclass(frozen=True, slots=True)
class Options:
    """Times in microseconds."""

    connect_timeout: int = 250_000
    keepalive_after: int = 10_000_000
    """Silence with calls open after which the peer is pinged."""
    keepalive_timeout: int = 5_000_000
    """Silence after that ping until the connection is held to be dead."""
    max_links: int = 8
    max_waiting: int = 10_000
    limits: Limits = field(default_factory=Limits)


def _nothing(*_: Any) -> None:
    pass


class ClientCall:
    """One call. Callbacks run at once, in the connection's task, and must not wait."""

    __slots__ = ("_timer", "compress", "link", "metadata", "method", "on_end", "on_headers", "on_message",
                 "on_writable", "open", "out", "paused", "stream", "timeout", "traffic", "unary")

    def __init__(self, method: str, metadata: Metadata, timeout: int | None, compress: bool) -> None:
        self.method, self.metadata, self.timeout, self.compress = method, metadata, timeout, compress
        self.on_message: Callable[[bytes], None] = _nothing
        self.on_headers: Callable[[Metadata], None] = _nothing
        self.on_end: Callable[[End], None] = _nothing
        self.on_writable: Callable[[], None] = _nothing
        self.link: _ClientLink | None = None
        self.stream = 0
        self.traffic = Traffic()
        """Bytes of its messages, also of those that cross its end; nothing before there is a connection."""
        self.open, self.paused, self.unary = True, False, False
        self.out: list[bytes] = []
        """What was sent before there was a connection."""
        self._timer: asyncio.TimerHandle | None = None

    def send(self, message: bytes) -> bool:
        if not self.open:
            return False
        if self.link is None:
            self.out.append(message)
            return True
        going = self.link.core.send(self.stream, message)
        self.link.flush_soon()
        return going

    def half_close(self) -> None:
        self.unary = True
        if self.link and self.open:
            self.link.core.half_close(self.stream)
            self.link.flush_soon()

    def cancel(self, how: How = How.CANCELLED) -> None:
        """End the call; `on_end` is called at once, unless it has been."""
        if self.open:
            if self.link:
                self.link.core.reset(self.stream)
                self.link.flush_soon()
            code = Code.DEADLINE_EXCEEDED if how is How.TIMEOUT else Code.CANCELLED
            self.ended(End(how, Status(code, how.value), unprocessed=self.link is None))

    def pause(self) -> None:
        """Take no more messages than one window's for now."""
        self.paused = True
        if self.link:
            self.link.core.pause(self.stream)

    def resume(self) -> None:
        self.paused = False
        if self.link:
            self.link.core.resume(self.stream)
            self.link.flush_soon()

    def ended(self, end: End) -> None:
        if not self.open:
            return
        self.open = False
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.link:
            self.link.calls.pop(self.stream, None)
            self.link.channel.freed(self.link)
        self.on_end(end)

    def start_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self.timeout is not None:
            self._timer = loop.call_later(self.timeout / 1e6, self.cancel, How.TIMEOUT)


class _ClientLink(Link):
    def __init__(self, channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.channel = channel
        self.calls: dict[int, ClientCall] = {}
        self.pinged_at = 0
        self.idle_since = now_us()
        super().__init__(reader, writer, Core(client=True, limits=channel.options.limits,
                                              authority=channel.address, now=now_us()))

    def begin(self, call: ClientCall) -> None:
        try:
            call.stream = self.core.start(call.method, call.metadata, call.timeout, call.compress)
        except ValueError as error:
            call.ended(End(How.STATUS, Status(Code.INTERNAL, str(error)), unprocessed=True))
            return
        call.link = self
        call.traffic = self.core.traffic(call.stream)
        self.calls[call.stream] = call
        for message in call.out:
            self.core.send(call.stream, message)
        call.out = []
        if call.paused:
            self.core.pause(call.stream)
        if call.unary:
            self.core.half_close(call.stream)
        self.flush_soon()

    def on_event(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            if call := self.calls.get(event.stream):
                call.on_message(event.data)
        elif isinstance(event, CallEnded):
            if call := self.calls.get(event.stream):
                how = How.RESET if event.reset else How.STATUS
                call.ended(End(how, event.status, event.metadata, event.unprocessed))
        elif isinstance(event, CallHeaders):
            if call := self.calls.get(event.stream):
                call.on_headers(event.metadata)
        elif isinstance(event, Writable):
            if call := self.calls.get(event.stream):
                call.on_writable()
        elif isinstance(event, GoAway):
            self.channel.freed(self)
        elif isinstance(event, Pong):
            self.pinged_at = 0

    def check(self, now: int) -> None:
        """Keepalive: ping after silence with calls open, give up after silence that follows it."""
        options = self.channel.options
        if not self.calls:
            self.pinged_at = 0
        elif self.heard_at > self.pinged_at:
            self.pinged_at = 0
            if now - self.heard_at > options.keepalive_after:
                self.pinged_at = now
                self.core.ping(b"alive?")
                self.flush_soon()
        elif now - self.pinged_at > options.keepalive_timeout:
            self.close("keepalive: the peer is silent")


class Channel:
    """Calls to one address. `close` ends every call and task of it."""

    def __init__(self, address: str, options: Options | None = None) -> None:
        self.address, self.options = address, options or Options()
        self.links: list[_ClientLink] = []
        self.waiting: deque[ClientCall] = deque()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connects = 0
        """Connections tried so far."""
        self._connecting = 0
        self._closed = False
        self._watch: asyncio.TimerHandle | None = None

    def call(self, method: str, *, metadata: Metadata = (), timeout: int | None = None, compress: bool = False,
             on_message: Callable[[bytes], None] = _nothing, on_end: Callable[[End], None] = _nothing,
             message: bytes | None = None) -> ClientCall:
        """Start a call; with `message` its request is that one alone. `on_end` is never called from in here."""
        call = ClientCall(method, metadata, timeout, compress)
        call.on_message, call.on_end = on_message, on_end
        if message is not None:
            call.out.append(message)
            call.unary = True
        loop = asyncio.get_running_loop()
        call.start_timer(loop)
        link = next((one for one in self.links if not one.closed and one.core.room() > 0), None)
        if link and not self.waiting:
            link.begin(call)
        elif len(self.waiting) >= self.options.max_waiting or self._closed:
            why = "closed" if self._closed else f"{len(self.waiting)} calls wait for a connection"
            loop.call_soon(call.ended, End(How.CONNECT, Status(Code.RESOURCE_EXHAUSTED, why), unprocessed=True))
        else:
            self.waiting.append(call)
            self._more()
        return call

    def _more(self) -> None:
        """Connect once more where calls wait that no connection to come has room for."""
        live = sum(1 for link in self.links if not link.core.draining)
        if self.waiting and not self._connecting and live < self.options.max_links and not self._closed:
            self._connecting += 1
            self.connects += 1
            task = asyncio.get_running_loop().create_task(self._run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host.strip("[]"), int(port)), self.options.connect_timeout / 1e6)
            finally:
                self._connecting -= 1
        except (OSError, ValueError) as error:  # a time-out is an OSError too
            reason = str(error) or "connect timed out"
            failed = list(self.waiting)
            self.waiting.clear()
            for call in failed:
                call.ended(End(How.CONNECT, Status(Code.UNAVAILABLE, f"connect: {reason}"), unprocessed=True))
            return
        link = _ClientLink(self, reader, writer)
        self.links.append(link)
        self._start_watch()
        self.freed(link)
        try:
            await link.run()
        finally:
            self.links.remove(link)
            self._more()

    def freed(self, link: _ClientLink) -> None:
        """A connection has room, or takes no more: serve who waits, close what has drained."""
        while self.waiting and not link.closed and link.core.room() > 0:
            call = self.waiting.popleft()
            if call.open:
                link.begin(call)
        if not link.calls:
            link.idle_since = now_us()
            if link.core.draining:
                link.loop.call_soon(link.close, "drained")
        self._more()

    def _start_watch(self) -> None:
        if self._watch is None and self.links:
            every = min(self.options.keepalive_after, self.options.keepalive_timeout) / 4e6
            self._watch = asyncio.get_running_loop().call_later(every, self._check)

    def _check(self) -> None:
        self._watch = None
        for link in list(self.links):
            link.check(now_us())
        self._start_watch()

    def close_idle(self, idle_for: int = 0) -> int:
        """Close connections without calls for so long (microseconds); returns how many."""
        idle = [k for k in self.links if not k.calls and now_us() - k.idle_since >= idle_for]
        for link in idle:
            link.close("idle")
        return len(idle)

    async def close(self) -> None:
        self._closed = True
        if self._watch:
            self._watch.cancel()
        for call in list(self.waiting):
            call.cancel()
        self.waiting.clear()
        for link in list(self.links):
            link.close("channel closed")
        for task in list(self.tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
