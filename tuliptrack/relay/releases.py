"""Letting go of read states: a `DELETE` for a request, tried at one engine after another until one has
confirmed it.

Any engine that runs lets go of what is held for a request, wherever it is held. So a release does not depend
on the engine that holds the state. The first try goes to the engine that was heard from last of those with a
connection to spare, since a new one costs its engine work. With every step more engines are tried at once,
and a try whose connection is still coming up is not waited for. The time between two steps is a fixed part of
the time that the settings allow (`within`), less where all tries of a step have failed. After `STEPS` of
them, 19 tries, steps go on at the pace of one each `within`, until an engine confirms or `ABANDONED_AFTER_S`
has passed.

A read that was broken off may end well after a release was confirmed, so that a state comes to be held which
nobody waits for. Such a release is made `UNSURE_ROUNDS` times, half of the time allowed apart.

Bounds: `MOST_PENDING` releases, where the one that has waited for longest gives way to a new one;
`MOST_TRIES` tries that are out at once, past which steps wait for their turn in the order in which they are
due.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import deque
from dataclasses import dataclass, field

import structlog

from tuliptrack.node.counters import Counters
from tuliptrack.relay.pools import EnginePools
from tuliptrack.rpc.http1_exchange import Exchange, How

__all__ = ["UNSURE_ROUNDS", "Releases", "release_request"]

log = structlog.get_logger("releases")
MOST_PENDING = 4_096
MOST_TRIES = 512
STEPS = 6  # within the time that the settings allow
HURRY = 10  # part of the time between two steps that is left where all tries have failed
TRIES_AT_STEP = (1, 2, 4)  # new tries with each step; the last figure holds for all further ones
FRESH_FROM_STEP = 2  # from this step on tries go out on new connections: kept ones may all have fallen silent
UNSURE_ROUNDS = 2
LATE_S = 0.3  # the platform's slack: a release that takes longer may come too late
ABANDONED_AFTER_S = 15.0  # outages of the network that were seen last half as long
_PATH = "/bootstrap/rooms/"


def release_request(call_id: str, address: str) -> Exchange:
    """Let go of all that is held for a request and no attempt waits for."""
    return Exchange("DELETE", _PATH + call_id, [("host", address)])


@dataclass(slots=True, eq=False)
class _Release:
    """What is to be let go for one request."""

    call_id: str
    began: float
    """On the loop's clock, in seconds."""
    rounds: int
    """Confirmations that are still wanted."""
    step: int = 0
    tries: dict[Exchange, int] = field(default_factory=dict)
    """Tries that are out, and the engine of each."""
    tried: set[int] = field(default_factory=set)
    timer: asyncio.TimerHandle | None = None
    resting: bool = False
    """It waits for its next round."""
    queued: bool = False
    """Its next step waits until fewer tries are out."""


class Releases:
    """What is yet to be let go, by the client's id of the request. `close` ends every try and timer."""

    def __init__(self, pools: EnginePools, within: int, counters: Counters) -> None:
        """`within`: microseconds after which a state that no attempt waits for has to be let go."""
        self.pools, self.counters = pools, counters
        self.within = max(within / 1e6, 0.001)
        self.abandoned = 0
        """Releases that no engine has confirmed."""
        self._pending: dict[str, _Release] = {}
        """In the order in which they began, which is that in which they are due."""
        self._queue: deque[_Release] = deque()
        self._out: dict[Exchange, asyncio.TimerHandle] = {}
        """Tries that are out, and when each is given up."""
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, call_id: str, rounds: int = 1) -> None:
        """Let go of all that is held for a request, so many times over."""
        if pending := self._pending.get(call_id):
            pending.rounds = max(pending.rounds, rounds)
            if pending.resting:  # What is held now may have come after the last confirmation.
                self._stop(pending)
                self._next_round(pending)
            return
        if len(self._pending) >= MOST_PENDING:
            self._abandon(next(iter(self._pending.values())))
        release = _Release(call_id, asyncio.get_running_loop().time(), rounds)
        self._pending[call_id] = release
        self.counters.add("releases")
        self._idle.clear()
        self._advance(release)

    def resting(self, call_id: str) -> bool:
        """Whether a release is confirmed and waits for its next round."""
        pending = self._pending.get(call_id)
        return pending is not None and pending.resting

    def forget(self, call_id: str) -> None:
        """Stop what was begun: a newer state is held for the same request, which a late try would let go."""
        if release := self._pending.get(call_id):
            self._end(release)

    async def drained(self) -> None:
        """Wait until nothing is pending, but no longer than the settings allow."""
        try:
            await asyncio.wait_for(self._idle.wait(), self.within)
        except TimeoutError:
            log.warning("releases left at the end", pending=len(self._pending))

    def close(self) -> None:
        """Give up whatever is pending."""
        for release in list(self._pending.values()):
            self._end(release)
        for exchange in list(self._out):
            exchange.cancel()

    def _advance(self, release: _Release) -> None:
        """The next step of a release: some more tries, and a timer for the step after it."""
        release.timer, release.queued = None, False
        loop = asyncio.get_running_loop()
        waited = loop.time() - release.began
        if waited >= ABANDONED_AFTER_S:
            self._abandon(release)
            return
        room = MOST_TRIES - len(self._out)
        if room <= 0:
            release.queued = True
            self._queue.append(release)
            return
        for exchange in release.tries:
            exchange.doubt()
        wanted = TRIES_AT_STEP[min(release.step, len(TRIES_AT_STEP) - 1)]
        fresh = release.step >= FRESH_FROM_STEP
        if release.step == FRESH_FROM_STEP:
            release.tried.clear()
        for server in self._targets(release, min(wanted, room)):
            self._try(release, server, fresh)
        release.step += 1
        pause = self.within / STEPS if release.step < STEPS else self.within
        release.timer = loop.call_later(pause, self._advance, release)

    def _targets(self, release: _Release, wanted: int) -> list[int]:
        """Engines to try next; those tried before once all have been."""
        untried = [s for s in self.pools if s not in release.tried]
        if not untried:
            release.tried.clear()
            untried = list(self.pools)
        return heapq.nlargest(wanted, untried, key=self._rank)

    def _rank(self, server: int) -> tuple[bool, bool, float, float]:
        """How good an engine is for a try: not in doubt, a connection to spare, then heard from lately, then
        by chance.
        """
        pool = self.pools.made(server)
        if pool is None:
            return True, False, 0.0, random.random()
        return not pool.doubted, pool.has_spare(), pool.heard_at, random.random()

    def _try(self, release: _Release, server: int, fresh: bool) -> None:
        pool = self.pools.get(server)
        if pool is None:
            return
        exchange = release_request(release.call_id, pool.address)
        exchange.fresh = fresh
        exchange.on_end = lambda how, reason: self._try_ended(release, exchange, how)
        release.tries[exchange] = server
        release.tried.add(server)
        self._out[exchange] = asyncio.get_running_loop().call_later(self.within, exchange.cancel)
        pool.send(exchange)

    def _try_ended(self, release: _Release, exchange: Exchange, how: How) -> None:
        self._out.pop(exchange).cancel()
        if release.tries.pop(exchange, None) is not None:
            if how is How.ANSWER and 200 <= exchange.status < 300:
                self._confirmed(release)
            elif not release.tries:
                self._hurry(release)
        while self._queue and len(self._out) < MOST_TRIES:
            queued = self._queue.popleft()
            if queued.queued:
                self._advance(queued)

    def _confirmed(self, release: _Release) -> None:
        """An engine has let go: the release is over, or its next round begins later."""
        took = asyncio.get_running_loop().time() - release.began
        if took > LATE_S:
            self.counters.add("releases_late")
            log.warning("let go late", call_id=release.call_id, seconds=round(took, 3), steps=release.step)
        release.rounds -= 1
        if not release.rounds:
            self._end(release)
            return
        self._stop(release)
        release.step, release.resting = 0, True
        release.tried.clear()
        release.timer = asyncio.get_running_loop().call_later(self.within / 2, self._next_round, release)

    def _next_round(self, release: _Release) -> None:
        release.resting = False
        self._pending[release.call_id] = self._pending.pop(release.call_id)  # It is due after all others now.
        release.began = asyncio.get_running_loop().time()
        self._advance(release)

    def _hurry(self, release: _Release) -> None:
        """All tries of a step have failed before the next one is due: it comes soon, as often as there are
        steps anyway.
        """
        loop = asyncio.get_running_loop()
        if release.timer and release.step < STEPS:
            release.timer.cancel()
            release.timer = loop.call_later(self.within / STEPS / HURRY, self._advance, release)

    def _abandon(self, release: _Release) -> None:
        self.abandoned += 1
        self.counters.add("releases_abandoned")
        log.warning("not let go", call_id=release.call_id, steps=release.step, pending=len(self._pending))
        self._end(release)

    def _end(self, release: _Release) -> None:
        """Nothing more is to be done."""
        self._pending.pop(release.call_id, None)
        self._stop(release)
        if not self._pending:
            self._idle.set()

    def _stop(self, release: _Release) -> None:
        """No further step. A try that is on its way is left to its end, one that waits for a connection is
        not.
        """
        release.queued = False
        if release.timer:
            release.timer.cancel()
            release.timer = None
        tries, release.tries = release.tries, {}
        for exchange in tries:
            if not exchange.sent:
                exchange.cancel()
