"""Plain records that the decision module keeps; no decision is made here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tuliptrack.interface import Request, RequestClass, Role, Server


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
    typical: float = 0.0
    """Their median."""
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
    carried: float = 0.0
    """Projected tokens given to these servers lately, fading from `carried_at` on."""
    carried_at: int = 0


@dataclass(slots=True)
class Seat:
    """What one node knows of one server: its list entry, its last report and its own traffic there."""

    info: Server
    role: Role
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
    pace: float = 0.0
    """Smoothed time to a read's end or a first token, as a share of the request's aim."""
    open_work: float = 0.0
    """Tokens that this node's open attempts there have to read or fetch, as far as it can tell."""
    busy_us: float = 0.0
    """Smoothed time between two ends of own attempts (a read or a first token) while one is out."""
    busy_tokens: float = 0.0
    """Smoothed tokens worked off in such a time."""
    busy_from: int = 0
    tokens: float = 0.0
    """Projected tokens of this node's own streams there."""
    streams: int = 0
    """This node's answers that have started there."""
    blamed: dict[int, Blame] = field(default_factory=dict)
    """What has failed there lately: the whole server, one class, or one class of one tenant."""
    open: dict[int, Flight] = field(default_factory=dict)
    """This node's attempts there that have neither ended nor started to answer, oldest first."""
    sends: deque[int] = field(default_factory=deque)
    """Times of this node's sends there within the cold budget's window."""


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
    tried: list[int] = field(default_factory=list)
    """Servers that turned this request away or failed it."""
