"""The record of a rollout: what was decided last, and its JSON form, which is stored and sent.

A record means nothing until a quorum has accepted it (`decisions/consensus.py`). Orders to hosts say no more
than "run what the record names for you", so one that arrives twice or late does nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from tuliptrack.decisions.rollout_plan import Plan, PlanError, Release, Stage

__all__ = ["Phase", "Record"]

FORMAT = 1
"""Version of the JSON form; a newer one is rejected, as it may mean something else."""
_FORM_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What reading a value of another form may raise."""
_OPTIONAL_PLAN_FIELDS = (
    "most_out",
    "most_out_zone",
    "margin",
    "ready_within",
    "least_learnt",
    "allowance",
)


class Phase(Enum):
    """What is being done; the values are stored."""

    NONE = "none"
    FORWARD = "forward"
    PAUSED = "paused"
    BACK = "back"
    """It is being rolled back, within the same limits as on the way forward."""
    HELD = "held"
    """Nothing more is changed until an operator decides."""
    DONE = "done"
    ROLLED_BACK = "taken back"

    @property
    def is_under_way(self) -> bool:
        """Whether a rollout has begun and not ended."""
        return self not in (Phase.NONE, Phase.DONE, Phase.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class Record:
    """What is decided."""

    number: int = 0
    """Of the rollout."""
    phase: Phase = Phase.NONE
    plan: Plan | None = None
    stage: int = 0
    new_hosts: frozenset[str] = frozenset()
    """Hosts of the plan that run, or are to run, the new release."""
    reason: str = ""
    interrupted: Phase = Phase.NONE
    """What a pause or a hold has interrupted."""

    def release(self, host: str) -> Release | None:
        """Return what a host is to run; None if nothing is decided about it."""
        if self.plan is None or host not in self.plan.zones:
            return None
        return self.plan.new if host in self.new_hosts else self.plan.old

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form."""
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
    def from_dict(json_form: Mapping[str, Any]) -> Record:
        """Return the record of a JSON form, without unknown fields.

        Raises:
            PlanError: Its format is newer, or it is no record.
        """
        # Failure: a stored value of another form raises an error that no caller expects. It would show as a
        # controller that leads and decides nothing any more.
        try:
            return Record._from_dict(json_form)
        except _FORM_ERRORS as error:
            raise PlanError(f"record: {type(error).__name__}: {error}") from None

    @staticmethod
    def _from_dict(json_form: Mapping[str, Any]) -> Record:
        if json_form.get("format", 0) > FORMAT:
            raise PlanError(f"format: {json_form['format']} is newer than {FORMAT}, which this program knows")
        plan = json_form.get("plan")
        return Record(
            json_form["number"],
            Phase(json_form["phase"]),
            None if plan is None else _plan_from_dict(plan),
            json_form["stage"],
            frozenset(json_form["wanted"]),
            json_form["reason"],
            Phase(json_form["before"]),
        )


def _plan_from_dict(plan: Mapping[str, Any]) -> Plan:
    stages = tuple(
        Stage(tuple(stage["hosts"]), stage["least_requests"], stage["shortest"], stage["longest"])
        for stage in plan["stages"]
    )
    optional = {name: plan[name] for name in _OPTIONAL_PLAN_FIELDS if name in plan}
    return Plan(Release(**plan["old"]), Release(**plan["new"]), plan["zones"], stages, **optional)
