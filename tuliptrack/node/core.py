"""The core of every node: turns client requests into router events, and router actions into attempts.

It makes no routing decisions and depends on no protocol. Fronts call it through `fronts/port.py`; engines are
reached through `node/port.py`. `Core` assembles the parts and handles what involves several of them: a
request is removed once it has its final state and no attempt is in flight.

The parts: `event_dispatch.py` (events in, actions out), `attempt_start.py`, `attempt_end.py`,
`final_answers.py`, `kv_state_leases.py`, `stream_monitor.py` (a slow client pauses its own stream and nothing
else), `request_log.py`, and `core_state.py` for the state that they share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import structlog

from tuliptrack import interface as io
from tuliptrack.decisions.concurrency_limit import ConcurrencyLimits, ExceededLimit
from tuliptrack.decisions.stream_idle import OutputKind
from tuliptrack.fronts.port import ClientRequest, Failure, ResponseWriter
from tuliptrack.node.admission import AdmissionDecision
from tuliptrack.node.attempt_end import AttemptEndHandler
from tuliptrack.node.attempt_start import AttemptStarter
from tuliptrack.node.core_state import CoreState
from tuliptrack.node.event_dispatch import EventDispatcher
from tuliptrack.node.final_answers import FinalAnswers
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_log import log_request
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.node.stream_monitor import StreamMonitor
from tuliptrack.routing.router import Router

__all__ = ["Core", "RequestHandle"]

log = structlog.get_logger("node")

LATE_ANSWER_US = 500_000
"""Time after the client's deadline beyond which a rejection or failure counts as late."""

SHUTTING_DOWN = "this node is shutting down"


@dataclass(slots=True)
class RequestHandle:
    """A front's handle on one request, to report events of its client."""

    core: Core
    record: RequestRecord

    def disconnected(self, reason: str) -> None:
        """Report that the client has disconnected."""
        self.core.client_disconnected(self.record, reason)

    def writable(self) -> None:
        """Report that the client has read the output that was waiting for it."""
        self.core.streams.client_can_receive(self.record)


class Core(CoreState):
    """Handles the requests of a node, between its fronts and its engines."""

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        instance: str,
        limits: CoreLimits,
        concurrency_limits: ConcurrencyLimits,
    ) -> None:
        """Assemble the parts; the arguments are those of `CoreState`."""
        super().__init__(settings, seed, instance, limits, concurrency_limits)
        self.answers = FinalAnswers(self)
        self.attempt_starter = AttemptStarter(self)
        self.attempt_ends = AttemptEndHandler(self, self.answers)
        self.streams = StreamMonitor(self, self.answers)
        self.dispatcher = EventDispatcher(self, self.answers.fail_after_internal_error)
        self.action_handlers = self.dispatcher.action_handlers
        self._install_action_handlers()

    def _install_action_handlers(self) -> None:
        self.action_handlers.update(
            {
                io.SendAttempt: self.attempt_starter.send,
                io.CancelAttempt: self._cancel_attempt,
                io.Reject: self.answers.handle_reject,
                io.Fail: self.answers.handle_fail,
                io.Release: self.release,
                io.ReserveCapacity: self._reserve_capacity,
                io.MigrateStream: self.answers.handle_migrate,
                io.SetTimer: self.dispatcher.set_timer,
                io.CheckHealth: self.dispatcher.check_health,
                io.CloseIdleConnections: lambda a: self.engines.close_idle_connections(a.endpoint_id),
                io.Subscribe: lambda a: self.source.subscribe(a.on),
                io.FetchEndpointList: lambda _: self.source.fetch(),
                io.SendGossip: lambda _: None,
                io.LogMessage: lambda a: log.info("router", text=a.text),
            }
        )

    # Coordination of the parts.

    def dispatch(self, event: io.Event, router: Router | None = None) -> None:
        """Pass an event to its router and carry out the actions that follow."""
        self.dispatcher.dispatch(event, router)

    def defer(self, event: io.Event, router: Router | None = None) -> None:
        """Queue an event behind the one that is being handled."""
        self.dispatcher.defer(event, router)

    def remove_if_finished(self, record: RequestRecord) -> None:
        """Remove a request if it has its final state and no attempt in flight, and log it."""
        if not self.table.remove_if_finished(record):
            return
        self.timers.cancel(record.deadline_timer)
        self.streams.stop(record)
        now_us = self.now()
        self.leases.release_all(record)
        self.counters.add(f"requests_{record.state.value}")
        is_unserved = record.state in (RequestState.REJECTED, RequestState.FAILED)
        if is_unserved and now_us > record.deadline_us + LATE_ANSWER_US:
            self.counters.add("answers_late")
        self.request_removed(record)
        if record.has_concurrency_slot:
            record.has_concurrency_slot = False
            client_request = record.client_request
            self.concurrency.release(now_us, client_request.tenant, client_request.connection)
        log_request(record, now_us)

    # Called by fronts.

    def submit(self, client_request: ClientRequest, response: ResponseWriter) -> RequestHandle:
        """Accept a request from a front.

        Raises:
            InvalidRequestError: the request is invalid; nothing was done for it.
        """
        now_us = self.now()
        request = self.request_reader.read(client_request, now_us)
        choice = self.choose_router(client_request)
        deadline_us = now_us + request.time_left_us
        record = self.table.add(client_request, response, deadline_us, now_us, choice.router, choice.model)
        admission = self._decide_admission(record, request.class_index, choice.rejection_reason)
        if admission.rejection_reason:
            self.answers.reject(record, admission.rejection_reason, admission.retry_after_us)
            self.remove_if_finished(record)
            return RequestHandle(self, record)
        answer_by_us = self.request_reader.answer_by_us(client_request)
        if answer_by_us is not None:
            record.deadline_timer = self.timers.call_later(
                answer_by_us - now_us, self._handle_deadline, record
            )
        is_over_budget = admission.is_over_budget
        self.dispatch(replace(request, request_id=record.id, is_over_token_budget=is_over_budget))
        return RequestHandle(self, record)

    def _decide_admission(
        self, record: RequestRecord, class_index: int, model_rejection: str
    ) -> AdmissionDecision:
        """Decide whether to admit a request.

        `model_rejection` states why the request's model can't be served; it is empty if the model can be
        served.
        """
        if self.stopping:
            return AdmissionDecision(SHUTTING_DOWN)
        if model_rejection:
            return AdmissionDecision(model_rejection)
        client_request = record.client_request
        if limit := self.concurrency.acquire(client_request.tenant, client_request.connection):
            retry_after_us = self.concurrency.retry_after_us(client_request.tenant)
            return AdmissionDecision(limit.value, self.cap_retry_after_us(retry_after_us))
        record.has_concurrency_slot = True
        return self.admit(record.accepted_at_us, record, class_index)

    def overload(self) -> tuple[str, int]:
        """Return why requests are rejected unread (empty if they are not), and the advised retry delay."""
        if self.stopping:
            return SHUTTING_DOWN, 0
        if self.concurrency.is_full():
            retry_after_us = self.cap_retry_after_us(self.concurrency.retry_after_us(""))
            return ExceededLimit.NODE.value, retry_after_us
        return "", 0

    def _handle_deadline(self, record: RequestRecord) -> None:
        """End a stream shortly before the client's deadline for the whole call.

        A request whose answer has not begun is ended by the router, through the timeout of its attempt.
        """
        record.deadline_timer = None
        if record.state is RequestState.STREAMING:
            if record.client_request.deadline_us is not None:  # Else only the first token had a deadline.
                reason = "the client's deadline expired mid-stream"
                self.answers.break_stream(record, Failure.DEADLINE, reason, io.Status.TIMEOUT)
        elif not record.is_concluded and record.attempt is None:
            log.error("request unanswered at its deadline", request=record.id, state=record.state.value)
            self.answers.fail_after_internal_error(record.id)

    def client_disconnected(self, record: RequestRecord, reason: str) -> None:
        """Handle the disconnection of a client."""
        was_streaming = record.state is RequestState.STREAMING
        if record.conclude(RequestState.DISCONNECTED, reason):
            # A stream that nobody reads is cancelled whatever the settings say.
            self.answers.end_request(record, must_cancel=was_streaming)

    # Called by engine clients.

    def may_still_begin(self, record: RequestRecord, endpoint_id: int) -> bool:
        """Return whether an attempt may still begin, now that its connection is up.

        Since the router decided on the attempt, the client may have disconnected and the endpoint may have
        begun to drain.
        """
        return bool(self.attempt_starter.check(record, endpoint_id, is_in_flight=False))

    def prefill_finished(
        self, record: RequestRecord, attempt: Attempt, kv_state: KvStateLocation, cached_tokens: int
    ) -> None:
        """Handle a prefill that has reserved `kv_state`; `cached_tokens` of the prompt needed no prefill."""
        record.cached_tokens = max(0, min(cached_tokens, record.client_request.prompt_tokens))
        record.trace.add(self.now(), f"KV state at {kv_state.endpoint_id}")
        self.leases.start(record, kv_state)

    def output_arrived(
        self,
        record: RequestRecord,
        attempt: Attempt,
        kind: OutputKind = OutputKind.EVENT,
        arrived_at_us: int | None = None,
    ) -> bool:
        """Handle output of an engine; return whether to forward it. The first output begins the stream.

        Args:
            record: the request.
            attempt: the attempt that the output belongs to.
            kind: what the output holds.
            arrived_at_us: when it arrived at this machine; None for now.
        """
        if record.attempt is not attempt or record.is_concluded:
            return False
        now_us = self.now()
        self.streams.output_arrived(record, kind, now_us if arrived_at_us is None else arrived_at_us)
        if record.state is RequestState.DECODING:
            self._begin_stream(record, attempt, now_us)
        return record.state is RequestState.STREAMING

    def _begin_stream(self, record: RequestRecord, attempt: Attempt, now_us: int) -> None:
        self.timers.cancel(attempt.timer)
        record.enter(RequestState.STREAMING)
        record.trace.add(now_us, "first token")
        self.leases.handle_first_token(record)
        record.first_token_at_us = now_us
        self.stream_started(record)
        latency_us = now_us - attempt.sent_at_us
        record.is_beginning_stream = True
        self.dispatch(io.StreamStarted(record.id, attempt.number, attempt.endpoint_id, latency_us))
        record.is_beginning_stream = False

    def output_forwarded(self, record: RequestRecord, attempt: Attempt, may_continue: bool) -> None:
        """Pause the attempt if the front, after this part of the answer, accepts no more for now."""
        self.streams.output_forwarded(record, attempt, may_continue)

    def reservation_answered(
        self, record: RequestRecord, attempt: Attempt, endpoint_id: int, is_reserved: bool
    ) -> None:
        """Handle the answer of an endpoint that was asked to reserve capacity."""
        if record.attempt is attempt:
            self.dispatch(io.ReservationResult(record.id, attempt.number, endpoint_id, is_reserved))

    def attempt_ended(self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult) -> None:
        """Handle the end of an attempt: notify the router, and the client if this ends its stream."""
        self.attempt_ends.handle(record, attempt, attempt_result)

    # Actions of the router.

    def _cancel_attempt(self, action: io.CancelAttempt) -> None:
        record = self.table.open.get(action.request_id)
        attempt = record.attempt if record else None
        if record is None or attempt is None or attempt.number != action.attempt or attempt.call is None:
            return
        if record.state is not RequestState.STREAMING:
            attempt.call.cancel(io.Status.CANCELLED)

    def release(self, action: io.Release) -> None:
        """Carry out a `Release` of the KV state and of reserved capacity."""
        record = self.table.open.get(action.request_id)
        if record is None:
            return
        self.leases.release(record)
        if record.reserved_endpoint_id is not None:
            endpoint_id = record.reserved_endpoint_id
            record.reserved_endpoint_id = None
            self.engines.release(endpoint_id, record)

    def _reserve_capacity(self, action: io.ReserveCapacity) -> None:
        record = self.table.open.get(action.request_id)
        if record and record.attempt and self.engines.has_address(action.endpoint_id):
            record.reserved_endpoint_id = action.endpoint_id
            self.engines.reserve(action.endpoint_id, record, record.attempt)

    # Counters and shutdown.

    def counter_values(self) -> dict[str, int]:
        """Return the counters since the start, by name."""
        return self.counters.as_dict()

    def conclude_open_requests(self, accepted_since_us: int = 0) -> None:
        """Give open requests their final answers, once the grace period of the drain is over.

        Args:
            accepted_since_us: the monotonic time at or after which the concluded requests were accepted.
        """
        for record in list(self.table.open.values()):
            if record.accepted_at_us >= accepted_since_us:
                self.answers.conclude_at_shutdown(record)

    def migrate_streams(self) -> None:
        """Hand streams that have begun back to their clients, to be resumed at another node."""
        for record in list(self.table.open.values()):
            self.answers.handle_migrate(io.MigrateStream(record.id))

    def close(self) -> None:
        """End every request and timer; all clients have disconnected."""
        for record in list(self.table.open.values()):
            self.client_disconnected(record, "node stopped")
            if record.attempt and record.attempt.call:  # Even if the settings forbid cancelling.
                record.attempt.call.cancel(io.Status.CANCELLED)
            self.leases.stop(record)
        self.timers.close()
