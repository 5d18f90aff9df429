"""Projected loads of decode endpoints, most of which are counted by group and not examined individually."""

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
    """Projected loads of some endpoints, in tokens per unit of weight.

    Endpoints with requests of this node have an individual load; all others have the base load of their
    group and are only counted. Sums are rounded once, so they do not depend on the order of the terms.
    """

    def __init__(
        self, counts: Mapping[int, int], base_loads: dict[int, float], loaded: Collection[Endpoint]
    ) -> None:
        """Combine the individual loads of endpoints with those of their groups.

        Args:
            counts: number of endpoints in each group.
            base_loads: by group, the part of the load that each endpoint of the group has from its role.
            loaded: the endpoints with projected tokens of this node.
        """
        self.count = sum(counts.values())
        self.base_loads = base_loads
        self.unloaded_counts = dict(counts)
        """Number of endpoints without projected tokens of this node, by group."""
        self._loaded = loaded
        self._own_loads = {
            endpoint.info.id: endpoint.projected_load + base_loads[endpoint.group] for endpoint in loaded
        }
        for endpoint in loaded:
            self.unloaded_counts[endpoint.group] -= 1

    def load_of(self, endpoint: Endpoint) -> float:
        """Return the load of one of the endpoints."""
        return self._own_loads.get(endpoint.info.id, self.base_loads[endpoint.group])

    def add_prices(self, unit: float, prices: Mapping[int, float]) -> None:
        """Raise each load by `unit` times the price of the endpoint's group."""
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
        found = (endpoint for endpoint in self._loaded if self._own_loads[endpoint.info.id] == load)
        return sorted(found, key=lambda endpoint: endpoint.info.id)
