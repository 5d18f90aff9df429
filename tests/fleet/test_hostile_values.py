"""Records, plans and log lines with unexpected values that JSON allows.

An error of a type that the callers do not handle would end the decisions of a controller or the reports of an
agent.
"""

from __future__ import annotations

import json
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from json_values import any_json

from tuliptrack.decisions.rollout_plan import NodeRelease, PlanError, RolloutPlan, RolloutStage
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord
from tuliptrack.fleet.log_metrics import LogMetrics
from tuliptrack.fleet.plan_parsing import parse_plan

PLAN = RolloutPlan(
    NodeRelease("one", "conf"),
    NodeRelease("two", "conf"),
    {"h0": "z", "h1": "z"},
    (RolloutStage(("h0",), 10, 1, 60), RolloutStage(("h1",), 10, 1, 60)),
)
RECORD = RolloutRecord(1, RolloutPhase.FORWARD, PLAN, 0, frozenset({"h0"}), "because", RolloutPhase.NONE)
RECORD_FIELDS = tuple(RECORD.as_dict())


@pytest.mark.parametrize("field", RECORD_FIELDS)
@given(value=any_json)
@examples(max_examples=50, deadline=None, derandomize=True)
def test_any_value_in_a_record_is_used_or_raises_plan_error(field: str, value: Any) -> None:
    assert RolloutRecord.from_dict(RECORD.as_dict()) == RECORD
    with suppress(PlanError):
        RolloutRecord.from_dict({**RECORD.as_dict(), field: value})


@given(value=any_json)
@examples(max_examples=100, deadline=None, derandomize=True)
def test_any_value_is_a_record_or_raises_plan_error(value: Any) -> None:
    with suppress(PlanError):
        RolloutRecord.from_dict(value)


@given(stages=any_json, old=any_json, zones=any_json)
@examples(max_examples=100, deadline=None, derandomize=True)
def test_any_plan_of_an_operator_is_used_or_raises_plan_error(stages: Any, old: Any, zones: Any) -> None:
    content = {"stages": stages, "old": old, "new": {"program": "two", "settings": "conf"}, "zones": zones}
    # RecursionError: `json.dumps` can't write content that is nested this deeply.
    with suppress(PlanError, RecursionError):
        try:
            text = json.dumps(content)
        except ValueError:
            return
        parse_plan(text)


@given(first_ms=any_json, request_class=any_json, end=any_json)
@examples(max_examples=100, deadline=None, derandomize=True)
def test_an_unusable_log_line_affects_no_other(first_ms: Any, request_class: Any, end: Any) -> None:
    row = {"event": "request", "request_class": request_class, "end": end, "first_ms": first_ms}
    good = {"event": "request", "request_class": "good", "end": "served", "first_ms": 5.0}
    try:
        hostile = json.dumps(row)
    except (ValueError, RecursionError):
        return
    with TemporaryDirectory() as folder:
        path = Path(folder) / "log"
        path.write_text(f"{hostile}\n{json.dumps(good)}\n")
        metrics = LogMetrics(path)
        metrics.read()
        metrics.read()
    assert metrics.counts["good", ""] == 1
