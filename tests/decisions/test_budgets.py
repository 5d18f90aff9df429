"""Token budgets: their bound over all nodes, what is learnt of answers, what is lent, and what ends come
to.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.token_budget import (
    LEND_US,
    BudgetVerdict,
    BudgetWindow,
    TokenBudgets,
    TokenBudgetSettings,
)

S, DAY = 1_000_000, 86_400_000_000


def budgets(
    windows: Mapping[str, tuple[BudgetWindow, ...]], now: int = 100 * S, **more: object
) -> TokenBudgets:
    made: dict[str, object] = {
        "replicas": 1,
        "windows": windows,
        "read": 1,
        "kept": 0,
        "written": 1,
        "lend": False,
        **more,
    }
    return TokenBudgets(TokenBudgetSettings(**made), now)  # type: ignore[arg-type]


def let_in(
    one: TokenBudgets,
    now: int,
    request: int,
    tenant: str = "a",
    prompt: int = 100,
    most: int = 200,
    cls: int = 0,
) -> BudgetVerdict:
    verdict = one.ask(now, tenant, cls, prompt, 0, most)
    if not verdict.over:
        one.take(now, request, tenant, cls, prompt, verdict)
    return verdict


MOVES = st.lists(
    st.tuples(st.integers(0, 300_000), st.integers(0, 9), st.integers(1, 900), st.integers(0, 100)),
    min_size=1,
    max_size=120,
)


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(1, 10), st.integers(500, 5000), st.integers(1, 8), st.booleans(), MOVES)
def test_all_nodes_together_stay_within_the_window_and_a_turn_and_reservations_always_settle(
    replicas: int, units: int, turns: int, lend: bool, moves: list[tuple[int, int, int, int]]
) -> None:
    """Whatever is asked where; with lending, tenants together stay within what theirs add up to, moved by
    LEND_US.
    """
    window = BudgetWindow(S, units, units // turns)
    nodes = [
        budgets({"a": (window,), "b": (window,)}, replicas=replicas, slot=slot, lend=lend)
        for slot in range(replicas)
    ]
    now, used = 100 * S, list[tuple[int, str, int]]()
    for number, (gap, who, prompt, part) in enumerate(moves):
        now += gap
        node, tenant = nodes[who % replicas], "ab"[who % 2]
        verdict = let_in(node, now, number, tenant, prompt, 0)
        if not verdict.over:
            assert verdict.reserved <= prompt + 1
            done = part > 20
            node.settle(now, number, 0, 0 if done else -1, False)
            used.append((now, tenant, prompt if done else 0))
        assert not node.open and all(node.use(t).held_back == 0 for t in "ab")
    for start, _, _ in used:
        for end in (start + 200_000, start + S, now):
            inside = [(t, u) for at, t, u in used if start <= at <= end]
            if not lend:
                for tenant in "ab":
                    assert (
                        sum(u for t, u in inside if t == tenant)
                        <= units * (end - start) / S + units + units // turns + 1
                    )
            assert (
                sum(u for _, u in inside)
                <= 2 * (units * (end - start + LEND_US) / S + units + units // turns) + 2
            )


def test_every_window_must_have_room_and_the_time_of_return_is_true() -> None:
    one = budgets({"a": (BudgetWindow(S, 1000, 100), BudgetWindow(60 * S, 3000, 300))})
    now, number = 100 * S + 60 * S, 0
    assert one.ask(now, "a", 0, 100, 0, 0).over is False
    while not (verdict := let_in(one, now, number, prompt=300, most=0)).over:
        one.settle(now, number, 0, 0, False)
        number += 1
    assert number == 3 and verdict.window == S and verdict.wait > 0
    assert one.ask(now + verdict.wait - 20_000, "a", 0, 300, 0, 0).over is True
    assert one.ask(now + verdict.wait, "a", 0, 300, 0, 0).over is False  # who comes on time is within it
    for second in range(1, 60):
        while not (verdict := let_in(one, now + second * S, number, prompt=300, most=0)).over:
            one.settle(now + second * S, number, 0, 0, False)
            number += 1
    assert verdict.window == 60 * S  # the minute's is short now
    later = now + 59 * S + verdict.wait
    assert one.ask(later, "a", 0, 300, 0, 0).over is False
    assert one.ask(now, "a", 0, 10_000, 0, 0).wait == -1  # more than it ever has
    assert one.ask(now, "stranger", 0, 10**6, 0, 0).over is False  # without a budget nothing is counted


def test_a_tenant_with_less_than_a_request_for_each_node_gets_its_turns() -> None:
    window = BudgetWindow(S, 2000, 1000)  # two requests a second, at 190 nodes
    nodes = [budgets({"a": (window,)}, replicas=190, slot=slot) for slot in range(190)]
    served = [0] * 190
    for step in range(0, 190 * S, 100_000):
        for slot, node in enumerate(nodes):
            if not let_in(node, 100 * S + step, step, prompt=1000, most=0).over:
                node.settle(100 * S + step, step, 0, 0, False)
                served[slot] += 1
    assert min(served) >= 1 and sum(served) <= 2 * 191 + 2


def test_an_estimate_is_learnt_by_class_and_tenant_and_a_tenant_poisons_only_its_own() -> None:
    one = budgets({"a": (BudgetWindow(S, 10**9),), "b": (BudgetWindow(S, 10**9),)})
    assert one.estimate("a", 0, 1000) == 500
    chance = random.Random(1)
    for n in range(200):
        for tenant, cls, tokens in (("a", 0, chance.randrange(40, 60)), ("a", 1, 300), ("b", 0, 1000)):
            let_in(one, 101 * S, n, tenant, cls=cls, most=1000)
            one.settle(101 * S, n, 0, tokens, True)
    assert 45 <= one.estimate("a", 0, 1000) <= 65 and one.estimate("a", 1, 1000) == 300
    assert one.estimate("b", 0, 1000) == 1000 and one.estimate("a", 0, 20) == 20
    use = one.use("a")
    assert use.requests == 400 and use.held_back == 0 and use.off < 0.5 * use.used
    before = one.estimate("a", 0, 1000)
    for n in range(300):  # huge prompts that are cancelled at once teach nothing, and are given back
        let_in(one, 101 * S, n, "a", prompt=10**5)
        one.settle(101 * S, n, 0, -1, False)
    assert one.estimate("a", 0, 1000) == before


def test_what_was_written_beyond_the_estimate_is_paid_from_turns_to_come() -> None:
    one = budgets({"a": (BudgetWindow(S, 1000, 100),)})
    now = 102 * S
    let_in(one, now, 1, prompt=100, most=200)  # thought to be 100 + 100
    one.settle(now, 1, 0, 900, True)
    assert one.ask(now, "a", 0, 10, 0, 0).over and one.ask(now + 150_000, "a", 0, 10, 0, 0).over is False
    let_in(one, now + S, 2, prompt=500, most=0)
    one.settle(now + S, 2, 400, 0, True)  # and what was kept costs less
    assert one.use("a").used == 100 + 900 + 100


def test_idle_budget_is_lent_and_the_owner_finds_its_own_untouched() -> None:
    def served(lend: bool, owner_busy: bool) -> tuple[int, int]:
        windows = {"a": (BudgetWindow(S, 1000, 100),), "b": (BudgetWindow(S, 1000, 100),)}
        one, counts = budgets(windows, lend=lend), [0, 0]
        for n in range(4000):
            now = 101 * S + n * 5_000
            for who, tenant in enumerate("ab"):
                if (tenant == "a" or (owner_busy and n % 20 == 0)) and not let_in(
                    one, now, 2 * n + who, tenant, 100, 0
                ).over:
                    one.settle(now, 2 * n + who, 0, 0, False)
                    counts[who] += 1
        return counts[0], counts[1]

    alone, lent = served(False, False)[0], served(True, False)[0]
    assert lent > 1.8 * alone
    assert served(True, True)[1] == served(False, True)[1] == 200  # all that the owner asked for


def test_a_day_is_counted_by_the_calendar_over_restarts_and_clocks_that_step_back() -> None:
    day = {"a": (BudgetWindow(DAY, 40_000),)}
    one = budgets(day, replicas=8, spread=4.0)
    for n in range(20):  # its part: half, since its traffic may meet every second node only
        assert not let_in(one, 100 * S, n, prompt=1000, most=0).over
        one.settle(100 * S, n, 0, 0, False)
    full = let_in(one, 100 * S, 99, prompt=1000, most=0)
    assert full.over and full.window == DAY and full.wait == DAY - 100 * S
    again = budgets(day, replicas=8, spread=4.0)  # after a restart, by the ledger's word
    again.recovered(100 * S, "a", 20_000)
    assert let_in(again, 100 * S, 1, prompt=1000, most=0).over
    assert not let_in(again, DAY + 10 * S, 2, prompt=1000, most=0).over  # the next day
    again.settle(DAY + 10 * S, 2, 0, 0, False)
    assert again.tenants["a"].days[0].used == 1000
    assert (
        again._number(day["a"][0], 100 * S)[0] == 1
    )  # a clock that steps back over midnight starts no new day


def test_windows_that_mean_nothing_are_turned_down() -> None:
    for wrong in ((0, 1, 0), (1, 0, 0), (1, 1, 2)):
        with pytest.raises(ValueError, match="window"):
            BudgetWindow(*wrong)
