"""What may cross zones: a budget for all nodes together, kept by each node alone, the price of crossing, and
the pace at which a zone that was dark takes its traffic back.

The budget of `rate` bytes a second with a `burst` is dealt out in turns of `quantum` bytes, numbered on a
time that all nodes share (their clocks' offset is told once, at the start). Turn k comes at k x quantum /
rate, belongs to the node whose slot is k modulo `replicas`, and lapses after burst / rate. So in any window
of W seconds all nodes together can use the turns that came in it, and those that had come before and not
lapsed: at most

    rate x W + burst + quantum   (+ 2 x rate x the nodes' clock skew)

bytes by choice, whatever the number of nodes, their traffic and their restarts: a node uses no turn that came
before it was born, since its last life may have. A node's clock that jumps later changes nothing, as only the
offset at its start counts. What was reserved and not sent goes back to its turn; what was sent beyond it is
taken from the turns to come. What is forced, because nothing else can serve, is booked apart and takes no
turns: else a flow of it would shut the budget for good.

Turns serve nodes with equal traffic. Where it is uneven, a part of the budget (`by_traffic`) is dealt out by
it instead: each request that comes to a node earns part x rate / quotas bytes there, paid out in whole quanta
that lapse as turns do. While the tenants ask no more than their quotas, all nodes together earn at most that
part of rate x W + burst, plus a quantum a node for what was earned before (evenly spread phases: half a
quantum on the mean).

Times in whole microseconds, sizes in bytes. No I/O, no clock, no chance.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tuliptrack.decisions.shared_token_bucket import BudgetGrant, SharedTokenBucket
from tuliptrack.interface import CrossZoneCause, Request, Role, Settings

__all__ = ["CrossZoneBudgets", "CrossZoneReservation", "ZoneRecovery"]

PRICE_FULL = 0.5  # of a mean load (or of the score): what a crossing costs while the whole burst is there
PRICE_EMPTY = 8.0  # and where nothing is left: a crossing is chosen only if home is that much worse
DARK_SHARE = 0.5  # share of a zone's servers of one role, below which it counts as dark
DARK_US = 3_000_000  # microseconds that it must have been dark for its return to be paced: homes have cooled by then
RETURN_US = 8_000_000  # microseconds over which its traffic comes back: some times what its queues take to show in reports
RETURN_FROM = (
    0.1  # part of the traffic that comes back at once, so that the first queues and latencies are seen
)
FORGET_US = 600_000_000  # microseconds of dark after which what is left is the zone's usual size


@dataclass(slots=True)
class CrossZoneReservation:
    """What one attempt has reserved."""

    budget: SharedTokenBucket
    size: float
    parts: list[tuple[BudgetGrant, float]]


class CrossZoneBudgets:
    """One node's decisions on crossing: asked for a price before a choice, told of each attempt and its
    end.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.purses = [
            SharedTokenBucket(
                b.bytes_per_s,
                b.burst,
                b.quantum,
                settings.replicas,
                settings.replica_index,
                settings.epoch_offset_us,
                b.by_traffic,
            )
            for b in settings.zone_budgets
        ]
        budgets = list(zip(self.purses, settings.zone_budgets, strict=True))
        self.by_class = [
            next((p for p, b in budgets if not b.classes or cls in b.classes), None)
            for cls in range(len(settings.classes))
        ]
        self.open: dict[int, CrossZoneReservation] = {}
        """Reservations by request; a request has one attempt out at most."""
        quotas = sum(tenant.quota_per_s for tenant in settings.tenants)
        self.earners = [
            (purse, budget.by_traffic * budget.bytes_per_s / quotas)
            for purse, budget in budgets
            if budget.by_traffic and quotas
        ]
        """Purses that requests add to, and the bytes that each brings."""

    def begin(self, now: int) -> None:
        """The node is up: turns that come from now on are its own. Further calls change nothing."""
        for purse in self.purses:
            purse.left(now)

    def arrived(self, now: int) -> None:
        """A request has come to this node."""
        for purse, size in self.earners:
            purse.earn(now, size)

    def size(self, request: Request, zone: int, held: int | None, writes: bool, tokens: float) -> float:
        """Bytes that an attempt at a server of this zone would move between zones. `held`: zone of the reader
        whose state it would fetch, if any; `tokens`: prompt and expected answer.
        """
        s, far = self.settings, zone != self.settings.zone
        size = s.prompt_bytes * request.prompt_tokens * far
        if writes:
            size += s.answer_bytes * max(tokens - request.prompt_tokens, 0.0) * far
            if held is not None and held != zone:
                size += s.state_bytes * request.prompt_tokens
        return size

    def purse(self, cls: int) -> SharedTokenBucket | None:
        """The first budget that counts this class."""
        return self.by_class[cls]

    def price(self, now: int, cls: int, size: float, worth: float) -> float:
        """What a crossing of so many bytes weighs, in mean loads (or as a share of a score): nothing for
        none, rising from PRICE_FULL as the budget runs out to PRICE_EMPTY where it has no room. `worth` is
        the request's, as a share of the highest: low worth finds it dearer, and stays at home first.
        """
        purse = self.purse(cls)
        if not size or purse is None:
            return 0.0
        left = purse.left(now)
        part = min(left / max(purse.burst / purse.replicas, purse.quantum), 1.0) if left >= size else 0.0
        base: float = PRICE_FULL * (PRICE_EMPTY / PRICE_FULL) ** (1 - part)
        return min(base / max(worth, 0.05), PRICE_EMPTY / max(worth, 0.05))

    def reserve(self, now: int, request: int, cls: int, size: float, retry: bool) -> CrossZoneCause | None:
        """An attempt leaves that will cross with about so many bytes; the cause to book them under."""
        purse = self.purse(cls)
        self.open.pop(request, None)
        if not size or purse is None:
            return None
        if purse.left(now) < size:
            return CrossZoneCause.FORCED
        self.open[request] = CrossZoneReservation(purse, size, purse.take(size))
        return CrossZoneCause.RETRY if retry else CrossZoneCause.BUDGET

    def settle(self, now: int, request: int, crossed: float) -> None:
        """The attempt has ended, having crossed with so many bytes: the rest goes back, more than that is
        taken.
        """
        crossing = self.open.pop(request, None)
        if crossing is None:
            return
        purse, rest = crossing.budget, crossing.size - crossed
        purse.left(now)
        if rest < 0:
            purse.take(-rest)
            return
        purse.back(crossing.parts, rest)


@dataclass(slots=True)
class _Size:
    """How one role of one zone has stood."""

    usual: int
    dark_from: int | None = None
    back_from: int | None = None


class ZoneRecovery:
    """Which zones were dark and take their traffic back, by role. All nodes are told of a return at nearly
    the same moment; so the sessions that go back first are the same at all of them, and grow evenly to all in
    RETURN_US.
    """

    def __init__(self) -> None:
        self.sizes: dict[tuple[int, Role], _Size] = {}
        """Bound: zones x roles that the server list has named."""
        self.back: dict[tuple[int, Role], int] = {}
        """Those that take their traffic back now, and since when."""

    def note(self, now: int, up: Iterable[tuple[int, Role]]) -> list[tuple[int, str]]:
        """The servers that are ready and not suspect, by zone and role; returns what has changed, for the
        operators.
        """
        counts: dict[tuple[int, Role], int] = {}
        for key in up:
            counts[key] = counts.get(key, 0) + 1
        told: list[tuple[int, str]] = []
        for key in counts.keys() | self.sizes.keys():
            count = counts.get(key, 0)
            size = self.sizes.setdefault(key, _Size(count))
            what = self._turn(now, key, size, count)
            if what:
                told.append((key[0], f"{key[1].value} servers {what}"))
        return sorted(told)

    def _turn(self, now: int, key: tuple[int, Role], size: _Size, count: int) -> str:
        dark = count < DARK_SHARE * size.usual
        if size.dark_from is None:
            if dark:
                size.dark_from = now
                return "dark"
            size.usual = count
            return ""
        if dark:
            if now - size.dark_from > FORGET_US:
                size.usual, size.dark_from = count, None
                return "given up"
            self.back.pop(key, None)
            return ""
        paced = now - size.dark_from >= DARK_US
        size.usual, size.dark_from = max(count, size.usual), None
        if paced:
            self.back[key] = now
        return "coming back" if paced else "back"

    def admits(self, now: int, zone: int, role: Role, draw: float) -> bool:
        """Whether this session goes there; `draw` is its own number from 0 to 1, the same at all nodes."""
        since = self.back.get((zone, role))
        if since is None:
            return True
        part = RETURN_FROM + (1 - RETURN_FROM) * (now - since) / RETURN_US
        if part >= 1:
            del self.back[zone, role]
        return draw < part
