"""Start times of engines in monotonic time, while the wall clock is stepped by up to an hour either way."""

from __future__ import annotations

import pytest

from tuliptrack.sources.start_times import StartTimes

SECOND_US = 1_000_000
HOUR_US = 3_600 * SECOND_US
NOW_US, WALL_US = 500 * SECOND_US, 1_700_000_000 * SECOND_US
SLOW_START_US = 12 * SECOND_US


def test_a_start_converts_to_the_same_time_after_a_clock_step_and_0_stays_0() -> None:
    start_times = StartTimes()
    first = start_times.to_monotonic_us(1, WALL_US - 5 * SECOND_US, NOW_US, WALL_US)
    assert first == NOW_US - 5 * SECOND_US
    assert (
        start_times.to_monotonic_us(1, WALL_US - 5 * SECOND_US, NOW_US + SECOND_US, WALL_US + HOUR_US)
        == first
    )
    assert start_times.to_monotonic_us(2, 0, NOW_US, WALL_US) == 0


@pytest.mark.parametrize("step", [HOUR_US, -HOUR_US, 5 * SECOND_US, -5 * SECOND_US])
def test_an_engine_that_restarts_after_a_clock_step_warms_up_at_a_running_node(step: int) -> None:
    start_times = StartTimes()
    start_times.to_monotonic_us(1, WALL_US - HOUR_US, NOW_US, WALL_US)
    start_times.record_list(NOW_US)
    restarted = WALL_US + 60 * SECOND_US  # by the right clock
    now = NOW_US + 61 * SECOND_US
    started = start_times.to_monotonic_us(1, restarted, now, WALL_US + 61 * SECOND_US + step)
    assert now - SECOND_US <= started <= now


@pytest.mark.parametrize("step", [HOUR_US, -HOUR_US])
def test_an_engine_that_restarts_warms_up_at_a_node_started_after_the_clock_step(step: int) -> None:
    start_times = StartTimes()
    start_times.to_monotonic_us(1, WALL_US - 2 * HOUR_US, NOW_US, WALL_US + step)
    start_times.record_list(NOW_US)
    now = NOW_US + 30 * SECOND_US
    started = start_times.to_monotonic_us(1, WALL_US + 29 * SECOND_US, now, WALL_US + 30 * SECOND_US + step)
    assert now - started < SECOND_US, "it has just started"


def test_a_warm_engine_is_not_taken_for_one_warming_up_where_the_clock_is_right() -> None:
    start_times = StartTimes()
    assert (
        NOW_US - start_times.to_monotonic_us(1, WALL_US - 20 * SECOND_US, NOW_US, WALL_US)
        == 20 * SECOND_US
        > SLOW_START_US
    )
    start_times.record_list(NOW_US)
    later = NOW_US + 25 * SECOND_US  # discovery was down, so no list came for 25 s
    assert (
        later - start_times.to_monotonic_us(2, WALL_US + 10 * SECOND_US, later, WALL_US + 25 * SECOND_US)
        == 15 * SECOND_US
        > SLOW_START_US
    )
