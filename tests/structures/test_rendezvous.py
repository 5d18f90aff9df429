"""Rendezvous rankings compared with scores computed one by one."""

from __future__ import annotations

import math
from random import Random

import pytest

from tuliptrack.structures.rendezvous import MAX_CACHED_RANKINGS, RendezvousHasher, mix, rendezvous_score


@pytest.mark.parametrize("member_count", [0, 1, 2, 3, 23, 24, 25, 200, 850])
@pytest.mark.parametrize("weights", [(1.0,), (0.5, 1.0, 3.0)])
def test_a_ranking_equals_sorting_by_scores_computed_one_by_one(
    member_count: int, weights: tuple[float, ...]
) -> None:
    random = Random(member_count)
    ids = [random.getrandbits(64) for _ in range(member_count)]
    member_weights = [random.choice(weights) for _ in ids]
    hasher = RendezvousHasher(list(range(member_count)), ids, member_weights)
    for key in (0, 1, 2**64 - 1, *(random.getrandbits(64) for _ in range(12))):
        assert hasher.hashes(key) == [mix(key ^ mix(member_id)) for member_id in ids]
        scores = [
            rendezvous_score(key, member_id, weight)
            for member_id, weight in zip(ids, member_weights, strict=True)
        ]
        expected = sorted(range(member_count), key=scores.__getitem__, reverse=True)
        ranking = hasher.ranking(key)
        assert [member for member, _ in zip(ranking, range(3), strict=False)] == expected[:3], (
            "reading only the first members"
        )
        assert list(ranking) == expected and len(ranking) == member_count


def test_scores_follow_weights_and_rankings_are_bounded() -> None:
    won = 0
    for key in range(2_000):
        won += rendezvous_score(key, 1, 3.0) > rendezvous_score(key, 2, 1.0)
    assert math.isclose(won / 2_000, 0.75, abs_tol=0.04), "three times the weight, three times the keys"
    hasher = RendezvousHasher([1, 2, 3], [1, 2, 3], [1.0, 1.0, 1.0])
    for key in range(5_000):
        hasher.ranking(key)
    assert len(hasher._rankings) <= MAX_CACHED_RANKINGS == 1_000
