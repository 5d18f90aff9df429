"""The endpoint list of a gRPC node: received messages are checked, applied and converted for the router.

`EndpointList` is the sum of all updates so far. It converts the start times of engines from wall time to the
node's monotonic time. An invalid entry is left out without affecting the others; a message of unknown kind
is rejected, and the previous list stays in force. `save_cache` and `load_cache` store the list on disk for
the node's next start.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from google.protobuf import text_format

from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, UpdateKind
from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.clock import wall_us as read_wall_us
from tuliptrack.sources.start_times import StartTimes

__all__ = [
    "EndpointList",
    "EndpointListSource",
    "InvalidListError",
    "ListedUpdate",
    "load_cache",
    "save_cache",
]

MAX_ENDPOINTS = 100_000
"""Entries of one list; far more than any fleet has."""
MAX_PORT = 65_535
MAX_WEIGHT = 1e9
MAX_STARTED_UNIX_US = 2**62
VERSION_MASK = 0xFFFF_FFFF
"""Versions are passed to the router as 32 bits."""
DEFAULT_WEIGHT = 1.0
MAX_QUOTED_KIND = 40
"""Characters of an invalid kind that an error quotes."""
MAX_QUOTED_ADDRESS = 80
"""Characters of an invalid address that an error quotes."""
_ADDRESS = re.compile(r"[\x21-\x7e]+:[0-9]{1,5}")
"""Printable ASCII, as the address goes into requests."""
CACHE_HEADER = "# The last server list of a tuliptrack node.\n"

_STATES = {
    pb.ServerEntry.READY: EndpointState.READY,
    pb.ServerEntry.DRAINING: EndpointState.DRAINING,
    pb.ServerEntry.GONE: EndpointState.REMOVED,
}
_UPDATE_KINDS = {
    pb.ServerList.FULL: UpdateKind.FULL,
    pb.ServerList.DELTA: UpdateKind.DELTA,
    pb.ServerList.FAILED: UpdateKind.FAILED,
}


class InvalidListError(Exception):
    """A list that is rejected, or an entry that is left out; the text names the field and the reason."""


@dataclass(frozen=True, slots=True)
class ListedUpdate:
    """One update for the router, with the entries that it was made of."""

    update: EndpointListUpdate
    entries: tuple[pb.ServerEntry, ...] = ()
    left_out: tuple[str, ...] = ()
    """Why entries were left out: index, field and reason of each."""

    @property
    def addresses(self) -> dict[int, str]:
        """`host:port` by endpoint id."""
        return {entry.id: entry.address for entry in self.entries}


class EndpointListSource(Protocol):
    """A source of endpoint lists, which it publishes in order from the event loop."""

    def start(self, publish: Callable[[pb.ServerList], None]) -> None:
        """Call `publish` with each list from now on."""

    def subscribe(self, on: bool) -> None:
        """Open or close the watch stream, if the source has one."""

    def fetch(self) -> None:
        """Request the full list once; a failure is published as a list of kind FAILED."""

    async def close(self) -> None:
        """End all tasks and streams."""


class EndpointList:
    """The endpoint list in force. Bound: `MAX_ENDPOINTS` entries for each message."""

    def __init__(self, kinds: Sequence[str]) -> None:
        """Begin with an empty list; `kinds` are the names of the settings' roles, in their order."""
        self.entries: dict[int, pb.ServerEntry] = {}
        """By endpoint id; removed endpoints have none."""
        self.version = 0
        self._kind_indexes = {name: index for index, name in enumerate(kinds)}
        self._start_times = StartTimes()

    def apply(
        self,
        message: pb.ServerList,
        now_us: int,
        kind: UpdateKind | None = None,
        wall_us: int | None = None,
    ) -> ListedUpdate:
        """Apply a message and return the update for the router.

        Args:
            message: A full list, a delta or the notice that a request for a list failed.
            now_us: The monotonic clock's reading.
            kind: Overrides the kind that the message states.
            wall_us: The wall clock's reading since 1970; read here if None.

        Raises:
            InvalidListError: The message is rejected, and nothing has changed.
        """
        # Invalid entries are left out one by one. If one of them made the whole list invalid, requests would
        # still be sent to engines that drain according to other entries of that list.
        update_kind = kind or _UPDATE_KINDS.get(message.kind)
        if update_kind is None:
            raise InvalidListError(f"kind: unknown value {message.kind}")
        if update_kind is UpdateKind.FAILED:
            return ListedUpdate(EndpointListUpdate(UpdateKind.FAILED))
        entries, left_out = self._usable_entries(message)
        wall_us = read_wall_us() if wall_us is None else wall_us
        endpoints = tuple(self._endpoint_info(entry, now_us, wall_us) for entry in entries.values())
        if update_kind is not UpdateKind.DELTA:
            self.entries.clear()
        self._merge(entries)
        self._start_times.record_list(now_us)
        self._start_times.retain(self.entries.keys() | entries.keys())
        self.version = message.version
        update = EndpointListUpdate(update_kind, message.version & VERSION_MASK, endpoints)
        return ListedUpdate(update, tuple(entries.values()), tuple(left_out))

    def _endpoint_info(self, entry: pb.ServerEntry, now_us: int, wall_us: int) -> EndpointInfo:
        return EndpointInfo(
            id=entry.id,
            kind=self._kind_indexes[entry.kind],
            state=_STATES[entry.state],
            weight=entry.weight or DEFAULT_WEIGHT,
            cell=entry.cell,
            zone=entry.zone,
            started_at_us=self._start_times.to_monotonic_us(entry.id, entry.started_unix_us, now_us, wall_us),
        )

    def _merge(self, entries: Mapping[int, pb.ServerEntry]) -> None:
        for endpoint_id, entry in entries.items():
            if entry.state == pb.ServerEntry.GONE:
                self.entries.pop(endpoint_id, None)
            else:
                self.entries[endpoint_id] = entry

    def _usable_entries(self, message: pb.ServerList) -> tuple[dict[int, pb.ServerEntry], list[str]]:
        """Return the entries that can be used, by endpoint id, and why the others are left out."""
        if len(message.servers) > MAX_ENDPOINTS:
            raise InvalidListError(f"servers: {len(message.servers)} entries, {MAX_ENDPOINTS} at most")
        entries: dict[int, pb.ServerEntry] = {}
        left_out: list[str] = []
        for index, entry in enumerate(message.servers):
            try:
                self._check(entry, f"servers[{index}]", entries)
            except InvalidListError as error:
                left_out.append(str(error))
                if leaving := self._leaving_entry(entry):
                    entries[entry.id] = leaving
                continue
            entries[entry.id] = entry
        return entries, left_out

    def _check(self, entry: pb.ServerEntry, path: str, entries: Container[int]) -> None:
        """Raise InvalidListError where an entry cannot be used."""
        _check_id(entry, path, entries)
        self._check_enumerations(entry, path)
        _check_address(entry, path)
        _check_numbers(entry, path)

    def _leaving_entry(self, entry: pb.ServerEntry) -> pb.ServerEntry | None:
        """Return the last valid entry with the new state, if an invalid one says that its endpoint leaves."""
        known = self.entries.get(entry.id)
        if known is None or entry.state not in (pb.ServerEntry.DRAINING, pb.ServerEntry.GONE):
            return None
        leaving = pb.ServerEntry()
        leaving.CopyFrom(known)
        leaving.state = entry.state
        return leaving

    def _check_enumerations(self, entry: pb.ServerEntry, path: str) -> None:
        if entry.state not in _STATES:
            raise InvalidListError(f"{path}.state: unknown value {entry.state}")
        if entry.kind not in self._kind_indexes:
            quoted = repr(entry.kind[:MAX_QUOTED_KIND])
            raise InvalidListError(f"{path}.kind: {quoted} is not among the settings' kinds")

    def to_message(self) -> pb.ServerList:
        """Return the full list, as it is cached on disk."""
        return pb.ServerList(version=self.version, servers=self.entries.values())


def _check_id(entry: pb.ServerEntry, path: str, ids: Container[int]) -> None:
    if entry.id == 0:
        raise InvalidListError(f"{path}.id: is required and not 0")
    if entry.id in ids:
        raise InvalidListError(f"{path}.id: {entry.id} stands twice")


def _check_address(entry: pb.ServerEntry, path: str) -> None:
    port = entry.address.rpartition(":")[2]
    if not _ADDRESS.fullmatch(entry.address) or not 0 < int(port) <= MAX_PORT:
        quoted = repr(entry.address[:MAX_QUOTED_ADDRESS])
        raise InvalidListError(f"{path}.address: must be host:port, is {quoted}")


def _check_numbers(entry: pb.ServerEntry, path: str) -> None:
    if not 0 <= entry.weight <= MAX_WEIGHT:
        raise InvalidListError(f"{path}.weight: must be from 0 to {MAX_WEIGHT:.0f}, is {entry.weight}")
    if not 0 <= entry.started_unix_us <= MAX_STARTED_UNIX_US:
        raise InvalidListError(f"{path}.started_unix_us: must not be negative, is {entry.started_unix_us}")


def save_cache(path: str, endpoint_list: pb.ServerList) -> None:
    """Store the list for the node's next start.

    A crash leaves either the old file or the new one: the list is written to a file beside it, which then
    replaces it.
    """
    target = Path(path)
    temporary = target.with_name(target.name + ".new")
    with temporary.open("w") as file:
        file.write(CACHE_HEADER + text_format.MessageToString(endpoint_list))
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(target)


def load_cache(path: str) -> pb.ServerList:
    """Return the cached list, or an empty one if there is none.

    Raises:
        InvalidListError: The file can't be read.
    """
    if not path or not Path(path).exists():
        return pb.ServerList()
    try:
        message, located = read_file(path, pb.ServerList)
        located.check()
    except ConfigError as error:
        raise InvalidListError(str(error)) from None
    return message
