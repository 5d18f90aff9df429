"""What `KNOWN-RED.txt` lets pass, and what it does not, by whole runs of the test command's runner."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert 1 == 2\n\ndef test_green():\n    assert True\n"


def play(folder: Path, known: str, tests: str = TESTS) -> tuple[int, str]:
    """The exit code and output of a run over these tests, in two workers as the test command has it."""
    shutil.copy(Path(__file__).parent / "conftest.py", folder)
    (folder / "test_some.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(known)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-n", "2", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
    )
    return done.returncode, done.stdout + done.stderr


def test_only_what_is_listed_may_fail_and_each_is_printed(tmp_path: Path) -> None:
    code, said = play(tmp_path, "test_some.py::test_red | the moon is full | 39\n")
    assert code == 0 and "KNOWN RED, fails: test_some.py::test_red | the moon is full | 39" in said
    code, said = play(tmp_path, "test_some.py::test_green | none any more | 39\n")
    assert code == 1 and "ready to be taken out: test_some.py::test_green" in said
    code, said = play(tmp_path, "", TESTS.replace("1 == 2", "2 == 2"))
    assert code == 0 and "KNOWN RED" not in said


@pytest.mark.parametrize(
    "known",
    [
        "test_some.py::test_red | the moon is full\n",
        "test_some.py::test_red |  | 39\n",
        "test_some.py::test_gone | moon | 39\n",
        "test_none.py::test_red | moon | 39\n",
        "test_some.py::test_red | moon | 39\n" * 2,
        "".join(f"test_some.py::test_{n} | moon | 39\n" for n in range(4)),
    ],
    ids=["no issue", "no cause", "no such test", "no such file", "twice", "four lines"],
)
def test_a_list_that_cant_be_used_fails_the_run(tmp_path: Path, known: str) -> None:
    code, said = play(tmp_path, known, TESTS.replace("1 == 2", "2 == 2"))
    assert code not in (0, 5) and "KNOWN-RED.txt" in said
