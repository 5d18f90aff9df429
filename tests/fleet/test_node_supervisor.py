"""A node that can't be started for a long time, and errors raised by the supervisor itself."""

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
"""Failed starts in a row; at the largest backoff they take nearly three hours."""


def test_a_node_is_started_after_any_number_of_failures_in_a_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A backoff that grows without bound would raise after some hours; then the watch would end, and the host
    would stay without a node.

    Each delay has to be within the maximum, and the error is reported until a start succeeds.
    """

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


def test_the_watch_continues_after_an_error_of_the_agent_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If an error in a step ended the watch silently, a node that exits later would never be restarted."""

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


def test_the_fault_of_an_earlier_start_is_not_reported_once_the_node_runs(tmp_path: Path) -> None:
    """If the fault were still reported after a successful start, a rollout would be held because of it."""

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
