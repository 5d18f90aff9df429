"""A scripted day: nodes and engines as real processes on loopback, clients in this one, troubles by time."""

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
from tuliptrack.lab.judge import Life, Traffic, judge
from tuliptrack.proto import fleet_pb2, lab_pb2
from tuliptrack.rpc.channel import Channel, End, Options
from tuliptrack.rpc.clock import now_us

__all__ = ["play_day"]

_START_S = 30.0  # seconds in which a process must have told its address
_END_S = 8.0  # seconds after SIGTERM until SIGKILL
_MOST_REQUESTS = 200_000
_READY, _DRAINING, _GONE = (
    fleet_pb2.ServerEntry.READY,
    fleet_pb2.ServerEntry.DRAINING,
    fleet_pb2.ServerEntry.GONE,
)


class _Process:
    """One node or engine: its command, its lives, its address (kept over restarts)."""

    def __init__(self, name: str, command: list[str], lives: list[Life], log: IO[bytes]) -> None:
        self.name, self.command, self.lives, self.log = name, command, lives, log
        self.address = "127.0.0.1:0"
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None

    async def start(self, *more: str) -> None:
        """Start it and wait until it has told its address."""
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
        line = await asyncio.wait_for(self.process.stdout.readline(), _START_S)
        if not line:
            raise RuntimeError(f"{self.name} ended at its start; its log tells why")
        told = json.loads(line)
        self.address = told["address"]
        self.life = Life(self.name, told.get("instance", ""), now_us())
        self.lives.append(self.life)

    def signal(self, number: signal.Signals) -> None:
        """Kill it, or ask it to stop; its life ends, as far as promises go, here."""
        if self.process and self.process.returncode is None and self.life:
            if not self.life.end:
                self.life.end, self.life.killed = now_us(), number is signal.SIGKILL
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        """Stop it, by force where it doesn't."""
        if not self.process:
            return
        with contextlib.suppress(ProcessLookupError):
            self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), _END_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class _Day:
    """Everything that one day is made of."""

    def __init__(self, scenario: lab_pb2.Scenario, folder: Path, say: Callable[[str], None]) -> None:
        self.scenario, self.folder, self.say = scenario, folder, say
        self.seed = scenario.seed or 1
        self.lives: list[Life] = []
        self.told: list[dict[str, Any]] = []
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
        self.told.append({"t": now_us(), "what": what, **facts})

    # -- setting up

    async def start(self) -> None:
        self.say("starting engines and nodes ...")
        feed = await self.feed.start()
        number = 0
        for group in self.scenario.engines:
            for place in range(group.count):
                name, number = f"{group.name}-{place}", number + 1
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
                    self.lives,
                    self.log,
                )
                self.groups[name] = group
                self.entries[name] = fleet_pb2.ServerEntry(
                    id=number, kind=group.kind, cell=group.cell, zone=group.zone
                )
                self.told.append({"t": now_us(), "what": "entry", "id": str(number), "engine": name})
        now = [n for n in self.engines if not self.groups[n].later]
        await asyncio.gather(*(self.engines[n].start() for n in now))
        self.feed.change(*(self._listed(n, _READY) for n in now))
        count = self.scenario.nodes or 2
        for slot in range(count):
            made = type(self.config)()
            made.CopyFrom(self.config)
            made.node.listen, made.node.slot, made.node.replicas = "127.0.0.1:0", slot, count
            made.node.seed = self.seed * 1000 + slot + 1
            if slot < len(self.scenario.node_zone):
                made.node.zone = self.scenario.node_zone[slot]
            if made.zones.report:
                made.zones.report = str(self.folder / f"zones-{slot}.report")
            made.servers.feed, made.servers.cache = feed, str(self.folder / f"node-{slot}.servers")
            path = self.folder / f"node-{slot}.textproto"
            path.write_text(text_format.MessageToString(made))
            self.nodes.append(_Process(f"node-{slot}", ["serve", str(path), "--ready"], self.lives, self.log))
        await asyncio.gather(*(node.start() for node in self.nodes))
        for node in self.nodes:  # A node that starts again listens where it did.
            path = Path(node.command[1])
            text = path.read_text().replace('"127.0.0.1:0"', f'"{node.address}"')
            path.write_text(text)
        self.channels = [
            Channel(n.address, Options(connect_timeout=500_000, max_links=2)) for n in self.nodes
        ]

    def _listed(
        self, name: str, state: fleet_pb2.ServerEntry.State, started: int = 0
    ) -> fleet_pb2.ServerEntry:
        entry = self.entries[name]
        entry.address, entry.state = self.engines[name].address, state
        if started:
            entry.started_unix_us = started
        told = fleet_pb2.ServerEntry()
        told.CopyFrom(entry)
        return told

    # -- what happens

    def _who(self, names: list[str]) -> list[str]:
        found = [
            n
            for n in [*self.engines, *(p.name for p in self.nodes)]
            if n in names or n.rpartition("-")[0] in names
        ]
        return found

    async def happen(self, one: lab_pb2.Happening, begin: float) -> None:
        """Wait for its time and do it."""
        await asyncio.sleep(max(begin + one.at_ms / 1000 - time.monotonic(), 0))
        what = one.WhichOneof("what") or ""
        who = self._who(list(one.who))
        self.say(
            f"{one.at_ms / 1000:6.1f} s  {what.replace('_', ' ')}  {' '.join(who)}  "
            + (text_format.MessageToString(one.trouble, as_one_line=True) if what == "trouble" else "")
        )
        if what in ("list_silent", "list_failing"):
            change = self.feed.set_silent if what == "list_silent" else self.feed.set_failing
            change(True)
            await asyncio.sleep(one.for_ms / 1000)
            change(False)
            return
        await asyncio.gather(*(self._one(one, what, name) for name in who))

    async def _one(self, one: lab_pb2.Happening, what: str, name: str) -> None:
        process = self.engines.get(name) or next(p for p in self.nodes if p.name == name)
        later = one.told_after_ms / 1000
        if what == "trouble":
            await self._trouble(name, one.trouble)
            if one.for_ms:
                await asyncio.sleep(one.for_ms / 1000)
                await self._trouble(name, lab_pb2.Trouble())
        elif what == "crash":
            process.signal(signal.SIGKILL)
            if name in self.engines:
                await asyncio.sleep(later)
                self.feed.change(self._listed(name, _GONE))
            if one.for_ms:
                await asyncio.sleep(one.for_ms / 1000)
                await self._start(name, later)
        elif what == "start":
            await self._start(name, later)
        elif what == "stop":
            process.signal(signal.SIGTERM)
            if one.for_ms:
                await asyncio.sleep(one.for_ms / 1000)
                if process.process:
                    await process.process.wait()
                await self._start(name, later)
        elif what == "drain":
            self.feed.change(self._listed(name, _DRAINING))
            await asyncio.sleep(one.for_ms / 1000)
            process.signal(signal.SIGTERM)
            await asyncio.sleep(later)
            self.feed.change(self._listed(name, _GONE))
        elif what == "told_gone":
            self.feed.change(self._listed(name, _GONE))
            if one.for_ms:
                await asyncio.sleep(one.for_ms / 1000)
                self.feed.change(self._listed(name, _READY))

    async def _start(self, name: str, later: float) -> None:
        if name not in self.engines:
            await next(p for p in self.nodes if p.name == name).start()
            return
        process = self.engines[name]
        started = time.time_ns() // 1000
        await process.start("--cold", "--listen", process.address)
        if control := self.controls.pop(name, None):
            await control.close()
        await asyncio.sleep(later)
        self.feed.change(self._listed(name, _READY, started))

    async def _trouble(self, name: str, trouble: lab_pb2.Trouble) -> None:
        channel = self.controls.setdefault(name, Channel(self.engines[name].address))
        over: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        channel.call(
            "/tuliptrack.lab.v1.Control/Apply",
            message=trouble.SerializeToString(),
            timeout=2_000_000,
            on_end=over.set_result,
        )
        end = await over
        if end.status.code:
            self.say(f"          {name} was not reached: {end.status.message}")

    # -- the day

    async def run(self) -> dict[str, Any]:
        self.arrivals = sorted(arrivals(self.scenario, self.seed), key=lambda a: a.at)[:_MOST_REQUESTS]
        settings = parse(text_format.MessageToString(_filled(self.config)))
        classes = {c.name: c for c in settings.settings.classes}
        client = Client(self.channels, classes)
        self.say(
            f"playing {self.scenario.length_ms / 1000:g} s: {len(self.arrivals)} requests, {len(self.nodes)} nodes, "
            f"{len(self.engines)} engines, seed {self.seed}"
        )
        begin = time.monotonic()
        loop = asyncio.get_running_loop()
        happenings = [loop.create_task(self.happen(one, begin)) for one in self.scenario.happening]
        playing: set[asyncio.Task[None]] = set()
        try:
            for arrival in self.arrivals:
                wait = begin + arrival.at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                task = loop.create_task(client.play(arrival))
                playing.add(task)
                task.add_done_callback(playing.discard)
            if playing:
                await asyncio.wait(playing)
            await asyncio.gather(*happenings)
            await asyncio.sleep(0.5)  # What was let go at the very end is on its way.
        finally:
            for task in [*playing, *happenings]:
                task.cancel()
        over = now_us()
        await self.stop()
        rows = [
            json.loads(line) for path in self.folder.glob("*.jsonl") for line in path.read_text().splitlines()
        ]
        rows.sort(key=lambda row: row["t"])
        traffic = Traffic(
            self.arrivals,
            rows,
            self.told,
            self.lives,
            classes,
            settings.settings.release_within_us,
            settings.settings.drain_grace_us,
            over,
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


def _filled(config: Any) -> Any:
    """The settings with something where the day fills in its own."""
    made = type(config)()
    made.CopyFrom(config)
    made.servers.feed = "127.0.0.1:1"
    return made


def _check(scenario: lab_pb2.Scenario) -> None:
    """ConfigError names what can't be played."""
    problems = []
    if not scenario.length_ms > 0:
        problems.append(("length_ms", "is required and above 0"))
    config = parse(text_format.MessageToString(_filled(scenario.node)))
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
    for n, one in enumerate(scenario.happening):
        if not one.WhichOneof("what"):
            problems.append((f"happening[{n}]", "says nothing that happens"))
        problems += [
            (f"happening[{n}].who", f"{who!r} is no engine, group or node")
            for who in one.who
            if who not in names
        ]
    if problems:
        raise ConfigError([Problem("scenario", 0, path, reason) for path, reason in problems])


async def play_day(
    scenario: lab_pb2.Scenario, keep: str | None = None, say: Callable[[str], None] | None = None
) -> dict[str, Any]:
    """Play a day and judge it. `keep` names a folder for its logs. Every process started here has ended on
    return.
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
        day = _Day(scenario, folder, say or (lambda _: None))
        try:
            await day.start()
            return await day.run()
        finally:
            await day.stop()
