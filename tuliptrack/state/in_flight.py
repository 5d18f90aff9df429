"""One request in flight: what the router knows of it from its arrival to the end of its last attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from tuliptrack.interface import EndpointInfo, Request, RequestClass, Role, Status
from tuliptrack.state.ejection import EjectionScope, scopes_of
from tuliptrack.state.endpoint import Endpoint

__all__ = ["Execution", "InFlightRequest"]


@dataclass(frozen=True, slots=True)
class Execution:
    """An attempt that may have had its effect."""

    sent_at_us: int
    endpoint: EndpointInfo
    """Where it was sent, as listed then."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """One request in flight. Times are microseconds of the host's clock."""

    request: Request
    request_class: RequestClass
    deadline_us: int
    latency_objective_us: int
    """For the first token of this request."""
    projected_tokens: float
    """The prompt and the output that is expected."""
    attempts: int = 0
    """Attempts that were sent."""
    endpoint: Endpoint | None = None
    """Where the newest attempt was sent."""
    sent_at_us: int = 0
    """When the newest attempt was sent."""
    attempt_tokens: float = 1.0
    """Tokens that the newest attempt has to prefill or to fetch."""
    kv_holder: Endpoint | None = None
    """The prefill endpoint that holds this request's KV state."""
    is_streaming: bool = False
    """The first token has been forwarded."""
    is_concluded: bool = False
    """The final answer was given or the client has disconnected; only ends of attempts are awaited."""
    first_execution: Execution | None = None
    """The first attempt that may have had its effect."""
    unanswered_attempts: int = 0
    """Attempts of the present stage that ended by this node's time-out or with an error."""
    connection_failures: int = 0
    """Attempts that failed with their own connection only."""
    ignores_recovery_ramp: bool = False
    """It may go to a zone whose traffic is still ramped up, since there is no capacity elsewhere."""
    retry_after_us: int = 0
    """If it is shed for lack of capacity: until when there may be some."""
    unresponsive: list[int] = field(default_factory=list)
    """Decode endpoints that could not be reached, or did not answer in time."""
    excluded: list[int] = field(default_factory=list)
    """Endpoints that rejected or failed it; no further attempt goes there."""
    ejection_scopes: tuple[EjectionScope, EjectionScope, EjectionScope] = field(init=False)
    """What its failures can count for."""

    def __post_init__(self) -> None:
        """Derive the ejection scopes, which every choice of an endpoint asks for."""
        self.ejection_scopes = scopes_of(self.request)

    @property
    def uncached_tokens(self) -> float:
        """Prompt tokens that a prefill endpoint is not likely to have cached."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)

    def exclude_after(
        self, endpoint: Endpoint, status: Status, may_return: bool, decode_endpoints: int
    ) -> None:
        """Update the excluded endpoints after an attempt has ended.

        A finished prefill opens all decode endpoints again except those that were unresponsive, unless there
        are no others. `may_return`: the next attempt may go to the same
        endpoint, unless that was unresponsive.
        """
        is_unresponsive = endpoint.role is not Role.PREFILL and status in (
            Status.TIMEOUT,
            Status.CONNECT_FAILED,
        )
        if is_unresponsive and endpoint.id not in self.unresponsive:
            self.unresponsive.append(endpoint.id)
        if status is Status.PREFILLED:
            self.excluded = self.unresponsive[:] if len(self.unresponsive) < decode_endpoints else []
        elif is_unresponsive or not may_return:
            self.excluded = [*self.excluded, endpoint.id]
