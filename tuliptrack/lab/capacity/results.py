"""The result file of a measurement: the series, and the command, commit and Python version that produced them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tuliptrack.lab.capacity.fit import Fit, Point, fit

__all__ = ["FORMAT", "ResultError", "Results", "Series"]

FORMAT = 1


class ResultError(Exception):
    """A result file can't be used; the message names the file and the field."""


@dataclass(frozen=True, slots=True)
class Series:
    """A quantity measured at several sizes. `by` names what the sizes count."""

    name: str
    unit: str
    by: str
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit:
        """The curve fitted to the points."""
        return fit(self.points)

    def at(self, size: float) -> float:
        """Return the value at a size: the measured one if there is one, else that of the fit."""
        known = dict(self.points)
        return known[size] if size in known else self.fit.at(size)


@dataclass(slots=True)
class Results:
    """All series of one run. Times are in yardsticks: multiples of the time to parse a fixed JSON text (see
    `yardstick.py`).
    """

    series: dict[str, Series] = field(default_factory=dict)
    yardstick_us: float = 0.0
    """Microseconds of one yardstick on the machine that was measured."""
    command: str = ""
    commit: str = ""
    python: str = ""

    def add(self, series: Series) -> None:
        """Add a series."""
        self.series[series.name] = series

    def at(self, name: str, size: float) -> float:
        """Return a series' value at a size; raise ResultError if there is no such series."""
        if name not in self.series:
            raise ResultError(f"series: {name!r} is missing: the file is stale")
        return self.series[name].at(size)

    def write(self, path: Path) -> None:
        """Write the results to a file, one series a line."""
        head = {
            "format": FORMAT,
            "command": self.command,
            "commit": self.commit,
            "python": self.python,
            "yardstick_us": round(self.yardstick_us, 2),
        }
        rows = [
            json.dumps({"name": s.name, "unit": s.unit, "by": s.by, "points": s.points})
            for s in self.series.values()
        ]
        path.write_text(json.dumps(head)[:-1] + ', "series": [\n' + ",\n".join(rows) + "\n]}\n")

    @staticmethod
    def read(path: Path, wanted: Iterable[str] = ()) -> Results:
        """Read a result file; raise ResultError if it is missing, invalid, of another format version, or lacks
        one of the wanted series.
        """
        try:
            document = json.loads(path.read_text())
        except OSError as error:
            raise ResultError(f"{path}: {error.strerror or error}") from None
        except ValueError as error:
            raise ResultError(f"{path}: not a result file: {error}") from None
        if not isinstance(document, dict) or document.get("format") != FORMAT:
            raise ResultError(f"{path}: format: must be {FORMAT}, is {str(_get(document, 'format'))[:40]}")
        try:
            results = Results(
                {
                    s["name"]: Series(s["name"], s["unit"], s["by"], tuple((x, y) for x, y in s["points"]))
                    for s in document["series"]
                },
                document["yardstick_us"],
                document["command"],
                document["commit"],
                document["python"],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ResultError(f"{path}: series: can't be read: {error!r}") from None
        if missing := sorted(set(wanted) - set(results.series)):
            raise ResultError(f"{path}: series: {missing[0]!r} is missing: the file is stale")
        return results


def _get(document: Any, name: str) -> Any:
    return document.get(name) if isinstance(document, dict) else None
