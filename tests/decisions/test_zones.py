"""The budget of crossings: its bound over all nodes, its prices, and what the router makes of them."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from helpers import MS, READ, WRITE, S, World, fleet, only, server, settings, world
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.cross_zone_budget import (
    DARK_US,
    FORGET_US,
    PRICE_EMPTY,
    PRICE_FULL,
    RETURN_FROM,
    RETURN_US,
    CrossZoneBudgets,
    ZoneRecovery,
)
from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CrossZoneCause,
    EndpointInfo,
    EndpointState,
    LogMessage,
    Reject,
    Role,
    SendAttempt,
    Status,
    StreamStarted,
    Tenant,
    ZoneBudget,
)

MOVES = st.lists(
    st.tuples(st.integers(0, 400_000), st.integers(0, 11), st.integers(1, 30_000), st.integers(0, 100)),
    min_size=1,
    max_size=150,
)


def crossings(replicas: int, slot: int, budget: ZoneBudget, offset: int = 0) -> CrossZoneBudgets:
    return CrossZoneBudgets(
        settings(replicas=replicas, replica_index=slot, zone_budgets=(budget,), epoch_offset_us=offset)
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
def test_all_nodes_together_stay_within_rate_burst_and_a_turn_in_every_window(
    replicas: int,
    rate_kb: int,
    quantum: int,
    turns: int,
    moves: list[tuple[int, int, int, int]],
    births: list[int],
    epoch: int,
) -> None:
    """Whatever is asked where and when, with nodes that start again in between, and clocks with offsets of
    their own.
    """
    budget = ZoneBudget(rate_kb * 1000.0, float(quantum * turns), float(quantum))
    offsets = [epoch + 1_000 * slot for slot in range(replicas)]  # each node's own clock starts elsewhere
    nodes = [crossings(replicas, slot, budget, offsets[slot]) for slot in range(replicas)]
    at, sent = 50_000_000, []
    for number, (gap, who, size, done) in enumerate(moves):
        at += gap
        slot = who % replicas
        if any(at - gap < birth + 50_000_000 <= at for birth in births):
            nodes[slot] = crossings(replicas, slot, budget, offsets[slot])
        cause = nodes[slot].reserve(at - offsets[slot], number, 0, float(size), retry=False)
        if cause is CrossZoneCause.BUDGET:
            sent.append((at, float(size)))
        actual = size * done / 100 if done < 90 else size
        nodes[slot].settle(at - offsets[slot], number, actual if cause is CrossZoneCause.BUDGET else 0.0)
        if cause is CrossZoneCause.BUDGET:
            sent[-1] = (at, actual)
        assert not nodes[slot].open
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
def test_what_traffic_earns_stays_within_its_part_and_a_quantum_a_node_also_with_clocks_that_are_years_off(
    replicas: int,
    rate_kb: int,
    quantum: int,
    turns: int,
    part: float,
    moves: list[tuple[int, int, int, int]],
    skew: int,
) -> None:
    budget = ZoneBudget(rate_kb * 1000.0, float(quantum * turns), float(quantum), by_traffic=part)
    each = part * budget.bytes_per_s / 100
    offsets = [10**16 + skew * slot for slot in range(replicas)]
    nodes = [
        CrossZoneBudgets(
            settings(
                replicas=replicas,
                replica_index=slot,
                zone_budgets=(budget,),
                epoch_offset_us=offset,
                tenants=(Tenant("a", 1.0, 100.0),),
            )
        )
        for slot, offset in enumerate(offsets)
    ]
    at, came, sent = 50_000_000, list[int](), list[tuple[int, float]]()
    for number, (gap, who, size, _) in enumerate(moves):
        at += gap
        node = nodes[min(who, 2) % replicas]  # most of it at one
        came.append(at)
        node.arrived(at)
        if node.reserve(at, number, 0, float(size), retry=False) is CrossZoneCause.BUDGET:
            sent.append((at, float(size)))
    life = budget.burst / budget.bytes_per_s * 1e6
    for start, _ in sent:
        for end in (start + 100_000, start + 2_000_000, at):
            earned = each * sum(start - life <= t <= end for t in came) + budget.quantum * replicas
            by_turns = (1 - part) * (
                budget.bytes_per_s * (end - start) / 1e6 + budget.burst
            ) + budget.quantum * replicas
            assert sum(s for t, s in sent if start <= t <= end) <= earned + by_turns + 1


def test_uneven_traffic_gets_what_equal_turns_would_waste() -> None:
    """Twenty nodes; nine tenths of the traffic at two of them. All ask to cross with every request."""
    used = {}
    for part in (0.0, 1.0):
        budget = ZoneBudget(1_000_000.0, 5_000_000.0, 50_000.0, by_traffic=part)
        nodes = [
            CrossZoneBudgets(
                settings(
                    replicas=20,
                    replica_index=slot,
                    zone_budgets=(budget,),
                    tenants=(Tenant("a", 1.0, 100.0),),
                )
            )
            for slot in range(20)
        ]
        chance = random.Random(3)
        used[part] = 0
        for number in range(3000):  # 100 a second for 30 s
            at = 10 * S + number * 10 * MS
            node = nodes[chance.randrange(2) if chance.random() < 0.9 else chance.randrange(20)]
            node.arrived(at)
            used[part] += node.reserve(at, number, 0, 50_000.0, retry=False) is CrossZoneCause.BUDGET
    assert used[0.0] < 0.55 * 600 and 0.9 * 600 < used[1.0] <= 600 + 100 + 20, (
        used
    )  # 600 quanta accrue, 100 may be saved


def test_many_nodes_share_a_budget_of_less_than_a_request_each_and_none_is_starved() -> None:
    """190 nodes, one request of 20,000 bytes every 100 ms for all of them: each gets its turn, none gets
    two.
    """
    budget = ZoneBudget(200_000.0, 40_000.0, 20_000.0)
    nodes = [crossings(190, slot, budget) for slot in range(190)]
    used = [0] * 190
    for at in range(10_000_000, 10_000_000 + 2 * 19_000_000, 10_000):
        for slot, node in enumerate(nodes):
            if node.reserve(at, at, 0, 20_000.0, retry=False) is CrossZoneCause.BUDGET:
                used[slot] += 1
            else:
                node.settle(at, at, 0.0)
    assert min(used) >= 1 and max(used) <= 3 and sum(used) <= 200_000 * 38 / 20_000 + 3


def test_what_was_not_sent_goes_back_and_what_was_sent_beyond_is_paid_later() -> None:
    budget = ZoneBudget(1_000_000.0, 400_000.0, 100_000.0)
    node = crossings(1, 0, budget)
    assert node.purses[0].left(10 * S) == 0.0  # born now: what came before may have been used
    assert node.purses[0].left(11 * S) == 400_000.0
    assert node.reserve(11 * S, 1, 0, 300_000.0, retry=False) is CrossZoneCause.BUDGET
    assert node.purses[0].left(11 * S) == 100_000.0
    node.settle(11 * S, 1, 50_000.0)
    assert node.purses[0].left(11 * S) == 350_000.0
    assert node.reserve(11 * S, 2, 0, 10_000.0, retry=True) is CrossZoneCause.RETRY
    node.settle(11 * S, 2, 500_000.0)  # far more than was thought: turns to come pay
    assert node.purses[0].left(11 * S) == 0.0
    assert node.purses[0].left(11 * S + 150 * MS) == 0.0
    assert node.purses[0].left(12 * S) > 0
    assert node.reserve(12 * S, 3, 0, 900_000.0, retry=False) is CrossZoneCause.FORCED
    node.settle(12 * S, 3, 0.0)
    assert not node.open


def test_the_price_rises_as_the_budget_runs_out_and_low_worth_finds_it_dearer() -> None:
    node = crossings(1, 0, ZoneBudget(1_000_000.0, 400_000.0, 40_000.0))
    node.purses[0].left(10 * S)
    prices = []
    for number in range(10):
        prices.append(node.price(11 * S, 0, 40_000.0, 1.0))
        node.reserve(11 * S, number, 0, 40_000.0, retry=False)
    assert prices == sorted(prices) and prices[0] == PRICE_FULL
    assert node.price(11 * S, 0, 40_000.0, 1.0) == PRICE_EMPTY
    assert node.price(11 * S, 0, 40_000.0, 0.5) == 2 * PRICE_EMPTY
    assert node.price(11 * S, 0, 0.0, 0.1) == 0.0


def test_a_class_is_counted_by_its_own_budget_and_others_by_that_for_all() -> None:
    own, rest = ZoneBudget(1e6, 1e5, 1e4, frozenset({1})), ZoneBudget(1e6, 2e5, 1e4)
    node = CrossZoneBudgets(settings(zone_budgets=(own, rest)))
    assert node.purse(1) is node.purses[0] and node.purse(0) is node.purses[1]
    with pytest.raises(ValueError, match="quantum"):
        ZoneBudget(1.0, 5.0, 6.0)


# ---------------------------------------------------------------- the router

BUDGET: dict[str, Any] = {
    "zone_budgets": (ZoneBudget(1_000_000.0, 400_000.0, 50_000.0),),
    "prompt_bytes": 6.0,
    "state_bytes": 16.0,
    "answer_bytes": 24.0,
    "replicas": 1,
}


def play(w: World, seed: int, count: int = 400) -> list[Action]:
    """A drawn run of requests through both stages; what the router said."""
    chance = random.Random(seed)
    out: list[tuple[int, SendAttempt]] = []
    for _ in range(count):
        _, said = w.ask(
            after=chance.randrange(8 * MS), prefix=chance.randrange(5), class_index=chance.randrange(2)
        )
        out += [(w.now, a) for a in said if isinstance(a, SendAttempt)]
        while out and chance.random() < 0.7:
            sent, send = out.pop(chance.randrange(len(out)))
            lag = w.now - sent + 20 * MS
            if w.router.endpoints[send.endpoint_id].role is Role.PREFILL:
                said = w.tell(
                    AttemptEnded(
                        send.request_id,
                        w.tries[send.request_id],
                        send.endpoint_id,
                        Status.PREFILLED,
                        lag,
                        load_report=(1.0, 0.2),
                    )
                )
            elif chance.random() < 0.1:
                said = w.tell(
                    AttemptEnded(
                        send.request_id, w.tries[send.request_id], send.endpoint_id, Status.AT_CAPACITY, lag
                    )
                )
            else:
                w.tell(StreamStarted(send.request_id, w.tries[send.request_id], send.endpoint_id, lag))
                said = w.tell(
                    AttemptEnded(
                        send.request_id,
                        w.tries[send.request_id],
                        send.endpoint_id,
                        Status.OK,
                        lag,
                        is_final=True,
                    )
                )
            out += [(w.now, a) for a in said if isinstance(a, SendAttempt)]
    return w.said


def test_where_there_is_one_zone_a_budget_changes_nothing() -> None:
    for seed in range(4):
        plain = play(world(seed=seed, replicas=1), seed)
        counted = play(world(seed=seed, **BUDGET), seed)
        assert plain == counted and len(plain) > 400


def test_homes_lie_in_the_nodes_zone_while_it_serves_and_elsewhere_when_nothing_else_is_left() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    w = world([*near, *far], **BUDGET)
    for _ in range(30):
        _, said = w.ask(after=200 * MS)
        send = only(SendAttempt, said)
        assert send.endpoint_id < 50 and send.cross_zone_cause is None
        written = only(SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED))
        assert written.endpoint_id < 50 and written.cross_zone_cause is None
        w.end(send.request_id, written.endpoint_id, Status.OK, is_final=True)
    w.list(*(replace(s, state=type(s.state).REMOVED) for s in near if s.kind == READ))
    causes = []
    for _ in range(40):
        _, said = w.ask(after=20 * MS)
        if not said or isinstance(said[0], Reject):
            continue
        send = only(SendAttempt, said)
        assert send.endpoint_id > 50
        causes.append(send.cross_zone_cause)
        # Its state is at a reader there: to write there too moves the answer back, to write here the state.
        written = only(
            SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, cross_zone_bytes=6000.0)
        )
        w.start(send.request_id, written.endpoint_id)
        w.end(send.request_id, written.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=3000.0)
    assert causes[0] is CrossZoneCause.BUDGET and len(causes) > 20


def test_serving_comes_before_the_budget_and_is_booked_as_forced() -> None:
    far = [server(60, READ, zone=1), server(61, WRITE, zone=1)]
    w = world(far, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    for _ in range(10):
        _, said = w.ask(after=200 * MS)
        assert only(SendAttempt, said).cross_zone_cause is CrossZoneCause.FORCED
        w.end(w.ids, 60, Status.ERROR)


def test_states_stay_in_their_zone_until_its_writers_are_that_much_fuller() -> None:
    pool = [server(10, READ), server(11, WRITE), server(12, WRITE, zone=1)]
    for budget, crossing in ((1e6, True), (0.0, False)):
        w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(budget, 400_000.0, 50_000.0),)})
        went = set()
        for _ in range(6):
            _, said = w.ask(after=400 * MS, max_tokens=400.0, class_index=1)
            read = only(SendAttempt, said)
            sent = [
                a
                for a in w.end(read.request_id, read.endpoint_id, Status.PREFILLED)
                if isinstance(a, SendAttempt)
            ]
            went.add(sent[0].endpoint_id)  # answers go on: the own writer fills
            w.start(read.request_id, sent[0].endpoint_id)
        assert (12 in went) is crossing, (budget, went)


def test_writers_at_home_are_not_passed_over_for_strangers_whose_memory_nobody_has_told() -> None:
    pool = [server(10, READ), server(11, WRITE), *(server(20 + n, WRITE, zone=1) for n in range(3))]
    w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 400_000.0, 50_000.0),)})
    for _ in range(5):
        _, said = w.ask(after=100 * MS)
        read = only(SendAttempt, said)
        written = only(SendAttempt, w.end(read.request_id, 10, Status.PREFILLED))
        assert written.endpoint_id == 11
        w.start(read.request_id, 11)
        w.end(
            read.request_id, 11, Status.OK, is_final=True, load_report=(3.0, 0.4)
        )  # two fifths held: clearly above nothing told


def test_a_jam_at_home_tells_nothing_of_another_zone() -> None:
    """At many nodes a role's last answers stand for its state: those of home, for home."""
    pool = [
        *(server(10 + n, READ) for n in range(2)),
        *(server(20 + n, READ, zone=1) for n in range(2)),
        server(30, WRITE),
        server(31, WRITE, zone=1),
    ]
    w = world(
        pool,
        **{**BUDGET, "replicas": 100, "report_fields": ("in_flight", "memory_share", "tokens_waiting_k")},
    )
    servers = []
    for _ in range(30):
        _, said = w.ask(after=30 * MS, prefix=0)
        sends = [a for a in said if isinstance(a, SendAttempt)]
        servers += [a.endpoint_id for a in sends] or [0]
        if sends:  # home reads slowly, and says that much waits
            lag, load = (
                (900 * MS, (40.0, 0.2, 60.0)) if sends[0].endpoint_id < 20 else (40 * MS, (0.0, 0.2, 0.0))
            )
            written = only(
                SendAttempt,
                w.end(
                    sends[0].request_id, sends[0].endpoint_id, Status.PREFILLED, after=lag, load_report=load
                ),
            )
            w.end(
                written.request_id,
                written.endpoint_id,
                Status.OK,
                after=20 * MS,
                is_final=True,
                load_report=(0.0, 0.2, 0.0),
            )
    assert 0 not in servers and sum(20 <= s < 30 for s in servers) > 10, servers


def test_a_zone_that_was_dark_takes_its_traffic_back_by_parts_and_the_same_sessions_everywhere() -> None:
    returns, key = ZoneRecovery(), (1, Role.PREFILL)
    assert returns.note(0, [key] * 4 + [(2, Role.PREFILL)]) == []
    assert returns.note(1 * S, [key] * 2 + [(2, Role.PREFILL)]) == []  # half is left: not dark
    assert returns.note(2 * S, [(2, Role.PREFILL)]) == [(1, "prefill servers dark")]
    assert returns.admits(3 * S, 1, Role.PREFILL, 0.99)  # nothing holds trials back
    assert returns.note(2 * S + DARK_US // 2, [key] * 2 + [(2, Role.PREFILL)]) == [
        (1, "prefill servers back")
    ]
    assert not returns.back  # too short to pace
    returns.note(10 * S, [])
    begin = 10 * S + DARK_US
    assert (1, "prefill servers coming back") in returns.note(begin, [key] * 2)
    draws = [n / 100 for n in range(100)]
    parts = [
        sum(returns.admits(begin + RETURN_US * n // 4, 1, Role.PREFILL, d) for d in draws) / 100
        for n in range(5)
    ]
    assert parts == sorted(parts) and parts[0] == pytest.approx(RETURN_FROM, abs=0.01) and parts[-1] == 1.0
    assert not returns.back
    returns.note(100 * S, [])  # a zone that stays dark is taken for closed in the end
    assert (1, "prefill servers given up") in returns.note(100 * S + FORGET_US + 1, [])
    assert returns.note(100 * S + FORGET_US + 2, []) == []


def _return(w: World, near: list[EndpointInfo], busy: bool) -> list[int]:
    """Its zone is told gone, and ready again 5 s later; in which half-seconds after it was read at home how
    often.
    """
    w.list(*(replace(s, state=EndpointState.REMOVED) for s in near))
    w.now += 5 * S
    said = w.list(*near)
    assert any("coming back" in a.text for a in said if isinstance(a, LogMessage))
    back, home = w.now, [0] * 24
    while w.now < back + 12 * S:
        _, said = w.ask(after=20 * MS, session=random.Random(w.ids).getrandbits(40), prefix=0)
        for send in [a for a in said if isinstance(a, SendAttempt)]:
            home[min((w.now - back) // (500 * MS), 23)] += send.endpoint_id < 50
            if busy and send.endpoint_id >= 50:
                continue  # elsewhere nothing ends any more
            written = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, written.endpoint_id, after=5 * MS)
            w.end(send.request_id, written.endpoint_id, Status.OK, after=5 * MS, is_final=True)
    return home


def test_the_return_to_a_zone_is_paced_and_hurried_where_elsewhere_has_no_room() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    paced = _return(world([*near, *far], **BUDGET), near, busy=False)
    assert 0 < sum(paced[:2]) < 0.35 * sum(paced[-2:]) and paced[4] < paced[10] < paced[-2], paced
    hurried = _return(world([*near, *far], **BUDGET), near, busy=True)
    assert sum(hurried[2:8]) > 1.5 * sum(paced[2:8]), (hurried, paced)


def test_a_servers_zone_may_change_while_it_works() -> None:
    w = world(
        [server(10, READ), server(11, WRITE), server(20, READ, zone=1), server(21, WRITE, zone=1)], **BUDGET
    )
    _, said = w.ask(after=S)
    assert only(SendAttempt, said).endpoint_id == 10
    w.list(server(10, READ, zone=1), server(20, READ))  # they change places, with a state at one of them
    written = only(SendAttempt, w.end(1, 10, Status.PREFILLED))
    assert (
        written.cross_zone_cause is not None
    )  # the state has to come from the other zone now, or the answer
    w.start(1, written.endpoint_id)
    w.end(1, written.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=16_000.0)
    _, said = w.ask(after=200 * MS)
    assert only(SendAttempt, said).endpoint_id == 20 and only(SendAttempt, said).cross_zone_cause is None
    assert w.router.locality.crossings and w.router.locality.crossings.open.keys() == set()


def test_no_request_is_refused_for_the_budget_alone() -> None:
    """Home is full for a moment and the budget is out: it is served elsewhere, as forced, not refused."""
    pool = [server(10, READ), server(11, WRITE), server(20, READ, zone=1), server(21, WRITE, zone=1)]
    w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    causes = []
    for number in range(30):
        _, said = w.ask(after=20 * MS, prefix=0)
        send = only(SendAttempt, said)  # each is sent somewhere
        causes.append((send.endpoint_id, send.cross_zone_cause))
        if send.endpoint_id == 20 or number < 10:
            written = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, written.endpoint_id, after=MS)
            w.end(send.request_id, written.endpoint_id, Status.OK, after=MS, is_final=True)
    assert (20, CrossZoneCause.FORCED) in causes and all(
        c is CrossZoneCause.FORCED for s, c in causes if s == 20
    )
