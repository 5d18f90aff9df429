"""Times as ratios: how often a fixed JSON text could have been parsed meanwhile, in the same process."""

from __future__ import annotations

import json
import time
from collections.abc import Callable

from tuliptrack.lab.hollow.population import Population

__all__ = ["measure_yardstick", "median_us", "timed_us"]

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


def measure_yardstick() -> float:
    """Microseconds in which the fixed text is parsed, the median of some rounds."""
    text = json.dumps(Population(_ENTRIES, zones=4).members())
    return median_us(lambda: json.loads(text), _ROUNDS)
