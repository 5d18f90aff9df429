"""Grouped values compared with a plain dictionary, over random sequences of changes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.grouped_values import GroupedValues

KEYS = st.integers(0, 12)
VALUES = st.sampled_from((0.0, 0.1, 0.25, 0.5, 1.0))
FAST = examples(max_examples=150, deadline=None, derandomize=True)


def plain_low_median(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]


@FAST
@given(
    st.lists(st.tuples(KEYS, st.sampled_from("abc"), VALUES, st.booleans()), max_size=40),
    st.sets(KEYS),
    VALUES,
    st.sets(st.sampled_from("abc")),
)
def test_values_are_counted_and_their_median_found_with_some_excluded(
    steps: list[tuple[int, str, float, bool]], excluded_keys: set[int], bound: float, wanted: set[str]
) -> None:
    grouped: GroupedValues[str] = GroupedValues()
    plain: dict[int, tuple[str, float]] = {}
    for key, group, value, removed in steps:
        if removed:
            grouped.remove(key)
            plain.pop(key, None)
        else:
            grouped.put(key, group, value)
            plain[key] = (group, value)
    excluded = excluded_keys & plain.keys()
    included = [member for key, member in plain.items() if key not in excluded]
    counts = grouped.counts_up_to(bound, excluded)
    for group in "abc":
        assert counts.get(group, 0) == sum(g == group and value <= bound for g, value in included)
    for groups in (None, wanted):
        values = [value for g, value in included if groups is None or g in groups]
        if values:
            assert grouped.low_median(excluded, groups) == plain_low_median(values)
        elif plain:
            with pytest.raises(ValueError, match="no median"):
                grouped.low_median(excluded, groups)
    assert len(grouped) == len(plain)
