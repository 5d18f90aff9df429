"""Places and bytes in front of the core."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.concurrency_limit import (
    LEAST_WAIT_US,
    MOST_WAIT_US,
    ByteBudget,
    ConcurrencyLimiter,
    ConcurrencyLimits,
)

WHO = st.tuples(st.sampled_from("abc"), st.integers(0, 3))


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.one_of(WHO, st.integers(0, 30)), max_size=120))
def test_no_count_passes_its_limit_and_what_ends_gives_back_its_place(
    steps: list[tuple[str, int] | int],
) -> None:
    admission, held, now = ConcurrencyLimiter(ConcurrencyLimits(8, 5, 3)), list[tuple[str, int]](), 0
    for step in steps:
        now += 1000
        if isinstance(step, int):
            if held:
                admission.leave(now, *held.pop(step % len(held)))
            continue
        reason = admission.enter(*step)
        tenants, connections = [t for t, _ in held], [c for _, c in held]
        expected = (
            "node"
            if len(held) >= 8
            else "tenant"
            if tenants.count(step[0]) >= 5
            else "connection"
            if connections.count(step[1]) >= 3
            else ""
        )
        assert expected in reason and bool(reason) == bool(expected)
        if not reason:
            held.append(step)
    for one in held:
        admission.leave(now, *one)
    assert admission.open == 0 and not admission.tenants and not admission.connections


def test_the_advice_follows_the_pace_at_which_places_come_free() -> None:
    quick, slow = (
        ConcurrencyLimiter(ConcurrencyLimits(100, 100, 100)),
        ConcurrencyLimiter(ConcurrencyLimits(100, 100, 100)),
    )
    for admission, gap in ((quick, 1_000), (slow, 50_000)):
        for _ in range(100):
            admission.enter("a", 1)
        for n in range(60):
            admission.leave(n * gap, "a", 1)
            admission.enter("a", 1)
    assert LEAST_WAIT_US <= quick.wait("b") < slow.wait("b") <= MOST_WAIT_US
    assert slow.wait("b") > 10 * quick.wait("b") or quick.wait("b") == LEAST_WAIT_US


def test_bytes_are_taken_whole_or_not_at_all() -> None:
    meter = ByteBudget(100)
    assert meter.take(60) and not meter.take(41) and meter.take(40)
    meter.give(60)
    assert meter.take(60) and (meter.held, meter.peak, meter.refused) == (100, 100, 1)
