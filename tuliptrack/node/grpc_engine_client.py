"""Engines that speak `tuliptrack.v1.Engine`: the core's attempts as gRPC calls, and what comes of them."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from tuliptrack import interface as io
from tuliptrack.fronts.port import FinishReason, Usage
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.core import Core
from tuliptrack.node.engine_channels import EngineChannels, load_of, outcome_of
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.proto import engine_pb2, generation_pb2
from tuliptrack.rpc.channel import ClientCall, End, How
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.status import Code

__all__ = ["ENGINE", "GrpcCall", "GrpcEngineClient"]

log = structlog.get_logger("node")

ENGINE = "/tuliptrack.v1.Engine/"
_SHORT_CALL = 1_000_000  # microseconds for Release, Hold and Probe, which wait in no queue
_RELEASE_TRIES = (250_000, _SHORT_CALL)
"""Microseconds for each try of a release: by the second one a silent connection is doubted and another one
used."""
_RELEASE_TRAVEL_US = 60_000  # a release takes so long at most to its engine, on a busy machine too
_FINISH = {generation_pb2.STOP: FinishReason.STOP, generation_pb2.LENGTH: FinishReason.LENGTH}
_HOW = {io.Status.TIMEOUT: How.TIMEOUT, io.Status.RESET: How.RESET}


class GrpcCall:
    """An attempt that is out, on a call."""

    __slots__ = ("call",)

    def __init__(self, call: ClientCall) -> None:
        self.call = call

    def cancel(self, status: io.Status) -> None:
        self.call.cancel(_HOW.get(status, How.CANCELLED))

    def delivery(self) -> Delivery:
        if self.call.link is None:
            return Delivery.NOT_SENT
        return Delivery.CONFIRMED if self.call.arrived else Delivery.POSSIBLE

    def confirm_arrival(self) -> None:
        """Its connection looks for its own proofs."""

    def mark_doubtful(self) -> None:
        """Its connection looks for its own proofs."""

    def pause(self) -> None:
        self.call.pause()

    def resume(self) -> None:
        self.call.resume()


class GrpcEngineClient:
    """See `node/port.py`; the channels are `EngineChannels`'."""

    prefills_have_no_effect = True
    releases_are_global = False
    release_transit_us = _RELEASE_TRAVEL_US

    def __init__(self, core: Core, channels: EngineChannels) -> None:
        self.core, self.channels = core, channels

    def is_reachable(self, server: int) -> bool:
        return self.channels.channel(server) is not None

    def start(self, record: RequestRecord, attempt: Attempt, timeout: int) -> GrpcCall:
        if attempt.is_prefill:
            read = engine_pb2.ReadRequest(work=self._work(record, attempt))
            return self._call("Read", read.SerializeToString(), record, attempt, self._read_message)
        write = engine_pb2.WriteRequest(work=self._work(record, attempt))
        if record.kv_state:
            write.state.state_id, write.state.address = record.kv_state.state_id, record.kv_state.address
        return self._call("Write", write.SerializeToString(), record, attempt, self._token)

    def _call(
        self,
        method: str,
        message: bytes,
        record: RequestRecord,
        attempt: Attempt,
        on_message: Callable[[RequestRecord, Attempt, bytes], None],
    ) -> GrpcCall:
        channel = self.channels.channel(attempt.endpoint_id)
        assert channel
        connect_within = attempt.connect_by_us - self.core.now() if attempt.connect_by_us else None
        return GrpcCall(
            channel.call(
                ENGINE + method,
                message=message,
                connect_within=connect_within,
                on_message=lambda data: on_message(record, attempt, data),
                on_end=lambda end: self._over(record, attempt, end),
            )
        )

    def _over(self, record: RequestRecord, attempt: Attempt, end: End) -> None:
        status = outcome_of(end)
        lost = status is io.Status.AT_CAPACITY and end.status.code is Code.FAILED_PRECONDITION
        self.core.attempt_ended(
            record,
            attempt,
            AttemptResult(
                status,
                end.status.message,
                lost,
                load_of(end, attempt.endpoint_id),
                is_confirmed=end.how is How.STATUS,
                detail=end,
                is_connection_only=end.lone,
            ),
        )

    def _work(self, record: RequestRecord, attempt: Attempt) -> engine_pb2.Work:
        ask = record.client_request
        work = engine_pb2.Work(
            request_id=record.name,
            request_class=ask.request_class,
            tenant=ask.tenant,
            session=ask.session,
            prefix=ask.prefix,
            prompt=ask.prompt,
            prompt_tokens=ask.prompt_tokens,
            prefix_tokens=ask.prefix_tokens,
            max_tokens=ask.max_tokens,
            attempt=attempt.number,
            model=record.model.name,
            model_version=record.model.version,
        )
        if ask.resume_index:
            work.resume.next_index, work.resume.text = ask.resume_index, ask.resume_text
        return work

    def _read_message(self, record: RequestRecord, attempt: Attempt, data: bytes) -> None:
        try:
            answer = engine_pb2.ReadResponse.FromString(data)
        except DecodeError:
            self._engine_fault(record, attempt, "malformed ReadResponse")
            return
        address = self.channels.addresses.get(attempt.endpoint_id, "")
        self.core.prefill_finished(
            record,
            attempt,
            KvStateLocation(attempt.endpoint_id, answer.state_id, address),
            answer.kept_tokens,
        )

    def _engine_fault(self, record: RequestRecord, attempt: Attempt, reason: str) -> None:
        """An engine speaks nonsense: the attempt is broken off as an error of its."""
        log.warning("engine fault", request=record.id, server=attempt.endpoint_id, reason=reason)
        if attempt.call:
            attempt.call.cancel(io.Status.RESET)

    def _token(self, record: RequestRecord, attempt: Attempt, data: bytes) -> None:
        """A token has come from a writer."""
        if record.attempt is not attempt or record.is_concluded:
            return
        try:
            message = generation_pb2.GenerateResponse.FromString(data)
        except DecodeError:
            self._engine_fault(record, attempt, "malformed GenerateResponse")
            return
        if not self._in_order(record, message):
            self._engine_fault(
                record, attempt, f"token {message.index} came, {record.next_index} was to come"
            )
            return
        if not self.core.output_arrived(record, attempt):
            return
        record.next_index += 1
        usage = None
        if message.finish_reason:
            record.finish_reason = _FINISH.get(message.finish_reason, FinishReason.STOP)
            ask = record.client_request
            usage = Usage(ask.prompt_tokens, record.cached_tokens, record.next_index - ask.resume_index)
        self.core.output_forwarded(
            record, attempt, record.response.token(message.index, message.text, record.finish_reason, usage)
        )

    def _in_order(self, record: RequestRecord, message: generation_pb2.GenerateResponse) -> bool:
        """No token reaches a client twice, out of turn, or after the last one."""
        return message.index == record.next_index and not record.finish_reason

    def release(self, server: int, record: RequestRecord, unsure: bool = False) -> None:
        """Tell an engine to let go of what it holds; once more where that call broke or has had no answer for
        a while.
        """
        self._release(server, record, _RELEASE_TRIES)

    def _release(self, server: int, record: RequestRecord, timeouts: tuple[int, ...]) -> None:
        channel = self.channels.channel(server)
        if channel is None:
            return

        def ended(end: End) -> None:
            if timeouts[1:] and end.how in (How.RESET, How.TIMEOUT):
                self._release(server, record, timeouts[1:])

        request = engine_pb2.ReleaseRequest(request_id=record.name)
        channel.call(
            ENGINE + "Release", message=request.SerializeToString(), timeout=timeouts[0], on_end=ended
        )

    def release_later(self, server: int, record: RequestRecord) -> None:
        """What it comes to hold ends by its own lease."""

    def cancel_release(self, record: RequestRecord) -> None:
        """A call that is out names the request, not a state: it is left to its end."""

    def reserve(self, server: int, record: RequestRecord, attempt: Attempt) -> None:
        channel, got = self.channels.channel(server), list[bytes]()
        if channel is None:
            return

        def ended(end: End) -> None:
            held = (
                end.status.code is Code.OK and bool(got) and engine_pb2.HoldResponse.FromString(got[0]).held
            )
            self.core.reservation_answered(record, attempt, server, held)

        request = engine_pb2.HoldRequest(work=self._work(record, attempt))
        channel.call(
            ENGINE + "Hold",
            message=request.SerializeToString(),
            timeout=_SHORT_CALL,
            on_message=got.append,
            on_end=ended,
        )

    def check_health(self, server: int, done: Callable[[io.HealthCheckResult], None]) -> None:
        channel, sent = self.channels.channel(server), now_us()
        if channel:
            channel.call(
                ENGINE + "Probe",
                message=b"",
                timeout=_SHORT_CALL,
                on_end=lambda end: done(
                    io.HealthCheckResult(server, outcome_of(end), now_us() - sent, load_of(end, server))
                ),
            )

    def close_idle_connections(self, server: int) -> None:
        if channel := self.channels.channels.get(server):
            channel.close_idle()
