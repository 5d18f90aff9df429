"""What is owed in the instant in which something ends: a request, a connection, a node. Each test forces one
crossing."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import Any

import pytest
from relay_node import told
from relay_world import (
    OPENING,
    SETTINGS,
    STREAM,
    TOKENS,
    Seen,
    chunk,
    hangs,
    platform,
    read_reply,
    reads,
    request,
    writes,
)
from world import run, until

CLASS: dict[str, Any] = SETTINGS["classes"][0]


def one_class(**changes: Any) -> dict[str, Any]:
    """Settings whose one class differs from the usual one."""
    return {"settings": {"classes": [{**CLASS, **changes}]}}


async def hanging_reader(one: Seen, writer: asyncio.StreamWriter) -> None:
    """Takes releases, and requests whole, and never answers those."""
    await (reads if one.method == "DELETE" else hangs)(one, writer)


@pytest.mark.parametrize(("effect", "status"), [("free", 503), ("single_shot", 502)])
def test_a_read_that_is_out_as_the_node_ends_is_refused_only_where_it_may_run_twice(
    effect: str, status: int
) -> None:
    """Its engine hangs and has the whole request: whatever becomes of the connection, it may run yet."""

    async def go() -> None:
        async with platform(one_class(effect=effect), r0=hanging_reader, w0=writes) as p:
            reader, writer = await p.connect()
            writer.write(request("reading"))
            await until(lambda: bool(p.saw()))
            p.relay.conclude_open_requests()
            reply = await asyncio.wait_for(read_reply(reader), 5.0)
            assert (reply.status, reply.whole) == (status, True)
            writer.close()

    run(go, virtual=True)


def test_a_request_whose_last_byte_comes_with_its_clients_end_reaches_no_engine() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            for pieces in (1, 2, 7, 40):
                whole = request(f"pieces-{pieces}")
                _, writer = await p.connect()
                size = -(-len(whole) // pieces)
                for at in range(0, len(whole) - size, size):
                    writer.write(whole[at : at + size])
                    await asyncio.sleep(0)
                writer.write(whole[len(whole) - size :])
                writer.write_eof()  # In the same turn of the loop as the last byte.
                await until(lambda: not p.relay.front.server.links)
                writer.close()
            assert not p.saw("POST")
            assert (await p.ask()).whole

    run(go, virtual=True)


def test_connections_that_are_reset_right_after_they_were_accepted_leave_nothing_behind() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            host, _, port = p.relay.front.server.address.rpartition(":")
            for number in range(60):
                with socket.create_connection((host, int(port))) as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    if number % 3:
                        sock.sendall(request(f"reset-{number}")[: number % 3 * 100])
                await asyncio.sleep(0)
            await until(lambda: not p.relay.front.server.links)
            assert not p.saw("POST")
            assert (await p.ask()).whole

    run(go, virtual=True)


@pytest.mark.parametrize(
    "half", [b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\ncontent-ty", OPENING + b"1", OPENING + chunk(TOKENS[0])[:9]]
)
def test_half_a_line_from_an_engine_that_ends_is_an_attempt_that_failed(half: bytes) -> None:
    async def go() -> None:
        tried: list[str] = []

        async def half_at_first(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST" and not tried:
                tried.append(one.call_id)
                writer.write(half)
                writer.close()
                return
            await writes(one, writer)

        async with platform(r0=reads, w0=half_at_first, w1=half_at_first) as p:
            reply = await p.ask()
            assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)
            assert len(tried) == 1

    run(go, virtual=True)


def test_a_client_that_leaves_as_half_a_line_comes_from_its_engine_ends_alone() -> None:
    async def go() -> None:
        begun: list[asyncio.StreamWriter] = []

        async def half_a_line(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.call_id == "leaves":
                writer.write(OPENING + chunk(TOKENS[0]))
                begun.append(writer)
                await hangs(one, writer)
            await writes(one, writer)

        async with platform(r0=reads, w0=half_a_line) as p:
            reader, writer = await p.connect()
            writer.write(request("leaves"))
            await until(lambda: bool(begun))
            await reader.readuntil(TOKENS[0])
            writer.close()
            begun[0].write(chunk(TOKENS[1])[:7])
            await until(lambda: not p.relay.table.open)
            assert (await p.ask()).whole

    run(go, virtual=True)


def test_signals_that_come_again_while_the_node_ends_change_nothing(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            path = tmp_path / "config.json"
            path.write_text(told("127.0.0.1:9"))
            monkeypatch.setenv("RELAY_CONFIG", str(path))
            first = asyncio.ensure_future(p.relay.stop(0.2, 0.1))
            await asyncio.sleep(0)
            p.relay.reload()
            again = asyncio.ensure_future(p.relay.stop(0.2, 0.0))
            await asyncio.wait_for(asyncio.gather(first, again), 5.0)
            p.relay.reload()  # Nothing is asked any more.
            assert p.relay.source.address == "127.0.0.1:9"

    run(go, virtual=True)
