"""Decides the steps of a staged rollout, and rolls it back if nodes with the new release do worse.

`Rollout` takes the reports of agents and the commands of operators, and returns the next `RolloutRecord`. A
controller that takes over continues from the record. It collects the evidence of the current stage again from
the start, which can only make the stage longer.

"New nodes" are those on hosts that were told to run the new release; the others are "old nodes". The rollout
leaves a stage in one of four ways:

- It goes on to the next stage, or is done after the last one, if the new nodes are shown to be worse by no
  more than the plan's margin.
- It is rolled back if new nodes are shown to do worse or cannot start, or if nothing is shown within the
  stage's longest time.
- It is held for an operator if all nodes do worse than usual, since the release cannot be told apart from
  other causes then.
- It is rolled back if an operator aborts it.

Times are in microseconds of the controller's clock. The module does no I/O and reads no clock. Memory bound:
one entry for each host of the plan.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from enum import Enum

from tuliptrack.decisions.rollout_evidence import NodeReport, RolloutEvidence
from tuliptrack.decisions.rollout_plan import PlanError, RolloutPlan, RolloutStage
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord

__all__ = ["Rollout", "RolloutCommand"]

ROLLBACK_READY_FACTOR = 2
"""Multiple of a plan's `ready_within`: the time for a rolled-back node to be ready with the old release."""


class RolloutCommand(Enum):
    """Commands of an operator; the values are what is sent to the controller."""

    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


class Rollout:
    """Decides the next record from the last one that a quorum has accepted."""

    def __init__(self, record: RolloutRecord | None = None) -> None:
        """Continue from a record, or start without a rollout."""
        self.record = record or RolloutRecord()
        self.evidence = RolloutEvidence()
        self._stage_since_us = 0
        """Time of the first window that this controller saw in the current stage and phase; 0 before it."""
        self._stage_ready_since_us = 0
        """Time since which all hosts of the stage have been seen to be ready; 0 while they are not."""
        self._unavailable_since_us: dict[str, int] = {}
        """Time since which each unavailable host has been seen to be unavailable."""

    @property
    def _unavailable(self) -> frozenset[str]:
        """Hosts that are not ready, send no reports, or do not yet run their assigned release."""
        return frozenset(self._unavailable_since_us)

    def start(self, plan: RolloutPlan) -> RolloutRecord:
        """Return the record that starts a plan; PlanError if it is not possible or a rollout is under way."""
        if self.record.phase.is_under_way:
            raise PlanError(f"plan: rollout {self.record.number} is under way ({self.record.phase.value})")
        plan.check()
        learnt = self.evidence.learnt_windows
        if learnt < plan.least_learnt:
            raise PlanError(
                f"least_learnt: {plan.least_learnt} windows are wanted, {learnt} are known so far"
            )
        return RolloutRecord(
            self.record.number + 1, RolloutPhase.FORWARD, plan, reason="started by an operator"
        )

    def handle_command(self, command: RolloutCommand) -> RolloutRecord:
        """Return the record that a command leads to; PlanError if this phase does not allow the command."""
        record, phase = self.record, self.record.phase
        if command is RolloutCommand.PAUSE and phase in (RolloutPhase.FORWARD, RolloutPhase.BACK):
            return replace(
                record, phase=RolloutPhase.PAUSED, interrupted=phase, reason="paused by an operator"
            )
        if command is RolloutCommand.RESUME and phase in (RolloutPhase.PAUSED, RolloutPhase.HELD):
            return replace(
                record,
                phase=record.interrupted,
                interrupted=RolloutPhase.NONE,
                reason="resumed by an operator",
            )
        if command is RolloutCommand.ABORT and phase in (
            RolloutPhase.FORWARD,
            RolloutPhase.PAUSED,
            RolloutPhase.HELD,
        ):
            return self._roll_back("aborted by an operator")
        raise PlanError(f"command: cannot {command.value} a rollout in phase {phase.value!r}")

    def handle_chosen(self, record: RolloutRecord) -> None:
        """Continue from a record that a quorum has accepted."""
        is_new_rollout = record.number != self.record.number
        is_new_phase = is_new_rollout or record.phase != self.record.phase
        if is_new_phase or record.stage != self.record.stage:
            self._stage_since_us, self._stage_ready_since_us = 0, 0
            self.evidence.start_stage()
        if is_new_phase:
            self.evidence.reset()
        if is_new_rollout:
            self._unavailable_since_us = {}
        self.record = record

    def handle_window(self, now_us: int, reports: Iterable[NodeReport]) -> RolloutRecord | None:
        """Return the record that a window's reports lead to; None if nothing changes.

        A host without a report counts as unavailable.
        """
        by_host = {report.host: report for report in reports}
        plan = self.record.plan
        if plan is None or not self.record.phase.is_under_way:
            self.evidence.learn(by_host.values())
            return None
        self._stage_since_us = self._stage_since_us or now_us
        self._find_unavailable(now_us, plan, by_host)
        if self.record.phase in (RolloutPhase.PAUSED, RolloutPhase.HELD):
            return None
        if self.record.phase is RolloutPhase.BACK:
            return self._next_rollback_step(now_us, plan, by_host)
        return self._stop_if_harmful(now_us, plan, by_host) or self._next_step(now_us, plan)

    def _find_unavailable(self, now_us: int, plan: RolloutPlan, by_host: Mapping[str, NodeReport]) -> None:
        known = self._unavailable_since_us
        self._unavailable_since_us = {
            host: known.get(host, now_us)
            for host in plan.zones
            if host not in by_host
            or not by_host[host].is_ready
            or by_host[host].release != self.record.release(host)
        }

    def _stop_if_harmful(
        self, now_us: int, plan: RolloutPlan, by_host: Mapping[str, NodeReport]
    ) -> RolloutRecord | None:
        """Return the record that rolls the rollout back or holds it; None if there is no reason to."""
        if fault := self._fault_of_new_host(now_us, plan, by_host):
            return self._roll_back(fault)
        settled = [
            report
            for report in by_host.values()
            if report.unexpected_exits or (report.is_ready and report.ready_for_us >= plan.allowance)
        ]
        new_hosts = frozenset(
            report.host
            for report in settled
            if report.host in self.record.new_hosts and report.release in (plan.new, None)
        )
        excess = self.evidence.add_window(settled, new_hosts)
        if worse := self.evidence.worse_measure():
            return self._roll_back(f"new nodes do worse in {worse}")
        if self.evidence.is_common_harm(excess):
            share = excess.bad / excess.requests
            return self._hold(f"old and new nodes alike do worse than usual: {share:.0%} more of requests")
        return self._stop_if_overdue(now_us, plan)

    def _fault_of_new_host(self, now_us: int, plan: RolloutPlan, by_host: Mapping[str, NodeReport]) -> str:
        """Return the fault of one new host that alone is reason to roll back; empty if there is none."""
        for host in sorted(self.record.new_hosts):
            report = by_host.get(host)
            if report is None:
                continue  # An unreachable host is no evidence against the release.
            if report.release == plan.new and report.broken_rule:
                return f"{host} broke a rule: {report.broken_rule}"
            if self._is_overdue(now_us, host, plan.ready_within):
                return f"{host} was not ready within {plan.ready_within / 1e6:.0f} s of its change"
        return ""

    def _is_overdue(self, now_us: int, host: str, limit_us: int) -> bool:
        """Whether a host has been unavailable for longer than a limit."""
        since_us = self._unavailable_since_us.get(host)
        return since_us is not None and now_us - since_us > limit_us

    def _stop_if_overdue(self, now_us: int, plan: RolloutPlan) -> RolloutRecord | None:
        stage = self._stage(plan)
        is_overdue = now_us - self._stage_since_us > stage.longest
        has_old_hosts = not self.record.new_hosts >= set(plan.zones)
        if is_overdue and has_old_hosts and not self._is_shown_no_worse(plan):
            return self._roll_back(
                f"stage {self.record.stage + 1} showed nothing within {stage.longest / 1e6:.0f} s"
            )
        return None

    def _stage(self, plan: RolloutPlan) -> RolloutStage:
        return plan.stages[self.record.stage]

    def _is_shown_no_worse(self, plan: RolloutPlan) -> bool:
        return self.evidence.is_shown_no_worse(self._stage(plan).least_requests, plan.margin)

    def _next_step(self, now_us: int, plan: RolloutPlan) -> RolloutRecord | None:
        """Return the record that changes the next hosts of the stage or ends the stage; None to wait."""
        stage = self._stage(plan)
        remaining = [host for host in stage.hosts if host not in self.record.new_hosts]
        next_hosts = self._changeable(plan, remaining)
        # The last old host changes only after the new ones are shown to be no worse: without an old host,
        # nothing is left to compare the new ones with.
        is_last = self.record.new_hosts | next_hosts >= set(plan.zones)
        if next_hosts and not (is_last and not self._is_shown_no_worse(plan)):
            return replace(
                self.record,
                new_hosts=self.record.new_hosts | next_hosts,
                reason=f"stage {self.record.stage + 1}: {', '.join(sorted(next_hosts))} to {plan.new.name}",
            )
        if remaining or self._unavailable & set(stage.hosts):
            self._stage_ready_since_us = 0
            return None
        self._stage_ready_since_us = self._stage_ready_since_us or now_us
        if now_us - self._stage_ready_since_us < stage.shortest:
            return None
        return self._promote(plan) if is_last or self._is_shown_no_worse(plan) else None

    def _promote(self, plan: RolloutPlan) -> RolloutRecord:
        if self.record.stage + 1 < len(plan.stages):
            return replace(
                self.record,
                stage=self.record.stage + 1,
                reason=f"stage {self.record.stage + 1} showed new nodes to be no worse",
            )
        return replace(
            self.record, phase=RolloutPhase.DONE, reason="all stages showed new nodes to be no worse"
        )

    def _roll_back(self, reason: str) -> RolloutRecord:
        return replace(self.record, phase=RolloutPhase.BACK, interrupted=RolloutPhase.NONE, reason=reason)

    def _hold(self, reason: str) -> RolloutRecord:
        reason = f"{reason}; an operator has to decide"
        return replace(self.record, phase=RolloutPhase.HELD, interrupted=self.record.phase, reason=reason)

    def _next_rollback_step(
        self, now_us: int, plan: RolloutPlan, by_host: Mapping[str, NodeReport]
    ) -> RolloutRecord | None:
        """Return the record of the next step of a rollback; None to wait.

        Unavailable hosts are rolled back first, without regard to the limits, as they serve nothing anyway.
        """
        new_hosts = self.record.new_hosts
        for host in sorted(self._unavailable - new_hosts):
            if host in by_host and self._is_overdue(now_us, host, ROLLBACK_READY_FACTOR * plan.ready_within):
                return self._hold(f"{host} did not become ready with the old release")
        if unavailable := new_hosts & self._unavailable:
            return replace(self.record, new_hosts=new_hosts - unavailable)
        if next_hosts := self._changeable(plan, sorted(new_hosts)):
            return replace(self.record, new_hosts=new_hosts - next_hosts)
        if not new_hosts and not self._unavailable:
            return replace(self.record, phase=RolloutPhase.ROLLED_BACK)
        return None

    def _changeable(self, plan: RolloutPlan, hosts: Iterable[str]) -> frozenset[str]:
        """Return those of the hosts, the first ones first, that may become unavailable within the limits."""
        chosen: set[str] = set()
        for host in hosts:
            unavailable = self._unavailable | chosen
            if host in unavailable:
                continue
            in_zone = sum(plan.zones.get(other) == plan.zones[host] for other in unavailable)
            if len(unavailable) < plan.most_out and in_zone < plan.most_out_zone:
                chosen.add(host)
        return frozenset(chosen)
