"""Handles the end of an attempt: updates the request state and the lease, and notifies the router.

An engine client reports the status of one call. The router needs the status of the stage: a prefill call that
succeeded without leaving a KV state is an error, and so is a decode call that succeeded without its last
token.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack import interface as io
from tuliptrack.fronts.port import Failure
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.final_answers import FinalAnswers
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, RequestRecord

__all__ = ["AttemptEndHandler"]

MAY_HAVE_PREFILLED = (io.Status.CANCELLED, io.Status.TIMEOUT, io.Status.RESET)
"""Statuses of a prefill that do not show whether it has left a KV state."""


@dataclass(frozen=True, slots=True)
class StageResult:
    """The result of a stage of a request, as reported to the router."""

    status: io.Status
    is_state_lost: bool


class AttemptEndHandler:
    """Handles the ends of all attempts of a node."""

    def __init__(self, core: CoreState, answers: FinalAnswers) -> None:
        self._core = core
        self._answers = answers

    def handle(self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult) -> None:
        """Handle the end of an attempt, unless the request no longer has this attempt in flight."""
        if record.attempt is not attempt:
            return
        core = self._core
        core.timers.cancel(attempt.timer)
        core.timers.cancel(attempt.window_timer)
        record.attempt = None
        record.pending_events += 1
        latency_us = core.now() - attempt.sent_at_us
        core.leases.handle_attempt_ended(record, attempt, attempt_result)
        stage_result = self._conclude_stage(record, attempt, attempt_result)
        reason = f" ({attempt_result.reason})" if attempt_result.reason else ""
        record.trace.add(core.now(), f"{stage_result.status.value} {attempt.number}{reason}")
        if not record.executed_at_us and stage_result.status.may_have_executed(attempt.is_prefill):
            record.executed_at_us = attempt.sent_at_us
        cross_zone_bytes = core.cross_zone_bytes(record, attempt, attempt_result)
        if attempt.is_prefill and record.kv_state is None and stage_result.status in MAY_HAVE_PREFILLED:
            core.leases.handle_broken_prefill(record, attempt)
        core.dispatch(
            self._attempt_ended_event(
                record, attempt, attempt_result, stage_result, latency_us, cross_zone_bytes
            )
        )
        core.remove_if_finished(record)

    @staticmethod
    def _attempt_ended_event(
        record: RequestRecord,
        attempt: Attempt,
        attempt_result: AttemptResult,
        stage_result: StageResult,
        latency_us: int,
        cross_zone_bytes: float,
    ) -> io.AttemptEnded:
        has_succeeded = stage_result.status in (io.Status.OK, io.Status.PREFILLED)
        return io.AttemptEnded(
            record.id,
            attempt.number,
            attempt.endpoint_id,
            stage_result.status,
            latency_us,
            is_final=record.is_concluded,
            cached_tokens=record.cached_tokens if has_succeeded else 0,
            is_state_lost=stage_result.is_state_lost,
            load_report=attempt_result.load_report,
            cross_zone_bytes=cross_zone_bytes,
            is_connection_only=attempt_result.is_connection_only,
        )

    def _conclude_stage(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> StageResult:
        """Update the state of the request after the end of its attempt."""
        if attempt_result.is_invalid_request:
            self._answers.fail(record, Failure.INVALID, attempt_result.reason)
            return StageResult(attempt_result.status, attempt_result.is_state_lost)
        if record.is_concluded:
            return self._conclude_after_final_answer(record, attempt, attempt_result)
        if attempt.is_prefill:
            return self._conclude_prefill(record, attempt_result)
        if record.state is RequestState.DECODING:
            return self._conclude_decode_without_token(record, attempt, attempt_result)
        return self._conclude_stream(record, attempt_result)

    @staticmethod
    def _conclude_after_final_answer(
        record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> StageResult:
        """Conclude an attempt that ended after its request had its final answer.

        A prefill that succeeded has left a state that is still to be released.
        """
        has_left_state = (
            record.kv_state is not None
            and record.kv_state.endpoint_id == attempt.endpoint_id
            and attempt_result.status is io.Status.OK
        )
        return StageResult(
            io.Status.PREFILLED if has_left_state else attempt_result.status, attempt_result.is_state_lost
        )

    @staticmethod
    def _conclude_prefill(record: RequestRecord, attempt_result: AttemptResult) -> StageResult:
        status = attempt_result.status
        if status is io.Status.OK:
            status = io.Status.PREFILLED if record.kv_state else io.Status.ERROR
        if status is io.Status.PREFILLED:
            record.prefills += 1
            record.enter(RequestState.PREFILLED)
        else:
            record.enter(RequestState.ACCEPTED)
        return StageResult(status, attempt_result.is_state_lost)

    def _conclude_decode_without_token(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> StageResult:
        """Conclude a decode that ended before its first token.

        Either the KV state stays reserved, or the prompt has to be prefilled again.
        """
        is_state_lost = self._core.leases.handle_decode_without_token(record, attempt, attempt_result)
        record.enter(RequestState.PREFILLED if record.kv_state else RequestState.ACCEPTED)
        return StageResult(_unless_complete(attempt_result.status), is_state_lost)

    def _conclude_stream(self, record: RequestRecord, attempt_result: AttemptResult) -> StageResult:
        if record.finish_reason:
            if record.conclude(RequestState.SERVED, record.finish_reason.value):
                record.response.served()
            return StageResult(io.Status.OK, attempt_result.is_state_lost)
        status = _unless_complete(attempt_result.status)
        reason = f"the stream broke: {attempt_result.reason or status.value}"
        self._answers.fail(record, Failure.BROKEN, reason)
        return StageResult(status, attempt_result.is_state_lost)


def _unless_complete(status: io.Status) -> io.Status:
    """Return the status of an incomplete stage: if its call ended with `OK`, the stage is an error."""
    return io.Status.ERROR if status is io.Status.OK else status
