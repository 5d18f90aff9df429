"""Decides which decode endpoints are ejected because their streams take much longer than those of their
peers.

Such an endpoint answers in time, so no attempt fails. The evidence is how few streams have ended there for
the time that they have run, compared with its peers in the same seconds; a slowness of all endpoints ejects
none. Nothing but health checks goes to an ejected endpoint, and its streams are migrated where clients can
resume them. All this pauses while the node sheds load: then even a slow endpoint is needed. Times are
microseconds.
"""

from __future__ import annotations

import math

from tuliptrack.interface import MigrateStream, Role
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outbox import Outbox
from tuliptrack.routing.outlier_detection import OutlierDetection
from tuliptrack.state.ejection import SLOW_STREAMS
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["SlowStreamDetection", "slow_condition"]

CHECK_INTERVAL_US = 250_000
"""Between two comparisons."""
MIN_MEAN_LENGTH_US = 100_000
"""Shorter mean lengths of streams count as this: a short halt of the machine would outlast many of them."""
SLOWDOWN = 3.0
"""How many times longer the streams of a slow endpoint take."""
MIN_LOG_ODDS = 5.0
"""Logarithm of the odds that an endpoint is slow. Comparisons are frequent, so lower odds would come by
chance."""
MIN_PEER_STREAMS = 4.0
"""Streams that must have ended at the peers, so that a slowness of all is not taken for one endpoint's."""
MAX_SLOW_SHARE = 0.34
"""Share of the decode endpoints that may be ejected at once; more of them have a common cause."""
INITIAL_FAILURES = 2
MAX_FAILURES = 4
"""Bounds of the failures that set the interval of the health checks."""


def slow_condition(endpoint_id: int) -> str:
    """Return how logs name an endpoint with slow streams."""
    return f"endpoint {endpoint_id} has slow streams"


class SlowStreamDetection:
    """Compares the endpoints' streams, and ejects and restores endpoints by them."""

    def __init__(self, state: NodeState, outbox: Outbox, outliers: OutlierDetection) -> None:
        self._state, self._outbox, self._outliers = state, outbox, outliers
        self.checked_at_us = 0
        """When the endpoints were last compared."""

    def check_if_due(self) -> None:
        """Compare the endpoints if that was not done lately."""
        if self._state.now_us - self.checked_at_us <= CHECK_INTERVAL_US:
            return
        self.checked_at_us = self._state.now_us
        if not self._state.is_shedding:
            self._check()

    def record_stream_end(self, endpoint: Endpoint, request: InFlightRequest, is_completed: bool) -> None:
        """Record that a stream has ended; one of usual length restores its endpoint."""
        table = self._state.table
        ran_us = table.end_stream(endpoint, request.request.request_id, self._state.now_us, is_completed)
        if not is_completed or SLOW_STREAMS not in endpoint.ejections:
            return
        if ran_us * table.stream_rate.completed < SLOWDOWN * table.stream_rate.streamed_us:
            del endpoint.ejections[SLOW_STREAMS]
            self._outbox.announce(slow_condition(endpoint.id), False)

    def _check(self) -> None:
        table, now_us = self._state.table, self._state.now_us
        table.stream_rate.advance(now_us)
        completed, streamed_us = table.stream_rate.completed, table.stream_rate.streamed_us
        slow_count = sum(SLOW_STREAMS in one.ejections for one in table.ejected(Role.DECODE))
        for endpoint in [table.endpoints[endpoint_id] for endpoint_id in sorted(table.streaming)]:
            endpoint.stream_rate.advance(now_us)
            peers_completed = completed - endpoint.stream_rate.completed
            peers_streamed_us = streamed_us - endpoint.stream_rate.streamed_us
            if not self._is_slow(endpoint, peers_completed, peers_streamed_us):
                continue
            is_new = SLOW_STREAMS not in endpoint.ejections
            if is_new and slow_count >= MAX_SLOW_SHARE * len(table.ready(Role.DECODE)):
                continue
            self._eject(endpoint)

    @staticmethod
    def _is_slow(endpoint: Endpoint, peers_completed: float, peers_streamed_us: float) -> bool:
        """Whether the streams of an endpoint are slow, by the likelihood ratio of a Poisson process of their
        ends.
        """
        if peers_completed < MIN_PEER_STREAMS or peers_streamed_us <= 0:
            return False
        mean_length_us = max(peers_streamed_us / peers_completed, MIN_MEAN_LENGTH_US)
        expected = endpoint.stream_rate.streamed_us / mean_length_us
        log_odds = expected * (1 - 1 / SLOWDOWN) - endpoint.stream_rate.completed * math.log(SLOWDOWN)
        return log_odds >= MIN_LOG_ODDS

    def _eject(self, endpoint: Endpoint) -> None:
        known = endpoint.ejections.get(SLOW_STREAMS)
        failures = min(known.failures + 1, MAX_FAILURES) if known else INITIAL_FAILURES
        self._outliers.eject(endpoint, SLOW_STREAMS, failures)
        self._outbox.announce(slow_condition(endpoint.id), True)
        self._state.table.reset_stream_rate(endpoint, self._state.now_us)
        if self._state.settings.may_resume:
            for request_id in endpoint.streams:
                self._outbox.add(MigrateStream(request_id))
