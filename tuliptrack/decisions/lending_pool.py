"""Lends tokens that expired unused in tenants' buckets to tenants whose own buckets do not suffice.

A grant is lent only after it has expired for its owner, so a loan never has to be revoked. All tenants
together stay within the sum of their bounds, except that lent tokens are used up to `LENDING_US` later.

Times are in microseconds. The module does no I/O and reads no clock. Memory bound: one bucket for each
tenant, and what expires within `LENDING_US`.
"""

from __future__ import annotations

from collections import deque

from tuliptrack.decisions.shared_token_bucket import BudgetGrant, SharedTokenBucket
from tuliptrack.structures.timing_wheel import TimingWheel

__all__ = ["LendingPool"]

LENDING_US = 2_000_000
"""Time for which an expired grant may be lent: tokens unused a minute ago say nothing of the load now."""
MIN_CHECK_INTERVAL_US = 10_000
MAX_CHECK_INTERVAL_US = 60_000_000
"""Upper bound on the time between two checks of a tenant's bucket for expired tokens.

`MIN_CHECK_INTERVAL_US` is the lower bound.
"""


class LendingPool:
    """Expired grants of all lenders at one node."""

    def __init__(self, now_us: int) -> None:
        """Create a pool without lenders."""
        self._lenders: dict[str, SharedTokenBucket] = {}
        self._next_check: TimingWheel[str] = TimingWheel(now_us)
        self._expired: deque[BudgetGrant] = deque()

    def add_lender(self, now_us: int, tenant: str, bucket: SharedTokenBucket) -> None:
        """Lend the tokens that expire in a tenant's bucket from now on."""
        self._lenders[tenant] = bucket
        self._next_check.schedule(tenant, now_us + MIN_CHECK_INTERVAL_US)

    def advance(self, now_us: int) -> None:
        """Drop tokens that may no longer be lent; collect expired ones from lenders due for a check."""
        while self._expired and self._expired[0].expires_at_us <= now_us:
            self._expired.popleft()
        for tenant in self._next_check.advance(now_us):
            bucket = self._lenders[tenant]
            bucket.advance(now_us)
            expired = bucket.collect_expired()
            if expired > 0:
                self._expired.append(BudgetGrant(now_us + LENDING_US, expired))
            check_at_us = max(bucket.next_expiry_us(now_us), now_us + MIN_CHECK_INTERVAL_US)
            self._next_check.schedule(tenant, min(check_at_us, now_us + MAX_CHECK_INTERVAL_US))

    def available(self) -> float:
        """Return the number of units that can be borrowed."""
        return sum(grant.remaining for grant in self._expired)

    def borrow(self, units: float) -> None:
        """Use up to `units` of the expired grants, the oldest first."""
        while units > 0 and self._expired:
            oldest = self._expired[0]
            part = min(oldest.remaining, units)
            oldest.remaining -= part
            units -= part
            if oldest.remaining <= 0:
                self._expired.popleft()
