"""Decides what traffic may cross zones, and how fast a recovered zone gets its traffic back.

The module has an effect only if `zone_budgets` are set; otherwise no zone is remote and nothing has a price.
Budgets and recovery ramps are implemented in `decisions/cross_zone_budget.py` and
`decisions/zone_recovery.py`; this module applies them to endpoints and requests. Sizes are bytes.
"""

from __future__ import annotations

from tuliptrack.decisions.cross_zone_budget import CrossZoneBudgets
from tuliptrack.decisions.zone_recovery import ZoneRecovery
from tuliptrack.interface import CrossZoneCause, EndpointState, Role
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outbox import Outbox
from tuliptrack.state.ejection import ALL_REQUESTS
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest
from tuliptrack.structures.rendezvous import mix

__all__ = ["Locality"]


class Locality:
    """One node's view of zones."""

    def __init__(self, state: NodeState, outbox: Outbox, budgets: CrossZoneBudgets | None) -> None:
        """Create the zone view of one node.

        Args:
            state: the shared state of the node.
            outbox: receives log lines about lost and recovered zones.
            budgets: the budgets of cross-zone traffic, shared by the node's routers of all models; None if
                cross-zone traffic is not budgeted.
        """
        self._state, self._outbox = state, outbox
        self.budgets = budgets
        self._recovery = ZoneRecovery()
        classes = state.settings.classes
        self._max_priority_weight = max(request_class.priority_weight for request_class in classes)

    @property
    def is_budgeted(self) -> bool:
        """Whether cross-zone traffic is budgeted."""
        return self.budgets is not None

    @property
    def is_recovering(self) -> bool:
        """Whether the traffic of some zone is being ramped up again."""
        return self.budgets is not None and self._recovery.is_ramping_up

    def is_remote(self, endpoint: Endpoint) -> bool:
        """Whether cross-zone traffic is budgeted and an endpoint is in another zone."""
        return self.budgets is not None and endpoint.info.zone != self._state.settings.zone

    def admits(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether a request may be sent to the endpoint's zone while traffic to some zone is ramped up."""
        if request.ignores_recovery_ramp:
            return True
        position = mix(request.request.session) / 2**64
        return self._recovery.admits(self._state.now_us, endpoint.info.zone, endpoint.role, position)

    def price(self, request: InFlightRequest, zone: int, is_decode: bool) -> float:
        """Return the price of an attempt in a zone; 0 if no bytes cross zones.

        Prefill placement raises a score by this share of it; decode placement raises a load by this multiple
        of the mean load.
        """
        if self.budgets is None:
            return 0.0
        size = self._crossing_bytes(self.budgets, request, zone, is_decode)
        relative_weight = request.request_class.priority_weight / self._max_priority_weight
        return self.budgets.price(self._state.now_us, request.request.class_index, size, relative_weight)

    def record_arrival(self) -> None:
        """Record that a request has arrived; some budgets are refilled by arrivals."""
        if self.budgets:
            self.budgets.record_arrival(self._state.now_us)

    def reserve(self, request: InFlightRequest, endpoint: Endpoint) -> CrossZoneCause | None:
        """Reserve the bytes that an attempt may move between zones.

        Returns:
            The cause to which the bytes are charged, or None if nothing is charged.
        """
        if self.budgets is None:
            return None
        is_decode = endpoint.role is not Role.PREFILL
        size = self._crossing_bytes(self.budgets, request, endpoint.info.zone, is_decode)
        is_retry = bool(request.excluded)
        return self.budgets.reserve(
            self._state.now_us, request.request.request_id, request.request.class_index, size, is_retry
        )

    def settle(self, request_id: int, moved_bytes: float) -> None:
        """Settle an attempt's reservation by the bytes that it has moved."""
        if self.budgets:
            self.budgets.settle(self._state.now_us, request_id, moved_bytes)

    def apply_list_update(self) -> None:
        """Start the budgets if necessary and compare the zones after a change of the endpoint list."""
        if self.budgets:
            self.budgets.start(self._state.now_us)
        self.observe_zones()

    def observe_zones(self) -> None:
        """Update the zones' state from their usable endpoints; log zones that were lost or have recovered."""
        endpoints = self._state.table.endpoints.values()
        if self.budgets is None or len({endpoint.info.zone for endpoint in endpoints}) <= 1:
            return
        usable = [
            (endpoint.info.zone, endpoint.role)
            for endpoint in endpoints
            if endpoint.info.state is EndpointState.READY and ALL_REQUESTS not in endpoint.ejections
        ]
        for change in self._recovery.observe(self._state.now_us, usable):
            self._outbox.log(str(change))

    def _crossing_bytes(
        self, budgets: CrossZoneBudgets, request: InFlightRequest, zone: int, is_decode: bool
    ) -> float:
        """Return the bytes that an attempt would move between zones: prompt, KV state and answer."""
        holder_zone = request.kv_holder.info.zone if request.kv_holder and is_decode else None
        return budgets.crossing_bytes(request.request, zone, holder_zone, is_decode, request.projected_tokens)
