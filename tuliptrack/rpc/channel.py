"""The gRPC client: calls to one address over pooled connections, with connect timeouts and keepalive.

A call ends once, through `on_end`, and says whether the peer may have processed it.

A connection may fall silent without an error; `arrival.ArrivalProofs` detects that. While a connection is
doubted, no new call is sent on it and a new connection is opened; the silent one is closed soon after the new
one is known to work, or after `Options.proof_timeout`.

Bounds: `Options.max_links` connections for each address, and `Options.max_waiting` calls that wait for one; a
further call ends immediately with RESOURCE_EXHAUSTED, marked unprocessed.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import structlog

from tuliptrack.rpc.arrival import ARRIVED_PING, ArrivalProofs
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import Core, Limits, Traffic
from tuliptrack.rpc.dial import dial
from tuliptrack.rpc.events import CallEnded, CallHeaders, Event, GoAway, MessageReceived, Pong, Writable
from tuliptrack.rpc.link import Link
from tuliptrack.rpc.status import Code, Metadata, Status

__all__ = ["Channel", "ClientCall", "End", "EndReason", "Options"]

log = structlog.get_logger("rpc.channel")


class EndReason(Enum):
    """What ended a call."""

    STATUS = "status"
    """A status ended the call: the peer's, or this client's own for a request that can't be sent or an answer
    that is malformed."""
    RESET = "reset"
    """The stream or the connection broke."""
    CONNECT = "connect"
    """The call got no connection, or not in time: the peer has not received it."""
    TIMEOUT = "timeout"
    """The call's timeout passed at this client."""
    CANCELLED = "cancelled"
    """`ClientCall.cancel` ended the call."""


@dataclass(frozen=True, slots=True)
class End:
    """How a call ended. `unprocessed`: the peer has certainly not processed the call."""

    how: EndReason
    status: Status
    metadata: Metadata = ()
    unprocessed: bool = False
    is_connection_only: bool = False
    """Whether the failure concerns only the call's connection, not the peer: a newer connection works."""


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a channel; times in microseconds."""

    connect_timeout: int = 250_000
    keepalive_after: int = 10_000_000
    """Time without input on a connection with open calls, after which the peer is pinged."""
    keepalive_timeout: int = 5_000_000
    """Time without input after the ping of `keepalive_after`, after which the connection is considered dead
    and closed."""
    prove_after: int = 60_000
    """Time without an answer to a call, after which the peer is pinged to prove that the call arrived; and
    time without input after that ping, after which the connection is doubtful."""
    proof_timeout: int = 1_000_000
    """Time without input after the ping of `prove_after`, after which the connection is considered dead and
    closed."""
    max_links: int = 8
    max_waiting: int = 10_000
    limits: Limits = field(default_factory=Limits)


_ALIVE_PING = b"alive?"
_CHECKS_BEFORE_CLOSE = 3
"""Number of checks that find a doubtful connection still silent while a newer one works, before the silent
one is closed."""


def _noop(*_: Any) -> None:
    pass


class ClientCall:
    """One call. Callbacks run synchronously, in the connection's task, and must not block."""

    __slots__ = (
        "_connect_timer",
        "_timer",
        "arrived",
        "compress",
        "link",
        "metadata",
        "method",
        "on_end",
        "on_headers",
        "on_message",
        "on_writable",
        "open",
        "out",
        "paused",
        "prove_by",
        "stream",
        "timeout",
        "traffic",
        "unary",
    )

    def __init__(self, method: str, metadata: Metadata, timeout: int | None, compress: bool) -> None:
        self.method, self.metadata, self.timeout, self.compress = method, metadata, timeout, compress
        self.on_message: Callable[[bytes], None] = _noop
        self.on_headers: Callable[[Metadata], None] = _noop
        self.on_end: Callable[[End], None] = _noop
        self.on_writable: Callable[[], None] = _noop
        self.link: _ClientLink | None = None
        self.stream = 0
        self.traffic = Traffic()
        """The bytes of the call's messages, including those that arrive after the call has ended here; zero
        until the call is sent on a connection."""
        self.open, self.paused, self.unary = True, False, False
        self.arrived = False
        """Whether the peer has certainly received the call: it has answered something on the call, or a ping
        that was sent after the call."""
        self.prove_by = 0
        """When the call's arrival should be proven at the latest, in monotonic microseconds; 0: no such
        time."""
        self.out: list[bytes] = []
        """Messages to send once the call has a connection."""
        self._timer: asyncio.TimerHandle | None = None
        self._connect_timer: asyncio.TimerHandle | None = None

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

    def cancel(self, how: EndReason = EndReason.CANCELLED) -> None:
        """End the call if it is open; `on_end` is then called before this returns."""
        if self.open:
            if self.link:
                self.link.core.reset(self.stream)
                self.link.flush_soon()
            code = Code.DEADLINE_EXCEEDED if how is EndReason.TIMEOUT else Code.CANCELLED
            self.ended(End(how, Status(code, how.value), unprocessed=self.link is None))

    def pause(self) -> None:
        """Receive at most one more stream window of messages until `resume`."""
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
        for timer in (self._timer, self._connect_timer):
            if timer:
                timer.cancel()
        self._timer = self._connect_timer = None
        if self.link:
            self.link.calls.pop(self.stream, None)
            self.link.channel.serve_waiting(self.link)
        self.on_end(end)

    def start_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self.timeout is not None:
            self._timer = loop.call_later(self.timeout / 1e6, self.cancel, EndReason.TIMEOUT)

    def limit_connect(self, loop: asyncio.AbstractEventLoop, within: int) -> None:
        """End the call if it is not sent on a connection within `within` microseconds."""
        self._connect_timer = loop.call_later(max(within, 0) / 1e6, self._connect_timed_out)

    def _connect_timed_out(self) -> None:
        if self.link is None:
            self.ended(
                End(
                    EndReason.CONNECT,
                    Status(Code.UNAVAILABLE, "connect: not in the call's time for it"),
                    unprocessed=True,
                )
            )


class _ClientLink(Link):
    def __init__(self, channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.channel = channel
        self.calls: dict[int, ClientCall] = {}
        self.pinged_at = 0
        self.idle_since = self.opened_at = now_us()
        self.outlived_by = 0
        """When a newer, working connection was opened, in monotonic microseconds; 0: none is known."""
        self._close_at_check = 0
        """The value of `ArrivalProofs.checks` at which the connection is closed if it is still silent."""
        super().__init__(
            reader,
            writer,
            Core(client=True, limits=channel.options.limits, authority=channel.address, now=now_us()),
        )
        self.proofs = ArrivalProofs(
            self, self.loop, channel.options.prove_after, channel.options.proof_timeout
        )

    def begin(self, call: ClientCall) -> None:
        try:
            call.stream = self.core.start(call.method, call.metadata, call.timeout, call.compress)
        except ValueError as error:
            call.ended(End(EndReason.STATUS, Status(Code.INTERNAL, str(error)), unprocessed=True))
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
        self.proofs.sent(call.stream, call, (call.prove_by - now_us()) // 2 if call.prove_by else None)
        self.flush_soon()

    def ping(self, data: bytes) -> None:
        """Send a ping after everything that was written."""
        self.core.ping(data)
        self.flush_soon()

    def unsent(self, stream: int) -> int:
        """Return how many bytes of a call are not written yet."""
        return self.core.pending(stream)

    def mark_outlived(self, opened_at: int) -> None:
        """Note that a newer connection, opened at `opened_at`, works.

        This connection is closed if it stays silent for `_CHECKS_BEFORE_CLOSE` more checks.
        """
        if not self.outlived:
            self.outlived_by = opened_at
            self._close_at_check = self.proofs.checks + _CHECKS_BEFORE_CLOSE

    @property
    def outlived(self) -> bool:
        """Whether this connection has been silent since before a newer, working one was opened."""
        return self.heard_at < self.outlived_by

    def doubted(self, checks: int) -> None:
        """Act on silence: close this connection if a newer one works and enough checks have passed since that
        was known, otherwise have a new one opened if needed.
        """
        if self.outlived and checks >= self._close_at_check:
            self.close("silent while a new connection works")
        else:
            self.channel.doubt(self)

    def on_event(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            if call := self.calls.get(event.stream):
                self.proofs.heard(event.stream, call)
                call.on_message(event.data)
        elif isinstance(event, CallEnded):
            if call := self.calls.get(event.stream):
                how = EndReason.RESET if event.reset else EndReason.STATUS
                call.ended(End(how, event.status, event.metadata, event.unprocessed, self.outlived))
        elif isinstance(event, CallHeaders):
            if call := self.calls.get(event.stream):
                self.proofs.heard(event.stream, call)
                call.on_headers(event.metadata)
        elif isinstance(event, Writable):
            if call := self.calls.get(event.stream):
                call.on_writable()
        elif isinstance(event, GoAway):
            self.channel.serve_waiting(self)
        elif isinstance(event, Pong):
            self.pinged_at = 0
            if event.data == ARRIVED_PING:
                self.proofs.answered()
                self.channel.confirm_working(self)

    def check(self, now: int) -> None:
        """Keepalive: ping a silent peer while calls are open; close the connection if the peer stays
        silent.
        """
        options = self.channel.options
        if not self.calls:
            self.pinged_at = 0
        elif self.heard_at > self.pinged_at:
            self.pinged_at = 0
            if now - self.heard_at > options.keepalive_after:
                self.pinged_at = now
                self.ping(_ALIVE_PING)
        elif now - self.pinged_at > options.keepalive_timeout:
            self.close("keepalive: the peer is silent")

    def close(self, reason: str) -> None:
        """Close the connection; end its calls and its timer."""
        if self.proofs.doubtful and not self.closed:
            log.warning(
                "silent connection closed", address=self.channel.address, reason=reason, calls=len(self.calls)
            )
        self.proofs.close()
        super().close(reason)

    @property
    def takes_calls(self) -> bool:
        """Whether a call may be sent on this connection now."""
        return not self.closed and not self.proofs.doubtful and self.core.available_streams() > 0


class Channel:
    """Calls to one address. `close` ends all its calls and tasks."""

    def __init__(self, address: str, options: Options | None = None) -> None:
        self.address, self.options = address, options or Options()
        self.links: list[_ClientLink] = []
        self.waiting: deque[ClientCall] = deque()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connects = 0
        """Number of attempts to connect so far."""
        self._connecting = 0
        self._doubted = False
        """Whether a connection has fallen silent, and a new one is needed to find out whether the peer has
        too."""
        self._closed = False
        self._watch: asyncio.TimerHandle | None = None

    def call(
        self,
        method: str,
        *,
        metadata: Metadata = (),
        timeout: int | None = None,
        compress: bool = False,
        connect_within: int | None = None,
        on_message: Callable[[bytes], None] = _noop,
        on_end: Callable[[End], None] = _noop,
        message: bytes | None = None,
    ) -> ClientCall:
        """Start a call; `on_end` is never called synchronously from here.

        Args:
            method: Path of the method.
            metadata: Metadata of the request.
            timeout: Microseconds until the call ends with `TIMEOUT`; also sent to the peer.
            compress: Whether to compress messages.
            connect_within: Microseconds after which the call ends if it has no connection. The call's arrival
                at the peer should be proven within the same time.
            on_message: Called with each message of the answer.
            on_end: Called once, at the end.
            message: The only message of the request; None if the caller sends messages itself.
        """
        call = ClientCall(method, metadata, timeout, compress)
        call.on_message, call.on_end = on_message, on_end
        if message is not None:
            call.out.append(message)
            call.unary = True
        if connect_within is not None:
            call.prove_by = now_us() + connect_within
        loop = asyncio.get_running_loop()
        call.start_timer(loop)
        link = next((link for link in self.links if link.takes_calls), None)
        if link and not self.waiting:
            link.begin(call)
        elif len(self.waiting) >= self.options.max_waiting or self._closed:
            why = "closed" if self._closed else f"{len(self.waiting)} calls wait for a connection"
            loop.call_soon(
                call.ended, End(EndReason.CONNECT, Status(Code.RESOURCE_EXHAUSTED, why), unprocessed=True)
            )
        else:
            self.waiting.append(call)
            if connect_within is not None:
                call.limit_connect(loop, connect_within)
            self._connect_if_needed()
        return call

    def _connect_if_needed(self) -> None:
        """Open a connection if calls wait or a connection is doubted, and none is being opened."""
        live = sum(1 for link in self.links if not link.core.draining and not link.proofs.doubtful)
        has_capacity = live < self.options.max_links and len(self.links) < 2 * self.options.max_links
        if (self.waiting or self._doubted) and not self._connecting and has_capacity and not self._closed:
            self._connecting += 1
            self.connects += 1
            task = asyncio.get_running_loop().create_task(self._run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _run(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            try:
                reader, writer = await dial(
                    lambda: asyncio.open_connection(host.strip("[]"), int(port)),
                    self.options.connect_timeout / 1e6,
                )
            finally:
                self._connecting -= 1
        except (OSError, ValueError) as error:  # includes TimeoutError
            self._doubted = False
            reason = str(error) or "connect timed out"
            failed = list(self.waiting)
            self.waiting.clear()
            for call in failed:
                call.ended(
                    End(EndReason.CONNECT, Status(Code.UNAVAILABLE, f"connect: {reason}"), unprocessed=True)
                )
            return
        link = _ClientLink(self, reader, writer)
        self.links.append(link)
        if self._doubted:
            self._doubted = False
            link.proofs.ping()
        self._start_watch()
        self.serve_waiting(link)
        try:
            await link.run()
        finally:
            self.links.remove(link)
            self._connect_if_needed()

    def serve_waiting(self, link: _ClientLink) -> None:
        """Send waiting calls on `link` while it has capacity; close it if it takes no more and all have
        ended.
        """
        while self.waiting and link.takes_calls:
            call = self.waiting.popleft()
            if call.open:
                link.begin(call)
        if not link.calls:
            link.idle_since = now_us()
            if link.core.draining:
                link.loop.call_soon(link.close, "drained")
        self._connect_if_needed()

    def doubt(self, link: _ClientLink) -> None:
        """Open a new connection as `link` has fallen silent, unless another was opened since its last
        input.
        """
        self._doubted = not any(other.opened_at > link.heard_at for other in self.links if other is not link)
        self._connect_if_needed()

    def confirm_working(self, working: _ClientLink) -> None:
        """Note that `working` works: doubtful connections, silent since before it was opened, are closed
        soon.
        """
        for link in self.links:
            if link.proofs.doubtful and link.heard_at < working.opened_at:
                link.mark_outlived(working.opened_at)

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
        """Close connections that have had no calls for `idle_for` microseconds; return how many."""
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
