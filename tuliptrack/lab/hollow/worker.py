"""A worker process of a hollow fleet: runs some hollow nodes, or one list server.

It is controlled by lines of JSON on its standard input. The first line has its settings
(`{"role": "nodes" | "lists", ...}`); it answers with one line once it runs. Further lines are commands:
`change`, `silent` and `report`, each answered with one line. It exits at the end of the input.
"""

from __future__ import annotations

import asyncio
import importlib.util
import json
import resource
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import structlog

from tuliptrack.lab.hollow.discovery import ListServer
from tuliptrack.lab.hollow.node import HollowNode
from tuliptrack.lab.hollow.population import Population
from tuliptrack.lab.hollow.traffic import Rates
from tuliptrack.routing.router import Router

__all__ = ["main"]

_LINE_BYTES = 1 << 24  # enough for a change of a whole zone


def _usage() -> dict[str, float]:
    """Return the processor seconds and the peak memory in bytes of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {"cpu_s": used.ru_utime + used.ru_stime, "memory": used.ru_maxrss * 1024.0}


def _router_class(path: str) -> Callable[..., Any]:
    """Return the built-in `Router`, or the one in the module file at `path`."""
    if not path:
        return Router
    spec = importlib.util.spec_from_file_location("other_router", Path(path))
    if spec is None or spec.loader is None:
        raise ValueError(f"router: {path!r} can't be loaded as a Python module")
    module = importlib.util.module_from_spec(spec)
    sys.modules["other_router"] = module
    spec.loader.exec_module(module)
    router: Callable[..., Any] = module.Router
    return router


class _Nodes:
    """The role `nodes`: several hollow nodes."""

    def __init__(self, settings: dict[str, Any]) -> None:
        make, rates = _router_class(settings["router"]), Rates(per_s=settings["rate"])
        self.nodes = [
            HollowNode(
                slot, settings["replicas"], settings["agent"], rates, settings["seed"] * 10_000 + slot, make
            )
            for slot in settings["slots"]
        ]

    async def start(self) -> dict[str, Any]:
        began = time.monotonic()
        for node in self.nodes:
            node.start()
        return {"began": began}

    def command(self, message: dict[str, Any]) -> dict[str, Any]:
        """Return the report; nodes have no other command."""
        return {"nodes": [asdict(node.report) for node in self.nodes], **_usage()}

    async def stop(self) -> None:
        for node in self.nodes:
            await node.stop()


class _Lists:
    """The role `lists`: one list server."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.server = ListServer(Population(settings["engines"]).members())

    async def start(self) -> dict[str, Any]:
        return {"address": await self.server.start()}

    def command(self, message: dict[str, Any]) -> dict[str, Any]:
        """Carry out `change` or `silent`, or return the report."""
        if "change" in message:
            at = time.monotonic()
            return {"revision": self.server.change(message["change"]), "at": at}
        if "silent" in message:
            self.server.set_silent(message["silent"])
            return {"at": time.monotonic()}
        server = self.server
        return {
            "calls": server.calls,
            "bytes_in": server.bytes_in,
            "bytes_out": server.bytes_out,
            "whole_lists": server.whole_lists,
            **_usage(),
        }

    async def stop(self) -> None:
        await self.server.stop()


async def _run() -> None:
    reader = asyncio.StreamReader(limit=_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    settings = json.loads(await reader.readline())
    role = _Nodes(settings) if settings["role"] == "nodes" else _Lists(settings)
    _answer(await role.start())
    while line := await reader.readline():
        _answer(role.command(json.loads(line)))
    await role.stop()


def _answer(message: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run until the input ends."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    asyncio.run(_run())


if __name__ == "__main__":
    main()
