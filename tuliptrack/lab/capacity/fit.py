"""Fits a line or a power law to measured points, or reports that neither fits (a bent curve)."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

__all__ = ["BEND", "Fit", "Form", "Point", "fit"]

BEND = 0.25  # largest relative residual of a curve that still counts as a line or a power law

Point = tuple[float, float]
"""A size and the value measured at it."""


class Form(Enum):
    """Form of a curve; `BENT` if neither a line nor a power law fits."""

    LINE = "line"
    POWER = "power"
    BENT = "bent"


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve: `a + b * size` for a line, `a * size ** b` for a power law. `residual` is the largest
    relative residual.
    """

    form: Form
    a: float
    b: float
    residual: float
    sizes: tuple[float, float]
    """The smallest and the largest measured size."""

    def at(self, size: float) -> float:
        """Return the value at a size; raise ValueError if the curve is bent."""
        if self.form is Form.BENT:
            raise ValueError("the curve bends: neither a line nor a power law fits")
        return self.a + self.b * size if self.form is Form.LINE else self.a * size**self.b

    def extrapolated(self, size: float) -> bool:
        """Return whether a size lies outside the range of measured sizes."""
        return not self.sizes[0] <= size <= self.sizes[1]

    @property
    def text(self) -> str:
        """The curve as text for a table."""
        if self.form is Form.LINE:
            return f"{self.a:.4g} + {self.b:.4g} n"
        return f"{self.a:.4g} n^{self.b:.2f}" if self.form is Form.POWER else "bends"


def fit(points: Sequence[Point]) -> Fit:
    """Fit a line (least relative squares) and a power law (least squares of logarithms); return the better."""
    if len(points) < 4:
        raise ValueError(f"points: at least four sizes, got {len(points)}")
    sizes = (min(x for x, _ in points), max(x for x, _ in points))
    line, power = _line(points), _power(points)
    best = min((line, power), key=lambda f: f[2])
    form = Form.LINE if best is line else Form.POWER
    return Fit(form if best[2] <= BEND else Form.BENT, *best, sizes)


def _line(points: Sequence[Point]) -> tuple[float, float, float]:
    """Fit a line, weighted by 1 / y**2 so that small sizes count as much as large ones."""
    weights = [1 / max(abs(y), 1e-12) ** 2 for _, y in points]
    total = sum(weights)
    mean_x = sum(w * x for w, (x, _) in zip(weights, points, strict=True)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    spread = sum(w * (x - mean_x) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in zip(weights, points, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    return intercept, slope, _residual(points, [intercept + slope * x for x, _ in points])


def _power(points: Sequence[Point]) -> tuple[float, float, float]:
    if any(x <= 0 or y <= 0 for x, y in points):
        return 0.0, 0.0, math.inf
    logs = [(math.log(x), math.log(y)) for x, y in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in logs) / sum((x - mean_x) ** 2 for x, _ in logs)
    factor = math.exp(mean_y - slope * mean_x)
    return factor, slope, _residual(points, [factor * x**slope for x, _ in points])


def _residual(points: Sequence[Point], fitted: Sequence[float]) -> float:
    return max(abs(f - y) / max(abs(y), 1e-12) for (_, y), f in zip(points, fitted, strict=True))
