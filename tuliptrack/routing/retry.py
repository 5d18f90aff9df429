"""Decides whether a failed attempt is retried, and whether the retry may go to the same endpoint.

A retry does not go to the endpoint that failed, with one exception: if only the connection of the attempt
failed, the next attempt may go to the same endpoint, because the prompt is cached there; a decode endpoint to
which no connection could be made is excluded in any case. A rejection is not retried while many attempts at
the role are rejected, because the load of retries would delay all requests.
"""

from __future__ import annotations

from tuliptrack.interface import AttemptEnded, Role, Status
from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["Retry"]

MAX_CONNECTION_ONLY_RETRIES = 2
"""Number of connection-only failures of a request, over all endpoints, up to which the endpoint of the last
failure is not excluded."""
MAX_REJECTION_SHARE = 0.4
"""Share of early rejections among a role's attempts above which rejected requests are not retried."""


class Retry:
    """The retry policy of one node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def record_end(self, request: InFlightRequest, endpoint: Endpoint, ended: AttemptEnded) -> None:
        """Update which endpoints the request's next attempt may be sent to."""
        request.connection_failures += ended.is_connection_only
        may_return = ended.is_connection_only and request.connection_failures <= MAX_CONNECTION_ONLY_RETRIES
        decode_endpoints = len(self._state.table.ready(Role.DECODE))
        request.exclude_after(endpoint, ended.status, may_return, decode_endpoints)

    @staticmethod
    def may_continue(endpoint: Endpoint, ended: AttemptEnded) -> bool:
        """Whether the next stage or a retry may follow an attempt that has ended."""
        if ended.status is Status.ABANDONED:
            return False
        is_role_overloaded = endpoint.statistics.rejection_share > MAX_REJECTION_SHARE
        return not (ended.status is Status.AT_CAPACITY and is_role_overloaded)
