"""Rollouts over a small fleet in process: promotion, rollback, holds, and limits on unavailable hosts."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from tuliptrack.decisions.rollout import Command, Rollout
from tuliptrack.decisions.rollout_evidence import NodeReport, RequestCounts
from tuliptrack.decisions.rollout_plan import Plan, PlanError, Release, Stage
from tuliptrack.decisions.rollout_record import Phase, Record

S = 1_000_000
OLD, NEW = Release("p-old", "s-old"), Release("p-new", "s-old")
HOSTS = {f"n{i}": f"z{i % 3}" for i in range(9)}
PLAN = Plan(
    OLD,
    NEW,
    HOSTS,
    (Stage(("n0", "n1", "n2"), 400), Stage(("n3", "n4", "n5", "n6", "n7", "n8"), 400)),
    most_out=2,
    most_out_zone=1,
    margin=0.05,
)
Rates = Callable[[str, bool, int], dict[str, float]]
"""Share gone badly by measure, for a host, whether it runs the new release, and the window."""


class Hosts:
    """Hosts that carry a record out: a change takes two windows, and then they serve."""

    def __init__(
        self, seed: int, rates: Rates, new_starts: bool = True, traffic: dict[str, float] | None = None
    ) -> None:
        self.random, self.rates, self.new_starts = Random(seed), rates, new_starts
        self.runs: dict[str, Release] = dict.fromkeys(HOSTS, OLD)
        self.ready_at = dict.fromkeys(HOSTS, -100)
        self.traffic = traffic or {h: self.random.uniform(20, 60) for h in HOSTS}
        self.kin = {h: self.random.lognormvariate(0, 0.3) for h in HOSTS}
        self.most_out, self.windows, self.silent = 0, 0, frozenset[str]()
        self.died: dict[str, int] = {}

    def carry_out(self, record: Record) -> None:
        for host in set(HOSTS) - self.silent:
            wanted = record.release(host)
            if wanted and wanted != self.runs[host]:
                self.runs[host], self.ready_at[host] = wanted, self.windows + 2
                if wanted == NEW and not self.new_starts:
                    self.ready_at[host] = 10**9

    def reports(self) -> list[NodeReport]:
        self.windows += 1
        out = {h for h in HOSTS if self.ready_at[h] > self.windows}
        self.most_out = max(self.most_out, len(out))
        told = []
        for host, zone in HOSTS.items():
            up, n = host not in out, round(self.random.gauss(1, 0.1) * self.traffic[host])
            rates = self.rates(host, self.runs[host] == NEW, self.windows)
            bad = {
                m: sum(self.random.random() < min(p * self.kin[host], 1) for _ in range(n))
                for m, p in rates.items()
            }
            died = self.died.pop(host, 0)
            if host not in self.silent:
                told.append(
                    NodeReport(
                        host,
                        zone,
                        self.runs[host],
                        up,
                        (self.windows - self.ready_at[host]) * 5 * S,
                        {"chat": {m: RequestCounts(n, b) for m, b in bad.items()}} if up else {},
                        died,
                    )
                )
        return told


def usual(host: str, new: bool, window: int) -> dict[str, float]:
    return {"refused": 0.02, "failed": 0.002, "broken": 0.002, "late": 0.05}


def worse(**more: float) -> Rates:
    return lambda host, new, window: {
        m: p + (more.get(m, 0.0) if new else 0.0) for m, p in usual(host, new, 0).items()
    }


def play(
    hosts: Hosts,
    plan: Plan = PLAN,
    windows: int = 400,
    each: Callable[[int, Rollout, Hosts], Record | None] = lambda *_: None,
) -> Rollout:
    """Learn for a while, begin the plan, and go on until it has ended."""
    rollout, now = Rollout(), 0
    for _ in range(60):
        rollout.handle_window(now := now + 5 * S, hosts.reports())
    rollout.handle_chosen(rollout.start(plan))
    for window in range(windows):
        hosts.carry_out(rollout.record)
        if (said := each(window, rollout, hosts)) is not None:
            rollout.handle_chosen(said)
        if (then := rollout.handle_window(now := now + 5 * S, hosts.reports())) is not None:
            rollout.handle_chosen(then)
        if rollout.record.phase in (Phase.DONE, Phase.ROLLED_BACK, Phase.HELD):
            break
    return rollout


def test_a_good_release_reaches_every_host_and_no_more_are_ever_out_than_the_plan_says() -> None:
    for seed in range(12):
        hosts = Hosts(seed, usual)
        rollout = play(hosts)
        assert rollout.record.phase is Phase.DONE, (seed, rollout.record.reason)
        assert set(hosts.runs.values()) == {NEW} and hosts.most_out <= PLAN.most_out


@pytest.mark.parametrize(
    ("measure", "more"), [("refused", 0.15), ("failed", 0.1), ("broken", 0.08), ("late", 0.3)]
)
def test_a_defect_is_named_and_taken_back_before_the_second_stage(measure: str, more: float) -> None:
    for seed in range(6):
        hosts = Hosts(seed, worse(**{measure: more}))
        rollout = play(hosts)
        assert rollout.record.phase is Phase.ROLLED_BACK and measure in rollout.record.reason, rollout.record
        assert (
            set(hosts.runs.values()) == {OLD}
            and hosts.most_out <= PLAN.most_out
            and rollout.record.stage == 0
        )


def test_a_release_that_never_starts_is_taken_back_and_costs_no_more_hosts_than_may_be_out() -> None:
    hosts = Hosts(1, usual, new_starts=False)
    rollout = play(hosts)
    assert rollout.record.phase is Phase.ROLLED_BACK and "not ready" in rollout.record.reason
    assert set(hosts.runs.values()) == {OLD} and hosts.most_out <= PLAN.most_out


def test_a_crash_every_now_and_then_is_found() -> None:
    def crash(window: int, rollout: Rollout, hosts: Hosts) -> None:
        if window % 3 == 0:
            hosts.died = dict.fromkeys((h for h, r in hosts.runs.items() if r == NEW), 1)

    rollout = play(Hosts(3, usual), each=crash)
    assert rollout.record.phase is Phase.ROLLED_BACK and "'died'" in rollout.record.reason


def test_what_harms_old_and_new_alike_is_held_for_a_person() -> None:
    def all_worse(host: str, new: bool, window: int) -> dict[str, float]:
        return usual(host, new, window) | ({"failed": 0.4} if window > 70 else {})

    hosts = Hosts(5, all_worse)
    rollout = play(hosts)
    assert rollout.record.phase is Phase.HELD and "alike" in rollout.record.reason
    assert rollout.handle_command(Command.ABORT).phase is Phase.BACK


def test_a_defect_that_spoils_most_of_few_nodes_is_not_taken_for_everybodys() -> None:
    """Half of a third of all requests: old nodes do as ever, so it is the release's."""
    plan = replace(PLAN, stages=(Stage(("n0", "n1", "n2"), 400),), most_out=3)
    for seed in range(4):
        record = play(Hosts(seed, worse(refused=0.6)), plan).record
        assert record.phase is Phase.ROLLED_BACK and "'refused'" in record.reason


def test_a_zone_that_fails_where_only_new_nodes_are_is_not_blamed_on_the_release() -> None:
    plan = replace(PLAN, stages=(Stage(("n0", "n3", "n6", "n1"), 400), Stage(("n2",), 400)))

    def zone_bad(host: str, new: bool, window: int) -> dict[str, float]:
        bad = HOSTS[host] == "z0" and 90 < window < 100
        return usual(host, new, window) | ({"failed": 0.5} if bad else {})

    for seed in range(4):
        record = play(Hosts(seed, zone_bad), plan).record
        assert record.phase is Phase.DONE or (record.phase is Phase.HELD and "alike" in record.reason)


def test_uneven_traffic_stops_nothing() -> None:
    for busy in (400.0, 4.0):
        traffic = {h: busy if h in PLAN.stages[0].hosts else 40.0 for h in HOSTS}
        rollout = play(Hosts(7, usual, traffic=traffic), windows=1000)
        assert rollout.record.phase is Phase.DONE, rollout.record.reason


def test_a_stage_that_shows_nothing_is_never_promoted() -> None:
    traffic = dict.fromkeys(HOSTS, 0.0)
    rollout = play(Hosts(2, usual, traffic=traffic))
    assert rollout.record.phase is Phase.ROLLED_BACK and "showed nothing" in rollout.record.reason


def test_half_of_the_nodes_lost_in_a_stage_stop_all_further_changes() -> None:
    def lost(window: int, rollout: Rollout, hosts: Hosts) -> None:
        if window == 3:
            hosts.silent = frozenset({"n4", "n5", "n6", "n7"})

    hosts = Hosts(4, usual)
    rollout = play(hosts, windows=60, each=lost)
    assert (
        rollout.record.phase is Phase.FORWARD and len(rollout.record.new_hosts) <= 3 and hosts.most_out <= 2
    )


def test_an_abort_crosses_a_promotion_and_a_pause_holds_a_rollback() -> None:
    def say(window: int, rollout: Rollout, hosts: Hosts) -> Record | None:
        if rollout.record.stage == 1 and rollout.record.phase is Phase.FORWARD:
            return rollout.handle_command(Command.ABORT)
        if rollout.record.phase is Phase.BACK and window % 7 == 0:
            return rollout.handle_command(Command.PAUSE)
        if rollout.record.phase is Phase.PAUSED and window % 7 == 3:
            return rollout.handle_command(Command.RESUME)
        return None

    hosts = Hosts(6, usual)
    rollout = play(hosts, each=say)
    assert (
        rollout.record.phase is Phase.ROLLED_BACK
        and set(hosts.runs.values()) == {OLD}
        and hosts.most_out <= 2
    )
    with pytest.raises(PlanError, match="taken back"):
        rollout.handle_command(Command.PAUSE)


def test_who_takes_over_goes_on_from_the_record_alone() -> None:
    """At every window another one acts, who knows the record and the usual, and none of the evidence."""
    hosts, now = Hosts(8, usual), 0
    learnt = Rollout()
    for _ in range(60):
        learnt.handle_window(now := now + 5 * S, hosts.reports())
    record = learnt.start(replace(PLAN, stages=(Stage(("n0",), 1, S),)))
    for window in range(100):
        hosts.carry_out(record)
        if window < 20 or window % 40 == 0:
            acting = Rollout(Record.from_dict(json.loads(json.dumps(record.as_dict()))))
            acting.evidence.baselines = learnt.evidence.baselines
        record = acting.handle_window(now := now + 5 * S, hosts.reports()) or record
        acting.handle_chosen(record)
    assert record.phase is Phase.DONE and hosts.most_out == 1


def test_two_plans_at_once_and_bad_plans_name_the_field() -> None:
    rollout = Rollout()
    with pytest.raises(PlanError, match="least_learnt: 20 windows"):
        rollout.start(PLAN)
    rollout.handle_chosen(rollout.start(replace(PLAN, least_learnt=0)))
    with pytest.raises(PlanError, match="under way"):
        rollout.start(PLAN)
    bad: list[tuple[dict[str, object], str]] = [
        ({"new": OLD}, "new:"),
        ({"stages": ()}, "stages:"),
        ({"stages": (Stage(()),)}, r"stages\[0\].hosts"),
        ({"stages": (Stage(("n99",)),)}, "n99"),
        ({"stages": (Stage(("n1",)), Stage(("n1",)))}, "twice"),
        ({"most_out": 9}, "most_out:"),
        ({"most_out_zone": 0}, "most_out_zone:"),
        ({"margin": 1.0}, "margin:"),
        ({"stages": (Stage(("n1",), 0),)}, "least_requests"),
        ({"stages": (Stage(("n1",), 1, 5, 5),)}, "longest"),
    ]
    for changes, field in bad:
        with pytest.raises(PlanError, match=field):
            Rollout().start(replace(PLAN, **changes))  # type: ignore[arg-type]
    with pytest.raises(PlanError, match="format"):
        Record.from_dict(Record(1, Phase.FORWARD, PLAN).as_dict() | {"format": 2})
    assert Record.from_dict(Record(1, Phase.FORWARD, PLAN).as_dict() | {"later": 1}).plan == PLAN
