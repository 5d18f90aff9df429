"""Some clients pipeline hundreds of requests, send a head byte by byte, read slowly or send nothing, all at
once. Other clients are served as they are without such clients, and the node's memory is bounded. The node
runs as a process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from pathlib import Path

from relay_harness import answer_decode, answer_prefill, platform, read_reply, request
from relay_process import Node, start_node
from world import run, until


async def pipeline_requests(node: Node) -> None:
    """Send hundreds of requests at once, none of them with an id, again and again."""
    while True:
        with contextlib.suppress(OSError):  # TimeoutError is an OSError too.
            reader, writer = await node.connect()
            writer.write(request("") * 300)
            async with asyncio.timeout(0.5):
                while await reader.read(65_536):
                    pass
            writer.close()


async def send_endless_head(node: Node) -> None:
    """Send a head that never ends, a byte at a time."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await node.connect()
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: ")
            while not writer.transport.is_closing():
                writer.write(b"b")
                await asyncio.sleep(0.02)


async def read_slowly(node: Node) -> None:
    """Send requests and read their answers slowly, one byte every 0.1 s."""
    for number in itertools.count():
        with contextlib.suppress(OSError):
            reader, writer = await node.connect()
            writer.write(request(f"slow-{id(reader)}-{number}"))
            while await reader.read(1):
                await asyncio.sleep(0.1)
            writer.close()


async def keep_silent_connections(node: Node) -> None:
    connections: list[object] = []
    while len(connections) < 150:
        with contextlib.suppress(OSError):
            connections.append(await node.connect())
    await asyncio.Event().wait()


def memory(node: Node) -> int:
    """Return the process's resident memory in bytes."""
    with open(f"/proc/{node.process.pid}/statm") as file:
        return int(file.read().split()[1]) * 4_096


def test_floods_do_not_affect_other_clients_and_take_little_memory(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, w0=answer_decode, w1=answer_decode) as p:
            node = await start_node(
                p.agent.address,
                tmp_path / "config.json",
                known={"revision": 1, "complete": True, "members": p.members()},
            )
            ids = itertools.count()

            async def client(count: int) -> int:
                """Send `count` requests one after another and return how many were served."""
                served = 0
                reader, writer = await node.connect()
                for _ in range(count):
                    writer.write(request(f"good-{next(ids)}"))
                    reply = await asyncio.wait_for(read_reply(reader), 5)
                    served += reply.status == 200 and reply.is_complete
                    await asyncio.sleep(0.02)
                writer.close()
                return served

            async def load() -> int:
                return sum(await asyncio.gather(*(client(20) for _ in range(6))))

            served_alone, memory_before = await load(), memory(node)
            floods = [
                asyncio.ensure_future(flood(node))
                for flood in (pipeline_requests, send_endless_head, read_slowly)
                for _ in range(8)
            ]
            floods.append(asyncio.ensure_future(keep_silent_connections(node)))
            await asyncio.sleep(0.3)
            started_at = time.monotonic()
            served_beside = await load()
            assert served_alone == 120 and served_beside >= 0.97 * served_alone, (served_alone, served_beside)
            assert time.monotonic() - started_at < 20
            assert memory(node) - memory_before < 16_777_216 and node.descriptors <= 256
            for flood in floods:
                flood.cancel()
            await asyncio.wait(floods)
            assert not [line for line in node.log if "Traceback" in line or "handler failed" in line]
            await node.kill()

    run(go, 60)


def test_two_hundred_list_changes_leak_no_memory_and_no_descriptors(tmp_path: Path) -> None:
    """Every engine is replaced by each change, and a request is served after each."""

    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, w0=answer_decode, w1=answer_decode) as p:
            node = await start_node(
                p.agent.address,
                tmp_path / "config.json",
                known={"revision": 1, "complete": True, "members": p.members()},
            )
            reader, writer = await node.connect()
            generation = 0
            members = p.members

            def members_of_generation() -> list[dict[str, object]]:
                return [{**member, "id": f"{member['id']}-{generation}"} for member in members()]

            p.members = members_of_generation  # type: ignore[method-assign]
            usage: list[tuple[int, int]] = []
            for generation in range(1, 241):
                p.publish()
                await until(lambda: any(f"version={p.revision}" in line for line in node.log[-20:]))
                writer.write(request(f"change-{generation}"))
                reply = await asyncio.wait_for(read_reply(reader), 5)
                assert reply.is_complete, (generation, reply)
                if generation >= 160 and generation % 20 == 0:
                    usage.append((memory(node), node.descriptors))
            assert len(usage) == 5
            assert usage[-1][0] - usage[0][0] < 2_097_152, usage
            assert max(count for _, count in usage) < 40, usage
            writer.close()
            await node.kill()

    run(go, 90)
