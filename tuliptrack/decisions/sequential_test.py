"""Whether some nodes do worse than the others, asked as often as one likes.

What is compared is how many of a node's requests went badly in a window, against what its own past and its
peers in the same zone and class let expect. The node is the unit: requests of one node share its engines and
its moment, so counting them one by one would find differences everywhere. Each window multiplies a wager that
pays at most its stake in the mean where new and old nodes are alike (for k nodes drawn of n, the mean of
exp(sum) is at most the k-th power of the mean of exp, by Hoeffding); so by Ville's inequality the product
passes 1/a with a chance of at most a, however often one looks.

No I/O, no clock. Bound: one entry for each node and stratum of the fleet, which `Baseline.forget` takes out.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeVar

__all__ = ["Baseline", "Row", "Wager"]

Stratum = tuple[str, str]  # zone, request class
K = TypeVar("K")

STAKES = (
    0.15,
    0.4,
    1.0,
)  # of a deviation, from many small differences to a few great ones; played side by side
CLIP = 3.0  # deviations past which a node's window counts no more: one bad moment is no verdict
SHRINK = (
    12.0  # of those gone badly, by which a node's past is pulled to its stratum's: nodes differ by some third
)
FADE = 0.98  # of the past kept at each window: some fifty windows tell what is usual


@dataclass(frozen=True, slots=True)
class Row:
    """One node's requests of one stratum in one window: how many, and how many of them went badly."""

    node: str
    stratum: Stratum
    count: float
    bad: float
    new: bool = False


def _fade(book: dict[K, tuple[float, float]], key: K, row: Row) -> None:
    count, bad = book.get(key, (0.0, 0.0))
    book[key] = (count * FADE + row.count, bad * FADE + row.bad)


@dataclass(slots=True)
class Baseline:
    """What is usual of each node and stratum for one measure, from windows in which nothing was tried."""

    nodes: dict[tuple[str, Stratum], tuple[float, float]] = field(default_factory=dict)
    strata: dict[Stratum, tuple[float, float]] = field(default_factory=dict)

    def learn(self, rows: Iterable[Row]) -> None:
        """Take a window in."""
        for row in rows:
            _fade(self.nodes, (row.node, row.stratum), row)
            _fade(self.strata, row.stratum, row)

    def rate(self, node: str, stratum: Stratum) -> float:
        """The share of this node's requests that usually goes badly; never 0, as what was never seen may
        come.
        """
        count, bad = self.strata.get(stratum, (0.0, 0.0))
        usual = (bad + 0.5) / (count + 1.0)
        count, bad = self.nodes.get((node, stratum), (0.0, 0.0))
        return min((bad + SHRINK) / (count + SHRINK / usual), 1.0)

    def forget(self, known: set[str]) -> None:
        """Let go of nodes that are no longer in the fleet."""
        self.nodes = {key: value for key, value in self.nodes.items() if key[0] in known}

    def excess(self, rows: Iterable[Row]) -> tuple[float, float]:
        """What went badly beyond the usual, and the requests it was among."""
        seen = list(rows)
        return sum(r.bad - r.count * self.rate(r.node, r.stratum) for r in seen), sum(r.count for r in seen)


@dataclass(slots=True)
class Wager:
    """The evidence that new nodes do worse than old ones in one measure, and how much worse they may still
    be.
    """

    logs: list[float] = field(default_factory=lambda: [0.0] * len(STAKES))
    count: float = 0.0
    """Requests of new nodes that were compared."""
    excess: float = 0.0
    """Of those, how many more went badly than old nodes' at the same time let expect."""
    spread: float = 0.0
    """Square of the error of that, from how nodes differ among themselves."""

    @property
    def evidence(self) -> float:
        """Log of the wealth; log(1 / a) or more is evidence at level a, whenever one looks."""
        top = max(self.logs)
        return top + math.log(sum(math.exp(x - top) for x in self.logs) / len(self.logs))

    def worst(self, sure: float = 2.6) -> float:
        """The greatest share more of requests gone badly that the windows leave open, `sure` errors away."""
        if not self.count:
            return 1.0
        return (self.excess + sure * math.sqrt(self.spread) + 1.0) / self.count

    def add(self, rows: Iterable[Row], usual: Baseline) -> None:
        """Take a window in. A stratum with no old or no new node says nothing of the difference."""
        strata: dict[Stratum, list[Row]] = defaultdict(list)
        for row in rows:
            if row.count > 0:
                strata[row.stratum].append(row)
        for stratum, seen in strata.items():
            new, old = [r for r in seen if r.new], [r for r in seen if not r.new]
            if not new or not old:
                continue
            rates = {r.node: usual.rate(r.node, stratum) for r in seen}
            # What moved all nodes of the stratum alike (a burst, a bad engine) is nobody's fault.
            foreseen = sum(r.count * rates[r.node] for r in seen)
            drift = (sum(r.bad for r in seen) + 1.0) / (foreseen + 1.0)
            deviations = []
            for row in seen:
                expected = min(row.count * rates[row.node] * drift, row.count)
                deviations.append((row, (row.bad - expected) / math.sqrt(expected + 1.0)))
            clipped = [(row, max(-CLIP, min(CLIP, z))) for row, z in deviations]
            for i, stake in enumerate(STAKES):
                mean = sum(math.exp(stake * z) for _, z in clipped) / len(clipped)
                self.logs[i] += sum(stake * z - math.log(mean) for row, z in clipped if row.new)
            old_count = sum(r.count for r in old)
            old_drift = (sum(r.bad for r in old) + 0.5) / (sum(r.count * rates[r.node] for r in old) + 0.5)
            among = sum(r.count for r in new)
            self.count += among
            self.excess += sum(r.bad - min(r.count * rates[r.node] * old_drift, r.count) for r in new)
            # An error of the old nodes' mean counts for all the new ones at once.
            each = sum(z * z for _, z in deviations) / len(deviations)
            base = sum(r.count * rates[r.node] for r in new) * drift + 1.0
            self.spread += max(each, 1.0) * base * (1.0 + among / old_count)
