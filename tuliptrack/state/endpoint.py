"""What a node knows of one endpoint: its list entry, its last load report, and the node's traffic there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from tuliptrack.interface import EndpointInfo, Role
from tuliptrack.state.ejection import Ejection, EjectionScope
from tuliptrack.state.role_statistics import AnswerSample, RoleStatistics
from tuliptrack.state.smoothing import SAMPLE_WEIGHT, smoothed
from tuliptrack.state.stream_rate import StreamRate

__all__ = ["REPORT_MAX_AGE_US", "Endpoint", "WaitingAttempt"]

REPORT_MAX_AGE_US = 2_000_000
"""Age, in microseconds, from which on a load report no longer counts: about twice the longest interval
between reports."""


@dataclass(slots=True)
class WaitingAttempt:
    """An attempt of this node that has neither ended nor been answered yet."""

    request_id: int
    sent_at_us: int
    tokens: float
    """Tokens that the attempt has to prefill or fetch."""
    latency_objective_us: int


@dataclass(slots=True, eq=False)
class Endpoint:
    """This node's view of one endpoint. Times are microseconds of the host's clock."""

    info: EndpointInfo
    role: Role
    statistics: RoleStatistics = field(init=False)
    """Statistics of the endpoint's role, in this zone or in remote zones. The router sets this attribute with
    each change of the endpoint list."""
    reported_in_flight: float = 0.0
    """Requests in flight at the endpoint, by its last load report; 0 before the first report."""
    reported_at_us: int = 0
    """When the last load report was received."""
    reported_waiting_tokens: float = 0.0
    """Tokens that wait at the endpoint, by the last report."""
    reported_memory_share: float = 0.0
    """Share of the endpoint's memory in use, by the last report."""
    prefill_latency_us: float = 0.0
    """Smoothed latency of a prefill at the endpoint; 0 before the first prefill."""
    waiting_tokens: float = 0.0
    """Tokens of this node's waiting attempts."""
    service_us: float = 0.0
    """Smoothed time between two answers while attempts are waiting."""
    service_tokens: float = 0.0
    """Smoothed number of tokens processed between two such answers."""
    busy_since_us: int = 0
    """Time since which the endpoint has been working on the oldest waiting attempt."""
    projected_tokens: float = 0.0
    """Tokens of the prompts and expected outputs of this node's requests in flight at the endpoint."""
    projected_load: float = 0.0
    """`projected_tokens` divided by the endpoint's weight."""
    group: int = 0
    """Index of the endpoint's group in `EndpointTable.groups`."""
    streams: dict[int, int] = field(default_factory=dict)
    """Start time of each running stream of this node, by request id."""
    stream_rate: StreamRate = field(default_factory=StreamRate)
    ejections: dict[EjectionScope, Ejection] = field(default_factory=dict)
    waiting: dict[int, WaitingAttempt] = field(default_factory=dict)
    """This node's waiting attempts by request id, the oldest first."""
    connection_failures: int = 0
    """Number of consecutive attempts whose own connection failed, but not the endpoint."""
    last_slot: int = 0
    """The last slow-start slot that this node has used."""
    no_slot_before_us: int = 0
    """Time before which no slow-start slot of this node becomes due, unless the endpoint list changes."""

    @property
    def id(self) -> int:
        """The endpoint's id in the list."""
        return self.info.id

    @property
    def oldest_waiting(self) -> WaitingAttempt | None:
        """The waiting attempt that was sent first."""
        return next(iter(self.waiting.values()), None)

    def add_waiting(self, attempt: WaitingAttempt) -> None:
        """Record an attempt that was just sent."""
        if not self.waiting:
            self.busy_since_us = attempt.sent_at_us
        self.waiting[attempt.request_id] = attempt
        self.waiting_tokens += attempt.tokens

    def remove_waiting(self, request_id: int) -> bool:
        """Remove an attempt that was answered or has ended; False if its stream had begun before."""
        attempt = self.waiting.pop(request_id, None)
        if attempt is None:
            return False
        self.waiting_tokens = max(self.waiting_tokens - attempt.tokens, 0.0)
        return True

    def report_weight(self, now_us: int) -> float:
        """Return the weight of the last load report, which falls from 1 to 0 with its age.

        An endpoint that gets no requests sends no reports, so an old report is not evidence of load.
        """
        return max(0.0, 1 - (now_us - self.reported_at_us) / REPORT_MAX_AGE_US)

    def in_flight(self, now_us: int, are_streams_reported: bool) -> float:
        """Estimate the requests in flight at the endpoint from its last load report and this node's attempts.

        At an endpoint of both roles, each prefill slows all streams down, so the streams count as well. If
        the load reports include the streams (`are_streams_reported`), they are not added again.
        """
        own_streams = (
            len(self.streams) if self.role is Role.PREFILL_AND_DECODE and not are_streams_reported else 0
        )
        return self.reported_in_flight * self.report_weight(now_us) + len(self.waiting) + own_streams

    def us_per_token(self, now_us: int) -> float:
        """Return the service time per token, at least the lower bound given by the oldest waiting attempt."""
        known = self.service_us / self.service_tokens if self.service_tokens else self.statistics.us_per_token
        oldest = self.oldest_waiting
        if oldest is None:
            return known
        return max(known, (now_us - self.busy_since_us) / oldest.tokens)

    def expected_prefill_latency_us(self, now_us: int) -> float:
        """Return the smoothed prefill latency, at least the age of the oldest waiting attempt.

        An endpoint that hangs completes no prefills, so its average alone would not change.
        """
        oldest = self.oldest_waiting
        age_us = now_us - oldest.sent_at_us if oldest else 0
        return max(self.prefill_latency_us or self.statistics.prefill_latency_us, age_us, 1)

    def record_report(self, report: Mapping[str, float], now_us: int) -> None:
        """Apply a load report; values that are not in `Settings.report_fields` stay unchanged."""
        self.reported_at_us = now_us
        self.reported_in_flight = report.get("in_flight", self.reported_in_flight)
        self.reported_memory_share = report.get("memory_share", self.reported_memory_share)
        known_thousands = self.reported_waiting_tokens / 1000
        self.reported_waiting_tokens = 1000 * report.get("tokens_waiting_k", known_thousands)

    def record_answer(self, sample: AnswerSample, now_us: int) -> None:
        """Update the averages after an attempt was answered."""
        self.service_us = smoothed(self.service_us, now_us - self.busy_since_us)
        self.service_tokens = smoothed(self.service_tokens, sample.tokens)
        self.busy_since_us = now_us
        if sample.is_prefill:
            weight = SAMPLE_WEIGHT if self.prefill_latency_us else 1.0
            self.prefill_latency_us = smoothed(self.prefill_latency_us, sample.latency_us, weight)
