"""A gRPC server on asyncio streams: methods by path, handlers of calls, graceful shutdown.

A handler is called synchronously when the headers of a call were received, and sets the callbacks of the
call; neither the handler nor the callbacks may block. `unary_request` makes a handler from a function that
takes a single message.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import structlog
from google.protobuf.message import DecodeError, Message

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import Core, Limits
from tuliptrack.rpc.events import (
    Broken,
    CallStarted,
    Cancelled,
    Event,
    GoAway,
    HalfClosed,
    MessageReceived,
    Writable,
)
from tuliptrack.rpc.link import Link
from tuliptrack.rpc.listener import Listener
from tuliptrack.rpc.status import Code, Metadata, Status, rejection_details, rejection_status, with_details

__all__ = ["Handler", "Server", "ServerCall", "unary_request"]

log = structlog.get_logger("rpc")


def _noop(*_: Any) -> None:
    pass


class ServerCall:
    """One call at the server. It ends once: by `end` or `reset`, or by a call of `on_cancelled`.

    `deadline` is in monotonic microseconds, None if the client has set none. At the deadline, the server
    itself ends the call with DEADLINE_EXCEEDED, and calls `on_cancelled`.
    """

    __slots__ = (
        "_timer",
        "deadline",
        "link",
        "metadata",
        "method",
        "on_cancelled",
        "on_half_close",
        "on_message",
        "on_writable",
        "open",
        "stream",
        "traffic",
    )

    def __init__(self, link: _ServerLink, start: CallStarted) -> None:
        self.link, self.stream, self.method, self.metadata = link, start.stream, start.method, start.metadata
        # The client counts its timeout from the sending of the call, which may have waited here for its turn.
        self.deadline = None if start.timeout is None else link.received_at + start.timeout
        self.open = True
        self.traffic = link.core.traffic(start.stream)
        self.on_message: Callable[[bytes], None] = _noop
        self.on_half_close: Callable[[], None] = _noop
        self.on_cancelled: Callable[[str], None] = _noop
        self.on_writable: Callable[[], None] = _noop
        self._timer = (
            None
            if self.deadline is None
            else link.loop.call_later(max(self.deadline - now_us(), 0) / 1e6, self._deadline_passed)
        )

    @property
    def peer(self) -> str:
        return self.link.peer

    def send(self, message: bytes) -> bool:
        """Queue a message; False asks the caller to pause until `on_writable`."""
        going = self.link.core.send(self.stream, message)
        self.link.flush_soon()
        return going

    def end(self, status: Status, metadata: Metadata = ()) -> bool:
        """End the call after its queued messages; return False if it had already ended."""
        if not self.open:
            return False
        self._mark_ended()
        done = self.link.core.finish(self.stream, status, metadata)
        self.link.flush_soon()
        return done

    def pause(self) -> None:
        self.link.core.pause(self.stream)

    def resume(self) -> None:
        self.link.core.resume(self.stream)
        self.link.flush_soon()

    def reset(self) -> None:
        """End the call immediately without a status, as a crash of the server would."""
        if self.open:
            self._mark_ended()
            self.link.core.reset(self.stream)
            self.link.flush_soon()

    def _deadline_passed(self) -> None:
        if self.open:
            self.end(Status(Code.DEADLINE_EXCEEDED, "the client's deadline has passed"))
            self.on_cancelled("deadline")

    def _mark_ended(self) -> None:
        self.open = False
        self.link.calls.pop(self.stream, None)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self.link.check_drained()

    def cancel(self, reason: str) -> None:
        if self.open:
            self._mark_ended()
            self.on_cancelled(reason)


Handler = Callable[[ServerCall], None]
M = TypeVar("M", bound=Message)


def unary_request(kind: type[M], act: Callable[[ServerCall, M], None]) -> Handler:
    """Return a handler for calls with one request message, which calls `act` at the half-close."""

    def handle(call: ServerCall) -> None:
        got: list[M] = []

        def message(data: bytes) -> None:
            if got:
                call.end(
                    Status(Code.UNIMPLEMENTED, f"{call.method}: one request message expected, a second came")
                )
                return
            request = kind()
            try:
                request.ParseFromString(data)
            except DecodeError as error:
                call.end(
                    Status(Code.INVALID_ARGUMENT, f"request: not a {kind.DESCRIPTOR.full_name} ({error})")
                )
                return
            got.append(request)

        def half_close() -> None:
            if got:
                act(call, got[0])
            else:
                call.end(
                    Status(Code.UNIMPLEMENTED, f"{call.method}: one request message expected, none came")
                )

        call.on_message, call.on_half_close = message, half_close

    return handle


class _ServerLink(Link):
    def __init__(self, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.calls: dict[int, ServerCall] = {}
        name = writer.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if name else "?"
        super().__init__(
            reader, writer, Core(client=False, limits=server.limits, now=now_us(), bodies=server.bodies)
        )

    def on_event(self, event: Event) -> None:
        if isinstance(event, CallStarted):
            self._start(event)
            return
        call = self.calls.get(getattr(event, "stream", 0))
        try:
            if isinstance(event, MessageReceived):
                if call:
                    call.on_message(event.data)
            elif isinstance(event, HalfClosed):
                if call:
                    call.on_half_close()
            elif isinstance(event, Cancelled):
                if call:
                    call.cancel(event.reason)
            elif isinstance(event, Writable):
                if call:
                    call.on_writable()
            elif isinstance(event, GoAway):
                pass  # The client still reads the answers to its open calls.
            elif isinstance(event, Broken):
                self.server.broken += 1
                log.info("connection ended", peer=self.peer, reason=event.reason)
        except Exception:
            log.exception("handler failed", method=call.method if call else "")
            if call:
                call.end(Status(Code.INTERNAL, "the handler failed"))
                call.cancel("handler failed")

    def _start(self, event: CallStarted) -> None:
        call = ServerCall(self, event)
        handler = self.server.methods.get(event.method)
        self.calls[event.stream] = call
        if handler is None or self.server.stopping:
            if handler is None:
                call.end(Status(Code.UNIMPLEMENTED, f"{event.method[:100]}: no such method here"))
            else:
                reason = "this server is shutting down"
                call.end(
                    with_details(Code.UNAVAILABLE, reason, *rejection_details("REFUSED", 0, reason=reason))
                )
            return
        if event.method in self.server.early and self.server.overload_check:
            reason, wait = self.server.overload_check()
            if reason:
                self.server.rejected_early += 1
                call.end(rejection_status(reason, wait))
                return
        try:
            handler(call)
        except Exception:
            log.exception("handler failed", method=event.method)
            call.end(Status(Code.INTERNAL, "the handler failed"))

    def check_drained(self) -> None:
        """During a shutdown, close the connection once its last call has ended and the answer is written."""
        if self.server.stopping and not self.calls:
            self.loop.call_soon(self._close_drained)

    def _close_drained(self) -> None:
        if not self.calls and not self.core.calls:
            self.close("drained")
        elif not self.calls and not self.closed:
            self.loop.call_later(0.01, self._close_drained)


class Server:
    """Listens on one address. Bound: `max_connections`; a further connection is closed immediately."""

    def __init__(
        self, limits: Limits | None = None, max_connections: int = 4_096, bodies: ByteBudget | None = None
    ) -> None:
        self.limits, self.max_connections, self.bodies = limits or Limits(), max_connections, bodies
        self.methods: dict[str, Handler] = {}
        self.links: dict[_ServerLink, asyncio.Task[None]] = {}
        self.stopping = False
        self.broken = 0
        self.rejected_connections = self.rejected_early = 0
        self._listener: Listener | None = None
        self._grace_cut = asyncio.Event()
        self.address = ""
        self.on_grace_over: Callable[[], None] = _noop
        """Called by `stop` if calls are open when the grace period is over, so that the application can end them
        itself."""
        self.gate: Callable[[asyncio.StreamWriter], Awaitable[bool]] | None = None
        """If set, awaited for each new connection; False rejects it."""
        self.overload_check: Callable[[], tuple[str, int]] | None = None
        """If set, called when a call of a method added with `early` starts, before its body is read. Returns
        the reason to reject it, empty if there is none, and the microseconds after which to retry."""
        self.early: set[str] = set()

    def add(self, service: str, method: str, handler: Handler, early: bool = False) -> None:
        self.methods[f"/{service}/{method}"] = handler
        if early:
            self.early.add(f"/{service}/{method}")

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen; return host:port, with the port that the kernel chose for port 0."""
        self._listener = Listener(asyncio.get_running_loop(), self._protocol)
        self.address = self._listener.start(host, port)
        return self.address

    def _protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a new connection, which runs `_accept` in its own task."""
        loop = asyncio.get_running_loop()
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(loop=loop), self._accept, loop=loop)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if (
            len(self.links) >= self.max_connections
            or self.stopping
            or (self.gate and not await self.gate(writer))
        ):
            self.rejected_connections += 1
            writer.transport.abort()
            return
        link = _ServerLink(self, reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self.links[link] = task
        try:
            await link.run()
        except asyncio.CancelledError:
            pass  # Only `stop` cancels this task, and expects it to end without an error.
        finally:
            self.links.pop(link, None)

    def end_grace_period(self) -> None:
        """End the grace period of a running `stop`."""
        self._grace_cut.set()

    def open_calls(self) -> int:
        return sum(len(link.calls) for link in self.links)

    async def stop(self, grace: float = 0.0) -> None:
        """Accept no new calls, let open ones run for `grace` seconds, then end all calls and connections."""
        self.stopping = True
        if self._listener:
            await self._listener.close()
        for link in list(self.links):
            link.core.drain()
            link.flush_soon()
            link.check_drained()
        tasks = list(self.links.values())
        if tasks and grace > 0:
            cut = asyncio.ensure_future(self._grace_cut.wait())
            await asyncio.wait(
                {asyncio.ensure_future(asyncio.wait(tasks)), cut},
                timeout=grace,
                return_when=asyncio.FIRST_COMPLETED,
            )
            cut.cancel()
        if self.open_calls():  # Without them, nothing ends here; other fronts may have requests that go on.
            self.on_grace_over()
        for link in list(self.links):
            for call in list(link.calls.values()):
                call.end(Status(Code.UNAVAILABLE, "this server has shut down"))
                call.on_cancelled("server stopped")
            link.close("server stopped")  # after the answers that `on_grace_over` has given
        for task in tasks:
            if not task.done():
                task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
