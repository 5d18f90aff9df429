"""For a while calls to discovery fail: their connections end at once. Later engines begin to drain. See claim.txt."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import Node, Proxy, World, run_case, settings  # noqa: E402

OUTAGE_S = 8.0
TOLD_AFTER_S = 6.0
SLACK_S = 0.05


async def case(world: World, trouble: bool) -> None:
    for name in ("r0", "r1", "r2"):
        world.engine(name, "read")
    for name in ("w0", "w1", "w2"):
        world.engine(name, "write")
    await world.start()
    proxy = Proxy(world.agent.port)
    node = Node(world)
    world.nodes.append(node)
    node.configure(proxy.port, world.agent.whole())
    await node.start()
    await node.ready()
    await asyncio.gather(*(world.ask(node) for _ in range(6)))
    await asyncio.sleep(2.0)
    world.note(f"calls that have reached the agent: {world.agent.calls}")
    if trouble:
        proxy.close_all()
        world.note(f"for {OUTAGE_S} s each connection to the agent is closed as soon as it is made")
    await asyncio.sleep(OUTAGE_S)
    proxy.closes = False
    calls = world.agent.calls
    world.note(f"the agent can be reached again; connections closed: {proxy.closed}")
    await asyncio.sleep(1.0)
    world.agent.publish(r0="Terminating", w0="Terminating")
    told = time.monotonic() + TOLD_AFTER_S
    grace_s = world.settings["obligations"]["drainGrace"] / 1e6 + SLACK_S
    asked = []
    while time.monotonic() < told + 20.0:
        asked.append(asyncio.ensure_future(world.ask(node)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*asked)
    world.note(f"calls that have reached the agent since it can be reached: {world.agent.calls - calls}")
    late = [a for a in world.attempts if a.engine in ("r0", "w0") and a.first_byte > told + grace_s]
    if late:
        last = max(a.first_byte for a in late) - told
        world.broken(
            f"{len(late)} requests were sent to draining engines after the grace, the last {last:.1f} s "
            f"after the drain counted as told; {world.agent.calls - calls} calls to discovery in that time"
        )


run_case(case, settings(obligations={"drainGrace": 500000}))
