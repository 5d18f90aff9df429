"""Reads and verifies a ledger, which a node may have open meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import lmdb

from tuliptrack.decisions.billing import UsageOutcome, UsageRecord
from tuliptrack.proto import billing_pb2 as pb
from tuliptrack.store.ledger_format import LedgerError, digest_of, parse_batch, record_from_message

__all__ = ["Problem", "read_daily_totals", "read_usage_records", "verify"]


@dataclass(slots=True)
class Problem:
    """A fault found in a ledger, at the batch with this sequence number."""

    sequence: int
    reason: str


def _open_for_reading(path: str) -> tuple[lmdb.Environment, Any, Any]:
    """Return the environment, its batches and its daily totals; LedgerError if it can't be opened."""
    if not (Path(path) / "data.mdb").exists():
        raise LedgerError(f"{path}: no ledger found")
    try:
        env = lmdb.open(path, readonly=True, max_dbs=4, subdir=True, lock=True)
        return env, env.open_db(b"batches", create=False), env.open_db(b"sums", create=False)
    except lmdb.Error as error:
        raise LedgerError(f"{path}: {error}") from None


def read_usage_records(path: str) -> Iterator[UsageRecord]:
    """Yield every record of a ledger in the order of commits; LedgerError at the first damaged batch."""
    env, batches, _ = _open_for_reading(path)
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                for message in parse_batch(key, value)[0].part:
                    yield record_from_message(message)
    finally:
        env.close()


def read_daily_totals(path: str) -> list[pb.BillSum]:
    """Return the daily totals of the batches that compactions removed."""
    env, _, sums = _open_for_reading(path)
    try:
        with env.begin() as txn:
            return [pb.BillSum.FromString(value) for _, value in txn.cursor(sums)]
    finally:
        env.close()


def verify(path: str) -> tuple[int, list[Problem]]:
    """Return how many batches there are, and every problem found.

    Problems are damaged, missing and duplicated batches, and records with a state that cannot follow the
    earlier one: after a final state, with fewer tokens, or of another work.
    """
    env, batches, _ = _open_for_reading(path)
    problems: list[Problem] = []
    count, expected_sequence, previous_digest = 0, 0, 0
    states: dict[tuple[str, int], UsageRecord] = {}
    digests: dict[int, int] = {}
    try:
        with env.begin() as txn, txn.cursor(batches) as cursor:
            for key, value in cursor:
                count += 1
                sequence = int.from_bytes(key, "big")
                if expected_sequence and sequence != expected_sequence:
                    problems.append(Problem(expected_sequence, f"missing, up to {sequence - 1}"))
                try:
                    batch, digest = parse_batch(key, value)
                except Exception as error:  # protobuf raises errors of its own for a damaged message
                    problems.append(Problem(sequence, str(error)))
                    expected_sequence, previous_digest = sequence + 1, 0
                    continue
                if expected_sequence == sequence and previous_digest and batch.before != previous_digest:
                    problems.append(Problem(sequence, "does not hold the digest of the batch before it"))
                content = digest_of(b"".join(p.SerializeToString() for p in batch.part))
                if content in digests:
                    problems.append(Problem(sequence, f"stands twice: as {digests[content]} too"))
                digests[content] = sequence
                for record in map(record_from_message, batch.part):
                    known = states.get(record.key)
                    if known and (
                        known.outcome != UsageOutcome.OPEN
                        or record.next < known.next
                        or record.work != known.work
                    ):
                        problems.append(
                            Problem(
                                sequence,
                                f"part {record.node}/{record.number}: state cannot follow the earlier one",
                            )
                        )
                    states[record.key] = record
                expected_sequence, previous_digest = sequence + 1, digest
    finally:
        env.close()
    return count, problems
