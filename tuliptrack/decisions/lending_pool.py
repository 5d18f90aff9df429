"""Lends what tenants let expire unused in their token buckets to tenants whose own do not suffice.

A grant is lent only after it has expired for its owner, so nothing has to be revoked, and all tenants
together stay within the sum of their bounds, shifted by up to `LENDING_US`.

Times are in microseconds. The module does no I/O and reads no clock. Bound: one bucket for each tenant, and
what expires within `LENDING_US`.
"""

from __future__ import annotations

from collections import deque

from tuliptrack.decisions.shared_token_bucket import BudgetGrant, SharedTokenBucket
from tuliptrack.structures.timing_wheel import TimingWheel

__all__ = ["LendingPool"]

LENDING_US = 2_000_000
"""Time for which an expired grant may be lent: what was idle a minute ago says nothing of the load now."""
MIN_CHECK_INTERVAL_US = 10_000
MAX_CHECK_INTERVAL_US = 60_000_000
"""Bounds on the time between two checks of what a tenant has let expire."""


class LendingPool:
    """Expired grants of all lenders at one node."""

    def __init__(self, now_us: int) -> None:
        """Create a pool without lenders."""
        self._lenders: dict[str, SharedTokenBucket] = {}
        self._next_check: TimingWheel[str] = TimingWheel(now_us)
        self._expired: deque[BudgetGrant] = deque()

    def add_lender(self, now_us: int, tenant: str, bucket: SharedTokenBucket) -> None:
        """Lend what expires in a tenant's bucket from now on."""
        self._lenders[tenant] = bucket
        self._next_check.schedule(tenant, now_us + MIN_CHECK_INTERVAL_US)

    def advance(self, now_us: int) -> None:
        """Drop what may no longer be lent, and collect what has expired at the lenders due for a check."""
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
        """Return what can be borrowed."""
        return sum(grant.remaining for grant in self._expired)

    def borrow(self, units: float) -> None:
        """Use up to `units`, from the oldest grants first."""
        while units > 0 and self._expired:
            oldest = self._expired[0]
            part = min(oldest.remaining, units)
            oldest.remaining -= part
            units -= part
            if oldest.remaining <= 0:
                self._expired.popleft()
