"""Weighted rendezvous hashing: every process ranks the members alike for a key, and a change of members moves
few keys.

A member's score for a key is `weight / -ln(u)`, u being the key's and the member's hash as a number between 0
and 1. To find the first members all hashes are needed, so they are worked out at once: the members' own
hashes stand side by side in one large integer, a lane of 128 bits each, and the mixing steps are done on that
integer. A product of 64 by 64 bits fits into a lane, so no lane reaches into the next. For 850 members that
takes a ninth of the time of one member after another (`bench/structures.py`). Standard library only.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from heapq import nlargest
from typing import Generic, TypeVar

__all__ = ["Ranking", "RendezvousColumn", "mix", "rendezvous_score"]

T = TypeVar("T")
_MASK = (1 << 64) - 1
_GAMMA, _FIRST, _SECOND = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0x94D049BB133111EB
_SHIFTS = (30, 27, 31)
_LANE_BYTES = 16
_HEAD = 24  # members ranked first, as most callers look at a few only
_RANKINGS_KEPT = 1_000  # keys whose ranking is kept


def mix(value: int) -> int:
    """A fixed 64-bit mixer (SplitMix64's finaliser), so that all nodes and processes hash alike."""
    value = (value + _GAMMA) & _MASK
    value = ((value ^ (value >> 30)) * _FIRST) & _MASK
    value = ((value ^ (value >> 27)) * _SECOND) & _MASK
    return value ^ (value >> 31)


def rendezvous_score(key: int, member: int, weight: float) -> float:
    """The score of one member for a key."""
    return _score(mix(key ^ mix(member)), weight)


def _score(hashed: int, weight: float) -> float:
    return weight / -math.log((hashed + 1) / (2**64 + 1))


class RendezvousColumn(Generic[T]):
    """Members that are ranked together; made anew when they change."""

    def __init__(self, members: Sequence[T], numbers: Sequence[int], weights: Sequence[float]) -> None:
        """`numbers` are the members' own keys, `weights` their sizes."""
        self.members, self.weights = members, weights
        self._equal = len(set(weights)) <= 1
        """All weigh the same: the order of scores is that of hashes."""
        self._ones = int.from_bytes((1).to_bytes(_LANE_BYTES, "little") * len(members), "little")
        self._lanes = int.from_bytes(
            b"".join(mix(n).to_bytes(_LANE_BYTES, "little") for n in numbers), "little"
        )
        self._gammas = _GAMMA * self._ones
        self._mask = _MASK * self._ones
        self._rankings: dict[int, Ranking[T]] = {}
        self._shift_masks = [(_MASK >> shift) * self._ones for shift in _SHIFTS]

    def hashes(self, key: int) -> list[int]:
        """Each member's hash for a key, as `mix(key ^ mix(number))` gives it."""
        if not self.members:
            return []
        first, second, third = self._shift_masks
        lanes = ((self._lanes ^ (key & _MASK) * self._ones) + self._gammas) & self._mask
        lanes = (lanes ^ (lanes >> _SHIFTS[0] & first)) * _FIRST & self._mask
        lanes = (lanes ^ (lanes >> _SHIFTS[1] & second)) * _SECOND & self._mask
        lanes ^= lanes >> _SHIFTS[2] & third
        return memoryview(lanes.to_bytes(_LANE_BYTES * len(self.members), "little")).cast("Q").tolist()[::2]

    def scores(self, key: int) -> Sequence[float]:
        """By which members are ranked for a key: the higher goes first."""
        hashed = self.hashes(key)
        return hashed if self._equal else [_score(h, w) for h, w in zip(hashed, self.weights, strict=True)]

    def likely(self, scores: Sequence[float], count: int) -> list[int]:
        """Places that are sure to hold the highest scores, so many at least; none where that can't be told at
        once. Hashes are spread evenly, so three times as many lie above a bound that is easily told.
        """
        if not self._equal:
            return []
        bound = _MASK - _MASK * 3 * count // len(self.members)
        found = [place for place, hashed in enumerate(scores) if hashed > bound]
        return found if len(found) >= count else []

    def ranking(self, key: int) -> Ranking[T]:
        """The members in this key's order, ranked as far as they are asked for; kept for the last keys."""
        known = self._rankings.get(key)
        if known is None:
            if len(self._rankings) >= _RANKINGS_KEPT:
                self._rankings.clear()
            known = self._rankings[key] = Ranking(self, key)
        return known


class Ranking(Generic[T]):
    """Members by falling score for one key, of equal ones the earlier first."""

    __slots__ = ("_column", "_key", "_ranked")

    def __init__(self, column: RendezvousColumn[T], key: int) -> None:
        self._column, self._key = column, key
        self._ranked: list[T] = []

    def __len__(self) -> int:
        return len(self._column.members)

    def __iter__(self) -> Iterator[T]:
        place = 0
        while place < len(self):
            if place >= len(self._ranked):
                self._rank(_HEAD if not self._ranked else len(self))
            yield self._ranked[place]
            place += 1

    def _rank(self, count: int) -> None:
        scores, members = self._column.scores(self._key), self._column.members
        places: Sequence[int] = range(len(members))
        if count < len(members):
            places = self._column.likely(scores, count) or places
            places = nlargest(count, places, key=scores.__getitem__)
        else:
            places = sorted(places, key=scores.__getitem__, reverse=True)
        self._ranked = [members[place] for place in places]

    def __contains__(self, member: object) -> bool:
        return member in self._column.members
