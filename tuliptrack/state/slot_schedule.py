"""The times at which slow-start slots of an endpoint become due."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["SlotSchedule"]


@dataclass(frozen=True, slots=True)
class SlotSchedule:
    """Numbers the slots of an endpoint in slow start; their rate grows linearly up to `slots_per_us`."""

    slots_per_us: float
    """Rate at which slots become due at the end of slow start."""
    initial_share: float
    """Share of `slots_per_us` at the start of the endpoint, above 0 and at most 1."""
    duration_us: int
    """Duration of slow start, in microseconds."""

    def slots_due(self, age_us: int) -> int:
        """Return how many slots have become due when the endpoint has a certain age."""
        if age_us <= 0:
            return 0
        mean_share = self.initial_share + (1 - self.initial_share) * age_us / (2 * self.duration_us)
        return int(self.slots_per_us * age_us * mean_share)

    def age_before(self, slot: int) -> int:
        """Return an age in microseconds that is slightly below the age at which a slot becomes due."""
        initial_rate = self.slots_per_us * self.initial_share
        growth = self.slots_per_us * (1 - self.initial_share) / (2 * self.duration_us)
        if growth:
            age_us = (math.sqrt(initial_rate * initial_rate + 4 * growth * slot) - initial_rate) / (
                2 * growth
            )
        else:
            age_us = slot / initial_rate
        return int(age_us * (1 - 1e-9)) - 2
