"""The structures against plain ones, over random sequences of events."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.sketch import Sketch
from tuliptrack.structures.wheel import Wheel

STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("set"),
            st.integers(0, 12),
            st.one_of(*(st.integers(0, most) for most in (5_000, 10**9, 10**15))),
        ),
        st.tuples(st.just("drop"), st.integers(0, 12), st.just(0)),
        st.tuples(
            st.just("go"),
            st.just(0),
            st.one_of(st.integers(0, 3_000), st.integers(0, 10**8), st.integers(0, 10**12)),
        ),
    ),
    max_size=60,
)


@examples(max_examples=400, deadline=None, derandomize=True)
@given(STEPS, st.integers(0, 10**12), st.sampled_from([1, 7, 1000]))
def test_a_wheel_gives_out_what_a_sorted_list_would(
    steps: list[tuple[str, int, int]], start: int, tick: int
) -> None:
    wheel: Wheel[int] = Wheel(start, tick)
    now, plain = start, dict[int, int]()
    for what, key, value in steps:
        if what == "set":
            wheel.set(key, now + value)
            plain[key] = max(-(-(now + value) // tick), now // tick + 1)
        elif what == "drop":
            wheel.drop(key)
            plain.pop(key, None)
        else:
            now += value
            came = list(wheel.advance(now))
            expected = sorted((due, k) for k, due in plain.items() if due <= now // tick)
            assert sorted(came) == sorted(k for _, k in expected)
            assert [plain[k] for k in came] == [due for due, _ in expected]  # in the order of their times
            for k in came:
                del plain[k]
        assert wheel.due == plain and len(wheel) == len(plain)


def test_keys_may_be_set_again_while_they_come_out() -> None:
    wheel: Wheel[str] = Wheel(0)
    wheel.set("a", 1_000)
    seen = []
    for key in wheel.advance(10_000):
        seen.append(wheel.at)
        wheel.set(key, wheel.at * 1_000 + 2_000)
    assert seen == [1, 3, 5, 7, 9]


@examples(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 1000)), max_size=300), st.integers(1, 15))
def test_a_sketch_is_never_too_low_and_too_high_by_a_bounded_part(
    adds: list[tuple[int, int]], size: int
) -> None:
    sketch, plain = Sketch(size), Counter[str]()
    for number, amount in adds:
        sketch.add(str(number), amount)
        plain[str(number)] += amount
    assert len(sketch.counts) <= size and len(sketch._heap) == len(sketch.counts)
    found = {h.name: h for h in sketch.top(size)}
    for name, heavy in found.items():
        assert (
            heavy.amount - heavy.error <= plain[name] <= heavy.amount and heavy.error <= sketch.total / size
        )
    for name, amount in plain.items():
        assert name in found or amount <= sketch.total / size


def test_the_flooder_among_a_hundred_thousand_names_is_found() -> None:
    chance, sketch = random.Random(1), Sketch(256)
    for n in range(100_000):
        sketch.add(f"one-time-{n}", chance.randrange(1, 100))
        if n % 20 == 0:
            sketch.add("flooder", 500)
    first = sketch.top(1)[0]
    assert first.name == "flooder" and first.amount - first.error > 0.9 * 2_500_000 * 0.9
