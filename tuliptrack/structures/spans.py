"""A set of whole numbers as disjoint spans in order: what of an answer has been delivered already."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

__all__ = ["Spans"]


class Spans:
    """Half-open spans [start, end), disjoint and not touching."""

    def __init__(self) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []

    def add(self, start: int, end: int) -> int:
        """Add a span; returns how many of its numbers were new."""
        if end <= start:
            return 0
        low, high = bisect_left(self.ends, start), bisect_right(self.starts, end)
        old = sum(
            max(min(e, end) - max(s, start), 0)
            for s, e in zip(self.starts[low:high], self.ends[low:high], strict=True)
        )
        if low < high:
            start, left = min(start, self.starts[low]), end - start - old
            end = max(end, self.ends[high - 1])
        else:
            left = end - start
        self.starts[low:high], self.ends[low:high] = [start], [end]
        return left

    def __len__(self) -> int:
        return sum(e - s for s, e in zip(self.starts, self.ends, strict=True))
