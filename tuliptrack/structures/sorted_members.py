"""Members by whole-number key, kept in the order of the keys: found by key, by place, and in turn.

A sorted list with bisection: a change moves what follows in one block, which for some thousands of members
takes about a microsecond. `bench/structures.py` has it beside a rebuilt list and a sorted container of the
registry.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, KeysView
from typing import Generic, TypeVar

__all__ = ["SortedMembers"]

T = TypeVar("T")


class SortedMembers(Generic[T]):
    """Bound: as many members as were put and not removed."""

    __slots__ = ("_keys", "_members")

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._members: dict[int, T] = {}

    def put(self, key: int, member: T) -> None:
        """Add a member, or replace the one with this key."""
        if key not in self._members:
            self._keys.insert(bisect_left(self._keys, key), key)
        self._members[key] = member

    def remove(self, key: int) -> None:
        """Take a member out; nothing where there is none."""
        if self._members.pop(key, None) is not None:
            del self._keys[bisect_left(self._keys, key)]

    def keys(self) -> KeysView[int]:
        """The members' keys, to ask for many of them."""
        return self._members.keys()

    def __contains__(self, key: object) -> bool:
        return key in self._members

    def __len__(self) -> int:
        return len(self._keys)

    def __getitem__(self, place: int) -> T:
        """The member at a place in the order of the keys."""
        return self._members[self._keys[place]]

    def __iter__(self) -> Iterator[T]:
        """Members in the order of their keys."""
        return (self._members[key] for key in self._keys)
