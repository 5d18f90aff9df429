"""State of a request in flight, from its arrival to the end of its last attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from tuliptrack.interface import EndpointInfo, Request, RequestClass, Role, Status
from tuliptrack.state.ejection import EjectionScope, scopes_of
from tuliptrack.state.endpoint import Endpoint

__all__ = ["Execution", "InFlightRequest"]


@dataclass(frozen=True, slots=True)
class Execution:
    """An attempt that may have been executed by the engine."""

    sent_at_us: int
    endpoint: EndpointInfo
    """The endpoint that it was sent to, as listed at that time."""


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """State of one request in flight. Times are microseconds of the host's clock."""

    request: Request
    request_class: RequestClass
    deadline_us: int
    latency_objective_us: int
    """Latency objective for the first token, including the allowance for the prompt's length."""
    projected_tokens: float
    """Tokens of the prompt and of the expected output."""
    attempts: int = 0
    """Number of attempts that were sent."""
    endpoint: Endpoint | None = None
    """The endpoint of the attempt in flight; None if there is none."""
    sent_at_us: int = 0
    """When the latest attempt was sent."""
    attempt_tokens: float = 1.0
    """Tokens that the latest attempt has to prefill or fetch."""
    kv_holder: Endpoint | None = None
    """The prefill endpoint that holds this request's KV state."""
    is_streaming: bool = False
    """Whether the first token has been forwarded."""
    is_concluded: bool = False
    """Whether the final answer was given or the client has disconnected. A concluded request is only kept
    until its attempt in flight has ended."""
    first_execution: Execution | None = None
    """The first attempt that may have been executed."""
    unanswered_attempts: int = 0
    """Number of attempts of the current stage that ended with this node's time-out or with an error."""
    connection_failures: int = 0
    """Number of attempts whose own connection failed, but not the endpoint."""
    ignores_recovery_ramp: bool = False
    """Whether the request may go to a recovering zone ahead of the zone's ramp, because there is no capacity
    elsewhere."""
    retry_after_us: int = 0
    """Estimated microseconds until the queue is within the limit again; 0 unless the request is shed."""
    unresponsive: list[int] = field(default_factory=list)
    """Ids of decode endpoints that could not be reached or did not answer in time."""
    excluded: list[int] = field(default_factory=list)
    """Ids of endpoints that rejected or failed the request; no further attempt is sent to them."""
    ejection_scopes: tuple[EjectionScope, EjectionScope, EjectionScope] = field(init=False)
    """The ejection scopes that failures of the request can count for."""

    def __post_init__(self) -> None:
        """Compute the ejection scopes once, because every choice of an endpoint uses them."""
        self.ejection_scopes = scopes_of(self.request)

    @property
    def uncached_tokens(self) -> float:
        """Prompt tokens that a prefill endpoint probably does not have in its cache."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)

    def exclude_after(
        self, endpoint: Endpoint, status: Status, may_return: bool, decode_endpoints: int
    ) -> None:
        """Update the excluded endpoints after an attempt has ended.

        After a finished prefill, only unresponsive decode endpoints stay excluded, or none if all of them are
        unresponsive.

        Args:
            endpoint: the endpoint of the attempt.
            status: how the attempt ended.
            may_return: whether the next attempt may go to the same endpoint, unless it is unresponsive.
            decode_endpoints: number of ready decode endpoints.
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
