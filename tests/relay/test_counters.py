"""The counters of a node as operators read them, and the node's log line of a request."""

from __future__ import annotations

import asyncio
import json

import pytest
from relay_harness import ReceivedRequest, answer_decode, answer_prefill, platform, request
from world import run, until


def test_counters_and_log_line_show_an_answer_and_a_release(capsys: pytest.CaptureFixture[str]) -> None:
    async def go() -> None:
        async def slow(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST":
                await asyncio.sleep(0.5)
            await answer_decode(received, writer)

        async with platform(r0=answer_prefill, w0=slow) as p:
            assert (await p.send(request("counted"))).status == 200
            await until(lambda: not p.relay.table.open)
            reply = await p.send(b"GET /-/counters HTTP/1.1\r\nHost: a\r\n\r\n")
            counted = json.loads(reply.body)
            assert counted["requests_served"] == 1 and counted["releases_beside_attempts"] == 1
            assert counted["connections_made"] >= 2 and counted["open_requests"] == 0
            assert not any(name.startswith("violations_") for name in counted)
            assert (
                await p.send(b"PUT /-/counters HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            ).status == 405

    run(go, virtual=True)
    output = capsys.readouterr()
    [line] = [line for line in (output.out + output.err).splitlines() if "call_id=counted" in line]
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


def test_a_kept_connection_that_is_silent_is_counted_and_not_used() -> None:
    async def go() -> None:
        silent: list[ReceivedRequest] = []

        async def silent_once(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "DELETE" and not silent:
                silent.append(received)
                await asyncio.Event().wait()
            await answer_decode(received, writer)

        async with platform(r0=answer_prefill, w0=silent_once) as p:
            for name in ("first", "second"):
                assert (await p.send(request(name))).status == 200
                await asyncio.sleep(0.1)  # A connection is used again only after a short rest.
            assert p.relay.counter_values()["connections_silent"] == 1
            assert p.engines["w0"].connections == 2

    run(go, virtual=True)
