"""The ledger of one node: parts of bills, added in group commits that are whole or not there, in LMDB.

A commit is one value: the batch's bytes and their digest, which the next batch names. So `verify` finds a bit that
flipped, a batch that is missing, one that stands twice; and a process that is killed loses what it had not committed,
never half of it. LMDB writes copies of its pages and then one root, syncs both, and never needs repair; what it is
asked to keep is bounded by its map.

Bounds: `most_bytes` of the file; `MOST_WAITING` parts between two commits, past which `add` says no. `compact` folds
days past their retention into sums by tenant.
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import lmdb
import xxhash

from tuliptrack.decisions.bills import CUT, OPEN, Part, Price, Total, fold, latest, totals
from tuliptrack.proto import billing_pb2 as pb

__all__ = ["Ledger", "LedgerError", "LedgerFull", "Recovery", "read_parts", "verify"]

MOST_WAITING = 200_000
_DIGEST = 8


class LedgerError(Exception):
    """The ledger can't be opened, or what stands in it is damaged; the text says where."""


class LedgerFull(LedgerError):
    """The file has no room, or the disk hasn't."""


@dataclass(frozen=True, slots=True)
class Recovery:
    """What was found at opening."""

    batches: int
    cut: int
    """Parts that a crash had left open; they end as cut, with what had been committed."""
    took_us: int


@dataclass(slots=True)
class Problem:
    """One thing wrong with a ledger."""

    sequence: int
    reason: str


def to_message(part: Part) -> pb.BillPart:
    made = pb.BillPart(
        node=part.node, number=part.number, tenant=part.tenant, work=part.work, request_class=part.request_class,
        model=part.model, model_version=part.model_version, at_us=part.at_us, prompt_tokens=part.prompt_tokens,
        kept_tokens=part.kept_tokens, first=part.first, next=part.next, lost_read=part.lost_read,
        lost_written=part.lost_written, price=pb.Price(read=part.price.read, kept=part.price.kept, written=part.price.written))
    made.outcome = part.outcome  # type: ignore[assignment]
    return made


def from_message(m: pb.BillPart) -> Part:
    return Part(m.node, m.number, m.tenant, m.work, m.at_us, m.prompt_tokens, m.kept_tokens, m.first, m.next, m.outcome,
                m.lost_read, m.lost_written, Price(m.price.read, m.price.kept, m.price.written), m.request_class, m.model,
                m.model_version)


def _key(sequence: int) -> bytes:
    return sequence.to_bytes(8, "big")


def _digest(data: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(data))


def _batch(key: bytes, value: bytes) -> tuple[pb.BillBatch, int]:
    """A batch and its digest; LedgerError where its bytes aren't what was written."""
    body, told = value[:-_DIGEST], value[-_DIGEST:]
    digest = _digest(body)
    if digest.to_bytes(_DIGEST, "big") != told:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: its digest does not fit its bytes")
    batch = pb.BillBatch.FromString(body)
    if _key(batch.sequence) != key:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: names itself {batch.sequence}")
    return batch, digest


class Ledger:
    """One node's ledger, open for writing. One process at a time; calls block."""

    def __init__(self, path: str, most_bytes: int = 1 << 30) -> None:
        begun = time.monotonic_ns()
        Path(path).mkdir(parents=True, exist_ok=True)
        self._lock = os.open(Path(path) / "owner", os.O_CREAT | os.O_RDWR, 0o644)
        try:
            os.lockf(self._lock, os.F_TLOCK, 0)
        except OSError:
            os.close(self._lock)
            raise LedgerError(f"{path}: another process has it open") from None
        try:
            self.env = lmdb.open(path, map_size=most_bytes, max_dbs=4, subdir=True, lock=True)
            self.batches = self.env.open_db(b"batches")
            self.open_parts = self.env.open_db(b"open")
            self.sums = self.env.open_db(b"sums")
        except lmdb.Error as error:
            os.close(self._lock)
            raise LedgerError(f"{path}: {error}") from None
        self.path = path
        self.waiting: dict[tuple[str, int], Part] = {}
        self._guard = threading.Lock()
        self._one = threading.Lock()
        """Parts come from the loop while a commit runs in a thread."""
        self.refused = 0
        self.sequence, self._before = 0, 0
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            if cursor.last():
                batch, self._before = _batch(cursor.key(), cursor.value())
                self.sequence = batch.sequence
            left = [from_message(pb.BillPart.FromString(value)) for _, value in txn.cursor(self.open_parts)]
            count = txn.stat(self.batches)["entries"]
        # What was open belongs to lives that have ended: the client got what was committed, or more.
        for part in left:
            self.waiting[part.name] = replace(part, outcome=CUT)
        if left:
            self.commit()
        self.recovery = Recovery(count, len(left), (time.monotonic_ns() - begun) // 1000)

    def add(self, part: Part) -> bool:
        """Put a part, or its newer state, up for the next commit; False where no more may wait."""
        with self._guard:
            if part.name not in self.waiting and len(self.waiting) >= MOST_WAITING:
                self.refused += 1
                return False
            latest([part], self.waiting)
        return True

    def commit(self) -> int:
        """Write what waits, as one batch, and sync it; returns how many parts. LedgerFull leaves them waiting. One at a
        time: a commit that was broken off for the node's end still runs in its thread, and would get the same number."""
        with self._one:
            return self._commit()

    def _commit(self) -> int:
        with self._guard:
            taken, self.waiting = self.waiting, {}
        if not taken:
            return 0
        batch = pb.BillBatch(sequence=self.sequence + 1, before=self._before)
        batch.part.extend(to_message(part) for part in taken.values())
        body = batch.SerializeToString()
        digest = _digest(body)
        try:
            with self.env.begin(write=True) as txn:
                txn.put(_key(batch.sequence), body + digest.to_bytes(_DIGEST, "big"), db=self.batches, append=True)
                for part, message in zip(taken.values(), batch.part, strict=True):
                    name = f"{part.node}\0{part.number}".encode()
                    if part.outcome == OPEN:
                        txn.put(name, message.SerializeToString(), db=self.open_parts)
                    else:
                        txn.delete(name, db=self.open_parts)
        except (lmdb.MapFullError, lmdb.DiskError) as error:
            self._back(taken)
            raise LedgerFull(f"{self.path}: {error}") from None
        except lmdb.Error as error:
            self._back(taken)
            raise LedgerError(f"{self.path}: {error}") from None
        self.sequence, self._before = batch.sequence, digest
        return len(taken)

    def _back(self, taken: dict[tuple[str, int], Part]) -> None:
        """A commit has failed: its parts wait again, under what has come meanwhile."""
        with self._guard:
            latest(taken.values(), self.waiting)

    def compact(self, before_us: int, at_most: int = 1_000) -> int:
        """Fold whole batches of works that came before this wall time into sums, oldest first, as far as none of their
        works has parts in later batches; returns how many batches went. One transaction: nothing is counted twice."""
        with self.env.begin(write=True) as txn:
            old: list[tuple[bytes, list[Part]]] = []
            later_works: set[tuple[str, str]] = set()
            with txn.cursor(self.batches) as cursor:
                for key, value in cursor:
                    batch, _ = _batch(key, value)
                    parts = [from_message(m) for m in batch.part]
                    if len(old) < at_most and not later_works and all(p.at_us < before_us for p in parts):
                        old.append((bytes(key), parts))
                    else:
                        later_works |= {(p.tenant, p.work) for p in parts}
            while (cut := next((n for n, (_, parts) in enumerate(old) if any(
                    (p.tenant, p.work) in later_works for p in parts)), None)) is not None:
                later_works |= {(p.tenant, p.work) for _, parts in old[cut:] for p in parts}
                del old[cut:]
            folded = totals(fold(part for _, parts in old for part in parts))
            for (tenant, day), total in folded.items():
                key = f"{day:010d}\0{tenant}".encode()
                held = pb.BillSum.FromString(txn.get(key, default=b"", db=self.sums))
                made = pb.BillSum(tenant=tenant, day=day)
                for name in Total.__dataclass_fields__:
                    setattr(made, name, getattr(held, name) + getattr(total, name))
                txn.put(key, made.SerializeToString(), db=self.sums)
            for key, _ in old:
                txn.delete(key, db=self.batches)
        with self.env.begin(write=True) as txn:  # LMDB lends freed pages from the second transaction on.
            txn.put(b"\xff compacted", _key(self.sequence), db=self.open_parts)
            txn.delete(b"\xff compacted", db=self.open_parts)
        return len(old)

    def used_since(self, wall_us: int) -> list[Part]:
        """Parts of requests that came since a wall time: what calendar budgets count on with. Newest batches first, until
        one has nothing of that time."""
        last: dict[tuple[str, int], Part] = {}
        with self.env.begin() as txn, txn.cursor(self.batches) as cursor:
            for key, value in cursor.iterprev():
                parts = [from_message(m) for m in _batch(key, value)[0].part]
                fresh = [p for p in parts if p.at_us >= wall_us]
                latest(fresh, last)
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


def _reader(path: str) -> tuple[lmdb.Environment, Any, Any]:
    if not (Path(path) / "data.mdb").exists():
        raise LedgerError(f"{path}: no ledger is there")
    try:
        env = lmdb.open(path, readonly=True, max_dbs=4, subdir=True, lock=True)
        return env, env.open_db(b"batches", create=False), env.open_db(b"sums", create=False)
    except lmdb.Error as error:
        raise LedgerError(f"{path}: {error}") from None


def read_parts(path: str) -> Iterator[Part]:
    """Every part of a ledger, in the order of its commits; LedgerError at the first damage."""
    env, batches, _ = _reader(path)
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                for message in _batch(key, value)[0].part:
                    yield from_message(message)
    finally:
        env.close()


def read_sums(path: str) -> list[pb.BillSum]:
    """What compactions have folded together."""
    env, _, sums = _reader(path)
    try:
        with env.begin() as txn:
            return [pb.BillSum.FromString(value) for _, value in txn.cursor(sums)]
    finally:
        env.close()


def verify(path: str) -> tuple[int, list[Problem]]:
    """Batches looked at, and everything that is wrong: damaged, missing or doubled batches, parts that go back."""
    env, batches, _ = _reader(path)
    problems: list[Problem] = []
    count, expected, before = 0, 0, 0
    states: dict[tuple[str, int], Part] = {}
    digests: dict[int, int] = {}
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                count += 1
                sequence = int.from_bytes(key, "big")
                if expected and sequence != expected:
                    problems.append(Problem(expected, f"missing, up to {sequence - 1}"))
                try:
                    batch, digest = _batch(key, value)
                except Exception as error:  # a damaged message raises protobuf's own
                    problems.append(Problem(sequence, str(error)))
                    expected, before = sequence + 1, 0
                    continue
                if expected == sequence and before and batch.before != before:
                    problems.append(Problem(sequence, "does not follow the batch before it"))
                content = _digest(b"".join(p.SerializeToString() for p in batch.part))
                if content in digests:
                    problems.append(Problem(sequence, f"stands twice: as {digests[content]} too"))
                digests[content] = sequence
                for part in map(from_message, batch.part):
                    known = states.get(part.name)
                    if known and (known.outcome != OPEN or part.next < known.next or part.work != known.work):
                        problems.append(Problem(sequence, f"part {part.node}/{part.number} goes back or stands twice"))
                    states[part.name] = part
                expected, before = sequence + 1, digest
    finally:
        env.close()
    return count, problems
