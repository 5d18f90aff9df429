"""Only `rpc/clock.py` reads the wall clock, which can be stepped; everything else uses monotonic time."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parents[1] / "tuliptrack"
STEPPED = {"time", "time_ns", "localtime", "gmtime", "now", "utcnow", "today"}
LAB = PACKAGE / "lab"  # simulates the platform, whose endpoint lists contain wall-clock times
ALLOWED = {PACKAGE / "rpc" / "clock.py"}


def readings(source: str) -> list[int]:
    """Return the numbers of the lines that read the wall clock."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and node.attr in STEPPED:
            owner = node.value
            name = (
                owner.id
                if isinstance(owner, ast.Name)
                else owner.attr
                if isinstance(owner, ast.Attribute)
                else ""
            )
            if name in ("time", "datetime", "date"):
                found.append(node.lineno)
        if (
            isinstance(node, ast.ImportFrom)
            and node.module == "time"
            and {a.name for a in node.names} & STEPPED
        ):
            found.append(node.lineno)
    return found


def test_the_wall_clock_is_read_in_one_place() -> None:
    files = [file for file in PACKAGE.rglob("*.py") if file not in ALLOWED and LAB not in file.parents]
    assert len(files) > 100
    assert {
        str(file.relative_to(PACKAGE)): lines for file in files if (lines := readings(file.read_text()))
    } == {}


@pytest.mark.parametrize(
    "source",
    [
        "import time\nx = time.time()",
        "import time\nx = time.time_ns()",
        "from time import time",
        "import datetime\nx = datetime.datetime.now()",
        "from datetime import datetime\nx = datetime.now()",
    ],
)
def test_a_wall_clock_reading_is_found(source: str) -> None:
    assert readings(source)
