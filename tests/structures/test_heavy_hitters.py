"""Heavy hitters compared with exact sums."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.heavy_hitters import HeavyHitterSketch


@examples(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 1000)), max_size=300), st.integers(1, 15))
def test_an_amount_is_never_underestimated_and_overestimated_by_a_bounded_part(
    adds: list[tuple[int, int]], size: int
) -> None:
    sketch, exact = HeavyHitterSketch(size), Counter[str]()
    for number, amount in adds:
        sketch.add(str(number), amount)
        exact[str(number)] += amount
    assert len(sketch.counters) <= size and len(sketch._heap) == len(sketch.counters)
    found = {heavy.name: heavy for heavy in sketch.top(size)}
    for name, heavy in found.items():
        assert (
            heavy.amount - heavy.error <= exact[name] <= heavy.amount and heavy.error <= sketch.total / size
        )
    for name, amount in exact.items():
        assert name in found or amount <= sketch.total / size


def test_the_name_with_the_highest_amount_among_a_hundred_thousand_is_found() -> None:
    random, sketch = Random(1), HeavyHitterSketch(256)
    for n in range(100_000):
        sketch.add(f"one-time-{n}", random.randrange(1, 100))
        if n % 20 == 0:
            sketch.add("flooder", 500)
    first = sketch.top(1)[0]
    assert first.name == "flooder" and first.amount - first.error > 0.9 * 2_500_000 * 0.9
