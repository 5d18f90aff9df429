"""Budgets and bills of a running node: what the core's requests become in `decisions/token_budget.py` and in
the ledger.

A part of a bill is written when its request ends, and while it streams at each commit, so that a killed node
loses at most what has left since the last one. Commits run in a thread, one at a time. Where they fail, parts
wait (bounded); then new requests are refused, or served unbilled and counted, as the settings have it."""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_right

import structlog

from tuliptrack.config.node import BillingOptions
from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord, compute_bills
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
from tuliptrack.node.requests import RequestRecord, RequestState
from tuliptrack.rpc.clock import wall_us
from tuliptrack.store.ledger import Ledger, LedgerError

__all__ = ["Billing"]

log = structlog.get_logger("bills")
_TELL_S = 60.0  # seconds between two lines on budgets
_COMPACT_S = 3_600.0  # seconds between two looks at what is past its retention


class Billing:
    """One node's. `open` first; `close` commits what is left."""

    def __init__(self, options: BillingOptions, settings: Settings, instance: str, now: int) -> None:
        self.options, self.instance = options, instance
        self.wall = settings.epoch_offset_us
        """What turns the node's clock into microseconds since 1970; taken once."""
        self.budgets: TokenBudgets | None = None
        if options.windows:
            self.budgets = TokenBudgets(
                TokenBudgetSettings(
                    settings.replicas,
                    options.windows,
                    settings.replica_index,
                    self.wall,
                    options.spread,
                    TokenWeights(*options.weights),
                    options.lend,
                ),
                now,
            )
        self.ledger: Ledger | None = None
        self.failing = ""
        """Why the last commit failed; empty where it did not."""
        self.unbilled = 0
        self.streaming: dict[int, tuple[RequestRecord, int]] = {}
        """Requests that stream, and the token up to which the ledger has them."""
        self._task: asyncio.Task[None] | None = None
        self._compacted = self._told = time.monotonic()

    async def open(self, now: int) -> None:
        """LedgerError where the ledger can't be had."""
        if self.options.ledger:
            await self._open_ledger(now)
        if self.ledger or self.budgets:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _open_ledger(self, now: int) -> None:
        self.ledger = await asyncio.to_thread(Ledger, self.options.ledger, self.options.ledger_bytes)
        found = self.ledger.recovery
        self.failing = found.trouble
        log.info(
            "ledger open",
            batches=found.batches,
            cut_off=found.cut,
            ms=round(found.took_us / 1000, 1),
            trouble=found.trouble,
        )
        longest = max(
            (
                w.length_us
                for ws in self.options.windows.values()
                for w in ws
                if w.length_us > MAX_GRANTED_WINDOW_US
            ),
            default=0,
        )
        if self.budgets and longest:
            wall = now + self.wall
            for bill in compute_bills(await asyncio.to_thread(self.ledger.used_since, wall - wall % longest)):
                self.budgets.restore_usage(
                    now, bill.tenant, self.budgets.units(bill.read, bill.kept, bill.written)
                )

    async def close(self) -> None:
        if self._task:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self.ledger:
            ledger = self.ledger
            await self._commit()
            self.ledger = None
            await asyncio.to_thread(ledger.close)

    # -- requests

    def refusal(self) -> str:
        """Why new requests are refused, where they are for want of bills."""
        return "bills can't be written" if self.failing and self.options.refuse_when_full else ""

    def ask(self, now: int, record: RequestRecord, cls: int) -> BudgetVerdict:
        """Whether a request is within its tenant's budgets; what it needs is reserved if it is let in."""
        if self.budgets is None:
            return BudgetVerdict(False)
        return self.budgets.check(now, self._budget_request(record, cls))

    def let_in(self, now: int, record: RequestRecord, cls: int, verdict: BudgetVerdict) -> None:
        record.price = self._price(now + self.wall)
        if self.budgets:
            self.budgets.reserve(now, record.id, self._budget_request(record, cls), verdict)

    @staticmethod
    def _budget_request(record: RequestRecord, cls: int) -> BudgetRequest:
        ask = record.client_request
        cached = ask.prefix_tokens if ask.prefix else 0
        return BudgetRequest(ask.tenant, cls, ask.prompt_tokens, cached, ask.max_tokens - ask.resume_index)

    def _price(self, wall: int) -> TokenPrice:
        prices = self.options.prices
        place = bisect_right([at for at, _ in prices], wall)
        return prices[place - 1][1] if place else TokenPrice()

    def began(self, record: RequestRecord) -> None:
        if self.ledger:
            self.streaming[record.id] = (record, record.client_request.resume_index)

    def ended(self, now: int, record: RequestRecord) -> None:
        """A request that had been let in is over."""
        self.streaming.pop(record.id, None)
        got = record.next_index - record.client_request.resume_index
        whole = record.state is RequestState.SERVED
        if self.budgets:
            served = ServedTokens(record.cached_tokens, got) if got else None
            self.budgets.settle(now, record.id, served, whole)
        if self.ledger:
            self._add(
                self._part(
                    record,
                    UsageOutcome.SERVED if whole else UsageOutcome.CUT if got else UsageOutcome.NOTHING,
                )
            )

    def _part(self, record: RequestRecord, outcome: int) -> UsageRecord:
        ask, got = record.client_request, record.next_index > record.client_request.resume_index
        lost = max(record.prefills - got, 0) * max(ask.prompt_tokens - record.cached_tokens, 0)
        work = ask.work_id or record.name
        return UsageRecord(
            self.instance,
            record.id,
            ask.tenant,
            work,
            record.accepted_at_us + self.wall,
            ask.prompt_tokens,
            record.cached_tokens,
            ask.resume_index,
            record.next_index,
            outcome,
            lost,
            0,
            record.price,
            ask.request_class,
            record.model.name,
            record.model.version,
        )

    def _add(self, part: UsageRecord) -> None:
        assert self.ledger
        if not self.ledger.add(part):
            self.unbilled += 1
            if self.unbilled & (self.unbilled - 1) == 0:  # at 1, 2, 4 ...
                log.error("served unbilled", parts=self.unbilled)

    # -- commits

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.options.commit / 1e6)
            if time.monotonic() - self._told > _TELL_S:
                self._told = time.monotonic()
                self.tell()
            if self.ledger is None:
                continue
            for number, (record, known) in list(self.streaming.items()):
                if record.next_index > known:
                    self.streaming[number] = (record, record.next_index)
                    self._add(self._part(record, UsageOutcome.OPEN))
            await self._commit()
            if time.monotonic() - self._compacted > _COMPACT_S or self.failing:
                self._compacted = time.monotonic()
                await self._compact()

    def tell(self) -> None:
        """One line for the operators: who uses most, and how far off the reservations are, in tokens of
        weight 1."""
        if self.budgets is None:
            return
        uses = list(self.budgets.usages())
        used, off = sum(use.used_units for use in uses), sum(use.estimate_error_units for use in uses)
        log.info(
            "budgets",
            requests=sum(use.requests for use in uses),
            over=sum(use.over_budget for use in uses),
            held_back=sum(use.open_units for use in uses) // 10,
            off_share=round(off / max(used, 1), 3),
            heaviest=[[heavy.name, heavy.amount // 10] for heavy in self.budgets.top_tenants(5)],
        )

    async def _commit(self) -> None:
        assert self.ledger
        try:
            await asyncio.to_thread(self.ledger.commit)
        except LedgerError as error:
            if not self.failing:
                log.error("bills not written", reason=str(error))
            self.failing = str(error)
            return
        if self.failing:
            log.info("bills written again")
        self.failing = ""

    async def _compact(self) -> None:
        assert self.ledger
        before = wall_us() - self.options.keep_days * 86_400_000_000
        try:
            folded = await asyncio.to_thread(self.ledger.compact, before)
            if folded:
                log.info("ledger compacted", batches=folded)
        except Exception as error:  # a full file has no room for that either
            log.warning("ledger not compacted", reason=str(error))
