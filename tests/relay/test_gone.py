"""A client that has ended its sending, or reset its connection, has gone: no attempt for it begins more than
0.1 s later, wherever its request is just then, and however late the node reads that it has. Judged by what
engines saw."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable

import pytest
from relay_world import (
    SETTINGS,
    Platform,
    Seen,
    Vanished,
    delay_connections,
    platform,
    reads,
    request,
    writes,
)
from world import run, until

GONE_S = 0.1  # the platform's
Leave = Callable[[socket.socket], None]


def fin(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVES = [fin, half_close, reset]


def client(p: Platform, data: bytes) -> socket.socket:
    """A connection on which these bytes have been written."""
    host, _, port = p.relay.front.server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    return sock


def asked(p: Platform, call_id: str) -> list[Seen]:
    return [one for one in p.saw() if one.call_id == call_id]


async def settled(p: Platform) -> None:
    """All that the node still does for its requests has been done."""
    await until(lambda: not p.relay.table.open and not p.relay.front.open_requests)
    await asyncio.sleep(3 * GONE_S)


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("ahead", [0, 40_000, 400_000], ids=["alone", "sent ahead", "sent much ahead"])
def test_no_writer_is_asked_for_a_client_that_left_during_the_read(leave: Leave, ahead: int) -> None:
    async def go() -> None:
        go_on = asyncio.Event()

        async def reads_late(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                await go_on.wait()
            await reads(one, writer)

        # The node may not call off what runs: the read ends well, after its client has left.
        limits = {**SETTINGS["limits"], "cancel": False}
        async with platform({"settings": {"limits": limits}}, r0=reads_late, w0=writes) as p:
            sock = client(p, request("leaves"))
            await until(lambda: bool(asked(p, "leaves")))
            if ahead:
                sock.setblocking(False)
                more = request("ahead", b'"' + b"x" * 2_000 + b'"') * (ahead // 2_000)
                with contextlib.suppress(BlockingIOError):
                    while more:
                        more = more[sock.send(more) :]
                        await asyncio.sleep(0.001)
            leave(sock)
            await asyncio.sleep(GONE_S)
            go_on.set()
            await settled(p)
            assert not p.engines["w0"].asked(), "no further attempt, and none for what was sent ahead"
            assert any(one.target == "/bootstrap/rooms/leaves" for one in p.saw("DELETE")), (
                "what was read is let go"
            )
            assert not any(
                seat.ejections or seat.connection_failures for seat in p.relay.router.endpoints.values()
            )
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_attempt_whose_connection_comes_up_after_its_client_left_is_not_sent(
    leave: Leave, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def go() -> None:
        limits = {**SETTINGS["limits"], "cancel": may_cancel}
        async with platform({"settings": {"limits": limits}}, r0=reads, w0=writes) as p:
            connecting: list[int] = []

            def delay(port: int) -> float:
                connecting.append(port)
                return 0.2

            delay_connections(monkeypatch, delay)
            sock = client(p, request("leaves"))
            await until(lambda: p.engines["r0"].port in connecting)
            leave(sock)
            await settled(p)
            assert not asked(p, "leaves")
            assert not any(
                seat.ejections or seat.connection_failures for seat in p.relay.router.endpoints.values()
            )
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


@pytest.mark.parametrize("leave", LEAVES)
def test_many_that_left_before_a_busy_node_looked_are_sent_nowhere(leave: Leave) -> None:
    """The node has no processor time while they connect, ask and go; others that stay are served."""

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            assert (await p.ask()).whole
            gone = [client(p, request(f"gone-{n}")) for n in range(12)]
            stays = client(p, request("stays"))
            for sock in gone:
                leave(sock)
            time.sleep(2 * GONE_S)  # Nothing of it has been read.
            await until(lambda: len(asked(p, "stays")) == 2)
            await settled(p)
            assert not [one.call_id for one in p.saw() if one.call_id.startswith("gone")]
            for sock in [stays, *gone]:
                with contextlib.suppress(OSError):
                    sock.close()

    run(go)


@pytest.mark.parametrize("leave", LEAVES)
def test_no_further_attempt_follows_one_that_broke_after_its_client_left(leave: Leave) -> None:
    """An engine breaks the read off while the node is busy, after the client has gone."""

    async def go() -> None:
        breaks = asyncio.Event()

        async def broken(one: Seen, writer: asyncio.StreamWriter) -> None:
            await breaks.wait()
            writer.transport.abort()

        async with platform(r0=broken, r1=broken, w0=writes) as p:
            sock = client(p, request("leaves"))
            await until(lambda: bool(asked(p, "leaves")))
            breaks.set()
            await asyncio.sleep(0)
            leave(sock)
            time.sleep(GONE_S)  # Its end and the engine's are there to be read, in whatever order.
            await settled(p)
            assert len(asked(p, "leaves")) == 1
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


def test_an_attempt_given_up_before_it_was_sent_never_ran() -> None:
    """Its engine took no connection until the node's patience ended: though not to be repeated, it goes
    elsewhere."""

    async def go() -> None:
        keyed = {**SETTINGS["classes"][0], "effect": "guarded", "keyScope": "zone", "dedupWindow": 1}
        limits = {**SETTINGS["limits"], "connectTimeout": 4_000_000}
        async with platform(
            {"settings": {"classes": [keyed], "limits": limits}}, m0=Vanished(), m1=writes
        ) as p:
            p.tell(m1="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            asking = asyncio.ensure_future(p.ask())
            await until(lambda: bool(p.relay.table.open))
            p.tell(m1="Ready")
            reply = await asking
            assert (reply.status, reply.whole, len(p.engines["m1"].asked())) == (200, True, 1)

    run(go)
