"""The client protocols that a node on gRPC serves.

A new protocol is a module of this package and an entry here: in `FRONTS` if it is a service of the node's
gRPC server, in `LISTENERS` if it listens on an address of its own. `node/` knows none of them by name.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.fronts import generation
from tuliptrack.fronts.kserve import grpc as kserve_grpc
from tuliptrack.fronts.kserve import rest as kserve_rest
from tuliptrack.fronts.port import Core
from tuliptrack.rpc.server import Server

__all__ = ["FRONTS", "LISTENERS", "Listener"]


class Listener(Protocol):
    """A front that listens on an address of its own."""

    form: str
    """Name of the protocol, for the log."""

    async def listen(self) -> str:
        """Start to serve; returns host:port."""

    async def stop(self, grace: float, on_grace_over: Callable[[], None]) -> None:
        """Accept nothing new, and end what is still open after `grace` seconds.

        `on_grace_over` is called before, to give open requests their final answers, which are still sent.
        """


FRONTS: tuple[Callable[[Server, Core, NodeConfig], None], ...] = (generation.install, kserve_grpc.install)
"""Each adds its services to the gRPC server, for this core."""
LISTENERS: tuple[Callable[[Core, NodeConfig, ByteBudget], Listener | None], ...] = (kserve_rest.make,)
"""Each returns its listener, or None where the settings have no address for it. The byte budget is that of
request bodies, shared with the gRPC server."""
