"""The port between the core and its engines.

An `EngineClient` carries attempts out in its own protocol and reports to the core how they ended; it decides
nothing. The core knows no protocol. The core's side of the port are its methods `prefill_finished`,
`output_arrived`, `output_forwarded`, `reservation_answered` and `attempt_ended`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from tuliptrack.interface import HealthCheckResult, Status
from tuliptrack.node.attempt_call import AttemptCall
from tuliptrack.node.requests import Attempt, RequestRecord

__all__ = ["AttemptResult", "EngineClient"]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, in the router's terms."""

    status: Status
    reason: str = ""
    """For logs and for the client of a stream that broke."""
    is_state_lost: bool = False
    """The KV state that the attempt came for is lost. With `RESET` only most likely, so it is released
    too."""
    load_report: tuple[float, ...] = ()
    """The load report that came along, in the order of `Settings.report_fields`; empty where none came."""
    is_connection_only: bool = False
    """Only this one connection broke, or carried what can't be parsed."""
    is_invalid_request: bool = False
    """The engine can't process the request, and no other engine could."""
    is_confirmed: bool = False
    """The engine surely had the complete request: it has answered on that connection since."""
    is_corroborated: bool = False
    """The engine is taken to have had the complete request, though it has not answered it."""
    detail: Any = None
    """What the protocol itself reports of the end, for accounting that knows the protocol."""


class EngineClient(Protocol):
    """Carries out attempts.

    Ends are reported through `Core.attempt_ended`, never from within these calls.
    """

    prefills_have_no_effect: bool
    """A prefill is a call of its own. Where it is the request itself, a hung engine may still execute it
    later."""
    releases_are_global: bool
    """A release, at any engine, frees all that is reserved for a request but what an attempt waits for; so
    does the first token of an answer."""
    release_transit_us: int
    """How long a release may take to its engine, where the time for which a state may stay reserved has no
    margin for that."""

    def has_address(self, endpoint_id: int) -> bool:
        """Return whether a list has named an address of this endpoint."""

    def start(self, record: RequestRecord, attempt: Attempt, timeout_us: int) -> AttemptCall:
        """Make an attempt, for which the node will wait `timeout_us`."""

    def release(self, endpoint_id: int, record: RequestRecord, unsure: bool = False) -> None:
        """Release what is reserved for a request and no attempt waits for.

        Args:
            endpoint_id: the endpoint that is asked; again until the engine was reached.
            record: the request.
            unsure: an attempt ended unconfirmed and may still have the engine reserve a state, so that one
                release may come too early.
        """

    def release_later(self, endpoint_id: int, record: RequestRecord) -> None:
        """Release what an engine may still come to reserve for a request that is over.

        An attempt there ended unconfirmed. The engine is asked until it answers.
        """

    def cancel_release(self, record: RequestRecord) -> None:
        """Send no more releases: what is reserved now is newer, or an answer has used it up."""

    def reserve(self, endpoint_id: int, record: RequestRecord, attempt: Attempt) -> None:
        """Ask for capacity; the answer goes to `Core.reservation_answered`."""

    def check_health(self, endpoint_id: int, done: Callable[[HealthCheckResult], None]) -> None:
        """Check an endpoint and call `done` with the result."""

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close idle connections to an endpoint."""
