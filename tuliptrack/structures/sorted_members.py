"""Members sorted by integer key, with access by key, by position and in order.

The keys are in a sorted list that is searched by bisection. An insertion or removal moves all later keys as
one block, which is fast for thousands of members; `bench/structures.py` compares it with rebuilding the list
and with a sorted container of another library.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, KeysView
from typing import Generic, TypeVar

__all__ = ["SortedMembers"]

T = TypeVar("T")


class SortedMembers(Generic[T]):
    """The members that were put and not removed, in ascending order of their keys."""

    __slots__ = ("_keys", "_members")

    def __init__(self) -> None:
        self._keys: list[int] = []
        """All keys, in ascending order."""
        self._members: dict[int, T] = {}

    def put(self, key: int, member: T) -> None:
        """Add a member, or replace the member that has this key."""
        if key not in self._members:
            self._keys.insert(bisect_left(self._keys, key), key)
        self._members[key] = member

    def remove(self, key: int) -> None:
        """Remove the member with this key, if there is one."""
        if self._members.pop(key, None) is not None:
            del self._keys[bisect_left(self._keys, key)]

    def keys(self) -> KeysView[int]:
        """Return the keys, in no particular order, for repeated membership tests."""
        return self._members.keys()

    def __contains__(self, key: object) -> bool:
        return key in self._members

    def __len__(self) -> int:
        return len(self._keys)

    def __getitem__(self, index: int) -> T:
        """Return the member at a position in the order of the keys."""
        return self._members[self._keys[index]]

    def __iter__(self) -> Iterator[T]:
        """Iterate over the members in the order of their keys."""
        return (self._members[key] for key in self._keys)
