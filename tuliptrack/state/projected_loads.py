"""Projected loads of decode endpoints, most of which are counted by groups and not examined one by one."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from tuliptrack.interface import Role
from tuliptrack.state.endpoint import Endpoint

__all__ = ["EndpointGroup", "ProjectedLoads"]


@dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Endpoints of one role and, where cross-zone traffic is budgeted, of one zone."""

    role: Role
    zone: int


class ProjectedLoads:
    """Projected loads of some endpoints, in tokens for each unit of weight.

    Endpoints with requests of this node have a load of their own; all others have the base load of their
    group and are only counted. Sums are rounded once, so they do not depend on an order.
    """

    def __init__(
        self, counts: Mapping[int, int], base_loads: dict[int, float], loaded: Collection[Endpoint]
    ) -> None:
        """Combine the endpoints' own loads with those of their groups.

        Args:
            counts: endpoints in each group.
            base_loads: load that each endpoint of a group has from its role.
            loaded: the endpoints with projected tokens of this node.
        """
        self.count = sum(counts.values())
        self.base_loads = base_loads
        self.unloaded_counts = dict(counts)
        """Endpoints of each group without projected tokens of this node."""
        self._loaded = loaded
        self._own_loads = {one.info.id: one.projected_load + base_loads[one.group] for one in loaded}
        for endpoint in loaded:
            self.unloaded_counts[endpoint.group] -= 1

    def load_of(self, endpoint: Endpoint) -> float:
        """Return the load of one of the endpoints."""
        return self._own_loads.get(endpoint.info.id, self.base_loads[endpoint.group])

    def add_prices(self, unit: float, prices: Mapping[int, float]) -> None:
        """Raise each load by the price of the endpoint's group, in multiples of `unit`."""
        self.base_loads = {group: base + unit * prices[group] for group, base in self.base_loads.items()}
        for endpoint in self._loaded:
            self._own_loads[endpoint.info.id] += unit * prices[endpoint.group]

    @property
    def mean(self) -> float:
        """The mean load."""
        unloaded = math.fsum(self.base_loads[group] * count for group, count in self.unloaded_counts.items())
        return (math.fsum(self._own_loads.values()) + unloaded) / self.count

    @property
    def least(self) -> float:
        """The lowest load."""
        unloaded = (self.base_loads[group] for group, count in self.unloaded_counts.items() if count)
        return min([*self._own_loads.values(), *unloaded])

    def unloaded_count_at(self, load: float) -> int:
        """Count the endpoints without projected tokens of this node that have exactly this load."""
        return sum(count for group, count in self.unloaded_counts.items() if self.base_loads[group] == load)

    def loaded_at(self, load: float) -> list[Endpoint]:
        """Return the endpoints with projected tokens of this node that have exactly this load, by id."""
        found = (one for one in self._loaded if self._own_loads[one.info.id] == load)
        return sorted(found, key=lambda one: one.info.id)
