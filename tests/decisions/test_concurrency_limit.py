"""Limits on requests in flight and on the bytes of arriving bodies."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.concurrency_limit import (
    MAX_RETRY_AFTER_US,
    MIN_RETRY_AFTER_US,
    ByteBudget,
    ByteReservation,
    ConcurrencyLimiter,
    ConcurrencyLimits,
    ExceededLimit,
)

SENDERS = st.tuples(st.sampled_from("abc"), st.integers(0, 3))


def expected_rejection(in_flight: list[tuple[str, int]], sender: tuple[str, int]) -> ExceededLimit | None:
    """Return the limit that rejects a request, found by counting the requests `in_flight`.

    The limits are 8 requests at the node, 5 of a tenant and 3 on a connection.
    """
    tenant, connection = sender
    if len(in_flight) >= 8:
        return ExceededLimit.NODE
    if [other for other, _ in in_flight].count(tenant) >= 5:
        return ExceededLimit.TENANT
    if [other for _, other in in_flight].count(connection) >= 3:
        return ExceededLimit.CONNECTION
    return None


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.one_of(SENDERS, st.integers(0, 30)), max_size=120))
def test_no_count_exceeds_its_limit_and_every_end_releases_its_request(
    steps: list[tuple[str, int] | int],
) -> None:
    """Each step is the tenant and connection of a new request, or a number that picks a request to end."""
    limiter, in_flight, now_us = ConcurrencyLimiter(ConcurrencyLimits(8, 5, 3)), list[tuple[str, int]](), 0
    for step in steps:
        now_us += 1000
        if isinstance(step, int):
            if in_flight:
                limiter.release(now_us, *in_flight.pop(step % len(in_flight)))
            continue
        exceeded = limiter.acquire(*step)
        assert exceeded is expected_rejection(in_flight, step)
        if exceeded is None:
            in_flight.append(step)
    for sender in in_flight:
        limiter.release(now_us, *sender)
    assert limiter.in_flight == 0 and not limiter.by_tenant and not limiter.by_connection


def test_a_reason_names_the_limit() -> None:
    assert "at this node" in ExceededLimit.NODE
    assert "tenant" in ExceededLimit.TENANT
    assert "connection" in ExceededLimit.CONNECTION


def test_the_retry_delay_follows_the_rate_at_which_requests_end() -> None:
    quick, slow = (ConcurrencyLimiter(ConcurrencyLimits(100, 100, 100)) for _ in range(2))
    for limiter, interval_us in ((quick, 1_000), (slow, 50_000)):
        for _ in range(100):
            limiter.acquire("a", 1)
        for n in range(60):
            limiter.release(n * interval_us, "a", 1)
            limiter.acquire("a", 1)
    quick_us, slow_us = quick.retry_after_us("b"), slow.retry_after_us("b")
    assert MIN_RETRY_AFTER_US <= quick_us < slow_us <= MAX_RETRY_AFTER_US
    assert slow_us > 10 * quick_us or quick_us == MIN_RETRY_AFTER_US


def test_bytes_are_acquired_whole_or_not_at_all() -> None:
    budget = ByteBudget(100)
    assert budget.acquire(60) and not budget.acquire(41) and budget.acquire(40)
    budget.release(60)
    assert budget.acquire(60)
    assert (budget.used_bytes, budget.peak_bytes, budget.rejections) == (100, 100, 1)


def test_a_reservation_grows_and_shrinks_within_its_budget() -> None:
    budget = ByteBudget(100)
    mine, other = ByteReservation(budget), ByteReservation(budget)
    assert mine.resize(60) and not other.resize(41) and other.resize(40)
    assert not mine.resize(61) and mine.size_bytes == 60
    assert mine.resize(10) and other.resize(90)
    mine.release()
    mine.release()
    assert (mine.size_bytes, budget.used_bytes) == (0, 90)
