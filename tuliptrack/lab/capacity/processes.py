"""Measures whole processes: a node with a list, an agent, and the polls of an unchanged list."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tuliptrack.fleet.unary_call import call_unary
from tuliptrack.lab.capacity.control import usage
from tuliptrack.lab.capacity.node import NodeCosts
from tuliptrack.lab.hollow.population import KINDS, Population
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel

__all__ = ["measure_agent", "measure_node_memory", "measure_watches"]

WATCHED_S = 6.0
WATCHERS = 20
LOOKS_PER_S = 3.0  # three controllers poll the agent, each once a second
HOST_PROGRAM = "#!{python}\nimport json, time\nprint(json.dumps({{'address': '127.0.0.1:9'}}), flush=True)\ntime.sleep(600)\n"


def _node_settings(population: Population) -> dict[str, Any]:
    """Return the settings of a node on the platform that knows these engines."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"memory_mb": 256, "sockets": 1_024},
        "known": {"revision": 1, "complete": True, "members": population.members()},
        "settings": {
            "classes": [
                {
                    "name": "chat",
                    "importance": 1.0,
                    "promise": 540_000,
                    "deadline": 5_000_000,
                    "effect": "free",
                    "stream": True,
                }
            ],
            "discovery": "automatic",
            "failureDomains": [f"zone-{n}" for n in range(8)],
            "hostTypes": list(KINDS),
            "granularity": 4_000,
            "projects": [{"name": f"t{n}", "quotaPerS": 7.2, "share": 1 / 450} for n in range(450)],
            "limits": {
                "cancel": True,
                "connIdle": 15_000_000,
                "connectTimeout": 250_000,
                "maxRetryAfter": 500_000,
                "mostTries": 4,
                "openCap": 20_000,
                "retryAfter": True,
            },
            "obligations": {
                "answerSlack": 16_000,
                "cold": 12_000_000,
                "coldFrom": 0.25,
                "drainGrace": 500_000,
                "fall": 3_000_000,
                "fallMultiple": 2.5,
            },
            "replicasOfMe": 350,
            "slotNo": 0,
            "reporting": {"fields": ["inflight", "x0"], "how": "piggyback"},
            "specifics": {"dutyByKind": ["read", "write"], "letGoBy": 300_000, "resume": True},
        },
    }


async def measure_node_memory(sizes: Iterable[int], costs: NodeCosts) -> None:
    """Measure the resident bytes of a real node on the platform that knows so many engines."""
    for engines in sizes:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(_node_settings(Population(engines))))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tuliptrack.relay",
                stderr=asyncio.subprocess.PIPE,
                limit=1 << 24,
                env={**os.environ, "RELAY_CONFIG": str(path)},
            )
            assert process.stderr
            line = b""
            while b"serving" not in line:
                line = await process.stderr.readline()
                if not line:
                    raise RuntimeError(f"the node exited with status {await process.wait()}")
            costs.add_point("process.memory", engines, usage(process.pid).memory)
            process.kill()
            await process.wait()


async def _start_worker(settings: dict[str, Any]) -> tuple[asyncio.subprocess.Process, dict[str, Any]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tuliptrack.lab.hollow.worker",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    return process, await _command(process, settings)


async def _command(process: asyncio.subprocess.Process, message: dict[str, Any]) -> dict[str, Any]:
    assert process.stdin and process.stdout
    process.stdin.write(json.dumps(message).encode() + b"\n")
    answer: dict[str, Any] = json.loads(await process.stdout.readline())
    return answer


async def measure_watches(costs: NodeCosts) -> None:
    """Measure the calls, bytes and processor time of a node whose list does not change and that gets next to no
    requests.
    """
    lists, started = await _start_worker({"role": "lists", "engines": 400})
    nodes, _ = await _start_worker(
        {
            "role": "nodes",
            "slots": list(range(WATCHERS)),
            "replicas": WATCHERS,
            "router": "",
            "agent": started["address"],
            "rate": 0.001,
            "seed": 1,
        }
    )
    try:
        await asyncio.sleep(2.0)
        before, used, began = (
            await _command(lists, {"report": True}),
            usage(nodes.pid).cpu_s,
            time.monotonic(),
        )
        await asyncio.sleep(WATCHED_S)
        after, took = await _command(lists, {"report": True}), time.monotonic() - began
        node_seconds = WATCHERS * took
        transferred = sum(after[name] - before[name] for name in ("bytes_in", "bytes_out"))
        costs.add_point("watch.bytes_per_s", 1, transferred / node_seconds)
        costs.add_point("watch.calls_per_s", 1, (after["calls"] - before["calls"]) / node_seconds)
        costs.add_point("watch.core_share", 1, (usage(nodes.pid).cpu_s - used) / node_seconds)
    finally:
        for process in (nodes, lists):
            process.kill()
            await process.wait()


async def measure_agent(costs: NodeCosts) -> None:
    """Measure the processor time and memory of a real agent that three controllers poll, with a node process
    that does nothing.
    """
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder) / "host"
        (root / "settings").mkdir(parents=True)
        (root / "settings" / "conf").write_text("")
        (root / "programs" / "one").mkdir(parents=True)
        program = root / "programs" / "one" / "run"
        program.write_text(HOST_PROGRAM.format(python=sys.executable))
        program.chmod(0o755)
        agent = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tuliptrack",
            "agent",
            "h",
            str(root),
            "--program",
            "one",
            "--settings",
            "conf",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert agent.stdout
        channel = Channel(json.loads(await agent.stdout.readline())["address"])
        child = 0
        try:
            await asyncio.sleep(1.0)
            used, began = usage(agent.pid).cpu_s, time.monotonic()
            while time.monotonic() < began + WATCHED_S:
                await call_unary(channel, "Agent/Look", pb.LookRequest(), pb.HostReport, 2_000_000)
                await asyncio.sleep(1 / LOOKS_PER_S)
            took = time.monotonic() - began
            after = usage(agent.pid)
            costs.add_point("agent.core_share", 1, (after.cpu_s - used) / took)
            costs.add_point("agent.memory", 1, after.memory)
            child = int(Path(f"/proc/{agent.pid}/task/{agent.pid}/children").read_text().split()[0])
        finally:
            await channel.close()
            agent.kill()
            await agent.wait()
            if child:
                os.kill(child, 9)
