"""The list of engines, from the platform's discovery: one short watch after another, and the whole list after a gap.

What the agent has counts as told from the moment that it has it, whether or not a watch stands: in the first moment of a
process, and when it is back after having been silent, in which case the call that was open then may never be answered. So
no call is waited for longer than a part of the drain grace, which the settings tell: a watch that has brought nothing by
then, not even an empty answer, is broken, and the next call goes out on a new connection. The worst case is a change that
comes just after a call which is never answered: `_WATCH + _LATE` of the grace until that call is given up, 1.5 times
`_PAUSE` until the next, which is answered at once; in all 0.65 of the grace, and the rest is the node's own lateness. The
other clocks of the platform (6 s after a watch fell silent, 2 s after the end of a wait, 4 s after SIGHUP) lie far behind.
While nothing is heard the list held goes on as it was: what it says of an engine holds until an agent says otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from tuliptrack.interface import FleetChange, ListKind, Server, ServerState
from tuliptrack.node.core import key
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.http1_client import ClientOptions, Connections, Exchange, How, Pool
from tuliptrack.sources.starts import Starts

__all__ = ["Discovery", "ListError", "Members"]

log = structlog.get_logger("discovery")
MOST_MEMBERS = 10_000
_WATCH = 0.25  # of the drain grace: a watch waits so long; then its answer, empty perhaps, shows that it still stands
_LATE = 0.25  # of it: so much later an answer is not waited for any more
_PAUSE = 0.1  # of it, jittered by half: between failed calls
_GRACE_S = (0.1, 16.0)  # the least and the most that is taken for the grace: twenty calls a second, a call in four seconds
_CALLS = 4  # connections: one that answers, and those that are still given up on
_STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


class ListError(Exception):
    """A list that can't be taken; the text names the entry and the field."""


class Members:
    """The list held, in the router's terms. An entry that can't be used is left out, with one line when it is first seen; what
    is no list at all is turned down, and the old one holds. Bound: `MOST_MEMBERS`, and as many complaints."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.revision = -1
        self.addresses: dict[int, str] = {}
        """Of servers listed and not gone."""
        self.names: dict[int, str] = {}
        self._starts = Starts()
        self._complained: set[str] = set()

    def take(self, told: Any, cached: bool = False) -> FleetChange | None:
        """A list or a change; None where it is older than what is held. ListError leaves all as it was."""
        if not isinstance(told, dict) or not isinstance(told.get("members", []), list):
            raise ListError("must be an object with members")
        revision = told.get("revision", 0)
        if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
            raise ListError(f"revision: must be a whole number, is {str(revision)[:40]!r}")
        members = told.get("members", [])
        if len(members) > MOST_MEMBERS:
            raise ListError(f"members: {len(members)} entries, {MOST_MEMBERS} at most")
        if revision < self.revision:
            return None
        whole = cached or told.get("complete") is True
        now, wall = now_us(), time.time_ns() // 1000
        servers: dict[int, tuple[Server, str, str]] = {}
        for place, entry in enumerate(members):
            try:
                server, address, name = self._entry(entry, f"members[{place}]", now, wall)
            except ListError as error:
                self._leave_out(entry, str(error))
                continue
            servers[server.id] = (server, address, name)
        self.revision = revision
        if whole:
            self.addresses, self.names = {}, {}
        for server, address, name in servers.values():
            if server.state is ServerState.GONE:
                self.addresses.pop(server.id, None)
                self.names.pop(server.id, None)
            else:
                self.addresses[server.id], self.names[server.id] = address, name
        self._starts.keep(self.addresses)
        kind = ListKind.CACHED if cached else ListKind.FULL if whole else ListKind.DELTA
        return FleetChange(kind, revision & 0xFFFFFFFF, tuple(server for server, _, _ in servers.values()))

    def _leave_out(self, entry: Any, reason: str) -> None:
        what = reason.partition(".")[2] + str(entry.get("id") if isinstance(entry, dict) else entry)[:60]
        if what not in self._complained and len(self._complained) < MOST_MEMBERS:
            self._complained.add(what)
            log.warning("entry of the list left out", reason=reason)

    def _entry(self, entry: Any, place: str, now: int, wall: int) -> tuple[Server, str, str]:
        if not isinstance(entry, dict):
            raise ListError(f"{place}: must be an object")
        name, state = entry.get("id"), _STATES.get(str(entry.get("phase")))
        if not isinstance(name, str) or not name:
            raise ListError(f"{place}.id: is required")
        if state is None:
            raise ListError(f"{place}.phase: {str(entry.get('phase'))[:40]!r} is unknown")
        kind = self.kinds.get(str(entry.get("flavor")))
        address = str(entry.get("host_port", ""))
        host, _, port = address.rpartition(":")
        if state is not ServerState.GONE:
            if kind is None:
                raise ListError(f"{place}.flavor: {str(entry.get('flavor'))[:40]!r} is not among the settings' kinds")
            if not host or not port.isdigit() or not 0 < int(port) <= 65_535:
                raise ListError(f"{place}.host_port: must be host:port, is {address[:80]!r}")
        size, since, cell = entry.get("size", 1.0), entry.get("up_since_ms", 0), entry.get("cell", 0)
        for field, value in (("size", size), ("up_since_ms", since), ("cell", cell)):
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
                raise ListError(f"{place}.{field}: must be a number from 0, is {str(value)[:40]!r}")
        server = key(name)
        zone = self.zones.get(str(entry.get("locality")), 0 if not self.zones else None)
        if zone is None and state is not ServerState.GONE:
            raise ListError(f"{place}.locality: {str(entry.get('locality'))[:40]!r} is not among the settings' zones")
        return Server(server, kind or 0, state, float(size) or 1.0, int(cell), zone or 0,
                      self._starts.monotonic(server, int(since * 1000), now, wall)), address, name


class Discovery:
    """Watches one agent; `move` turns to another. `tell` gets each answer's JSON, in order. `grace`: microseconds after
    which a drain that was told must be heeded."""

    def __init__(self, address: str, revision: Callable[[], int], tell: Callable[[Mapping[str, Any]], None],
                 grace: int) -> None:
        self.address, self.revision, self.tell = address, revision, tell
        self.grace = min(max(grace / 1e6, _GRACE_S[0]), _GRACE_S[1])
        """Seconds."""
        self.within = (_WATCH + _LATE) * self.grace
        """Seconds that a call may take, its connection too."""
        self.options = ClientOptions(connect_timeout=int(self.within * 1e6), rest=0, body_bytes=16_777_216)
        self._task: asyncio.Task[None] | None = None
        self._fetch = asyncio.Event()

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(self.address))

    def subscribe(self, on: bool) -> None:
        """The watch always stands."""

    def fetch(self) -> None:
        """Ask for the whole list with the next call."""
        self._fetch.set()

    async def move(self, address: str) -> None:
        """Watch another agent from now on; the whole list is asked for first."""
        await self.close()
        self.address = address
        self.start()

    async def close(self) -> None:
        if self._task:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None

    async def _run(self, address: str) -> None:
        pool = Pool(address, self.options, Connections(_CALLS))
        known, heard = False, True
        try:
            while True:
                whole = not known or self._fetch.is_set()
                self._fetch.clear()
                wait = int(_WATCH * self.grace * 1e3)
                path = "/api/targets" if whole else f"/api/targets?since={self.revision()}&timeout_ms={wait}"
                try:
                    self.tell(await self._get(pool, path))
                    if not heard:
                        log.info("discovery heard again", address=address)
                    known = heard = True
                except Exception as error:  # Whatever discovery says, the watch goes on.
                    if heard:
                        log.warning("discovery not heard", address=address,
                                    reason=str(error)[:200] or f"{type(error).__name__}: no answer in time")
                    known, heard = known and isinstance(error, OSError), False
                    await asyncio.sleep(_PAUSE * self.grace * (0.5 + random.random()))
        finally:
            await pool.close()

    async def _get(self, pool: Pool, path: str) -> Any:
        """One answer's JSON; OSError where there is none (a time-out is one too), ValueError where it isn't JSON."""
        done: asyncio.Future[tuple[How, str]] = asyncio.get_running_loop().create_future()
        parts: list[bytes] = []
        exchange = Exchange("GET", path, [("host", self.address)])
        exchange.on_data = parts.append
        exchange.on_end = lambda how, reason: None if done.done() else done.set_result((how, reason))
        pool.send(exchange)
        try:
            how, reason = await asyncio.wait_for(done, self.within)
        finally:
            exchange.cancel()
        if how is not How.ANSWER:
            raise OSError(reason)
        if exchange.status != 200:
            raise OSError(f"answered {exchange.status}")
        return json.loads(b"".join(parts))
