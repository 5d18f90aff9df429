"""The actions that a router returns for its host to carry out. Times are microseconds.

`routing.Router` does not use `CheckHealth`, `ReserveCapacity`, `CloseIdleConnections`, `FetchEndpointList`
and `SendGossip`, and ignores the events that answer them. Hosts carry these actions out for other routers,
which use them.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.interface.settings import CrossZoneCause

__all__ = [
    "Action",
    "CancelAttempt",
    "CheckHealth",
    "CloseIdleConnections",
    "Fail",
    "FetchEndpointList",
    "LogMessage",
    "MigrateStream",
    "Reject",
    "Release",
    "ReserveCapacity",
    "SendAttempt",
    "SendGossip",
    "SetTimer",
    "Subscribe",
]


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Make an attempt at an endpoint; the attempts of a request are numbered from 0."""

    request_id: int
    endpoint_id: int
    timeout_us: int = 0
    """Time after which the attempt is abandoned; 0 if it is not abandoned before the client's deadline."""
    cross_zone_cause: CrossZoneCause | None = None
    """Why the attempt may move bytes between zones; None if the attempt moves none, or if cross-zone traffic
    is not budgeted."""


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; its `AttemptEnded` still follows."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not served, and a retry is harmless."""

    request_id: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request has failed, and may have had an effect."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Release:
    """Release whatever is reserved for a request, at all endpoints."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReserveCapacity:
    """Ask a decode endpoint to reserve capacity while the prompt is prefilled."""

    request_id: int
    endpoint_id: int


@dataclass(frozen=True, slots=True)
class MigrateStream:
    """End a stream so that its client resumes it with a new request, at another endpoint."""

    request_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay; timers cannot be cancelled."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of an endpoint, if the host allows health checks."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Open or close the subscription to the endpoint list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the full endpoint list once."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send bytes to the node whose replica index is `peer`, or to all other nodes if `peer` is None."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | Reject
    | Fail
    | Release
    | ReserveCapacity
    | MigrateStream
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | Subscribe
    | FetchEndpointList
    | SendGossip
    | LogMessage
)
