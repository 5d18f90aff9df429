"""Statistics of the attempts at all endpoints of one role."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from tuliptrack.state.smoothing import SAMPLE_WEIGHT, smoothed

__all__ = ["MAX_LATENCIES", "AnswerSample", "RoleStatistics"]

MAX_LATENCIES = 15
"""Maximum number of stored latencies. The slowest fifth of this number is three answers."""
ASSIGNED_DECAY_US = 20_000_000
"""Time constant, in microseconds, of the decay of assigned tokens: about as long as some tens of requests
take."""


@dataclass(slots=True)
class AnswerSample:
    """One attempt that was answered: a finished prefill, or the first token of a stream."""

    latency_us: int
    latency_objective_us: int
    """The latency objective of the request."""
    tokens: float
    """Tokens that the attempt had to prefill or fetch."""
    is_prefill: bool
    """Whether the prompt was prefilled in this attempt."""


@dataclass(slots=True)
class RoleStatistics:
    """Averages over the last attempts at the endpoints of a role, in this zone or in remote ones."""

    relative_latencies: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_LATENCIES))
    """Latencies of the last answers, as shares of the latency objective."""
    waiting_tokens: float = 0.0
    """Average tokens waiting at an endpoint, by load reports."""
    attempt_tokens: float = 0.0
    """Average tokens of an attempt."""
    attempt_us: float = 0.0
    """Average latency of an attempt."""
    queued_tokens: float = 0.0
    """Average sum of the tokens of an attempt and those of the attempts queued ahead of it."""
    us_per_token: float = 0.0
    """`attempt_us` / `queued_tokens`."""
    prefill_latency_us: float = 0.0
    """Average latency of a prefill; 0 before the first prefill."""
    timeout_or_error_share: float = 0.0
    """Share of attempts that ended with this node's own time-out or with an error."""
    rejection_share: float = 0.0
    """Share of attempts that an endpoint rejected early, which shows a lack of capacity."""
    observed_at_us: int = 0
    """When an attempt was last answered or ended."""
    answered_at_us: int = 0
    """When an attempt was last answered."""
    assigned_tokens: float = 0.0
    """Projected tokens of the requests that were sent to endpoints of the role, decayed up to
    `assigned_at_us`."""
    assigned_at_us: int = 0

    @property
    def fast_relative_latency(self) -> float:
        """The first quartile of the stored relative latencies; 0 before the first answer."""
        ordered = sorted(self.relative_latencies)
        return ordered[len(ordered) // 4] if ordered else 0.0

    def record_answer(self, sample: AnswerSample, waiting_tokens: float, now_us: int) -> None:
        """Update the averages; `waiting_tokens` is the endpoint's reported number of waiting tokens.

        The time per token is a ratio of averages. An average of ratios would be dominated by prompts that
        are almost entirely cached, as these have hardly any tokens to process.
        """
        self.attempt_tokens = smoothed(self.attempt_tokens, sample.tokens)
        self.attempt_us = smoothed(self.attempt_us, sample.latency_us)
        self.queued_tokens = smoothed(self.queued_tokens, waiting_tokens + sample.tokens)
        self.us_per_token = self.attempt_us / self.queued_tokens
        self.relative_latencies.append(sample.latency_us / sample.latency_objective_us)
        self.answered_at_us = now_us
        if sample.is_prefill:
            weight = SAMPLE_WEIGHT if self.prefill_latency_us else 1.0
            self.prefill_latency_us = smoothed(self.prefill_latency_us, sample.latency_us, weight)

    def record_end(self, now_us: int, timeout_or_error: float = 0.0, rejection: float = 0.0) -> None:
        """Record that an attempt ended with an answer, a time-out, an error or a rejection.

        `timeout_or_error` and `rejection` are 1 if the attempt ended that way, else 0. Connection failures
        are not recorded, because they say nothing about load.
        """
        self.timeout_or_error_share = smoothed(self.timeout_or_error_share, timeout_or_error)
        self.rejection_share = smoothed(self.rejection_share, rejection)
        self.observed_at_us = now_us

    def assign(self, tokens: float, now_us: int) -> float:
        """Add the projected tokens of a request, and return the decayed sum."""
        decay = math.exp((self.assigned_at_us - now_us) / ASSIGNED_DECAY_US)
        self.assigned_tokens = self.assigned_tokens * decay + tokens
        self.assigned_at_us = now_us
        return self.assigned_tokens
