"""The stored form of batches and usage records: protobuf messages, each batch followed by its digest."""

from __future__ import annotations

import xxhash

from tuliptrack.decisions.billing import TokenPrice, UsageRecord
from tuliptrack.proto import billing_pb2 as pb

__all__ = [
    "DIGEST_BYTES",
    "LedgerError",
    "LedgerFull",
    "batch_key",
    "digest_of",
    "parse_batch",
    "record_from_message",
    "record_to_message",
]

DIGEST_BYTES = 8


class LedgerError(Exception):
    """The ledger can't be opened or written, or its content is damaged; the text says where."""


class LedgerFull(LedgerError):
    """The file has reached its bound, or the disk is full or failed."""


def record_to_message(record: UsageRecord) -> pb.BillPart:
    """Return the stored form of a usage record."""
    message = pb.BillPart(
        node=record.node,
        number=record.number,
        tenant=record.tenant,
        work=record.work,
        request_class=record.request_class,
        model=record.model,
        model_version=record.model_version,
        at_us=record.at_us,
        prompt_tokens=record.prompt_tokens,
        kept_tokens=record.kept_tokens,
        first=record.first,
        next=record.next,
        lost_read=record.lost_read,
        lost_written=record.lost_written,
        price=pb.Price(read=record.price.read, kept=record.price.kept, written=record.price.written),
    )
    message.outcome = record.outcome  # type: ignore[assignment]
    return message


def record_from_message(m: pb.BillPart) -> UsageRecord:
    """Return the usage record of a stored message."""
    return UsageRecord(
        m.node,
        m.number,
        m.tenant,
        m.work,
        m.at_us,
        m.prompt_tokens,
        m.kept_tokens,
        m.first,
        m.next,
        m.outcome,
        m.lost_read,
        m.lost_written,
        TokenPrice(m.price.read, m.price.kept, m.price.written),
        m.request_class,
        m.model,
        m.model_version,
    )


def batch_key(sequence: int) -> bytes:
    """Return the key of a batch; keys sort in the order of commits."""
    return sequence.to_bytes(8, "big")


def digest_of(data: bytes) -> int:
    """Return the digest of a batch's bytes, which the next batch repeats."""
    return int(xxhash.xxh3_64_intdigest(data))


def parse_batch(key: bytes, value: bytes) -> tuple[pb.BillBatch, int]:
    """Return a batch and its digest.

    Raises:
        LedgerError: The bytes or the key are not what was written.
    """
    body, stored_digest = value[:-DIGEST_BYTES], value[-DIGEST_BYTES:]
    digest = digest_of(body)
    if digest.to_bytes(DIGEST_BYTES, "big") != stored_digest:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: the digest does not match the content")
    batch = pb.BillBatch.FromString(body)
    if batch_key(batch.sequence) != key:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: names itself {batch.sequence}")
    return batch, digest
