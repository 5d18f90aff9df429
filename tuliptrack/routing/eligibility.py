"""Decides which endpoints a request may be sent to now.

An endpoint is eligible if it has not rejected or failed the request, if an attempt there cannot repeat the
effect of an earlier attempt, and if the endpoint is warm or has an open slow-start slot. Usable endpoints are
preferred: those that are not ejected for such requests, and whose zone may get the request while traffic to
recovered zones is ramped up. Other eligible endpoints are used only if none is usable.
"""

from __future__ import annotations

from collections.abc import Iterable

from tuliptrack.interface import Idempotency, Role
from tuliptrack.routing.idempotency import may_send_to
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outlier_detection import OutlierDetection
from tuliptrack.routing.slow_start import SlowStart
from tuliptrack.state.candidates import Candidates
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["Eligibility"]


class Eligibility:
    """Combines the conditions that the other modules set for sending a request to an endpoint."""

    def __init__(
        self, state: NodeState, slow_start: SlowStart, locality: Locality, outliers: OutlierDetection
    ) -> None:
        self._state, self._slow_start = state, slow_start
        self._locality, self._outliers = locality, outliers

    def is_usable(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether an endpoint is preferred among the eligible ones."""
        if self._locality.is_recovering and not self._locality.admits(endpoint, request):
            return False
        return not endpoint.ejections or self._outliers.is_usable(endpoint, request)

    def candidates(self, role: Role, request: InFlightRequest) -> Candidates:
        """Return all eligible endpoints of a role for a request; only the usable ones if there are any."""
        state, ready = self._state, self._state.table.ready(role)
        warming_up = state.table.started_since(role, state.now_us - state.settings.slow_start_us)
        excluded = {endpoint_id for endpoint_id in request.excluded if endpoint_id in ready}
        excluded.update(
            [
                endpoint.info.id
                for endpoint in warming_up
                if endpoint.no_slot_before_us > state.now_us
                or self._slow_start.slot_for(endpoint, request) is None
            ]
        )
        if self._is_restricted_by_execution(request):
            excluded.update(
                [endpoint.info.id for endpoint in ready if not may_send_to(request, endpoint, state.now_us)]
            )
        examined = ready if self._locality.is_recovering else state.table.ejected(role)
        unusable = {
            endpoint.info.id for endpoint in examined if not self.is_usable(endpoint, request)
        } | excluded
        if len(unusable) < len(ready):
            excluded = unusable
        return Candidates(
            ready, excluded, [endpoint for endpoint in warming_up if endpoint.info.id not in excluded]
        )

    def first_eligible(
        self, endpoints: Iterable[Endpoint], request: InFlightRequest, limit: int
    ) -> list[Endpoint]:
        """Return the first `limit` eligible endpoints for a request; only usable ones if there are any."""
        usable: list[Endpoint] = []
        unusable: list[Endpoint] = []
        for endpoint in endpoints:
            if not self._is_eligible(endpoint, request):
                continue
            (usable if self.is_usable(endpoint, request) else unusable).append(endpoint)
            if len(usable) == limit:
                break
        return usable or unusable[:limit]

    def _is_eligible(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        return (
            endpoint.info.id not in request.excluded
            and may_send_to(request, endpoint, self._state.now_us)
            and self._slow_start.slot_for(endpoint, request) is not None
        )

    @staticmethod
    def _is_restricted_by_execution(request: InFlightRequest) -> bool:
        """Whether an earlier attempt restricts where the next one may be sent."""
        if request.first_execution is None:
            return False
        return request.request_class.idempotency is not Idempotency.IDEMPOTENT
