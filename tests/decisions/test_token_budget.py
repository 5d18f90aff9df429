"""Token budgets: their bound over all nodes, reservations and settling, lending, and calendar windows."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.decisions.calendar_window import CalendarClock
from tuliptrack.decisions.lending_pool import LENDING_US
from tuliptrack.decisions.token_budget import (
    BudgetRequest,
    BudgetVerdict,
    BudgetWindow,
    ServedTokens,
    TokenBudgets,
    TokenBudgetSettings,
    TokenWeights,
)

S, DAY = 1_000_000, 86_400_000_000
PROMPT_ONLY = ServedTokens(cached_tokens=0, output_tokens=0)


def budgets_of(
    windows: Mapping[str, tuple[BudgetWindow, ...]],
    replicas: int = 1,
    replica_index: int = 0,
    is_lending: bool = False,
) -> TokenBudgets:
    """Return one node's budgets; an output token or uncached prompt token weighs one unit, a cached one none."""
    settings = TokenBudgetSettings(
        replicas=replicas,
        windows=windows,
        replica_index=replica_index,
        weights=TokenWeights(prompt=1, cached=0, output=1),
        is_lending=is_lending,
    )
    return TokenBudgets(settings, 100 * S)


def request_of(
    tenant: str = "a", prompt_tokens: int = 100, max_output_tokens: int = 0, class_index: int = 0
) -> BudgetRequest:
    return BudgetRequest(tenant, class_index, prompt_tokens, 0, max_output_tokens)


def admit(budgets: TokenBudgets, now_us: int, request_id: int, request: BudgetRequest) -> BudgetVerdict:
    """Reserve the units of a request if it is within its tenant's budgets; return the verdict."""
    verdict = budgets.check(now_us, request)
    if not verdict.is_over:
        budgets.reserve(now_us, request_id, request, verdict)
    return verdict


def serve_prompt(budgets: TokenBudgets, now_us: int, request_id: int, request: BudgetRequest) -> bool:
    """Settle a request by its prompt tokens alone if it is admitted; return whether it was."""
    if admit(budgets, now_us, request_id, request).is_over:
        return False
    budgets.settle(now_us, request_id, PROMPT_ONLY, is_complete=False)
    return True


MOVES = st.lists(
    st.tuples(st.integers(0, 300_000), st.integers(0, 9), st.integers(1, 900), st.integers(0, 100)),
    min_size=1,
    max_size=120,
)


@examples(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(1, 10), st.integers(500, 5000), st.integers(1, 8), st.booleans(), MOVES)
def test_all_nodes_together_stay_within_the_window_and_a_grant_and_reservations_always_settle(
    replicas: int, units: int, grants: int, is_lending: bool, moves: list[tuple[int, int, int, int]]
) -> None:
    """With lending, tenants together keep the sum of their bounds for a period longer by LENDING_US."""
    quantum = units // grants
    window = BudgetWindow(S, units, quantum)
    nodes = [
        budgets_of({"a": (window,), "b": (window,)}, replicas, replica, is_lending)
        for replica in range(replicas)
    ]
    now_us, used = 100 * S, list[tuple[int, str, int]]()
    for number, (gap, node_number, prompt, served_percent) in enumerate(moves):
        now_us += gap
        node, tenant = nodes[node_number % replicas], "ab"[node_number % 2]
        verdict = admit(node, now_us, number, request_of(tenant, prompt))
        if not verdict.is_over:
            assert verdict.reserved_units <= prompt + 1
            is_served = served_percent > 20
            node.settle(now_us, number, PROMPT_ONLY if is_served else None, is_complete=False)
            used.append((now_us, tenant, prompt if is_served else 0))
        assert not node.open_reservations and all(node.usage(t).open_units == 0 for t in "ab")
    for start, _, _ in used:
        for end in (start + 200_000, start + S, now_us):
            inside = [(t, u) for at, t, u in used if start <= at <= end]
            if not is_lending:
                bound = units * (end - start) / S + units + quantum + 1
                for tenant in "ab":
                    assert sum(u for t, u in inside if t == tenant) <= bound
            moved_bound = units * (end - start + LENDING_US) / S + units + quantum
            assert sum(u for _, u in inside) <= 2 * moved_bound + 2


def test_every_window_must_have_capacity_and_the_retry_delay_is_exact() -> None:
    budgets = budgets_of({"a": (BudgetWindow(S, 1000, 100), BudgetWindow(60 * S, 3000, 300))})
    request, now_us, number = request_of(prompt_tokens=300), 100 * S + 60 * S, 0
    assert budgets.check(now_us, request_of(prompt_tokens=100)).is_over is False
    while serve_prompt(budgets, now_us, number, request):
        number += 1
    verdict = budgets.check(now_us, request)
    assert number == 3 and verdict.window_us == S
    assert verdict.retry_after_us is not None and verdict.retry_after_us > 0
    assert budgets.check(now_us + verdict.retry_after_us - 20_000, request).is_over is True
    assert budgets.check(now_us + verdict.retry_after_us, request).is_over is False
    for second in range(1, 60):
        while serve_prompt(budgets, now_us + second * S, number, request):
            number += 1
    verdict = budgets.check(now_us + 59 * S, request)
    assert verdict.window_us == 60 * S  # now the window of a minute lacks units
    assert verdict.retry_after_us is not None
    assert budgets.check(now_us + 59 * S + verdict.retry_after_us, request).is_over is False
    never = budgets.check(now_us, request_of(prompt_tokens=10_000))  # more units than a window ever has
    assert never.retry_after_us is None
    without_budget = budgets.check(now_us, request_of("stranger", 10**6))
    assert without_budget.is_over is False


def test_a_tenant_with_less_than_a_request_for_each_node_gets_its_grants() -> None:
    window = BudgetWindow(S, 2000, 1000)  # two requests a second, for 190 nodes together
    nodes = [budgets_of({"a": (window,)}, replicas=190, replica_index=replica) for replica in range(190)]
    served = [0] * 190
    for step in range(0, 190 * S, 100_000):
        for replica, node in enumerate(nodes):
            served[replica] += serve_prompt(node, 100 * S + step, step, request_of(prompt_tokens=1000))
    assert min(served) >= 1 and sum(served) <= 2 * 191 + 2


def test_estimates_are_learnt_by_class_and_tenant_and_a_tenant_affects_only_its_own() -> None:
    budgets = budgets_of({"a": (BudgetWindow(S, 10**9),), "b": (BudgetWindow(S, 10**9),)})

    def expected(tenant: str, class_index: int, max_output_tokens: int) -> int:
        request = request_of(tenant, 100, max_output_tokens, class_index)
        return budgets.expected_output_tokens(request)

    assert expected("a", 0, 1000) == 500
    rng = random.Random(1)
    for n in range(200):
        for tenant, class_index, tokens in (
            ("a", 0, rng.randrange(40, 60)),
            ("a", 1, 300),
            ("b", 0, 1000),
        ):
            admit(budgets, 101 * S, n, request_of(tenant, 100, 1000, class_index))
            budgets.settle(101 * S, n, ServedTokens(0, tokens), is_complete=True)
    assert 45 <= expected("a", 0, 1000) <= 65 and expected("a", 1, 1000) == 300
    assert expected("b", 0, 1000) == 1000 and expected("a", 0, 20) == 20
    usage = budgets.usage("a")
    assert usage.requests == 400 and usage.open_units == 0
    assert usage.estimate_error_units < 0.5 * usage.used_units
    before = expected("a", 0, 1000)
    for n in range(300):  # long prompts cancelled at once are refunded and change no estimate
        admit(budgets, 101 * S, n, request_of("a", 10**5, 200))
        budgets.settle(101 * S, n, None, is_complete=False)
    assert expected("a", 0, 1000) == before


def test_what_was_used_beyond_the_estimate_is_paid_from_the_next_grants() -> None:
    budgets = budgets_of({"a": (BudgetWindow(S, 1000, 100),)})
    now_us, small = 102 * S, request_of(prompt_tokens=10)
    admit(budgets, now_us, 1, request_of("a", 100, 200))  # reserves 100 prompt and 100 output tokens
    budgets.settle(now_us, 1, ServedTokens(0, 900), is_complete=True)
    assert budgets.check(now_us, small).is_over
    assert budgets.check(now_us + 150_000, small).is_over is False
    admit(budgets, now_us + S, 2, request_of(prompt_tokens=500))
    budgets.settle(now_us + S, 2, ServedTokens(400, 0), is_complete=True)  # cached tokens weigh nothing here
    assert budgets.usage("a").used_units == 100 + 900 + 100


def test_idle_budget_is_lent_without_reducing_what_its_owner_can_use() -> None:
    def served(is_lending: bool, is_owner_busy: bool) -> tuple[int, int]:
        windows = {"a": (BudgetWindow(S, 1000, 100),), "b": (BudgetWindow(S, 1000, 100),)}
        budgets, counts = budgets_of(windows, is_lending=is_lending), [0, 0]
        for n in range(4000):
            now_us = 101 * S + n * 5_000
            for index, tenant in enumerate("ab"):
                if tenant == "a" or (is_owner_busy and n % 20 == 0):
                    counts[index] += serve_prompt(budgets, now_us, 2 * n + index, request_of(tenant))
        return counts[0], counts[1]

    alone, lent = served(False, False)[0], served(True, False)[0]
    assert lent > 1.8 * alone
    assert served(True, True)[1] == served(False, True)[1] == 200  # all requests of the owner


def test_a_day_is_counted_by_the_calendar_over_restarts_and_clocks_that_step_back() -> None:
    day = {"a": (BudgetWindow(DAY, 40_000),)}
    request = request_of(prompt_tokens=1000)
    budgets = budgets_of(day, replicas=8)
    # This node's part is half of the budget, as the tenant's requests may reach only every second node.
    for n in range(20):
        assert serve_prompt(budgets, 100 * S, n, request)
    full = admit(budgets, 100 * S, 99, request)
    assert full.is_over and full.window_us == DAY and full.retry_after_us == DAY - 100 * S
    restarted = budgets_of(day, replicas=8)
    restarted.restore_usage(100 * S, "a", 20_000)
    assert admit(restarted, 100 * S, 1, request).is_over
    for n in range(20):  # on the next day, the whole part is available again
        assert serve_prompt(restarted, DAY + 10 * S, 2 + n, request)
    # A clock that steps back over midnight must not begin a new day, with the whole budget available again.
    assert admit(restarted, 100 * S, 99, request).is_over


def test_the_calendar_clock_never_steps_back() -> None:
    clock = CalendarClock(epoch_offset_us=5)
    assert [clock.unix_us(now_us) for now_us in (10, 30, 20, 31)] == [15, 35, 35, 36]


def test_windows_out_of_range_are_rejected() -> None:
    for wrong in ((0, 1, 0), (1, 0, 0), (1, 1, 2)):
        with pytest.raises(ValueError, match="window"):
            BudgetWindow(*wrong)


@pytest.mark.parametrize("small_first", [True, False])
def test_a_request_that_one_calendar_window_never_allows_gets_no_retry_delay(small_first: bool) -> None:
    """The finite wait for one window must not hide that another never allows the request.

    The client would retry in vain.
    """
    small, used_up = BudgetWindow(2 * DAY, 500), BudgetWindow(DAY, 2_000)
    budgets = budgets_of({"a": (small, used_up) if small_first else (used_up, small)})
    budgets.restore_usage(100 * S, "a", 1_800)
    verdict = budgets.check(100 * S, request_of(prompt_tokens=600))
    assert verdict.is_over and verdict.retry_after_us is None


def test_complete_outputs_without_tokens_are_learnt_as_empty() -> None:
    """A negative length must not be learnt, as it would lower the units that later requests reserve."""
    budgets = budgets_of({"a": (BudgetWindow(3_600 * S, 1_000_000),)})
    request = request_of(max_output_tokens=1_000)
    for request_id in range(100):
        budgets.reserve(100 * S, request_id, request, budgets.check(100 * S, request))
        budgets.settle(100 * S, request_id, None, is_complete=True)
    assert budgets._estimates._estimates["a", 0].mean_tokens == 0
