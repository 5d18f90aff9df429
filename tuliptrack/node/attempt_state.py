"""Decides what the state of an attempt allows now: sending, retrying, releasing.

These checks run after the router has decided: before each attempt is written, and before each release.
Whether a request may be rejected is decided in `routing/idempotency.py`, for the router and for the shutdown
of a node.

    NOT_SENT ──▶ POSSIBLE ──▶ (CORROBORATED ──▶) CONFIRMED ──▶ ended

Two questions are asked about an attempt, and their safe answers are opposite. *May it have executed?* is yes
as soon as its last byte was written, because that byte may have arrived. *Has it arrived?* is yes only on the
evidence of what engines themselves send: on the same connection after the attempt, or on other connections
if no other explanation is left (`relay/corroboration.py`). What the kernel reports about the connection
proves nothing about the process behind it: a host, a proxy or a middlebox may acknowledge bytes that nobody
ever reads. No other evidence may be used to answer either question.

All times are in microseconds on the monotonic clock; 0 means "never".
"""

from __future__ import annotations

from enum import Enum

from tuliptrack.interface import EndpointState, Idempotency
from tuliptrack.routing.idempotency import NODE_STALL_US

__all__ = [
    "Delivery",
    "Verdict",
    "has_arrived",
    "may_have_executed",
    "may_retry",
    "may_send",
    "retry_by_us",
]


class Delivery(Enum):
    """What this node knows about the delivery of an attempt to its engine."""

    NOT_SENT = "not sent"
    """The last byte of the attempt was not written: the attempt has not executed, and never will if it ends
    now."""
    POSSIBLE = "possible"
    """The last byte of the attempt was written. The attempt may have arrived, may still arrive, or may never
    arrive."""
    CORROBORATED = "corroborated"
    """The attempt's connection answered a probe right before the attempt was written, and the engine has
    answered on other connections since then."""
    CONFIRMED = "confirmed"
    """The engine has answered on the attempt's connection since the attempt was written."""


class Verdict(Enum):
    """Whether a step may be taken now: `ALLOWED`, or the reason against it."""

    ALLOWED = "allowed"
    REQUEST_CONCLUDED = "the request has its final answer"
    CLIENT_DISCONNECTED = "the client has closed its connection"
    ATTEMPT_IN_FLIGHT = "another attempt is in flight"
    UNKNOWN_ENDPOINT = "the endpoint is not on the list"
    ENDPOINT_NOT_READY = "the endpoint is draining or removed"
    MAY_HAVE_EXECUTED = "an earlier attempt may have had its effect"
    DEDUPLICATION_WINDOW_OVER = "the deduplication window is over"

    def __bool__(self) -> bool:
        return self is Verdict.ALLOWED


def may_have_executed(delivery: Delivery) -> bool:
    """Return whether the attempt may have had an effect, or may still have one."""
    return delivery is not Delivery.NOT_SENT


def has_arrived(delivery: Delivery) -> bool:
    """Return whether the engine is known to have the attempt: only this stops the lease of a KV state."""
    return delivery in (Delivery.CORROBORATED, Delivery.CONFIRMED)


def may_send(
    *,
    is_concluded: bool,
    is_client_disconnected: bool,
    is_in_flight: bool,
    endpoint_state: EndpointState | None,
) -> Verdict:
    """Decide whether the next attempt of a request may begin at an endpoint now.

    Args:
        is_concluded: whether the request has its final answer.
        is_client_disconnected: whether the client has closed the connection.
        is_in_flight: whether another attempt of the request is in flight.
        endpoint_state: the state of the endpoint; None if it is not on the list.
    """
    if is_concluded:
        return Verdict.REQUEST_CONCLUDED
    if is_client_disconnected:
        return Verdict.CLIENT_DISCONNECTED
    if is_in_flight:
        return Verdict.ATTEMPT_IN_FLIGHT
    if endpoint_state is None:
        return Verdict.UNKNOWN_ENDPOINT
    if endpoint_state is not EndpointState.READY:
        return Verdict.ENDPOINT_NOT_READY
    return Verdict.ALLOWED


def may_retry(idempotency: Idempotency, executed_at_us: int, window_us: int, now_us: int) -> Verdict:
    """Decide whether a further attempt may be written now.

    Args:
        idempotency: the effect of repeating the request.
        executed_at_us: the earliest time at which an attempt may have executed; 0 if no attempt can have
            executed.
        window_us: the deduplication window of the request's idempotency key.
        now_us: the current time.
    """
    if not executed_at_us or idempotency is Idempotency.IDEMPOTENT:
        return Verdict.ALLOWED
    if idempotency is Idempotency.NOT_IDEMPOTENT:
        return Verdict.MAY_HAVE_EXECUTED
    if now_us > executed_at_us + window_us:
        return Verdict.DEDUPLICATION_WINDOW_OVER
    return Verdict.ALLOWED


def retry_by_us(idempotency: Idempotency, executed_at_us: int, window_us: int) -> int:
    """Return the time by which a retry has to be written to arrive in its deduplication window; 0: no limit.

    The arguments are those of `may_retry`.
    """
    if not executed_at_us or idempotency is not Idempotency.WITH_KEY:
        return 0
    return executed_at_us + max(window_us - NODE_STALL_US, window_us // 2)
