"""A planned restart where clients don't ask for the rest of a stream: are streams cut off while they run?"""

from __future__ import annotations

import asyncio
import signal
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

SENT_AFTER_SIGTERM_S = (0.9, 1.2, 1.5, 1.8, 2.1)
KILL_AFTER_S = 12.0
"""SIGKILL comes no sooner than 3.7 s after SIGTERM here; this one comes much later."""
BUDGET_S = 4.8
EVENTS, EVENT_GAP_S = 84, 0.06
"""The shortest usual answer to a question: 84 tokens, one every 60 ms."""


async def case(record: Record, folder: Path, trouble: bool) -> tuple[int, str]:
    held = Held()
    engines = [Engine("r1", "read", held, record), Engine("r2", "read", held, record)]
    engines += [
        Engine(name, "write", held, record, events=EVENTS, event_gap_s=EVENT_GAP_S) for name in ("w1", "w2")
    ]
    for engine in engines:
        await engine.start()
    agent = Agent(engines, record)
    await agent.start()
    node = Node(record, folder, agent, settings(specifics__resume=False))
    try:
        await node.start()
        return await play(node, engines, record, trouble)
    finally:
        node.end()


async def play(node: Node, engines: list[Engine], record: Record, trouble: bool) -> tuple[int, str]:
    host, _, port = node.address.rpartition(":")
    links = [await asyncio.open_connection(host, int(port)) for _ in SENT_AFTER_SIGTERM_S]

    async def ask(number: int, call_id: str) -> Reply:
        reply = await exchange(*links[number], call(call_id, BUDGET_S), 30.0)
        record.add(
            "client", f"{call_id}: status {reply.status}, {reply.end}, {reply.body.count(b'data:')} events"
        )
        return reply

    before = await asyncio.gather(*(ask(number, f"before{number}") for number in range(len(links))))
    if any(not reply.is_whole or reply.status != 200 for reply in before):
        raise CannotRunError("a request was not served before the disruption")
    started_at = now()
    if trouble:
        node.signal(signal.SIGTERM)

    async def ask_later(number: int, after_s: float) -> Reply:
        await asyncio.sleep(after_s)
        return await ask(number, f"q{number}")

    asked = [
        asyncio.create_task(ask_later(number, after_s)) for number, after_s in enumerate(SENT_AFTER_SIGTERM_S)
    ]
    await asyncio.wait(asked, timeout=KILL_AFTER_S)
    record.add(
        "test",
        f"{now() - started_at:.1f} s after the signal the node {'runs' if node.is_running() else 'has ended'}",
    )
    await asyncio.sleep(0.2)  # The engines notice that their connections have ended.
    lost = []
    for number, task in enumerate(asked):
        reply = task.result() if task.done() else Reply(0.0)
        cut = any(f"q{number}" in engine.cut for engine in engines)
        is_refused = reply.is_whole and reply.status in (429, 503)
        is_served = reply.is_whole and reply.status == 200
        if not is_refused and not is_served:
            lost.append(f"q{number} (cut off by the node while its events came)" if cut else f"q{number}")
    if lost:
        return BROKEN, f"rule broken: of {len(asked)} requests taken after SIGTERM lost: {', '.join(lost)}"
    return HELD, f"rule held: all {len(asked)} requests were served to their end or refused"


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
