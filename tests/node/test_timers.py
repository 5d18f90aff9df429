"""The clock and the timers of a node."""

from __future__ import annotations

import asyncio

import pytest
from world import run

from tuliptrack.node import timers
from tuliptrack.node.timers import NodeClock, TimerSet

DELAY_US = 50_000
DELAY_S = DELAY_US / timers.US_PER_S


def test_clock_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timers, "now_us", iter([5, 3, 8, 20]).__next__)
    clock = NodeClock()
    assert [clock.now_us(), clock.now_us(), clock.now_us()] == [5, 5, 8]
    clock.advance_to(12)
    clock.advance_to(10)
    assert clock.now_us() == 20


def test_clock_that_was_advanced_stands_until_the_time_catches_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop may fire the timer of a deadline a little early. The code that follows must see the
    deadline as reached, or a request would end as if there were time left."""
    monkeypatch.setattr(timers, "now_us", iter([999, 1_001]).__next__)
    clock = NodeClock()
    clock.advance_to(1_000)
    assert [clock.now_us(), clock.now_us()] == [1_000, 1_001]


def test_timers_fire_once_unless_they_are_cancelled_or_the_node_closes() -> None:
    async def scenario() -> None:
        timer_set, fired = TimerSet(), list[str]()
        timer_set.call_later(DELAY_US, fired.append, "fires")
        timer_set.call_later(-DELAY_US, fired.append, "fires at once")
        cancelled = timer_set.call_later(DELAY_US, fired.append, "cancelled")
        timer_set.call_later(3 * DELAY_US, fired.append, "closed")
        timer_set.cancel(cancelled)
        timer_set.cancel(None)
        await asyncio.sleep(2 * DELAY_S)
        assert fired == ["fires at once", "fires"] and len(timer_set) == 1
        timer_set.close()
        await asyncio.sleep(2 * DELAY_S)
        assert fired == ["fires at once", "fires"] and len(timer_set) == 0

    run(scenario, virtual=True)
