"""A controller: claims to act where nobody does, has what it decides held by a majority of agents, and only
then orders it.

It keeps nothing of its own: the record lies at the agents. Any number run; which one acts follows from epochs
alone, the waits below only keep two from claiming at once all the time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

import structlog

from tuliptrack.decisions.consensus import AcceptedValue, Ballot, Proposer
from tuliptrack.decisions.rollout import Command, Rollout
from tuliptrack.decisions.rollout_evidence import NodeReport, RequestCounts
from tuliptrack.decisions.rollout_plan import Plan, PlanError, Release, Stage
from tuliptrack.decisions.rollout_record import Phase, Record
from tuliptrack.fleet.ask import Unanswered, ask
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel, Options
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["Controller", "Host", "plan_from"]

log = structlog.get_logger("controller")
_ANSWER_US = 1_000_000  # microseconds that an agent has for an answer


@dataclass(frozen=True, slots=True)
class Host:
    """Where one host's agent is."""

    name: str
    zone: str
    agent: str


def _named(release: pb.ReleaseName) -> str:
    return Release(release.program, release.settings).name if release.program else ""


def plan_from(text: str) -> Plan:
    """A plan from its JSON; PlanError names the field that can't be used."""
    try:
        told = json.loads(text)
        if not isinstance(told, dict):
            raise PlanError("plan: must be an object")
        known = {f.name for f in fields(Plan)}
        if unknown := set(told) - known:
            raise PlanError(f"{min(unknown)}: is no field of a plan")
        stages = tuple(Stage(**{**s, "hosts": tuple(s["hosts"])}) for s in told.pop("stages"))
        return Plan(
            **{**told, "old": Release(**told["old"]), "new": Release(**told["new"]), "stages": stages}
        )
    except (TypeError, KeyError, ValueError) as error:
        raise error if isinstance(error, PlanError) else PlanError(f"plan: {error}") from None


class Controller:
    """One controller. `start`, then `stop`."""

    def __init__(
        self, number: int, hosts: tuple[Host, ...], window: int = 5_000_000, takeover: int = 3_000_000
    ) -> None:
        """`window` is how long reports are gathered before a decision, `takeover` how long nobody may have
        led before this one claims; both in microseconds."""
        self.number, self.hosts, self.window, self.takeover = (
            number,
            {h.name: h for h in hosts},
            window,
            takeover,
        )
        self.proposer = Proposer(number, frozenset(self.hosts))
        self.rollout = Rollout()
        self._pause = min(window, takeover) / 5e6
        self.channels = {h.name: Channel(h.agent, Options(connect_timeout=500_000)) for h in hosts}
        self.reports: dict[str, pb.HostReport] = {}
        """Of each host, the last one; gone when the next question goes unanswered."""
        self._before: dict[str, pb.HostReport] = {}
        self._next: Record | None = None
        self._waiting: list[tuple[ServerCall, Record]] = []
        self._window_at = 0
        self.server = Server()
        self.server.add("tuliptrack.v1.Fleet", "Begin", unary_request(pb.BeginRequest, self._begin))
        self.server.add("tuliptrack.v1.Fleet", "Say", unary_request(pb.SayRequest, self._say))
        self.server.add(
            "tuliptrack.v1.Fleet", "State", unary_request(pb.StateRequest, lambda call, _: self._tell(call))
        )
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        for task in (self._run(), *(self._look_at(name) for name in self.hosts)):
            self._own(asyncio.get_running_loop().create_task(task))
        return await self.server.listen(host, port)

    def _own(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.server.stop(0)
        for channel in self.channels.values():
            await channel.close()

    @property
    def acts(self) -> bool:
        return self.proposer.is_leader and self.proposer.chosen is not None

    # -- what operators ask

    def _tell(self, call: ServerCall) -> None:
        record = json.dumps(self.rollout.record.as_dict()) if self.acts else ""
        hosts = {name: {"zone": h.zone, **self._host(name)} for name, h in self.hosts.items()}
        call.send(
            pb.FleetState(
                leads=self.acts,
                epoch=self.proposer.epoch,
                record=record,
                hosts=json.dumps(hosts),
                learnt=self.rollout.evidence.learnt_windows,
            ).SerializeToString()
        )
        call.end(Status(Code.OK))

    def _host(self, name: str) -> dict[str, Any]:
        report = self.reports.get(name)
        if report is None:
            return {"heard": False}
        return {
            "heard": True,
            "ready": report.ready,
            "died": report.died,
            "trouble": report.trouble,
            "address": report.address,
            "changes": report.changes,
            "release": _named(report.release),
        }

    def _decide(self, call: ServerCall, record: Record) -> None:
        """Settle what an operator wants; answered once it is."""
        if self._next is not None:
            call.end(Status(Code.ABORTED, "another decision is being settled; trying again is harmless"))
            return
        self._next = record
        self._waiting.append((call, record))

    def _begin(self, call: ServerCall, request: pb.BeginRequest) -> None:
        if not self.acts:
            call.end(Status(Code.FAILED_PRECONDITION, f"controller {self.number} does not act"))
            return
        try:
            plan = plan_from(request.plan)
            zones = {name: h.zone for name, h in self.hosts.items()}
            if plan == self.rollout.record.plan and self.rollout.record.phase in (
                Phase.FORWARD,
                Phase.PAUSED,
            ):
                self._tell(call)  # The operator's word came twice, as the first answer was lost.
                return
            if dict(plan.zones) != zones:
                odd = sorted(set(plan.zones.items()) ^ set(zones.items()))[0]
                raise PlanError(f"zones: {odd[0]!r} in {odd[1]!r} is not what this fleet has")
            self._decide(call, self.rollout.start(plan))
        except PlanError as error:
            call.end(Status(Code.INVALID_ARGUMENT, str(error)))

    def _say(self, call: ServerCall, request: pb.SayRequest) -> None:
        if not self.acts:
            call.end(Status(Code.FAILED_PRECONDITION, f"controller {self.number} does not act"))
            return
        try:
            self._decide(call, self.rollout.handle_command(Command(request.command)))
        except ValueError as error:
            call.end(Status(Code.INVALID_ARGUMENT, str(error)))

    # -- who acts

    async def _run(self) -> None:
        """Decide once a window where this one acts, claim where nobody does."""
        while True:
            await asyncio.sleep(self._pause)
            for report in self.reports.values():
                self.proposer.handle_rejection(report.promised)
            if not self.proposer.is_leader:
                self._learn()
                await self._claim_if_unled()
            elif self.acts:
                await self._act()
            else:
                await self._settle(None)
            self._let_go()

    async def _look_at(self, name: str) -> None:
        """Send one agent its order, where this one acts, and take its report in, again and again. A host that
        is cut off keeps nobody else waiting."""
        while True:
            question = pb.LookRequest()
            if self.acts and self.proposer.chosen:
                (question.order.epoch, question.order.number), _ = self.proposer.chosen
                if wanted := self.rollout.record.release(name):
                    question.release.program, question.release.settings = wanted.program, wanted.settings
            try:
                self.reports[name] = await ask(
                    self.channels[name], "Agent/Look", question, pb.HostReport, _ANSWER_US
                )
            except Unanswered as error:
                log.debug("no report", host=name, reason=str(error))
                self.reports.pop(name, None)
            await asyncio.sleep(self._pause)

    async def _ask_all(self, method: str, question: Any, each: Callable[[str, pb.AgentAnswer], bool]) -> None:
        """Ask every agent; hand each answer on until one of them is enough (True). The others are still
        told."""

        async def one(name: str) -> tuple[str, pb.AgentAnswer | None]:
            try:
                return name, await ask(self.channels[name], method, question, pb.AgentAnswer, _ANSWER_US)
            except Unanswered as error:
                log.debug("no answer", host=name, method=method, reason=str(error))
                return name, None

        left = {asyncio.get_running_loop().create_task(one(name)) for name in self.hosts}
        for task in left:
            self._own(task)
        while left:
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                name, answer = task.result()
                if answer is None:
                    continue
                if not answer.agreed:
                    self.proposer.handle_rejection(answer.promised)
                elif each(name, answer):
                    return

    async def _claim_if_unled(self) -> None:
        unled = sorted(r.unled_for for r in self.reports.values())
        needed = self.proposer.quorum
        # By turns: a higher number waits longer, so that the lowest that is up claims first.
        if len(unled) < needed or unled[len(unled) - needed] < self.takeover * (1 + 0.5 * self.number):
            return
        epoch = self.proposer.start_epoch()
        await self._ask_all(
            "Agent/Promise",
            pb.PromiseRequest(epoch=epoch),
            lambda name, a: self.proposer.handle_promise(
                name, epoch, AcceptedValue(Ballot(a.mark.epoch, a.mark.number), a.value)
            ),
        )
        if self.proposer.is_leader:
            log.info("acts", controller=self.number, epoch=epoch)
            await self._settle(None)

    async def _settle(self, record: Record | None) -> None:
        """Have a record held by a majority: a new one, or again the one that is being written."""
        if record is not None:
            self.proposer.propose(json.dumps(record.as_dict()).encode())
        mark, value = self.proposer.ballot, self.proposer.value
        question = pb.AcceptRequest(mark=pb.Mark(epoch=mark[0], number=mark[1]), value=value)
        await self._ask_all("Agent/Accept", question, lambda name, _: self.proposer.handle_accept(name, mark))
        if self.proposer.chosen == (mark, value):
            self._settled(value)

    def _settled(self, value: bytes) -> None:
        before = self.rollout.record
        try:
            record = Record.from_dict(json.loads(value)) if value else Record()
        except PlanError as error:
            log.error("record not understood", reason=str(error))
            self.proposer.is_leader = False
            return
        self.rollout.handle_chosen(record)
        if (record.phase, record.stage, record.reason) != (before.phase, before.stage, before.reason):
            log.info(
                "decided",
                rollout=record.number,
                phase=record.phase.value,
                stage=record.stage + 1,
                reason=record.reason,
            )

    async def _act(self) -> None:
        now = now_us()
        wanted = self._next
        if wanted is None and now - self._window_at >= self.window:
            self._window_at = now
            wanted = self.rollout.handle_window(now, self._gather())
        if wanted is not None:
            await self._settle(wanted)
        if (
            self.proposer.chosen
            and self.proposer.ballot != self.proposer.chosen[0]
            and self.proposer.is_leader
        ):
            await self._settle(None)  # Not yet held by a majority: told again until it is, or another acts.

    def _learn(self) -> None:
        """While another one acts: know what is usual, as this one may have to go on. Only what every host,
        ready and with one and the same release, does can be that."""
        now = now_us()
        if now - self._window_at < self.window:
            return
        self._window_at = now
        told = self._gather()
        if (
            len(told) == len(self.hosts)
            and all(r.is_ready for r in told)
            and len({r.release for r in told}) == 1
        ):
            self.rollout.evidence.learn(told)

    def _let_go(self) -> None:
        """Answer operators whose word is settled, or was lost with this one's turn."""
        for call, record in self._waiting:
            if self.acts and self.rollout.record == record:
                self._tell(call)
            elif not self.proposer.is_leader:
                call.end(Status(Code.UNAVAILABLE, "another controller acts now; ask for the state"))
            else:
                continue
        self._waiting = [w for w in self._waiting if w[0].open]
        if not self._waiting:
            self._next = None

    def _gather(self) -> list[NodeReport]:
        """What each host's node did since the last window."""
        told = []
        for name, report in self.reports.items():
            before = self._before.get(name)
            if before is None or before.life != report.life:
                before = report
            was = {(c.request_class, c.measure): c for c in before.counts}
            classes: dict[str, dict[str, RequestCounts]] = {}
            for c in report.counts:
                old = was.get((c.request_class, c.measure))
                count, bad = c.count - (old.count if old else 0), c.bad - (old.bad if old else 0)
                classes.setdefault(c.request_class, {})[c.measure] = RequestCounts(float(count), float(bad))
            runs = (
                Release(report.release.program, report.release.settings) if report.release.program else None
            )
            told.append(
                NodeReport(
                    name,
                    self.hosts[name].zone,
                    runs,
                    report.ready,
                    report.ready_for,
                    classes,
                    report.died - before.died,
                )
            )
        self._before = dict(self.reports)
        return told
