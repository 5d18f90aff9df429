"""What an attempt's state allows now: the one place that is asked before anything is sent, repeated, let go
or refused.

    NOT_SENT ──▶ POSSIBLE ──▶ CONFIRMED ──▶ (ended)

Two questions are asked of an attempt, and their safe sides are opposite. *May it have run?* is yes as soon as
its last byte was written, since that may have arrived. *Has it arrived?* is yes only on words of engines
themselves: one on that connection and after the send, or those that together leave no other account of it
(`relay/corroboration.py`). What the kernel says of the connection tells nothing of a process behind it, as a
machine, a proxy or a middlebox may confirm bytes that nobody ever reads. Nothing else may stand in for either
question.

All times are monotonic microseconds.
"""

from __future__ import annotations

from enum import Enum

from tuliptrack.interface import EndpointState, Idempotency

__all__ = [
    "HELD_UP_US",
    "Delivery",
    "Verdict",
    "has_arrived",
    "may_have_run",
    "may_refuse",
    "may_repeat",
    "may_send",
    "repeat_by",
]

HELD_UP_US = 150_000
"""For so long a node may be held up between reading its clock and the bytes on the wire (the platform's
figure)."""


class Delivery(Enum):
    """How far an attempt's request has come, as far as this node can know."""

    NOT_SENT = "not sent"
    """Its last byte was not written: it never ran, and ended now it never will."""
    POSSIBLE = "possible"
    """Its last byte was written. It may have arrived, may arrive yet, or never."""
    CORROBORATED = "corroborated"
    """Its connection proved itself right before, and its engine and other connections have since."""
    CONFIRMED = "confirmed"
    """The engine has spoken on that connection since."""


class Verdict(Enum):
    """Why something may not be done now; `YES` where it may."""

    YES = "yes"
    ENDED = "the request has its final answer"
    CLIENT_GONE = "the client has closed its connection"
    IN_FLIGHT = "another attempt is in flight"
    UNKNOWN_SERVER = "the server is not on the list"
    NOT_READY = "the server drains or has gone"
    MAY_HAVE_RUN = "an earlier attempt may have had its effect"
    WINDOW_OVER = "the window for repeats is over"

    def __bool__(self) -> bool:
        return self is Verdict.YES


def may_have_run(delivery: Delivery) -> bool:
    """Whether the attempt may have had an effect, or may have one yet."""
    return delivery is not Delivery.NOT_SENT


def has_arrived(delivery: Delivery) -> bool:
    """Whether the engine surely has the attempt: only then does the clock of what is held for it stop."""
    return delivery in (Delivery.CORROBORATED, Delivery.CONFIRMED)


def may_send(ended: bool, client_left: bool, in_flight: bool, server: EndpointState | None) -> Verdict:
    """Whether a request's next attempt may begin at a server now."""
    if ended:
        return Verdict.ENDED
    if client_left:
        return Verdict.CLIENT_GONE
    if in_flight:
        return Verdict.IN_FLIGHT
    if server is None:
        return Verdict.UNKNOWN_SERVER
    return Verdict.YES if server is EndpointState.READY else Verdict.NOT_READY


def may_repeat(effect: Idempotency, ran_at: int, window: int, now: int) -> Verdict:
    """Whether a further attempt may be written now; `ran_at` is the earliest time at which one may have run,
    0 if none."""
    if not ran_at or effect is Idempotency.IDEMPOTENT:
        return Verdict.YES
    if effect is Idempotency.NOT_IDEMPOTENT:
        return Verdict.MAY_HAVE_RUN
    return Verdict.YES if now <= ran_at + window else Verdict.WINDOW_OVER


def repeat_by(effect: Idempotency, ran_at: int, window: int) -> int:
    """By when a further attempt of what may have run has to be written, lest it arrive when its window is
    over; 0: at any time."""
    if not ran_at or effect is not Idempotency.WITH_KEY:
        return 0
    return ran_at + max(window - HELD_UP_US, window // 2)


def may_refuse(effect: Idempotency, ran: bool) -> bool:
    """Whether the final answer may promise that trying again is harmless."""
    return not ran or effect is Idempotency.IDEMPOTENT
