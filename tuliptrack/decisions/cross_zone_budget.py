"""Limits the bytes that all nodes together move between zones, and prices each crossing.

Each node keeps its own part of a budget, without communication. The budget of `rate` bytes a second with a
`burst` is divided into grants of `quantum` bytes, numbered by a time that all nodes share (the offset of each
node's clock is set once, when the node starts). Grant k is issued at the time k x quantum / rate, belongs to
the node whose index is k modulo `replicas`, and expires burst / rate later. So in any window of W seconds all
nodes together can use the grants issued in the window, and the earlier ones that had not expired when it
began. The bytes that they move between zones by choice are therefore at most

    rate x W + burst + quantum   (+ 2 x rate x the nodes' clock skew)

whatever the number of nodes, their traffic and their restarts. A node that restarts uses no grant issued
before its start, since its previous incarnation may have used it. A clock that jumps after the start changes
nothing, as the offset is not set again. Bytes that were reserved but not sent are refunded to their grant;
bytes sent beyond the reservation are taken from the node's next grants. A crossing that is forced, because no
other endpoint can serve, uses no grants: otherwise steady forced traffic would block the budget for good.

Issuing grants to the nodes in turn suits nodes with equal traffic. Where traffic is uneven, the fraction
`by_traffic` of the budget is earned instead: each request that arrives at a node earns that node by_traffic x
rate / quotas bytes, where quotas is the sum of the tenants' quotas in requests a second. Earned bytes become
usable in whole quanta, which expire as grants do. While the tenants stay within their quotas, all nodes
together earn in W seconds at most that fraction of rate x W + burst, plus what each node had earned towards a
quantum before: at most one quantum, and half of one on average, as the nodes start at evenly spread fractions
of a quantum.

Times are in whole microseconds, sizes in bytes. The module does no I/O, reads no clock and draws no random
numbers. Memory bound: one reservation for each request in flight.
"""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.decisions.shared_token_bucket import (
    AcquiredTokens,
    SharedBucketSettings,
    SharedTokenBucket,
)
from tuliptrack.interface import CrossZoneCause, Request, Settings, ZoneBudget

__all__ = ["CrossZoneBudgets", "CrossZoneReservation"]

PRICE_FULL = 0.5
"""Price of a crossing, in mean loads or as a share of a score, while the node's whole burst is available."""
PRICE_EMPTY = 8.0
"""Price while nothing is available: another zone is chosen only if the node's own is that much worse."""
MIN_RELATIVE_WEIGHT = 0.05
"""Relative weight of a request below which the price rises no further, to stay comparable with a load."""


@dataclass(frozen=True, slots=True)
class CrossZoneReservation:
    """Bytes that one attempt has reserved in a bucket."""

    bucket: SharedTokenBucket
    reserved_bytes: float
    acquired: list[AcquiredTokens]


@dataclass(frozen=True, slots=True)
class _TrafficEarning:
    """A bucket that arriving requests fill, and the bytes that each request adds to it."""

    bucket: SharedTokenBucket
    bytes_per_request: float


class CrossZoneBudgets:
    """One node's part of all cross-zone budgets, and its open reservations."""

    def __init__(self, settings: Settings) -> None:
        """Create the buckets of `settings.zone_budgets`."""
        self._settings = settings
        budgets = settings.zone_budgets
        self.buckets = [_bucket(settings, budget) for budget in budgets]
        self._bucket_by_class = [
            self._first_bucket(class_index) for class_index in range(len(settings.classes))
        ]
        self.reservations: dict[int, CrossZoneReservation] = {}
        """Open reservations by request id; a request has at most one attempt in flight."""
        quotas_per_s = sum(tenant.quota_per_s for tenant in settings.tenants)
        self._earnings = [
            _TrafficEarning(bucket, budget.by_traffic * budget.bytes_per_s / quotas_per_s)
            for bucket, budget in zip(self.buckets, budgets, strict=True)
            if budget.by_traffic and quotas_per_s
        ]

    def _first_bucket(self, class_index: int) -> SharedTokenBucket | None:
        for bucket, budget in zip(self.buckets, self._settings.zone_budgets, strict=True):
            if not budget.classes or class_index in budget.classes:
                return bucket
        return None

    def start(self, now_us: int) -> None:
        """Begin to collect grants when the node has started; further calls are harmless."""
        for bucket in self.buckets:
            bucket.advance(now_us)

    def record_arrival(self, now_us: int) -> None:
        """Credit a request that has arrived at this node to the buckets that traffic fills."""
        for earning in self._earnings:
            earning.bucket.earn(now_us, earning.bytes_per_request)

    def crossing_bytes(
        self, request: Request, zone: int, kv_state_zone: int | None, is_decode: bool, total_tokens: float
    ) -> float:
        """Return the bytes that an attempt at an endpoint of a zone would move between zones.

        `kv_state_zone` is the zone of the KV state that the endpoint would fetch, None if it would fetch
        none; `total_tokens` is the number of tokens of the prompt and the expected output.
        """
        settings, is_remote = self._settings, zone != self._settings.zone
        size_bytes = settings.prompt_bytes * request.prompt_tokens * is_remote
        if is_decode:
            output_tokens = max(total_tokens - request.prompt_tokens, 0.0)
            size_bytes += settings.answer_bytes * output_tokens * is_remote
            if kv_state_zone is not None and kv_state_zone != zone:
                size_bytes += settings.state_bytes * request.prompt_tokens
        return size_bytes

    def bucket_of(self, class_index: int) -> SharedTokenBucket | None:
        """Return the bucket of the first budget that applies to a request class."""
        return self._bucket_by_class[class_index]

    def price(self, now_us: int, class_index: int, size_bytes: float, relative_weight: float) -> float:
        """Return the price of a crossing, in mean loads or as a share of a score; 0 if nothing crosses.

        The price rises from PRICE_FULL to PRICE_EMPTY as the budget runs out. `relative_weight` is the
        request's priority weight relative to the highest: the lower it is, the higher the price, so that less
        important requests are the first to stay in their zone.
        """
        bucket = self.bucket_of(class_index)
        if not size_bytes or bucket is None:
            return 0.0
        available = bucket.available(now_us)
        filled = min(available / bucket.node_burst, 1.0) if available >= size_bytes else 0.0
        price: float = PRICE_FULL * (PRICE_EMPTY / PRICE_FULL) ** (1 - filled)
        weight = max(relative_weight, MIN_RELATIVE_WEIGHT)
        return min(price / weight, PRICE_EMPTY / weight)

    def reserve(
        self, now_us: int, request_id: int, class_index: int, size_bytes: float, is_retry: bool
    ) -> CrossZoneCause | None:
        """Reserve the bytes that an attempt is expected to move; return the cause of the crossing.

        The cause is None, and nothing is reserved, if nothing crosses or no budget applies.
        """
        bucket = self.bucket_of(class_index)
        self.reservations.pop(request_id, None)
        if not size_bytes or bucket is None:
            return None
        if bucket.available(now_us) < size_bytes:
            return CrossZoneCause.FORCED
        acquired = bucket.acquire(size_bytes)
        self.reservations[request_id] = CrossZoneReservation(bucket, size_bytes, acquired)
        return CrossZoneCause.RETRY if is_retry else CrossZoneCause.BUDGET

    def settle(self, now_us: int, request_id: int, moved_bytes: float) -> None:
        """Settle an ended attempt by the bytes it moved: refund unused ones, or acquire the excess."""
        reservation = self.reservations.pop(request_id, None)
        if reservation is None:
            return
        bucket, unused_bytes = reservation.bucket, reservation.reserved_bytes - moved_bytes
        bucket.advance(now_us)
        if unused_bytes < 0:
            bucket.acquire(-unused_bytes)
        else:
            bucket.refund(reservation.acquired, unused_bytes)


def _bucket(settings: Settings, budget: ZoneBudget) -> SharedTokenBucket:
    return SharedTokenBucket(
        SharedBucketSettings(
            budget.bytes_per_s,
            budget.burst,
            budget.quantum,
            settings.replicas,
            settings.replica_index,
            settings.epoch_offset_us,
            budget.by_traffic,
        )
    )
