"""The node's table of requests: a record of each, from its arrival until its last attempt has been handled.

The states of a request and their transitions are in `request_state.py`. `RequestRecord.conclude` is the only
place where a request gets its final state: it does so once, and returns whether it did. An attempt may still
be in flight then; the record stays until the router has handled the end of that attempt.

All times are in microseconds on the monotonic clock; 0 means "never" where a field says so.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tuliptrack.decisions.billing import TokenPrice
from tuliptrack.decisions.model_catalog import Model
from tuliptrack.decisions.stream_idle import StreamActivity
from tuliptrack.fronts.port import ClientRequest, FinishReason, ResponseWriter
from tuliptrack.interface import CrossZoneCause
from tuliptrack.node.attempt_call import AttemptCall
from tuliptrack.node.counters import RequestTrace
from tuliptrack.node.cross_zone_account import Transfer
from tuliptrack.node.request_state import FINAL_STATES, TRANSITIONS, IllegalTransitionError, RequestState
from tuliptrack.routing.router import Router

__all__ = ["Attempt", "KvStateLocation", "RequestRecord", "RequestTable"]


@dataclass(slots=True)
class Attempt:
    """One attempt in flight at an engine."""

    number: int
    endpoint_id: int
    sent_at_us: int
    call: AttemptCall | None = None
    is_prefill: bool = False
    """Whether the attempt was sent to a prefill endpoint."""
    ends_at_deadline: bool = False
    """Whether the attempt's timeout is the client's deadline, not a timeout that the router chose."""
    timer: asyncio.TimerHandle | None = None
    """The timer of the attempt's timeout."""
    window_timer: asyncio.TimerHandle | None = None
    """The timer of the deduplication window, if the attempt repeats one that may have executed."""
    cross_zone_cause: CrossZoneCause | None = None
    """The reason for which the attempt may cross zones; None if it does not cross zones."""
    transfers: list[Transfer] = field(default_factory=list)
    """The attempt's transfers between zones."""
    state_endpoint_id: int = 0
    """The endpoint whose KV state the attempt fetches; 0 if it fetches none."""
    state_bytes: int = 0
    """Number of bytes of the fetched KV state that were transferred."""
    connect_by_us: int = 0
    """The time by which the attempt needs its connection, because the lease of its KV state or the
    deduplication window ends at that time; 0 if neither limits the attempt."""


@dataclass(slots=True)
class KvStateLocation:
    """Where a prefill has left a KV state."""

    endpoint_id: int
    state_id: str
    """The engine's identifier of the state."""
    address: str
    """The address from which a decode endpoint fetches it."""


@dataclass(slots=True)
class RequestRecord:
    """One request, from its arrival until it has its final state and no attempt in flight."""

    id: int
    name: str
    """The name of the request at engines and in bills: unique across all nodes and all incarnations of this
    node."""
    client_request: ClientRequest
    response: ResponseWriter
    deadline_us: int
    """The time at which the first token, or a final answer, is due."""
    accepted_at_us: int
    router: Router
    """The router of the request's model."""
    model: Model
    has_concurrency_slot: bool = False
    """Whether the request occupies a slot of the concurrency limit."""
    is_billed: bool = False
    """Whether the request has to be settled with its tenant's budgets, and billed."""
    price: TokenPrice = field(default_factory=TokenPrice)
    """The price in force when the request arrived."""
    prefills: int = 0
    """Number of attempts that have prefilled the request's prompt."""
    state: RequestState = RequestState.ACCEPTED
    attempt_count: int = 0
    attempt: Attempt | None = None
    kv_state: KvStateLocation | None = None
    possible_kv_state_endpoint_id: int | None = None
    """The endpoint at which a prefill was interrupted, and which may nevertheless have reserved a state."""
    lease_began_at_us: int = 0
    """The time since which the KV state may have been reserved with no attempt at an engine: the end of its
    prefill, or the end of the last attempt that is known to have arrived."""
    was_release_sent: bool = False
    """Whether a release was sent since `lease_began_at_us`, in case the attempt in flight never reaches its
    engine."""
    needs_second_release: bool = False
    """Whether a decode attempt ended unconfirmed: a release may reach the engine before that end does, so one
    release is not enough."""
    unconfirmed_endpoints: set[int] = field(default_factory=set)
    """Endpoints at which a prefill, or a decode that fetches a KV state, ended unconfirmed: they may still
    reserve something later."""
    executed_at_us: int = 0
    """The earliest time at which an attempt may have had an effect; 0 if none can have had one."""
    lease_timer: asyncio.TimerHandle | None = None
    """The timer of the lease, while the lease runs."""
    deadline_timer: asyncio.TimerHandle | None = None
    """The timer of the client's deadline for the whole call."""
    reserved_endpoint_id: int | None = None
    """The endpoint that was asked to reserve capacity."""
    pending_events: int = 0
    """Number of attempt ends that the router has yet to handle: the router may act on them, so the record
    stays."""
    next_index: int = 0
    """The index of the next output token."""
    cached_tokens: int = 0
    finish_reason: FinishReason | None = None
    first_token_at_us: int = 0
    stream: StreamActivity = field(default_factory=StreamActivity)
    """What has happened to the answer."""
    is_beginning_stream: bool = False
    """Whether the first output has arrived and is not forwarded yet."""
    stream_timer: asyncio.TimerHandle | None = None
    """The timer of the next check of the answer; None before its first output."""
    reason: str = ""
    """The reason for the request's final state, for the log."""
    trace: RequestTrace = field(init=False)
    """The steps of the request, for the log."""
    endpoint_ids: list[int] = field(default_factory=list)
    """The endpoints of the request's attempts, in the order of the attempts."""
    state_bytes_moved: dict[int, int] = field(default_factory=dict)
    """Bytes of the request's KV states that attempts have fetched across zones, by prefill endpoint."""

    def __post_init__(self) -> None:
        self.trace = RequestTrace(self.accepted_at_us)

    @property
    def is_concluded(self) -> bool:
        """Whether the request has its final state."""
        return self.state in FINAL_STATES

    @property
    def has_reserved_state(self) -> bool:
        """Whether a KV state is, or may be, reserved for the request."""
        return self.kv_state is not None or self.possible_kv_state_endpoint_id is not None

    def enter(self, state: RequestState) -> None:
        """Enter a state; raise `IllegalTransitionError` if it may not follow the current one."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(
                f"request {self.id}: {self.state.value} may not be followed by {state.value}"
            )
        self.state = state

    def conclude(self, state: RequestState, reason: str) -> bool:
        """Enter a final state; return False if the request already has one."""
        if self.is_concluded:
            return False
        self.enter(state)
        self.reason = reason
        return True


class RequestTable:
    """All requests of the node.

    The number of requests is bounded by the slots of the concurrency limit: requests beyond them are rejected
    and removed at once.
    """

    def __init__(self, instance: str) -> None:
        """Start empty; `instance` makes the names of requests unique."""
        self.instance = instance
        self.open: dict[int, RequestRecord] = {}
        """Requests without a final state, or with an attempt still in flight, by id."""
        self.end_counts: dict[RequestState, int] = dict.fromkeys(FINAL_STATES, 0)
        self._next_id = 1

    def add(
        self,
        client_request: ClientRequest,
        response: ResponseWriter,
        deadline_us: int,
        now_us: int,
        router: Router,
        model: Model,
    ) -> RequestRecord:
        """Add a request that has just arrived."""
        record = RequestRecord(
            id=self._next_id,
            name=f"{self.instance}-{self._next_id}",
            client_request=client_request,
            response=response,
            deadline_us=deadline_us,
            accepted_at_us=now_us,
            router=router,
            model=model,
            next_index=client_request.resume_index,
        )
        self._next_id += 1
        self.open[record.id] = record
        return record

    def remove_if_finished(self, record: RequestRecord) -> bool:
        """Remove a request if it has its final state and no attempt in flight; return whether it did."""
        is_finished = record.is_concluded and record.attempt is None and not record.pending_events
        if not is_finished or record.id not in self.open:
            return False
        del self.open[record.id]
        self.end_counts[record.state] += 1
        return True
