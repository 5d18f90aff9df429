"""The front of `tuliptrack.v1.Generation` on gRPC: one request, answered by a stream of tokens.

`docs/operate/grpc.md` has the status codes.
"""

from __future__ import annotations

from tuliptrack.config.node import NodeConfig
from tuliptrack.fronts.grpc_status import failure_status, invalid_request_status
from tuliptrack.fronts.port import ClientRequest, Core, Failure, FinishReason, InvalidRequestError, Usage
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status, rejection_status

__all__ = ["SERVICE", "install"]

SERVICE = "tuliptrack.v1.Generation"
_FINISH_REASONS = {FinishReason.STOP: pb.STOP, FinishReason.LENGTH: pb.LENGTH}


class _GenerateResponseWriter:
    """Writes the response of one call; a `ResponseWriter`."""

    __slots__ = ("call",)

    def __init__(self, call: ServerCall) -> None:
        self.call = call

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        message = pb.GenerateResponse(index=index, text=text)
        if finish:
            message.finish_reason = _FINISH_REASONS[finish]
        if usage:
            message.usage.prompt_tokens = usage.prompt_tokens
            message.usage.cached_tokens = usage.cached_tokens
            message.usage.completion_tokens = usage.completion_tokens
        return self.call.send(message.SerializeToString())

    def served(self) -> None:
        self.call.end(Status(Code.OK))

    def rejected(self, reason: str, retry_after_us: int) -> None:
        self.call.end(rejection_status(reason, retry_after_us))

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        status = failure_status(failure, f"failed: {reason}", reason=reason, next_index=str(next_index))
        self.call.end(status)


def _client_request(call: ServerCall, request: pb.GenerateRequest) -> ClientRequest:
    return ClientRequest(
        request_class=request.request_class,
        prompt=request.prompt,
        tenant=request.tenant,
        session=request.session,
        prefix=request.prefix,
        prompt_tokens=request.prompt_tokens,
        prefix_tokens=request.prefix_tokens,
        max_tokens=request.max_tokens,
        resume_index=request.resume.next_index,
        resume_text=request.resume.text,
        is_retry=request.repeat,
        deadline_us=call.deadline,
        model=request.model,
        model_version=request.model_version,
        work_id=request.work,
        connection=call.link,
    )


def install(server: Server, core: Core, _config: NodeConfig) -> None:
    """Serve the protocol on this server, for this core."""

    def generate(call: ServerCall, message: pb.GenerateRequest) -> None:
        try:
            handle = core.submit(_client_request(call, message), _GenerateResponseWriter(call))
        except InvalidRequestError as error:
            call.end(invalid_request_status(error))
            return
        call.on_cancelled, call.on_writable = handle.disconnected, handle.writable

    server.add(SERVICE, "Generate", unary_request(pb.GenerateRequest, generate), early=True)
