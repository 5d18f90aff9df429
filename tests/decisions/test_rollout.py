"""Rollouts over a small fleet in process: promotion, rollback, holds, and limits on unavailable hosts."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from tuliptrack.decisions.rollout import Rollout, RolloutCommand
from tuliptrack.decisions.rollout_evidence import NodeReport, RequestCounts
from tuliptrack.decisions.rollout_plan import NodeRelease, PlanError, RolloutPlan, RolloutStage
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord

S = 1_000_000
OLD, NEW = NodeRelease("p-old", "s-old"), NodeRelease("p-new", "s-old")
HOSTS = {f"n{i}": f"z{i % 3}" for i in range(9)}
PLAN = RolloutPlan(
    OLD,
    NEW,
    HOSTS,
    (RolloutStage(("n0", "n1", "n2"), 400), RolloutStage(("n3", "n4", "n5", "n6", "n7", "n8"), 400)),
    most_out=2,
    most_out_zone=1,
    margin=0.05,
)
Rates = Callable[[str, bool, int], dict[str, float]]
"""Function that returns the share of bad requests by measure.

Its arguments are a host, whether the host runs the new release, and the number of a window.
"""


class Hosts:
    """Simulated hosts that change to the releases a record assigns, and are ready two windows later."""

    def __init__(
        self, seed: int, rates: Rates, new_starts: bool = True, traffic: dict[str, float] | None = None
    ) -> None:
        self.random, self.rates, self.new_starts = Random(seed), rates, new_starts
        self.releases: dict[str, NodeRelease] = dict.fromkeys(HOSTS, OLD)
        self.ready_at = dict.fromkeys(HOSTS, -100)
        self.traffic = traffic or {h: self.random.uniform(20, 60) for h in HOSTS}
        self.bad_factor = {h: self.random.lognormvariate(0, 0.3) for h in HOSTS}
        self.max_unavailable, self.windows, self.unreachable = 0, 0, frozenset[str]()
        self.unexpected_exits: dict[str, int] = {}

    def carry_out(self, record: RolloutRecord) -> None:
        for host in set(HOSTS) - self.unreachable:
            assigned = record.release(host)
            if assigned and assigned != self.releases[host]:
                self.releases[host], self.ready_at[host] = assigned, self.windows + 2
                if assigned == NEW and not self.new_starts:
                    self.ready_at[host] = 10**9

    def reports(self) -> list[NodeReport]:
        self.windows += 1
        unavailable = {h for h in HOSTS if self.ready_at[h] > self.windows}
        self.max_unavailable = max(self.max_unavailable, len(unavailable))
        node_reports = []
        for host, zone in HOSTS.items():
            is_ready, n = host not in unavailable, round(self.random.gauss(1, 0.1) * self.traffic[host])
            rates = self.rates(host, self.releases[host] == NEW, self.windows)
            bad = {
                m: sum(self.random.random() < min(p * self.bad_factor[host], 1) for _ in range(n))
                for m, p in rates.items()
            }
            exits = self.unexpected_exits.pop(host, 0)
            if host not in self.unreachable:
                node_reports.append(
                    NodeReport(
                        host,
                        zone,
                        self.releases[host],
                        is_ready,
                        (self.windows - self.ready_at[host]) * 5 * S,
                        {"chat": {m: RequestCounts(n, b) for m, b in bad.items()}} if is_ready else {},
                        exits,
                    )
                )
        return node_reports


def usual_rates(host: str, new: bool, window: int) -> dict[str, float]:
    return {"refused": 0.02, "failed": 0.002, "broken": 0.002, "late": 0.05}


def worse_rates(**more: float) -> Rates:
    return lambda host, new, window: {
        m: p + (more.get(m, 0.0) if new else 0.0) for m, p in usual_rates(host, new, 0).items()
    }


def run_rollout(
    hosts: Hosts,
    plan: RolloutPlan = PLAN,
    windows: int = 400,
    on_window: Callable[[int, Rollout, Hosts], RolloutRecord | None] = lambda *_: None,
) -> Rollout:
    """Learn a baseline for 60 windows, start the plan, and run windows until the rollout ends or is held."""
    rollout, now = Rollout(), 0
    for _ in range(60):
        rollout.handle_window(now := now + 5 * S, hosts.reports())
    rollout.handle_chosen(rollout.start(plan))
    for window in range(windows):
        hosts.carry_out(rollout.record)
        if (commanded := on_window(window, rollout, hosts)) is not None:
            rollout.handle_chosen(commanded)
        if (decided := rollout.handle_window(now := now + 5 * S, hosts.reports())) is not None:
            rollout.handle_chosen(decided)
        if rollout.record.phase in (RolloutPhase.DONE, RolloutPhase.ROLLED_BACK, RolloutPhase.HELD):
            break
    return rollout


def test_a_good_release_reaches_every_host_within_the_limit_on_unavailable_hosts() -> None:
    for seed in range(12):
        hosts = Hosts(seed, usual_rates)
        rollout = run_rollout(hosts)
        assert rollout.record.phase is RolloutPhase.DONE, (seed, rollout.record.reason)
        assert set(hosts.releases.values()) == {NEW} and hosts.max_unavailable <= PLAN.most_out


@pytest.mark.parametrize(
    ("measure", "more"), [("refused", 0.15), ("failed", 0.1), ("broken", 0.08), ("late", 0.3)]
)
def test_a_defect_is_named_and_rolled_back_before_the_second_stage(measure: str, more: float) -> None:
    for seed in range(6):
        hosts = Hosts(seed, worse_rates(**{measure: more}))
        rollout = run_rollout(hosts)
        assert rollout.record.phase is RolloutPhase.ROLLED_BACK and measure in rollout.record.reason, (
            rollout.record
        )
        assert (
            set(hosts.releases.values()) == {OLD}
            and hosts.max_unavailable <= PLAN.most_out
            and rollout.record.stage == 0
        )


def test_a_release_that_never_starts_is_rolled_back_within_the_limit_on_unavailable_hosts() -> None:
    hosts = Hosts(1, usual_rates, new_starts=False)
    rollout = run_rollout(hosts)
    assert rollout.record.phase is RolloutPhase.ROLLED_BACK and "not ready" in rollout.record.reason
    assert set(hosts.releases.values()) == {OLD} and hosts.max_unavailable <= PLAN.most_out


def test_occasional_crashes_are_detected() -> None:
    def crash(window: int, rollout: Rollout, hosts: Hosts) -> None:
        if window % 3 == 0:
            hosts.unexpected_exits = dict.fromkeys((h for h, r in hosts.releases.items() if r == NEW), 1)

    rollout = run_rollout(Hosts(3, usual_rates), on_window=crash)
    assert rollout.record.phase is RolloutPhase.ROLLED_BACK and "'died'" in rollout.record.reason


def test_harm_to_old_and_new_nodes_alike_holds_the_rollout() -> None:
    def all_worse(host: str, new: bool, window: int) -> dict[str, float]:
        return usual_rates(host, new, window) | ({"failed": 0.4} if window > 70 else {})

    hosts = Hosts(5, all_worse)
    rollout = run_rollout(hosts)
    assert rollout.record.phase is RolloutPhase.HELD and "alike" in rollout.record.reason
    assert rollout.handle_command(RolloutCommand.ABORT).phase is RolloutPhase.BACK


def test_a_severe_defect_of_few_nodes_is_not_taken_for_common_harm() -> None:
    """New nodes get a third of all requests, and the defect affects half of those.

    Old nodes do as usual, so the release must be the cause.
    """
    plan = replace(PLAN, stages=(RolloutStage(("n0", "n1", "n2"), 400),), most_out=3)
    for seed in range(4):
        record = run_rollout(Hosts(seed, worse_rates(refused=0.6)), plan).record
        assert record.phase is RolloutPhase.ROLLED_BACK and "'refused'" in record.reason


def test_a_failing_zone_with_only_new_nodes_does_not_roll_the_release_back() -> None:
    plan = replace(PLAN, stages=(RolloutStage(("n0", "n3", "n6", "n1"), 400), RolloutStage(("n2",), 400)))

    def zone_bad(host: str, new: bool, window: int) -> dict[str, float]:
        bad = HOSTS[host] == "z0" and 90 < window < 100
        return usual_rates(host, new, window) | ({"failed": 0.5} if bad else {})

    for seed in range(4):
        record = run_rollout(Hosts(seed, zone_bad), plan).record
        assert record.phase is RolloutPhase.DONE or (
            record.phase is RolloutPhase.HELD and "alike" in record.reason
        )


def test_uneven_traffic_does_not_stop_a_rollout() -> None:
    for busy in (400.0, 4.0):
        traffic = {h: busy if h in PLAN.stages[0].hosts else 40.0 for h in HOSTS}
        rollout = run_rollout(Hosts(7, usual_rates, traffic=traffic), windows=1000)
        assert rollout.record.phase is RolloutPhase.DONE, rollout.record.reason


def test_a_stage_that_shows_nothing_is_never_promoted() -> None:
    traffic = dict.fromkeys(HOSTS, 0.0)
    rollout = run_rollout(Hosts(2, usual_rates, traffic=traffic))
    assert rollout.record.phase is RolloutPhase.ROLLED_BACK and "showed nothing" in rollout.record.reason


def test_losing_half_of_the_nodes_in_a_stage_stops_further_changes() -> None:
    def lose_hosts(window: int, rollout: Rollout, hosts: Hosts) -> None:
        if window == 3:
            hosts.unreachable = frozenset({"n4", "n5", "n6", "n7"})

    hosts = Hosts(4, usual_rates)
    rollout = run_rollout(hosts, windows=60, on_window=lose_hosts)
    assert (
        rollout.record.phase is RolloutPhase.FORWARD
        and len(rollout.record.new_hosts) <= 3
        and hosts.max_unavailable <= 2
    )


def test_an_abort_after_a_promotion_rolls_back_even_if_the_rollback_is_paused() -> None:
    def abort_and_pause(window: int, rollout: Rollout, hosts: Hosts) -> RolloutRecord | None:
        if rollout.record.stage == 1 and rollout.record.phase is RolloutPhase.FORWARD:
            return rollout.handle_command(RolloutCommand.ABORT)
        if rollout.record.phase is RolloutPhase.BACK and window % 7 == 0:
            return rollout.handle_command(RolloutCommand.PAUSE)
        if rollout.record.phase is RolloutPhase.PAUSED and window % 7 == 3:
            return rollout.handle_command(RolloutCommand.RESUME)
        return None

    hosts = Hosts(6, usual_rates)
    rollout = run_rollout(hosts, on_window=abort_and_pause)
    assert (
        rollout.record.phase is RolloutPhase.ROLLED_BACK
        and set(hosts.releases.values()) == {OLD}
        and hosts.max_unavailable <= 2
    )
    with pytest.raises(PlanError, match="taken back"):
        rollout.handle_command(RolloutCommand.PAUSE)


def test_a_new_controller_continues_from_the_record_alone() -> None:
    """Each new controller knows the record and the baselines, but none of the evidence.

    A new controller takes over at each of the first 20 windows, and at every 40th window after them.
    """
    hosts, now = Hosts(8, usual_rates), 0
    learnt = Rollout()
    for _ in range(60):
        learnt.handle_window(now := now + 5 * S, hosts.reports())
    record = learnt.start(replace(PLAN, stages=(RolloutStage(("n0",), 1, S),)))
    for window in range(100):
        hosts.carry_out(record)
        if window < 20 or window % 40 == 0:
            acting = Rollout(RolloutRecord.from_dict(json.loads(json.dumps(record.as_dict()))))
            acting.evidence.baselines = learnt.evidence.baselines
        record = acting.handle_window(now := now + 5 * S, hosts.reports()) or record
        acting.handle_chosen(record)
    assert record.phase is RolloutPhase.DONE and hosts.max_unavailable == 1


def test_a_second_plan_and_invalid_plans_are_rejected_naming_the_field() -> None:
    rollout = Rollout()
    with pytest.raises(PlanError, match="least_learnt: 20 windows"):
        rollout.start(PLAN)
    rollout.handle_chosen(rollout.start(replace(PLAN, least_learnt=0)))
    with pytest.raises(PlanError, match="under way"):
        rollout.start(PLAN)
    bad: list[tuple[dict[str, object], str]] = [
        ({"new": OLD}, "new:"),
        ({"stages": ()}, "stages:"),
        ({"stages": (RolloutStage(()),)}, r"stages\[0\].hosts"),
        ({"stages": (RolloutStage(("n99",)),)}, "n99"),
        ({"stages": (RolloutStage(("n1",)), RolloutStage(("n1",)))}, "twice"),
        ({"most_out": 9}, "most_out:"),
        ({"most_out_zone": 0}, "most_out_zone:"),
        ({"margin": 1.0}, "margin:"),
        ({"stages": (RolloutStage(("n1",), 0),)}, "least_requests"),
        ({"stages": (RolloutStage(("n1",), 1, 5, 5),)}, "longest"),
    ]
    for changes, field in bad:
        with pytest.raises(PlanError, match=field):
            Rollout().start(replace(PLAN, **changes))  # type: ignore[arg-type]
    with pytest.raises(PlanError, match="format"):
        RolloutRecord.from_dict(RolloutRecord(1, RolloutPhase.FORWARD, PLAN).as_dict() | {"format": 2})
    assert (
        RolloutRecord.from_dict(RolloutRecord(1, RolloutPhase.FORWARD, PLAN).as_dict() | {"later": 1}).plan
        == PLAN
    )
