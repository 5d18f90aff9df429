"""An agent's promises over its restarts, a full disk and old orders; its node is a small program of the
test."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from world import run, until

from tuliptrack.decisions.rollout_plan import Release
from tuliptrack.fleet.agent import Agent
from tuliptrack.fleet.ask import Unanswered, ask
from tuliptrack.fleet.measures import LogCounts
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel
from tuliptrack.store import sealed

ONE, TWO = Release("one", "conf"), Release("two", "conf")
NODE = f"#!{sys.executable}\nimport json, time\nprint(json.dumps({{'address': '127.0.0.1:9'}}), flush=True)\ntime.sleep(600)\n"
STUBBORN = NODE.replace(
    "import json, time", "import json, signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN)"
)


def host(root: Path, one: str = NODE) -> Path:
    (root / "settings").mkdir(parents=True)
    (root / "settings" / "conf").write_text("")
    for name, text in (("one", one), ("two", NODE)):
        (root / "programs" / name).mkdir(parents=True)
        (root / "programs" / name / "run").write_text(text)
        (root / "programs" / name / "run").chmod(0o755)
    return root


class Asking:
    """An agent in this process, and a controller's questions to it."""

    def __init__(self, root: Path) -> None:
        self.agent = Agent("h", root, ONE)
        self.channel: Channel

    async def __aenter__(self) -> Asking:
        self.channel = Channel(await self.agent.start())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.channel.close()
        await self.agent.stop()

    async def promise(self, epoch: int) -> pb.AgentAnswer:
        return await ask(
            self.channel, "Agent/Promise", pb.PromiseRequest(epoch=epoch), pb.AgentAnswer, 2_000_000
        )

    async def accept(self, epoch: int, number: int, value: bytes) -> pb.AgentAnswer:
        request = pb.AcceptRequest(mark=pb.Mark(epoch=epoch, number=number), value=value)
        return await ask(self.channel, "Agent/Accept", request, pb.AgentAnswer, 2_000_000)

    async def order(self, epoch: int, number: int, release: Release) -> pb.HostReport:
        request = pb.LookRequest(
            order=pb.Mark(epoch=epoch, number=number),
            release=pb.ReleaseName(program=release.program, settings=release.settings),
        )
        return await ask(self.channel, "Agent/Look", request, pb.HostReport, 2_000_000)

    def kill_node(self) -> None:
        if self.agent.pid:
            os.kill(self.agent.pid, signal.SIGKILL)


def test_an_order_is_carried_out_once_and_an_older_one_never(tmp_path: Path) -> None:
    async def go() -> None:
        async with Asking(host(tmp_path / "h")) as a:
            await until(lambda: a.agent.ready_at)
            assert (await a.promise(65)).agreed and (await a.accept(65, 1, b"record")).agreed
            for _ in range(3):
                assert (await a.order(65, 1, TWO)).obeyed
            await until(lambda: a.agent.running == TWO and a.agent.ready_at)
            assert a.agent.changes == 1 and a.agent.died == 0
            assert not (await a.order(64, 9, ONE)).obeyed and not (await a.order(65, 0, ONE)).obeyed
            assert (await a.promise(130)).agreed
            assert not (await a.order(65, 2, ONE)).obeyed, (
                "an epoch that was promised shuts the older one out"
            )
        async with Asking(
            tmp_path / "h"
        ) as a:  # Another life of the agent: node, promises and record are still there.
            try:
                held = await a.promise(1)
                assert (held.agreed, held.promised, held.value) == (False, 130, b"record")
                assert (
                    not (await a.order(65, 9, ONE)).obeyed and a.agent.running == TWO and a.agent.changes == 1
                )
                command = ["agent", "h", str(tmp_path / "h"), "--program", "one", "--settings", "conf"]
                second = subprocess.run(
                    [sys.executable, "-m", "tuliptrack", *command], capture_output=True, text=True
                )
                assert second.returncode == 1 and "another agent has this host" in second.stderr
            finally:
                a.kill_node()

    run(go, 60)


def test_a_full_disk_promises_nothing_and_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def go() -> None:
        async with Asking(host(tmp_path)) as a:
            await until(lambda: a.agent.ready_at)
            assert (await a.promise(65)).agreed

            def full(path: Path, body: bytes) -> None:
                raise sealed.SealedError(f"{path}: No space left on device")

            monkeypatch.setattr(sealed, "write", full)
            with pytest.raises(Unanswered, match="No space"):
                await a.promise(129)
            report = await a.order(65, 1, TWO)
            assert "No space" in report.trouble and report.release.program == "one" and report.ready
            monkeypatch.undo()
            assert (await a.promise(64)).promised == 65
            assert (await a.order(65, 2, TWO)).trouble == ""
            await until(lambda: a.agent.running == TWO)
            a.kill_node()

    run(go, 60)


def test_what_is_not_at_hand_is_named_and_the_node_goes_on(tmp_path: Path) -> None:
    async def go() -> None:
        async with Asking(host(tmp_path)) as a:
            await until(lambda: a.agent.ready_at)
            pid = a.agent.pid
            for release, text in (
                (Release("three", "conf"), "'three' is not at hand"),
                (Release("two", "x"), "'x' are not at hand"),
                (Release("../one", "conf"), "no digest"),
            ):
                assert text in (await a.order(1, 1, release)).trouble
            assert a.agent.pid == pid and a.agent.running == ONE
            a.kill_node()

    run(go, 60)


def test_a_node_that_dies_is_started_again_and_one_that_ignores_sigterm_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tuliptrack.fleet.agent._TERM_S", 0.5)

    async def go() -> None:
        async with Asking(host(tmp_path, one=STUBBORN)) as a:
            await until(lambda: a.agent.ready_at)
            first = a.agent.pid
            a.kill_node()
            await until(lambda: a.agent.ready_at and a.agent.pid != first)
            assert a.agent.died == 1
            await a.order(1, 1, TWO)
            await until(lambda: a.agent.running == TWO and a.agent.ready_at)
            assert a.agent.died == 1, "a death that was asked for counts for nothing"
            a.kill_node()

    run(go, 60)


def test_the_log_is_counted_by_class_and_measure_as_it_grows(tmp_path: Path) -> None:
    def line(end: str, first: float | None, name: str = "chat") -> str:
        return json.dumps({"event": "request", "end": end, "request_class": name, "first_ms": first}) + "\n"

    path = tmp_path / "log"
    counts = LogCounts(path)
    counts.read()
    path.write_text(
        line("served", 20.0)
        + line("served", 1500.0)
        + "Traceback\n"
        + line("refused", None)
        + line("failed", None)
        + line("failed", 30.0)
        + line("served", 5.0)[:-20]
    )
    counts.read()
    assert dict(counts.counts) == {
        ("chat", ""): 5,
        ("chat", "late"): 1,
        ("chat", "refused"): 1,
        ("chat", "failed"): 1,
        ("chat", "broken"): 1,
    }
    with open(path, "a") as file:
        file.write(line("served", 5.0)[-20:])
        file.writelines(line("served", 5.0, f"c{n}") for n in range(100))
    counts.read()
    assert counts.counts["chat", ""] == 6 and counts.counts["other", ""] == 100 - 63
