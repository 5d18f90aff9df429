"""A client that has half-closed or reset its connection has disconnected: no attempt for it starts more than
0.1 s later, whatever state its request is in and however late the node reads its socket. Judged by what
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

NO_ATTEMPT_AFTER_S = 0.1
"""The platform allows no attempt so long after a disconnect."""
Disconnect = Callable[[socket.socket], None]


def fin(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


DISCONNECTS = [fin, half_close, reset]


def client(p: Platform, data: bytes) -> socket.socket:
    """Return a connection on which these bytes have been written."""
    host, _, port = p.relay.front.server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    return sock


def asked(p: Platform, call_id: str) -> list[Seen]:
    return [one for one in p.saw() if one.call_id == call_id]


async def wait_until_idle(p: Platform) -> None:
    """Wait until the node has nothing left to do for its requests."""
    await until(lambda: not p.relay.table.open and not p.relay.front.open_requests)
    await asyncio.sleep(3 * NO_ATTEMPT_AFTER_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("ahead", [0, 40_000, 400_000], ids=["alone", "sent ahead", "sent much ahead"])
def test_no_decode_attempt_follows_for_a_client_that_left_during_its_prefill(
    disconnect: Disconnect, ahead: int
) -> None:
    async def go() -> None:
        may_end = asyncio.Event()

        async def slow_prefill(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                await may_end.wait()
            await reads(one, writer)

        # The node may not cancel attempts: the prefill ends well, after its client has left.
        limits = {**SETTINGS["limits"], "cancel": False}
        async with platform({"settings": {"limits": limits}}, r0=slow_prefill, w0=writes) as p:
            sock = client(p, request("leaves"))
            await until(lambda: bool(asked(p, "leaves")))
            if ahead:
                sock.setblocking(False)
                more = request("ahead", b'"' + b"x" * 2_000 + b'"') * (ahead // 2_000)
                with contextlib.suppress(BlockingIOError):
                    while more:
                        more = more[sock.send(more) :]
                        await asyncio.sleep(0.001)
            disconnect(sock)
            await asyncio.sleep(NO_ATTEMPT_AFTER_S)
            may_end.set()
            await wait_until_idle(p)
            assert not p.engines["w0"].asked(), "no further attempt, and none for pipelined requests"
            assert any(one.target == "/bootstrap/rooms/leaves" for one in p.saw("DELETE")), (
                "the KV state is released"
            )
            assert not any(
                endpoint.ejections or endpoint.connection_failures
                for endpoint in p.relay.router.endpoints.values()
            )
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_attempt_whose_connection_opens_after_its_client_left_is_not_sent(
    disconnect: Disconnect, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
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
            disconnect(sock)
            await wait_until_idle(p)
            assert not asked(p, "leaves")
            assert not any(
                endpoint.ejections or endpoint.connection_failures
                for endpoint in p.relay.router.endpoints.values()
            )
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_requests_of_clients_that_left_while_the_node_was_busy_are_not_sent(disconnect: Disconnect) -> None:
    """The node has no processor time while clients connect, send and leave; one that stays is served."""

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            assert (await p.ask()).whole
            gone = [client(p, request(f"gone-{n}")) for n in range(12)]
            stays = client(p, request("stays"))
            for sock in gone:
                disconnect(sock)
            time.sleep(2 * NO_ATTEMPT_AFTER_S)  # Nothing of it has been read.
            await until(lambda: len(asked(p, "stays")) == 2)
            await wait_until_idle(p)
            assert not [one.call_id for one in p.saw() if one.call_id.startswith("gone")]
            for sock in [stays, *gone]:
                with contextlib.suppress(OSError):
                    sock.close()

    run(go)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_no_retry_follows_an_attempt_that_broke_after_its_client_left(disconnect: Disconnect) -> None:
    """An engine breaks the prefill off while the node is busy, after the client has left."""

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
            disconnect(sock)
            time.sleep(
                NO_ATTEMPT_AFTER_S
            )  # Its end and the engine's are there to be read, in whatever order.
            await wait_until_idle(p)
            assert len(asked(p, "leaves")) == 1
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


def test_an_attempt_cancelled_before_it_was_sent_is_retried() -> None:
    """Its engine accepted no connection until the attempt's time-out. It never ran, so it is retried at another
    engine, though its class may not be repeated."""

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
