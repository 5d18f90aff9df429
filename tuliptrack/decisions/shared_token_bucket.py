"""Turns at a common budget: how nodes that don't talk share a rate with a burst, without passing it together.

Turn k comes at k x quantum / rate on a time that all nodes share, belongs to the node whose slot is k modulo
`replicas`, and lapses after burst / rate. `decisions/cross_zone_budget.py` has the bound and its argument.
Times in whole microseconds, amounts in whatever the budget counts. No I/O, no clock, no chance.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["BudgetGrant", "SharedTokenBucket"]

MAX_GRANTS = 4096  # turns that a node keeps at once; more of them are larger ones
PHASE = 0.6180339887498949  # successive nodes' multiples of it, mod 1, spread evenly over 0 to 1


@dataclass(slots=True)
class BudgetGrant:
    """What one turn still allows, and when it lapses."""

    lapses: int
    left: float


class SharedTokenBucket:
    """One node's part of one budget: `rate` a second with a `burst`, dealt out in turns of `quantum`."""

    def __init__(
        self,
        rate: float,
        burst: float,
        quantum: float,
        replicas: int,
        slot: int,
        offset: int = 0,
        by_traffic: float = 0.0,
    ) -> None:
        self.burst, self.quantum, self.replicas, self.slot, self.offset = (
            burst,
            quantum,
            replicas,
            slot,
            offset,
        )
        rate /= 1e6
        self.unit = quantum
        """What requests earn is paid out in these."""
        self.quantum = quantum * max(1.0, burst / quantum / replicas / MAX_GRANTS)
        by_turns = rate * (1 - by_traffic)
        self.every = self.quantum / by_turns if by_turns else 0.0
        """Microseconds between two turns of all nodes."""
        self.life = int(burst / rate) if rate else 0
        self.earned = slot * PHASE % 1 * quantum
        """What requests have earned and that make no quantum yet."""
        self.turns: deque[BudgetGrant] = deque()
        self.next: int | None = None
        """Number of this node's next turn."""
        self.owed = 0.0
        """What was used beyond what turns had allowed: turns to come pay for it."""
        self.lapsed = 0.0
        """What has lapsed unused; its reader sets it back."""

    def _come(self, now: int) -> None:
        """Take the turns that have come, drop those that have lapsed."""
        while self.turns and self.turns[0].lapses <= now:
            self.lapsed += self.turns.popleft().left
        if not self.every:
            return
        if self.next is None:  # Born now: what came before may have been used.
            first = int((now + self.offset) / self.every) + 1
            self.next = first + (self.slot - first) % self.replicas
        last = int((now + self.offset) / self.every)
        if last - self.next > 2 * MAX_GRANTS * self.replicas:  # A long sleep: all but the last have lapsed.
            skip = (last - self.next - MAX_GRANTS * self.replicas) // self.replicas
            self.owed = max(self.owed - skip * self.quantum, 0.0)
            self.next += skip * self.replicas
        while self.next <= last:
            paid = min(self.owed, self.quantum)
            self.owed -= paid
            lapses = int(self.next * self.every) - self.offset + self.life
            if lapses > now and paid < self.quantum:
                self.turns.append(BudgetGrant(lapses, self.quantum - paid))
            self.next += self.replicas

    def earn(self, now: int, size: float) -> None:
        """A request has come that brings so much; whole quanta are paid out."""
        self.earned += size
        if self.earned < self.unit:
            return
        self._come(now)
        whole = self.earned // self.unit * self.unit
        self.earned -= whole
        paid = min(self.owed, whole)
        self.owed -= paid
        if whole > paid and len(self.turns) < 2 * MAX_GRANTS:
            self.turns.append(BudgetGrant(now + self.life, whole - paid))

    def left(self, now: int) -> float:
        """What this node may use now."""
        self._come(now)
        return sum(turn.left for turn in self.turns)

    def take(self, size: float) -> list[tuple[BudgetGrant, float]]:
        """Use the oldest turns; what they don't hold is owed, up to one burst of this node's part."""
        parts = []
        for turn in self.turns:
            part = min(turn.left, size)
            if part > 0:
                turn.left -= part
                size -= part
                parts.append((turn, part))
            if size <= 0:
                return parts
        self.owed = min(self.owed + size, max(self.burst / self.replicas, self.quantum))
        return parts

    def back(self, parts: list[tuple[BudgetGrant, float]], size: float) -> None:
        """Give back what was taken and not used, to the youngest turns first: the others lapse sooner."""
        for turn, part in reversed(parts):
            give = min(part, size)
            turn.left += give
            size -= give

    def wait(self, now: int, size: float) -> int:
        """Microseconds until so much may be used, if nothing else is; -1 where it never may be."""
        short = size - self.left(now)
        if short <= 0:
            return 0
        if not self.every or size > self.quantum * max(
            self.life // max(int(self.every * self.replicas), 1), 1
        ):
            return -1
        assert self.next is not None
        turns = math.ceil((short + self.owed) / self.quantum)
        at = int((self.next + (turns - 1) * self.replicas) * self.every) - self.offset
        return max(at - now, 1)
