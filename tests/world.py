"""A node with stand-in engines on loopback, in one process, for full-path tests."""

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
    """Run a test's coroutine; afterwards no task may be left behind. `virtual`: on virtual time, see
    `virtual_time`.
    """

    async def whole() -> None:
        await asyncio.wait_for(make(), seconds)
        for _ in range(50):  # Transports that were closed end in the next turns of the loop.
            left = asyncio.all_tasks() - {asyncio.current_task()}
            if not left:
                return
            await asyncio.wait(left, timeout=0.1)
        raise AssertionError(f"tasks left behind: {left}")

    if virtual:
        with virtual_time() as run_virtually:
            run_virtually(whole())
    else:
        asyncio.run(whole())


async def until(what: Callable[[], object], seconds: float = 10) -> None:
    """Wait for an event that shows in some state."""
    for _ in range(int(seconds * 200)):
        if what():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("what was awaited has not come")


@dataclass
class Asked:
    """One call of a client, and what it saw on its socket."""

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
        """Each token once, in order, and the right one."""
        for place, token in enumerate(self.tokens, first):
            assert (token.index, token.text) == (place, answer_token(self.prompt, place))

    def whole(self, model: lab_pb2.EngineModel) -> bool:
        return len(self.tokens) == answer_length(self.prompt, model.answer_least, model.answer_most)


class World:
    """A node, its engines, a feed that lists them, and a client's channel."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.logs: dict[str, io.StringIO] = {}
        self.feed = Feed()
        self.node: Node
        self.channel: Channel
        self.address = ""
        self.names = 0
        self.zones: dict[str, int] = {}
        self.models: dict[str, tuple[str, str]] = {}

    @property
    def rest(self) -> str:
        """Address of the REST form, where the settings have one."""
        return self.node.listeners[0].server.address  # type: ignore[attr-defined,no-any-return]

    def seen(self, what: str = "", **facts: object) -> list[dict[str, Any]]:
        """What engines saw, in time's order."""
        rows = [json.loads(line) for log in self.logs.values() for line in log.getvalue().splitlines()]
        rows.sort(key=lambda row: row["t"])
        return [r for r in rows if what in ("", r["what"]) and all(r.get(k) == v for k, v in facts.items())]

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
        """Have these engines listed at other addresses, and wait until the node knows."""
        entries = [self.entry(name) for name in addresses]
        for entry, address in zip(entries, addresses.values(), strict=True):
            entry.address = address
        self.feed.change(*entries)
        await until(lambda: set(self.node.channels.addresses.values()) >= set(addresses.values()))

    def ask(self, prompt: str = "", timeout: float | None = 10, **fields: Any) -> Asked:
        """Start a call; see `Asked` for what comes of it."""
        self.names += 1
        one = Asked(prompt or f"q{self.names} what?")
        request = pb.GenerateRequest(
            request_class="question", tenant="north", prompt=one.prompt, prompt_tokens=400
        )
        request.MergeFrom(pb.GenerateRequest(**fields))

        def ended(end: End) -> None:
            one.ends.append(end)
            one.ended_at = now_us()
            one.over.set()

        one.call = self.channel.call(
            GENERATE,
            message=request.SerializeToString(),
            timeout=int(timeout * 1e6) if timeout else None,
            on_message=lambda data: one.tokens.append(pb.GenerateResponse.FromString(data)),
            on_end=ended,
        )
        return one


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
    """Engines by name (r, w, m: their kind), with changes to the model in text format, settings to add, and
    what each tenant may ask a second; `zones` puts engines into zones other than 0, `models` labels them with
    model and version.
    """
    made = World()
    made.zones, made.models = zones or {}, models or {}
    with tempfile.TemporaryDirectory() as folder:
        for name in engines.split():
            made.logs[name] = io.StringIO()
            m = lab_pb2.EngineModel(answer_least=10, answer_most=30)
            m.MergeFrom(text_format.Parse(model, lab_pb2.EngineModel()))
            m.role = KINDS[name[0]][1]
            made.engines[name] = Engine(name, m, made.logs[name])
            await made.engines[name].start()
        feed = await made.feed.start()
        made.feed.change(*(made.entry(name) for name in made.engines))
        base = SETTINGS.replace("quota_per_s: 1000", f"quota_per_s: {quota}")
        made.node = Node(
            parse(f'{base} servers {{ feed: "{feed}" cache: "{Path(folder) / "list"}" }} {settings}')
        )
        try:
            if start:
                made.address = await made.node.start()
                made.channel = Channel(made.address, Options(connect_timeout=2_000_000))
                await until(lambda: len(made.node.endpoint_list.entries) == len(made.engines))
            yield made
        finally:
            if start:
                await made.channel.close()
                await made.node.stop(0)
                assert not made.node.table.open, "requests left in the table"
            for engine in made.engines.values():
                await engine.stop()
            await made.feed.stop()
