"""A simulated discovery service: serves one list of simulated engines to many nodes over loopback."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Iterable
from typing import Any

__all__ = ["ListServer"]

_REQUEST = re.compile(rb"GET /api/targets(?:\?since=(\d+)&timeout_ms=(\d+))? HTTP/1\.1\r\n")
_CHANGES_KEPT = 20_000  # entries; a node that is further behind gets the whole list


class ListServer:
    """Serves the list and its changes, and counts calls, bytes and whole lists sent. Call `start`, then `change`."""

    def __init__(self, members: Iterable[dict[str, Any]]) -> None:
        self.members = {entry["id"]: entry for entry in members}
        self.revision = 1
        self.silent = False
        """Calls are accepted but not answered."""
        self.calls = self.bytes_in = self.bytes_out = self.whole_lists = 0
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._dropped_revision = 0
        """The newest revision with a change that is no longer kept."""
        self._whole: tuple[int, bytes] = (0, b"")
        self._waiting: set[_Connection] = set()
        self._open: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Start serving; return host:port."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), "127.0.0.1", port, backlog=1024
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{bound}"

    async def stop(self) -> None:
        """Stop serving and abort all connections."""
        if self._server:
            self._server.close()
        for connection in list(self._open):
            connection.transport.abort()
        await asyncio.sleep(0)

    def change(self, entries: Iterable[dict[str, Any]]) -> int:
        """Change, add or remove (phase `Gone`) engines in one new revision; return the revision."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "Gone":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
            self._log.append((self.revision, entry))
        surplus = len(self._log) - _CHANGES_KEPT
        if surplus > 0:
            self._dropped_revision = self._log[surplus - 1][0]
            del self._log[:surplus]
        self._answer_waiting()
        return self.revision

    def set_silent(self, silent: bool) -> None:
        """Stop answering calls, or resume and answer those that wait."""
        self.silent = silent
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        for connection in list(self._waiting):
            connection.answer_if_due()

    def answer(self, since: int | None) -> bytes:
        """Return the body for a node that has revision `since`, or no list yet (None)."""
        if since is None or since < self._dropped_revision or since > self.revision:
            return self._whole_list()
        first = next(
            (index for index, (revision, _) in enumerate(self._log) if revision > since), len(self._log)
        )
        newest = {entry["id"]: entry for _, entry in self._log[first:]}
        return json.dumps(
            {"revision": self.revision, "complete": False, "members": list(newest.values())}
        ).encode()

    def _whole_list(self) -> bytes:
        self.whole_lists += 1
        if self._whole[0] != self.revision:
            message = {"revision": self.revision, "complete": True, "members": list(self.members.values())}
            self._whole = (self.revision, json.dumps(message).encode())
        return self._whole[1]


class _Connection(asyncio.Protocol):
    """A connection of a node, with at most one call at a time."""

    def __init__(self, server: ListServer) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self._data = b""
        self._since: int | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_out = False
        """The timeout of the current call has passed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server._open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_waiting()
        self.server._open.discard(self)

    def data_received(self, data: bytes) -> None:
        self.server.bytes_in += len(data)
        self._data += data
        if b"\r\n\r\n" not in self._data:
            return
        match, self._data = _REQUEST.match(self._data), b""
        if not match:
            self.transport.abort()
            return
        self.server.calls += 1
        self._since = int(match[1]) if match[1] else None
        self._timed_out = False
        self.server._waiting.add(self)
        if match[2]:
            self._timer = asyncio.get_running_loop().call_later(int(match[2]) / 1e3, self._on_timeout)
        self.answer_if_due()

    def _on_timeout(self) -> None:
        self._timed_out = True
        self.answer_if_due()

    def answer_if_due(self) -> None:
        """Answer if there is a newer list, or the timeout of the call has passed."""
        new = self._since is None or self._since != self.server.revision
        if self.server.silent or not (new or self._timed_out):
            return
        self._stop_waiting()
        body = self.server.answer(self._since)
        data = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%b" % (
            len(body),
            body,
        )
        self.server.bytes_out += len(data)
        self.transport.write(data)

    def _stop_waiting(self) -> None:
        self.server._waiting.discard(self)
        if self._timer:
            self._timer.cancel()
            self._timer = None
