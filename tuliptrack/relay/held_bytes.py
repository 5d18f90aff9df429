"""Counts what a node's buffers hold, by owner, for its counters."""

from __future__ import annotations

from tuliptrack.relay.engine_pools import EnginePools
from tuliptrack.relay.front import Front

__all__ = ["held_bytes"]


def held_bytes(front: Front, pools: EnginePools) -> dict[str, int]:
    """Return how many bytes each kind of buffer holds now, and for budgets the most that they ever held."""
    server = front.server
    budgets = {"arriving": server.bodies, "open_requests": front.body_budget, "pipelined": server.pipelined}
    counts: dict[str, int] = {}
    for owner, budget in budgets.items():
        counts[f"held_bytes_{owner}"] = budget.used_bytes
        counts[f"held_bytes_{owner}_peak"] = budget.peak_bytes
    counts["held_bytes_client_writes"] = sum(link.write_buffer_bytes for link in server.links)
    counts["held_bytes_engine_writes"] = sum(
        connection.write_buffer_bytes for pool in pools.all() for connection in pool.links
    )
    return counts
