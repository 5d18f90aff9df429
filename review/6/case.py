"""A node is told to end; an engine hangs while a request comes in, and goes on later. See claim.txt."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import Attempt, Engine, Message, Node, World, run_case, settings

SEGMENT_BYTES = 1448
WINDOW_BYTES = 4096
BODY_BYTES = 250_000
JAM_S = 5.0
WAITING_AFTER_S = 0.3
SENT_AFTER_S = 1.0
HANG_ENDS_AFTER_S = 4.5


class HangingEngine(Engine):
    """An engine that stands still from the moment a large request begins to come in, for as long as is set.

    Its connections have the segments of a network and a small window, so that what it does not read waits at
    its sender.
    """

    hangs_until = 0.0
    hangs = False

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind((self.host, 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=16_384)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stand_still(self) -> None:
        while self.hangs and time.monotonic() < self.hangs_until:
            await asyncio.sleep(0.005)

    async def receive_body(self, message: Message, reader: asyncio.StreamReader) -> None:
        if int(message.fields.get("content-length", "0")) >= BODY_BYTES and not self.hangs:
            self.hangs = time.monotonic() < self.hangs_until
            self.world.note(f"{self.name} receives a large request; it hangs: {self.hangs}")
        await self.stand_still()
        await super().receive_body(message, reader)

    async def work(self, attempt: Attempt, message: Message, writer: asyncio.StreamWriter) -> bool:
        await self.stand_still()
        return await super().work(attempt, message, writer)


async def case(world: World, trouble: bool) -> None:
    engines = [HangingEngine(world, name, "both") for name in ("m0", "m1", "m2")]
    world.engines |= {engine.name: engine for engine in engines}
    await world.start()
    stopping, other = Node(world, "n0"), Node(world, "n1")
    for node in (stopping, other):
        world.nodes.append(node)
        node.configure(world.agent.port, world.agent.whole())
        await node.start()
        await node.ready()
        await asyncio.gather(*(world.ask(node) for _ in range(6)))
    for engine in engines:
        engine.first_s = JAM_S
    stopped = time.monotonic()
    stopping.send(signal.SIGTERM)
    if trouble:
        for engine in engines:
            engine.hangs_until = stopped + HANG_ENDS_AFTER_S
    await asyncio.sleep(WAITING_AFTER_S)
    waiting = asyncio.ensure_future(world.ask(stopping, 7.0))
    await asyncio.sleep(SENT_AFTER_S - WAITING_AFTER_S)
    body = json.dumps({"model": "m", "stream": True, "text": "x" * BODY_BYTES}).encode()
    answer = await world.ask(stopping, 7.0, body=body)
    again = None
    if answer.kind == "refused":
        world.note(f"the client of {answer.call_id} takes the refusal at its word and asks n1")
        again = await world.ask(other, 8.0, body=body)
    await waiting
    await asyncio.sleep(max(stopped + 6.0 - time.monotonic(), 0.0))
    ran = [a for a in world.attempts if a.call_id == answer.call_id]
    if answer.kind == "refused" and ran:
        world.broken(
            f"{answer.call_id} was refused {answer.done - stopped:.2f} s after SIGTERM and ran: its last byte came to "
            f"{ran[0].engine} {ran[0].last_byte - stopped:.2f} s after SIGTERM; sent again, it was "
            f"{again.kind if again else 'not sent'}"
        )


case_settings = settings(hostTypes=["mixed"])
case_settings["specifics"] |= {"dutyByKind": ["both"], "writersRead": True}
case_settings["limits"]["cancel"] = False
for request_class in case_settings["classes"]:
    request_class["effect"] = "single_shot"
run_case(case, case_settings, trouble=os.environ.get("TROUBLE", "1") != "0")
