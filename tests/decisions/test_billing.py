"""Bills are a function of the set of records: order, duplicates and merging change nothing."""

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
def test_merging_is_a_union(
    ours: list[UsageRecord], theirs: list[UsageRecord], chance: random.Random
) -> None:
    whole = compute_bills([*ours, *theirs])
    mixed = [*ours, *theirs, *ours, *theirs[:3]]
    chance.shuffle(mixed)
    assert compute_bills(mixed) == whole == compute_bills([*theirs, *ours])
    for bill in whole:
        # No token of an answer is billed twice, and no more than any client can have got.
        last: dict[tuple[str, int], UsageRecord] = {}
        for p in [*ours, *theirs]:
            last[p.key] = newer_state(last[p.key], p) if p.key in last else p
        own = [p for p in last.values() if (p.tenant, p.work) == (bill.tenant, bill.work)]
        assert bill.written == len({n for p in own for n in range(p.first, p.next)})
        assert (bill.amount > 0) == (bill.written > 0)
        assert bill.read + bill.kept == (100 if bill.written else 0)


def test_a_stream_that_breaks_and_is_resumed_elsewhere_is_one_bill() -> None:
    one = compute_bills(
        [record_of("n1", 7, 0, 12, UsageOutcome.CUT, at=1), record_of("n2", 3, 12, 30, at=2)]
    )[0]
    assert (one.read, one.kept, one.written, one.amount) == (60, 40, 30, 60 * 2 + 40 + 300)
    assert one.whole and one.lost_read == 60  # a second prefill is at the operator's cost
    # The client resumes from before what it has: the overlap is at the operator's cost.
    again = compute_bills(
        [record_of("n1", 7, 0, 12, UsageOutcome.CUT, at=1), record_of("n2", 3, 8, 30, at=2)]
    )[0]
    assert again.amount == one.amount and again.lost_written == 4


def test_neither_a_retry_of_what_was_served_nor_what_was_never_served_is_billed() -> None:
    twice = compute_bills([record_of("n1", 1, 0, 20, at=1), record_of("n2", 1, 0, 20, at=2)])[0]
    assert twice.amount == compute_bills([record_of("n1", 1, 0, 20, at=1)])[0].amount
    assert compute_bills([record_of("n1", 1, 0, 0, UsageOutcome.NOTHING, lost_read=100)])[0].amount == 0
    assert (
        compute_bills(
            [
                UsageRecord("n1", 1, "b", "w", 0, 100, 0, 0, 5, UsageOutcome.SERVED, price=PRICE),
                record_of("n1", 2, 0, 5),
            ]
        )[1].tenant
        == "b"
    )  # the
    # same name of work at two tenants is two works


def test_the_price_is_that_of_the_earliest_record_of_each_token() -> None:
    dear = TokenPrice(0, 0, 100)
    early, late = (
        record_of("n1", 1, 0, 10, UsageOutcome.CUT, at=1),
        UsageRecord("n2", 1, "a", "w", 9, 100, 0, 5, 20, UsageOutcome.SERVED, price=dear),
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
    sums = daily_totals(
        compute_bills(
            [
                *states,
                UsageRecord(
                    "n1", 2, "a", "other", 86_400_000_000, 10, 0, 0, 1, UsageOutcome.SERVED, price=PRICE
                ),
            ]
        )
    )
    assert [(key, total.works, total.written) for key, total in sorted(sums.items())] == [
        (("a", 0), 1, 9),
        (("a", 1), 1, 1),
    ]
