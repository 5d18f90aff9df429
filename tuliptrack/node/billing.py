"""Token budgets and bills of a running node.

Updates the budgets (`decisions/token_budget.py`) and the usage recorder over the life cycle of a request. A
request is checked against its tenant's budgets before it is admitted; its expected usage is reserved when it
is admitted and settled when it ends. Budgets count in tenths of a token of weight 1. Times are in
microseconds on the node's clock.
"""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right

import structlog

from tuliptrack.config.node import BillingOptions
from tuliptrack.decisions.billing import TokenPrice
from tuliptrack.decisions.token_budget import (
    MAX_GRANTED_WINDOW_US,
    BudgetRequest,
    BudgetVerdict,
    ServedTokens,
    TokenBudgets,
    TokenBudgetSettings,
    TokenWeights,
)
from tuliptrack.interface import Settings
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import RequestRecord
from tuliptrack.node.usage_recorder import UsageRecorder
from tuliptrack.rpc.periodic import run_periodically

__all__ = ["Billing"]

log = structlog.get_logger("bills")

BUDGET_LOG_INTERVAL_S = 60.0
UNITS_PER_TOKEN = 10
"""Budget units per token of weight 1."""
LOGGED_TENANTS = 5
"""Number of tenants with the highest usage that the log line names."""


class Billing:
    """Budgets and bills of one node. Call `open` first; `close` commits what is left."""

    def __init__(self, options: BillingOptions, settings: Settings, instance: str, now: int) -> None:
        """Set up the budgets; the ledger is opened by `open`.

        Args:
            options: Budgets, prices and the ledger.
            settings: The replica count, the node's replica index, and the offset of its clock.
            instance: Identifies this incarnation of the node in the ledger.
            now: The current time.
        """
        self.options = options
        self.epoch_offset_us = settings.epoch_offset_us
        """Difference between microseconds since 1970 and the time on the node's clock; determined once."""
        self.budgets = TokenBudgets(_budget_settings(options, settings), now) if options.windows else None
        self.recorder = UsageRecorder(options, instance, self.epoch_offset_us)
        self._task: asyncio.Task[None] | None = None
        self._logged_at_s = time.monotonic()

    async def open(self, now: int) -> None:
        """Open the ledger, and start the periodic commits and log lines.

        Raises:
            LedgerError: The ledger can't be opened.
        """
        await self.recorder.open()
        await self._recover_usage(now)
        if self.recorder.ledger or self.budgets:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _recover_usage(self, now: int) -> None:
        """Restore the usage of open calendar windows from the ledger: a restart does not end a window."""
        calendar_lengths = [
            window.length_us
            for windows in self.options.windows.values()
            for window in windows
            if window.length_us > MAX_GRANTED_WINDOW_US
        ]
        if self.budgets is None or not calendar_lengths:
            return
        wall_time_us = now + self.epoch_offset_us
        for bill in await self.recorder.usage_since(wall_time_us - wall_time_us % max(calendar_lengths)):
            units = self.budgets.units(bill.read, bill.kept, bill.written)
            self.budgets.restore_usage(now, bill.tenant, units)

    async def close(self) -> None:
        """Stop the periodic commits, then commit what is left."""
        if self._task:
            self._task.cancel()
            await asyncio.wait([self._task])
        await self.recorder.close()

    def rejection_reason(self) -> str:
        """Return why all new requests are rejected because usage can't be recorded; empty if they are not."""
        is_rejecting = self.recorder.commit_error and self.options.reject_when_full
        return "bills can't be written" if is_rejecting else ""

    def check_budget(self, now: int, record: RequestRecord, class_index: int) -> BudgetVerdict:
        """Return whether a request is within its tenant's budgets; nothing is reserved yet."""
        if self.budgets is None:
            return BudgetVerdict(False)
        return self.budgets.check(now, _budget_request(record, class_index))

    def request_admitted(
        self, now: int, record: RequestRecord, class_index: int, verdict: BudgetVerdict
    ) -> None:
        """Set the price of an admitted request, and reserve its expected usage."""
        record.price = self._price_at(now + self.epoch_offset_us)
        if self.budgets:
            self.budgets.reserve(now, record.id, _budget_request(record, class_index), verdict)

    def _price_at(self, wall_time_us: int) -> TokenPrice:
        """Return the price in force at a wall time; the prices are sorted by when they begin to apply."""
        starts = [start for start, _ in self.options.prices]
        index = bisect_right(starts, wall_time_us)
        return self.options.prices[index - 1][1] if index else TokenPrice()

    def stream_started(self, record: RequestRecord) -> None:
        """Record the usage of a request from its first token on, not only at its end."""
        self.recorder.stream_started(record)

    def request_ended(self, now: int, record: RequestRecord) -> None:
        """Settle the budgets of an admitted request, and record its usage."""
        if self.budgets:
            output_tokens = record.next_index - record.client_request.resume_index
            is_complete = record.state is RequestState.SERVED
            served = ServedTokens(record.cached_tokens, output_tokens) if output_tokens else None
            self.budgets.settle(now, record.id, served, is_complete)
        self.recorder.request_ended(record)

    async def _run(self) -> None:
        """Commit and log periodically, until cancelled."""
        await run_periodically("bills", self.options.commit / 1e6, self._commit_and_log)

    async def _commit_and_log(self) -> None:
        if time.monotonic() - self._logged_at_s > BUDGET_LOG_INTERVAL_S:
            self._logged_at_s = time.monotonic()
            self.log_budgets()
        await self.recorder.commit_interval()

    def log_budgets(self) -> None:
        """Log the tenants with the highest usage, and how much reservations differ from the actual usage.

        Amounts are in tokens of weight 1; the difference is a share of the actual usage.
        """
        if self.budgets is None:
            return
        usages = list(self.budgets.usages())
        used = sum(usage.used_units for usage in usages)
        difference = sum(usage.estimate_error_units for usage in usages)
        log.info(
            "budgets",
            requests=sum(usage.requests for usage in usages),
            over_budget=sum(usage.over_budget for usage in usages),
            reserved_tokens=sum(usage.open_units for usage in usages) // UNITS_PER_TOKEN,
            estimate_error_share=round(difference / max(used, 1), 3),
            heaviest=[
                [tenant.name, tenant.amount // UNITS_PER_TOKEN]
                for tenant in self.budgets.top_tenants(LOGGED_TENANTS)
            ],
        )


def _budget_request(record: RequestRecord, class_index: int) -> BudgetRequest:
    request = record.client_request
    cached_tokens = request.prefix_tokens if request.prefix else 0
    max_output_tokens = request.max_tokens - request.resume_index
    return BudgetRequest(request.tenant, class_index, request.prompt_tokens, cached_tokens, max_output_tokens)


def _budget_settings(options: BillingOptions, settings: Settings) -> TokenBudgetSettings:
    return TokenBudgetSettings(
        settings.replicas,
        options.windows,
        settings.replica_index,
        settings.epoch_offset_us,
        options.spread,
        TokenWeights(*options.weights),
        options.lend,
    )
