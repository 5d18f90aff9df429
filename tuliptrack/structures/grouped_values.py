"""Members with a value each, in groups: counts below a bound and low medians without looking at every member.

Each group is a sorted list with bisection. Questions may leave some members out: they cost as many steps as
are left out.
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
    """Bound: as many members as were put and not removed. Keys are whole numbers."""

    __slots__ = ("_groups", "_places")

    def __init__(self) -> None:
        self._groups: dict[G, list[tuple[float, int]]] = {}
        self._places: dict[int, tuple[G, float]] = {}
        """Group and value of each member."""

    def put(self, key: int, group: G, value: float) -> None:
        """Add a member, or change its group or value."""
        if self._places.get(key) == (group, value):
            return
        self.remove(key)
        self._places[key] = (group, value)
        insort(self._groups.setdefault(group, []), (value, key))

    def remove(self, key: int) -> None:
        """Take a member out; nothing where there is none."""
        place = self._places.pop(key, None)
        if place is None:
            return
        group, value = place
        values = self._groups[group]
        del values[bisect_left(values, (value, key))]
        if not values:
            del self._groups[group]

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, key: object) -> bool:
        return key in self._places

    def counts(self, bound: float, without: Collection[int]) -> dict[G, int]:
        """How many members of each group have a value up to the bound, some members left out."""
        found = {group: bisect_right(values, bound, key=_value) for group, values in self._groups.items()}
        for key in without:
            group, value = self._places[key]
            found[group] -= value <= bound
        return found

    def rising(self, group: G, above: float = -math.inf) -> Iterator[tuple[float, int]]:
        """Values and keys of a group's members with a value above some bound, the least first."""
        values = self._groups.get(group, [])
        return islice(values, bisect_right(values, above, key=_value), None)

    def low_median(self, without: Collection[int], groups: Iterable[G] | None = None) -> float:
        """The middle value of all members, or of those in some groups, the lower of two; ValueError where
        none is left.
        """
        wanted = self._groups.keys() if groups is None else set(groups)
        left_out = sorted(
            (value, key) for key in without for group, value in [self._places[key]] if group in wanted
        )
        lists = [values for group, values in self._groups.items() if group in wanted]
        values = lists[0] if len(lists) == 1 else sorted(pair for one in lists for pair in one)
        count = len(values) - len(left_out)
        if not count:
            raise ValueError("no median of nothing")
        place = (count - 1) // 2
        for pair in left_out:  # In rising order: each one at or before the place moves it on by one.
            if pair > values[place]:
                break
            place += 1
        return values[place][0]


def _value(pair: tuple[float, int]) -> float:
    return pair[0]
