"""Connections to one address, kept and used again, the last one used first.

A connection that is kept may have fallen silent with no error: a middlebox has forgotten it, its machine is
cut off. So a request that asks for it (`Exchange.validated`) goes out only after its connection has answered
a small question just before (validation on borrow). Where a kept one does not answer soon a new one is opened
beside it, and the first that works is used. A new connection is asked too where the address is in doubt:
where something was sent to it that brought no word, and nothing was heard from it since. A request that finds
no connection that works within the time to connect never ran.

Bounds: `Connections` counts those of all addresses together. Where none is left, an idle one of any address
makes room; where none is idle, the exchange ends at once, never sent.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.dial import dial
from tuliptrack.rpc.http1_client import ClientConnection, ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, How

__all__ = ["Connections", "Pool", "no_question"]

_LOCAL_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""This process or machine has no room; the peer has no part in it."""
_LOCAL_NETWORK_ERRORS = frozenset({errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN})
"""This machine's network can't open it now; that says little of the peer."""
_CONNECT_RETRY_DELAY_S = 0.02  # after one of these
_VALIDATION_SHARE = (
    0.2  # of the time to connect: within it a kept connection has to answer before a new one is opened
)


class Connections:
    """How many connections may be held, to all addresses together."""

    def __init__(self, limit: int) -> None:
        self.limit, self.open_count, self.made = limit, 0, 0
        self.silent = 0
        """Connections that did not answer when they were asked."""
        self.pools: list[Pool] = []

    def acquire(self) -> bool:
        """Room for one more, made if need be by closing the one that has been idle for longest."""
        if self.open_count >= self.limit:
            idle = [pool.idle[0] for pool in self.pools if pool.idle]
            if not idle:
                return False
            min(idle, key=lambda connection: connection.idle_since).drop("makes room")
        self.open_count += 1
        self.made += 1
        return True

    def release(self) -> None:
        self.open_count -= 1


class _Borrow:
    """One exchange's search for a connection that works. It ends by itself within the time to connect."""

    def __init__(self, pool: Pool, exchange: Exchange) -> None:
        self.pool, self.exchange = pool, exchange
        self.over = False
        self._is_time_shortened = False
        self._validations: dict[ClientConnection, Exchange] = {}
        self._connected = False
        self._local_error: OSError | None = None
        """Why this machine could not open a connection, if that was so the last time."""
        self._task: asyncio.Task[None] | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._wait_s = self._time_to_connect()
        self._deadline = pool.loop.time() + self._wait_s

    def _time_to_connect(self) -> float:
        allowed = self.pool.options.connect_timeout
        if not self.exchange.connect_by:
            return allowed / 1e6
        left = max(self.exchange.connect_by - now_us(), 0)
        self._is_time_shortened = left < allowed
        return min(left, allowed) / 1e6

    def start(self, pooled: ClientConnection | None) -> None:
        """Begin with a kept connection, if there is one."""
        self._after(self._wait_s, self._connect_timed_out)
        if pooled is None:
            self._connect()
            return
        self._after(self._wait_s * _VALIDATION_SHARE, lambda: self._validation_overdue(pooled))
        self._validate(pooled)

    def _after(self, seconds: float, what: Callable[[], None]) -> None:
        self._timers.append(self.pool.loop.call_later(seconds, what))

    def _connect_timed_out(self) -> None:
        """The time to connect is over."""
        if self._local_error:
            self._not_opened(self._local_error)
        else:
            self._fail(How.CONNECT, "no connection that works in time", self._is_time_shortened)

    def _validate(self, connection: ClientConnection) -> None:
        """Ask a connection a question that has no effect; where none is known the connection is taken to
        work.
        """
        probe = self.pool.make_question(self.pool.address)
        if probe is None:
            self._use(connection)
            return
        probe.on_end = lambda how, reason: self._validated(connection, probe, how)
        self._validations[connection] = probe
        connection.begin(probe)

    def _validation_overdue(self, connection: ClientConnection) -> None:
        """A kept connection has not answered soon enough: a new one is opened beside it."""
        probe = self._validations.get(connection)
        if self.over or probe is None:
            return
        self.pool.connections.silent += 1
        probe.doubt()
        self._connect()

    def _validated(self, connection: ClientConnection, probe: Exchange, how: How) -> None:
        self._validations.pop(connection, None)
        if self.over:
            return
        if how is How.ANSWER and connection in self.pool.idle:
            self.pool.idle.remove(connection)
            self._use(connection, probe.sent_at)
        elif not self._validations and self._task is None:
            if self._connected:
                self._fail(How.CONNECT, "the connection ended before it was used", True)
            else:
                self._connect()

    def _connect(self) -> None:
        if not self.pool.connections.acquire():
            if not self._validations:
                self.over = True
                self.pool.loop.call_soon(
                    self._end, How.NO_ROOM, f"{self.pool.connections.open_count} connections are open"
                )
            return
        self._task = self.pool.loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            connection = await self._open_in_time()
        except (OSError, ValueError) as error:  # a time-out is an OSError too
            self.pool.connections.release()
            self._task = None
            if not self._validations:
                self._not_opened(error)
            return
        except asyncio.CancelledError:
            self.pool.connections.release()
            raise
        self._task, self._connected = None, True
        self.pool.opened(connection)
        if self.over or not (self.exchange.validated and self.pool.doubted):
            self._use(connection)
            return
        self._validate(connection)

    async def _open_in_time(self) -> ClientConnection:
        """A new connection; tried again where this machine itself can't open one for a moment."""
        loop = self.pool.loop
        while True:
            connection = ClientConnection(self.pool, self.exchange)
            left = max(self._deadline - loop.time(), 0)
            try:
                await self._dial(connection, left)
                self._local_error = None
                return connection
            except OSError as error:
                self._local_error = (
                    error if error.errno in _LOCAL_RESOURCE_ERRORS | _LOCAL_NETWORK_ERRORS else None
                )
                if self._local_error is None or loop.time() + _CONNECT_RETRY_DELAY_S >= self._deadline:
                    raise
            await asyncio.sleep(_CONNECT_RETRY_DELAY_S)

    async def _dial(self, connection: ClientConnection, within_s: float) -> None:
        host, _, port = self.pool.address.rpartition(":")
        try:
            await dial(
                lambda: self.pool.loop.create_connection(lambda: connection, host.strip("[]"), int(port)),
                within_s,
            )
        except (OSError, asyncio.CancelledError):
            connection.drop("too late")  # It may have come up in this very moment.
            raise

    def _not_opened(self, error: Exception) -> None:
        number = getattr(error, "errno", None)
        reason = f"connect: {error or 'timed out'}"
        if number in _LOCAL_RESOURCE_ERRORS:
            self._fail(How.NO_ROOM, reason)
        else:
            is_time_shortened = isinstance(error, TimeoutError) and self._is_time_shortened
            self._fail(How.CONNECT, reason, is_time_shortened or number in _LOCAL_NETWORK_ERRORS)

    def _use(self, connection: ClientConnection, proven_since: float = 0.0) -> None:
        """A connection works: the exchange goes out on it, unless it isn't wanted any more. `proven_since`:
        see `Exchange`.
        """
        if self.over:
            self.pool.return_to_pool(connection)
            return
        exchange = self.exchange
        exchange.proven_since = proven_since
        self._finish()
        if exchange.open and exchange.wanted() and exchange.open:
            connection.begin(exchange)
            return
        exchange.lone = True
        exchange.ended(How.CONNECT, "not wanted any more")
        self.pool.return_to_pool(connection)

    def _fail(self, how: How, reason: str, lone: bool = False) -> None:
        if not self.over:
            self.exchange.lone = lone
            self._end(how, reason)

    def _end(self, how: How, reason: str) -> None:
        self._finish()
        self.exchange.ended(how, reason)

    def _finish(self) -> None:
        """End all that still looks for a connection."""
        self.over = True
        self.pool.borrows.discard(self)
        for timer in self._timers:
            timer.cancel()
        if self._task and self._task is not asyncio.current_task():
            self._task.cancel()
            self._task = None
        for probe in list(self._validations.values()):
            probe.cancel()

    def close(self) -> asyncio.Task[None] | None:
        """End it; the task that is to be waited for, if any."""
        task = self._task
        self._end(How.GIVEN_UP, "closed")
        return task


def no_question(address: str) -> Exchange | None:
    """For peers to which no exchange is without an effect."""
    return None


class Pool:
    """Exchanges with one address. `close` ends every exchange and task of it."""

    def __init__(
        self,
        address: str,
        options: ClientOptions,
        connections: Connections,
        make_question: Callable[[str], Exchange | None] = no_question,
    ) -> None:
        """`make_question`: an exchange without any effect by which a connection shows that it works; None:
        there is none.
        """
        self.address, self.options, self.connections = address, options, connections
        self.make_question = make_question
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        """Connections without an exchange, the one used last at the end."""
        self.links: set[ClientConnection] = set()
        self.borrows: set[_Borrow] = set()
        self.heard_at = 0.0
        """When something last came from there, on the loop's clock."""
        self.doubted = False
        """Something was sent that brought no word, and nothing was heard from there since."""
        self._closed = False
        connections.pools.append(self)

    def send(self, exchange: Exchange) -> None:
        """Begin an exchange. `on_end` is never called from in here."""
        if self._closed:
            self.loop.call_soon(exchange.ended, How.NO_ROOM, "closed")
            return
        pooled = None if exchange.fresh else self._take_idle()
        if pooled and not exchange.validated:
            pooled.begin(exchange)
            return
        borrow = _Borrow(self, exchange)
        self.borrows.add(borrow)
        borrow.start(pooled)

    def _take_idle(self) -> ClientConnection | None:
        """A kept connection that has rested and that its peer has not ended."""
        now = self.loop.time()
        while reusable := self._reusable(now):
            self.idle.remove(reusable)
            if now - reusable.idle_since < self.options.idle / 1e6 and not reusable.is_closed_by_peer():
                return reusable
            reusable.drop("idle for too long, or ended")
        return None

    def _reusable(self, now: float) -> ClientConnection | None:
        """The idle connection to use next; None where none has rested."""
        return next(
            (pooled for pooled in reversed(self.idle) if now - pooled.idle_since >= self.options.rest / 1e6),
            None,
        )

    def has_spare(self) -> bool:
        """Whether an exchange would need no new connection."""
        return self._reusable(self.loop.time()) is not None

    def mark_heard(self) -> None:
        self.heard_at = self.loop.time()
        self.doubted = False

    def doubt(self, since: float) -> None:
        if self.heard_at <= since:
            self.doubted = True

    def any_established(self) -> bool:
        return any(connection.is_established() for connection in self.links)

    def opened(self, connection: ClientConnection) -> None:
        """A new connection is up."""
        self.links.add(connection)

    def return_to_pool(self, connection: ClientConnection) -> None:
        if self._closed:
            connection.drop("closed")
            return
        connection.opened_for = None
        connection.idle_since = self.loop.time()
        connection.resume()
        self.idle.append(connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        if connection in self.links:
            self.links.discard(connection)
            self.connections.release()
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self.loop.time()
        for pooled in [k for k in self.idle if now - k.idle_since >= self.options.idle / 1e6]:
            pooled.drop("idle for too long")

    def close_idle(self) -> None:
        for pooled in list(self.idle):
            pooled.drop("idle")

    @property
    def busy(self) -> bool:
        return bool(self.borrows) or len(self.links) > len(self.idle)

    async def close(self) -> None:
        """End it all."""
        self._closed = True
        if self in self.connections.pools:
            self.connections.pools.remove(self)
        tasks = [task for borrow in list(self.borrows) if (task := borrow.close())]
        for connection in list(self.links):
            exchange_out = connection.exchange
            connection.drop("closed")
            if exchange_out:
                exchange_out.ended(How.GIVEN_UP, "closed")
        if tasks:
            await asyncio.wait(tasks)
