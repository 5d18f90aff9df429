"""State that all routing decisions of one node share."""

from __future__ import annotations

from random import Random

from tuliptrack.interface import Role, Settings
from tuliptrack.state.demand import DemandStatistics
from tuliptrack.state.endpoint_table import EndpointTable
from tuliptrack.state.role_statistics import RoleStatistics
from tuliptrack.state.smoothing import smoothed

__all__ = ["SHEDDING_PERIOD_US", "NodeState"]

SHEDDING_PERIOD_US = 2_000_000
"""Time, in microseconds after the last shed request, for which this node still counts as shedding load."""


class NodeState:
    """Shared state of one node. Times are microseconds of the host's clock, which never goes backwards."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.now_us = 0
        """The time of the events that are being handled."""
        self.first_event_at_us = 0
        self.shed_at_us = -SHEDDING_PERIOD_US
        """When a request was last shed for lack of capacity."""
        self.table = EndpointTable(settings.roles, groups_by_zone=bool(settings.zone_budgets))
        self.are_in_flight_reported = "in_flight" in settings.report_fields
        """Whether load reports include the number of requests in flight."""
        self.demand = DemandStatistics()
        self.statistics = {
            (role, is_remote): RoleStatistics() for role in Role for is_remote in (False, True)
        }
        """Statistics by role, and by whether the endpoints are in remote zones. Without cross-zone budgets,
        no zone counts as remote."""
        self.total_quota_per_s = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.fleet_capacity_per_s = self.total_quota_per_s
        """Requests per second that the listed endpoints are provisioned for."""
        self.other_nodes_share = 1 - 1 / settings.replicas
        """Share of all traffic that other nodes handle, which this node cannot observe."""
        self.arrival_gap_us = 0.0
        """Smoothed time between two arriving requests."""
        self._arrived_at_us = 0

    def advance(self, now_us: int) -> None:
        """Set the time of the next events."""
        self.now_us = now_us
        self.first_event_at_us = self.first_event_at_us or now_us

    def record_arrival(self) -> None:
        """Record that a request has arrived: update the smoothed time between two arriving requests."""
        gap_us = self.now_us - (self._arrived_at_us or self.now_us)
        self.arrival_gap_us = smoothed(self.arrival_gap_us, gap_us)
        self._arrived_at_us = self.now_us

    @property
    def is_shedding(self) -> bool:
        """Whether a request was recently shed for lack of capacity."""
        return self.now_us - self.shed_at_us < SHEDDING_PERIOD_US

    def local_statistics(self, role: Role) -> RoleStatistics:
        """Return the statistics of a role in this zone, or in all zones without cross-zone budgets."""
        return self.statistics[role, False]
