"""Ejections: which requests are kept away from an endpoint because similar attempts failed there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from tuliptrack.interface import Request

__all__ = ["ALL_REQUESTS", "SLOW_STREAMS", "Ejection", "EjectionScope", "ScopeKind", "scopes_of"]


class ScopeKind(IntEnum):
    """What the requests affected by an ejection have in common.

    It is an `IntEnum` because the hash of its members is computed natively, which is faster.
    """

    ALL_REQUESTS = 0
    SLOW_STREAMS = 1
    REQUEST_CLASS = 2
    TENANT = 3


class EjectionScope(NamedTuple):
    """The requests that an ejection applies to."""

    kind: ScopeKind
    target: int = 0
    """Index of the request class or of the tenant; 0 for the other kinds."""


ALL_REQUESTS = EjectionScope(ScopeKind.ALL_REQUESTS)
"""Scope of all requests, for endpoints to which connections fail or that lack capacity."""
SLOW_STREAMS = EjectionScope(ScopeKind.SLOW_STREAMS)
"""Scope of all requests unless this node sheds load, for endpoints whose streams take much longer than those
of their peers."""


@dataclass(slots=True)
class Ejection:
    """Consecutive failures in one scope at one endpoint, and the time from which on a health check is due."""

    failures: int
    """Number of consecutive failures."""
    failed_at_us: int
    """When the last failure was seen; attempts sent before it count as part of the same failure."""
    next_check_at_us: int
    """Time from which on an attempt may be sent to the endpoint again, as a health check."""


def scopes_of(request: Request) -> tuple[EjectionScope, EjectionScope, EjectionScope]:
    """Return the scopes that a failed attempt of a request can count for.

    They are the whole endpoint, the request's class and its tenant, in this order.
    """
    return (
        ALL_REQUESTS,
        EjectionScope(ScopeKind.REQUEST_CLASS, request.class_index),
        EjectionScope(ScopeKind.TENANT, request.tenant),
    )
