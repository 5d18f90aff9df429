"""Decides whether a tenant exceeds its quota at this node.

Each tenant has a token bucket that fills at the node's share of the quota: requests per second divided by the
number of replicas. A request above quota is not rejected; admission gives it a lower priority.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.interface import Request, Settings

__all__ = ["TenantQuotas", "TokenBucket"]

BURST_S = 2.0
"""Bucket size, in seconds of quota. It absorbs random variation, but is too small to hide a burst."""
MIN_BURST_REQUESTS = 4.0
"""Minimum bucket size, in requests: if there are hundreds of nodes, a tenant's requests arrive at each of
them at random."""


@dataclass(slots=True)
class TokenBucket:
    """The requests that a tenant may send without exceeding its quota."""

    tokens: float
    updated_at_us: int


class TenantQuotas:
    """The token buckets of one node, one per tenant, shared by its routers of several models."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.buckets: dict[int, TokenBucket] = {}

    def is_over_quota(self, request: Request, now_us: int) -> bool:
        """Return whether the tenant's bucket is empty; if the bucket is not empty, take one token.

        Retries and resumed streams take no token, because their first attempt did.
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
