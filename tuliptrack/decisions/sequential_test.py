"""Tests whether some nodes do worse than the others; the result may be checked after every window.

The number of a node's requests that went badly in a window is compared with the number predicted from the
node's own past and from its peers of the same zone and request class. The unit of comparison is the node:
requests of one node share its engines and the conditions of the moment, so a test that took each request as
independent would find differences everywhere.

The test bets against the hypothesis that new and old nodes do not differ. Each window multiplies a wealth by
the outcome of a bet, whose mean is at most 1 if the hypothesis holds (for k nodes drawn from n, the mean of
exp(sum) is at most the k-th power of the mean of exp, by Hoeffding). In that case, by Ville's inequality, the
wealth ever exceeds 1/a with a probability of at most a, however often it is checked.

The module does no I/O and reads no clock. Memory bound: one entry for each node and stratum of the fleet;
`Baseline.retain` removes those of nodes that have left the fleet.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

__all__ = ["Baseline", "Excess", "NodeWindow", "SequentialTest", "Stratum"]

STAKES = (0.15, 0.4, 1.0)
"""Stakes of parallel bets on the deviations, to detect many small differences as well as a few large ones."""
MAX_DEVIATION = 3.0
"""Bound on a node's deviation in one window, in standard deviations.

It keeps one bad moment from deciding the test.
"""
PRIOR_BAD_REQUESTS = 12.0
"""Number of bad requests by which the stratum's usual share counts in a node's usual share.

It matters for a node that has had few bad requests, whose own share is little known.
"""
RETAINED_SHARE = 0.98
"""Factor applied to the past counts at each window, so that about the last fifty windows count."""
ERROR_BOUND = 2.6
"""Number of standard errors added to the excess to get its upper bound."""

_Key = TypeVar("_Key")


class Stratum(NamedTuple):
    """A zone and a request class, within which nodes are compared with each other."""

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
    """Number of bad requests beyond the expected one, and the number of all requests counted."""

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
    """The usual share of bad requests of each node and stratum in one measure.

    It is learnt from windows in which no release was being changed.
    """

    _nodes: dict[tuple[str, Stratum], _Counts] = field(default_factory=dict)
    _strata: dict[Stratum, _Counts] = field(default_factory=dict)

    @property
    def nodes(self) -> set[str]:
        """Nodes from whose windows the baseline was learnt."""
        return {node for node, _ in self._nodes}

    def learn(self, windows: Iterable[NodeWindow]) -> None:
        """Add the nodes' counts of one window to the baseline."""
        for window in windows:
            _add_window(self._nodes, (window.node, window.stratum), window)
            _add_window(self._strata, window.stratum, window)

    def bad_share(self, node: str, stratum: Stratum) -> float:
        """Return the share of a node's requests that usually goes badly; it is never 0."""
        stratum_counts = self._strata.get(stratum, NO_COUNTS)
        usual_share = (stratum_counts.bad + 0.5) / (stratum_counts.requests + 1.0)
        node_counts = self._nodes.get((node, stratum), NO_COUNTS)
        prior_requests = PRIOR_BAD_REQUESTS / usual_share
        return min((node_counts.bad + PRIOR_BAD_REQUESTS) / (node_counts.requests + prior_requests), 1.0)

    def retain(self, nodes: set[str]) -> None:
        """Remove all nodes except `nodes`: they are no longer in the fleet."""
        self._nodes = {key: counts for key, counts in self._nodes.items() if key[0] in nodes}

    def excess(self, windows: Iterable[NodeWindow]) -> Excess:
        """Return the number of bad requests beyond the usual one, and the number of all requests."""
        listed = list(windows)
        return Excess(
            sum(w.bad - w.requests * self.bad_share(w.node, w.stratum) for w in listed),
            sum(w.requests for w in listed),
        )


class _StratumWindow:
    """The counts of one stratum's new and old nodes in one window."""

    def __init__(self, stratum: Stratum, windows: list[NodeWindow], baseline: Baseline) -> None:
        self.windows = windows
        self.new = [w for w in windows if w.is_new]
        self.old = [w for w in windows if not w.is_new]
        self._usual_share = {w.node: baseline.bad_share(w.node, stratum) for w in windows}

    def usual_bad(self, windows: list[NodeWindow]) -> float:
        """Return the number of bad requests that is usual for the requests of these windows."""
        return sum(w.requests * self._usual_share[w.node] for w in windows)

    def expected_bad(self, window: NodeWindow, drift: float) -> float:
        """Return the bad requests expected of a node; `drift` multiplies the usual share of all nodes."""
        return min(window.requests * self._usual_share[window.node] * drift, window.requests)

    def deviations(self, drift: float) -> list[tuple[NodeWindow, float]]:
        """Return how far each node's bad requests are from the expected number, in standard deviations."""
        deviations = []
        for window in self.windows:
            expected = self.expected_bad(window, drift)
            deviations.append((window, (window.bad - expected) / math.sqrt(expected + 1.0)))
        return deviations


@dataclass(slots=True)
class SequentialTest:
    """Evidence that new nodes do worse than old ones in one measure, and how much worse they may still be."""

    compared_requests: float = 0.0
    """Number of new nodes' requests that were compared with old nodes'."""
    excess_bad: float = 0.0
    """Number of bad ones among those requests beyond what the old nodes of the same windows predict."""
    _log_wealth: list[float] = field(default_factory=lambda: [0.0] * len(STAKES))
    _excess_variance: float = 0.0
    """Variance of `excess_bad`, estimated from the differences among all nodes of a stratum."""

    @property
    def evidence(self) -> float:
        """Log of the bets' mean wealth; log(1 / a) or more shows harm at significance level a at any time."""
        top = max(self._log_wealth)
        wealth = sum(math.exp(x - top) for x in self._log_wealth)
        return top + math.log(wealth / len(self._log_wealth))

    def max_excess_share(self) -> float:
        """Return an upper bound on how much higher new nodes' share of bad requests is than old nodes'."""
        if not self.compared_requests:
            return 1.0
        error = ERROR_BOUND * math.sqrt(self._excess_variance)
        return (self.excess_bad + error + 1.0) / self.compared_requests

    def add(self, windows: Iterable[NodeWindow], baseline: Baseline) -> None:
        """Add the nodes' counts of one window to the evidence."""
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
        # Drift, as from a burst or a bad engine, affects all nodes of the stratum alike, so it is no
        # difference between new and old nodes.
        drift = (sum(w.bad for w in stratum.windows) + 1.0) / (stratum.usual_bad(stratum.windows) + 1.0)
        deviations = stratum.deviations(drift)
        self._bet(deviations)
        old_requests = sum(w.requests for w in stratum.old)
        old_drift = (sum(w.bad for w in stratum.old) + 0.5) / (stratum.usual_bad(stratum.old) + 0.5)
        new_requests = sum(w.requests for w in stratum.new)
        self.compared_requests += new_requests
        self.excess_bad += sum(w.bad - stratum.expected_bad(w, old_drift) for w in stratum.new)
        # An error in the old nodes' mean changes what is expected of all new nodes in one direction.
        node_variance = sum(z * z for _, z in deviations) / len(deviations)
        new_variance = stratum.usual_bad(stratum.new) * drift + 1.0
        self._excess_variance += max(node_variance, 1.0) * new_variance * (1.0 + new_requests / old_requests)

    def _bet(self, deviations: list[tuple[NodeWindow, float]]) -> None:
        clipped = [(w, max(-MAX_DEVIATION, min(MAX_DEVIATION, z))) for w, z in deviations]
        for i, stake in enumerate(STAKES):
            mean = sum(math.exp(stake * z) for _, z in clipped) / len(clipped)
            self._log_wealth[i] += sum(stake * z - math.log(mean) for w, z in clipped if w.is_new)
