"""Estimates a request's number of output tokens from earlier requests of its tenant and request class.

An estimate is the moving average of the outputs' lengths plus that of their deviations from it. A tenant
whose outputs are always as long as allowed raises only its own estimates. The module does no I/O and reads no
clock. Memory bound: `MAX_ESTIMATES` pairs of tenant and class, the least recently updated of which are
dropped.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

__all__ = ["OutputEstimates"]

SMOOTHING = 0.1
"""Weight of a new output in the averages after the first ten outputs, which all weigh the same."""
MARGIN_DEVIATIONS = 1.0
"""Number of mean deviations that an estimate adds to the mean.

The sum covers most outputs and leaves few reserved tokens unused.
"""
MAX_ESTIMATES = 50_000


@dataclass(frozen=True, slots=True)
class _Estimate:
    mean_tokens: float
    mean_deviation: float
    samples: int


class OutputEstimates:
    """The estimates of one node."""

    def __init__(self) -> None:
        """Create the estimates before any output has been seen."""
        self._estimates: OrderedDict[tuple[str, int], _Estimate] = OrderedDict()

    def estimate(self, tenant: str, class_index: int, max_tokens: int) -> int:
        """Return the number of tokens to reserve, at most `max_tokens`.

        While no output has been seen, it is half of `max_tokens`.
        """
        found = self._estimates.get((tenant, class_index))
        if found is None:
            return max_tokens // 2
        expected = int(found.mean_tokens + MARGIN_DEVIATIONS * found.mean_deviation)
        return max(min(expected, max_tokens), 1)

    def record(self, tenant: str, class_index: int, tokens: int) -> None:
        """Update the estimate with the length of a complete output."""
        key = tenant, class_index
        known = self._estimates.pop(key, None) or _Estimate(float(tokens), 0.0, 0)
        weight = max(SMOOTHING, 1 / (known.samples + 1))
        deviation, mean = known.mean_deviation, known.mean_tokens
        deviation += weight * (abs(tokens - mean) - deviation)
        mean += weight * (tokens - mean)
        self._estimates[key] = _Estimate(mean, deviation, known.samples + 1)
        if len(self._estimates) > MAX_ESTIMATES:
            self._estimates.popitem(last=False)
