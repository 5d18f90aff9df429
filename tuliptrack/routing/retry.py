"""Decides what follows an attempt that has ended: a retry elsewhere, at the same endpoint, or none.

A retry excludes the endpoint that failed. Only where nothing but the connection of the attempt failed may the
next one go to the same endpoint, as its prompt is cached there; a decode endpoint that could not be connected
to is excluded all the same. No retry follows a rejection while many attempts at the role are rejected, since
the load of retries would only delay all.
"""

from __future__ import annotations

from tuliptrack.interface import AttemptEnded, Role, Status
from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["Retry"]

MAX_CONNECTION_ONLY_RETRIES = 2
"""Failures of only a connection, of one request at any endpoints, after which the endpoint is excluded."""
MAX_REJECTION_SHARE = 0.4
"""Share of attempts rejected at once above which a rejected request is not offered to another endpoint."""


class Retry:
    """The retry policy of one node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def record_end(self, request: InFlightRequest, endpoint: Endpoint, ended: AttemptEnded) -> None:
        """Update where the request may go next."""
        request.connection_failures += ended.is_connection_only
        may_return = ended.is_connection_only and request.connection_failures <= MAX_CONNECTION_ONLY_RETRIES
        decode_endpoints = len(self._state.table.ready(Role.DECODE))
        request.exclude_after(endpoint, ended.status, may_return, decode_endpoints)

    @staticmethod
    def may_continue(endpoint: Endpoint, ended: AttemptEnded) -> bool:
        """Whether the next stage or a retry may follow an attempt."""
        if ended.status is Status.ABANDONED:
            return False
        is_role_overloaded = endpoint.statistics.rejection_share > MAX_REJECTION_SHARE
        return not (ended.status is Status.AT_CAPACITY and is_role_overloaded)
