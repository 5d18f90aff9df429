"""An agent's promises and orders: across restarts, on a full disk and from former leaders.

The node is a small program written by the test.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from world import run, until

from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.fleet.agent import Agent
from tuliptrack.fleet.unary_call import CallError, call_unary
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel
from tuliptrack.store import sealed

CALL_TIMEOUT_US = 2_000_000
TIMEOUT_S = 60
"""Time limit of one test."""
ONE, TWO = NodeRelease("one", "conf"), NodeRelease("two", "conf")
NODE = f"#!{sys.executable}\nimport json, time\nprint(json.dumps({{'address': '127.0.0.1:9'}}), flush=True)\ntime.sleep(600)\n"
IGNORES_SIGTERM = NODE.replace(
    "import json, time", "import json, signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN)"
)


def prepare_host(root: Path, first_program: str = NODE) -> Path:
    """Create a host's folder with two programs and one file of settings."""
    (root / "settings").mkdir(parents=True)
    (root / "settings" / "conf").write_text("")
    for name, text in (("one", first_program), ("two", NODE)):
        (root / "programs" / name).mkdir(parents=True)
        (root / "programs" / name / "run").write_text(text)
        (root / "programs" / name / "run").chmod(0o755)
    return root


class AgentUnderTest:
    """An agent in this process, and a controller's calls to it."""

    def __init__(self, root: Path) -> None:
        self.agent = Agent("h", root, ONE)
        self.channel: Channel

    async def __aenter__(self) -> AgentUnderTest:
        self.channel = Channel(await self.agent.start())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.channel.close()
        await self.agent.stop()

    async def promise(self, epoch: int) -> pb.AgentAnswer:
        return await call_unary(
            self.channel, "Agent/Promise", pb.PromiseRequest(epoch=epoch), pb.AgentAnswer, CALL_TIMEOUT_US
        )

    async def accept(self, epoch: int, number: int, value: bytes) -> pb.AgentAnswer:
        request = pb.AcceptRequest(mark=pb.Mark(epoch=epoch, number=number), value=value)
        return await call_unary(self.channel, "Agent/Accept", request, pb.AgentAnswer, CALL_TIMEOUT_US)

    async def order(self, epoch: int, number: int, release: NodeRelease) -> pb.HostReport:
        request = pb.LookRequest(
            order=pb.Mark(epoch=epoch, number=number),
            release=pb.ReleaseName(program=release.program, settings=release.settings),
        )
        return await call_unary(self.channel, "Agent/Look", request, pb.HostReport, CALL_TIMEOUT_US)

    def kill_node(self) -> None:
        if self.agent.node.pid:
            os.kill(self.agent.node.pid, signal.SIGKILL)


def test_an_order_is_carried_out_once_and_an_older_one_never(tmp_path: Path) -> None:
    """A leader repeats its order, and a former leader that was cut off until now sends one of its own.

    If the agent carried out the older order, or an order twice, hosts would switch back and forth between
    releases. The same must hold after the agent restarts.
    """

    async def scenario() -> None:
        async with AgentUnderTest(prepare_host(tmp_path / "h")) as host:
            await until(lambda: host.agent.node.ready_at_us)
            assert (await host.promise(65)).agreed and (await host.accept(65, 1, b"record")).agreed
            for _ in range(3):
                assert (await host.order(65, 1, TWO)).obeyed
            await until(lambda: host.agent.node.running == TWO and host.agent.node.ready_at_us)
            assert host.agent.state.change_count == 1 and host.agent.node.unexpected_exits == 0
            assert not (await host.order(64, 9, ONE)).obeyed and not (await host.order(65, 0, ONE)).obeyed
            assert (await host.promise(130)).agreed
            assert not (await host.order(65, 2, ONE)).obeyed, "a promised epoch excludes the ones before"
        # The agent restarts: node, promises and record are still there.
        async with AgentUnderTest(tmp_path / "h") as host:
            try:
                answer = await host.promise(1)
                assert (answer.agreed, answer.promised, answer.value) == (False, 130, b"record")
                assert (
                    not (await host.order(65, 9, ONE)).obeyed
                    and host.agent.node.running == TWO
                    and host.agent.state.change_count == 1
                )
                arguments = ["agent", "h", str(tmp_path / "h"), "--program", "one", "--settings", "conf"]
                second = subprocess.run(
                    [sys.executable, "-m", "tuliptrack", *arguments], capture_output=True, text=True
                )
                assert second.returncode == 1 and "another agent has this host" in second.stderr
            finally:
                host.kill_node()

    run(scenario, TIMEOUT_S)


def test_a_full_disk_promises_nothing_and_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The host's disk is full when a controller claims to lead and when an order comes.

    A promise that is not on disk would be forgotten at the next restart, so none may be given. The node
    keeps running its release, and promises and orders work again once there is space.
    """

    async def scenario() -> None:
        async with AgentUnderTest(prepare_host(tmp_path)) as host:
            await until(lambda: host.agent.node.ready_at_us)
            assert (await host.promise(65)).agreed

            def raise_disk_full(path: Path, body: bytes) -> None:
                raise sealed.SealedError(f"{path}: No space left on device")

            monkeypatch.setattr(sealed, "write", raise_disk_full)
            with pytest.raises(CallError, match="No space"):
                await host.promise(129)
            report = await host.order(65, 1, TWO)
            assert "No space" in report.trouble and report.release.program == "one" and report.ready
            monkeypatch.undo()
            assert (await host.promise(64)).promised == 65
            assert (await host.order(65, 2, TWO)).trouble == ""
            await until(lambda: host.agent.node.running == TWO)
            host.kill_node()

    run(scenario, TIMEOUT_S)


def test_a_missing_release_is_reported_and_the_node_keeps_running(tmp_path: Path) -> None:
    """The ordered release was never copied to the host, or its name leads out of its folder.

    Stopping the node before the release is found to be missing would leave the host without any.
    """

    async def scenario() -> None:
        async with AgentUnderTest(prepare_host(tmp_path)) as host:
            await until(lambda: host.agent.node.ready_at_us)
            pid = host.agent.node.pid
            for release, fault in (
                (NodeRelease("three", "conf"), "'three' is not installed on this host"),
                (NodeRelease("two", "x"), "'x' are not installed on this host"),
                (NodeRelease("../one", "conf"), "no digest"),
            ):
                assert fault in (await host.order(1, 1, release)).trouble
            assert host.agent.node.pid == pid and host.agent.node.running == ONE
            host.kill_node()

    run(scenario, TIMEOUT_S)


def test_a_node_that_exits_is_restarted_and_one_that_ignores_sigterm_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node is killed, and the restarted one ignores SIGTERM when it is to be replaced.

    The first would leave the host without a node, the second would block all later releases.
    """
    monkeypatch.setattr("tuliptrack.fleet.node_supervisor.TERMINATION_GRACE_S", 0.5)

    async def scenario() -> None:
        async with AgentUnderTest(prepare_host(tmp_path, first_program=IGNORES_SIGTERM)) as host:
            await until(lambda: host.agent.node.ready_at_us)
            first_pid = host.agent.node.pid
            host.kill_node()
            await until(lambda: host.agent.node.ready_at_us and host.agent.node.pid != first_pid)
            assert host.agent.node.unexpected_exits == 1
            await host.order(1, 1, TWO)
            await until(lambda: host.agent.node.running == TWO and host.agent.node.ready_at_us)
            assert host.agent.node.unexpected_exits == 1, "an exit that the agent caused is not counted"
            host.kill_node()

    run(scenario, TIMEOUT_S)
