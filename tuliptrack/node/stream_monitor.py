"""Watches the streams of a node: ends those that their engine or their client has abandoned.

`decisions/stream_idle.py` decides when; this module reports to it and keeps one timer for each stream.
"""

from __future__ import annotations

from tuliptrack import interface as io
from tuliptrack.decisions.stream_idle import OutputKind, StreamVerdict
from tuliptrack.fronts.port import Failure
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.final_answers import FinalAnswers
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, RequestRecord

__all__ = ["StreamMonitor"]

_END_BY_VERDICT = {
    StreamVerdict.ENGINE_IDLE: (Failure.BROKEN, io.Status.RESET),
    StreamVerdict.CLIENT_STALLED: (Failure.STALLED, io.Status.CANCELLED),
}
"""The failure of the request, and the status with which its attempt is cancelled."""


class StreamMonitor:
    """Watches the streams of one node. Bound: one timer for each open request."""

    def __init__(self, core: CoreState, answers: FinalAnswers) -> None:
        self._core = core
        self._answers = answers

    def output_arrived(self, record: RequestRecord, kind: OutputKind, arrived_at_us: int) -> None:
        """Note output of the request's attempt. The first output begins the watch."""
        record.stream.output_arrived(kind, arrived_at_us)
        if record.stream_timer is None:
            self._schedule_check(record)

    def output_forwarded(self, record: RequestRecord, attempt: Attempt, may_continue: bool) -> None:
        """Pause the attempt if the front, after this part of the answer, accepts no more for now."""
        if not may_continue and attempt.call and record.attempt is attempt:
            record.stream.pause(self._core.now())
            attempt.call.pause()
            self._schedule_check(record)

    def client_can_receive(self, record: RequestRecord) -> None:
        """Resume the stream of a client that has read the output that was waiting for it."""
        call = record.attempt.call if record.attempt else None
        if record.stream.paused_at_us and call:
            record.stream.resume(self._core.now(), self._core.limits.streams, call.sample_unread())
            call.resume()
            self._schedule_check(record)

    def stop(self, record: RequestRecord) -> None:
        """Stop watching a request that is removed."""
        self._core.timers.cancel(record.stream_timer)

    def _schedule_check(self, record: RequestRecord) -> None:
        timers, now_us = self._core.timers, self._core.now()
        timers.cancel(record.stream_timer)
        check_at_us = record.stream.check_at_us(now_us, self._core.limits.streams)
        record.stream_timer = timers.call_later(check_at_us - now_us, self._check, record)

    def _check(self, record: RequestRecord) -> None:
        call = record.attempt.call if record.attempt else None
        if record.state is not RequestState.STREAMING or call is None:
            return
        verdict = record.stream.verdict(self._core.now(), self._core.limits.streams, call.sample_unread())
        if verdict is StreamVerdict.CONTINUES:
            self._schedule_check(record)
            return
        failure, status = _END_BY_VERDICT[verdict]
        self._answers.break_stream(record, failure, verdict.value, status)
