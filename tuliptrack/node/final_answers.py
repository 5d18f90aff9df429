"""Gives requests their final answers: rejection, failure, a broken stream or its migration.

A request is rejected only if a retry by the client is harmless; otherwise it fails. A single rule decides
this (`routing/idempotency.py`): the router applies it before its own `Reject`, and this module at shutdown.
`RequestRecord.conclude` ensures that each request gets only one final answer. `end_request` gives up the
attempt of a request that needs nothing more.
"""

from __future__ import annotations

from tuliptrack import interface as io
from tuliptrack.fronts.port import Failure
from tuliptrack.node.attempt_state import may_have_executed
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.routing.idempotency import may_reject

__all__ = ["FinalAnswers"]


class FinalAnswers:
    """Gives the final answers of one node, and carries out `Reject`, `Fail` and `MigrateStream`."""

    def __init__(self, core: CoreState) -> None:
        self._core = core

    def reject(self, record: RequestRecord, reason: str, retry_after_us: int) -> None:
        """Reject the request unless it has its final answer; a rejection means that a retry is harmless."""
        if record.conclude(RequestState.REJECTED, reason):
            record.response.rejected(reason, retry_after_us)

    def fail(self, record: RequestRecord, failure: Failure, reason: str) -> None:
        """Fail the request, unless it has its final answer."""
        if record.conclude(RequestState.FAILED, reason):
            record.response.failed(failure, reason, record.next_index)

    def break_stream(self, record: RequestRecord, failure: Failure, reason: str, status: io.Status) -> None:
        """Fail a request whose stream has begun, and cancel its attempt with `status`."""
        attempt = record.attempt
        self.fail(record, failure, reason)
        if attempt and attempt.call:
            attempt.call.cancel(status)

    def handle_reject(self, action: io.Reject) -> None:
        """Carry out a `Reject` of a router."""
        if record := self._core.table.open.get(action.request_id):
            reason = "no attempt was possible in time" if record.attempt_count else "overload"
            self.reject(record, reason, self._core.cap_retry_after_us(action.retry_after_us))

    def handle_fail(self, action: io.Fail) -> None:
        """Carry out a `Fail` of a router."""
        if record := self._core.table.open.get(action.request_id):
            is_late = self._core.now() >= record.deadline_us
            reason = "no answer came by the deadline" if is_late else "attempts ended without an answer"
            self.fail(record, Failure.DEADLINE if is_late else Failure.LOST, reason)

    def handle_migrate(self, action: io.MigrateStream) -> None:
        """Carry out a `MigrateStream`: the client resumes the stream at another node.

        A client that has no output yet has nothing to resume: it would get a failure in place of its answer.
        """
        record = self._core.table.open.get(action.request_id)
        if record and record.state is RequestState.STREAMING and not record.is_beginning_stream:
            reason = "the stream is handed back to be resumed"
            self.break_stream(record, Failure.MIGRATED, reason, io.Status.CANCELLED)

    def fail_after_internal_error(self, request_id: int) -> None:
        """Fail a request whose state is unknown after an error, such as an exception of its router."""
        record = self._core.table.open.get(request_id)
        if record is None or not record.conclude(RequestState.FAILED, "internal"):
            return
        record.response.failed(Failure.LOST, "internal", record.next_index)
        self._core.leases.release(record)
        self.end_request(record, must_cancel=True)

    def conclude_at_shutdown(self, record: RequestRecord) -> None:
        """Give an open request its final answer when the node shuts down.

        The request is rejected only if a retry by its client is harmless.
        """
        reason = "this node has shut down"
        if record.state is RequestState.STREAMING:
            self.break_stream(record, Failure.BROKEN, reason, io.Status.CANCELLED)
            return
        is_retry_harmless = may_reject(
            self._core.class_of(record),
            self._executed_at_us(record),
            self._core.now(),
            self._core.settings.max_retry_after_us,
        )
        if is_retry_harmless:
            self.reject(record, reason, 0)
        else:
            self.fail(record, Failure.LOST, reason)
        self.end_request(record)

    def end_request(self, record: RequestRecord, must_cancel: bool = False) -> None:
        """Give up the attempt of a request that has its final state, if it may be given up.

        The router, if it still can, drops the request on this event, and cancels an attempt that was sent if
        the settings allow it. An attempt whose last byte was not written is cancelled in any case: its engine
        would read the rest later and run a request whose client was told that a retry is harmless. Until its
        last byte is written it cannot run, and a cancelled attempt writes nothing more.

        Args:
            record: the request; its client has its final answer or has disconnected.
            must_cancel: whether to cancel whatever the settings say, such as a stream that nobody reads.
        """
        self._core.dispatch(io.ClientDisconnected(record.id), record.router)
        call = record.attempt.call if record.attempt else None
        if call and (must_cancel or not may_have_executed(call.delivery())):
            call.cancel(io.Status.CANCELLED)
        self._core.remove_if_finished(record)

    def _executed_at_us(self, record: RequestRecord) -> int | None:
        """Return when the first attempt that may have had an effect was sent; None if none may have had."""
        if record.executed_at_us:
            return record.executed_at_us
        attempt = record.attempt
        return attempt.sent_at_us if attempt and self._may_have_executed(attempt) else None

    def _may_have_executed(self, attempt: Attempt) -> bool:
        """Return whether an attempt that is cancelled now may have had an effect, or may still have one."""
        if attempt.is_prefill and self._core.engines.prefills_have_no_effect:
            return False
        return attempt.call is None or may_have_executed(attempt.call.delivery())
