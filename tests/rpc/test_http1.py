"""The HTTP/1 shell at arbitrary chunking and with garbage: the same answers however bytes come, and nothing stops it."""

from __future__ import annotations

import asyncio
import json
from itertools import pairwise

from hypothesis import HealthCheck, given
from hypothesis import settings as examples
from hypothesis import strategies as st
from world import run, until

from tuliptrack.decisions.gate import Meter
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Refusal

REQUESTS = (b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"
            b"POST /b HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
            b"GET /stream HTTP/1.1\r\nhost: x\r\n\r\n"
            b"POST /c HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")


def echo(call: HttpCall) -> None:
    if call.target == "/stream":
        call.start(200, "text/event-stream")
        for n in range(3):
            call.send(b"data: %d\n\n" % n)
        call.end()
    elif call.target == "/wait":
        call.on_gone = gone.append
    else:
        call.respond(200, json.dumps([call.target, call.body.decode("latin-1")]).encode())


gone: list[str] = []


def early(call: HttpCall) -> Refusal | None:
    return Refusal(503, "no") if call.target == "/never" else None


async def talk(server: HttpServer, pieces: list[bytes]) -> bytes:
    """Send these pieces, each as a write of its own; all that comes back until the server closes."""
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
        meter = Meter(10_000)
        server = HttpServer(echo, early, HttpLimits(), meter)
        await server.listen()
        whole = without_dates(await talk(server, [REQUESTS]))
        assert whole.count(b"HTTP/1.1 200") == 4 and b'["/a", "hello"]' in whole and b'["/b", "abcdefg"]' in whole
        assert b"9\r\ndata: 2\n\n\r\n0\r\n\r\n" in whole
        assert without_dates(await talk(server, cut(REQUESTS, places))) == whole
        await server.stop()
        assert meter.held == 0 and not server.links

    run(go)


@examples(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(st.integers(0, 10_000), max_size=4), st.binary(max_size=60), st.integers(0, len(REQUESTS)))
def test_garbage_ends_its_own_connection_and_nothing_else(places: list[int], junk: bytes, at: int) -> None:
    async def go() -> None:
        meter = Meter(10_000)
        server = HttpServer(echo, early, HttpLimits(body_bytes=3_000, header_bytes=500, request_within=300_000), meter)
        await server.listen()
        await talk(server, cut(REQUESTS[:at] + junk + REQUESTS[at:], places))
        assert (await talk(server, [REQUESTS])).count(b"HTTP/1.1 200") == 4
        await until(lambda: not server.links)
        await server.stop()
        assert meter.held == 0

    run(go)


def test_what_is_refused_early_and_who_leaves_while_waiting() -> None:
    async def go() -> None:
        server = HttpServer(echo, early, HttpLimits(connections=2, header_bytes=500))
        await server.listen()
        told = await talk(server, [b"POST /never HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\nexpect: 100-continue\r\n\r\n"])
        assert told.startswith(b"HTTP/1.1 503") and b"100 Continue" not in told
        assert (await talk(server, [b"GET /" + b"x" * 1000])).startswith(b"HTTP/1.1 431")
        gone.clear()
        host, _, port = server.address.rpartition(":")
        await until(lambda: not server.links)
        waiting = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
        for _, writer in waiting:
            writer.write(b"GET /wait HTTP/1.1\r\nhost: x\r\n\r\n")
        await until(lambda: len([k for k in server.links if k.call]) == 2)
        assert await talk(server, [b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"]) == b""  # a third connection is closed at once
        waiting[0][1].close()
        await until(lambda: len(gone) == 1)
        await server.stop(0.0)
        assert gone == ["the client has closed its connection", "server stopped"]
        waiting[1][1].close()

    run(go)


def test_who_sends_hundreds_at_once_holds_up_nobody() -> None:
    async def go() -> None:
        order: list[str] = []

        def handle(call: HttpCall) -> None:
            order.append(call.target)
            call.respond(200, b"")

        server = HttpServer(handle, early)
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
