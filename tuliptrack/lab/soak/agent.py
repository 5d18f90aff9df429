"""The agent of the server list in a soak: what each node is told of engines, and when."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

from tuliptrack.lab.soak.engine import accept_everything, nothing_early
from tuliptrack.lab.soak.hostile_values import HOSTILE_ENTRIES
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.settings import World
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer

__all__ = ["SoakAgent", "members_of"]

_WATCH = re.compile(r"since=(\d+)&timeout_ms=(\d+)")


def members_of(
    world: World, phases: dict[str, str] | None = None, starts_ms: dict[str, int] | None = None
) -> list[dict[str, Any]]:
    """The whole list."""
    kinds = {"r": "reads", "w": "writes", "m": "both"}
    return [
        {
            "id": name,
            "host_port": address,
            "locality": "z",
            "flavor": kinds[name[0]],
            "cell": 1,
            "phase": (phases or {}).get(name, "Ready"),
            "size": 1.0,
            "up_since_ms": (starts_ms or {}).get(name, 0),
        }
        for name, address in world.proxies.items()
    ]


class SoakAgent:
    """The agents of all nodes, in one process; they share what they know."""

    def __init__(self, world: World, recorder: Recorder) -> None:
        self.world, self.recorder = world, recorder
        self.revision = 2
        self.silent = False
        """Calls are taken and nothing is said."""
        self.hostile_turn: int | None = None
        """Which entry that cannot be used stands first in the list; None: there is none."""
        self._phases: dict[str, str] = {}
        self._starts_ms: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._waiting: set[asyncio.Task[None]] = set()
        limits = HttpLimits(request_within=60_000_000, idle=60_000_000, connections=4_096)
        self.servers = {
            address: HttpServer(self._handle, nothing_early, limits, accept_everything())
            for pair in world.agents.values()
            for address in pair
        }

    async def listen(self) -> None:
        for address, server in self.servers.items():
            host, _, port = address.rpartition(":")
            await server.listen(host, int(port))

    def tell(self, name: str, phase: str = "", start_ms: int = 0) -> None:
        """An engine has changed."""
        if phase:
            self._phases[name] = phase
        if start_ms:
            self._starts_ms[name] = start_ms
        self.revision += 1
        self.recorder.note(
            "list changed",
            engine=name,
            phase=phase,
            start_ms=start_ms,
            revision=self.revision,
            silent=self.silent,
        )
        self._wake()

    def speak(self, silent: bool) -> None:
        """Fall silent, or speak again."""
        self.silent = silent
        self.recorder.note("agent", silent=silent)
        if not silent:
            self._wake()

    def insert_hostile_entry(self, turn: int | None) -> None:
        """Put an entry that cannot be used into the list, or take it out."""
        self.hostile_turn = turn
        self.revision += 1
        self.recorder.note("hostile entry", turn=turn, revision=self.revision)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle(self, call: HttpCall) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(call))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    async def _answer(self, call: HttpCall) -> None:
        if watch := _WATCH.search(call.target):
            since, wait_s = int(watch[1]), int(watch[2]) / 1e3
            loop = asyncio.get_running_loop()
            until = loop.time() + wait_s
            while (since >= self.revision or self.silent) and loop.time() < until:
                try:
                    await asyncio.wait_for(self._changed.wait(), until - loop.time())
                except TimeoutError:
                    break
        if not self.silent:
            members = members_of(self.world, self._phases, self._starts_ms)
            text = json.dumps({"revision": self.revision, "complete": True, "members": members})
            if self.hostile_turn is not None:
                entry = HOSTILE_ENTRIES[self.hostile_turn % len(HOSTILE_ENTRIES)]
                text = text.replace('"members": [', f'"members": [{entry}, ', 1)
            call.respond(200, text.encode())
