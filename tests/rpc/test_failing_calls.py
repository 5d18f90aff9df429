"""Listeners and connections whose system calls fail for a while, with each error that Linux documents."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import selectors
import socket
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from relay_harness import UnreachableEngine
from world import run, until

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.lab.soak.shim import CallFaults, FaultySelector, FaultySocket
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool
from tuliptrack.rpc.loop_errors import log_loop_errors
from tuliptrack.rpc.server import Server

ACCEPT = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
)
LOCAL_RESOURCE_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
LOCAL_NETWORK_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH)
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(3) + b"\x04" + bytes(5)
"""The first bytes of a client: the preface, and an empty SETTINGS frame."""
RECOVERY_S = 0.05
"""Seconds after the end of the failures within which connections are accepted again."""


def log_loop_errors_of(go: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on a loop that logs unhandled errors as a node does."""

    async def whole() -> None:
        log_loop_errors(asyncio.get_running_loop())
        await go()

    run(whole)


@pytest.fixture
def faults(monkeypatch: pytest.MonkeyPatch) -> Iterator[CallFaults]:
    """The injected failures; none at first."""
    made = CallFaults(
        create=(),
        accept=(),
        connect=(),
        broken=(),
        close=(),
        shutdown=(),
        interrupts=False,
        random=random.Random(3),
    )
    monkeypatch.setattr(FaultySocket, "faults", made)
    monkeypatch.setattr(socket, "socket", FaultySocket)
    monkeypatch.setattr(selectors, "DefaultSelector", FaultySelector)
    yield made


def respond(call: HttpCall) -> None:
    call.respond(200, b"{}")


async def serve() -> HttpServer:
    log_loop_errors(asyncio.get_running_loop())
    server = HttpServer(respond, lambda call: None, HttpLimits(), ByteBudget(1 << 20))
    await server.listen()
    return server


async def request_seconds(address: str) -> float:
    """Send a request on a new connection; return the seconds until its answer."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    assert b"200" in await reader.readuntil(b"\r\n")
    writer.close()
    return loop.time() - began


@pytest.mark.parametrize("number", ACCEPT, ids=[errno.errorcode[n] for n in ACCEPT])
def test_the_http_listener_recovers_immediately_from_any_error_of_accept(
    number: int, faults: CallFaults, caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str]
) -> None:
    async def go() -> None:
        server = await serve()
        faults.accept = (number,)
        for _ in range(3):  # The failures recur, as asyncio's own listener pauses at each.
            faults.share = 1.0
            waiting = asyncio.ensure_future(request_seconds(server.address))
            await asyncio.sleep(0.15)
            assert not waiting.done() and faults.failed
            faults.share = 0.0
            ended = asyncio.get_running_loop().time()
            await waiting
            assert asyncio.get_running_loop().time() - ended < RECOVERY_S
        assert faults.failed < 400, "a busy loop"
        await server.stop()

    run(go)
    assert not caplog.records, "asyncio has logged something"
    said = capsys.readouterr().out + capsys.readouterr().err
    assert said.count("can't be accepted") <= 3 and "Traceback" not in said


async def open_grpc_connection(address: str) -> None:
    """Open a connection to a gRPC server and read its first frame header."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(HTTP2_PREFACE)
    assert await reader.readexactly(9)
    writer.close()


def test_the_grpc_listener_recovers_immediately_from_any_error_of_accept(
    faults: CallFaults, caplog: pytest.LogCaptureFixture
) -> None:
    async def go() -> None:
        server = Server()
        address = await server.listen()
        for number in ACCEPT:
            faults.accept, faults.share = (number,), 1.0
            waiting = asyncio.ensure_future(open_grpc_connection(address))
            await asyncio.sleep(0.15)
            assert not waiting.done() and faults.failed
            faults.share = 0.0
            ended = asyncio.get_running_loop().time()
            await waiting
            assert asyncio.get_running_loop().time() - ended < RECOVERY_S, errno.errorcode[number]
        assert faults.failed < 100 * len(ACCEPT), "a busy loop"
        await server.stop()

    run(go)
    assert not caplog.records, "asyncio has logged something"


def test_short_reads_and_writes_change_nothing(faults: CallFaults) -> None:
    async def go() -> None:
        server = await serve()
        faults.share = 0.5
        for _ in range(20):
            await request_seconds(server.address)
        faults.share = 0.0
        await server.stop()

    run(go)


async def exchange_while(
    pool: Pool, faults: CallFaults, call: str, number: int, seconds: float
) -> tuple[ExchangeOutcome, bool, int]:
    """Run an exchange while a system call that opens its connection keeps failing, for `seconds`.

    Returns:
        How the exchange ended, whether the failure concerns only its connection, and the number of
        failed calls.
    """
    setattr(faults, call, (number,))
    faults.share, faults.failed = 1.0, 0
    asyncio.get_running_loop().call_later(seconds, lambda: setattr(faults, "share", 0.0))
    ended: asyncio.Future[ExchangeOutcome] = asyncio.get_running_loop().create_future()
    exchange = Exchange("GET", "/", [("host", "a")])
    exchange.on_end = lambda how, reason: ended.set_result(how)
    pool.send(exchange)
    how = await ended
    faults.share = 0.0
    return how, exchange.is_connection_only, faults.failed


OPENING = [("create", number) for number in LOCAL_RESOURCE_ERRORS] + [
    ("connect", number) for number in (*LOCAL_RESOURCE_ERRORS, *LOCAL_NETWORK_ERRORS)
]


@pytest.mark.parametrize(
    ("call", "number"), OPENING, ids=[f"{call} {errno.errorcode[n]}" for call, n in OPENING]
)
def test_a_local_shortage_fails_no_attempt_if_short_and_does_not_count_against_the_engine_if_long(
    call: str, number: int, faults: CallFaults
) -> None:
    async def go() -> None:
        server = await serve()
        pool = Pool(server.address, ClientOptions(connect_timeout=250_000), ConnectionBudget(4))
        how, _, tries = await exchange_while(pool, faults, call, number, 0.1)
        assert how is ExchangeOutcome.ANSWER and 1 <= tries < 20
        pool.close_idle()
        how, is_connection_only, _ = await exchange_while(pool, faults, call, number, 1.0)
        assert how is (
            ExchangeOutcome.RESOURCE_EXHAUSTED if number in LOCAL_RESOURCE_ERRORS else ExchangeOutcome.CONNECT
        )
        assert how is ExchangeOutcome.RESOURCE_EXHAUSTED or is_connection_only, (
            "the failure counts against the engine"
        )
        await pool.close()
        assert pool.connections.open_count == 0
        await server.stop()

    run(go)


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH], ids=["ETIMEDOUT", "EHOSTUNREACH"])
def test_a_connection_that_breaks_in_an_unusual_way_ends_its_exchange(
    number: int, faults: CallFaults
) -> None:
    async def go() -> None:
        taken = asyncio.Event()
        server = HttpServer(lambda call: taken.set(), lambda call: None, HttpLimits(), ByteBudget(1 << 20))
        await server.listen()
        pool = Pool(server.address, ClientOptions(), ConnectionBudget(4))
        ended: asyncio.Future[tuple[ExchangeOutcome, str]] = asyncio.get_running_loop().create_future()
        exchange = Exchange("GET", "/", [("host", "a")])
        exchange.on_end = lambda how, reason: ended.set_result((how, reason))
        pool.send(exchange)
        await taken.wait()
        [connection] = pool.links
        connection.connection_lost(OSError(number, os.strerror(number)))
        how, reason = await ended
        assert how is ExchangeOutcome.RESET and os.strerror(number) in reason
        await pool.close()
        await server.stop()

    run(go)


@pytest.mark.parametrize("number", [errno.EINTR, errno.EIO], ids=["EINTR", "EIO"])
def test_a_failed_close_still_closes_the_connection(
    number: int, faults: CallFaults, caplog: pytest.LogCaptureFixture
) -> None:
    async def go() -> None:
        server = await serve()
        pool = Pool(server.address, ClientOptions(), ConnectionBudget(4))
        faults.close, faults.share = (number,), 1.0
        for _ in range(3):
            ended: asyncio.Future[ExchangeOutcome] = asyncio.get_running_loop().create_future()
            exchange = Exchange("GET", "/", [("host", "a")])
            exchange.on_end = lambda how, reason, ended=ended: ended.set_result(how)  # type: ignore[misc]
            pool.send(exchange)
            assert await ended is ExchangeOutcome.ANSWER
            pool.close_idle()
        await until(lambda: not server.links and not pool.links)
        assert pool.connections.open_count == 0 and faults.failed >= 6
        await pool.close()
        await server.stop()
        faults.share = 0.0

    run(go)
    assert not caplog.records, "asyncio has logged something"


def test_a_dial_cancelled_while_closes_fail_ends_its_exchange(
    faults: CallFaults, caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str]
) -> None:
    """If closing the socket fails, asyncio raises IndexError in place of the cancellation or the timeout."""

    async def go() -> None:
        nobody = await UnreachableEngine().start()
        pool = Pool(nobody.address, ClientOptions(connect_timeout=100_000), ConnectionBudget(4))
        faults.close, faults.share = (errno.EIO,), 1.0
        for _ in range(3):
            ended: asyncio.Future[ExchangeOutcome] = asyncio.get_running_loop().create_future()
            exchange = Exchange("GET", "/", [("host", "a")])
            exchange.on_end = lambda how, reason, ended=ended: ended.set_result(how)  # type: ignore[misc]
            pool.send(exchange)
            assert await asyncio.wait_for(ended, 5) is ExchangeOutcome.CONNECT
        await until(lambda: pool.connections.open_count == 0, 2)
        faults.share = 0.0
        await pool.close()
        await nobody.stop()

    log_loop_errors_of(go)
    assert not caplog.records and "Traceback" not in capsys.readouterr().out


def test_a_failed_shutdown_of_writing_closes_only_its_connection(
    faults: CallFaults, caplog: pytest.LogCaptureFixture
) -> None:
    async def go() -> None:
        server = await serve()
        faults.shutdown = (errno.ENOTCONN,)
        faults.share = 1.0
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        assert b"200" in await asyncio.wait_for(reader.read(), 5)
        writer.close()
        await until(lambda: not server.links)
        faults.share = 0.0
        await request_seconds(server.address)
        await server.stop()

    run(go)
    assert not caplog.records, "asyncio has logged something"


def test_interrupted_waits_change_nothing(faults: CallFaults) -> None:
    async def go() -> None:
        server = await serve()
        faults.interrupts, faults.share = True, 0.5
        for _ in range(20):
            await asyncio.wait_for(request_seconds(server.address), 5)
        faults.share = 0.0
        assert faults.failed
        await server.stop()

    run(go)
