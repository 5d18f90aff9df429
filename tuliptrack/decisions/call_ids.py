"""Decides whether a client's request may run under the id that it brings.

On the platform an id is new with every request, a retry included. If one comes again all the same, running it
would be a second attempt beside an open one, or an effect that takes place twice: engines drop repeats only
within the scope and the deduplication window of a key, and the second request knows of neither.

So an id is refused while a request or an attempt of that id is open, and afterwards if an attempt may have
executed, unless the class of the request is idempotent and its client has stayed to the end. A client that
left is owed no further attempt. `MAX_EXECUTED_IDS` bounds the memory of this; other nodes do not share it.
"""

from __future__ import annotations

from enum import Enum

from tuliptrack.interface import Idempotency

__all__ = ["MAX_EXECUTED_IDS", "CallIdRegister", "CallIdVerdict", "may_run_again"]

MAX_EXECUTED_IDS = 8_192
"""Number of ids that are remembered; beyond it the oldest is forgotten. Only an id that an engine may have
run takes a place, so that a flood of new ids cannot clear the memory faster than engines serve it."""


class CallIdVerdict(Enum):
    """Whether an id may be used, or the reason against it."""

    ALLOWED = "allowed"
    OPEN = "is open"
    EXECUTED = "belongs to an earlier request, which may have run"

    def __bool__(self) -> bool:
        return self is CallIdVerdict.ALLOWED


def may_run_again(idempotency: Idempotency, has_executed: bool, is_disconnected: bool) -> bool:
    """Return whether the id of a request that is over may be used again.

    Args:
        idempotency: the effect of repeating the request.
        has_executed: whether an attempt may have executed.
        is_disconnected: whether the client left before the request was over.
    """
    return not has_executed or (idempotency is Idempotency.IDEMPOTENT and not is_disconnected)


class CallIdRegister:
    """The ids of open requests, and of requests that may not run again."""

    def __init__(self) -> None:
        """Start without ids."""
        self.open: set[str] = set()
        """Bounded by the number of open requests."""
        self._executed: dict[str, None] = {}
        """Ordered by age."""

    def verdict(self, call_id: str) -> CallIdVerdict:
        """Decide whether a request may run under this id."""
        if call_id in self.open:
            return CallIdVerdict.OPEN
        return CallIdVerdict.EXECUTED if call_id in self._executed else CallIdVerdict.ALLOWED

    def begin(self, call_id: str) -> None:
        """Note that a request is open, under an id that is allowed."""
        self.open.add(call_id)

    def end(self, call_id: str, is_reusable: bool = True) -> None:
        """Note that a request and its attempts are over, and whether its id may be used again."""
        self.open.discard(call_id)
        if is_reusable:
            return
        self._executed[call_id] = None
        if len(self._executed) > MAX_EXECUTED_IDS:
            del self._executed[next(iter(self._executed))]
