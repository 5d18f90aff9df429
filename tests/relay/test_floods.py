"""Clients that send hundreds at once, drip their heads, read a byte now and then or say nothing, all
together: others are served as without them, and what the node keeps is bounded. One node as a process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from pathlib import Path

from relay_node import Node, start_node
from relay_world import platform, read_reply, reads, request, writes
from world import run, until


async def pipelines(node: Node) -> None:
    """Hundreds of requests in one go, none of them with an id, again and again."""
    while True:
        with contextlib.suppress(OSError):  # A time-out is one too.
            reader, writer = await node.connect()
            writer.write(request("") * 300)
            async with asyncio.timeout(0.5):
                while await reader.read(65_536):
                    pass
            writer.close()


async def drips(node: Node) -> None:
    """A head that never ends, a byte at a time."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await node.connect()
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: ")
            while not writer.transport.is_closing():
                writer.write(b"b")
                await asyncio.sleep(0.02)


async def reads_slowly(node: Node) -> None:
    """Asks, and takes a byte a tenth of a second of what it gets."""
    for number in itertools.count():
        with contextlib.suppress(OSError):
            reader, writer = await node.connect()
            writer.write(request(f"slow-{id(reader)}-{number}"))
            while await reader.read(1):
                await asyncio.sleep(0.1)
            writer.close()


async def silent(node: Node) -> None:
    held: list[object] = []
    while len(held) < 150:
        with contextlib.suppress(OSError):
            held.append(await node.connect())
    await asyncio.Event().wait()


def memory(node: Node) -> int:
    """Bytes of the process that are in memory."""
    with open(f"/proc/{node.process.pid}/statm") as file:
        return int(file.read().split()[1]) * 4_096


def test_floods_take_no_service_from_others_and_little_memory(tmp_path: Path) -> None:
    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            node = await start_node(
                p.agent.address,
                tmp_path / "config.json",
                known={"revision": 1, "complete": True, "members": p.members()},
            )
            ids = itertools.count()

            async def client(count: int) -> int:
                """How many of so many requests, one after another, are served."""
                served = 0
                reader, writer = await node.connect()
                for _ in range(count):
                    writer.write(request(f"good-{next(ids)}"))
                    reply = await asyncio.wait_for(read_reply(reader), 5)
                    served += reply.status == 200 and reply.whole
                    await asyncio.sleep(0.02)
                writer.close()
                return served

            async def load() -> int:
                return sum(await asyncio.gather(*(client(20) for _ in range(6))))

            alone, before = await load(), memory(node)
            floods = [
                asyncio.ensure_future(one(node)) for one in (pipelines, drips, reads_slowly) for _ in range(8)
            ]
            floods.append(asyncio.ensure_future(silent(node)))
            await asyncio.sleep(0.3)
            began = time.monotonic()
            beside = await load()
            assert alone == 120 and beside >= 0.97 * alone, (alone, beside)
            assert time.monotonic() - began < 20
            assert memory(node) - before < 16_777_216 and node.descriptors <= 256
            for one in floods:
                one.cancel()
            await asyncio.wait(floods)
            assert not [line for line in node.log if "Traceback" in line or "handler failed" in line]
            await node.kill()

    run(go, 60)


def test_two_hundred_changes_of_the_list_leave_nothing_behind(tmp_path: Path) -> None:
    """Every engine is replaced again and again, under load."""

    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            node = await start_node(
                p.agent.address,
                tmp_path / "config.json",
                known={"revision": 1, "complete": True, "members": p.members()},
            )
            reader, writer = await node.connect()
            generation = 0
            members = p.members

            def replaced() -> list[dict[str, object]]:
                return [{**one, "id": f"{one['id']}-{generation}"} for one in members()]

            p.members = replaced  # type: ignore[method-assign]
            held: list[tuple[int, int]] = []
            for generation in range(1, 241):
                p.tell()
                await until(lambda: any(f"version={p.revision}" in line for line in node.log[-20:]))
                writer.write(request(f"change-{generation}"))
                reply = await asyncio.wait_for(read_reply(reader), 5)
                assert reply.whole, (generation, reply)
                if generation >= 160 and generation % 20 == 0:
                    held.append((memory(node), node.descriptors))
            assert len(held) == 5
            assert held[-1][0] - held[0][0] < 2_097_152, held
            assert max(count for _, count in held) < 40, held
            writer.close()
            await node.kill()

    run(go, 90)
