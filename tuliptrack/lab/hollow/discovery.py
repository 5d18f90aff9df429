"""A stand-in of the platform's discovery: one list of drawn engines, told to many nodes over loopback."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Iterable
from typing import Any

__all__ = ["ListServer"]

_REQUEST = re.compile(rb"GET /api/targets(?:\?since=(\d+)&timeout_ms=(\d+))? HTTP/1\.1\r\n")
_CHANGES_KEPT = 20_000  # entries that have changed lately; who is further behind gets the whole list


class ListServer:
    """`start`, then `change` as often as wanted; it counts what it is asked and what it tells."""

    def __init__(self, members: Iterable[dict[str, Any]]) -> None:
        self.members = {entry["id"]: entry for entry in members}
        self.revision = 1
        self.silent = False
        """Calls are taken and not answered."""
        self.calls = self.bytes_in = self.bytes_out = self.whole_lists = 0
        self._log: list[tuple[int, dict[str, Any]]] = []
        self._forgotten = 0
        """The newest revision of which changes are not kept any more."""
        self._whole: tuple[int, bytes] = (0, b"")
        self._waiting: set[_Call] = set()
        self._open: set[_Call] = set()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> str:
        """Serve; returns host:port."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Call(self), "127.0.0.1", port, backlog=1024
        )
        host, bound = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{bound}"

    async def stop(self) -> None:
        """End its connections."""
        if self._server:
            self._server.close()
        for call in list(self._open):
            call.transport.abort()
        await asyncio.sleep(0)

    def change(self, entries: Iterable[dict[str, Any]]) -> int:
        """Change, add or remove (`Gone`) engines in one revision; returns it."""
        self.revision += 1
        for entry in entries:
            if entry["phase"] == "Gone":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = entry
            self._log.append((self.revision, entry))
        surplus = len(self._log) - _CHANGES_KEPT
        if surplus > 0:
            self._forgotten = self._log[surplus - 1][0]
            del self._log[:surplus]
        self._tell_waiting()
        return self.revision

    def set_silent(self, silent: bool) -> None:
        """Say nothing, or answer again; what waits is answered then."""
        self.silent = silent
        self._tell_waiting()

    def _tell_waiting(self) -> None:
        for call in list(self._waiting):
            call.answer_if_due()

    def answer(self, since: int | None) -> bytes:
        """The body for who holds this revision, or nothing yet."""
        if since is None or since < self._forgotten or since > self.revision:
            return self._whole_list()
        first = next(
            (place for place, (revision, _) in enumerate(self._log) if revision > since), len(self._log)
        )
        newest = {entry["id"]: entry for _, entry in self._log[first:]}
        return json.dumps(
            {"revision": self.revision, "complete": False, "members": list(newest.values())}
        ).encode()

    def _whole_list(self) -> bytes:
        self.whole_lists += 1
        if self._whole[0] != self.revision:
            told = {"revision": self.revision, "complete": True, "members": list(self.members.values())}
            self._whole = (self.revision, json.dumps(told).encode())
        return self._whole[1]


class _Call(asyncio.Protocol):
    """One connection of a node; it has one call at a time."""

    def __init__(self, server: ListServer) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self._data = b""
        self._since: int | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._late = False
        """The call has waited as long as it asked to."""

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
        asked, self._data = _REQUEST.match(self._data), b""
        if not asked:
            self.transport.abort()
            return
        self.server.calls += 1
        self._since = int(asked[1]) if asked[1] else None
        self._late = False
        self.server._waiting.add(self)
        if asked[2]:
            self._timer = asyncio.get_running_loop().call_later(int(asked[2]) / 1e3, self._time_is_up)
        self.answer_if_due()

    def _time_is_up(self) -> None:
        self._late = True
        self.answer_if_due()

    def answer_if_due(self) -> None:
        """Answer where there is something new, or the call has waited long enough."""
        new = self._since is None or self._since != self.server.revision
        if self.server.silent or not (new or self._late):
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
