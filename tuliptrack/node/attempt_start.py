"""Starts attempts: checks whether one may begin now, and sets its connection deadline and its timeout.

An attempt never runs past the client's deadline unless its answer has begun.
"""

from __future__ import annotations

from tuliptrack import interface as io
from tuliptrack.node.attempt_state import Verdict, may_have_executed, may_retry, may_send, retry_by_us
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.state.endpoint import Endpoint

__all__ = ["AttemptStarter"]

ROUTER_FAULTS = (Verdict.ATTEMPT_IN_FLIGHT, Verdict.MAY_HAVE_EXECUTED)
"""Verdicts that a `SendAttempt` of a correct router never gets: each is counted as a violated invariant."""


class AttemptStarter:
    """Carries out `SendAttempt` actions, and ends attempts that time out."""

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
        record.pending_events += 1  # Keeps the record in the table while `check` handles a client disconnect.
        verdict = self.check(record, action.endpoint_id, is_in_flight=record.attempt is not None)
        record.pending_events -= 1
        if verdict and has_address and endpoint:
            self._start(record, attempt, endpoint, action)
        else:
            self._report_not_sent(record, attempt, has_address)

    def check(self, record: RequestRecord, endpoint_id: int, is_in_flight: bool) -> Verdict:
        """Decide whether an attempt may begin at an endpoint now.

        The operating system may know that the client has disconnected before the event loop does. In that
        case the core is notified here.
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
        """Handle the timeout of an attempt."""
        if not attempt.call or record.attempt is not attempt or record.state is RequestState.STREAMING:
            return
        if attempt.ends_at_deadline:
            self._core.clock.advance_to(record.deadline_us)
        attempt.call.cancel(io.Status.TIMEOUT)

    def _count_not_sent(self, record: RequestRecord, endpoint_id: int, verdict: Verdict) -> None:
        core = self._core
        name = verdict.name.lower()
        record.trace.add(core.now(), f"not sent to {endpoint_id}: {verdict.value}")
        core.counters.add(f"not_sent_{name}")
        if verdict in ROUTER_FAULTS:
            call_id = record.client_request.call_id
            core.counters.record_violation(name, record.trace, request=record.id, call_id=call_id)

    def _report_not_sent(self, record: RequestRecord, attempt: Attempt, has_address: bool) -> None:
        is_address_missing = not has_address and not record.is_concluded
        status = io.Status.CONNECT_FAILED if is_address_missing else io.Status.ABANDONED
        record.pending_events += 1
        event = io.AttemptEnded(
            record.id, attempt.number, attempt.endpoint_id, status, 0, record.is_concluded
        )
        self._core.defer(event)

    def _start(
        self, record: RequestRecord, attempt: Attempt, endpoint: Endpoint, action: io.SendAttempt
    ) -> None:
        time_left_us = record.deadline_us - attempt.sent_at_us
        attempt.connect_by_us = self._connect_by_us(record)
        if record.kv_state:
            attempt.state_endpoint_id = record.kv_state.endpoint_id
        attempt.ends_at_deadline = not action.timeout_us or action.timeout_us >= time_left_us
        timeout_us = max(time_left_us if attempt.ends_at_deadline else action.timeout_us, 1)
        attempt.is_prefill = endpoint.role is io.Role.PREFILL
        record.attempt = attempt
        record.endpoint_ids.append(action.endpoint_id)
        record.enter(RequestState.PREFILLING if attempt.is_prefill else RequestState.DECODING)
        stage = "prefill" if attempt.is_prefill else "decode"
        record.trace.add(attempt.sent_at_us, f"{stage} {attempt.number} at {action.endpoint_id}")
        attempt.call = self._core.engines.start(record, attempt, timeout_us)
        attempt.timer = self._core.timers.call_later(timeout_us, self.expire, record, attempt)
        self._limit_to_window(record, attempt)
        self._core.attempt_sent(record, attempt, action)

    def _limit_to_window(self, record: RequestRecord, attempt: Attempt) -> None:
        """Cancel the attempt at the end of its deduplication window, unless its last byte is written by then.

        Otherwise an engine that hangs in the middle of receiving a repeat, and reads on after the window,
        would take it for a new request: the effect would take place twice.
        """
        if window_end_us := self._window_end_us(record):
            left_us = max(window_end_us - attempt.sent_at_us, 0)
            attempt.window_timer = self._core.timers.call_later(left_us, self._end_window, record, attempt)

    @staticmethod
    def _end_window(record: RequestRecord, attempt: Attempt) -> None:
        attempt.window_timer = None
        call = attempt.call
        if record.attempt is attempt and call and not may_have_executed(call.delivery()):
            call.cancel(io.Status.TIMEOUT)

    def _window_end_us(self, record: RequestRecord) -> int:
        """Return the time by which a repeat has to be written; 0 if there is no limit."""
        request_class = self._core.class_of(record)
        return retry_by_us(
            request_class.idempotency, record.executed_at_us, request_class.deduplication_window_us
        )

    def _connect_by_us(self, record: RequestRecord) -> int:
        """Return the time by which an attempt needs its connection; 0 if there is no limit.

        After that time the lease of its KV state has expired, or an engine would treat a retry as a new
        request: the deduplication window counts from the earliest time at which an attempt may have executed.
        """
        lease_end_us = self._core.leases.connect_by_us(record)
        limits_us = [limit_us for limit_us in (lease_end_us, self._window_end_us(record)) if limit_us]
        return min(limits_us, default=0)
