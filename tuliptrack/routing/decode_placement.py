"""Decides which decode endpoint gets a request: the one with the fewest projected tokens of this node.

The projected tokens are those of the prompts and expected outputs of this node's requests at an endpoint, per
unit of its weight; load reports arrive too late to be used for this. Endpoints with clearly more memory in
use than the median are left out. Among endpoints with similar loads, the cell that holds the KV state is
preferred. Endpoints without requests of this node are counted by group, so the cost does not grow with the
fleet.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from tuliptrack.interface import Role
from tuliptrack.routing.eligibility import Eligibility
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.candidates import Candidates
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest
from tuliptrack.state.projected_loads import ProjectedLoads
from tuliptrack.state.selection import lowest_ranked, random_member

__all__ = ["DecodePlacement"]

NEAR_TIE_SHARE = 1.0
"""Share of the mean load by which an endpoint's load may exceed the lowest load and still count as
similar."""
MEMORY_MARGIN = 0.12
"""Maximum excess of an endpoint's memory share, from 0 to 1, over the median; above it the endpoint is left
out."""


@dataclass(slots=True)
class _Choice:
    """The endpoints that a request may be sent to, and their loads."""

    candidates: Candidates
    max_memory_share: float
    loads: ProjectedLoads

    def load_of(self, endpoint: Endpoint) -> float:
        """Return an endpoint's load; infinite if the request may not be sent there."""
        if endpoint.reported_memory_share > self.max_memory_share or endpoint not in self.candidates:
            return math.inf
        return self.loads.load_of(endpoint)


class DecodePlacement:
    """Chooses decode endpoints."""

    def __init__(self, state: NodeState, eligibility: Eligibility, locality: Locality) -> None:
        self._state, self._eligibility, self._locality = state, eligibility, locality

    def choose(self, request: InFlightRequest) -> Endpoint | None:
        """Return the endpoint for a request's decode stage, or None if there is none."""
        candidates = self._eligibility.candidates(Role.DECODE, request)
        if not candidates:
            return None
        prices = self._prices(request, candidates)
        max_memory_share = self._max_memory_share(candidates, prices)
        loads = self._projected_loads(request, candidates, max_memory_share, prices)
        choice = _Choice(candidates, max_memory_share, loads)
        least = loads.least
        limit = least + NEAR_TIE_SHARE * loads.mean
        cell = self._preferred_cell(request)
        preferred = self._preferred_endpoints(choice, cell, limit)
        if preferred:
            ranked = lowest_ranked(
                preferred, lambda endpoint: (endpoint.info.cell != cell, choice.load_of(endpoint))
            )
            return random_member(ranked, self._state.random)
        return self._least_loaded(choice, least)

    def _prices(self, request: InFlightRequest, candidates: Candidates) -> dict[int, float]:
        """Return the price of crossing zones by group; empty if cross-zone traffic is not budgeted."""
        if not self._locality.is_budgeted:
            return {}
        table = self._state.table
        counts = table.memory_shares.counts_up_to(math.inf, candidates.excluded)
        return {
            group: self._locality.price(request, table.groups[group].zone, is_decode=True)
            for group, count in counts.items()
            if count
        }

    def _max_memory_share(self, candidates: Candidates, prices: Mapping[int, float]) -> float:
        """Return the memory share above which endpoints are left out.

        This node knows little about memory in remote zones, so the median is that of groups without a price.
        """
        local_groups = [group for group, price in prices.items() if not price]
        median = self._state.table.memory_shares.low_median(candidates.excluded, local_groups or None)
        return median + MEMORY_MARGIN

    def _projected_loads(
        self,
        request: InFlightRequest,
        candidates: Candidates,
        max_memory_share: float,
        prices: Mapping[int, float],
    ) -> ProjectedLoads:
        """Return the candidates' loads, raised by their cross-zone prices in multiples of the mean load."""
        state, table = self._state, self._state.table
        counts = table.memory_shares.counts_up_to(max_memory_share, candidates.excluded)
        counts = {group: count for group, count in counts.items() if count}
        role_loads = {
            role: state.local_statistics(role).assign(0.0, state.now_us) / table.capacity.capacity(role)
            for role in {table.groups[group].role for group in counts}
        }
        base_loads = {group: role_loads[table.groups[group].role] for group in counts}
        loaded = candidates.among(
            endpoint
            for endpoint in table.loaded.values()
            if endpoint.reported_memory_share <= max_memory_share
        )
        loads = ProjectedLoads(counts, base_loads, loaded)
        if any(prices.values()):
            loads.add_prices(max(loads.mean, request.projected_tokens), prices)
        return loads

    def _preferred_cell(self, request: InFlightRequest) -> int | None:
        """Return the cell that holds the KV state, or None if no cell is preferred.

        A cell is preferred for only as many of its prefills as its decode endpoints have capacity for; more
        would overload these endpoints.
        """
        if request.kv_holder is None:
            return None
        cell, capacity = request.kv_holder.info.cell, self._state.table.capacity
        prefill_share = capacity.cell_share(Role.PREFILL, cell)
        if not prefill_share:
            return cell
        decode_share = capacity.cell_share(Role.DECODE, cell)
        return cell if self._state.random.random() < decode_share / prefill_share else None

    def _preferred_endpoints(self, choice: _Choice, cell: int | None, limit: float) -> list[Endpoint]:
        """Return the endpoints up to a load limit with an open slot, or else those in the preferred cell."""
        preferred = [
            endpoint for endpoint in choice.candidates.with_slot if choice.load_of(endpoint) <= limit
        ]
        if preferred or cell is None:
            return preferred
        in_cell = self._state.table.in_cell(cell)
        if len(in_cell) >= len(choice.candidates.ready):
            return []
        return [endpoint for endpoint in in_cell if choice.load_of(endpoint) <= limit]

    def _least_loaded(self, choice: _Choice, least: float) -> Endpoint | None:
        """Return a uniformly random one of the least loaded endpoints."""
        unloaded_count, loaded = choice.loads.unloaded_count_at(least), choice.loads.loaded_at(least)
        if not unloaded_count:
            return random_member(loaded, self._state.random)
        count = unloaded_count + len(loaded)
        return choice.candidates.draw(
            lambda endpoint: choice.load_of(endpoint) == least, count, self._state.random
        )
