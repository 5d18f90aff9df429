"""What may enter a node at all: how many requests are open, of a tenant and of a connection, and how many
bytes of bodies that are still arriving. Decided before the core is asked, for every front alike.

A refusal here costs nothing and has had no effect, so trying again is harmless; its reason names the limit.
When to come back is said by how fast requests have been ending lately: the time until a place may be free.

No I/O, no clock: `now` in microseconds. Bound: one entry for each open connection and each tenant with open
requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["BODIES_FULL", "ByteBudget", "ConcurrencyLimiter", "ConcurrencyLimits", "rejection_text"]

SMOOTHING = 0.05  # weight of one more end in the mean time between two: some twenty tell the pace
BODIES_FULL = "too many bytes of requests are arriving"
"""Why a body isn't taken for which a `ByteBudget` has no room."""
LEAST_WAIT_US = 10_000
MOST_WAIT_US = 2_000_000


def rejection_text(reason: str) -> str:
    """What clients read of a refusal."""
    return f"refused: {reason}; trying again is harmless"


class ByteBudget:
    """Bytes that may be held at once for bodies which are not yet whole. `take` says no where they would be
    more.
    """

    __slots__ = ("held", "most", "peak", "refused")

    def __init__(self, most: int) -> None:
        self.most, self.held, self.peak, self.refused = most, 0, 0, 0

    def take(self, size: int) -> bool:
        if self.held + size > self.most:
            self.refused += 1
            return False
        self.held += size
        self.peak = max(self.peak, self.held)
        return True

    def give(self, size: int) -> None:
        self.held -= size


@dataclass(frozen=True, slots=True)
class ConcurrencyLimits:
    """Requests that may be open at once."""

    requests: int
    by_tenant: int
    by_connection: int


@dataclass(slots=True)
class ConcurrencyLimiter:
    """Counts what is open; `enter` gives a reason to refuse, or none and a place that `leave` gives back."""

    limits: ConcurrencyLimits
    open: int = 0
    tenants: dict[str, int] = field(default_factory=dict)
    connections: dict[object, int] = field(default_factory=dict)
    gap_us: float = 0.0
    """Smoothed time between two ends."""
    ended_at: int = 0
    turned_away: int = 0

    def full(self) -> bool:
        """Whether any request would be refused, whoever it is from: known before its body is read."""
        return self.open >= self.limits.requests

    def enter(self, tenant: str, connection: object) -> str:
        """Take a place; a reason where there is none."""
        of_tenant, of_connection = self.tenants.get(tenant, 0), self.connections.get(connection, 0)
        reason = ""
        if self.full():
            reason = "too many requests are open at this node"
        elif of_tenant >= self.limits.by_tenant:
            reason = "too many requests of this tenant are open at this node"
        elif of_connection >= self.limits.by_connection:
            reason = "too many requests are open on this connection"
        if reason:
            self.turned_away += 1
            return reason
        self.open += 1
        self.tenants[tenant] = of_tenant + 1
        self.connections[connection] = of_connection + 1
        return ""

    def leave(self, now: int, tenant: str, connection: object) -> None:
        """A request has ended."""
        self.open -= 1
        for table, key in ((self.tenants, tenant), (self.connections, connection)):
            left = table[key] - 1  # type: ignore[index]
            if left:
                table[key] = left  # type: ignore[index]
            else:
                del table[key]  # type: ignore[arg-type]
        if self.ended_at:
            self.gap_us += SMOOTHING * (now - self.ended_at - self.gap_us)
        self.ended_at = now

    def wait(self, tenant: str) -> int:
        """Microseconds after which a place may be free: the time in which a tenth of those open will have
        ended, at the pace of late.
        """
        waiting = self.limits.by_tenant if self.tenants.get(tenant, 0) >= self.limits.by_tenant else self.open
        return int(min(max(self.gap_us * waiting / 10, LEAST_WAIT_US), MOST_WAIT_US))
