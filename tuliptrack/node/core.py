"""The core of every node: clients' requests become events of the router, its actions become attempts at
engines.

Nothing about routing is decided here, and no protocol is known. Fronts come in through `fronts/port.py`,
engines are behind `node/port.py`. What the core itself holds: that an attempt never outlives its client's
deadline unless it has begun to answer, that each request ends once (`requests.Table`), that a slow client
stops its own engine stream and nothing else, and that timers end with it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import structlog

from tuliptrack import interface as io
from tuliptrack.decisions.concurrency_limit import ConcurrencyLimiter, ConcurrencyLimits
from tuliptrack.decisions.model_catalog import Model
from tuliptrack.fronts.port import ClientRequest, Failure, ResponseWriter
from tuliptrack.node.attempt_state import Verdict, may_have_run, may_refuse, may_repeat, may_send, repeat_by
from tuliptrack.node.counters import Counters
from tuliptrack.node.kv_state_leases import KvStateLeases
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.request_reader import CoreLimits, RequestReader
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord, RequestState, RequestTable
from tuliptrack.routing.router import Router
from tuliptrack.rpc.clock import now_us

__all__ = ["Core"]

log = structlog.get_logger("node")
_MAY_HAVE_READ = (io.Status.CANCELLED, io.Status.TIMEOUT, io.Status.RESET)
_NEVER_ORDERED = (Verdict.IN_FLIGHT, Verdict.MAY_HAVE_RUN)  # verdicts that no order of the router should meet
_LATE_US = 500_000  # after its client's time an answer that is not served counts as late


@dataclass(frozen=True, slots=True)
class _Told:
    """What the router is told of an attempt's end."""

    status: io.Status
    state_lost: bool


class _RequestHandle:
    """A front's hold on one request."""

    __slots__ = ("core", "record")

    def __init__(self, core: Core, record: RequestRecord) -> None:
        self.core, self.record = core, record

    def disconnected(self, reason: str) -> None:
        self.core.client_disconnected(self.record, reason)

    def writable(self) -> None:
        self.core.client_can_receive(self.record)


class Core:
    """What a node does with requests, between its fronts and its engines."""

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        instance: str,
        limits: CoreLimits,
        admission: ConcurrencyLimits,
    ) -> None:
        self.settings, self.limits, self.instance = settings, limits, instance
        self.router = Router(settings, seed)
        """That of engines without a label; it also keeps the subscription, and what routers of all models
        share."""
        self.table = RequestTable(instance)
        self.admission = ConcurrencyLimiter(admission)
        self.engines: EngineClient
        self.counters = Counters()
        self.leases = KvStateLeases(settings.release_within_us, lambda: self.engines, self.now, self.counters)
        self.source: Any
        self.requests = RequestReader(settings, limits)
        self.stopping = False
        """New requests are refused."""
        self.decisions = 0
        self._events: deque[tuple[io.Event, Router | None]] = deque()
        self._acting = self.router
        self._running = False
        self._now = 0
        self._timers: set[asyncio.TimerHandle] = set()
        self._due: dict[int, asyncio.TimerHandle] = {}
        self._acts: dict[type, Callable[[Any], None]] = {
            io.SendAttempt: self._send,
            io.CancelAttempt: self._cancel,
            io.Reject: self._refuse,
            io.Fail: self._fail,
            io.Release: self._release,
            io.ReserveCapacity: self._hold_ahead,
            io.MigrateStream: self._hand_back,
            io.SetTimer: self._set_timer,
            io.CheckHealth: self._probe,
            io.CloseIdleConnections: lambda a: self.engines.close_idle_connections(a.endpoint_id),
            io.Subscribe: lambda a: self.source.subscribe(a.on),
            io.FetchEndpointList: lambda a: self.source.fetch(),
            io.SendGossip: lambda a: None,
            io.LogMessage: lambda a: log.info("router", text=a.text),
        }

    # -- what a node may add

    def choose(self, ask: ClientRequest) -> tuple[Model, Router, str]:
        """The model and router of a request, and why it is refused, if it is; AskError where it names nothing
        served."""
        return Model(), self.router, ""

    def admit(self, now: int, record: RequestRecord, cls: int) -> tuple[str, int, bool]:
        """Why a request is refused (empty: it isn't), when to come back, and whether it's past its tenant's
        budget."""
        return "", 0, False

    def stream_began(self, record: RequestRecord) -> None:
        """Its first token has come."""

    def attempt_sent(self, record: RequestRecord, attempt: Attempt, action: io.SendAttempt) -> None:
        """An attempt has left."""

    def cross_zone_bytes(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> float:
        """Bytes that an attempt has moved between zones."""
        return 0.0

    def request_removed(self, record: RequestRecord) -> None:
        """It has left the table."""

    # -- events in

    def now(self) -> int:
        self._now = max(self._now, now_us())
        return self._now

    def dispatch(self, event: io.Event, router: Router | None = None) -> None:
        """The one way in for events: each is handled, its actions carried out, before the next. What is of a
        request goes to its router; the rest to the one named, or that which keeps the subscription."""
        self._events.append((event, router))
        if self._running:
            return
        self._running = True
        try:
            while self._events:
                one, router = self._events.popleft()
                self.decisions += 1
                of = self.table.open.get(getattr(one, "request_id", 0))
                self._acting = of.router if of else router or self.router
                try:
                    actions = self._acting.handle(self.now(), [one])
                except Exception:
                    log.exception("the router failed", event_kind=type(one).__name__)
                    self._give_up(getattr(one, "request_id", 0))
                    actions = []
                record = self.table.open.get(getattr(one, "request_id", 0))
                if record and isinstance(one, io.AttemptEnded):
                    record.pending_events -= 1
                for action in actions:
                    self._acts[type(action)](action)
                if record:
                    self._settle(record)
        finally:
            self._running = False

    def _give_up(self, request: int) -> None:
        """The router has failed on this request: nothing more is known of it, so it fails."""
        record = self.table.open.get(request)
        if record and record.conclude(RequestState.FAILED, "internal"):
            record.response.failed(Failure.LOST, "internal", record.next_index)
            self.leases.release(record)
            self.dispatch(
                io.ClientDisconnected(request), record.router
            )  # Its books are closed, if it still can.
            if record.attempt and record.attempt.call:
                record.attempt.call.cancel(io.Status.CANCELLED)
            self._settle(record)

    def submit(self, ask: ClientRequest, answer: ResponseWriter) -> _RequestHandle:
        """Take a request from a front; AskError where it can't be one."""
        now = self.now()
        request = self.requests.read(ask, now)
        model, router, reason = self.choose(ask)
        record = self.table.add(ask, answer, now + request.time_left_us, now, router, model)
        if self.stopping:
            reason = "this node shuts down"
        wait, over = 0, False
        if not reason and (reason := self.admission.acquire(ask.tenant, ask.connection) or ""):
            wait = self.advised(self.admission.retry_after_us(ask.tenant))
        elif not reason:
            record.has_concurrency_slot = True
            reason, wait, over = self.admit(now, record, request.class_index)
        if reason:
            self._answer_refused(record, reason, wait)
            self._settle(record)
            return _RequestHandle(self, record)
        by = ask.deadline_us if ask.first_token_deadline_us is None else ask.first_token_deadline_us
        if by is not None:
            left = max(by - self.limits.answer_ahead - now, 0) / 1e6
            self._due[record.id] = asyncio.get_running_loop().call_later(left, self._call_due, record)
        self.dispatch(replace(request, request_id=record.id, is_over_token_budget=over))
        return _RequestHandle(self, record)

    def overload(self) -> tuple[str, int]:
        if self.stopping:
            return "this node shuts down", 0
        if self.admission.is_full():
            return "too many requests are open at this node", self.advised(self.admission.retry_after_us(""))
        return "", 0

    def _call_due(self, record: RequestRecord) -> None:
        """The client's deadline for the whole call is about to pass: what streams is ended in time. What
        hasn't begun is the router's, by the attempt's time-out."""
        self._due.pop(record.id, None)
        if record.state is RequestState.STREAMING:
            if record.client_request.deadline_us is None:
                return  # What has begun has no deadline.
            self._break(
                record, Failure.DEADLINE, "the client's deadline came in mid-stream", io.Status.TIMEOUT
            )
        elif not record.is_concluded and record.attempt is None:
            log.error("request unanswered at its deadline", request=record.id, state=record.state.value)
            self._give_up(record.id)

    def client_disconnected(self, record: RequestRecord, reason: str) -> None:
        """The client has left, or its connection has."""
        streaming = record.state is RequestState.STREAMING
        if not record.conclude(RequestState.LEFT, reason):
            return
        self.dispatch(io.ClientDisconnected(record.id))
        if (
            record.attempt
            and record.attempt.call
            and (streaming or not may_have_run(record.attempt.call.delivery()))
        ):
            record.attempt.call.cancel(
                io.Status.CANCELLED
            )  # What nobody reads ends; what has not begun never does.
        self._settle(record)

    def may_still_begin(self, record: RequestRecord, server: int) -> bool:
        """Whether an attempt there may still begin, as its connection is there: its client may have gone
        though the loop has not read that yet, and the server may have begun to drain since the attempt was
        decided."""
        return bool(self._may_begin(record, server, in_flight=False))

    def _may_begin(self, record: RequestRecord, server: int, in_flight: bool) -> Verdict:
        """Whether an attempt may begin at a server now; a client found to have gone is told of."""
        seat = record.router.endpoints.get(server)
        state = seat.info.state if seat else None
        verdict = may_send(
            record.is_concluded,
            not record.is_concluded and record.client_request.is_disconnected(),
            in_flight,
            state,
        )
        if verdict is Verdict.CLIENT_GONE:
            self.client_disconnected(record, verdict.value)
        if verdict:
            cls = self._class_of(record)
            verdict = may_repeat(
                cls.idempotency, record.executed_at_us, cls.deduplication_window_us, self.now()
            )
        if not verdict:
            record.trace.add(self.now(), f"not sent to {server}: {verdict.value}")
            self.counters.add(f"not_sent_{verdict.name.lower()}")
            if verdict in _NEVER_ORDERED:
                self.counters.violated(
                    verdict.name.lower(),
                    record.trace,
                    request=record.id,
                    call_id=record.client_request.call_id,
                )
        return verdict

    def _class_of(self, record: RequestRecord) -> io.RequestClass:
        return self.requests.class_of(record.client_request)

    def client_can_receive(self, record: RequestRecord) -> None:
        """The client has taken what waited for it: its engine stream goes on."""
        if record.paused_at_us and record.attempt and record.attempt.call:
            record.paused_at_us = 0
            record.last_output_at_us = now_us()
            record.attempt.call.resume()

    # -- actions out

    def _send(self, action: io.SendAttempt) -> None:
        record = self.table.open.get(action.request_id)
        now = self.now()
        if record is None:
            return
        attempt = Attempt(record.attempt_count, action.endpoint_id, now)
        record.attempt_count += 1
        seat = record.router.endpoints.get(action.endpoint_id)
        reached = self.engines.is_reachable(action.endpoint_id)
        record.pending_events += 1  # So that it stays while its client's leaving is told.
        verdict = self._may_begin(record, action.endpoint_id, in_flight=record.attempt is not None)
        record.pending_events -= 1
        if not verdict or not reached or seat is None:
            status = (
                io.Status.CONNECT_FAILED if not reached and not record.is_concluded else io.Status.ABANDONED
            )
            record.pending_events += 1
            self._events.append(
                (
                    io.AttemptEnded(
                        record.id, attempt.number, action.endpoint_id, status, 0, record.is_concluded
                    ),
                    None,
                )
            )
            return
        left = record.deadline_us - now
        if record.kv_state:
            attempt.state_endpoint_id = record.kv_state.endpoint_id
            attempt.connect_by_us = self.leases.connect_by(record)
        if latest := self._repeat_by(record):
            attempt.connect_by_us = min(attempt.connect_by_us or latest, latest)
        attempt.ends_at_deadline = not action.timeout_us or action.timeout_us >= left
        timeout = max(left if attempt.ends_at_deadline else action.timeout_us, 1)
        record.attempt = attempt
        record.endpoint_ids.append(action.endpoint_id)
        attempt.is_prefill = seat.role is io.Role.PREFILL
        record.enter(RequestState.READING if attempt.is_prefill else RequestState.WRITING)
        record.trace.add(
            now, f"{'read' if attempt.is_prefill else 'write'} {attempt.number} at {action.endpoint_id}"
        )
        attempt.call = self.engines.start(record, attempt, timeout)
        handle = asyncio.get_running_loop().call_later(timeout / 1e6, self._attempt_late, record, attempt)
        self._timers.add(handle)
        attempt.timer = handle
        self.attempt_sent(record, attempt, action)

    def _repeat_by(self, record: RequestRecord) -> int:
        """By when a further attempt of what may have run has to be sent, lest its engine take it for another
        request: within the window for repeats, counted from the earliest moment that the first may have run;
        0: at any time."""
        cls = self._class_of(record)
        return repeat_by(cls.idempotency, record.executed_at_us, cls.deduplication_window_us)

    def _attempt_late(self, record: RequestRecord, attempt: Attempt) -> None:
        if attempt.call and record.attempt is attempt and record.state is not RequestState.STREAMING:
            if attempt.ends_at_deadline:
                self._now = max(self._now, record.deadline_us)  # A timer may fire a hair early.
            attempt.call.cancel(io.Status.TIMEOUT)

    # -- what engines tell

    def prefill_finished(
        self, record: RequestRecord, attempt: Attempt, held: KvStateLocation, kept: int
    ) -> None:
        """The prompt has been read: `held` waits there, `kept` tokens of it needed no reading."""
        record.cached_tokens = max(0, min(kept, record.client_request.prompt_tokens))
        record.trace.add(self.now(), f"held at {held.endpoint_id}")
        self.leases.hold(record, held)

    def output_arrived(self, record: RequestRecord, attempt: Attempt) -> bool:
        """A part of the answer has come; True where it is to be passed on. With the first one the stream has
        begun."""
        if record.attempt is not attempt or record.is_concluded:
            return False
        now = record.last_output_at_us = self.now()
        if record.state is RequestState.WRITING:
            self._cancel_timer(attempt)
            record.enter(RequestState.STREAMING)
            record.trace.add(now, "first token")
            self.leases.taken(record)
            record.first_token_at_us = now
            self.stream_began(record)
            self.dispatch(
                io.StreamStarted(record.id, attempt.number, attempt.endpoint_id, now - attempt.sent_at_us)
            )
        return record.state is RequestState.STREAMING

    def output_forwarded(self, record: RequestRecord, attempt: Attempt, going: bool) -> None:
        """What came was given to the front, which may want no more for now."""
        if not going and attempt.call and record.attempt is attempt:
            record.paused_at_us = record.paused_at_us or self.now()
            attempt.call.pause()

    def reservation_answered(self, record: RequestRecord, attempt: Attempt, server: int, held: bool) -> None:
        """The word on a place that was asked for."""
        if record.attempt is attempt:
            self.dispatch(io.ReservationResult(record.id, attempt.number, server, held))

    def _cancel_timer(self, attempt: Attempt) -> None:
        if attempt.timer:
            attempt.timer.cancel()
            self._timers.discard(attempt.timer)

    # -- ends of attempts

    def attempt_ended(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> None:
        """An attempt has ended: the router is told, and the client where its stream is over with it."""
        if record.attempt is not attempt:
            return
        self._cancel_timer(attempt)
        record.attempt = None
        record.pending_events += 1
        latency = self.now() - attempt.sent_at_us
        self.leases.attempt_ended(record, attempt, ended)
        told = self._after_attempt(record, attempt, ended)
        why = f" ({ended.reason})" if ended.reason else ""
        record.trace.add(self.now(), f"{told.status.value} {attempt.number}{why}")
        self._note_effect(record, attempt, told.status)
        crossed = self.cross_zone_bytes(record, attempt, ended)
        if attempt.is_prefill and record.kv_state is None and told.status in _MAY_HAVE_READ:
            self.leases.read_broke_off(record, attempt)
        read = record.cached_tokens if told.status in (io.Status.OK, io.Status.PREFILLED) else 0
        self.dispatch(
            io.AttemptEnded(
                record.id,
                attempt.number,
                attempt.endpoint_id,
                told.status,
                latency,
                record.is_concluded,
                read,
                told.state_lost,
                ended.load_report,
                crossed,
                ended.is_connection_only,
            )
        )
        self._settle(record)

    def _note_effect(self, record: RequestRecord, attempt: Attempt, status: io.Status) -> None:
        """From when on the request may have had an effect."""
        if not record.executed_at_us and status.may_have_executed(attempt.is_prefill):
            record.executed_at_us = attempt.sent_at_us

    def _after_attempt(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> _Told:
        """Bring the request's state up to the end of its attempt; what the router is to be told of it."""
        if ended.is_invalid_request:
            self._answer_failed(record, Failure.INVALID, ended.reason)
            return _Told(ended.status, ended.is_state_lost)
        if record.is_concluded:
            return self._after_end(record, attempt, ended)
        if attempt.is_prefill:
            return self._after_read(record, ended)
        if record.state is RequestState.WRITING:
            return self._after_no_token(record, attempt, ended)
        return self._after_stream(record, ended)

    def _after_end(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> _Told:
        """The request had ended before its attempt. A read that ended well has left a state, which is to be
        let go."""
        read = (
            record.kv_state is not None
            and record.kv_state.endpoint_id == attempt.endpoint_id
            and ended.status is io.Status.OK
        )
        return _Told(io.Status.PREFILLED if read else ended.status, ended.is_state_lost)

    def _after_read(self, record: RequestRecord, ended: AttemptResult) -> _Told:
        """An attempt at a reader is over."""
        status = ended.status
        if status is io.Status.OK:
            status = io.Status.PREFILLED if record.kv_state else io.Status.ERROR
        record.prefills += status is io.Status.PREFILLED
        record.enter(RequestState.HELD if status is io.Status.PREFILLED else RequestState.TAKEN)
        return _Told(status, ended.is_state_lost)

    def _after_no_token(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> _Told:
        """An attempt at a writer is over without a token. Its state is held on, or the prompt has to be read
        anew."""
        status = io.Status.ERROR if ended.status is io.Status.OK else ended.status
        lost = self.leases.lost_with(record, attempt, ended)
        record.enter(RequestState.HELD if record.kv_state else RequestState.TAKEN)
        return _Told(status, lost)

    def _after_stream(self, record: RequestRecord, ended: AttemptResult) -> _Told:
        """An attempt whose answer had begun is over."""
        if record.finish_reason:
            if record.conclude(RequestState.SERVED, record.finish_reason.value):
                record.response.served()
            return _Told(io.Status.OK, ended.is_state_lost)
        status = io.Status.ERROR if ended.status is io.Status.OK else ended.status
        self._answer_failed(record, Failure.BROKEN, f"the stream broke: {ended.reason or status.value}")
        return _Told(status, ended.is_state_lost)

    def _break(self, record: RequestRecord, how: Failure, reason: str, status: io.Status) -> None:
        """End a stream that has begun, from our side."""
        out = record.attempt
        self._answer_failed(record, how, reason)
        if out and out.call:
            out.call.cancel(status)

    def _cancel(self, action: io.CancelAttempt) -> None:
        record = self.table.open.get(action.request_id)
        if (
            record
            and record.attempt
            and record.attempt.number == action.attempt
            and record.attempt.call
            and (record.state is not RequestState.STREAMING)
        ):
            record.attempt.call.cancel(io.Status.CANCELLED)

    def _refuse(self, action: io.Reject) -> None:
        if record := self.table.open.get(action.request_id):
            reason = "no attempt was possible in time" if record.attempt_count else "overload"
            self._answer_refused(record, reason, self.advised(action.retry_after_us))

    def _fail(self, action: io.Fail) -> None:
        if record := self.table.open.get(action.request_id):
            late = self.now() >= record.deadline_us
            reason = "no answer came by the deadline" if late else "attempts ended without an answer"
            self._answer_failed(record, Failure.DEADLINE if late else Failure.LOST, reason)

    def advised(self, retry_after: int) -> int:
        """Advice that is a guess is cut to what the settings allow."""
        return min(retry_after, self.settings.max_retry_after_us)

    def _answer_refused(self, record: RequestRecord, reason: str, retry_after: int) -> None:
        if record.conclude(RequestState.REFUSED, reason):
            record.response.rejected(reason, retry_after)

    def _answer_failed(self, record: RequestRecord, how: Failure, reason: str) -> None:
        if record.conclude(RequestState.FAILED, reason):
            record.response.failed(how, reason, record.next_index)

    def _release(self, action: io.Release) -> None:
        record = self.table.open.get(action.request_id)
        if record is None:
            return
        self.leases.release(record)
        if record.reserved_endpoint_id is not None:
            server, record.reserved_endpoint_id = record.reserved_endpoint_id, None
            self.engines.release(server, record)

    def _hold_ahead(self, action: io.ReserveCapacity) -> None:
        record = self.table.open.get(action.request_id)
        if record and record.attempt and self.engines.is_reachable(action.endpoint_id):
            record.reserved_endpoint_id = action.endpoint_id
            self.engines.reserve(action.endpoint_id, record, record.attempt)

    def _hand_back(self, action: io.MigrateStream) -> None:
        record = self.table.open.get(action.request_id)
        if record and record.state is RequestState.STREAMING:
            self._break(
                record, Failure.MIGRATED, "the stream is handed back to be resumed", io.Status.CANCELLED
            )

    def _set_timer(self, action: io.SetTimer) -> None:
        router = self._acting

        def fire() -> None:
            self._timers.discard(handle)
            self.dispatch(io.TimerFired(action.token), router)

        handle = asyncio.get_running_loop().call_later(max(action.delay_us, 0) / 1e6, fire)
        self._timers.add(handle)

    def _probe(self, action: io.CheckHealth) -> None:
        router = self._acting
        if not self.engines.is_reachable(action.endpoint_id):
            self._events.append(
                (io.HealthCheckResult(action.endpoint_id, io.Status.CONNECT_FAILED, 0), router)
            )
            return
        self.engines.check_health(action.endpoint_id, lambda result: self.dispatch(result, router))

    # -- ends and sweeps

    def _settle(self, record: RequestRecord) -> None:
        """Once a request has ended and no attempt is out, it is dropped, with one line for the operators."""
        if not self.table.remove_if_over(record):
            return
        if handle := self._due.pop(record.id, None):
            handle.cancel()
        now = self.now()
        self.leases.request_over(record)
        self.counters.add(f"requests_{record.state.value}")
        if (
            record.state in (RequestState.REFUSED, RequestState.FAILED)
            and now > record.deadline_us + _LATE_US
        ):
            self.counters.add("answers_late")
        self.request_removed(record)
        if record.has_concurrency_slot:
            record.has_concurrency_slot = False
            self.admission.release(now, record.client_request.tenant, record.client_request.connection)
        ask = record.client_request
        log.info(
            "request",
            end=record.state.value,
            reason=record.reason,
            request=record.id,
            call_id=ask.call_id,
            request_class=ask.request_class,
            tenant=ask.tenant,
            attempts=record.attempt_count,
            servers=record.endpoint_ids,
            prompt_tokens=ask.prompt_tokens,
            cached_tokens=record.cached_tokens,
            tokens=record.next_index - ask.resume_index,
            ms=round((now - record.accepted_at_us) / 1000, 1),
            first_ms=round((record.first_token_at_us - record.accepted_at_us) / 1000, 1)
            if record.first_token_at_us
            else None,
            steps=str(record.trace),
        )

    def counter_values(self) -> dict[str, int]:
        """What was counted since the start, by name."""
        return self.counters.as_dict()

    def sweep(self) -> None:
        """Look at times that need no timer of their own; to be called now and then."""
        now = now_us()
        for record in list(self.table.open.values()):
            if record.state is not RequestState.STREAMING:
                continue
            if record.paused_at_us and now - record.paused_at_us > self.limits.client_stall:
                self._break(
                    record, Failure.STALLED, "the client leaves its answer unread", io.Status.CANCELLED
                )
            elif not record.paused_at_us and now - record.last_output_at_us > self.limits.token_silence:
                self._break(
                    record, Failure.BROKEN, "the engine has gone silent in mid-stream", io.Status.RESET
                )

    def conclude_open_requests(self, since: int = 0) -> None:
        """The grace is over: what is open and came after `since` ends, as refused only where nothing of it
        can have run."""
        reason = "this node has shut down"
        for record in list(self.table.open.values()):
            if record.accepted_at_us < since:
                continue
            if record.state is RequestState.STREAMING:
                self._break(record, Failure.BROKEN, reason, io.Status.CANCELLED)
                continue
            ran = self._may_run(record.attempt) or record.executed_at_us > 0
            if may_refuse(self._class_of(record).idempotency, ran):
                self._answer_refused(record, reason, 0)
            else:
                self._answer_failed(record, Failure.LOST, reason)
            self.dispatch(
                io.ClientDisconnected(record.id)
            )  # The router owes it nothing more; it calls off what is out.
            self._settle(record)

    def _may_run(self, out: Attempt | None) -> bool:
        """Whether an attempt that is called off now may have had an effect, or may have one yet."""
        if out is None or (out.is_prefill and self.engines.prefills_have_no_effect):
            return False
        return out.call is None or may_have_run(out.call.delivery())

    def migrate_streams(self) -> None:
        """Streams that have begun go back to their clients, to be resumed at another node."""
        for record in list(self.table.open.values()):
            self._hand_back(io.MigrateStream(record.id))

    def close(self) -> None:
        """Every request and timer ends; their clients are gone."""
        for record in list(self.table.open.values()):
            self.client_disconnected(record, "node stopped")
            if record.attempt and record.attempt.call:  # Also where the settings let nothing be called off.
                record.attempt.call.cancel(io.Status.CANCELLED)
            self.leases.stop(record)
        for handle in [*self._timers, *self._due.values()]:
            handle.cancel()
        self._timers.clear()
        self._due.clear()
