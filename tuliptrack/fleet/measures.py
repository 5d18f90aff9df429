"""What a node's own log tells of its requests, counted by class and measure."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

__all__ = ["LogCounts"]

_READ_AT_ONCE = 1 << 20
_MOST_CLASSES = 64


class LogCounts:
    """Reads on in a log as it grows. A request that took longer to its first token than `late_ms` counts as
    late.
    """

    def __init__(self, path: Path, late_ms: float = 1000.0, from_end: bool = False) -> None:
        self.path, self.late_ms = path, late_ms
        self.counts: Counter[tuple[str, str]] = Counter()
        """Requests that went badly, by class and measure; all of them under the measure ''."""
        self._at = path.stat().st_size if from_end and path.exists() else 0
        self._rest = b""

    def read(self) -> None:
        """Take in what has come since the last time. A line that is no JSON (a traceback) is left out."""
        try:
            with open(self.path, "rb") as file:
                file.seek(self._at)
                while data := file.read(_READ_AT_ONCE):
                    self._at += len(data)
                    *lines, self._rest = (self._rest + data).split(b"\n")
                    for line in lines:
                        self._take(line)
                    self._rest = self._rest[-_READ_AT_ONCE:]
        except FileNotFoundError:
            pass

    def _take(self, line: bytes) -> None:
        try:
            row = json.loads(line)
            if row["event"] != "request":
                return
            name, end, first = str(row["request_class"]), str(row["end"]), row["first_ms"]
        except (ValueError, KeyError, TypeError):
            return
        if (name, "") not in self.counts and sum(m == "" for _, m in self.counts) >= _MOST_CLASSES:
            name = "other"
        self.counts[name, ""] += 1
        failed = "broken" if first is not None else "failed"
        # Nodes of the version before log `refused`, and a rollout compares the two versions.
        measure = {"rejected": "refused", "refused": "refused", "failed": failed}.get(end)
        if measure:
            self.counts[name, measure] += 1
        if first is not None and first > self.late_ms:
            self.counts[name, "late"] += 1
