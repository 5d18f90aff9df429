"""Starts attempts: whether one may begin now, by when it needs its connection, and when it times out.

An attempt never outlives the deadline of its client, unless it has begun to answer.
"""

from __future__ import annotations

from tuliptrack import interface as io
from tuliptrack.node.attempt_state import Verdict, may_retry, may_send, retry_by_us
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.state.endpoint import Endpoint

__all__ = ["AttemptStarter"]

ROUTER_FAULTS = (Verdict.ATTEMPT_IN_FLIGHT, Verdict.MAY_HAVE_EXECUTED)
"""Verdicts that no `SendAttempt` of a router should meet: each is counted as a violated invariant."""


class AttemptStarter:
    """Carries out `SendAttempt`, and ends attempts that time out."""

    def __init__(self, core: CoreState) -> None:
        self._core = core

    def send(self, action: io.SendAttempt) -> None:
        """Start an attempt, or report to the router that it was not sent."""
        record = self._core.table.open.get(action.request_id)
        now_us = self._core.now()
        if record is None:
            return
        attempt = Attempt(record.attempt_count, action.endpoint_id, now_us)
        record.attempt_count += 1
        endpoint = record.router.endpoints.get(action.endpoint_id)
        has_address = self._core.engines.has_address(action.endpoint_id)
        record.pending_events += 1  # Keeps the record while the disconnection of its client is handled.
        verdict = self.check(record, action.endpoint_id, is_in_flight=record.attempt is not None)
        record.pending_events -= 1
        if verdict and has_address and endpoint:
            self._start(record, attempt, endpoint, action)
        else:
            self._report_not_sent(record, attempt, has_address)

    def check(self, record: RequestRecord, endpoint_id: int, is_in_flight: bool) -> Verdict:
        """Decide whether an attempt may begin at an endpoint now.

        The operating system may know that the client has left before the event loop does: the core is told
        then.
        """
        endpoint = record.router.endpoints.get(endpoint_id)
        verdict = may_send(
            is_concluded=record.is_concluded,
            is_client_disconnected=not record.is_concluded and record.client_request.is_disconnected(),
            is_in_flight=is_in_flight,
            endpoint_state=endpoint.info.state if endpoint else None,
        )
        if verdict is Verdict.CLIENT_DISCONNECTED:
            self._core.client_disconnected(record, verdict.value)
        if verdict:
            request_class = self._core.class_of(record)
            verdict = may_retry(
                request_class.idempotency,
                record.executed_at_us,
                request_class.deduplication_window_us,
                self._core.now(),
            )
        if not verdict:
            self._count_not_sent(record, endpoint_id, verdict)
        return verdict

    def expire(self, record: RequestRecord, attempt: Attempt) -> None:
        """The time-out of an attempt is over."""
        if not attempt.call or record.attempt is not attempt or record.state is RequestState.STREAMING:
            return
        if attempt.ends_at_deadline:
            self._core.clock.put_forward(record.deadline_us)
        attempt.call.cancel(io.Status.TIMEOUT)

    def _count_not_sent(self, record: RequestRecord, endpoint_id: int, verdict: Verdict) -> None:
        core = self._core
        name = verdict.name.lower()
        record.trace.add(core.now(), f"not sent to {endpoint_id}: {verdict.value}")
        core.counters.add(f"not_sent_{name}")
        if verdict in ROUTER_FAULTS:
            call_id = record.client_request.call_id
            core.counters.violated(name, record.trace, request=record.id, call_id=call_id)

    def _report_not_sent(self, record: RequestRecord, attempt: Attempt, has_address: bool) -> None:
        is_address_missing = not has_address and not record.is_concluded
        status = io.Status.CONNECT_FAILED if is_address_missing else io.Status.ABANDONED
        record.pending_events += 1
        ended = io.AttemptEnded(
            record.id, attempt.number, attempt.endpoint_id, status, 0, record.is_concluded
        )
        self._core.defer(ended)

    def _start(
        self, record: RequestRecord, attempt: Attempt, endpoint: Endpoint, action: io.SendAttempt
    ) -> None:
        left_us = record.deadline_us - attempt.sent_at_us
        attempt.connect_by_us = self._connect_by_us(record)
        if record.kv_state:
            attempt.state_endpoint_id = record.kv_state.endpoint_id
        attempt.ends_at_deadline = not action.timeout_us or action.timeout_us >= left_us
        timeout_us = max(left_us if attempt.ends_at_deadline else action.timeout_us, 1)
        attempt.is_prefill = endpoint.role is io.Role.PREFILL
        record.attempt = attempt
        record.endpoint_ids.append(action.endpoint_id)
        record.enter(RequestState.PREFILLING if attempt.is_prefill else RequestState.DECODING)
        stage = "prefill" if attempt.is_prefill else "decode"
        record.trace.add(attempt.sent_at_us, f"{stage} {attempt.number} at {action.endpoint_id}")
        attempt.call = self._core.engines.start(record, attempt, timeout_us)
        attempt.timer = self._core.timers.call_later(timeout_us, self.expire, record, attempt)
        self._core.attempt_sent(record, attempt, action)

    def _connect_by_us(self, record: RequestRecord) -> int:
        """By when an attempt needs its connection; 0: at any time.

        Later the lease of its KV state is over, or an engine would take a retry for another request: its
        deduplication window counts from the earliest moment at which an attempt may have executed.
        """
        request_class = self._core.class_of(record)
        lease_over_us = self._core.leases.connect_by_us(record)
        window_over_us = retry_by_us(
            request_class.idempotency, record.executed_at_us, request_class.deduplication_window_us
        )
        moments_us = [moment_us for moment_us in (lease_over_us, window_over_us) if moment_us]
        return min(moments_us, default=0)
