"""Appending complete lines to a file: after a failure or a kill no incomplete line remains, and every append
that was reported as done is in the file."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from tuliptrack.node import line_file

_WRITER = """
import sys
from pathlib import Path
from tuliptrack.node import line_file
n = 0
while True:
    line_file.append(Path(sys.argv[1]), f"{n} " + "x" * 3000 + "\\n")
    print(n, flush=True)
    n += 1
"""


def test_append_cuts_off_an_incomplete_line(tmp_path: Path) -> None:
    path = tmp_path / "report"
    line_file.append(path, "one\ntwo\n")
    with path.open("a") as file:
        file.write("thr")
    line_file.append(path, "four\n")
    assert path.read_text() == "one\ntwo\nfour\n"


def test_append_cuts_off_an_incomplete_line_longer_than_a_block(tmp_path: Path) -> None:
    path = tmp_path / "report"
    path.write_text("one\n" + "x" * 200_000)
    line_file.append(path, "two\n")
    assert path.read_text() == "one\ntwo\n"
    path.write_text("x" * 200_000)
    line_file.append(path, "one\n")
    assert path.read_text() == "one\n"


@pytest.mark.parametrize("call", ["pwrite", "fsync"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_failed_append_leaves_the_file_as_it_was(
    call: str, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "report"
    line_file.append(path, "one\n")
    original = getattr(os, call)

    def fail(descriptor: int, *arguments: object) -> None:
        if call == "pwrite":
            original(descriptor, b"half a li", path.stat().st_size)
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(os, call, fail)
    with pytest.raises(OSError, match=os.strerror(error)):
        line_file.append(path, "two\n")
    monkeypatch.undo()
    assert path.read_text() == "one\n"
    line_file.append(path, "two\n")
    assert path.read_text() == "one\ntwo\n"


def test_append_completes_short_writes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    original = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda descriptor, data, at: original(descriptor, data[:3], at))
    line_file.append(tmp_path / "report", "a longer line\n")
    assert (tmp_path / "report").read_text() == "a longer line\n"


def test_killed_writer_has_left_every_line_that_it_reported(tmp_path: Path) -> None:
    """The node is killed while it appends to a report. Lines that it had reported as written must be
    complete, and an incomplete last line must not corrupt what the next node appends."""
    random, path = Random(3), tmp_path / "report"
    for _ in range(8):
        child = subprocess.Popen(
            [sys.executable, "-c", _WRITER, str(path)], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout
        before = path.read_text().count("\n") if path.exists() else 0
        for _ in range(random.randrange(1, 30)):
            child.stdout.readline()
        os.kill(child.pid, signal.SIGKILL)
        reported = child.stdout.read().split()
        child.wait()
        line_file.append(path, "again\n")
        found = path.read_text().splitlines()
        assert found[-1] == "again"
        assert all(line == "again" or line.endswith("x" * 3000) for line in found)
        if reported:
            assert len(found) - 1 >= before + int(reported[-1]) + 1
