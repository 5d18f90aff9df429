"""The load report as a comment line among the last events of a stream: does the client get all events?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (  # noqa: E402
    BROKEN,
    DONE,
    HELD,
    USAGE,
    Agent,
    CannotRunError,
    Engine,
    Held,
    Node,
    Record,
    Reply,
    call,
    event,
    request,
    run_case,
    settings,
)

BUDGET_S = 4.8
EVENTS = 6
REPORT = b': X-Load-Report: {"inflight":1,"queue":0,"x0":0.1,"x1":0.5}\n'
ALONE = {"alone": [USAGE, DONE, REPORT + b"\n"]}
"""The form without the disruption: the comment line has a blank line after it."""
FORMS = {
    "before-usage": [REPORT + USAGE, DONE],
    "before-done": [USAGE, REPORT + DONE],
    "after-done": [USAGE, DONE.removesuffix(b"\n") + REPORT + b"\n"],
}
"""The comment line stands in the block of one of the last events, as the event stream format allows."""


async def case(record: Record, folder: Path, trouble: bool) -> tuple[int, str]:
    held = Held()
    reader, writer = Engine("r1", "read", held, record), Engine("w1", "write", held, record, events=EVENTS)
    for engine in (reader, writer):
        await engine.start()
    agent = Agent([reader, writer], record)
    await agent.start()
    node = Node(record, folder, agent, settings())
    try:
        await node.start()
        forms = {**ALONE, **(FORMS if trouble else {})}
        faults = [
            fault for name, tail in forms.items() if (fault := await play(node, writer, record, name, tail))
        ]
    finally:
        node.end()
    if any(fault.startswith("alone") for fault in faults):
        raise CannotRunError("; ".join(faults))
    if faults:
        return BROKEN, f"rule broken: {'; '.join(faults)}"
    return HELD, f"rule held: {len(forms)} answers had all events of the engine, and were whole"


async def play(node: Node, writer: Engine, record: Record, name: str, tail: list[bytes]) -> str:
    """Ask once; return what is wrong with the answer, or an empty text."""
    writer.tail = lambda _engine: tail
    call_id = f"q-{name}"
    reply = await request(node.address, call(call_id, BUDGET_S), 15.0)
    await asyncio.sleep(0.1)
    texts = [event(f"t{index} ", "stop" if index == EVENTS - 1 else None) for index in range(EVENTS)]
    sent = b"".join([*texts, *tail])
    record.add("engine", f"{call_id}: sent {sent!r}")
    record.add("client", f"{call_id}: status {reply.status}, {reply.end}, got {reply.body!r}")
    return fault_of(reply, sent, name)


def data_lines(stream: bytes) -> list[bytes]:
    """Return the data lines of a stream; comments are not events and may be left out."""
    return [line for line in stream.split(b"\n") if line.startswith(b"data:")]


def fault_of(reply: Reply, sent: bytes, name: str) -> str:
    missing = len(data_lines(sent)) - len(data_lines(reply.body))
    if reply.status != 200:
        return f"{name}: answered {reply.status}"
    if reply.is_whole and missing:
        return f"{name}: {missing} event is missing in an answer that ends as a whole one"
    if not reply.is_whole:
        return f"{name}: a whole stream is cut off without the last chunk, {missing} events missing"
    return "" if data_lines(sent) == data_lines(reply.body) else f"{name}: the events differ"


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
