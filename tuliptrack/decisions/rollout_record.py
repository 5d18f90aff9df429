"""The record of a rollout: what was decided last, and its JSON form, which is stored and sent.

A record has no effect until a quorum has accepted it (`decisions/consensus.py`). An order to a host only says
"run the release that the record names for you", so an order that arrives twice or late does no harm.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from tuliptrack.decisions.rollout_plan import NodeRelease, PlanError, RolloutPlan, RolloutStage

__all__ = ["RolloutPhase", "RolloutRecord"]

FORMAT = 1
"""Version of the JSON form; a newer version is rejected, as its fields may have another meaning."""
_FORM_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors that may be raised by reading a value that does not have the form of a record."""
_OPTIONAL_PLAN_FIELDS = (
    "most_out",
    "most_out_zone",
    "margin",
    "ready_within",
    "least_learnt",
    "allowance",
)


class RolloutPhase(Enum):
    """Phase of a rollout; the values are stored."""

    NONE = "none"
    FORWARD = "forward"
    PAUSED = "paused"
    BACK = "back"
    """The rollout is being rolled back, with the same limits on unavailable nodes as in FORWARD."""
    HELD = "held"
    """No host is changed until an operator decides."""
    DONE = "done"
    ROLLED_BACK = "taken back"

    @property
    def is_under_way(self) -> bool:
        """Whether a rollout has begun and not ended."""
        return self not in (RolloutPhase.NONE, RolloutPhase.DONE, RolloutPhase.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """What was decided last about a rollout."""

    number: int = 0
    """Number of the rollout, counted from 1; 0 before the first one."""
    phase: RolloutPhase = RolloutPhase.NONE
    plan: RolloutPlan | None = None
    stage: int = 0
    new_hosts: frozenset[str] = frozenset()
    """Hosts of the plan that run the new release or have been assigned it."""
    reason: str = ""
    interrupted: RolloutPhase = RolloutPhase.NONE
    """The phase that a pause or a hold has interrupted; NONE in other phases."""

    def release(self, host: str) -> NodeRelease | None:
        """Return the release that a host has to run; None if the plan does not include the host."""
        if self.plan is None or host not in self.plan.zones:
            return None
        return self.plan.new if host in self.new_hosts else self.plan.old

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form of this record."""
        plan = asdict(self.plan) | {"zones": dict(self.plan.zones)} if self.plan else None
        return {
            "format": FORMAT,
            "number": self.number,
            "phase": self.phase.value,
            "plan": plan,
            "stage": self.stage,
            "wanted": sorted(self.new_hosts),
            "reason": self.reason,
            "before": self.interrupted.value,
        }

    @staticmethod
    def from_dict(json_form: Mapping[str, Any]) -> RolloutRecord:
        """Return the record of a JSON form; unknown fields are ignored.

        Raises:
            PlanError: The format is newer than this program knows, or it is not that of a record.
        """
        # Callers expect only PlanError. Any other error, raised by a stored value of another form, would
        # leave a controller that still leads but decides nothing any more.
        try:
            return RolloutRecord._from_dict(json_form)
        except _FORM_ERRORS as error:
            raise PlanError(f"record: {type(error).__name__}: {error}") from None

    @staticmethod
    def _from_dict(json_form: Mapping[str, Any]) -> RolloutRecord:
        if json_form.get("format", 0) > FORMAT:
            raise PlanError(f"format: {json_form['format']} is newer than {FORMAT}, which this program knows")
        plan = json_form.get("plan")
        return RolloutRecord(
            json_form["number"],
            RolloutPhase(json_form["phase"]),
            None if plan is None else _plan_from_dict(plan),
            json_form["stage"],
            frozenset(json_form["wanted"]),
            json_form["reason"],
            RolloutPhase(json_form["before"]),
        )


def _plan_from_dict(plan: Mapping[str, Any]) -> RolloutPlan:
    stages = tuple(
        RolloutStage(tuple(stage["hosts"]), stage["least_requests"], stage["shortest"], stage["longest"])
        for stage in plan["stages"]
    )
    optional = {name: plan[name] for name in _OPTIONAL_PLAN_FIELDS if name in plan}
    return RolloutPlan(
        NodeRelease(**plan["old"]), NodeRelease(**plan["new"]), plan["zones"], stages, **optional
    )
