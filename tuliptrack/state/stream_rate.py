"""The rate at which streams end, at one endpoint or at all of them together."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["DECAY_TIME_US", "StreamRate"]

DECAY_TIME_US = 6_000_000
"""Time constant, in microseconds, of the decay of past streams: about as long as a few streams take."""


@dataclass(slots=True)
class StreamRate:
    """Streaming time and completed streams. Both decay equally, so their ratio is the mean stream length."""

    streams: int = 0
    """Number of streams that are running."""
    completed: float = 0.0
    """Decayed number of streams that completed."""
    streamed_us: float = 0.0
    """Decayed sum of the streaming time of all streams, in microseconds."""
    as_of_us: int = 0
    """The time up to which the sums are computed."""

    def advance(self, now_us: int) -> None:
        """Decay the sums up to now, and add the time of the running streams."""
        decay = math.exp((self.as_of_us - now_us) / DECAY_TIME_US)
        self.streamed_us = self.streamed_us * decay + self.streams * DECAY_TIME_US * (1 - decay)
        self.completed *= decay
        self.as_of_us = now_us

    def begin_stream(self, now_us: int) -> None:
        """Record that a stream has begun."""
        self.advance(now_us)
        self.streams += 1

    def end_stream(self, now_us: int, is_completed: bool) -> None:
        """Record that a stream has ended, and whether it completed."""
        self.advance(now_us)
        self.streams -= 1
        self.completed += is_completed

    def subtract(self, part: StreamRate, now_us: int) -> None:
        """Subtract one endpoint's sums from these sums of all endpoints."""
        self.advance(now_us)
        part.advance(now_us)
        self.streamed_us = max(self.streamed_us - part.streamed_us, 0.0)
        self.completed = max(self.completed - part.completed, 0.0)
