"""Starts of servers in monotonic time, while the wall clock is stepped by an hour either way."""

from __future__ import annotations

import pytest

from tuliptrack.sources.start_times import StartTimes

S = 1_000_000
HOUR = 3_600 * S
NOW, WALL = 500 * S, 1_700_000_000 * S
COLD = 12 * S


def test_a_start_is_told_the_same_whatever_the_clock_does_and_long_ago_stays() -> None:
    starts = StartTimes()
    first = starts.monotonic(1, WALL - 5 * S, NOW, WALL)
    assert first == NOW - 5 * S
    assert starts.monotonic(1, WALL - 5 * S, NOW + S, WALL + HOUR) == first
    assert starts.monotonic(2, 0, NOW, WALL) == 0


@pytest.mark.parametrize("step", [HOUR, -HOUR, 5 * S, -5 * S])
def test_a_server_that_restarts_after_a_step_is_cold_at_a_node_that_runs(step: int) -> None:
    starts = StartTimes()
    starts.monotonic(1, WALL - HOUR, NOW, WALL)
    starts.list_heard(NOW)
    restarted = WALL + 60 * S  # by the right clock
    now = NOW + 61 * S
    started = starts.monotonic(1, restarted, now, WALL + 61 * S + step)
    assert now - S <= started <= now


@pytest.mark.parametrize("step", [HOUR, -HOUR])
def test_a_server_that_restarts_is_cold_at_a_node_that_began_after_the_step(step: int) -> None:
    starts = StartTimes()
    starts.monotonic(1, WALL - 2 * HOUR, NOW, WALL + step)
    starts.list_heard(NOW)
    now = NOW + 30 * S
    started = starts.monotonic(1, WALL + 29 * S, now, WALL + 30 * S + step)
    assert now - started < S, "it has just started"


def test_a_warm_server_is_not_taken_for_a_cold_one_where_the_clock_is_right() -> None:
    starts = StartTimes()
    assert NOW - starts.monotonic(1, WALL - 20 * S, NOW, WALL) == 20 * S > COLD
    starts.list_heard(NOW)
    late = NOW + 25 * S  # after an outage of discovery
    assert late - starts.monotonic(2, WALL + 10 * S, late, WALL + 25 * S) == 15 * S > COLD
