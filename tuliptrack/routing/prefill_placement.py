"""Decides which prefill endpoint gets a new request: by prefix affinity, spilling over to other endpoints.

Each prefix has affinity endpoints, the first in its rendezvous order, where its prompts are likely to be
cached. A session stays at one of these endpoints, whichever node its requests arrive at. If the queue at that
endpoint exceeds the queue limit, the request spills over to the eligible endpoint with the lowest score:
(requests in flight + 1) x prefill latency, raised by the price of crossing zones. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Collection

from tuliptrack.interface import Role
from tuliptrack.routing.eligibility import Eligibility
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.queue_estimate import MAX_QUEUE_SHARE, endpoint_queue_us
from tuliptrack.routing.slow_start import WARM, SlowStart
from tuliptrack.state.candidates import Candidates
from tuliptrack.state.endpoint import REPORT_MAX_AGE_US, Endpoint
from tuliptrack.state.in_flight import InFlightRequest
from tuliptrack.state.selection import lowest_ranked, random_member
from tuliptrack.structures.rendezvous import rendezvous_score

__all__ = ["PrefillPlacement"]

SPILL_ENDPOINTS = 3
"""Number of endpoints that a request may spill over to: the last affinity endpoint of its prefix, and those
that follow in the prefix's order."""
MAX_AFFINITY_SHARE = 0.28
"""Maximum share of the endpoints that have affinity to one prefix. It is limited because a node sees little
of the queues at affinity endpoints."""
AFFINITY_HEADROOM = 2.0
"""Ratio of a popular prefix's share of the endpoints to its share of the demand."""


class PrefillPlacement:
    """Chooses prefill endpoints."""

    def __init__(
        self, state: NodeState, eligibility: Eligibility, slow_start: SlowStart, locality: Locality
    ) -> None:
        self._state, self._eligibility = state, eligibility
        self._slow_start, self._locality = slow_start, locality

    def choose(self, request: InFlightRequest) -> Endpoint | None:
        """Return the endpoint for a request's first stage, or None if there is none."""
        ranking = self._ranking(request)
        count = self._affinity_count(request, ranking)
        eligible = self._eligibility.first_eligible(ranking, request, count + SPILL_ENDPOINTS - 1)
        if not eligible:
            return None
        affinity_endpoint = self._session_endpoint(request, eligible[:count])
        if (
            endpoint_queue_us(self._state, affinity_endpoint)
            <= MAX_QUEUE_SHARE * request.latency_objective_us
        ):
            return affinity_endpoint
        remote: list[Endpoint] = []
        if self._locality.is_budgeted:
            remote = [endpoint for endpoint in self._remote_endpoints(request) if endpoint not in eligible]
        return self._lowest_score(request, eligible + remote, price_weight=1.0)

    def choose_remote(self, request: InFlightRequest) -> Endpoint | None:
        """Return the best endpoint of another zone regardless of its price, or None if there is none."""
        return self._lowest_score(request, self._remote_endpoints(request), price_weight=0.0)

    def choose_by_score(self, request: InFlightRequest, candidates: Candidates) -> Endpoint | None:
        """Return the candidate with the lowest score, regardless of the prefix's order."""
        return self._state.table.choose_lowest_score(
            candidates,
            lambda endpoint: self._score(request, endpoint, price_weight=1.0),
            self._state.now_us - REPORT_MAX_AGE_US,
            self._state.random,
        )

    def first_in_prefix_order(
        self, request: InFlightRequest, endpoints: Collection[Endpoint]
    ) -> Endpoint | None:
        """Return the given endpoint that is first in the prefix's order, local zone before remote zones."""
        key = request.request.prefix or request.request.session
        return min(
            endpoints,
            default=None,
            key=lambda endpoint: (
                self._locality.is_remote(endpoint),
                -rendezvous_score(key, endpoint.info.id, endpoint.info.weight),
            ),
        )

    def _ranking(self, request: InFlightRequest) -> Collection[Endpoint]:
        """Return the ready endpoints in the prefix's rendezvous order, remote ones last."""
        key = request.request.prefix or request.request.session
        ranking = self._state.table.prefill_ranking().ranking(key)
        return sorted(ranking, key=self._locality.is_remote) if self._locality.is_budgeted else ranking

    def _affinity_count(self, request: InFlightRequest, ranking: Collection[Endpoint]) -> int:
        """Return how many affinity endpoints the request's prefix has.

        A prefix has `SPILL_ENDPOINTS` affinity endpoints if that many prefills of it fit into the queue
        limit, else one. A popular prefix has more, in proportion to its share of the demand.
        """
        prefix = request.request.prefix
        request_class, state = request.request_class, self._state
        local_count = 0
        if self._locality.is_budgeted:
            local_count = sum(not self._locality.is_remote(endpoint) for endpoint in ranking)
        local_count = local_count or len(ranking)
        prefix_objective_us = (
            request_class.objective_us_per_1000_tokens * request.request.prefix_tokens / 1000
        )
        fits = SPILL_ENDPOINTS * prefix_objective_us <= MAX_QUEUE_SHARE * (
            request_class.latency_objective_us + prefix_objective_us
        )
        desired = max(
            SPILL_ENDPOINTS if fits else 1,
            AFFINITY_HEADROOM * state.demand.prefix_share(prefix) * local_count,
        )
        if not prefix:
            return 1
        return max(1, int(min(MAX_AFFINITY_SHARE * state.other_nodes_share * local_count, desired)))

    def _session_endpoint(self, request: InFlightRequest, affinity: list[Endpoint]) -> Endpoint:
        """Return the session's affinity endpoint; an open slot is preferred, because slots expire."""
        local = [endpoint for endpoint in affinity if not self._locality.is_remote(endpoint)]

        def preference(endpoint: Endpoint) -> tuple[int, float]:
            score = rendezvous_score(request.request.session, endpoint.info.id, endpoint.info.weight)
            return self._slow_start.slot_for(endpoint, request) or WARM, score

        return max(local or affinity, key=preference)

    def _remote_endpoints(self, request: InFlightRequest) -> list[Endpoint]:
        """Return the endpoints of other zones to spill over to, in the prefix's order."""
        remote = [endpoint for endpoint in self._ranking(request) if self._locality.is_remote(endpoint)]
        return self._eligibility.first_eligible(remote, request, SPILL_ENDPOINTS)

    def _lowest_score(
        self, request: InFlightRequest, endpoints: list[Endpoint], price_weight: float
    ) -> Endpoint | None:
        """Return an endpoint with the lowest score, or None if there are no endpoints.

        Ties are broken at random, so that nodes with equally little information do not all choose the same
        one.
        """
        ranked = lowest_ranked(endpoints, lambda endpoint: self._score(request, endpoint, price_weight))
        return random_member(ranked, self._state.random)

    def _score(self, request: InFlightRequest, endpoint: Endpoint, price_weight: float) -> float:
        state = self._state
        is_decode = endpoint.role is not Role.PREFILL
        price = price_weight * self._locality.price(request, endpoint.info.zone, is_decode)
        in_flight = endpoint.in_flight(state.now_us, state.are_in_flight_reported)
        return (in_flight + 1) * endpoint.expected_prefill_latency_us(state.now_us) * (1 + price)
