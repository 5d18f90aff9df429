"""`KNOWN-RED.txt` at the root: tests that fail for a real fault that is known and not mended yet, three at
most, a line each:

    test id | cause | issue

Only these may fail. Each is printed with its cause, and one that passes is printed as ready to be taken out.
A line with a part missing, a fourth line, or an id that names no test fails the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import structlog

from tuliptrack.node.counters import Counters

NAME, MOST = "KNOWN-RED.txt", 3


@dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: str


def known_red(root: Path) -> dict[str, KnownRed]:
    """The file's lines by test; none where there is no file. pytest.UsageError names a line that can't be
    used.
    """
    file = root / NAME
    lines = file.read_text().splitlines() if file.exists() else []
    found: dict[str, KnownRed] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{NAME}:{number}: must be 'test id | cause | issue', is {line!r}")
        if parts[0] in found:
            raise pytest.UsageError(f"{NAME}:{number}: {parts[0]} stands twice")
        found[parts[0]] = KnownRed(*parts)
    if len(found) > MOST:
        raise pytest.UsageError(f"{NAME}: {len(found)} lines, {MOST} at most")
    return found


@pytest.fixture(autouse=True)
def no_invariant_is_violated() -> Iterator[list[str]]:
    """What nodes in this process count as a broken invariant fails the test; one that means to break it
    empties the list.
    """
    broken: list[str] = []
    Counters.watchers.append(broken.append)
    yield broken
    Counters.watchers.remove(broken.append)
    assert not broken, broken


class NoSuchTest(pytest.Item):
    """Fails in the place of a test that is listed and isn't there."""

    def runtest(self) -> None:
        pytest.fail(f"{NAME}: {self.name} names no test", pytrace=False)


def _plain_tracebacks() -> None:
    """Log like a node does: a traceback with all locals takes a second in which the loop stands still."""
    processors = structlog.get_config()["processors"]
    console = structlog.dev.ConsoleRenderer(colors=False, exception_formatter=structlog.dev.plain_traceback)
    structlog.configure(processors=[*processors[:-1], console])


def pytest_configure(config: pytest.Config) -> None:
    _plain_tracebacks()
    known_red(config.rootpath)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected = {item.nodeid: item for item in items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    chosen = any(
        "::" in arg for arg in config.args
    )  # Single tests were asked for: others of their file aren't collected.
    for test, known in known_red(config.rootpath).items():
        file = test.partition("::")[0]
        if item := collected.get(test):
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} | {known.issue}", strict=False))
        elif items and (not (config.rootpath / file).is_file() or (file in files and not chosen)):
            items.append(NoSuchTest.from_parent(items[0].session, name=test))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = known_red(config.rootpath)
    for outcome, says in (
        ("xfailed", "KNOWN RED, fails"),
        ("xpassed", "KNOWN RED, passes: ready to be taken out"),
    ):
        for report in terminalreporter.stats.get(outcome, []):
            if one := known.get(report.nodeid):
                terminalreporter.write_line(f"{says}: {one.test} | {one.cause} | {one.issue}")
