"""A file of whole lines: no half line stays, whatever failed or was killed, and what was told to be there
is.
"""

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


def test_lines_are_appended_and_a_half_line_is_cut_off(tmp_path: Path) -> None:
    path = tmp_path / "report"
    line_file.append(path, "one\ntwo\n")
    with path.open("a") as file:
        file.write("thr")
    line_file.append(path, "four\n")
    assert path.read_text() == "one\ntwo\nfour\n"


def test_a_long_half_line_is_cut_off_too(tmp_path: Path) -> None:
    path = tmp_path / "report"
    path.write_text("one\n" + "x" * 200_000)
    line_file.append(path, "two\n")
    assert path.read_text() == "one\ntwo\n"
    path.write_text("x" * 200_000)
    line_file.append(path, "one\n")
    assert path.read_text() == "one\n"


@pytest.mark.parametrize("call", ["pwrite", "fsync"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_an_append_that_fails_leaves_the_file_without_it(
    call: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "report"
    line_file.append(path, "one\n")
    whole = getattr(os, call)

    def fails(descriptor: int, *arguments: object) -> None:
        if call == "pwrite":
            whole(descriptor, b"half a li", path.stat().st_size)
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(os, call, fails)
    with pytest.raises(OSError, match=os.strerror(number)):
        line_file.append(path, "two\n")
    monkeypatch.undo()
    assert path.read_text() == "one\n"
    line_file.append(path, "two\n")
    assert path.read_text() == "one\ntwo\n"


def test_writes_may_be_short(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    whole = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda descriptor, data, at: whole(descriptor, data[:3], at))
    line_file.append(tmp_path / "report", "a longer line\n")
    assert (tmp_path / "report").read_text() == "a longer line\n"


def test_a_writer_killed_at_any_moment_has_left_what_it_had_told_of(tmp_path: Path) -> None:
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
        told = child.stdout.read().split()
        child.wait()
        line_file.append(path, "again\n")
        found = path.read_text().splitlines()
        assert found[-1] == "again"
        assert all(line == "again" or line.endswith("x" * 3000) for line in found)
        if told:
            assert len(found) - 1 >= before + int(told[-1]) + 1
