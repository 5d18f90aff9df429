"""A node that can't be started for a long time, and an agent whose watch meets a fault of its own."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
from test_agent import NODE, ONE, TIMEOUT_S, AgentUnderTest, prepare_host
from world import run, until

from tuliptrack.fleet import node_supervisor
from tuliptrack.fleet.host_folder import HostFolder
from tuliptrack.fleet.node_process import start_node
from tuliptrack.fleet.node_supervisor import MAX_BACKOFF_S, NodeSupervisor
from tuliptrack.proto import rollout_pb2 as pb

FAILURES = 2_000
"""In a row: at the largest backoff, nearly three hours of a release that can't be started."""


def test_a_node_is_started_after_any_number_of_failures_in_a_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: the growing backoff raises after some hours, the watch ends, and the host has no node for ever.
    Each delay is within the maximum, and what failed is reported until a start succeeds."""

    def fail(*_: object) -> None:
        raise OSError(8, "Exec format error")

    monkeypatch.setattr(node_supervisor, "start_node", fail)
    supervisor = NodeSupervisor(HostFolder(prepare_host(tmp_path)), ONE)
    now_s = 0.0
    for _ in range(FAILURES):
        supervisor._step(now_s)
        assert now_s < supervisor._backoff.not_before_s <= now_s + MAX_BACKOFF_S
        now_s = supervisor._backoff.not_before_s
    assert "Exec format error" in supervisor.fault
    monkeypatch.setattr(node_supervisor, "start_node", start_node)
    supervisor._step(now_s)
    try:
        assert supervisor.pid and not supervisor.fault
    finally:
        os.kill(supervisor.pid, signal.SIGKILL)


def test_the_watch_goes_on_after_a_fault_of_the_agent_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: a step raises, the watch ends without a line, and a node that dies is never started again."""

    async def scenario() -> None:
        async with AgentUnderTest(prepare_host(tmp_path)) as host:
            await until(lambda: host.agent.node.ready_at_us)
            with monkeypatch.context() as fault:
                fault.setattr(NodeSupervisor, "_handle_exit", lambda *_: 1 / 0)
                host.kill_node()
                await until(lambda: host.agent.node.step_errors > 1)
                report = await report_of(host)
                assert "ZeroDivisionError" in report.trouble
            await until(lambda: host.agent.node.ready_at_us and host.agent.node.unexpected_exits == 1)
            assert (await report_of(host)).trouble == ""
            host.kill_node()

    run(scenario, TIMEOUT_S)


async def report_of(host: AgentUnderTest) -> pb.HostReport:
    return await host.order(0, 0, ONE)


def test_trouble_of_an_earlier_start_is_not_reported_once_the_node_runs(tmp_path: Path) -> None:
    """Failure: a rollout reads the trouble of a start that has long succeeded, and holds."""

    async def scenario() -> None:
        root = prepare_host(tmp_path)
        program = root / "programs" / "one" / "run"
        program.write_text("no program\n")
        program.chmod(0o644)
        async with AgentUnderTest(root) as host:
            await until(lambda: host.agent.node.fault)
            assert (await report_of(host)).trouble
            program.write_text(NODE)
            program.chmod(0o755)
            await until(lambda: host.agent.node.ready_at_us)
            assert (await report_of(host)).trouble == ""
            host.kill_node()
            await asyncio.sleep(0)

    run(scenario, TIMEOUT_S)
