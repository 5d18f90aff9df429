"""Rejections of requests that may have executed: whether the client's retry can repeat the effect.

A rejection tells the client that a retry is safe. The tests guard against a retry that arrives, at any node,
after the deduplication window of the first attempt, so that the effect occurs twice.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import DECODE, MS, PREFILL, S, World, fleet, only, server, settings

from tuliptrack.interface import (
    Fail,
    Idempotency,
    IdempotencyScope,
    Reject,
    RequestClass,
    SendAttempt,
    Settings,
    Status,
    UpdateKind,
)
from tuliptrack.routing.idempotency import NODE_STALL_US, may_reject
from tuliptrack.routing.router import Router

SENT_AT_US = 1 * S
DEADLINE_US = 5 * S
MAX_RETRY_AFTER_US = 2 * S
NEEDED_US = DEADLINE_US + MAX_RETRY_AFTER_US + NODE_STALL_US
"""Time from a rejection until the last moment at which the client's retry may reach an engine."""
KEYED, ALL = Idempotency.WITH_KEY, IdempotencyScope.ALL


def request_class(idempotency: Idempotency, scope: IdempotencyScope, window_us: int) -> RequestClass:
    return RequestClass(
        "c",
        priority_weight=1.0,
        latency_objective_us=1 * S,
        deadline_us=DEADLINE_US,
        idempotency=idempotency,
        idempotency_scope=scope,
        deduplication_window_us=window_us,
    )


@pytest.mark.parametrize(
    ("idempotency", "scope", "window_us", "elapsed_us", "expected"),
    [
        (Idempotency.IDEMPOTENT, ALL, 0, 60 * S, True),
        (Idempotency.NOT_IDEMPOTENT, ALL, 600 * S, 0, False),
        (KEYED, ALL, 0, 0, False),
        (KEYED, ALL, NEEDED_US, 0, True),
        (KEYED, ALL, NEEDED_US, 1, False),
        (KEYED, ALL, NEEDED_US + 3 * S, 3 * S, True),
        (KEYED, ALL, NEEDED_US + 3 * S, 3 * S + 1, False),
        (KEYED, ALL, DEADLINE_US, 0, False),
        (KEYED, IdempotencyScope.ZONE, 600 * S, 0, False),
        (KEYED, IdempotencyScope.CELL, 600 * S, 0, False),
    ],
)
def test_a_request_that_may_have_executed_is_rejected_only_if_its_retry_arrives_within_the_window(
    idempotency: Idempotency, scope: IdempotencyScope, window_us: int, elapsed_us: int, expected: bool
) -> None:
    cls = request_class(idempotency, scope, window_us)
    now_us = SENT_AT_US + elapsed_us
    assert may_reject(cls, SENT_AT_US, now_us, MAX_RETRY_AFTER_US) is expected
    assert may_reject(cls, None, now_us, MAX_RETRY_AFTER_US), "nothing may have executed"


def keyed_settings(window_us: int) -> Settings:
    base = settings(KEYED, max_retry_after_us=MAX_RETRY_AFTER_US, max_attempts=2)
    classes = tuple(replace(cls, deduplication_window_us=window_us) for cls in base.classes)
    return replace(base, classes=classes)


@pytest.mark.parametrize(
    ("window_us", "after_us", "answer"),
    [
        (NEEDED_US + 2 * S, 1 * S, Reject),
        (NEEDED_US + 2 * S, 2 * S + 100 * MS, Fail),
        (3 * S, 10 * MS, Fail),
    ],
    ids=["window long enough", "execution too long ago", "window shorter than the deadline"],
)
def test_a_client_is_told_to_retry_only_within_the_window_of_an_attempt_that_may_have_executed(
    window_us: int, after_us: int, answer: type
) -> None:
    """The decode attempt's connection breaks, and the request may make no further attempt."""
    world = World(Router(keyed_settings(window_us), 1))
    world.list(*fleet(), kind=UpdateKind.FULL)
    request_id, actions = world.ask()
    actions = world.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    only(answer, world.end(request_id, endpoint_id, Status.RESET, after=after_us))


def test_the_window_starts_when_the_decode_attempt_is_sent() -> None:
    """The decode attempt is sent 3 s after the request arrives, because the prefill takes so long."""
    world = World(Router(keyed_settings(NEEDED_US + 1 * S), 1))
    world.list(server(10, PREFILL), server(12, DECODE), kind=UpdateKind.FULL)
    request_id, actions = world.ask()
    actions = world.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=3 * S)
    endpoint_id = only(SendAttempt, actions).endpoint_id
    only(Reject, world.end(request_id, endpoint_id, Status.RESET, after=500 * MS))
