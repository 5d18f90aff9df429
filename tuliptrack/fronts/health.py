"""The health service of a gRPC server, by the published protocol `grpc.health.v1`."""

from __future__ import annotations

from grpc_health.v1 import health_pb2

from tuliptrack.fronts.reflection import service_names
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["SERVICE", "HealthService", "install"]

SERVICE = "grpc.health.v1.Health"
MAX_QUOTED_NAME = 100
"""Characters of an unknown service's name that an error message repeats."""

_SERVING = health_pb2.HealthCheckResponse.SERVING
_NOT_SERVING = health_pb2.HealthCheckResponse.NOT_SERVING
_SERVICE_UNKNOWN = health_pb2.HealthCheckResponse.SERVICE_UNKNOWN


class HealthService:
    """The health of a server as a whole; it is the same for each of its services.

    Watchers are notified of changes. They are calls of the server, whose limits bound them.
    """

    def __init__(self, server: Server) -> None:
        """Start as not serving."""
        self.server = server
        self.is_serving = False
        self.watchers: set[ServerCall] = set()

    def set(self, is_serving: bool) -> None:
        """Set the health, and notify the watchers of a change."""
        if is_serving == self.is_serving:
            return
        self.is_serving = is_serving
        for call in self.watchers:
            call.send(self._response())

    def _response(self) -> bytes:
        return _serialized(_SERVING if self.is_serving else _NOT_SERVING)

    def _is_known(self, service: str) -> bool:
        """Return whether this server has the service; the empty name stands for all of it."""
        return not service or service in service_names(self.server)

    def check(self, call: ServerCall, request: health_pb2.HealthCheckRequest) -> None:
        """Answer with the present health."""
        if not self._is_known(request.service):
            name = request.service[:MAX_QUOTED_NAME]
            call.end(Status(Code.NOT_FOUND, f"service: {name!r} is not served here"))
            return
        call.send(self._response())
        call.end(Status(Code.OK))

    def watch(self, call: ServerCall, request: health_pb2.HealthCheckRequest) -> None:
        """Answer with the present health and each change, until the client ends the call."""
        if not self._is_known(request.service):
            # The protocol keeps the call open: the service may be added later.
            call.send(_serialized(_SERVICE_UNKNOWN))
            return
        self.watchers.add(call)
        call.on_cancelled = lambda _: self.watchers.discard(call)
        call.send(self._response())


def _serialized(status: health_pb2.HealthCheckResponse.ServingStatus) -> bytes:
    return bytes(health_pb2.HealthCheckResponse(status=status).SerializeToString())


def install(server: Server) -> HealthService:
    """Serve the health of this server; the caller sets it."""
    health = HealthService(server)
    server.add(SERVICE, "Check", unary_request(health_pb2.HealthCheckRequest, health.check))
    server.add(SERVICE, "Watch", unary_request(health_pb2.HealthCheckRequest, health.watch))
    return health
