"""Decides when a repeat of a request, by this node or by its client, could do harm.

A request is idempotent, carries an idempotency key, or neither. With a key, the endpoints of its scope
(all, one zone or one cell) drop repeats during the deduplication window. Times are microseconds.
"""

from __future__ import annotations

from tuliptrack.interface import Idempotency, IdempotencyScope, RequestClass
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["NODE_STALL_US", "may_reject", "may_send_to"]

NODE_STALL_US = 150_000
"""Maximum stall of a node between reading its clock and sending the bytes, as specified for the platform."""


def may_send_to(request: InFlightRequest, endpoint: Endpoint, now_us: int) -> bool:
    """Whether an attempt at an endpoint cannot repeat the effect of an earlier one.

    The check also applies to a new prefill, because a decode attempt follows it.
    """
    request_class, execution = request.request_class, request.first_execution
    if execution is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    if now_us - execution.sent_at_us > request_class.deduplication_window_us:
        return False
    if request_class.idempotency_scope is IdempotencyScope.ALL:
        return True
    if endpoint.info.zone != execution.endpoint.zone:
        return False
    return (
        request_class.idempotency_scope is IdempotencyScope.ZONE
        or endpoint.info.cell == execution.endpoint.cell
    )


def may_reject(
    request_class: RequestClass, executed_at_us: int | None, now_us: int, max_retry_after_us: int
) -> bool:
    """Whether the final answer may be a rejection, which tells the client that a repeat is harmless.

    Args:
        request_class: the class of the request.
        executed_at_us: when the first attempt that may have been executed was sent; None if there is none.
        now_us: the current time.
        max_retry_after_us: the longest delay after which a client is told to retry.
    """
    if executed_at_us is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    # The repeat may reach any endpoint, so a key only helps if its scope is all endpoints.
    has_fleet_wide_key = (
        request_class.idempotency is Idempotency.WITH_KEY
        and request_class.idempotency_scope is IdempotencyScope.ALL
    )
    if not has_fleet_wide_key:
        return False
    # The latest arrival of the repeat must be within the window. Otherwise the request would take effect
    # twice if the client retries late, or if the repeat is queued at another node, which does not know of the
    # first attempt. Measuring the window from the time of sending is safe, because the engine's window begins
    # later, and so ends later.
    repeat_arrives_by_us = now_us + max_retry_after_us + request_class.deadline_us + NODE_STALL_US
    return repeat_arrives_by_us <= executed_at_us + request_class.deduplication_window_us
