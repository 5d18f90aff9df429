"""Accounts for the bytes that cross zones, by interval, and appends them to a report file.

Bytes are counted at the node's own sockets; for transfers between engines, the engines report them.

A transfer is counted while it runs and for `LATE_BYTES_US` after its call has ended, because the counters of
a connection still include bytes that were in flight when the node reset its call. So the last bytes of a
transfer are booked in an interval after the end of its call. An interval has one row for each combination of
class, tenant, stage, pair of zones and cause: beyond `MAX_KEYS` rows, further combinations are booked under
`other`. An interval that can't be written is written together with the next one that can.

Sizes are in bytes, times in microseconds on the monotonic clock; only the report's `t` is in seconds since
1970.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import NamedTuple

import structlog

from tuliptrack.interface import CrossZoneCause
from tuliptrack.node import line_file
from tuliptrack.rpc.clock import now_us, wall_us

__all__ = ["CrossZoneAccount", "Transfer", "TransferKey", "TransferStage", "TransferTotals"]

log = structlog.get_logger("zones")

MAX_KEYS = 50_000
"""Maximum number of rows of one account, not counting `other`."""
MAX_TRANSFERS = 200_000
"""Maximum number of tracked transfers; beyond it, the bytes that the oldest one has transferred so far are
booked and it is no longer tracked."""
LATE_BYTES_US = 2_000_000
"""Time after the end of a transfer's call during which bytes that were in flight are still counted."""


class TransferStage(Enum):
    """What is transferred; the values appear in the report."""

    PROMPT = "prompt"
    KV_STATE = "state"
    OUTPUT = "answer"


class TransferKey(NamedTuple):
    """Identifies a row of the account, with zones by name. Rows of the report are sorted by these fields."""

    request_class: str
    tenant: str
    stage: str
    source: str
    target: str
    cause: str


_OTHER = TransferKey("other", "", "", "", "", "")


@dataclass(slots=True)
class TransferTotals:
    """The totals of the transfers of one row."""

    size_bytes: int = 0
    tokens: float = 0.0
    transfers: int = 0

    def add(self, other: TransferTotals) -> None:
        """Add the totals of other transfers."""
        self.size_bytes += other.size_bytes
        self.tokens += other.tokens
        self.transfers += other.transfers


Totals = dict[TransferKey, TransferTotals]


@dataclass(slots=True)
class Transfer:
    """One prompt, KV state or output that crosses zones, with zones by number."""

    request_class: str
    tenant: str
    stage: TransferStage
    source: int
    target: int
    cause: CrossZoneCause
    count_bytes: Callable[[], int]
    """Function that returns the number of bytes transferred so far."""
    tokens: float = 0.0
    booked_bytes: int = 0
    """Number of bytes of the transfer that the account already contains."""
    has_ended: bool = False
    """Whether the call of the transfer has ended: bytes still in flight are counted for `LATE_BYTES_US`."""
    tracked_until_us: int = 0
    """The time at which the tracking of the transfer ends; 0 until the account has seen the end of its
    call."""


def _add(totals: Totals, key: TransferKey, added: TransferTotals) -> None:
    """Add to the row of a key, or to `other` if there are too many rows."""
    if key not in totals and len(totals) >= MAX_KEYS:
        key = _OTHER
    totals.setdefault(key, TransferTotals()).add(added)


class CrossZoneAccount:
    """The account of one node: `track` transfers, `close_interval`, then `write` it to the report."""

    def __init__(
        self, zone_names: tuple[str, ...], path: str, max_report_bytes: int, replica_index: int
    ) -> None:
        """Create an empty account.

        Args:
            zone_names: The names of the zones, by number.
            path: The report file; if empty, no report is written.
            max_report_bytes: Size beyond which the report is rotated to `path` with `.1` added.
            replica_index: The replica index of the node, which identifies it in the report.
        """
        self.zone_names, self.path = zone_names, path
        self.max_report_bytes, self.replica_index = max_report_bytes, replica_index
        self.transfers: list[Transfer] = []
        self.total: Totals = {}
        """The totals of all transfers booked since the account was created."""
        self.unwritten: Totals = {}
        """The totals of the intervals that could not be written yet."""
        self._interval: Totals = {}
        """The part of the open interval that comes from transfers that are no longer tracked."""

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone, or its number if it has no name."""
        return self.zone_names[zone] if zone < len(self.zone_names) else str(zone)

    def track(self, transfer: Transfer) -> Transfer:
        """Start counting a transfer."""
        if len(self.transfers) >= MAX_TRANSFERS:
            self._book(self.transfers.pop(0), self._interval)
        self.transfers.append(transfer)
        return transfer

    def close_interval(self) -> Totals:
        """Return the totals of all transfers since the last interval was closed."""
        interval, self._interval = self._interval, {}
        now = now_us()
        for transfer in self.transfers:
            self._book(transfer, interval)
            if transfer.has_ended and not transfer.tracked_until_us:
                transfer.tracked_until_us = now + LATE_BYTES_US
        self.transfers = [
            transfer
            for transfer in self.transfers
            if not transfer.has_ended or now < transfer.tracked_until_us
        ]
        return interval

    def _book(self, transfer: Transfer, interval: Totals) -> None:
        """Add what was transferred since the transfer was last booked."""
        size_bytes = transfer.count_bytes()
        if size_bytes <= transfer.booked_bytes:
            return
        added = TransferTotals(size_bytes - transfer.booked_bytes)
        if not transfer.booked_bytes:
            added.tokens, added.transfers = transfer.tokens, 1
        for totals in (interval, self.total):
            _add(totals, self._key(transfer), added)
        transfer.booked_bytes = size_bytes

    def _key(self, transfer: Transfer) -> TransferKey:
        return TransferKey(
            transfer.request_class,
            transfer.tenant,
            transfer.stage.value,
            self.zone_name(transfer.source),
            self.zone_name(transfer.target),
            transfer.cause.value,
        )

    def write(self, interval: Totals) -> None:
        """Append an interval to the report.

        A failure is logged and does not affect serving; the interval is written with the next one.
        """
        if not self.path:
            return
        for key, totals in interval.items():
            _add(self.unwritten, key, totals)
        if not self.unwritten:
            return
        try:
            self._append(self._report_lines(sorted(self.unwritten.items(), key=lambda row: row[0])))
        except OSError as error:
            log.warning(
                "zone report not written", path=self.path, reason=str(error), rows_waiting=len(self.unwritten)
            )
            return
        self.unwritten = {}

    def _append(self, text: str) -> None:
        path = Path(self.path)
        if path.exists() and path.stat().st_size + len(text) > self.max_report_bytes:
            os.replace(path, path.with_name(path.name + ".1"))
        line_file.append(path, text)

    def _report_lines(self, rows: Iterable[tuple[TransferKey, TransferTotals]]) -> str:
        """Return the rows as JSON, one per line, with the keys that `tuliptrack report` reads."""
        written_at_s = round(wall_us() / 1e6, 3)
        return "".join(
            json.dumps(
                {
                    "t": written_at_s,
                    "node": self.replica_index,
                    "class": key.request_class,
                    "tenant": key.tenant,
                    "stage": key.stage,
                    "from": key.source,
                    "to": key.target,
                    "cause": key.cause,
                    "bytes": totals.size_bytes,
                    "tokens": round(totals.tokens),
                    "moves": totals.transfers,
                }
            )
            + "\n"
            for key, totals in rows
        )
