"""A hierarchical timing wheel: many keys, each with one time at which it is due.

Setting, moving and dropping a key takes constant time, and so does coming to the next tick; a heap would take
the logarithm, and could not move a key without leaving the old entry behind. Source: Varghese and Lauck,
"Hashed and hierarchical timing wheels", 1987.

Levels of 64 slots: level n has slots of 64^n ticks. A key due far ahead stands in a coarse slot and moves
down when that comes. Keys come out in the order of their ticks, those of one tick in the order in which they
were set. Bound: one entry a key.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

__all__ = ["Wheel"]

K = TypeVar("K", bound=Hashable)

_BITS = 6
_SLOTS = 1 << _BITS
_LEVELS = 7  # 64^7 ticks of a millisecond are 139 years


class Wheel(Generic[K]):
    """Keys by the time at which they are due. Times are whole microseconds, rounded up to ticks."""

    def __init__(self, now: int, tick: int = 1_000) -> None:
        self.tick = tick
        self.at = now // tick
        """The tick up to which all that was due has come out."""
        self.due: dict[K, int] = {}
        """Each key's tick."""
        self._slots: list[list[dict[K, None]]] = [[{} for _ in range(_SLOTS)] for _ in range(_LEVELS)]
        self._count = [0] * _LEVELS

    def __len__(self) -> int:
        return len(self.due)

    def set(self, key: K, when: int) -> None:
        """This key is due at that time, whatever it was before."""
        self.drop(key)
        due = self.due[key] = max(-(-when // self.tick), self.at + 1)
        self._place(key, due)

    def drop(self, key: K) -> None:
        due = self.due.pop(key, None)
        if due is not None:
            level = self._level(due)
            del self._slots[level][due >> level * _BITS & _SLOTS - 1][key]
            self._count[level] -= 1

    def _level(self, due: int) -> int:
        """The highest group of bits in which the tick differs from the present one. It falls only when the
        present comes to the key's slot, and just then the slot is spread: so it tells at any time where a key
        stands.
        """
        return min(max((due ^ self.at).bit_length() - 1, 0) // _BITS, _LEVELS - 1)

    def _place(self, key: K, due: int) -> None:
        level = self._level(due)
        self._slots[level][due >> level * _BITS & _SLOTS - 1][key] = None
        self._count[level] += 1

    def advance(self, now: int) -> Iterator[K]:
        """Keys that have come due, each once; they are out of the wheel, and may be set again at once. All of
        a tick are out before the first of them is given: one that is dropped meanwhile still comes.
        """
        target = now // self.tick
        while self.at < target:
            if not self.due:
                self.at = target
                return
            # Where the fine levels are empty, whole turns of them are passed over.
            level = next(n for n in range(_LEVELS) if self._count[n])
            span = 1 << level * _BITS
            step = min((self.at // span + 1) * span, target) if level else self.at + 1
            self.at = step
            for higher in range(min(level + 1, _LEVELS - 1), 0, -1):
                self._descend(higher)
            if level == 0:
                for higher in range(_LEVELS - 1, 1, -1):
                    self._descend(higher)
            index = self.at & _SLOTS - 1
            if slot := self._slots[0][index]:
                self._slots[0][index] = {}
                self._count[0] -= len(slot)
                for key in slot:
                    del self.due[key]
                yield from slot

    def _descend(self, level: int) -> None:
        """Spread a coarse slot over finer ones, where its time has come."""
        if self.at & (1 << level * _BITS) - 1:
            return
        index = self.at >> level * _BITS & _SLOTS - 1
        if slot := self._slots[level][index]:
            self._slots[level][index] = {}
            self._count[level] -= len(slot)
            for key in slot:
                self._place(key, self.due[key])
