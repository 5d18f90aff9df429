"""Hollow nodes before drawn engines on one machine: start, changes, a lost zone, new roles, a silent
discovery.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import sys
import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from tuliptrack.lab.hollow.population import Population, node_settings

__all__ = ["FleetError", "FleetPlan", "Phase", "Report", "play_fleet"]

MOST_PROCESSES = 200
NODE_BYTES, PROCESS_BYTES = (
    6_000,
    45_000_000,
)  # memory of a hollow node for each engine, and of a process without nodes
CHANGE_EVERY_S = 5.0  # seconds between ordinary changes of the list
LOST_PART = 0.75  # of the time in which a fleet settles: so long a zone is lost, and discovery silent


class FleetError(ValueError):
    """A fleet that can't be played; the text names the option."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What is played. `rate` is requests a second of one node; `router` another module file to decide by."""

    nodes: int = 350
    engines: int = 3_400
    processes: int = 24
    list_servers: int = 4
    rate: float = 7.1
    seconds: float = 60.0
    """Of ordinary changes."""
    settle: float = 8.0
    """Seconds after each part in which nodes come up to the list."""
    seed: int = 1
    router: str = ""

    def check(self) -> None:
        """FleetError where it can't be played on this machine."""
        for name, least, most in (
            ("nodes", 1, 2_000),
            ("engines", 64, 10_000),
            ("processes", 1, MOST_PROCESSES),
            ("list_servers", 1, 32),
            ("rate", 0.01, 100.0),
            ("seconds", 1.0, 3_600.0),
            ("settle", 1.0, 60.0),
        ):
            value = getattr(self, name)
            if not least <= value <= most:
                raise FleetError(f"{name}: must lie in [{least}, {most}], got {value}")
        if self.processes + self.list_servers > MOST_PROCESSES:
            raise FleetError(f"processes: {MOST_PROCESSES} at most, list servers among them")
        needed = self.nodes * self.engines * NODE_BYTES + (self.processes + self.list_servers) * PROCESS_BYTES
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        if needed > memory / 2:
            raise FleetError(
                f"nodes: {needed >> 20} MB would be needed, half of this machine's are {memory >> 21}"
            )


@dataclass(slots=True)
class Phase:
    """One part of the day. Times in seconds."""

    name: str
    changes: int = 0
    entries: int = 0
    spread_s: list[float | None] = field(default_factory=list)
    """Of each change: until the last node had it; None where one had not when the part was over."""
    node_core_share: float = 0.0
    """Processor seconds a second of one node: its discovery client, list and decisions."""
    list_bytes_per_s: float = 0.0
    """To and from discovery, of one node."""
    calls_per_s: float = 0.0
    whole_lists: int = 0


@dataclass(slots=True)
class Report:
    """What was seen."""

    plan: FleetPlan
    phases: list[Phase] = field(default_factory=list)
    node_memory: float = 0.0
    """Bytes of one hollow node: its process's peak by its nodes."""
    processes: int = 0
    requests: int = 0
    refusals: int = 0
    decision_us: float = 0.0
    """Microseconds of decisions for one request."""
    longest_event_ms: float = 0.0
    cold_engines: int = 0
    cold_most_of_budget: float = 0.0
    """The most of its budget that any engine in slow start was sent in any window, by all nodes together."""

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        return asdict(self)


class _Process:
    """One worker process."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.child: asyncio.subprocess.Process
        self.started: dict[str, Any] = {}

    async def start(self) -> None:
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tuliptrack.lab.hollow.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 26,
        )
        self.started = await self.say(self.settings)

    async def say(self, told: dict[str, Any]) -> dict[str, Any]:
        """One line there, one back."""
        assert self.child.stdin and self.child.stdout
        self.child.stdin.write(json.dumps(told).encode() + b"\n")
        await self.child.stdin.drain()
        line = await self.child.stdout.readline()
        if not line:
            raise FleetError(f"processes: one ended with status {await self.child.wait()}")
        answer: dict[str, Any] = json.loads(line)
        return answer

    async def end(self) -> None:
        assert self.child.stdin
        self.child.stdin.close()
        try:
            await asyncio.wait_for(self.child.wait(), 20)
        except TimeoutError:
            self.child.kill()
            await self.child.wait()


class _Fleet:
    """The processes, and what was told to them."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan, self.population = plan, Population(plan.engines)
        self.lists = [_Process({"role": "lists", "engines": plan.engines}) for _ in range(plan.list_servers)]
        self.nodes: list[_Process] = []
        self.report = Report(plan)
        self.told_at: dict[int, float] = {}
        self.began = 0.0
        self.fresh = plan.engines
        """Number of the next engine that joins."""
        self._before: dict[str, float] = {}
        self._at = 0.0

    async def start(self) -> None:
        plan = self.plan
        await asyncio.gather(*(one.start() for one in self.lists))
        for number in range(plan.processes):
            agent = self.lists[number % len(self.lists)].started["address"]
            slots = list(range(number, plan.nodes, plan.processes))
            self.nodes.append(
                _Process(
                    {
                        "role": "nodes",
                        "slots": slots,
                        "replicas": plan.nodes,
                        "agent": agent,
                        "rate": plan.rate,
                        "seed": plan.seed,
                        "router": plan.router,
                    }
                )
            )
        self.began = self.told_at[1] = time.monotonic()
        await asyncio.gather(*(one.start() for one in self.nodes))
        self.report.processes = len(self.lists) + len(self.nodes)

    async def end(self) -> None:
        running = [one for one in [*self.nodes, *self.lists] if hasattr(one, "child")]
        await asyncio.gather(*(one.end() for one in running), return_exceptions=True)

    async def change(self, entries: Iterable[dict[str, Any]]) -> int:
        """One change of the list, at every list server."""
        told = {"change": list(entries)}
        answers = await asyncio.gather(*(one.say(told) for one in self.lists))
        revision = int(answers[0]["revision"])
        self.told_at[revision] = max(answer["at"] for answer in answers)
        return revision

    async def silent(self, silent: bool) -> float:
        """Discovery says nothing, or answers again; when it was told so."""
        answers = await asyncio.gather(*(one.say({"silent": silent}) for one in self.lists))
        return float(max(answer["at"] for answer in answers))

    async def totals(self) -> dict[str, float]:
        """Sums over all processes so far."""
        lists = await asyncio.gather(*(one.say({"report": True}) for one in self.lists))
        nodes = await asyncio.gather(*(one.say({"report": True}) for one in self.nodes))
        self.last_reports = nodes
        return {
            "node_cpu_s": sum(one["cpu_s"] for one in nodes),
            "calls": sum(one["calls"] for one in lists),
            "bytes": sum(one["bytes_in"] + one["bytes_out"] for one in lists),
            "whole_lists": sum(one["whole_lists"] for one in lists),
        }

    async def begin_phase(self) -> None:
        self._before, self._at = await self.totals(), time.monotonic()

    async def end_phase(self, name: str, revisions: dict[int, float], entries: int) -> None:
        """Note what happened since `begin_phase`. `revisions`: those that were told, and when."""
        after, took = await self.totals(), time.monotonic() - self._at
        used = {key: after[key] - before for key, before in self._before.items()}
        per = self.plan.nodes * took
        phase = Phase(
            name,
            len(revisions),
            entries,
            node_core_share=round(used["node_cpu_s"] / per, 5),
            list_bytes_per_s=round(used["bytes"] / per, 1),
            calls_per_s=round(used["calls"] / per, 2),
            whole_lists=int(used["whole_lists"]),
        )
        for revision, at in revisions.items():
            spread = max(self._last_to_have(revision) - at, 0.0)
            phase.spread_s.append(round(spread, 3) if spread < math.inf else None)
        self.report.phases.append(phase)

    def _last_to_have(self, revision: int) -> float:
        """When the last node had this revision or a newer one; infinite where one still has not."""
        latest = 0.0
        for process in self.last_reports:
            for node in process["nodes"]:
                having = [at for known, at in node["taken"].items() if int(known) >= revision]
                latest = max(latest, min(having, default=math.inf))
        return latest

    def fresh_members(self, numbers: Iterable[int], **changes: Any) -> list[dict[str, Any]]:
        """New engines in the place of these, just started."""
        now = time.time_ns() // 1_000_000
        made = []
        for number in numbers:
            made.append(self.population.member(number, up_since_ms=now, id=f"s-{self.fresh:08x}", **changes))
            self.fresh += 1
        return made


async def _ordinary(fleet: _Fleet) -> None:
    """Changes of one engine, every few seconds: it drains, goes, and another comes in its place."""
    revisions, entries = {}, 0
    await fleet.begin_phase()
    until = time.monotonic() + fleet.plan.seconds
    number = 1
    while time.monotonic() < until:
        for entry in (
            fleet.population.member(number, phase="Terminating"),
            fleet.population.member(number, phase="Gone"),
            *fleet.fresh_members([number]),
        ):
            revision = await fleet.change([entry])
            revisions[revision] = fleet.told_at[revision]
            entries += 1
            await asyncio.sleep(CHANGE_EVERY_S / 3)
        number += 5
    await asyncio.sleep(2.0)
    await fleet.end_phase("ordinary changes", revisions, entries)


async def _one_change(fleet: _Fleet, name: str, entries: list[dict[str, Any]], part: float = 1.0) -> None:
    await fleet.begin_phase()
    revision = await fleet.change(entries)
    await asyncio.sleep(part * fleet.plan.settle)
    await fleet.end_phase(name, {revision: fleet.told_at[revision]}, len(entries))


async def _zone(fleet: _Fleet) -> None:
    """A zone's engines go in one change, and come back cold in one."""
    lost = fleet.population.in_zone(3)
    await _one_change(
        fleet, "a zone lost", [fleet.population.member(n, phase="Gone") for n in lost], LOST_PART
    )
    now = time.time_ns() // 1_000_000
    await _one_change(
        fleet, "the zone back, cold", [fleet.population.member(n, up_since_ms=now) for n in lost]
    )


async def _roles(fleet: _Fleet) -> None:
    """Half of the readers leave and come back as writers."""
    readers = [n for n in range(fleet.plan.engines) if fleet.population.kind(n) == 0][::2]
    gone = [fleet.population.member(n, phase="Gone") for n in readers]
    await _one_change(
        fleet, "half of the readers become writers", [*gone, *fleet.fresh_members(readers, flavor="writes")]
    )


async def _silence(fleet: _Fleet) -> None:
    """Discovery is silent, and changes meanwhile: that counts from its return."""
    await fleet.begin_phase()
    await fleet.silent(True)
    await asyncio.sleep(LOST_PART * fleet.plan.settle / 2)
    revision = await fleet.change([fleet.population.member(2, phase="Terminating")])
    await asyncio.sleep(LOST_PART * fleet.plan.settle / 2)
    back = await fleet.silent(False)
    await asyncio.sleep(fleet.plan.settle)
    await fleet.end_phase("discovery silent and back", {revision: back}, 1)


async def play_fleet(plan: FleetPlan) -> Report:
    """The whole day; FleetError where it can't be played. Nothing is left running."""
    plan.check()
    fleet = _Fleet(plan)
    try:
        await fleet.start()
        fleet._before, fleet._at = (
            dict.fromkeys(("node_cpu_s", "calls", "bytes", "whole_lists"), 0.0),
            fleet.began,
        )
        await _wait_for_all(fleet)
        await fleet.end_phase("start of all", {1: fleet.began}, plan.engines)
        for part in (_ordinary, _zone, _roles, _silence):
            await part(fleet)
        _sum_up(fleet)
        return fleet.report
    finally:
        await fleet.end()


async def _wait_for_all(fleet: _Fleet, most: float = 120.0) -> None:
    """Until every node has a list."""
    for _ in range(int(most)):
        await asyncio.sleep(1.0)
        await fleet.totals()
        if fleet._last_to_have(1) < math.inf:
            return
    raise FleetError(f"nodes: not every one had its list in {most:g} s")


def _sum_up(fleet: _Fleet) -> None:
    nodes = [node for process in fleet.last_reports for node in process["nodes"]]
    report = fleet.report
    report.node_memory = sum(process["memory"] for process in fleet.last_reports) / len(nodes)
    report.requests = sum(node["requests"] for node in nodes)
    report.refusals = sum(node["refusals"] for node in nodes)
    report.decision_us = round(sum(node["decision_s"] for node in nodes) * 1e6 / max(report.requests, 1), 1)
    report.longest_event_ms = round(max(node["longest_event_s"] for node in nodes) * 1e3, 2)
    sends: dict[int, list[float]] = defaultdict(list)
    for node in nodes:
        for engine, at in node["cold_sends"]:
            sends[engine].append(at)
    report.cold_engines = len(sends)
    report.cold_most_of_budget = round(
        max((_most_of_budget(times, fleet.plan) for times in sends.values()), default=0.0), 3
    )


def _most_of_budget(sends: list[float], plan: FleetPlan) -> float:
    """The most that any window had of what the settings allow an engine that has only just started. The
    engine's ramp is taken at its lowest, and it is taken for a reader or writer of the whole quotas' even
    share, whichever is less.
    """
    settings = node_settings(plan.nodes)
    quotas = sum(tenant.quota_per_s for tenant in settings.tenants)
    able = quotas / (plan.engines * 3 / 4)
    allowed = (
        settings.slow_start_overload_factor
        * settings.slow_start_initial_share
        * able
        * settings.slow_start_window_us
        / 1e6
    )
    most = allowed + (2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3)
    sends.sort()
    window = settings.slow_start_window_us / 1e6
    worst = max(sum(1 for later in sends[place:] if later < at + window) for place, at in enumerate(sends))
    return worst / most
