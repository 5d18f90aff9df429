"""The protocols that clients speak. A new one is a file here and a line in `FRONTS` (services of the gRPC
server) or `LISTENERS` (what listens on an address of its own); `node/` knows none by name.
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
    """A front with an address of its own."""

    form: str

    async def listen(self) -> str:
        """Serve; returns host:port."""

    async def stop(self, grace: float) -> None:
        """Take nothing new, let what is open run for `grace` seconds, end."""


FRONTS: tuple[Callable[[Server, Core, NodeConfig], None], ...] = (generation.install, kserve_grpc.install)
LISTENERS: tuple[Callable[[Core, NodeConfig, ByteBudget], Listener | None], ...] = (kserve_rest.make,)
