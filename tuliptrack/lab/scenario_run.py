"""Runs a scenario: nodes and engines as processes on loopback, clients in this process, scheduled faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

from google.protobuf import text_format

from tuliptrack.config.node import parse
from tuliptrack.config.textformat import ConfigError, Problem
from tuliptrack.lab.client import Arrival, Client, arrivals, as_row
from tuliptrack.lab.feed import Feed
from tuliptrack.lab.judge import ProcessLifetime, RunRecord, judge
from tuliptrack.proto import fleet_pb2, lab_pb2
from tuliptrack.rpc.channel import Channel, End, Options
from tuliptrack.rpc.clock import now_us

__all__ = ["run_scenario"]

_START_TIMEOUT_S = 30.0  # until a process prints its address
_STOP_TIMEOUT_S = 8.0  # from SIGTERM to SIGKILL
_MAX_REQUESTS = 200_000
_READY, _DRAINING, _GONE = (
    fleet_pb2.ServerEntry.READY,
    fleet_pb2.ServerEntry.DRAINING,
    fleet_pb2.ServerEntry.GONE,
)


class _Process:
    """One node or engine process: its command, its lifetimes, its address (kept across restarts)."""

    def __init__(
        self, name: str, command: list[str], lifetimes: list[ProcessLifetime], log: IO[bytes]
    ) -> None:
        self.name, self.command, self.lifetimes, self.log = name, command, lifetimes, log
        self.address = "127.0.0.1:0"
        self.process: asyncio.subprocess.Process | None = None
        self.lifetime: ProcessLifetime | None = None

    async def start(self, *more: str) -> None:
        """Start the process and wait until it prints its address."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tuliptrack",
            *self.command,
            *more,
            stdout=asyncio.subprocess.PIPE,
            stderr=self.log,
        )
        assert self.process.stdout
        line = await asyncio.wait_for(self.process.stdout.readline(), _START_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"{self.name} exited before it printed its address; see processes.log")
        ready = json.loads(line)
        self.address = ready["address"]
        self.lifetime = ProcessLifetime(self.name, ready.get("instance", ""), now_us())
        self.lifetimes.append(self.lifetime)

    def signal(self, number: signal.Signals) -> None:
        """Send SIGTERM or SIGKILL. For the judge the lifetime ends here, not when the process exits."""
        if self.process and self.process.returncode is None and self.lifetime:
            if not self.lifetime.end:
                self.lifetime.end, self.lifetime.killed = now_us(), number is signal.SIGKILL
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """Stop the process: SIGTERM, then SIGKILL after `_STOP_TIMEOUT_S`."""
        if not self.process:
            return
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), _STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class _ScenarioRun:
    """State of one run of a scenario."""

    def __init__(self, scenario: lab_pb2.Scenario, folder: Path, say: Callable[[str], None]) -> None:
        self.scenario, self.folder, self.say = scenario, folder, say
        self.seed = scenario.seed or 1
        self.lifetimes: list[ProcessLifetime] = []
        self.list_updates: list[dict[str, Any]] = []
        self.feed = Feed(self._note)
        self.engines: dict[str, _Process] = {}
        self.groups: dict[str, lab_pb2.EngineGroup] = {}
        self.nodes: list[_Process] = []
        self.entries: dict[str, fleet_pb2.ServerEntry] = {}
        self.channels: list[Channel] = []
        self.controls: dict[str, Channel] = {}
        self.arrivals: list[Arrival] = []
        self.log = (folder / "processes.log").open("ab")
        self.config = scenario.node

    def _note(self, what: str, **facts: Any) -> None:
        self.list_updates.append({"t": now_us(), "what": what, **facts})

    # -- start

    async def start(self) -> None:
        self.say("starting engines and nodes ...")
        feed = await self.feed.start()
        number = 0
        for group in self.scenario.engines:
            for index in range(group.count):
                name, number = f"{group.name}-{index}", number + 1
                model = lab_pb2.EngineModel()
                model.CopyFrom(group.model)
                model.seed = self.seed
                model.role = next(k.role for k in self.config.kind if k.name == group.kind)
                path = self.folder / f"{name}.textproto"
                path.write_text(text_format.MessageToString(model))
                self.engines[name] = _Process(
                    name,
                    [
                        "lab",
                        "engine",
                        "--model",
                        str(path),
                        "--name",
                        name,
                        "--log",
                        str(self.folder / f"{name}.jsonl"),
                    ],
                    self.lifetimes,
                    self.log,
                )
                self.groups[name] = group
                self.entries[name] = fleet_pb2.ServerEntry(
                    id=number, kind=group.kind, cell=group.cell, zone=group.zone
                )
                self.list_updates.append({"t": now_us(), "what": "entry", "id": str(number), "engine": name})
        initial = [n for n in self.engines if not self.groups[n].later]
        await asyncio.gather(*(self.engines[n].start() for n in initial))
        self.feed.change(*(self._set_state(n, _READY) for n in initial))
        count = self.scenario.nodes or 2
        for slot in range(count):
            config = type(self.config)()
            config.CopyFrom(self.config)
            config.node.listen, config.node.slot, config.node.replicas = "127.0.0.1:0", slot, count
            config.node.seed = self.seed * 1000 + slot + 1
            if slot < len(self.scenario.node_zone):
                config.node.zone = self.scenario.node_zone[slot]
            if config.zones.report:
                config.zones.report = str(self.folder / f"zones-{slot}.report")
            config.servers.feed, config.servers.cache = feed, str(self.folder / f"node-{slot}.servers")
            path = self.folder / f"node-{slot}.textproto"
            path.write_text(text_format.MessageToString(config))
            self.nodes.append(
                _Process(f"node-{slot}", ["serve", str(path), "--ready"], self.lifetimes, self.log)
            )
        await asyncio.gather(*(node.start() for node in self.nodes))
        for node in self.nodes:  # A restarted node listens on the same address.
            path = Path(node.command[1])
            text = path.read_text().replace('"127.0.0.1:0"', f'"{node.address}"')
            path.write_text(text)
        self.channels = [
            Channel(n.address, Options(connect_timeout=500_000, max_links=2)) for n in self.nodes
        ]

    def _set_state(
        self, name: str, state: fleet_pb2.ServerEntry.State, started: int = 0
    ) -> fleet_pb2.ServerEntry:
        """Set an engine's state on the list; return a copy of its entry for the feed."""
        entry = self.entries[name]
        entry.address, entry.state = self.engines[name].address, state
        if started:
            entry.started_unix_us = started
        copy = fleet_pb2.ServerEntry()
        copy.CopyFrom(entry)
        return copy

    # -- scheduled events

    def _targets(self, names: list[str]) -> list[str]:
        found = [
            n
            for n in [*self.engines, *(p.name for p in self.nodes)]
            if n in names or n.rpartition("-")[0] in names
        ]
        return found

    async def _run_event(self, event: lab_pb2.Happening, start: float) -> None:
        """Wait until an event is due and carry it out."""
        await asyncio.sleep(max(start + event.at_ms / 1000 - time.monotonic(), 0))
        what = event.WhichOneof("what") or ""
        targets = self._targets(list(event.who))
        self.say(
            f"{event.at_ms / 1000:6.1f} s  {what.replace('_', ' ')}  {' '.join(targets)}  "
            + (text_format.MessageToString(event.trouble, as_one_line=True) if what == "trouble" else "")
        )
        if what in ("list_silent", "list_failing"):
            change = self.feed.set_silent if what == "list_silent" else self.feed.set_failing
            change(True)
            await asyncio.sleep(event.for_ms / 1000)
            change(False)
            return
        await asyncio.gather(*(self._apply_event(event, what, name) for name in targets))

    async def _apply_event(self, event: lab_pb2.Happening, what: str, name: str) -> None:
        process = self.engines.get(name) or next(p for p in self.nodes if p.name == name)
        listing_delay = event.told_after_ms / 1000
        if what == "trouble":
            await self._apply_trouble(name, event.trouble)
            if event.for_ms:
                await asyncio.sleep(event.for_ms / 1000)
                await self._apply_trouble(name, lab_pb2.Trouble())
        elif what == "crash":
            process.signal(signal.SIGKILL)
            if name in self.engines:
                await asyncio.sleep(listing_delay)
                self.feed.change(self._set_state(name, _GONE))
            if event.for_ms:
                await asyncio.sleep(event.for_ms / 1000)
                await self._start(name, listing_delay)
        elif what == "start":
            await self._start(name, listing_delay)
        elif what == "stop":
            process.signal(signal.SIGTERM)
            if event.for_ms:
                await asyncio.sleep(event.for_ms / 1000)
                if process.process:
                    await process.process.wait()
                await self._start(name, listing_delay)
        elif what == "drain":
            self.feed.change(self._set_state(name, _DRAINING))
            await asyncio.sleep(event.for_ms / 1000)
            process.signal(signal.SIGTERM)
            await asyncio.sleep(listing_delay)
            self.feed.change(self._set_state(name, _GONE))
        elif what == "told_gone":
            self.feed.change(self._set_state(name, _GONE))
            if event.for_ms:
                await asyncio.sleep(event.for_ms / 1000)
                self.feed.change(self._set_state(name, _READY))

    async def _start(self, name: str, listing_delay: float) -> None:
        if name not in self.engines:
            await next(p for p in self.nodes if p.name == name).start()
            return
        process = self.engines[name]
        started = time.time_ns() // 1000
        await process.start("--cold", "--listen", process.address)
        if control := self.controls.pop(name, None):
            await control.close()
        await asyncio.sleep(listing_delay)
        self.feed.change(self._set_state(name, _READY, started))

    async def _apply_trouble(self, name: str, trouble: lab_pb2.Trouble) -> None:
        channel = self.controls.setdefault(name, Channel(self.engines[name].address))
        ended: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        channel.call(
            "/tuliptrack.lab.v1.Control/Apply",
            message=trouble.SerializeToString(),
            timeout=2_000_000,
            on_end=ended.set_result,
        )
        end = await ended
        if end.status.code:
            self.say(f"          {name} could not be reached: {end.status.message}")

    # -- run

    async def run(self) -> dict[str, Any]:
        self.arrivals = sorted(arrivals(self.scenario, self.seed), key=lambda a: a.at)[:_MAX_REQUESTS]
        settings = parse(text_format.MessageToString(_with_placeholder_feed(self.config)))
        classes = {c.name: c for c in settings.settings.classes}
        client = Client(self.channels, classes)
        self.say(
            f"running {self.scenario.length_ms / 1000:g} s: {len(self.arrivals)} requests, "
            f"{len(self.nodes)} nodes, {len(self.engines)} engines, seed {self.seed}"
        )
        start = time.monotonic()
        loop = asyncio.get_running_loop()
        events = [loop.create_task(self._run_event(event, start)) for event in self.scenario.happening]
        clients: set[asyncio.Task[None]] = set()
        try:
            for arrival in self.arrivals:
                wait = start + arrival.at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                task = loop.create_task(client.play(arrival))
                clients.add(task)
                task.add_done_callback(clients.discard)
            if clients:
                await asyncio.wait(clients)
            await asyncio.gather(*events)
            await asyncio.sleep(0.5)  # Releases of the last requests are still on their way.
        finally:
            for task in [*clients, *events]:
                task.cancel()
        run_end = now_us()
        await self.stop()
        rows = [
            json.loads(line) for path in self.folder.glob("*.jsonl") for line in path.read_text().splitlines()
        ]
        rows.sort(key=lambda row: row["t"])
        traffic = RunRecord(
            self.arrivals,
            rows,
            self.list_updates,
            self.lifetimes,
            classes,
            settings.settings.release_within_us,
            settings.settings.drain_grace_us,
            run_end,
        )
        verdict = judge(traffic)
        (self.folder / "clients.json").write_text(
            json.dumps([as_row(t) for a in self.arrivals for t in a.tries])
        )
        (self.folder / "verdict.json").write_text(json.dumps(verdict, indent=1))
        return {"seed": self.seed, **verdict}

    async def stop(self) -> None:
        for channel in [*self.channels, *self.controls.values()]:
            await channel.close()
        self.controls.clear()
        await asyncio.gather(*(node.end() for node in self.nodes))
        await asyncio.gather(*(engine.end() for engine in self.engines.values()))
        await self.feed.stop()
        self.log.close()


def _with_placeholder_feed(config: Any) -> Any:
    """The settings with a placeholder for the feed's address, which the run fills in."""
    filled = type(config)()
    filled.CopyFrom(config)
    filled.servers.feed = "127.0.0.1:1"
    return filled


def _check(scenario: lab_pb2.Scenario) -> None:
    """Raise ConfigError if the scenario cannot be run."""
    problems = []
    if not scenario.length_ms > 0:
        problems.append(("length_ms", "is required and above 0"))
    config = parse(text_format.MessageToString(_with_placeholder_feed(scenario.node)))
    classes, tenants = {c.name for c in config.settings.classes}, {t.name for t in config.settings.tenants}
    for n, load in enumerate(scenario.load):
        if load.request_class not in classes:
            problems.append(
                (f"load[{n}].request_class", f"{load.request_class!r} is not among the settings' classes")
            )
        if tenants and load.tenant not in tenants:
            problems.append((f"load[{n}].tenant", f"{load.tenant!r} is not among the settings' tenants"))
    names = {f"node-{n}" for n in range(scenario.nodes or 2)} | {"node"}
    for n, group in enumerate(scenario.engines):
        if group.kind not in config.kinds:
            problems.append((f"engines[{n}].kind", f"{group.kind!r} is not among the settings' kinds"))
        names |= {group.name} | {f"{group.name}-{k}" for k in range(group.count)}
    for n, event in enumerate(scenario.happening):
        if not event.WhichOneof("what"):
            problems.append((f"happening[{n}]", "has no event"))
        problems += [
            (f"happening[{n}].who", f"{who!r} is not an engine, a group or a node")
            for who in event.who
            if who not in names
        ]
    if problems:
        raise ConfigError([Problem("scenario", 0, path, reason) for path, reason in problems])


async def run_scenario(
    scenario: lab_pb2.Scenario, keep: str | None = None, say: Callable[[str], None] | None = None
) -> dict[str, Any]:
    """Run a scenario and judge it. `keep` names a folder for its logs. All processes started here have exited
    when it returns.
    """
    _check(scenario)
    with contextlib.ExitStack() as stack:
        folder = (
            Path(keep)
            if keep
            else Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="tuliptrack-day-")))
        )
        folder.mkdir(parents=True, exist_ok=True)
        for old in [*folder.glob("*.jsonl"), *folder.glob("*.log")]:
            old.unlink()
        run = _ScenarioRun(scenario, folder, say or (lambda _: None))
        try:
            await run.start()
            return await run.run()
        finally:
            await run.stop()
