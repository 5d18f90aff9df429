"""Estimates the time to first token at an endpoint, which admission and placement compare with limits.

The inputs are this node's own attempts, the last load reports and the last answers. A node that gets one
request per second has hardly any waiting attempts of its own, so the statistics of the whole role are used to
estimate the load that it cannot see; `other_nodes_share` is the share of the traffic at other nodes.
Times are microseconds.
"""

from __future__ import annotations

from tuliptrack.interface import Role
from tuliptrack.routing.decode_placement import DecodePlacement
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.slow_start import SlowStart
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest
from tuliptrack.state.role_statistics import RoleStatistics
from tuliptrack.state.selection import median_low

__all__ = ["MAX_QUEUE_SHARE", "QueueEstimate", "endpoint_queue_us"]

MAX_QUEUE_SHARE = 0.5
"""Maximum queue time at an endpoint, as a share of the latency objective. Above this limit, requests spill
over to other endpoints; they are shed if all endpoints are above the limit."""
STATISTICS_MAX_AGE_US = 5_000_000
"""Age from which on role statistics no longer count. Without this limit, they would never change once all
requests are shed."""
ROLE_QUEUE_WEIGHT = 0.9
"""Weight of the role's queue time, multiplied by the square of `other_nodes_share`."""
AGE_EXPONENT = 6
"""Exponent of `other_nodes_share` in the weight of waiting attempts' ages: with few nodes, this node's own
queue is more informative."""


def endpoint_queue_us(state: NodeState, endpoint: Endpoint) -> float:
    """Return the time that an endpoint needs to process the tokens that wait there.

    The time is based on the speed observed at that endpoint, so the same limit suits fast and slow endpoints,
    short and long prompts. One slow endpoint does not indicate an overload.
    """
    now_us = state.now_us
    if endpoint.role is Role.PREFILL_AND_DECODE:
        # A prefill slows down the streams at its endpoint, so running streams count as waiting prefills.
        in_flight = endpoint.in_flight(now_us, state.are_in_flight_reported)
        other_tokens = (in_flight - len(endpoint.waiting)) * endpoint.service_tokens / state.settings.replicas
    else:
        other_tokens = (
            state.other_nodes_share**2 * endpoint.reported_waiting_tokens * endpoint.report_weight(now_us)
        )
    return max(endpoint.waiting_tokens, other_tokens) * endpoint.us_per_token(now_us)


class QueueEstimate:
    """Estimates the time from arrival to first token, over all stages of a request."""

    def __init__(
        self, state: NodeState, slow_start: SlowStart, locality: Locality, decode_placement: DecodePlacement
    ) -> None:
        self._state, self._slow_start, self._locality = state, slow_start, locality
        self._decode_placement = decode_placement

    def time_to_first_token_us(self, request: InFlightRequest, endpoint: Endpoint | None) -> float:
        """Estimate the time to first token if the request starts at `endpoint` (None if there is none).

        A short queue at the endpoint does not lower the role's queue time, or one idle endpoint would hide an
        overload of all others. An open slot at an endpoint in slow start counts as capacity, so there only
        the endpoint's own queue matters.
        """
        queue_us = self._queue_us(request, endpoint)
        is_remote = endpoint is not None and self._locality.is_remote(endpoint)
        role_us = sum(
            (self._role_queue_us(request, endpoint, role, is_remote) for role in _stages_at(endpoint)), 0.0
        )
        if endpoint and self._slow_start.has_open_slot(endpoint, request):
            return queue_us
        return max(queue_us, role_us)

    def fastest_time_to_first_token_us(self, request: InFlightRequest, endpoint: Endpoint | None) -> float:
        """Estimate the fastest time to first token, from the first quartile of each stage's latencies."""
        roles = _stages_at(endpoint)
        latencies = (self._state.local_statistics(role).fast_relative_latency for role in roles)
        return sum(latencies) * request.latency_objective_us

    def _queue_us(self, request: InFlightRequest, endpoint: Endpoint | None) -> float:
        """Return the queue time at an endpoint and at the decode endpoint that would follow."""
        if endpoint is None:
            return 0.0
        decode_endpoint = None
        if endpoint.role is Role.PREFILL:
            decode_endpoint = self._decode_placement.choose(request)
        queue_us = endpoint_queue_us(self._state, endpoint)
        if decode_endpoint:
            queue_us += decode_endpoint.waiting_tokens * decode_endpoint.us_per_token(self._state.now_us)
        return queue_us

    def _role_queue_us(
        self, request: InFlightRequest, endpoint: Endpoint | None, role: Role, is_remote: bool
    ) -> float:
        """Return the queue time that the statistics of a role indicate."""
        state = self._state
        statistics = state.statistics[role, is_remote]
        weight = max(0.0, 1 - (state.now_us - statistics.observed_at_us) / STATISTICS_MAX_AGE_US)
        waiting_tokens = self._waiting_tokens(statistics, endpoint, role)
        queued_tokens = waiting_tokens + statistics.attempt_tokens
        observed_us = ROLE_QUEUE_WEIGHT * state.other_nodes_share**2 * queued_tokens * statistics.us_per_token
        rejections_us = statistics.rejection_share * request.latency_objective_us
        return max(weight * (observed_us + rejections_us), self._median_age_us(statistics, role))

    def _waiting_tokens(self, statistics: RoleStatistics, endpoint: Endpoint | None, role: Role) -> float:
        """Return the tokens that wait at an endpoint.

        The endpoint's own report counts less the older it is; the role's average makes up the rest.
        """
        waiting_tokens = statistics.waiting_tokens
        if endpoint and endpoint.role is role:
            own_difference = endpoint.reported_waiting_tokens - waiting_tokens
            waiting_tokens += own_difference * endpoint.report_weight(self._state.now_us)
        return waiting_tokens

    def _median_age_us(self, statistics: RoleStatistics, role: Role) -> float:
        """Return the weighted median age of the oldest waiting attempts.

        In an overload no answers arrive, but attempts age. One silent endpoint does not change the median.
        """
        state = self._state
        ages_us = [
            state.now_us - attempt.sent_at_us
            for endpoint, attempt in state.table.oldest_waiting(role)
            if endpoint.statistics is statistics
        ]
        return state.other_nodes_share**AGE_EXPONENT * median_low([0, *ages_us])


def _stages_at(endpoint: Endpoint | None) -> tuple[Role, ...]:
    """Return the roles of a request's stages if it starts at an endpoint."""
    if endpoint and endpoint.role is Role.PREFILL:
        return (Role.PREFILL, Role.DECODE)
    return (Role.PREFILL_AND_DECODE,)
