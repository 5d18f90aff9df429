"""Hundreds of requests with bodies of the allowed size come at one time. See claim.txt."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import Node, World, close, read_chunks, read_head, run_case, settings

MEMORY_MB = 128
SOCKETS = 1024
BAD_CLIENTS = 330
BODY_BYTES = 260_000
WATCHED_S = 50.0


def resident_mb(pid: int) -> float:
    """Return the memory that the process holds, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def request(world: World) -> bytes:
    """Return a whole request; most of its body is a field that is not part of the prompt."""
    call_id = world.new_id()
    content = {"model": "m", "stream": True, "n": call_id, "metadata": "x" * BODY_BYTES}
    body = world.sent[call_id] = json.dumps(content).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: api\r\nx-call-id: {call_id}\r\n"
        f"x-call-class: question\r\nx-caller: north\r\nx-route-hash: {call_id}\r\nx-budget: 8.000\r\n"
        f"x-call-info: prompt_len=100,max_out=400\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def bad_client(world: World, node: Node, until: float) -> None:
    """Send two requests at one time, and the same again as soon as one is turned away; read all answers."""
    while time.monotonic() < until:
        writer = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(request(world) + request(world))
            while head := await read_head(reader):
                if "chunked" in head.fields.get("transfer-encoding", ""):
                    async for _ in read_chunks(reader):
                        pass
                else:
                    await reader.readexactly(int(head.fields.get("content-length", "0")))
        if writer:
            close(writer)
        await asyncio.sleep(0.05)


async def case(world: World, trouble: bool) -> None:
    for name in ("r0", "r1", "r2", "r3"):
        world.engine(name, "read")
    for name in ("w0", "w1", "w2", "w3", "w4", "w5"):
        engine = world.engine(name, "write")
        engine.events, engine.gap_s = 300, 0.1
    await world.start()
    node = Node(world, limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    world.nodes.append(node)
    node.configure(world.agent.port, world.agent.whole())
    await node.start()
    await node.ready()
    assert node.process
    until = time.monotonic() + WATCHED_S
    largest = 0.0
    tasks = [
        asyncio.ensure_future(bad_client(world, node, until)) for _ in range(BAD_CLIENTS if trouble else 0)
    ]
    while time.monotonic() < until and node.process.poll() is None:
        tasks.append(asyncio.ensure_future(world.ask(node, 4.0)))
        await asyncio.sleep(0.5)
        now_mb = resident_mb(node.process.pid)
        if now_mb > largest + 1.0:
            out = sum(not attempt.ended for attempt in world.attempts)
            world.note(f"the node holds {now_mb:.0f} MB, {out} attempts are out")
        largest = max(largest, now_mb)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    world.note(f"the node held {largest:.0f} MB at most")
    if largest > MEMORY_MB:
        world.broken(f"the node held {largest:.0f} MB; over {MEMORY_MB} MB it is killed")


run_case(
    case,
    settings(projects=[{"name": "north", "quotaPerS": 600.0, "share": 1.0}]),
    trouble=os.environ.get("TROUBLE", "1") != "0",
)
