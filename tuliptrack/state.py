"""Plain records that the decision module keeps; no decision is made here."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, TypeVar

from tuliptrack.interface import FleetChange, ListKind, Request, RequestClass, Role, Server, ServerState
from tuliptrack.structures.grouped_values import GroupedValues
from tuliptrack.structures.rendezvous import RendezvousColumn
from tuliptrack.structures.sorted_members import SortedMembers

T = TypeVar("T")
DRAWS = 64  # servers drawn by chance for one that fits, before all are looked at
DRAW_SHARE = 8  # least part of the servers, as its inverse, that must fit for that: eight draws at most on the mean
PREFIXES_KEPT = 256  # prefixes of which is known how often they came: far more than the requests that count
SIZE_UNIT = 2**30  # sizes are added up as whole multiples of its inverse: no sum depends on the order of changes
GONE_KEPT = 128  # servers that have gone and are still known, so that one that comes and goes keeps its blame and turn


def median_low(values: Iterable[float]) -> float:
    """The middle one of these, the lower of two; ValueError where there are none. Its namesake in the standard library costs
    a process a twentieth of the time in which it gets ready."""
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no median of nothing")
    return ordered[(len(ordered) - 1) // 2]


def any_of(members: Sequence[T], random: Random) -> T | None:
    """One of these, each as likely; None where there are none."""
    if len(members) > 1:
        return members[int(random.random() * len(members))]
    return members[0] if members else None


def least_of(members: Sequence[T], rank: Callable[[T], Any]) -> list[T]:
    """Those of the lowest rank, in their order; none where there are no members."""
    ranks = [rank(member) for member in members]
    least = min(ranks, default=None)
    return [member for member, own in zip(members, ranks, strict=True) if own == least]


@dataclass(slots=True)
class Blame:
    """Failures of one kind at one server."""

    fails: int
    at: int
    """When the last one came; attempts sent before it count as part of it."""
    until: int
    """When the next trial send may go there."""


@dataclass(slots=True)
class Kind:
    """What this node's last attempts at all servers of one role have shown."""

    paces: deque[float]
    """Times to the end of a read or to a first token, as shares of the aim; of answers only."""
    waiting: float = 0.0
    """Smoothed tokens that wait at a server, by reports."""
    work: float = 0.0
    """Smoothed tokens of an attempt."""
    time: float = 0.0
    """Smoothed time of an attempt."""
    tokens: float = 0.0
    """Smoothed tokens that waited before it or were its own."""
    us_per_token: float = 0.0
    """The ratio of these two."""
    latency: float = 0.0
    lost: float = 0.0
    """Smoothed share of attempts that ended by their own time-out."""
    full: float = 0.0
    """Smoothed share of attempts turned away at once for lack of room."""
    told_at: int = 0
    """When the last attempt ended or answered."""
    heard_at: int = 0
    """When the last one answered."""
    carried: float = 0.0
    """Projected tokens given to these servers lately, fading from `carried_at` on."""
    carried_at: int = 0

    @property
    def quick(self) -> float:
        """The pace that only a quarter of its last answers were quicker than; 0 where there were none."""
        return sorted(self.paces)[len(self.paces) // 4] if self.paces else 0.0

    def answered(self, flight: Flight, latency: int, waiting: float, weight: float, read: bool,
                 now: int) -> None:
        """Bring the averages up to an answer. The time per token is a ratio of two averages: a prompt that is
        nearly all kept has a few tokens of its own and would swamp an average of ratios."""
        self.work += weight * (flight.work - self.work)
        self.time += weight * (latency - self.time)
        self.tokens += weight * (waiting + flight.work - self.tokens)
        self.us_per_token = self.time / self.tokens
        self.paces.append(latency / flight.aim)
        self.heard_at = now
        if read:
            self.latency += (weight if self.latency else 1.0) * (latency - self.latency)

    def ended(self, lost: float, full: float, now: int, weight: float) -> None:
        """Note the end of an attempt: by its own time-out, turned away at once, or neither."""
        self.lost += weight * (lost - self.lost)
        self.full += weight * (full - self.full)
        self.told_at = now

    def carry(self, tokens: float, now: int, fade: float) -> float:
        """Add tokens; return what has been carried lately."""
        self.carried = self.carried * math.exp((self.carried_at - now) / fade) + tokens
        self.carried_at = now
        return self.carried


@dataclass(slots=True)
class Pace:
    """How long answers have run and how many have ended, fading alike; of one server or of all together."""

    running: int = 0
    """Answers that run now."""
    ends: float = 0.0
    """Answers that have ended whole."""
    ran_us: float = 0.0
    """Microseconds that answers have run, added up over them."""
    at: int = 0
    """The moment up to which this holds."""

    def advance(self, now: int, fade: float) -> None:
        """Bring it up to now."""
        left = math.exp((self.at - now) / fade)
        self.ran_us = self.ran_us * left + self.running * fade * (1 - left)
        self.ends *= left
        self.at = now

    def begin(self, now: int, fade: float) -> None:
        """One more answer runs."""
        self.advance(now, fade)
        self.running += 1

    def end(self, now: int, fade: float, whole: bool) -> None:
        """An answer has ended."""
        self.advance(now, fade)
        self.running -= 1
        self.ends += whole

    def leave_out(self, part: Pace, now: int, fade: float) -> None:
        """Forget what is part of this."""
        self.advance(now, fade)
        part.advance(now, fade)
        self.ran_us = max(self.ran_us - part.ran_us, 0.0)
        self.ends = max(self.ends - part.ends, 0.0)


@dataclass(slots=True)
class Seat:
    """What one node knows of one server: its list entry, its last report and its own traffic there."""

    info: Server
    role: Role
    kind: Kind = field(init=False)
    """What its role has shown, in its part of the fleet; set by the decision module at each change of the list."""
    depth: float = 0.0
    """Requests in flight by the last report; 0 where none came."""
    told_at: int = 0
    """When the last report came."""
    waiting: float = 0.0
    """Tokens that wait there to be read or fetched, by the last report."""
    memory: float = 0.0
    """Share of memory held by the last report."""
    latency: float = 0.0
    """Smoothed time to the end of a read, in microseconds; 0 before the first."""
    open_work: float = 0.0
    """Tokens that this node's open attempts there have to read or fetch, as far as it can tell."""
    busy_us: float = 0.0
    """Smoothed time between two ends of own attempts (a read or a first token) while one is out."""
    busy_tokens: float = 0.0
    """Smoothed tokens worked off in such a time."""
    busy_from: int = 0
    tokens: float = 0.0
    """Projected tokens of this node's own streams there."""
    load: float = 0.0
    """The same by its listed size."""
    group: int = 0
    """Of those that `Fleet.groups` names."""
    running: dict[int, int] = field(default_factory=dict)
    """This node's answers that have started there and not ended, and when each did."""
    pace: Pace = field(default_factory=Pace)
    """How its answers have run lately."""
    blamed: dict[int, Blame] = field(default_factory=dict)
    """What has failed there lately: the whole server, its service of one class, or of one tenant."""
    open: dict[int, Flight] = field(default_factory=dict)
    """This node's attempts there that have neither ended nor started to answer, oldest first."""
    breaks: int = 0
    """Attempts in a row that broke with just their own connection."""
    turn: int = 0
    """The last turn at it that this node has used, while it was cold."""
    no_turn_before: int = 0
    """While it is cold: no further turn of this node's comes until then, as long as the list holds."""

    def take(self, flight: Flight, now: int) -> None:
        """Note a new attempt there."""
        if not self.open:
            self.busy_from = now
        flight.at, flight.sent = self, now
        self.open[flight.request.id] = flight
        self.open_work += flight.work

    def off(self, flight: Flight) -> bool:
        """Take an attempt off those that wait there; False where its answer had started."""
        waited = self.open.pop(flight.request.id, None) is not None
        if waited:
            self.open_work = max(self.open_work - flight.work, 0.0)
        return waited

    @property
    def oldest(self) -> Flight | None:
        """The oldest attempt that waits there."""
        return next(iter(self.open.values()), None)

    def fresh(self, now: int, life: int) -> float:
        """How much its last report still counts: a server that gets no sends sends no new ones."""
        return max(0.0, 1 - (now - self.told_at) / life)

    def standing(self, now: int, life: int, reported: bool) -> float:
        """Requests that stand there: by the last report, and of this node's own. A mixed server's running answers count as
        its reports count them (`reported`: they do), since each read there slows all of them."""
        own = len(self.running) if self.role is Role.BOTH and not reported else 0
        return self.depth * self.fresh(now, life) + len(self.open) + own

    def us_per_token(self, now: int) -> float:
        """Own busy time there for each token worked off, not less than what the oldest attempt has shown."""
        oldest = self.oldest
        seen = self.busy_us / self.busy_tokens if self.busy_tokens else self.kind.us_per_token
        return max(seen, (now - self.busy_from) / oldest.work) if oldest else seen

    def usual_latency(self, now: int) -> float:
        """The smoothed time to 'read', or the age of the oldest open one: a hung reader ends no reads."""
        oldest = self.oldest
        return max(self.latency or self.kind.latency, now - oldest.sent if oldest else 0, 1)

    def told(self, report: dict[str, float], now: int) -> None:
        """Note a load report, of which fields may be missing."""
        self.told_at = now
        self.depth = report.get("in_flight", self.depth)
        self.memory = report.get("memory_share", self.memory)
        self.waiting = 1000 * report.get("tokens_waiting_k", self.waiting / 1000)

    def answered(self, flight: Flight, latency: int, now: int, weight: float, read: bool) -> None:
        """Bring the averages up to an answer."""
        self.busy_us += weight * (now - self.busy_from - self.busy_us)
        self.busy_tokens += weight * (flight.work - self.busy_tokens)
        self.busy_from = now
        if read:
            self.latency += (weight if self.latency else 1.0) * (latency - self.latency)


@dataclass(slots=True)
class Flight:
    """One request from arrival to its last outcome."""

    request: Request
    cls: RequestClass
    due: int
    aim: int
    cost: float
    """Projected tokens: the prompt and the answer that is to be expected."""
    attempts: int = 0
    at: Seat | None = None
    """The server at which the newest attempt is out."""
    sent: int = 0
    work: float = 1.0
    """Tokens that the newest attempt has to read or fetch."""
    held: Seat | None = None
    """The reader that holds the read state."""
    started: bool = False
    ended: bool = False
    """A final answer was given, or the client has left; only outcomes are awaited."""
    effect: tuple[int, Server] | None = None
    """When and where the first attempt was sent that may have run."""
    silences: int = 0
    """Attempts of this stage that ended by their own time-out."""
    breaks: int = 0
    """Its attempts that broke with just their own connection."""
    hurried: bool = False
    """It goes to a zone whose traffic is still coming back, as there is no room elsewhere."""
    wait: int = 0
    """Microseconds until there may be room, where it was refused for want of it."""
    tried: list[int] = field(default_factory=list)
    """Servers that turned this request away or failed it."""

    @property
    def unread(self) -> float:
        """Tokens of the prompt that a reader is not likely to have kept."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)


@dataclass(frozen=True, slots=True)
class Group:
    """Servers of a role and, where crossings are counted, of a zone. They are named by their place in `Fleet.groups`."""

    role: Role
    zone: int


@dataclass(frozen=True, slots=True)
class Changed:
    """What a change of the list has done."""

    seats: list[Seat]
    """New ones, and those whose entry is another one now."""
    forgotten: list[int]
    """Servers gone for the longest, of which nothing is known any more."""


@dataclass(frozen=True, slots=True)
class Ramp:
    """Turns at a server in slow start: how many have come by a time after its start, in microseconds. Their rate, by the
    microsecond, grows evenly from a part of `rate` to all of it."""

    rate: float
    begins: float
    """The part of the rate at the start."""
    lasts: int

    def turns(self, at: int) -> int:
        """Turns that have come by then."""
        return int(self.rate * at * (self.begins + (1 - self.begins) * at / (2 * self.lasts))) if at > 0 else 0

    def before(self, turn: int) -> int:
        """A time, a little before this turn comes."""
        growth, first = self.rate * (1 - self.begins) / (2 * self.lasts), self.rate * self.begins
        at = turn / first if not growth else (math.sqrt(first * first + 4 * growth * turn) - first) / (2 * growth)
        return int(at * (1 - 1e-9)) - 2


class Loads:
    """Projected loads of some servers: those with own streams one by one, all others as a count in each group. The sum is
    rounded once, so it does not depend on any order."""

    def __init__(self, counts: dict[int, int], base: dict[int, float], loaded: Collection[Seat]) -> None:
        """`counts` of the servers by group, `base` what each of a group has from its role, `loaded` those with streams."""
        self.count = sum(counts.values())
        self.base = base
        self.idle = dict(counts)
        """How many of each group have no streams of this node."""
        self._loaded = loaded
        self.own = {seat.info.id: seat.load + base[seat.group] for seat in loaded}
        for seat in loaded:
            self.idle[seat.group] -= 1

    def of(self, seat: Seat) -> float:
        """The load of one of them."""
        return self.own.get(seat.info.id, self.base[seat.group])

    def raise_by(self, unit: float, prices: dict[int, float]) -> None:
        """Each becomes more by its group's price in units."""
        self.base = {group: base + unit * prices[group] for group, base in self.base.items()}
        for seat in self._loaded:
            self.own[seat.info.id] += unit * prices[seat.group]

    @property
    def mean(self) -> float:
        """Over all of them."""
        idle = math.fsum(self.base[group] * n for group, n in self.idle.items())
        return (math.fsum(self.own.values()) + idle) / self.count

    @property
    def least(self) -> float:
        """The lowest load."""
        return min([*self.own.values(), *(self.base[group] for group, n in self.idle.items() if n)])

    def idle_at(self, load: float) -> int:
        """How many without streams of this node have just this load."""
        return sum(n for group, n in self.idle.items() if self.base[group] == load)

    def loaded_at(self, load: float) -> list[Seat]:
        """Those with streams of this node that have just this load, by their numbers."""
        return sorted((s for s in self._loaded if self.own[s.info.id] == load), key=lambda s: s.info.id)


@dataclass(slots=True)
class Candidates:
    """The ready servers of a role to which a request may go: all but those that are barred."""

    ready: SortedMembers[Seat]
    barred: set[int]
    turns: list[Seat]
    """Those among them in slow start that have a turn open."""

    def __len__(self) -> int:
        return len(self.ready) - len(self.barred)

    def __contains__(self, seat: Seat) -> bool:
        return seat.info.id not in self.barred and seat.info.id in self.ready

    def among(self, seats: Iterable[Seat]) -> list[Seat]:
        """Those of some servers that are candidates."""
        ready, barred = self.ready.keys(), self.barred
        return [seat for seat in seats if seat.info.id in ready and seat.info.id not in barred]

    def __iter__(self) -> Iterator[Seat]:
        """By their numbers."""
        return (seat for seat in self.ready if seat.info.id not in self.barred)

    def draw(self, fits: Callable[[Seat], bool], count: int, random: Random) -> Seat | None:
        """Any of the `count` that fit, each as likely: by trials where they are many, else all are looked at."""
        for _ in range(DRAWS if DRAW_SHARE * count >= len(self.ready) else 0):
            seat = self.ready[int(random.random() * len(self.ready))]
            if fits(seat):
                return seat
        return any_of([seat for seat in self if fits(seat)], random)


class Fleet:
    """The server list as this node was last told it, with indexes that each change mends: no question and no change costs a
    look at every server."""

    def __init__(self, roles: tuple[Role, ...], by_zone: bool = False) -> None:
        """`by_zone`: what crosses zones is counted."""
        self.roles, self.by_zone = roles, by_zone
        self.seats: dict[int, Seat] = {}
        self.waiting: dict[int, Seat] = {}
        """Servers at which attempts of this node wait for an answer."""
        self.running: dict[int, Seat] = {}
        """Those at which answers run."""
        self.loaded: dict[int, Seat] = {}
        """Those with projected tokens of this node's streams."""
        self.pace = Pace()
        """Of all servers together."""
        self.groups: list[Group] = []
        """Every group that was ever listed: roles, by zones where crossings are counted."""
        self._group_numbers: dict[tuple[Role, int], int] = {}
        self.memory: GroupedValues[int] = GroupedValues()
        """Reported memory of the ready servers that write."""
        self.latency: GroupedValues[int] = GroupedValues()
        """Smoothed time to the end of a read at the ready servers that read; 0 before the first."""
        self._reported: dict[int, Seat] = {}
        """Servers whose reports came lately, the last one at the end."""
        self._blamed: dict[int, Seat] = {}
        self._young: dict[Role, SortedMembers[Seat]] = {role: SortedMembers() for role in Role}
        """Ready servers that had started shortly before they were listed."""
        self._first_start: float = math.inf
        """Not later than the earliest start among them."""
        self._gone: dict[int, Seat] = {}
        """The last to go stands last."""
        self._ready: dict[Role, SortedMembers[Seat]] = {role: SortedMembers() for role in Role}
        self._cells: dict[int, SortedMembers[Seat]] = {}
        """Ready servers that write, by cell."""
        self._column: RendezvousColumn[Seat] | None = None
        self._sizes: dict[tuple[Role, int | None], int] = {}
        """Listed sizes of the ready servers of just a role, in all and by cell, in `SIZE_UNIT`s."""
        self._listed: dict[Role, tuple[int, int]] = {}
        """Of every server known, ready or not: sizes and their number."""
        self._most = {Role.READ: 0, Role.WRITE: 0}

    # -- changes of the list

    def apply(self, change: FleetChange, now: int, fade: float) -> Changed:
        """Take a change, or a whole list, in which what isn't named has gone. Servers gone the longest, with nothing of this
        node's there, are forgotten past `GONE_KEPT`. `fade`: of paces."""
        changed: dict[int, Seat] = {}
        infos: Iterable[Server] = change.servers
        if change.kind is not ListKind.DELTA:
            named = {server.id for server in change.servers}
            absent = [s.info for s in self.seats.values() if s.info.id not in named and s.info.state is not ServerState.GONE]
            absent.sort(key=lambda info: info.id)
            infos = [*(replace(info, state=ServerState.GONE) for info in absent), *change.servers]
        for info in infos:
            seat = self.seats.get(info.id)
            if seat is None:
                seat = self.seats[info.id] = Seat(info, self._role(info.kind))
                self._count_listed(seat.role, _units(info.weight), 1)
                self._enter(seat)
            elif info is not seat.info and info != seat.info:
                self._replace(seat, info, now, fade)
            elif info.state is not ServerState.GONE:
                continue
            if info.state is ServerState.GONE:
                self._gone.pop(info.id, None)
                self._gone[info.id] = seat
            changed[info.id] = seat
        for role, most in self._most.items():
            self._most[role] = max(most, len(self._ready[role]))
        for members in self._young.values():  # Each server's part of the fleet may be another one now.
            for seat in members:
                seat.no_turn_before = 0
        return Changed(list(changed.values()), self._forget(now, fade))

    def _replace(self, seat: Seat, info: Server, now: int, fade: float) -> None:
        """A known server has another entry. A new process under an old id: what the old one did says nothing of it."""
        self._leave(seat)
        self._count_listed(seat.role, _units(info.weight) - _units(seat.info.weight), 0)
        if info.started_at > seat.info.started_at:
            seat.blamed, seat.latency, seat.memory, seat.waiting, seat.turn = {}, 0.0, 0.0, 0.0, 0
            self.pace.leave_out(seat.pace, now, fade)
            seat.pace = Pace(seat.pace.running, at=now)
        seat.info = info
        self._gone.pop(info.id, None)
        self._enter(seat)

    def _enter(self, seat: Seat) -> None:
        """Put a server into the indexes that its entry asks for."""
        info, role = seat.info, seat.role
        if info.state is not ServerState.READY:
            return
        for asked in {role, Role.READ, Role.WRITE} if role is Role.BOTH else {role}:
            self._ready[asked].put(info.id, seat)
            if info.started_at:
                self._young[asked].put(info.id, seat)
                self._first_start = min(self._first_start, info.started_at)
        seat.group = self._group(role, info.zone if self.by_zone else 0)
        if role is not Role.WRITE:
            self._column = None
            self.latency.put(info.id, seat.group, seat.latency)
        if role is not Role.READ:
            seat.load = seat.tokens / max(info.weight, 1e-6)
            self.memory.put(info.id, seat.group, seat.memory)
            self._cells.setdefault(info.cell, SortedMembers()).put(info.id, seat)
        self._count_ready(seat, _units(info.weight))

    def _leave(self, seat: Seat) -> None:
        """Take a server out of every index over entries."""
        info, role = seat.info, seat.role
        if info.state is not ServerState.READY:
            return
        for members in (*self._ready.values(), *self._young.values()):
            members.remove(info.id)
        if role is not Role.WRITE:
            self._column = None
            self.latency.remove(info.id)
        if role is not Role.READ:
            self.memory.remove(info.id)
            cell = self._cells[info.cell]
            cell.remove(info.id)
            if not cell:
                del self._cells[info.cell]
        self._count_ready(seat, -_units(info.weight))

    def _group(self, role: Role, zone: int) -> int:
        number = self._group_numbers.get((role, zone))
        if number is None:
            number = self._group_numbers[role, zone] = len(self.groups)
            self.groups.append(Group(role, zone))
        return number

    def _count_ready(self, seat: Seat, units: int) -> None:
        for cell in (None, seat.info.cell):
            key = (seat.role, cell)
            self._sizes[key] = self._sizes.get(key, 0) + units
            if not self._sizes[key]:
                del self._sizes[key]

    def _count_listed(self, role: Role, units: int, number: int) -> None:
        known, count = self._listed.get(role, (0, 0))
        self._listed[role] = (known + units, count + number)

    def _forget(self, now: int, fade: float) -> list[int]:
        idle = [s for s in self._gone.values() if not (s.open or s.running)]
        forgotten = idle[:-GONE_KEPT]
        for seat in forgotten:
            server = seat.info.id
            del self.seats[server], self._gone[server]
            self._blamed.pop(server, None)
            self._reported.pop(server, None)
            self.loaded.pop(server, None)
            self.pace.leave_out(seat.pace, now, fade)
            self._count_listed(seat.role, -_units(seat.info.weight), -1)
        return [seat.info.id for seat in forgotten]

    def _role(self, kind: int) -> Role:
        return self.roles[kind] if kind < len(self.roles) else Role.WRITE

    # -- this node's own traffic

    def take(self, seat: Seat, flight: Flight, now: int) -> None:
        """A new attempt waits there."""
        seat.take(flight, now)
        self.waiting[seat.info.id] = seat

    def off(self, seat: Seat, flight: Flight) -> bool:
        """Take an attempt off those that wait there; False where its answer had started."""
        waited = seat.off(flight)
        if not seat.open:
            self.waiting.pop(seat.info.id, None)
        return waited

    def begin(self, seat: Seat, request: int, now: int, fade: float) -> None:
        """An answer has started there."""
        seat.pace.begin(now, fade)
        self.pace.begin(now, fade)
        seat.running[request] = now
        self.running[seat.info.id] = seat

    def end(self, seat: Seat, request: int, now: int, fade: float, whole: bool) -> int:
        """An answer that had started is over; the microseconds that it ran."""
        seat.pace.end(now, fade, whole)
        self.pace.end(now, fade, whole)
        began = seat.running.pop(request)
        if not seat.running:
            self.running.pop(seat.info.id, None)
        return now - began

    def load(self, seat: Seat, tokens: float) -> None:
        """Projected tokens of a stream come there, or leave. Where nothing of this node's is there, none are."""
        seat.tokens = max(seat.tokens + tokens, 0.0) if seat.open or seat.running else 0.0
        seat.load = seat.tokens / max(seat.info.weight, 1e-6)
        if seat.tokens:
            self.loaded[seat.info.id] = seat
        else:
            self.loaded.pop(seat.info.id, None)

    def told(self, seat: Seat, report: dict[str, float], now: int) -> None:
        """A load report has come."""
        seat.told(report, now)
        self._reported.pop(seat.info.id, None)
        self._reported[seat.info.id] = seat
        if seat.info.id in self.memory:
            self.memory.put(seat.info.id, seat.group, seat.memory)

    def answered(self, seat: Seat, flight: Flight, latency: int, now: int, weight: float, read: bool) -> None:
        """An answer has come: its averages are brought up to it."""
        seat.answered(flight, latency, now, weight, read)
        if seat.info.id in self.latency:
            self.latency.put(seat.info.id, seat.group, seat.latency)

    def blame(self, seat: Seat, key: int, blame: Blame) -> None:
        """Note a failure there."""
        seat.blamed[key] = blame
        self._blamed[seat.info.id] = seat

    def forget_pace(self, seat: Seat, now: int, fade: float) -> None:
        """Begin anew with how its answers run."""
        self.pace.leave_out(seat.pace, now, fade)
        seat.pace = Pace(seat.pace.running, at=now)

    # -- questions

    def ready(self, role: Role) -> SortedMembers[Seat]:
        """The servers that take this role's work, mixed ones too, by their numbers."""
        return self._ready[role]

    def cell(self, cell: int) -> Collection[Seat]:
        """The ready servers of a cell that write, by their numbers."""
        return self._cells.get(cell, ())

    def blamed(self, role: Role) -> list[Seat]:
        """Ready servers of a role of which something is blamed."""
        for server in [server for server, seat in self._blamed.items() if not seat.blamed]:
            del self._blamed[server]
        return [seat for server, seat in self._blamed.items() if server in self._ready[role]]

    def cold(self, role: Role, since: int) -> Collection[Seat]:
        """Ready servers of a role that have started after a moment, by their numbers; the others are warm from now on."""
        if self._first_start <= since:
            for members in self._young.values():
                for seat in [seat for seat in members if seat.info.started_at <= since]:
                    members.remove(seat.info.id)
            starts = (seat.info.started_at for members in self._young.values() for seat in members)
            self._first_start = min(starts, default=math.inf)
        return self._young[role]

    def busy(self, since: int) -> dict[int, Seat]:
        """Servers at which something of this node's waits or runs, or that have reported after a moment."""
        for server, seat in list(self._reported.items()):
            if seat.told_at > since:
                break
            del self._reported[server]
        return self._reported | self.waiting | self.running

    def any_least(self, open_to: Candidates, score: Callable[[Seat], float], since: int, random: Random) -> Seat | None:
        """Any of the readers of the least score that are candidates, each as likely. Where nothing of this node's is and no
        report came after `since`, the score has to rise with the latency, and be one for all of a group without any."""
        busy = self.busy(since)
        looked_at = open_to.among(busy.values())
        left_out = open_to.barred | {server for server in busy if server in self.latency}
        without = self.latency.counts(0.0, left_out)
        alike: list[tuple[float, int]] = []
        for group, count in without.items():
            if count:
                first = next(key for _, key in self.latency.rising(group) if key not in left_out)
                alike.append((score(self.seats[first]), count))
            quiet = (self.seats[key] for _, key in self.latency.rising(group, 0.0) if key not in left_out)
            looked_at += _first_alike(quiet, score)
        known = least_of(looked_at, score)
        least = min([*(own for own, _ in alike), *(score(seat) for seat in known[:1])], default=math.inf)
        tied = [seat for seat in known if score(seat) == least]
        others = sum(count for own, count in alike if own == least)
        if not others:
            return any_of(sorted(tied, key=lambda s: s.info.id), random)
        return open_to.draw(lambda s: s in open_to and score(s) == least, others + len(tied), random)

    def readers(self) -> RendezvousColumn[Seat]:
        """The ready servers that read, to be ranked for a prefix."""
        if self._column is None:
            seats = list(self._ready[Role.READ])
            self._column = RendezvousColumn(seats, [s.info.id for s in seats], [s.info.weight for s in seats])
        return self._column

    def oldest(self, role: Role) -> Iterable[tuple[Seat, Flight]]:
        """The oldest attempt that waits at each ready server of a role."""
        ready = self._ready[role]
        return ((s, s.oldest) for server, s in self.waiting.items() if s.oldest and server in ready)

    def size(self, role: Role, cell: int | None = None) -> float:
        """The listed sizes of the ready servers of just this role, in all or in one cell, summed."""
        return max(self._sizes.get((role, cell), 0) / SIZE_UNIT, 1e-6)

    def cell_part(self, role: Role, cell: int) -> float:
        """The part of this role's listed size that one cell holds."""
        return self.size(role, cell) / self.size(role)

    def share(self, seat: Seat) -> float:
        """The part that a ready server is of all that do its stage, by its listed size within its role and
        the most of them ever listed here: it doesn't grow when others go. A mixed server does both stages."""
        units, count = self._listed[seat.role]
        mean = (units / SIZE_UNIT or 1.0) / count
        most = max(n for role, n in self._most.items() if seat.role in (role, Role.BOTH))
        return seat.info.weight / mean / most


def _first_alike(seats: Iterable[Seat], score: Callable[[Seat], float]) -> list[Seat]:
    """The first of some servers, and those after it with the same score."""
    found: list[Seat] = []
    for seat in seats:
        if found and score(seat) != score(found[0]):
            break
        found.append(seat)
    return found


def _units(weight: float) -> int:
    return round(weight * SIZE_UNIT)


class Asked:
    """What this node was asked: mean tokens of prompt to read and of answer, by class and in all, and how much of it each
    prefix was lately. Bound: `PREFIXES_KEPT`; the one not asked for longest is forgotten."""

    def __init__(self) -> None:
        self.count = 0
        self.all = (0.0, 0.0)
        self.by_class: dict[int, tuple[float, float]] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """Requests with a prefix, fading as others come, and how many had come in all at the last one."""

    def note(self, cls: int, prompt: float, answer: float, weight: float, prefix: int = 0) -> None:
        """Take one more request, of which the first ones weigh more. What is known of all starts at nil, so
        that each class looks heavy at first: twice, then half again what it is, and so on."""
        new = (prompt, answer)
        self.count += 1
        if prefix:
            seen, at = self._prefixes.pop(prefix, (0.0, 0))
            self._prefixes[prefix] = (seen * (1 - weight) ** (self.count - at) + 1, self.count)
            if len(self._prefixes) > PREFIXES_KEPT:
                del self._prefixes[next(iter(self._prefixes))]
        weight = max(weight, 1 / (self.count + 1))
        self.all = _toward(self.all, new, weight)
        self.by_class[cls] = _toward(self.by_class.get(cls, new), new, weight)

    def part(self, prefix: int, weight: float) -> float:
        """The part of what was asked lately that had this prefix, 0 to 1; `weight` as in `note`. The first request with one
        says nothing of how many there are, so only those that came again count; as many requests as the fading spans are
        taken to have come before the first, each with another prefix, so that a node that has seen little does not call
        hot what came twice."""
        seen, at = self._prefixes.get(prefix, (0.0, 0))
        again = max(seen * (1 - weight) ** (self.count - at) - 1, 0.0)
        return again * weight / (2 - (1 - weight) ** self.count)

    def heaviness(self, cls: int, role: Role) -> float:
        """How many mean requests one of this class weighs: by its prompt at readers, by its answer at
        writers, by whichever is more at mixed servers."""
        prompt, answer = (own / max(of, 1.0) for own, of in zip(self.by_class[cls], self.all, strict=True))
        return prompt if role is Role.READ else answer if role is Role.WRITE else max(prompt, answer)


def _toward(old: tuple[float, float], new: tuple[float, float], weight: float) -> tuple[float, float]:
    return old[0] + weight * (new[0] - old[0]), old[1] + weight * (new[1] - old[1])
