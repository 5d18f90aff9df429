"""The events that a router handles. Each docstring says when the event occurs. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "AttemptEnded",
    "ClientDisconnected",
    "EndpointInfo",
    "EndpointListUpdate",
    "EndpointState",
    "Event",
    "GossipReceived",
    "HealthCheckResult",
    "Request",
    "ReservationResult",
    "Status",
    "StreamStarted",
    "TimerFired",
    "UpdateKind",
]


class EndpointState(Enum):
    """The state of an endpoint in the latest endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """How an update is applied to the endpoint list."""

    DELTA = "delta"
    """Only the endpoints in the update have changed."""
    FULL = "full"
    """Endpoints that are not in the update have been removed."""
    CACHED = "cached"
    """A full list, as with `FULL`, but one that was received before the start of this process."""
    FAILED = "failed"
    """The update contains no list: the subscription has ended, or the list could not be fetched."""


class Status(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    PREFILLED = "prefilled"
    """The prompt is prefilled, and its KV state is reserved for the request."""
    ERROR = "error"
    AT_CAPACITY = "at capacity"
    """The endpoint has rejected the attempt, which has had no effect."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"
    """The attempt was not sent, because it was no longer needed or no longer allowed."""

    def may_have_executed(self, is_prefill: bool) -> bool:
        """Whether an attempt with this status may have had an effect.

        A prefill has no effect, unless it timed out: an engine that hangs may execute it later.
        """
        if is_prefill:
            return self is Status.TIMEOUT
        return self not in (Status.AT_CAPACITY, Status.CONNECT_FAILED, Status.ABANDONED, Status.PREFILLED)


@dataclass(frozen=True, slots=True)
class EndpointInfo:
    """One entry of the endpoint list."""

    id: int
    kind: int
    """Index into `Settings.roles`."""
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    """Capacity, relative to other endpoints of its role."""
    cell: int = 0
    zone: int = 0
    started_at_us: int = 0
    """Start time of the endpoint on the host's clock, at which slow start begins; 0 if it started long
    ago."""


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list has changed; or, if the kind is `FAILED`, the list could not be obtained."""

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[EndpointInfo, ...] = ()
    quota_share: float = 1.0
    """Share of the tenants' quotas that the listed endpoints are provisioned for; below 1 if other endpoints
    serve other models."""


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived; exactly one final answer is owed within `time_left_us`."""

    request_id: int
    class_index: int
    """Index into `Settings.classes`."""
    time_left_us: int
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    """Tokens of the prefix that the prompt shares with other prompts."""
    max_tokens: float = 0.0
    session: int = 0
    """Hash of the client's session."""
    prefix: int = 0
    """Hash of the shared prefix; 0 if there is none."""
    tenant: int = 0
    """Index into `Settings.tenants`."""
    stream_time_hint_us: int | None = None
    """Expected duration of the stream, by the client's hint; None if the client gives no hint."""
    is_retry: bool = False
    is_resumed: bool = False
    """Whether the request asks for the rest of a stream that was interrupted."""
    is_over_token_budget: bool = False
    """Whether the token budget of the request's tenant is exhausted."""


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The first token was forwarded to the client: from now on the attempt cannot be repeated."""

    request_id: int
    attempt: int
    endpoint_id: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, with any status."""

    request_id: int
    attempt: int
    endpoint_id: int
    status: Status
    latency_us: int
    is_final: bool = False
    """Whether the client needs no further answer to the request."""
    cached_tokens: int = 0
    """Prompt tokens that needed no prefill."""
    is_state_lost: bool = False
    """Whether the KV state that the attempt needed is lost or most likely lost, so that the prompt has to be
    prefilled again. This can be the case with any failure status."""
    load_report: tuple[float, ...] = ()
    """The endpoint's values of the `Settings.report_fields`, in their order; empty if it reported none."""
    cross_zone_bytes: float = 0.0
    """Bytes that this attempt has moved between zones."""
    is_connection_only: bool = False
    """Whether only this connection failed, not the endpoint; true only with `RESET` or `CONNECT_FAILED`.
    Either the connection was idle and its peer closed it, or it delivered an answer that cannot be parsed, or
    other connections to the endpoint are still open."""


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected: no answer is owed any more, but attempts still end with `AttemptEnded`."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The delay of a `SetTimer` is over."""

    token: int


@dataclass(frozen=True, slots=True)
class ReservationResult:
    """An endpoint has answered a `ReserveCapacity`."""

    request_id: int
    attempt: int
    endpoint_id: int
    is_reserved: bool


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """A `CheckHealth` has ended."""

    endpoint_id: int
    status: Status
    latency_us: int
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Another node has sent bytes."""

    sender: int
    data: bytes


Event = (
    EndpointListUpdate
    | Request
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ReservationResult
    | HealthCheckResult
    | GossipReceived
)
