"""Shares one token bucket among nodes that do not communicate; together they keep to its rate and burst.

The bucket of a `rate` with a `burst` is divided into grants of `quantum` tokens, numbered by a time that all
nodes share. Grant k is issued at the time k x quantum / rate, belongs to the node whose index is k modulo
`replicas`, and expires burst / rate later. `decisions/cross_zone_budget.py` states the bound over all nodes
and why it holds.

Times are in microseconds, tokens in the unit of the budget (bytes, weighted tokens). The module does no I/O,
reads no clock and draws no random numbers. Memory bound: 2 x `MAX_GRANTS` grants for each bucket.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["AcquiredTokens", "BudgetGrant", "SharedBucketSettings", "SharedTokenBucket"]

MAX_GRANTS = 4096
"""Number of grants that a node holds at once; if a burst would need more, each grant is larger."""
GOLDEN_RATIO_FRACTION = 0.6180339887498949
"""Number whose successive multiples, modulo 1, are spread evenly from 0 to 1."""


@dataclass(slots=True)
class BudgetGrant:
    """Tokens that a node may use until a point in time."""

    expires_at_us: int
    remaining: float


@dataclass(frozen=True, slots=True)
class AcquiredTokens:
    """Tokens that were acquired from one grant and may be refunded to that grant."""

    grant: BudgetGrant
    tokens: float


@dataclass(frozen=True, slots=True)
class SharedBucketSettings:
    """Settings of one bucket, and the index of the node whose part of it this is."""

    rate_per_s: float
    burst: float
    quantum: float
    """Number of tokens of one grant."""
    replicas: int
    replica_index: int
    epoch_offset_us: int = 0
    """Offset that, added to the node's time, gives the time that all nodes share."""
    by_traffic: float = 0.0
    """Fraction of the rate that is earned by requests instead of granted in turn, from 0 to 1."""


class SharedTokenBucket:
    """One node's part of a token bucket that all nodes share."""

    def __init__(self, settings: SharedBucketSettings) -> None:
        """Create an empty bucket; grants issued after the first call with a time may be used."""
        quantum, burst, replicas = settings.quantum, settings.burst, settings.replicas
        rate_per_us = settings.rate_per_s / 1e6
        granted_per_us = rate_per_us * (1 - settings.by_traffic)
        self._replicas, self._replica_index = replicas, settings.replica_index
        self._epoch_offset_us = settings.epoch_offset_us
        self._earned_quantum = quantum
        self._quantum = quantum * max(1.0, burst / quantum / replicas / MAX_GRANTS)
        self._grant_interval_us = self._quantum / granted_per_us if granted_per_us else 0.0
        """Time between two consecutive grants of the fleet; 0 if nothing is granted in turn."""
        self._grant_lifetime_us = int(burst / rate_per_us) if rate_per_us else 0
        self.node_burst = max(burst / replicas, self._quantum)
        """Number of tokens that this node can save up if all nodes have equal traffic."""
        self._earned = settings.replica_index * GOLDEN_RATIO_FRACTION % 1 * quantum
        """Tokens earned by requests, not yet enough for a grant of one quantum."""
        self._grants: deque[BudgetGrant] = deque()
        self._next_grant: int | None = None
        """Number of this node's next grant; None before the first call with a time."""
        self._debt = 0.0
        """Tokens used beyond the grants; they are deducted from the next grants."""
        self._expired = 0.0
        """Tokens that expired unused and that `collect_expired` has not returned yet."""

    def advance(self, now_us: int) -> None:
        """Add the grants that have been issued, and drop those that have expired."""
        while self._grants and self._grants[0].expires_at_us <= now_us:
            self._expired += self._grants.popleft().remaining
        if not self._grant_interval_us:
            return
        last = int((now_us + self._epoch_offset_us) / self._grant_interval_us)
        grant = self._first_due_grant(last)
        while grant <= last:
            self._add_grant(now_us, grant)
            grant += self._replicas
        self._next_grant = grant

    def _first_due_grant(self, last: int) -> int:
        """Return the number of this node's next grant to add; it is due unless it is above `last`."""
        if self._next_grant is None:
            # Grants issued before the node's start may have been used by its previous incarnation.
            first = last + 1
            return first + (self._replica_index - first) % self._replicas
        max_behind = MAX_GRANTS * self._replicas
        if last - self._next_grant <= 2 * max_behind:
            return self._next_grant
        # After a long pause, all but the last grants have expired; adding them all would stall the node.
        skipped = (last - self._next_grant - max_behind) // self._replicas
        self._debt = max(self._debt - skipped * self._quantum, 0.0)
        return self._next_grant + skipped * self._replicas

    def _add_grant(self, now_us: int, number: int) -> None:
        tokens = self._quantum - self._pay_debt(self._quantum)
        granted_at_us = int(number * self._grant_interval_us) - self._epoch_offset_us
        expires_at_us = granted_at_us + self._grant_lifetime_us
        if expires_at_us > now_us and tokens > 0:
            self._grants.append(BudgetGrant(expires_at_us, tokens))

    def _pay_debt(self, tokens: float) -> float:
        """Pay debt with up to `tokens`; return the number of tokens paid."""
        paid = min(self._debt, tokens)
        self._debt -= paid
        return paid

    def earn(self, now_us: int, tokens: float) -> None:
        """Credit tokens that a request has earned; whole quanta of earned tokens become a grant."""
        self._earned += tokens
        if self._earned < self._earned_quantum:
            return
        self.advance(now_us)
        full_quanta = self._earned // self._earned_quantum * self._earned_quantum
        self._earned -= full_quanta
        granted = full_quanta - self._pay_debt(full_quanta)
        if granted > 0 and len(self._grants) < 2 * MAX_GRANTS:
            self._grants.append(BudgetGrant(now_us + self._grant_lifetime_us, granted))

    def available(self, now_us: int) -> float:
        """Return the tokens that this node may use now."""
        self.advance(now_us)
        return sum(grant.remaining for grant in self._grants)

    def acquire(self, tokens: float) -> list[AcquiredTokens]:
        """Use tokens of the oldest grants; a shortfall becomes debt, which is limited to `node_burst`."""
        acquired = []
        for grant in self._grants:
            part = min(grant.remaining, tokens)
            if part > 0:
                grant.remaining -= part
                tokens -= part
                acquired.append(AcquiredTokens(grant, part))
            if tokens <= 0:
                return acquired
        self._debt = min(self._debt + tokens, self.node_burst)
        return acquired

    def refund(self, acquired: Sequence[AcquiredTokens], tokens: float) -> None:
        """Refund tokens that were acquired and not used, to the newest grants first, as these expire last."""
        for part in reversed(acquired):
            refunded = min(part.tokens, tokens)
            part.grant.remaining += refunded
            tokens -= refunded

    def wait_us(self, now_us: int, tokens: float) -> int | None:
        """Return the time until `tokens` are available if none are used meanwhile; None if they never are."""
        missing = tokens - self.available(now_us)
        if missing <= 0:
            return 0
        if not self._grant_interval_us or tokens > self._max_available():
            return None
        assert self._next_grant is not None
        grants = math.ceil((missing + self._debt) / self._quantum)
        last_grant = self._next_grant + (grants - 1) * self._replicas
        available_at_us = int(last_grant * self._grant_interval_us) - self._epoch_offset_us
        return max(available_at_us - now_us, 1)

    def _max_available(self) -> float:
        """Return the most tokens that this node's grants can add up to before the oldest of them expires."""
        return self._quantum * max(self._grant_lifetime_us // max(self._own_interval_us(), 1), 1)

    def _own_interval_us(self) -> int:
        """Return the time between two consecutive grants of this node."""
        return int(self._grant_interval_us * self._replicas)

    def collect_expired(self) -> float:
        """Return the tokens that have expired unused since the last call."""
        expired, self._expired = self._expired, 0.0
        return expired

    def next_expiry_us(self, now_us: int) -> int:
        """Return when the oldest grant expires; without grants, about when the next one is issued."""
        return self._grants[0].expires_at_us if self._grants else now_us + self._own_interval_us()
