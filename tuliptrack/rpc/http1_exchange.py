"""One HTTP/1.1 request to a server and its answer, as the client's side sees it: no sockets, no decisions.

An `Exchange` ends once, through `on_end`, and says how sure it is that the peer never looked at it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from tuliptrack.rpc.h1 import Answer, Fields

__all__ = ["Carrier", "Exchange", "How"]


class How(Enum):
    """What ended an exchange."""

    ANSWER = "answer"
    """The whole answer has come."""
    CONNECT = "connect"
    """No connection that works was there in time, or it broke before the request's last byte was written: it
    never ran."""
    NO_ROOM = "no room"
    """We hold as many connections as we may, or as the system allows: it was never sent."""
    RESET = "reset"
    """The connection ended, or brought what can't be read, after the request was written."""
    GIVEN_UP = "given up"
    """`Exchange.cancel`."""


class Carrier(Protocol):
    """The connection that an exchange is on."""

    def drop(self, reason: str) -> None:
        """End the connection now."""

    def pause(self) -> None:
        """Read nothing for now."""

    def resume(self) -> None: ...

    def doubt(self, since: float) -> None:
        """Nothing has come since then, on the loop's clock, though it should have."""


def _noop(*_: Any) -> None:
    pass


def _always() -> bool:
    return True


class Exchange:
    """One request. Callbacks run at once and must not wait."""

    __slots__ = (
        "before_write",
        "body",
        "carrier",
        "connect_by",
        "fields",
        "fresh",
        "heard",
        "lone",
        "method",
        "on_data",
        "on_end",
        "on_head",
        "open",
        "paused",
        "proven_since",
        "sent",
        "sent_at",
        "spoilt",
        "status",
        "target",
        "validated",
        "wanted",
    )

    def __init__(self, method: str, target: str, fields: Fields, body: bytes = b"") -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.on_head: Callable[[Answer], None] = _noop
        self.on_data: Callable[[bytes], None] = _noop
        self.on_end: Callable[[How, str], None] = _noop
        self.wanted: Callable[[], bool] = _always
        """Asked once its connection works, just before it is sent; False: it is not."""
        self.before_write: Callable[[], None] = _noop
        """Called as its bytes are made: what its head says of the time left is said now."""
        self.validated = False
        """It goes out on a connection that has just proven to work: a kept one is asked first."""
        self.proven_since = 0.0
        """When its connection was asked a question, on the loop's clock, that was answered before the request
        went out on it; 0: it was not."""
        self.fresh = False
        """It goes out on a new connection, whatever is kept."""
        self.open, self.status = True, 0
        self.sent, self.sent_at = False, 0.0
        """Its last byte has been written, and when, on the loop's clock: the peer may act on it. Without, it
        never ran."""
        self.heard = False
        """Something has come for it on its connection since it was sent."""
        self.connect_by = 0
        """Monotonic microseconds until which it waits for a connection; 0: as long as any exchange does."""
        self.spoilt = self.lone = False
        """Of one that broke: what came can't be read; only its own connection has ended, which had been kept
        and brought nothing for it, or beside which others to the same address stand, or was not waited for in
        full."""
        self.carrier: Carrier | None = None
        self.paused = False

    def cancel(self) -> None:
        """Give it up: its connection ends. `on_end` is called at once, unless it has been."""
        if self.open:
            carrier = self.carrier
            self.doubt()
            self.ended(How.GIVEN_UP, "given up")
            if carrier:
                carrier.drop("given up")

    def doubt(self) -> None:
        """It should have brought something by now: its peer is not relied upon until it speaks."""
        if self.carrier and self.sent and not self.heard:
            self.carrier.doubt(self.sent_at)

    def pause(self) -> None:
        """Take no more of the answer for now."""
        self.paused = True
        if self.carrier:
            self.carrier.pause()

    def resume(self) -> None:
        self.paused = False
        if self.carrier:
            self.carrier.resume()

    def ended(self, how: How, reason: str) -> None:
        """Called by its connection or its pool; the first end counts."""
        if self.open:
            self.open, self.carrier = False, None
            self.on_end(how, reason)
