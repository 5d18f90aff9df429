"""Decides when repeating a request can do harm, by this node or by its client.

A request is idempotent, carries an idempotency key, or is neither. With a key, the endpoints of its scope
(all, one zone or one cell) drop repeats for a time, the deduplication window. Times are microseconds.
"""

from __future__ import annotations

from tuliptrack.interface import Idempotency, IdempotencyScope, RequestClass
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest

__all__ = ["NODE_STALL_US", "may_reject", "may_send_to"]

NODE_STALL_US = 150_000
"""How long a node may be stalled between reading its clock and the bytes on the wire (the platform's
figure)."""


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


def may_reject(
    request_class: RequestClass, executed_at_us: int | None, now_us: int, max_retry_after_us: int
) -> bool:
    """Whether the final answer may be a rejection, which promises that a repeat by the client is harmless.

    Args:
        request_class: of the request.
        executed_at_us: when the first attempt that may have executed was sent; None: none may have.
        now_us: the time now.
        max_retry_after_us: the longest time after which a client is told to come back.
    """
    if executed_at_us is None or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    # The repeat may reach any endpoint, so a key counts only if its scope is all of them.
    has_fleet_wide_key = (
        request_class.idempotency is Idempotency.WITH_KEY
        and request_class.idempotency_scope is IdempotencyScope.ALL
    )
    if not has_fleet_wide_key:
        return False
    # Failure: the window is over when the repeat arrives, as its client comes back only then, or as it waits
    # in the queues of another node, which does not know of the first attempt. It would show as an effect had
    # twice. The window is measured from the time of sending, so at the engine it ends later.
    repeat_arrives_by_us = now_us + max_retry_after_us + request_class.deadline_us + NODE_STALL_US
    return repeat_arrives_by_us <= executed_at_us + request_class.deduplication_window_us
