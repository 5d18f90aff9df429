"""Computes bills from usage records of any nodes, in any order and with any duplicates.

A usage record says which tokens of one piece of work reached the client through one node. The bill of a work
is a function of the set of its records alone: merging ledgers is a union, so it is idempotent, and neither
order nor duplicates change it.

- Of two states of one record (same node and number) only the newer counts. A state with a final outcome is
  newer than an OPEN one; otherwise the state that reaches further in the output is newer.
- Each output token is billed once, however many records cover it, at the price of the earliest of them.
- The prompt of a work is billed once, at the price of the earliest record through which the client got any
  output token: another prefill, after a failure or to resume, is at the operator's cost. A work is free if
  the client got no output token.
- All numbers are integers: tokens, and millionths of the currency. Times are microseconds since 1970.

Fields are named as in `billing.proto`, in which they are stored, and as the columns of `tuliptrack bills`.
In these names `read` stands for prompt tokens that were not cached, `kept` for cached prompt tokens,
`written` for output tokens, and the prefix `lost_` for tokens at the operator's cost. The module does no I/O
and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from tuliptrack.structures.interval_set import IntervalSet

__all__ = [
    "Bill",
    "DailyTotal",
    "TokenPrice",
    "UsageOutcome",
    "UsageRecord",
    "compute_bills",
    "daily_totals",
    "newer_state",
    "newest_states",
]

DAY_US = 86_400_000_000


class UsageOutcome(IntEnum):
    """How a record's part of a work ended; the values are stored."""

    OPEN = 0
    """The part is still being streamed, or its node was killed and has not restarted."""
    SERVED = 1
    CUT = 2
    """The part ended early, and the client got some of the output."""
    NOTHING = 3


@dataclass(frozen=True, slots=True)
class TokenPrice:
    """Prices of one token of each type, in millionths of the currency."""

    read: int = 0
    kept: int = 0
    written: int = 0


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """One node's part of one piece of work."""

    node: str
    number: int
    tenant: str
    work: str
    at_us: int
    prompt_tokens: int = 0
    kept_tokens: int = 0
    first: int = 0
    next: int = 0
    """The client got the output tokens from `first` up to, but without, `next`."""
    outcome: int = UsageOutcome.OPEN
    """A `UsageOutcome`, or a number that only later versions of this program know."""
    lost_read: int = 0
    lost_written: int = 0
    price: TokenPrice = field(default_factory=TokenPrice)
    request_class: str = ""
    model: str = ""
    model_version: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identity of the record, the same in all its states."""
        return self.node, self.number

    @property
    def sort_key(self) -> tuple[int, str, int]:
        """Key that sorts the earliest record first; ties are resolved alike at every merge."""
        return self.at_us, self.node, self.number


@dataclass(slots=True)
class Bill:
    """The bill of one work."""

    tenant: str
    work: str
    at_us: int
    read: int = 0
    kept: int = 0
    written: int = 0
    amount: int = 0
    lost_read: int = 0
    lost_written: int = 0
    parts: int = 0
    """Number of usage records of the work."""
    whole: bool = False
    """Whether the client got the last output token."""


@dataclass(slots=True)
class DailyTotal:
    """The sum of a tenant's bills of one day."""

    works: int = 0
    read: int = 0
    kept: int = 0
    written: int = 0
    amount: int = 0
    lost_read: int = 0
    lost_written: int = 0


def newer_state(a: UsageRecord, b: UsageRecord) -> UsageRecord:
    """Return the newer of two states of one record, which is the one that counts."""
    return max(a, b, key=_age_key)


def _age_key(record: UsageRecord) -> tuple[object, ...]:
    """Order states by age.

    The key contains all fields: even two states that no correct node writes need an order, or the bill would
    depend on the order of merging.
    """
    return (
        record.outcome != UsageOutcome.OPEN,
        record.next,
        record.lost_read + record.lost_written,
        record.kept_tokens,
        record.outcome,
        record.first,
        record.lost_read,
        record.prompt_tokens,
        record.at_us,
        record.tenant,
        record.work,
        record.price.read,
        record.price.kept,
        record.price.written,
        record.request_class,
        record.model,
        record.model_version,
    )


def newest_states(
    records: Iterable[UsageRecord], known: dict[tuple[str, int], UsageRecord] | None = None
) -> dict[tuple[str, int], UsageRecord]:
    """Return the newest state of each record by the record's key; `known`, if given, is updated in place."""
    newest = {} if known is None else known
    for record in records:
        previous = newest.get(record.key)
        newest[record.key] = record if previous is None else newer_state(previous, record)
    return newest


def compute_bills(records: Iterable[UsageRecord]) -> list[Bill]:
    """Return the bills of all works, ordered by tenant and work."""
    works: dict[tuple[str, str], list[UsageRecord]] = {}
    for record in newest_states(records).values():
        works.setdefault((record.tenant, record.work), []).append(record)
    return [_bill(sorted(parts, key=lambda r: r.sort_key)) for _, parts in sorted(works.items())]


def _bill(records: list[UsageRecord]) -> Bill:
    """Return the bill of one work from its records, the earliest first."""
    first = records[0]
    bill = Bill(first.tenant, first.work, first.at_us, parts=len(records))
    billed_tokens, is_prompt_billed = IntervalSet(), False
    for record in records:
        bill.lost_read += record.lost_read
        bill.lost_written += record.lost_written
        bill.whole = bill.whole or record.outcome == UsageOutcome.SERVED
        if record.next <= record.first:
            continue
        new_tokens = billed_tokens.add(record.first, record.next)
        bill.written += new_tokens
        bill.amount += new_tokens * record.price.written
        if is_prompt_billed:
            bill.lost_read += record.prompt_tokens - record.kept_tokens
            bill.lost_written += record.next - record.first - new_tokens
        else:
            _bill_prompt(bill, record)
            is_prompt_billed = True
    return bill


def _bill_prompt(bill: Bill, record: UsageRecord) -> None:
    bill.kept = min(record.kept_tokens, record.prompt_tokens)
    bill.read = record.prompt_tokens - bill.kept
    bill.amount += bill.read * record.price.read + bill.kept * record.price.kept


def daily_totals(bills: Iterable[Bill]) -> dict[tuple[str, int], DailyTotal]:
    """Return totals by tenant and day since 1970; a work counts on the day of its earliest record."""
    totals: dict[tuple[str, int], DailyTotal] = {}
    for bill in bills:
        total = totals.setdefault((bill.tenant, bill.at_us // DAY_US), DailyTotal())
        total.works += bill.written > 0
        total.read += bill.read
        total.kept += bill.kept
        total.written += bill.written
        total.amount += bill.amount
        total.lost_read += bill.lost_read
        total.lost_written += bill.lost_written
    return totals
