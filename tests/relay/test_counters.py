"""What a node counts, as operators read it, and what its log tells of one request."""

from __future__ import annotations

import asyncio
import json

import pytest
from relay_world import Seen, platform, reads, request, writes
from world import run, until


def test_counters_tell_what_was_answered_and_what_was_let_go(capsys: pytest.CaptureFixture[str]) -> None:
    async def go() -> None:
        async def slow(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                await asyncio.sleep(0.5)
            await writes(one, writer)

        async with platform(r0=reads, w0=slow) as p:
            assert (await p.say(request("counted"))).status == 200
            await until(lambda: not p.relay.table.open)
            reply = await p.say(b"GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n")
            counted = json.loads(reply.body)
            assert counted["requests_served"] == 1 and counted["releases_beside_attempts"] == 1
            assert counted["connections_made"] >= 2 and counted["open_requests"] == 0
            assert not any(name.startswith("violations_") for name in counted)
            assert (
                await p.say(b"PUT /-/counters HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            ).status == 405

    run(go, virtual=True)
    told = capsys.readouterr()
    [line] = [line for line in (told.out + told.err).splitlines() if "call_id=counted" in line]
    for step in (
        "prefill 0 at",
        "KV state at",
        "decode 1 at",
        "lease expired",
        "release",
        "first token",
        "ok 1",
    ):
        assert step in line, step


def test_a_kept_connection_that_is_silent_is_counted_and_passed_over() -> None:
    async def go() -> None:
        silent: list[Seen] = []

        async def silent_once(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "DELETE" and not silent:
                silent.append(one)
                await asyncio.Event().wait()
            await writes(one, writer)

        async with platform(r0=reads, w0=silent_once) as p:
            for name in ("first", "second"):
                assert (await p.say(request(name))).status == 200
                await asyncio.sleep(0.1)  # A connection rests after an answer.
            assert p.relay.counter_values()["connections_silent"] == 1
            assert p.engines["w0"].connections == 2

    run(go, virtual=True)
