"""What a tenant owes, from the parts that any nodes have written down, in any order, any number of times.

A part says which tokens of one piece of work have reached the client through one node. The bill of a work is
a function of the set of its parts alone: merging files is a union, so it is idempotent, and neither order nor
doubling changes it.

- Of two states of one part (same node and number) the later one counts: an end over OPEN, else more tokens.
- Tokens of the answer are billed once each, whichever parts cover them, at the price of the earliest part
  that does.
- The prompt is billed once a work, by the earliest part through which the client got any token: reading
  again, after a failure or to resume, is the installation's loss. A work of which the client got nothing is
  free.
- Whole numbers only: tokens, and millionths of the currency.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from tuliptrack.structures.interval_set import IntervalSet

__all__ = ["Bill", "DailyTotal", "TokenPrice", "UsageRecord", "fold", "later", "latest", "totals"]

OPEN, SERVED, CUT, NOTHING = range(4)


@dataclass(frozen=True, slots=True)
class TokenPrice:
    """Millionths of the currency for a token read, kept, written."""

    read: int = 0
    kept: int = 0
    written: int = 0


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """One node's part of one piece of work; see `billing.proto`."""

    node: str
    number: int
    tenant: str
    work: str
    at_us: int
    prompt_tokens: int = 0
    kept_tokens: int = 0
    first: int = 0
    next: int = 0
    outcome: int = OPEN
    lost_read: int = 0
    lost_written: int = 0
    price: TokenPrice = field(default_factory=TokenPrice)
    request_class: str = ""
    model: str = ""
    model_version: str = ""

    @property
    def name(self) -> tuple[str, int]:
        return self.node, self.number

    @property
    def order(self) -> tuple[int, str, int]:
        """The earliest first, the same at every merge."""
        return self.at_us, self.node, self.number


@dataclass(slots=True)
class Bill:
    """What one work comes to."""

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
    whole: bool = False
    """Its last token was served."""


@dataclass(slots=True)
class DailyTotal:
    """What a tenant's works of one day come to."""

    works: int = 0
    read: int = 0
    kept: int = 0
    written: int = 0
    amount: int = 0
    lost_read: int = 0
    lost_written: int = 0


def later(a: UsageRecord, b: UsageRecord) -> UsageRecord:
    """Of two states of one part, the one that counts."""
    return max(a, b, key=_late)


def _late(p: UsageRecord) -> tuple[object, ...]:
    """All fields stand in it, so that two states which a sane node can't have written still have an order."""
    return (
        p.outcome != OPEN,
        p.next,
        p.lost_read + p.lost_written,
        p.kept_tokens,
        p.outcome,
        p.first,
        p.lost_read,
        p.prompt_tokens,
        p.at_us,
        p.tenant,
        p.work,
        p.price.read,
        p.price.kept,
        p.price.written,
        p.request_class,
        p.model,
        p.model_version,
    )


def latest(
    parts: Iterable[UsageRecord], known: dict[tuple[str, int], UsageRecord] | None = None
) -> dict[tuple[str, int], UsageRecord]:
    """The state of each part that counts, by its name; added to what is `known` already, where that is
    given.
    """
    found = {} if known is None else known
    for part in parts:
        held = found.get(part.name)
        found[part.name] = part if held is None else later(held, part)
    return found


def fold(parts: Iterable[UsageRecord]) -> list[Bill]:
    """The bills of all works, by tenant and work."""
    works: dict[tuple[str, str], list[UsageRecord]] = {}
    for part in latest(parts).values():
        works.setdefault((part.tenant, part.work), []).append(part)
    return [_bill(sorted(found, key=lambda p: p.order)) for _, found in sorted(works.items())]


def _bill(parts: list[UsageRecord]) -> Bill:
    """One work, its parts from the earliest to the latest."""
    first = parts[0]
    bill = Bill(first.tenant, first.work, first.at_us, parts=len(parts))
    covered, prompt = IntervalSet(), False
    for part in parts:
        bill.lost_read += part.lost_read
        bill.lost_written += part.lost_written
        bill.whole = bill.whole or part.outcome == SERVED
        if part.next <= part.first:
            continue
        fresh = covered.add(part.first, part.next)
        bill.written += fresh
        bill.amount += fresh * part.price.written
        if prompt:
            bill.lost_read += part.prompt_tokens - part.kept_tokens
            bill.lost_written += part.next - part.first - fresh
            continue
        prompt = True
        bill.kept = min(part.kept_tokens, part.prompt_tokens)
        bill.read = part.prompt_tokens - bill.kept
        bill.amount += bill.read * part.price.read + bill.kept * part.price.kept
    return bill


def totals(bills: Iterable[Bill], day_us: int = 86_400_000_000) -> dict[tuple[str, int], DailyTotal]:
    """By tenant and day (of the work's earliest part), counted from 1970."""
    found: dict[tuple[str, int], DailyTotal] = {}
    for bill in bills:
        total = found.setdefault((bill.tenant, bill.at_us // day_us), DailyTotal())
        total.works += bill.written > 0
        for name in ("read", "kept", "written", "amount", "lost_read", "lost_written"):
            setattr(total, name, getattr(total, name) + getattr(bill, name))
    return found
