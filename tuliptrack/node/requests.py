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

from tuliptrack.decisions.billing import TokenPrice
from tuliptrack.decisions.model_catalog import Model
from tuliptrack.fronts.port import ClientRequest, FinishReason, ResponseWriter
from tuliptrack.interface import CrossZoneCause
from tuliptrack.node.counters import RequestTrace
from tuliptrack.node.cross_zone_account import Transfer
from tuliptrack.node.port import AttemptCall
from tuliptrack.routing.router import Router

__all__ = ["Attempt", "KvStateLocation", "RequestRecord", "RequestState", "RequestTable"]


class RequestState(Enum):
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


_ENDS = frozenset({RequestState.SERVED, RequestState.REFUSED, RequestState.FAILED, RequestState.LEFT})
_CUT = frozenset({RequestState.REFUSED, RequestState.FAILED, RequestState.LEFT})
LEGAL: dict[RequestState, frozenset[RequestState]] = {
    RequestState.TAKEN: frozenset({RequestState.READING, RequestState.WRITING}) | _CUT,
    RequestState.READING: frozenset({RequestState.TAKEN, RequestState.HELD}) | _CUT,
    RequestState.HELD: frozenset({RequestState.READING, RequestState.WRITING}) | _CUT,
    RequestState.WRITING: frozenset({RequestState.TAKEN, RequestState.HELD, RequestState.STREAMING}) | _CUT,
    RequestState.STREAMING: _ENDS - {RequestState.REFUSED},
    RequestState.SERVED: frozenset(),
    RequestState.REFUSED: frozenset(),
    RequestState.FAILED: frozenset(),
    RequestState.LEFT: frozenset(),
}
"""From each state, the states that may follow."""


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    number: int
    endpoint_id: int
    sent_at_us: int
    """Monotonic microseconds."""
    call: AttemptCall | None = None
    is_prefill: bool = False
    """It is out at a reader."""
    ends_at_deadline: bool = False
    """Its time-out is the client's deadline, not the router's own."""
    timer: asyncio.TimerHandle | None = None
    cross_zone_cause: CrossZoneCause | None = None
    """Why it may cross zones."""
    transfers: list[Transfer] = field(default_factory=list)
    """What it moves between zones."""
    state_endpoint_id: int = 0
    """The server whose state it fetches, if any."""
    state_bytes: int = 0
    """Bytes of that state that have come."""
    connect_by_us: int = 0
    """When a connection for it must be up, lest the state that it comes for be held for too long, or the
    window for repeats be over; 0: no such time."""


@dataclass(slots=True)
class KvStateLocation:
    """A read state that waits at a reader."""

    endpoint_id: int
    state_id: str
    address: str


@dataclass(slots=True)
class RequestRecord:
    """One request from arrival until its end is told and no attempt is out."""

    id: int
    name: str
    """What engines and bills call it: the same at no other node, nor in another life of this one."""
    client_request: ClientRequest
    response: ResponseWriter
    deadline_us: int
    """Monotonic microseconds by which a first token, or a final answer, is owed."""
    accepted_at_us: int
    router: Router
    """That of its model."""
    model: Model
    has_concurrency_slot: bool = False
    """It holds a place of admission's."""
    is_billed: bool = False
    """It is to be settled with its tenant's budgets, and billed."""
    price: TokenPrice = field(default_factory=TokenPrice)
    """What was in force when it came."""
    prefills: int = 0
    """Attempts that have read its prompt."""
    state: RequestState = RequestState.TAKEN
    attempt_count: int = 0
    attempt: Attempt | None = None
    kv_state: KvStateLocation | None = None
    possible_kv_state_at: int | None = None
    """A server at which a read was broken off: it may hold a state all the same."""
    lease_began_at_us: int = 0
    """Since when the state may have been held with no attempt at an engine: the end of its read, or of the
    last attempt that had surely arrived."""
    was_release_sent: bool = False
    """A release was sent since, in case the attempt that is out never reached its engine."""
    needs_second_release: bool = False
    """An attempt at a writer ended without a word: a release may overtake the news of that, so one is not
    enough."""
    unconfirmed_endpoints: set[int] = field(default_factory=set)
    """Engines at which an attempt of two stages ended without their word: they may come to hold something
    yet."""
    executed_at_us: int = 0
    """The earliest time at which an attempt may have had an effect; 0: none can have."""
    lease_timer: asyncio.TimerHandle | None = None
    """When that is due."""
    reserved_endpoint_id: int | None = None
    """The server at which a place was asked for."""
    pending_events: int = 0
    """Outcomes that the router has yet to hear of: it may still act on them, so the record stays."""
    next_index: int = 0
    cached_tokens: int = 0
    finish_reason: FinishReason | None = None
    first_token_at_us: int = 0
    last_output_at_us: int = 0
    """When the last token came."""
    paused_at_us: int = 0
    """Since when the client has taken no more; 0: it takes."""
    reason: str = ""
    trace: RequestTrace = field(init=False)
    """Its history, for the log."""
    endpoint_ids: list[int] = field(default_factory=list)
    state_bytes_moved: dict[int, int] = field(default_factory=dict)
    """Bytes of its states that attempts so far have fetched across zones, by reader."""

    def __post_init__(self) -> None:
        self.trace = RequestTrace(self.accepted_at_us)

    @property
    def is_concluded(self) -> bool:
        return self.state in _ENDS

    def enter(self, state: RequestState) -> None:
        """Enter a state; RuntimeError where it may not follow."""
        if state not in LEGAL[self.state]:
            raise RuntimeError(f"request {self.id}: {self.state.value} may not be followed by {state.value}")
        self.state = state

    def conclude(self, state: RequestState, reason: str) -> bool:
        """Enter an end; False where the request had ended."""
        if self.is_concluded:
            return False
        self.enter(state)
        self.reason = reason
        return True


class RequestTable:
    """Every request of the node. Bound: admission's places; those past them are refused and dropped at
    once."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.open: dict[int, RequestRecord] = {}
        self.end_counts: dict[RequestState, int] = dict.fromkeys(_ENDS, 0)
        self._next = 1

    def add(
        self, ask: ClientRequest, answer: ResponseWriter, due: int, now: int, router: Router, model: Model
    ) -> RequestRecord:
        name = f"{self.instance}-{self._next}"
        record = RequestRecord(
            self._next, name, ask, answer, due, now, router, model, next_index=ask.resume_index
        )
        self._next += 1
        self.open[record.id] = record
        return record

    def remove_if_over(self, record: RequestRecord) -> bool:
        """Drop a request that has ended and has no attempt out; True where it was dropped now."""
        if (
            record.is_concluded
            and record.attempt is None
            and not record.pending_events
            and record.id in self.open
        ):
            del self.open[record.id]
            self.end_counts[record.state] += 1
            return True
        return False
