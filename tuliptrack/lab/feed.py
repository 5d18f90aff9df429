"""A stand-in server list feed: holds the list, pushes changes, and records what each node was sent and when."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["Feed"]


class Feed:
    """Serves `tuliptrack.v1.ServerFeed`. While `silent`, changes are held back; while `failing`, streams and
    calls end with UNAVAILABLE.
    """

    def __init__(self, note: Callable[..., None] = lambda *_, **__: None) -> None:
        self.entries: dict[int, pb.ServerEntry] = {}
        self.version = 0
        self.watchers: dict[ServerCall, str] = {}
        self.silent = self.failing = False
        self.note: Callable[..., Any] = note
        self.server = Server()
        self.server.add("tuliptrack.v1.ServerFeed", "Watch", unary_request(pb.WatchRequest, self._watch))
        self.server.add("tuliptrack.v1.ServerFeed", "Fetch", unary_request(pb.WatchRequest, self._fetch))

    async def start(self) -> str:
        return await self.server.listen()

    async def stop(self) -> None:
        await self.server.stop(0)

    def _full_list(self) -> pb.ServerList:
        live = [e for e in self.entries.values() if e.state != pb.ServerEntry.GONE]
        return pb.ServerList(kind=pb.ServerList.FULL, version=self.version, servers=live)

    def _watch(self, call: ServerCall, request: pb.WatchRequest) -> None:
        if self.failing:
            call.end(Status(Code.UNAVAILABLE, "the feed fails"))
            return
        self.watchers[call] = request.node
        call.on_cancelled = lambda _: self._unsubscribe(call)
        call.send(self._full_list().SerializeToString())
        self._note_sent(request.node, self._full_list())

    def _unsubscribe(self, call: ServerCall) -> None:
        self.watchers.pop(call, None)

    def _fetch(self, call: ServerCall, request: pb.WatchRequest) -> None:
        if self.failing:
            call.end(Status(Code.UNAVAILABLE, "the feed fails"))
            return
        call.send(self._full_list().SerializeToString())
        call.end(Status(Code.OK))
        self._note_sent(request.node, self._full_list())

    def _note_sent(self, node: str, message: pb.ServerList) -> None:
        self.note(
            "told",
            node=node,
            full=message.kind == pb.ServerList.FULL,
            states={str(e.id): pb.ServerEntry.State.Name(e.state) for e in message.servers},
        )

    def change(self, *entries: pb.ServerEntry) -> None:
        """Apply a change and push it, unless silent."""
        self.version += 1
        for entry in entries:
            self.entries[entry.id] = entry
        if not self.silent:
            self.push(pb.ServerList(kind=pb.ServerList.DELTA, version=self.version, servers=entries))

    def push(self, message: pb.ServerList) -> None:
        for call in list(self.watchers):
            call.send(message.SerializeToString())
            self._note_sent(self.watchers[call], message)

    def set_silent(self, silent: bool) -> None:
        self.silent = silent
        if not silent:
            self.push(self._full_list())

    def set_failing(self, failing: bool) -> None:
        self.failing = failing
        if failing:
            for call in list(self.watchers):
                call.end(Status(Code.UNAVAILABLE, "the feed fails"))
            self.watchers.clear()
