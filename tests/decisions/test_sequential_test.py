"""The sequential test of new nodes against old ones."""

from __future__ import annotations

from dataclasses import replace

from tuliptrack.decisions.sequential_test import Baseline, NodeWindow, SequentialTest, Stratum


def test_evidence_comes_from_differences_between_nodes_and_not_from_numbers_of_requests() -> None:
    """A burst at all nodes of a stratum is no evidence of a difference, however many requests go badly.

    A stratum without old nodes gives no evidence either, as there is nothing to compare with.
    """
    baseline, test = Baseline(), SequentialTest()
    windows = [NodeWindow(f"n{i}", Stratum("z", "c"), 100, 2) for i in range(6)]
    for _ in range(60):
        baseline.learn(windows)
    for _ in range(50):
        test.add([replace(w, bad=60, is_new=w.node in ("n0", "n1")) for w in windows], baseline)
    assert test.evidence <= 0 and test.compared_requests == 50 * 200
    for _ in range(50):
        test.add([replace(w, bad=90, is_new=True) for w in windows], baseline)
    assert test.compared_requests == 50 * 200
    for _ in range(50):
        test.add(
            [replace(w, bad=30 if w.node == "n0" else 2, is_new=w.node in ("n0", "n1")) for w in windows],
            baseline,
        )
    assert test.evidence > 7
    baseline.retain({"n1"})
    assert baseline.nodes == {"n1"}
