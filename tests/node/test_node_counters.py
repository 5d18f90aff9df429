"""Counters of a node: violated invariants, and the recorded steps of a request."""

from __future__ import annotations

import pytest

from tuliptrack.node.counters import MAX_TRACE_STEPS, Counters, InvariantError, RequestTrace


def test_violated_invariant_is_counted_with_the_trace_and_raised_in_strict_mode(
    no_invariant_is_violated: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    counters, trace = Counters(), RequestTrace(1_000)
    trace.add(3_500, "prefill 0 at 7")
    counters.record_violation("attempt_in_flight", trace, request=5)
    assert counters.as_dict() == {"violations_attempt_in_flight": 1}
    assert "2.5 prefill 0 at 7" in counters.violations[0] and "5" in counters.violations[0]
    monkeypatch.setattr(Counters, "strict", True)
    with pytest.raises(InvariantError):
        counters.record_violation("attempt_in_flight")
    assert len(no_invariant_is_violated) == 2
    no_invariant_is_violated.clear()


def test_trace_is_bounded() -> None:
    trace = RequestTrace(0)
    for step in range(1_000):
        trace.add(step, f"step {step}")
    assert len(str(trace).split(" | ")) == MAX_TRACE_STEPS and str(trace).endswith("step 999")
