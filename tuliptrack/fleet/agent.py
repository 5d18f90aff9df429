"""The agent of one host: stores the fleet's record, carries out the leader's orders, and reports.

Controllers that claim to lead call `Promise`, the leader has its record accepted by `Accept`, and all
controllers gather reports by `Look`, with which the leader orders a release. The agent keeps the node
running. The node keeps running when the agent ends, and the next agent takes it over.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import replace
from pathlib import Path

import structlog

from tuliptrack.decisions.consensus import FIRST_BALLOT, Acceptor, Ballot
from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.fleet.agent_state import AgentState, load_state, save_state
from tuliptrack.fleet.host_folder import HostFolder
from tuliptrack.fleet.log_metrics import ALL_REQUESTS, MEASURES, LogMetrics
from tuliptrack.fleet.node_supervisor import NodeSupervisor
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status
from tuliptrack.store.sealed import SealedError

__all__ = ["Agent"]

log = structlog.get_logger("agent")
SERVICE = "tuliptrack.v1.Agent"
INCARNATION_BYTES = 4


class Agent:
    """One host's agent. `start`, then `stop`, which leaves the node running."""

    def __init__(self, host: str, root: Path, initial_release: NodeRelease) -> None:
        """Read what an earlier agent stored in the folder.

        Args:
            host: The name of the host.
            root: The host's folder.
            initial_release: The release to run until one is ordered.

        Raises:
            SealedError: The stored state can't be read, or another agent uses the folder.
        """
        self.host = host
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        """Tells this process of the agent from earlier ones, whose counts can't be compared with its own."""
        self._folder = HostFolder(root)
        initial_state = AgentState(Acceptor(), order=FIRST_BALLOT, release=initial_release)
        self.state = load_state(self._folder.state) or initial_state
        self.node = NodeSupervisor(self._folder, self.state.release)
        self.order_fault = ""
        """Why the last order could not be carried out, for operators; empty if it was."""
        self._server = Server()
        self._server.add(SERVICE, "Promise", unary_request(pb.PromiseRequest, self._handle_promise))
        self._server.add(SERVICE, "Accept", unary_request(pb.AcceptRequest, self._handle_accept))
        self._server.add(SERVICE, "Look", unary_request(pb.LookRequest, self._handle_report_request))
        self._last_led_at_us = now_us()
        self._log_metrics = LogMetrics(self._folder.node_log, from_end=True)
        self._watch_task: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Watch the node and serve controllers; return host:port."""
        self.node.find()
        self._watch_task = asyncio.get_running_loop().create_task(self.node.watch())
        return await self._server.listen(host, port)

    async def stop(self) -> None:
        """Stop serving, and leave the node as it is."""
        self._folder.release_lock()
        await self._server.stop(0)
        if self._watch_task:
            self._watch_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._watch_task

    # Consensus on the fleet's record

    def _handle_promise(self, call: ServerCall, request: pb.PromiseRequest) -> None:
        acceptor = replace(self.state.acceptor)
        self._conclude(call, acceptor, agreed=acceptor.promise(request.epoch))

    def _handle_accept(self, call: ServerCall, request: pb.AcceptRequest) -> None:
        acceptor = replace(self.state.acceptor)
        agreed = acceptor.accept(Ballot(request.mark.epoch, request.mark.number), request.value)
        self._conclude(call, acceptor, agreed)

    def _conclude(self, call: ServerCall, acceptor: Acceptor, agreed: bool) -> None:
        """Store what was agreed to, and only then answer: a promise lost in a crash could be broken."""
        try:
            if agreed:
                self._store(replace(self.state, acceptor=acceptor))
        except SealedError as error:
            log.error("state not stored", reason=str(error))
            call.end(Status(Code.UNAVAILABLE, str(error)))
            return
        current = self.state.acceptor
        answer = pb.AgentAnswer(
            agreed=agreed,
            promised=current.promised_epoch,
            mark=pb.Mark(epoch=current.ballot.epoch, number=current.ballot.number),
            value=current.value,
        )
        call.send(answer.SerializeToString())
        call.end(Status(Code.OK))

    def _store(self, state: AgentState) -> None:
        """Store a state on disk, then use it; after SealedError the old one stays in use."""
        save_state(self._folder.state, state)
        self.state = state

    # Orders and reports

    def _handle_report_request(self, call: ServerCall, request: pb.LookRequest) -> None:
        obeyed = True
        if request.HasField("order"):
            release = NodeRelease(request.release.program, request.release.settings)
            obeyed = self._carry_out(Ballot(request.order.epoch, request.order.number), release)
        call.send(self._report(obeyed).SerializeToString())
        call.end(Status(Code.OK))

    def _carry_out(self, order: Ballot, release: NodeRelease) -> bool:
        """Carry out an order; one without a release only shows that there is a leader.

        Returns:
            False if the order is older than an earlier one, or than the epoch promised.
        """
        if order.epoch < self.state.acceptor.promised_epoch or order < self.state.order:
            return False
        self._last_led_at_us = now_us()
        is_known = release == self.state.release and order == self.state.order
        if release.program and not is_known:
            self.order_fault = self._folder.missing(release) or self._change_release(order, release)
        return True

    def _change_release(self, order: Ballot, release: NodeRelease) -> str:
        """Run a release from now on; return why that failed, or an empty text."""
        change_count = self.state.change_count + (release != self.state.release)
        try:
            self._store(replace(self.state, order=order, release=release, change_count=change_count))
        except SealedError as error:
            return str(error)
        self.node.run_release(release)
        return ""

    def _report(self, obeyed: bool) -> pb.HostReport:
        now = now_us()
        ready_at_us = self.node.ready_at_us
        report = pb.HostReport(
            host=self.host,
            obeyed=obeyed,
            promised=self.state.acceptor.promised_epoch,
            ready=bool(ready_at_us),
            died=self.node.unexpected_exits,
            ready_for=max(now - ready_at_us, 0) if ready_at_us else 0,
            life=self.incarnation,
            trouble=self.order_fault or self.node.fault,
            unled_for=now - self._last_led_at_us,
            address=self.node.address,
            changes=self.state.change_count,
        )
        if running := self.node.running:
            report.release.program, report.release.settings = running.program, running.settings
        self._add_counts(report)
        return report

    def _add_counts(self, report: pb.HostReport) -> None:
        self._log_metrics.read()
        counts = self._log_metrics.counts
        totals = {name: count for (name, measure), count in counts.items() if measure == ALL_REQUESTS}
        for name, total in totals.items():
            for measure in MEASURES:
                report.counts.add(request_class=name, measure=measure, count=total, bad=counts[name, measure])
