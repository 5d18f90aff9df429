"""Ejections: which requests an endpoint does not get for now, because attempts of that kind failed there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from tuliptrack.interface import Request

__all__ = ["SLOW_STREAMS", "WHOLE_ENDPOINT", "Ejection", "EjectionScope", "ScopeKind", "scopes_of"]


class ScopeKind(IntEnum):
    """What the requests of an ejection have in common. (An `IntEnum`, since its hash is computed
    natively.)
    """

    WHOLE_ENDPOINT = 0
    SLOW_STREAMS = 1
    REQUEST_CLASS = 2
    TENANT = 3


class EjectionScope(NamedTuple):
    """The requests that an ejection applies to."""

    kind: ScopeKind
    target: int = 0
    """Index of the request class or of the tenant; 0 for the other kinds."""


WHOLE_ENDPOINT = EjectionScope(ScopeKind.WHOLE_ENDPOINT)
"""All requests: connections to the endpoint fail."""
SLOW_STREAMS = EjectionScope(ScopeKind.SLOW_STREAMS)
"""All requests, unless this node sheds load: streams there take much longer than at its peers."""


@dataclass(slots=True)
class Ejection:
    """Failures of one scope at one endpoint."""

    failures: int
    """Consecutive failures."""
    failed_at_us: int
    """When the last one was seen; attempts that were sent before it belong to the same failure."""
    next_check_at_us: int
    """When the next attempt may be made there, as a health check."""


def scopes_of(request: Request) -> tuple[EjectionScope, EjectionScope, EjectionScope]:
    """Return the scopes that a failed attempt of a request can count for.

    They are the whole endpoint, the request's class and its tenant, in this order.
    """
    return (
        WHOLE_ENDPOINT,
        EjectionScope(ScopeKind.REQUEST_CLASS, request.class_index),
        EjectionScope(ScopeKind.TENANT, request.tenant),
    )
