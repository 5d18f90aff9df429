"""Request counts of each host in a window, as differences of reports that count from the agent's start."""

from __future__ import annotations

from collections.abc import Mapping

from tuliptrack.decisions.rollout_evidence import NodeReport, RequestCounts
from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.proto import rollout_pb2 as pb

__all__ = ["ReportCollector"]


class ReportCollector:
    """The last report of each host, and the one at the end of the window before."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        """Begin without reports; `zones` are those of the hosts, by name."""
        self.latest: dict[str, pb.HostReport] = {}
        """By host; those whose last call failed have none."""
        self._zones = zones
        self._at_last_window: dict[str, pb.HostReport] = {}

    def end_window(self) -> list[NodeReport]:
        """Return what each host did since the last window ended, and begin the next."""
        reports = [self._difference(host, report) for host, report in self.latest.items()]
        self._at_last_window = dict(self.latest)
        return reports

    def _difference(self, host: str, report: pb.HostReport) -> NodeReport:
        earlier = self._at_last_window.get(host)
        if earlier is None or earlier.life != report.life:
            # Counts of another incarnation of the agent can't be subtracted: this window shows no requests.
            earlier = report
        running = report.release
        return NodeReport(
            host=host,
            zone=self._zones[host],
            release=NodeRelease(running.program, running.settings) if running.program else None,
            is_ready=report.ready,
            ready_for_us=report.ready_for,
            counts=_count_differences(earlier, report),
            unexpected_exits=report.died - earlier.died,
        )


def _count_differences(earlier: pb.HostReport, later: pb.HostReport) -> dict[str, dict[str, RequestCounts]]:
    """Return by class and measure how many requests ended between two reports, and how many badly."""
    earlier_counts = {(counts.request_class, counts.measure): counts for counts in earlier.counts}
    by_class: dict[str, dict[str, RequestCounts]] = {}
    for counts in later.counts:
        before = earlier_counts.get((counts.request_class, counts.measure), pb.Counts())
        difference = RequestCounts(float(counts.count - before.count), float(counts.bad - before.bad))
        by_class.setdefault(counts.request_class, {})[counts.measure] = difference
    return by_class
