"""When the last byte of a request arrived, if it had to wait."""

from __future__ import annotations

import asyncio

from tuliptrack.rpc.arrival_times import ArrivalTimes, HeldUpInput
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.tcp import last_arrival_us, unread_bytes


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


def test_input_that_was_held_up_is_dated_by_the_sample_that_first_saw_it() -> None:
    held_up = HeldUpInput()
    assert held_up.read_size(100) == 100 and held_up.arrived_at_us(100) is None
    for unread, arrived_at_us in ((30, 5_000), (30, 6_000), (50, 7_000)):
        held_up.sample(unread, arrived_at_us)
    assert held_up.read_size(20) == 20 and held_up.arrived_at_us(20) == 5_000
    assert held_up.read_size(100) == 10 and held_up.arrived_at_us(10) == 5_000
    held_up.sample(25, 8_000)  # A further pause, with 20 bytes of the first left.
    assert [(held_up.read_size(100), held_up.arrived_at_us(20)), held_up.arrived_at_us(5)] == [
        (20, 7_000),
        8_000,
    ]
    assert held_up.read_size(100) == 100 and held_up.arrived_at_us(40) is None


def test_the_samples_of_a_long_pause_are_bounded_and_never_too_early() -> None:
    held_up = HeldUpInput()
    for number in range(1, 10_001):
        held_up.sample(number, number)
    assert len(held_up._parts) < 1_000
    for number in range(1, 10_001):
        assert (held_up.arrived_at_us(1) or 0) >= number


def test_the_kernel_knows_when_unread_bytes_arrived() -> None:
    async def go() -> None:
        accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        server = await asyncio.start_server(lambda _, writer: accepted.put_nowait(writer), "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        peer = await accepted.get()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        peer.write(b"x" * 100)
        sent_at_us = now_us()
        await asyncio.sleep(0.3)
        assert unread_bytes(writer.transport) == 100
        assert abs(last_arrival_us(writer.transport) - sent_at_us) < 100_000
        for end in (writer, peer):
            end.close()
        server.close()

    asyncio.run(go())
