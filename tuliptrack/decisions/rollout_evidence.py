"""Collects evidence that a new release does worse than the old one, or that it does no worse.

New nodes are compared with the old nodes of the same zone and class, and with a baseline from windows in
which no release was changed. Each of several measures has a sequential test. The module does no I/O and reads
no clock. Memory bound: one entry for each node, zone, class and measure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.decisions.sequential_test import Baseline, Excess, NodeWindow, SequentialTest, Stratum

__all__ = ["MEASURES", "NodeReport", "RequestCounts", "RolloutEvidence"]

MEASURES = ("refused", "failed", "broken", "late", "gaps", "cpu", "memory", "died")
"""Names of the measures, in each of which a node's bad requests or windows are counted.

The last three count windows of a node, the others requests of a class.
"""
EXIT_MEASURE = "died"
PROMOTION_MEASURES = ("refused", "failed", "broken", "late")
"""Measures that must be shown to be within the margin; in the others, harm must not be shown."""
HARM_MEASURES = ("refused", "failed", "broken")
"""Measures in which more bad requests than usual at old nodes show harm that affects all nodes alike."""
FALSE_ROLLBACKS = 0.002
"""Significance level of all measures together.

It is low because nodes may differ lastingly in ways that the baseline does not know.
"""
MAX_PROMOTION_EVIDENCE = 1.0
"""Evidence (log wealth) above which a stage is not promoted, as it may still grow to show harm."""
MAX_COMMON_EXCESS = 0.15
"""Share of the old nodes' requests that may go badly beyond the usual (of all nodes' once none is old)."""
COMMON_HARM_WINDOWS = 3
"""Consecutive windows above `MAX_COMMON_EXCESS` that show common harm; a single burst is shorter."""


class RequestCounts(NamedTuple):
    """Requests of one class counted in one measure, and how many of them went badly."""

    requests: float
    bad: float


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What the agent of one host observed of the host's node in one window."""

    host: str
    zone: str
    release: NodeRelease | None
    """The release that the node runs; None if no node runs."""
    is_ready: bool = True
    ready_for_us: int = 0
    counts: Mapping[str, Mapping[str, RequestCounts]] = field(default_factory=dict)
    """Counts of requests by request class and measure."""
    unexpected_exits: int = 0
    broken_rule: str = ""
    """A protocol rule that the node broke, as far as its own records show; empty if none."""


class RolloutEvidence:
    """The baseline, and the evidence collected in the current rollout."""

    def __init__(self) -> None:
        """Create an empty baseline and no evidence."""
        self.baselines = {measure: Baseline() for measure in MEASURES}
        self.learnt_windows = 0
        """Number of windows from which the baseline was learnt."""
        self._tests: dict[str, SequentialTest] = {}
        self._compared_before_stage = 0.0
        self._common_harm_windows = 0

    def learn(self, reports: Iterable[NodeReport]) -> None:
        """Add to the baseline a window in which no release is being changed."""
        self.learnt_windows += 1
        reports = list(reports)
        for measure in MEASURES:
            self.baselines[measure].learn(_node_windows(reports, measure, frozenset()))

    def start_stage(self) -> None:
        """Start to count the compared requests of a new stage or phase."""
        self._common_harm_windows = 0
        self._compared_before_stage = self._compared_requests()

    def reset(self) -> None:
        """Forget the evidence of a rollout or phase that has ended."""
        self._tests, self._compared_before_stage = {}, 0.0

    def add_window(self, reports: list[NodeReport], new_hosts: frozenset[str]) -> Excess:
        """Compare the nodes of a window; return the old nodes' excess of bad requests over the usual.

        If there are no old nodes, that of all nodes is returned.
        """
        excess_bad, requests = 0.0, 0.0
        for measure in MEASURES:
            windows = _node_windows(reports, measure, new_hosts)
            baseline = self.baselines[measure]
            self._tests.setdefault(measure, SequentialTest()).add(windows, baseline)
            if measure in HARM_MEASURES:
                excess = baseline.excess([w for w in windows if not w.is_new] or windows)
                excess_bad, requests = excess_bad + excess.bad, max(requests, excess.requests)
        return Excess(excess_bad, requests)

    def worse_measure(self) -> str:
        """Return a text on the measure in which new nodes are shown to do worse; empty if in none."""
        worst = max(self._tests, key=lambda measure: self._tests[measure].evidence)
        test = self._tests[worst]
        if test.evidence < log(len(MEASURES) / FALSE_ROLLBACKS):
            return ""
        return (
            f"{worst!r}: {test.excess_bad:.0f} of {test.compared_requests:.0f} more than expected, "
            f"evidence {test.evidence:.1f}"
        )

    def is_common_harm(self, excess: Excess) -> bool:
        """Whether too many consecutive windows had a high excess; `excess` is that of the newest window."""
        is_harmful = excess.requests and excess.bad / excess.requests > MAX_COMMON_EXCESS
        self._common_harm_windows = self._common_harm_windows + 1 if is_harmful else 0
        return self._common_harm_windows >= COMMON_HARM_WINDOWS

    def is_shown_no_worse(self, min_requests: int, margin: float) -> bool:
        """Whether new nodes are shown to be no worse.

        Enough of their requests must have been compared in this stage, the excess must be within the margin
        in each of `PROMOTION_MEASURES`, and no measure may show a tendency to do worse.
        """
        shown = [test for measure, test in self._tests.items() if measure in PROMOTION_MEASURES]
        return (
            self._compared_requests() - self._compared_before_stage >= min_requests
            and all(test.max_excess_share() <= margin for test in shown)
            and all(test.evidence <= MAX_PROMOTION_EVIDENCE for test in self._tests.values())
        )

    def _compared_requests(self) -> float:
        """Return the number of new nodes' requests that were compared in the measure with the fewest."""
        compared = (
            test.compared_requests for measure, test in self._tests.items() if measure in PROMOTION_MEASURES
        )
        return min(compared, default=0.0)


def _node_windows(reports: Iterable[NodeReport], measure: str, new_hosts: frozenset[str]) -> list[NodeWindow]:
    windows = []
    for report in reports:
        host, is_new = report.host, report.host in new_hosts
        if measure == EXIT_MEASURE:
            exited = float(min(report.unexpected_exits, 1))
            windows.append(NodeWindow(host, Stratum(report.zone, ""), 1.0, exited, is_new))
        for request_class, counts in report.counts.items():
            if measure in counts:
                stratum = Stratum(report.zone, request_class)
                windows.append(NodeWindow(host, stratum, *counts[measure], is_new))
    return windows
