"""Times as ratios: how often a fixed JSON text could have been parsed meanwhile, in the same process."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from tuliptrack.lab.hollow.population import Population

__all__ = ["Yardstick", "median_us", "timed_us"]

_ENTRIES = 100  # of the fixed text: a list of so many engines, about 15 KB
_ROUNDS = 41


def timed_us(work: Callable[[], object]) -> float:
    """Microseconds that one call takes."""
    began = time.perf_counter_ns()
    work()
    return (time.perf_counter_ns() - began) / 1e3


def median_us(work: Callable[[], object], rounds: int = 9) -> float:
    """The median of some calls."""
    return sorted(timed_us(work) for _ in range(rounds))[rounds // 2]


class Yardstick:
    """The fixed text, timed again before each measurement: the speed of a machine drifts."""

    def __init__(self) -> None:
        self._text = json.dumps(Population(_ENTRIES, zones=4).members())
        self.measured: list[float] = []

    def now_us(self) -> float:
        """Microseconds in which the text is parsed now, the median of some rounds."""
        self.measured.append(median_us(lambda: json.loads(self._text), _ROUNDS))
        return self.measured[-1]

    @property
    def median_us(self) -> float:
        """The median of all that was measured."""
        return sorted(self.measured)[len(self.measured) // 2]
