"""Listed capacity by role and cell, updated with each change of the endpoint list."""

from __future__ import annotations

from tuliptrack.interface import EndpointInfo, Role

__all__ = ["CapacityIndex"]

WEIGHT_UNITS = 2**30
"""Units per weight of 1. Weights are summed as integer numbers of units, so sums do not depend on the order
of changes."""
MIN_CAPACITY = 1e-6


class CapacityIndex:
    """Sums of listed weights, with one entry for each role and cell of the list."""

    def __init__(self) -> None:
        self._ready: dict[tuple[Role, int | None], int] = {}
        """Summed weights of the ready endpoints by role and cell; None stands for all cells."""
        self._known: dict[Role, tuple[int, int]] = {}
        """Summed weight and number of all known endpoints by role, ready or not."""
        self._most_ready = {Role.PREFILL: 0, Role.DECODE: 0}
        """By stage, the highest number of endpoints that were ready to serve it at any time so far."""

    def add_ready(self, role: Role, info: EndpointInfo) -> None:
        """Count an endpoint as ready."""
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
        """Replace the counted weight of a known endpoint."""
        self._change_known(role, _units(new) - _units(old), 0)

    def _change_known(self, role: Role, units: int, number: int) -> None:
        known, count = self._known.get(role, (0, 0))
        self._known[role] = (known + units, count + number)

    def note_ready_count(self, role: Role, count: int) -> None:
        """Record how many endpoints serve a stage (prefill or decode) after a change of the list."""
        self._most_ready[role] = max(self._most_ready[role], count)

    def capacity(self, role: Role, cell: int | None = None) -> float:
        """Return the summed weights of the ready endpoints of exactly this role, in all cells or in one."""
        return max(self._ready.get((role, cell), 0) / WEIGHT_UNITS, MIN_CAPACITY)

    def cell_share(self, role: Role, cell: int) -> float:
        """Return the share of a role's capacity that is in one cell."""
        return self.capacity(role, cell) / self.capacity(role)

    def endpoint_share(self, role: Role, weight: float) -> float:
        """Return the share of its stage's capacity that a ready endpoint contributes.

        The share is computed from the mean weight of the role and the highest number of endpoints that were
        ever ready, so it does not grow when other endpoints are removed. An endpoint of both roles
        contributes to both stages.
        """
        units, count = self._known[role]
        mean_weight = (units / WEIGHT_UNITS or 1.0) / count
        most_ready = max(
            number for stage, number in self._most_ready.items() if role in (stage, Role.PREFILL_AND_DECODE)
        )
        return weight / mean_weight / most_ready


def _units(weight: float) -> int:
    return round(weight * WEIGHT_UNITS)
