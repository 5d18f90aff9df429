"""Events are passed from an engine to its client as they arrive, while other clients read slowly or flood the
node and other engines are silent."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
from dataclasses import dataclass, field

from relay_harness import (
    FINAL_EVENTS,
    SETTINGS,
    STREAM_HEAD,
    Platform,
    ReceivedRequest,
    answer_prefill,
    chunk,
    never_answer,
    platform,
    request,
)
from world import run, until

IN_TIME_S = 0.3  # the platform allows an event to arrive this long after the engine sent it
STREAMS, EVENTS, PAUSE_S = 24, 20, 0.04


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Lag:
    """The delay of this process itself. Any delay of an event beyond it is caused by the node."""

    worst_s: float = 0.0
    task: asyncio.Task[None] | None = None

    async def watch(self) -> None:
        while True:
            started_at = now()
            await asyncio.sleep(0.005)
            self.worst_s = max(self.worst_s, now() - started_at - 0.005)


@dataclass
class Delays:
    """Seconds from an engine's write of an event to its client's read."""

    seconds: list[float] = field(default_factory=list)
    reads_of_several_events: int = 0


async def timed_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """A decode engine whose events state when they were written."""
    if received.method == "DELETE":
        await answer_prefill(received, writer)
        return
    writer.write(STREAM_HEAD)
    for _ in range(EVENTS):
        writer.write(chunk(b"data: " + json.dumps({"at": now()}).encode() + b"\n\n"))
        await asyncio.sleep(PAUSE_S)
    for event in FINAL_EVENTS:
        writer.write(chunk(event))
    writer.write(b"0\r\n\r\n")


async def large_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """A decode engine that sends, all at once, nearly as many bytes as a stream may have, and never ends the
    stream."""
    if received.method == "POST":
        writer.write(STREAM_HEAD + chunk(b'data: {"x":"' + b"y" * 16_000 + b'"}\n\n') * 15)
        await never_answer(received, writer)
    await answer_prefill(received, writer)


def send_and_read_nothing(p: Platform, call_id: str) -> socket.socket:
    """Send a request on a new connection and leave the whole answer unread."""
    host, _, port = p.relay.front.server.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect((host, int(port)))
    sock.sendall(request(call_id))
    return sock


async def read_timed(p: Platform, call_id: str, delays: Delays) -> None:
    reader, writer = await p.connect()
    writer.write(request(call_id))
    rest = b""
    while part := await reader.read(65_536):
        *events, rest = (rest + part).split(b"\n\n")
        written_at = [json.loads(event.partition(b"data: ")[2])["at"] for event in events if b'"at"' in event]
        delays.seconds += [now() - written for written in written_at]
        delays.reads_of_several_events += len(written_at) > 1
        if b"[DONE]" in part:
            break
    writer.close()


def test_events_reach_their_clients_in_time_and_one_by_one_beside_slow_clients_and_floods() -> None:
    async def go() -> None:
        ids = itertools.count()

        async def by_kind(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await (large_decode if received.call_id.startswith("slow") else timed_decode)(received, writer)

        # All requests come at once to a process that runs the stub engines too. With a short latency
        # objective, the node would rightly reject some of the requests.
        long_objective = {**SETTINGS["classes"][0], "promise": 600_000_000}
        async with platform(
            {
                "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
                "settings": {"classes": [long_objective]},
            },
            r0=answer_prefill,
            w0=by_kind,
            w1=by_kind,
            w2=never_answer,
        ) as p:
            p.publish(w2="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            slow = [send_and_read_nothing(p, f"slow-{number}") for number in range(4)]
            await until(
                lambda: (
                    sum(record.stream.paused_at_us > 0 for record in p.relay.table.open.values()) == len(slow)
                )
            )
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
            late = [delay for delay in delays.seconds if delay - lag.worst_s > IN_TIME_S]
            assert not late, (max(delays.seconds), lag.worst_s)
            assert lag.worst_s > PAUSE_S or delays.reads_of_several_events == 0
            for sock in slow:
                sock.close()

    run(go, 60)


def test_tcp_nodelay_is_set_on_connections_to_clients_and_engines() -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=timed_decode) as p:
            delays = Delays()
            reading = asyncio.ensure_future(read_timed(p, "open", delays))
            await until(lambda: bool(delays.seconds))
            transports = [link.transport for link in p.relay.front.server.links]
            transports += [link.transport for pool in p.relay.pools.all() for link in pool.links]
            assert len(transports) >= 2
            for transport in transports:
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            await reading

    run(go)
