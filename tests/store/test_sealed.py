"""Files with a checksum: a killed writer leaves the old content or the new, and damage is always an error."""

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


def test_a_killed_writer_leaves_one_complete_value_no_older_than_the_last_reported(
    tmp_path: Path,
) -> None:
    random, path = Random(5), tmp_path / "state"
    for _ in range(12):
        child = subprocess.Popen(
            [sys.executable, "-c", _WRITER, str(path)], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout
        reported = 0
        for _ in range(random.randrange(1, 40)):
            reported = int(child.stdout.readline())
        os.kill(child.pid, signal.SIGKILL)
        rest = child.stdout.read().split()
        child.wait()
        reported = int(rest[-1]) if rest and rest[-1] else reported
        found = sealed.read(path)
        assert found is not None and len(found) == 27_000 and found == found[:9] * 3000
        assert int(found[:9]) >= reported - 1


def test_a_truncated_file_or_a_flipped_bit_is_an_error_and_not_a_missing_file(tmp_path: Path) -> None:
    path, random = tmp_path / "state", Random(6)
    assert sealed.read(path) is None
    sealed.write(path, b"promised")
    complete = path.read_bytes()
    for length in range(len(complete)):
        path.write_bytes(complete[:length])
        with pytest.raises(sealed.SealedError, match="digest"):
            sealed.read(path)
    for _ in range(50):
        at = random.randrange(len(complete))
        path.write_bytes(
            complete[:at] + bytes([complete[at] ^ (1 << random.randrange(8))]) + complete[at + 1 :]
        )
        with pytest.raises(sealed.SealedError, match="digest"):
            sealed.read(path)


def test_a_write_that_fails_leaves_the_old_content(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "state"
    sealed.write(path, b"one")

    def raise_disk_full(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", raise_disk_full)
    with pytest.raises(sealed.SealedError, match="No space left"):
        sealed.write(path, b"two")
    monkeypatch.undo()
    assert sealed.read(path) == b"one"
    with pytest.raises(sealed.SealedError, match="more than"):
        sealed.write(path, b"x" * (sealed.MAX_BYTES + 1))
    assert sealed.read(path) == b"one"


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("step", ["the file's sync", "the move", "the folder's sync"])
def test_a_disk_error_at_any_step_leaves_a_complete_value_and_the_next_write_succeeds(
    step: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "state"
    sealed.write(path, b"one")
    sync, rename = os.fsync, os.replace

    def fail(*_: object) -> None:
        raise OSError(number, os.strerror(number))

    def sync_of_files_only(descriptor: int) -> None:
        fail() if os.path.isdir(f"/proc/self/fd/{descriptor}") else sync(descriptor)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail if step == "the file's sync" else sync_of_files_only)
        patch.setattr(os, "replace", fail if step == "the move" else rename)
        with pytest.raises(sealed.SealedError, match=os.strerror(number)):
            sealed.write(path, b"two")
    assert sealed.read(path) == (b"two" if step == "the folder's sync" else b"one")
    assert [entry.name for entry in tmp_path.iterdir()] == ["state"]
    sealed.write(path, b"three")
    assert sealed.read(path) == b"three"
