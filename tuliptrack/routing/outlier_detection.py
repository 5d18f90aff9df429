"""Decides which endpoints are ejected, when an ejected one is checked, and when it is restored.

A failed attempt ejects an endpoint for the requests that share the cause:

- A connection that breaks or is not established ejects the endpoint for all requests. If only the
  connection of the attempt failed, it takes `MAX_CONNECTION_FAILURES` such failures in a row.
- An error or a time-out ejects the endpoint for the request class.
- An early rejection shows a lack of capacity, and ejects the endpoint for all requests; a late rejection
  shows throttling, and ejects the endpoint for the tenant.

An ejected endpoint is used only if no other is left, or for one attempt when a health check is due. That
attempt is a client's request (as in the half-open state of a circuit breaker), not a `CheckHealth`. The check
interval doubles with each failure. An answer restores the endpoint for requests with the same cause; a new
start time, which means a new process, restores it for all requests. Times are microseconds.
"""

from __future__ import annotations

from tuliptrack.interface import AttemptEnded, Status
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outbox import Outbox
from tuliptrack.state.ejection import ALL_REQUESTS, SLOW_STREAMS, Ejection, EjectionScope
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["OutlierDetection", "ejected_condition"]

CHECK_INTERVAL_US = 700_000
"""Interval before the first health-check attempt. It is doubled with each further failure, then jittered."""
CHECK_INTERVAL_REQUESTS = 20
"""Minimum interval between health checks, before jitter, as the number of requests that this node receives
meanwhile. Each check delays a request."""
MAX_CHECK_INTERVAL_US = 15_000_000
"""Maximum interval between health checks, before jitter. A longer interval would leave a recovered endpoint
unused."""
EARLY_REJECTION_SHARE = 0.08
"""Share of the latency objective up to which a rejection counts as early. An early rejection shows a lack of
capacity, a later one throttling."""
MAX_CONNECTION_FAILURES = 4
"""Number of consecutive connection-only failures, with no answer in between, that eject the endpoint."""
CONNECTION_STATUSES = (Status.CONNECT_FAILED, Status.RESET)
"""Statuses that are caused by the connection, not by the service behind it."""


def ejected_condition(endpoint_id: int) -> str:
    """Return the log text for the condition that an endpoint is ejected for some requests."""
    return f"endpoint {endpoint_id} ejected"


class OutlierDetection:
    """Ejects and restores endpoints based on the attempts of this node."""

    def __init__(self, state: NodeState, outbox: Outbox, locality: Locality) -> None:
        self._state, self._outbox, self._locality = state, outbox, locality

    def is_usable(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether a request may be sent to an endpoint.

        The request may be sent if, in each of its scopes, the endpoint is not ejected or a health-check
        attempt is due.

        Ejections for slow streams are ignored while this node sheds load, because even a slow endpoint is
        needed then.
        """
        if not endpoint.ejections:
            return True
        scopes: tuple[EjectionScope, ...] = request.ejection_scopes
        if not self._state.is_shedding:
            scopes = (SLOW_STREAMS, *scopes)
        now_us, ejections = self._state.now_us, endpoint.ejections
        return all(now_us >= ejections[scope].next_check_at_us for scope in scopes if scope in ejections)

    def record_attempt(self, endpoint: Endpoint, request: InFlightRequest) -> None:
        """Record that an attempt is sent, which at an ejected endpoint is the health check that was due."""
        if not endpoint.ejections:
            return
        for scope in (SLOW_STREAMS, *request.ejection_scopes):
            if ejection := endpoint.ejections.get(scope):
                ejection.next_check_at_us = self._state.now_us + self.check_interval_us(ejection.failures)

    def record_failure(self, endpoint: Endpoint, ended: AttemptEnded, request: InFlightRequest) -> None:
        """Record an attempt that failed before its stream began."""
        all_requests, request_class, tenant = request.ejection_scopes
        statistics, now_us = endpoint.statistics, self._state.now_us
        if ended.status in CONNECTION_STATUSES:
            endpoint.connection_failures += 1
            if not ended.is_connection_only or endpoint.connection_failures >= MAX_CONNECTION_FAILURES:
                self._record_ejection(endpoint, all_requests, request.sent_at_us)
        elif ended.status is Status.ERROR or (
            ended.status is Status.TIMEOUT and now_us < request.deadline_us
        ):
            request.unanswered_attempts += 1
            statistics.record_end(now_us, timeout_or_error=1.0)
            self._record_ejection(endpoint, request_class, request.sent_at_us)
        elif ended.status is Status.AT_CAPACITY and not ended.is_state_lost:
            is_early = ended.latency_us < EARLY_REJECTION_SHARE * request.latency_objective_us
            statistics.record_end(now_us, rejection=float(is_early))
            self._record_ejection(endpoint, all_requests if is_early else tenant, request.sent_at_us)

    def record_success(self, endpoint: Endpoint, request: InFlightRequest) -> None:
        """Record an answer, which restores the endpoint for the request's ejection scopes."""
        endpoint.connection_failures = 0
        for scope in request.ejection_scopes if endpoint.ejections else ():
            if endpoint.ejections.pop(scope, None) and scope == ALL_REQUESTS:
                self._locality.observe_zones()
        if not endpoint.ejections:
            self._outbox.announce(ejected_condition(endpoint.id), False)

    def check_interval_us(self, failures: int) -> int:
        """Return the jittered time, in microseconds, until the next health-check attempt."""
        backoff_us = CHECK_INTERVAL_US * 2 ** (failures - 1)
        requests_us = CHECK_INTERVAL_REQUESTS * self._state.arrival_gap_us
        interval_us = min(max(backoff_us, requests_us), MAX_CHECK_INTERVAL_US)
        return int(interval_us * (0.5 + self._state.random.random()))

    def eject(self, endpoint: Endpoint, scope: EjectionScope, failures: int) -> None:
        """Eject an endpoint for a scope until its next health check."""
        now_us = self._state.now_us
        check_at_us = now_us + self.check_interval_us(failures)
        self._state.table.eject(endpoint, scope, Ejection(failures, now_us, check_at_us))

    def _record_ejection(self, endpoint: Endpoint, scope: EjectionScope, sent_at_us: int) -> None:
        previous = endpoint.ejections.get(scope)
        if previous and sent_at_us < previous.failed_at_us:
            return  # When a process dies, many attempts fail at once; all of them count as one failure.
        self.eject(endpoint, scope, previous.failures + 1 if previous else 1)
        if scope == ALL_REQUESTS:
            self._locality.observe_zones()
        self._outbox.announce(ejected_condition(endpoint.id), True)
