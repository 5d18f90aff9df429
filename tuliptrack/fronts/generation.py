"""The front of `tuliptrack.v1.Generation`: requests in, token streams out, codes as `docs/operate/grpc.md`
lists.
"""

from __future__ import annotations

from tuliptrack.config.node import NodeConfig
from tuliptrack.fronts.codes import bad_request, failure
from tuliptrack.fronts.port import (
    ClientRequest,
    Core,
    Failure,
    FinishReason,
    InvalidRequestError,
    RequestHandle,
    Usage,
)
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status, refusal

__all__ = ["SERVICE", "install"]

SERVICE = "tuliptrack.v1.Generation"
_FINISH = {FinishReason.STOP: pb.STOP, FinishReason.LENGTH: pb.LENGTH}
_OK = Status(Code.OK)


class _Stream:
    """One call, as the core's `Answer`."""

    __slots__ = ("call", "ticket")

    def __init__(self, call: ServerCall) -> None:
        self.call = call
        self.ticket: RequestHandle | None = None

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        message = pb.GenerateResponse(index=index, text=text)
        if finish:
            message.finish_reason = _FINISH[finish]
        if usage:
            message.usage.prompt_tokens = usage.prompt_tokens
            message.usage.cached_tokens = usage.cached_tokens
            message.usage.completion_tokens = usage.completion_tokens
        return self.call.send(message.SerializeToString())

    def served(self) -> None:
        self.call.end(_OK)

    def rejected(self, reason: str, retry_after: int) -> None:
        self.call.end(refusal(reason, retry_after))

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        self.call.end(failure(how, f"failed: {reason}", reason=reason, next_index=str(next_index)))


def install(server: Server, core: Core, config: NodeConfig) -> None:
    """Serve the protocol on this server, for this core."""

    def generate(call: ServerCall, request: pb.GenerateRequest) -> None:
        ask = ClientRequest(
            request.request_class,
            request.prompt,
            request.tenant,
            request.session,
            request.prefix,
            request.prompt_tokens,
            request.prefix_tokens,
            request.max_tokens,
            request.resume.next_index,
            request.resume.text,
            request.repeat,
            call.deadline,
            request.model,
            request.model_version,
            request.work,
            call.link,
        )
        stream = _Stream(call)
        try:
            ticket = stream.ticket = core.submit(ask, stream)
        except InvalidRequestError as error:
            call.end(bad_request(error))
            return
        call.on_gone, call.on_writable = ticket.disconnected, ticket.writable

    server.add(SERVICE, "Generate", unary_request(pb.GenerateRequest, generate), early=True)
