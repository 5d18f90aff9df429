"""Input in very many small parts, on many connections at once: work in one iteration of the loop, memory.

The tests count work and bytes; they measure no time.
"""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import h2.config
import h2.connection
import pytest
from world import run, until

from tuliptrack.rpc import h1
from tuliptrack.rpc.channel import Channel, End, Options
from tuliptrack.rpc.core import Core
from tuliptrack.rpc.h1 import ClientSide, RequestBody, ServerSide
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool
from tuliptrack.rpc.server import Server

CONNECTIONS = 30
PARTS = 6_000
"""Parts that each connection sends; one read brings more than five thousand of them."""
MAX_PARTS_PER_ITERATION = 512
"""Parts of all connections together, at 20 us each: about 10 ms."""
CHUNKED_HEAD = b"POST /slow HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


class Work:
    """Counts how many parts are processed in one iteration of the loop, and the highest count so far."""

    def __init__(
        self, patch: pytest.MonkeyPatch, owner: Any, method: str, size: Callable[[Any], int] = lambda _: 1
    ) -> None:
        """Count each call of a method by the size of what it returns; by default as one."""
        self.highest = self.total = self._count = 0
        original: Callable[..., Any] = getattr(owner, method)

        def counted(*arguments: Any) -> Any:
            result = original(*arguments)
            self._count += size(result)
            self.total += size(result)
            return result

        patch.setattr(owner, method, counted)

    @asynccontextmanager
    async def watched(self) -> AsyncIterator[None]:
        async def watch() -> None:
            while True:
                self.highest = max(self.highest, self._count)
                self._count = 0
                await asyncio.sleep(0)  # until the next iteration

        task = asyncio.ensure_future(watch())
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def answer_length(call: HttpCall) -> None:
    call.respond(200, b"%d" % len(call.body))


# Guards against a node that serves nobody while it reads bodies in chunks of one byte.
def test_thirty_bodies_in_chunks_of_one_byte_share_the_work_of_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        server = HttpServer(answer_length, lambda call: None, HttpLimits(body_bytes=262_144))
        await server.listen()
        work = Work(monkeypatch, ServerSide, "next")
        clients = [await connect(server.address) for _ in range(CONNECTIONS)]
        async with work.watched():
            for _, writer in clients:
                writer.write(CHUNKED_HEAD + b"1\r\nx\r\n" * PARTS)
            await until(lambda: work.total > 4 * MAX_PARTS_PER_ITERATION)
            # A client that sends little is served meanwhile, and so is one that sends small chunks itself.
            processed = work.total
            for body in (b"", b"1\r\nx\r\n" * 500):
                reader, writer = await connect(server.address)
                writer.write(CHUNKED_HEAD + body + b"0\r\n\r\n")
                assert await asyncio.wait_for(reader.readuntil(b"%d" % (len(body) // 6)), 10)
                writer.close()
            assert work.total - processed < CONNECTIONS * PARTS // 2, (
                "served after the others, not among them"
            )
            for _, writer in clients:
                writer.write(b"0\r\n\r\n")
            for reader, writer in clients:
                assert b"\r\n\r\n%d" % PARTS in await asyncio.wait_for(reader.readuntil(b"%d" % PARTS), 20)
                writer.close()
        assert work.highest <= MAX_PARTS_PER_ITERATION
        await server.stop()

    run(go, 60)


# Guards against clients that wait for engines or discovery whose answers come in chunks of one byte.
def test_thirty_answers_in_chunks_of_one_byte_share_the_work_of_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * PARTS)
            writer.write(b"0\r\n\r\n")
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        pool = Pool(f"{host}:{port}", ClientOptions(), ConnectionBudget(CONNECTIONS))
        work = Work(monkeypatch, ClientSide, "next")
        bodies = [bytearray() for _ in range(CONNECTIONS)]
        ends: list[ExchangeOutcome] = []
        async with work.watched():
            for body in bodies:
                exchange = Exchange("GET", "/", [("host", "x")])
                exchange.on_data = body.extend
                exchange.on_end = lambda how, _: ends.append(how)
                pool.send(exchange)
            await until(lambda: len(ends) == CONNECTIONS, 50)
        assert ends == [ExchangeOutcome.ANSWER] * CONNECTIONS
        assert all(body == b"x" * PARTS for body in bodies)
        assert work.highest <= MAX_PARTS_PER_ITERATION
        await pool.close()
        server.close()

    run(go, 60)


# Guards against large heads that delay all connections, each of them a single part.
def test_header_fields_and_bytes_of_json_count_as_work_too(monkeypatch: pytest.MonkeyPatch) -> None:
    heads, fields, body_bytes = 4, 1_500, 100_000
    head = b"POST /large HTTP/1.1\r\nhost: x\r\n" + b"a:b\r\n" * fields + b"content-length: %d\r\n\r\n"

    async def go() -> None:
        server = HttpServer(
            answer_length, lambda call: None, HttpLimits(header_fields=2_048, body_bytes=262_144)
        )
        await server.listen()
        read_fields = Work(monkeypatch, h1, "_fields", len)
        handled: list[int] = []
        body_work = Work(monkeypatch, ServerSide, "next", lambda event: len(getattr(event, "data", b"")))
        server.handle = lambda call: (handled.append(len(call.body)), answer_length(call))  # type: ignore[func-returns-value, assignment]
        clients = [await connect(server.address) for _ in range(CONNECTIONS)]
        async with read_fields.watched(), body_work.watched():
            for _, writer in clients:
                writer.write(head % 0 * heads + head % body_bytes + b"x" * body_bytes)
            await until(lambda: len(handled) == CONNECTIONS * (heads + 1), 50)
        assert (
            read_fields.highest <= 8 * MAX_PARTS_PER_ITERATION + fields
        )  # The last step may exceed the limit.
        assert body_work.highest <= 4_096 * MAX_PARTS_PER_ITERATION
        for _, writer in clients:
            writer.close()
        await server.stop()

    run(go, 60)


# Guards against streams of tiny events in large chunks that delay all other connections.
def test_bytes_of_answers_count_as_work_too(monkeypatch: pytest.MonkeyPatch) -> None:
    answer_bytes = 100_000

    async def go() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % answer_bytes + b"x" * answer_bytes
            )
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        pool = Pool(f"{host}:{port}", ClientOptions(), ConnectionBudget(CONNECTIONS))
        work = Work(monkeypatch, ClientSide, "next", lambda event: len(getattr(event, "data", b"")))
        ends: list[ExchangeOutcome] = []
        async with work.watched():
            for _ in range(CONNECTIONS):
                exchange = Exchange("GET", "/", [("host", "x")])
                exchange.on_end = lambda how, _: ends.append(how)
                pool.send(exchange)
            await until(lambda: len(ends) == CONNECTIONS, 50)
        assert ends == [ExchangeOutcome.ANSWER] * CONNECTIONS and work.total == CONNECTIONS * answer_bytes
        assert work.highest <= 256 * MAX_PARTS_PER_ITERATION
        await pool.close()
        server.close()

    run(go, 60)


class FrameClient:
    """A gRPC client that writes frames as it likes, on an h2 connection of its own."""

    def __init__(self) -> None:
        self.h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))

    def call_in_small_frames(self, frames: int) -> bytes:
        """Return the bytes of a call whose message comes with one byte in each DATA frame."""
        self.h2.initiate_connection()
        stream = self.h2.get_next_available_stream_id()
        fields = [(":method", "POST"), (":scheme", "http"), (":path", "/s/m"), (":authority", "x")]
        self.h2.send_headers(stream, [*fields, ("content-type", "application/grpc"), ("te", "trailers")])
        for byte in b"\0" + frames.to_bytes(4, "big") + b"x" * (frames - 5):
            self.h2.send_data(stream, bytes([byte]))
        return self.h2.data_to_send()


# Guards against a gRPC node that serves nobody while it reads messages in DATA frames of one byte.
def test_calls_in_data_frames_of_one_byte_share_the_work_of_an_iteration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    frames = 4_000

    async def go() -> None:
        server = Server()
        server.add("s", "m", lambda call: None)
        server.add("s", "quick", lambda call: setattr(call, "on_half_close", call.reset))
        await server.listen()
        work = Work(monkeypatch, Core, "_receive_data")
        clients = [await connect(server.address) for _ in range(CONNECTIONS)]
        data = FrameClient().call_in_small_frames(frames)
        channel = Channel(server.address, Options())
        async with work.watched():
            for _, writer in clients:
                writer.write(data)
            await until(lambda: work.total > 4 * MAX_PARTS_PER_ITERATION)
            processed = work.total
            ends: list[End] = []
            channel.call("/s/quick", on_end=ends.append, message=b"")
            await until(lambda: bool(ends))
            assert work.total - processed < CONNECTIONS * frames // 2, (
                "served after the others, not among them"
            )
            await until(lambda: work.total >= CONNECTIONS * frames, 50)
        assert work.highest <= MAX_PARTS_PER_ITERATION
        await channel.close()
        for _, writer in clients:
            writer.close()
        await server.stop()

    run(go, 60)


# Guards against a body that takes many times its size of memory because of its small chunks.
def test_a_body_in_small_chunks_takes_no_more_memory_than_its_bytes() -> None:
    body_bytes, chunk = 40_000, b"2\r\nxy\r\n"
    side = ServerSide(16_384, 128, 262_144)
    side.receive(CHUNKED_HEAD)
    side.next()
    piece = chunk * 1_000
    tracemalloc.start()
    try:
        for _ in range(body_bytes // 2_000):  # tracemalloc makes each part ten times as slow
            side.receive(piece)
            while side.next() is not None:
                pass
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert used < 2 * body_bytes
    side.receive(b"0\r\n\r\n")
    assert side.next() == RequestBody(b"xy" * (body_bytes // 2))
