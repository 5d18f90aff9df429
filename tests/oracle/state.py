"""The records of the oracle: see `brain.py` beside it."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, TypeVar

from tuliptrack.interface import (
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Request,
    RequestClass,
    Role,
    Status,
    UpdateKind,
)

_MASK = (1 << 64) - 1
SIZE_UNIT = 2**30  # sizes are added up as whole multiples of its inverse
T = TypeVar("T")
PREFIXES_KEPT = 256  # prefixes of which is known how often they came: far more than the requests that count
GONE_KEPT = 128  # servers that have gone and are still known, so that one that comes and goes keeps its blame and turn


def mix(value: int) -> int:
    """A fixed 64-bit mixer, so that all nodes and processes hash alike."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def median_low(values: Iterable[float]) -> float:
    """The middle one of these, the lower of two; ValueError where there are none. Its namesake in the
    standard library costs a process a twentieth of the time in which it gets ready.
    """
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
    """Those of the lowest rank, in their order."""
    ranks = [rank(member) for member in members]
    return [member for member, own in zip(members, ranks, strict=True) if own == min(ranks)]


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

    def answered(
        self, flight: Flight, latency: int, waiting: float, weight: float, read: bool, now: int
    ) -> None:
        """Bring the averages up to an answer. The time per token is a ratio of two averages: a prompt that is
        nearly all kept has a few tokens of its own and would swamp an average of ratios.
        """
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
class Seat:
    """What one node knows of one server: its list entry, its last report and its own traffic there."""

    info: EndpointInfo
    role: Role
    kind: Kind = field(init=False)
    """What its role has shown, in its part of the fleet; set by the decision module at each change of the
    list."""
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
    running: dict[int, int] = field(default_factory=dict)
    """This node's answers that have started there and not ended, and when each did."""
    ends: float = 0.0
    """Its answers that have ended whole, fading."""
    ran_us: float = 0.0
    """Microseconds that its answers have run, added up over them and fading alike."""
    ran_at: int = 0
    blamed: dict[int, Blame] = field(default_factory=dict)
    """What has failed there lately: the whole server, its service of one class, or of one tenant."""
    open: dict[int, Flight] = field(default_factory=dict)
    """This node's attempts there that have neither ended nor started to answer, oldest first."""
    breaks: int = 0
    """Attempts in a row that broke with just their own connection."""
    turn: int = 0
    """The last turn at it that this node has used, while it was cold."""

    def take(self, flight: Flight, now: int) -> None:
        """Note a new attempt there."""
        if not self.open:
            self.busy_from = now
        flight.at, flight.sent = self, now
        self.open[flight.request.request_id] = flight
        self.open_work += flight.work

    def off(self, flight: Flight) -> bool:
        """Take an attempt off those that wait there; False where its answer had started."""
        waited = self.open.pop(flight.request.request_id, None) is not None
        if waited:
            self.open_work = max(self.open_work - flight.work, 0.0)
        return waited

    def ran(self, now: int, fade: float, ended: bool = False) -> None:
        """Bring up to now how long its answers have run and how many have ended."""
        left = math.exp((self.ran_at - now) / fade)
        self.ran_us = self.ran_us * left + len(self.running) * fade * (1 - left)
        self.ends = self.ends * left + ended
        self.ran_at = now

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
    effect: tuple[int, EndpointInfo] | None = None
    """When and where the first attempt was sent that may have run."""
    silences: int = 0
    """Attempts of this stage that ended by their own time-out."""
    breaks: int = 0
    """Its attempts that broke with just their own connection."""
    hurried: bool = False
    """It goes to a zone whose traffic is still coming back, as there is no room elsewhere."""
    wait: int = 0
    """Microseconds until there may be room, where it was refused for want of it."""
    unanswering: list[int] = field(default_factory=list)
    """Writers that it could not reach, or at which it was given up without an answer."""
    tried: list[int] = field(default_factory=list)
    """Servers that turned this request away or failed it."""

    def tried_at(self, seat: Seat, status: Status, again: bool, writers: int) -> None:
        """Note where an attempt has ended, for the choice of the next server. Once its prompt has been read,
        it may go to any of the writers but those that gave no answer, if there are others; `again`: it may go
        to the same server once more.
        """
        no_answer = seat.role is not Role.PREFILL and status in (Status.TIMEOUT, Status.CONNECT_FAILED)
        if no_answer and seat.info.id not in self.unanswering:
            self.unanswering.append(seat.info.id)
        if status is Status.PREFILLED:
            self.tried = self.unanswering[:] if len(self.unanswering) < writers else []
        elif no_answer or not again:
            self.tried = [*self.tried, seat.info.id]

    @property
    def unread(self) -> float:
        """Tokens of the prompt that a reader is not likely to have kept."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)


class Fleet:
    """The server list as this node was last told it; what follows from it is worked out once a change."""

    def __init__(self, roles: tuple[Role, ...]) -> None:
        self.roles = roles
        self.seats: dict[int, Seat] = {}
        self.orders: dict[int, list[Seat]] = {}
        """Orders of the ready readers by key, kept by the decision module; a change voids them."""
        self._ready: dict[Role, list[Seat]] = {}
        self._parts: dict[tuple[Role, int | None], float] = {}
        self._most = {Role.PREFILL: 0, Role.DECODE: 0}
        self._means: dict[Role, float] = {}

    def apply(self, change: EndpointListUpdate) -> list[int]:
        """Take a change, or a whole list, in which what isn't named has gone. Returns the servers forgotten:
        those gone the longest, with nothing of this node's there, past `GONE_KEPT`.
        """
        self.orders.clear()
        self._ready.clear()
        self._parts.clear()
        self._means.clear()
        if change.kind is not UpdateKind.DELTA:
            named = {server.id for server in change.endpoints}
            for _, seat in sorted(self.seats.items()):
                if seat.info.id not in named and seat.info.state is not EndpointState.REMOVED:
                    seat.info = replace(seat.info, state=EndpointState.REMOVED)
                    self.seats[seat.info.id] = self.seats.pop(seat.info.id)
        for info in change.endpoints:
            seat = self.seats.setdefault(info.id, Seat(info, self._role(info.kind)))
            if info.started_at_us > seat.info.started_at_us:
                # A new process under the old id: what the old one did says nothing of it.
                seat.blamed, seat.latency, seat.memory, seat.waiting, seat.turn = {}, 0.0, 0.0, 0.0, 0
                seat.ran_us = seat.ends = 0.0
            if info.state is EndpointState.REMOVED:
                self.seats[info.id] = self.seats.pop(info.id)  # The last to go stands last.
            seat.info = info
        for role in (Role.PREFILL, Role.DECODE):
            self._most[role] = max(self._most[role], len(self.ready(role)))
        gone = [
            s.info.id
            for s in self.seats.values()
            if s.info.state is EndpointState.REMOVED and not (s.open or s.running)
        ]
        forgotten = gone[:-GONE_KEPT]
        for server in forgotten:
            del self.seats[server]
        return forgotten

    def _role(self, kind: int) -> Role:
        return self.roles[kind] if kind < len(self.roles) else Role.DECODE

    def ready(self, role: Role) -> list[Seat]:
        """The servers that take this role's work, mixed ones too."""
        if role not in self._ready:
            self._ready[role] = [
                s
                for _, s in sorted(self.seats.items())
                if s.info.state is EndpointState.READY and s.role in (role, Role.PREFILL_AND_DECODE)
            ]
        return self._ready[role]

    def size(self, role: Role, cell: int | None = None) -> float:
        """The listed sizes of the ready servers of just this role, in all or in one cell, summed."""
        if (role, cell) not in self._parts:
            self._parts[role, cell] = (
                sum(
                    round(s.info.weight * SIZE_UNIT)
                    for s in self.ready(role)
                    if s.role is role and cell in (None, s.info.cell)
                )
                / SIZE_UNIT
            )
        return max(self._parts[role, cell], 1e-6)

    def cell_part(self, role: Role, cell: int) -> float:
        """The part of this role's listed size that one cell holds."""
        return self.size(role, cell) / self.size(role)

    def share(self, seat: Seat) -> float:
        """The part that a ready server is of all that do its stage, by its listed size within its role and
        the most of them ever listed here: it doesn't grow when others go. A mixed server does both stages.
        """
        if seat.role not in self._means:
            sizes = [round(s.info.weight * SIZE_UNIT) for s in self.seats.values() if s.role is seat.role]
            self._means[seat.role] = (sum(sizes) / SIZE_UNIT or 1.0) / len(sizes)
        most = max(n for role, n in self._most.items() if seat.role in (role, Role.PREFILL_AND_DECODE))
        return seat.info.weight / self._means[seat.role] / most


class Asked:
    """What this node was asked: mean tokens of prompt to read and of answer, by class and in all, and how
    much of it each prefix was lately. Bound: `PREFIXES_KEPT`; the one not asked for longest is forgotten.
    """

    def __init__(self) -> None:
        self.count = 0
        self.all = (0.0, 0.0)
        self.by_class: dict[int, tuple[float, float]] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """Requests with a prefix, fading as others come, and how many had come in all at the last one."""

    def note(self, cls: int, prompt: float, answer: float, weight: float, prefix: int = 0) -> None:
        """Take one more request, of which the first ones weigh more. What is known of all starts at nil, so
        that each class looks heavy at first: twice, then half again what it is, and so on.
        """
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
        """The part of what was asked lately that had this prefix, 0 to 1; `weight` as in `note`. The first
        request with one says nothing of how many there are, so only those that came again count; as many
        requests as the fading spans are taken to have come before the first, each with another prefix, so
        that a node that has seen little does not call hot what came twice.
        """
        seen, at = self._prefixes.get(prefix, (0.0, 0))
        again = max(seen * (1 - weight) ** (self.count - at) - 1, 0.0)
        return again * weight / (2 - (1 - weight) ** self.count)

    def heaviness(self, cls: int, role: Role) -> float:
        """How many mean requests one of this class weighs: by its prompt at readers, by its answer at
        writers, by whichever is more at mixed servers.
        """
        prompt, answer = (own / max(of, 1.0) for own, of in zip(self.by_class[cls], self.all, strict=True))
        return prompt if role is Role.PREFILL else answer if role is Role.DECODE else max(prompt, answer)


def _toward(old: tuple[float, float], new: tuple[float, float], weight: float) -> tuple[float, float]:
    return old[0] + weight * (new[0] - old[0]), old[1] + weight * (new[1] - old[1])
