"""`inference.GRPCInferenceService`: one call one answer, and a stream of many requests with many responses
each."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from google.protobuf.message import DecodeError

from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import rejection_text
from tuliptrack.fronts.grpc_status import failure_status, invalid_request_status
from tuliptrack.fronts.kserve.mapping import (
    INPUTS,
    OUTPUTS,
    VERSION,
    Gathered,
    Infer,
    Value,
    ask_of,
    facts_of,
    failure_text,
    wants_final,
    wants_stream,
)
from tuliptrack.fronts.kserve.tensors import TensorError, from_contents, from_raw
from tuliptrack.fronts.port import Core, Failure, FinishReason, InvalidRequestError, RequestHandle, Usage
from tuliptrack.proto import kserve_pb2 as pb
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status, refusal

__all__ = ["EXTENSIONS", "SERVICE", "install"]

SERVICE = "inference.GRPCInferenceService"
EXTENSIONS = ("binary_tensor_data", "generate", "model_stream_infer")
_OK = Status(Code.OK)


def _values(parameters: Mapping[str, pb.InferParameter]) -> dict[str, Value]:
    found: dict[str, Value] = {}
    for name, one in parameters.items():
        kind = one.WhichOneof("parameter_choice")
        if kind is None:
            raise InvalidRequestError(f"parameters.{name[:60]}", "has no value")
        found[name] = getattr(one, kind)
    return found


def infer_of(request: pb.ModelInferRequest) -> Infer:
    """Take a message apart; AskError names what is wrong with a tensor."""
    infer = Infer(
        request.model_name,
        request.model_version,
        request.id,
        _values(request.parameters),
        outputs=[out.name for out in request.outputs],
    )
    raw = list(request.raw_input_contents)
    if raw and len(raw) != len(request.inputs):
        raise InvalidRequestError("raw_input_contents", f"{len(raw)} came for {len(request.inputs)} inputs")
    try:
        for number, one in enumerate(request.inputs):
            if raw and one.HasField("contents"):
                raise InvalidRequestError(
                    f"inputs.{one.name[:60]}.contents", "must not be set beside raw_input_contents"
                )
            infer.inputs.append(
                from_raw(one.name, one.datatype, one.shape, raw[number])
                if raw
                else from_contents(one.name, one.datatype, one.shape, one.contents)
            )
    except TensorError as error:
        raise InvalidRequestError(f"inputs.{error.field}", error.reason) from None
    return infer


def _set(parameters: Any, facts: dict[str, Value]) -> None:
    for name, value in facts.items():
        kind = {bool: "bool_param", int: "int64_param", float: "double_param", str: "string_param"}[
            type(value)
        ]
        setattr(parameters[name], kind, value)


def _response(infer: Infer, text: str | None, facts: dict[str, Value]) -> pb.ModelInferResponse:
    response = pb.ModelInferResponse(model_name=infer.model, model_version=infer.version, id=infer.id)
    if text is not None:
        response.outputs.add(name=OUTPUTS[0][0], datatype="BYTES", shape=[1])
        data = text.encode()
        response.raw_output_contents.append(len(data).to_bytes(4, "little") + data)
    _set(response.parameters, facts)
    return response


class _Whole(Gathered):
    """One ModelInfer, as the core's `Answer`."""

    def __init__(self, call: ServerCall, infer: Infer, most: int) -> None:
        super().__init__(infer, most)
        self.call = call

    def too_large(self, text: str) -> None:
        self.call.end(Status(Code.RESOURCE_EXHAUSTED, text))

    def served(self) -> None:
        self.call.send(_response(self.infer, self.text, self.facts).SerializeToString())
        self.call.end(_OK)

    def rejected(self, reason: str, retry_after: int) -> None:
        self.call.end(refusal(reason, retry_after))

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        # Nothing of it has reached the client, so there is nothing to go on from.
        self.call.end(failure_status(how, failure_text(how, reason, 0), reason=reason))


class _Part:
    """One request of a stream, as the core's `Answer`."""

    def __init__(self, stream: _Stream, infer: Infer) -> None:
        self.stream, self.infer = stream, infer
        self.live, self.final = wants_stream(infer), wants_final(infer)
        self.parts: list[str] = []
        # One message for every token that neither begins nor ends anything: making it anew took 13 us,
        # setting it 2.
        self.message = pb.ModelStreamInferResponse(
            infer_response=_response(infer, "", {"index": 0, "triton_final_response": False})
        )
        self.raw = self.message.infer_response.raw_output_contents
        self.index = self.message.infer_response.parameters["index"]
        self.ticket: RequestHandle | None = None

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        if finish is None and self.live:
            data = text.encode()
            self.raw[0] = len(data).to_bytes(4, "little") + data
            self.index.int64_param = index
            return self.stream.call.send(self.message.SerializeToString())
        facts: dict[str, Value] = facts_of(finish, usage)
        last = finish is not None and not self.final
        if not self.live:
            self.parts.append(text)
            if finish is None:
                return True
            text = "".join(self.parts)
        else:
            facts["index"] = index
        facts["triton_final_response"] = last
        return self.stream.send(_response(self.infer, text, facts))

    def served(self) -> None:
        if self.final:
            self.stream.send(_response(self.infer, None, {"triton_final_response": True}))
        self.stream.ended(self)

    def rejected(self, reason: str, retry_after: int) -> None:
        self._error(rejection_text(reason), {"error": "REFUSED", "retry_after_ms": retry_after // 1000})

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        self._error(failure_text(how, reason, next_index), {"error": how.value, "next_index": next_index})

    def _error(self, text: str, facts: dict[str, Value]) -> None:
        self.stream.error(self.infer, text, facts)
        self.stream.ended(self)


class _Stream:
    """One ModelStreamInfer: requests come and answers go, each ending by itself. Bound on those open:
    admission's."""

    def __init__(self, call: ServerCall, core: Core, config: NodeConfig) -> None:
        self.call, self.core, self.config = call, core, config
        self.open: dict[_Part, None] = {}
        self.ids: set[str] = set()
        self.closed = False
        call.on_message, call.on_half_close = self.message, self.half_close
        call.on_gone, call.on_writable = self.gone, self.writable

    def message(self, data: bytes) -> None:
        try:
            request = pb.ModelInferRequest.FromString(data)
        except DecodeError as error:
            self.error(
                Infer("", "", ""),
                f"request: not a ModelInferRequest ({error})",
                {"error": "INVALID_ARGUMENT"},
            )
            return
        infer = Infer(request.model_name, request.model_version, request.id)
        try:
            infer = infer_of(request)
            if infer.id and infer.id in self.ids:
                raise InvalidRequestError("id", f"{infer.id[:60]!r} is still open on this stream")
            ask = ask_of(infer, self.config.kserve, now_us(), self.call.deadline, self.call.link)
            part = _Part(self, infer)
            self.open[part] = None
            if infer.id:
                self.ids.add(infer.id)
            try:
                part.ticket = self.core.submit(ask, part)
            except InvalidRequestError:
                self._forget(part)
                raise
        except InvalidRequestError as error:
            self.error(
                infer,
                str(error),
                {"error": "NOT_FOUND" if error.is_unknown else "INVALID_ARGUMENT", "field": error.field},
            )

    def send(self, response: pb.ModelInferResponse) -> bool:
        return self.call.send(pb.ModelStreamInferResponse(infer_response=response).SerializeToString())

    def error(self, infer: Infer, text: str, facts: dict[str, Value]) -> None:
        """Tell of one request's end in error; the stream goes on."""
        response = _response(infer, None, {**facts, "triton_final_response": True})
        self.call.send(
            pb.ModelStreamInferResponse(error_message=text, infer_response=response).SerializeToString()
        )

    def _forget(self, part: _Part) -> None:
        self.open.pop(part, None)
        self.ids.discard(part.infer.id)

    def ended(self, part: _Part) -> None:
        self._forget(part)
        self._end_if_done()

    def half_close(self) -> None:
        self.closed = True
        self._end_if_done()

    def _end_if_done(self) -> None:
        if self.closed and not self.open:
            self.call.end(_OK)

    def gone(self, reason: str) -> None:
        for part in list(self.open):
            self._forget(part)
            if part.ticket:
                part.ticket.disconnected(reason)

    def writable(self) -> None:
        for part in list(self.open):
            if part.ticket:
                part.ticket.writable()


def install(server: Server, core: Core, config: NodeConfig) -> None:
    """Serve the protocol on this server, for this core."""

    def answer(call: ServerCall, message: Any) -> None:
        call.send(message.SerializeToString())
        call.end(_OK)

    def metadata(call: ServerCall, request: pb.ModelMetadataRequest) -> None:
        found = [
            m for m in core.models.listed() if m.name == request.name and request.version in ("", m.version)
        ]
        if not found:
            field = "version" if any(m.name == request.name for m in core.models.listed()) else "name"
            call.end(
                invalid_request_status(
                    InvalidRequestError(
                        field, f"{getattr(request, field)[:60]!r} is not served here", is_unknown=True
                    )
                )
            )
            return
        response = pb.ModelMetadataResponse(
            name=request.name, versions=[m.version for m in found], platform="tuliptrack"
        )
        for tensors, kinds in ((response.inputs, INPUTS), (response.outputs, OUTPUTS)):
            for name, datatype, shape in kinds:
                tensors.add(name=name, datatype=datatype, shape=shape)
        answer(call, response)

    def infer(call: ServerCall, request: pb.ModelInferRequest) -> None:
        try:
            taken = infer_of(request)
            ask = ask_of(taken, config.kserve, now_us(), call.deadline, call.link)
            whole = _Whole(call, taken, config.limits.message_bytes)
            whole.ticket = core.submit(ask, whole)
        except InvalidRequestError as error:
            call.end(invalid_request_status(error))
            return
        call.on_gone, call.on_writable = whole.ticket.disconnected, whole.ticket.writable

    def stream(call: ServerCall) -> None:
        _Stream(call, core, config)

    def add(name: str, kind: Any, act: Any, early: bool = False) -> None:
        server.add(SERVICE, name, unary_request(kind, act), early)

    add("ServerLive", pb.ServerLiveRequest, lambda call, _: answer(call, pb.ServerLiveResponse(live=True)))
    add(
        "ServerReady",
        pb.ServerReadyRequest,
        lambda call, _: answer(
            call, pb.ServerReadyResponse(ready=core.serving() and bool(core.models.serving()))
        ),
    )
    add(
        "ModelReady",
        pb.ModelReadyRequest,
        lambda call, request: answer(
            call,
            pb.ModelReadyResponse(ready=core.serving() and core.models.ready(request.name, request.version)),
        ),
    )
    add(
        "ServerMetadata",
        pb.ServerMetadataRequest,
        lambda call, _: answer(
            call, pb.ServerMetadataResponse(name="tuliptrack", version=VERSION, extensions=EXTENSIONS)
        ),
    )
    add("ModelMetadata", pb.ModelMetadataRequest, metadata)
    add("ModelInfer", pb.ModelInferRequest, infer, early=True)
    server.add(SERVICE, "ModelStreamInfer", stream, early=True)
