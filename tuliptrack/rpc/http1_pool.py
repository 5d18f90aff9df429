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

_OWN_LACK = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""This process or machine has no room; the peer has no part in it."""
_OWN_NETWORK = frozenset({errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN})
"""This machine's network can't open it now; that says little of the peer."""
_CONNECT_AGAIN_S = 0.02  # after one of these
_KEPT_ANSWERS = (
    0.2  # of the time to connect: within it a kept connection has to answer before a new one is opened
)


class Connections:
    """How many connections may be held, to all addresses together."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.made = most, 0, 0
        self.silent = 0
        """Connections that did not answer when they were asked."""
        self.pools: list[Pool] = []

    def take(self) -> bool:
        """Room for one more, made if need be by closing the one that has been idle for longest."""
        if self.held >= self.most:
            idle = [pool.idle[0] for pool in self.pools if pool.idle]
            if not idle:
                return False
            min(idle, key=lambda connection: connection.idle_since).drop("makes room")
        self.held += 1
        self.made += 1
        return True

    def give(self) -> None:
        self.held -= 1


class _Borrow:
    """One exchange's search for a connection that works. It ends by itself within the time to connect."""

    def __init__(self, pool: Pool, exchange: Exchange) -> None:
        self.pool, self.exchange = pool, exchange
        self.over = False
        self._cut_short = False
        self._validations: dict[ClientConnection, Exchange] = {}
        self._connected = False
        self._own_error: OSError | None = None
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
        self._cut_short = left < allowed
        return min(left, allowed) / 1e6

    def start(self, kept: ClientConnection | None) -> None:
        """Begin with a kept connection, if there is one."""
        self._after(self._wait_s, self._late)
        if kept is None:
            self._connect()
            return
        self._after(self._wait_s * _KEPT_ANSWERS, lambda: self._silent(kept))
        self._validate(kept)

    def _after(self, seconds: float, what: Callable[[], None]) -> None:
        self._timers.append(self.pool.loop.call_later(seconds, what))

    def _late(self) -> None:
        """The time to connect is over."""
        if self._own_error:
            self._not_opened(self._own_error)
        else:
            self._fail(How.CONNECT, "no connection that works in time", self._cut_short)

    def _validate(self, connection: ClientConnection) -> None:
        """Ask a connection a question that has no effect; where none is known the connection is taken to
        work.
        """
        question = self.pool.make_question(self.pool.address)
        if question is None:
            self._use(connection)
            return
        question.on_end = lambda how, reason: self._validated(connection, question, how)
        self._validations[connection] = question
        connection.begin(question)

    def _silent(self, connection: ClientConnection) -> None:
        """A kept connection has not answered soon enough: a new one is opened beside it."""
        question = self._validations.get(connection)
        if self.over or question is None:
            return
        self.pool.connections.silent += 1
        question.doubt()
        self._connect()

    def _validated(self, connection: ClientConnection, question: Exchange, how: How) -> None:
        self._validations.pop(connection, None)
        if self.over:
            return
        if how is How.ANSWER and connection in self.pool.idle:
            self.pool.idle.remove(connection)
            self._use(connection, question.sent_at)
        elif not self._validations and self._task is None:
            if self._connected:
                self._fail(How.CONNECT, "the connection ended before it was used", True)
            else:
                self._connect()

    def _connect(self) -> None:
        if not self.pool.connections.take():
            if not self._validations:
                self.over = True
                self.pool.loop.call_soon(
                    self._end, How.NO_ROOM, f"{self.pool.connections.held} connections are open"
                )
            return
        self._task = self.pool.loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            connection = await self._open_in_time()
        except (OSError, ValueError) as error:  # a time-out is an OSError too
            self.pool.connections.give()
            self._task = None
            if not self._validations:
                self._not_opened(error)
            return
        except asyncio.CancelledError:
            self.pool.connections.give()
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
                self._own_error = None
                return connection
            except OSError as error:
                self._own_error = error if error.errno in _OWN_LACK | _OWN_NETWORK else None
                if self._own_error is None or loop.time() + _CONNECT_AGAIN_S >= self._deadline:
                    raise
            await asyncio.sleep(_CONNECT_AGAIN_S)

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
        if number in _OWN_LACK:
            self._fail(How.NO_ROOM, reason)
        else:
            cut_short = isinstance(error, TimeoutError) and self._cut_short
            self._fail(How.CONNECT, reason, cut_short or number in _OWN_NETWORK)

    def _use(self, connection: ClientConnection, proven_since: float = 0.0) -> None:
        """A connection works: the exchange goes out on it, unless it isn't wanted any more. `proven_since`:
        see `Exchange`.
        """
        if self.over:
            self.pool.rests(connection)
            return
        exchange = self.exchange
        exchange.proven_since = proven_since
        self._finish()
        if exchange.open and exchange.wanted() and exchange.open:
            connection.begin(exchange)
            return
        exchange.lone = True
        exchange.ended(How.CONNECT, "not wanted any more")
        self.pool.rests(connection)

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
        for question in list(self._validations.values()):
            question.cancel()

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
        kept = None if exchange.fresh else self._take_kept()
        if kept and not exchange.validated:
            kept.begin(exchange)
            return
        borrow = _Borrow(self, exchange)
        self.borrows.add(borrow)
        borrow.start(kept)

    def _take_kept(self) -> ClientConnection | None:
        """A kept connection that has rested and that its peer has not ended."""
        now = self.loop.time()
        while rested := self._rested(now):
            self.idle.remove(rested)
            if now - rested.idle_since < self.options.idle / 1e6 and not rested.ended():
                return rested
            rested.drop("idle for too long, or ended")
        return None

    def _rested(self, now: float) -> ClientConnection | None:
        """The idle connection to use next; None where none has rested."""
        return next(
            (kept for kept in reversed(self.idle) if now - kept.idle_since >= self.options.rest / 1e6), None
        )

    def has_spare(self) -> bool:
        """Whether an exchange would need no new connection."""
        return self._rested(self.loop.time()) is not None

    def heard(self) -> None:
        self.heard_at = self.loop.time()
        self.doubted = False

    def doubt(self, since: float) -> None:
        if self.heard_at <= since:
            self.doubted = True

    def any_stands(self) -> bool:
        return any(connection.stands() for connection in self.links)

    def opened(self, connection: ClientConnection) -> None:
        """A new connection is up."""
        self.links.add(connection)

    def rests(self, connection: ClientConnection) -> None:
        if self._closed:
            connection.drop("closed")
            return
        connection.opened_for = None
        connection.idle_since = self.loop.time()
        connection.resume()
        self.idle.append(connection)

    def lost(self, connection: ClientConnection) -> None:
        if connection in self.links:
            self.links.discard(connection)
            self.connections.give()
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        now = self.loop.time()
        for kept in [k for k in self.idle if now - k.idle_since >= self.options.idle / 1e6]:
            kept.drop("idle for too long")

    def close_idle(self) -> None:
        for kept in list(self.idle):
            kept.drop("idle")

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
