"""A rolling change from one release to another in stages, stopped and taken back where new nodes do worse.

`Rollout` takes what agents report and what operators say, and returns the next `Record`: what is decided. A
record means nothing until a majority holds it (`register.py`); orders are no more than "run what the record
names for your host", so one that comes twice or late does nothing. Whoever acts next finds the record and
goes on from it; the evidence of the stage starts anew, which can only make a stage longer.

A stage is left in four ways: promoted, where new nodes are shown to be no worse than the plan's margin; taken
back, where they are shown to do worse, can't start, or nothing is shown by the stage's longest time; held for
a person, where all nodes do worse than the fleet's own past, so that it can't be told which release it is;
aborted by a person, which takes it back.

No I/O, no clock: `now` in microseconds of whoever acts. Bound: one entry for each node of the plan.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field, replace
from enum import Enum
from math import log
from typing import Any

from tuliptrack.decisions.sequential_test import Baseline, NodeWindow, SequentialTest, Stratum

__all__ = [
    "MEASURES",
    "Command",
    "Phase",
    "Plan",
    "PlanError",
    "Record",
    "Release",
    "Report",
    "Rollout",
    "Stage",
]

FORMAT = 1  # of a record; a newer one is refused
MEASURES = ("refused", "failed", "broken", "late", "gaps", "cpu", "memory", "died")
"""What is counted as gone badly: of a class's requests, but the last three, which are of a node's windows."""
FALSE_STOPS = 0.002  # level of the evidence, all measures together: at 0.01 three in 200 clean rollouts were stopped, as
# nodes' lasting differences are only known from some windows
_PLAIN = (
    "most_out",
    "most_out_zone",
    "margin",
    "ready_within",
    "least_learnt",
    "allowance",
)  # fields that JSON holds as is
_SHOWN = (
    "refused",
    "failed",
    "broken",
    "late",
)  # what must be within the margin, not only without evidence against it
LEANS = 1.0  # log of the wealth past which a stage isn't left: it may become evidence yet
GUARD = 0.15  # share of old nodes' requests beyond the usual that goes badly (of all, once none is old): a person is called
GUARD_WINDOWS = 3  # in a row, lest one burst do it


class PlanError(ValueError):
    """A plan or command that can't be taken; the text names the field. Nothing has changed."""


class Phase(Enum):
    """What is being done."""

    NONE = "none"
    FORWARD = "forward"
    PAUSED = "paused"
    BACK = "back"
    """Being taken back, as paced as the way there."""
    HELD = "held"
    """Nothing more is changed until a person says so."""
    DONE = "done"
    TAKEN_BACK = "taken back"


class Command(Enum):
    """What an operator may say."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


@dataclass(frozen=True, slots=True)
class Release:
    """What a node runs: digests of its program and of its settings."""

    program: str
    settings: str

    @property
    def name(self) -> str:
        return f"{self.program[:12]}+{self.settings[:12]}"


@dataclass(frozen=True, slots=True)
class Stage:
    """Hosts that change in this stage, and what must be known before the next. Times in microseconds."""

    hosts: tuple[str, ...]
    least_requests: int = 200
    """Of its new nodes, compared with old ones' in the same zones and classes."""
    shortest: int = 60_000_000
    """Since the last of its hosts was ready: a crash or a leak takes its time to show."""
    longest: int = 600_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """A rolling change. `zones` names every host of the fleet and where it lies."""

    old: Release
    new: Release
    zones: Mapping[str, str]
    stages: tuple[Stage, ...]
    most_out: int = 1
    """Nodes that may be out at once, for any reason: no change begins where it would be more."""
    most_out_zone: int = 1
    margin: float = 0.01
    """Share more of requests gone badly that is still no worse."""
    ready_within: int = 30_000_000
    """Until a changed node must be ready, cold tables and connections counted; after it, it can't start."""
    least_learnt: int = 20
    """Windows from which whoever acts must know what is usual, before this plan may begin."""
    allowance: int = 10_000_000
    """After it is ready, in which a new node's requests aren't compared."""

    def check(self) -> None:
        """PlanError where it can't be carried out."""
        if self.old == self.new:
            raise PlanError("new: is the release that runs already")
        if not self.stages:
            raise PlanError("stages: at least one is needed")
        seen: set[str] = set()
        for i, stage in enumerate(self.stages):
            if not stage.hosts:
                raise PlanError(f"stages[{i}].hosts: at least one is needed")
            for host in stage.hosts:
                if host not in self.zones:
                    raise PlanError(f"stages[{i}].hosts: {host!r} is no host of the fleet")
                if host in seen:
                    raise PlanError(f"stages[{i}].hosts: {host!r} stands in two stages or twice in one")
                seen.add(host)
            if stage.least_requests < 1:
                raise PlanError(f"stages[{i}].least_requests: must be above 0, got {stage.least_requests}")
            if stage.longest <= self.ready_within + self.allowance + stage.shortest:
                raise PlanError(
                    f"stages[{i}].longest: must be above ready_within, allowance and shortest together"
                )
        for name in ("most_out", "most_out_zone"):
            if not 0 < getattr(self, name) < len(self.zones):
                raise PlanError(f"{name}: must lie in [1, {len(self.zones) - 1}], got {getattr(self, name)}")
        if not 0 < self.margin < 1:
            raise PlanError(f"margin: must lie in (0, 1), got {self.margin}")


@dataclass(frozen=True, slots=True)
class Record:
    """What is decided. `wanted` names each host of the plan that runs, or is to run, the new release."""

    number: int = 0
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    stage: int = 0
    wanted: frozenset[str] = frozenset()
    reason: str = ""
    before: Phase = Phase.NONE
    """What a pause or a hold has interrupted."""

    def release(self, host: str) -> Release | None:
        """What this host is to run; None where nothing is decided of it."""
        if self.plan is None or host not in self.plan.zones:
            return None
        return self.plan.new if host in self.wanted else self.plan.old

    def as_dict(self) -> dict[str, Any]:
        """For the record's bytes."""
        plan = asdict(self.plan) | {"zones": dict(self.plan.zones)} if self.plan else None
        return {
            "format": FORMAT,
            "number": self.number,
            "phase": self.phase.value,
            "plan": plan,
            "stage": self.stage,
            "wanted": sorted(self.wanted),
            "reason": self.reason,
            "before": self.before.value,
        }

    @staticmethod
    def from_dict(told: Mapping[str, Any]) -> Record:
        """PlanError where it is of a newer format; fields that aren't known are left alone."""
        if told.get("format", 0) > FORMAT:
            raise PlanError(f"format: {told['format']} is newer than {FORMAT}, which this program knows")
        plan = told.get("plan")
        if plan is not None:
            stages = tuple(
                Stage(tuple(s["hosts"]), s["least_requests"], s["shortest"], s["longest"])
                for s in plan["stages"]
            )
            rest = {k: plan[k] for k in _PLAIN if k in plan}
            plan = Plan(Release(**plan["old"]), Release(**plan["new"]), plan["zones"], stages, **rest)
        return Record(
            told["number"],
            Phase(told["phase"]),
            plan,
            told["stage"],
            frozenset(told["wanted"]),
            told["reason"],
            Phase(told["before"]),
        )


@dataclass(frozen=True, slots=True)
class Report:
    """What one host's agent saw of its node in a window."""

    host: str
    zone: str
    release: Release | None
    """What runs; None where nothing does."""
    ready: bool = True
    since: int = 0
    """Microseconds for which it has been ready."""
    classes: Mapping[str, Mapping[str, tuple[float, float]]] = field(default_factory=dict)
    """By class and measure: requests, and those gone badly."""
    died: int = 0
    """Times that the node ended unasked."""
    broke_rule: str = ""
    """A rule of the protocol that it broke, as far as its own books can show."""


class Rollout:
    """Decides the next record from the last that is settled. `window` and `command` return None where nothing
    changes."""

    def __init__(self, record: Record | None = None) -> None:
        self.record = record or Record()
        self.usual = {measure: Baseline() for measure in MEASURES}
        self.wagers: dict[str, SequentialTest] = {}
        self.learnt = 0
        """Windows from which the usual is known."""
        self.bad_windows = 0
        self.since, self.whole_since, self.counted = 0, 0, 0.0
        """When this stage began and when all its hosts were ready, as far as whoever acts knows (0: not yet),
        and what had been compared before it."""
        self.changed: dict[str, int] = {}
        """When each host that isn't back yet was first seen to be out or on its way."""
        self.out: frozenset[str] = frozenset()

    # -- what operators say

    def begin(self, plan: Plan) -> Record:
        """A plan is started; PlanError where it can't be, or another one is under way."""
        if self.record.phase not in (Phase.NONE, Phase.DONE, Phase.TAKEN_BACK):
            raise PlanError(f"plan: rollout {self.record.number} is under way ({self.record.phase.value})")
        plan.check()
        if self.learnt < plan.least_learnt:
            raise PlanError(
                f"least_learnt: {plan.least_learnt} windows are wanted, {self.learnt} are known so far"
            )
        return Record(self.record.number + 1, Phase.FORWARD, plan, reason="begun by an operator")

    def command(self, command: Command) -> Record:
        """Pause, resume or abort; PlanError where there is nothing to."""
        now, phase = self.record, self.record.phase
        if command is Command.PAUSE and phase in (Phase.FORWARD, Phase.BACK):
            return replace(now, phase=Phase.PAUSED, before=phase, reason="paused by an operator")
        if command is Command.RESUME and phase in (Phase.PAUSED, Phase.HELD):
            return replace(now, phase=now.before, before=Phase.NONE, reason="resumed by an operator")
        if command is Command.ABORT and phase in (Phase.FORWARD, Phase.PAUSED, Phase.HELD):
            return self._back("aborted by an operator")
        raise PlanError(f"command: a rollout that is {phase.value!r} can't be told to {command.value}")

    # -- what agents report

    def settled(self, record: Record) -> None:
        """A majority holds this record: it is what counts from now on."""
        if (record.number, record.stage, record.phase) != (
            self.record.number,
            self.record.stage,
            self.record.phase,
        ):
            self.since, self.whole_since, self.bad_windows, self.counted = 0, 0, 0, self._compared()
        if record.number != self.record.number or record.phase != self.record.phase:
            self.wagers, self.counted = {}, 0.0
        if record.number != self.record.number:
            self.changed = {}
        self.record = record

    def window(self, now: int, reports: Iterable[Report]) -> Record | None:
        """One window's reports. A host that none came of counts as out."""
        seen = {r.host: r for r in reports}
        record, plan = self.record, self.record.plan
        if plan is None or record.phase in (Phase.NONE, Phase.DONE, Phase.TAKEN_BACK):
            self.learn(seen.values())
            return None
        self.since = self.since or now
        self._find_out(now, plan, seen)
        if record.phase in (Phase.PAUSED, Phase.HELD):
            return None
        if record.phase is Phase.BACK:
            return self._step_back(now, plan, seen)
        return self._verdict(now, plan, seen) or self._step(now, plan)

    def learn(self, reports: Iterable[Report]) -> None:
        """Take in a window in which nothing is being changed: what is usual."""
        self.learnt += 1
        reports = list(reports)
        for measure in MEASURES:
            self.usual[measure].learn(_rows(reports, measure, frozenset()))

    def _find_out(self, now: int, plan: Plan, seen: Mapping[str, Report]) -> None:
        """Which nodes are out: not ready, not heard of, or not yet what they are to be."""
        self.out = frozenset(
            h
            for h in plan.zones
            if h not in seen or not seen[h].ready or seen[h].release != self.record.release(h)
        )
        self.changed = {h: self.changed.get(h, now) for h in self.out}

    def _verdict(self, now: int, plan: Plan, seen: Mapping[str, Report]) -> Record | None:
        stage = plan.stages[self.record.stage]
        for host in sorted(self.record.wanted):
            report = seen.get(host)
            if report and report.release == plan.new and report.broke_rule:
                return self._back(f"{host} broke a rule: {report.broke_rule}")
            # A host that is cut off says nothing of the release; one that is heard of and doesn't come up
            # does.
            if host in self.changed and report and now - self.changed[host] > plan.ready_within:
                return self._back(
                    f"{host} was not ready within {plan.ready_within / 1e6:.0f} s of its change"
                )
        steady = [r for r in seen.values() if r.died or (r.ready and r.since >= plan.allowance)]
        new = frozenset(
            r.host for r in steady if r.host in self.record.wanted and r.release in (plan.new, None)
        )
        excess, among = 0.0, 0.0
        for measure in MEASURES:
            rows = _rows(steady, measure, new)
            self.wagers.setdefault(measure, SequentialTest()).add(rows, self.usual[measure])
            if measure in ("refused", "failed", "broken"):
                more, count = self.usual[measure].excess([r for r in rows if not r.is_new] or rows)
                excess, among = excess + more, max(among, count)
        worst = max(self.wagers, key=lambda m: self.wagers[m].evidence)
        if self.wagers[worst].evidence >= log(len(MEASURES) / FALSE_STOPS):
            wager = self.wagers[worst]
            return self._back(
                f"new nodes do worse in {worst!r}: {wager.excess_bad:.0f} of {wager.compared_requests:.0f} "
                f"more than expected, "
                f"evidence {wager.evidence:.1f}"
            )
        self.bad_windows = self.bad_windows + 1 if among and excess / among > GUARD else 0
        if self.bad_windows >= GUARD_WINDOWS:
            return self._hold(
                f"old and new nodes alike do worse than usual: {excess / among:.0%} more of requests"
            )
        undecided = not self.record.wanted >= set(plan.zones) and not self._shown(plan)
        if now - self.since > stage.longest and undecided:
            return self._back(
                f"stage {self.record.stage + 1} showed nothing within {stage.longest / 1e6:.0f} s"
            )
        return None

    def _compared(self) -> float:
        """Requests of new nodes that were compared, in the measure that has the fewest."""
        return min((w.compared_requests for m, w in self.wagers.items() if m in _SHOWN), default=0.0)

    def _shown(self, plan: Plan) -> bool:
        """Whether new nodes are shown to be no worse: enough of their requests compared in this stage, each
        measure within the plan's margin, and none that leans the other way."""
        stage = plan.stages[self.record.stage]
        return (
            self._compared() - self.counted >= stage.least_requests
            and all(w.max_excess_share() <= plan.margin for m, w in self.wagers.items() if m in _SHOWN)
            and all(w.evidence <= LEANS for w in self.wagers.values())
        )

    def _step(self, now: int, plan: Plan) -> Record | None:
        """The next hosts of the stage, or the next stage."""
        stage = plan.stages[self.record.stage]
        left = [h for h in stage.hosts if h not in self.record.wanted]
        more = self._may_change(plan, left)
        # The last old node goes when new ones have been shown to be no worse: after it there is nothing to
        # compare with.
        last = self.record.wanted | more >= set(plan.zones)
        if more and not (last and not self._shown(plan)):
            return replace(
                self.record,
                wanted=self.record.wanted | more,
                reason=f"stage {self.record.stage + 1}: {', '.join(sorted(more))} to {plan.new.name}",
            )
        if left or self.out & set(stage.hosts):
            self.whole_since = 0
            return None
        self.whole_since = self.whole_since or now
        if now - self.whole_since < stage.shortest or not (last or self._shown(plan)):
            return None
        if self.record.stage + 1 < len(plan.stages):
            return replace(
                self.record,
                stage=self.record.stage + 1,
                reason=f"stage {self.record.stage + 1} showed new nodes to be no worse",
            )
        return replace(self.record, phase=Phase.DONE, reason="all stages showed new nodes to be no worse")

    def _back(self, reason: str) -> Record:
        return replace(self.record, phase=Phase.BACK, before=Phase.NONE, reason=reason)

    def _hold(self, reason: str) -> Record:
        return replace(
            self.record, phase=Phase.HELD, before=self.record.phase, reason=f"{reason}; a person has to look"
        )

    def _step_back(self, now: int, plan: Plan, seen: Mapping[str, Report]) -> Record | None:
        """The next hosts to be taken back. Those that are out already go first: they serve nobody as they
        are."""
        for host in sorted(self.out - self.record.wanted):
            if host in seen and now - self.changed[host] > 2 * plan.ready_within:
                return self._hold(f"{host} doesn't come back with the old release")
        if broken := self.record.wanted & self.out:
            return replace(self.record, wanted=self.record.wanted - broken)
        if more := self._may_change(plan, sorted(self.record.wanted)):
            return replace(self.record, wanted=self.record.wanted - more)
        if not self.record.wanted and not self.out:
            return replace(self.record, phase=Phase.TAKEN_BACK)
        return None

    def _may_change(self, plan: Plan, hosts: Iterable[str]) -> frozenset[str]:
        """As many of these, in order, as may be out beside those that are."""
        chosen: set[str] = set()
        for host in hosts:
            out = self.out | chosen
            if host in out:
                continue
            zone = sum(plan.zones.get(h) == plan.zones[host] for h in out)
            if len(out) < plan.most_out and zone < plan.most_out_zone:
                chosen.add(host)
        return frozenset(chosen)


def _rows(reports: Iterable[Report], measure: str, new: frozenset[str]) -> list[NodeWindow]:
    rows = []
    for r in reports:
        if measure == "died":
            rows.append(NodeWindow(r.host, Stratum(r.zone, ""), 1.0, float(min(r.died, 1)), r.host in new))
        for name, counts in r.classes.items():
            if measure in counts:
                rows.append(NodeWindow(r.host, Stratum(r.zone, name), *counts[measure], r.host in new))
    return rows
