"""Plays the CROWD fault: idle clients that use up a node's descriptors, and one that pipelines many commands."""

from __future__ import annotations

import asyncio
import contextlib

from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import FaultKind, ScheduledFault
from tuliptrack.lab.soak.settings import World

__all__ = ["run_crowds"]

_IDLE_CLIENTS = 260
"""More than a node with 512 descriptors accepts."""
_COMMANDS = 40
_COMMAND = b"GET /-/healthy HTTP/1.1\r\nHost: api\r\n\r\n"
_ANSWER = b"HTTP/1.1 200"
_ANSWER_TIMEOUT_S = 2.0


async def run_crowds(world: World, recorder: Recorder) -> None:
    """Play all CROWD faults of the schedule."""
    crowds = [fault for fault in world.schedule.faults if fault.kind is FaultKind.CROWD]
    await asyncio.gather(*(_play(world, recorder, fault) for fault in crowds))


async def _play(world: World, recorder: Recorder, fault: ScheduledFault) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(world.began + fault.at - loop.time(), 0))
    host, _, port = world.nodes[fault.target].rpartition(":")
    writers: list[asyncio.StreamWriter] = []
    try:
        await _send_commands(recorder, fault.target, host, int(port))
        while len(writers) < _IDLE_CLIENTS and loop.time() < world.began + fault.until:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writers.append(writer)
        await asyncio.sleep(max(world.began + fault.until - loop.time(), 0))
    finally:
        for writer in writers:
            writer.close()
    recorder.note("crowd", node=fault.target, connections=len(writers))


async def _send_commands(recorder: Recorder, node: str, host: str, port: int) -> None:
    """Send many commands in one write. Each must be answered, in order."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return
    received = bytearray()
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(_ANSWER_TIMEOUT_S):
            writer.write(_COMMAND * _COMMANDS)
            while received.count(_ANSWER) < _COMMANDS and (data := await reader.read(1 << 16)):
                received += data
    writer.close()
    recorder.note("commands", node=node, sent=_COMMANDS, answered=received.count(_ANSWER))
