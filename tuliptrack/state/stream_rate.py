"""How fast streams come to their end, at one endpoint or at all of them together."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["MEMORY_US", "StreamRate"]

MEMORY_US = 6_000_000
"""Microseconds in which what is known decays by a factor of e: the length of a few streams."""


@dataclass(slots=True)
class StreamRate:
    """Streaming time and completed streams; both decay at the same rate, so their ratio is the mean
    length.
    """

    streams: int = 0
    """Streams that run now."""
    completed: float = 0.0
    """Streams that came to their regular end."""
    streamed_us: float = 0.0
    """Microseconds of streaming, summed over all streams."""
    as_of_us: int = 0
    """The time up to which this holds."""

    def advance(self, now_us: int) -> None:
        """Bring the sums up to now."""
        decay = math.exp((self.as_of_us - now_us) / MEMORY_US)
        self.streamed_us = self.streamed_us * decay + self.streams * MEMORY_US * (1 - decay)
        self.completed *= decay
        self.as_of_us = now_us

    def begin_stream(self, now_us: int) -> None:
        """Record that one more stream runs."""
        self.advance(now_us)
        self.streams += 1

    def end_stream(self, now_us: int, is_completed: bool) -> None:
        """Record that a stream has ended, regularly or not."""
        self.advance(now_us)
        self.streams -= 1
        self.completed += is_completed

    def subtract(self, part: StreamRate, now_us: int) -> None:
        """Remove the streams of one endpoint from those of all."""
        self.advance(now_us)
        part.advance(now_us)
        self.streamed_us = max(self.streamed_us - part.streamed_us, 0.0)
        self.completed = max(self.completed - part.completed, 0.0)
