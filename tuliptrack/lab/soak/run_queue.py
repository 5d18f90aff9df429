"""Measures how long processes wait for a processor, as counted by the kernel.

A node is judged by what it does while it runs. On an overloaded machine a process waits in the run queue, and each
iteration of its event loop is late by that time. The kernel adds these waits up in `schedstat`.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

from tuliptrack.lab.soak.records import Recorder

__all__ = ["RunQueueWaits", "RunQueueWatch"]

NS_PER_S = 1e9
MIN_RECORDED_S = 0.005
_WAIT_FIELD = 1
"""Index of the nanoseconds spent in the run queue, in `/proc/PID/schedstat`."""


class RunQueueWatch:
    """Records how long processes have waited since the last sample."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._seen: dict[int, float] = {}
        """Seconds waited by process id."""

    def sample(self, name: str, pid: int) -> None:
        """Record the wait of a process since its last sample; nothing if the process has ended."""
        try:
            fields = Path(f"/proc/{pid}/schedstat").read_text().split()
        except OSError:
            return
        waited_s = int(fields[_WAIT_FIELD]) / NS_PER_S
        more_s = waited_s - self._seen.get(pid, 0.0)
        if more_s >= MIN_RECORDED_S:
            self._seen[pid] = waited_s
            self._recorder.note("waited to run", target=name, seconds=round(more_s, 4))


class RunQueueWaits:
    """The recorded waits, for the judge."""

    def __init__(self, records: list[dict[str, Any]]) -> None:
        self._waits: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
        """By process name: begin and end of each span between samples, and the seconds waited in it."""
        last: dict[str, float] = {}
        for record in records:
            if record["event"] == "waited to run":
                name, at = record["target"], record["t"]
                self._waits[name].append((last.get(name, at), at, record["seconds"]))
                last[name] = at

    def seconds(self, name: str, since: float, until: float) -> float:
        """Upper bound of the time that a process waited between two moments."""
        spans = (span for span in self._waits[name] if span[0] < until and span[1] > since)
        return sum(min(waited, until - since) for _, _, waited in spans)
