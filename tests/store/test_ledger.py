"""The ledger when its process is killed, its file damaged or full, and when it is compacted.

What is committed is kept, and nothing counts twice.
"""

from __future__ import annotations

import itertools
import os
import random
import signal
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import lmdb
import pytest

from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord, compute_bills, daily_totals
from tuliptrack.store.ledger import Ledger, LedgerError, LedgerFull
from tuliptrack.store.ledger_format import digest_of
from tuliptrack.store.ledger_reading import read_daily_totals, read_usage_records, verify

PRICE = TokenPrice(2, 1, 10)
WRITER = """
import sys
import threading
from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord
from tuliptrack.store.ledger import Ledger
ledger, name, number = Ledger(sys.argv[1]), sys.argv[2], 0
print(ledger.recovery.cut, flush=True)
while True:
    for step in range(4):  # four works, each growing with every commit and final at the fourth
        for k in range(4):
            ledger.add(UsageRecord(name, number + k, "a", f"{name}-{number + k}", 0, 100, 0, 0, 5 * step + 1,
                            UsageOutcome.SERVED if step == 3 else UsageOutcome.OPEN, price=TokenPrice(2, 1, 10)))
        ledger.commit()
        print(number, step, flush=True)
    number += 4
"""


def part(
    number: int,
    next_: int = 5,
    outcome: int = UsageOutcome.SERVED,
    at: int = 0,
    tenant: str = "a",
    work: str = "",
) -> UsageRecord:
    return UsageRecord("n", number, tenant, work or f"w{number}", at, 100, 0, 0, next_, outcome, price=PRICE)


def filled(path: Path, batches: int = 6, size: int = 5) -> Ledger:
    ledger = Ledger(str(path))
    for batch in range(batches):
        for k in range(size):
            ledger.add(part(batch * size + k, at=batch * 1000))
        ledger.commit()
    return ledger


def test_a_writer_killed_at_any_moment_loses_at_most_what_it_had_not_committed(tmp_path: Path) -> None:
    """One ledger, whose writers are killed one after the other at random moments.

    TULIPTRACK_KILLS sets how many (200 in runs by hand).
    """
    path, chance = tmp_path / "ledger", random.Random(5)
    committed: dict[str, int] = {}
    for index in range(int(os.environ.get("TULIPTRACK_KILLS", "8"))):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(path), f"writer{index}"], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout
        lines = [writer.stdout.readline()]
        for _ in range(chance.randrange(1, 40)):
            lines.append(writer.stdout.readline())
        writer.send_signal(signal.SIGKILL)
        lines += writer.stdout.readlines()
        writer.wait()
        for line in lines[1:]:
            if line.endswith("\n"):
                number, step = map(int, line.split())
                committed.update({f"writer{index}-{number + k}": 5 * step + 1 for k in range(4)})
        bills = {bill.work: bill.written for bill in compute_bills(read_usage_records(str(path)))}
        assert all(bills[work] >= tokens for work, tokens in committed.items())
        # Beyond what was reported there is at most one more commit: four works, one step further.
        more = {
            work: bills[work] - committed.get(work, 0) for work in bills if bills[work] != committed.get(work)
        }
        assert len(more) <= 4 and all(0 < tokens <= 6 for tokens in more.values())
        committed |= {work: bills[work] for work in more}
        assert verify(str(path))[1] == []
    ledger = Ledger(str(path))
    ledger.close()
    assert all(
        p.outcome in (UsageOutcome.SERVED, UsageOutcome.CUT)
        for p in {p.key: p for p in read_usage_records(str(path))}.values()
    )


def test_records_left_open_by_a_crash_end_as_cut_with_what_was_committed(tmp_path: Path) -> None:
    ledger = Ledger(str(tmp_path))
    ledger.add(part(1, 7, UsageOutcome.OPEN))
    ledger.add(part(2, 9, UsageOutcome.SERVED))
    ledger.commit()
    ledger.add(part(1, 8, UsageOutcome.OPEN))  # never committed
    ledger.close()
    again = Ledger(str(tmp_path))
    assert again.recovery.cut == 1
    with pytest.raises(LedgerError, match="another process"):
        subprocess_open(tmp_path)
    again.close()
    last = {p.number: p for p in read_usage_records(str(tmp_path))}
    assert (last[1].next, last[1].outcome) == (7, UsageOutcome.CUT) and last[2].outcome == UsageOutcome.SERVED
    assert Ledger(str(tmp_path)).recovery.cut == 0


def subprocess_open(path: Path) -> None:
    code = f"from tuliptrack.store.ledger import Ledger; Ledger({str(path)!r})"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=False)
    if done.returncode:
        raise LedgerError(done.stderr.strip().splitlines()[-1])


def modify(path: Path, action: Callable[..., None]) -> None:
    env = lmdb.open(str(path), max_dbs=4)
    batches = env.open_db(b"batches")
    with env.begin(write=True) as txn:
        action(txn, batches)
    env.close()


def test_verify_finds_a_flipped_bit_a_missing_batch_and_a_duplicated_one(tmp_path: Path) -> None:
    def flip(txn: lmdb.Transaction, db: Any) -> None:
        value = bytearray(txn.get((3).to_bytes(8, "big"), b"", db))
        value[len(value) // 2] ^= 4
        txn.put((3).to_bytes(8, "big"), bytes(value), db=db)

    def drop(txn: lmdb.Transaction, db: Any) -> None:
        txn.delete((4).to_bytes(8, "big"), db=db)

    def duplicate(txn: lmdb.Transaction, db: Any) -> None:
        from tuliptrack.proto import billing_pb2

        value = bytes(txn.get((6).to_bytes(8, "big"), b"", db))
        batch = billing_pb2.BillBatch.FromString(value[:-8])
        batch.sequence, batch.before = 7, digest_of(value[:-8])
        body = batch.SerializeToString()
        txn.put((7).to_bytes(8, "big"), body + digest_of(body).to_bytes(8, "big"), db=db)

    for name, action, sequence, words in (
        ("good", lambda txn, db: None, 0, ""),
        ("flip", flip, 3, "digest"),
        ("drop", drop, 4, "missing"),
        ("duplicate", duplicate, 7, "stands twice"),
    ):
        filled(tmp_path / name).close()
        modify(tmp_path / name, action)
        count, problems = verify(str(tmp_path / name))
        assert count == {"drop": 5, "duplicate": 7}.get(name, 6)
        assert (
            (not problems)
            if not words
            else any(p.sequence == sequence and words in p.reason for p in problems)
        ), problems
    with pytest.raises(LedgerError, match="batch 3"):
        list(read_usage_records(str(tmp_path / "flip")))
    with pytest.raises(LedgerError, match="no ledger"):
        verify(str(tmp_path / "nothing"))


def test_a_full_file_raises_ledger_full_and_loses_nothing_that_waits(tmp_path: Path) -> None:
    ledger = Ledger(str(tmp_path), max_bytes=1 << 20)
    number = 0
    with pytest.raises(LedgerFull):
        for _ in range(1000):
            for _ in range(100):
                ledger.add(part(number, work="w" * 60 + str(number)))
                number += 1
            ledger.commit()
    waiting = {number for _, number in ledger.waiting}
    assert len(waiting) == 100 and ledger.size() <= 1 << 20
    ledger.close()
    written = {p.number for p in read_usage_records(str(tmp_path))}
    assert written | waiting == set(range(number)) and verify(str(tmp_path))[1] == []
    again = Ledger(str(tmp_path), max_bytes=1 << 20)
    for n in waiting:
        again.add(part(n, work="w" * 60 + str(n)))
    with pytest.raises(LedgerFull):
        again.commit()
    assert again.compact(1) > 0  # This frees space, and what waited is written.
    assert again.commit() == 100
    again.close()


def test_compaction_keeps_every_total_and_leaves_works_with_later_records_alone(tmp_path: Path) -> None:
    ledger = filled(tmp_path, 6, 5)
    ledger.add(
        replace(part(100, 3, UsageOutcome.CUT, at=0, work="w12"), node="other", first=5)
    )  # a work of the third batch continues
    ledger.commit()
    ledger.close()
    before = daily_totals(compute_bills(read_usage_records(str(tmp_path))))[("a", 0)]
    ledger = Ledger(str(tmp_path))
    assert ledger.compact(5_000) == 2  # the third batch holds the work that continues
    assert ledger.compact(5_000) == 0
    ledger.close()
    rest = daily_totals(compute_bills(read_usage_records(str(tmp_path))))[("a", 0)]
    folded = read_daily_totals(str(tmp_path))[0]
    for name in ("works", "read", "written", "amount"):
        assert getattr(rest, name) + getattr(folded, name) == getattr(before, name)
    assert folded.works == 10 and verify(str(tmp_path))[1] == []
    ledger = Ledger(str(tmp_path))
    ledger.add(part(200))
    ledger.commit()
    ledger.close()
    assert verify(str(tmp_path))[1] == [] and Ledger(str(tmp_path)).sequence == 8


def test_the_usage_since_a_time_is_read_from_the_newest_batches(tmp_path: Path) -> None:
    ledger = filled(tmp_path, 6, 5)
    found = ledger.records_since(4_000)
    assert sorted(p.number for p in found) == list(range(20, 30))
    ledger.close()


def test_concurrent_commits_lose_nothing(tmp_path: Path) -> None:
    ledger = Ledger(str(tmp_path / "l"), 2**24)
    number = itertools.count(1)

    def many() -> None:
        for _ in range(60):
            ledger.add(part(next(number)))
            ledger.commit()

    threads = [threading.Thread(target=many) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ledger.commit()
    ledger.close()
    assert len(list(read_usage_records(str(tmp_path / "l")))) == 240


TEMPORARILY_FULL = """
import os, resource, sys
from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord
from tuliptrack.store.ledger import Ledger, LedgerError

def limit(size):  # A write beyond it fails with EFBIG; Python ignores the signal that would end the process.
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

def add(numbers):
    for n in numbers:
        ledger.add(UsageRecord("n", n, "a", f"w{n}" + "x" * 300, 0, 100, 0, 0, 5, UsageOutcome.SERVED, price=TokenPrice(2, 1, 10)))

def commit():
    try:
        return str(ledger.commit())
    except LedgerError as error:
        return type(error).__name__

ledger = Ledger(sys.argv[1])
add(range(100))
results = [commit()]
for allowed in (os.path.getsize(sys.argv[1] + "/data.mdb"), 4096, 0):
    limit(allowed)
    for numbers in (range(100, 300), range(300, 400)):
        add(numbers)
        results.append(commit())
limit(resource.RLIM_INFINITY)
results.append(commit())
print(" ".join(results))
"""


def test_records_that_could_not_be_written_are_written_once_after_the_disk_recovers(
    tmp_path: Path,
) -> None:
    done = subprocess.run(
        [sys.executable, "-c", TEMPORARILY_FULL, str(tmp_path)], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["100", *["LedgerError"] * 6, "300"]
    assert verify(str(tmp_path)) == (2, [])
    assert sorted(p.number for p in read_usage_records(str(tmp_path))) == list(range(400))


class FailingRoot:
    """An LMDB environment whose next commit fails while its root is written; then it accepts no transaction."""

    def __init__(self, env: lmdb.Environment, written: bool) -> None:
        self.env, self.written, self.failed = env, written, False

    @contextmanager
    def begin(self, write: bool = False) -> Iterator[lmdb.Transaction]:
        if self.failed:
            raise lmdb.PanicError(
                "mdb_txn_begin: MDB_PANIC: Update of meta page failed or environment had fatal error"
            )
        self.failed = True
        txn = self.env.begin(write=write)
        yield txn
        txn.commit() if self.written else txn.abort()
        raise lmdb.Error("mdb_txn_commit: Input/output error")

    def close(self) -> None:
        self.env.close()


@pytest.mark.parametrize("written", [False, True], ids=["the commit is lost", "the commit is in the file"])
def test_after_an_error_on_its_root_the_ledger_is_reopened_and_no_record_is_duplicated(
    tmp_path: Path, written: bool
) -> None:
    ledger = filled(tmp_path, batches=1, size=2)
    ledger.env = cast(Any, FailingRoot(ledger.env, written))
    ledger.add(part(10, 3, UsageOutcome.OPEN))
    ledger.add(part(11))
    with pytest.raises(LedgerError, match="Input/output error"):
        ledger.commit()
    ledger.add(part(10, 8, UsageOutcome.SERVED))
    ledger.add(part(12))
    assert ledger.commit() == (2 if written else 3)
    ledger.close()
    assert verify(str(tmp_path)) == (3 if written else 2, [])
    last = {p.number: p.next for p in read_usage_records(str(tmp_path))}
    assert last == {0: 5, 1: 5, 10: 8, 11: 5, 12: 5}


def test_a_file_that_cannot_be_reopened_yet_is_reopened_by_a_later_commit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ledger = filled(tmp_path, batches=1, size=2)
    ledger.env = cast(Any, FailingRoot(ledger.env, False))
    ledger.add(part(10))

    def raise_disk_full(*_: object, **__: object) -> None:
        raise lmdb.DiskError("No space left on device")

    with pytest.raises(LedgerError, match="Input/output"):
        ledger.commit()
    with monkeypatch.context() as patch:
        patch.setattr(lmdb, "open", raise_disk_full)
        for _ in range(2):
            with pytest.raises(LedgerError, match="No space left"):
                ledger.commit()
    assert ledger.commit() == 1
    ledger.close()
    assert verify(str(tmp_path)) == (2, [])


def test_a_ledger_opens_on_a_full_disk_and_ends_open_records_later(tmp_path: Path) -> None:
    ledger = Ledger(str(tmp_path))
    ledger.add(part(1, 7, UsageOutcome.OPEN))
    ledger.commit()
    ledger.close()
    code = f"""
import resource
from tuliptrack.store.ledger import Ledger
resource.setrlimit(resource.RLIMIT_FSIZE, (8192, resource.RLIM_INFINITY))
ledger = Ledger({str(tmp_path)!r})
print(ledger.recovery.cut, bool(ledger.recovery.trouble))
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
print(ledger.commit())
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["1", "True", "1"]
    assert [p.outcome for p in read_usage_records(str(tmp_path))] == [UsageOutcome.OPEN, UsageOutcome.CUT]


def test_a_folder_that_cannot_be_created_is_named_by_the_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(LedgerError, match="file/ledger"):
        Ledger(str(tmp_path / "file" / "ledger"))
