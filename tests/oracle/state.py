"""The state of the oracle in `brain.py`: endpoints, requests, statistics and demand."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, TypeVar

from tuliptrack.interface import (
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Request,
    RequestClass,
    Role,
    Status,
    UpdateKind,
)

_MASK = (1 << 64) - 1
WEIGHT_UNITS = 2**30  # units per weight of 1; weights are summed as integer numbers of units
T = TypeVar("T")
MAX_PREFIXES = 256  # maximum number of stored prefixes: many more than the requests that the averages reflect
MAX_REMOVED = (
    128  # maximum number of remembered removed endpoints: one listed again keeps its ejections and slot
)


def mix(value: int) -> int:
    """Return a fixed 64-bit hash, the same in all nodes and processes."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def median_low(values: Iterable[float]) -> float:
    """Return the lower of the two middle values; ValueError if there are none.

    Importing the function of this name from the standard library takes a twentieth of a process's start time.
    """
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no median of nothing")
    return ordered[(len(ordered) - 1) // 2]


def random_member(members: Sequence[T], random: Random) -> T | None:
    """Return a random member; None if there are none."""
    if len(members) > 1:
        return members[int(random.random() * len(members))]
    return members[0] if members else None


def lowest_ranked(members: Sequence[T], rank: Callable[[T], Any]) -> list[T]:
    """Return the members with the lowest rank, in their order."""
    ranks = [rank(member) for member in members]
    return [member for member, member_rank in zip(members, ranks, strict=True) if member_rank == min(ranks)]


@dataclass(slots=True)
class Ejection:
    """Consecutive failures in one ejection scope at one endpoint."""

    failures: int
    failed_at_us: int
    """When the last failure was seen; attempts sent before it count as part of the same failure."""
    next_check_at_us: int
    """Time from which on an attempt may be sent to the endpoint again, as a health check."""


@dataclass(slots=True)
class RoleStatistics:
    """Averages over this node's last attempts at the endpoints of one role."""

    relative_latencies: deque[float]
    """Latencies of prefills and first tokens, as shares of the latency objective; only of answered attempts."""
    waiting_tokens: float = 0.0
    """Smoothed tokens that wait at an endpoint, by reports."""
    attempt_tokens: float = 0.0
    """Smoothed tokens of an attempt."""
    attempt_us: float = 0.0
    """Smoothed time from the sending of an attempt to its answer."""
    queued_tokens: float = 0.0
    """Smoothed sum of the tokens of an attempt and those of the attempts queued ahead of it."""
    us_per_token: float = 0.0
    """`attempt_us` divided by `queued_tokens`."""
    prefill_latency_us: float = 0.0
    timeout_or_error_share: float = 0.0
    """Smoothed share of attempts that ended with their own time-out or an error."""
    rejection_share: float = 0.0
    """Smoothed share of attempts that were rejected early, for lack of capacity."""
    observed_at_us: int = 0
    """When an attempt last ended or was answered."""
    answered_at_us: int = 0
    """When an attempt was last answered."""
    assigned_tokens: float = 0.0
    """Projected tokens of requests sent to endpoints of the role, decayed up to `assigned_at_us`."""
    assigned_at_us: int = 0

    @property
    def fast_relative_latency(self) -> float:
        """The first quartile of the relative latencies; 0 if there are none."""
        return (
            sorted(self.relative_latencies)[len(self.relative_latencies) // 4]
            if self.relative_latencies
            else 0.0
        )

    def record_answer(
        self,
        in_flight: InFlightRequest,
        latency_us: int,
        waiting_tokens: float,
        weight: float,
        is_prefill: bool,
        now_us: int,
    ) -> None:
        """Update the averages after an answer. The time per token is a ratio of two averages: an average of ratios
        would be dominated by prompts that are almost entirely cached, which have few tokens to process.
        """
        self.attempt_tokens += weight * (in_flight.attempt_tokens - self.attempt_tokens)
        self.attempt_us += weight * (latency_us - self.attempt_us)
        self.queued_tokens += weight * (waiting_tokens + in_flight.attempt_tokens - self.queued_tokens)
        self.us_per_token = self.attempt_us / self.queued_tokens
        self.relative_latencies.append(latency_us / in_flight.latency_objective_us)
        self.answered_at_us = now_us
        if is_prefill:
            self.prefill_latency_us += (weight if self.prefill_latency_us else 1.0) * (
                latency_us - self.prefill_latency_us
            )

    def record_end(self, timeout_or_error: float, rejection: float, now_us: int, weight: float) -> None:
        """Record that an attempt ended: by this node's time-out or an error, by an early rejection, or neither."""
        self.timeout_or_error_share += weight * (timeout_or_error - self.timeout_or_error_share)
        self.rejection_share += weight * (rejection - self.rejection_share)
        self.observed_at_us = now_us

    def assign(self, tokens: float, now_us: int, decay_us: float) -> float:
        """Add tokens; return the decayed sum."""
        self.assigned_tokens = (
            self.assigned_tokens * math.exp((self.assigned_at_us - now_us) / decay_us) + tokens
        )
        self.assigned_at_us = now_us
        return self.assigned_tokens


@dataclass(slots=True)
class Endpoint:
    """What one node knows of one endpoint: its list entry, its last report and the node's own traffic there."""

    info: EndpointInfo
    role: Role
    statistics: RoleStatistics = field(init=False)
    """Statistics of the endpoint's role, in this zone or in remote zones; set at each change of the list."""
    reported_in_flight: float = 0.0
    """Requests in flight at the endpoint, by its last report; 0 before the first report."""
    reported_at_us: int = 0
    """When the last report was received."""
    reported_waiting_tokens: float = 0.0
    """Tokens that wait at the endpoint to be prefilled or fetched, by its last report."""
    reported_memory_share: float = 0.0
    """Share of memory in use, by the last report."""
    prefill_latency_us: float = 0.0
    """Smoothed latency of a prefill, in microseconds; 0 before the first prefill."""
    waiting_tokens: float = 0.0
    """Estimated tokens that this node's waiting attempts at the endpoint have to prefill or fetch."""
    service_us: float = 0.0
    """Smoothed time between two answers (a prefill or a first token) while own attempts are waiting."""
    service_tokens: float = 0.0
    """Smoothed number of tokens processed from one such answer to the next."""
    busy_since_us: int = 0
    projected_tokens: float = 0.0
    """Projected tokens of this node's requests that are decoded at the endpoint."""
    streams: dict[int, int] = field(default_factory=dict)
    """Start time of each running stream of this node at the endpoint, by request id."""
    completed_streams: float = 0.0
    """Decayed number of completed streams."""
    streamed_us: float = 0.0
    """Streaming time in microseconds, summed over the streams and decayed like `completed_streams`."""
    streamed_until_us: int = 0
    ejections: dict[int, Ejection] = field(default_factory=dict)
    """Ejections by scope: the whole endpoint, its service of one class, or of one tenant."""
    waiting: dict[int, InFlightRequest] = field(default_factory=dict)
    """This node's attempts at the endpoint that have neither ended nor been answered, the oldest first."""
    connection_failures: int = 0
    """Number of consecutive attempts whose own connection failed, but not the endpoint."""
    last_slot: int = 0
    """The last slow-start slot that this node has used."""

    def add_waiting(self, in_flight: InFlightRequest, now_us: int) -> None:
        """Record a new attempt at the endpoint."""
        if not self.waiting:
            self.busy_since_us = now_us
        in_flight.endpoint, in_flight.sent_at_us = self, now_us
        self.waiting[in_flight.request.request_id] = in_flight
        self.waiting_tokens += in_flight.attempt_tokens

    def remove_waiting(self, in_flight: InFlightRequest) -> bool:
        """Remove an attempt from the waiting ones; False if its stream had begun before."""
        was_waiting = self.waiting.pop(in_flight.request.request_id, None) is not None
        if was_waiting:
            self.waiting_tokens = max(self.waiting_tokens - in_flight.attempt_tokens, 0.0)
        return was_waiting

    def advance_streams(self, now_us: int, decay_us: float, is_completed: bool = False) -> None:
        """Advance the streaming time and the completed streams to `now`."""
        decay = math.exp((self.streamed_until_us - now_us) / decay_us)
        self.streamed_us = self.streamed_us * decay + len(self.streams) * decay_us * (1 - decay)
        self.completed_streams = self.completed_streams * decay + is_completed
        self.streamed_until_us = now_us

    def record_report(self, report: dict[str, float], now_us: int) -> None:
        """Apply a load report, in which fields may be missing."""
        self.reported_at_us = now_us
        self.reported_in_flight = report.get("in_flight", self.reported_in_flight)
        self.reported_memory_share = report.get("memory_share", self.reported_memory_share)
        self.reported_waiting_tokens = 1000 * report.get(
            "tokens_waiting_k", self.reported_waiting_tokens / 1000
        )

    def record_answer(
        self, in_flight: InFlightRequest, latency_us: int, now_us: int, weight: float, is_prefill: bool
    ) -> None:
        """Update the averages after an answer."""
        self.service_us += weight * (now_us - self.busy_since_us - self.service_us)
        self.service_tokens += weight * (in_flight.attempt_tokens - self.service_tokens)
        self.busy_since_us = now_us
        if is_prefill:
            self.prefill_latency_us += (weight if self.prefill_latency_us else 1.0) * (
                latency_us - self.prefill_latency_us
            )


@dataclass(slots=True)
class InFlightRequest:
    """State of one request from its arrival to the end of its last attempt."""

    request: Request
    request_class: RequestClass
    deadline_us: int
    latency_objective_us: int
    projected_tokens: float
    """Tokens of the prompt and of the expected output."""
    attempts: int = 0
    endpoint: Endpoint | None = None
    """The endpoint of the attempt in flight."""
    sent_at_us: int = 0
    attempt_tokens: float = 1.0
    """Tokens that the latest attempt has to prefill or fetch."""
    kv_holder: Endpoint | None = None
    """The prefill endpoint that holds the KV state."""
    is_streaming: bool = False
    is_concluded: bool = False
    """Whether the final answer was given or the client has disconnected; then only the attempt's end is awaited."""
    first_execution: tuple[int, EndpointInfo] | None = None
    """Time of sending and endpoint of the first attempt that may have been executed."""
    unanswered_attempts: int = 0
    """Number of attempts of the current stage that ended with this node's time-out or with an error."""
    connection_failures: int = 0
    """Number of attempts whose own connection failed, but not the endpoint."""
    ignores_recovery_ramp: bool = False
    """Whether the request may go to a recovering zone ahead of the zone's ramp, for lack of capacity elsewhere."""
    retry_after_us: int = 0
    """Estimated microseconds until there may be capacity; 0 unless the request is shed."""
    unresponsive: list[int] = field(default_factory=list)
    """Ids of decode endpoints that could not be reached or did not answer in time."""
    excluded: list[int] = field(default_factory=list)
    """Ids of endpoints that rejected or failed this request."""

    def exclude_after(
        self, endpoint: Endpoint, status: Status, may_return: bool, decode_endpoints: int
    ) -> None:
        """Update the excluded endpoints after an attempt has ended.

        After a finished prefill, only unresponsive decode endpoints stay excluded, if there are others.
        `may_return` says whether the next attempt may go to the same endpoint.
        """
        is_unresponsive = endpoint.role is not Role.PREFILL and status in (
            Status.TIMEOUT,
            Status.CONNECT_FAILED,
        )
        if is_unresponsive and endpoint.info.id not in self.unresponsive:
            self.unresponsive.append(endpoint.info.id)
        if status is Status.PREFILLED:
            self.excluded = self.unresponsive[:] if len(self.unresponsive) < decode_endpoints else []
        elif is_unresponsive or not may_return:
            self.excluded = [*self.excluded, endpoint.info.id]

    @property
    def uncached_tokens(self) -> float:
        """Prompt tokens that a prefill endpoint probably does not have in its cache."""
        shared = self.request.prefix_tokens if self.request.prefix else 0.0
        return max(self.request.prompt_tokens - shared, 1.0)


class EndpointTable:
    """The latest endpoint list; values derived from it are computed once for each change."""

    def __init__(self, roles: tuple[Role, ...]) -> None:
        self.roles = roles
        self.endpoints: dict[int, Endpoint] = {}
        self.prefill_rankings: dict[int, list[Endpoint]] = {}
        """Rankings of the ready prefill endpoints by key, cached by the router and cleared by each change."""
        self._ready: dict[Role, list[Endpoint]] = {}
        self._capacities: dict[tuple[Role, int | None], float] = {}
        self._max_ready = {Role.PREFILL: 0, Role.DECODE: 0}
        self._mean_weights: dict[Role, float] = {}

    def apply(self, change: EndpointListUpdate) -> list[int]:
        """Apply a change, or a full list, which removes the endpoints that are not in it.

        Returns the ids of forgotten endpoints: those removed the longest ago, without attempts or streams of this
        node, in excess of `MAX_REMOVED`.
        """
        self.prefill_rankings.clear()
        self._ready.clear()
        self._capacities.clear()
        self._mean_weights.clear()
        if change.kind is not UpdateKind.DELTA:
            listed = {endpoint_id.id for endpoint_id in change.endpoints}
            for _, endpoint in sorted(self.endpoints.items()):
                if endpoint.info.id not in listed and endpoint.info.state is not EndpointState.REMOVED:
                    endpoint.info = replace(endpoint.info, state=EndpointState.REMOVED)
                    self.endpoints[endpoint.info.id] = self.endpoints.pop(endpoint.info.id)
        for info in change.endpoints:
            endpoint = self.endpoints.setdefault(info.id, Endpoint(info, self._role_of(info.kind)))
            if info.started_at_us > endpoint.info.started_at_us:
                # A new process with the same id: the state of the old one does not apply to it.
                (
                    endpoint.ejections,
                    endpoint.prefill_latency_us,
                    endpoint.reported_memory_share,
                    endpoint.reported_waiting_tokens,
                    endpoint.last_slot,
                ) = {}, 0.0, 0.0, 0.0, 0
                endpoint.streamed_us = endpoint.completed_streams = 0.0
            if info.state is EndpointState.REMOVED:
                self.endpoints[info.id] = self.endpoints.pop(info.id)  # The endpoint removed last comes last.
            endpoint.info = info
        for role in (Role.PREFILL, Role.DECODE):
            self._max_ready[role] = max(self._max_ready[role], len(self.ready(role)))
        removed = [
            s.info.id
            for s in self.endpoints.values()
            if s.info.state is EndpointState.REMOVED and not (s.waiting or s.streams)
        ]
        forgotten = removed[:-MAX_REMOVED]
        for endpoint_id in forgotten:
            del self.endpoints[endpoint_id]
        return forgotten

    def _role_of(self, kind: int) -> Role:
        return self.roles[kind] if kind < len(self.roles) else Role.DECODE

    def ready(self, role: Role) -> list[Endpoint]:
        """The ready endpoints that serve this role, including those of both roles."""
        if role not in self._ready:
            self._ready[role] = [
                s
                for _, s in sorted(self.endpoints.items())
                if s.info.state is EndpointState.READY and s.role in (role, Role.PREFILL_AND_DECODE)
            ]
        return self._ready[role]

    def capacity(self, role: Role, cell: int | None = None) -> float:
        """Sum of the weights of the ready endpoints of exactly this role, in total or in one cell."""
        if (role, cell) not in self._capacities:
            self._capacities[role, cell] = (
                sum(
                    round(s.info.weight * WEIGHT_UNITS)
                    for s in self.ready(role)
                    if s.role is role and cell in (None, s.info.cell)
                )
                / WEIGHT_UNITS
            )
        return max(self._capacities[role, cell], 1e-6)

    def cell_share(self, role: Role, cell: int) -> float:
        """Share of one cell in the capacity of this role."""
        return self.capacity(role, cell) / self.capacity(role)

    def endpoint_share(self, endpoint: Endpoint) -> float:
        """Share of a ready endpoint in the capacity of its stage, from its weight relative to its role and the largest
        number of endpoints ever ready, so that it does not grow when others are removed. An endpoint of both roles
        serves both stages.
        """
        if endpoint.role not in self._mean_weights:
            weights = [
                round(s.info.weight * WEIGHT_UNITS)
                for s in self.endpoints.values()
                if s.role is endpoint.role
            ]
            self._mean_weights[endpoint.role] = (sum(weights) / WEIGHT_UNITS or 1.0) / len(weights)
        max_ready = max(
            n for role, n in self._max_ready.items() if endpoint.role in (role, Role.PREFILL_AND_DECODE)
        )
        return endpoint.info.weight / self._mean_weights[endpoint.role] / max_ready


class DemandStatistics:
    """Recent demand at this node: mean tokens to prefill and of output, by class and overall, and the share of each
    prefix. The statistics hold at most `MAX_PREFIXES` prefixes; the least recently requested one is evicted.
    """

    def __init__(self) -> None:
        self.request_count = 0
        self.mean_size = (0.0, 0.0)
        self.mean_size_by_class: dict[int, tuple[float, float]] = {}
        self._prefixes: dict[int, tuple[float, int]] = {}
        """For each prefix: its decayed number of requests, and the value of `request_count` at its last request."""

    def record(
        self, class_index: int, prompt_tokens: float, output_tokens: float, weight: float, prefix: int = 0
    ) -> None:
        """Record one request; the first requests weigh more. The overall mean starts at zero, so at first each class counts
        as more costly than it is: twice as much, then one and a half times, and so on.
        """
        size = (prompt_tokens, output_tokens)
        self.request_count += 1
        if prefix:
            requests, count = self._prefixes.pop(prefix, (0.0, 0))
            self._prefixes[prefix] = (
                requests * (1 - weight) ** (self.request_count - count) + 1,
                self.request_count,
            )
            if len(self._prefixes) > MAX_PREFIXES:
                del self._prefixes[next(iter(self._prefixes))]
        weight = max(weight, 1 / (self.request_count + 1))
        self.mean_size = _averaged(self.mean_size, size, weight)
        self.mean_size_by_class[class_index] = _averaged(
            self.mean_size_by_class.get(class_index, size), size, weight
        )

    def prefix_share(self, prefix: int, weight: float) -> float:
        """Share of recent requests that had this prefix, from 0 to 1; `weight` as in `record`. A first request says
        nothing about how many will follow, so only repeated ones count. As many requests with other prefixes as the
        decay spans are assumed to precede the first, so that a node that has seen few requests does not consider a
        prefix popular after two of them.
        """
        requests, count = self._prefixes.get(prefix, (0.0, 0))
        repeated = max(requests * (1 - weight) ** (self.request_count - count) - 1, 0.0)
        return repeated * weight / (2 - (1 - weight) ** self.request_count)

    def relative_cost(self, class_index: int, role: Role) -> float:
        """Cost of a request of this class in multiples of the mean request: by its prompt at prefill endpoints, by its
        output at decode endpoints, by the larger of the two at endpoints of both roles.
        """
        prompt, output = (
            class_mean / max(mean, 1.0)
            for class_mean, mean in zip(self.mean_size_by_class[class_index], self.mean_size, strict=True)
        )
        return prompt if role is Role.PREFILL else output if role is Role.DECODE else max(prompt, output)


def _averaged(old: tuple[float, float], new: tuple[float, float], weight: float) -> tuple[float, float]:
    return old[0] + weight * (new[0] - old[0]), old[1] + weight * (new[1] - old[1])
