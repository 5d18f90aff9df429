"""What has crossed zones, by the node's own sockets and its engines' word: counted, booked by interval, written down.

A move is counted while it runs and after it was broken off (`core.Traffic` goes on counting what crosses a reset of
ours), so it is booked at the end of an interval, not at the end of its call. The sums of one interval are bounded by
the number of (class, tenant, stage, pair of zones, cause); `MOST_KEYS` more than that are booked under `other`.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import structlog

from tuliptrack.interface import Cause

__all__ = ["Move", "ZoneAccount"]

log = structlog.get_logger("zones")
MOST_KEYS = 50_000
MOST_MOVES = 200_000  # moves that wait to be booked; one more is booked at once, as it stands
Key = tuple[str, str, str, str, str, str]


@dataclass(slots=True)
class Move:
    """One thing that has crossed, or may still: a prompt, a read state, or an answer."""

    cls: str
    tenant: str
    stage: str
    """`prompt`, `state` or `answer`."""
    source: int
    target: int
    cause: Cause
    size: Callable[[], int]
    """Bytes so far."""
    tokens: float = 0.0
    booked: int = 0
    over: bool = False
    """Its call has ended; it is let go with the interval after."""


class ZoneAccount:
    """One node's account. `take` notes a move, `book` ends an interval."""

    def __init__(self, names: tuple[str, ...], path: str, most_bytes: int, node: int) -> None:
        self.names, self.path, self.most_bytes, self.node = names, path, most_bytes, node
        self.moves: list[Move] = []
        self.total: dict[Key, list[float]] = {}
        """Since the start: bytes, tokens and moves by class, tenant, stage, pair and cause."""
        self.lost_rows = 0

    def name(self, zone: int) -> str:
        return self.names[zone] if zone < len(self.names) else str(zone)

    def take(self, move: Move) -> Move:
        if len(self.moves) >= MOST_MOVES:
            self.moves.pop(0).over = True
        self.moves.append(move)
        return move

    def _key(self, move: Move, rows: dict[Key, list[float]]) -> Key:
        key = (move.cls, move.tenant, move.stage, self.name(move.source), self.name(move.target), move.cause.value)
        return key if key in rows or len(rows) < MOST_KEYS else ("other", "", "", "", "", "")

    def book(self) -> dict[Key, list[float]]:
        """End an interval: what its moves have come to since the last one."""
        rows: dict[Key, list[float]] = {}
        still = []
        for move in self.moves:
            size = move.size()
            fresh = not move.booked and size > 0
            if size > move.booked:
                for book in (rows, self.total):
                    row = book.setdefault(self._key(move, book), [0.0, 0.0, 0.0])
                    row[0] += size - move.booked
                    row[1] += move.tokens if fresh else 0.0
                    row[2] += fresh
                move.booked = size
            if not move.over:
                still.append(move)
        # A call that ended in this interval may have bytes on their way: it is looked at once more in the next.
        self.moves = still
        return rows

    def write(self, rows: dict[Key, list[float]], wall: float | None = None) -> None:
        """Append an interval to the report; where that fails, it is logged and counted, and serving goes on."""
        if not self.path or not rows:
            return
        at = round(time.time() if wall is None else wall, 3)
        text = "".join(json.dumps({
            "t": at, "node": self.node, "class": key[0], "tenant": key[1], "stage": key[2], "from": key[3], "to": key[4],
            "cause": key[5], "bytes": int(row[0]), "tokens": round(row[1]), "moves": int(row[2])}) + "\n"
            for key, row in sorted(rows.items()))
        try:
            path = Path(self.path)
            if path.exists() and path.stat().st_size + len(text) > self.most_bytes:
                os.replace(path, path.with_name(path.name + ".1"))
            with path.open("a") as file:
                file.write(text)
        except OSError as error:
            self.lost_rows += len(rows)
            log.warning("zone report not written", path=self.path, reason=str(error), rows_lost=self.lost_rows)
