"""Cross-zone budgets: their bound over all nodes, prices, refunds and the classes they apply to."""

from __future__ import annotations

import random

import pytest
from helpers import MS, S, settings
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.cross_zone_budget import (
    PRICE_EMPTY,
    PRICE_FULL,
    CrossZoneBudgets,
)
from tuliptrack.interface import (
    CrossZoneCause,
    Tenant,
    ZoneBudget,
)

MOVES = st.lists(
    st.tuples(st.integers(0, 400_000), st.integers(0, 11), st.integers(1, 30_000), st.integers(0, 100)),
    min_size=1,
    max_size=150,
)


def budgets_of(replicas: int, replica: int, budget: ZoneBudget, offset: int = 0) -> CrossZoneBudgets:
    return CrossZoneBudgets(
        settings(replicas=replicas, replica_index=replica, zone_budgets=(budget,), epoch_offset_us=offset)
    )


@examples(max_examples=150, deadline=None, derandomize=True)
@given(
    st.integers(1, 12),
    st.integers(1, 60),
    st.integers(10_000, 60_000),
    st.integers(1, 6),
    MOVES,
    st.lists(st.integers(0, 40_000_000), max_size=12),
    st.integers(0, 3_000_000),
)
def test_all_nodes_together_stay_within_rate_burst_and_a_grant_in_every_window(
    replicas: int,
    rate_kb: int,
    quantum: int,
    grants: int,
    moves: list[tuple[int, int, int, int]],
    restarts: list[int],
    epoch: int,
) -> None:
    """Requests reserve bytes at any node at any time; nodes restart in between, and their clocks differ."""
    budget = ZoneBudget(rate_kb * 1000.0, float(quantum * grants), float(quantum))
    # Each node's clock has an offset of its own.
    offsets = [epoch + 1_000 * replica for replica in range(replicas)]
    nodes = [budgets_of(replicas, replica, budget, offsets[replica]) for replica in range(replicas)]
    at, sent = 50_000_000, []
    for number, (gap, node_number, size, done_percent) in enumerate(moves):
        at += gap
        replica = node_number % replicas
        if any(at - gap < restart + 50_000_000 <= at for restart in restarts):
            nodes[replica] = budgets_of(replicas, replica, budget, offsets[replica])
        cause = nodes[replica].reserve(at - offsets[replica], number, 0, float(size), is_retry=False)
        if cause is CrossZoneCause.BUDGET:
            sent.append((at, float(size)))
        actual = size * done_percent / 100 if done_percent < 90 else size
        nodes[replica].settle(
            at - offsets[replica], number, actual if cause is CrossZoneCause.BUDGET else 0.0
        )
        if cause is CrossZoneCause.BUDGET:
            sent[-1] = (at, actual)
        assert not nodes[replica].reservations
    for first, (start, _) in enumerate(sent):
        total = 0.0
        for end, size_sent in sent[first:]:
            total += size_sent
            assert total <= budget.bytes_per_s * (end - start) / 1e6 + budget.burst + budget.quantum + 1e-6


@examples(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 12),
    st.integers(1, 60),
    st.integers(10_000, 60_000),
    st.integers(1, 6),
    st.floats(0.1, 1.0),
    MOVES,
    st.integers(-(10**15), 10**15),
)
def test_earned_bytes_stay_within_their_part_and_a_quantum_per_node_whatever_the_clock_offsets(
    replicas: int,
    rate_kb: int,
    quantum: int,
    grants: int,
    part: float,
    moves: list[tuple[int, int, int, int]],
    skew: int,
) -> None:
    budget = ZoneBudget(rate_kb * 1000.0, float(quantum * grants), float(quantum), by_traffic=part)
    bytes_per_request = part * budget.bytes_per_s / 100
    offsets = [10**16 + skew * replica for replica in range(replicas)]
    nodes = [
        CrossZoneBudgets(
            settings(
                replicas=replicas,
                replica_index=replica,
                zone_budgets=(budget,),
                epoch_offset_us=offset,
                tenants=(Tenant("a", 1.0, 100.0),),
            )
        )
        for replica, offset in enumerate(offsets)
    ]
    at, arrivals, sent = 50_000_000, list[int](), list[tuple[int, float]]()
    for number, (gap, node_number, size, _) in enumerate(moves):
        at += gap
        node = nodes[min(node_number, 2) % replicas]  # most requests arrive at one node
        arrivals.append(at)
        node.record_arrival(at)
        if node.reserve(at, number, 0, float(size), is_retry=False) is CrossZoneCause.BUDGET:
            sent.append((at, float(size)))
    lifetime_us = budget.burst / budget.bytes_per_s * 1e6
    for start, _ in sent:
        for end in (start + 100_000, start + 2_000_000, at):
            earned = (
                bytes_per_request * sum(start - lifetime_us <= t <= end for t in arrivals)
                + budget.quantum * replicas
            )
            in_turn = (1 - part) * (
                budget.bytes_per_s * (end - start) / 1e6 + budget.burst
            ) + budget.quantum * replicas
            assert sum(s for t, s in sent if start <= t <= end) <= earned + in_turn + 1


def test_uneven_traffic_can_use_what_equal_grants_would_waste() -> None:
    """Two of twenty nodes get nine tenths of the requests, each of which tries to reserve a crossing."""
    used = {}
    for part in (0.0, 1.0):
        budget = ZoneBudget(1_000_000.0, 5_000_000.0, 50_000.0, by_traffic=part)
        nodes = [
            CrossZoneBudgets(
                settings(
                    replicas=20,
                    replica_index=replica,
                    zone_budgets=(budget,),
                    tenants=(Tenant("a", 1.0, 100.0),),
                )
            )
            for replica in range(20)
        ]
        rng = random.Random(3)
        used[part] = 0
        for number in range(3000):  # 100 requests a second for 30 s
            at = 10 * S + number * 10 * MS
            node = nodes[rng.randrange(2) if rng.random() < 0.9 else rng.randrange(20)]
            node.record_arrival(at)
            used[part] += node.reserve(at, number, 0, 50_000.0, is_retry=False) is CrossZoneCause.BUDGET
    assert used[0.0] < 0.55 * 600 and 0.9 * 600 < used[1.0] <= 600 + 100 + 20, (
        used
    )  # 600 quanta are issued in 30 s, 100 may be saved up before, and 20 nodes may have part of one


def test_many_nodes_share_a_budget_of_less_than_a_request_each_and_none_is_starved() -> None:
    """Every 100 ms one of 190 nodes gets a grant of 20,000 bytes, a request's size: each gets one in 19 s."""
    budget = ZoneBudget(200_000.0, 40_000.0, 20_000.0)
    nodes = [budgets_of(190, replica, budget) for replica in range(190)]
    used = [0] * 190
    for at in range(10_000_000, 10_000_000 + 2 * 19_000_000, 10_000):
        for replica, node in enumerate(nodes):
            if node.reserve(at, at, 0, 20_000.0, is_retry=False) is CrossZoneCause.BUDGET:
                used[replica] += 1
            else:
                node.settle(at, at, 0.0)
    assert min(used) >= 1 and max(used) <= 3 and sum(used) <= 200_000 * 38 / 20_000 + 3


def test_unused_bytes_are_refunded_and_overuse_is_paid_from_the_next_grants() -> None:
    budget = ZoneBudget(1_000_000.0, 400_000.0, 100_000.0)
    node = budgets_of(1, 0, budget)
    # The node has just started: its previous incarnation may have used the grants issued before.
    assert node.buckets[0].available(10 * S) == 0.0
    assert node.buckets[0].available(11 * S) == 400_000.0
    assert node.reserve(11 * S, 1, 0, 300_000.0, is_retry=False) is CrossZoneCause.BUDGET
    assert node.buckets[0].available(11 * S) == 100_000.0
    node.settle(11 * S, 1, 50_000.0)
    assert node.buckets[0].available(11 * S) == 350_000.0
    assert node.reserve(11 * S, 2, 0, 10_000.0, is_retry=True) is CrossZoneCause.RETRY
    node.settle(11 * S, 2, 500_000.0)  # bytes beyond the reservation are taken from the next grants
    assert node.buckets[0].available(11 * S) == 0.0
    assert node.buckets[0].available(11 * S + 150 * MS) == 0.0
    assert node.buckets[0].available(12 * S) > 0
    assert node.reserve(12 * S, 3, 0, 900_000.0, is_retry=False) is CrossZoneCause.FORCED
    node.settle(12 * S, 3, 0.0)
    assert not node.reservations


def test_the_price_rises_as_the_budget_runs_out_and_is_higher_for_low_priority_weights() -> None:
    node = budgets_of(1, 0, ZoneBudget(1_000_000.0, 400_000.0, 40_000.0))
    node.buckets[0].available(10 * S)
    prices = []
    for number in range(10):
        prices.append(node.price(11 * S, 0, 40_000.0, 1.0))
        node.reserve(11 * S, number, 0, 40_000.0, is_retry=False)
    assert prices == sorted(prices) and prices[0] == PRICE_FULL
    assert node.price(11 * S, 0, 40_000.0, 1.0) == PRICE_EMPTY
    assert node.price(11 * S, 0, 40_000.0, 0.5) == 2 * PRICE_EMPTY
    assert node.price(11 * S, 0, 0.0, 0.1) == 0.0


def test_a_class_uses_its_own_budget_and_other_classes_use_the_budget_for_all() -> None:
    own, rest = ZoneBudget(1e6, 1e5, 1e4, frozenset({1})), ZoneBudget(1e6, 2e5, 1e4)
    node = CrossZoneBudgets(settings(zone_budgets=(own, rest)))
    assert node.bucket_of(1) is node.buckets[0] and node.bucket_of(0) is node.buckets[1]
    with pytest.raises(ValueError, match="quantum"):
        ZoneBudget(1.0, 5.0, 6.0)
