"""What a source of server lists tells: a change in the router's terms, and where each server listens.

`EndpointList` keeps the list that the changes add up to, turns wall times of starts into the node's monotonic
time once a start, and checks every entry: a list with anything wrong in it is turned down whole, and the old
one still holds.
"""

from __future__ import annotations

import math
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from google.protobuf import text_format

from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, UpdateKind
from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.clock import wall_us
from tuliptrack.sources.start_times import StartTimes

__all__ = [
    "EndpointList",
    "EndpointListSource",
    "InvalidListError",
    "ListedUpdate",
    "load_cache",
    "save_cache",
]

MOST_SERVERS = 100_000  # entries of one list: a bound, far above any fleet
_STATES = {
    pb.ServerEntry.READY: EndpointState.READY,
    pb.ServerEntry.DRAINING: EndpointState.DRAINING,
    pb.ServerEntry.GONE: EndpointState.REMOVED,
}
_KINDS = {
    pb.ServerList.FULL: UpdateKind.FULL,
    pb.ServerList.DELTA: UpdateKind.DELTA,
    pb.ServerList.FAILED: UpdateKind.FAILED,
}


class InvalidListError(Exception):
    """A list that can't be taken; the text names the entry, the field and the reason."""


@dataclass(frozen=True, slots=True)
class ListedUpdate:
    """One change for the router, and the addresses (host:port) of the servers that it names."""

    change: EndpointListUpdate
    addresses: dict[int, str]


class EndpointListSource(Protocol):
    """A source of server lists. It calls `tell` from the loop, in order; `close` ends its tasks."""

    def start(self, tell: Callable[[pb.ServerList], None]) -> None: ...

    def subscribe(self, on: bool) -> None:
        """Open or close the standing subscription, where there is such a thing."""

    def fetch(self) -> None:
        """Ask for the whole list once; a failure is told as a list of kind FAILED."""

    async def close(self) -> None: ...


class EndpointList:
    """The list held, and the translation of changes to it. Bound: `MOST_SERVERS`."""

    def __init__(self, kinds: Sequence[str]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.held: dict[int, pb.ServerEntry] = {}
        self.version = 0
        self._starts = StartTimes()

    def take(
        self, message: pb.ServerList, now: int, kind: UpdateKind | None = None, wall: int | None = None
    ) -> ListedUpdate:
        """Apply a list; `now` monotonic, `wall` since 1970, both microseconds. ListError leaves all as it
        was.
        """
        what = kind or _KINDS.get(message.kind)
        if what is None:
            raise InvalidListError(f"kind: unknown value {message.kind}")
        if what is UpdateKind.FAILED:
            return ListedUpdate(EndpointListUpdate(UpdateKind.FAILED), {})
        if len(message.servers) > MOST_SERVERS:
            raise InvalidListError(f"servers: {len(message.servers)} entries, {MOST_SERVERS} at most")
        wall = wall_us() if wall is None else wall
        seen: set[int] = set()
        servers = []
        for place, entry in enumerate(message.servers):
            self._check(entry, f"servers[{place}]", seen)
        for entry in message.servers:
            servers.append(
                EndpointInfo(
                    entry.id,
                    self.kinds[entry.kind],
                    _STATES[entry.state],
                    entry.weight or 1.0,
                    entry.cell,
                    entry.zone,
                    self._starts.monotonic(entry.id, entry.started_unix_us, now, wall),
                )
            )
        if what is not UpdateKind.DELTA:
            self.held.clear()
        for entry in message.servers:
            if entry.state == pb.ServerEntry.GONE:
                self.held.pop(entry.id, None)
            else:
                self.held[entry.id] = entry
        self._starts.list_heard(now)
        self._starts.keep(self.held.keys() | seen)
        self.version = message.version
        change = EndpointListUpdate(what, message.version & 0xFFFFFFFF, tuple(servers))
        return ListedUpdate(change, {entry.id: entry.address for entry in message.servers})

    def _check(self, entry: pb.ServerEntry, place: str, seen: set[int]) -> None:
        host, _, port = entry.address.rpartition(":")
        if entry.id == 0:
            raise InvalidListError(f"{place}.id: is required and not 0")
        if entry.id in seen:
            raise InvalidListError(f"{place}.id: {entry.id} stands twice")
        seen.add(entry.id)
        if entry.state not in _STATES:
            raise InvalidListError(f"{place}.state: unknown value {entry.state}")
        if entry.kind not in self.kinds:
            raise InvalidListError(f"{place}.kind: {entry.kind[:40]!r} is not among the settings' kinds")
        if not host or not port.isdigit() or not 0 < int(port) <= 65_535:
            raise InvalidListError(f"{place}.address: must be host:port, is {entry.address[:80]!r}")
        if not math.isfinite(entry.weight) or entry.weight < 0:
            raise InvalidListError(f"{place}.weight: must be a number from 0, is {entry.weight}")
        if entry.started_unix_us < 0:
            raise InvalidListError(
                f"{place}.started_unix_us: must not be negative, is {entry.started_unix_us}"
            )

    def whole(self) -> pb.ServerList:
        """The list held, to be kept on disk."""
        return pb.ServerList(version=self.version, servers=self.held.values())


def save_cache(path: str, held: pb.ServerList) -> None:
    """Keep the list for the next start: written beside, then moved over, so that a crash leaves old or
    new.
    """
    target = Path(path)
    beside = target.with_name(target.name + ".new")
    with beside.open("w") as file:
        file.write("# The last server list of a tuliptrack node.\n" + text_format.MessageToString(held))
        file.flush()
        os.fsync(file.fileno())
    beside.replace(target)


def load_cache(path: str) -> pb.ServerList:
    """The list kept, or an empty one where there is none. ListError where it can't be read."""
    if not path or not Path(path).exists():
        return pb.ServerList()
    try:
        message, located = read_file(path, pb.ServerList)
        located.check()
    except ConfigError as error:
        raise InvalidListError(str(error)) from None
    return message
