"""Decides whether a request is within its tenant's token budgets, which hold for all nodes together.

Budgets are in whole units: each prompt, cached or output token counts as a number of units that depends on
its type. A tenant has a budget for each of several windows. A request is within budget if every window has
capacity for the units that the request is expected to use.

- Windows of up to `MAX_GRANTED_WINDOW_US` are token buckets, whose grants are issued to the nodes in turn
  (`decisions/shared_token_bucket.py`). In any period W, all nodes together use at most units x
  (W / window + 1) plus one grant, whatever the traffic.
- Longer windows, such as a day, follow the calendar. Each node may use units x spread / replicas of a window.
  A node's usage is restored after a restart, whereas a grant for a day would be lost. `spread` says how
  uneven a tenant's traffic may be: a tenant whose requests reach replicas / spread of the nodes can use all
  of its budget, and a tenant whose requests reach all nodes can use at most `spread` times its budget.

The number of output tokens is not known in advance. A request reserves units for an estimate
(`decisions/output_estimate.py`), and is settled by the tokens that were streamed. If a window lacks units
when a request is settled, they are taken from its next grants.

A request over budget gets a lower priority or is rejected, as the settings of its class say. Units that other
tenants let expire unused are lent (`decisions/lending_pool.py`).

Times are in microseconds. The module does no I/O, reads no clock and draws no random numbers. Memory bounds:
the tenants of the settings, and one reservation for each request in flight.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from tuliptrack.decisions.calendar_window import CalendarClock, CalendarWindow
from tuliptrack.decisions.lending_pool import LendingPool
from tuliptrack.decisions.output_estimate import OutputEstimates
from tuliptrack.decisions.shared_token_bucket import (
    AcquiredTokens,
    SharedBucketSettings,
    SharedTokenBucket,
)
from tuliptrack.structures.heavy_hitters import HeavyHitter, HeavyHitterSketch

__all__ = [
    "MAX_GRANTED_WINDOW_US",
    "BudgetRequest",
    "BudgetUsage",
    "BudgetVerdict",
    "BudgetWindow",
    "ServedTokens",
    "TokenBudgetSettings",
    "TokenBudgets",
    "TokenWeights",
]

MAX_GRANTED_WINDOW_US = 3_600_000_000
"""Longest window that is a token bucket; longer ones follow the calendar.

It is limited because a node that restarts loses the grants of a whole window.
"""
DEFAULT_GRANTS_PER_WINDOW = 10
SKETCH_COUNTERS = 2_048
"""Number of counters of the sketch that finds the tenants with the most reserved units."""


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """Number of units that a tenant may use at all nodes together in a window of some length."""

    length_us: int
    units: int
    quantum_units: int = 0
    """Number of units of one grant; 0 for a tenth of `units`."""

    def __post_init__(self) -> None:
        """Check the values."""
        if self.length_us <= 0 or self.units <= 0 or not 0 <= self.quantum_units <= self.units:
            raise ValueError("window: length and units must be above 0, quantum from 0 to units")


@dataclass(frozen=True, slots=True)
class TokenWeights:
    """Numbers of units that one token of each type counts as."""

    prompt: int = 10
    cached: int = 1
    output: int = 30

    def units(self, prompt_tokens: int, cached_tokens: int, output_tokens: int) -> int:
        """Return the units that tokens count as; `prompt_tokens` excludes cached ones."""
        return prompt_tokens * self.prompt + cached_tokens * self.cached + output_tokens * self.output


@dataclass(frozen=True, slots=True)
class TokenBudgetSettings:
    """Settings of the budgets; only `replica_index` and `epoch_offset_us` differ between nodes."""

    replicas: int
    windows: Mapping[str, tuple[BudgetWindow, ...]]
    """The windows of each tenant; a tenant without windows has no budget."""
    replica_index: int = 0
    epoch_offset_us: int = 0
    """Offset that, added to the node's time, gives the time since 1970; it is set once, at the start."""
    spread: float = 4.0
    weights: TokenWeights = field(default_factory=TokenWeights)
    is_lending: bool = True


@dataclass(frozen=True, slots=True)
class BudgetRequest:
    """The facts about a request from which its units are computed."""

    tenant: str
    class_index: int
    prompt_tokens: int
    cached_tokens: int
    """Number of prompt tokens that are expected to be cached."""
    max_output_tokens: int


@dataclass(frozen=True, slots=True)
class BudgetVerdict:
    """Whether a request is within its tenant's budgets."""

    is_over: bool
    """Whether some window has no capacity for the request."""
    reserved_units: int = 0
    retry_after_us: int | None = 0
    """Time until every window has capacity for the request; None if one of them never has."""
    window_us: int = 0
    """Length of a window without capacity; 0 if all have capacity."""
    is_borrowed: bool = False


@dataclass(frozen=True, slots=True)
class ServedTokens:
    """Tokens that were cached, and tokens that were streamed, for a request that has ended."""

    cached_tokens: int
    output_tokens: int


@dataclass(slots=True)
class BudgetUsage:
    """Sums over one tenant's requests, by which operators compare reservations with usage."""

    reserved_units: int = 0
    used_units: int = 0
    estimate_error_units: int = 0
    """Sum over settled requests of the absolute difference between reserved and used units."""
    requests: int = 0
    over_budget: int = 0
    open_units: int = 0
    """Units reserved by requests that are not settled yet."""


@dataclass(frozen=True, slots=True)
class _BucketReservation:
    bucket: SharedTokenBucket
    acquired: list[AcquiredTokens]

    def settle(self, now_us: int, reserved_units: int, used_units: int) -> None:
        self.bucket.advance(now_us)
        if used_units > reserved_units:
            self.bucket.acquire(used_units - reserved_units)
        else:
            self.bucket.refund(self.acquired, reserved_units - used_units)


@dataclass(frozen=True, slots=True)
class _Reservation:
    request: BudgetRequest
    units: int
    buckets: list[_BucketReservation]
    """Empty if the request was over budget or borrowed its units."""


@dataclass(frozen=True, slots=True)
class _GrantedWindow:
    length_us: int
    bucket: SharedTokenBucket


@dataclass(frozen=True, slots=True)
class _TenantBudget:
    granted: list[_GrantedWindow]
    calendar: list[CalendarWindow]
    usage: BudgetUsage


class TokenBudgets:
    """One node's part of every tenant's budgets."""

    def __init__(self, settings: TokenBudgetSettings, now_us: int) -> None:
        """Create the budgets; this node may use only those of its grants that are issued after `now_us`."""
        self._settings = settings
        self._clock = CalendarClock(settings.epoch_offset_us)
        self._lending_pool = LendingPool(now_us)
        self._estimates = OutputEstimates()
        self._top_tenants = HeavyHitterSketch(SKETCH_COUNTERS)
        self._reservations: dict[int, _Reservation] = {}
        self._tenants = {
            tenant: self._tenant_budget(windows, now_us) for tenant, windows in settings.windows.items()
        }
        for tenant, budget in self._tenants.items():
            if budget.granted and settings.is_lending:
                # A tenant's longer windows count the same units again, so only its shortest one lends.
                shortest = min(budget.granted, key=lambda window: window.length_us)
                self._lending_pool.add_lender(now_us, tenant, shortest.bucket)

    def _tenant_budget(self, windows: tuple[BudgetWindow, ...], now_us: int) -> _TenantBudget:
        budget = _TenantBudget([], [], BudgetUsage())
        for window in windows:
            if window.length_us <= MAX_GRANTED_WINDOW_US:
                bucket = self._bucket(window)
                bucket.advance(now_us)
                budget.granted.append(_GrantedWindow(window.length_us, bucket))
            else:
                share = min(self._settings.spread / self._settings.replicas, 1.0)
                units = max(int(window.units * share), 1)
                budget.calendar.append(CalendarWindow(window.length_us, units))
        return budget

    def _bucket(self, window: BudgetWindow) -> SharedTokenBucket:
        settings = self._settings
        return SharedTokenBucket(
            SharedBucketSettings(
                window.units / window.length_us * 1e6,
                window.units,
                window.quantum_units or max(window.units / DEFAULT_GRANTS_PER_WINDOW, 1),
                settings.replicas,
                settings.replica_index,
                settings.epoch_offset_us,
            )
        )

    @property
    def open_reservations(self) -> int:
        """Number of requests that have reserved units and are not settled yet."""
        return len(self._reservations)

    def expected_output_tokens(self, request: BudgetRequest) -> int:
        """Return the output tokens that a request is expected to have."""
        return self._estimates.estimate(request.tenant, request.class_index, request.max_output_tokens)

    def units(self, prompt_tokens: int, cached_tokens: int, output_tokens: int) -> int:
        """Return the units that tokens count as; `prompt_tokens` excludes cached ones."""
        return self._settings.weights.units(prompt_tokens, cached_tokens, output_tokens)

    def _request_units(self, request: BudgetRequest, cached_tokens: int, output_tokens: int) -> int:
        return self.units(max(request.prompt_tokens - cached_tokens, 0), cached_tokens, output_tokens)

    def check(self, now_us: int, request: BudgetRequest) -> BudgetVerdict:
        """Return whether a request is within its tenant's budgets, without reserving any units."""
        if self._settings.is_lending:
            self._lending_pool.advance(now_us)
        units = self._request_units(request, request.cached_tokens, self.expected_output_tokens(request))
        budget = self._tenants.get(request.tenant)
        if budget is None:
            return BudgetVerdict(False, units)
        verdict = self._check_granted(now_us, budget, self._check_calendar(now_us, budget, units))
        if self._can_borrow(verdict):
            return BudgetVerdict(False, units, is_borrowed=True)
        return verdict

    def _check_calendar(self, now_us: int, budget: _TenantBudget, units: int) -> BudgetVerdict:
        retry_after_us: int | None = 0
        window_us = 0
        # If one window can never allow the request, the finite wait for another window must not replace the
        # None: the client would retry in vain.
        for window in budget.calendar:
            unix_us = self._clock.unix_us(now_us)
            window.advance(unix_us)
            if window.used_units + units <= window.units:
                continue
            window_us = window.length_us
            is_never = units > window.units or retry_after_us is None
            retry_after_us = None if is_never else max(retry_after_us or 0, window.remaining_us(unix_us))
        return BudgetVerdict(window_us > 0, units, retry_after_us, window_us)

    def _check_granted(self, now_us: int, budget: _TenantBudget, calendar: BudgetVerdict) -> BudgetVerdict:
        units, retry_after_us = calendar.reserved_units, calendar.retry_after_us
        window_us = calendar.window_us
        for window in budget.granted:
            if window.bucket.available(now_us) >= units:
                continue
            window_us = max(window_us, window.length_us)
            wait_us = window.bucket.wait_us(now_us, units)
            is_never = wait_us is None or retry_after_us is None
            retry_after_us = None if is_never else max(wait_us or 0, retry_after_us or 0)
        return BudgetVerdict(window_us > 0, units, retry_after_us, window_us)

    def _can_borrow(self, verdict: BudgetVerdict) -> bool:
        """Whether a request over budget can borrow its units; for a calendar window, none can be borrowed."""
        return (
            verdict.is_over
            and self._settings.is_lending
            and verdict.window_us <= MAX_GRANTED_WINDOW_US
            and self._lending_pool.available() >= verdict.reserved_units
        )

    def reserve(self, now_us: int, request_id: int, request: BudgetRequest, verdict: BudgetVerdict) -> None:
        """Reserve the units of an admitted request, whether it is within its budget or over it."""
        units = verdict.reserved_units
        self._top_tenants.add(request.tenant, units)
        budget = self._tenants.get(request.tenant)
        if budget is None:
            return
        buckets: list[_BucketReservation] = []
        if verdict.is_borrowed:
            self._lending_pool.borrow(units)
        elif not verdict.is_over:
            buckets = [
                _BucketReservation(window.bucket, window.bucket.acquire(units)) for window in budget.granted
            ]
        self._use_calendar(now_us, budget, units)
        self._reservations[request_id] = _Reservation(request, units, buckets)
        budget.usage.requests += 1
        budget.usage.over_budget += verdict.is_over
        budget.usage.reserved_units += units
        budget.usage.open_units += units

    def _use_calendar(self, now_us: int, budget: _TenantBudget, units: int) -> None:
        for window in budget.calendar:
            window.advance(self._clock.unix_us(now_us))
            window.used_units += units

    def settle(self, now_us: int, request_id: int, served: ServedTokens | None, is_complete: bool) -> None:
        """Settle an ended request by the tokens it was served; `served` is None if there were none.

        `is_complete` says that the output was not cut short, so that estimates are learnt from its length.
        """
        reservation = self._reservations.pop(request_id, None)
        if reservation is None:
            return
        request, reserved_units = reservation.request, reservation.units
        used_units = self._request_units(request, served.cached_tokens, served.output_tokens) if served else 0
        if is_complete:
            output_tokens = served.output_tokens if served else 0
            self._estimates.record(request.tenant, request.class_index, output_tokens)
        for bucket in reservation.buckets:
            bucket.settle(now_us, reserved_units, used_units)
        budget = self._tenants[request.tenant]
        for window in budget.calendar:
            window.used_units = max(window.used_units + used_units - reserved_units, 0)
        budget.usage.open_units -= reserved_units
        budget.usage.used_units += used_units
        budget.usage.estimate_error_units += abs(used_units - reserved_units)

    def restore_usage(self, now_us: int, tenant: str, units: int) -> None:
        """Add units that a tenant has used, according to the ledger, to its current calendar windows."""
        budget = self._tenants.get(tenant)
        if budget is not None:
            self._use_calendar(now_us, budget, units)

    def usage(self, tenant: str) -> BudgetUsage:
        """Return a tenant's usage; KeyError for a tenant without budgets."""
        return self._tenants[tenant].usage

    def usages(self) -> Iterator[BudgetUsage]:
        """Iterate over the usage of every tenant with budgets."""
        return (budget.usage for budget in self._tenants.values())

    def top_tenants(self, count: int = 10) -> list[HeavyHitter]:
        """Return the tenants that have reserved the most units, including tenants without a budget."""
        return self._top_tenants.top(count)
