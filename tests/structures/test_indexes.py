"""The indexes of the decisions beside plain ones: the same answers, whatever is put in and taken out."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.grouped_values import GroupedValues
from tuliptrack.structures.rendezvous import RendezvousColumn, mix, rendezvous_score
from tuliptrack.structures.sorted_members import SortedMembers

KEYS = st.integers(0, 12)
VALUES = st.sampled_from((0.0, 0.1, 0.25, 0.5, 1.0))
FAST = examples(max_examples=150, deadline=None, derandomize=True)


@FAST
@given(st.lists(st.tuples(st.booleans(), KEYS, st.integers(0, 99)), max_size=60))
def test_sorted_members_are_found_by_key_by_place_and_in_turn(steps: list[tuple[bool, int, int]]) -> None:
    members: SortedMembers[int] = SortedMembers()
    plain: dict[int, int] = {}
    for put, key, member in steps:
        if put:
            members.put(key, member)
            plain[key] = member
        else:
            members.remove(key)
            plain.pop(key, None)
        ordered = [plain[key] for key in sorted(plain)]
        assert list(members) == ordered == [members[place] for place in range(len(members))]
        assert set(members.keys()) == plain.keys() and all(
            (key in members) == (key in plain) for key in range(13)
        )


def plain_low_median(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]


@FAST
@given(
    st.lists(st.tuples(KEYS, st.sampled_from("abc"), VALUES, st.booleans()), max_size=40),
    st.sets(KEYS),
    VALUES,
    st.sets(st.sampled_from("abc")),
)
def test_grouped_values_are_counted_and_their_median_found_with_some_left_out(
    steps: list[tuple[int, str, float, bool]], left_out: set[int], bound: float, wanted: set[str]
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
    without = left_out & plain.keys()
    kept = [place for key, place in plain.items() if key not in without]
    counts = grouped.counts(bound, without)
    for group in "abc":
        assert counts.get(group, 0) == sum(g == group and value <= bound for g, value in kept)
    for groups in (None, wanted):
        values = [value for g, value in kept if groups is None or g in groups]
        if values:
            assert grouped.low_median(without, groups) == plain_low_median(values)
        elif plain:
            with pytest.raises(ValueError, match="no median"):
                grouped.low_median(without, groups)
    assert len(grouped) == len(plain)


@pytest.mark.parametrize("members", [0, 1, 2, 3, 23, 24, 25, 200, 850])
@pytest.mark.parametrize("weights", [(1.0,), (0.5, 1.0, 3.0)])
def test_a_ranking_is_that_of_one_score_after_another(members: int, weights: tuple[float, ...]) -> None:
    chance = Random(members)
    numbers = [chance.getrandbits(64) for _ in range(members)]
    sizes = [chance.choice(weights) for _ in numbers]
    column = RendezvousColumn(list(range(members)), numbers, sizes)
    for key in (0, 1, 2**64 - 1, *(chance.getrandbits(64) for _ in range(12))):
        assert column.hashes(key) == [mix(key ^ mix(number)) for number in numbers]
        scores = [rendezvous_score(key, number, size) for number, size in zip(numbers, sizes, strict=True)]
        plain = sorted(range(members), key=scores.__getitem__, reverse=True)
        ranking = column.ranking(key)
        assert [member for member, _ in zip(ranking, range(3), strict=False)] == plain[:3], (
            "the first ones alone"
        )
        assert list(ranking) == plain and len(ranking) == members


def test_scores_follow_weights_and_rankings_are_bounded() -> None:
    won = 0
    for key in range(2_000):
        won += rendezvous_score(key, 1, 3.0) > rendezvous_score(key, 2, 1.0)
    assert math.isclose(won / 2_000, 0.75, abs_tol=0.04), "three times the weight, three times the keys"
    column = RendezvousColumn([1, 2, 3], [1, 2, 3], [1.0, 1.0, 1.0])
    for key in range(5_000):
        column.ranking(key)
    assert len(column._rankings) <= 1_000
