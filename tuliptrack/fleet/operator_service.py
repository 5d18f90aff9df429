"""The gRPC service of a controller for operators: controls rollouts and shows their state.

The commands begin, pause, resume and abort a rollout. A decision of an operator is answered once a quorum
of agents has accepted the record that follows from it.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tuliptrack.decisions.rollout import Rollout, RolloutCommand
from tuliptrack.decisions.rollout_plan import NodeRelease, PlanError, RolloutPlan
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord
from tuliptrack.fleet.host import Host
from tuliptrack.fleet.plan_parsing import parse_plan
from tuliptrack.fleet.record_consensus import RecordConsensus
from tuliptrack.fleet.report_collector import ReportCollector
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["OperatorService"]

SERVICE = "tuliptrack.v1.Fleet"


@dataclass(frozen=True, slots=True)
class _PendingDecision:
    call: ServerCall
    record: RolloutRecord


class OperatorService:
    """Answers operators. Bound: one pending decision; others are rejected until it is settled."""

    def __init__(
        self,
        number: int,
        hosts: Mapping[str, Host],
        rollout: Rollout,
        consensus: RecordConsensus,
        collector: ReportCollector,
    ) -> None:
        """Prepare to answer for controller `number`, whose other components are given."""
        self._number, self._hosts, self._rollout = number, hosts, rollout
        self._consensus, self._collector = consensus, collector
        self._pending: _PendingDecision | None = None

    def install(self, server: Server) -> None:
        """Add the service's methods to a server."""
        server.add(SERVICE, "Begin", unary_request(pb.BeginRequest, self._handle_begin))
        server.add(SERVICE, "Say", unary_request(pb.SayRequest, self._handle_command))
        server.add(SERVICE, "State", unary_request(pb.StateRequest, lambda call, _: self._send_state(call)))

    @property
    def decided_record(self) -> RolloutRecord | None:
        """The record that an operator's decision asks for, until it is answered."""
        return self._pending.record if self._pending else None

    def answer_decision(self) -> None:
        """Answer the operator whose decision is settled, or is lost because another controller leads."""
        pending = self._pending
        if not pending:
            return
        if self._consensus.is_leader and self._rollout.record == pending.record:
            self._send_state(pending.call)
        elif not self._consensus.has_promises:
            text = "another controller leads now; query the state"
            pending.call.end(Status(Code.UNAVAILABLE, text))
        if not pending.call.open:
            self._pending = None

    def _handle_begin(self, call: ServerCall, request: pb.BeginRequest) -> None:
        if not self._require_leader(call):
            return
        try:
            plan = parse_plan(request.plan)
            if self._is_under_way(plan):
                self._send_state(call)  # A retry: the answer to the operator's first call was lost.
                return
            self._check_zones(plan)
            self._decide(call, self._rollout.start(plan))
        except PlanError as error:
            call.end(Status(Code.INVALID_ARGUMENT, str(error)))

    def _is_under_way(self, plan: RolloutPlan) -> bool:
        record = self._rollout.record
        return plan == record.plan and record.phase in (RolloutPhase.FORWARD, RolloutPhase.PAUSED)

    def _check_zones(self, plan: RolloutPlan) -> None:
        zones = {name: host.zone for name, host in self._hosts.items()}
        if dict(plan.zones) != zones:
            name, zone = min(set(plan.zones.items()) ^ set(zones.items()))
            raise PlanError(f"zones: {name!r} in {zone!r} does not match the hosts of this fleet")

    def _handle_command(self, call: ServerCall, request: pb.SayRequest) -> None:
        if not self._require_leader(call):
            return
        try:
            self._decide(call, self._rollout.handle_command(RolloutCommand(request.command)))
        except ValueError as error:
            call.end(Status(Code.INVALID_ARGUMENT, str(error)))

    def _require_leader(self, call: ServerCall) -> bool:
        """Return whether this controller leads; if not, end the call."""
        if not self._consensus.is_leader:
            call.end(Status(Code.FAILED_PRECONDITION, f"controller {self._number} does not act"))
        return self._consensus.is_leader

    def _decide(self, call: ServerCall, record: RolloutRecord) -> None:
        if self._pending:
            text = "another decision is being settled; it is safe to try again"
            call.end(Status(Code.ABORTED, text))
        else:
            self._pending = _PendingDecision(call, record)

    def _send_state(self, call: ServerCall) -> None:
        is_leader = self._consensus.is_leader
        hosts = {name: {"zone": host.zone, **self._host_state(name)} for name, host in self._hosts.items()}
        state = pb.FleetState(
            leads=is_leader,
            epoch=self._consensus.epoch,
            record=json.dumps(self._rollout.record.as_dict()) if is_leader else "",
            hosts=json.dumps(hosts),
            learnt=self._rollout.evidence.learnt_windows,
        )
        call.send(state.SerializeToString())
        call.end(Status(Code.OK))

    def _host_state(self, name: str) -> dict[str, Any]:
        """Return the last report of a host; the keys are part of the interface for operators."""
        report = self._collector.latest.get(name)
        if report is None:
            return {"heard": False}
        return {
            "heard": True,
            "ready": report.ready,
            "died": report.died,
            "trouble": report.trouble,
            "address": report.address,
            "changes": report.changes,
            "release": _release_name(report.release),
        }


def _release_name(release: pb.ReleaseName) -> str:
    return NodeRelease(release.program, release.settings).name if release.program else ""
