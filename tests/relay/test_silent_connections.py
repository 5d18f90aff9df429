"""Connections and machines that fall silent with no error, before a node that runs as a process.

Judged by what reached the engines, never by what the node believes: a read state has to be taken by a
request, or let go by a release, whose last byte has come to a running engine within the settings' time and
what the platform adds to it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from relay_node import Node, start_node
from relay_world import SETTINGS, Peer, Reply, Seen, read_reply, reads, request, writes
from world import run

from tuliptrack.lab.soak.proxy import Fault, FaultProxy

READERS, WRITERS, REQUESTS = 3, 9, 24
EFFECTS = ("free", "guarded", "single_shot")
BUDGET_S = 3.0
ARRIVALS_S = 0.5  # in which the requests come, one after another
ALLOWED_S = SETTINGS["specifics"]["letGoBy"] / 1e6 + 0.3
STREAM_S = 6.0  # for the rest of an answer that has begun; bytes of some engines come 1.2 s late each way
MARGIN_S = 0.05  # of the stand-ins themselves, which share a process
SERVED = 0.9  # of what may be repeated, where engines or new connections work


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Journal:
    """When reads ended well, and when requests and releases reached an engine, by request."""

    read_at: dict[str, float] = field(default_factory=dict)
    settled_at: dict[str, float] = field(default_factory=dict)
    """When a state was first taken or let go."""
    writes: dict[str, int] = field(default_factory=dict)
    """Requests that reached a writer."""

    async def reader(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            self.note_release(one)
        elif one.method == "POST":
            self.read_at[one.call_id] = now()
            self.settled_at.pop(one.call_id, None)
        await reads(one, writer)

    async def writer(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            self.note_release(one)
        elif one.method == "POST":
            self.writes[one.call_id] = self.writes.get(one.call_id, 0) + 1
            self.settled_at.setdefault(one.call_id, now())
        await writes(one, writer)

    def note_release(self, one: Seen) -> None:
        self.settled_at.setdefault(one.target.rpartition("/")[2], now())

    def late(self) -> dict[str, float]:
        """States that were held for too long, and for how long."""
        held = {name: self.settled_at.get(name, now()) - at for name, at in self.read_at.items()}
        return {name: round(span, 3) for name, span in held.items() if span > ALLOWED_S + MARGIN_S}


@dataclass
class Result:
    """What became of a request."""

    name: str
    effect: str
    reply: Reply


@dataclass
class World:
    """A node as a process, with a fault proxy before each engine."""

    journal: Journal
    node: Node
    proxies: dict[str, FaultProxy]

    def of(self, kind: str) -> list[FaultProxy]:
        return [proxy for name, proxy in self.proxies.items() if name.startswith(kind)]

    async def ask(self, name: str, effect: str) -> Result:
        reader, writer = await self.node.connect()
        try:
            writer.write(request(name, budget=str(BUDGET_S), X_Route_Hash=name, X_Call_Class=effect))
            answer = read_reply(reader, head_within=BUDGET_S + 1)
            return Result(name, effect, await asyncio.wait_for(answer, BUDGET_S + 1 + STREAM_S))
        except TimeoutError:
            return Result(name, effect, Reply(0, {}, b"timed out", False))
        finally:
            writer.close()

    async def ask_many(self, title: str) -> list[Result]:
        async def one(number: int) -> Result:
            await asyncio.sleep(ARRIVALS_S * number / REQUESTS)
            return await self.ask(f"{title}-{number}", EFFECTS[number % len(EFFECTS)])

        return await asyncio.gather(*(one(number) for number in range(REQUESTS)))

    async def warm_up(self, title: str) -> None:
        """Have kept connections to every engine."""
        for turn in range(20):
            await asyncio.gather(*(self.ask(f"warm-{title}-{turn}-{n}", "free") for n in range(2 * WRITERS)))
            if all(proxy.open_connections for proxy in self.proxies.values()):
                break
        await asyncio.sleep(0.1)  # Connections rest for a while after an answer.


@contextlib.asynccontextmanager
async def world(folder: Path) -> AsyncIterator[World]:
    journal = Journal()
    scripts = {f"r{n}": journal.reader for n in range(READERS)} | {
        f"w{n}": journal.writer for n in range(WRITERS)
    }
    peers = {name: await Peer(script).start() for name, script in scripts.items()}
    proxies = {name: await FaultProxy(peer.address).start() for name, peer in peers.items()}
    kinds = {"r": "reads", "w": "writes"}
    members = [
        {
            "id": name,
            "host_port": proxy.address,
            "locality": "z",
            "flavor": kinds[name[0]],
            "cell": 1,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for name, proxy in proxies.items()
    ]

    async def list_of_engines(one: Seen, out: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        body = b'{"revision":1,"complete":false,"members":[]}'
        out.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))

    agent = await Peer(list_of_engines).start()
    plain = {**SETTINGS["classes"][0], "dedupWindow": 2_000_000}
    classes = [{**plain, "name": effect, "effect": effect} for effect in EFFECTS]
    node = await start_node(
        agent.address,
        folder / "config.json",
        settings={**SETTINGS, "classes": classes},
        known={"revision": 1, "complete": True, "members": members},
    )
    try:
        yield World(journal, node, proxies)
    finally:
        await node.kill()
        for proxy in proxies.values():
            await proxy.close()
        for peer in [*peers.values(), agent]:
            await peer.stop()


@dataclass(frozen=True)
class Silence:
    """Something falls silent with no error."""

    name: str
    begin: Callable[[World], None]
    others_work: bool = True
    """Engines or new connections that work stand by, so that most of what may be repeated is served."""


def machines(kind: str, count: int) -> Callable[[World], None]:
    """So many machines fall silent, open connections and new ones alike."""

    def begin(w: World) -> None:
        for proxy in w.of(kind)[:count]:
            proxy.fail_machine(Fault.DISCARD)

    return begin


def kept_connections(*kinds: str) -> Callable[[World], None]:
    """All open connections to engines of these kinds fall silent; new ones work."""

    def begin(w: World) -> None:
        for kind in kinds:
            for proxy in w.of(kind):
                proxy.fail_open_connections(Fault.DISCARD)

    return begin


def late_bytes(kind: str) -> Callable[[World], None]:
    """All bytes to and from these engines arrive 1.2 s late."""

    def begin(w: World) -> None:
        for proxy in w.of(kind):
            proxy.delay_s = 1.2

    return begin


def held_bytes(kind: str, count: int) -> Callable[[World], None]:
    """So many machines are cut off and get it all when the cut is over."""

    def begin(w: World) -> None:
        for proxy in w.of(kind)[:count]:
            proxy.fail_machine(Fault.HOLD)

        def end() -> None:
            for proxy in w.of(kind):
                proxy.heal()

        asyncio.get_running_loop().call_later(1.5, end)

    return begin


SILENCES = {
    "machines": [
        Silence("two-writers", machines("w", 2)),
        Silence("four-writers", machines("w", 4)),
        Silence("a-reader", machines("r", 1)),
        Silence("every-writer", machines("w", WRITERS), False),
    ],
    "kept connections": [
        Silence("to-writers", kept_connections("w")),
        Silence("to-readers", kept_connections("r")),
        Silence("to-all", kept_connections("r", "w")),
    ],
    "late bytes": [
        Silence("late-writers", late_bytes("w"), False),
        Silence("held-writers", held_bytes("w", 4)),
        Silence("held-readers", held_bytes("r", 1)),
    ],
}


def troubles(node: Node) -> str:
    """What the node's log tells of requests that it did not serve."""
    return "\n" + "".join(line for line in node.log if "end=served" not in line)


@pytest.mark.parametrize("kind", SILENCES)
def test_what_falls_silent_holds_no_state_and_loses_no_request(kind: str, tmp_path: Path) -> None:
    async def go() -> None:
        wrong: dict[str, object] = {}
        for silence in SILENCES[kind]:
            async with world(tmp_path) as w:
                await w.warm_up(silence.name)
                w.journal.read_at.clear()
                silence.begin(w)
                results = await w.ask_many(silence.name)
                await asyncio.sleep(ALLOWED_S)
                if late := w.journal.late():
                    wrong[f"{silence.name}: states held too long"] = late
                if lost := [one for one in results if not one.reply.status]:
                    wrong[f"{silence.name}: no final answer"] = [lost, troubles(w.node)]
                unsafe = [one.name for one in results if one.effect == "single_shot"]
                if twice := [name for name in unsafe if w.journal.writes.get(name, 0) > 1]:
                    wrong[f"{silence.name}: effects doubled"] = twice
                free = [one for one in results if one.effect == "free"]
                failed = [one for one in free if not (one.reply.status == 200 and one.reply.whole)]
                if silence.others_work and len(free) - len(failed) < SERVED * len(free):
                    wrong[f"{silence.name}: served"] = [
                        f"{len(free) - len(failed)} of {len(free)}",
                        failed,
                        troubles(w.node),
                    ]
        assert not wrong, "\n".join(f"{title}: {value}" for title, value in wrong.items())

    run(go, 60)
