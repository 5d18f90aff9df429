"""Decides when repeating a request can do harm.

A request is idempotent, carries an idempotency key, or is neither. With a key, the endpoints of its scope
(all, one zone or one cell) drop repeats for a time, the deduplication window. Times are microseconds.
"""

from __future__ import annotations

from tuliptrack.interface import Idempotency, IdempotencyScope
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["is_safe_to_retry", "may_send_to"]


def may_send_to(request: InFlightRequest, endpoint: Endpoint, now_us: int) -> bool:
    """Whether an attempt at an endpoint cannot double the effect of an earlier one.

    This holds for a new prefill as well, since a decode attempt follows it.
    """
    cls, execution = request.request_class, request.first_execution
    if execution is None or cls.idempotency is Idempotency.IDEMPOTENT:
        return True
    if cls.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    if now_us - execution.sent_at_us > cls.deduplication_window_us:
        return False
    if cls.idempotency_scope is IdempotencyScope.ALL:
        return True
    if endpoint.info.zone != execution.endpoint.zone:
        return False
    return cls.idempotency_scope is IdempotencyScope.ZONE or endpoint.info.cell == execution.endpoint.cell


def is_safe_to_retry(request: InFlightRequest) -> bool:
    """Whether the client may repeat the request, so that it may be rejected and need not fail.

    The client's retry may reach any endpoint, so a key counts only if its scope is all of them.
    """
    cls = request.request_class
    if request.first_execution is None or cls.idempotency is Idempotency.IDEMPOTENT:
        return True
    return cls.idempotency is Idempotency.WITH_KEY and cls.idempotency_scope is IdempotencyScope.ALL
