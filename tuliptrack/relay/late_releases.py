"""What an engine may come to hold after its attempt was given up: it is asked itself to let go, until it
answers.

A release that another engine confirms lets go of what is held by then. An engine that hangs, or whose machine
is cut off, may end a read later, and may see later that an attempt has ended. So every engine that gave no
word on an attempt gets a release of its own once the request is over, and another one a while later, as it
may take up what it had waiting in any order.

Bounds: `MOST_PENDING` releases, past which a new one is dropped and counted; one try at a time to each
engine; each release is given up after `ABANDONED_AFTER_S`, or once its engine has left the list.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from tuliptrack.node.counters import Counters
from tuliptrack.relay.pools import EnginePools
from tuliptrack.relay.releases import ABANDONED_AFTER_S, release_request
from tuliptrack.rpc.http1_exchange import Exchange, How

__all__ = ["LateReleases"]

MOST_PENDING = 4_096
ROUNDS = 2


@dataclass(slots=True, eq=False)
class _Late:
    """What one engine is to let go of for one request."""

    call_id: str
    until: float
    """On the loop's clock, in seconds."""
    rounds: int = ROUNDS
    """Confirmations that are still wanted."""
    failed: bool = False
    """A try has failed: kept connections to the engine may have fallen silent, so the next ones are new."""


@dataclass(slots=True)
class _Engine:
    """What is pending at one engine, in the order in which it is due."""

    due: deque[_Late] = field(default_factory=deque)
    trying: Exchange | None = None
    timer: asyncio.TimerHandle | None = None
    """When the try is given up, or the next one begins."""


class LateReleases:
    """Releases at engines that gave no word on an attempt. `close` ends every try and timer."""

    def __init__(self, pools: EnginePools, within: int, counters: Counters) -> None:
        """`within`: microseconds after which a state that no attempt waits for has to be let go."""
        self.pools, self.counters = pools, counters
        self.pause = max(within / 1e6, 0.001)
        """Seconds that a try may take, and between two where one has failed."""
        self._engines: dict[int, _Engine] = {}
        self._pending: dict[tuple[int, str], _Late] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, server: int, call_id: str) -> None:
        """Have one engine let go of all that is held for a request that is over."""
        if (server, call_id) in self._pending:
            return
        if len(self._pending) >= MOST_PENDING:
            self.counters.add("late_releases_dropped")
            return
        self.counters.add("late_releases")
        late = _Late(call_id, asyncio.get_running_loop().time() + ABANDONED_AFTER_S)
        self._pending[server, call_id] = late
        engine = self._engines.setdefault(server, _Engine())
        engine.due.append(late)
        if engine.trying is None and engine.timer is None:
            self._next(server, engine)

    def forget(self, call_id: str) -> None:
        """The client has sent its request again: what is held for it from now on is wanted."""
        for server in self._engines:
            self._pending.pop((server, call_id), None)

    def close(self) -> None:
        """Give up whatever is pending."""
        self._pending.clear()
        for engine in self._engines.values():
            engine.due.clear()
            if engine.timer:
                engine.timer.cancel()
            if engine.trying:
                engine.trying.cancel()
        self._engines.clear()

    def _next(self, server: int, engine: _Engine) -> None:
        """Try the release that is due first; an engine with none is forgotten."""
        engine.timer = None
        now = asyncio.get_running_loop().time()
        while engine.due:
            late = engine.due[0]
            wanted = self._pending.get((server, late.call_id)) is late
            if wanted and now < late.until and server in self.pools:
                self._try(server, engine, late)
                return
            engine.due.popleft()
            if wanted:
                del self._pending[server, late.call_id]
                self.counters.add("late_releases_abandoned")
        self._engines.pop(server, None)

    def _try(self, server: int, engine: _Engine, late: _Late) -> None:
        pool = self.pools.get(server)
        assert pool
        exchange = engine.trying = release_request(late.call_id, pool.address)
        exchange.fresh = late.failed
        exchange.on_end = lambda how, reason: self._tried(server, engine, late, exchange, how)
        engine.timer = asyncio.get_running_loop().call_later(self.pause, exchange.cancel)
        pool.send(exchange)

    def _tried(self, server: int, engine: _Engine, late: _Late, exchange: Exchange, how: How) -> None:
        if engine.timer:
            engine.timer.cancel()
        engine.trying, engine.timer = None, None
        if self._engines.get(server) is not engine:
            return  # Closed meanwhile.
        loop = asyncio.get_running_loop()
        if how is not How.ANSWER or not 200 <= exchange.status < 300:
            late.failed = True
            engine.timer = loop.call_later(self.pause, self._next, server, engine)
            return
        engine.due.popleft()
        late.rounds -= 1
        if late.rounds:
            engine.due.append(late)
        elif self._pending.get((server, late.call_id)) is late:
            del self._pending[server, late.call_id]
        pause = self.pause / 2 if all(one.rounds < ROUNDS for one in engine.due) else 0.0
        engine.timer = loop.call_later(pause, self._next, server, engine)
