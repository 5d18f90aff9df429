"""Stand-ins and helpers for the cases: engines, discovery agent, clients, and the node as a process.

Only the standard library is used. All addresses are loopback addresses, all ports are free ones. Times in the
record are seconds since the start of the test, on the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_WITHIN_S = 30.0
STARTED_AT = time.monotonic()


def now() -> float:
    """Return the seconds since the start of the test."""
    return time.monotonic() - STARTED_AT


class CannotRunError(Exception):
    """The case could not be run; the message says why."""


class Record:
    """The lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def add(self, who: str, what: str) -> None:
        self._file.write(f"{now():8.3f}  {who:<10} {what}\n")

    def close(self) -> None:
        self._file.close()


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, by the example of WIRE section 15 (graz-lectures)."""
    base: dict[str, Any] = {
        "az": 0,
        "classes": [
            {
                "deadline": 5000000,
                "dedupWindow": 5000000,
                "effect": "free",
                "importance": 1.0,
                "keyScope": "all",
                "lateShare": 0.1,
                "name": "question",
                "promise": 1200000,
                "stream": True,
            },
            {
                "deadline": 12000000,
                "dedupWindow": 5000000,
                "effect": "free",
                "importance": 2.0,
                "keyScope": "all",
                "lateShare": 0.3,
                "name": "summary",
                "promise": 2500000,
                "stream": True,
            },
        ],
        "clients": {"marksRetry": True},
        "costs": {},
        "countedBy": "work",
        "discovery": "automatic",
        "failureDomains": ["graz-1"],
        "family": "twostage",
        "granularity": 4000,
        "hostTypes": ["prefill", "decode", "mixed"],
        "limits": {
            "cancel": True,
            "connIdle": 15000000,
            "connectTimeout": 250000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400000,
            "maxRetryAfter": 500000,
            "mayProbe": False,
            "mostTries": 5,
            "openCap": 20000,
            "peerMessages": False,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 32,
        },
        "obligations": {
            "answerSlack": 16000,
            "askWithin": 10000000,
            "cold": 12000000,
            "coldFrom": 0.25,
            "drainGrace": 500000,
            "fall": 3000000,
            "fallMultiple": 2.5,
        },
        "overShareWorth": 0.1,
        "projects": [
            {"name": "fh-steiermark-nord", "quotaPerS": 18.0, "share": 0.5},
            {"name": "akademie-linz", "quotaPerS": 14.0, "share": 0.37},
            {"name": "kolleg-bregenz", "quotaPerS": 5.0, "share": 0.13},
        ],
        "replicasOfMe": 2,
        "reporting": {"fields": ["inflight", "queue", "x0", "x1"], "how": "piggyback"},
        "resultMix": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3},
        "slotNo": 0,
        "specifics": {
            "aimUsPer1000PromptTokens": [40000.0, 120000.0],
            "dutyByKind": ["read", "write", "both"],
            "earlyPairing": False,
            "farPrice": 0.02,
            "kvTokens": [232586, 150605, 192101],
            "letGoBy": 300000,
            "reportX0": "share of memory that is held",
            "reportX1": "thousands of prompt tokens waiting to be read or fetched",
            "resume": True,
            "tokenAim": [60000.0, 80000.0],
            "writersRead": True,
        },
        "stage": 0,
        "tiers": ["model-fleet"],
        "weightKind": "nominal",
    }
    for path, value in changes.items():
        target = base
        *parents, last = path.split("__")
        for parent in parents:
            target = target[parent]
        target[last] = value
    return base


# -- HTTP/1.1 for the stand-ins


@dataclass
class Message:
    """A request or an answer."""

    first: str
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with a body of known length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", "0")):
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(first, headers, body)


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(text: str, finish: str | None = None) -> bytes:
    choice = {"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}]}
    return b"data: " + json.dumps(choice, separators=(",", ":")).encode() + b"\n\n"


USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":900,"completion_tokens":20,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n'
)
DONE = b"data: [DONE]\n\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass
class Held:
    """The read states of all engines: any engine lets go of any of them."""

    states: dict[str, str] = field(default_factory=dict)


@dataclass
class Engine:
    """An engine: reads, writes or does both, by its role."""

    name: str
    role: str
    held: Held
    record: Record
    read_s: float = 0.05
    events: int = 5
    event_gap_s: float = 0.05
    address: str = ""
    attempts: list[tuple[float, str]] = field(default_factory=list)
    """Time and call id of each request whose last byte has come."""
    streamed: dict[str, int] = field(default_factory=dict)
    """Number of events that were written, by call id."""
    finished: dict[str, float] = field(default_factory=dict)
    """Times at which streams were written to their end, by call id."""
    cut: dict[str, float] = field(default_factory=dict)
    """Times at which the node ended the connection in mid-stream, by call id."""
    tail: Callable[[Engine], list[bytes]] | None = None
    """Returns the pieces that end a stream; by default usage and `[DONE]`."""
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self, phase: str = "Ready") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": "graz-1",
            "flavor": {"read": "prefill", "write": "decode", "both": "mixed"}[self.role],
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while message := await read_message(reader):
                await self._answer(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        method, target, _ = message.first.split(" ", 2)
        if method == "DELETE":
            self.held.states.pop(target.rsplit("/", 1)[1], None)
            writer.write(answer(204))
            return
        call_id = message.headers.get("x-call-id", "")
        if not call_id:
            writer.write(answer(404))
            return
        self.attempts.append((now(), call_id))
        self.record.add(self.name, f"got {method} {target} {call_id}")
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            self.held.states[call_id] = self.name
            writer.write(answer(202, b'{"cached_tokens":0}'))
            self.record.add(self.name, f"202 {call_id}")
            return
        if self.held.states.pop(call_id, None) is None:
            if self.role == "write":
                writer.write(answer(410, b"", "X-Rejected: 1"))
                self.record.add(self.name, f"410 {call_id}")
                return
            await asyncio.sleep(self.read_s)
        await self._stream(call_id, writer)

    async def _stream(self, call_id: str, writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD)
        self.streamed[call_id] = 0
        try:
            for index in range(self.events):
                await asyncio.sleep(self.event_gap_s)
                last = index == self.events - 1
                writer.write(chunk(event(f"t{index} ", "stop" if last else None)))
                await writer.drain()
                self.streamed[call_id] += 1
            for piece in self.tail(self) if self.tail else [USAGE, DONE]:
                writer.write(chunk(piece))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            self.cut[call_id] = now()
            self.record.add(
                self.name, f"cut off by the node after {self.streamed[call_id]} events: {call_id}"
            )
            raise
        self.finished[call_id] = now()
        self.record.add(self.name, f"stream written to its end: {call_id}")


class Agent:
    """The discovery agent: answers at once with what it has, or waits for a change as it is asked to."""

    def __init__(self, engines: list[Engine], record: Record) -> None:
        self.record = record
        self.revision = 41
        self.entries = {engine.name: engine.entry() for engine in engines}
        self._changed_at = dict.fromkeys(self.entries, 41)
        self.answer_delay_s = 0.0
        """Time by which each answer is late."""
        self.calls = 0
        self.address = ""
        self._condition = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def whole_list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    async def change(self, entry: dict[str, Any]) -> None:
        async with self._condition:
            self.revision += 1
            if entry["phase"] == "Gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
            self._changed_at[entry["id"]] = self.revision
            self._last = {**getattr(self, "_last", {}), entry["id"]: entry}
            self.record.add("discovery", f"has revision {self.revision}: {entry['id']} {entry['phase']}")
            self._condition.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while message := await read_message(reader):
                self.calls += 1
                body = json.dumps(await self._list(message.first.split(" ")[1])).encode()
                await asyncio.sleep(self.answer_delay_s)
                writer.write(answer(200, body, "Content-Type: application/json"))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _list(self, target: str) -> dict[str, Any]:
        _path, _, query = target.partition("?")
        if not query:
            return self.whole_list()
        values = dict(part.split("=") for part in query.split("&"))
        since, wait_s = int(values["since"]), int(values.get("timeout_ms", "0")) / 1e3
        if since > self.revision:
            return self.whole_list()
        async with self._condition:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._condition.wait_for(lambda: self.revision > since), min(wait_s, 60.0)
                )
        changed = [
            getattr(self, "_last", {}).get(name, self.entries.get(name))
            for name, revision in self._changed_at.items()
            if revision > since
        ]
        return {"revision": self.revision, "complete": False, "members": changed}


class Node:
    """The node, started as the deploy file says."""

    def __init__(self, record: Record, folder: Path, agent: Agent, node_settings: dict[str, Any]) -> None:
        self.record, self.folder, self.agent = record, folder, agent
        self.address = f"127.0.0.1:{free_port()}"
        self.memory_mb, self.sockets = 128, 1024
        self.node_settings = node_settings
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / "node.log"

    @property
    def pid(self) -> int:
        assert self.process
        return self.process.pid

    async def start(self) -> None:
        config = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.agent.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.agent.whole_list(),
            "settings": self.node_settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(temporary),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": self.agent.address,
            "RELAY_CONFIG": str(path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("node", f"started, pid {self.pid}")
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"the node ended at its start with {self.process.returncode}")
            with contextlib.suppress(OSError):
                reply = await request(self.address, b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
                if reply.status == 200:
                    self.record.add("node", "ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the node did not become ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        if self.process.poll() is None:
            self.record.add("test", f"{number.name} to the node")
            self.process.send_signal(number)

    def is_running(self) -> bool:
        assert self.process
        return self.process.poll() is None

    def peak_memory_mb(self) -> float:
        """Return the highest resident size of the node so far; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# -- clients


@dataclass
class Reply:
    """What a client got."""

    sent_at: float
    status: int = 0
    """0: the connection ended with no answer, or nothing came in time."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    """Whether the answer came to its end: its length, or its last chunk."""
    ended_at: float = 0.0
    end: str = ""

    @property
    def took_s(self) -> float:
        return self.ended_at - self.sent_at


def call(
    call_id: str, budget_s: float, *, name: str = "question", tokens: int = 900, again: str = ""
) -> bytes:
    body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 200}]})
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {name}",
        "X-Caller: akademie-linz",
        f"X-Route-Hash: {call_id}",
        f"X-Budget: {budget_s:.3f}",
        f"X-Call-Info: prompt_len={tokens},max_out=500",
        *([f"X-Again: {again}"] if again else []),
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "",
        body,
    ]
    return "\r\n".join(lines).encode()


async def request(address: str, data: bytes, within_s: float) -> Reply:
    """Send a request on a new connection and read its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), within_s)
    try:
        return await exchange(reader, writer, data, within_s)
    finally:
        writer.close()


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes, within_s: float
) -> Reply:
    """Send a request on an open connection and read its answer."""
    reply = Reply(now())
    try:
        async with asyncio.timeout(within_s):
            writer.write(data)
            await writer.drain()
            await _read_reply(reader, reply)
            reply.end = "whole"
            reply.is_whole = True
    except TimeoutError:
        reply.end = "nothing more in time"
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        if isinstance(error, asyncio.IncompleteReadError):
            reply.body += error.partial if reply.status else b""
        reply.end = f"the connection ended ({type(error).__name__})"
    reply.ended_at = now()
    return reply


async def _read_reply(reader: asyncio.StreamReader, reply: Reply) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    reply.status = int(first.split(" ")[1])
    reply.headers = {
        name.strip().lower(): value.strip()
        for name, colon, value in (line.partition(":") for line in lines)
        if colon
    }
    if length := reply.headers.get("content-length"):
        reply.body = await reader.readexactly(int(length))
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        reply.body += part[:-2]
        if not size:
            return


# -- running a case


def run_case(folder: Path, case: Callable[[Record, Path, bool], Any], limit_s: float = 110.0) -> int:
    """Run a case; return its exit code. `case` is called with whether to make the trouble."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("test", f"begins, {'with' if trouble else 'without'} the disruption")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # So that the node is ended in this case too.
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            code, verdict = asyncio.run(_within(case(record, Path(temporary), trouble), limit_s))
    except CannotRunError as error:
        code, verdict = NOT_RUN, f"not run: {error}"
    except (OSError, TimeoutError, KeyboardInterrupt) as error:
        code, verdict = NOT_RUN, f"not run: {type(error).__name__}: {error}"
    record.add("verdict", verdict)
    record.close()
    print(verdict, file=sys.stderr)
    return code


async def _within(work: Any, limit_s: float) -> tuple[int, str]:
    async with asyncio.timeout(limit_s):
        result: tuple[int, str] = await work
        return result
