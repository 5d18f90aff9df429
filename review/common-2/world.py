"""Stand-ins for the platform of a node: engines, the discovery agent and clients, and the record of a run.

All of them run in this one process on loopback addresses and the real clock; the node runs as a process of its
own, started with the line `run` of the deploy file. Nothing of the project is imported. The stand-ins follow
PROTOCOL.md and are sound unless a case tells them otherwise.
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
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


@dataclass
class Message:
    """A request or an answer that was read."""

    start: str
    fields: dict[str, str]
    body: bytes = b""
    first_byte: float = 0.0
    last_byte: float = 0.0


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        first = await reader.readexactly(1)
        at = time.monotonic()
        head = first + await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields, first_byte=at)


async def read_chunks(reader: asyncio.StreamReader) -> Any:
    """Yield the chunks of a body; ends normally only after the last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(message: Message, reader: asyncio.StreamReader) -> None:
    """Read the body of a request whose head was read."""
    if "chunked" in message.fields.get("transfer-encoding", ""):
        message.body = b"".join([part async for part in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.fields.get("content-length", "0")))
    message.last_byte = time.monotonic()


async def read_request(
    reader: asyncio.StreamReader,
    read_rest: Callable[[Message, asyncio.StreamReader], Awaitable[None]] = read_body,
) -> Message | None:
    """Read a whole request; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        await read_rest(message, reader)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return message


def close(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()


@dataclass
class Attempt:
    """One attempt as its engine saw it."""

    call_id: str
    engine: str
    first_byte: float
    last_byte: float
    budget: float
    ended: float = 0.0
    end: str = ""


class Engine:
    """One engine: a reader, a writer or both, by its role."""

    def __init__(self, world: World, name: str, role: str, **entry: Any) -> None:
        self.world, self.name, self.role = world, name, role
        self.host = "127.0.0.1"
        self.port = 0
        self.proxy: Proxy | None = None
        self.entry = {
            "locality": world.settings["failureDomains"][0],
            "flavor": world.settings["hostTypes"][world.settings["specifics"]["dutyByKind"].index(role)],
            "cell": 1,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
            **entry,
        }
        self.read_s, self.first_s, self.gap_s, self.events = 0.03, 0.03, 0.02, 5
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process does: connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def listed(self) -> dict[str, Any]:
        port = self.proxy.port if self.proxy else self.port
        return {"id": self.name, "host_port": f"{self.host}:{port}", **self.entry}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_request(reader, self.receive_body)) is not None:
                method, target, _ = message.start.split(" ", 2)
                if method == "DELETE":
                    await self.delete(target.rpartition("/")[2], writer)
                elif not await self.attempt(message, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    async def receive_body(self, message: Message, reader: asyncio.StreamReader) -> None:
        await read_body(message, reader)

    async def delete(self, call_id: str, writer: asyncio.StreamWriter) -> None:
        self.world.release(call_id, self.name)
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        await writer.drain()

    async def attempt(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        call_id = message.fields.get("x-call-id", "")
        attempt = Attempt(
            call_id, self.name, message.first_byte, message.last_byte, float(message.fields["x-budget"])
        )
        self.world.attempt_began(attempt, message)
        work = asyncio.ensure_future(self.work(attempt, message, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            with contextlib.suppress(OSError):
                await gone
            self.world.attempt_ended(attempt, "given up")
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            if await gone:
                self.world.note(f"engine {self.name}: bytes after the request on its connection")
                return False
        try:
            keep = work.result()
        except OSError:
            self.world.attempt_ended(attempt, "connection lost")
            return False
        return keep

    async def work(self, attempt: Attempt, message: Message, writer: asyncio.StreamWriter) -> bool:
        world = self.world
        if self.entry["phase"] != "Ready":
            world.attempt_ended(attempt, "turned away, draining")
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")
            return True
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            world.hold(attempt.call_id, self.name)
            world.attempt_ended(attempt, "read")
            body = b'{"cached_tokens":0}'
            writer.write(b"HTTP/1.1 202 Accepted\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            return True
        if not world.held(attempt.call_id):
            if self.role == "write" and not world.settings["specifics"]["writersRead"]:
                world.attempt_ended(attempt, "410")
                writer.write(b"HTTP/1.1 410 Gone\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")
                return True
            await asyncio.sleep(self.read_s)
        await asyncio.sleep(self.first_s)
        world.take(attempt.call_id, self.name)
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        for event in stream_events(attempt.call_id, self.name, self.events):
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        world.attempt_ended(attempt, "served")
        return True


def stream_events(call_id: str, engine: str, count: int) -> list[bytes]:
    """Return the events of an answer; the text names the request and the engine."""
    events = []
    for index in range(count):
        finish = "stop" if index == count - 1 else None
        choice = {"index": 0, "delta": {"content": f"{call_id}.{engine}.{index}"}, "finish_reason": finish}
        events.append(json.dumps({"choices": [choice]}))
    usage = {
        "prompt_tokens": 100,
        "completion_tokens": count,
        "prompt_tokens_details": {"cached_tokens": 0},
    }
    events.append(json.dumps({"choices": [], "usage": usage}))
    return [f"data: {event}\n\n".encode() for event in [*events, "[DONE]"]]


class Proxy:
    """A proxy in front of a stand-in; it can close each new connection as soon as it has accepted it.

    It accepts in a thread of its own, so that a close does not wait for the rest of this process.
    """

    def __init__(self, port: int) -> None:
        self.behind = port
        self.closes = False
        self.closed = 0
        self.sockets: set[socket.socket] = set()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def close_all(self) -> None:
        """Close the connections that are open, and from now on each new one."""
        self.closes = True
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _serve(self) -> None:
        while True:
            client, _ = self.listener.accept()
            if self.closes:
                self.closed += 1
                client.close()
                continue
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server = socket.create_connection(("127.0.0.1", self.behind))
            server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets |= {client, server}
            threading.Thread(target=self._copy, args=(client, server), daemon=True).start()
            threading.Thread(target=self._copy, args=(server, client), daemon=True).start()

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                target.sendall(data)
        for sock in (source, target):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.sockets.discard(source)


class Agent:
    """The discovery agent: whole lists and watches, answered `late_s` after the call or the change."""

    def __init__(self, world: World) -> None:
        self.world, self.port, self.revision = world, 0, 1
        self.late_s = 0.0
        self.changed = asyncio.Event()
        self.changes: dict[str, int] = {}
        self.calls = self.answers = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, **phases: str) -> None:
        """Change the phases of engines; the change is the agent's from now on."""
        self.revision += 1
        for name, phase in phases.items():
            self.world.engines[name].entry["phase"] = phase
            self.changes[name] = self.revision
        self.world.note(f"agent has revision {self.revision}: {phases}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        members = [e.listed() for e in self.world.engines.values() if e.entry["phase"] != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def since(self, revision: int) -> dict[str, Any]:
        members = [self.world.engines[name].listed() for name, at in self.changes.items() if at > revision]
        return {"revision": self.revision, "complete": False, "members": members}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_request(reader)) is not None:
                self.calls += 1
                gone = asyncio.ensure_future(reader.read(1))
                answer = asyncio.ensure_future(self.answer(message, writer))
                await asyncio.wait({gone, answer}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    answer.cancel()
                    with contextlib.suppress(OSError):
                        await gone
                    break
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    if await gone:
                        break
                answer.result()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        target = message.start.split(" ")[1]
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        if query:
            since = int(query["since"])
            if since >= self.revision:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query["timeout_ms"]) / 1e3)
        if self.late_s:
            await asyncio.sleep(self.late_s)
        body = json.dumps(self.since(int(query["since"])) if query else self.whole()).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b"
            % (len(body), body)
        )
        await writer.drain()
        self.answers += 1


@dataclass
class Answer:
    """What a client got for one request."""

    call_id: str
    sent: float
    budget: float
    status: int = 0
    events: list[str] = field(default_factory=list)
    whole: bool = False
    done: float = 0.0
    error: str = ""

    @property
    def kind(self) -> str:
        """Return served, refused, failed, broken (a stream that ended early) or none."""
        if self.status == 200:
            return "served" if self.whole else "broken"
        if self.status in (429, 503):
            return "refused"
        return "failed" if self.status else "none"


class Node:
    """One node, started by the line `run` of the deploy file."""

    def __init__(self, world: World, name: str = "n0", **overrides: Any) -> None:
        self.world, self.name = world, name
        self.port = free_port()
        self.folder = Path(world.folder) / name
        self.folder.mkdir()
        self.overrides = overrides
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def configure(self, discovery: int, known: dict[str, Any] | None = None) -> None:
        """Write the configuration as a whole, in place of an earlier one."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known or {"revision": 0, "complete": True, "members": []},
            "settings": self.world.settings,
            **self.overrides,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        temporary = self.folder / f"tmp{self.starts}"
        temporary.mkdir()
        self.starts += 1
        environment = {
            **os.environ,
            "TMPDIR": str(temporary),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.world.agent.port}",
            "RELAY_CONFIG": str(self.folder / "config.json"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.note(f"node {self.name} started")

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until the node's page says that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRunError(f"node {self.name} ended at its start")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")
                head = await read_head(reader)
                close(writer)
                if head and head.start.split(" ")[1] == "200":
                    self.world.note(f"node {self.name} is ready")
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"node {self.name} is not ready within {within_s} s")

    def send(self, number: signal.Signals) -> None:
        assert self.process
        self.world.note(f"{number.name} to node {self.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class CannotRunError(Exception):
    """The case could not run."""


class World:
    """Everything around the nodes, and what was seen."""

    def __init__(self, folder: str, settings: dict[str, Any]) -> None:
        self.folder, self.settings = folder, settings
        self.started = time.monotonic()
        self.engines: dict[str, Engine] = {}
        self.agent = Agent(self)
        self.nodes: list[Node] = []
        self.lines: list[str] = []
        self.attempts: list[Attempt] = []
        self.answers: list[Answer] = []
        self.sent: dict[str, bytes] = {}
        self.states: dict[str, dict[str, float]] = {}
        """By request: the engines that hold a state for it, and since when."""
        self.breaks: list[str] = []
        self._ids = 0

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():8.3f} {text}")

    def broken(self, text: str) -> None:
        self.breaks.append(text)
        self.note(f"BROKEN: {text}")

    def engine(self, name: str, role: str, **entry: Any) -> Engine:
        self.engines[name] = Engine(self, name, role, **entry)
        return self.engines[name]

    # -- what engines report

    def attempt_began(self, attempt: Attempt, message: Message) -> None:
        out = [a for a in self.attempts if a.call_id == attempt.call_id and not a.ended]
        self.attempts.append(attempt)
        self.note(f"{attempt.call_id} attempt at {attempt.engine}, budget {attempt.budget}")
        if self.sent.get(attempt.call_id) != message.body:
            self.broken(f"{attempt.engine} got a request that no client sent: {attempt.call_id!r}")
        for other in out:
            self.note(f"{attempt.call_id} at {attempt.engine} while one is out at {other.engine}")

    def attempt_ended(self, attempt: Attempt, how: str) -> None:
        attempt.ended, attempt.end = time.monotonic(), how
        self.note(f"{attempt.call_id} at {attempt.engine} ended: {how}")

    def hold(self, call_id: str, engine: str) -> None:
        self.states.setdefault(call_id, {})[engine] = time.monotonic()

    def held(self, call_id: str) -> bool:
        return bool(self.states.get(call_id))

    def take(self, call_id: str, engine: str) -> None:
        self.states.pop(call_id, None)

    def release(self, call_id: str, engine: str) -> None:
        if self.states.pop(call_id, None):
            self.note(f"{call_id} released by a call to {engine}")

    # -- clients

    def new_id(self) -> str:
        self._ids += 1
        return f"{self._ids:016x}"

    async def ask(self, node: Node, budget: float = 4.0, request_class: str = "", **extra: Any) -> Answer:
        """Send one request on a new connection and read its answer to the end."""
        call_id = self.new_id()
        body = extra.pop("body", None) or json.dumps({"model": "m", "stream": True, "n": call_id}).encode()
        self.sent[call_id] = body
        request_class = request_class or self.settings["classes"][0]["name"]
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nhost: api\r\nx-call-id: {call_id}\r\n"
            f"x-call-class: {request_class}\r\nx-caller: {self.settings['projects'][0]['name']}\r\n"
            f"x-route-hash: {call_id}\r\nx-budget: {budget:.3f}\r\n"
            f"x-call-info: prompt_len=100,max_out=100\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        answer = Answer(call_id, time.monotonic(), budget)
        self.answers.append(answer)
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(head.encode() + body)
            answer.sent = time.monotonic()
            self.note(f"{call_id} sent to {node.name}")
            await asyncio.wait_for(self.read_answer(reader, answer), extra.get("wait_s", budget + 30))
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
            answer.error = type(error).__name__
        finally:
            if writer:
                close(writer)
        answer.done = time.monotonic()
        took = answer.done - answer.sent
        self.note(f"{call_id} {answer.kind} {answer.status} after {took:.3f} s {answer.error}")
        return answer

    async def read_answer(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = await read_head(reader)
        if head is None:
            raise ConnectionError
        answer.status = int(head.start.split(" ")[1])
        if "chunked" in head.fields.get("transfer-encoding", ""):
            async for part in read_chunks(reader):
                answer.events.append(part.decode())
        else:
            await reader.readexactly(int(head.fields.get("content-length", "0")))
        answer.whole = True

    # -- the run

    async def start(self) -> None:
        for engine in self.engines.values():
            await engine.start()
        await self.agent.start()

    def end(self) -> None:
        for node in self.nodes:
            node.end()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment, with changes by the top-level name."""
    base: dict[str, Any] = json.loads((Path(__file__).parent / "settings.json").read_text())
    for name, value in changes.items():
        if isinstance(value, dict):
            base[name] = {**base[name], **value}
        else:
            base[name] = value
    return base


def run_case(
    case: Callable[[World, bool], Awaitable[None]], case_settings: dict[str, Any], trouble: bool
) -> None:
    """Run a case, with its disruption or without it, write its record and exit with its result."""
    folder = Path(sys.argv[0]).resolve().parent

    async def go() -> int:
        task = asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):  # The nodes are ended then as well.
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            world = World(temporary, case_settings)
            try:
                await asyncio.wait_for(case(world, trouble), 110)
                code = BROKEN if world.breaks else HELD
            except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
                world.note(f"not run: {error!r}")
                code = NOT_RUN
            finally:
                world.end()
                logs = "".join(f"-- {n.name}\n{n.log.read_text(errors='replace')}" for n in world.nodes)
                verdict = "\n".join(world.breaks) or ("could not run" if code == NOT_RUN else "the rule held")
                (folder / "record.txt").write_text(
                    f"trouble: {trouble}\nresult: {verdict}\n\n" + "\n".join(world.lines) + f"\n\n{logs}"
                )
            print(verdict)
            return code

    os._exit(asyncio.run(go()))
