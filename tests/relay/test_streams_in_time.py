"""Events are passed on as they come, from an engine to a client, beside slow readers, silent engines and
floods."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from dataclasses import dataclass, field

from relay_world import LAST, OPENING, SETTINGS, Platform, Seen, chunk, hangs, platform, reads, request
from world import run, until

IN_TIME_S = 0.3  # the platform's
STREAMS, EVENTS, PAUSE_S = 24, 20, 0.04


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Lag:
    """How late this process itself runs: what is left of a delay is the node's."""

    worst: float = 0.0
    task: asyncio.Task[None] | None = None

    async def watch(self) -> None:
        while True:
            began = now()
            await asyncio.sleep(0.005)
            self.worst = max(self.worst, now() - began - 0.005)


@dataclass
class Delays:
    """Seconds from an engine's write of an event to its client's read, and how many events a read brought."""

    seconds: list[float] = field(default_factory=list)
    lumps: int = 0


async def timed_writer(one: Seen, writer: asyncio.StreamWriter) -> None:
    """Each event tells when it was written."""
    if one.method == "DELETE":
        await reads(one, writer)
        return
    writer.write(OPENING)
    for _ in range(EVENTS):
        writer.write(chunk(b"data: " + json.dumps({"at": now()}).encode() + b"\n\n"))
        await asyncio.sleep(PAUSE_S)
    for event in LAST:
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


async def large_writer(one: Seen, writer: asyncio.StreamWriter) -> None:
    """Nearly as much as a stream may have, at once, and then no end."""
    if one.method == "POST":
        writer.write(OPENING + chunk(b'data: {"x":"' + b"y" * 16_000 + b'"}\n\n') * 15)
        await hangs(one, writer)
    await reads(one, writer)


def ask_and_read_nothing(p: Platform, call_id: str) -> socket.socket:
    """A client that leaves its whole answer unread."""
    host, _, port = p.relay.front.server.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect((host, int(port)))
    sock.sendall(request(call_id))
    return sock


async def read_timed(p: Platform, call_id: str, delays: Delays) -> None:
    reader, writer = await p.connect()
    writer.write(request(call_id))
    left = b""
    while part := await reader.read(65_536):
        *events, left = (left + part).split(b"\n\n")
        at = [json.loads(event.partition(b"data: ")[2])["at"] for event in events if b'"at"' in event]
        delays.seconds += [now() - written for written in at]
        delays.lumps += len(at) > 1
        if b"[DONE]" in part:
            break
    writer.close()


def test_events_reach_their_clients_in_time_and_one_by_one_whatever_goes_on_beside() -> None:
    async def go() -> None:
        ids = itertools.count()

        async def by_kind(one: Seen, writer: asyncio.StreamWriter) -> None:
            await (large_writer if one.call_id.startswith("slow") else timed_writer)(one, writer)

        # All come at once to a process that plays the engines too: with a short aim some are refused, and
        # rightly so.
        patient = {**SETTINGS["classes"][0], "promise": 600_000_000}
        async with platform(
            {"limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": {"classes": [patient]}},
            r0=reads,
            w0=by_kind,
            w1=by_kind,
            w2=hangs,
        ) as p:
            p.tell(w2="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            slow = [ask_and_read_nothing(p, f"slow-{number}") for number in range(4)]
            await until(lambda: sum(r.paused_at_us > 0 for r in p.relay.table.open.values()) == len(slow))
            lag, delays = Lag(), Delays()
            lag.task = asyncio.ensure_future(lag.watch())

            async def flood() -> None:
                while True:
                    _, writer = await p.connect()
                    writer.write(b"POST / HTTP/1.1\r\nX-A: " + b"b" * 2_000 + b"\x00\r\n" * 5)
                    await asyncio.sleep(0.002)
                    writer.close()

            flooding = asyncio.ensure_future(flood())
            await asyncio.gather(*(read_timed(p, f"timed-{next(ids)}", delays) for _ in range(STREAMS)))
            for task in (flooding, lag.task):
                task.cancel()
            await asyncio.wait([flooding, lag.task])
            assert len(delays.seconds) == STREAMS * EVENTS
            late = [delay for delay in delays.seconds if delay - lag.worst > IN_TIME_S]
            assert not late, (max(delays.seconds), lag.worst)
            assert lag.worst > PAUSE_S or delays.lumps == 0
            for sock in slow:
                sock.close()

    run(go, 60)


def test_small_writes_are_not_held_back_on_either_side() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=timed_writer) as p:
            delays = Delays()
            asking = asyncio.ensure_future(read_timed(p, "open", delays))
            await until(lambda: bool(delays.seconds))
            transports = [link.transport for link in p.relay.front.server.links]
            transports += [link.transport for pool in p.relay.pools.all() for link in pool.links]
            assert len(transports) >= 2
            for transport in transports:
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            await asking

    run(go)
