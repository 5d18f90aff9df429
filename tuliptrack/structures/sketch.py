"""Heavy hitters in bounded memory: who has used most, among more names than may be kept.

Space-saving: `size` counters; a new name takes the place of the least one and its count, which is the most
that the new one can have used before. So a count is never too low, and too high by at most the total / size;
whoever has used more than that is among them. Source: Metwally, Agrawal, El Abbadi, "Efficient computation of
frequent and top-k elements in data streams", 2005.

Counts stand in buckets by value in a linked order, as in the paper, when added one by one; here amounts
differ, so the least is found by a heap with late corrections: an entry whose count has grown is pushed back
when it comes to the top.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

__all__ = ["Heavy", "Sketch"]


@dataclass(frozen=True, slots=True)
class Heavy:
    """One of the heaviest: its use is at least `amount - error`, at most `amount`."""

    name: str
    amount: int
    error: int


class Sketch:
    """Amounts by name, for the `size` heaviest names. Amounts are whole numbers."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.total = 0
        self.counts: dict[str, tuple[int, int]] = {}
        """Amount and error."""
        self._heap: list[tuple[int, str]] = []

    def add(self, name: str, amount: int) -> None:
        self.total += amount
        known = self.counts.get(name)
        if known:
            self.counts[name] = (known[0] + amount, known[1])
            return
        if len(self.counts) < self.size:
            self.counts[name] = (amount, 0)
            heapq.heappush(self._heap, (amount, name))
            return
        while True:
            least, loser = self._heap[0]
            now = self.counts[loser][0]
            if now == least:
                break
            heapq.heapreplace(self._heap, (now, loser))
        del self.counts[loser]
        self.counts[name] = (least + amount, least)
        heapq.heapreplace(self._heap, (least + amount, name))

    def top(self, count: int) -> list[Heavy]:
        """The heaviest, most first; ties by name."""
        best = heapq.nsmallest(count, self.counts.items(), key=lambda item: (-item[1][0], item[0]))
        return [Heavy(name, amount, error) for name, (amount, error) in best]
