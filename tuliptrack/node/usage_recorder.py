"""Records the usage of requests in the ledger, from which bills are computed.

The usage of a request is recorded when it ends and, while it streams, with each commit, so that a killed node
loses at most what was sent since the last commit. Commits run in a thread, one at a time. While they fail,
records wait in memory, up to the ledger's bound; beyond that bound, requests are not billed, and the loss is
counted and logged.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import structlog

from tuliptrack.config.node import BillingOptions
from tuliptrack.decisions.billing import Bill, UsageOutcome, UsageRecord, compute_bills
from tuliptrack.node.request_state import RequestState
from tuliptrack.node.requests import RequestRecord
from tuliptrack.rpc.clock import wall_us
from tuliptrack.store.ledger import Ledger, LedgerError

__all__ = ["UsageRecorder"]

log = structlog.get_logger("bills")

COMPACTION_INTERVAL_S = 3_600.0
DAY_US = 86_400_000_000


@dataclass(slots=True)
class _Stream:
    """A request that streams, and the token index up to which the ledger has recorded it."""

    record: RequestRecord
    recorded_index: int


class UsageRecorder:
    """Records the usage of one node's requests. Call `open` first; `close` commits what is left."""

    def __init__(self, options: BillingOptions, instance: str, epoch_offset_us: int) -> None:
        """Set the options; nothing is opened yet.

        Args:
            options: The path of the ledger, its bounds and its retention.
            instance: Identifies this incarnation of the node in the ledger.
            epoch_offset_us: Offset from the node's clock to microseconds since 1970.
        """
        self.options, self.instance, self.epoch_offset_us = options, instance, epoch_offset_us
        self.ledger: Ledger | None = None
        self.commit_error = ""
        """Why the last commit failed; empty if it succeeded."""
        self.unbilled_count = 0
        """Number of records that were lost because the ledger was full."""
        self._streams: dict[int, _Stream] = {}
        self._compacted_at_s = time.monotonic()

    async def open(self) -> None:
        """Open the ledger, if the settings name one.

        Raises:
            LedgerError: The ledger can't be opened.
        """
        if not self.options.ledger:
            return
        self.ledger = await asyncio.to_thread(Ledger, self.options.ledger, self.options.ledger_bytes)
        recovery = self.ledger.recovery
        self.commit_error = recovery.trouble
        log.info(
            "ledger open",
            batches=recovery.batches,
            cut_off=recovery.cut,
            ms=round(recovery.duration_us / 1000, 1),
            trouble=recovery.trouble,
        )

    async def usage_since(self, wall_time_us: int) -> list[Bill]:
        """Return the usage since `wall_time_us`, in microseconds since 1970; empty if there is no ledger."""
        if self.ledger is None:
            return []
        return list(compute_bills(await asyncio.to_thread(self.ledger.records_since, wall_time_us)))

    async def close(self) -> None:
        """Commit what is left and close the ledger."""
        if self.ledger is None:
            return
        ledger = self.ledger
        await self._commit()
        self.ledger = None
        await asyncio.to_thread(ledger.close)

    def stream_started(self, record: RequestRecord) -> None:
        """Record the usage of this request with each commit from now on."""
        if self.ledger:
            self._streams[record.id] = _Stream(record, record.client_request.resume_index)

    def request_ended(self, record: RequestRecord) -> None:
        """Record the final usage of a request."""
        self._streams.pop(record.id, None)
        if self.ledger is None:
            return
        if record.state is RequestState.SERVED:
            outcome = UsageOutcome.SERVED
        else:
            outcome = (
                UsageOutcome.CUT
                if record.next_index != record.client_request.resume_index
                else UsageOutcome.NOTHING
            )
        self._add(self.ledger, self._usage_record(record, outcome))

    async def commit_interval(self) -> None:
        """Commit the usage of this interval, and compact the ledger if that is due."""
        if self.ledger is None:
            return
        self._record_streams(self.ledger)
        await self._commit()
        # Compaction frees space, so after a failed commit it runs at once.
        if time.monotonic() - self._compacted_at_s > COMPACTION_INTERVAL_S or self.commit_error:
            self._compacted_at_s = time.monotonic()
            await self._compact()

    def _record_streams(self, ledger: Ledger) -> None:
        for stream in list(self._streams.values()):
            if stream.record.next_index > stream.recorded_index:
                stream.recorded_index = stream.record.next_index
                self._add(ledger, self._usage_record(stream.record, UsageOutcome.OPEN))

    def _usage_record(self, record: RequestRecord, outcome: int) -> UsageRecord:
        request = record.client_request
        has_output = record.next_index > request.resume_index
        wasted_prefills = max(record.prefills - has_output, 0)
        prefilled_tokens = max(request.prompt_tokens - record.cached_tokens, 0)
        return UsageRecord(
            self.instance,
            record.id,
            request.tenant,
            request.work_id or record.name,
            record.accepted_at_us + self.epoch_offset_us,
            request.prompt_tokens,
            record.cached_tokens,
            request.resume_index,
            record.next_index,
            outcome,
            wasted_prefills * prefilled_tokens,
            0,
            record.price,
            request.request_class,
            record.model.name,
            record.model.version,
        )

    def _add(self, ledger: Ledger, usage: UsageRecord) -> None:
        if ledger.add(usage):
            return
        self.unbilled_count += 1
        is_power_of_two = self.unbilled_count & (self.unbilled_count - 1) == 0
        if is_power_of_two:  # A full ledger loses every record: one line for each would flood the log.
            log.error("served unbilled", parts=self.unbilled_count)

    async def _commit(self) -> None:
        assert self.ledger
        try:
            await asyncio.to_thread(self.ledger.commit)
        except LedgerError as error:
            if not self.commit_error:
                log.error("bills not written", reason=str(error))
            self.commit_error = str(error)
            return
        if self.commit_error:
            log.info("bills written again")
        self.commit_error = ""

    async def _compact(self) -> None:
        assert self.ledger
        before_us = wall_us() - self.options.keep_days * DAY_US
        try:
            batches = await asyncio.to_thread(self.ledger.compact, before_us)
            if batches:
                log.info("ledger compacted", batches=batches)
        except Exception as error:  # A full file has no space for compaction either; serving continues.
            log.warning("ledger not compacted", reason=str(error))
