"""Plays a soak: starts its processes, sends the signals of the schedule, ends what it started and judges the
records.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from tuliptrack.lab.soak.agent import members_of
from tuliptrack.lab.soak.judge import judge
from tuliptrack.lab.soak.ports import loopback_addresses
from tuliptrack.lab.soak.records import Recorder, read_records
from tuliptrack.lab.soak.run_queue import RunQueueWatch
from tuliptrack.lab.soak.schedule import FaultKind, Schedule, ScheduledFault
from tuliptrack.lab.soak.settings import World, node_config
from tuliptrack.lab.soak.violation import Violation

__all__ = ["Result", "play", "shrink"]

_ROOT = Path(__file__).resolve().parents[3]
_START_S = 3.0
"""From starting the processes to second 0."""
_KILL_AFTER_S = (3.0, 0.7)
"""SIGKILL follows SIGTERM after the longest deadline, or this, and so much more."""
_ENDS_WITHIN_S = 15.0
_GROWTH_MB, _MORE_DESCRIPTORS = 24.0, 24
_RELOADS = 4
_SERIES_PAUSE_S = 0.01
"""Between two signals of a series."""
_SIGNALS_AT_START = 20
_RUN_QUEUE_LOOK_S = 0.02
_SHIM = "from tuliptrack.lab.soak.shim import install_from_environment\ninstall_from_environment()\n"


@dataclass
class Result:
    """What came of a soak."""

    seed: int
    violations: list[Violation] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    processes: int = 0
    lag_s: float = 0.0

    def as_json(self) -> dict[str, Any]:
        """For a report."""
        told = dict(self.__dict__)
        told["violations"] = [violation.__dict__ for violation in self.violations]
        return told


def _ignore_hangup() -> None:
    """Until a program handles SIGHUP it is ignored, as `run` in the deploy file has it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class _Soak:
    """One soak under way."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.recorder = Recorder(world.folder, "runner")
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.started = 0
        self._starts = dict.fromkeys(world.nodes, 0)
        self.hangups = dict.fromkeys(world.nodes, 0)
        """SIGHUPs sent to each node."""
        self.wrong: list[Violation] = []
        self._deadline_s = min(max(world.schedule.deadlines_s), _KILL_AFTER_S[0]) + _KILL_AFTER_S[1]
        shim = world.folder / "shim"
        shim.mkdir()
        (shim / "sitecustomize.py").write_text(_SHIM)

    async def run(self) -> None:
        """Play the whole schedule. Cancelled, it ends every process that it has started, like at its end."""
        faults: list[asyncio.Task[None]] = []
        watch: asyncio.Task[None] | None = None
        try:
            await self._start_all()
            faults += [asyncio.create_task(self._play(fault)) for fault in self.world.schedule.faults]
            watch = asyncio.create_task(self._watch_run_queue())
            await self._until(1.0)
            before = {node: self._needs(node) for node in self.world.nodes}
            await asyncio.gather(*faults)
            await self._until(self.world.schedule.seconds + 1.5)
            self._compare(before)
            await self._end_nodes()
        finally:
            for task in [*faults, *([watch] if watch else [])]:
                task.cancel()
            await self._end_all()
            self.recorder.close()

    async def _watch_run_queue(self) -> None:
        watch = RunQueueWatch(self.recorder)
        while True:
            for node in self.world.nodes:
                watch.sample(node, self.processes[node].pid)
            await asyncio.sleep(_RUN_QUEUE_LOOK_S)

    async def _start_all(self) -> None:
        world = self.world
        for name in world.engines:
            await self._start(name, "engine", name)
            await self._start(f"p-{name}", "proxy", f"p-{name}")
        await self._start("agent", "agent", "agent")
        for node in world.nodes:
            await self._start_node(node)
        for number in range(2):
            await self._start(f"c{number}", "clients", f"c{number}")

    async def _until(self, moment: float) -> None:
        await asyncio.sleep(max(self.world.began + moment - time.monotonic(), 0))

    async def _start(self, key: str, role: str, name: str) -> None:
        await self._spawn(
            key, ["tuliptrack.lab.soak.participant", role, name, str(self.world.folder / "world.json")], {}
        )

    async def _start_node(self, node: str) -> None:
        self._starts[node] += 1
        path = self.world.folder / f"{node}.json"
        path.write_text(node_config(self.world, node, self.world.agents[node][0], self._known_members()))
        await self._spawn(
            node,
            ["tuliptrack.relay"],
            {
                "RELAY_CONFIG": str(path),
                "SOAK_WORLD": str(self.world.folder / "world.json"),
                "SOAK_NODE": node,
                "SOAK_LISTEN": self.world.nodes[node].rpartition(":")[2],
                "PYTHONPATH": os.pathsep.join((str(self.world.folder / "shim"), str(_ROOT))),
            },
        )

    def _known_members(self) -> list[dict[str, Any]]:
        """The list as the agents have it now: it counts as told from the first moment of a new process."""
        told: list[dict[str, Any]] = []
        unheard: list[dict[str, Any]] = []
        for one in read_records(self.world.folder, "agent"):
            if one["event"] == "list changed":
                (unheard if one["silent"] else told).append(one)
            elif one["event"] == "agent" and not one["silent"]:
                told, unheard = told + unheard, []
        phases = {one["engine"]: one["phase"] for one in told if one["phase"]}
        starts_ms = {one["engine"]: one["start_ms"] for one in told if one["start_ms"]}
        return members_of(self.world, phases, starts_ms)

    async def _spawn(self, key: str, module: list[str], environment: dict[str, str]) -> None:
        with (self.world.folder / f"{key}.log").open("ab") as out:
            self.processes[key] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *module,
                stdout=out,
                stderr=out,
                cwd=_ROOT,
                env={**os.environ, **environment},
                preexec_fn=_ignore_hangup,
            )
        self.started += 1

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self.processes[name]
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def _play(self, fault: ScheduledFault) -> None:
        """The part of a fault that is played by signals."""
        await self._until(fault.at)
        self.recorder.note(
            "fault",
            kind=fault.kind.value,
            target=fault.target,
            at=fault.at,
            until=fault.until,
            amount=fault.amount,
        )
        match fault.kind:
            case FaultKind.ENGINE_STOPS | FaultKind.NODE_HELD_UP:
                self._signal(fault.target, signal.SIGSTOP)
                await self._until(fault.until)
                self._signal(fault.target, signal.SIGCONT)
            case FaultKind.ENGINE_RESTARTS | FaultKind.NODE_KILLED:
                await self._kill(fault.target)
                await self._until(fault.until)
                await self._start_again(fault.target)
            case FaultKind.NODE_RESTARTS:
                await self._restart(fault)
            case FaultKind.NODE_RELOADS:
                await self._reload(fault)
            case FaultKind.SIGNALS:
                await self._reload_in_series(fault)
            case _:
                pass  # Its own process plays it.

    async def _restart(self, fault: ScheduledFault) -> None:
        """A planned restart, with signals in series where the schedule says so."""
        node, is_in_series = fault.target, bool(fault.amount)
        process, was_serving = self.processes[node], self._serves(node)
        if is_in_series and was_serving:
            self._hang_up(node)
        self.recorder.note("terminated", target=node)
        self._signal(node, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._deadline_s):
                while is_in_series and process.returncode is None:
                    self._hang_up(node)
                    self._signal(node, signal.SIGTERM)
                    await asyncio.sleep(_SERIES_PAUSE_S)
                await process.wait()
        if process.returncode and was_serving and not self._was_killed(process):
            self.wrong.append(Violation("crash", node, f"a planned end gave {process.returncode}"))
        await self._kill(node)
        await self._start_again(node)
        for _ in range(_SIGNALS_AT_START if is_in_series else 0):
            self._hang_up(node)
            await asyncio.sleep(_SERIES_PAUSE_S)

    def _was_killed(self, process: asyncio.subprocess.Process) -> bool:
        """Whether another fault has killed it meanwhile."""
        return process.returncode == -signal.SIGKILL

    async def _reload_in_series(self, fault: ScheduledFault) -> None:
        """SIGHUP again and again, each with another address; the last one counts."""
        turn = 0
        while time.monotonic() < self.world.began + fault.until:
            turn += 1
            self._write_settings(fault.target, turn)
            self._hang_up(fault.target)
            await asyncio.sleep(_SERIES_PAUSE_S)

    def _hang_up(self, node: str) -> None:
        """Send SIGHUP, which a process that does not serve yet may ignore."""
        self.hangups[node] += 1
        self._signal(node, signal.SIGHUP)

    def _write_settings(self, node: str, turn: int) -> None:
        agent = self.world.agents[node][turn % 2]
        path = self.world.folder / f"{node}.json"
        path.write_text(node_config(self.world, node, agent, members_of(self.world)))

    async def _kill(self, name: str) -> None:
        process = self.processes[name]
        if process.returncode is None:
            self.recorder.note("killed", target=name)
            self._signal(name, signal.SIGKILL)
        await process.wait()

    async def _start_again(self, name: str) -> None:
        """Start a process that was ended, unless another fault at the same time has done so."""
        if self.processes[name].returncode is None:
            return
        if name in self.world.nodes:
            await self._start_node(name)
        else:
            await self._start(name, "engine", name)

    async def _reload(self, fault: ScheduledFault) -> None:
        """New configurations in quick succession; the list's address moves to and fro."""
        pause = (fault.until - fault.at) / _RELOADS
        for turn in range(_RELOADS):
            self._write_settings(fault.target, turn + 1)
            if self._serves(fault.target):
                self._hang_up(fault.target)
            await asyncio.sleep(pause)

    def _serves(self, node: str) -> bool:
        """Whether its process has come so far as to serve; SIGHUP never comes before."""
        log = (self.world.folder / f"{node}.log").read_text(errors="replace")
        return log.count("] serving") > log.count("] stopped") and f"pid={self.processes[node].pid}" in log

    def _needs(self, node: str) -> tuple[float, int]:
        """Memory in MB, and descriptors."""
        pid = self.processes[node].pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6, len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, IndexError):
            return 0.0, 0

    def _compare(self, before: dict[str, tuple[float, int]]) -> None:
        """What a node needs is flat."""
        for node, (memory, descriptors) in before.items():
            memory_now, descriptors_now = self._needs(node)
            if memory and memory_now - memory > _GROWTH_MB:
                self.wrong.append(Violation("memory", node, f"{memory:.0f} MB, then {memory_now:.0f}"))
            if (
                descriptors
                and descriptors_now - descriptors > _MORE_DESCRIPTORS + self.world.schedule.clients * 2
            ):
                self.wrong.append(Violation("descriptors", node, f"{descriptors}, then {descriptors_now}"))

    def _still_starts(self, node: str) -> bool:
        """Whether its last process has not come to serve: one that ends at a SIGTERM then has not crashed."""
        log = (self.world.folder / f"{node}.log").read_text(errors="replace")
        return log.count("] serving ") < self._starts[node]

    async def _end_nodes(self) -> None:
        """Every node ends by itself, with nothing left and nothing wrong in its log."""
        for node in self.world.nodes:
            if self.processes[node].returncode is not None:
                self.wrong.append(Violation("crash", node, f"ended with {self.processes[node].returncode}"))
            self._signal(node, signal.SIGTERM)
        for node in self.world.nodes:
            try:
                code = await asyncio.wait_for(self.processes[node].wait(), _ENDS_WITHIN_S)
            except TimeoutError:
                self.wrong.append(Violation("end", node, "still there"))
                continue
            if code and not (code == -signal.SIGTERM and self._still_starts(node)):
                self.wrong.append(Violation("crash", node, f"ended with {code}"))
            text = (self.world.folder / f"{node}.log").read_text(errors="replace")
            for event in ("settings reloaded", "settings not reloaded"):
                if (count := text.count(f"] {event}")) > self.hangups[node]:
                    found = f"{count} times {event!r} of {self.hangups[node]} SIGHUPs"
                    self.wrong.append(Violation("signals", node, found))
            for line in text.splitlines():
                if any(
                    word in line
                    for word in ("invariant violated", "Traceback", "the router failed", "was never awaited")
                ):
                    self.wrong.append(Violation("log", node, line[:300]))

    async def _end_all(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))


async def play(schedule: Schedule, keep: Path | None = None) -> Result:
    """Play a schedule with real processes. Where an invariant was broken, its records are left in `keep`, if
    that is given.
    """
    with loopback_addresses(2 * len(schedule.engines) + 3 * schedule.nodes) as addresses:
        return await _play_at(addresses, schedule, keep)


async def _play_at(addresses: list[str], schedule: Schedule, keep: Path | None) -> Result:
    folder, ports = Path(tempfile.mkdtemp(prefix="soak-")), iter(addresses)
    world = World(
        schedule,
        folder,
        time.monotonic() + _START_S,
        {name: next(ports) for name in schedule.engines},
        {name: next(ports) for name in schedule.engines},
        {name: (next(ports), next(ports)) for name in schedule.node_names},
        {name: next(ports) for name in schedule.node_names},
    )
    world.write()
    soak = _Soak(world)
    try:
        await soak.run()
        records = read_records(folder)
        lag = max((one["seconds"] for one in records if one["event"] == "lag"), default=0.0)
        answers = [one for one in records if one["event"] == "answer"]
        served = sum(one["status"] == 200 and one["whole"] for one in answers)
        result = Result(
            schedule.seed, [*soak.wrong, *judge(world, records, lag)], len(answers), served, soak.started, lag
        )
        if keep and result.violations:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        return result
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def shrink(schedule: Schedule, tries: int) -> Schedule:
    """A smaller schedule that still breaks an invariant: faults are left out while it does. At most so many
    plays.
    """
    smallest, step = schedule, max(len(schedule.faults) // 2, 1)
    while tries > 0 and step >= 1:
        begin, shrunk = 0, False
        while begin < len(smallest.faults) and tries > 0:
            faults = smallest.faults[:begin] + smallest.faults[begin + step :]
            tried = replace(smallest, faults=faults)
            tries -= 1
            if (await play(tried)).violations:
                smallest, shrunk = tried, True
            else:
                begin += step
        if not shrunk or step > len(smallest.faults):
            step //= 2
    return smallest
