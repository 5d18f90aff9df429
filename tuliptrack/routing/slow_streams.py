"""Decides which decode endpoints are ejected because their streams are slower than those of their peers.

Such an endpoint answers in time, so no attempt fails. It is detected because fewer of its streams complete,
in relation to their total streaming time, than at its peers in the same seconds; if all endpoints are equally
slow, none is ejected. Only health checks are sent to an ejected endpoint, and its streams are migrated if
clients can resume them. Detection and ejections are suspended while the node sheds load, because even slow
capacity is needed then. Times are microseconds.
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
"""Minimum time between two comparisons."""
MIN_MEAN_LENGTH_US = 100_000
"""Minimum of the mean stream length that is used in a comparison: a short pause of the machine would outlast
many shorter streams."""
SLOWDOWN = 3.0
"""Factor by which the streams of a slow endpoint are assumed to take longer than those of its peers."""
MIN_LOG_ODDS = 5.0
"""Minimum natural logarithm of the odds that an endpoint is slow, for an ejection. With frequent comparisons,
lower odds occur by chance."""
MIN_PEER_STREAMS = 4.0
"""Minimum number of completed streams at the peers, so that a slowdown of all endpoints is not attributed to
one of them."""
MAX_SLOW_SHARE = 0.34
"""Share of the decode endpoints that may be ejected for slow streams at once; if more of them are slow, there
is a common cause."""
INITIAL_FAILURES = 2
MAX_FAILURES = 4
"""Lowest and highest failure count of an ejection for slow streams. The count determines the interval of
health checks."""


def slow_condition(endpoint_id: int) -> str:
    """Return the log text for the condition that an endpoint has slow streams."""
    return f"endpoint {endpoint_id} has slow streams"


class SlowStreamDetection:
    """Compares streams across endpoints, and ejects and restores endpoints accordingly."""

    def __init__(self, state: NodeState, outbox: Outbox, outliers: OutlierDetection) -> None:
        self._state, self._outbox, self._outliers = state, outbox, outliers
        self.checked_at_us = 0
        """When the endpoints were last compared."""

    def check_if_due(self) -> None:
        """Compare the endpoints if the last comparison was long enough ago."""
        if self._state.now_us - self.checked_at_us <= CHECK_INTERVAL_US:
            return
        self.checked_at_us = self._state.now_us
        if not self._state.is_shedding:
            self._check()

    def record_stream_end(self, endpoint: Endpoint, request: InFlightRequest, is_completed: bool) -> None:
        """Record that a stream has ended; a completed stream of normal length restores its endpoint."""
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
        slow_count = sum(SLOW_STREAMS in endpoint.ejections for endpoint in table.ejected(Role.DECODE))
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
        """Whether streams are slow, by a likelihood ratio; stream ends are modelled as a Poisson process."""
        if peers_completed < MIN_PEER_STREAMS or peers_streamed_us <= 0:
            return False
        mean_length_us = max(peers_streamed_us / peers_completed, MIN_MEAN_LENGTH_US)
        expected = endpoint.stream_rate.streamed_us / mean_length_us
        log_odds = expected * (1 - 1 / SLOWDOWN) - endpoint.stream_rate.completed * math.log(SLOWDOWN)
        return log_odds >= MIN_LOG_ODDS

    def _eject(self, endpoint: Endpoint) -> None:
        previous = endpoint.ejections.get(SLOW_STREAMS)
        failures = min(previous.failures + 1, MAX_FAILURES) if previous else INITIAL_FAILURES
        self._outliers.eject(endpoint, SLOW_STREAMS, failures)
        self._outbox.announce(slow_condition(endpoint.id), True)
        self._state.table.reset_stream_rate(endpoint, self._state.now_us)
        if self._state.settings.may_resume:
            for request_id in endpoint.streams:
                self._outbox.add(MigrateStream(request_id))
