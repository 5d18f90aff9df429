"""The states of a request and the one table of transitions between them.

    ACCEPTED ──▶ PREFILLING ──▶ PREFILLED ──▶ DECODING ──▶ STREAMING ──▶ SERVED
       │            │   ▲          │            │   ▲          │
       │            ▼   │          │            ▼   │          │
       │          between attempts (ACCEPTED or PREFILLED)     │
       └────────────┴──────────────┴────────────┴──────────────┴──▶ REJECTED, FAILED, DISCONNECTED

The last four states are final. A stream that has begun can no longer be rejected, since its tokens are with
the client. The values appear in logs (`end=`) and in the names of counters (`requests_served`).
"""

from __future__ import annotations

from enum import Enum

__all__ = ["FINAL_STATES", "TRANSITIONS", "IllegalTransitionError", "RequestState"]


class RequestState(Enum):
    """Where a request is between its arrival and its final answer."""

    ACCEPTED = "accepted"
    """No attempt is in flight and no KV state is reserved."""
    PREFILLING = "prefilling"
    """An attempt at a prefill endpoint is in flight."""
    PREFILLED = "prefilled"
    """A KV state is reserved, no attempt is in flight."""
    DECODING = "decoding"
    """An attempt at an endpoint that decodes is in flight and has not answered."""
    STREAMING = "streaming"
    """The first token has come."""
    SERVED = "served"
    """Final: the client has the complete answer."""
    REJECTED = "rejected"
    """Final: no attempt had an effect that a retry by the client would double."""
    FAILED = "failed"
    """Final: an attempt may have had an effect, or the stream broke."""
    DISCONNECTED = "disconnected"
    """Final: the client has left, or its connection has."""


class IllegalTransitionError(RuntimeError):
    """A request was to enter a state that may not follow its present one: a fault of this program."""


_CUT_SHORT = frozenset({RequestState.REJECTED, RequestState.FAILED, RequestState.DISCONNECTED})

FINAL_STATES = _CUT_SHORT | {RequestState.SERVED}

TRANSITIONS: dict[RequestState, frozenset[RequestState]] = {
    RequestState.ACCEPTED: frozenset({RequestState.PREFILLING, RequestState.DECODING}) | _CUT_SHORT,
    RequestState.PREFILLING: frozenset({RequestState.ACCEPTED, RequestState.PREFILLED}) | _CUT_SHORT,
    RequestState.PREFILLED: frozenset({RequestState.PREFILLING, RequestState.DECODING}) | _CUT_SHORT,
    RequestState.DECODING: (
        frozenset({RequestState.ACCEPTED, RequestState.PREFILLED, RequestState.STREAMING}) | _CUT_SHORT
    ),
    RequestState.STREAMING: FINAL_STATES - {RequestState.REJECTED},
    RequestState.SERVED: frozenset(),
    RequestState.REJECTED: frozenset(),
    RequestState.FAILED: frozenset(),
    RequestState.DISCONNECTED: frozenset(),
}
"""From each state, the states that may follow."""
