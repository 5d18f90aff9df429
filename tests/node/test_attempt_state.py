"""What the state of an attempt allows: sending, retrying, releasing."""

from __future__ import annotations

import itertools

import pytest

from tuliptrack.interface import EndpointState, Idempotency
from tuliptrack.node.attempt_state import (
    Delivery,
    Verdict,
    has_arrived,
    may_have_executed,
    may_retry,
    may_send,
    retry_by_us,
)
from tuliptrack.routing.idempotency import NODE_STALL_US

WINDOW_US = 2_000_000


def test_written_attempt_may_have_executed_but_has_arrived_only_on_evidence() -> None:
    assert [may_have_executed(state) for state in Delivery] == [False, True, True, True]
    assert [has_arrived(state) for state in Delivery] == [False, False, True, True]


def test_attempt_begins_only_for_an_open_request_at_a_ready_endpoint() -> None:
    assert may_send(
        is_concluded=False,
        is_client_disconnected=False,
        is_in_flight=False,
        endpoint_state=EndpointState.READY,
    )
    for is_concluded, is_disconnected, is_in_flight, endpoint_state in itertools.product(
        (False, True), (False, True), (False, True), (None, *EndpointState)
    ):
        is_ready = endpoint_state is EndpointState.READY
        expected = is_ready and not (is_concluded or is_disconnected or is_in_flight)
        verdict = may_send(
            is_concluded=is_concluded,
            is_client_disconnected=is_disconnected,
            is_in_flight=is_in_flight,
            endpoint_state=endpoint_state,
        )
        assert bool(verdict) is expected
    verdict = may_send(is_concluded=True, is_client_disconnected=True, is_in_flight=True, endpoint_state=None)
    assert verdict is Verdict.REQUEST_CONCLUDED, "the first reason is the one reported"


@pytest.mark.parametrize(
    ("idempotency", "elapsed_us", "verdict"),
    [
        (Idempotency.IDEMPOTENT, 10 * WINDOW_US, Verdict.ALLOWED),
        (Idempotency.NOT_IDEMPOTENT, 0, Verdict.MAY_HAVE_EXECUTED),
        (Idempotency.WITH_KEY, WINDOW_US, Verdict.ALLOWED),
        (Idempotency.WITH_KEY, WINDOW_US + 1, Verdict.DEDUPLICATION_WINDOW_OVER),
    ],
)
def test_retry_of_what_may_have_executed_depends_on_idempotency(
    idempotency: Idempotency, elapsed_us: int, verdict: Verdict
) -> None:
    assert may_retry(idempotency, 1_000, WINDOW_US, 1_000 + elapsed_us) is verdict
    assert may_retry(idempotency, 0, WINDOW_US, 1_000 + elapsed_us) is Verdict.ALLOWED, "nothing has executed"


def test_retry_deadline_leaves_a_margin_for_a_stalled_node() -> None:
    assert retry_by_us(Idempotency.WITH_KEY, 1_000, WINDOW_US) == 1_000 + WINDOW_US - NODE_STALL_US
    assert retry_by_us(Idempotency.WITH_KEY, 1_000, 100_000) == 51_000, (
        "a short window is not used up by the margin"
    )
    assert (
        retry_by_us(Idempotency.IDEMPOTENT, 1_000, WINDOW_US)
        == retry_by_us(Idempotency.WITH_KEY, 0, WINDOW_US)
        == 0
    )
