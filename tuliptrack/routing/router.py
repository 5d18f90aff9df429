"""The router of one node: it turns events into actions, both defined in `tuliptrack.interface`.

Each event is handled by one method, and each decision is made by one module:

- a new request: `admission` (admit or shed), `prefill_placement` (where it starts), which use
  `queue_estimate`, `eligibility`, `slow_start`, `locality` and `tenant_quota`;
- a finished prefill: `decode_placement`;
- a failed attempt: `outlier_detection` (eject the endpoint), `retry` (whether and where to retry),
  `idempotency` (when a retry could do harm);
- a stream: `slow_streams` (eject an endpoint whose streams take too long);
- each attempt: `attempt_timeout`.

Every attempt is sent by `_send`, and every request is concluded by `_conclude`. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tuliptrack.decisions.cross_zone_budget import CrossZoneBudgets
from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    Fail,
    Reject,
    Release,
    Request,
    Role,
    SendAttempt,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from tuliptrack.routing.admission import Admission, AdmissionInputs
from tuliptrack.routing.attempt_timeout import AttemptTimeout
from tuliptrack.routing.decode_placement import DecodePlacement
from tuliptrack.routing.eligibility import Eligibility
from tuliptrack.routing.idempotency import may_reject
from tuliptrack.routing.locality import Locality
from tuliptrack.routing.node_state import NodeState
from tuliptrack.routing.outbox import Outbox
from tuliptrack.routing.outlier_detection import OutlierDetection, ejected_condition
from tuliptrack.routing.prefill_placement import PrefillPlacement
from tuliptrack.routing.queue_estimate import QueueEstimate
from tuliptrack.routing.retry import Retry
from tuliptrack.routing.slow_start import SlowStart
from tuliptrack.routing.slow_streams import SlowStreamDetection, slow_condition
from tuliptrack.routing.tenant_quota import TenantQuotas
from tuliptrack.state.demand import RequestSize
from tuliptrack.state.endpoint import REPORT_MAX_AGE_US, Endpoint, WaitingAttempt
from tuliptrack.state.in_flight import Execution, InFlightRequest
from tuliptrack.state.role_statistics import AnswerSample
from tuliptrack.state.smoothing import SAMPLE_WEIGHT, smoothed

__all__ = ["Router"]

RESUBSCRIBE_US = 500_000
"""Minimum delay before a failed subscription to the endpoint list is repeated; jitter at most doubles the
delay."""
RESUBSCRIBE_TOKEN = 0
"""Token of the only timer that a router sets."""


class Router:
    """Makes the routing decisions of one node: `handle` takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int, sibling_router: Router | None = None) -> None:
        """Create a router that knows no endpoints.

        Args:
            settings: the settings of the node.
            seed: the seed of the router's random numbers.
            sibling_router: this node's router of another model, with which the new router shares quotas and
                zone budgets; None if there is no other router.
        """
        self.settings = settings
        self.state = state = NodeState(settings, seed)
        self.in_flight: dict[int, InFlightRequest] = {}
        """Requests that are not concluded yet, or that still have an attempt in flight, by id."""
        self.outbox = outbox = Outbox()
        self.quotas: TenantQuotas = sibling_router.quotas if sibling_router else TenantQuotas(settings)
        self.locality = Locality(state, outbox, _zone_budgets(settings, sibling_router))
        self.slow_start = SlowStart(state)
        self.outliers = OutlierDetection(state, outbox, self.locality)
        self.slow_streams = SlowStreamDetection(state, outbox, self.outliers)
        self.eligibility = Eligibility(state, self.slow_start, self.locality, self.outliers)
        self.decode_placement = DecodePlacement(state, self.eligibility, self.locality)
        self.queue_estimate = QueueEstimate(state, self.slow_start, self.locality, self.decode_placement)
        self.prefill_placement = PrefillPlacement(state, self.eligibility, self.slow_start, self.locality)
        self.attempt_timeout = AttemptTimeout(state)
        self.retry = Retry(state)
        self.admission = Admission(
            state,
            outbox,
            AdmissionInputs(
                self.eligibility,
                self.slow_start,
                self.locality,
                self.prefill_placement,
                self.queue_estimate,
                self.quotas,
            ),
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self._handle_request,
            StreamStarted: self._handle_stream_started,
            AttemptEnded: self._handle_attempt_ended,
            ClientDisconnected: self._handle_client_disconnected,
            EndpointListUpdate: self._handle_list_update,
            TimerFired: self._handle_timer,
        }

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """Every known endpoint by id."""
        return self.state.table.endpoints

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one moment (`now`, in microseconds) in order; return the actions in order."""
        self.state.advance(now)
        actions = self.outbox.start_batch()
        for event in events:
            handler = self._handlers.get(type(event))
            if handler:
                handler(event)
        self.slow_streams.check_if_due()
        return actions

    # Endpoint list

    def _handle_list_update(self, update: EndpointListUpdate) -> None:
        if update.kind is UpdateKind.FAILED:
            delay_us = int(RESUBSCRIBE_US * (1 + self.state.random.random()))
            self.outbox.add(SetTimer(delay_us, RESUBSCRIBE_TOKEN))
            return
        if update.kind is UpdateKind.CACHED and self.settings.must_subscribe:
            self.outbox.add(Subscribe(True))
        applied = self.state.table.apply(update, self.state.now_us)
        for endpoint_id in applied.forgotten:
            self.outbox.forget(ejected_condition(endpoint_id), slow_condition(endpoint_id))
        for endpoint in applied.changed:
            endpoint.statistics = self.state.statistics[endpoint.role, self.locality.is_remote(endpoint)]
        self.state.fleet_capacity_per_s = update.quota_share * self.state.total_quota_per_s
        self.locality.apply_list_update()

    def _handle_timer(self, _: TimerFired) -> None:
        self.outbox.add(Subscribe(True))

    # Requests

    def _handle_request(self, event: Request) -> None:
        request_class = self.settings.classes[event.class_index]
        extra_us = int(request_class.objective_us_per_1000_tokens * event.prompt_tokens / 1000)
        output_tokens = _expected_output_tokens(event, request_class.inter_token_objective_us)
        request = InFlightRequest(
            event,
            request_class,
            deadline_us=self.state.now_us + event.time_left_us,
            latency_objective_us=request_class.latency_objective_us + extra_us,
            projected_tokens=event.prompt_tokens + output_tokens,
        )
        self.in_flight[event.request_id] = request
        size = RequestSize(request.uncached_tokens, output_tokens)
        self.state.demand.record(event.class_index, size, event.prefix)
        self._send(request, self.admission.place(request))

    def _handle_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.in_flight.get(event.request_id)
        if request is None or request.is_concluded:
            return
        request.is_concluded = True
        if request.endpoint is None:
            self._conclude(request)
        elif self.settings.may_cancel and not request.is_streaming:
            self.outbox.add(CancelAttempt(event.request_id, request.attempts - 1))

    # Attempts

    def _send(self, request: InFlightRequest, endpoint: Endpoint | None) -> None:
        """Send an attempt, or conclude the request if there is no endpoint, attempt or time left.

        This is only called while no attempt of the request is in flight, so there are never two at once.
        """
        state = self.state
        is_exhausted = request.attempts >= self.settings.max_attempts
        if endpoint is None or is_exhausted or state.now_us >= request.deadline_us:
            self._conclude(request)
            return
        request.attempts += 1
        if request.kv_holder:
            request.attempt_tokens = max(request.request.prompt_tokens, 1.0)
        else:
            request.attempt_tokens = request.uncached_tokens
        self.slow_start.use_slot(endpoint, request)
        self._add_attempt(request, endpoint)
        self.outliers.record_attempt(endpoint, request)
        cause = self.locality.reserve(request, endpoint)
        timeout_us = self.attempt_timeout.timeout_us(request, endpoint)
        self.outbox.add(SendAttempt(request.request.request_id, endpoint.id, timeout_us, cause))

    def _add_attempt(self, request: InFlightRequest, endpoint: Endpoint) -> None:
        """Add an attempt to the endpoint's recorded load."""
        state = self.state
        request.endpoint, request.sent_at_us = endpoint, state.now_us
        attempt = WaitingAttempt(
            request.request.request_id, state.now_us, request.attempt_tokens, request.latency_objective_us
        )
        state.table.add_waiting(endpoint, attempt)
        if endpoint.role is not Role.PREFILL:
            state.table.add_projected_tokens(endpoint, request.projected_tokens)
            state.local_statistics(endpoint.role).assign(request.projected_tokens, state.now_us)

    def _handle_stream_started(self, event: StreamStarted) -> None:
        request = self.in_flight.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        request.is_streaming = True
        table = self.state.table
        table.begin_stream(request.endpoint, event.request_id, self.state.now_us)
        if table.remove_waiting(request.endpoint, event.request_id):
            self._record_answer(request, request.endpoint, event.latency_us)

    def _record_answer(self, request: InFlightRequest, endpoint: Endpoint, latency_us: int) -> None:
        """Record a finished prefill or the first token of a stream."""
        now_us = self.state.now_us
        is_prefill = endpoint.role is not Role.DECODE and request.kv_holder is None
        sample = AnswerSample(latency_us, request.latency_objective_us, request.attempt_tokens, is_prefill)
        self.state.table.record_answer(endpoint, sample, now_us)
        endpoint.statistics.record_answer(sample, endpoint.reported_waiting_tokens, now_us)
        endpoint.statistics.record_end(now_us)
        self.outliers.record_success(endpoint, request)

    def _handle_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.in_flight.get(event.request_id)
        self.locality.settle(event.request_id, event.cross_zone_bytes)
        self._record_load_report(event)
        if request is None or request.endpoint is None:
            if event.status is Status.PREFILLED:
                self.outbox.add(Release(event.request_id))
            return
        endpoint = request.endpoint
        self._remove_attempt(request, endpoint, event)
        if event.status is Status.PREFILLED:
            self._record_answer(request, endpoint, event.latency_us)
            request.kv_holder, request.unanswered_attempts = endpoint, 0
        if event.is_state_lost:
            request.kv_holder = None
        if event.is_final or request.is_concluded:
            request.is_concluded = True
            self._conclude(request)
            return
        self._continue(request, endpoint, event)

    def _record_load_report(self, event: AttemptEnded) -> None:
        """Apply the load report that came with the end of an attempt."""
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None or not event.load_report:
            return
        report = dict(zip(self.settings.report_fields, event.load_report, strict=False))
        self.state.table.record_report(endpoint, report, self.state.now_us)
        # The longer the role has not answered, the more the report outweighs the old average.
        pause_us = self.state.now_us - endpoint.statistics.answered_at_us
        weight = max(SAMPLE_WEIGHT, min(pause_us / REPORT_MAX_AGE_US, 1.0))
        statistics = endpoint.statistics
        statistics.waiting_tokens = smoothed(
            statistics.waiting_tokens, endpoint.reported_waiting_tokens, weight
        )

    def _remove_attempt(self, request: InFlightRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Remove an attempt from the endpoint's recorded load, and record how it ended."""
        table = self.state.table
        if not table.remove_waiting(endpoint, event.request_id):
            self.slow_streams.record_stream_end(endpoint, request, event.status is Status.OK)
        elif event.status not in (Status.PREFILLED, Status.OK):
            self.outliers.record_failure(endpoint, event, request)
        if endpoint.role is not Role.PREFILL:
            table.add_projected_tokens(endpoint, -request.projected_tokens)
        is_prefill = endpoint.role is Role.PREFILL
        if request.first_execution is None and event.status.may_have_executed(is_prefill):
            request.first_execution = Execution(request.sent_at_us, endpoint.info)
        request.endpoint = None

    def _continue(self, request: InFlightRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Continue after an attempt without a final answer: with the next stage, a retry, or a conclusion."""
        self.retry.record_end(request, endpoint, event)
        next_endpoint = None
        if self.retry.may_continue(endpoint, event):
            placement = self.decode_placement if request.kv_holder else self.prefill_placement
            next_endpoint = placement.choose(request)
        self._send(request, next_endpoint)

    # Final answers

    def _conclude(self, request: InFlightRequest) -> None:
        """Drop a request: release its KV state, and give the final answer unless none is needed any more."""
        request_id = request.request.request_id
        del self.in_flight[request_id]
        if request.kv_holder and not request.is_streaming:
            self.outbox.add(Release(request_id))
        if request.is_concluded:
            return
        execution, now_us = request.first_execution, self.state.now_us
        is_repeat_harmless = may_reject(
            request.request_class,
            execution.sent_at_us if execution else None,
            now_us,
            self.settings.max_retry_after_us,
        )
        if not is_repeat_harmless or now_us >= request.deadline_us:
            self.outbox.add(Fail(request_id))
            return
        retry_after_us = 0
        if self.settings.may_send_retry_after:
            retry_after_us = min(request.retry_after_us, self.settings.max_retry_after_us)
        self.outbox.add(Reject(request_id, retry_after_us))


def _expected_output_tokens(request: Request, inter_token_objective_us: float) -> float:
    """Return the expected output tokens, from the client's hint on the duration or else half the maximum."""
    if request.stream_time_hint_us is None or not inter_token_objective_us:
        return request.max_tokens / 2
    return request.stream_time_hint_us / inter_token_objective_us


def _zone_budgets(settings: Settings, sibling_router: Router | None) -> CrossZoneBudgets | None:
    if sibling_router:
        return sibling_router.locality.budgets
    return CrossZoneBudgets(settings) if settings.zone_budgets else None
