"""Log lines written to a descriptor that blocks for a while."""

from __future__ import annotations

import os

from tuliptrack.node.log_output import LogOutput

PIPE_BYTES = 65_536


def read_all(descriptor: int) -> list[str]:
    return os.read(descriptor, 4 * PIPE_BYTES).decode().splitlines()


def test_lines_that_do_not_fit_into_a_full_pipe_are_dropped_and_reported_with_the_next_line() -> None:
    """The process that reads standard error stops reading. Log lines must not block the node's event loop,
    which would delay every request; the log itself tells the operator that lines are missing."""
    read_end, write_end = os.pipe()
    output, line = LogOutput(write_end), "x" * 999 + "\n"
    for _ in range(200):  # More lines than the pipe accepts unread; no write blocks.
        output.write(line)
    first = read_all(read_end)
    assert 0 < output.lost < 200 and len(first) == 200 - output.lost
    assert set(first) == {"x" * 999}
    output.write("again\n")
    output.write("and again\n")
    assert read_all(read_end) == [f"{output.lost} lines of this log were dropped", "again", "and again"]
    os.close(write_end)
    os.close(read_end)


def test_line_longer_than_a_pipe_accepts_is_cut_and_the_next_starts_on_a_new_line() -> None:
    read_end, write_end = os.pipe()
    output = LogOutput(write_end)
    output.write("y" * 2 * PIPE_BYTES + "\n")
    assert output.lost == 1
    assert read_all(read_end) == ["y" * PIPE_BYTES]
    output.write("next\n")
    assert read_all(read_end) == ["", "1 lines of this log were dropped", "next"]
    os.close(write_end)
    os.close(read_end)


def test_descriptor_that_was_closed_at_the_start_is_never_written_to() -> None:
    read_end, write_end = os.pipe()
    os.close(write_end)
    output = LogOutput(write_end)
    reused = os.open("/dev/null", os.O_WRONLY)  # The descriptor's number stands for another file now.
    output.write("lost\n")
    assert output.lost == 1
    os.close(reused)
    assert os.read(read_end, 10) == b""
    os.close(read_end)
