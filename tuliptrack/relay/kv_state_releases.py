"""Releases KV states: a `DELETE` for a request, sent to one engine after another until one has confirmed it.

Any engine that runs releases what is reserved for a request, at whichever engine. So a release does not
depend on the engine that has the state. The first exchange goes to the engine that was heard from last,
among those with a connection to spare, since a new connection costs its engine work. Each step asks more
engines at once, and an exchange whose connection is still coming up is not waited for. Steps are a fixed part
of the time that the settings allow apart, less where all exchanges of a step have failed. After `STEPS` of
them, 19 exchanges, the steps go on with the allowed time between them, until an engine confirms or
`ABANDONED_AFTER_S` has passed.

An attempt that ended unconfirmed, such as a cancelled prefill, may reach its engine after a release was
confirmed, so that a state is reserved which no attempt will use. Such a release has `UNCONFIRMED_END_ROUNDS`
rounds, half of the allowed time apart.

Bounds: `MAX_PENDING` releases, where the one that has been pending for longest is abandoned for a new one;
`MAX_OPEN_EXCHANGES` exchanges, past which steps wait in the order in which they are due.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import deque
from dataclasses import dataclass, field

import structlog

from tuliptrack.node.counters import Counters
from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.rpc.http1_exchange import Exchange, How

__all__ = [
    "ABANDONED_AFTER_S",
    "UNCONFIRMED_END_ROUNDS",
    "KvStateReleases",
    "allowed_seconds",
    "is_confirmed",
    "release_request",
]

log = structlog.get_logger("releases")
MAX_PENDING = 4_096
MAX_OPEN_EXCHANGES = 512
STEPS = 6
"""Within the time that the settings allow."""
FAILED_STEP_SPEEDUP = 10
"""Divides the pause between two steps if all exchanges have failed: no answer is awaited then."""
EXCHANGES_BY_STEP = (1, 2, 4)
"""New exchanges of each step; the last figure counts for all further ones."""
NEW_CONNECTIONS_FROM_STEP = 2
"""From this step on exchanges use new connections: the idle ones may all have fallen silent."""
UNCONFIRMED_END_ROUNDS = 2
"""Rounds where the end of the attempt may reach its engine after the first release."""
LATE_AFTER_S = 0.3
"""The platform's slack: a release that takes longer may come too late."""
ABANDONED_AFTER_S = 15.0
"""Twice as long as the longest outage of the network that is expected."""
MIN_ALLOWED_S = 0.001
_SUCCESS_STATUSES = range(200, 300)
_PATH = "/bootstrap/rooms/"


def release_request(call_id: str, address: str) -> Exchange:
    """Return a request to release all that is reserved for `call_id` and that no attempt waits for."""
    return Exchange("DELETE", _PATH + call_id, [("host", address)])


def is_confirmed(exchange: Exchange, outcome: How) -> bool:
    """Return whether a release request that has ended was confirmed by its engine."""
    return outcome is How.ANSWER and exchange.status in _SUCCESS_STATUSES


def allowed_seconds(release_within_us: int) -> float:
    """Return the time that the settings allow for a release, never zero."""
    return max(release_within_us / 1e6, MIN_ALLOWED_S)


@dataclass(slots=True, eq=False)
class _Release:
    """The release of what is reserved for one request."""

    call_id: str
    started_at: float
    """Start of the round, on the loop's clock, in seconds."""
    rounds: int
    """Confirmations that are still missing."""
    step: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    """Those that are open."""
    contacted: set[int] = field(default_factory=set)
    """Endpoints where it was sent since all of them were."""
    timer: asyncio.TimerHandle | None = None
    """Of the next step or round."""
    awaits_round: bool = False
    """It is confirmed and waits for its next round."""
    awaits_capacity: bool = False
    """Its next step waits until fewer exchanges are open."""


class KvStateReleases:
    """The pending releases, by the client's id of the request. `close` ends every exchange and timer."""

    def __init__(self, pools: EnginePools, release_within_us: int, counters: Counters) -> None:
        """Release nothing yet.

        Args:
            pools: The engines to ask.
            release_within_us: After which a state that no attempt waits for must have been released.
            counters: Of the node.
        """
        self._pools, self._counters = pools, counters
        self._allowed_s = allowed_seconds(release_within_us)
        self._pending: dict[str, _Release] = {}
        """In the order in which their rounds started, so the first one has been pending for longest."""
        self._waiting: deque[_Release] = deque()
        """Releases whose next step waits until fewer exchanges are open."""
        self._open_exchanges: dict[Exchange, asyncio.TimerHandle] = {}
        """Each with the timer that cancels it."""
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    def __len__(self) -> int:
        """Return how many releases are pending."""
        return len(self._pending)

    def start(self, call_id: str, rounds: int = 1) -> None:
        """Release all that is reserved for a request, in so many rounds."""
        if pending := self._pending.get(call_id):
            self._extend(pending, rounds)
            return
        if len(self._pending) >= MAX_PENDING:
            self._abandon(next(iter(self._pending.values())))
        release = _Release(call_id, asyncio.get_running_loop().time(), rounds)
        self._pending[call_id] = release
        self._counters.add("releases")
        self._is_idle.clear()
        self._next_step(release)

    def awaits_next_round(self, call_id: str) -> bool:
        """Return whether a release is confirmed and waits for its next round."""
        pending = self._pending.get(call_id)
        return pending is not None and pending.awaits_round

    def cancel(self, call_id: str) -> None:
        """Stop a release: a newer state is reserved for the request, which a late exchange would release."""
        if release := self._pending.get(call_id):
            self._end(release)

    async def wait_until_idle(self) -> None:
        """Wait until nothing is pending, but no longer than the settings allow."""
        try:
            await asyncio.wait_for(self._is_idle.wait(), self._allowed_s)
        except TimeoutError:
            log.warning("releases pending at the end", pending=len(self._pending))

    def close(self) -> None:
        """Give up every release."""
        for release in list(self._pending.values()):
            self._end(release)
        for exchange in list(self._open_exchanges):
            exchange.cancel()

    def _extend(self, release: _Release, rounds: int) -> None:
        """Have a pending release cover what may have been reserved since it started."""
        release.rounds = max(release.rounds, rounds)
        # What is reserved now may have come after the last confirmation, and its time runs from now on.
        if release.awaits_round:
            self._stop(release)
            self._next_round(release)

    def _next_step(self, release: _Release) -> None:
        """Start some more exchanges, and a timer for the step after them."""
        release.timer, release.awaits_capacity = None, False
        loop = asyncio.get_running_loop()
        if loop.time() - release.started_at >= ABANDONED_AFTER_S:
            self._abandon(release)
            return
        capacity = MAX_OPEN_EXCHANGES - len(self._open_exchanges)
        if capacity <= 0:
            release.awaits_capacity = True
            self._waiting.append(release)
            return
        for exchange in release.exchanges:
            exchange.doubt()
        # Failure: idle connections have all fallen silent, as after an outage of the network. It would show
        # as a release that no engine gets. New connections show at once whether an engine can be reached, so
        # every engine is tried again on one.
        if release.step == NEW_CONNECTIONS_FROM_STEP:
            release.contacted.clear()
        use_new_connection = release.step >= NEW_CONNECTIONS_FROM_STEP
        max_exchanges = EXCHANGES_BY_STEP[min(release.step, len(EXCHANGES_BY_STEP) - 1)]
        for endpoint_id in self._next_endpoints(release, min(max_exchanges, capacity)):
            self._send_to(release, endpoint_id, use_new_connection)
        release.step += 1
        pause_s = self._allowed_s / STEPS if release.step < STEPS else self._allowed_s
        release.timer = loop.call_later(pause_s, self._next_step, release)

    def _next_endpoints(self, release: _Release, count: int) -> list[int]:
        """Return the endpoints to ask next; those asked before once all have been."""
        remaining = [endpoint_id for endpoint_id in self._pools if endpoint_id not in release.contacted]
        if not remaining:
            release.contacted.clear()
            remaining = list(self._pools)
        return heapq.nlargest(count, remaining, key=self._rank)

    def _rank(self, endpoint_id: int) -> tuple[bool, bool, float, float]:
        """Return how suitable an endpoint is for an exchange.

        First those without a doubt, then those with a connection to spare, then those heard from last, and
        equal ones at random.
        """
        pool = self._pools.get(endpoint_id)
        if pool is None:
            return True, False, 0.0, random.random()
        return not pool.doubted, pool.has_spare(), pool.heard_at, random.random()

    def _send_to(self, release: _Release, endpoint_id: int, use_new_connection: bool) -> None:
        pool = self._pools.get_or_create(endpoint_id)
        if pool is None:
            return
        exchange = release_request(release.call_id, pool.address)
        exchange.fresh = use_new_connection
        exchange.on_end = lambda outcome, _failure: self._exchange_ended(release, exchange, outcome)
        release.exchanges.append(exchange)
        release.contacted.add(endpoint_id)
        loop = asyncio.get_running_loop()
        self._open_exchanges[exchange] = loop.call_later(self._allowed_s, exchange.cancel)
        pool.send(exchange)

    def _exchange_ended(self, release: _Release, exchange: Exchange, outcome: How) -> None:
        self._open_exchanges.pop(exchange).cancel()
        # One that is no longer among those of its release was started before a confirmation or the end.
        if exchange in release.exchanges:
            release.exchanges.remove(exchange)
            if is_confirmed(exchange, outcome):
                self._record_confirmation(release)
            elif not release.exchanges:
                self._hasten_next_step(release)
        while self._waiting and len(self._open_exchanges) < MAX_OPEN_EXCHANGES:
            waiting = self._waiting.popleft()
            if waiting.awaits_capacity:
                self._next_step(waiting)

    def _record_confirmation(self, release: _Release) -> None:
        """End the release, or wait for its next round."""
        loop = asyncio.get_running_loop()
        took_s = loop.time() - release.started_at
        if took_s > LATE_AFTER_S:
            self._counters.add("releases_late")
            log.warning(
                "released late", call_id=release.call_id, seconds=round(took_s, 3), steps=release.step
            )
        release.rounds -= 1
        if not release.rounds:
            self._end(release)
            return
        self._stop(release)
        release.step, release.awaits_round = 0, True
        release.contacted.clear()
        release.timer = loop.call_later(self._allowed_s / 2, self._next_round, release)

    def _next_round(self, release: _Release) -> None:
        release.awaits_round = False
        self._pending[release.call_id] = self._pending.pop(release.call_id)
        release.started_at = asyncio.get_running_loop().time()
        self._next_step(release)

    def _hasten_next_step(self, release: _Release) -> None:
        """Start the next step soon, as all exchanges have failed.

        The number of hastened steps is bounded by `STEPS`, so that engines that reject connections are not
        tried without end.
        """
        if release.timer and release.step < STEPS:
            release.timer.cancel()
            pause_s = self._allowed_s / STEPS / FAILED_STEP_SPEEDUP
            release.timer = asyncio.get_running_loop().call_later(pause_s, self._next_step, release)

    def _abandon(self, release: _Release) -> None:
        self._counters.add("releases_abandoned")
        log.warning(
            "release abandoned", call_id=release.call_id, steps=release.step, pending=len(self._pending)
        )
        self._end(release)

    def _end(self, release: _Release) -> None:
        self._pending.pop(release.call_id, None)
        self._stop(release)
        if not self._pending:
            self._is_idle.set()

    def _stop(self, release: _Release) -> None:
        """Start no further step; one that is sent goes on, one that waits for a connection does not."""
        release.awaits_capacity = False
        if release.timer:
            release.timer.cancel()
            release.timer = None
        exchanges, release.exchanges = release.exchanges, []
        for exchange in exchanges:
            if not exchange.sent:
                exchange.cancel()
