"""Measures the costs of a fleet's controller and rollout record by the number of hosts. Bytes are counted on
the wire.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from tuliptrack.decisions.rollout_plan import NodeRelease, RolloutPlan, RolloutStage
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord
from tuliptrack.fleet.unary_call import CallError, call_unary
from tuliptrack.lab.capacity.node import NodeCosts
from tuliptrack.lab.hollow.agents import HollowAgent
from tuliptrack.lab.tcp_link import Cut, TcpLink
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel

__all__ = ["Usage", "measure_control", "record_of", "usage"]

STEADY_S = 4.0
_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


class Usage:
    """Processor seconds and resident memory in bytes of a process, as counted by the kernel."""

    def __init__(self, cpu_s: float, memory: int) -> None:
        self.cpu_s, self.memory = cpu_s, memory


def usage(pid: int) -> Usage:
    """Return what a process has used since its start."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Usage((int(fields[11]) + int(fields[12])) / _TICKS, int(fields[21]) * _PAGE)


def record_of(hosts: int, changed: float = 0.5) -> bytes:
    """Return the record of a half-finished rollout, as it is written to each agent."""
    names = [f"host-{n:04d}" for n in range(hosts)]
    old, new = NodeRelease("a" * 64, "b" * 64), NodeRelease("c" * 64, "b" * 64)
    stages = tuple(RolloutStage(tuple(names[start : start + 25])) for start in range(0, hosts, 25))
    plan = RolloutPlan(old, new, {name: f"zone-{n % 8}" for n, name in enumerate(names)}, stages)
    record = RolloutRecord(
        3, RolloutPhase.FORWARD, plan, 1, frozenset(names[: int(hosts * changed)]), "", RolloutPhase.NONE
    )
    return json.dumps(record.as_dict()).encode()


class _HollowFleet:
    """Hollow agents, each behind a link that counts bytes, and a real controller in a process of its own."""

    def __init__(self, count: int, folder: Path) -> None:
        self.folder = folder
        self.agents = [HollowAgent(f"host-{n:04d}", record_of(count)) for n in range(count)]
        self.links: list[TcpLink] = []
        self.controller: asyncio.subprocess.Process
        self.channel: Channel

    async def __aenter__(self) -> _HollowFleet:
        hosts = []
        for number, agent in enumerate(self.agents):
            link = TcpLink(await agent.start())
            hosts.append({"name": agent.host, "zone": f"zone-{number % 8}", "agent": await link.start()})
            self.links.append(link)
        path = self.folder / "hosts.json"
        path.write_text(json.dumps(hosts))
        self.controller = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tuliptrack",
            "fleet",
            "serve",
            "0",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert self.controller.stdout
        self.channel = Channel(json.loads(await self.controller.stdout.readline())["address"])
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.channel.close()
        self.controller.kill()
        await self.controller.wait()
        for link in self.links:
            await link.stop()
        for agent in self.agents:
            await agent.stop()

    @property
    def sent(self) -> int:
        """Bytes from the controller to agents."""
        return sum(link.passed[Cut.THERE] for link in self.links)

    @property
    def received(self) -> int:
        """Bytes from agents to the controller."""
        return sum(link.passed[Cut.BACK] for link in self.links)

    async def wait_for_takeover(self) -> None:
        """Wait until the controller leads and every agent has accepted a record from it."""
        for _ in range(600):
            try:
                state = await call_unary(
                    self.channel, "Fleet/State", pb.StateRequest(), pb.FleetState, 5_000_000
                )
                if state.leads and all(agent.acceptor.ballot > (1, 1) for agent in self.agents):
                    return
            except CallError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError("the controller did not take over the fleet")


async def measure_control(sizes: Iterable[int], costs: NodeCosts) -> None:
    """For each number of hosts, measure a controller that takes over a record and then polls the agents."""
    for hosts in sizes:
        record = record_of(hosts)
        costs.add_point("record.bytes", hosts, len(record))
        with tempfile.TemporaryDirectory() as folder:
            async with _HollowFleet(hosts, Path(folder)) as fleet:
                await fleet.wait_for_takeover()
                costs.add_point("takeover.bytes", hosts, fleet.sent + fleet.received)
                await asyncio.sleep(0.5)
                await _measure_steady(fleet, hosts, costs)


async def _measure_steady(fleet: _HollowFleet, hosts: int, costs: NodeCosts) -> None:
    before, began = usage(fleet.controller.pid), time.monotonic()
    looks, sent, received = sum(a.looks for a in fleet.agents), fleet.sent, fleet.received
    await asyncio.sleep(STEADY_S)
    after, took = usage(fleet.controller.pid), time.monotonic() - began
    polls = max(sum(a.looks for a in fleet.agents) - looks, 1)
    costs.add_point("controller.core_share", hosts, (after.cpu_s - before.cpu_s) / took)
    costs.add_point("controller.memory", hosts, after.memory)
    costs.add_point("controller.looks_per_s", hosts, polls / took)
    costs.add_point("look.bytes_out", hosts, (fleet.sent - sent) / polls)
    costs.add_point("look.bytes_in", hosts, (fleet.received - received) / polls)
