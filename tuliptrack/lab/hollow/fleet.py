"""Runs a fleet of hollow nodes and simulated engines on one machine, through these phases: start, ordinary
changes, loss and return of a zone, a change of roles, and an outage of discovery.
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

__all__ = ["FleetError", "FleetPlan", "Phase", "Report", "run_fleet"]

MOST_PROCESSES = 200
NODE_BYTES, PROCESS_BYTES = (
    6_000,
    45_000_000,
)  # memory of a hollow node per engine, and of a process without nodes
REPLACEMENT_PERIOD_S = 5.0  # an engine is replaced, in three changes of the list, once in this period
OUTAGE_SHARE = 0.75  # duration of the loss of a zone and of the discovery outage, as a share of `settle`


class FleetError(ValueError):
    """The fleet can't be run; the message begins with the name of the option at fault."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and duration of a run. `rate` is the requests per second of one node; `router` is the path of a
    module whose `Router` replaces the built-in one.
    """

    nodes: int = 350
    engines: int = 3_400
    processes: int = 24
    list_servers: int = 4
    rate: float = 7.1
    seconds: float = 60.0
    """Duration of the phase of ordinary changes."""
    settle: float = 8.0
    """Seconds after each change of the later phases in which nodes may catch up with the list."""
    seed: int = 1
    router: str = ""

    def check(self) -> None:
        """Raise FleetError if an option is out of range or this machine has too little memory."""
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
            raise FleetError(f"processes: {MOST_PROCESSES} at most, including list servers")
        needed = self.nodes * self.engines * NODE_BYTES + (self.processes + self.list_servers) * PROCESS_BYTES
        memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        if needed > memory / 2:
            raise FleetError(
                f"nodes: need {needed >> 20} MB, half of this machine's memory is {memory >> 21} MB"
            )


@dataclass(slots=True)
class Phase:
    """Measurements of one phase of the run. Times are in seconds."""

    name: str
    changes: int = 0
    entries: int = 0
    spread_s: list[float | None] = field(default_factory=list)
    """For each change, the time until the last node had it; None if a node lacked it when the phase ended."""
    node_core_share: float = 0.0
    """Processor seconds per second of one node: its discovery client, list and decisions."""
    list_bytes_per_s: float = 0.0
    """Traffic of one node to and from discovery."""
    calls_per_s: float = 0.0
    whole_lists: int = 0


@dataclass(slots=True)
class Report:
    """Measurements of the whole run."""

    plan: FleetPlan
    phases: list[Phase] = field(default_factory=list)
    node_memory: float = 0.0
    """Bytes of one hollow node: the peak memory of the processes, divided by the number of nodes."""
    processes: int = 0
    requests: int = 0
    refusals: int = 0
    decision_us: float = 0.0
    """Mean processor time of decisions per request, in microseconds."""
    longest_event_ms: float = 0.0
    cold_engines: int = 0
    cold_most_of_budget: float = 0.0
    """Greatest share of its budget that an engine in slow start was sent in any window, by all nodes together."""

    def as_dict(self) -> dict[str, Any]:
        """Return the report as JSON-compatible values."""
        return asdict(self)


class _Process:
    """A worker process, controlled by lines of JSON over its standard input and output."""

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
        self.started = await self.command(self.settings)

    async def command(self, message: dict[str, Any]) -> dict[str, Any]:
        """Send one message and return the answer."""
        assert self.child.stdin and self.child.stdout
        self.child.stdin.write(json.dumps(message).encode() + b"\n")
        await self.child.stdin.drain()
        line = await self.child.stdout.readline()
        if not line:
            raise FleetError(f"processes: a worker exited with status {await self.child.wait()}")
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
    """The worker processes, and the changes of the list made so far."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan, self.population = plan, Population(plan.engines)
        self.lists = [_Process({"role": "lists", "engines": plan.engines}) for _ in range(plan.list_servers)]
        self.nodes: list[_Process] = []
        self.report = Report(plan)
        self.published_at: dict[int, float] = {}
        self.began = 0.0
        self.next_number = plan.engines
        """Number of the next engine that joins; it becomes part of the engine's id."""
        self._before: dict[str, float] = {}
        self._phase_began = 0.0

    async def start(self) -> None:
        plan = self.plan
        await asyncio.gather(*(process.start() for process in self.lists))
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
        self.began = self.published_at[1] = time.monotonic()
        await asyncio.gather(*(process.start() for process in self.nodes))
        self.report.processes = len(self.lists) + len(self.nodes)

    async def end(self) -> None:
        running = [process for process in [*self.nodes, *self.lists] if hasattr(process, "child")]
        await asyncio.gather(*(process.end() for process in running), return_exceptions=True)

    async def change(self, entries: Iterable[dict[str, Any]]) -> int:
        """Make one change of the list at every list server; return its revision."""
        message = {"change": list(entries)}
        answers = await asyncio.gather(*(process.command(message) for process in self.lists))
        revision = int(answers[0]["revision"])
        self.published_at[revision] = max(answer["at"] for answer in answers)
        return revision

    async def set_silent(self, silent: bool) -> float:
        """Stop or resume discovery's answers; return the time at which the last list server did so."""
        answers = await asyncio.gather(*(process.command({"silent": silent}) for process in self.lists))
        return float(max(answer["at"] for answer in answers))

    async def totals(self) -> dict[str, float]:
        """Return sums over all processes since their start."""
        lists = await asyncio.gather(*(process.command({"report": True}) for process in self.lists))
        nodes = await asyncio.gather(*(process.command({"report": True}) for process in self.nodes))
        self.last_reports = nodes
        return {
            "node_cpu_s": sum(report["cpu_s"] for report in nodes),
            "calls": sum(report["calls"] for report in lists),
            "bytes": sum(report["bytes_in"] + report["bytes_out"] for report in lists),
            "whole_lists": sum(report["whole_lists"] for report in lists),
        }

    async def begin_phase(self) -> None:
        self._before, self._phase_began = await self.totals(), time.monotonic()

    async def end_phase(self, name: str, revisions: dict[int, float], entries: int) -> None:
        """Record what happened since `begin_phase`. `revisions` maps each revision to when it was published."""
        after, took = await self.totals(), time.monotonic() - self._phase_began
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
            spread = max(self._time_of_last_node(revision) - at, 0.0)
            phase.spread_s.append(round(spread, 3) if spread < math.inf else None)
        self.report.phases.append(phase)

    def _time_of_last_node(self, revision: int) -> float:
        """Return when the last node had this revision or a newer one; infinite if a node still lacks it."""
        latest = 0.0
        for process in self.last_reports:
            for node in process["nodes"]:
                times = [at for known, at in node["taken"].items() if int(known) >= revision]
                latest = max(latest, min(times, default=math.inf))
        return latest

    def new_members(self, numbers: Iterable[int], **changes: Any) -> list[dict[str, Any]]:
        """Return entries of new engines, just started, that replace these."""
        now = time.time_ns() // 1_000_000
        made = []
        for number in numbers:
            made.append(
                self.population.member(number, up_since_ms=now, id=f"s-{self.next_number:08x}", **changes)
            )
            self.next_number += 1
        return made


async def _run_ordinary_changes(fleet: _Fleet) -> None:
    """Replace one engine every few seconds: it drains, is removed, and a new one joins in its place."""
    revisions, entries = {}, 0
    await fleet.begin_phase()
    until = time.monotonic() + fleet.plan.seconds
    number = 1
    while time.monotonic() < until:
        for entry in (
            fleet.population.member(number, phase="Terminating"),
            fleet.population.member(number, phase="Gone"),
            *fleet.new_members([number]),
        ):
            revision = await fleet.change([entry])
            revisions[revision] = fleet.published_at[revision]
            entries += 1
            await asyncio.sleep(REPLACEMENT_PERIOD_S / 3)
        number += 5
    await asyncio.sleep(2.0)
    await fleet.end_phase("ordinary changes", revisions, entries)


async def _run_one_change(
    fleet: _Fleet, name: str, entries: list[dict[str, Any]], settle_share: float = 1.0
) -> None:
    await fleet.begin_phase()
    revision = await fleet.change(entries)
    await asyncio.sleep(settle_share * fleet.plan.settle)
    await fleet.end_phase(name, {revision: fleet.published_at[revision]}, len(entries))


async def _run_zone_loss(fleet: _Fleet) -> None:
    """Remove all engines of a zone in one change, then add them in another, just started."""
    lost = fleet.population.in_zone(3)
    await _run_one_change(
        fleet, "a zone lost", [fleet.population.member(n, phase="Gone") for n in lost], OUTAGE_SHARE
    )
    now = time.time_ns() // 1_000_000
    await _run_one_change(
        fleet, "the zone back, cold", [fleet.population.member(n, up_since_ms=now) for n in lost]
    )


async def _run_role_change(fleet: _Fleet) -> None:
    """Replace half of the prefill engines by new decode engines, in one change."""
    prefill = [n for n in range(fleet.plan.engines) if fleet.population.kind(n) == 0][::2]
    gone = [fleet.population.member(n, phase="Gone") for n in prefill]
    await _run_one_change(
        fleet, "half of the readers become writers", [*gone, *fleet.new_members(prefill, flavor="writes")]
    )


async def _run_discovery_outage(fleet: _Fleet) -> None:
    """Stop discovery's answers, and change the list meanwhile; the spread counts from when it answers again."""
    await fleet.begin_phase()
    await fleet.set_silent(True)
    await asyncio.sleep(OUTAGE_SHARE * fleet.plan.settle / 2)
    revision = await fleet.change([fleet.population.member(2, phase="Terminating")])
    await asyncio.sleep(OUTAGE_SHARE * fleet.plan.settle / 2)
    back = await fleet.set_silent(False)
    await asyncio.sleep(fleet.plan.settle)
    await fleet.end_phase("discovery silent and back", {revision: back}, 1)


async def run_fleet(plan: FleetPlan) -> Report:
    """Run all phases; raise FleetError if that isn't possible. No process is left running."""
    plan.check()
    fleet = _Fleet(plan)
    try:
        await fleet.start()
        fleet._before, fleet._phase_began = (
            dict.fromkeys(("node_cpu_s", "calls", "bytes", "whole_lists"), 0.0),
            fleet.began,
        )
        await _wait_for_all(fleet)
        await fleet.end_phase("start of all", {1: fleet.began}, plan.engines)
        for run_phase in (_run_ordinary_changes, _run_zone_loss, _run_role_change, _run_discovery_outage):
            await run_phase(fleet)
        _summarize(fleet)
        return fleet.report
    finally:
        await fleet.end()


async def _wait_for_all(fleet: _Fleet, timeout_s: float = 120.0) -> None:
    """Wait until every node has a list; raise FleetError after `timeout_s` seconds."""
    for _ in range(int(timeout_s)):
        await asyncio.sleep(1.0)
        await fleet.totals()
        if fleet._time_of_last_node(1) < math.inf:
            return
    raise FleetError(f"nodes: not every node had the list within {timeout_s:g} s")


def _summarize(fleet: _Fleet) -> None:
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
        max((_greatest_budget_share(times, fleet.plan) for times in sends.values()), default=0.0), 3
    )


def _greatest_budget_share(sends: list[float], plan: FleetPlan) -> float:
    """Return the greatest number of sends in any window, as a share of what the settings allow an engine that
    has only just started: with the slow-start ramp at its lowest, and the capacity of an engine taken as an even
    share of all tenants' quotas, among the prefill or the decode engines, whichever gives less.
    """
    settings = node_settings(plan.nodes)
    quotas = sum(tenant.quota_per_s for tenant in settings.tenants)
    capacity_per_s = quotas / (plan.engines * 3 / 4)
    allowed = (
        settings.slow_start_overload_factor
        * settings.slow_start_initial_share
        * capacity_per_s
        * settings.slow_start_window_us
        / 1e6
    )
    limit = allowed + (2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3)
    sends.sort()
    window = settings.slow_start_window_us / 1e6
    worst = max(sum(1 for later in sends[index:] if later < at + window) for index, at in enumerate(sends))
    return worst / limit
