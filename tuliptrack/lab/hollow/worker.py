"""A process of a hollow fleet: some hollow nodes, or one list server. Told by lines of JSON on its input.

The first line is its settings (`{"role": "nodes" | "lists", ...}`); it answers with one line once it runs.
Further lines are commands: `change`, `silent` and `report`; the end of the input ends it.
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

_LINE_BYTES = 1 << 24  # a change of a whole zone fits into one line


def _usage() -> dict[str, float]:
    """Processor seconds and peak bytes of memory of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {"cpu_s": used.ru_utime + used.ru_stime, "memory": used.ru_maxrss * 1024.0}


def _maker(path: str) -> Callable[..., Any]:
    """`Router`, or that of another module file."""
    if not path:
        return Router
    spec = importlib.util.spec_from_file_location("other_router", Path(path))
    if spec is None or spec.loader is None:
        raise ValueError(f"router: {path!r} is no module")
    module = importlib.util.module_from_spec(spec)
    sys.modules["other_router"] = module
    spec.loader.exec_module(module)
    made: Callable[..., Any] = module.Router
    return made


class _Nodes:
    """Some hollow nodes."""

    def __init__(self, told: dict[str, Any]) -> None:
        make, rates = _maker(told["router"]), Rates(per_s=told["rate"])
        self.nodes = [
            HollowNode(slot, told["replicas"], told["agent"], rates, told["seed"] * 10_000 + slot, make)
            for slot in told["slots"]
        ]

    async def start(self) -> dict[str, Any]:
        began = time.monotonic()
        for node in self.nodes:
            node.start()
        return {"began": began}

    def command(self, told: dict[str, Any]) -> dict[str, Any]:
        """A report; nothing else is said to nodes."""
        return {"nodes": [asdict(node.report) for node in self.nodes], **_usage()}

    async def stop(self) -> None:
        for node in self.nodes:
            await node.stop()


class _Lists:
    """One list server."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.server = ListServer(Population(told["engines"]).members())

    async def start(self) -> dict[str, Any]:
        return {"address": await self.server.start()}

    def command(self, told: dict[str, Any]) -> dict[str, Any]:
        """A change, silence, or a report."""
        if "change" in told:
            at = time.monotonic()
            return {"revision": self.server.change(told["change"]), "at": at}
        if "silent" in told:
            self.server.set_silent(told["silent"])
            return {"at": time.monotonic()}
        one = self.server
        return {
            "calls": one.calls,
            "bytes_in": one.bytes_in,
            "bytes_out": one.bytes_out,
            "whole_lists": one.whole_lists,
            **_usage(),
        }

    async def stop(self) -> None:
        await self.server.stop()


async def _run() -> None:
    reader = asyncio.StreamReader(limit=_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    told = json.loads(await reader.readline())
    made = _Nodes(told) if told["role"] == "nodes" else _Lists(told)
    _say(await made.start())
    while line := await reader.readline():
        _say(made.command(json.loads(line)))
    await made.stop()


def _say(what: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


def main() -> None:
    """Run until the input ends."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    asyncio.run(_run())


if __name__ == "__main__":
    main()
