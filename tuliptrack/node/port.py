"""The port between the core and its engines.

An `EngineClient` carries out attempts in its own protocol and reports to the core how they ended; it makes no
decisions. The core depends on no protocol. The core's side of the port consists of its methods
`prefill_finished`, `output_arrived`, `output_forwarded`, `reservation_answered` and `attempt_ended`.
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
    """The result of an attempt, expressed as a status that the router knows."""

    status: Status
    reason: str = ""
    """Explanation for logs, and for the client if its stream broke."""
    is_state_lost: bool = False
    """Whether the KV state that the attempt needed is lost. With the status `RESET` the loss is only likely,
    so the state is released all the same."""
    load_report: tuple[float, ...] = ()
    """The load report that came with the result, in the order of `Settings.report_fields`; may be empty."""
    is_connection_only: bool = False
    """Whether only this one connection failed: it broke, or carried data that can't be parsed."""
    is_invalid_request: bool = False
    """Whether the engine can't process the request, and no other engine could."""
    is_confirmed: bool = False
    """Whether the engine is known to have had the complete request: it has answered on the attempt's
    connection since the request was written."""
    is_corroborated: bool = False
    """Whether the engine is assumed to have had the complete request, though it has not answered the
    request."""
    detail: Any = None
    """Protocol-specific details of the end, for accounting that knows the protocol."""


class EngineClient(Protocol):
    """Carries out attempts.

    The ends of attempts are reported through `Core.attempt_ended`, never from within these calls.
    """

    prefills_have_no_effect: bool
    """Whether a prefill has no effect, because it is a separate call. If the prefill is the request itself, a
    hung engine may still execute the request later."""
    releases_are_global: bool
    """Whether a release at any engine frees everything reserved for a request, except what an attempt waits
    for; if so, the first token of an answer frees the same."""
    release_transit_us: int
    """Time that a release may take to reach its engine, if this counts towards the time for which a state may
    stay reserved; else 0."""

    def has_address(self, endpoint_id: int) -> bool:
        """Return whether an endpoint list has given an address for this endpoint."""

    def start(self, record: RequestRecord, attempt: Attempt, timeout_us: int) -> AttemptCall:
        """Start an attempt; the node will wait for its answer for at most `timeout_us`."""

    def release(self, endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False) -> None:
        """Release what is reserved for a request, except what an attempt waits for.

        The endpoint is asked again until the engine was reached. If `has_unconfirmed_attempt`, some attempt
        ended unconfirmed and may still make the engine reserve a state, so a single release may come too
        early.
        """

    def release_later(self, endpoint_id: int, record: RequestRecord) -> None:
        """Release what an engine may still reserve for a request that has ended.

        An attempt at that engine ended unconfirmed. The release is repeated until the engine answers.
        """

    def cancel_release(self, record: RequestRecord) -> None:
        """Stop sending releases: what is reserved now is newer, or an answer has consumed it."""

    def reserve(self, endpoint_id: int, record: RequestRecord, attempt: Attempt) -> None:
        """Ask an endpoint to reserve capacity; the answer goes to `Core.reservation_answered`."""

    def check_health(self, endpoint_id: int, done: Callable[[HealthCheckResult], None]) -> None:
        """Check the health of an endpoint and call `done` with the result."""

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close idle connections to an endpoint."""
