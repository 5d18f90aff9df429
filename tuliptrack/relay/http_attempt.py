"""One attempt at an engine over HTTP: its answer as it arrives, and its end as a status of the core.

A prefill is answered by 202 with a small JSON body, a decode by 200 with an event stream. A rejection carries
`x-rejected: 1`: the engine has not run the request. Everything else is an error or a broken connection.
"""

from __future__ import annotations

from typing import cast

import structlog

from tuliptrack.decisions.stream_idle import OutputKind
from tuliptrack.fronts.port import FinishReason, RawResponseWriter
from tuliptrack.interface import Status
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.core import Core
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.relay.corroboration import Corroboration
from tuliptrack.relay.event_stream import (
    JSON_FIELD_ERRORS,
    EventStream,
    MalformedStreamError,
    StreamUsage,
    token_count,
)
from tuliptrack.relay.load_reports import REPORT_FIELD, parse_load_report
from tuliptrack.rpc.h1 import ResponseHead
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.json_text import parse_json

__all__ = ["HttpAttempt"]

log = structlog.get_logger("engines")
MAX_BODY_BYTES = 65_536
"""How much is kept of the body of an answer that is not a stream."""
_REJECTED_FIELD = "x-rejected"
_STREAM_STATUS = 200
_PREFILL_STATUS = 202
_STATE_LOST_STATUS = 410
_AT_CAPACITY_STATUSES = (503, 504)
_INVALID_REQUEST_STATUSES = range(400, 500)
_STATUS_BY_OUTCOME = {
    ExchangeOutcome.CONNECT: Status.CONNECT_FAILED,
    ExchangeOutcome.RESOURCE_EXHAUSTED: Status.ABANDONED,
    ExchangeOutcome.RESET: Status.RESET,
}


class HttpAttempt:
    """An attempt in flight; implements `node.attempt_call.AttemptCall`."""

    __slots__ = (
        "_attempt",
        "_body",
        "_core",
        "_corroboration",
        "_head_load_report",
        "_is_body_dropped",
        "_is_rejected",
        "_record",
        "_report_names",
        "_status_if_cancelled",
        "_stream",
        "exchange",
    )

    def __init__(
        self,
        core: Core,
        record: RequestRecord,
        attempt: Attempt,
        exchange: Exchange,
        corroboration: Corroboration,
        report_names: tuple[str, ...],
    ) -> None:
        self.exchange = exchange
        self._core, self._record, self._attempt = core, record, attempt
        self._corroboration = corroboration
        self._report_names = report_names
        self._stream = EventStream(report_names, self._record_usage)
        self._body = bytearray()
        """The body of an answer that is not a stream."""
        self._is_body_dropped = False
        """Whether the rest of the body is not awaited, as the head says all that is needed."""
        self._head_load_report: tuple[float, ...] = ()
        self._is_rejected = False
        self._status_if_cancelled = Status.CANCELLED
        exchange.on_head = self._handle_head
        exchange.on_data = self._handle_data
        exchange.on_end = self._handle_end

    def cancel(self, status: Status) -> None:
        """Cancel the attempt; its end is reported as `status`."""
        self._status_if_cancelled = status
        self.exchange.cancel()

    def delivery(self) -> Delivery:
        """Return how far the delivery of the attempt has come."""
        if not self.exchange.sent:
            return Delivery.NOT_SENT
        if self.exchange.heard:
            return Delivery.CONFIRMED
        return Delivery.CORROBORATED if self._corroboration.is_corroborated() else Delivery.POSSIBLE

    def confirm_arrival(self) -> None:
        """Start to find out whether the attempt has arrived."""
        if not self.exchange.heard:
            self._corroboration.check()

    def mark_doubtful(self) -> None:
        """Rely on neither the attempt's connection nor its engine until they send something."""
        self.exchange.doubt()

    def sample_unread(self) -> bool:
        """Date what the kernel holds of the answer; return whether it holds any."""
        return self.exchange.sample_unread()

    def pause(self) -> None:
        """Read no more of the answer for now."""
        self.exchange.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        self.exchange.resume()

    @property
    def _is_stream(self) -> bool:
        return self.exchange.status == _STREAM_STATUS and not self._attempt.is_prefill

    @property
    def _load_report(self) -> tuple[float, ...]:
        return self._stream.load_report or self._head_load_report

    def _handle_head(self, head: ResponseHead) -> None:
        for name, value in head.fields:
            if name == REPORT_FIELD:
                self._head_load_report = parse_load_report(value, self._report_names)
                self._stream.ignored_reports += not self._head_load_report
            elif name == _REJECTED_FIELD and value.strip() == "1":
                self._is_rejected = True

    def _handle_data(self, data: bytes) -> None:
        if self._record.attempt is self._attempt:
            self._record.stream.bytes_arrived(self.exchange.arrived_at_us)
        if self._is_stream:
            self._handle_events(data)
            return
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._drop_body()

    def _drop_body(self) -> None:
        """End an answer whose body is too long, with the status of its head unless its body is needed."""
        if self.exchange.status == _PREFILL_STATUS:
            self._fail(f"an answer of more than {MAX_BODY_BYTES} bytes")
            return
        self._is_body_dropped = True
        self.exchange.cancel()

    def _handle_events(self, data: bytes) -> None:
        known_events = self._stream.event_count
        try:
            output = self._stream.feed(data)
        except MalformedStreamError as error:
            self._fail(str(error))
            return
        kind = self._kind_of_output(known_events)
        arrived_at_us = self.exchange.arrived_at_us
        if not output or not self._core.output_arrived(self._record, self._attempt, kind, arrived_at_us):
            return
        is_accepted = cast(RawResponseWriter, self._record.response).events(output)
        self._core.output_forwarded(self._record, self._attempt, is_accepted)

    def _kind_of_output(self, known_events: int) -> OutputKind:
        """Return what the output since the first `known_events` events holds."""
        if self._stream.event_count == known_events:
            return OutputKind.NO_EVENT
        return OutputKind.LAST_EVENT if self._stream.has_last_event else OutputKind.EVENT

    def _fail(self, reason: str) -> None:
        """Cancel the attempt, whose answer is malformed."""
        log.warning("engine fault", request=self._record.id, server=self._attempt.endpoint_id, reason=reason)
        self.exchange.is_malformed = True
        self.cancel(Status.RESET)

    def _record_usage(self, usage: StreamUsage) -> None:
        max_cached_tokens = self._record.client_request.prompt_tokens
        self._record.cached_tokens = max(0, min(usage.cached_tokens, max_cached_tokens))
        if usage.output_tokens is not None:
            self._record.next_index = usage.output_tokens

    def _handle_end(self, outcome: ExchangeOutcome, failure: str) -> None:
        self._corroboration.close()
        if self._report_names and self._stream.ignored_reports:
            self._core.counters.add("load_reports_ignored", self._stream.ignored_reports)
        self._core.attempt_ended(self._record, self._attempt, self._result(outcome, failure))

    def _result(self, outcome: ExchangeOutcome, failure: str) -> AttemptResult:
        if self._is_body_dropped:
            return self._answer_result()
        if outcome is ExchangeOutcome.CANCELLED and not self.exchange.sent:
            return self._unsent_result()
        if outcome is ExchangeOutcome.CANCELLED:
            return self._broken_result(self._status_if_cancelled, "given up")
        if outcome is not ExchangeOutcome.ANSWER:
            return self._broken_result(_STATUS_BY_OUTCOME[outcome], failure)
        return self._answer_result()

    def _unsent_result(self) -> AttemptResult:
        """Return the result of an attempt that was cancelled before it was sent.

        The attempt never ran. Its end shows at most that no connection to the engine was established in time.
        """
        is_timeout = self._status_if_cancelled is Status.TIMEOUT
        return AttemptResult(
            Status.CONNECT_FAILED if is_timeout else Status.ABANDONED,
            "cancelled before it was sent",
            is_connection_only=is_timeout,
        )

    def _broken_result(self, status: Status, reason: str) -> AttemptResult:
        exchange = self.exchange
        return AttemptResult(
            status,
            reason,
            # The engine has run an attempt whose stream is malformed: the KV state that it used is gone.
            is_state_lost=exchange.is_malformed and not self._attempt.is_prefill,
            load_report=self._load_report,
            is_connection_only=exchange.is_malformed or exchange.is_connection_only,
            is_confirmed=exchange.heard,
            is_corroborated=self._corroboration.is_corroborated(),
        )

    def _answer_result(self) -> AttemptResult:
        status = self.exchange.status
        if self._is_rejected and status in _AT_CAPACITY_STATUSES:
            return self._confirmed_result(Status.AT_CAPACITY, "turned away")
        if self._is_rejected and status == _STATE_LOST_STATUS:
            return self._confirmed_result(
                Status.AT_CAPACITY, "the engine no longer has the KV state", is_state_lost=True
            )
        if status == _PREFILL_STATUS and self._attempt.is_prefill:
            location = KvStateLocation(self._attempt.endpoint_id, "", "")
            self._core.prefill_finished(self._record, self._attempt, location, self._cached_tokens())
            return self._confirmed_result(Status.OK)
        if self._is_stream:
            return self._stream_result()
        is_invalid = status in _INVALID_REQUEST_STATUSES
        return self._confirmed_result(Status.ERROR, f"answered {status}", is_invalid_request=is_invalid)

    def _stream_result(self) -> AttemptResult:
        if not self._stream.is_complete:
            self.exchange.is_malformed = True
            return self._broken_result(Status.RESET, "incomplete event stream")
        self._record.finish_reason = FinishReason.STOP
        return self._confirmed_result(Status.OK)

    def _confirmed_result(
        self,
        status: Status,
        reason: str = "",
        *,
        is_state_lost: bool = False,
        is_invalid_request: bool = False,
    ) -> AttemptResult:
        """Return the result of an attempt that its engine has answered completely."""
        return AttemptResult(
            status,
            reason,
            is_state_lost=is_state_lost,
            load_report=self._load_report,
            is_invalid_request=is_invalid_request,
            is_confirmed=True,
        )

    def _cached_tokens(self) -> int:
        """Return how many tokens of the prompt the prefill found cached; 0 if its answer does not say."""
        try:
            return token_count(parse_json(bytes(self._body))["cached_tokens"])
        except JSON_FIELD_ERRORS:
            return 0
