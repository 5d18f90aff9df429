"""Decides which decode endpoint gets a request: the one with the fewest projected tokens of this node.

The projected tokens are the prompt and the expected output of this node's requests there, by unit of the
endpoint's weight; nothing is reported fast enough to be used. Endpoints with clearly more memory in use than
the median are left out. Among endpoints of nearly the same load, the cell that holds the KV state is
preferred. Endpoints without requests of this node are counted by groups, so the cost does not grow with the
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
"""Share of the mean load by which an endpoint of the preferred cell may lie above the least loaded one."""
MEMORY_MARGIN = 0.12
"""Share of its memory by which an endpoint may lie above the median before it is left out."""


@dataclass(slots=True)
class _Choice:
    """The endpoints that a request may go to, and their loads."""

    candidates: Candidates
    max_memory_share: float
    loads: ProjectedLoads

    def load_of(self, endpoint: Endpoint) -> float:
        """Return an endpoint's load; infinite if the request may not go there."""
        if endpoint.reported_memory_share > self.max_memory_share or endpoint not in self.candidates:
            return math.inf
        return self.loads.load_of(endpoint)


class DecodePlacement:
    """Chooses decode endpoints."""

    def __init__(self, state: NodeState, eligibility: Eligibility, locality: Locality) -> None:
        self._state, self._eligibility, self._locality = state, eligibility, locality

    def choose(self, request: InFlightRequest) -> Endpoint | None:
        """Return the endpoint for a request's decode stage; None if there is none."""
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
        preferred = self._preferred(choice, cell, limit)
        if preferred:
            ranked = lowest_ranked(preferred, lambda one: (one.info.cell != cell, choice.load_of(one)))
            return random_member(ranked, self._state.random)
        return self._least_loaded(choice, least)

    def _prices(self, request: InFlightRequest, candidates: Candidates) -> dict[int, float]:
        """Return the price of crossing zones by group; empty where cross-zone traffic is not budgeted."""
        if not self._locality.is_budgeted:
            return {}
        table = self._state.table
        counts = table.memory.counts_up_to(math.inf, candidates.excluded)
        return {
            group: self._locality.price(request, table.groups[group].zone, is_decode=True)
            for group, count in counts.items()
            if count
        }

    def _max_memory_share(self, candidates: Candidates, prices: Mapping[int, float]) -> float:
        """Return the memory share above which endpoints are left out.

        Little is known of the memory in remote zones, so the median is that of the groups without a price.
        """
        local_groups = [group for group, price in prices.items() if not price]
        median = self._state.table.memory.low_median(candidates.excluded, local_groups or None)
        return median + MEMORY_MARGIN

    def _projected_loads(
        self,
        request: InFlightRequest,
        candidates: Candidates,
        max_memory_share: float,
        prices: Mapping[int, float],
    ) -> ProjectedLoads:
        """Return the loads of the candidates; a cross-zone price counts as so many mean loads more."""
        state, table = self._state, self._state.table
        counts = table.memory.counts_up_to(max_memory_share, candidates.excluded)
        counts = {group: count for group, count in counts.items() if count}
        role_loads = {
            role: state.local_statistics(role).assign(0.0, state.now_us) / table.capacity.capacity(role)
            for role in {table.groups[group].role for group in counts}
        }
        base_loads = {group: role_loads[table.groups[group].role] for group in counts}
        loaded = candidates.among(
            one for one in table.loaded.values() if one.reported_memory_share <= max_memory_share
        )
        loads = ProjectedLoads(counts, base_loads, loaded)
        if any(prices.values()):
            loads.add_prices(max(loads.mean, request.projected_tokens), prices)
        return loads

    def _preferred_cell(self, request: InFlightRequest) -> int | None:
        """Return the cell that holds the KV state, or None if the request may go anywhere.

        A cell gets no more of its prefills than its decode endpoints have capacity for: the rest would
        overload them.
        """
        if request.kv_holder is None:
            return None
        cell, capacity = request.kv_holder.info.cell, self._state.table.capacity
        prefill_share = capacity.cell_share(Role.PREFILL, cell)
        if not prefill_share:
            return cell
        decode_share = capacity.cell_share(Role.DECODE, cell)
        return cell if self._state.random.random() < decode_share / prefill_share else None

    def _preferred(self, choice: _Choice, cell: int | None, limit: float) -> list[Endpoint]:
        """Return the preferred endpoints up to a load: with an open slot, else in the preferred cell."""
        preferred = [one for one in choice.candidates.with_slot if choice.load_of(one) <= limit]
        if preferred or cell is None:
            return preferred
        in_cell = self._state.table.in_cell(cell)
        if len(in_cell) >= len(choice.candidates.ready):
            return []
        return [one for one in in_cell if choice.load_of(one) <= limit]

    def _least_loaded(self, choice: _Choice, least: float) -> Endpoint | None:
        """Return any of the least loaded endpoints, with equal chances."""
        unloaded_count, loaded = choice.loads.unloaded_count_at(least), choice.loads.loaded_at(least)
        if not unloaded_count:
            return random_member(loaded, self._state.random)
        count = unloaded_count + len(loaded)
        return choice.candidates.draw(lambda one: choice.load_of(one) == least, count, self._state.random)
