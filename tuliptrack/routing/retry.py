"""Decides what follows an attempt that has ended: a retry elsewhere, at the same endpoint, or none.

Every retry excludes the endpoint that failed. There are two exceptions. An attempt whose own connection alone
failed may go to the same endpoint again, as its prompt is cached there. After a rejection at a time when most
endpoints of the role reject, no other endpoint is tried, since the load of retries would only delay all.
"""

from __future__ import annotations

from tuliptrack.interface import AttemptEnded, Role, Status
from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["Retry"]

MAX_SAME_ENDPOINT_RETRIES = 2
"""Retries of one request at an endpoint to which only a connection has failed."""
MAX_REJECTION_SHARE = 0.4
"""Share of attempts rejected at once above which a rejected request is not offered to another endpoint."""


class Retry:
    """The retry policy of one node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def record_end(self, request: InFlightRequest, endpoint: Endpoint, ended: AttemptEnded) -> None:
        """Update where the request may go next."""
        request.connection_failures += ended.is_connection_only
        may_return = ended.is_connection_only and request.connection_failures <= MAX_SAME_ENDPOINT_RETRIES
        decode_endpoints = len(self._state.table.ready(Role.DECODE))
        request.exclude_after(endpoint, ended.status, may_return, decode_endpoints)

    @staticmethod
    def may_continue(endpoint: Endpoint, ended: AttemptEnded) -> bool:
        """Whether the next stage or a retry may follow an attempt."""
        if ended.status is Status.ABANDONED:
            return False
        is_jammed = endpoint.statistics.rejection_share > MAX_REJECTION_SHARE
        return not (ended.status is Status.AT_CAPACITY and is_jammed)
