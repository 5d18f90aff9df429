"""Which failures `KNOWN-RED.txt` excuses, checked by complete pytest runs."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert 1 == 2\n\ndef test_green():\n    assert True\n"


def run_pytest(folder: Path, known: str, tests: str = TESTS) -> tuple[int, str]:
    """Return the exit code and output of a pytest run of the given tests with two workers, as in the test
    command.
    """
    shutil.copy(Path(__file__).parent / "conftest.py", folder)
    (folder / "test_some.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(known)
    process = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-n", "2", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
    )
    return process.returncode, process.stdout + process.stderr


RED = "test_some.py::test_red | pytest, no seed"
SEEN = "`assert 1 == 2`, once"


def test_only_what_is_listed_may_fail_and_each_is_printed(tmp_path: Path) -> None:
    known = f"{RED} | {SEEN} | 39"
    code, output = run_pytest(tmp_path, known + "\nsoak: seed 7 | soak run 7 | late | 39\n")
    assert code == 0 and f"KNOWN RED, fails: {known}" in output
    assert "KNOWN RED, not played here: soak: seed 7 | soak run 7 | late | 39" in output
    code, output = run_pytest(tmp_path, f"test_some.py::test_green | pytest | {SEEN} | 39\n")
    assert code == 1 and "ready to be taken out: test_some.py::test_green" in output
    code, output = run_pytest(tmp_path, "", TESTS.replace("1 == 2", "2 == 2"))
    assert code == 0 and "KNOWN RED" not in output


def test_a_listed_test_with_another_failure_fails_the_run(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, f"{RED} | {SEEN} | 39\n", TESTS.replace("1 == 2", "1 == 3"))
    assert code == 1 and "KNOWN RED" not in output and "assert 1 == 3" in output


@pytest.mark.parametrize(
    "known",
    [
        f"{RED} | {SEEN}\n",
        f"{RED} |  | 39\n",
        f"test_some.py::test_red | {SEEN} | 39\n",
        f"{RED} | {SEEN} | moon\n",
        f"{RED} | moon | 39\n",
        f"test_some.py::test_gone | pytest | {SEEN} | 39\n",
        f"test_none.py::test_red | pytest | {SEEN} | 39\n",
        f"{RED} | {SEEN} | 39\n" * 2,
    ],
    ids=[
        "no issue",
        "nothing seen",
        "no command",
        "no number",
        "no failure named",
        "no such test",
        "no such file",
        "twice",
    ],
)
def test_an_invalid_list_fails_the_run(tmp_path: Path, known: str) -> None:
    code, output = run_pytest(tmp_path, known, TESTS.replace("1 == 2", "2 == 2"))
    assert code not in (0, 5) and "KNOWN-RED.txt" in output
