"""Releases at engines that may reserve a KV state after their attempt was cancelled.

A release that another engine confirms covers only what is reserved by then. An engine that hangs, or whose
machine is cut off from the network, may finish a prefill later, or notice later that an attempt has ended. So
every engine that sent nothing about an attempt gets a release of its own once the request is over. It gets
another one a while later, since the engine may process the requests in its queue in any order.

Bounds: `MAX_PENDING` releases, beyond which a new one is dropped and counted; one try at a time for each
engine; each release is abandoned after `ABANDONED_AFTER_S`, or once its engine is no longer listed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from tuliptrack.node.counters import Counters
from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.relay.kv_state_releases import (
    ABANDONED_AFTER_S,
    allowed_seconds,
    is_confirmed,
    release_request,
)
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome

__all__ = ["LateReleases"]

MAX_PENDING = 4_096
ROUNDS = 2
"""Number of confirmations that each release needs: an engine may process the first release before the attempt
itself."""


@dataclass(slots=True, eq=False)
class _LateRelease:
    """The release at one engine of what is reserved for one request."""

    call_id: str
    abandoned_at: float
    """The time at which the release is abandoned, on the event loop's clock, in seconds."""
    rounds: int = ROUNDS
    """Number of confirmations that are still missing."""
    has_failed: bool = False
    """Whether a try has failed. Idle connections may have fallen silent, so further tries use new ones."""


@dataclass(slots=True)
class _EngineQueue:
    """The pending releases at one engine, in the order in which they are due."""

    releases: deque[_LateRelease] = field(default_factory=deque)
    open_try: Exchange | None = None
    timer: asyncio.TimerHandle | None = None
    """The timer that cancels the open try, or starts the next one."""


class LateReleases:
    """The pending releases by engine and request. `close` ends every try and timer."""

    def __init__(self, pools: EnginePools, release_within_us: int, counters: Counters) -> None:
        """Create it without pending releases.

        Args:
            pools: The pools of all engines.
            release_within_us: Time within which a state that no attempt waits for must be released.
            counters: The counters of the node.
        """
        self._pools, self._counters = pools, counters
        self._pause_s = allowed_seconds(release_within_us)
        """Time limit of a try, and the pause after a failed one."""
        self._queues: dict[int, _EngineQueue] = {}
        self._pending: dict[tuple[int, str], _LateRelease] = {}
        """The pending releases by `endpoint_id` and call id."""

    def __len__(self) -> int:
        """Return how many releases are pending."""
        return len(self._pending)

    def start(self, endpoint_id: int, call_id: str) -> None:
        """Have one engine release everything that is reserved for a request that is over."""
        if (endpoint_id, call_id) in self._pending:
            return
        if len(self._pending) >= MAX_PENDING:
            self._counters.add("late_releases_dropped")
            return
        self._counters.add("late_releases")
        release = _LateRelease(call_id, asyncio.get_running_loop().time() + ABANDONED_AFTER_S)
        self._pending[endpoint_id, call_id] = release
        queue = self._queues.setdefault(endpoint_id, _EngineQueue())
        queue.releases.append(release)
        if queue.open_try is None and queue.timer is None:
            self._try_next(endpoint_id, queue)

    def cancel(self, call_id: str) -> None:
        """Stop the releases of a request that its client has sent again: its new state is needed."""
        for endpoint_id in self._queues:
            self._pending.pop((endpoint_id, call_id), None)

    def close(self) -> None:
        """Cancel every release."""
        self._pending.clear()
        for queue in self._queues.values():
            queue.releases.clear()
            if queue.timer:
                queue.timer.cancel()
            if queue.open_try:
                queue.open_try.cancel()
        self._queues.clear()

    def _is_pending(self, endpoint_id: int, release: _LateRelease) -> bool:
        return self._pending.get((endpoint_id, release.call_id)) is release

    def _try_next(self, endpoint_id: int, queue: _EngineQueue) -> None:
        """Try the release that is due first; remove the queue if none is left."""
        queue.timer = None
        now_s = asyncio.get_running_loop().time()
        while queue.releases:
            release = queue.releases[0]
            is_pending = self._is_pending(endpoint_id, release)
            if is_pending and now_s < release.abandoned_at and endpoint_id in self._pools:
                self._try(endpoint_id, queue, release)
                return
            queue.releases.popleft()
            if is_pending:
                del self._pending[endpoint_id, release.call_id]
                self._counters.add("late_releases_abandoned")
        self._queues.pop(endpoint_id, None)

    def _try(self, endpoint_id: int, queue: _EngineQueue, release: _LateRelease) -> None:
        pool = self._pools.get_or_create(endpoint_id)
        assert pool
        exchange = queue.open_try = release_request(release.call_id, pool.address)
        exchange.needs_new_connection = release.has_failed
        exchange.on_end = lambda outcome, _failure: self._try_ended(endpoint_id, queue, release, outcome)
        queue.timer = asyncio.get_running_loop().call_later(self._pause_s, exchange.cancel)
        pool.send(exchange)

    def _try_ended(
        self, endpoint_id: int, queue: _EngineQueue, release: _LateRelease, outcome: ExchangeOutcome
    ) -> None:
        exchange = queue.open_try
        if queue.timer:
            queue.timer.cancel()
        queue.open_try, queue.timer = None, None
        if self._queues.get(endpoint_id) is not queue:
            return  # `close` was called in the meantime.
        if exchange and is_confirmed(exchange, outcome):
            pause_s = self._record_confirmation(endpoint_id, queue)
        else:
            release.has_failed = True
            pause_s = self._pause_s
        loop = asyncio.get_running_loop()
        queue.timer = loop.call_later(pause_s, self._try_next, endpoint_id, queue)

    def _record_confirmation(self, endpoint_id: int, queue: _EngineQueue) -> float:
        """Move the first release to the end for its next round, or end it; return the pause in seconds."""
        release = queue.releases.popleft()
        release.rounds -= 1
        if release.rounds:
            queue.releases.append(release)
        elif self._is_pending(endpoint_id, release):
            del self._pending[endpoint_id, release.call_id]
        # Two rounds of the same release need a pause between them; first rounds follow each other at once.
        has_first_round = any(pending.rounds == ROUNDS for pending in queue.releases)
        return 0.0 if has_first_round else self._pause_s / 2
