"""Slow start: how many turns have come at a server since its start."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Ramp"]


@dataclass(frozen=True, slots=True)
class Ramp:
    """Turns at a server in slow start: how many have come by a time after its start, in microseconds. Their
    rate, by the microsecond, grows evenly from a part of `rate` to all of it."""

    rate: float
    begins: float
    """The part of the rate at the start."""
    lasts: int

    def turns(self, at: int) -> int:
        """Turns that have come by then."""
        return (
            int(self.rate * at * (self.begins + (1 - self.begins) * at / (2 * self.lasts))) if at > 0 else 0
        )

    def before(self, turn: int) -> int:
        """A time, a little before this turn comes."""
        growth, first = self.rate * (1 - self.begins) / (2 * self.lasts), self.rate * self.begins
        at = (
            turn / first
            if not growth
            else (math.sqrt(first * first + 4 * growth * turn) - first) / (2 * growth)
        )
        return int(at * (1 - 1e-9)) - 2
