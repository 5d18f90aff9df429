"""Log lines on a descriptor that stands still for a while."""

from __future__ import annotations

import os

from tuliptrack.node.log_output import LogOutput

PIPE_BYTES = 65_536


def read_all(reading: int) -> list[str]:
    return os.read(reading, 4 * PIPE_BYTES).decode().splitlines()


def test_what_a_full_pipe_does_not_take_is_dropped_counted_and_told_of_once_it_takes_more() -> None:
    reading, writing = os.pipe()
    output, line = LogOutput(writing), "x" * 999 + "\n"
    for _ in range(200):  # More than the pipe takes: nobody reads, and nothing waits.
        output.write(line)
    first = read_all(reading)
    assert 0 < output.lost < 200 and len(first) == 200 - output.lost
    assert set(first) == {"x" * 999}
    output.write("again\n")
    output.write("and again\n")
    assert read_all(reading) == [f"{output.lost} lines of this log were dropped", "again", "and again"]
    os.close(writing)
    os.close(reading)


def test_a_line_longer_than_a_pipes_room_is_cut_and_the_next_begins_anew() -> None:
    reading, writing = os.pipe()
    output = LogOutput(writing)
    output.write("y" * 2 * PIPE_BYTES + "\n")
    assert output.lost == 1
    assert read_all(reading) == ["y" * PIPE_BYTES]
    output.write("next\n")
    assert read_all(reading) == ["", "1 lines of this log were dropped", "next"]
    os.close(writing)
    os.close(reading)


def test_a_descriptor_that_was_closed_at_the_start_is_never_written_to() -> None:
    reading, writing = os.pipe()
    os.close(writing)
    output = LogOutput(writing)
    taken = os.open("/dev/null", os.O_WRONLY)  # The number may stand for something else now.
    output.write("lost\n")
    assert output.lost == 1
    os.close(taken)
    assert os.read(reading, 10) == b""
    os.close(reading)
