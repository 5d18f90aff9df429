"""Reading a ledger that a node may have open: its parts, its sums, and whether all of it is as it was
written.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import lmdb

from tuliptrack.decisions.billing import UsageOutcome, UsageRecord
from tuliptrack.proto import billing_pb2 as pb
from tuliptrack.store.ledger_format import LedgerError, digest_of, from_message, parse_batch

__all__ = ["Problem", "read_parts", "read_sums", "verify"]


@dataclass(slots=True)
class Problem:
    """One thing wrong with a ledger."""

    sequence: int
    reason: str


def _reader(path: str) -> tuple[lmdb.Environment, Any, Any]:
    if not (Path(path) / "data.mdb").exists():
        raise LedgerError(f"{path}: no ledger is there")
    try:
        env = lmdb.open(path, readonly=True, max_dbs=4, subdir=True, lock=True)
        return env, env.open_db(b"batches", create=False), env.open_db(b"sums", create=False)
    except lmdb.Error as error:
        raise LedgerError(f"{path}: {error}") from None


def read_parts(path: str) -> Iterator[UsageRecord]:
    """Every part of a ledger, in the order of its commits; LedgerError at the first damage."""
    env, batches, _ = _reader(path)
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                for message in parse_batch(key, value)[0].part:
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
    """Batches looked at, and everything that is wrong: damaged, missing or doubled batches, parts that go
    back.
    """
    env, batches, _ = _reader(path)
    problems: list[Problem] = []
    count, expected, before = 0, 0, 0
    states: dict[tuple[str, int], UsageRecord] = {}
    digests: dict[int, int] = {}
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                count += 1
                sequence = int.from_bytes(key, "big")
                if expected and sequence != expected:
                    problems.append(Problem(expected, f"missing, up to {sequence - 1}"))
                try:
                    batch, digest = parse_batch(key, value)
                except Exception as error:  # a damaged message raises protobuf's own
                    problems.append(Problem(sequence, str(error)))
                    expected, before = sequence + 1, 0
                    continue
                if expected == sequence and before and batch.before != before:
                    problems.append(Problem(sequence, "does not follow the batch before it"))
                content = digest_of(b"".join(p.SerializeToString() for p in batch.part))
                if content in digests:
                    problems.append(Problem(sequence, f"stands twice: as {digests[content]} too"))
                digests[content] = sequence
                for part in map(from_message, batch.part):
                    known = states.get(part.key)
                    if known and (
                        known.outcome != UsageOutcome.OPEN
                        or part.next < known.next
                        or part.work != known.work
                    ):
                        problems.append(
                            Problem(sequence, f"part {part.node}/{part.number} goes back or stands twice")
                        )
                    states[part.key] = part
                expected, before = sequence + 1, digest
    finally:
        env.close()
    return count, problems
