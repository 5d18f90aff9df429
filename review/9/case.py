"""A node comes back with its last list while discovery answers slowly. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from world import Node, World, run_case, settings  # noqa: E402

SLOW_S = 1.5
DOWN_S = 7.5
SLACK_S = 0.05


async def case(world: World, trouble: bool) -> None:
    for name in ("r0", "r1", "r2", "r3"):
        world.engine(name, "read")
    for name in ("w0", "w1", "w2", "w3"):
        world.engine(name, "write")
    await world.start()
    node = Node(world)
    world.nodes.append(node)
    node.configure(world.agent.port, world.agent.whole())
    await node.start()
    await node.ready()
    await asyncio.gather(*(world.ask(node) for _ in range(6)))
    last_list = world.agent.whole()
    node.send(signal.SIGKILL)
    node.end()
    world.agent.publish(r0="Terminating", r1="Terminating", w0="Terminating", w1="Terminating")
    if trouble:
        world.agent.late_s = SLOW_S
        world.note(f"from now on the agent answers {SLOW_S} s late")
    await asyncio.sleep(DOWN_S)
    node.configure(world.agent.port, last_list)
    started = time.monotonic()
    await node.start()
    await node.ready()
    grace_s = world.settings["obligations"]["drainGrace"] / 1e6 + SLACK_S
    asked = []
    while time.monotonic() < started + 5.0:
        asked.append(asyncio.ensure_future(world.ask(node)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*asked)
    draining = ("r0", "r1", "w0", "w1")
    late = [a for a in world.attempts if a.engine in draining and a.first_byte > started + grace_s]
    if late:
        last = max(a.first_byte for a in late) - started
        world.broken(
            f"{len(late)} requests were sent to engines that drained before the process began, "
            f"the last {last:.2f} s after its start"
        )


run_case(case, settings(obligations={"drainGrace": 500000}))
