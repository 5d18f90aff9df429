"""Request counts from a node's log."""

from __future__ import annotations

import json
from pathlib import Path

from tuliptrack.fleet.log_metrics import LogMetrics


def test_requests_are_counted_by_class_and_measure_as_the_log_grows(tmp_path: Path) -> None:
    def line(end: str, first: float | None, name: str = "chat") -> str:
        return json.dumps({"event": "request", "end": end, "request_class": name, "first_ms": first}) + "\n"

    path = tmp_path / "log"
    metrics = LogMetrics(path)
    metrics.read()
    path.write_text(
        line("served", 20.0)
        + line("served", 1500.0)
        + "Traceback\n"
        + line("refused", None)
        + line("failed", None)
        + line("failed", 30.0)
        + line("served", 5.0)[:-20]
    )
    metrics.read()
    assert dict(metrics.counts) == {
        ("chat", ""): 5,
        ("chat", "late"): 1,
        ("chat", "refused"): 1,
        ("chat", "failed"): 1,
        ("chat", "broken"): 1,
    }
    with open(path, "a") as file:
        file.write(line("served", 5.0)[-20:])
        file.writelines(line("served", 5.0, f"c{n}") for n in range(100))
    metrics.read()
    assert metrics.counts["chat", ""] == 6 and metrics.counts["other", ""] == 100 - 63


def test_rejections_of_both_log_formats_count_alike(tmp_path: Path) -> None:
    """Releases differ in the word that nodes log for a rejection: "refused" or "rejected".

    An agent that knew only one of the words would report no rejections for the other release, and the
    controllers would compare the releases by wrong counts.
    """
    path = tmp_path / "log"
    rows = [
        {"event": "request", "end": end, "request_class": "chat", "first_ms": None}
        for end in ("refused", "rejected")
    ]
    path.write_text("".join(json.dumps(row) + "\n" for row in rows))
    metrics = LogMetrics(path)
    metrics.read()
    assert dict(metrics.counts) == {("chat", ""): 2, ("chat", "refused"): 2}
