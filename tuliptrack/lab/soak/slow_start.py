"""Slow start, judged by what all nodes together sent to an engine after its start.

What an engine bears when it is warm is its part of the tenants' quotas, as nodes know it from the settings.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from typing import Any

from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import COLD_S, FALL_S, World
from tuliptrack.lab.soak.violation import Violation

__all__ = ["budget", "slow_starts"]

_FEW = 30.0


def budget(fair: float) -> float:
    """The calls that an engine in slow start bears in the time that the settings name, where they allow
    `fair` in the mean.
    """
    root = math.sqrt(fair)
    return fair + 2 * root + 2 if fair >= _FEW else fair + 3 * root + 3


def slow_starts(world: World, records: list[dict[str, Any]], margin: float) -> list[Violation]:
    """No engine is sent more, by all nodes together, than it bears while it is cold and all nodes have been
    told.
    """
    sent = _sent(records)
    found = []
    for engine, started, told in _starts(world, records):
        calls = [at for at in sent[engine] if told + margin <= at <= started + COLD_S]
        for number, first in enumerate(calls):
            end = first + FALL_S
            inside = bisect_right(calls, end) - number
            allowed = budget(_fair(world, engine, started, end))
            if inside > allowed:
                found.append(
                    Violation(
                        "slow start",
                        engine,
                        f"{inside} calls of {allowed:.1f} from {first:.3f}, {first - started:.3f} s after its start",
                    )
                )
                break
    return found


def _sent(records: list[dict[str, Any]]) -> dict[str, list[float]]:
    """When calls were sent, by engine."""
    sent: dict[str, list[float]] = defaultdict(list)
    for one in records:
        if one["event"] == "bytes":
            sent[one["who"].removeprefix("p-")].append(one["t"])
    return sent


def _starts(world: World, records: list[dict[str, Any]]) -> list[tuple[str, float, float]]:
    """Each engine that has started anew, when it did, and when the list had told that."""
    found = []
    for one in records:
        if one["event"] == "fault" and one["kind"] == FaultKind.ENGINE_RESTARTS.value:
            started = world.began + one["until"]
            told = [
                other["t"]
                for other in records
                if other["event"] == "list changed"
                and other["engine"] == one["target"]
                and other["start_ms"]
                and other["t"] >= started
                and not other["silent"]
            ]
            if told:
                found.append((one["target"], started, told[0]))
    return found


def _fair(world: World, engine: str, started: float, moment: float) -> float:
    """What the settings allow an engine, in the time that they name, at a moment."""
    schedule = world.schedule
    part = schedule.quota_per_s / sum(name[0] in (engine[0], "m") for name in schedule.engines)
    warmth = schedule.cold_from + (1 - schedule.cold_from) * min((moment - started) / COLD_S, 1.0)
    return schedule.fall_multiple * warmth * part * FALL_S
