"""How a ledger's batches and parts stand in its file: protobuf messages, each batch with a digest behind
it.
"""

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
    "from_message",
    "parse_batch",
    "to_message",
]

DIGEST_BYTES = 8


class LedgerError(Exception):
    """The ledger can't be opened, or what stands in it is damaged; the text says where."""


class LedgerFull(LedgerError):
    """The file has no room, or the disk hasn't."""


def to_message(part: UsageRecord) -> pb.BillPart:
    """A part as it is written."""
    made = pb.BillPart(
        node=part.node,
        number=part.number,
        tenant=part.tenant,
        work=part.work,
        request_class=part.request_class,
        model=part.model,
        model_version=part.model_version,
        at_us=part.at_us,
        prompt_tokens=part.prompt_tokens,
        kept_tokens=part.kept_tokens,
        first=part.first,
        next=part.next,
        lost_read=part.lost_read,
        lost_written=part.lost_written,
        price=pb.Price(read=part.price.read, kept=part.price.kept, written=part.price.written),
    )
    made.outcome = part.outcome  # type: ignore[assignment]
    return made


def from_message(m: pb.BillPart) -> UsageRecord:
    """A part as it was read."""
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
    """Under which a batch stands: in the order of commits."""
    return sequence.to_bytes(8, "big")


def digest_of(data: bytes) -> int:
    """Of a batch's bytes; the next batch names it."""
    return int(xxhash.xxh3_64_intdigest(data))


def parse_batch(key: bytes, value: bytes) -> tuple[pb.BillBatch, int]:
    """A batch and its digest; LedgerError where its bytes aren't what was written."""
    body, told = value[:-DIGEST_BYTES], value[-DIGEST_BYTES:]
    digest = digest_of(body)
    if digest.to_bytes(DIGEST_BYTES, "big") != told:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: its digest does not fit its bytes")
    batch = pb.BillBatch.FromString(body)
    if batch_key(batch.sequence) != key:
        raise LedgerError(f"batch {int.from_bytes(key, 'big')}: names itself {batch.sequence}")
    return batch, digest
