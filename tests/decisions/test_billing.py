"""Bills depend only on the set of usage records: their order, duplicates and merging change nothing."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.billing import (
    TokenPrice,
    UsageOutcome,
    UsageRecord,
    compute_bills,
    daily_totals,
    newer_state,
)

PRICE = TokenPrice(2, 1, 10)


def record_of(
    node: str,
    number: int,
    first: int = 0,
    next_: int = 0,
    outcome: int = UsageOutcome.SERVED,
    at: int = 0,
    **more: object,
) -> UsageRecord:
    return UsageRecord(node, number, "a", "w", at, 100, 40, first, next_, outcome, price=PRICE, **more)  # type: ignore[arg-type]


RECORDS = st.lists(
    st.builds(
        lambda node, number, work, at, first, size, outcome, price, lost: UsageRecord(
            f"n{node}",
            number,
            "ab"[work % 2],
            f"w{work}",
            at,
            100,
            30,
            first,
            first + size,
            outcome,
            lost,
            lost,
            TokenPrice(2, 1, price),
        ),
        st.integers(0, 2),
        st.integers(0, 5),
        st.integers(0, 3),
        st.integers(0, 50),
        st.integers(0, 30),
        st.integers(0, 30),
        st.sampled_from([UsageOutcome.OPEN, UsageOutcome.SERVED, UsageOutcome.CUT, UsageOutcome.NOTHING]),
        st.integers(1, 5),
        st.integers(0, 9),
    ),
    max_size=14,
)


@examples(max_examples=300, deadline=None, derandomize=True)
@given(RECORDS, RECORDS, st.randoms(use_true_random=False))
def test_merging_is_a_union(ours: list[UsageRecord], theirs: list[UsageRecord], rng: random.Random) -> None:
    bills = compute_bills([*ours, *theirs])
    shuffled = [*ours, *theirs, *ours, *theirs[:3]]
    rng.shuffle(shuffled)
    assert compute_bills(shuffled) == bills == compute_bills([*theirs, *ours])
    for bill in bills:
        # Each output token is billed once, and only if a client can have got it.
        newest: dict[tuple[str, int], UsageRecord] = {}
        for r in [*ours, *theirs]:
            newest[r.key] = newer_state(newest[r.key], r) if r.key in newest else r
        records = [r for r in newest.values() if (r.tenant, r.work) == (bill.tenant, bill.work)]
        assert bill.written == len({n for r in records for n in range(r.first, r.next)})
        assert (bill.amount > 0) == (bill.written > 0)
        assert bill.read + bill.kept == (100 if bill.written else 0)


def test_a_stream_that_breaks_and_is_resumed_elsewhere_is_one_bill() -> None:
    bill = compute_bills(
        [record_of("n1", 7, 0, 12, UsageOutcome.CUT, at=1), record_of("n2", 3, 12, 30, at=2)]
    )[0]
    assert (bill.read, bill.kept, bill.written, bill.amount) == (60, 40, 30, 60 * 2 + 40 + 300)
    assert bill.whole and bill.lost_read == 60  # a second prefill is at the operator's cost
    # The client resumes at a token that it already has: the overlap is at the operator's cost.
    overlapping = compute_bills(
        [record_of("n1", 7, 0, 12, UsageOutcome.CUT, at=1), record_of("n2", 3, 8, 30, at=2)]
    )[0]
    assert overlapping.amount == bill.amount and overlapping.lost_written == 4


def test_output_served_twice_is_billed_once_and_a_request_without_output_is_free() -> None:
    retried = compute_bills([record_of("n1", 1, 0, 20, at=1), record_of("n2", 1, 0, 20, at=2)])[0]
    assert retried.amount == compute_bills([record_of("n1", 1, 0, 20, at=1)])[0].amount
    assert compute_bills([record_of("n1", 1, 0, 0, UsageOutcome.NOTHING, lost_read=100)])[0].amount == 0
    # Works of two tenants are distinct even if they have the same name.
    assert (
        compute_bills(
            [
                UsageRecord("n1", 1, "b", "w", 0, 100, 0, 0, 5, UsageOutcome.SERVED, price=PRICE),
                record_of("n1", 2, 0, 5),
            ]
        )[1].tenant
        == "b"
    )


def test_the_price_is_that_of_the_earliest_record_of_each_token() -> None:
    expensive = TokenPrice(0, 0, 100)
    early, late = (
        record_of("n1", 1, 0, 10, UsageOutcome.CUT, at=1),
        UsageRecord("n2", 1, "a", "w", 9, 100, 0, 5, 20, UsageOutcome.SERVED, price=expensive),
    )
    assert compute_bills([late, early])[0].amount == 60 * 2 + 40 + 10 * 10 + 10 * 100


def test_a_crash_leaves_an_open_record_that_counts_what_was_streamed() -> None:
    states = [
        record_of("n1", 1, 0, 3, UsageOutcome.OPEN),
        record_of("n1", 1, 0, 9, UsageOutcome.OPEN),
        record_of("n1", 1, 0, 6, UsageOutcome.OPEN),
    ]
    assert compute_bills(states)[0].written == 9 and not compute_bills(states)[0].whole
    assert compute_bills([*states, record_of("n1", 1, 0, 12, UsageOutcome.SERVED)])[0].written == 12
    totals = daily_totals(
        compute_bills(
            [
                *states,
                UsageRecord(
                    "n1", 2, "a", "other", 86_400_000_000, 10, 0, 0, 1, UsageOutcome.SERVED, price=PRICE
                ),
            ]
        )
    )
    assert [(key, total.works, total.written) for key, total in sorted(totals.items())] == [
        (("a", 0), 1, 9),
        (("a", 1), 1, 1),
    ]
