"""The exponentially weighted moving average that all statistics of a node use."""

from __future__ import annotations

__all__ = ["SAMPLE_WEIGHT", "smoothed"]

SAMPLE_WEIGHT = 0.2
"""Weight of a new sample: an average reflects about the last five samples."""


def smoothed(average: float, sample: float, weight: float = SAMPLE_WEIGHT) -> float:
    """Return the average after one more sample."""
    return average + weight * (sample - average)
