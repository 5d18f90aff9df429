"""Drains stated by discovery agents, and agents that are replaced or come back."""

from __future__ import annotations

import asyncio
import re

from relay_harness import (
    SETTINGS,
    Peer,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    never_answer,
    platform,
)
from world import run, until


def test_drains_and_new_agents_are_followed() -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, w0=answer_decode, w1=answer_decode) as p:
            p.publish(r0="Terminating", w0="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            for _ in range(10):
                assert (await p.send_request()).is_complete
            assert not p.engines["r0"].all_received and not p.engines["w0"].all_received
            other = await Peer(p.answer_poll).start()
            await p.agent.stop()
            p.relay.source.switch_to(other.address)
            p.publish(r0="Ready", w0="Ready", r1="Gone", w1="Gone")
            await until(lambda: p.relay.directory.revision == p.revision)
            before = len(p.engines["r1"].all_received)
            for _ in range(10):
                assert (await p.send_request()).is_complete
            assert len(p.engines["r1"].all_received) == before
            await other.stop()

    run(go, virtual=True)


def test_the_list_of_an_agent_that_comes_back_is_applied_within_the_drain_grace() -> None:
    """Calls that are open during an outage are never answered, not even after the outage: an open watch stays
    silent while new calls are answered."""

    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, w0=answer_decode, w1=answer_decode) as p:
            grace = SETTINGS["obligations"]["drainGrace"] / 1e6
            answer_poll, down = p.agent.script, asyncio.Event()

            async def silent_when_down(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                watch = re.search(r"since=(\d+)&timeout_ms=(\d+)", received.target)
                for _ in range(int(watch[2]) // 5 if watch else 0):
                    if down.is_set() or (watch and int(watch[1]) < p.revision):
                        break
                    await asyncio.sleep(0.005)
                if down.is_set():
                    await never_answer(received, writer)
                await answer_poll(ReceivedRequest(received.method, "/api/targets", {}, b""), writer)

            p.agent.script = silent_when_down
            for round_, seconds in enumerate((0.9, 0.35, 0.0)):
                down.set()
                await asyncio.sleep(seconds)
                down.clear()
                phase = ("Terminating", "Ready")[round_ % 2]
                p.publish(r0=phase, w0=phase)
                await until(lambda: p.relay.directory.revision == p.revision, grace)
            for _ in range(10):
                assert (await p.send_request()).is_complete
            assert not p.engines["r0"].all_received and not p.engines["w0"].all_received
            assert p.agent.connections > 4  # Each broken watch was followed by a call on a new connection.

    run(go, virtual=True)
