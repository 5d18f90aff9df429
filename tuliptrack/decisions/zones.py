"""What may cross zones: a budget for all nodes together, kept by each node alone, and the price of crossing.

The budget of `rate` bytes a second with a `burst` is dealt out in turns of `quantum` bytes, numbered on a time that all
nodes share (their clocks' offset is told once, at the start). Turn k comes at k x quantum / rate, belongs to the node whose
slot is k modulo `replicas`, and lapses after burst / rate. So in any window of W seconds all nodes together can use
the turns that came in it, and those that had come before and not lapsed: at most

    rate x W + burst + quantum   (+ 2 x rate x the nodes' clock skew)

bytes by choice, whatever the number of nodes, their traffic and their restarts: a node uses no turn that came before it was
born, since its last life may have. A node's clock that jumps later changes nothing, as only the offset at its start counts.
What was reserved and not sent goes back to its turn; what was sent beyond it is taken from the turns to come. What is forced,
because nothing else can serve, is booked apart and takes turns to come as well, no more than one burst of them ahead.

Times in whole microseconds, sizes in bytes. No I/O, no clock, no chance.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from tuliptrack.interface import Cause, Request, Settings, ZoneBudget

__all__ = ["Crossing", "Crossings", "Purse"]

PRICE_FULL = 0.5  # of a mean load (or of the score): what a crossing costs while the whole burst is there
PRICE_EMPTY = 8.0  # and where nothing is left: a crossing is chosen only if home is that much worse
MOST_TURNS = 4096  # turns that a node keeps at once; more of them are larger ones


@dataclass(slots=True)
class _Turn:
    lapses: int
    left: float


@dataclass(slots=True)
class Crossing:
    """What one attempt has reserved."""

    budget: Purse
    size: float
    cause: Cause
    parts: list[tuple[_Turn, float]]


class Purse:
    """One node's part of one budget."""

    def __init__(self, budget: ZoneBudget, replicas: int, slot: int, offset: int) -> None:
        self.budget, self.replicas, self.slot, self.offset = budget, replicas, slot, offset
        rate = budget.bytes_per_s / 1e6
        turns = budget.burst / budget.quantum / replicas
        self.quantum = budget.quantum * max(1.0, turns / MOST_TURNS)
        self.every = self.quantum / rate if rate else 0.0
        """Microseconds between two turns of all nodes."""
        self.life = int(budget.burst / rate) if rate else 0
        self.turns: deque[_Turn] = deque()
        self.next: int | None = None
        """Number of this node's next turn."""
        self.owed = 0.0
        """Bytes sent beyond what turns had allowed: turns to come pay for them."""

    def _come(self, now: int) -> None:
        """Take the turns that have come, drop those that have lapsed."""
        while self.turns and self.turns[0].lapses <= now:
            self.turns.popleft()
        if not self.every:
            return
        if self.next is None:  # Born now: what came before may have been used.
            first = int((now + self.offset) / self.every) + 1
            self.next = first + (self.slot - first) % self.replicas
        last = int((now + self.offset) / self.every)
        if last - self.next > 2 * MOST_TURNS * self.replicas:  # A long sleep: all but the last have lapsed.
            skip = (last - self.next - MOST_TURNS * self.replicas) // self.replicas
            self.owed = max(self.owed - skip * self.quantum, 0.0)
            self.next += skip * self.replicas
        while self.next <= last:
            paid = min(self.owed, self.quantum)
            self.owed -= paid
            lapses = int(self.next * self.every) - self.offset + self.life
            if lapses > now and paid < self.quantum:
                self.turns.append(_Turn(lapses, self.quantum - paid))
            self.next += self.replicas

    def left(self, now: int) -> float:
        """Bytes that this node may let cross now."""
        self._come(now)
        return sum(turn.left for turn in self.turns)

    def take(self, size: float) -> list[tuple[_Turn, float]]:
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
        self.owed = min(self.owed + size, max(self.budget.burst / self.replicas, self.quantum))
        return parts


class Crossings:
    """One node's decisions on crossing: asked for a price before a choice, told of each attempt and its end."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.purses = [Purse(budget, settings.replicas, settings.slot, settings.epoch_offset)
                       for budget in settings.zone_budgets]
        self.open: dict[int, Crossing] = {}
        """Reservations by request; a request has one attempt out at most."""

    def size(self, request: Request, zone: int, held: int | None, writes: bool, tokens: float) -> float:
        """Bytes that an attempt at a server of this zone would move between zones. `held`: zone of the reader whose
        state it would fetch, if any; `tokens`: prompt and expected answer."""
        s, far = self.settings, zone != self.settings.zone
        size = s.prompt_bytes * request.prompt_tokens * far
        if writes:
            size += s.answer_bytes * max(tokens - request.prompt_tokens, 0.0) * far
            if held is not None and held != zone:
                size += s.state_bytes * request.prompt_tokens
        return size

    def purse(self, cls: int) -> Purse | None:
        """The first budget that counts this class."""
        return next((p for p in self.purses if not p.budget.classes or cls in p.budget.classes), None)

    def price(self, now: int, cls: int, size: float, worth: float) -> float:
        """What a crossing of so many bytes weighs, in mean loads (or as a share of a score): nothing for none, rising
        from PRICE_FULL as the budget runs out to PRICE_EMPTY where it has no room. `worth` is the request's, as a
        share of the highest: low worth finds it dearer, and stays at home first."""
        purse = self.purse(cls)
        if not size or purse is None:
            return 0.0
        left = purse.left(now)
        part = min(left / max(purse.budget.burst / purse.replicas, purse.quantum), 1.0) if left >= size else 0.0
        base: float = PRICE_FULL * (PRICE_EMPTY / PRICE_FULL) ** (1 - part)
        return min(base / max(worth, 0.05), PRICE_EMPTY / max(worth, 0.05))

    def reserve(self, now: int, request: int, cls: int, size: float, retry: bool) -> Cause | None:
        """An attempt leaves that will cross with about so many bytes; the cause to book them under."""
        purse = self.purse(cls)
        self.open.pop(request, None)
        if not size or purse is None:
            return None
        cause = Cause.FORCED if purse.left(now) < size else Cause.RETRY if retry else Cause.BUDGET
        self.open[request] = Crossing(purse, size, cause, purse.take(size))
        return cause

    def settle(self, now: int, request: int, crossed: float) -> None:
        """The attempt has ended, having crossed with so many bytes: the rest goes back, more than that is taken."""
        crossing = self.open.pop(request, None)
        if crossing is None:
            return
        purse, rest = crossing.budget, crossing.size - crossed
        purse.left(now)
        if rest < 0:
            purse.take(-rest)
            return
        owed = max(crossing.size - sum(part for _, part in crossing.parts), 0.0)
        back = min(owed, rest, purse.owed)
        purse.owed -= back
        rest -= min(owed, rest)
        for turn, part in reversed(crossing.parts):  # The youngest turns first: the others lapse sooner.
            give = min(part, rest)
            turn.left += give
            rest -= give
