"""Health and reflection by their published protocols, so that stock tools find the services.

Sources: `grpc.health.v1` and `grpc.reflection.v1` (whose messages are those of v1alpha, byte for byte).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from google.protobuf import descriptor_pool
from google.protobuf.descriptor import FileDescriptor
from google.protobuf.message import DecodeError
from grpc_health.v1 import health_pb2
from grpc_reflection.v1alpha import reflection_pb2

from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["install"]

HEALTH = "grpc.health.v1.Health"
REFLECTION = ("grpc.reflection.v1.ServerReflection", "grpc.reflection.v1alpha.ServerReflection")
_SERVING = health_pb2.HealthCheckResponse.SERVING
_NOT_SERVING = health_pb2.HealthCheckResponse.NOT_SERVING


class Health:
    """The health of the whole server; watchers are told of changes. Bound: they are calls of the server's."""

    def __init__(self, services: Callable[[], set[str]]) -> None:
        self.services = services
        self.serving = False
        self.watchers: set[ServerCall] = set()

    def set(self, serving: bool) -> None:
        if serving != self.serving:
            self.serving = serving
            for call in self.watchers:
                call.send(self._answer())

    def _answer(self) -> bytes:
        status = _SERVING if self.serving else _NOT_SERVING
        return bytes(health_pb2.HealthCheckResponse(status=status).SerializeToString())

    def check(self, call: ServerCall, request: health_pb2.HealthCheckRequest) -> None:
        if request.service and request.service not in self.services():
            call.end(Status(Code.NOT_FOUND, f"service: {request.service[:100]!r} is not served here"))
            return
        call.send(self._answer())
        call.end(Status(Code.OK))

    def watch(self, call: ServerCall, request: health_pb2.HealthCheckRequest) -> None:
        if request.service and request.service not in self.services():
            unknown = health_pb2.HealthCheckResponse(status=health_pb2.HealthCheckResponse.SERVICE_UNKNOWN)
            call.send(unknown.SerializeToString())
            call.on_gone = lambda _: None
            return
        self.watchers.add(call)
        call.on_gone = lambda _: self.watchers.discard(call)
        call.send(self._answer())


def _reflect(
    request: reflection_pb2.ServerReflectionRequest,
    services: set[str],
) -> reflection_pb2.ServerReflectionResponse:
    pool = descriptor_pool.Default()
    answer = reflection_pb2.ServerReflectionResponse(valid_host=request.host, original_request=request)
    kind = request.WhichOneof("message_request")
    try:
        if kind == "list_services":
            for name in sorted(services):
                answer.list_services_response.service.add(name=name)
            return answer
        if kind == "file_by_filename":
            file = pool.FindFileByName(request.file_by_filename)
        elif kind == "file_containing_symbol":
            file = pool.FindFileContainingSymbol(request.file_containing_symbol)
        elif kind == "file_containing_extension":
            asked = request.file_containing_extension
            holder = pool.FindMessageTypeByName(asked.containing_type)
            extension: Any = pool.FindExtensionByNumber(holder, asked.extension_number)
            file = extension.file
        elif kind == "all_extension_numbers_of_type":
            holder = pool.FindMessageTypeByName(request.all_extension_numbers_of_type)
            answer.all_extension_numbers_response.base_type_name = holder.full_name
            answer.all_extension_numbers_response.extension_number.extend(
                e.number for e in pool.FindAllExtensions(holder)
            )
            return answer
        else:
            raise KeyError("message_request is not set")
    except KeyError as error:
        answer.error_response.error_code = int(Code.NOT_FOUND)
        answer.error_response.error_message = str(error)
        return answer
    files: dict[str, bytes] = {}
    todo: list[FileDescriptor] = [file]
    while todo:
        one = todo.pop()
        if one.name not in files:
            files[one.name] = one.serialized_pb
            todo.extend(one.dependencies)
    answer.file_descriptor_response.file_descriptor_proto.extend(files.values())
    return answer


def install(server: Server) -> Health:
    """Serve health and reflection; the caller tells the returned `Health` when the server serves."""

    def services() -> set[str]:
        return {path.split("/")[1] for path in server.methods}

    def reflect(call: ServerCall) -> None:
        def message(data: bytes) -> None:
            try:
                request = reflection_pb2.ServerReflectionRequest.FromString(data)
            except DecodeError as error:
                call.end(Status(Code.INVALID_ARGUMENT, f"request: not a ServerReflectionRequest ({error})"))
                return
            call.send(_reflect(request, services()).SerializeToString())

        call.on_message = message

        def half_close() -> None:
            call.end(Status(Code.OK))

        call.on_half_close = half_close

    health = Health(services)
    server.add(HEALTH, "Check", unary_request(health_pb2.HealthCheckRequest, health.check))
    server.add(HEALTH, "Watch", unary_request(health_pb2.HealthCheckRequest, health.watch))
    for name in REFLECTION:
        server.add(name, "ServerReflectionInfo", reflect)
    return health
