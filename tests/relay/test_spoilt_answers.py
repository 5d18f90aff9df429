"""Answers of engines that can't be used, or that nobody asked for."""

from __future__ import annotations

import asyncio

import pytest
from relay_world import (
    OPENING,
    STREAM,
    TOKENS,
    Script,
    Seen,
    chunk,
    hangs,
    platform,
    reads,
    writes,
)
from world import run, until


def spoilt(*parts: bytes) -> Script:
    async def script(one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            await reads(one, writer)
            return
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        await asyncio.Event().wait()

    return script


@pytest.mark.parametrize(
    "parts",
    [
        (b"\x00\xff\x13noise\r\n\r\n",),
        (b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000,),
        (OPENING + b"zz\r\n",),
        (OPENING + b"5\r\nhello world, this does not fit\r\n",),
        (OPENING + chunk(b"never an end " * 6_000),),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 40,),
        (OPENING + b"0\r\n\r\n",),
    ],
    ids=[
        "noise",
        "head without end",
        "chunk size",
        "chunk that does not fit",
        "event without end",
        "1xx for ever",
        "empty",
    ],
)
def test_a_stream_spoilt_before_its_first_event_is_tried_elsewhere(parts: tuple[bytes, ...]) -> None:
    async def go() -> None:
        tried: list[Seen] = []
        bad = spoilt(*parts)

        async def first_bad(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                tried.append(one)
            await (bad if len(tried) == 1 and one.method == "POST" else writes)(one, writer)

        async with platform(r0=reads, w0=first_bad, w1=first_bad) as p:
            reply = await p.ask()
            assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)
            assert len(tried) == 2

    run(go, virtual=True)


@pytest.mark.parametrize(
    "part",
    [
        b"zz\r\n",
        b"b2d05e00\r\n" + b"data: x" * 50_000,
        b"4\r\nnot what it says\r\n",
        chunk(b"no event\n\n"),
        chunk(b"data: cut") + b"0\r\n\r\n",
    ],
)
def test_a_stream_spoilt_later_ends_the_clients_connection_without_its_last_chunk(part: bytes) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=spoilt(OPENING + chunk(TOKENS[0]), part), w1=hangs) as p:
            p.tell(w1="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            reply = await asyncio.wait_for(p.ask(), 5.0)
            assert (reply.status, reply.whole, reply.body) == (200, False, TOKENS[0])
            assert len(p.engines["w0"].asked()) == 1

    run(go, virtual=True)


def test_what_an_engine_sends_unasked_reaches_no_other_request() -> None:
    async def go() -> None:
        async def talks_on(one: Seen, writer: asyncio.StreamWriter) -> None:
            await writes(one, writer)
            await asyncio.sleep(0.005)
            writer.write(OPENING + chunk(b"data: not yours\n\n") + b"0\r\n\r\n")

        async with platform(r0=reads, w0=talks_on) as p:
            for _ in range(6):
                reply = await p.ask()
                assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)

    run(go, virtual=True)
