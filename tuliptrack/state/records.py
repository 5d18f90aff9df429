"""What a node knows of one server, of one request, and of all servers of a role; no decision is made here."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from tuliptrack.interface import Request, RequestClass, Role, Server, Status

__all__ = ["Blame", "Flight", "Kind", "Pace", "Seat"]


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
        """Requests that stand there: by the last report, and of this node's own. A mixed server's running
        answers count as its reports count them (`reported`: they do), since each read there slows all of
        them."""
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
    unanswering: list[int] = field(default_factory=list)
    """Writers that it could not reach, or at which it was given up without an answer."""
    tried: list[int] = field(default_factory=list)
    """Servers that turned this request away or failed it."""

    def tried_at(self, seat: Seat, status: Status, again: bool, writers: int) -> None:
        """Note where an attempt has ended, for the choice of the next server. Once its prompt has been read,
        it may go to any of the writers but those that gave no answer, if there are others; `again`: it may go
        to the same server once more."""
        no_answer = seat.role is not Role.READ and status in (Status.TIMEOUT, Status.CONNECT_FAILED)
        if no_answer and seat.info.id not in self.unanswering:
            self.unanswering.append(seat.info.id)
        if status is Status.READ:
            self.tried = self.unanswering[:] if len(self.unanswering) < writers else []
        elif no_answer or not again:
            self.tried = [*self.tried, seat.info.id]

    @property
    def unread(self) -> float:
        """Tokens of the prompt that a reader is not likely to have kept."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)
