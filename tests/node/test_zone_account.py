"""A node's account of what has crossed zones: what can't be written down now is written down later, once."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

import pytest

from tuliptrack.cli.report import read_rows
from tuliptrack.interface import CrossZoneCause
from tuliptrack.node import cross_zone_account
from tuliptrack.node.cross_zone_account import CrossZoneAccount, Transfer


def account(path: Path) -> CrossZoneAccount:
    return CrossZoneAccount(("north", "south"), str(path), 1 << 20, 0)


def moved(books: CrossZoneAccount, size: int, cls: str = "question") -> None:
    books.take(
        Transfer(cls, "a", "prompt", 0, 1, CrossZoneCause.BUDGET, lambda: size, tokens=size / 4)
    ).over = True


def rows(path: Path) -> list[tuple[str, int, int]]:
    return [(row["class"], row["bytes"], row["moves"]) for row in read_rows((str(path),))]


@pytest.mark.parametrize("call", ["pwrite", "fsync", "open"])
def test_an_interval_that_can_not_be_written_goes_with_the_next(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "report"
    books = account(path)
    moved(books, 100)
    books.write(books.book())

    def fails(*_: object) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fails)
        for size in (200, 300):
            moved(books, size)
            books.write(books.book())
    moved(books, 7, "summary")
    books.write(books.book())
    books.write(books.book())
    assert rows(path) == [("question", 100, 1), ("question", 500, 2), ("summary", 7, 1)]


def test_half_a_line_of_a_killed_node_does_not_spoil_the_report(tmp_path: Path) -> None:
    path = tmp_path / "report"
    books = account(path)
    moved(books, 100)
    books.write(books.book())
    with path.open("a") as file:
        file.write(json.dumps({"t": 1})[:5])
    again = account(path)
    moved(again, 50)
    again.write(again.book())
    assert [size for _, size, _ in rows(path)] == [100, 50]


def test_what_waits_to_be_written_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cross_zone_account, "MOST_KEYS", 3)
    books = account(tmp_path / "no folder" / "report")
    for number in range(6):
        moved(books, 10, f"class-{number}")
        books.write(books.book())
    assert len(books.unwritten) == 4
    assert sum(row[0] for row in books.unwritten.values()) == 60


def test_what_comes_after_a_call_has_ended_is_counted_however_often_intervals_end(tmp_path: Path) -> None:
    """A reset of ours crosses tokens that are under way: they come up to a round trip later."""
    books, size = account(tmp_path / "report"), [100]
    books.take(Transfer("question", "a", "answer", 1, 0, CrossZoneCause.BUDGET, lambda: size[0])).over = True
    for more in (14, 28):
        books.book()
        size[0] += more
    assert sum(row[0] for row in books.book().values()) == 28
    assert sum(row[0] for row in books.total.values()) == 142


def test_a_move_that_makes_room_for_another_is_booked_as_it_stands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(cross_zone_account, "MOST_MOVES", 2)
    books = account(tmp_path / "report")
    for size in (1, 10, 100):
        moved(books, size)
    assert sum(row[0] for row in books.book().values()) == 111
