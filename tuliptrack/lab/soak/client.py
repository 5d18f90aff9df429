"""Clients of a soak. They send requests to all nodes, reuse connections and record the answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
from dataclasses import dataclass
from itertools import pairwise

from tuliptrack.lab.soak.crowd import run_crowds
from tuliptrack.lab.soak.malformed_requests import run_malformed
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import QUIET_S, FaultKind
from tuliptrack.lab.soak.settings import EFFECTS, World

__all__ = ["run_clients"]

_LEAVE_EARLY, _STALL, _SMALL_BUDGET, _NEW_CONNECTION, _REST_SHARE = 0.06, 0.02, 0.04, 0.3, 0.05
"""Shares of requests: the client disconnects early; stalls in the middle of the request; gives a very small time
budget; opens a new connection although it has one; rests for a long time before it.
"""
_RETRY_AT_ONCE, _HEDGED = 0.5, 0.05
"""Shares: refused requests that are retried at once; requests that are sent twice at the same time, under two ids.
"""
_PAUSE_S, _LONG_REST_S = (0.02, 0.25), (1.0, 4.0)
_SHUTDOWN_PAUSE_S = (0.0, 0.03)
"""Pause while a node shuts down: its clients continue to use their open connections up to the SIGKILL."""
_AT_NODE_SHUTTING_DOWN = 0.8
"""Share of the requests that go to a node that is shutting down, if there is one."""
_WAIT_AFTER_DEADLINE_S = 3.0
"""How long after its deadline a client still waits for its answer."""
_STREAM_WAIT_S = 12.0
"""How long a client waits for the end of an answer that has begun."""
_READS_LATE_SHARE = 0.5
"""Share of the answers that clients read late, while that fault lasts."""
_RECEIVE_BUFFER_BYTES = 32_768
"""Size of the kernel's receive buffer, so that a node feels it when a client does not read."""
_WRITES_SLOWLY_SHARE = 0.5
"""Share of the requests that clients write slowly, while that fault lasts."""
_SLOW_WRITE_S = (0.2, 1.8)
_PARTS = 12
_LARGE_BODY_BYTES = 250_000
_STALL_S = 3.5
_READER_LIMIT_BYTES = 1 << 20
_REFUSED = 503
_WRITTEN_AT = re.compile(rb'"at":([0-9.]+)')


@dataclass
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    status: int = -1
    """Status of the answer that has begun; -1: none has."""
    given_up: bool = False
    """Whether the client has stopped waiting."""
    rested_until: float = 0.0
    """Until when the client left the answer unread; 0: it did not."""
    held_back: float = 0.0
    """The longest time in seconds from an engine's write of an event to its arrival here."""

    @property
    def is_ended(self) -> bool:
        """Whether the node has ended the connection, as far as is known."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def note_events(self, data: bytes, now: float) -> None:
        """Update `held_back` from the write times in these events."""
        for written in _WRITTEN_AT.findall(data):
            self.held_back = max(self.held_back, now - float(written))

    async def rest(self, seconds: float) -> None:
        """Leave the answer unread for some time."""
        transport = self.writer.transport
        transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(seconds)
        self.rested_until = asyncio.get_running_loop().time()
        transport.resume_reading()  # type: ignore[attr-defined]

    def close(self) -> None:
        self.writer.close()


async def run_clients(world: World, recorder: Recorder, seed: int) -> None:
    """Run all of this process's clients until shortly before the soak's end."""
    clients = [_Client(world, recorder, f"{seed}-{number}") for number in range(world.schedule.clients)]
    others = [run_crowds(world, recorder), run_malformed(world, recorder)] if seed == 0 else []
    await asyncio.gather(*others, *(client.run() for client in clients))


class _Client:
    """A client that sends one request after another."""

    def __init__(self, world: World, recorder: Recorder, name: str) -> None:
        self.world, self.recorder, self.name = world, recorder, name
        self.random = random.Random(f"{world.schedule.seed} client {name}")
        self._stream_random = random.Random(f"{world.schedule.seed} client {name} streams")
        self.connections: dict[str, _Connection] = {}

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        until = self.world.began + self.world.schedule.seconds - QUIET_S / 2
        number = 0
        while loop.time() < until:
            await asyncio.sleep(self._pause_s())
            if self.random.random() < _HEDGED:
                await asyncio.gather(
                    self._send(f"{self.name}-{number}"), self._send(f"{self.name}-{number}h")
                )
            elif (
                await self._send(f"{self.name}-{number}") == _REFUSED
                and self.random.random() < _RETRY_AT_ONCE
            ):
                await self._send(f"{self.name}-{number}r")
            number += 1
        for connection in self.connections.values():
            connection.close()

    def _pause_s(self) -> float:
        if self._nodes_shutting_down():
            return self.random.uniform(*_SHUTDOWN_PAUSE_S)
        return self.random.uniform(*(_LONG_REST_S if self.random.random() < _REST_SHARE else _PAUSE_S))

    def _nodes_shutting_down(self) -> list[str]:
        """Nodes that have got SIGTERM, may still run, and to which this client has a connection."""
        now = asyncio.get_running_loop().time() - self.world.began
        return [
            fault.target
            for fault in self.world.schedule.faults
            if fault.kind is FaultKind.NODE_RESTARTS
            and fault.at <= now <= fault.until
            and fault.target in self.connections
        ]

    def _choose_node(self) -> str:
        shutting_down = self._nodes_shutting_down()
        if shutting_down and self.random.random() < _AT_NODE_SHUTTING_DOWN:
            return self.random.choice(shutting_down)
        return self.random.choice(self.world.schedule.node_names)

    async def _send(self, call_id: str) -> int:
        """Send one request and return its answer's status; 0 or less if there was no answer."""
        node = self._choose_node()
        connection, kept = await self._connect(node)
        if connection is None:
            return 0
        effect = self.random.choice(EFFECTS)
        deadline = self.world.schedule.deadlines_s[EFFECTS.index(effect)]
        budget = 0.02 if self.random.random() < _SMALL_BUDGET else self.random.uniform(0.5, 1.0) * deadline
        data = self._encode_request(call_id, effect, budget)
        unsent = data
        if self.random.random() < _STALL:
            await self._stall(connection, node, call_id, data)
            return 0
        if self._is_in_force(FaultKind.WRITE_SLOWLY) and self._stream_random.random() < _WRITES_SLOWLY_SHARE:
            unsent = await self._write_slowly(connection, data)
            if connection.is_ended:  # Its node has not taken the request, whose last byte is unwritten.
                connection.close()
                return 0
        sent = asyncio.get_running_loop().time()
        self.recorder.note("sent", id=call_id, node=node, effect=effect, budget=budget, kept=kept)
        leaves_after = self.random.uniform(0.0, 0.3) if self.random.random() < _LEAVE_EARLY else None
        status, is_complete, is_reusable = await self._exchange(connection, unsent, budget, leaves_after)
        if leaves_after is not None and connection.given_up:
            connection.close()
            self.recorder.note("left", id=call_id)
            return 0
        if status == 0 and kept:  # The close crossed the request: it is sent once more, on a new connection.
            connection.close()
            again, _ = await self._connect(node, must_be_new=True)
            if again is None:
                self.recorder.note(
                    "answer",
                    id=call_id,
                    status=0,
                    whole=False,
                    after=asyncio.get_running_loop().time() - sent,
                    crossed=True,
                    unreachable=True,
                )
                return 0
            connection = again
            self.recorder.note("sent again", id=call_id)
            status, is_complete, is_reusable = await self._exchange(connection, data, budget, None)
        self.recorder.note(
            "answer",
            id=call_id,
            status=status,
            whole=is_complete,
            after=asyncio.get_running_loop().time() - sent,
            given_up=connection.given_up,
            held_back=round(connection.held_back, 4),
            rested_until=connection.rested_until,
        )
        if is_reusable and status > 0 and node not in self.connections:
            self.connections[node] = connection
        else:
            connection.close()
        return status

    def _encode_request(self, call_id: str, effect: str, budget: float) -> bytes:
        size = self.random.choice((10, 2_000, 60_000))
        if self._is_in_force(FaultKind.READS_SLOWLY):
            size = self._stream_random.choice((size, _LARGE_BODY_BYTES))
        body = b'{"stream":true,"x":"%s"}' % (b"x" * size)
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: api\r\nX-Call-Id: {call_id}\r\nX-Call-Class: {effect}\r\n"
            f"X-Caller: acme\r\nX-Route-Hash: {self.random.randint(1, 50)}\r\nX-Budget: {budget:.3f}\r\n"
            f"X-Call-Info: prefix={self.random.randint(1, 9)},prompt_len=90,prefix_len=40,max_out=20\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def _is_in_force(self, kind: FaultKind) -> bool:
        now = asyncio.get_running_loop().time() - self.world.began
        return any(
            fault.kind is kind and fault.at <= now <= fault.until for fault in self.world.schedule.faults
        )

    async def _write_slowly(self, connection: _Connection, data: bytes) -> bytes:
        """Write a request in parts, but for the last; return that."""
        edges = sorted(self._stream_random.randrange(1, len(data)) for _ in range(_PARTS))
        pause_s = self._stream_random.uniform(*_SLOW_WRITE_S) / _PARTS
        for begin, end in pairwise([0, *edges]):
            connection.writer.write(data[begin:end])
            await asyncio.sleep(pause_s)
        return data[edges[-1] :]

    async def _connect(self, node: str, must_be_new: bool = False) -> tuple[_Connection | None, bool]:
        """A connection to a node, or None if the node can't be reached, and whether the connection is a reused one."""
        is_shutting_down = node in self._nodes_shutting_down()
        kept = self.connections.pop(node, None)
        if kept and not must_be_new and (is_shutting_down or self.random.random() >= _NEW_CONNECTION):
            return kept, True
        if kept:
            kept.close()
        host, _, port = self.world.nodes[node].rpartition(":")
        try:
            return _Connection(*await _open_connection(host, int(port))), False
        except OSError:
            return None, False

    async def _stall(self, connection: _Connection, node: str, call_id: str, data: bytes) -> None:
        """Stall in the middle of a request with the connection open. The node must answer with an error or close it."""
        loop, began = asyncio.get_running_loop(), asyncio.get_running_loop().time()
        with contextlib.suppress(OSError):
            connection.writer.write(data[: len(data) // 2])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(connection.reader.read(1), _STALL_S)
        self.recorder.note("stalled", id=call_id, node=node, after=loop.time() - began)
        connection.close()

    async def _exchange(
        self, connection: _Connection, data: bytes, budget: float, leaves_after: float | None
    ) -> tuple[int, bool, bool]:
        """Return the status (0: the connection was closed without an answer; -1: no answer in time), whether the
        answer was complete, and whether the connection may be reused. An answer that has begun but does not end
        in time keeps its status and is not complete.
        """
        timeout = budget + _WAIT_AFTER_DEADLINE_S if leaves_after is None else min(leaves_after, budget)
        connection.status, connection.held_back, connection.rested_until = -1, 0.0, 0.0
        try:
            connection.writer.write(data)
            fields = await asyncio.wait_for(self._read_head(connection), timeout)
            body_timeout = timeout if leaves_after is not None else _STREAM_WAIT_S
            return await asyncio.wait_for(self._read_body(connection, fields), body_timeout)
        except TimeoutError:
            connection.given_up = True
            return connection.status, False, False
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0, False, False

    async def _read_head(self, connection: _Connection) -> dict[str, str]:
        """Read the head of the answer, note its status and return its fields."""
        raw = await connection.reader.readuntil(b"\r\n\r\n")
        head = raw.decode("latin-1").lower().split("\r\n")
        connection.status = int(head[0].split(" ")[1])
        return {name: value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}

    def _rest_s(self) -> float:
        """Return for how long the client leaves its answer unread."""
        now = asyncio.get_running_loop().time() - self.world.began
        for fault in self.world.schedule.faults:
            if fault.kind is FaultKind.READ_LATE and fault.at <= now <= fault.until:
                return fault.amount if self._stream_random.random() < _READS_LATE_SHARE else 0.0
        return 0.0

    async def _read_body(self, connection: _Connection, fields: dict[str, str]) -> tuple[int, bool, bool]:
        reader, status = connection.reader, connection.status
        is_reusable = fields.get("connection") != "close"
        if "content-length" in fields:
            await reader.readexactly(int(fields["content-length"]))
            return status, True, is_reusable
        if rest_s := self._rest_s():
            await connection.rest(rest_s)
        try:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                data = await reader.readexactly(size + 2)
                if not connection.rested_until:
                    connection.note_events(data, asyncio.get_running_loop().time())
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            return status, False, False
        return status, True, is_reusable


async def _open_connection(host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a receive buffer of limited size, which has to be set before. Raises OSError."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return await asyncio.open_connection(sock=sock, limit=_READER_LIMIT_BYTES)
    except BaseException:
        sock.close()
        raise
