"""The agent of one host: keeps its node running, holds what the fleet has agreed on, carries out orders and
reports.

A host's folder holds `programs/DIGEST/run` (given the settings' path; it prints one JSON line once it serves)
and `settings/DIGEST`, and what the agent writes: `state` (sealed), `owner` (a lock), `node.out`, `node.log`.
The node is a session of its own: it serves on when the agent ends, and the next agent finds it by the mark in
its environment. Nothing that a node needs comes from here once it runs."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import secrets
import signal
import subprocess
from dataclasses import replace
from pathlib import Path
from typing import Any

import structlog

from tuliptrack.decisions.consensus import Acceptor, Ballot
from tuliptrack.decisions.rollout_plan import Release
from tuliptrack.fleet.measures import LogCounts
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status
from tuliptrack.store import sealed

__all__ = ["Agent"]

log = structlog.get_logger("agent")
FORMAT = 1
_LOOK_S = 0.05  # seconds between looks at the node's process
_TERM_S = 10.0  # after SIGTERM until SIGKILL: a node that ignores it would hold the host for ever
_AGAIN_S = (
    0.2,
    5.0,
)  # before a node that died is started again: doubled at each death in a row, up to so much
_NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.-]{0,127}")
_MARK = "TULIPTRACK_HOST"  # in a node's environment: the folder, then what it runs


def _started(pid: int) -> str:
    """When a process started, by the kernel's count: a pid that was given anew is another process. Empty:
    there is none."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[0] == "Z" else fields[19]


def _mark(root: Path, release: Release | None) -> str:
    return f"{root}|{release.program}|{release.settings}" if release else f"{root}|"


def _node_of(root: Path) -> tuple[int, Release] | None:
    """The node that an earlier agent has started for this folder, if it still runs: whatever moment that
    agent died at, the mark came with the process."""
    begin = f"{_MARK}={_mark(root, None)}".encode()
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            marks = [v for v in (entry / "environ").read_bytes().split(b"\0") if v.startswith(begin)]
            if marks and os.getsid(int(entry.name)) == int(entry.name) and _started(int(entry.name)):
                _, program, settings = marks[0].decode().split("|")
                return int(entry.name), Release(program, settings)
        except (OSError, ValueError):
            continue  # Another user's, or gone meanwhile.
    return None


class Agent:
    """One host's agent. `start`, then `stop`, which leaves the node running."""

    def __init__(self, host: str, root: Path, first: Release) -> None:
        """`first` is what runs where nothing was ever ordered. SealedError where the state can't be read."""
        self.host, self.root, self.life = host, root.resolve(), secrets.token_hex(4)
        root.mkdir(parents=True, exist_ok=True)
        self._owner = os.open(root / "owner", os.O_CREAT | os.O_RDWR, 0o644)
        try:
            os.lockf(self._owner, os.F_TLOCK, 0)
        except OSError:
            os.close(self._owner)
            raise sealed.SealedError(f"{root}: another agent has this host") from None
        self.acceptor, self.order, self.release, self.changes = Acceptor(), (0, 0), first, 0
        if (found := sealed.read(root / "state")) is not None:
            self._load(json.loads(found))
        self.server = Server()
        self.server.add("tuliptrack.v1.Agent", "Promise", unary_request(pb.PromiseRequest, self._promise))
        self.server.add("tuliptrack.v1.Agent", "Accept", unary_request(pb.AcceptRequest, self._accept))
        self.server.add("tuliptrack.v1.Agent", "Look", unary_request(pb.LookRequest, self._look))
        self.running: Release | None = None
        self.address, self.trouble = "", ""
        self.died, self.pid, self._born = 0, 0, ""
        self.ready_at, self._in_a_row, self._stopping_at = 0, 0, 0.0
        self._not_before = 0.0
        self.led_at = now_us()
        self.counts = LogCounts(root / "node.log", from_end=True)
        self._task: asyncio.Task[None] | None = None
        self._children: dict[int, subprocess.Popen[bytes]] = {}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Watch the host's node and answer controllers; returns host:port."""
        self._find()
        self._task = asyncio.get_running_loop().create_task(self._watch())
        return await self.server.listen(host, port)

    async def stop(self) -> None:
        os.close(self._owner)
        await self.server.stop(0)
        if self._task:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    # -- what is on disk

    def _load(self, told: dict[str, Any]) -> None:
        if told["format"] > FORMAT:
            raise sealed.SealedError(f"{self.root / 'state'}: format {told['format']} is newer than {FORMAT}")
        self.acceptor = Acceptor(told["promised"], Ballot(*told["mark"]), base64.b64decode(told["value"]))
        self.order, self.changes = tuple(told["order"]), told["changes"]
        self.release = Release(*told["release"])

    def _keep(self, acceptor: Acceptor, order: tuple[int, int], release: Release, changes: int) -> None:
        """Put these on disk, and only then in force; SealedError changes nothing."""
        sealed.write(
            self.root / "state",
            json.dumps(
                {
                    "format": FORMAT,
                    "promised": acceptor.promised_epoch,
                    "mark": acceptor.ballot,
                    "order": order,
                    "changes": changes,
                    "value": base64.b64encode(acceptor.value).decode(),
                    "release": [release.program, release.settings],
                }
            ).encode(),
        )
        self.acceptor, self.order, self.release, self.changes = acceptor, order, release, changes

    # -- what controllers ask

    def _answer(self, call: ServerCall, agreed: bool) -> None:
        a = self.acceptor
        call.send(
            pb.AgentAnswer(
                agreed=agreed,
                promised=a.promised_epoch,
                mark=pb.Mark(epoch=a.ballot.epoch, number=a.ballot.number),
                value=a.value,
            ).SerializeToString()
        )
        call.end(Status(Code.OK))

    def _change(self, call: ServerCall, then: Acceptor, agreed: bool) -> None:
        try:
            if agreed:
                self._keep(then, self.order, self.release, self.changes)
        except sealed.SealedError as error:
            log.error("not kept", reason=str(error))
            call.end(Status(Code.UNAVAILABLE, str(error)))
            return
        self._answer(call, agreed)

    def _promise(self, call: ServerCall, request: pb.PromiseRequest) -> None:
        then = replace(self.acceptor)
        self._change(call, then, then.promise(request.epoch))

    def _accept(self, call: ServerCall, request: pb.AcceptRequest) -> None:
        then = replace(self.acceptor)
        self._change(call, then, then.accept(Ballot(request.mark.epoch, request.mark.number), request.value))

    def _look(self, call: ServerCall, request: pb.LookRequest) -> None:
        obeyed = not request.HasField("order") or self._obey(
            (request.order.epoch, request.order.number),
            Release(request.release.program, request.release.settings),
        )
        self.counts.read()
        now = now_us()
        report = pb.HostReport(
            host=self.host,
            obeyed=obeyed,
            promised=self.acceptor.promised_epoch,
            ready=bool(self.ready_at),
            died=self.died,
            ready_for=max(now - self.ready_at, 0) if self.ready_at else 0,
            life=self.life,
            trouble=self.trouble,
            unled_for=now - self.led_at,
            address=self.address,
            changes=self.changes,
        )
        if self.running:
            report.release.program, report.release.settings = self.running.program, self.running.settings
        total = {name: n for (name, measure), n in self.counts.counts.items() if measure == ""}
        for name, n in total.items():
            for measure in ("refused", "failed", "broken", "late"):
                report.counts.add(
                    request_class=name, measure=measure, count=n, bad=self.counts.counts[name, measure]
                )
        call.send(report.SerializeToString())
        call.end(Status(Code.OK))

    def _obey(self, order: tuple[int, int], release: Release) -> bool:
        """Take an order; False where it is older than another or than the epoch promised. One without a
        release only tells that somebody leads."""
        if order[0] < self.acceptor.promised_epoch or order < self.order:
            return False
        self.led_at = now_us()
        if not release.program or (release == self.release and order == self.order):
            return True
        if missing := self._missing(release):
            self.trouble = missing
            return True
        self.trouble = ""
        try:
            self._keep(self.acceptor, order, release, self.changes + (release != self.release))
            self._in_a_row, self._not_before = 0, 0.0
        except sealed.SealedError as error:
            self.trouble = str(error)
        return True

    def _missing(self, release: Release) -> str:
        for field, name in (("program", release.program), ("settings", release.settings)):
            if not _NAME.fullmatch(name):
                return f"{field}: {name!r} is no digest"
        if not (self.root / "programs" / release.program / "run").is_file():
            return f"program: {release.program!r} is not at hand"
        if not (self.root / "settings" / release.settings).is_file():
            return f"settings: {release.settings!r} are not at hand"
        return ""

    # -- the node

    def _find(self) -> None:
        """Take over a node that an earlier agent left."""
        if found := _node_of(self.root):
            self.pid, self.running = found
            self._born = _started(self.pid)
            log.info("node found", pid=self.pid, release=self.running.name)

    async def _watch(self) -> None:
        while True:
            self._turn()
            await asyncio.sleep(_LOOK_S)

    def _turn(self) -> None:
        """One look at the node: start it, note that it is ready or has died, or go on with its
        replacement."""
        now = asyncio.get_running_loop().time()
        if child := self._children.get(self.pid):
            child.poll()
        if self.pid and _started(self.pid) != self._born:
            unasked, self._stopping_at = not self._stopping_at, 0.0
            log.info("node ended", pid=self.pid, unasked=unasked)
            self._children.pop(self.pid, None)
            self.pid, self._born, self.running, self.ready_at, self.address = 0, "", None, 0, ""
            if unasked:
                self.died += 1
                self._wait(now)
            else:
                self._in_a_row, self._not_before = 0, 0.0
        if not self.pid:
            if now >= self._not_before:
                self._begin(now)
        elif self._stopping_at:
            if now - self._stopping_at > _TERM_S:
                self._signal(signal.SIGKILL)
        elif self.running != self.release:
            log.info("node replaced", old=self.running.name if self.running else "", new=self.release.name)
            self._stopping_at, self.ready_at, self._in_a_row = now, 0, 0
            self._signal(signal.SIGTERM)
        elif not self.ready_at:
            self._see_ready()

    def _wait(self, now: float) -> None:
        """Put the next start off, longer at each failure in a row."""
        self._not_before = now + min(_AGAIN_S[0] * 2**self._in_a_row, _AGAIN_S[1])
        self._in_a_row += 1

    def _signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    def _see_ready(self) -> None:
        with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
            self.address = str(json.loads((self.root / "node.out").read_text())["address"])
            self.ready_at, self._in_a_row = now_us(), 0
            log.info("node ready", address=self.address)

    def _begin(self, now: float) -> None:
        if missing := self._missing(self.release):
            self.trouble = missing
            return
        run, settings = (
            self.root / "programs" / self.release.program / "run",
            self.root / "settings" / self.release.settings,
        )
        try:
            with open(self.root / "node.out", "wb") as out, open(self.root / "node.log", "ab") as err:
                child = subprocess.Popen(
                    [str(run), str(settings)],
                    stdout=out,
                    stderr=err,
                    stdin=subprocess.DEVNULL,
                    start_new_session=True,
                    env={**os.environ, _MARK: _mark(self.root, self.release)},
                )
            self.pid, self._born, self.running = child.pid, _started(child.pid), self.release
            self._children[child.pid] = child
            log.info("node started", pid=self.pid, release=self.release.name)
        except OSError as error:
            self.trouble = f"{run}: {error.strerror or error}"
            self._wait(now)
