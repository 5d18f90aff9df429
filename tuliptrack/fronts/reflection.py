"""The reflection service of a gRPC server, by which standard tools find its services and their messages.

Source: the published protocols `grpc.reflection.v1` and `v1alpha`, whose messages are the same byte for byte.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from google.protobuf import descriptor_pool
from google.protobuf.descriptor import FileDescriptor
from google.protobuf.message import DecodeError
from grpc_reflection.v1alpha import reflection_pb2 as pb

from tuliptrack.rpc.server import Server, ServerCall
from tuliptrack.rpc.status import Code, Status

__all__ = ["SERVICES", "install", "service_names"]

SERVICES = ("grpc.reflection.v1.ServerReflection", "grpc.reflection.v1alpha.ServerReflection")


def service_names(server: Server) -> set[str]:
    """Return the full names of the services that a server has now."""
    return {path.split("/")[1] for path in server.methods}


def _list_services(services: set[str], response: pb.ServerReflectionResponse) -> None:
    for name in sorted(services):
        response.list_services_response.service.add(name=name)


def _list_extensions(type_name: str, response: pb.ServerReflectionResponse) -> None:
    """Add the extension numbers of a message type; KeyError where it is unknown."""
    pool = descriptor_pool.Default()
    message_type = pool.FindMessageTypeByName(type_name)
    numbers = response.all_extension_numbers_response
    numbers.base_type_name = message_type.full_name
    numbers.extension_number.extend(extension.number for extension in pool.FindAllExtensions(message_type))


def _find_file(request: pb.ServerReflectionRequest) -> FileDescriptor:
    """Return the file that a request asks for, by its name or what it defines; KeyError where unknown."""
    pool = descriptor_pool.Default()
    kind = request.WhichOneof("message_request")
    if kind == "file_by_filename":
        return pool.FindFileByName(request.file_by_filename)
    if kind == "file_containing_symbol":
        return pool.FindFileContainingSymbol(request.file_containing_symbol)
    if kind == "file_containing_extension":
        wanted = request.file_containing_extension
        message_type = pool.FindMessageTypeByName(wanted.containing_type)
        extension: Any = pool.FindExtensionByNumber(message_type, wanted.extension_number)
        file: FileDescriptor = extension.file
        return file
    raise KeyError("message_request is not set")


def _add_file(file: FileDescriptor, response: pb.ServerReflectionResponse) -> None:
    """Add a file and all that it depends on, each once."""
    serialized: dict[str, bytes] = {}
    pending = [file]
    while pending:
        current = pending.pop()
        if current.name not in serialized:
            serialized[current.name] = current.serialized_pb
            pending.extend(current.dependencies)
    response.file_descriptor_response.file_descriptor_proto.extend(serialized.values())


def _respond(request: pb.ServerReflectionRequest, services: set[str]) -> pb.ServerReflectionResponse:
    response = pb.ServerReflectionResponse(valid_host=request.host, original_request=request)
    kind = request.WhichOneof("message_request")
    try:
        if kind == "list_services":
            _list_services(services, response)
        elif kind == "all_extension_numbers_of_type":
            _list_extensions(request.all_extension_numbers_of_type, response)
        else:
            _add_file(_find_file(request), response)
    except KeyError as error:
        response.error_response.error_code = int(Code.NOT_FOUND)
        response.error_response.error_message = str(error)
    return response


def _handle_call(server: Server, call: ServerCall) -> None:
    """Answer each request of a call, until the client has no more."""

    def handle_message(data: bytes) -> None:
        try:
            request = pb.ServerReflectionRequest.FromString(data)
        except DecodeError as error:
            call.end(Status(Code.INVALID_ARGUMENT, f"request: not a ServerReflectionRequest ({error})"))
            return
        call.send(_respond(request, service_names(server)).SerializeToString())

    def handle_half_close() -> None:
        call.end(Status(Code.OK))

    call.on_message, call.on_half_close = handle_message, handle_half_close


def install(server: Server) -> None:
    """Serve reflection of all services that this server has when it is asked."""
    for name in SERVICES:
        server.add(name, "ServerReflectionInfo", partial(_handle_call, server))
