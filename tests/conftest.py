"""Lets the tests listed in `KNOWN-RED.txt` fail. Each line of the file holds one known fault that is not
fixed yet:

    test id | command and seed | what was seen | issue

Only these tests may fail, and only with the failure that their entry names: the text in backquotes in the
third field must occur in the report of the failure. Each listed test is printed; if it passes, it is printed
as ready to be removed from the file. Entries that are not tests (a bench run, a soak seed) begin with
`bench:` or `soak:` and are printed too. The run fails if a line is incomplete, names no test or no issue
number, or repeats a test.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
import structlog

from tuliptrack.node.counters import Counters

FILE_NAME = "KNOWN-RED.txt"
LINE_FORMAT = "'test id | command and seed | what was seen | issue'"
NON_TEST_PREFIXES = ("bench:", "soak:")
"""Prefixes of entries that are not pytest tests."""


@dataclass(frozen=True)
class KnownRed:
    """One entry of `KNOWN-RED.txt`."""

    test: str
    command: str
    seen: str
    issue: str

    @property
    def is_test(self) -> bool:
        return not self.test.startswith(NON_TEST_PREFIXES)

    @property
    def failure(self) -> str:
        """The text that identifies the failure; empty if the entry has none."""
        quoted = self.seen.split("`")
        return quoted[1] if len(quoted) > 2 else ""

    def __str__(self) -> str:
        return f"{self.test} | {self.command} | {self.seen} | {self.issue}"


def known_red(root: Path) -> dict[str, KnownRed]:
    """Return the entries of `KNOWN-RED.txt` by test id; without the file, there are none.

    Raises:
        pytest.UsageError: a line is invalid; the message names it.
    """
    file = root / FILE_NAME
    lines = file.read_text().splitlines() if file.exists() else []
    found: dict[str, KnownRed] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        fields = [part.strip() for part in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise pytest.UsageError(f"{FILE_NAME}:{number}: must be {LINE_FORMAT}, is {line!r}")
        entry = KnownRed(*fields)
        if not entry.issue.isdecimal():
            raise pytest.UsageError(f"{FILE_NAME}:{number}: {entry.issue!r} is no issue's number")
        if entry.is_test and not entry.failure:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: what was seen names no failure in backquotes")
        if entry.test in found:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: {entry.test} stands twice")
        found[entry.test] = entry
    return found


@pytest.fixture(autouse=True)
def no_invariant_is_violated() -> Iterator[list[str]]:
    """Fail a test in which a node of this process counts an invariant violation.

    A test that causes a violation on purpose checks the list and clears it.
    """
    broken: list[str] = []
    Counters.watchers.append(broken.append)
    yield broken
    Counters.watchers.remove(broken.append)
    assert not broken, broken


_KNOWN = pytest.StashKey[KnownRed]()


class NoSuchTest(pytest.Item):
    """Fails in place of a listed test that does not exist."""

    def runtest(self) -> None:
        pytest.fail(f"{FILE_NAME}: {self.name} names no test", pytrace=False)


def _plain_tracebacks() -> None:
    """Log plain tracebacks, as a node does: formatting all local variables blocks the event loop for a
    second.
    """
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
    )  # If single tests are selected, pytest does not collect the other tests of their files.
    for test, known in known_red(config.rootpath).items():
        file = test.partition("::")[0]
        if not known.is_test:
            continue
        if item := collected.get(test):
            item.stash[_KNOWN] = known
        elif items and (not (config.rootpath / file).is_file() or (file in files and not chosen)):
            items.append(NoSuchTest.from_parent(items[0].session, name=test))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Let a listed test fail with the failure that its entry names, and with no other."""
    report = yield
    known = item.stash.get(_KNOWN, None)
    if known and report.when == "call":
        if report.failed and known.failure in report.longreprtext:
            report.outcome, report.wasxfail = "skipped", str(known)
        elif report.passed:
            report.wasxfail = str(known)
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = known_red(config.rootpath)
    for outcome, label in (
        ("xfailed", "KNOWN RED, fails"),
        ("xpassed", "KNOWN RED, passes: ready to be taken out"),
    ):
        for report in terminalreporter.stats.get(outcome, []):
            if entry := known.get(report.nodeid):
                terminalreporter.write_line(f"{label}: {entry}")
    for entry in known.values():
        if not entry.is_test:
            terminalreporter.write_line(f"KNOWN RED, not played here: {entry}")
