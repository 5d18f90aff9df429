"""Answers that an engine of a soak spoils, rejects, makes long, or adds something to."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import cast

from tuliptrack.rpc.http1 import HttpCall
from tuliptrack.rpc.http1_call import CallConnection

__all__ = [
    "EARLY_HINTS",
    "SECOND_ANSWER",
    "begins_malformed",
    "raw_writer",
    "rejection",
    "write_long_answer",
    "write_malformed",
]

_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
SECOND_ANSWER = _HEAD + b"12\r\ndata: not yours\n\n\r\n0\r\n\r\n"
_OPENINGS = (
    b"\x00\xffno HTTP at all\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nx: " + b"y" * 300,
    _HEAD + b"b2d05e00\r\n",
    _HEAD + b"zz\r\n",
    _HEAD.replace(b"transfer-encoding: chunked", b"content-length: 3000000000"),
)
"""Answers that are malformed from their beginning: noise, a head without end, sizes of gigabytes, an unreadable size."""
_CHUNKS = (
    b"b2d05e00\r\n",
    b"40000000;name=value\r\n",
    b"0000ffffffffffffffff\r\n",
    b"b2d05e",
    b"zz\r\n",
    b"5\r\nmore than five bytes\r\n",
)
"""Chunks in the middle of an answer: sizes of gigabytes, a size that never ends, one that is unreadable or does not fit."""
_ENDLESS_SIZE = b"0"
_MALFORMED_FOR_S = 12.0
_EVENT_PERIOD_S = 0.3
_ANSWER_BYTES = (300_000, 4_000_000)
_EVENT_BYTES = (200, 2_000, 30_000)
_LONGEST_ANSWER_S = 4.0
_EVENTS_AT_ONCE = 20
_REJECTION_BODY_BYTES = (0, 200, 100_000)
_REJECTION_STATUSES = (503, 504, 500)


def raw_writer(call: HttpCall) -> Callable[[bytes], None]:
    """Return a function that writes bytes to the connection of a call, past the framing of its answer."""
    transport = cast(CallConnection, call.connection).transport

    def write(data: bytes) -> None:
        if not transport.is_closing():
            transport.write(data)

    return write


def begins_malformed(number: int) -> bool:
    """Return whether the answers of a fault with this number are malformed before their first event."""
    return number % 2 == 0


async def write_malformed(number: int, call: HttpCall, event: bytes) -> None:
    """Write the malformed part of an answer, and go on with events at their usual pace until the node ends it."""
    shapes = _OPENINGS if begins_malformed(number) else _CHUNKS
    part = shapes[number // 2 % len(shapes)]
    write = raw_writer(call)
    write(part)
    goes_on = part.endswith(b"\n")
    until = time.monotonic() + _MALFORMED_FOR_S
    while call.open and time.monotonic() < until:
        await asyncio.sleep(_EVENT_PERIOD_S)
        write(event % time.monotonic() if goes_on else _ENDLESS_SIZE)
    call.abort()


async def write_long_answer(call: HttpCall, rng: random.Random) -> None:
    """Write events of up to several megabytes in all, at once or over some time."""
    event_bytes = rng.choice(_EVENT_BYTES)
    event = b'data: {"choices":[{"index":0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n' % (
        b"x" * event_bytes
    )
    rounds = rng.randint(*_ANSWER_BYTES) // (event_bytes * _EVENTS_AT_ONCE) + 1
    pause_s = rng.choice((0.0, rng.uniform(0.0, _LONGEST_ANSWER_S))) / rounds
    for _ in range(rounds):
        call.send(event * _EVENTS_AT_ONCE if rng.random() < 0.5 else event)
        await asyncio.sleep(pause_s)
        if not call.open:
            return


def rejection(number: int, rng: random.Random) -> tuple[int, bytes]:
    """Return status and body of the answer to a request that is not run, or that fails."""
    body = b"x" * rng.choice(_REJECTION_BODY_BYTES)
    return _REJECTION_STATUSES[number % len(_REJECTION_STATUSES)], body
