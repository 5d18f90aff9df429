"""The ledger of one node: parts of bills, added in group commits that are whole or not there, in LMDB.

A commit is one value: the batch's bytes and their digest, which the next batch names. So `verify` finds a bit
that flipped, a batch that is missing, one that stands twice; and a process that is killed loses what it had
not committed, never half of it. LMDB writes copies of its pages and then one root, syncs both, and never
needs repair; what it is asked to keep is bounded by its map.

Where the disk fails, parts wait for the next commit. After an error on the root itself LMDB takes nothing
more: the file is opened anew, and the commit that failed is looked for in it, since it may have come to stand
there all the same.

Bounds: `most_bytes` of the file; `MOST_WAITING` parts between two commits, past which `add` says no.
`compact` folds days past their retention into sums by tenant.
"""

from __future__ import annotations

import os
import threading
import time
from dataclasses import dataclass, replace
from pathlib import Path

import lmdb

from tuliptrack.decisions.billing import (
    DailyTotal,
    UsageOutcome,
    UsageRecord,
    compute_bills,
    daily_totals,
    newest_states,
)
from tuliptrack.proto import billing_pb2 as pb
from tuliptrack.store.ledger_format import (
    DIGEST_BYTES,
    LedgerError,
    LedgerFull,
    batch_key,
    digest_of,
    from_message,
    parse_batch,
    to_message,
)

__all__ = ["Ledger", "LedgerError", "LedgerFull", "Recovery"]

MOST_WAITING = 200_000


@dataclass(frozen=True, slots=True)
class Recovery:
    """What was found at opening."""

    batches: int
    cut: int
    """Parts that a crash had left open; they end as cut, with what had been committed."""
    took_us: int
    trouble: str = ""
    """Why those could not be written down: they wait for the next commit."""


@dataclass(frozen=True, slots=True)
class _FailedCommit:
    """A commit that ended with an error, and may have come to stand in the file all the same."""

    sequence: int
    digest: int
    parts: dict[tuple[str, int], UsageRecord]


def _own(path: str) -> int:
    """The descriptor of the lock that keeps other processes out; LedgerError where one has it."""
    try:
        Path(path).mkdir(parents=True, exist_ok=True)
        lock = os.open(Path(path) / "owner", os.O_CREAT | os.O_RDWR, 0o644)
    except OSError as error:
        raise LedgerError(f"{path}: {error.strerror or error}") from None
    try:
        os.lockf(lock, os.F_TLOCK, 0)
    except OSError:
        os.close(lock)
        raise LedgerError(f"{path}: another process has it open") from None
    return lock


class Ledger:
    """One node's ledger, open for writing. One process at a time; calls block."""

    def __init__(self, path: str, most_bytes: int = 1 << 30) -> None:
        begun = time.monotonic_ns()
        self.path, self.most_bytes = path, most_bytes
        self.waiting: dict[tuple[str, int], UsageRecord] = {}
        self._guard = threading.Lock()
        self._one = threading.Lock()
        """Parts come from the loop while a commit runs in a thread."""
        self._failed: _FailedCommit | None = None
        self._unusable = False
        """LMDB takes nothing more until the file is opened anew."""
        self.refused = 0
        self.sequence, self._before = 0, 0
        self._lock = _own(path)
        try:
            self._open()
            with self.env.begin() as txn:
                left = [
                    from_message(pb.BillPart.FromString(value)) for _, value in txn.cursor(self.open_parts)
                ]
                count = txn.stat(self.batches)["entries"]
        except lmdb.Error as error:
            os.close(self._lock)
            raise LedgerError(f"{path}: {error}") from None
        # What was open belongs to lives that have ended: the client got what was committed, or more.
        for part in left:
            self.waiting[part.key] = replace(part, outcome=UsageOutcome.CUT)
        trouble = ""
        try:
            self.commit()
        except LedgerError as error:
            trouble = str(error)
        self.recovery = Recovery(count, len(left), (time.monotonic_ns() - begun) // 1000, trouble)

    def _open(self) -> None:
        """Open the file and find its last batch; lmdb.Error where that can't be done."""
        self.env = lmdb.open(self.path, map_size=self.most_bytes, max_dbs=4, subdir=True, lock=True)
        self.batches = self.env.open_db(b"batches")
        self.open_parts = self.env.open_db(b"open")
        self.sums = self.env.open_db(b"sums")
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            if cursor.last():
                batch, self._before = parse_batch(cursor.key(), cursor.value())
                self.sequence = batch.sequence

    def _reopen(self) -> None:
        """LMDB takes nothing more: open the file anew. What the commit that failed left in it counts as
        written.
        """
        self.env.close()
        self._open()
        self._unusable = False
        failed, self._failed = self._failed, None
        if failed and (self.sequence, self._before) == (failed.sequence, failed.digest):
            with self._guard:
                for name, part in failed.parts.items():
                    if self.waiting.get(name) == part:
                        del self.waiting[name]

    def add(self, part: UsageRecord) -> bool:
        """Put a part, or its newer state, up for the next commit; False where no more may wait."""
        with self._guard:
            if part.key not in self.waiting and len(self.waiting) >= MOST_WAITING:
                self.refused += 1
                return False
            newest_states([part], self.waiting)
        return True

    def commit(self) -> int:
        """Write what waits, as one batch, and sync it; returns how many parts. LedgerFull leaves them
        waiting. One at a time: a commit that was broken off for the node's end still runs in its thread, and
        would get the same number.
        """
        with self._one:
            try:
                return self._commit_once()
            except lmdb.PanicError:
                self._unusable = True
            try:
                return self._commit_once()
            except lmdb.PanicError as error:
                raise LedgerError(f"{self.path}: {error}") from None

    def _commit_once(self) -> int:
        """One try, on a file that is opened anew where LMDB takes nothing more; lmdb.PanicError where it
        takes nothing now.
        """
        try:
            if self._unusable:
                self._reopen()
            return self._commit()
        except lmdb.PanicError:
            raise
        except lmdb.Error as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def _commit(self) -> int:
        """See `commit`; lmdb.Error, too, leaves parts waiting."""
        with self._guard:
            taken, self.waiting = self.waiting, {}
        if not taken:
            return 0
        batch = pb.BillBatch(sequence=self.sequence + 1, before=self._before)
        batch.part.extend(to_message(part) for part in taken.values())
        body = batch.SerializeToString()
        digest = digest_of(body)
        try:
            with self.env.begin(write=True) as txn:
                txn.put(
                    batch_key(batch.sequence),
                    body + digest.to_bytes(DIGEST_BYTES, "big"),
                    db=self.batches,
                    append=True,
                )
                for part, message in zip(taken.values(), batch.part, strict=True):
                    name = f"{part.node}\0{part.number}".encode()
                    if part.outcome == UsageOutcome.OPEN:
                        txn.put(name, message.SerializeToString(), db=self.open_parts)
                    else:
                        txn.delete(name, db=self.open_parts)
        except lmdb.Error as error:
            self._back(taken)
            if not isinstance(error, lmdb.PanicError):
                self._failed = _FailedCommit(batch.sequence, digest, taken)
            if isinstance(error, lmdb.MapFullError | lmdb.DiskError):
                raise LedgerFull(f"{self.path}: {error}") from None
            raise
        self._failed = None
        self.sequence, self._before = batch.sequence, digest
        return len(taken)

    def _back(self, taken: dict[tuple[str, int], UsageRecord]) -> None:
        """A commit has failed: its parts wait again, under what has come meanwhile."""
        with self._guard:
            newest_states(taken.values(), self.waiting)

    def compact(self, before_us: int, at_most: int = 1_000) -> int:
        """Fold whole batches of works that came before this wall time into sums, oldest first, as far as none
        of their works has parts in later batches; returns how many batches went. One transaction: nothing is
        counted twice.
        """
        with self.env.begin(write=True) as txn:
            old: list[tuple[bytes, list[UsageRecord]]] = []
            later_works: set[tuple[str, str]] = set()
            with txn.cursor(self.batches) as cursor:
                for key, value in cursor:
                    batch, _ = parse_batch(key, value)
                    parts = [from_message(m) for m in batch.part]
                    if len(old) < at_most and not later_works and all(p.at_us < before_us for p in parts):
                        old.append((bytes(key), parts))
                    else:
                        later_works |= {(p.tenant, p.work) for p in parts}
            while (
                cut := next(
                    (
                        n
                        for n, (_, parts) in enumerate(old)
                        if any((p.tenant, p.work) in later_works for p in parts)
                    ),
                    None,
                )
            ) is not None:
                later_works |= {(p.tenant, p.work) for _, parts in old[cut:] for p in parts}
                del old[cut:]
            folded = daily_totals(compute_bills(part for _, parts in old for part in parts))
            for (tenant, day), total in folded.items():
                key = f"{day:010d}\0{tenant}".encode()
                held = pb.BillSum.FromString(txn.get(key, default=b"", db=self.sums))
                made = pb.BillSum(tenant=tenant, day=day)
                for name in DailyTotal.__dataclass_fields__:
                    setattr(made, name, getattr(held, name) + getattr(total, name))
                txn.put(key, made.SerializeToString(), db=self.sums)
            for key, _ in old:
                txn.delete(key, db=self.batches)
        with self.env.begin(write=True) as txn:  # LMDB lends freed pages from the second transaction on.
            txn.put(b"\xff compacted", batch_key(self.sequence), db=self.open_parts)
            txn.delete(b"\xff compacted", db=self.open_parts)
        return len(old)

    def used_since(self, wall_us: int) -> list[UsageRecord]:
        """Parts of requests that came since a wall time: what calendar budgets count on with. Newest batches
        first, until one has nothing of that time.
        """
        last: dict[tuple[str, int], UsageRecord] = {}
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            for key, value in cursor.iterprev():
                parts = [from_message(m) for m in parse_batch(key, value)[0].part]
                fresh = [p for p in parts if p.at_us >= wall_us]
                newest_states(fresh, last)
                if parts and not fresh:
                    break
        return list(last.values())

    def size(self) -> int:
        """Bytes of the file that are in use."""
        info, stat = self.env.info(), self.env.stat()
        return int((info["last_pgno"] + 1) * stat["psize"])

    def close(self) -> None:
        """Let go of it; further calls do nothing. What waits is not committed."""
        if self._lock >= 0:
            self.env.close()
            os.close(self._lock)
            self._lock = -1
