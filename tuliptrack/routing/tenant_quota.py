"""Decides whether a tenant exceeds its quota at this node.

Each tenant has a token bucket that fills at the node's share of the quota: requests per second divided by the
number of replicas. A request above quota is not rejected for that; admission gives it a lower priority.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.interface import Request, Settings

__all__ = ["TenantQuotas", "TokenBucket"]

BURST_S = 2.0
"""Seconds of its quota that a tenant may save up: evens out chance, too short to hide a burst."""
MIN_BURST_REQUESTS = 4.0
"""Requests that it may save up at least: at one node of hundreds they arrive by chance."""


@dataclass(slots=True)
class TokenBucket:
    """Requests that a tenant has saved up."""

    tokens: float
    updated_at_us: int


class TenantQuotas:
    """The buckets of one node, shared by its routers of several models. Bound: one for each tenant."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.buckets: dict[int, TokenBucket] = {}

    def is_over_quota(self, request: Request, now_us: int) -> bool:
        """Whether the tenant's bucket is empty; otherwise one token is taken.

        Retries and resumed streams take none, as their first attempt did.
        """
        if request.tenant >= len(self._settings.tenants):
            return False
        bucket = self._filled_bucket(request.tenant, now_us)
        is_over = bucket.tokens < 1
        if not (is_over or request.is_retry or request.is_resumed):
            bucket.tokens -= 1
        return is_over

    def _filled_bucket(self, tenant: int, now_us: int) -> TokenBucket:
        rate_per_s = self._settings.tenants[tenant].quota_per_s / self._settings.replicas
        capacity = max(rate_per_s * BURST_S, MIN_BURST_REQUESTS)
        bucket = self.buckets.get(tenant)
        if bucket is None:
            bucket = self.buckets[tenant] = TokenBucket(capacity, now_us)
        gained = rate_per_s * (now_us - bucket.updated_at_us) / 1e6
        bucket.tokens = min(bucket.tokens + gained, capacity)
        bucket.updated_at_us = now_us
        return bucket
