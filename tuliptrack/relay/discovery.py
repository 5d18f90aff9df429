"""The list of engines, from the platform's discovery: one short watch after another, and the whole list after
a gap.

A change counts as told 6 s after the agent had it and could be reached, whatever calls failed in between;
what it has when it is back after a silence, or in the first moment of a process, is best heeded at once. So
no call is relied upon. A watch that has brought nothing after a part of the drain grace (`within`), not even
an empty answer, has the next call beside it, on another connection, and every `within` one more, until one is
answered. An older call goes on meanwhile: its connection may be slow to come up, its answer may drip in, or
this process may be late to read it. Where as many are open as may be (`_CALLS`), the one that has brought
nothing for longest gives way; none lasts longer than `_LONGEST_S`, its connection included.

The bound, from a change at an agent that can be reached (from then on a call is answered whole within
`_LONGEST_S`): at worst all of `_CALLS` are open, each still bringing bytes of an answer older than the
change, and end at `_LONGEST_S`; then a pause after a failure; then a call that takes `_LONGEST_S` itself. 2 x
2.5 s + 1.5 x `_PAUSE` of 2 s at most: 5.3 s, and 0.7 s are left for this process to be late. Where answers
come at once it is `within` and one pause: 0.65 of the grace. Refused connections, resets, half bodies, 503
and what can't be read end a call at once and cost one pause each; a list that is turned down costs a pause
too, and the next call asks for the whole list. Calls begin no closer than a pause, however quickly they are
answered. An agent whose answers stay behind the list held has begun anew: after `_OLDER` in a row the next is
taken for a new one's first.

Another agent (`move`) is asked beside the old one, which is heeded until the new one has given a whole list;
so a new agent that is down or silent costs nothing. Its revisions are its own and may begin lower: see
`Members.take`. While nothing is heard the list held goes on as it was: what it says of an engine holds until
an agent says otherwise."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import structlog

from tuliptrack.interface import EndpointInfo, EndpointListUpdate, EndpointState, UpdateKind
from tuliptrack.node.request_reader import key
from tuliptrack.rpc.clock import now_us, wall_us
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, How
from tuliptrack.rpc.http1_pool import Connections, Pool
from tuliptrack.sources.start_times import StartTimes

__all__ = ["MOST_CALLS", "Discovery", "ListError", "Members"]

log = structlog.get_logger("discovery")
MOST_MEMBERS = 10_000
_WATCH = 0.25  # of the drain grace: a watch waits so long; then its answer, empty perhaps, shows that it still stands
_LATE = 0.25  # of it: so much later an answer is not relied upon any more
_PAUSE = 0.1  # of it, jittered by half: between failed calls
_GRACE_S = (
    0.1,
    2.0,
)  # the least and the most that is taken for the grace: twenty calls a second, two calls a second
_CALLS = 8  # open at once to one agent, and connections
MOST_CALLS = 2 * _CALLS  # connections to the agent that is heeded and to the next one
_OLDER = 3  # answers in a row, older than the list held, after which the agent is taken to have begun anew
_LONGEST_S = 2.5  # seconds that a call may last, its connection too: two of them and a pause end before 6 s
_STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}


class ListError(Exception):
    """A list that can't be taken; the text names the entry and the field."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """One entry: as it was told, and what it was read as."""

    told: dict[str, Any]
    """Empty where it isn't taken as it was told."""
    server: EndpointInfo
    address: str
    name: str
    since: object
    """Its start, as the agent says it."""


class Members:
    """The list held, in the router's terms. An entry that can't be used is left out, with one line when it is
    first seen; what is no list at all is turned down, and the old one holds. Bound: `MOST_MEMBERS`, and as
    many complaints."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.revision = -1
        self.addresses: dict[int, str] = {}
        """Of servers listed and not gone."""
        self.names: dict[int, str] = {}
        self._entries: dict[str, _Entry] = {}
        """Entries by name, of servers listed and not gone: one that is told again unchanged is not read
        again."""
        self._starts = StartTimes()
        self._complained: set[str] = set()
        self._last: dict[int, tuple[EndpointState, object]] = {}
        """State and start that each server was last told with, the one told last at the end. Bound: twice
        `MOST_MEMBERS`."""

    def take(self, told: Any, cached: bool = False, anew: bool = False) -> EndpointListUpdate | None:
        """A list or a change; None where it is older than what is held. ListError leaves all as it was.
        `anew`: the first whole list of another agent, whose revisions say nothing of those before. Where its
        revision is lower than the one held, it may know less than the agent before: what that one called
        draining or gone stays so until it is named anew."""
        if not isinstance(told, dict) or not isinstance(told.get("members", []), list):
            raise ListError("must be an object with members")
        revision = told.get("revision", 0)
        if not isinstance(revision, int) or isinstance(revision, bool) or revision < 0:
            raise ListError(f"revision: must be a whole number, is {str(revision)[:40]!r}")
        members = told.get("members", [])
        if len(members) > MOST_MEMBERS:
            raise ListError(f"members: {len(members)} entries, {MOST_MEMBERS} at most")
        whole = cached or told.get("complete") is True
        if anew and not whole:
            raise ListError("complete: a whole list is needed from a new agent")
        if revision < self.revision and not anew:
            return None
        behind = anew and revision < self.revision
        now, wall = now_us(), wall_us()
        entries: dict[int, _Entry] = {}
        for place, told_entry in enumerate(members):
            try:
                entry = self._read(told_entry, place, now, wall)
            except ListError as error:
                self._leave_out(told_entry, str(error))
                continue
            entries[entry.server.id] = self._as_before(entry) if behind else entry
        self.revision = revision
        self._starts.record_list(now)
        if whole:
            self._forget_absent(entries)
        for entry in entries.values():
            self._hold(entry)
        kind = UpdateKind.CACHED if cached else UpdateKind.FULL if whole else UpdateKind.DELTA
        return EndpointListUpdate(
            kind, revision & 0xFFFFFFFF, tuple(entry.server for entry in entries.values())
        )

    def _read(self, told: Any, place: int, now: int, wall: int) -> _Entry:
        """One entry; ListError where it can't be used."""
        known = (
            self._entries.get(told["id"])
            if isinstance(told, dict) and isinstance(told.get("id"), str)
            else None
        )
        if known and known.told == told:
            return known
        server, address, name = self._entry(told, f"members[{place}]", now, wall)
        return _Entry(told, server, address, name, told.get("up_since_ms", 0))

    def _as_before(self, entry: _Entry) -> _Entry:
        """An entry of an agent that may know less than the one before: what was said of this start holds."""
        last, since = self._last.get(entry.server.id, (EndpointState.READY, None))
        if last is EndpointState.READY or since != entry.since:
            return entry
        return replace(entry, server=replace(entry.server, state=last), told={})

    def _forget_absent(self, entries: dict[int, _Entry]) -> None:
        """A whole list names those that there are."""
        for absent in self.addresses.keys() - entries.keys():
            self._note(absent, EndpointState.REMOVED, self._last.get(absent, (None, 0))[1])
            self._drop(absent)

    def _hold(self, entry: _Entry) -> None:
        server = entry.server
        self._note(server.id, server.state, entry.since)
        if server.state is EndpointState.REMOVED:
            self._drop(server.id)
        else:
            self.addresses[server.id], self.names[server.id] = entry.address, entry.name
            self._entries[entry.name] = entry

    def _drop(self, server: int) -> None:
        """It has gone: its address, entry and start are not known any more."""
        self.addresses.pop(server, None)
        self._entries.pop(self.names.pop(server, ""), None)
        self._starts.forget(server)

    def _note(self, server: int, state: EndpointState, start: object) -> None:
        self._last.pop(server, None)
        self._last[server] = (state, start)
        if len(self._last) > 2 * MOST_MEMBERS:
            del self._last[next(iter(self._last))]

    def _leave_out(self, entry: Any, reason: str) -> None:
        what = reason.partition(".")[2] + str(entry.get("id") if isinstance(entry, dict) else entry)[:60]
        if what not in self._complained and len(self._complained) < MOST_MEMBERS:
            self._complained.add(what)
            log.warning("entry of the list left out", reason=reason)

    def _entry(self, entry: Any, place: str, now: int, wall: int) -> tuple[EndpointInfo, str, str]:
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
        if state is not EndpointState.REMOVED:
            if kind is None:
                raise ListError(
                    f"{place}.flavor: {str(entry.get('flavor'))[:40]!r} is not among the settings' kinds"
                )
            if not host or not port.isdigit() or not 0 < int(port) <= 65_535:
                raise ListError(f"{place}.host_port: must be host:port, is {address[:80]!r}")
        size, since, cell = entry.get("size", 1.0), entry.get("up_since_ms", 0), entry.get("cell", 0)
        for what, value in (("size", size), ("up_since_ms", since), ("cell", cell)):
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not math.isfinite(value)
                or value < 0
            ):
                raise ListError(f"{place}.{what}: must be a number from 0, is {str(value)[:40]!r}")
        server = key(name)
        zone = self.zones.get(str(entry.get("locality")), 0 if not self.zones else None)
        if zone is None and state is not EndpointState.REMOVED:
            raise ListError(
                f"{place}.locality: {str(entry.get('locality'))[:40]!r} is not among the settings' zones"
            )
        return (
            EndpointInfo(
                server,
                kind or 0,
                state,
                float(size) or 1.0,
                int(cell),
                zone or 0,
                self._starts.to_monotonic_us(server, int(since * 1000), now, wall),
            ),
            address,
            name,
        )


@dataclass(slots=True, eq=False)
class _Call:
    """One call to an agent."""

    exchange: Exchange
    began: float
    """On the loop's clock, in seconds."""
    heard: float
    """When it last brought something."""
    parts: list[bytes] = field(default_factory=list)
    ended: tuple[How, str] = (How.GIVEN_UP, "")

    def told(self) -> Any:
        """Its answer's JSON; OSError where there is none, ValueError where it isn't JSON."""
        how, reason = self.ended
        if how is not How.ANSWER:
            raise OSError(reason)
        if self.exchange.status != 200:
            raise OSError(f"answered {self.exchange.status}")
        return json.loads(b"".join(self.parts))


class _Watch:
    """Calls to one agent, until `close`. `tell` gets each answer's JSON and whether it is this agent's first;
    it says whether that was taken, or older than the list held, and raises where it can't be used."""

    def __init__(
        self, address: str, grace: float, revision: Callable[[], int], tell: Callable[[Any, bool], bool]
    ) -> None:
        self.address, self.grace, self.revision, self.tell = address, grace, revision, tell
        self.within = (_WATCH + _LATE) * grace
        """Seconds after which a call is not relied upon any more."""
        self.whole = True
        """The whole list is to be asked for with the next call."""
        self._first = self._heard = True
        self._older = 0
        """Answers in a row that were older than the list held."""
        self._calls: list[_Call] = []
        self._ended: deque[_Call] = deque()
        self._news = asyncio.Event()
        self._closed = False
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Nothing more is told from now on."""
        self._closed = True
        self._task.cancel()

    async def close(self) -> None:
        self.stop()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        pool = Pool(
            self.address,
            ClientOptions(connect_timeout=int(_LONGEST_S * 1e6), rest=0, body_bytes=16_777_216),
            Connections(_CALLS),
        )
        next_at = loop.time()
        try:
            while not self._closed:
                for late in [c for c in self._calls if loop.time() - c.began >= _LONGEST_S]:
                    self._drop(late)
                if loop.time() >= next_at:
                    self._make_room(loop.time())
                    if len(self._calls) < _CALLS:
                        self._ask(pool, loop.time())
                    next_at = loop.time() + self.within
                if not self._ended:
                    self._news.clear()
                    try:
                        async with asyncio.timeout_at(next_at):
                            await self._news.wait()
                    except TimeoutError:
                        if self._calls:
                            self._failed("no answer in time")
                        continue
                pause = self._take(self._ended.popleft())
                next_at = loop.time() + pause
        finally:
            self._calls.clear()
            await pool.close()

    def _ask(self, pool: Pool, now: float) -> None:
        wait = int(_WATCH * self.grace * 1e3)
        path = "/api/targets" if self.whole else f"/api/targets?since={self.revision()}&timeout_ms={wait}"
        call = _Call(Exchange("GET", path, [("host", self.address)]), now, now)

        def data(part: bytes) -> None:
            call.parts.append(part)
            call.heard = pool.loop.time()

        def end(how: How, reason: str) -> None:
            if call in self._calls:
                self._calls.remove(call)
                call.ended = how, reason
                self._ended.append(call)
                self._news.set()

        call.exchange.on_data, call.exchange.on_end = data, end
        self._calls.append(call)
        pool.send(call.exchange)

    def _drop(self, call: _Call) -> None:
        self._calls.remove(call)
        call.exchange.cancel()

    def _make_room(self, now: float) -> None:
        """Where as many calls are open as may be, give up the one that has brought nothing for longest."""
        if len(self._calls) >= _CALLS:
            silent = min(self._calls, key=lambda c: c.heard)
            if now - silent.heard >= self.within:
                self._drop(silent)

    def _take(self, call: _Call) -> float:
        """Tell what a call has brought; the seconds until the next."""
        try:
            taken = self.tell(call.told(), self._first)
        except Exception as error:  # Whatever an agent says, the watch goes on.
            self.whole = self.whole or not isinstance(error, OSError)
            self._failed(str(error) or type(error).__name__)
            return _PAUSE * self.grace * (0.5 + random.random())
        # An agent that stays behind what it said has begun anew: its next whole list is a first one.
        self._older = 0 if taken else self._older + 1
        self.whole = self._first = self._older >= _OLDER
        if not self._heard:
            self._heard = True
            log.info("discovery heard again", address=self.address)
        for other in [c for c in self._calls if not c.parts]:
            self._drop(other)
        return max(call.began + _PAUSE * self.grace - asyncio.get_running_loop().time(), 0.0)

    def _failed(self, reason: str) -> None:
        if self._heard:
            self._heard = False
            log.warning("discovery not heard", address=self.address, reason=reason[:200])


class Discovery:
    """Watches one agent; `move` turns to another. `tell`: see `_Watch`. `grace`: microseconds after which a
    drain that was told must be heeded."""

    def __init__(
        self, address: str, revision: Callable[[], int], tell: Callable[[Any, bool], bool], grace: int
    ) -> None:
        self.address = address
        """Of the agent that is to be heeded, whether or not it has been heard."""
        self.revision, self.tell = revision, tell
        self.grace = min(max(grace / 1e6, _GRACE_S[0]), _GRACE_S[1])
        """Seconds."""
        self._heeded: _Watch | None = None
        self._next: _Watch | None = None
        """That of a new agent which has not given a whole list yet."""
        self._left: set[asyncio.Task[None]] = set()
        """Ends of watches that are under way."""

    def start(self) -> None:
        self._heeded = self._watch(self.address)

    def _watch(self, address: str) -> _Watch:
        def tell(told: Any, first: bool) -> bool:
            taken = self.tell(told, first)
            if watch is self._next and self._heeded:
                self._leave(self._heeded)
                self._heeded, self._next = watch, None
            return taken

        watch = _Watch(address, self.grace, self.revision, tell)
        return watch

    def subscribe(self, on: bool) -> None:
        """The watch always stands."""

    def fetch(self) -> None:
        """Ask for the whole list with the next call."""
        if self._heeded:
            self._heeded.whole = True

    def move(self, address: str) -> None:
        """Ask another agent; the one heeded so far is left with its first whole list."""
        if address == self.address:
            return
        self.address = address
        if self._next:
            self._leave(self._next)
            self._next = None
        if self._heeded and self._heeded.address != address:
            self._next = self._watch(address)

    def _leave(self, watch: _Watch) -> None:
        watch.stop()
        task = asyncio.get_running_loop().create_task(watch.close())
        self._left.add(task)
        task.add_done_callback(self._left.discard)

    async def close(self) -> None:
        watches = [watch for watch in (self._heeded, self._next) if watch]
        self._heeded = self._next = None
        for watch in watches:
            await watch.close()
        if self._left:
            await asyncio.wait(self._left)
