"""When the last byte of a request arrived, if it had to wait."""

from __future__ import annotations

from tuliptrack.rpc.arrival_times import ArrivalTimes


def test_bytes_that_wait_behind_an_earlier_request_keep_their_dates() -> None:
    times = ArrivalTimes()
    for date in (100, 200, 300):
        times.received(10, date, False)
    assert times.of_processed(25, 900) == 100
    assert times.of_processed(20, 900) == 100
    assert times.of_processed(10, 900) == 200
    assert times.of_processed(0, 900) == 300


def test_bytes_that_waited_in_the_kernel_are_dated_by_the_pause_of_reading() -> None:
    times = ArrivalTimes()
    times.received(10, 100, False)
    times.reading_paused(150)
    times.reading_resumed(True)
    times.received(10, 400, True)  # One read does not bring all that is unread.
    times.reading_paused(420)
    times.reading_resumed(True)
    times.received(10, 500, False)
    assert times.of_processed(0, 900) == 150
    times.received(10, 700, False)
    assert times.of_processed(0, 900) == 700


def test_a_pause_without_unread_bytes_dates_nothing() -> None:
    times = ArrivalTimes()
    times.reading_paused(100)
    times.reading_resumed(False)
    times.received(10, 900_000, False)
    assert times.of_processed(0, 900_001) == 900_000


def test_the_dates_of_very_many_reads_are_bounded_and_never_too_late() -> None:
    times = ArrivalTimes()
    for date in range(100_000):
        times.received(1, date, False)
    assert len(times._reads) < 100
    for left in range(99_999, -1, -1_000):
        assert times.of_processed(left, 100_000) <= 99_999 - left
