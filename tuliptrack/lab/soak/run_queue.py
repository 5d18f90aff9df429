"""How long a process was kept from running, by the kernel's own account.

A node is judged by what it does while it runs. Where the machine has more to run than processors, a process waits
in the run queue, and each turn of its loop is late by that time; the kernel adds it up in `schedstat`.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

from tuliptrack.lab.soak.records import Recorder

__all__ = ["RunQueueWaits", "RunQueueWatch"]

NS_PER_S = 1e9
MIN_NOTED_S = 0.005
_WAIT_FIELD = 1
"""Of `/proc/PID/schedstat`: nanoseconds in the run queue."""


class RunQueueWatch:
    """Notes what processes have waited since it looked at them last."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._seen: dict[int, float] = {}
        """Seconds waited by process id."""

    def look(self, name: str, pid: int) -> None:
        """Note what a process has waited; one that has ended has not."""
        try:
            fields = Path(f"/proc/{pid}/schedstat").read_text().split()
        except OSError:
            return
        waited_s = int(fields[_WAIT_FIELD]) / NS_PER_S
        more_s = waited_s - self._seen.get(pid, 0.0)
        if more_s >= MIN_NOTED_S:
            self._seen[pid] = waited_s
            self._recorder.note("waited to run", target=name, seconds=round(more_s, 4))


class RunQueueWaits:
    """What was noted, for a judge."""

    def __init__(self, records: list[dict[str, Any]]) -> None:
        self._waits: dict[str, list[tuple[float, float, float]]] = defaultdict(list)
        """Begin and end of each span, and the seconds waited in it."""
        last: dict[str, float] = {}
        for one in records:
            if one["event"] == "waited to run":
                name, at = one["target"], one["t"]
                self._waits[name].append((last.get(name, at), at, one["seconds"]))
                last[name] = at

    def seconds(self, name: str, since: float, until: float) -> float:
        """At most so long a process waited between two moments."""
        spans = (span for span in self._waits[name] if span[0] < until and span[1] > since)
        return sum(min(waited, until - since) for _, _, waited in spans)
