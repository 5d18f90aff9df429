"""The timing wheel compared with a sorted list, over random sequences of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.timing_wheel import TimingWheel

STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("schedule"),
            st.integers(0, 12),
            st.one_of(*(st.integers(0, maximum) for maximum in (5_000, 10**9, 10**15))),
        ),
        st.tuples(st.just("cancel"), st.integers(0, 12), st.just(0)),
        st.tuples(
            st.just("advance"),
            st.just(0),
            st.one_of(st.integers(0, 3_000), st.integers(0, 10**8), st.integers(0, 10**12)),
        ),
    ),
    max_size=60,
)


@examples(max_examples=400, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 10**12), st.sampled_from([1, 7, 1000]))
def test_a_wheel_yields_what_a_sorted_list_would(
    steps: list[tuple[str, int, int]], start: int, tick: int
) -> None:
    wheel: TimingWheel[int] = TimingWheel(start, tick)
    now, plain = start, dict[int, int]()
    for action, key, value in steps:
        if action == "schedule":
            wheel.schedule(key, now + value)
            plain[key] = max(-(-(now + value) // tick), now // tick + 1)
        elif action == "cancel":
            wheel.cancel(key)
            plain.pop(key, None)
        else:
            now += value
            yielded = list(wheel.advance(now))
            expected = sorted((due, k) for k, due in plain.items() if due <= now // tick)
            assert sorted(yielded) == sorted(k for _, k in expected)
            assert [plain[k] for k in yielded] == [due for due, _ in expected]  # in order of due time
            for k in yielded:
                del plain[k]
        assert wheel.due_ticks == plain and len(wheel) == len(plain)


def test_keys_may_be_scheduled_again_while_they_are_yielded() -> None:
    wheel: TimingWheel[str] = TimingWheel(0)
    wheel.schedule("a", 1_000)
    seen = []
    for key in wheel.advance(10_000):
        seen.append(wheel.current_tick)
        wheel.schedule(key, wheel.current_tick * 1_000 + 2_000)
    assert seen == [1, 3, 5, 7, 9]
