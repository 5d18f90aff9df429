"""Parses the plan of a rollout from the JSON that operators write."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from tuliptrack.decisions.rollout_plan import NodeRelease, PlanError, RolloutPlan, RolloutStage
from tuliptrack.rpc.json_text import parse_json

__all__ = ["parse_plan"]


def parse_plan(text: str) -> RolloutPlan:
    """Return the plan of a JSON object.

    Raises:
        PlanError: Some field can't be used; the text names it.
    """
    try:
        return _to_plan(parse_json(text))
    except PlanError:
        raise
    except (AttributeError, KeyError, OverflowError, RecursionError, TypeError, ValueError) as error:
        raise PlanError(f"plan: {error}") from None


def _to_plan(content: Any) -> RolloutPlan:
    if not isinstance(content, dict):
        raise PlanError("plan: must be an object")
    if unknown := set(content) - {field.name for field in fields(RolloutPlan)}:
        raise PlanError(f"{min(unknown)}: is not a field of a plan")
    stages = tuple(
        RolloutStage(**{**stage, "hosts": tuple(stage["hosts"])}) for stage in content.pop("stages")
    )
    releases = {"old": NodeRelease(**content["old"]), "new": NodeRelease(**content["new"])}
    return RolloutPlan(**{**content, **releases, "stages": stages})
