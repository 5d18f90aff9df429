"""A pool of connections to one address, reused last in, first out.

A pooled connection may have fallen silent without an error: a middlebox has dropped its state, or the peer's
machine is unreachable. A request that asks for it (`Exchange.needs_validation`) is therefore sent only after
its connection has answered a probe just before (validation on borrow). If a pooled connection does not answer
the probe soon, a new one is opened in parallel, and the first that works is used. A new connection is probed
too if the address is in doubt: an answer from it was overdue, and nothing was received from it since. A
request that finds no working connection within the connect timeout was not processed.

Bound: `ConnectionBudget` counts the connections to all addresses. At its limit, an idle connection to any
address is closed for a new one; if none is idle, the exchange ends immediately, never sent.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.dial import dial
from tuliptrack.rpc.http1_client import ClientConnection, ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome

__all__ = ["ConnectionBudget", "Pool", "no_probe"]

_LOCAL_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""This process or machine lacks a resource; the errors say nothing about the peer."""
_LOCAL_NETWORK_ERRORS = frozenset({errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN})
"""This machine's network can't open a connection now; the errors say little about the peer."""
_CONNECT_RETRY_DELAY_S = 0.02  # after one of the local errors above
_VALIDATION_SHARE = 0.2  # of the connect timeout: how long a pooled connection may take to answer a probe


class ConnectionBudget:
    """The limit on connections to all addresses together, and counters of them."""

    def __init__(self, limit: int) -> None:
        self.limit, self.open_count, self.made = limit, 0, 0
        self.silent = 0
        """Pooled connections that did not answer a probe in time."""
        self.pools: list[Pool] = []

    def acquire(self) -> bool:
        """Count one more connection. At the limit, first close the one idle for longest; return False if none
        is idle.
        """
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
    """The search for a working connection for one exchange. The search ends by itself within the connect
    timeout.
    """

    def __init__(self, pool: Pool, exchange: Exchange) -> None:
        self.pool, self.exchange = pool, exchange
        self.over = False
        self._is_time_shortened = False
        self._validations: dict[ClientConnection, Exchange] = {}
        self._connected = False
        self._local_error: OSError | None = None
        """The error of the last attempt to connect, if its cause was this machine."""
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
        """Start with a pooled connection, if there is one."""
        self._after(self._wait_s, self._connect_timed_out)
        if pooled is None:
            self._connect()
            return
        self._after(self._wait_s * _VALIDATION_SHARE, lambda: self._validation_overdue(pooled))
        self._validate(pooled)

    def _after(self, seconds: float, what: Callable[[], None]) -> None:
        self._timers.append(self.pool.loop.call_later(seconds, what))

    def _connect_timed_out(self) -> None:
        """End the exchange: there is no working connection within the connect timeout."""
        if self._local_error:
            self._not_opened(self._local_error)
        else:
            self._fail(ExchangeOutcome.CONNECT, "no working connection in time", self._is_time_shortened)

    def _validate(self, connection: ClientConnection) -> None:
        """Send a probe, which has no effect, on a connection. If the pool has no probe, the connection is
        assumed to work.
        """
        probe = self.pool.make_probe(self.pool.address)
        if probe is None:
            self._use(connection)
            return
        probe.on_end = lambda how, reason: self._validated(connection, probe, how)
        self._validations[connection] = probe
        connection.begin(probe)

    def _validation_overdue(self, connection: ClientConnection) -> None:
        """Open a new connection in parallel, if the pooled one has not answered the probe yet."""
        probe = self._validations.get(connection)
        if self.over or probe is None:
            return
        self.pool.connections.silent += 1
        probe.doubt()
        self._connect()

    def _validated(self, connection: ClientConnection, probe: Exchange, how: ExchangeOutcome) -> None:
        self._validations.pop(connection, None)
        if self.over:
            return
        if how is ExchangeOutcome.ANSWER and connection in self.pool.idle:
            self.pool.idle.remove(connection)
            self._use(connection, probe.sent_at)
        elif not self._validations and self._task is None:
            if self._connected:
                self._fail(ExchangeOutcome.CONNECT, "the connection ended before it was used", True)
            else:
                self._connect()

    def _connect(self) -> None:
        if not self.pool.connections.acquire():
            if not self._validations:
                self.over = True
                self.pool.loop.call_soon(
                    self._end,
                    ExchangeOutcome.RESOURCE_EXHAUSTED,
                    f"{self.pool.connections.open_count} connections are open",
                )
            return
        self._task = self.pool.loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            connection = await self._open_in_time()
        except (OSError, ValueError) as error:  # includes TimeoutError
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
        if self.over or not (self.exchange.needs_validation and self.pool.doubted):
            self._use(connection)
            return
        self._validate(connection)

    async def _open_in_time(self) -> ClientConnection:
        """Open a connection; retry if this machine itself temporarily can't open one."""
        loop = self.pool.loop
        while True:
            connection = ClientConnection(self.pool, self.exchange)
            left = max(self._deadline - loop.time(), 0)
            try:
                await self._dial(connection, left)
                self._local_error = None
                _check_open(connection)
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
            connection.drop("too late")  # The connection may have been established just now.
            raise

    def _not_opened(self, error: Exception) -> None:
        number = getattr(error, "errno", None)
        reason = f"connect: {error or 'timed out'}"
        if number in _LOCAL_RESOURCE_ERRORS:
            self._fail(ExchangeOutcome.RESOURCE_EXHAUSTED, reason)
        else:
            is_time_shortened = isinstance(error, TimeoutError) and self._is_time_shortened
            self._fail(ExchangeOutcome.CONNECT, reason, is_time_shortened or number in _LOCAL_NETWORK_ERRORS)

    def _use(self, connection: ClientConnection, probe_sent_at: float = 0.0) -> None:
        """Send the exchange on a working connection, unless it is no longer wanted. `probe_sent_at`: see
        `Exchange`.
        """
        if self.over:
            self.pool.return_to_pool(connection)
            return
        exchange = self.exchange
        exchange.probe_sent_at = probe_sent_at
        self._finish()
        if exchange.open and exchange.is_still_wanted() and exchange.open:
            connection.begin(exchange)
            return
        exchange.is_connection_only = True
        exchange.ended(ExchangeOutcome.CONNECT, "no longer wanted")
        self.pool.return_to_pool(connection)

    def _fail(self, how: ExchangeOutcome, reason: str, is_connection_only: bool = False) -> None:
        if not self.over:
            self.exchange.is_connection_only = is_connection_only
            self._end(how, reason)

    def _end(self, how: ExchangeOutcome, reason: str) -> None:
        self._finish()
        self.exchange.ended(how, reason)

    def _finish(self) -> None:
        """Stop the search: its timers, its connect and its probes."""
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
        """End the search and its exchange; return the task to await, if any."""
        task = self._task
        self._end(ExchangeOutcome.CANCELLED, "closed")
        return task


def _check_open(connection: ClientConnection) -> None:
    """Raise ConnectionResetError if the peer has ended a connection that has just been opened.

    A few iterations of the loop pass between the two, and the end of the connection is reported only once.
    Registered after that, the connection would count in the budget forever, and a request that is written to
    it would have no end.
    """
    if connection.dead or connection.is_closed_by_peer():
        connection.drop("ended at once")
        raise ConnectionResetError(errno.ECONNRESET, "the peer has ended the new connection")


def no_probe(address: str) -> Exchange | None:
    """Return no probe: for peers on which every request has an effect."""
    return None


class Pool:
    """Exchanges with one address. `close` ends all its exchanges and tasks."""

    def __init__(
        self,
        address: str,
        options: ClientOptions,
        connections: ConnectionBudget,
        make_probe: Callable[[str], Exchange | None] = no_probe,
    ) -> None:
        """Create an empty pool.

        `make_probe` returns a probe: an exchange without any effect whose answer shows that a connection
        works; None if there is none.
        """
        self.address, self.options, self.connections = address, options, connections
        self.make_probe = make_probe
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.idle: list[ClientConnection] = []
        """Connections without an exchange, the last one used at the end."""
        self.links: set[ClientConnection] = set()
        self.borrows: set[_Borrow] = set()
        self.heard_at = 0.0
        """When something was last received from the address, on the loop's clock."""
        self.doubted = False
        """Whether an answer from the address is overdue and nothing was received from the address since."""
        self._closed = False
        connections.pools.append(self)

    def send(self, exchange: Exchange) -> None:
        """Start an exchange. `on_end` is never called synchronously from here."""
        if self._closed:
            self.loop.call_soon(exchange.ended, ExchangeOutcome.RESOURCE_EXHAUSTED, "closed")
            return
        pooled = None if exchange.needs_new_connection else self._take_idle()
        if pooled and not exchange.needs_validation:
            pooled.begin(exchange)
            return
        borrow = _Borrow(self, exchange)
        self.borrows.add(borrow)
        borrow.start(pooled)

    def _take_idle(self) -> ClientConnection | None:
        """Remove and return an idle connection that may be reused and that its peer has not closed."""
        now = self.loop.time()
        while reusable := self._reusable(now):
            self.idle.remove(reusable)
            if now - reusable.idle_since < self.options.idle / 1e6 and not reusable.is_closed_by_peer():
                return reusable
            reusable.drop("idle for too long, or ended")
        return None

    def _reusable(self, now: float) -> ClientConnection | None:
        """Return the idle connection to use next; None if none has been idle for `ClientOptions.rest`."""
        return next(
            (pooled for pooled in reversed(self.idle) if now - pooled.idle_since >= self.options.rest / 1e6),
            None,
        )

    def has_idle_connection(self) -> bool:
        """Whether an exchange could reuse an idle connection."""
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
        """Register a new connection."""
        self.links.add(connection)

    def return_to_pool(self, connection: ClientConnection) -> None:
        if self._closed or connection.dead:
            connection.drop("closed, or ended by its peer")
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
        """Close connections that have been idle for too long."""
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
        """End all exchanges and connections, and await all tasks."""
        self._closed = True
        if self in self.connections.pools:
            self.connections.pools.remove(self)
        tasks = [task for borrow in list(self.borrows) if (task := borrow.close())]
        for connection in list(self.links):
            exchange_out = connection.exchange
            connection.drop("closed")
            if exchange_out:
                exchange_out.ended(ExchangeOutcome.CANCELLED, "closed")
        if tasks:
            await asyncio.wait(tasks)
