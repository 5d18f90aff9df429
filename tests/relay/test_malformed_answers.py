"""Answers of engines that are malformed, or that belong to no request."""

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


def malformed(*parts: bytes) -> Script:
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
def test_a_stream_that_is_malformed_before_its_first_event_is_retried(parts: tuple[bytes, ...]) -> None:
    """The first decode engine answers with something that is no event stream; nothing has reached the client,
    so another engine gets the request."""

    async def go() -> None:
        tried: list[Seen] = []
        malformed_answer = malformed(*parts)

        async def malformed_at_first(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                tried.append(one)
            await (malformed_answer if len(tried) == 1 and one.method == "POST" else writes)(one, writer)

        async with platform(r0=reads, w0=malformed_at_first, w1=malformed_at_first) as p:
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
def test_a_stream_that_is_malformed_later_breaks_the_clients_answer(part: bytes) -> None:
    """The client has got events already, so there is no retry: its answer ends without the last chunk."""

    async def go() -> None:
        async with platform(r0=reads, w0=malformed(OPENING + chunk(TOKENS[0]), part), w1=hangs) as p:
            p.tell(w1="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            reply = await asyncio.wait_for(p.ask(), 5.0)
            assert (reply.status, reply.whole, reply.body) == (200, False, TOKENS[0])
            assert len(p.engines["w0"].asked()) == 1

    run(go, virtual=True)


def test_an_answer_to_no_request_reaches_no_client() -> None:
    """An engine sends a second answer on a connection after the one to its request."""

    async def go() -> None:
        async def sends_twice(one: Seen, writer: asyncio.StreamWriter) -> None:
            await writes(one, writer)
            await asyncio.sleep(0.005)
            writer.write(OPENING + chunk(b"data: not yours\n\n") + b"0\r\n\r\n")

        async with platform(r0=reads, w0=sends_twice) as p:
            for _ in range(6):
                reply = await p.ask()
                assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)

    run(go, virtual=True)
