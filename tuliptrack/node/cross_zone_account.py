"""What has crossed zones, by the node's own sockets and its engines' word: counted, booked by interval,
written down.

A move is counted while it runs and after it was broken off (`core.Traffic` goes on counting what crosses a
reset of ours), so it is booked at the ends of intervals, up to two seconds past the end of its call. The sums
of one interval are bounded by the number of (class, tenant, stage, pair of zones, cause); `MOST_KEYS` more
than that are booked under `other`. An interval that can't be written down goes with the next one that can.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import structlog

from tuliptrack.interface import CrossZoneCause
from tuliptrack.node import line_file
from tuliptrack.rpc.clock import now_us, wall_us

__all__ = ["CrossZoneAccount", "Transfer"]

log = structlog.get_logger("zones")
MOST_KEYS = 50_000
MOST_MOVES = 200_000  # moves that wait to be booked; where one more comes the oldest is booked, as it stands
STILL_COMES_US = 2_000_000  # microseconds in which what was under way as its call ended has come
Key = tuple[str, str, str, str, str, str]
_OTHER: Key = ("other", "", "", "", "", "")


@dataclass(slots=True)
class Transfer:
    """One thing that has crossed, or may still: a prompt, a read state, or an answer."""

    cls: str
    tenant: str
    stage: str
    """`prompt`, `state` or `answer`."""
    source: int
    target: int
    cause: CrossZoneCause
    size: Callable[[], int]
    """Bytes so far."""
    tokens: float = 0.0
    booked: int = 0
    over: bool = False
    """Its call has ended: what is still under way is counted for `STILL_COMES_US`."""
    let_go_at: int = 0
    """When it is let go, once it is over."""


def _add(book: dict[Key, list[float]], key: Key, row: Sequence[float]) -> None:
    """Add bytes, tokens and moves to a book's row; what it has no room for goes under `other`."""
    if key not in book and len(book) >= MOST_KEYS:
        key = _OTHER
    sums = book.setdefault(key, [0.0, 0.0, 0.0])
    for place, amount in enumerate(row):
        sums[place] += amount


class CrossZoneAccount:
    """One node's account. `take` notes a move, `book` ends an interval."""

    def __init__(self, names: tuple[str, ...], path: str, most_bytes: int, node: int) -> None:
        self.names, self.path, self.most_bytes, self.node = names, path, most_bytes, node
        self.moves: list[Transfer] = []
        self.total: dict[Key, list[float]] = {}
        """Since the start: bytes, tokens and moves by class, tenant, stage, pair and cause."""
        self.unwritten: dict[Key, list[float]] = {}
        """Of intervals that could not be written down."""
        self._booked: dict[Key, list[float]] = {}
        """Of this interval, booked before its end."""

    def name(self, zone: int) -> str:
        return self.names[zone] if zone < len(self.names) else str(zone)

    def take(self, move: Transfer) -> Transfer:
        """Count something that has begun to cross."""
        if len(self.moves) >= MOST_MOVES:
            self._book(self.moves.pop(0), self._booked)
        self.moves.append(move)
        return move

    def _key(self, move: Transfer) -> Key:
        return (
            move.cls,
            move.tenant,
            move.stage,
            self.name(move.source),
            self.name(move.target),
            move.cause.value,
        )

    def book(self) -> dict[Key, list[float]]:
        """End an interval: what its moves have come to since the last one."""
        rows, self._booked = self._booked, {}
        now = now_us()
        for move in self.moves:
            self._book(move, rows)
            if move.over and not move.let_go_at:
                move.let_go_at = now + STILL_COMES_US
        self.moves = [move for move in self.moves if not move.over or now < move.let_go_at]
        return rows

    def _book(self, move: Transfer, rows: dict[Key, list[float]]) -> None:
        """Add what a move has come to since it was last looked at."""
        size = move.size()
        if size <= move.booked:
            return
        first = not move.booked
        for book in (rows, self.total):
            _add(book, self._key(move), (size - move.booked, move.tokens if first else 0.0, first))
        move.booked = size

    def write(self, rows: dict[Key, list[float]], wall: float | None = None) -> None:
        """Append an interval to the report; where that fails, it is logged, kept for the next time, and
        serving goes on.
        """
        if not self.path:
            return
        for key, row in rows.items():
            _add(self.unwritten, key, row)
        if not self.unwritten:
            return
        at = round(wall_us() / 1e6 if wall is None else wall, 3)
        text = "".join(
            json.dumps(
                {
                    "t": at,
                    "node": self.node,
                    "class": key[0],
                    "tenant": key[1],
                    "stage": key[2],
                    "from": key[3],
                    "to": key[4],
                    "cause": key[5],
                    "bytes": int(row[0]),
                    "tokens": round(row[1]),
                    "moves": int(row[2]),
                }
            )
            + "\n"
            for key, row in sorted(self.unwritten.items())
        )
        try:
            path = Path(self.path)
            if path.exists() and path.stat().st_size + len(text) > self.most_bytes:
                os.replace(path, path.with_name(path.name + ".1"))
            line_file.append(path, text)
        except OSError as error:
            log.warning(
                "zone report not written", path=self.path, reason=str(error), rows_waiting=len(self.unwritten)
            )
            return
        self.unwritten = {}
