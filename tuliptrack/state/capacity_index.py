"""How much capacity is listed, by role and cell, kept up to date with each change of the endpoint list."""

from __future__ import annotations

from tuliptrack.interface import EndpointInfo, Role

__all__ = ["CapacityIndex"]

WEIGHT_UNITS = 2**30
"""Weights are summed as whole multiples of the inverse, so that no sum depends on the order of changes."""
MIN_CAPACITY = 1e-6


class CapacityIndex:
    """Sums of listed weights. Bound: one entry for each role and cell of the list."""

    def __init__(self) -> None:
        self._ready: dict[tuple[Role, int | None], int] = {}
        """Weights of the ready endpoints by role, in all (None) and by cell."""
        self._known: dict[Role, tuple[int, int]] = {}
        """Weights and number of all known endpoints by role, ready or not."""
        self._most_ready = {Role.PREFILL: 0, Role.DECODE: 0}

    def add_ready(self, role: Role, info: EndpointInfo) -> None:
        """Count an endpoint that is ready now."""
        self._change_ready(role, info.cell, _units(info.weight))

    def remove_ready(self, role: Role, info: EndpointInfo) -> None:
        """Stop counting an endpoint as ready."""
        self._change_ready(role, info.cell, -_units(info.weight))

    def _change_ready(self, role: Role, cell: int, units: int) -> None:
        for key in ((role, None), (role, cell)):
            total = self._ready.get(key, 0) + units
            if total:
                self._ready[key] = total
            else:
                self._ready.pop(key, None)

    def add_known(self, role: Role, weight: float) -> None:
        """Count an endpoint that is listed for the first time."""
        self._change_known(role, _units(weight), 1)

    def remove_known(self, role: Role, weight: float) -> None:
        """Stop counting an endpoint that is forgotten."""
        self._change_known(role, -_units(weight), -1)

    def change_weight(self, role: Role, old: float, new: float) -> None:
        """Count a known endpoint with another weight."""
        self._change_known(role, _units(new) - _units(old), 0)

    def _change_known(self, role: Role, units: int, number: int) -> None:
        known, count = self._known.get(role, (0, 0))
        self._known[role] = (known + units, count + number)

    def note_ready_count(self, role: Role, count: int) -> None:
        """Record how many endpoints serve a stage (prefill or decode) after a change of the list."""
        self._most_ready[role] = max(self._most_ready[role], count)

    def capacity(self, role: Role, cell: int | None = None) -> float:
        """Return the summed weights of the ready endpoints of exactly this role, in all or in one cell."""
        return max(self._ready.get((role, cell), 0) / WEIGHT_UNITS, MIN_CAPACITY)

    def cell_share(self, role: Role, cell: int) -> float:
        """Return the share of a role's capacity that one cell has."""
        return self.capacity(role, cell) / self.capacity(role)

    def endpoint_share(self, role: Role, weight: float) -> float:
        """Return the share of its stage that a ready endpoint contributes.

        It is taken from the mean weight of its role and the most endpoints ever ready, so it does not grow
        when others are removed. An endpoint of both roles contributes to both stages.
        """
        units, count = self._known[role]
        mean_weight = (units / WEIGHT_UNITS or 1.0) / count
        most_ready = max(
            number for stage, number in self._most_ready.items() if role in (stage, Role.PREFILL_AND_DECODE)
        )
        return weight / mean_weight / most_ready


def _units(weight: float) -> int:
    return round(weight * WEIGHT_UNITS)
