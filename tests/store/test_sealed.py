"""A sealed file: whole or as it was, whatever byte its writer died at, and never taken for empty when it is
damaged.
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

from tuliptrack.store import sealed

_WRITER = """
import sys
from pathlib import Path
from tuliptrack.store import sealed
n = 0
while True:
    sealed.write(Path(sys.argv[1]), b"%09d" % n * 3000)
    n += 1
    print(n, flush=True)
"""


def test_a_writer_that_is_killed_leaves_one_whole_value_no_older_than_what_it_had_told(
    tmp_path: Path,
) -> None:
    random, path = Random(5), tmp_path / "state"
    for _ in range(12):
        child = subprocess.Popen(
            [sys.executable, "-c", _WRITER, str(path)], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout
        told = 0
        for _ in range(random.randrange(1, 40)):
            told = int(child.stdout.readline())
        os.kill(child.pid, signal.SIGKILL)
        rest = child.stdout.read().split()
        child.wait()
        told = int(rest[-1]) if rest and rest[-1] else told
        found = sealed.read(path)
        assert found is not None and len(found) == 27_000 and found == found[:9] * 3000
        assert int(found[:9]) >= told - 1


def test_any_cut_or_flipped_byte_is_an_error_and_not_an_empty_start(tmp_path: Path) -> None:
    path, random = tmp_path / "state", Random(6)
    assert sealed.read(path) is None
    sealed.write(path, b"promised")
    whole = path.read_bytes()
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        with pytest.raises(sealed.SealedError, match="digest"):
            sealed.read(path)
    for _ in range(50):
        at = random.randrange(len(whole))
        path.write_bytes(whole[:at] + bytes([whole[at] ^ (1 << random.randrange(8))]) + whole[at + 1 :])
        with pytest.raises(sealed.SealedError, match="digest"):
            sealed.read(path)


def test_a_write_that_fails_leaves_what_was_there(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "state"
    sealed.write(path, b"one")

    def full(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(sealed.SealedError, match="No space left"):
        sealed.write(path, b"two")
    monkeypatch.undo()
    assert sealed.read(path) == b"one"
    with pytest.raises(sealed.SealedError, match="more than"):
        sealed.write(path, b"x" * (sealed.MOST_BYTES + 1))
    assert sealed.read(path) == b"one"


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("step", ["the file's sync", "the move", "the folder's sync"])
def test_a_disk_that_fails_at_any_step_leaves_a_whole_value_and_the_next_write_is_made_anew(
    step: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "state"
    sealed.write(path, b"one")
    sync, move = os.fsync, os.replace

    def fails(*_: object) -> None:
        raise OSError(number, os.strerror(number))

    def sync_of_files_only(descriptor: int) -> None:
        fails() if os.path.isdir(f"/proc/self/fd/{descriptor}") else sync(descriptor)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fails if step == "the file's sync" else sync_of_files_only)
        patch.setattr(os, "replace", fails if step == "the move" else move)
        with pytest.raises(sealed.SealedError, match=os.strerror(number)):
            sealed.write(path, b"two")
    assert sealed.read(path) == (b"two" if step == "the folder's sync" else b"one")
    assert [one.name for one in tmp_path.iterdir()] == ["state"]
    sealed.write(path, b"three")
    assert sealed.read(path) == b"three"
