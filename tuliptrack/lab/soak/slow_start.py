"""Checks slow start by the calls that all nodes together sent to an engine after its start.

The capacity of a warm engine is its part of the tenants' quotas, as nodes know it from the settings.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from typing import Any

from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import COLD_S, FALL_S, World
from tuliptrack.lab.soak.violation import Violation

__all__ = ["check_slow_starts", "max_calls"]

_FEW_CALLS = 30.0


def max_calls(mean_calls: float) -> float:
    """The most calls that an engine in slow start may get within the window of the settings (`fall`), where they
    allow `mean_calls` on average.
    """
    root = math.sqrt(mean_calls)
    return mean_calls + 2 * root + 2 if mean_calls >= _FEW_CALLS else mean_calls + 3 * root + 3


def check_slow_starts(world: World, records: list[dict[str, Any]], margin: float) -> list[Violation]:
    """While an engine is cold, and once the list has announced its start to all nodes, all nodes together send it no
    more calls than it may get.
    """
    times = _call_times(records)
    found = []
    for engine, started, announced in _starts(world, records):
        calls = [at for at in times[engine] if announced + margin <= at <= started + COLD_S]
        for number, first in enumerate(calls):
            end = first + FALL_S
            count = bisect_right(calls, end) - number
            allowed = max_calls(_mean_calls(world, engine, started, end))
            if count > allowed:
                found.append(
                    Violation(
                        "slow start",
                        engine,
                        f"{count} calls of {allowed:.1f} from {first:.3f}, {first - started:.3f} s after its start",
                    )
                )
                break
    return found


def _call_times(records: list[dict[str, Any]]) -> dict[str, list[float]]:
    """The times of calls, by engine."""
    times: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record["event"] == "bytes":
            times[record["who"].removeprefix("p-")].append(record["t"])
    return times


def _starts(world: World, records: list[dict[str, Any]]) -> list[tuple[str, float, float]]:
    """Each restarted engine, the time of its start, and when the list announced it."""
    found = []
    for record in records:
        if record["event"] == "fault" and record["kind"] == FaultKind.ENGINE_RESTARTS.value:
            started = world.began + record["until"]
            announcements = [
                other["t"]
                for other in records
                if other["event"] == "list changed"
                and other["engine"] == record["target"]
                and other["start_ms"]
                and other["t"] >= started
                and not other["silent"]
            ]
            if announcements:
                found.append((record["target"], started, announcements[0]))
    return found


def _mean_calls(world: World, engine: str, started: float, moment: float) -> float:
    """The calls that the settings allow an engine within their window, at a moment."""
    schedule = world.schedule
    part = schedule.quota_per_s / sum(name[0] in (engine[0], "m") for name in schedule.engines)
    capacity_share = schedule.cold_from + (1 - schedule.cold_from) * min((moment - started) / COLD_S, 1.0)
    return schedule.fall_multiple * capacity_share * part * FALL_S
