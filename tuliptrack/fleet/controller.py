"""A controller: leads a fleet's rollouts, or stands by to take over from the leader.

The leader has each decision accepted by a quorum of agents before it orders the change. A controller stores
nothing itself: the agents keep the record. Any number of controllers may run; epochs alone determine which
one leads. The delays here only keep controllers from repeatedly claiming to lead at the same time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import structlog

from tuliptrack.decisions.rollout import Rollout
from tuliptrack.decisions.rollout_plan import PlanError
from tuliptrack.decisions.rollout_record import RolloutRecord
from tuliptrack.fleet.agent_calls import AgentCalls
from tuliptrack.fleet.host import Host
from tuliptrack.fleet.operator_service import OperatorService
from tuliptrack.fleet.record_consensus import RecordConsensus
from tuliptrack.fleet.report_collector import ReportCollector
from tuliptrack.fleet.unary_call import CallError
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.json_text import InvalidJsonError, parse_json
from tuliptrack.rpc.periodic import run_periodically
from tuliptrack.rpc.server import Server

__all__ = ["Controller"]

log = structlog.get_logger("controller")
WINDOW_US = 5_000_000
TAKEOVER_US = 3_000_000
POLLS_PER_PERIOD = 5
"""Polls of each agent within the window or the takeover time, whichever is shorter."""
TAKEOVER_STAGGER = 0.5
"""Each controller waits longer than the one before it, by this share of the takeover time."""


class Controller:
    """One controller. `start`, then `stop`."""

    def __init__(
        self,
        number: int,
        hosts: tuple[Host, ...],
        window_us: int = WINDOW_US,
        takeover_us: int = TAKEOVER_US,
    ) -> None:
        """Prepare to run.

        Args:
            number: This controller's own number, from 0.
            hosts: All hosts of the fleet.
            window_us: How long reports are collected before a decision.
            takeover_us: How long there may be no leader before controller 0 claims to lead.
        """
        self._number, self._window_us, self._takeover_us = number, window_us, takeover_us
        self._hosts = {host.name: host for host in hosts}
        self._poll_interval_s = min(window_us, takeover_us) / (POLLS_PER_PERIOD * 1e6)
        self._calls = AgentCalls(hosts)
        self._consensus = RecordConsensus(number, self._hosts, self._calls)
        self._collector = ReportCollector({host.name: host.zone for host in hosts})
        self._rollout = Rollout()
        self._window_began_at_us = 0
        self._operators = OperatorService(
            number, self._hosts, self._rollout, self._consensus, self._collector
        )
        self._server = Server()
        self._operators.install(self._server)
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Begin to work and serve operators; return host:port."""
        loop = asyncio.get_running_loop()
        self._tasks = [self._repeat(loop, "decisions", self._decide)]
        self._tasks += [
            self._repeat(loop, f"reports of {name}", partial(self._poll_agent, name)) for name in self._hosts
        ]
        return await self._server.listen(host, port)

    async def stop(self) -> None:
        """Stop, and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._calls.cancel()
        await self._server.stop(0)
        await self._calls.close()

    def _repeat(
        self, loop: asyncio.AbstractEventLoop, name: str, step: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        return loop.create_task(run_periodically(name, self._poll_interval_s, step))

    async def _poll_agent(self, name: str) -> None:
        """Fetch one agent's report, with an order if this controller leads.

        Each agent has a task of its own, so one that can't be reached delays no other.
        """
        try:
            self._collector.latest[name] = await self._calls.request_report(name, self._report_request(name))
        except CallError as error:
            log.debug("no report", host=name, reason=str(error))
            self._collector.latest.pop(name, None)

    def _report_request(self, name: str) -> pb.LookRequest:
        request = pb.LookRequest()
        ballot = self._consensus.settled_ballot
        if self._consensus.is_leader and ballot:
            request.order.epoch, request.order.number = ballot
            if wanted := self._rollout.record.release(name):
                request.release.program, request.release.settings = wanted.program, wanted.settings
        return request

    async def _decide(self) -> None:
        """Decide once a window while leading; claim to lead while no controller does."""
        for report in self._collector.latest.values():
            self._consensus.record_promised(report.promised)
        if not self._consensus.has_promises:
            self._learn()
            await self._claim_if_leaderless()
        elif self._consensus.is_leader:
            await self._lead()
        else:
            await self._settle()
        self._operators.answer_decision()

    def _learn(self) -> None:
        """Learn the baseline while another controller leads, as this one may have to take over.

        Only a window counts in which every host is ready, all with the same release.
        """
        if not self._may_end_window():
            return
        reports = self._collector.end_window()
        is_complete = len(reports) == len(self._hosts) and all(report.is_ready for report in reports)
        if is_complete and len({report.release for report in reports}) == 1:
            self._rollout.evidence.learn(reports)

    def _may_end_window(self) -> bool:
        """Return whether the window has lasted long enough; then the next one begins."""
        now = now_us()
        if now - self._window_began_at_us < self._window_us:
            return False
        self._window_began_at_us = now
        return True

    async def _claim_if_leaderless(self) -> None:
        """Claim to lead if a quorum of agents has had no leader for the takeover time.

        Controllers with a higher number wait longer, so the lowest one that runs claims first.
        """
        leaderless_us = sorted((report.unled_for for report in self._collector.latest.values()), reverse=True)
        quorum = self._consensus.quorum
        takeover_us = self._takeover_us * (1 + TAKEOVER_STAGGER * self._number)
        if len(leaderless_us) < quorum or leaderless_us[quorum - 1] < takeover_us:
            return
        if await self._consensus.claim():
            log.info("leads", controller=self._number, epoch=self._consensus.epoch)
            await self._settle()

    async def _lead(self) -> None:
        record = self._operators.decided_record
        if record is None and self._may_end_window():
            record = self._rollout.handle_window(self._window_began_at_us, self._collector.end_window())
        if record is not None:
            self._consensus.write(json.dumps(record.as_dict()).encode())
            await self._settle()
        if self._consensus.is_leader and self._consensus.has_unsettled_write:
            await self._settle()  # Repeated until a quorum has accepted it, or another controller leads.

    async def _settle(self) -> None:
        value = await self._consensus.settle()
        if value is not None:
            self._apply(value)

    def _apply(self, value: bytes) -> None:
        """Apply a settled record to the rollout; resign if it can't be parsed."""
        before = self._rollout.record
        try:
            record = RolloutRecord.from_dict(parse_json(value)) if value else RolloutRecord()
        except (InvalidJsonError, PlanError) as error:
            log.error("record rejected", reason=str(error))
            self._consensus.resign()
            return
        self._rollout.handle_chosen(record)
        if (record.phase, record.stage, record.reason) != (before.phase, before.stage, before.reason):
            log.info(
                "decided",
                rollout=record.number,
                phase=record.phase.value,
                stage=record.stage + 1,
                reason=record.reason,
            )
