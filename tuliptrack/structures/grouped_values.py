"""Values of members by group, indexed so that counts up to a bound and low medians need no full scan.

Each group is a sorted list that is searched by bisection. Queries may exclude some members; the cost of a
query grows with the number of excluded members.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Collection, Hashable, Iterable, Iterator
from itertools import islice
from typing import Generic, TypeVar

__all__ = ["GroupedValues"]

G = TypeVar("G", bound=Hashable)


class GroupedValues(Generic[G]):
    """Maps the integer key of each member to a group and a value; holds the members put and not removed."""

    __slots__ = ("_groups", "_members")

    def __init__(self) -> None:
        self._groups: dict[G, list[tuple[float, int]]] = {}
        """`(value, key)` pairs of each group's members, in ascending order."""
        self._members: dict[int, tuple[G, float]] = {}
        """Group and value of each member."""

    def put(self, key: int, group: G, value: float) -> None:
        """Add a member, or change its group or value."""
        if self._members.get(key) == (group, value):
            return
        self.remove(key)
        self._members[key] = (group, value)
        insort(self._groups.setdefault(group, []), (value, key))

    def remove(self, key: int) -> None:
        """Remove a member, if there is one with this key."""
        member = self._members.pop(key, None)
        if member is None:
            return
        group, value = member
        values = self._groups[group]
        del values[bisect_left(values, (value, key))]
        if not values:
            del self._groups[group]

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, key: object) -> bool:
        return key in self._members

    def counts_up_to(self, bound: float, excluded: Collection[int]) -> dict[G, int]:
        """Return how many members of each group have a value of at most the bound.

        Every key in `excluded` must be the key of a member.
        """
        counts = {group: bisect_right(values, bound, key=_value) for group, values in self._groups.items()}
        for key in excluded:
            group, value = self._members[key]
            counts[group] -= value <= bound
        return counts

    def ascending(self, group: G, above: float = -math.inf) -> Iterator[tuple[float, int]]:
        """Iterate over the `(value, key)` pairs of a group with values above a bound, in ascending order."""
        values = self._groups.get(group, [])
        return islice(values, bisect_right(values, above, key=_value), None)

    def low_median(self, excluded: Collection[int], groups: Iterable[G] | None = None) -> float:
        """Return the median value of all members or of some groups; of two middle values the lower one.

        Raises:
            ValueError: no member of the groups is left after the exclusions.
        """
        selected = self._groups.keys() if groups is None else set(groups)
        values = self._merged(selected)
        skipped = self._sorted_values(excluded, selected)
        count = len(values) - len(skipped)
        if not count:
            raise ValueError("no median: no members are left after exclusions")
        index = (count - 1) // 2
        for pair in skipped:  # Ascending: each excluded pair at or below the index shifts the median by one.
            if pair > values[index]:
                break
            index += 1
        return values[index][0]

    def _merged(self, groups: Collection[G]) -> list[tuple[float, int]]:
        lists = [values for group, values in self._groups.items() if group in groups]
        return lists[0] if len(lists) == 1 else sorted(pair for values in lists for pair in values)

    def _sorted_values(self, keys: Collection[int], groups: Collection[G]) -> list[tuple[float, int]]:
        """Return the `(value, key)` pairs of the given keys in the given groups, in ascending order."""
        pairs = []
        for key in keys:
            group, value = self._members[key]
            if group in groups:
                pairs.append((value, key))
        return sorted(pairs)


def _value(pair: tuple[float, int]) -> float:
    return pair[0]
