"""Populations of simulated engines, in the formats of the platform's discovery and of the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tuliptrack.interface import EndpointInfo, RequestClass, Role, Settings, Tenant

__all__ = ["KINDS", "ROLES", "Population", "node_settings"]

KINDS = ("reads", "writes")
ROLES = (Role.PREFILL, Role.DECODE)
REQUESTS_PER_S = 2_500.0  # peak of the whole fleet
PORTS = (20_000, 40_000)  # simulated engines are listed under these ports; no connection is made to them


@dataclass(frozen=True, slots=True)
class Population:
    """Engines spread evenly over zones and cells; by default every fourth is a prefill engine."""

    engines: int
    zones: int = 8
    cells: int = 200
    prefill_every: int = 4

    def __post_init__(self) -> None:
        if self.engines < 2 * self.prefill_every:
            raise ValueError(f"engines: at least {2 * self.prefill_every}, got {self.engines}")
        if not 1 <= self.zones <= self.engines:
            raise ValueError(f"zones: must lie in [1, {self.engines}], got {self.zones}")

    def kind(self, number: int) -> int:
        """Return the index into `KINDS` of an engine."""
        return 0 if number % self.prefill_every == 0 else 1

    def zone(self, number: int) -> int:
        """Return the zone of an engine; prefill and decode engines are spread alike."""
        return number // self.prefill_every % self.zones

    def cell(self, number: int) -> int:
        """Return the cell (rack) of an engine."""
        return number // self.prefill_every % min(self.cells, self.engines // self.prefill_every)

    def servers(self) -> tuple[EndpointInfo, ...]:
        """Return all engines as the decision module receives them, numbered from 1."""
        return tuple(self.server(n) for n in range(self.engines))

    def server(self, number: int, **changes: Any) -> EndpointInfo:
        """Return an engine as the decision module receives it, with `changes` to its fields."""
        values: dict[str, Any] = {
            "kind": self.kind(number),
            "cell": self.cell(number),
            "zone": self.zone(number),
        }
        return EndpointInfo(number + 1, **(values | changes))

    def member(self, number: int, **changes: Any) -> dict[str, Any]:
        """Return the entry of an engine in the platform's list, with `changes` to its fields."""
        first, last = PORTS
        entry = {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{first + number % (last - first)}",
            "locality": f"zone-{self.zone(number)}",
            "flavor": KINDS[self.kind(number)],
            "cell": self.cell(number),
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
        }
        return entry | changes

    def members(self) -> list[dict[str, Any]]:
        """Return the platform's whole list."""
        return [self.member(n) for n in range(self.engines)]

    def in_zone(self, zone: int) -> list[int]:
        """Return the numbers of the engines of one zone."""
        return [n for n in range(self.engines) if self.zone(n) == zone]


def node_settings(replicas: int, slot: int = 0, tenants: int = 450) -> Settings:
    """Return the settings of one node of a hollow fleet. Times are microseconds."""
    return Settings(
        replicas=replicas,
        replica_index=slot,
        roles=ROLES,
        max_attempts=4,
        may_cancel=True,
        may_send_retry_after=True,
        classes=(
            RequestClass(
                "chat",
                1.0,
                540_000,
                5_000_000,
                objective_us_per_1000_tokens=60_000.0,
                inter_token_objective_us=70_000.0,
            ),
            RequestClass(
                "batch",
                2.0,
                1_200_000,
                12_000_000,
                objective_us_per_1000_tokens=60_000.0,
                inter_token_objective_us=70_000.0,
            ),
        ),
        tenants=tuple(Tenant(f"t{n}", 1 / tenants, 1.3 * REQUESTS_PER_S / tenants) for n in range(tenants)),
        over_quota_weight_factor=0.1,
        drain_grace_us=500_000,
        slow_start_us=12_000_000,
        slow_start_initial_share=0.25,
        slow_start_overload_factor=2.5,
        slow_start_window_us=3_000_000,
        max_retry_after_us=2_000_000,
        report_fields=("in_flight", "memory_share", "tokens_waiting_k"),
    )
