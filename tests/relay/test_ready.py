"""How soon a started node is ready: also when a whole fleet starts at once on a part of a core each, and never so early
that its first request fails."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from pathlib import Path

import pytest
from relay_harness import Peer, answer_decode, answer_prefill, never_answer, platform, read_reply, request
from relay_process import Node, start_node
from world import run, until

READY_WITHIN_S = 10.0  # the platform expects nine nodes in ten to be ready within this time
# Until it serves, a node may take this many times the processor time of a bare interpreter; see docs/design/relay.md.
MAX_CPU_RATIO = 24


def cpu_seconds(pid: int) -> float:
    """Return the processor time that all threads of a process have taken."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


async def readiness_status(node: Node) -> int:
    reader, writer = await node.connect()
    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    status = (await read_reply(reader)).status
    writer.close()
    return status


def test_a_node_serves_within_a_multiple_of_its_interpreters_start_time(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
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
                ratios.append(cpu_seconds(node.process.pid) / interpreter)
                reader, writer = await node.connect()
                assert await readiness_status(node) == 200
                writer.write(request(f"first-{number}"))
                assert (await read_reply(reader)).is_complete, "the first request is served"
                writer.close()
                await node.kill()
            assert min(ratios) < MAX_CPU_RATIO, ratios

    run(go)


def test_nine_in_ten_of_a_fleet_restarted_at_once_on_one_core_are_ready_in_time(tmp_path: Path) -> None:
    nodes = 10  # Each node has a tenth of the core.

    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            paths = [tmp_path / str(number) / "config.json" for number in range(nodes)]
            for path in paths:
                path.parent.mkdir()
            core, all_cores = min(os.sched_getaffinity(0)), os.sched_getaffinity(0)
            os.sched_setaffinity(0, {core})  # Processes that are started from here stay on this core.
            started_at = time.monotonic()
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
            ready_after_s = []
            for started in asyncio.as_completed(starting):
                node = await started
                assert await readiness_status(node) == 200
                ready_after_s.append(time.monotonic() - started_at)
            assert sorted(ready_after_s)[nodes * 9 // 10 - 1] < READY_WITHIN_S, ready_after_s
            for start in starting:
                await start.result().kill()

    run(go, 60)


@pytest.mark.parametrize("agent", ["answers late", "silent"])
def test_a_node_without_a_known_list_is_ready_with_its_first_list_or_a_little_later(
    agent: str, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            agent_peer = await Peer(never_answer).start()
            node = await start_node(agent_peer.address, tmp_path / "config.json")
            assert await readiness_status(node) == 503
            started_at = time.monotonic()
            if agent == "answers late":
                agent_peer.script = p.answer_poll
            while await readiness_status(node) != 200:
                await asyncio.sleep(0.02)
            if agent == "answers late":
                reader, writer = await node.connect()
                writer.write(request("first"))
                assert (await read_reply(reader)).is_complete, "the first request is served"
                writer.close()
            else:
                assert 1.0 < time.monotonic() - started_at < READY_WITHIN_S
            await until(lambda: len(agent_peer.all_received) > 1)
            await node.kill()
            await agent_peer.stop()

    run(go)
