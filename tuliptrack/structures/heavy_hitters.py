"""Heavy hitters in bounded memory: the names with the largest sums, out of more names than can be stored.

This is the space-saving algorithm with a fixed number of counters. A new name takes over the smallest counter
and its amount, which is the most that the new name can have had before. So an amount is never too low, and it
is too high by at most total / number of counters. Any name whose sum exceeds this quotient has a counter.
Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams",
2005.

The paper keeps counters in linked buckets by value, for counts that grow by one. Here amounts differ, so the
smallest counter is found with a lazily updated heap: an entry whose counter has grown is pushed back when it
reaches the top.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

__all__ = ["HeavyHitter", "HeavyHitterSketch"]


@dataclass(frozen=True, slots=True)
class HeavyHitter:
    """One of the names with the largest sums: its true sum is from `amount - error` to `amount`."""

    name: str
    amount: int
    error: int


class HeavyHitterSketch:
    """Sums of integer amounts for the heaviest names. It holds at most `max_names` counters."""

    def __init__(self, max_names: int) -> None:
        """Create an empty sketch in which at most `max_names` names have a counter at any time."""
        self.max_names = max_names
        self.total = 0
        """Sum of the amounts of all names."""
        self.counters: dict[str, tuple[int, int]] = {}
        """Amount and error by name."""
        self._heap: list[tuple[int, str]] = []
        """One entry for each counter, with its current amount or an earlier one."""

    def add(self, name: str, amount: int) -> None:
        """Add an amount to the sum of a name."""
        self.total += amount
        counter = self.counters.get(name)
        if counter:
            self.counters[name] = (counter[0] + amount, counter[1])
        elif len(self.counters) < self.max_names:
            self.counters[name] = (amount, 0)
            heapq.heappush(self._heap, (amount, name))
        else:
            smallest, evicted = self._smallest()
            del self.counters[evicted]
            self.counters[name] = (smallest + amount, smallest)
            heapq.heapreplace(self._heap, (smallest + amount, name))

    def _smallest(self) -> tuple[int, str]:
        """Return the amount and name of the smallest counter; its entry is then at the top of the heap."""
        while True:
            recorded, name = self._heap[0]
            current = self.counters[name][0]
            if current == recorded:
                return recorded, name
            heapq.heapreplace(self._heap, (current, name))

    def top(self, count: int) -> list[HeavyHitter]:
        """Return the heaviest names, the largest sum first; names with equal sums are sorted by name."""
        heaviest = heapq.nsmallest(count, self.counters.items(), key=lambda item: (-item[1][0], item[0]))
        return [HeavyHitter(name, amount, error) for name, (amount, error) in heaviest]
