"""A hierarchical timing wheel: schedules many keys, each due at one time.

Scheduling, rescheduling and cancelling a key takes constant time, and so does advancing by a tick; a heap
would take logarithmic time, and could not reschedule a key without leaving the old entry behind. Source:
Varghese and Lauck, "Hashed and hierarchical timing wheels", 1987.

Each level has 64 slots; a slot of level n spans 64^n ticks. A key due far ahead is in a coarse slot and moves
to finer levels when the time of that slot begins. Keys come due in the order of their ticks, and keys of the
same tick in the order in which they were scheduled.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, TypeVar

__all__ = ["TimingWheel"]

K = TypeVar("K", bound=Hashable)

SLOT_BITS = 6
SLOTS = 1 << SLOT_BITS
LEVELS = 7
"""Seven levels cover 64^7 ticks: 139 years with ticks of one millisecond."""
TOP_LEVEL = LEVELS - 1
COARSE_LEVELS = (1, *range(TOP_LEVEL, 1, -1))
DEFAULT_TICK_US = 1_000


class TimingWheel(Generic[K]):
    """Keys by the time at which they are due.

    Times are integer microseconds, rounded up to ticks. The wheel holds one entry for each scheduled key.
    """

    def __init__(self, now_us: int, tick_us: int = DEFAULT_TICK_US) -> None:
        """Create an empty wheel whose current time is `now_us`."""
        self.tick_us = tick_us
        self.current_tick = now_us // tick_us
        """All keys due up to this tick have been yielded."""
        self.due_ticks: dict[K, int] = {}
        """The tick of each scheduled key."""
        self._levels: list[list[dict[K, None]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        """The slots of each level; a slot is an insertion-ordered set of keys."""
        self._level_counts = [0] * LEVELS
        """Number of keys at each level."""

    def __len__(self) -> int:
        return len(self.due_ticks)

    def schedule(self, key: K, due_us: int) -> None:
        """Schedule or reschedule a key; it comes due at the next tick at the earliest."""
        self.cancel(key)
        due_tick = max(-(-due_us // self.tick_us), self.current_tick + 1)
        self.due_ticks[key] = due_tick
        self._insert(key, due_tick)

    def cancel(self, key: K) -> None:
        """Remove a key, if it is scheduled."""
        due_tick = self.due_ticks.pop(key, None)
        if due_tick is not None:
            level = self._level(due_tick)
            del self._levels[level][_slot_index(due_tick, level)][key]
            self._level_counts[level] -= 1

    def _level(self, due_tick: int) -> int:
        """Return the level that holds a key of this tick.

        The level is the highest group of `SLOT_BITS` bits in which the tick differs from the current tick. It
        only falls when the current tick reaches the key's slot. At that moment the slot is spread over the
        finer levels, so the level need not be stored.
        """
        highest_bit = max((due_tick ^ self.current_tick).bit_length() - 1, 0)
        return min(highest_bit // SLOT_BITS, TOP_LEVEL)

    def _insert(self, key: K, due_tick: int) -> None:
        level = self._level(due_tick)
        self._levels[level][_slot_index(due_tick, level)][key] = None
        self._level_counts[level] += 1

    def advance(self, now_us: int) -> Iterator[K]:
        """Yield the keys that have come due, each once; the caller may reschedule them during the iteration.

        All keys of a tick are removed before the first of them is yielded, so a key of that tick that is
        cancelled during the iteration is still yielded.
        """
        target_tick = now_us // self.tick_us
        while self.current_tick < target_tick:
            if not self.due_ticks:
                self.current_tick = target_tick
                return
            finest_used = next(level for level in range(LEVELS) if self._level_counts[level])
            self.current_tick = self._next_tick(finest_used, target_tick)
            for level in _levels_to_spread(finest_used):
                self._spread_current_slot(level)
            if due_keys := self._remove_slot(0):
                for key in due_keys:
                    del self.due_ticks[key]
                yield from due_keys

    def _next_tick(self, finest_used: int, target_tick: int) -> int:
        """Return the next tick at which a key may come due or change levels, skipping empty fine levels."""
        if finest_used == 0:
            return self.current_tick + 1
        span = 1 << finest_used * SLOT_BITS
        return min((self.current_tick // span + 1) * span, target_tick)

    def _spread_current_slot(self, level: int) -> None:
        """Move the keys of a coarse slot to finer levels if the slot begins at the current tick."""
        if self.current_tick & (1 << level * SLOT_BITS) - 1:
            return
        for key in self._remove_slot(level):
            self._insert(key, self.due_ticks[key])

    def _remove_slot(self, level: int) -> dict[K, None]:
        """Empty the slot of the current tick at a level, and return the keys that were in it."""
        index = _slot_index(self.current_tick, level)
        slot = self._levels[level][index]
        if slot:
            self._levels[level][index] = {}
            self._level_counts[level] -= len(slot)
        return slot


def _slot_index(tick: int, level: int) -> int:
    return tick >> level * SLOT_BITS & SLOTS - 1


def _levels_to_spread(finest_used: int) -> Iterable[int]:
    """Return the levels at which a slot may begin after a step of one slot of the finest level in use."""
    if finest_used == 0:
        return COARSE_LEVELS
    return range(min(finest_used + 1, TOP_LEVEL), 0, -1)
