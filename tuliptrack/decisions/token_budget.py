"""Token budgets by tenant: how much a node lets a tenant use of what it has with all nodes together.

Tokens are weighed (read, kept and written ones differ) into whole units. A tenant has a budget for each of
several windows; a request is within it when every window has room for what it is thought to use. Windows of
up to LONG_US are dealt out by turns (`decisions/shared_token_bucket.py`): all nodes together use at most
tokens x (W / window + 1) and a turn in any W, whatever the traffic. Longer windows, a day's, are counted by
the calendar: each node's part is the tokens x spread / nodes, and its use is handed back in after a restart,
since a turn of a day would be lost with it. `spread` says how uneven a tenant's traffic may be: a tenant that
meets nodes / spread of them can use all, one that meets all of them spread times as much, at most.

The answer's length is not known before: a request reserves an estimate, learnt for its class and tenant and
bounded by its max_tokens, and settles by what was streamed. What a window lacked at settling is taken from
turns to come. A tenant whose answers are always as long as they may be makes its own estimate longer, and
nobody else's.

Over budget is no refusal by itself: it lowers the worth (the Router's tiers refuse it first), or is refused,
as its class has it. What others let lapse unused is lent for LEND_US: an owner's turns are never lent while
they are its own, so there is nothing to call back, and the sum over all tenants stays within the sum of their
bounds, moved by LEND_US.

No I/O, no clock, no chance; `now` in microseconds. Bounds: the tenants of the settings; MOST_ESTIMATES
classes by tenants; as many reservations as requests are open."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from tuliptrack.decisions.shared_token_bucket import BudgetGrant, SharedTokenBucket
from tuliptrack.structures.heavy_hitters import HeavyHitter, HeavyHitterSketch
from tuliptrack.structures.timing_wheel import TimingWheel

__all__ = ["BudgetUsage", "BudgetVerdict", "BudgetWindow", "TokenBudgetSettings", "TokenBudgets"]

MAX_GRANTED_WINDOW_US = 3_600_000_000  # windows longer than an hour go by the calendar
LEND_US = 2_000_000  # microseconds for which lapsed turns are lent: a burst's length, so that idleness of a minute ago isn't
SMOOTHING = 0.1  # weight of one more answer in an estimate: ten tell its class
MARGIN = 1.0  # mean deviations above the mean that an estimate reserves: covers about four answers in five
MOST_ESTIMATES = 50_000
HEAVY = 2_048  # tenants whose use is told to the operators
LEAST_LOOK_US, MOST_LOOK_US = 10_000, 60_000_000  # between two looks at what a tenant lets lapse


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """Units that a tenant may use in so long, all nodes together. `quantum`: one node's turn; 0: a tenth."""

    length: int
    units: int
    quantum: int = 0

    def __post_init__(self) -> None:
        if self.length <= 0 or self.units <= 0 or not 0 <= self.quantum <= self.units:
            raise ValueError("window: length and units must be above 0, quantum from 0 to units")


@dataclass(frozen=True, slots=True)
class TokenBudgetSettings:
    """The same for every node but for `slot`. `offset` turns a node's clock into microseconds since 1970, a
    time that all share, and is taken at the start."""

    replicas: int
    windows: Mapping[str, tuple[BudgetWindow, ...]]
    """By tenant; tenants without any have no budget."""
    slot: int = 0
    offset: int = 0
    spread: float = 4.0
    read: int = 10
    kept: int = 1
    written: int = 30
    """Units of a token read, kept, written."""
    lend: bool = True


@dataclass(frozen=True, slots=True)
class BudgetVerdict:
    """What a request meets. `over`: some window has no room for it; `wait`: microseconds until it would have,
    -1 for never."""

    over: bool
    reserved: int = 0
    wait: int = 0
    window: int = 0
    """Length of the window that is short; 0 where none is."""
    lent: bool = False


@dataclass(slots=True)
class BudgetUsage:
    """What the operators see of the estimates."""

    reserved: int = 0
    used: int = 0
    off: int = 0
    """Sum of the differences, either way."""
    requests: int = 0
    over: int = 0
    held_back: int = 0
    """Units reserved now."""


@dataclass(slots=True)
class _Reserved:
    tenant: str
    cls: int
    units: int
    prompt: int
    parts: list[tuple[SharedTokenBucket, list[tuple[BudgetGrant, float]]]]
    counted: bool


@dataclass(slots=True)
class _Day:
    """One calendar window of one tenant at this node."""

    window: BudgetWindow
    part: int
    number: int = -1
    used: int = 0


@dataclass(slots=True)
class _Tenant:
    purses: list[tuple[BudgetWindow, SharedTokenBucket]]
    days: list[_Day]
    use: BudgetUsage = field(default_factory=BudgetUsage)


class TokenBudgets:
    """One node's part of every tenant's budgets."""

    def __init__(self, settings: TokenBudgetSettings, now: int) -> None:
        self.settings = s = settings
        self.tenants: dict[str, _Tenant] = {}
        self.lenders: dict[str, SharedTokenBucket] = {}
        self.wheel: TimingWheel[str] = TimingWheel(now)
        for name, windows in s.windows.items():
            purses = [
                (
                    w,
                    SharedTokenBucket(
                        w.units / w.length * 1e6,
                        w.units,
                        w.quantum or max(w.units / 10, 1),
                        s.replicas,
                        s.slot,
                        s.offset,
                    ),
                )
                for w in windows
                if w.length <= MAX_GRANTED_WINDOW_US
            ]
            days = [
                _Day(w, max(int(w.units * min(s.spread / s.replicas, 1.0)), 1))
                for w in windows
                if w.length > MAX_GRANTED_WINDOW_US
            ]
            self.tenants[name] = _Tenant(purses, days)
            for _, purse in purses:
                purse.left(now)  # Turns that come from now on are this node's own.
            if purses and s.lend:
                self.lenders[name] = min(purses, key=lambda pair: pair[0].length)[1]
                self.wheel.schedule(name, now + LEAST_LOOK_US)
        self.open: dict[int, _Reserved] = {}
        self.estimates: OrderedDict[tuple[str, int], tuple[float, float, int]] = OrderedDict()
        """Mean, mean deviation and number of answers' tokens, by tenant and class."""
        self.pool: deque[BudgetGrant] = deque()
        """What has lapsed unused and may be lent."""
        self.heavy = HeavyHitterSketch(HEAVY)
        self._last_wall = 0

    # -- estimates

    def estimate(self, tenant: str, cls: int, most: int) -> int:
        """Tokens that an answer is thought to have: half of what it may, until some have been seen."""
        mean, off, seen = self.estimates.get((tenant, cls), (0.0, 0.0, 0))
        return most // 2 if not seen else max(min(int(mean + MARGIN * off), most), 1)

    def _learn(self, tenant: str, cls: int, tokens: int) -> None:
        mean, off, seen = self.estimates.pop((tenant, cls), (float(tokens), 0.0, 0))
        weight = max(SMOOTHING, 1 / (seen + 1))
        off += weight * (abs(tokens - mean) - off)
        mean += weight * (tokens - mean)
        self.estimates[tenant, cls] = (mean, off, seen + 1)
        if len(self.estimates) > MOST_ESTIMATES:
            self.estimates.popitem(last=False)

    def units(self, read: int, kept: int, written: int) -> int:
        s = self.settings
        return read * s.read + kept * s.kept + written * s.written

    # -- requests

    def _number(self, window: BudgetWindow, now: int) -> tuple[int, int]:
        """Which calendar window it is, and microseconds until the next. A clock that steps back starts none
        anew."""
        self._last_wall = wall = max(now + self.settings.offset, self._last_wall)
        return wall // window.length, window.length - wall % window.length

    def _today(self, day: _Day, now: int) -> int:
        """Bring a calendar window to the present one; returns microseconds until the next."""
        number, rest = self._number(day.window, now)
        if number != day.number:
            day.number, day.used = number, 0
        return rest

    def ask(self, now: int, tenant: str, cls: int, prompt: int, kept: int, most: int) -> BudgetVerdict:
        """Whether a request is within its tenant's budgets; nothing is reserved. `kept`: prompt tokens that
        are likely to need no reading."""
        self._lapse(now)
        one = self.tenants.get(tenant)
        units = self.units(max(prompt - kept, 0), kept, self.estimate(tenant, cls, most))
        if one is None:
            return BudgetVerdict(False, units)
        wait, short = 0, 0
        for day in one.days:
            rest = self._today(day, now)
            if day.used + units > day.part:
                wait, short = (-1 if units > day.part else max(wait, rest)), day.window.length
        for window, purse in one.purses:
            if purse.left(now) < units:
                more = purse.wait(now, units)
                wait, short = (-1 if wait < 0 or more < 0 else max(wait, more)), max(short, window.length)
        if (
            short
            and self.settings.lend
            and short <= MAX_GRANTED_WINDOW_US
            and sum(turn.left for turn in self.pool) >= units
        ):
            return BudgetVerdict(False, units, lent=True)
        return BudgetVerdict(bool(short), units, wait, short)

    def take(
        self, now: int, request: int, tenant: str, cls: int, prompt: int, verdict: BudgetVerdict
    ) -> None:
        """The request is let in, within its budget or over it: reserve."""
        one = self.tenants.get(tenant)
        self.heavy.add(tenant, verdict.reserved)
        if one is None:
            return
        parts: list[tuple[SharedTokenBucket, list[tuple[BudgetGrant, float]]]] = []
        if verdict.lent:
            self._borrow(verdict.reserved)
        elif not verdict.over:
            parts = [(purse, purse.take(verdict.reserved)) for _, purse in one.purses]
        for day in one.days:
            self._today(day, now)
            day.used += verdict.reserved
        self.open[request] = _Reserved(
            tenant, cls, verdict.reserved, prompt, parts, not verdict.over and not verdict.lent
        )
        one.use.requests += 1
        one.use.over += verdict.over
        one.use.reserved += verdict.reserved
        one.use.held_back += verdict.reserved

    def _borrow(self, units: float) -> None:
        while units > 0 and self.pool:
            part = min(self.pool[0].left, units)
            self.pool[0].left -= part
            units -= part
            if self.pool[0].left <= 0:
                self.pool.popleft()

    def settle(self, now: int, request: int, kept: int, written: int, learn: bool) -> None:
        """The request has ended: it had so many of its prompt's tokens kept, and wrote so many, or was not
        served at all (both negative). `learn`: the answer came to its end, so that its length tells
        something."""
        reserved = self.open.pop(request, None)
        if reserved is None:
            return
        one = self.tenants[reserved.tenant]
        used = 0 if written < 0 else self.units(max(reserved.prompt - kept, 0), kept, written)
        if learn:
            self._learn(reserved.tenant, reserved.cls, written)
        if reserved.counted:
            for purse, parts in reserved.parts:
                purse.left(now)
                if used > reserved.units:
                    purse.take(used - reserved.units)
                else:
                    purse.back(parts, reserved.units - used)
        for day in one.days:
            day.used = max(day.used + used - reserved.units, 0)
        one.use.held_back -= reserved.units
        one.use.used += used
        one.use.off += abs(used - reserved.units)

    # -- lending

    def _lapse(self, now: int) -> None:
        """Lend what has lapsed unused in the shortest window of each tenant: longer ones hold the same tokens
        again. The wheel tells whose turn lapses, so nobody else is looked at."""
        while self.pool and self.pool[0].lapses <= now:
            self.pool.popleft()
        for name in self.wheel.advance(now) if self.settings.lend else ():
            purse = self.lenders[name]
            purse.left(now)
            if purse.lapsed > 0:
                self.pool.append(BudgetGrant(now + LEND_US, purse.lapsed))
                purse.lapsed = 0.0
            due = purse.turns[0].lapses if purse.turns else now + int(purse.every * purse.replicas)
            self.wheel.schedule(name, min(max(due, now + LEAST_LOOK_US), now + MOST_LOOK_US))

    # -- after a restart, and for operators

    def recovered(self, now: int, tenant: str, units: int) -> None:
        """What the ledger says of a tenant's use in the calendar window that runs: it counts on."""
        one = self.tenants.get(tenant)
        for day in one.days if one else ():
            self._today(day, now)
            day.used += units

    def use(self, tenant: str) -> BudgetUsage:
        """Raises KeyError for a tenant without budgets."""
        return self.tenants[tenant].use

    def heaviest(self, count: int = 10) -> list[HeavyHitter]:
        """Who has used most, in units, among tenants of any number."""
        return self.heavy.top(count)
