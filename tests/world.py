"""A node with simulated engines on loopback, in one process, for tests of the full path."""

from __future__ import annotations

import asyncio
import io
import json
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from google.protobuf import text_format
from virtual_time import virtual_time

from tuliptrack.config.node import parse
from tuliptrack.lab.engine import Engine, answer_length, answer_token
from tuliptrack.lab.feed import Feed
from tuliptrack.node.node import Node
from tuliptrack.proto import config_pb2, fleet_pb2, lab_pb2
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel, ClientCall, End, Options
from tuliptrack.rpc.clock import now_us

GENERATE = "/tuliptrack.v1.Generation/Generate"
KINDS = {"r": ("reader", config_pb2.READ), "w": ("writer", config_pb2.WRITE), "m": ("mixed", config_pb2.BOTH)}
SETTINGS = """
node { listen: "127.0.0.1:0" seed: 7 shutdown_grace_ms: 2000 }
request_class { name: "question" worth: 1 aim_ms: 1200 deadline_ms: 5000 token_aim_ms: 60 }
request_class { name: "summary" worth: 2 aim_ms: 2500 deadline_ms: 8000 token_aim_ms: 80 }
request_class { name: "order" worth: 2 aim_ms: 1200 deadline_ms: 5000 effect: UNSAFE }
request_class { name: "bulk" worth: 1 aim_ms: 600000 deadline_ms: 600000 }
kind { name: "reader" role: READ }
kind { name: "writer" role: WRITE }
kind { name: "mixed" role: BOTH }
tenant { name: "north" share: 0.6 quota_per_s: 1000 }
tenant { name: "south" share: 0.4 quota_per_s: 1000 }
"""


def run(make: Callable[[], Coroutine[Any, Any, None]], seconds: float = 30, virtual: bool = False) -> None:
    """Run a test's coroutine and check that no task is left over.

    If `virtual` is true, the coroutine runs on virtual time, as described in `virtual_time.py`.
    """

    async def run_and_check() -> None:
        await asyncio.wait_for(make(), seconds)
        for _ in range(50):  # Closed transports need a few iterations of the loop to end.
            left = asyncio.all_tasks() - {asyncio.current_task()}
            if not left:
                return
            await asyncio.wait(left, timeout=0.1)
        raise AssertionError(f"tasks left over: {left}")

    if virtual:
        with virtual_time() as run_virtually:
            run_virtually(run_and_check())
    else:
        asyncio.run(run_and_check())


async def until(condition: Callable[[], object], seconds: float = 10) -> None:
    """Wait until a condition holds; AssertionError if it does not hold within `seconds`."""
    for _ in range(int(seconds * 200)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError(f"the condition does not hold after {seconds} s")


@dataclass
class ClientRequest:
    """A request of a client, with the tokens and the end of the call that it received."""

    prompt: str
    call: ClientCall | None = None
    tokens: list[pb.GenerateResponse] = field(default_factory=list)
    ends: list[End] = field(default_factory=list)
    over: asyncio.Event = field(default_factory=asyncio.Event)
    ended_at: int = 0

    @property
    def end(self) -> End:
        assert len(self.ends) == 1, f"one end expected: {self.ends}"
        return self.ends[0]

    async def wait(self) -> End:
        await self.over.wait()
        return self.end

    def check_tokens(self, first: int = 0) -> None:
        """Check that each token was received once, in order, with the right text."""
        for index, token in enumerate(self.tokens, first):
            assert (token.index, token.text) == (index, answer_token(self.prompt, index))

    def whole(self, model: lab_pb2.EngineModel) -> bool:
        return len(self.tokens) == answer_length(self.prompt, model.answer_least, model.answer_most)


class World:
    """A node, its engines, the feed that lists them, and a client's channel to the node."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.logs: dict[str, io.StringIO] = {}
        self.feed = Feed()
        self.node: Node
        self.channel: Channel
        self.address = ""
        self.request_count = 0
        self.zones: dict[str, int] = {}
        self.models: dict[str, tuple[str, str]] = {}

    @property
    def rest(self) -> str:
        """Address of the REST listener; the settings must have one."""
        return self.node.listeners[0].server.address  # type: ignore[attr-defined,no-any-return]

    def seen(self, what: str = "", **fields: object) -> list[dict[str, Any]]:
        """Return the log entries of the engines in order of time, filtered by event name and fields."""
        rows = [json.loads(line) for log in self.logs.values() for line in log.getvalue().splitlines()]
        rows.sort(key=lambda row: row["t"])
        return [r for r in rows if what in ("", r["what"]) and all(r.get(k) == v for k, v in fields.items())]

    def entry(
        self, name: str, state: fleet_pb2.ServerEntry.State = fleet_pb2.ServerEntry.READY, **more: Any
    ) -> fleet_pb2.ServerEntry:
        number = list(self.engines).index(name) + 1
        model, version = self.models.get(name, ("", ""))
        return fleet_pb2.ServerEntry(
            id=number,
            address=self.engines[name].server.address,
            kind=KINDS[name[0]][0],
            state=state,
            zone=self.zones.get(name, 0),
            model=model,
            model_version=version,
            **more,
        )

    async def list_at(self, addresses: dict[str, str]) -> None:
        """List the given engines at other addresses, and wait until the node has the new list."""
        entries = [self.entry(name) for name in addresses]
        for entry, address in zip(entries, addresses.values(), strict=True):
            entry.address = address
        self.feed.change(*entries)
        await until(lambda: set(self.node.channels.addresses.values()) >= set(addresses.values()))

    def ask(self, prompt: str = "", timeout: float | None = 10, **fields: Any) -> ClientRequest:
        """Start a call; its tokens and end are collected in the `ClientRequest` that is returned."""
        self.request_count += 1
        asked = ClientRequest(prompt or f"q{self.request_count} what?")
        request = pb.GenerateRequest(
            request_class="question", tenant="north", prompt=asked.prompt, prompt_tokens=400
        )
        request.MergeFrom(pb.GenerateRequest(**fields))

        def ended(end: End) -> None:
            asked.ends.append(end)
            asked.ended_at = now_us()
            asked.over.set()

        asked.call = self.channel.call(
            GENERATE,
            message=request.SerializeToString(),
            timeout=int(timeout * 1e6) if timeout else None,
            on_message=lambda data: asked.tokens.append(pb.GenerateResponse.FromString(data)),
            on_end=ended,
        )
        return asked


@asynccontextmanager
async def world(
    engines: str = "r0 r1 w0 w1",
    settings: str = "",
    model: str = "",
    start: bool = True,
    quota: float = 1000,
    zones: dict[str, int] | None = None,
    models: dict[str, tuple[str, str]] | None = None,
) -> AsyncIterator[World]:
    """Start engines, a feed and a node, and stop them at the end.

    Args:
        engines: names of the engines; the first letter of a name is the engine's kind (`KINDS`).
        settings: text to append to the settings.
        model: changes to the engine model, in text format.
        start: whether to start the node.
        quota: requests per second of each tenant's quota.
        zones: zones of engines that are not in zone 0.
        models: model and version by engine, for the engines that serve a named model.
    """
    new_world = World()
    new_world.zones, new_world.models = zones or {}, models or {}
    with tempfile.TemporaryDirectory() as folder:
        for name in engines.split():
            new_world.logs[name] = io.StringIO()
            engine_model = lab_pb2.EngineModel(answer_least=10, answer_most=30)
            engine_model.MergeFrom(text_format.Parse(model, lab_pb2.EngineModel()))
            engine_model.role = KINDS[name[0]][1]
            new_world.engines[name] = Engine(name, engine_model, new_world.logs[name])
            await new_world.engines[name].start()
        feed = await new_world.feed.start()
        new_world.feed.change(*(new_world.entry(name) for name in new_world.engines))
        base = SETTINGS.replace("quota_per_s: 1000", f"quota_per_s: {quota}")
        new_world.node = Node(
            parse(f'{base} servers {{ feed: "{feed}" cache: "{Path(folder) / "list"}" }} {settings}')
        )
        try:
            if start:
                new_world.address = await new_world.node.start()
                new_world.channel = Channel(new_world.address, Options(connect_timeout=2_000_000))
                await until(lambda: len(new_world.node.endpoint_list.entries) == len(new_world.engines))
            yield new_world
        finally:
            if start:
                await new_world.channel.close()
                await new_world.node.stop(0)
                assert not new_world.node.table.open, "requests left over in the table"
            for engine in new_world.engines.values():
                await engine.stop()
            await new_world.feed.stop()
