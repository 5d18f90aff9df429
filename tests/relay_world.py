"""A platform to test the relay against: discovery, engines and clients on raw sockets, which note what they
saw."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from tuliptrack.relay.config import RelayConfig, parse
from tuliptrack.relay.node import RelayNode

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "plain",
            "importance": 1.0,
            "promise": 1_000_000,
            "deadline": 5_000_000,
            "effect": "free",
            "stream": True,
        }
    ],
    "discovery": "automatic",
    "failureDomains": ["z"],
    "hostTypes": ["reads", "writes", "both"],
    "granularity": 4_000,
    "limits": {
        "cancel": True,
        "connIdle": 15_000_000,
        "connectTimeout": 250_000,
        "maxRetryAfter": 500_000,
        "mostTries": 5,
        "openCap": 20_000,
        "retryAfter": True,
    },
    "obligations": {
        "answerSlack": 16_000,
        "cold": 12_000_000,
        "coldFrom": 0.25,
        "drainGrace": 500_000,
        "fall": 3_000_000,
        "fallMultiple": 2.5,
    },
    "projects": [{"name": "acme", "quotaPerS": 500.0, "share": 1.0}],
    "replicasOfMe": 1,
    "slotNo": 0,
    "reporting": {"fields": ["inflight", "x0"], "how": "piggyback"},
    "specifics": {
        "dutyByKind": ["read", "write", "both"],
        "letGoBy": 300_000,
        "resume": True,
        "writersRead": True,
    },
}
OPENING = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
TOKENS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"t%d"},"finish_reason":null}]}\n\n' % n
    for n in range(4)
]
LAST = [
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}\n\n',
    b"data: [DONE]\n\n",
]
STREAM = b"".join(TOKENS + LAST)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class Seen:
    """One request as an engine, or discovery, saw it whole."""

    method: str
    target: str
    head: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        return self.head.get("x-call-id", "")


Script = Callable[[Seen, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Peer:
    """A listener that reads whole requests and plays a script for each."""

    script: Script
    seen: list[Seen] = field(default_factory=list)
    broke: list[str] = field(default_factory=list)
    """Ids of requests whose connection the node ended before the script was through."""
    address: str = ""
    connections: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> Peer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        one = None
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = dict(
                    (k.lower(), v.strip()) for k, _, v in (x.partition(":") for x in lines[1:] if x)
                )
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                one = Seen(method, target, fields, body)
                self.seen.append(one)
                playing = asyncio.ensure_future(self.script(one, writer))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({playing, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not playing.done():
                    self.broke.append(one.call_id)
                    playing.cancel()
                    return
                if gone.done():
                    return
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                await playing
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @property
    def port(self) -> int:
        return int(self.address.rpartition(":")[2])

    @property
    def live(self) -> int:
        """Connections that are open."""
        return len(self._writers)

    async def stop(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def asked(self, method: str = "POST") -> list[Seen]:
        return [one for one in self.seen if one.method == method]


def delay_connections(patch: pytest.MonkeyPatch, delay: Callable[[int], float]) -> None:
    """Connections that this loop opens come up so many seconds late, told by the port that they go to."""
    loop = asyncio.get_running_loop()
    connect: Any = loop.create_connection

    async def late(made: Any, host: str, port: int, **more: Any) -> Any:
        await asyncio.sleep(delay(port))
        return await connect(made, host, port, **more)

    patch.setattr(loop, "create_connection", late)


class Vanished(Peer):
    """An engine whose machine takes no connection and says nothing of it: its queue of them is full."""

    def __init__(self) -> None:
        super().__init__(hangs)
        self._held: list[socket.socket] = []

    async def start(self) -> Peer:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = "{}:{}".format(*full.getsockname())
        self._held = [full, *(socket.socket() for _ in range(4))]
        for one in self._held[1:]:
            one.setblocking(False)
            one.connect_ex(full.getsockname())
        return self

    async def stop(self) -> None:
        for one in self._held:
            one.close()


async def reads(one: Seen, writer: asyncio.StreamWriter) -> None:
    """A reader: 202 with what was kept; 204 to a release."""
    if one.method == "DELETE":
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        return
    body = b'{"cached_tokens":3}'
    writer.write(
        b'HTTP/1.1 202 Accepted\r\nx-load-report: {"inflight":2,"x0":0.5}\r\ncontent-length: %d\r\n\r\n%b'
        % (len(body), body)
    )


async def writes(one: Seen, writer: asyncio.StreamWriter) -> None:
    """A writer: the whole stream, a report at its end."""
    if one.method == "DELETE":
        await reads(one, writer)
        return
    writer.write(OPENING)
    for event in TOKENS + LAST:
        writer.write(chunk(event))
        await asyncio.sleep(0)
    writer.write(chunk(b': X-Load-Report: {"inflight":7,"x0":0.25}\n\n') + b"0\r\n\r\n")


async def hangs(one: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.Event().wait()


@dataclass
class Reply:
    """What a client got: the status (0: none), the head, the body so far, and whether it was whole."""

    status: int
    head: dict[str, str]
    body: bytes
    whole: bool


def request(call_id: str, body: bytes = b'{"stream":true}', budget: str = "4.8", **fields: str) -> bytes:
    head = {
        "Host": "api",
        "X-Call-Id": call_id,
        "X-Call-Class": "plain",
        "X-Caller": "acme",
        "X-Route-Hash": "77",
        "X-Budget": budget,
        "Content-Length": str(len(body)),
        "X-Call-Info": "prefix=ab,prompt_len=9,prefix_len=4,max_out=20",
    }
    head |= {name.replace("_", "-"): value for name, value in fields.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in head.items() if value)
    return b"POST /v1/chat/completions?a=1 HTTP/1.1\r\n" + lines.encode() + b"\r\n" + body


async def read_reply(reader: asyncio.StreamReader, head_within: float | None = None) -> Reply:
    """Read an answer to its end; TimeoutError where its head takes longer than so many seconds."""
    try:
        raw = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), head_within)
        head = raw.decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return Reply(0, {}, b"", False)
    fields = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head[1:] if x)}
    status, body = int(head[0].split(" ")[1]), b""
    try:
        if "content-length" in fields:
            return Reply(status, fields, await reader.readexactly(int(fields["content-length"])), True)
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return Reply(status, fields, body, True)
            body += data[:-2]
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Reply(status, fields, body, False)


def config(members: list[dict[str, Any]], discovery: str, **changes: Any) -> RelayConfig:
    settings = {**SETTINGS, **changes.pop("settings", {})}
    told = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": settings,
        **changes,
    }
    return parse(json.dumps(told).encode(), {})


class Platform:
    """A relay with its engines and its discovery."""

    def __init__(self, engines: dict[str, Peer], agent: Peer) -> None:
        self.engines, self.agent = engines, agent
        self.revision = 1
        self.changed = asyncio.Event()
        self.phases: dict[str, str] = {}
        self.relay: RelayNode
        self.ids = (f"c-{n}" for n in itertools.count())

    def members(self) -> list[dict[str, Any]]:
        kinds = {"r": "reads", "w": "writes", "m": "both"}
        return [
            {
                "id": name,
                "host_port": one.address,
                "locality": "z",
                "flavor": kinds[name[0]],
                "cell": 1,
                "phase": self.phases.get(name, "Ready"),
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, one in self.engines.items()
        ]

    def tell(self, **phases: str) -> None:
        self.phases |= phases
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def answers(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        """Discovery's script: the whole list, or a wait for what is newer."""
        if (since := re.search(r"since=(\d+)", one.target)) and int(since[1]) >= self.revision:
            wait = re.search(r"timeout_ms=(\d+)", one.target)
            assert wait
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(wait[1]) / 1e3)
        body = json.dumps({"revision": self.revision, "complete": True, "members": self.members()}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.relay.front.server.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def say(self, data: bytes, within: float = 10.0) -> Reply:
        """Send these bytes on a connection of their own; the reply."""
        reader, writer = await self.connect()
        try:
            with contextlib.suppress(OSError):
                writer.write(data)
            return await asyncio.wait_for(read_reply(reader), within)
        finally:
            writer.close()

    async def ask(self) -> Reply:
        return await self.say(request(next(self.ids)))

    def saw(self, method: str = "POST") -> list[Seen]:
        return [one for engine in self.engines.values() for one in engine.asked(method)]


@contextlib.asynccontextmanager
async def platform(
    changes: dict[str, Any] | None = None, **scripts: Script | Peer
) -> AsyncIterator[Platform]:
    """A relay before these engines: `r…` read, `w…` write, `m…` do both."""
    engines = {
        name: await (one if isinstance(one, Peer) else Peer(one)).start() for name, one in scripts.items()
    }
    made = Platform(engines, Peer(hangs))
    made.agent.script = made.answers
    await made.agent.start()
    made.relay = RelayNode(config(made.members(), made.agent.address, **(changes or {})))
    await made.relay.start()
    try:
        yield made
    finally:
        made.relay.front.server.abort_connections()
        await made.relay.stop(0.0, 0.0)
        for peer in [*engines.values(), made.agent]:
            await peer.stop()
        assert not made.relay.table.open and not made.relay.front.open_requests, "requests left"
        assert (
            made.relay.front.body_budget.used_bytes == 0 and made.relay.front.server.bodies.used_bytes == 0
        ), "bytes left"
