"""Clients that send a body of 60 MB in chunks of one byte: do the usual clients still get their answers?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    Agent,
    CannotRunError,
    Engine,
    Held,
    Node,
    Record,
    Reply,
    call,
    exchange,
    now,
    run_case,
    settings,
)

BAD_CLIENTS = 30
BODY_BYTES = 60_000_000
OWED_TO_BAD_CLIENTS_S = 6.0
"""Time in which a bad client that has 60 MB to send is owed an error or a close."""
BUDGET_S = 4.8
LATE_S = 0.5
"""Time after its deadline up to which an answer only earns nothing; the platform adds 50 ms."""
SLACK_S = 0.05
USUAL_CLIENTS = 8
GIVEN_UP_AFTER_S = 40.0


def bad_head(number: int) -> bytes:
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: bad{number}",
        "X-Call-Class: question",
        "X-Caller: akademie-linz",
        "X-Budget: 4.800",
        "Transfer-Encoding: chunked",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


async def bad_client(node: Node, record: Record, number: int, sent: list[int]) -> float:
    """Send a chunked body at full speed until there is an answer or a close; return the time until then."""
    part = b"1\r\nx\r\n" * 10_000
    host, _, port = node.address.rpartition(":")
    started_at = now()
    reader, writer = await asyncio.open_connection(host, int(port))

    async def send() -> None:
        writer.write(bad_head(number))
        for _ in range(BODY_BYTES // 10_000):
            writer.write(part)
            await writer.drain()
            sent[number] += 10_000

    sending = asyncio.create_task(send())
    what = b""
    try:
        async with asyncio.timeout(GIVEN_UP_AFTER_S):
            what = await reader.read(64)
    except (TimeoutError, ConnectionError):
        pass
    took_s = now() - started_at
    sending.cancel()
    with contextlib.suppress(asyncio.CancelledError, ConnectionError):
        await sending
    writer.transport.abort()
    first = what.split(b"\r\n")[0].decode("latin-1") or "closed, reset or nothing"
    record.add("bad", f"client {number}: {first} after {took_s:.2f} s, {sent[number]} bytes of body sent")
    return took_s


async def case(record: Record, folder: Path, trouble: bool) -> tuple[int, str]:
    held = Held()
    engines = [Engine("r1", "read", held, record), Engine("r2", "read", held, record)]
    engines += [Engine("w1", "write", held, record), Engine("w2", "write", held, record)]
    for engine in engines:
        await engine.start()
    agent = Agent(engines, record)
    await agent.start()
    node = Node(record, folder, agent, settings())
    try:
        await node.start()
        return await play(node, record, trouble)
    finally:
        node.end()


async def play(node: Node, record: Record, trouble: bool) -> tuple[int, str]:
    host, _, port = node.address.rpartition(":")
    links = [await asyncio.open_connection(host, int(port)) for _ in range(USUAL_CLIENTS)]

    async def ask(number: int, round_name: str) -> Reply:
        call_id = f"{round_name}{number}"
        reply = await exchange(*links[number], call(call_id, BUDGET_S), GIVEN_UP_AFTER_S)
        what = f"status {reply.status}, {reply.end}" if reply.status else f"no answer: {reply.end}"
        record.add("client", f"{call_id}: {what} after {reply.took_s:.2f} s")
        return reply

    # Each usual client has been served on its connection before, so the node has accepted all of them.
    for reply in await asyncio.gather(*(ask(number, "before") for number in range(USUAL_CLIENTS))):
        if reply.status != 200 or not reply.is_whole:
            raise CannotRunError("a request was not served before the disruption")
    sent = [0] * BAD_CLIENTS
    bad = [
        asyncio.create_task(bad_client(node, record, k, sent)) for k in range(BAD_CLIENTS if trouble else 0)
    ]
    record.add("test", f"{len(bad)} bad clients begin")
    asked = []
    for number in range(USUAL_CLIENTS):
        await asyncio.sleep(0.25)
        asked.append(asyncio.create_task(ask(number, "q")))
    replies = await asyncio.gather(*asked)
    late = [reply for reply in replies if not reply.status or first_answer_late(reply)]
    slow_bad = [took_s for took_s in await asyncio.gather(*bad) if took_s > OWED_TO_BAD_CLIENTS_S]
    record.add("test", f"the node {'runs' if node.is_running() else 'has ended'}")
    memory = f"memory {node.peak_memory_mb():.0f} of {node.memory_mb} MB at most"
    record.add("test", f"the node's {memory}")
    if late:
        return BROKEN, (
            f"rule broken: {len(late)} of {len(replies)} usual requests got no final answer by half a second "
            f"after their time (their calls took {min(r.took_s for r in late):.1f} to "
            f"{max(r.took_s for r in late):.1f} s); {len(slow_bad)} of {len(bad)} bad clients waited for more "
            f"than {OWED_TO_BAD_CLIENTS_S:g} s ({max(slow_bad, default=0):.1f} s at most); {memory}"
        )
    return HELD, f"rule held: all {len(replies)} usual requests got their answers in time"


def first_answer_late(reply: Reply) -> bool:
    """Return whether a final answer came too late. The streams here take 0.3 s, so the end is judged."""
    return reply.took_s > BUDGET_S + LATE_S + SLACK_S


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
