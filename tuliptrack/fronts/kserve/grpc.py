"""The gRPC form of the v2 protocol, `inference.GRPCInferenceService`.

`ModelInfer` is one request with one response. A `ModelStreamInfer` carries many requests, each with many
responses, and a request that fails does not affect the others.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from google.protobuf.message import DecodeError

from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import rejection_text
from tuliptrack.fronts.grpc_status import failure_status, invalid_request_status
from tuliptrack.fronts.kserve.mapping import (
    EXTENSIONS,
    INPUTS,
    MAX_QUOTED_NAME,
    OUTPUTS,
    VERSION,
    BufferedResponse,
    InferRequest,
    Value,
    client_request_of,
    failure_text,
    final_parameters,
    wants_empty_final_response,
    wants_stream,
)
from tuliptrack.fronts.kserve.tensors import TensorError, encode_element, from_contents, from_raw
from tuliptrack.fronts.port import Core, Failure, FinishReason, InvalidRequestError, RequestHandle, Usage
from tuliptrack.proto import kserve_pb2 as pb
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status, rejection_status

__all__ = ["SERVICE", "install", "parse_infer"]

SERVICE = "inference.GRPCInferenceService"
_PARAMETER_FIELDS = {bool: "bool_param", int: "int64_param", float: "double_param", str: "string_param"}


def parse_infer(request: pb.ModelInferRequest) -> InferRequest:
    """Parse a message.

    Raises:
        InvalidRequestError: Names the tensor or parameter that is invalid.
    """
    infer = InferRequest(
        request.model_name,
        request.model_version,
        request.id,
        _read_parameters(request.parameters),
        outputs=[output.name for output in request.outputs],
    )
    raw = list(request.raw_input_contents)
    if raw and len(raw) != len(request.inputs):
        raise InvalidRequestError("raw_input_contents", f"{len(raw)} came for {len(request.inputs)} inputs")
    try:
        for index, tensor in enumerate(request.inputs):
            if not raw:
                parsed = from_contents(tensor.name, tensor.datatype, tensor.shape, tensor.contents)
            elif tensor.HasField("contents"):
                field = f"inputs.{tensor.name[:MAX_QUOTED_NAME]}.contents"
                raise InvalidRequestError(field, "must not be set beside raw_input_contents")
            else:
                parsed = from_raw(tensor.name, tensor.datatype, tensor.shape, raw[index])
            infer.inputs.append(parsed)
    except TensorError as error:
        raise InvalidRequestError(f"inputs.{error.field}", error.reason) from None
    return infer


def _read_parameters(parameters: Mapping[str, pb.InferParameter]) -> dict[str, Value]:
    values: dict[str, Value] = {}
    for name, parameter in parameters.items():
        kind = parameter.WhichOneof("parameter_choice")
        if kind is None:
            raise InvalidRequestError(f"parameters.{name[:MAX_QUOTED_NAME]}", "has no value")
        values[name] = getattr(parameter, kind)
    return values


def _response(infer: InferRequest, text: str | None, parameters: dict[str, Value]) -> pb.ModelInferResponse:
    """Return a response with this output text (None: no output) and parameters."""
    response = pb.ModelInferResponse(model_name=infer.model, model_version=infer.version, id=infer.id)
    if text is not None:
        name, datatype, shape = OUTPUTS[0]
        response.outputs.add(name=name, datatype=datatype, shape=shape)
        response.raw_output_contents.append(encode_element(text.encode()))
    for name, value in parameters.items():
        setattr(response.parameters[name], _PARAMETER_FIELDS[type(value)], value)
    return response


class _UnaryResponse(BufferedResponse):
    """Writes the response of one ModelInfer; a `ResponseWriter`."""

    def __init__(self, call: ServerCall, infer: InferRequest, max_bytes: int) -> None:
        super().__init__(infer, max_bytes)
        self.call = call

    def too_large(self, text: str) -> None:
        self.call.end(Status(Code.RESOURCE_EXHAUSTED, text))

    def served(self) -> None:
        self.call.send(_response(self.infer, self.text, self.parameters).SerializeToString())
        self.call.end(Status(Code.OK))

    def rejected(self, reason: str, retry_after_us: int) -> None:
        self.call.end(rejection_status(reason, retry_after_us))

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        # No token has reached the client, so there is none to resume from.
        self.call.end(failure_status(failure, failure_text(failure, reason, 0), reason=reason))


class _StreamedResponse:
    """Writes the responses of one request of a ModelStreamInfer; a `ResponseWriter`."""

    def __init__(self, stream: _InferStream, infer: InferRequest) -> None:
        self.stream, self.infer = stream, infer
        self.sends_each_token = wants_stream(infer)
        self.sends_empty_final = wants_empty_final_response(infer)
        self.handle: RequestHandle | None = None
        self._parts: list[str] = []
        # Reused for every token but the last: building a new message costs several times as much.
        self._message = pb.ModelStreamInferResponse(
            infer_response=_response(infer, "", {"index": 0, "triton_final_response": False})
        )
        self._raw_output = self._message.infer_response.raw_output_contents
        self._index = self._message.infer_response.parameters["index"]

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        if self.sends_each_token:
            if finish is None:
                return self._send_token(index, text)
            return self._send_last(text, {**final_parameters(finish, usage), "index": index})
        self._parts.append(text)
        if finish is None:
            return True
        return self._send_last("".join(self._parts), final_parameters(finish, usage))

    def _send_token(self, index: int, text: str) -> bool:
        self._raw_output[0] = encode_element(text.encode())
        self._index.int64_param = index
        return self.stream.call.send(self._message.SerializeToString())

    def _send_last(self, text: str, parameters: dict[str, Value]) -> bool:
        parameters["triton_final_response"] = not self.sends_empty_final
        return self.stream.send(_response(self.infer, text, parameters))

    def served(self) -> None:
        if self.sends_empty_final:
            self.stream.send(_response(self.infer, None, {"triton_final_response": True}))
        self.stream.handle_ended(self)

    def rejected(self, reason: str, retry_after_us: int) -> None:
        self._error(rejection_text(reason), {"error": "REFUSED", "retry_after_ms": retry_after_us // 1000})

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        self._error(
            failure_text(failure, reason, next_index), {"error": failure.value, "next_index": next_index}
        )

    def _error(self, text: str, parameters: dict[str, Value]) -> None:
        self.stream.send_error(self.infer, text, parameters)
        self.stream.handle_ended(self)


class _InferStream:
    """One ModelStreamInfer call. The core's concurrency limits bound its open requests."""

    def __init__(self, call: ServerCall, core: Core, config: NodeConfig) -> None:
        self.call, self.core, self.config = call, core, config
        self._open: dict[_StreamedResponse, None] = {}
        """The open requests, in the order in which they came."""
        self._open_ids: set[str] = set()
        self._is_half_closed = False
        call.on_message, call.on_half_close = self._handle_message, self._handle_half_close
        call.on_cancelled, call.on_writable = self._handle_disconnect, self._handle_writable

    def _handle_message(self, data: bytes) -> None:
        try:
            request = pb.ModelInferRequest.FromString(data)
        except DecodeError as error:
            text = f"request: not a ModelInferRequest ({error})"
            self.send_error(InferRequest("", "", ""), text, {"error": "INVALID_ARGUMENT"})
            return
        try:
            self._submit(request)
        except InvalidRequestError as error:
            named = InferRequest(request.model_name, request.model_version, request.id)
            kind = "NOT_FOUND" if error.is_unknown else "INVALID_ARGUMENT"
            self.send_error(named, str(error), {"error": kind, "field": error.field})

    def _submit(self, request: pb.ModelInferRequest) -> None:
        infer = parse_infer(request)
        if infer.id and infer.id in self._open_ids:
            quoted = infer.id[:MAX_QUOTED_NAME]
            raise InvalidRequestError("id", f"{quoted!r} is still open on this stream")
        client_request = client_request_of(
            infer, self.config.kserve, now_us(), self.call.deadline, self.call.link
        )
        response = _StreamedResponse(self, infer)
        self._open[response] = None
        if infer.id:
            self._open_ids.add(infer.id)
        try:
            response.handle = self.core.submit(client_request, response)
        except InvalidRequestError:
            self._forget(response)
            raise

    def send(self, response: pb.ModelInferResponse) -> bool:
        return self.call.send(pb.ModelStreamInferResponse(infer_response=response).SerializeToString())

    def send_error(self, infer: InferRequest, text: str, parameters: dict[str, Value]) -> None:
        """Report that one request has ended with an error; the stream goes on."""
        response = _response(infer, None, {**parameters, "triton_final_response": True})
        message = pb.ModelStreamInferResponse(error_message=text, infer_response=response)
        self.call.send(message.SerializeToString())

    def _forget(self, response: _StreamedResponse) -> None:
        self._open.pop(response, None)
        self._open_ids.discard(response.infer.id)

    def handle_ended(self, response: _StreamedResponse) -> None:
        self._forget(response)
        self._end_if_complete()

    def _handle_half_close(self) -> None:
        self._is_half_closed = True
        self._end_if_complete()

    def _end_if_complete(self) -> None:
        if self._is_half_closed and not self._open:
            self.call.end(Status(Code.OK))

    def _handle_disconnect(self, reason: str) -> None:
        for response in list(self._open):
            self._forget(response)
            if response.handle:
                response.handle.disconnected(reason)

    def _handle_writable(self) -> None:
        for response in list(self._open):
            if response.handle:
                response.handle.writable()


class _InferenceService:
    """The methods of the service; each answers or ends its call."""

    def __init__(self, core: Core, config: NodeConfig) -> None:
        self.core, self.config = core, config

    def server_live(self, call: ServerCall, _: pb.ServerLiveRequest) -> None:
        _answer(call, pb.ServerLiveResponse(live=True))

    def server_ready(self, call: ServerCall, _: pb.ServerReadyRequest) -> None:
        is_ready = self.core.serving() and bool(self.core.models.serving())
        _answer(call, pb.ServerReadyResponse(ready=is_ready))

    def model_ready(self, call: ServerCall, request: pb.ModelReadyRequest) -> None:
        is_ready = self.core.serving() and self.core.models.ready(request.name, request.version)
        _answer(call, pb.ModelReadyResponse(ready=is_ready))

    def server_metadata(self, call: ServerCall, _: pb.ServerMetadataRequest) -> None:
        response = pb.ServerMetadataResponse(name="tuliptrack", version=VERSION, extensions=EXTENSIONS)
        _answer(call, response)

    def model_metadata(self, call: ServerCall, request: pb.ModelMetadataRequest) -> None:
        named = [model for model in self.core.models.listed() if model.name == request.name]
        versions = [model.version for model in named if request.version in ("", model.version)]
        if not versions:
            field = "version" if named else "name"
            quoted = getattr(request, field)[:MAX_QUOTED_NAME]
            error = InvalidRequestError(field, f"{quoted!r} is not served here", is_unknown=True)
            call.end(invalid_request_status(error))
            return
        response = pb.ModelMetadataResponse(name=request.name, versions=versions, platform="tuliptrack")
        for tensors, described in ((response.inputs, INPUTS), (response.outputs, OUTPUTS)):
            for name, datatype, shape in described:
                tensors.add(name=name, datatype=datatype, shape=shape)
        _answer(call, response)

    def model_infer(self, call: ServerCall, request: pb.ModelInferRequest) -> None:
        try:
            infer = parse_infer(request)
            client_request = client_request_of(infer, self.config.kserve, now_us(), call.deadline, call.link)
            response = _UnaryResponse(call, infer, self.config.limits.message_bytes)
            handle = response.handle = self.core.submit(client_request, response)
        except InvalidRequestError as error:
            call.end(invalid_request_status(error))
            return
        call.on_cancelled, call.on_writable = handle.disconnected, handle.writable

    def model_stream_infer(self, call: ServerCall) -> None:
        _InferStream(call, self.core, self.config)


def _answer(call: ServerCall, message: Any) -> None:
    call.send(message.SerializeToString())
    call.end(Status(Code.OK))


def install(server: Server, core: Core, config: NodeConfig) -> None:
    """Serve the protocol on this server, for this core."""
    service = _InferenceService(core, config)

    def add(name: str, kind: Any, handle: Any, early: bool = False) -> None:
        server.add(SERVICE, name, unary_request(kind, handle), early)

    add("ServerLive", pb.ServerLiveRequest, service.server_live)
    add("ServerReady", pb.ServerReadyRequest, service.server_ready)
    add("ModelReady", pb.ModelReadyRequest, service.model_ready)
    add("ServerMetadata", pb.ServerMetadataRequest, service.server_metadata)
    add("ModelMetadata", pb.ModelMetadataRequest, service.model_metadata)
    add("ModelInfer", pb.ModelInferRequest, service.model_infer, early=True)
    server.add(SERVICE, "ModelStreamInfer", service.model_stream_infer, early=True)
