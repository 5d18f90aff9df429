"""Carries out the core's attempts at engines that speak `tuliptrack.v1.Engine` over gRPC.

A prefill is one call (`Read`) and a decode another (`Write`), which fetches the KV state from the engine that
has it. Times are in microseconds. The methods are those of `EngineClient` (`node/port.py`) and `AttemptCall`
(`node/attempt_call.py`), which document when each is called.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from tuliptrack import interface as io
from tuliptrack.decisions.stream_idle import OutputKind
from tuliptrack.fronts.port import FinishReason, Usage
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.core import Core
from tuliptrack.node.engine_channels import EngineChannels
from tuliptrack.node.grpc_outcome import load_report_of, status_of
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.proto import engine_pb2, generation_pb2
from tuliptrack.rpc.channel import ClientCall, End, EndReason
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.status import Code

__all__ = ["ENGINE_SERVICE_PATH", "GrpcCall", "GrpcEngineClient"]

log = structlog.get_logger("node")

ENGINE_SERVICE_PATH = "/tuliptrack.v1.Engine/"
SHORT_CALL_TIMEOUT_US = 1_000_000
"""Timeout of Release, Hold and Probe calls, which engines answer without queueing."""
RELEASE_TIMEOUTS_US = (250_000, SHORT_CALL_TIMEOUT_US)
"""Timeouts of the two attempts to send a release. By the time of the second attempt, a connection that has
stayed silent counts as doubtful, so the second attempt uses another connection."""
RELEASE_TRANSIT_US = 60_000
"""Maximum time that a release takes to reach its engine, even on a busy machine."""

_FINISH_REASONS = {generation_pb2.STOP: FinishReason.STOP, generation_pb2.LENGTH: FinishReason.LENGTH}
_END_BY_STATUS = {io.Status.TIMEOUT: EndReason.TIMEOUT, io.Status.RESET: EndReason.RESET}


class GrpcCall:
    """An attempt in flight, as a gRPC call."""

    __slots__ = ("call",)

    def __init__(self, call: ClientCall) -> None:
        self.call = call

    def cancel(self, status: io.Status) -> None:
        """Cancel the call; its end is reported as `status`."""
        self.call.cancel(_END_BY_STATUS.get(status, EndReason.CANCELLED))

    def delivery(self) -> Delivery:
        """Return what the connection knows about the delivery of the request."""
        if self.call.link is None:
            return Delivery.NOT_SENT
        return Delivery.CONFIRMED if self.call.arrived else Delivery.POSSIBLE

    def confirm_arrival(self) -> None:
        """Do nothing: the connection itself checks for proof of arrival (`rpc/arrival.py`)."""

    def mark_doubtful(self) -> None:
        """Do nothing: the connection itself detects that it is silent (`rpc/arrival.py`)."""

    def sample_unread(self) -> bool:
        """Return whether the call is paused: the engine may have filled the stream window meanwhile."""
        return self.call.paused

    def pause(self) -> None:
        """Stop reading the engine's stream."""
        self.call.pause()

    def resume(self) -> None:
        """Read the engine's stream again."""
        self.call.resume()


class GrpcEngineClient:
    """The engine client of the gRPC node."""

    prefills_have_no_effect = True
    releases_are_global = False
    release_transit_us = RELEASE_TRANSIT_US

    def __init__(self, core: Core, channels: EngineChannels) -> None:
        self.core, self.channels = core, channels

    def has_address(self, endpoint_id: int) -> bool:
        """Return whether the endpoint is listed, with an address."""
        return self.channels.channel(endpoint_id) is not None

    def start(self, record: RequestRecord, attempt: Attempt, timeout_us: int) -> GrpcCall:
        """Start an attempt; the core itself ends it after `timeout_us`."""
        if attempt.is_prefill:
            prefill = engine_pb2.ReadRequest(work=_work(record, attempt))
            return self._call("Read", prefill.SerializeToString(), record, attempt, self._handle_prefilled)
        decode = engine_pb2.WriteRequest(work=_work(record, attempt))
        if record.kv_state:
            decode.state.state_id, decode.state.address = record.kv_state.state_id, record.kv_state.address
        return self._call("Write", decode.SerializeToString(), record, attempt, self._handle_token)

    def _call(
        self,
        method: str,
        message: bytes,
        record: RequestRecord,
        attempt: Attempt,
        on_message: Callable[[RequestRecord, Attempt, bytes], None],
    ) -> GrpcCall:
        channel = self.channels.channel(attempt.endpoint_id)
        assert channel  # The core has checked `has_address`.
        connect_within = attempt.connect_by_us - self.core.now() if attempt.connect_by_us else None
        return GrpcCall(
            channel.call(
                ENGINE_SERVICE_PATH + method,
                message=message,
                connect_within=connect_within,
                on_message=lambda data: on_message(record, attempt, data),
                on_end=lambda end: self._handle_end(record, attempt, end),
            )
        )

    def _handle_end(self, record: RequestRecord, attempt: Attempt, end: End) -> None:
        status = status_of(end)
        # An engine that lacks the KV state answers FAILED_PRECONDITION, which counts as no capacity.
        is_state_lost = status is io.Status.AT_CAPACITY and end.status.code is Code.FAILED_PRECONDITION
        result = AttemptResult(
            status,
            end.status.message,
            is_state_lost,
            load_report_of(end, attempt.endpoint_id),
            is_confirmed=end.how is EndReason.STATUS,
            detail=end,
            is_connection_only=end.is_connection_only,
        )
        self.core.attempt_ended(record, attempt, result)

    def _handle_prefilled(self, record: RequestRecord, attempt: Attempt, data: bytes) -> None:
        try:
            response = engine_pb2.ReadResponse.FromString(data)
        except DecodeError:
            self._handle_engine_fault(record, attempt, "malformed ReadResponse")
            return
        address = self.channels.addresses.get(attempt.endpoint_id, "")
        location = KvStateLocation(attempt.endpoint_id, response.state_id, address)
        self.core.prefill_finished(record, attempt, location, response.kept_tokens)

    def _handle_engine_fault(self, record: RequestRecord, attempt: Attempt, reason: str) -> None:
        """End an attempt whose engine violates the protocol, as if its stream had been reset."""
        log.warning("engine fault", request=record.id, endpoint=attempt.endpoint_id, reason=reason)
        if attempt.call:
            attempt.call.cancel(io.Status.RESET)

    def _handle_token(self, record: RequestRecord, attempt: Attempt, data: bytes) -> None:
        if record.attempt is not attempt or record.is_concluded:
            return
        try:
            message = generation_pb2.GenerateResponse.FromString(data)
        except DecodeError:
            self._handle_engine_fault(record, attempt, "malformed GenerateResponse")
            return
        if not _is_next_token(record, message):
            reason = f"token {message.index} came, {record.next_index} was to come"
            self._handle_engine_fault(record, attempt, reason)
            return
        kind = OutputKind.LAST_EVENT if message.finish_reason else OutputKind.EVENT
        if self.core.output_arrived(record, attempt, kind):
            self._forward_token(record, attempt, message)

    def _forward_token(
        self, record: RequestRecord, attempt: Attempt, message: generation_pb2.GenerateResponse
    ) -> None:
        record.next_index += 1
        usage = None
        if message.finish_reason:
            record.finish_reason = _FINISH_REASONS.get(message.finish_reason, FinishReason.STOP)
            request = record.client_request
            output_tokens = record.next_index - request.resume_index
            usage = Usage(request.prompt_tokens, record.cached_tokens, output_tokens)
        may_send_more = record.response.token(message.index, message.text, record.finish_reason, usage)
        self.core.output_forwarded(record, attempt, may_send_more)

    def release(self, endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False) -> None:
        """Release what an engine reserves for a request; retry once if the engine does not answer."""
        self._release(endpoint_id, record, RELEASE_TIMEOUTS_US)

    def _release(self, endpoint_id: int, record: RequestRecord, timeouts_us: tuple[int, ...]) -> None:
        """Send a release with the first of these timeouts; the others are for the retries."""
        channel = self.channels.channel(endpoint_id)
        if channel is None:
            return
        timeout_us, *more_timeouts_us = timeouts_us

        def handle_end(end: End) -> None:
            if more_timeouts_us and end.how in (EndReason.RESET, EndReason.TIMEOUT):
                self._release(endpoint_id, record, tuple(more_timeouts_us))

        request = engine_pb2.ReleaseRequest(request_id=record.name)
        channel.call(
            ENGINE_SERVICE_PATH + "Release",
            message=request.SerializeToString(),
            timeout=timeout_us,
            on_end=handle_end,
        )

    def release_later(self, endpoint_id: int, record: RequestRecord) -> None:
        """Do nothing: anything that the engine may still reserve expires by the engine's own lease."""

    def cancel_release(self, record: RequestRecord) -> None:
        """Do nothing: a release in flight names the request, not a state, and is allowed to complete."""

    def reserve(self, endpoint_id: int, record: RequestRecord, attempt: Attempt) -> None:
        """Ask an engine to reserve capacity; its answer goes to `Core.reservation_answered`."""
        channel = self.channels.channel(endpoint_id)
        if channel is None:
            return
        responses: list[bytes] = []

        def handle_end(end: End) -> None:
            is_reserved = end.status.code is Code.OK and bool(responses) and _is_reserved(responses[0])
            self.core.reservation_answered(record, attempt, endpoint_id, is_reserved)

        request = engine_pb2.HoldRequest(work=_work(record, attempt))
        channel.call(
            ENGINE_SERVICE_PATH + "Hold",
            message=request.SerializeToString(),
            timeout=SHORT_CALL_TIMEOUT_US,
            on_message=responses.append,
            on_end=handle_end,
        )

    def check_health(self, endpoint_id: int, done: Callable[[io.HealthCheckResult], None]) -> None:
        """Check the health of an engine; `done` is called with the result."""
        channel, sent_at_us = self.channels.channel(endpoint_id), now_us()
        if channel is None:
            return

        def handle_end(end: End) -> None:
            latency_us = now_us() - sent_at_us
            done(
                io.HealthCheckResult(
                    endpoint_id, status_of(end), latency_us, load_report_of(end, endpoint_id)
                )
            )

        channel.call(
            ENGINE_SERVICE_PATH + "Probe",
            message=b"",
            timeout=SHORT_CALL_TIMEOUT_US,
            on_end=handle_end,
        )

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close idle connections to an endpoint."""
        if channel := self.channels.channels.get(endpoint_id):
            channel.close_idle()


def _is_reserved(data: bytes) -> bool:
    """Return whether an engine has reserved capacity; an answer that can't be parsed counts as no."""
    try:
        return engine_pb2.HoldResponse.FromString(data).held
    except DecodeError:
        return False


def _is_next_token(record: RequestRecord, message: generation_pb2.GenerateResponse) -> bool:
    """Return whether this token comes next: none may reach a client twice, out of order or after the last."""
    return message.index == record.next_index and not record.finish_reason


def _work(record: RequestRecord, attempt: Attempt) -> engine_pb2.Work:
    """Return the description of a request that all its calls to engines have in common."""
    request = record.client_request
    work = engine_pb2.Work(
        request_id=record.name,
        request_class=request.request_class,
        tenant=request.tenant,
        session=request.session,
        prefix=request.prefix,
        prompt=request.prompt,
        prompt_tokens=request.prompt_tokens,
        prefix_tokens=request.prefix_tokens,
        max_tokens=request.max_tokens,
        attempt=attempt.number,
        model=record.model.name,
        model_version=record.model.version,
    )
    if request.resume_index:
        work.resume.next_index, work.resume.text = request.resume_index, request.resume_text
    return work
