"""The ways in which an engine of a soak disturbs its streams: it stops, writes slowly, or writes what is no event.

The engine keeps a stream open until its node lets it go, and records the last event that it wrote.
"""

from __future__ import annotations

import asyncio
import random

from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.rpc.http1 import HttpCall

__all__ = ["LARGE_EVENT", "LARGE_EVENTS", "disturb"]

_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"slow"},"finish_reason":null}]}\n\n'
LARGE_EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n' % (
    b"x" * 16_000
)
LARGE_EVENTS = 15
"""Number of large events in an answer: more than the buffers hold between an engine and a client that rests."""
_NON_EVENTS = (
    b": ping\n\n",
    b"\n\n",
    b"event: ping\n\n",
    b"id: 7\n\n",
    b"retry: 100\n\n",
    b"data:\n\n",
    b"event: h",
)
_NON_EVENT_PAUSE_S = (0.1, 1.5)
_GAP_S = (1.0, 4.4)
"""Time that a slow engine takes from one event to the next: less than a node has to bear."""
_PIECES = 20
_CHECK_INTERVAL_S = 0.05
_LONGEST_S = 30.0
"""Time after which a stream that its node does not let go is closed."""


async def disturb(
    kind: FaultKind, call: HttpCall, call_id: str, recorder: Recorder, rng: random.Random
) -> bool:
    """Disturb a stream that has begun; return whether the engine goes on with it."""
    if kind is FaultKind.STREAM_SLOW:
        recorder.note("slow", id=call_id)
        await _write_slowly(call, rng)
        return call.open
    recorder.note("last event", id=call_id)
    loop = asyncio.get_running_loop()
    until = loop.time() + _LONGEST_S
    next_write = loop.time()
    while call.open and loop.time() < until:
        if kind is FaultKind.STREAM_NO_EVENTS and loop.time() >= next_write:
            call.send(rng.choice(_NON_EVENTS))
            next_write = loop.time() + rng.uniform(*_NON_EVENT_PAUSE_S)
        await asyncio.sleep(_CHECK_INTERVAL_S)
    return False


async def _write_slowly(call: HttpCall, rng: random.Random) -> None:
    """Pause before the next event, or write it in pieces."""
    gap_s = rng.uniform(*_GAP_S)
    if rng.random() < 0.5:
        await asyncio.sleep(gap_s)
        call.send(_EVENT)
        return
    size = len(_EVENT) // _PIECES + 1
    for start in range(0, len(_EVENT), size):
        await asyncio.sleep(gap_s / _PIECES)
        call.send(_EVENT[start : start + size])
