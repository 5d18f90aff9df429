"""Members with a value each, in groups: counts up to a bound, and low medians, without examining all members.

Each group is a sorted list with bisection. Queries may exclude some members: their cost grows with the number
of excluded ones.
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
    """Values by whole-number key. Bound: the members that were put and not removed."""

    __slots__ = ("_groups", "_members")

    def __init__(self) -> None:
        self._groups: dict[G, list[tuple[float, int]]] = {}
        """Values and keys of each group's members, in rising order."""
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
        """Return how many members of each group have a value up to the bound.

        Every key in `excluded` has to be a member's.
        """
        counts = {group: bisect_right(values, bound, key=_value) for group, values in self._groups.items()}
        for key in excluded:
            group, value = self._members[key]
            counts[group] -= value <= bound
        return counts

    def ascending(self, group: G, above: float = -math.inf) -> Iterator[tuple[float, int]]:
        """Iterate over values and keys of a group's members, in rising order, from above a bound."""
        values = self._groups.get(group, [])
        return islice(values, bisect_right(values, above, key=_value), None)

    def low_median(self, excluded: Collection[int], groups: Iterable[G] | None = None) -> float:
        """Return the median of all members' values, or of those in some groups; of two the lower.

        Raises:
            ValueError: There is no member that is not excluded.
        """
        wanted = self._groups.keys() if groups is None else set(groups)
        values = self._merged(wanted)
        skipped = self._sorted_values(excluded, wanted)
        count = len(values) - len(skipped)
        if not count:
            raise ValueError("no median of nothing")
        index = (count - 1) // 2
        for pair in skipped:  # In rising order: each one up to the index shifts the median by one.
            if pair > values[index]:
                break
            index += 1
        return values[index][0]

    def _merged(self, groups: Collection[G]) -> list[tuple[float, int]]:
        lists = [values for group, values in self._groups.items() if group in groups]
        return lists[0] if len(lists) == 1 else sorted(pair for values in lists for pair in values)

    def _sorted_values(self, keys: Collection[int], groups: Collection[G]) -> list[tuple[float, int]]:
        """Return values and keys of those of some members that are in some groups, in rising order."""
        pairs = []
        for key in keys:
            group, value = self._members[key]
            if group in groups:
                pairs.append((value, key))
        return sorted(pairs)


def _value(pair: tuple[float, int]) -> float:
    return pair[0]
