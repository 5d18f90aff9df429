"""Runs a soak: starts its processes, sends the signals of the schedule, ends the processes and judges the records."""

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
"""Time for starting the processes, before second 0 of the soak."""
_KILL_AFTER_S = (3.0, 0.7)
"""SIGKILL follows SIGTERM after the longest deadline, at most the first value, plus the second."""
_EXIT_TIMEOUT_S = 15.0
_MAX_GROWTH_MB, _MAX_MORE_DESCRIPTORS = 24.0, 24
_RELOADS = 4
_SERIES_PAUSE_S = 0.01
"""Pause between two signals of a series."""
_SIGNALS_AT_START = 20
_RUN_QUEUE_INTERVAL_S = 0.02
_SHIM = "from tuliptrack.lab.soak.shim import install_from_environment\ninstall_from_environment()\n"


@dataclass
class Result:
    """The outcome of a soak."""

    seed: int
    violations: list[Violation] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    processes: int = 0
    lag_s: float = 0.0

    def as_json(self) -> dict[str, Any]:
        """Return the fields of the result as JSON values."""
        fields = dict(self.__dict__)
        fields["violations"] = [violation.__dict__ for violation in self.violations]
        return fields


def _ignore_hangup() -> None:
    """Ignore SIGHUP until the program installs its handler, as `run` in the deploy file does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class _Soak:
    """A running soak and its processes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.recorder = Recorder(world.folder, "runner")
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.started = 0
        self._start_counts = dict.fromkeys(world.nodes, 0)
        self.hangups = dict.fromkeys(world.nodes, 0)
        """SIGHUPs sent to each node."""
        self.violations: list[Violation] = []
        self._kill_after_s = min(max(world.schedule.deadlines_s), _KILL_AFTER_S[0]) + _KILL_AFTER_S[1]
        shim = world.folder / "shim"
        shim.mkdir()
        (shim / "sitecustomize.py").write_text(_SHIM)

    async def run(self) -> None:
        """Play the whole schedule. All processes that were started are ended, also on cancellation."""
        faults: list[asyncio.Task[None]] = []
        watch: asyncio.Task[None] | None = None
        try:
            await self._start_all()
            faults += [asyncio.create_task(self._play(fault)) for fault in self.world.schedule.faults]
            watch = asyncio.create_task(self._watch_run_queue())
            await self._sleep_until(1.0)
            before = {node: self._resources(node) for node in self.world.nodes}
            await asyncio.gather(*faults)
            await self._sleep_until(self.world.schedule.seconds + 1.5)
            self._check_growth(before)
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
            await asyncio.sleep(_RUN_QUEUE_INTERVAL_S)

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

    async def _sleep_until(self, moment: float) -> None:
        await asyncio.sleep(max(self.world.began + moment - time.monotonic(), 0))

    async def _start(self, key: str, role: str, name: str) -> None:
        await self._spawn(
            key, ["tuliptrack.lab.soak.participant", role, name, str(self.world.folder / "world.json")], {}
        )

    async def _start_node(self, node: str) -> None:
        self._start_counts[node] += 1
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
        """The list as the agents have announced it by now. A new node process has to know it from its start."""
        announced: list[dict[str, Any]] = []
        unannounced: list[dict[str, Any]] = []
        for record in read_records(self.world.folder, "agent"):
            if record["event"] == "list changed":
                (unannounced if record["silent"] else announced).append(record)
            elif record["event"] == "agent" and not record["silent"]:
                announced, unannounced = announced + unannounced, []
        phases = {record["engine"]: record["phase"] for record in announced if record["phase"]}
        starts_ms = {record["engine"]: record["start_ms"] for record in announced if record["start_ms"]}
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
        """Record a fault and play it, if it is one that is played with signals."""
        await self._sleep_until(fault.at)
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
                await self._sleep_until(fault.until)
                self._signal(fault.target, signal.SIGCONT)
            case FaultKind.ENGINE_RESTARTS | FaultKind.NODE_KILLED:
                await self._kill(fault.target)
                await self._sleep_until(fault.until)
                await self._restart_ended(fault.target)
            case FaultKind.NODE_RESTARTS:
                await self._planned_restart(fault)
            case FaultKind.NODE_RELOADS:
                await self._reload(fault)
            case FaultKind.SIGNALS:
                await self._reload_in_series(fault)
            case _:
                pass  # Played by the process that it affects.

    async def _planned_restart(self, fault: ScheduledFault) -> None:
        """Restart a node with SIGTERM, with signals in series if the schedule says so."""
        node, is_in_series = fault.target, bool(fault.amount)
        process, was_serving = self.processes[node], self._is_serving(node)
        if is_in_series and was_serving:
            self._send_hangup(node)
        self.recorder.note("terminated", target=node)
        self._signal(node, signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._kill_after_s):
                while is_in_series and process.returncode is None:
                    self._send_hangup(node)
                    self._signal(node, signal.SIGTERM)
                    await asyncio.sleep(_SERIES_PAUSE_S)
                await process.wait()
        if process.returncode and was_serving and not self._was_killed(process):
            self.violations.append(Violation("crash", node, f"a planned end gave {process.returncode}"))
        await self._kill(node)
        await self._restart_ended(node)
        for _ in range(_SIGNALS_AT_START if is_in_series else 0):
            self._send_hangup(node)
            await asyncio.sleep(_SERIES_PAUSE_S)

    def _was_killed(self, process: asyncio.subprocess.Process) -> bool:
        """Whether the process was ended by SIGKILL, which another fault sent meanwhile."""
        return process.returncode == -signal.SIGKILL

    async def _reload_in_series(self, fault: ScheduledFault) -> None:
        """Send SIGHUP repeatedly, each time with another agent address in the settings; the last one counts."""
        turn = 0
        while time.monotonic() < self.world.began + fault.until:
            turn += 1
            self._write_settings(fault.target, turn)
            self._send_hangup(fault.target)
            await asyncio.sleep(_SERIES_PAUSE_S)

    def _send_hangup(self, node: str) -> None:
        """Send SIGHUP. A process that does not serve yet may ignore it."""
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

    async def _restart_ended(self, name: str) -> None:
        """Start an ended process again, unless an overlapping fault has done so."""
        if self.processes[name].returncode is None:
            return
        if name in self.world.nodes:
            await self._start_node(name)
        else:
            await self._start(name, "engine", name)

    async def _reload(self, fault: ScheduledFault) -> None:
        """Reload several times in quick succession; the agent's address alternates between two values."""
        pause = (fault.until - fault.at) / _RELOADS
        for turn in range(_RELOADS):
            self._write_settings(fault.target, turn + 1)
            if self._is_serving(fault.target):
                self._send_hangup(fault.target)
            await asyncio.sleep(pause)

    def _is_serving(self, node: str) -> bool:
        """Whether the node's process serves already. Ordinary reloads send SIGHUP only then."""
        log = (self.world.folder / f"{node}.log").read_text(errors="replace")
        return log.count("] serving") > log.count("] stopped") and f"pid={self.processes[node].pid}" in log

    def _resources(self, node: str) -> tuple[float, int]:
        """Return memory in MB and the number of descriptors; zeros if the process has ended."""
        pid = self.processes[node].pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6, len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, IndexError):
            return 0.0, 0

    def _check_growth(self, before: dict[str, tuple[float, int]]) -> None:
        """Check that the nodes' memory and descriptors have not grown."""
        for node, (memory, descriptors) in before.items():
            memory_now, descriptors_now = self._resources(node)
            if memory and memory_now - memory > _MAX_GROWTH_MB:
                self.violations.append(Violation("memory", node, f"{memory:.0f} MB, then {memory_now:.0f}"))
            if (
                descriptors
                and descriptors_now - descriptors > _MAX_MORE_DESCRIPTORS + self.world.schedule.clients * 2
            ):
                self.violations.append(
                    Violation("descriptors", node, f"{descriptors}, then {descriptors_now}")
                )

    def _is_starting(self, node: str) -> bool:
        """Whether the node's last process does not serve yet. If SIGTERM ends it then, it has not crashed."""
        log = (self.world.folder / f"{node}.log").read_text(errors="replace")
        return log.count("] serving ") < self._start_counts[node]

    async def _end_nodes(self) -> None:
        """Send SIGTERM to the nodes and check that each one exits by itself, with no errors in its log."""
        for node in self.world.nodes:
            if self.processes[node].returncode is not None:
                self.violations.append(
                    Violation("crash", node, f"ended with {self.processes[node].returncode}")
                )
            self._signal(node, signal.SIGTERM)
        for node in self.world.nodes:
            try:
                code = await asyncio.wait_for(self.processes[node].wait(), _EXIT_TIMEOUT_S)
            except TimeoutError:
                self.violations.append(Violation("end", node, "still there"))
                continue
            if code and not (code == -signal.SIGTERM and self._is_starting(node)):
                self.violations.append(Violation("crash", node, f"ended with {code}"))
            text = (self.world.folder / f"{node}.log").read_text(errors="replace")
            for event in ("settings reloaded", "settings not reloaded"):
                if (count := text.count(f"] {event}")) > self.hangups[node]:
                    found = f"{count} times {event!r} of {self.hangups[node]} SIGHUPs"
                    self.violations.append(Violation("signals", node, found))
            for line in text.splitlines():
                if any(
                    word in line
                    for word in ("invariant violated", "Traceback", "the router failed", "was never awaited")
                ):
                    self.violations.append(Violation("log", node, line[:300]))

    async def _end_all(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))


async def play(schedule: Schedule, keep: Path | None = None) -> Result:
    """Play a schedule with real processes. If an invariant was violated, the records are copied to `keep`, if given."""
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
        lag = max((record["seconds"] for record in records if record["event"] == "lag"), default=0.0)
        answers = [record for record in records if record["event"] == "answer"]
        served = sum(record["status"] == 200 and record["whole"] for record in answers)
        result = Result(
            schedule.seed,
            [*soak.violations, *judge(world, records, lag)],
            len(answers),
            served,
            soak.started,
            lag,
        )
        if keep and result.violations:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        return result
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def shrink(schedule: Schedule, tries: int) -> Schedule:
    """Return a smaller schedule that still violates an invariant, by leaving out faults. Plays at most `tries`
    schedules.
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
