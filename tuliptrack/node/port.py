"""What the core and its engines say to each other. An `EngineClient` carries attempts out in its protocol's
words and tells the core what came of them; it decides nothing. The core knows no protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from tuliptrack.interface import HealthCheckResult, Status

if TYPE_CHECKING:
    from tuliptrack.node.attempt_state import Delivery
    from tuliptrack.node.requests import Attempt, RequestRecord

__all__ = ["AttemptCall", "AttemptResult", "EngineClient"]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, in the router's terms."""

    status: Status
    reason: str = ""
    """For logs and for the client of a stream that broke."""
    is_state_lost: bool = False
    """The read state that it came for is gone; with `RESET`, most likely: it is let go to be sure."""
    load_report: tuple[float, ...] = ()
    """The load report that came along, in the order of `Settings.report_fields`; nothing where there was
    none."""
    is_connection_only: bool = False
    """Only this one connection broke, or brought what can't be read."""
    is_invalid_request: bool = False
    """The engine can't make anything of the request, and no other would."""
    is_confirmed: bool = False
    """The engine surely had the whole request: it has spoken on that connection since."""
    is_corroborated: bool = False
    """The engine is taken to have had the whole request, though it has said nothing on it."""
    detail: Any = None
    """What the protocol itself says of the end, for accounts that know it."""


class AttemptCall(Protocol):
    """An attempt that is out."""

    def cancel(self, status: Status) -> None:
        """Give it up: the engine sees its connection or stream end. The core is told of the end, as `status`,
        at once."""

    def delivery(self) -> Delivery:
        """How far it has come, as far as this node can know."""

    def confirm_arrival(self) -> None:
        """The lease of what it came for ends soon: find out whether it has arrived, as far as that can be."""

    def mark_doubtful(self) -> None:
        """It has brought no word for too long: its connection and its machine are not relied upon until they
        speak."""

    def pause(self) -> None:
        """Take no more of its answer for now."""

    def resume(self) -> None: ...


class EngineClient(Protocol):
    """What carries out attempts. Ends are told through `Core.attempt_over`, never from within these calls."""

    prefills_have_no_effect: bool
    """A read is a call of its own. Where it is the request itself, an engine that hangs may find it and run
    it later."""
    releases_are_global: bool
    """A release, at whatever engine, lets go of all that is held for a request but what an attempt waits for;
    so does the first token of an answer."""
    release_transit_us: int
    """Microseconds that a release may take until its engine has it, where the time for which a state may be
    held leaves nothing for that."""

    def is_reachable(self, server: int) -> bool:
        """Whether a list has named this server's address."""

    def start(self, record: RequestRecord, attempt: Attempt, timeout: int) -> AttemptCall:
        """Make an attempt, for which the node will wait so many microseconds."""

    def release(self, server: int, record: RequestRecord, unsure: bool = False) -> None:
        """Let go of what is held for a request and no attempt waits for; tried again where the engine wasn't
        reached. `unsure`: a read was broken off and may still end well."""

    def release_later(self, server: int, record: RequestRecord) -> None:
        """An attempt at this engine ended without its word and the request is over: it may yet come to hold
        something, and is asked to let go itself, until it answers."""

    def cancel_release(self, record: RequestRecord) -> None:
        """Nothing is to be let go for this request any more: what is held now is newer, or an answer has
        taken it."""

    def reserve(self, server: int, record: RequestRecord, attempt: Attempt) -> None:
        """Ask for a place; the word on it goes to `Core.place_noted`."""

    def check_health(self, server: int, done: Callable[[HealthCheckResult], None]) -> None:
        """Check a server."""

    def close_idle_connections(self, server: int) -> None:
        """Close idle connections to it."""
