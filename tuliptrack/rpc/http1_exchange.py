"""One HTTP/1.1 request and its answer at the client: no sockets, no decisions.

An `Exchange` ends once, through `on_end`, and says whether the request may have been processed by the peer.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from tuliptrack.rpc.h1 import Fields, ResponseHead

__all__ = ["Carrier", "Exchange", "ExchangeOutcome"]


class ExchangeOutcome(Enum):
    """What ended an exchange."""

    ANSWER = "answer"
    """The complete answer was received."""
    CONNECT = "connect"
    """There was no working connection in time, or the connection broke before the last byte of the request
    was written: the request was not processed."""
    RESOURCE_EXHAUSTED = "no room"
    """The limit on connections or a resource of this system is exhausted, the pool is closed, or the request
    can't be encoded: it was never sent."""
    RESET = "reset"
    """The connection ended, or the answer was malformed, after the request was written."""
    CANCELLED = "given up"
    """`Exchange.cancel` or the close of the pool ended the exchange."""


class Carrier(Protocol):
    """The connection that carries an exchange."""

    def drop(self, reason: str) -> None:
        """Close the connection now."""

    def pause(self) -> None:
        """Stop reading until `resume`."""

    def resume(self) -> None: ...

    def sample_unread(self) -> bool:
        """Date the bytes that were received and are not read yet; return whether there are any."""

    def doubt(self, since: float) -> None:
        """Note that an answer is overdue: nothing was received since `since`, on the loop's clock."""


def _noop(*_: Any) -> None:
    pass


def _always() -> bool:
    return True


class Exchange:
    """One request. Callbacks run synchronously and must not block."""

    __slots__ = (
        "arrived_at_us",
        "before_write",
        "body",
        "carrier",
        "connect_by",
        "fields",
        "heard",
        "is_connection_only",
        "is_malformed",
        "is_still_wanted",
        "method",
        "needs_new_connection",
        "needs_validation",
        "on_data",
        "on_end",
        "on_head",
        "open",
        "paused",
        "probe_sent_at",
        "sent",
        "sent_at",
        "status",
        "target",
    )

    def __init__(self, method: str, target: str, fields: Fields, body: bytes = b"") -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.on_head: Callable[[ResponseHead], None] = _noop
        self.on_data: Callable[[bytes], None] = _noop
        self.on_end: Callable[[ExchangeOutcome, str], None] = _noop
        self.is_still_wanted: Callable[[], bool] = _always
        """Called once there is a working connection, just before the request is sent; if it returns
        False, the request is not sent."""
        self.before_write: Callable[[], None] = _noop
        """Called just before the request is encoded, so that headers can state the remaining time."""
        self.needs_validation = False
        """Whether the request is sent only on a connection that has just been shown to work: a pooled
        connection is probed first."""
        self.probe_sent_at = 0.0
        """When a probe was sent on the connection, on the loop's clock; the connection answered it before the
        request was sent. 0 if there was no probe."""
        self.needs_new_connection = False
        """Whether the request is sent on a new connection, even if the pool holds idle ones."""
        self.open, self.status = True, 0
        self.sent, self.sent_at = False, 0.0
        """Whether the last byte of the request has been written, and when, on the loop's clock. From then on
        the peer may have processed the request; before, it has not."""
        self.heard = False
        """Whether something was received on the connection since the request was sent."""
        self.arrived_at_us = 0
        """When the part of the answer that is passed on now arrived at this machine, in monotonic microseconds."""
        self.connect_by = 0
        """When the exchange stops waiting for a connection, in monotonic microseconds; 0: not set. It never
        waits longer than `ClientOptions.connect_timeout`, whether this is set or not."""
        self.is_malformed = self.is_connection_only = False
        """Both say why an exchange failed. `is_malformed`: the answer was malformed.

        `is_connection_only`: the failure concerns its own connection, not the peer. The connection was
        reused and had brought no answer, or the answer was malformed, or other connections to the address are
        established, or the time to connect was cut short, or this machine could not open a connection, or the
        exchange was no longer wanted."""
        self.carrier: Carrier | None = None
        self.paused = False

    def cancel(self) -> None:
        """Cancel the exchange if it is open: call `on_end` before this returns, and close the connection."""
        if self.open:
            carrier = self.carrier
            self.doubt()
            self.ended(ExchangeOutcome.CANCELLED, "given up")
            if carrier:
                carrier.drop("given up")

    def doubt(self) -> None:
        """Note that the answer is overdue: the peer is in doubt until something is received from it."""
        if self.carrier and self.sent and not self.heard:
            self.carrier.doubt(self.sent_at)

    def sample_unread(self) -> bool:
        """Date the bytes of the answer that were received and are not read yet; return whether there are any."""
        return self.carrier is not None and self.carrier.sample_unread()

    def pause(self) -> None:
        """Stop reading the answer until `resume`."""
        self.paused = True
        if self.carrier:
            self.carrier.pause()

    def resume(self) -> None:
        self.paused = False
        if self.carrier:
            self.carrier.resume()

    def ended(self, how: ExchangeOutcome, reason: str) -> None:
        """End the exchange if it is open; called by its connection or its pool."""
        if self.open:
            self.open, self.carrier = False, None
            self.body = b""  # An exchange is never sent again.
            self.on_end(how, reason)
