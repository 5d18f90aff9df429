"""Times as multiples of a reference operation, the parsing of a fixed JSON text in the same process."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from tuliptrack.lab.hollow.population import Population

__all__ = ["Yardstick", "median_us", "timed_us"]

_ENTRIES = 100  # engines listed in the fixed text, which has about 15 KB
_ROUNDS = 41


def timed_us(work: Callable[[], object]) -> float:
    """Return the microseconds that one call takes."""
    began = time.perf_counter_ns()
    work()
    return (time.perf_counter_ns() - began) / 1e3


def median_us(work: Callable[[], object], rounds: int = 9) -> float:
    """Return the median of the times of several calls."""
    return sorted(timed_us(work) for _ in range(rounds))[rounds // 2]


class Yardstick:
    """The reference operation. It is timed again before each measurement, as the speed of a machine drifts."""

    def __init__(self) -> None:
        self._text = json.dumps(Population(_ENTRIES, zones=4).members())
        self.measured: list[float] = []

    def now_us(self) -> float:
        """Time the parsing of the text now: the median of several rounds, in microseconds."""
        self.measured.append(median_us(lambda: json.loads(self._text), _ROUNDS))
        return self.measured[-1]

    @property
    def median_us(self) -> float:
        """The median of all results of `now_us`."""
        return sorted(self.measured)[len(self.measured) // 2]
