"""A set of integers, stored as sorted, disjoint intervals."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

__all__ = ["IntervalSet"]


class IntervalSet:
    """Half-open intervals [start, end), neither overlapping nor adjacent; each `add` adds at most one."""

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []

    def add(self, start: int, end: int) -> int:
        """Add the numbers of [start, end), and return how many of them were not in the set."""
        if end <= start:
            return 0
        low, high = bisect_left(self.ends, start), bisect_right(self.starts, end)
        added = end - start - self._overlap(start, end, low, high)
        if low < high:
            start, end = min(start, self.starts[low]), max(end, self.ends[high - 1])
        self.starts[low:high], self.ends[low:high] = [start], [end]
        return added

    def _overlap(self, start: int, end: int, low: int, high: int) -> int:
        """Return how many numbers of [start, end) are in the intervals with indexes in [low, high)."""
        return sum(
            max(min(own_end, end) - max(own_start, start), 0)
            for own_start, own_end in zip(self.starts[low:high], self.ends[low:high], strict=True)
        )

    def __len__(self) -> int:
        return sum(end - start for start, end in zip(self.starts, self.ends, strict=True))
