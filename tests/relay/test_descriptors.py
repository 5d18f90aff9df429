"""Clients that say nothing may fill the descriptors while discovery is down: engines, the list, the settings
and those who ask have what they need, under the system's own limit too. One node as a process."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from relay_node import start_node, told
from relay_world import Reply, hangs, platform, read_reply, reads, request, writes
from world import run, until

from tuliptrack.relay.config import MIN_DESCRIPTORS

Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]
TOLD_S = 6.0  # the platform's


@pytest.mark.parametrize("descriptors", [MIN_DESCRIPTORS, 96])
def test_idle_clients_beyond_the_descriptors_while_discovery_is_down(
    descriptors: int, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path, descriptors)
            ids = iter(range(1_000))

            async def ask(ends: Ends) -> Reply:
                ends[1].write(request(f"d{next(ids)}"))
                return await asyncio.wait_for(read_reply(ends[0]), 5)

            async def served(ends: Ends) -> bool:
                return (await ask(ends)).whole

            def others() -> int:
                """Its descriptors but for connections to engines, which it keeps."""
                return node.descriptors - sum(engine.live for engine in p.engines.values())

            earlier = await node.connect()
            for _ in range(100):
                if (await ask(earlier)).status == 200:
                    break
                await asyncio.sleep(0.02)  # It has no list yet.
            await asyncio.sleep(0.2)
            before = others()
            answers, p.agent.script = p.agent.script, hangs
            flood: list[Ends] = []
            for number in range(3 * descriptors):
                flood.append(await node.connect())
                if number % 3:
                    flood[-1][1].write(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: " + b"b" * (number % 3))
            assert (await ask(earlier)).status == 200, (
                "an earlier client is served, on the connection that it has kept"
            )
            latest = await node.connect()
            assert (await ask(latest)).status == 200, "and a new one"
            assert node.descriptors <= descriptors
            path.write_text(told(p.agent.address))
            node.process.send_signal(signal.SIGHUP)
            await until(lambda: any("settings reloaded" in line for line in node.log))
            for _, writer in flood[::4]:
                writer.write(b"b")  # Some are slow, not silent.
            p.tell(r0="Terminating", w0="Terminating")
            p.agent.script = answers
            back = time.monotonic()
            await until(lambda: any(f"version={p.revision}" in line for line in node.log), TOLD_S)
            assert time.monotonic() - back < TOLD_S
            was = [len(p.engines[name].asked()) for name in ("r0", "w0")]
            for _ in range(4):
                assert await served(earlier) and await served(latest)
            assert was == [len(p.engines[name].asked()) for name in ("r0", "w0")]
            for _, writer in flood:
                writer.close()
            await until(
                lambda: others() <= before + 2
            )  # The new client, and perhaps one more call for the list.
            assert not [line for line in node.log if "Too many open files" in line or "resource" in line]
            assert not [line for line in node.log if " ejected" in line], "no engine is ejected"
            for _, writer in (earlier, latest):
                writer.close()
            await node.kill()

    run(go, 60)
