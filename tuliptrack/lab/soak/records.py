"""The event records of a soak's processes: one line of JSON for each event, with its time on the monotonic clock,
which all processes share.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

__all__ = ["Recorder", "read_records"]


class Recorder:
    """Writes the event records of one process."""

    def __init__(self, folder: Path, name: str) -> None:
        self._file = (folder / f"{name}.jsonl").open("a", buffering=1)
        self._name = name

    def note(self, event: str, **facts: Any) -> None:
        """Append an event."""
        self._file.write(
            json.dumps({"t": time.monotonic(), "who": self._name, "event": event, **facts}) + "\n"
        )

    def close(self) -> None:
        self._file.close()


def read_records(folder: Path, name: str = "*") -> list[dict[str, Any]]:
    """Return the records of all processes, or of the one named, ordered by time. A last line that was cut off by a
    kill is left out.
    """
    return sorted(_lines(folder, name), key=lambda record: float(record["t"]))


def _lines(folder: Path, name: str) -> Iterator[dict[str, Any]]:
    for file in sorted(folder.glob(f"{name}.jsonl")):
        for line in file.read_text().splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue
