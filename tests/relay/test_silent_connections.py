"""Connections and machines between a node and its engines fall silent without an error. The node runs as a process.

The tests judge by what reached the engines, never by what the node believes. The last byte of a decode
request that takes a KV state, or of its release, has to reach a running engine within the time in the
settings plus the 0.3 s that the platform adds."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from relay_harness import (
    SETTINGS,
    Peer,
    ReceivedRequest,
    Reply,
    answer_decode,
    answer_prefill,
    read_reply,
    request,
)
from relay_process import Node, start_node
from world import run

from tuliptrack.lab.soak.proxy import Fault, FaultProxy

PREFILL_ENGINES, DECODE_ENGINES, REQUESTS = 3, 9, 24
EFFECTS = ("free", "guarded", "single_shot")
BUDGET_S = 3.0
ARRIVALS_S = 0.5  # the span over which the requests are sent
ALLOWED_S = SETTINGS["specifics"]["letGoBy"] / 1e6 + 0.3
STREAM_S = 6.0  # limit for the rest of an answer; some engines' bytes are 1.2 s late in each direction
MARGIN_S = 0.05  # for delays of the stub engines, which share one process
MIN_SERVED_SHARE = 0.9  # share of repeatable requests, if some engines or new connections work


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Journal:
    """The times at which prefills were answered and decode requests and releases reached an engine, by
    request."""

    prefilled_at: dict[str, float] = field(default_factory=dict)
    settled_at: dict[str, float] = field(default_factory=dict)
    """The time at which a decode request first took a request's state or the state was released."""
    decode_requests: dict[str, int] = field(default_factory=dict)
    """How often each request reached a decode engine."""

    async def prefill(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "DELETE":
            self.record_release(received)
        elif received.method == "POST":
            self.prefilled_at[received.call_id] = now()
            self.settled_at.pop(received.call_id, None)
        await answer_prefill(received, writer)

    async def decode(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "DELETE":
            self.record_release(received)
        elif received.method == "POST":
            self.decode_requests[received.call_id] = self.decode_requests.get(received.call_id, 0) + 1
            self.settled_at.setdefault(received.call_id, now())
        await answer_decode(received, writer)

    def record_release(self, received: ReceivedRequest) -> None:
        self.settled_at.setdefault(received.target.rpartition("/")[2], now())

    def overdue(self) -> dict[str, float]:
        """Return the requests whose states were reserved for too long, and the seconds for each."""
        reserved_s = {name: self.settled_at.get(name, now()) - at for name, at in self.prefilled_at.items()}
        return {name: round(span, 3) for name, span in reserved_s.items() if span > ALLOWED_S + MARGIN_S}


@dataclass
class Result:
    """A request and the reply that its client got."""

    name: str
    effect: str
    reply: Reply


@dataclass
class Deployment:
    """A node as a process, with a fault proxy in front of each engine."""

    journal: Journal
    node: Node
    proxies: dict[str, FaultProxy]

    def proxies_of(self, kind: str) -> list[FaultProxy]:
        return [proxy for name, proxy in self.proxies.items() if name.startswith(kind)]

    async def send_request(self, name: str, effect: str) -> Result:
        reader, writer = await self.node.connect()
        try:
            writer.write(request(name, budget=str(BUDGET_S), X_Route_Hash=name, X_Call_Class=effect))
            reply = read_reply(reader, head_within=BUDGET_S + 1)
            return Result(name, effect, await asyncio.wait_for(reply, BUDGET_S + 1 + STREAM_S))
        except TimeoutError:
            return Result(name, effect, Reply(0, {}, b"timed out", False))
        finally:
            writer.close()

    async def send_requests(self, title: str) -> list[Result]:
        async def send(number: int) -> Result:
            await asyncio.sleep(ARRIVALS_S * number / REQUESTS)
            return await self.send_request(f"{title}-{number}", EFFECTS[number % len(EFFECTS)])

        return await asyncio.gather(*(send(number) for number in range(REQUESTS)))

    async def warm_up(self, title: str) -> None:
        """Send requests until there is a kept connection to every engine."""
        for turn in range(20):
            await asyncio.gather(
                *(self.send_request(f"warm-{title}-{turn}-{n}", "free") for n in range(2 * DECODE_ENGINES))
            )
            if all(proxy.open_connections for proxy in self.proxies.values()):
                break
        await asyncio.sleep(0.1)  # A connection is used again only after a short rest.


@contextlib.asynccontextmanager
async def run_deployment(folder: Path) -> AsyncIterator[Deployment]:
    journal = Journal()
    scripts = {f"r{n}": journal.prefill for n in range(PREFILL_ENGINES)} | {
        f"w{n}": journal.decode for n in range(DECODE_ENGINES)
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

    async def send_empty_delta(received: ReceivedRequest, out: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        body = b'{"revision":1,"complete":false,"members":[]}'
        out.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))

    agent = await Peer(send_empty_delta).start()
    plain = {**SETTINGS["classes"][0], "dedupWindow": 2_000_000}
    classes = [{**plain, "name": effect, "effect": effect} for effect in EFFECTS]
    node = await start_node(
        agent.address,
        folder / "config.json",
        settings={**SETTINGS, "classes": classes},
        known={"revision": 1, "complete": True, "members": members},
    )
    try:
        yield Deployment(journal, node, proxies)
    finally:
        await node.kill()
        for proxy in proxies.values():
            await proxy.close()
        for peer in [*peers.values(), agent]:
            await peer.stop()


@dataclass(frozen=True)
class Silence:
    """A fault in which connections or machines fall silent without an error."""

    name: str
    begin: Callable[[Deployment], None]
    others_work: bool = True
    """Whether some engines or new connections work, so that most of the requests that may be repeated are
    served."""


def machines(kind: str, count: int) -> Callable[[Deployment], None]:
    """Return a fault: `count` machines fall silent, on open connections and on new ones."""

    def begin(deployment: Deployment) -> None:
        for proxy in deployment.proxies_of(kind)[:count]:
            proxy.fail_machine(Fault.DISCARD)

    return begin


def kept_connections(*kinds: str) -> Callable[[Deployment], None]:
    """Return a fault: all open connections to engines of these kinds fall silent; new ones work."""

    def begin(deployment: Deployment) -> None:
        for kind in kinds:
            for proxy in deployment.proxies_of(kind):
                proxy.fail_open_connections(Fault.DISCARD)

    return begin


def late_bytes(kind: str) -> Callable[[Deployment], None]:
    """Return a fault: all bytes to and from these engines arrive 1.2 s late."""

    def begin(deployment: Deployment) -> None:
        for proxy in deployment.proxies_of(kind):
            proxy.delay_s = 1.2

    return begin


def held_bytes(kind: str, count: int) -> Callable[[Deployment], None]:
    """Return a fault: `count` machines are cut off, and receive all bytes once the fault is over."""

    def begin(deployment: Deployment) -> None:
        for proxy in deployment.proxies_of(kind)[:count]:
            proxy.fail_machine(Fault.HOLD)

        def end() -> None:
            for proxy in deployment.proxies_of(kind):
                proxy.heal()

        asyncio.get_running_loop().call_later(1.5, end)

    return begin


SILENCES = {
    "machines": [
        Silence("two-writers", machines("w", 2)),
        Silence("four-writers", machines("w", 4)),
        Silence("a-reader", machines("r", 1)),
        Silence("every-writer", machines("w", DECODE_ENGINES), False),
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


def unserved_log_lines(node: Node) -> str:
    """Return the node's log lines without those of requests that it served."""
    return "\n" + "".join(line for line in node.log if "end=served" not in line)


@pytest.mark.parametrize("kind", SILENCES)
def test_silent_connections_and_machines_keep_no_state_and_lose_no_request(kind: str, tmp_path: Path) -> None:
    async def go() -> None:
        violations: dict[str, object] = {}
        for silence in SILENCES[kind]:
            async with run_deployment(tmp_path) as deployment:
                await deployment.warm_up(silence.name)
                deployment.journal.prefilled_at.clear()
                silence.begin(deployment)
                results = await deployment.send_requests(silence.name)
                await asyncio.sleep(ALLOWED_S)
                if overdue := deployment.journal.overdue():
                    violations[f"{silence.name}: states reserved for too long"] = overdue
                if unanswered := [one for one in results if not one.reply.status]:
                    violations[f"{silence.name}: no final answer"] = [
                        unanswered,
                        unserved_log_lines(deployment.node),
                    ]
                unsafe = [one.name for one in results if one.effect == "single_shot"]
                if repeated := [
                    name for name in unsafe if deployment.journal.decode_requests.get(name, 0) > 1
                ]:
                    violations[f"{silence.name}: requests with an effect were repeated"] = repeated
                free = [one for one in results if one.effect == "free"]
                failed = [one for one in free if not (one.reply.status == 200 and one.reply.is_complete)]
                if silence.others_work and len(free) - len(failed) < MIN_SERVED_SHARE * len(free):
                    violations[f"{silence.name}: too few served"] = [
                        f"{len(free) - len(failed)} of {len(free)}",
                        failed,
                        unserved_log_lines(deployment.node),
                    ]
        assert not violations, "\n".join(f"{title}: {value}" for title, value in violations.items())

    run(go, 60)
