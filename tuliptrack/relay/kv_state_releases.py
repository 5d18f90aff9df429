"""Releases KV states: sends a `DELETE` for a request to one engine after another until one confirms it.

Any running engine can release what is reserved for a request, even at another engine. So a release does not
depend on the engine that holds the state. The first exchange goes to the engine that sent something most
recently, among those with an idle connection, since a new connection costs its engine work. Each step asks
more engines at once, and does not wait for exchanges whose connections are still being established. The pause
between two steps is a fixed part of the time that the settings allow, and shorter if all exchanges of a step
have failed. After `STEPS` steps, which are 19 exchanges, the steps continue with the allowed time between
them, until an engine confirms the release or `ABANDONED_AFTER_S` has passed.

An attempt that ended unconfirmed, such as a cancelled prefill, may reach its engine after a release was
confirmed, and reserve a state that no attempt will use. The release of such an attempt has
`UNCONFIRMED_END_ROUNDS` rounds, half of the allowed time apart.

Bounds: `MAX_PENDING` releases, beyond which the one that has been pending for longest is abandoned for a new
one; `MAX_OPEN_EXCHANGES` exchanges, beyond which steps wait in the order in which they are due.
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
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome

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
"""Number of steps within the time that the settings allow."""
FAILED_STEP_SPEEDUP = 10
"""Divisor of the pause between two steps that applies if all exchanges have failed, as no answer is pending
then."""
EXCHANGES_BY_STEP = (1, 2, 4)
"""Number of new exchanges of each step; the last number applies to all further steps."""
NEW_CONNECTIONS_FROM_STEP = 2
"""The step from which on exchanges use new connections, since the idle ones may all have fallen silent."""
UNCONFIRMED_END_ROUNDS = 2
"""Number of rounds of a release whose attempt may reach its engine after the first confirmation."""
LATE_AFTER_S = 0.3
"""Time beyond which a confirmed release is counted as late: the platform's tolerance, so a release that takes
longer may be too late."""
ABANDONED_AFTER_S = 15.0
"""Time after which a release is abandoned: twice the longest network outage that is expected."""
MIN_ALLOWED_S = 0.001
_SUCCESS_STATUSES = range(200, 300)
_PATH = "/bootstrap/rooms/"


def release_request(call_id: str, address: str) -> Exchange:
    """Return a request to release all that is reserved for `call_id` and that no attempt waits for."""
    return Exchange("DELETE", _PATH + call_id, [("host", address)])


def is_confirmed(exchange: Exchange, outcome: ExchangeOutcome) -> bool:
    """Return whether a release request that has ended was confirmed by its engine."""
    return outcome is ExchangeOutcome.ANSWER and exchange.status in _SUCCESS_STATUSES


def allowed_seconds(release_within_us: int) -> float:
    """Return the time that the settings allow for a release, in seconds; never zero."""
    return max(release_within_us / 1e6, MIN_ALLOWED_S)


@dataclass(slots=True, eq=False)
class _Release:
    """The release of what is reserved for one request."""

    call_id: str
    started_at: float
    """Start of the current round, on the event loop's clock, in seconds."""
    rounds: int
    """Number of confirmations that are still missing."""
    step: int = 0
    exchanges: list[Exchange] = field(default_factory=list)
    """The open exchanges of the release."""
    contacted: set[int] = field(default_factory=set)
    """Endpoints that were asked since the last time that all of them had been."""
    timer: asyncio.TimerHandle | None = None
    """The timer that starts the next step or round."""
    awaits_round: bool = False
    """Whether the release is confirmed and waits for its next round."""
    awaits_capacity: bool = False
    """Whether the next step of the release waits until fewer exchanges are open."""


class KvStateReleases:
    """The pending releases by call id. `close` ends every exchange and timer."""

    def __init__(self, pools: EnginePools, release_within_us: int, counters: Counters) -> None:
        """Create it without pending releases.

        Args:
            pools: The pools of all engines.
            release_within_us: Time within which a state that no attempt waits for must be released.
            counters: The counters of the node.
        """
        self._pools, self._counters = pools, counters
        self._allowed_s = allowed_seconds(release_within_us)
        self._pending: dict[str, _Release] = {}
        """Pending releases by call id, ordered by the start of their rounds, so the first one has been
        pending for longest."""
        self._waiting: deque[_Release] = deque()
        """Releases whose next step waits until fewer exchanges are open."""
        self._open_exchanges: dict[Exchange, asyncio.TimerHandle] = {}
        """The open exchanges, each with the timer that cancels it."""
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    def __len__(self) -> int:
        """Return how many releases are pending."""
        return len(self._pending)

    def start(self, call_id: str, rounds: int = 1) -> None:
        """Release everything that is reserved for a request; it needs `rounds` confirmations."""
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
        """Stop a release: a newer state is reserved for the request, and a late exchange would release it."""
        if release := self._pending.get(call_id):
            self._end(release)

    async def wait_until_idle(self) -> None:
        """Wait until nothing is pending, but no longer than the settings allow for a release."""
        try:
            await asyncio.wait_for(self._is_idle.wait(), self._allowed_s)
        except TimeoutError:
            log.warning("releases pending at the end", pending=len(self._pending))

    def close(self) -> None:
        """Cancel every release."""
        for release in list(self._pending.values()):
            self._end(release)
        for exchange in list(self._open_exchanges):
            exchange.cancel()

    def _extend(self, release: _Release, rounds: int) -> None:
        """Extend a pending release to what may have been reserved since it started."""
        release.rounds = max(release.rounds, rounds)
        # The state may have been reserved after the last confirmation, so its allowed time begins now.
        if release.awaits_round:
            self._stop(release)
            self._next_round(release)

    def _next_step(self, release: _Release) -> None:
        """Start the exchanges of the next step, and a timer for the step after it."""
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
        # After a network outage all idle connections may have fallen silent, and no engine would get the
        # release. A new connection shows at once whether its engine is reachable, so from this step on every
        # engine is tried again on a new one.
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
        """Return the endpoints to ask next; once all have been asked, start again with all."""
        remaining = [endpoint_id for endpoint_id in self._pools if endpoint_id not in release.contacted]
        if not remaining:
            release.contacted.clear()
            remaining = list(self._pools)
        return heapq.nlargest(count, remaining, key=self._rank)

    def _rank(self, endpoint_id: int) -> tuple[bool, bool, float, float]:
        """Return how suitable an endpoint is for an exchange; the highest rank is asked first.

        Endpoints that are not in doubt rank highest, then those with an idle connection, then those that sent
        something most recently. Ties are broken at random.
        """
        pool = self._pools.get(endpoint_id)
        if pool is None:
            return True, False, 0.0, random.random()
        return not pool.doubted, pool.has_idle_connection(), pool.heard_at, random.random()

    def _send_to(self, release: _Release, endpoint_id: int, use_new_connection: bool) -> None:
        pool = self._pools.get_or_create(endpoint_id)
        if pool is None:
            return
        exchange = release_request(release.call_id, pool.address)
        exchange.needs_new_connection = use_new_connection
        exchange.on_end = lambda outcome, _failure: self._exchange_ended(release, exchange, outcome)
        release.exchanges.append(exchange)
        release.contacted.add(endpoint_id)
        loop = asyncio.get_running_loop()
        self._open_exchanges[exchange] = loop.call_later(self._allowed_s, exchange.cancel)
        pool.send(exchange)

    def _exchange_ended(self, release: _Release, exchange: Exchange, outcome: ExchangeOutcome) -> None:
        self._open_exchanges.pop(exchange).cancel()
        # An exchange that is no longer in the list was started before the release was confirmed or ended.
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
        """Start the next step soon, since all exchanges have failed.

        Only the first `STEPS` steps are hastened, so that engines which reject connections are not tried
        rapidly without end.
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
        """Start no further step. Exchanges that have been sent continue; the others are cancelled."""
        release.awaits_capacity = False
        if release.timer:
            release.timer.cancel()
            release.timer = None
        exchanges, release.exchanges = release.exchanges, []
        for exchange in exchanges:
            if not exchange.sent:
                exchange.cancel()
