"""The states of a request and the table of the transitions between them.

    ACCEPTED ──▶ PREFILLING ──▶ PREFILLED ──▶ DECODING ──▶ STREAMING ──▶ SERVED
       │            │   ▲          │            │   ▲          │
       │            ▼   │          │            ▼   │          │
       │          between attempts (ACCEPTED or PREFILLED)     │
       └────────────┴──────────────┴────────────┴──────────────┴──▶ REJECTED, FAILED, DISCONNECTED

The last four states are final. A stream that has begun can no longer be rejected, because the client already
has tokens of it. The values appear in logs (`end=`) and in the names of counters (`requests_served`).
"""

from __future__ import annotations

from enum import Enum

__all__ = ["FINAL_STATES", "TRANSITIONS", "IllegalTransitionError", "RequestState"]


class RequestState(Enum):
    """The state of a request, from its arrival to its final answer."""

    ACCEPTED = "accepted"
    """No attempt is in flight and no KV state is reserved."""
    PREFILLING = "prefilling"
    """An attempt at a prefill endpoint is in flight."""
    PREFILLED = "prefilled"
    """A KV state is reserved, no attempt is in flight."""
    DECODING = "decoding"
    """An attempt at an endpoint that decodes is in flight and has not answered."""
    STREAMING = "streaming"
    """The first token has arrived."""
    SERVED = "served"
    """Final: the client has the complete answer."""
    REJECTED = "rejected"
    """Final: no attempt had an effect that a retry by the client would double."""
    FAILED = "failed"
    """Final: an attempt may have had an effect, or the stream broke."""
    DISCONNECTED = "disconnected"
    """Final: the client has disconnected."""


class IllegalTransitionError(RuntimeError):
    """A request was about to enter a state that may not follow its current one: a bug in this program."""


_NOT_SERVED = frozenset({RequestState.REJECTED, RequestState.FAILED, RequestState.DISCONNECTED})

FINAL_STATES = _NOT_SERVED | {RequestState.SERVED}

TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.ACCEPTED: frozenset({RequestState.PREFILLING, RequestState.DECODING}) | _NOT_SERVED,
    RequestState.PREFILLING: frozenset({RequestState.ACCEPTED, RequestState.PREFILLED}) | _NOT_SERVED,
    RequestState.PREFILLED: frozenset({RequestState.PREFILLING, RequestState.DECODING}) | _NOT_SERVED,
    RequestState.DECODING: (
        frozenset({RequestState.ACCEPTED, RequestState.PREFILLED, RequestState.STREAMING}) | _NOT_SERVED
    ),
    RequestState.STREAMING: FINAL_STATES - {RequestState.REJECTED},
    RequestState.SERVED: frozenset(),
    RequestState.REJECTED: frozenset(),
    RequestState.FAILED: frozenset(),
    RequestState.DISCONNECTED: frozenset(),
}
"""The states that may follow each state."""
