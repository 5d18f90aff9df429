"""A node's account of cross-zone transfers: each byte is reported once, also after failed writes."""

from __future__ import annotations

import errno
import json
import os
from pathlib import Path

import pytest

from tuliptrack.cli.report import read_rows
from tuliptrack.interface import CrossZoneCause
from tuliptrack.node import cross_zone_account
from tuliptrack.node.cross_zone_account import CrossZoneAccount, Transfer, TransferStage


def new_account(path: Path) -> CrossZoneAccount:
    return CrossZoneAccount(("north", "south"), str(path), 1 << 20, 0)


def transfer(account: CrossZoneAccount, size: int, request_class: str = "question") -> None:
    account.track(
        Transfer(
            request_class,
            "a",
            TransferStage.PROMPT,
            0,
            1,
            CrossZoneCause.BUDGET,
            lambda: size,
            tokens=size / 4,
        )
    ).has_ended = True


def rows(path: Path) -> list[tuple[str, int, int]]:
    return [(row["class"], row["bytes"], row["moves"]) for row in read_rows((str(path),))]


@pytest.mark.parametrize("call", ["pwrite", "fsync", "open"])
def test_interval_that_can_not_be_written_is_written_with_the_next(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "report"
    account = new_account(path)
    transfer(account, 100)
    account.write(account.close_interval())

    def fail(*_: object) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        for size in (200, 300):
            transfer(account, size)
            account.write(account.close_interval())
    transfer(account, 7, "summary")
    account.write(account.close_interval())
    account.write(account.close_interval())
    assert rows(path) == [("question", 100, 1), ("question", 500, 2), ("summary", 7, 1)]


def test_incomplete_line_of_a_killed_node_does_not_corrupt_the_report(tmp_path: Path) -> None:
    path = tmp_path / "report"
    account = new_account(path)
    transfer(account, 100)
    account.write(account.close_interval())
    with path.open("a") as file:
        file.write(json.dumps({"t": 1})[:5])
    restarted = new_account(path)
    transfer(restarted, 50)
    restarted.write(restarted.close_interval())
    assert [size for _, size, _ in rows(path)] == [100, 50]


def test_number_of_unwritten_rows_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(cross_zone_account, "MAX_KEYS", 3)
    account = new_account(tmp_path / "no folder" / "report")
    for number in range(6):
        transfer(account, 10, f"class-{number}")
        account.write(account.close_interval())
    assert len(account.unwritten) == 4
    assert sum(row.size_bytes for row in account.unwritten.values()) == 60


def test_bytes_that_arrive_after_the_end_of_a_call_are_counted_in_later_intervals(tmp_path: Path) -> None:
    """Tokens that are in flight when the node resets a call arrive up to a round trip later."""
    account, size = new_account(tmp_path / "report"), [100]
    account.track(
        Transfer("question", "a", TransferStage.OUTPUT, 1, 0, CrossZoneCause.BUDGET, lambda: size[0])
    ).has_ended = True
    for more in (14, 28):
        account.close_interval()
        size[0] += more
    assert sum(row.size_bytes for row in account.close_interval().values()) == 28
    assert sum(row.size_bytes for row in account.total.values()) == 142


def test_transfer_that_exceeds_the_tracking_limit_is_booked_with_its_current_size(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(cross_zone_account, "MAX_TRANSFERS", 2)
    account = new_account(tmp_path / "report")
    for size in (1, 10, 100):
        transfer(account, size)
    assert sum(row.size_bytes for row in account.close_interval().values()) == 111
