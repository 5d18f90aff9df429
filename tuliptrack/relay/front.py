"""The HTTP server for clients: requests, their answers, and the node's own pages.

A request is passed to the core as a `ClientRequest`, and its end is mapped to an HTTP status. An engine's
events are forwarded unchanged. The node's own pages are `/-/ready`, `/-/healthy` and `/-/counters`.
"""

from __future__ import annotations

import json
from typing import cast

from tuliptrack.decisions.call_ids import CallIdRegister
from tuliptrack.decisions.concurrency_limit import ByteBudget, ByteReservation, rejection_text
from tuliptrack.fronts.port import Failure, FinishReason, InvalidRequestError, RequestHandle, Usage
from tuliptrack.node.core import Core
from tuliptrack.relay.forwarded_request import ForwardedRequest
from tuliptrack.relay.memory_plan import MemoryPlan
from tuliptrack.relay.request_parser import check_body, parse_call_id, parse_request
from tuliptrack.rpc.h1 import Fields
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Rejection

__all__ = ["Front"]

MIN_RETRY_AFTER_S = 0.001
BODY_BUDGET_RETRY_AFTER_S = 0.1
"""Advised retry delay if the body budget is exhausted: bodies are freed when answers start, so a retry may
soon find enough of the budget free."""
MAX_QUOTED_METHOD_CHARACTERS = 20
MAX_QUOTED_ID_CHARACTERS = 60
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_SERVICE_UNAVAILABLE = 503
_STATUS_BY_FAILURE = {
    Failure.DEADLINE: 504,
    Failure.BROKEN: 502,
    Failure.MIGRATED: 502,
    Failure.LOST: 502,
    Failure.STALLED: 502,
    Failure.INVALID: 400,
}
_READY_PATH = "/-/ready"
_HEALTH_PATH = "/-/healthy"
_COUNTERS_PATH = "/-/counters"


class _ResponseWriter:
    """The answer to one request; implements `fronts.port.RawResponseWriter`."""

    __slots__ = ("_forwarded", "_reservation", "call", "front")

    def __init__(
        self, front: Front, call: HttpCall, forwarded: ForwardedRequest, reservation: ByteReservation
    ) -> None:
        self.front, self.call = front, call
        self._forwarded, self._reservation = forwarded, reservation

    def events(self, data: bytes) -> bool:
        """Forward complete events; return False if the client reads too slowly."""
        if not self.call.started:
            self.free_body()
            self.call.start(_OK, "text/event-stream")
        return self.call.send(data)

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        """Not used: engines of this protocol send events."""
        raise NotImplementedError("engines of this protocol send events")

    def served(self) -> None:
        """End the answer."""
        self.free_body()
        self.call.end()

    def rejected(self, reason: str, retry_after_us: int) -> None:
        """Answer that the request was not served."""
        self.free_body()
        headers: Fields = []
        if retry_after_us > 0 and self.front.core.settings.may_send_retry_after:
            headers = _retry_after(max(retry_after_us / 1e6, MIN_RETRY_AFTER_S))
        self.call.error(_SERVICE_UNAVAILABLE, rejection_text(reason), headers)

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        """Answer that the request failed; if the answer has started, abort the connection."""
        self.free_body()
        if self.call.started:
            self.call.abort()
        else:
            self.call.error(_STATUS_BY_FAILURE[failure], f"failed: {reason}")

    def free_body(self) -> None:
        """Free the body; may be called more than once.

        A request that has ended, or whose answer has started, makes no further attempt.
        The record of a request may outlive its end, with an attempt that may not be cancelled; it would keep
        the body in memory after the budget has given the bytes to another request.
        """
        self._forwarded.body = b""
        self._reservation.release()


class Front:
    """The HTTP server for clients.

    Bounds: `HttpLimits` for connections and heads; those of `MemoryPlan` for bodies and other input.
    """

    def __init__(self, core: Core, limits: HttpLimits, memory: MemoryPlan) -> None:
        self.core = core
        self.body_budget = ByteBudget(memory.open_requests)
        """For the bodies of requests whose answers have not started."""
        self.server = HttpServer(
            self._handle,
            self._reject_early,
            limits,
            ByteBudget(memory.arriving),
            ByteBudget(memory.pipelined),
        )
        self.call_ids = CallIdRegister()
        self.is_ready = False

    def _reject_early(self, call: HttpCall) -> Rejection | None:
        """Under overload, return the rejection of a request before its body arrives; else None."""
        # A stopping node closes the connection after its answer. If the client were still sending, the close
        # would overtake the answer and the client would see a reset connection. So while the node stops, the
        # rejection waits until the whole request has arrived.
        if call.method != "POST" or self.core.stopping:
            return None
        reason, wait_us = self.core.overload()
        if not reason:
            return None
        headers = tuple(_retry_after(wait_us / 1e6)) if wait_us else ()
        return Rejection(_SERVICE_UNAVAILABLE, rejection_text(reason), headers)

    def _handle(self, call: HttpCall) -> None:
        if call.target in (_READY_PATH, _HEALTH_PATH):
            self._answer_state(call)
            return
        if call.target == _COUNTERS_PATH:
            self._answer_counters(call)
            return
        try:
            self._submit(call)
        except InvalidRequestError as error:
            status = _NOT_FOUND if error.is_unknown else _BAD_REQUEST
            call.error(status, str(error), [("connection", "close")])

    def _answer_state(self, call: HttpCall) -> None:
        if call.method not in ("GET", "HEAD"):
            _answer_wrong_method(call)
        elif call.target == _READY_PATH and not self.is_ready:
            call.respond(_SERVICE_UNAVAILABLE, b'{"ready": false}')
        else:
            call.respond(_OK, b'{"ready": true}')

    def _answer_counters(self, call: HttpCall) -> None:
        """Answer with the counters since the node's start, as one JSON object."""
        if call.method == "GET":
            call.respond(_OK, json.dumps(self.core.counter_values()).encode())
        else:
            _answer_wrong_method(call)

    def _submit(self, call: HttpCall) -> None:
        call_id = parse_call_id(call)
        if not (verdict := self.call_ids.verdict(call_id)):
            reason = f"{call_id[:MAX_QUOTED_ID_CHARACTERS]!r} {verdict.value}"
            raise InvalidRequestError("x-call-id", reason)
        check_body(call.body)
        request = parse_request(call, call_id, self.core.limits.bytes_per_token)
        reservation = ByteReservation(self.body_budget)
        if not reservation.resize(len(call.body)):
            reason = rejection_text("too many bytes of requests are open")
            call.error(_SERVICE_UNAVAILABLE, reason, _retry_after(BODY_BUDGET_RETRY_AFTER_S))
            return
        forwarded = cast(ForwardedRequest, request.payload)
        writer = _ResponseWriter(self, call, forwarded, reservation)
        self.call_ids.begin(call_id)
        try:
            handle: RequestHandle = self.core.submit(request, writer)
        except InvalidRequestError:
            writer.free_body()
            self.call_ids.end(call_id)
            raise

        def handle_disconnect(reason: str) -> None:
            handle.disconnected(reason)
            writer.free_body()

        call.on_cancelled, call.on_writable = handle_disconnect, handle.writable


def _answer_wrong_method(call: HttpCall) -> None:
    method = call.method[:MAX_QUOTED_METHOD_CHARACTERS]
    call.error(_METHOD_NOT_ALLOWED, f"method: GET expected, is {method}", [("allow", "GET")])


def _retry_after(seconds: float) -> Fields:
    return [("retry-after", f"{seconds:.3f}")]
