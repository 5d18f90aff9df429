"""The HTTP/1.1 server and client pool: arbitrary chunks, garbage, limits, evictions and orderly closes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as examples
from hypothesis import strategies as st
from world import run, until

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.rpc import http1_connection
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Rejection
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool

REQUESTS = (
    b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
    b"POST /b HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    b"GET /stream HTTP/1.1\r\nhost: x\r\n\r\n"
    b"POST /c HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


def echo(call: HttpCall) -> None:
    if call.target == "/stream":
        call.start(200, "text/event-stream")
        for n in range(3):
            call.send(b"data: %d\n\n" % n)
        call.end()
    elif call.target == "/wait":
        call.on_cancelled = gone.append
    else:
        call.respond(200, json.dumps([call.target, call.body.decode("latin-1")]).encode())


gone: list[str] = []


def reject_early(call: HttpCall) -> Rejection | None:
    return Rejection(503, "no") if call.target == "/never" else None


async def talk(server: HttpServer, pieces: list[bytes]) -> bytes:
    """Send these pieces in separate writes; return all that the server sends until it closes the
    connection.
    """
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        if writer.can_write_eof():
            writer.write_eof()
        return await asyncio.wait_for(reader.read(-1), 10)
    except OSError:
        return b""
    finally:
        writer.close()


def without_dates(data: bytes) -> bytes:
    return b"\r\n".join(line for line in data.split(b"\r\n") if not line.lower().startswith(b"date:"))


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(p % (len(data) + 1) for p in places)})
    return [data[a:b] for a, b in pairwise(edges)]


@examples(max_examples=40, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.integers(0, 10_000), max_size=30))
def test_answers_do_not_depend_on_how_the_bytes_come(places: list[int]) -> None:
    async def go() -> None:
        budget = ByteBudget(10_000)
        server = HttpServer(echo, reject_early, HttpLimits(), budget)
        await server.listen()
        whole = without_dates(await talk(server, [REQUESTS]))
        assert (
            whole.count(b"HTTP/1.1 200") == 4
            and b'["/a", "hello"]' in whole
            and b'["/b", "abcdefg"]' in whole
        )
        assert b"9\r\ndata: 2\n\n\r\n0\r\n\r\n" in whole
        assert without_dates(await talk(server, cut(REQUESTS, places))) == whole
        await server.stop()
        assert budget.used_bytes == 0 and not server.links

    run(go)


@examples(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.integers(0, 10_000), max_size=4), st.binary(max_size=60), st.integers(0, len(REQUESTS)))
def test_garbage_ends_its_own_connection_and_nothing_else(places: list[int], junk: bytes, at: int) -> None:
    async def go() -> None:
        budget = ByteBudget(10_000)
        server = HttpServer(
            echo,
            reject_early,
            HttpLimits(body_bytes=3_000, header_bytes=500, request_timeout=300_000),
            budget,
        )
        await server.listen()
        await talk(server, cut(REQUESTS[:at] + junk + REQUESTS[at:], places))
        assert (await talk(server, [REQUESTS])).count(b"HTTP/1.1 200") == 4
        await until(lambda: not server.links)
        await server.stop()
        assert budget.used_bytes == 0

    run(go)


def test_early_rejections_the_connection_limit_and_a_disconnect_while_waiting() -> None:
    async def go() -> None:
        server = HttpServer(echo, reject_early, HttpLimits(connections=2, header_bytes=500))
        await server.listen()
        answer = await talk(
            server,
            [b"POST /never HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\nexpect: 100-continue\r\n\r\n"],
        )
        assert answer.startswith(b"HTTP/1.1 503") and b"100 Continue" not in answer
        assert (await talk(server, [b"GET /" + b"x" * 1000])).startswith(b"HTTP/1.1 431")
        gone.clear()
        host, _, port = server.address.rpartition(":")
        await until(lambda: not server.links)
        waiting = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
        for _, writer in waiting:
            writer.write(b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n")
        await until(lambda: len([k for k in server.links if k.call]) == 2)
        assert (
            await talk(server, [b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"]) == b""
        )  # a third connection is closed immediately
        waiting[0][1].close()
        await until(lambda: len(gone) == 1)
        await server.stop(0.0)
        assert gone == ["the client has closed its connection", "server stopped"]
        waiting[1][1].close()

    run(go)


def test_a_client_that_pipelines_hundreds_of_requests_delays_no_other() -> None:
    async def go() -> None:
        order: list[str] = []

        def handle(call: HttpCall) -> None:
            order.append(call.target)
            call.respond(200, b"")

        server = HttpServer(handle, reject_early)
        await server.listen()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        _, other_writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /many HTTP/1.1\r\nhost: x\r\n\r\n" * 500)
        other_writer.write(b"GET /one HTTP/1.1\r\nhost: x\r\n\r\n")
        await until(lambda: len(order) == 501)
        assert order.index("/one") < 50
        got = b""
        while got.count(b"HTTP/1.1 200") < 500:
            got += await asyncio.wait_for(reader.read(65_536), 5)
        writer.close()
        other_writer.close()
        await server.stop()

    run(go)


async def dial(server: HttpServer) -> socket.socket:
    """Open a connection; nothing is read from it until the test does so."""
    host, _, port = server.address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def read_all(sock: socket.socket, pause: float = 0.0) -> bytes:
    """Read until the server closes; raise OSError if the connection is reset."""
    loop, got = asyncio.get_running_loop(), b""
    while part := await asyncio.wait_for(loop.sock_recv(sock, 65_536), 10):
        got += part
        await asyncio.sleep(pause)
    return got


# Bytes of a body that is rejected because of its head, or of requests that are not answered.
UNREAD_BYTES = b"x" * 400_000
REQUESTS_THAT_CLOSE = {
    "refused from the head": b"POST /never HTTP/1.1\r\nhost: x\r\ncontent-length: 900000\r\n\r\n"
    + UNREAD_BYTES,
    "can't be read": b"\x00\x01\r\n\r\n" + UNREAD_BYTES,
    "too long": b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 90000000\r\n\r\n" + UNREAD_BYTES,
    "the last answer": b"GET /large HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n" + UNREAD_BYTES,
    "cut in mid-answer": b"GET /cut HTTP/1.1\r\nhost: x\r\n\r\n" + UNREAD_BYTES,
}


@pytest.mark.parametrize("name", REQUESTS_THAT_CLOSE)
def test_a_close_with_unread_input_loses_no_part_of_the_answer(name: str) -> None:
    """The client keeps writing and reads late: a reset would discard the answer that was sent to it."""
    handled: list[str] = []

    def handle(call: HttpCall) -> None:
        handled.append(call.target)
        call.start(200, "text/event-stream")
        call.send(b"#" * 150_000)
        (call.abort if call.target == "/cut" else call.end)()

    async def go() -> None:
        server = HttpServer(handle, reject_early, HttpLimits())
        await server.listen()
        sock = await dial(server)
        writing = asyncio.ensure_future(
            asyncio.get_running_loop().sock_sendall(sock, REQUESTS_THAT_CLOSE[name])
        )
        await asyncio.sleep(0.1)
        got = await read_all(sock, 0.01)
        assert got.startswith(b"HTTP/1.1 ") and got.count(b"HTTP/1.1 ") == 1
        if handled:
            assert got.count(b"#") == 150_000 and got.endswith(b"0\r\n\r\n") == (name == "the last answer")
        else:
            assert b" 4" in got[:12] or b" 5" in got[:12]
            assert got.endswith(b"}")
        assert len(handled) == (name in ("the last answer", "cut in mid-answer"))
        writing.cancel()
        sock.close()
        await until(lambda: not server.links)
        await server.stop()

    run(go)


def test_a_request_that_arrives_while_its_connection_is_closed_is_not_processed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http1_connection, "LINGER_S", 0.3)
    handled: list[str] = []

    def handle(call: HttpCall) -> None:
        handled.append(call.target)
        call.respond(200, b"{}")

    async def go() -> None:
        server = HttpServer(handle, reject_early, HttpLimits())
        await server.listen()
        loop = asyncio.get_running_loop()
        resting, silent, flood = [await dial(server) for _ in range(3)]
        for sock in (resting, flood):
            await loop.sock_sendall(sock, b"GET /once HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await loop.sock_recv(sock, 65_536)).startswith(b"HTTP/1.1 200")
        await until(lambda: len(server.links) == 3)
        server.close_idle_connections()
        for sock in (resting, silent):
            await loop.sock_sendall(sock, b"GET /late HTTP/1.1\r\nhost: x\r\n\r\n")
        with contextlib.suppress(OSError):  # The server reads a bounded amount after the close.
            await asyncio.wait_for(loop.sock_sendall(flood, b"x" * 20_000_000), 5)
            raise AssertionError("all input was read")
        for sock in (resting, silent):
            assert await read_all(sock) == b"", (
                "the end without an answer, so that the request may be retried"
            )
        await until(lambda: not server.links, 3)  # The clients `resting` and `silent` have not closed.
        assert handled == ["/once", "/once"]
        for sock in (resting, silent, flood):
            sock.close()
        await server.stop()

    run(go)


# Guards against memory that grows with the connections: each may pipeline, but all together only so much.
def test_pipelined_bytes_of_all_connections_together_are_bounded() -> None:
    calls: list[HttpCall] = []

    async def go() -> None:
        budget = ByteBudget(100_000)
        server = HttpServer(calls.append, reject_early, HttpLimits(), None, budget)
        await server.listen()
        loop = asyncio.get_running_loop()
        socks = [await dial(server) for _ in range(20)]
        first = b"POST /first HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n" + b"z" * 1_000
        for sock in socks:
            await loop.sock_sendall(sock, first)
        await until(lambda: len(calls) == len(socks))
        for sock in socks:
            await loop.sock_sendall(sock, first * 40)
        await until(lambda: budget.rejections >= len(socks) // 2)
        assert sum(link.side.buffered_bytes for link in server.links) <= budget.limit_bytes
        answered = 0
        while answered < len(calls):  # What was kept is answered in order, whatever was discarded behind it.
            calls[answered].respond(200, b"")
            answered += 1
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for sock in socks:
            sock.close()
        await until(lambda: not server.links)
        assert answered > len(socks) and budget.used_bytes == 0

    run(go)


def test_pipelined_bytes_are_bounded_and_the_buffered_requests_are_answered_in_order() -> None:
    calls: list[HttpCall] = []

    async def go() -> None:
        server = HttpServer(calls.append, reject_early, HttpLimits())
        await server.listen()
        loop, sock = asyncio.get_running_loop(), await dial(server)
        heads = [b"POST /%d HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n" % n for n in range(3_000)]
        pipelined = b"".join(head + b"z" * 1_000 for head in heads)
        await asyncio.wait_for(loop.sock_sendall(sock, pipelined), 10)
        (link,) = server.links
        assert link.side.buffered_bytes < 65_536 + 262_144 + 1_100  # the bound, and one read from the socket
        answered = 0
        while server.links and answered < 3_000:
            await until(lambda answered=answered: len(calls) > answered or not server.links)  # type: ignore[misc]
            if len(calls) > answered:
                calls[answered].respond(200, calls[answered].target.encode())
                answered += 1
        got = await read_all(sock)
        assert 50 < answered < 400 and got.count(b"HTTP/1.1 200") == answered
        assert [call.target for call in calls] == [f"/{n}" for n in range(answered)]
        sock.close()
        await server.stop()

    run(go)


def test_silent_connections_are_evicted_before_clients_that_were_served() -> None:
    async def go() -> None:
        server = HttpServer(echo, reject_early, HttpLimits(connections=4))
        await server.listen()
        loop = asyncio.get_running_loop()
        served = [await dial(server) for _ in range(2)]
        for _ in range(2):
            for sock in served:
                await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
                assert (await loop.sock_recv(sock, 65_536)).startswith(b"HTTP/1.1 200")
            flood = [await dial(server) for _ in range(10)]
            await until(lambda: server.evictions >= 8)
            for sock in flood:
                sock.close()
        for sock in served:
            sock.close()
        await server.stop()

    run(go)


def test_a_connection_with_an_unread_request_is_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request arrives just when its connection, the one idle for longest, would be closed to make room
    for a new one.
    """

    async def go() -> None:
        server = HttpServer(echo, reject_early, HttpLimits(connections=2))
        await server.listen()
        loop = asyncio.get_running_loop()
        served = [await dial(server) for _ in range(2)]
        ask = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
        for sock in served:
            await loop.sock_sendall(sock, ask)
            assert (await loop.sock_recv(sock, 65_536)).startswith(b"HTTP/1.1 200")
        admit = server.admit

        def crossing(link: Any) -> bool:
            served[0].send(ask)
            return admit(link)

        monkeypatch.setattr(server, "admit", crossing)
        late = await dial(server)
        assert (await asyncio.wait_for(loop.sock_recv(served[0], 65_536), 5)).startswith(b"HTTP/1.1 200")
        assert server.evictions == 1
        with contextlib.suppress(ConnectionResetError):  # The other served connection was evicted.
            assert not await asyncio.wait_for(loop.sock_recv(served[1], 65_536), 5)
        for sock in (*served, late):
            sock.close()
        await server.stop()

    run(go)


def test_a_connection_with_buffered_requests_is_not_evicted() -> None:
    """The client has pipelined many requests; an eviction is considered while the server buffers some."""
    request_count, evictables = 40, []

    async def go() -> None:
        def handle(call: HttpCall) -> None:
            call.respond(200, b"{}")
            asyncio.get_running_loop().call_soon(lambda: evictables.append(server._find_evictable()))

        server = HttpServer(handle, reject_early, HttpLimits(connections=2))
        await server.listen()
        loop, sock = asyncio.get_running_loop(), await dial(server)
        await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n" * request_count)
        got = b""
        while got.count(b"HTTP/1.1 200") < request_count:
            got += await asyncio.wait_for(loop.sock_recv(sock, 65_536), 5)
        assert len(evictables) == request_count
        assert all(evictable is None for evictable in evictables[: request_count - 8]), (
            "requests are buffered: the connection stays"
        )
        assert server._find_evictable() is not None, "no request is buffered: it may be evicted"
        sock.close()
        await server.stop()

    run(go)


def test_no_request_is_sent_on_a_pooled_connection_that_its_peer_has_just_closed() -> None:
    """The loop has not read the close yet: a request sent on that connection would end as a reset,
    and might count as processed.
    """

    async def go() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        pool = Pool("{}:{}".format(*listener.getsockname()), ClientOptions(rest=0), ConnectionBudget(4))
        answers: list[tuple[ExchangeOutcome, int]] = []

        def ask() -> Exchange:
            exchange = Exchange("POST", "/a", [("host", "x")], b"{}")
            exchange.on_end = lambda how, reason: answers.append((how, exchange.status))
            pool.send(exchange)
            return exchange

        async def serve() -> socket.socket:
            sock, _ = await loop.sock_accept(listener)
            assert (await loop.sock_recv(sock, 65_536)).startswith(b"POST /a")
            await loop.sock_sendall(sock, b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n")
            return sock

        ask()
        first = await serve()
        await until(lambda: len(pool.idle) == 1)
        first.close()
        ask()  # Runs in the same iteration of the loop as the close.
        second = await asyncio.wait_for(serve(), 5)
        await until(lambda: len(answers) == 2)
        assert answers == [(ExchangeOutcome.ANSWER, 202)] * 2
        await pool.close()
        second.close()
        listener.close()

    run(go)
