"""Decides whether a new request is admitted or shed, and where an admitted one starts.

A request is shed if its estimated time to first token exceeds a share of its latency objective, or if its
first token could not meet the client's deadline. The share depends on the request's priority weight: requests
of the lowest priority are shed first, those of the highest last. Before a request is shed, alternatives are
tried: another zone, a recovering zone ahead of its ramp, an endpoint in slow start with an open slot, and any
endpoint with a short queue. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tuliptrack.interface import Request, Role, Settings
from tuliptrack.routing.eligibility import Eligibility
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outbox import Outbox
from tuliptrack.routing.prefill_placement import PrefillPlacement
from tuliptrack.routing.queue_estimate import MAX_QUEUE_SHARE, QueueEstimate
from tuliptrack.routing.slow_start import SlowStart
from tuliptrack.routing.tenant_quota import TenantQuotas
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["SHEDDING_CONDITION", "Admission", "AdmissionInputs", "ShedReason"]

SHEDDING_CONDITION = "shedding load by priority"
"""Log text for the condition that requests are being shed."""
LOW_PRIORITY_FACTOR = 0.5
"""Multiple of the queue limit above which requests of the lowest priority are shed."""
TOP_PRIORITY_FACTOR = 1.6
"""Multiple of the queue limit above which requests of the highest priority are shed too, because most of them
would only be answered late."""


class ShedReason(Enum):
    """Why a request is shed."""

    OVERLOAD = "overload"
    """The first token would miss the class's latency objective: capacity is short."""
    CLIENT_DEADLINE = "the client's deadline is too short"
    """The first token would meet the class's latency objective, but not the client's deadline."""


@dataclass(slots=True)
class _Placement:
    """An endpoint where a request could start, and the estimated time to first token at that endpoint."""

    endpoint: Endpoint | None
    time_to_first_token_us: float


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """The modules that admission depends on."""

    eligibility: Eligibility
    slow_start: SlowStart
    locality: Locality
    prefill: PrefillPlacement
    queue: QueueEstimate
    quotas: TenantQuotas


class Admission:
    """Admits or sheds the requests of one node."""

    def __init__(self, state: NodeState, outbox: Outbox, inputs: AdmissionInputs) -> None:
        self._state, self._outbox, self._inputs = state, outbox, inputs
        self._min_priority_weight, self._max_priority_weight = _priority_range(state.settings)

    def place(self, request: InFlightRequest) -> Endpoint | None:
        """Return the endpoint where a new request starts, or None if it is shed."""
        state = self._state
        priority_factor = self._priority_factor(request.request)
        state.record_arrival()
        self._inputs.locality.record_arrival()
        limit_us = priority_factor * MAX_QUEUE_SHARE * request.latency_objective_us
        placement = self._best_placement(request, priority_factor, limit_us)
        shed_reason = self._shed_reason(request, placement, limit_us)
        # A few clients with too short deadlines must not count as an overload: attempts would then get no
        # time-out, and slow endpoints would not be ejected, for all clients of the node.
        if shed_reason is ShedReason.OVERLOAD:
            state.shed_at_us = state.now_us
        # The advised delay is the estimated time until the queue has shrunk to the limit.
        request.retry_after_us = (
            max(int(placement.time_to_first_token_us - limit_us), 0) if shed_reason else 0
        )
        self._outbox.announce(SHEDDING_CONDITION, state.is_shedding)
        return None if shed_reason else placement.endpoint

    def _priority_factor(self, request: Request) -> float:
        """Return the multiple of the queue limit that applies to a request of this priority."""
        settings = self._state.settings
        is_over_quota = self._inputs.quotas.is_over_quota(request, self._state.now_us)
        weight = settings.classes[request.class_index].priority_weight
        if is_over_quota or request.is_over_token_budget:
            weight *= settings.over_quota_weight_factor
        if request.is_resumed:  # Shedding a resumed request would waste the work already done.
            return TOP_PRIORITY_FACTOR
        if weight < self._min_priority_weight:
            return LOW_PRIORITY_FACTOR
        return TOP_PRIORITY_FACTOR if weight >= self._max_priority_weight else 1.0

    def _best_placement(
        self, request: InFlightRequest, priority_factor: float, limit_us: float
    ) -> _Placement:
        """Return the preferred placement, or the first alternative that is within the limit."""
        locality, prefill = self._inputs.locality, self._inputs.prefill
        placement = self._estimate(request, prefill.choose(request))
        if placement.time_to_first_token_us > limit_us and locality.is_budgeted and priority_factor >= 1:
            # Serving matters more than the zone budget.
            remote = prefill.choose_remote(request)
            placement = self._estimate(request, remote) if remote else placement
        if placement.time_to_first_token_us > limit_us and locality.is_recovering:
            # There is no capacity elsewhere, so the recovering zone may get the request ahead of its ramp.
            request.ignores_recovery_ramp = True
            placement = self._estimate(request, prefill.choose(request))
        if placement.time_to_first_token_us > limit_us / 2:
            placement = self._alternative_near_limit(request, placement, limit_us)
        return placement

    def _estimate(self, request: InFlightRequest, endpoint: Endpoint | None) -> _Placement:
        return _Placement(endpoint, self._inputs.queue.time_to_first_token_us(request, endpoint))

    def _alternative_near_limit(
        self, request: InFlightRequest, placement: _Placement, limit_us: float
    ) -> _Placement:
        """Return an alternative to a placement that is near or above the limit, or the placement itself.

        Near the limit, endpoints with an open slow-start slot are used, because unused slots expire. Above
        the limit, any endpoint with a short queue is used as well.
        """
        inputs, is_over_limit = self._inputs, placement.time_to_first_token_us > limit_us
        candidates = inputs.eligibility.candidates(Role.PREFILL, request)
        with_slot = [
            endpoint
            for endpoint in candidates.with_slot
            if is_over_limit or not inputs.locality.is_remote(endpoint)
        ]
        endpoint = inputs.prefill.first_in_prefix_order(request, with_slot)
        if endpoint is None and is_over_limit:
            endpoint = inputs.prefill.choose_by_score(request, candidates)
        if endpoint is None:
            return placement
        alternative = self._estimate(request, endpoint)
        has_short_queue = 2 * alternative.time_to_first_token_us <= limit_us
        if has_short_queue or inputs.slow_start.has_open_slot(endpoint, request):
            return alternative
        return placement

    def _shed_reason(
        self, request: InFlightRequest, placement: _Placement, limit_us: float
    ) -> ShedReason | None:
        """Return why a request is shed, or None if it is admitted."""
        if placement.time_to_first_token_us > limit_us:
            return ShedReason.OVERLOAD
        fastest_us = self._inputs.queue.fastest_time_to_first_token_us(request, placement.endpoint)
        first_token_us = max(placement.time_to_first_token_us, fastest_us)
        if first_token_us <= request.request.time_left_us:
            return None
        is_late_for_class = first_token_us > request.latency_objective_us
        return ShedReason.OVERLOAD if is_late_for_class else ShedReason.CLIENT_DEADLINE


def _priority_range(settings: Settings) -> tuple[float, float]:
    weights = [request_class.priority_weight for request_class in settings.classes]
    return min(weights), max(weights)
