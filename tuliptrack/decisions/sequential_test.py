"""Tests whether some nodes do worse than the others; the result may be checked after every window.

The number of a node's requests that went badly in a window is compared with what its own past and its peers
of the same zone and request class predict. The unit is the node: requests of one node share its engines and
the conditions of the moment, so counting them one by one would find differences everywhere.

It is a test by betting: each window multiplies a wealth by a bet that pays at most its stake on average if
new and old nodes do not differ (for k nodes drawn from n, the mean of exp(sum) is at most the k-th power of
the mean of exp, by Hoeffding). So by Ville's inequality the wealth exceeds 1/a with a probability of at most
a, however often it is checked.

The module does no I/O and reads no clock. Bound: one entry for each node and stratum of the fleet, which
`Baseline.retain` removes.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

__all__ = ["Baseline", "Excess", "NodeWindow", "SequentialTest", "Stratum"]

STAKES = (0.15, 0.4, 1.0)
"""Stakes of parallel bets on the deviations, for many small differences up to a few large ones."""
MAX_DEVIATION = 3.0
"""Bound on a node's deviation in one window, so that one bad moment does not decide the test."""
PRIOR_BAD_REQUESTS = 12.0
"""The usual share of the stratum counts as this many bad requests in a node's expected share, because a node
with few bad requests of its own is little known."""
RETAINED_SHARE = 0.98
"""Fraction of the past that is retained at each window, so that about fifty windows count."""
ERROR_BOUND = 2.6
"""Standard errors added to the excess for its upper bound."""

_Key = TypeVar("_Key")


class Stratum(NamedTuple):
    """Nodes and requests that are compared with each other."""

    zone: str
    request_class: str


@dataclass(frozen=True, slots=True)
class NodeWindow:
    """One node's requests of one stratum in one window."""

    node: str
    stratum: Stratum
    requests: float
    bad: float
    """Requests that went badly."""
    is_new: bool = False


class Excess(NamedTuple):
    """How many more requests went badly than expected, and out of how many."""

    bad: float
    requests: float


@dataclass(frozen=True, slots=True)
class _Counts:
    requests: float = 0.0
    bad: float = 0.0


NO_COUNTS = _Counts()


def _add_window(counts: dict[_Key, _Counts], key: _Key, window: NodeWindow) -> None:
    past = counts.get(key, NO_COUNTS)
    counts[key] = _Counts(
        past.requests * RETAINED_SHARE + window.requests, past.bad * RETAINED_SHARE + window.bad
    )


@dataclass(slots=True)
class Baseline:
    """What is usual for each node and stratum in one measure, from windows in which nothing was changed."""

    _nodes: dict[tuple[str, Stratum], _Counts] = field(default_factory=dict)
    _strata: dict[Stratum, _Counts] = field(default_factory=dict)

    @property
    def nodes(self) -> set[str]:
        """Nodes that windows were learnt from."""
        return {node for node, _ in self._nodes}

    def learn(self, windows: Iterable[NodeWindow]) -> None:
        """Add what the nodes saw in a window."""
        for window in windows:
            _add_window(self._nodes, (window.node, window.stratum), window)
            _add_window(self._strata, window.stratum, window)

    def bad_share(self, node: str, stratum: Stratum) -> float:
        """Return the share of a node's requests that usually goes badly; never 0, as anything may happen."""
        stratum_counts = self._strata.get(stratum, NO_COUNTS)
        usual_share = (stratum_counts.bad + 0.5) / (stratum_counts.requests + 1.0)
        node_counts = self._nodes.get((node, stratum), NO_COUNTS)
        prior_requests = PRIOR_BAD_REQUESTS / usual_share
        return min((node_counts.bad + PRIOR_BAD_REQUESTS) / (node_counts.requests + prior_requests), 1.0)

    def retain(self, nodes: set[str]) -> None:
        """Remove all other nodes, which are no longer in the fleet."""
        self._nodes = {key: counts for key, counts in self._nodes.items() if key[0] in nodes}

    def excess(self, windows: Iterable[NodeWindow]) -> Excess:
        """Return how many more requests went badly than usual, and out of how many."""
        listed = list(windows)
        return Excess(
            sum(w.bad - w.requests * self.bad_share(w.node, w.stratum) for w in listed),
            sum(w.requests for w in listed),
        )


class _StratumWindow:
    """What the nodes of one stratum saw in one window, new and old ones."""

    def __init__(self, stratum: Stratum, windows: list[NodeWindow], baseline: Baseline) -> None:
        self.windows = windows
        self.new = [w for w in windows if w.is_new]
        self.old = [w for w in windows if not w.is_new]
        self._usual_share = {w.node: baseline.bad_share(w.node, stratum) for w in windows}

    def usual_bad(self, windows: list[NodeWindow]) -> float:
        """Return the bad requests that are usual among the requests of these nodes."""
        return sum(w.requests * self._usual_share[w.node] for w in windows)

    def expected_bad(self, window: NodeWindow, drift: float) -> float:
        """Return the bad requests expected of a node, if `drift` multiplies the usual share of all nodes."""
        return min(window.requests * self._usual_share[window.node] * drift, window.requests)

    def deviations(self, drift: float) -> list[tuple[NodeWindow, float]]:
        """Return how far each node is from what is expected, in standard deviations."""
        deviations = []
        for window in self.windows:
            expected = self.expected_bad(window, drift)
            deviations.append((window, (window.bad - expected) / math.sqrt(expected + 1.0)))
        return deviations


@dataclass(slots=True)
class SequentialTest:
    """Evidence that new nodes do worse than old ones in one measure, and how much worse they may still be."""

    compared_requests: float = 0.0
    """Requests of new nodes that were compared."""
    excess_bad: float = 0.0
    """How many more of those went badly than the old nodes at the same time predict."""
    _log_wealth: list[float] = field(default_factory=lambda: [0.0] * len(STAKES))
    _excess_variance: float = 0.0
    """Variance of `excess_bad`, from how nodes differ among themselves."""

    @property
    def evidence(self) -> float:
        """Log of the wealth; log(1 / a) or more is evidence at level a, whenever it is checked."""
        top = max(self._log_wealth)
        wealth = sum(math.exp(x - top) for x in self._log_wealth)
        return top + math.log(wealth / len(self._log_wealth))

    def max_excess_share(self) -> float:
        """Return an upper bound on how much higher the new nodes' share of bad requests is."""
        if not self.compared_requests:
            return 1.0
        error = ERROR_BOUND * math.sqrt(self._excess_variance)
        return (self.excess_bad + error + 1.0) / self.compared_requests

    def add(self, windows: Iterable[NodeWindow], baseline: Baseline) -> None:
        """Add what the nodes saw in a window."""
        strata: dict[Stratum, list[NodeWindow]] = defaultdict(list)
        for window in windows:
            if window.requests > 0:
                strata[window.stratum].append(window)
        for stratum, stratum_windows in strata.items():
            stratum_window = _StratumWindow(stratum, stratum_windows, baseline)
            # A stratum without both old and new nodes shows no difference between them.
            if stratum_window.new and stratum_window.old:
                self._add_stratum(stratum_window)

    def _add_stratum(self, stratum: _StratumWindow) -> None:
        # Drift affects all nodes of the stratum alike, as a burst or a bad engine does: it is no difference.
        drift = (sum(w.bad for w in stratum.windows) + 1.0) / (stratum.usual_bad(stratum.windows) + 1.0)
        deviations = stratum.deviations(drift)
        self._bet(deviations)
        old_requests = sum(w.requests for w in stratum.old)
        old_drift = (sum(w.bad for w in stratum.old) + 0.5) / (stratum.usual_bad(stratum.old) + 0.5)
        new_requests = sum(w.requests for w in stratum.new)
        self.compared_requests += new_requests
        self.excess_bad += sum(w.bad - stratum.expected_bad(w, old_drift) for w in stratum.new)
        # An error of the old nodes' mean affects all the new ones at once.
        node_variance = sum(z * z for _, z in deviations) / len(deviations)
        new_variance = stratum.usual_bad(stratum.new) * drift + 1.0
        self._excess_variance += max(node_variance, 1.0) * new_variance * (1.0 + new_requests / old_requests)

    def _bet(self, deviations: list[tuple[NodeWindow, float]]) -> None:
        clipped = [(w, max(-MAX_DEVIATION, min(MAX_DEVIATION, z))) for w, z in deviations]
        for i, stake in enumerate(STAKES):
            mean = sum(math.exp(stake * z) for _, z in clipped) / len(clipped)
            self._log_wealth[i] += sum(stake * z - math.log(mean) for w, z in clipped if w.is_new)
