"""Silent clients may fill the descriptors while discovery is down. Connections to engines and to the agent, the reading
of settings and clients that send requests still get descriptors, also under the system's limit. The node runs as a
process."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from relay_harness import Reply, answer_decode, answer_prefill, never_answer, platform, read_reply, request
from relay_process import settings_text, start_node
from world import run, until

from tuliptrack.relay.config import MIN_DESCRIPTORS

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
RECEIVED_WITHIN_S = 6.0  # the platform expects a changed list to be applied within this time


@pytest.mark.parametrize("descriptors", [MIN_DESCRIPTORS, 96])
def test_idle_clients_beyond_the_descriptors_while_discovery_is_down(
    descriptors: int, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, r1=answer_prefill, w0=answer_decode, w1=answer_decode) as p:
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path, descriptors)
            ids = iter(range(1_000))

            async def send_request(connection: Connection) -> Reply:
                connection[1].write(request(f"d{next(ids)}"))
                return await asyncio.wait_for(read_reply(connection[0]), 5)

            async def served(connection: Connection) -> bool:
                return (await send_request(connection)).is_complete

            def other_descriptors() -> int:
                """Return the number of the node's descriptors without its connections to engines, which the
                node keeps open."""
                return node.descriptors - sum(engine.open_connections for engine in p.engines.values())

            earlier = await node.connect()
            for _ in range(100):
                if (await send_request(earlier)).status == 200:
                    break
                await asyncio.sleep(0.02)  # The node has no list yet.
            await asyncio.sleep(0.2)
            before = other_descriptors()
            answer_poll, p.agent.script = p.agent.script, never_answer
            flood: list[Connection] = []
            for number in range(3 * descriptors):
                flood.append(await node.connect())
                if number % 3:
                    flood[-1][1].write(b"POST /v1/chat/completions HTTP/1.1\r\nX-A: " + b"b" * (number % 3))
            assert (await send_request(earlier)).status == 200, (
                "an earlier client is served on its kept connection"
            )
            latest = await node.connect()
            assert (await send_request(latest)).status == 200, "a new client is served"
            assert node.descriptors <= descriptors
            path.write_text(settings_text(p.agent.address))
            node.process.send_signal(signal.SIGHUP)
            await until(lambda: any("settings reloaded" in line for line in node.log))
            for _, writer in flood[::4]:
                writer.write(b"b")  # Some clients are slow, not silent.
            p.publish(r0="Terminating", w0="Terminating")
            p.agent.script = answer_poll
            agent_back_at = time.monotonic()
            await until(lambda: any(f"version={p.revision}" in line for line in node.log), RECEIVED_WITHIN_S)
            assert time.monotonic() - agent_back_at < RECEIVED_WITHIN_S
            asked_before = [len(p.engines[name].received()) for name in ("r0", "w0")]
            for _ in range(4):
                assert await served(earlier) and await served(latest)
            assert asked_before == [len(p.engines[name].received()) for name in ("r0", "w0")]
            for _, writer in flood:
                writer.close()
            # The new client, and perhaps one more connection to the agent.
            await until(lambda: other_descriptors() <= before + 2)
            assert not [line for line in node.log if "Too many open files" in line or "resource" in line]
            assert not [line for line in node.log if " ejected" in line], "no engine is ejected"
            for _, writer in (earlier, latest):
                writer.close()
            await node.kill()

    run(go, 60)
