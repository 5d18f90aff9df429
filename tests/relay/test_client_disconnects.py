"""A client that has closed, half-closed or reset its connection has disconnected. No attempt for the client
starts more than 0.1 s later, whatever state its request is in and however late the node reads its socket. The
tests judge by what engines received."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable

import pytest
from relay_harness import (
    SETTINGS,
    Platform,
    ReceivedRequest,
    UnreachableEngine,
    answer_decode,
    answer_prefill,
    answer_prefill_after,
    delay_connections,
    fin,
    half_close,
    platform,
    request,
    reset,
)
from world import run, until

NO_ATTEMPT_AFTER_S = 0.1
"""The time after a disconnect beyond which the platform allows no attempt."""
Disconnect = Callable[[socket.socket], None]


DISCONNECTS = [fin, half_close, reset]


def client(p: Platform, data: bytes) -> socket.socket:
    """Open a connection, write these bytes and return its socket."""
    host, _, port = p.relay.front.server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.sendall(data)
    return sock


def attempts(p: Platform, call_id: str) -> list[ReceivedRequest]:
    return [one for one in p.received() if one.call_id == call_id]


async def wait_until_idle(p: Platform) -> None:
    """Wait until the node has nothing left to do for its requests."""
    await until(lambda: not p.relay.table.open and not p.relay.front.call_ids.open)
    await asyncio.sleep(3 * NO_ATTEMPT_AFTER_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("ahead", [0, 40_000, 400_000], ids=["alone", "sent ahead", "sent much ahead"])
def test_no_decode_attempt_follows_for_a_client_that_left_during_its_prefill(
    disconnect: Disconnect, ahead: int
) -> None:
    async def go() -> None:
        may_end = asyncio.Event()

        # The node may not cancel attempts: the prefill succeeds after its client has left.
        limits = {**SETTINGS["limits"], "cancel": False}
        async with platform(
            {"settings": {"limits": limits}}, r0=answer_prefill_after(may_end), w0=answer_decode
        ) as p:
            sock = client(p, request("leaves"))
            await until(lambda: bool(attempts(p, "leaves")))
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
            assert not p.engines["w0"].received(), "no further attempt, and none for pipelined requests"
            assert any(one.target == "/bootstrap/rooms/leaves" for one in p.received("DELETE")), (
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
        async with platform({"settings": {"limits": limits}}, r0=answer_prefill, w0=answer_decode) as p:
            connecting: list[int] = []

            def delay(port: int) -> float:
                connecting.append(port)
                return 0.2

            delay_connections(monkeypatch, delay)
            sock = client(p, request("leaves"))
            await until(lambda: p.engines["r0"].port in connecting)
            disconnect(sock)
            await wait_until_idle(p)
            assert not attempts(p, "leaves")
            assert not any(
                endpoint.ejections or endpoint.connection_failures
                for endpoint in p.relay.router.endpoints.values()
            )
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_requests_of_clients_that_left_while_the_node_was_busy_are_not_sent(disconnect: Disconnect) -> None:
    """The node has no processor time while clients connect, send and leave; one client stays and is
    served."""

    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            assert (await p.send_request()).is_complete
            left = [client(p, request(f"gone-{n}")) for n in range(12)]
            stays = client(p, request("stays"))
            for sock in left:
                disconnect(sock)
            time.sleep(2 * NO_ATTEMPT_AFTER_S)  # The node reads nothing meanwhile.
            await until(lambda: len(attempts(p, "stays")) == 2)
            await wait_until_idle(p)
            assert not [one.call_id for one in p.received() if one.call_id.startswith("gone")]
            for sock in [stays, *left]:
                with contextlib.suppress(OSError):
                    sock.close()

    run(go)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_no_retry_follows_an_attempt_that_broke_after_its_client_left(disconnect: Disconnect) -> None:
    """While the node is busy, the client leaves and the engine breaks off the prefill."""

    async def go() -> None:
        may_break = asyncio.Event()

        async def break_prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await may_break.wait()
            writer.transport.abort()

        async with platform(r0=break_prefill, r1=break_prefill, w0=answer_decode) as p:
            sock = client(p, request("leaves"))
            await until(lambda: bool(attempts(p, "leaves")))
            may_break.set()
            await asyncio.sleep(0)
            disconnect(sock)
            # Afterwards the node can read that client and engine have disconnected, in either order.
            time.sleep(NO_ATTEMPT_AFTER_S)
            await wait_until_idle(p)
            assert len(attempts(p, "leaves")) == 1
            with contextlib.suppress(OSError):
                sock.close()

    run(go)


def test_an_attempt_cancelled_before_it_was_sent_is_retried() -> None:
    """The engine accepted no connection until the attempt timed out. The attempt never ran, so the request is
    retried at another engine, though requests of its class may not be repeated."""

    async def go() -> None:
        keyed = {**SETTINGS["classes"][0], "effect": "guarded", "keyScope": "zone", "dedupWindow": 1}
        limits = {**SETTINGS["limits"], "connectTimeout": 4_000_000}
        async with platform(
            {"settings": {"classes": [keyed], "limits": limits}}, m0=UnreachableEngine(), m1=answer_decode
        ) as p:
            p.publish(m1="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            reply_task = asyncio.ensure_future(p.send_request())
            await until(lambda: bool(p.relay.table.open))
            p.publish(m1="Ready")
            reply = await reply_task
            assert (reply.status, reply.is_complete, len(p.engines["m1"].received())) == (200, True, 1)

    run(go)
