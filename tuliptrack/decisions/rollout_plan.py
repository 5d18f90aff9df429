"""The plan of a rollout: which hosts change from one release to another, in which stages, with which limits.

Fields are named as in a plan's JSON file and in the stored record. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["NodeRelease", "PlanError", "RolloutPlan", "RolloutStage"]

SHOWN_DIGEST_CHARS = 12


class PlanError(ValueError):
    """A plan or command cannot be carried out and has changed nothing; the text names the field at fault."""


@dataclass(frozen=True, slots=True)
class NodeRelease:
    """The release that a node runs, as the digests of its program and of its settings."""

    program: str
    settings: str

    @property
    def name(self) -> str:
        """Short name for operators."""
        return f"{self.program[:SHOWN_DIGEST_CHARS]}+{self.settings[:SHOWN_DIGEST_CHARS]}"


@dataclass(frozen=True, slots=True)
class RolloutStage:
    """Hosts that change in a stage, and the conditions for going on to the next stage."""

    hosts: tuple[str, ...]
    least_requests: int = 200
    """New nodes' requests that must be compared with old nodes' of the same zones and request classes."""
    shortest: int = 60_000_000
    """Minimum time with all hosts of the stage ready before the stage ends.

    A crash or a memory leak takes time to show.
    """
    longest: int = 600_000_000
    """Time after which the rollout is rolled back if new nodes are not shown to be no worse."""


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """A rollout from one release to another."""

    old: NodeRelease
    new: NodeRelease
    zones: Mapping[str, str]
    """The zone of every host of the fleet."""
    stages: tuple[RolloutStage, ...]
    most_out: int = 1
    """Number of nodes that may be unavailable at once; no change begins that would exceed this number.

    Nodes that are unavailable for other reasons count too.
    """
    most_out_zone: int = 1
    """Number of nodes of one zone that may be unavailable at once, as `most_out`."""
    margin: float = 0.01
    """Difference by which new nodes' share of bad requests may be higher and still count as no worse."""
    ready_within: int = 30_000_000
    """Time for a changed node to become ready, including its slow start.

    A node that takes longer counts as unable to start.
    """
    least_learnt: int = 20
    """Number of windows from which the controller must have learnt the baseline before the plan may start."""
    allowance: int = 10_000_000
    """Time after a node becomes ready in which its requests are not compared."""

    def check(self) -> None:
        """Check that the plan can be carried out; raise PlanError if it cannot."""
        if self.old == self.new:
            raise PlanError("new: is the same release as old")
        if not self.stages:
            raise PlanError("stages: at least one is needed")
        self._check_hosts()
        for i, stage in enumerate(self.stages):
            self._check_stage(f"stages[{i}]", stage)
        for name in ("most_out", "most_out_zone"):
            if not 0 < getattr(self, name) < len(self.zones):
                raise PlanError(f"{name}: must lie in [1, {len(self.zones) - 1}], got {getattr(self, name)}")
        if not 0 < self.margin < 1:
            raise PlanError(f"margin: must lie in (0, 1), got {self.margin}")

    def _check_hosts(self) -> None:
        seen: set[str] = set()
        for i, stage in enumerate(self.stages):
            if not stage.hosts:
                raise PlanError(f"stages[{i}].hosts: at least one is needed")
            for host in stage.hosts:
                if host not in self.zones:
                    raise PlanError(f"stages[{i}].hosts: {host!r} is no host of the fleet")
                if host in seen:
                    raise PlanError(f"stages[{i}].hosts: {host!r} is in two stages or twice in one")
                seen.add(host)

    def _check_stage(self, name: str, stage: RolloutStage) -> None:
        if stage.least_requests < 1:
            raise PlanError(f"{name}.least_requests: must be above 0, got {stage.least_requests}")
        if stage.longest <= self.ready_within + self.allowance + stage.shortest:
            raise PlanError(f"{name}.longest: must be above ready_within, allowance and shortest together")
