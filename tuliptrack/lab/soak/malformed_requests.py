"""Plays the MALFORMED_REQUESTS fault: clients whose requests cannot be read or used, and which wait for an error."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import FaultKind, ScheduledFault
from tuliptrack.lab.soak.settings import World

__all__ = ["run_malformed"]

_WAIT_S = 4.0
"""How long a client waits for an error or a close."""
_LINE = b"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\n"
_HUGE_BODY_BYTES = 60_000_000
_PART_BYTES = 1_000_000


def _head(**fields: str) -> bytes:
    """Return a usable head with some fields replaced; an empty value leaves a field out."""
    usual = {
        "X-Call-Id": "malformed-1",
        "X-Call-Class": "free",
        "X-Caller": "acme",
        "X-Budget": "2.0",
        "Content-Length": "2",
    }
    usual |= {name.replace("_", "-"): value for name, value in fields.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in usual.items() if value)
    return _LINE + lines.encode() + b"\r\n"


_REQUESTS = {
    "noise": b"\x00\xff\x13 no HTTP at all\r\n\r\n",
    "head without end": _LINE + b"x: " + b"y" * 200,
    "negative length": _head(Content_Length="-5") + b"{}",
    "unreadable length": _head(Content_Length="two") + b"{}",
    "huge length": _head(Content_Length="99999999999999999999") + b"{}",
    "length and chunks": _head(Transfer_Encoding="chunked") + b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    "unknown class": _head(X_Call_Class="none-such") + b"{}",
    "no number as time": _head(X_Budget="soon") + b"{}",
    "not a number": _head(X_Budget="nan") + b"{}",
    "no id": _head(X_Call_Id="") + b"{}",
    "no JSON": _head() + b"{x",
    "half a body": _head(Content_Length="5000") + b"{",
}
"""Requests that are owed an error or a close."""


async def run_malformed(world: World, recorder: Recorder) -> None:
    """Play all MALFORMED_REQUESTS faults of the schedule."""
    faults = [fault for fault in world.schedule.faults if fault.kind is FaultKind.MALFORMED_REQUESTS]
    await asyncio.gather(*(_play(world, recorder, fault) for fault in faults))


async def _play(world: World, recorder: Recorder, fault: ScheduledFault) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(world.began + fault.at - loop.time(), 0))
    requests = [_send(world, recorder, fault.target, name, iter([data])) for name, data in _REQUESTS.items()]
    await asyncio.gather(*requests, _send(world, recorder, fault.target, "huge body", _huge_body()))


def _huge_body() -> Iterator[bytes]:
    yield _head(Content_Length=str(_HUGE_BODY_BYTES))
    for _ in range(_HUGE_BODY_BYTES // _PART_BYTES):
        yield b"x" * _PART_BYTES


async def _send(world: World, recorder: Recorder, node: str, name: str, parts: Iterator[bytes]) -> None:
    """Send a request and record the status of its answer (0: closed, -1: nothing in time) and when it came."""
    host, _, port = world.nodes[node].rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return
    loop = asyncio.get_running_loop()
    began, status = loop.time(), -1
    writing = asyncio.ensure_future(_write(writer, parts))
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(_WAIT_S):
            status = 0
            line = await reader.readline()
            status = int(line.split()[1]) if line.startswith(b"HTTP/1.1 ") else 0
    after = loop.time() - began
    if after >= _WAIT_S:
        status = -1
    writing.cancel()
    await asyncio.wait([writing])
    writer.transport.abort()
    recorder.note("malformed request", name=name, node=node, status=status, after=after)


async def _write(writer: asyncio.StreamWriter, parts: Iterator[bytes]) -> None:
    with contextlib.suppress(OSError):
        for part in parts:
            writer.write(part)
            await writer.drain()
