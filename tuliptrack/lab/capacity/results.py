"""The result file of a measurement: what was measured, at which sizes, by which program."""

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
    """A result file that can't be used; the text names the file and the field."""


@dataclass(frozen=True, slots=True)
class Series:
    """One quantity at several sizes. `by` names what the sizes count."""

    name: str
    unit: str
    by: str
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit:
        """A line or a power through the points."""
        return fit(self.points)

    def at(self, size: float) -> float:
        """Its value at a size: measured where it was, else by the fit."""
        known = dict(self.points)
        return known[size] if size in known else self.fit.at(size)


@dataclass(slots=True)
class Results:
    """Every series of one run. Times are yardsticks: how often a fixed JSON text could have been parsed
    meanwhile.
    """

    series: dict[str, Series] = field(default_factory=dict)
    yardstick_us: float = 0.0
    """Microseconds that the yardstick took on this machine."""
    command: str = ""
    commit: str = ""
    python: str = ""

    def add(self, one: Series) -> None:
        """Keep one more series."""
        self.series[one.name] = one

    def at(self, name: str, size: float) -> float:
        """A series' value at a size; ResultError where the file has no such series."""
        if name not in self.series:
            raise ResultError(f"series: {name!r} is missing: the file is stale")
        return self.series[name].at(size)

    def write(self, path: Path) -> None:
        """Put it in a file, one series a line."""
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
        """ResultError where the file is missing, no result, of another version, or lacks one of the wanted
        series.
        """
        try:
            told = json.loads(path.read_text())
        except OSError as error:
            raise ResultError(f"{path}: {error.strerror or error}") from None
        except ValueError as error:
            raise ResultError(f"{path}: is no result file: {error}") from None
        if not isinstance(told, dict) or told.get("format") != FORMAT:
            raise ResultError(f"{path}: format: must be {FORMAT}, is {str(_of(told, 'format'))[:40]}")
        try:
            made = Results(
                {
                    s["name"]: Series(s["name"], s["unit"], s["by"], tuple((x, y) for x, y in s["points"]))
                    for s in told["series"]
                },
                told["yardstick_us"],
                told["command"],
                told["commit"],
                told["python"],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ResultError(f"{path}: series: can't be read: {error!r}") from None
        if missing := sorted(set(wanted) - set(made.series)):
            raise ResultError(f"{path}: series: {missing[0]!r} is missing: the file is stale")
        return made


def _of(told: Any, name: str) -> Any:
    return told.get(name) if isinstance(told, dict) else None
