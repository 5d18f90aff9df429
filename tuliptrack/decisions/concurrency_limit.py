"""Limits requests in flight at a node, for a tenant and on a connection, and the bytes of arriving bodies.

These limits are applied before the router sees a request, whichever front has received the request. A
rejected request has had no effect, so the client may safely retry it. The reason of a rejection names the
limit, and its retry delay is computed from the rate at which requests have ended lately.

Times are in microseconds. The module does no I/O and reads no clock. Memory bound: one counter for each
connection and each tenant with requests in flight.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar

__all__ = [
    "BODIES_FULL",
    "ByteBudget",
    "ByteReservation",
    "ConcurrencyLimiter",
    "ConcurrencyLimits",
    "ExceededLimit",
    "rejection_text",
]

SMOOTHING = 0.05
"""Weight of the newest interval in the moving average of the intervals between request ends."""
RETRY_AFTER_DIVISOR = 10
"""Divisor of the number of requests in flight.

The retry delay is the time in which as many requests as the quotient are expected to end.
"""
MIN_RETRY_AFTER_US = 10_000
MAX_RETRY_AFTER_US = 2_000_000
"""Upper bound on the retry delay, as `MIN_RETRY_AFTER_US` is its lower bound.

The rate at which requests end may be unknown, or may change soon.
"""
BODIES_FULL = "too many bytes of requests are arriving"
"""Reason for rejecting a body that exceeds the capacity of a `ByteBudget`."""

_Key = TypeVar("_Key", bound=Hashable)


def rejection_text(reason: str) -> str:
    """Return the text of a rejection as clients get it."""
    return f"refused: {reason}; trying again is harmless"


class ExceededLimit(StrEnum):
    """The limit that a request would exceed; the value is the reason that clients get."""

    NODE = "too many requests are open at this node"
    TENANT = "too many requests of this tenant are open at this node"
    CONNECTION = "too many requests are open on this connection"


class ByteBudget:
    """Limits the bytes that one kind of buffer, such as incomplete request bodies, occupies at once."""

    __slots__ = ("limit_bytes", "peak_bytes", "rejections", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget with nothing in use."""
        self.limit_bytes = limit_bytes
        self.used_bytes, self.peak_bytes, self.rejections = 0, 0, 0

    def acquire(self, size_bytes: int) -> bool:
        """Acquire all of the bytes and return True, or none of them and return False."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            self.rejections += 1
            return False
        self.used_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Release bytes that were acquired."""
        self.used_bytes -= size_bytes


class ByteReservation:
    """The bytes of a `ByteBudget` that one owner holds; it may grow and shrink."""

    __slots__ = ("_budget", "size_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Hold this many bytes from now on and return True, or change nothing and return False."""
        added_bytes = size_bytes - self.size_bytes
        if added_bytes > 0 and not self._budget.acquire(added_bytes):
            return False
        if added_bytes < 0:
            self._budget.release(-added_bytes)
        self.size_bytes = size_bytes
        return True

    def release(self) -> None:
        """Hold nothing; may be called more than once."""
        self.resize(0)


@dataclass(frozen=True, slots=True)
class ConcurrencyLimits:
    """Numbers of requests that may be in flight at once: at the node, of a tenant and on a connection."""

    max_requests: int
    max_per_tenant: int
    max_per_connection: int


@dataclass(slots=True)
class ConcurrencyLimiter:
    """Counts the requests in flight; each `acquire` that succeeds is followed by one `release`."""

    limits: ConcurrencyLimits
    in_flight: int = 0
    by_tenant: dict[str, int] = field(default_factory=dict)
    by_connection: dict[Hashable, int] = field(default_factory=dict)
    rejections: int = 0
    _end_interval_us: float = 0.0
    """Moving average of the time between the ends of successive requests."""
    _last_end_us: int = 0

    def is_full(self) -> bool:
        """Whether the node rejects every request; this is known before the body of one has arrived."""
        return self.in_flight >= self.limits.max_requests

    def acquire(self, tenant: str, connection: Hashable) -> ExceededLimit | None:
        """Count a request as in flight; if it would exceed a limit, return that limit and count nothing."""
        exceeded = self._exceeded_limit(tenant, connection)
        if exceeded is not None:
            self.rejections += 1
            return exceeded
        self.in_flight += 1
        self.by_tenant[tenant] = self.by_tenant.get(tenant, 0) + 1
        self.by_connection[connection] = self.by_connection.get(connection, 0) + 1
        return None

    def _exceeded_limit(self, tenant: str, connection: Hashable) -> ExceededLimit | None:
        if self.is_full():
            return ExceededLimit.NODE
        if self._is_tenant_full(tenant):
            return ExceededLimit.TENANT
        if self.by_connection.get(connection, 0) >= self.limits.max_per_connection:
            return ExceededLimit.CONNECTION
        return None

    def _is_tenant_full(self, tenant: str) -> bool:
        return self.by_tenant.get(tenant, 0) >= self.limits.max_per_tenant

    def release(self, now_us: int, tenant: str, connection: Hashable) -> None:
        """Count a request as ended."""
        self.in_flight -= 1
        _decrement(self.by_tenant, tenant)
        _decrement(self.by_connection, connection)
        if self._last_end_us:
            self._end_interval_us += SMOOTHING * (now_us - self._last_end_us - self._end_interval_us)
        self._last_end_us = now_us

    def retry_after_us(self, tenant: str) -> int:
        """Return the time after which a rejected request of the tenant may be admitted."""
        in_flight = self.limits.max_per_tenant if self._is_tenant_full(tenant) else self.in_flight
        expected_us = self._end_interval_us * in_flight / RETRY_AFTER_DIVISOR
        return int(min(max(expected_us, MIN_RETRY_AFTER_US), MAX_RETRY_AFTER_US))


def _decrement(counts: dict[_Key, int], key: _Key) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
