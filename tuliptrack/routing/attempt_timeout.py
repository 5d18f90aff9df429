"""Decides after what time an unanswered attempt is abandoned, so that a retry can still succeed in time.

The time-out is a multiple of the latency of the role's slowest answers. There is no time-out if a retry would
do harm or could not help: no attempt is left, the request may not be repeated, or all endpoints are slow, in
which case retries would add to the overload. Times are microseconds.
"""

from __future__ import annotations

import math

from tuliptrack.interface import Idempotency, RequestClass, Role
from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["NO_TIMEOUT", "AttemptTimeout"]

NO_TIMEOUT = 0
"""Value instead of a time-out for an attempt that is not abandoned before the client's deadline."""
MIN_TIMEOUT_SHARE = 0.5
"""Minimum time-out, as a share of the latency objective: two attempts still fit into the objective."""
TIMEOUT_RATIO = 2.5
"""Ratio of the time-out to the lowest latency among the slowest fifth of the answers."""
TIMEOUT_GROWTH = 1.5
"""Factor by which the time-out grows with each earlier time-out or error of the request, so that a general
slowdown causes no retry storm."""
MAX_TIMEOUT_SHARE = 0.7
"""Share of attempts with time-outs or errors from which on an overload is assumed and no attempt is
abandoned."""
MIN_OTHER_NODES_SHARE = 0.5
OTHER_NODES_SHARE_EXPONENT = 0.75
"""Minimum of `other_nodes_share`, and its exponent, in the divisor of the minimum time-out. With few nodes, a
long wait can be explained by the queue, so the time-out is longer."""


class AttemptTimeout:
    """Computes the time-out of each attempt."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def timeout_us(self, request: InFlightRequest, endpoint: Endpoint) -> int:
        """Return the time-out of the attempt that is about to be sent, or `NO_TIMEOUT`."""
        retry_window_us = _retry_window_us(request.request_class)
        if not self._has_attempts_left(request, endpoint) or not retry_window_us:
            return NO_TIMEOUT
        if self._is_overload_likely(request, endpoint):
            return NO_TIMEOUT
        timeout_us = self._computed_timeout_us(request, endpoint)
        has_time_for_retry = self._state.now_us + 2 * timeout_us < request.deadline_us
        return int(timeout_us) if has_time_for_retry and timeout_us < retry_window_us else NO_TIMEOUT

    def _has_attempts_left(self, request: InFlightRequest, endpoint: Endpoint) -> bool:
        """Whether attempts are left for a retry. A prefill needs one more for its decode stage."""
        needed = 1 if endpoint.role is Role.PREFILL else 0
        return self._state.settings.max_attempts - request.attempts - needed > 0

    def _is_overload_likely(self, request: InFlightRequest, endpoint: Endpoint) -> bool:
        """Whether silence may be due to overload: time-outs, shedding, or no recent answers to prefills."""
        statistics, now_us = endpoint.statistics, self._state.now_us
        answered_before_us = now_us - MIN_TIMEOUT_SHARE * request.latency_objective_us
        is_unanswered = (
            endpoint.role is not Role.DECODE and 0 < statistics.answered_at_us < answered_before_us
        )
        return (
            is_unanswered or statistics.timeout_or_error_share >= MAX_TIMEOUT_SHARE or self._state.is_shedding
        )

    def _computed_timeout_us(self, request: InFlightRequest, endpoint: Endpoint) -> float:
        statistics, state = endpoint.statistics, self._state
        # The oldest waiting attempt at each endpoint counts as an answer: a general slowdown shows in the
        # waiting attempts first.
        ages = (
            (state.now_us - attempt.sent_at_us) / attempt.latency_objective_us
            for _, attempt in state.table.oldest_waiting(endpoint.role)
        )
        # The list is never empty, because the attempt itself is already waiting.
        latencies = sorted([*statistics.relative_latencies, *ages])
        slowest_fifth = latencies[-len(latencies) // 5]
        min_share = (
            MIN_TIMEOUT_SHARE
            / max(state.other_nodes_share, MIN_OTHER_NODES_SHARE) ** OTHER_NODES_SHARE_EXPONENT
        )
        timeout_us: float = max(min_share, TIMEOUT_RATIO * slowest_fifth) * request.latency_objective_us
        timeout_us *= TIMEOUT_GROWTH**request.unanswered_attempts
        # If load reports show a queue, the attempt probably waits in it; a retry would make the queue longer.
        queue_factor = 1 + statistics.waiting_tokens / max(statistics.attempt_tokens, 1.0)
        timeout_us *= queue_factor / max(1 - statistics.timeout_or_error_share, 1 - MAX_TIMEOUT_SHARE)
        return timeout_us


def _retry_window_us(request_class: RequestClass) -> float:
    """Return how long after the first attempt a retry is harmless; 0 if it never is."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is Idempotency.WITH_KEY:
        return request_class.deduplication_window_us
    return 0
