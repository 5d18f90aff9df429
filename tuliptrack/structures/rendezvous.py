"""Weighted rendezvous hashing: all processes rank members alike, and a change of members moves few keys.

A member's score for a key is `weight / -ln(u)`, where u is the hash of the key and the member as a number
between 0 and 1. Ranking needs the hashes of all members, so they are computed together: the hashes of the
members' ids are packed into one large integer, in lanes of 128 bits, and each mixing step is applied to that
integer. A product of 64 by 64 bits fits into a lane, so no lane carries into the next. This is much faster
than hashing the members one by one, and needs only the standard library (`bench/structures.py`).
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from heapq import nlargest
from typing import Generic, TypeVar

__all__ = ["MAX_CACHED_RANKINGS", "Ranking", "RendezvousHasher", "mix", "rendezvous_score"]

T = TypeVar("T")
HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
MIX_INCREMENT = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER, SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB
MIX_SHIFTS = FIRST_SHIFT, SECOND_SHIFT, LAST_SHIFT = 30, 27, 31
LANE_BYTES = 16
LANE_WORDS = 2
"""64-bit words in a lane; the lower one holds the hash."""
HEAD_COUNT = 24
"""Number of members ranked in the first step; most callers use only the first few members of a ranking."""
LIKELY_EXCESS = 3
"""Ratio of the expected number of members above the hash bound of `likely_top` to the number requested."""
MAX_CACHED_RANKINGS = 1_000


def mix(value: int) -> int:
    """Return a fixed 64-bit hash (the finaliser of SplitMix64), the same in all processes."""
    value = (value + MIX_INCREMENT) & HASH_MASK
    value = ((value ^ (value >> FIRST_SHIFT)) * FIRST_MULTIPLIER) & HASH_MASK
    value = ((value ^ (value >> SECOND_SHIFT)) * SECOND_MULTIPLIER) & HASH_MASK
    return value ^ (value >> LAST_SHIFT)


def rendezvous_score(key: int, member_id: int, weight: float) -> float:
    """Return the score of one member for a key."""
    return _score(mix(key ^ mix(member_id)), weight)


def _score(hash_value: int, weight: float) -> float:
    return weight / -math.log((hash_value + 1) / (2**HASH_BITS + 1))


class RendezvousHasher(Generic[T]):
    """Ranks a fixed set of members for any key. It caches at most `MAX_CACHED_RANKINGS` rankings."""

    def __init__(self, members: Sequence[T], ids: Sequence[int], weights: Sequence[float]) -> None:
        """Prepare to rank `members`; `ids` and `weights` are in the same order."""
        self.members = members
        self._weights = weights
        self._has_equal_weights = len(set(weights)) <= 1
        """With equal weights, scores have the same order as hashes, so hashes are ranked directly."""
        self._ones = _pack_lanes([1] * len(members))
        self._hashed_ids = _pack_lanes([mix(member_id) for member_id in ids])
        self._increments = MIX_INCREMENT * self._ones
        self._mask = HASH_MASK * self._ones
        self._shift_masks = [(HASH_MASK >> shift) * self._ones for shift in MIX_SHIFTS]
        """For each shift, a mask that clears the bits shifted in from the next lane."""
        self._rankings: dict[int, Ranking[T]] = {}

    def hashes(self, key: int) -> list[int]:
        """Return the hash of each member for a key: `mix(key ^ mix(member_id))`."""
        if not self.members:
            return []
        first_mask, second_mask, last_mask = self._shift_masks
        lanes = ((self._hashed_ids ^ (key & HASH_MASK) * self._ones) + self._increments) & self._mask
        lanes = (lanes ^ (lanes >> FIRST_SHIFT & first_mask)) * FIRST_MULTIPLIER & self._mask
        lanes = (lanes ^ (lanes >> SECOND_SHIFT & second_mask)) * SECOND_MULTIPLIER & self._mask
        lanes ^= lanes >> LAST_SHIFT & last_mask
        words = memoryview(lanes.to_bytes(LANE_BYTES * len(self.members), "little")).cast("Q").tolist()
        return words[::LANE_WORDS]

    def scores(self, key: int) -> Sequence[float]:
        """Return the values by which members are ranked for a key, highest first: scores or hashes."""
        hashes = self.hashes(key)
        if self._has_equal_weights:
            return hashes
        return [_score(hash_value, weight) for hash_value, weight in zip(hashes, self._weights, strict=True)]

    def likely_top(self, scores: Sequence[float], count: int) -> list[int]:
        """Return positions that are guaranteed to include those of the `count` highest scores.

        Hashes are uniformly distributed, so a fixed bound selects about `LIKELY_EXCESS` * `count` of the
        highest.

        Returns:
            The positions, or an empty list if weights differ or fewer than `count` hashes exceed the bound.
        """
        if not self._has_equal_weights:
            return []
        bound = HASH_MASK - HASH_MASK * LIKELY_EXCESS * count // len(self.members)
        found = [position for position, hash_value in enumerate(scores) if hash_value > bound]
        return found if len(found) >= count else []

    def ranking(self, key: int) -> Ranking[T]:
        """Return the members in the order for a key. Rankings are cached and computed lazily."""
        cached = self._rankings.get(key)
        if cached is None:
            if len(self._rankings) >= MAX_CACHED_RANKINGS:
                self._rankings.clear()
            cached = self._rankings[key] = Ranking(self, key)
        return cached


class Ranking(Generic[T]):
    """Members by descending score for one key; members with equal scores keep their order."""

    __slots__ = ("_hasher", "_key", "_ranked")

    def __init__(self, hasher: RendezvousHasher[T], key: int) -> None:
        """Prepare to rank; nothing is computed until the first iteration."""
        self._hasher, self._key = hasher, key
        self._ranked: list[T] = []

    def __len__(self) -> int:
        return len(self._hasher.members)

    def __iter__(self) -> Iterator[T]:
        position = 0
        while position < len(self):
            if position >= len(self._ranked):
                self._rank(HEAD_COUNT if not self._ranked else len(self))
            yield self._ranked[position]
            position += 1

    def _rank(self, count: int) -> None:
        scores, members = self._hasher.scores(self._key), self._hasher.members
        positions: Sequence[int] = range(len(members))
        if count < len(members):
            positions = self._hasher.likely_top(scores, count) or positions
            positions = nlargest(count, positions, key=scores.__getitem__)
        else:
            positions = sorted(positions, key=scores.__getitem__, reverse=True)
        self._ranked = [members[position] for position in positions]

    def __contains__(self, member: object) -> bool:
        return member in self._hasher.members


def _pack_lanes(values: Sequence[int]) -> int:
    return int.from_bytes(b"".join(value.to_bytes(LANE_BYTES, "little") for value in values), "little")
