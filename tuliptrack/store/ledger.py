"""The ledger of one node: usage records in LMDB, added by group commits, each of which is atomic.

A commit stores one value, a batch: its bytes and their digest, which the next batch repeats. So `verify`
finds a flipped bit, a missing batch and a duplicated one. A process that is killed loses what it had not
committed, and never a part of a commit. LMDB writes copies of the changed pages and then one root (its meta
page), syncs both, and never needs repair; the size of the file is bounded by its map.

If the disk fails, records wait for the next commit. After an error on the root itself LMDB accepts no further
transaction. The file is then reopened and searched for the failed commit, which may have been written despite
the error.

Bounds: `max_bytes` for the file; `MAX_WAITING` records between two commits, beyond which `add` rejects new
ones. `compact` replaces records past their retention by daily totals for each tenant.
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
    parse_batch,
    record_from_message,
    record_to_message,
)

__all__ = ["Ledger", "LedgerError", "LedgerFull", "Recovery"]

MAX_WAITING = 200_000
"""Records that wait for a commit."""


@dataclass(frozen=True, slots=True)
class Recovery:
    """What was found when the ledger was opened."""

    batches: int
    cut: int
    """Records that a crash left open; they end as CUT, with the usage that had been committed."""
    duration_us: int
    trouble: str = ""
    """Why those could not be committed, and wait for the next commit; empty if they were."""


@dataclass(frozen=True, slots=True)
class _FailedCommit:
    """A commit that ended with an error, and may be in the file nevertheless."""

    sequence: int
    digest: int
    records: dict[tuple[str, int], UsageRecord]


def _acquire_lock(path: str) -> int:
    """Return the descriptor of the lock that excludes other processes.

    Raises:
        LedgerError: Another process holds the lock, or the folder can't be written.
    """
    try:
        Path(path).mkdir(parents=True, exist_ok=True)
        descriptor = os.open(Path(path) / "owner", os.O_CREAT | os.O_RDWR, 0o644)
    except OSError as error:
        raise LedgerError(f"{path}: {error.strerror or error}") from None
    try:
        os.lockf(descriptor, os.F_TLOCK, 0)
    except OSError:
        os.close(descriptor)
        raise LedgerError(f"{path}: another process has it open") from None
    return descriptor


class Ledger:
    """One node's ledger, open for writing by one process at a time. Calls block."""

    def __init__(self, path: str, max_bytes: int = 1 << 30) -> None:
        """Open or create the ledger in the folder `path`, and end the records that a crash left open.

        Raises:
            LedgerError: It can't be opened, or another process has it open.
        """
        started_ns = time.monotonic_ns()
        self.path, self.max_bytes = path, max_bytes
        self.waiting: dict[tuple[str, int], UsageRecord] = {}
        """Newest states of records that wait for the next commit."""
        self._waiting_lock = threading.Lock()
        """Records are added from the event loop while a commit runs in a thread."""
        self._commit_lock = threading.Lock()
        self._failed: _FailedCommit | None = None
        self._must_reopen = False
        """LMDB accepts no transaction until the file is reopened."""
        self.rejected_count = 0
        """Records that `add` rejected."""
        self.sequence, self._last_digest = 0, 0
        self._lock_descriptor = _acquire_lock(path)
        try:
            self._open()
            with self.env.begin() as txn:
                open_records = [
                    record_from_message(pb.BillPart.FromString(value))
                    for _, value in txn.cursor(self.open_parts)
                ]
                count = txn.stat(self.batches)["entries"]
        except lmdb.Error as error:
            os.close(self._lock_descriptor)
            raise LedgerError(f"{path}: {error}") from None
        # The processes that wrote open records have ended: their clients got what was committed, or more.
        for record in open_records:
            self.waiting[record.key] = replace(record, outcome=UsageOutcome.CUT)
        trouble = ""
        try:
            self.commit()
        except LedgerError as error:
            trouble = str(error)
        self.recovery = Recovery(
            count, len(open_records), (time.monotonic_ns() - started_ns) // 1000, trouble
        )

    def _open(self) -> None:
        """Open the file and find its last batch; lmdb.Error if that fails."""
        self.env = lmdb.open(self.path, map_size=self.max_bytes, max_dbs=4, subdir=True, lock=True)
        self.batches = self.env.open_db(b"batches")
        self.open_parts = self.env.open_db(b"open")
        self.sums = self.env.open_db(b"sums")
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            if cursor.last():
                batch, self._last_digest = parse_batch(cursor.key(), cursor.value())
                self.sequence = batch.sequence

    def _reopen(self) -> None:
        """Reopen the file after LMDB stopped accepting transactions.

        If the failed commit is in the file, its records count as written.
        """
        self.env.close()
        self._open()
        self._must_reopen = False
        failed, self._failed = self._failed, None
        if failed and (self.sequence, self._last_digest) == (failed.sequence, failed.digest):
            with self._waiting_lock:
                for key, record in failed.records.items():
                    if self.waiting.get(key) == record:
                        del self.waiting[key]

    def add(self, record: UsageRecord) -> bool:
        """Queue a record, or its newer state, for the next commit; return False if too many wait."""
        with self._waiting_lock:
            if record.key not in self.waiting and len(self.waiting) >= MAX_WAITING:
                self.rejected_count += 1
                return False
            newest_states([record], self.waiting)
        return True

    def commit(self) -> int:
        """Write the waiting records as one batch and sync it; return how many there were.

        Commits run one at a time: when the node stops, one whose caller was cancelled still runs in its
        thread, and a second would get the same sequence number.

        Raises:
            LedgerFull: There is no space; the records keep waiting.
            LedgerError: The commit failed otherwise; the records keep waiting.
        """
        with self._commit_lock:
            try:
                return self._commit_once()
            except lmdb.PanicError:
                self._must_reopen = True
            try:
                return self._commit_once()
            except lmdb.PanicError as error:
                raise LedgerError(f"{self.path}: {error}") from None

    def _commit_once(self) -> int:
        """Commit after reopening the file if need be; lmdb.PanicError if LMDB accepts no transaction."""
        try:
            if self._must_reopen:
                self._reopen()
            return self._commit()
        except lmdb.PanicError:
            raise
        except lmdb.Error as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def _commit(self) -> int:
        """Do the work of `commit`; after lmdb.Error, too, the records keep waiting."""
        with self._waiting_lock:
            records, self.waiting = self.waiting, {}
        if not records:
            return 0
        batch = pb.BillBatch(sequence=self.sequence + 1, before=self._last_digest)
        batch.part.extend(record_to_message(record) for record in records.values())
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
                for record, message in zip(records.values(), batch.part, strict=True):
                    name = f"{record.node}\0{record.number}".encode()
                    if record.outcome == UsageOutcome.OPEN:
                        txn.put(name, message.SerializeToString(), db=self.open_parts)
                    else:
                        txn.delete(name, db=self.open_parts)
        except lmdb.Error as error:
            self._requeue(records)
            if not isinstance(error, lmdb.PanicError):
                self._failed = _FailedCommit(batch.sequence, digest, records)
            if isinstance(error, lmdb.MapFullError | lmdb.DiskError):
                raise LedgerFull(f"{self.path}: {error}") from None
            raise
        self._failed = None
        self.sequence, self._last_digest = batch.sequence, digest
        return len(records)

    def _requeue(self, records: dict[tuple[str, int], UsageRecord]) -> None:
        """Let the records of a failed commit wait again; newer states added meanwhile are kept."""
        with self._waiting_lock:
            newest_states(records.values(), self.waiting)

    def compact(self, before_us: int, max_batches: int = 1_000) -> int:
        """Replace old batches by daily totals, oldest first, and return how many were removed.

        A batch is removed if all its records came before `before_us` (wall time), and none of the pieces of work
        that they bill has records in a batch that is kept. All of it is one transaction, so nothing is counted twice.
        """
        with self.env.begin(write=True) as txn:
            old: list[tuple[bytes, list[UsageRecord]]] = []
            later_works: set[tuple[str, str]] = set()
            with txn.cursor(self.batches) as cursor:
                for key, value in cursor:
                    batch, _ = parse_batch(key, value)
                    records = [record_from_message(m) for m in batch.part]
                    if (
                        len(old) < max_batches
                        and not later_works
                        and all(r.at_us < before_us for r in records)
                    ):
                        old.append((bytes(key), records))
                    else:
                        later_works |= {(r.tenant, r.work) for r in records}
            while (
                first_needed := next(
                    (
                        n
                        for n, (_, records) in enumerate(old)
                        if any((r.tenant, r.work) in later_works for r in records)
                    ),
                    None,
                )
            ) is not None:
                later_works |= {(r.tenant, r.work) for _, records in old[first_needed:] for r in records}
                del old[first_needed:]
            totals = daily_totals(compute_bills(record for _, records in old for record in records))
            for (tenant, day), total in totals.items():
                key = f"{day:010d}\0{tenant}".encode()
                stored = pb.BillSum.FromString(txn.get(key, default=b"", db=self.sums))
                updated = pb.BillSum(tenant=tenant, day=day)
                for name in DailyTotal.__dataclass_fields__:
                    setattr(updated, name, getattr(stored, name) + getattr(total, name))
                txn.put(key, updated.SerializeToString(), db=self.sums)
            for key, _ in old:
                txn.delete(key, db=self.batches)
        # LMDB reuses freed pages only from the second transaction after the one that freed them.
        with self.env.begin(write=True) as txn:
            txn.put(b"\xff compacted", batch_key(self.sequence), db=self.open_parts)
            txn.delete(b"\xff compacted", db=self.open_parts)
        return len(old)

    def records_since(self, wall_us: int) -> list[UsageRecord]:
        """Return the records of requests that came since a wall time, as budgets by calendar count them.

        Batches are read from the newest back to the first that has no such record.
        """
        newest: dict[tuple[str, int], UsageRecord] = {}
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            for key, value in cursor.iterprev():
                records = [record_from_message(m) for m in parse_batch(key, value)[0].part]
                recent = [r for r in records if r.at_us >= wall_us]
                newest_states(recent, newest)
                if records and not recent:
                    break
        return list(newest.values())

    def size(self) -> int:
        """Return how many bytes of the file are in use."""
        info, stat = self.env.info(), self.env.stat()
        return int((info["last_pgno"] + 1) * stat["psize"])

    def close(self) -> None:
        """Close the file without committing what waits; a second call does nothing."""
        if self._lock_descriptor >= 0:
            self.env.close()
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1
