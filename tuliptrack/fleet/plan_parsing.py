"""Reads the plan of a rollout from the JSON that operators write."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from tuliptrack.decisions.rollout_plan import Plan, PlanError, Release, Stage
from tuliptrack.rpc.json_text import parse_json

__all__ = ["parse_plan"]


def parse_plan(text: str) -> Plan:
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


def _to_plan(content: Any) -> Plan:
    if not isinstance(content, dict):
        raise PlanError("plan: must be an object")
    if unknown := set(content) - {field.name for field in fields(Plan)}:
        raise PlanError(f"{min(unknown)}: is no field of a plan")
    stages = tuple(Stage(**{**stage, "hosts": tuple(stage["hosts"])}) for stage in content.pop("stages"))
    releases = {"old": Release(**content["old"]), "new": Release(**content["new"])}
    return Plan(**{**content, **releases, "stages": stages})
