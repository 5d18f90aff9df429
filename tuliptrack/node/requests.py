"""The node's table of requests: what state each is in, and the one place where a request's end is decided.

    TAKEN ──▶ READING ──▶ HELD ──▶ WRITING ──▶ STREAMING ──▶ SERVED
      │          │  ▲        │        │  ▲          │
      │          ▼  │        │        ▼  │          │
      │         between attempts (TAKEN or HELD)    │
      └──────────┴──────────┴─────────┴─────────────┴──▶ REFUSED, FAILED, LEFT

TAKEN: no attempt out, nothing held. READING: an attempt at a reader is out. HELD: a read state waits, no
attempt out. WRITING: an attempt at a writer (or mixed server) is out and has not answered. STREAMING: its
first token has come. The four ends are final: `end` lets a request into one of them once and says whether it
did. An attempt may still be out then; the record stays until the router has been told of its outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from tuliptrack.decisions.bills import Price
from tuliptrack.decisions.models import Model
from tuliptrack.fronts.port import Answer, Ask, Finish
from tuliptrack.interface import CrossZoneCause
from tuliptrack.node.counters import RequestTrace
from tuliptrack.node.port import Call
from tuliptrack.node.zones import Move
from tuliptrack.routing.router import Router

__all__ = ["Attempt", "Held", "Record", "State", "Table"]


class State(Enum):
    """See the module's text."""

    TAKEN = "taken"
    READING = "reading"
    HELD = "held"
    WRITING = "writing"
    STREAMING = "streaming"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


_ENDS = frozenset({State.SERVED, State.REFUSED, State.FAILED, State.LEFT})
_CUT = frozenset({State.REFUSED, State.FAILED, State.LEFT})
LEGAL: dict[State, frozenset[State]] = {
    State.TAKEN: frozenset({State.READING, State.WRITING}) | _CUT,
    State.READING: frozenset({State.TAKEN, State.HELD}) | _CUT,
    State.HELD: frozenset({State.READING, State.WRITING}) | _CUT,
    State.WRITING: frozenset({State.TAKEN, State.HELD, State.STREAMING}) | _CUT,
    State.STREAMING: _ENDS - {State.REFUSED},
    State.SERVED: frozenset(),
    State.REFUSED: frozenset(),
    State.FAILED: frozenset(),
    State.LEFT: frozenset(),
}
"""From each state, the states that may follow."""


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    number: int
    server: int
    sent: int
    """Monotonic microseconds."""
    call: Call | None = None
    reading: bool = False
    """It is out at a reader."""
    cut_at_due: bool = False
    """Its time-out is the client's deadline, not the router's own."""
    timer: asyncio.TimerHandle | None = None
    cause: CrossZoneCause | None = None
    """Why it may cross zones."""
    moves: list[Move] = field(default_factory=list)
    """What it moves between zones."""
    reader: int = 0
    """The server whose state it fetches, if any."""
    state_bytes: int = 0
    """Bytes of that state that have come."""
    connect_by: int = 0
    """When a connection for it must be up, lest the state that it comes for be held for too long, or the
    window for repeats be over; 0: no such time."""


@dataclass(slots=True)
class Held:
    """A read state that waits at a reader."""

    server: int
    state_id: str
    address: str


@dataclass(slots=True)
class Record:
    """One request from arrival until its end is told and no attempt is out."""

    id: int
    name: str
    """What engines and bills call it: the same at no other node, nor in another life of this one."""
    ask: Ask
    answer: Answer
    due: int
    """Monotonic microseconds by which a first token, or a final answer, is owed."""
    taken_at: int
    router: Router
    """That of its model."""
    model: Model
    placed: bool = False
    """It holds a place of admission's."""
    let_in: bool = False
    """It is to be settled with its tenant's budgets, and billed."""
    price: Price = field(default_factory=Price)
    """What was in force when it came."""
    reads: int = 0
    """Attempts that have read its prompt."""
    state: State = State.TAKEN
    attempts: int = 0
    out: Attempt | None = None
    held: Held | None = None
    maybe_held: int | None = None
    """A server at which a read was broken off: it may hold a state all the same."""
    held_at: int = 0
    """Since when the state may have been held with no attempt at an engine: the end of its read, or of the
    last attempt that had surely arrived."""
    release_asked: bool = False
    """A release was sent since, in case the attempt that is out never reached its engine."""
    release_may_cross: bool = False
    """An attempt at a writer ended without a word: a release may overtake the news of that, so one is not
    enough."""
    unheard: set[int] = field(default_factory=set)
    """Engines at which an attempt of two stages ended without their word: they may come to hold something
    yet."""
    ran_at: int = 0
    """The earliest time at which an attempt may have had an effect; 0: none can have."""
    hold_timer: asyncio.TimerHandle | None = None
    """When that is due."""
    holding: int | None = None
    """The server at which a place was asked for."""
    untold: int = 0
    """Outcomes that the router has yet to hear of: it may still act on them, so the record stays."""
    next_index: int = 0
    cached_tokens: int = 0
    finish: Finish | None = None
    first_token_at: int = 0
    heard_at: int = 0
    """When the last token came."""
    paused_at: int = 0
    """Since when the client has taken no more; 0: it takes."""
    reason: str = ""
    trace: RequestTrace = field(init=False)
    """Its history, for the log."""
    servers: list[int] = field(default_factory=list)
    state_moved: dict[int, int] = field(default_factory=dict)
    """Bytes of its states that attempts so far have fetched across zones, by reader."""

    def __post_init__(self) -> None:
        self.trace = RequestTrace(self.taken_at)

    @property
    def ended(self) -> bool:
        return self.state in _ENDS

    def go(self, state: State) -> None:
        """Enter a state; RuntimeError where it may not follow."""
        if state not in LEGAL[self.state]:
            raise RuntimeError(f"request {self.id}: {self.state.value} may not be followed by {state.value}")
        self.state = state

    def end(self, state: State, reason: str) -> bool:
        """Enter an end; False where the request had ended."""
        if self.ended:
            return False
        self.go(state)
        self.reason = reason
        return True


class Table:
    """Every request of the node. Bound: admission's places; those past them are refused and dropped at
    once."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.open: dict[int, Record] = {}
        self.ends: dict[State, int] = dict.fromkeys(_ENDS, 0)
        self._next = 1

    def take(self, ask: Ask, answer: Answer, due: int, now: int, router: Router, model: Model) -> Record:
        name = f"{self.instance}-{self._next}"
        record = Record(self._next, name, ask, answer, due, now, router, model, next_index=ask.resume_index)
        self._next += 1
        self.open[record.id] = record
        return record

    def settle(self, record: Record) -> bool:
        """Drop a request that has ended and has no attempt out; True where it was dropped now."""
        if record.ended and record.out is None and not record.untold and record.id in self.open:
            del self.open[record.id]
            self.ends[record.state] += 1
            return True
        return False
