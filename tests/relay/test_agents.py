"""Drains stated by discovery agents, agents that are new or come back."""

from __future__ import annotations

import asyncio
import re

from relay_world import (
    SETTINGS,
    Peer,
    Seen,
    hangs,
    platform,
    reads,
    writes,
)
from world import run, until


def test_drains_and_new_agents_are_followed() -> None:
    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            p.tell(r0="Terminating", w0="Terminating")
            await until(lambda: p.relay.directory.revision == p.revision)
            for _ in range(10):
                assert (await p.ask()).whole
            assert not p.engines["r0"].seen and not p.engines["w0"].seen
            other = await Peer(p.answers).start()
            await p.agent.stop()
            p.relay.source.switch_to(other.address)
            p.tell(r0="Ready", w0="Ready", r1="Gone", w1="Gone")
            await until(lambda: p.relay.directory.revision == p.revision)
            before = len(p.engines["r1"].seen)
            for _ in range(10):
                assert (await p.ask()).whole
            assert len(p.engines["r1"].seen) == before
            await other.stop()

    run(go, virtual=True)


def test_what_a_silent_agent_has_at_its_return_is_heeded_within_the_drain_grace() -> None:
    """Calls that are open in an outage are never answered; a watch alone falls silent while new calls are
    answered."""

    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            grace = SETTINGS["obligations"]["drainGrace"] / 1e6
            answers, down = p.agent.script, asyncio.Event()

            async def silent_when_down(one: Seen, writer: asyncio.StreamWriter) -> None:
                told = re.search(r"since=(\d+)&timeout_ms=(\d+)", one.target)
                for _ in range(int(told[2]) // 5 if told else 0):
                    if down.is_set() or (told and int(told[1]) < p.revision):
                        break
                    await asyncio.sleep(0.005)
                if down.is_set():
                    await hangs(one, writer)
                await answers(Seen(one.method, "/api/targets", {}, b""), writer)

            p.agent.script = silent_when_down
            for round_, seconds in enumerate((0.9, 0.35, 0.0)):
                down.set()
                await asyncio.sleep(seconds)
                down.clear()
                phase = ("Terminating", "Ready")[round_ % 2]
                p.tell(r0=phase, w0=phase)
                await until(lambda: p.relay.directory.revision == p.revision, grace)
            for _ in range(10):
                assert (await p.ask()).whole
            assert not p.engines["r0"].seen and not p.engines["w0"].seen
            assert p.agent.connections > 4  # each broken watch was followed by a call on a new connection

    run(go, virtual=True)
