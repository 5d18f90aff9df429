"""How soon a node that was started serves: all of a fleet at once, on a part of a core each, and never so
early that what it is asked first is lost."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from pathlib import Path

import pytest
from relay_node import Node, start_node
from relay_world import Peer, hangs, platform, read_reply, reads, request, writes
from world import run, until

READY_S = 10.0  # the platform's, for nine in ten
BARE = 24  # times a bare interpreter's processor time that a node may take till it serves; measured: see docs/design/relay.md


def cpu(pid: int) -> float:
    """Seconds of processor time that a process has taken, all its threads together."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


async def ready(node: Node) -> int:
    reader, writer = await node.connect()
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = (await read_reply(reader)).status
    writer.close()
    return status


def test_a_node_serves_within_a_few_times_of_what_its_interpreter_takes(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            ratios = []
            for number in range(3):
                before = resource.getrusage(resource.RUSAGE_CHILDREN)
                bare = await asyncio.create_subprocess_exec(sys.executable, "-c", "pass")
                await bare.wait()
                after = resource.getrusage(resource.RUSAGE_CHILDREN)
                interpreter = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
                node = await start_node(
                    p.agent.address,
                    tmp_path / "config.json",
                    known={"revision": 1, "complete": True, "members": p.members()},
                )
                ratios.append(cpu(node.process.pid) / interpreter)
                reader, writer = await node.connect()
                assert await ready(node) == 200
                writer.write(request(f"first-{number}"))
                assert (await read_reply(reader)).whole, "what it is asked first is served"
                writer.close()
                await node.kill()
            assert min(ratios) < BARE, ratios

    run(go)


def test_nine_in_ten_of_a_fleet_restarted_at_once_on_one_core_are_ready_in_time(tmp_path: Path) -> None:
    nodes = 10  # a tenth of the core each

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            paths = [tmp_path / str(number) / "config.json" for number in range(nodes)]
            for path in paths:
                path.parent.mkdir()
            core, all_cores = min(os.sched_getaffinity(0)), os.sched_getaffinity(0)
            os.sched_setaffinity(0, {core})  # What is started from here stays there.
            began = time.monotonic()
            starting = [
                asyncio.ensure_future(
                    start_node(
                        p.agent.address, path, known={"revision": 1, "complete": True, "members": p.members()}
                    )
                )
                for path in paths
            ]
            await asyncio.sleep(0.5)
            os.sched_setaffinity(0, all_cores)
            took = []
            for one in asyncio.as_completed(starting):
                node = await one
                assert await ready(node) == 200
                took.append(time.monotonic() - began)
            assert sorted(took)[nodes * 9 // 10 - 1] < READY_S, took
            for one in starting:
                await one.result().kill()

    run(go, 60)


@pytest.mark.parametrize("agent", ["speaks late", "silent"])
def test_a_node_that_knows_no_engine_is_ready_with_its_first_list_or_a_little_later(
    agent: str, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            late = await Peer(hangs).start()
            node = await start_node(late.address, tmp_path / "config.json")
            assert await ready(node) == 503
            began = time.monotonic()
            if agent == "speaks late":
                late.script = p.answers
            while await ready(node) != 200:
                await asyncio.sleep(0.02)
            if agent == "speaks late":
                reader, writer = await node.connect()
                writer.write(request("first"))
                assert (await read_reply(reader)).whole, "what it is asked first is served"
                writer.close()
            else:
                assert 1.0 < time.monotonic() - began < READY_S
            await until(lambda: len(late.seen) > 1)
            await node.kill()
            await late.stop()

    run(go)
