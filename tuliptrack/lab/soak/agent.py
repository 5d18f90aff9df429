"""The agent that serves the endpoint list to the nodes of a soak."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
from collections.abc import Callable
from typing import Any

from tuliptrack.lab.soak.engine import large_byte_budget, no_early_rejection
from tuliptrack.lab.soak.hostile_values import HOSTILE_ENTRIES
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.settings import World
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer

__all__ = ["SoakAgent", "members_of"]

_WATCH = re.compile(r"since=(\d+)&timeout_ms=(\d+)")


def members_of(
    world: World, phases: dict[str, str] | None = None, starts_ms: dict[str, int] | None = None
) -> list[dict[str, Any]]:
    """Return all members of the list, with each engine behind the address of its proxy."""
    flavors = {"r": "reads", "w": "writes", "m": "both"}
    return [
        {
            "id": name,
            "host_port": address,
            "locality": "z",
            "flavor": flavors[name[0]],
            "cell": 1,
            "phase": (phases or {}).get(name, "Ready"),
            "size": 1.0,
            "up_since_ms": (starts_ms or {}).get(name, 0),
        }
        for name, address in world.proxies.items()
    ]


def _break_off(call: HttpCall) -> None:
    """End the connection in the middle of an answer."""
    call.start(200, "application/json")
    call.send(b'{"revision": 9')
    call.abort()


_FAILURES: tuple[Callable[[HttpCall], None], ...] = (
    lambda call: call.respond(503, b""),
    lambda call: call.respond(200, b"{no JSON"),
    _break_off,
    lambda call: call.abort(),
    lambda call: call.respond(200, b'{"revision": 99, "complete": true, "members": 3}'),
)
"""Answers that a node cannot use."""


class SoakAgent:
    """The agents of all nodes, in one process. They share one list."""

    def __init__(self, world: World, recorder: Recorder) -> None:
        self.world, self.recorder = world, recorder
        self.revision = 2
        self.silent = False
        """Whether the agent accepts calls without answering them."""
        self.fails = False
        """Whether its answers cannot be used."""
        self._failures = itertools.cycle(_FAILURES)
        self.hostile_turn: int | None = None
        """Number of the unusable entry that is inserted at the start of the list; None: no such entry."""
        self._phases: dict[str, str] = {}
        self._starts_ms: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._answering: set[asyncio.Task[None]] = set()
        limits = HttpLimits(request_timeout=60_000_000, idle=60_000_000, connections=4_096)
        self.servers = {
            address: HttpServer(self._handle, no_early_rejection, limits, large_byte_budget())
            for pair in world.agents.values()
            for address in pair
        }

    async def listen(self) -> None:
        for address, server in self.servers.items():
            host, _, port = address.rpartition(":")
            await server.listen(host, int(port))

    def update_member(self, name: str, phase: str = "", start_ms: int = 0) -> None:
        """Record a change of an engine and notify the waiting nodes."""
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
        self._notify_watchers()

    def set_silent(self, silent: bool) -> None:
        """Stop answering, or answer again, unless the answers fail."""
        silent = silent or self.fails
        if silent == self.silent:
            return
        self.silent = silent
        self.recorder.note("agent", silent=silent)
        if not silent:
            self._notify_watchers()

    def set_failing(self, fails: bool) -> None:
        """Answer in ways that cannot be used, or properly again."""
        self.fails = fails
        self.set_silent(fails)

    def insert_hostile_entry(self, turn: int | None) -> None:
        """Insert an unusable entry at the start of the list, or remove it (None)."""
        self.hostile_turn = turn
        self.revision += 1
        self.recorder.note("hostile entry", turn=turn, revision=self.revision)
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _handle(self, call: HttpCall) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(call))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

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
        if self.fails:
            next(self._failures)(call)
        elif not self.silent:
            members = members_of(self.world, self._phases, self._starts_ms)
            text = json.dumps({"revision": self.revision, "complete": True, "members": members})
            if self.hostile_turn is not None:
                entry = HOSTILE_ENTRIES[self.hostile_turn % len(HOSTILE_ENTRIES)]
                text = text.replace('"members": [', f'"members": [{entry}, ', 1)
            call.respond(200, text.encode())
