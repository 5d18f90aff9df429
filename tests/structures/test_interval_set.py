"""The interval set compared with a plain set, over random additions."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.interval_set import IntervalSet


@examples(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 60), st.integers(0, 20)), max_size=30))
def test_an_interval_set_counts_as_a_plain_set_does(adds: list[tuple[int, int]]) -> None:
    intervals, plain = IntervalSet(), set[int]()
    for start, size in adds:
        new = set(range(start, start + size)) - plain
        assert intervals.add(start, start + size) == len(new)
        plain |= new
        assert len(intervals) == len(plain)
        assert all(end < start for end, start in zip(intervals.ends, intervals.starts[1:], strict=False))
