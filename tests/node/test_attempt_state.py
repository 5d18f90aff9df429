"""What an attempt's state allows, question by question, and what a node counts of itself."""

from __future__ import annotations

import itertools

import pytest

from tuliptrack.interface import EndpointState, Idempotency
from tuliptrack.node.attempt_state import (
    HELD_UP_US,
    Delivery,
    Verdict,
    has_arrived,
    may_have_run,
    may_refuse,
    may_repeat,
    may_send,
    repeat_by,
)
from tuliptrack.node.counters import Counters, InvariantError, RequestTrace

WINDOW = 2_000_000


def test_what_may_have_run_and_what_has_arrived_are_different_questions() -> None:
    assert [may_have_run(state) for state in Delivery] == [False, True, True, True]
    assert [has_arrived(state) for state in Delivery] == [False, False, True, True]


def test_an_attempt_begins_only_for_a_request_that_waits_at_a_server_that_is_ready() -> None:
    assert may_send(False, False, False, EndpointState.READY)
    for ended, left, in_flight, server in itertools.product(
        (False, True), (False, True), (False, True), (None, *EndpointState)
    ):
        wanted = not (ended or left or in_flight) and server is EndpointState.READY
        assert bool(may_send(ended, left, in_flight, server)) is wanted
    assert may_send(True, True, True, None) is Verdict.ENDED


@pytest.mark.parametrize(
    ("effect", "late", "verdict"),
    [
        (Idempotency.IDEMPOTENT, 10 * WINDOW, Verdict.YES),
        (Idempotency.NOT_IDEMPOTENT, 0, Verdict.MAY_HAVE_RUN),
        (Idempotency.WITH_KEY, WINDOW, Verdict.YES),
        (Idempotency.WITH_KEY, WINDOW + 1, Verdict.WINDOW_OVER),
    ],
)
def test_what_may_have_run_is_repeated_by_its_effect(
    effect: Idempotency, late: int, verdict: Verdict
) -> None:
    assert may_repeat(effect, 1_000, WINDOW, 1_000 + late) is verdict
    assert may_repeat(effect, 0, WINDOW, 1_000 + late) is Verdict.YES, "nothing has run"


def test_a_repeat_leaves_time_for_a_node_that_is_held_up() -> None:
    assert repeat_by(Idempotency.WITH_KEY, 1_000, WINDOW) == 1_000 + WINDOW - HELD_UP_US
    assert repeat_by(Idempotency.WITH_KEY, 1_000, 100_000) == 51_000, "a short window is not taken away whole"
    assert repeat_by(Idempotency.IDEMPOTENT, 1_000, WINDOW) == repeat_by(Idempotency.WITH_KEY, 0, WINDOW) == 0


def test_only_what_had_no_effect_is_refused() -> None:
    assert may_refuse(Idempotency.IDEMPOTENT, True) and may_refuse(Idempotency.NOT_IDEMPOTENT, False)
    assert not may_refuse(Idempotency.NOT_IDEMPOTENT, True) and not may_refuse(Idempotency.WITH_KEY, True)


def test_a_broken_invariant_is_counted_with_the_history_and_raised_where_asked_for(
    no_invariant_is_violated: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    counters, trace = Counters(), RequestTrace(1_000)
    trace.add(3_500, "read 0 at 7")
    counters.violated("in_flight", trace, request=5)
    assert counters.as_dict() == {"violations_in_flight": 1}
    assert "2.5 read 0 at 7" in counters.broken[0] and "5" in counters.broken[0]
    monkeypatch.setattr(Counters, "strict", True)
    with pytest.raises(InvariantError):
        counters.violated("in_flight")
    assert len(no_invariant_is_violated) == 2
    no_invariant_is_violated.clear()


def test_a_history_is_bounded() -> None:
    trace = RequestTrace(0)
    for step in range(1_000):
        trace.add(step, f"step {step}")
    assert len(str(trace).split(" | ")) == 48 and str(trace).endswith("step 999")
