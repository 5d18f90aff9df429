"""A short bad day with nodes and engines as real processes, and the judge's verdict on it."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.lab.client import arrivals
from tuliptrack.lab.day import play_day
from tuliptrack.lab.report import as_text
from tuliptrack.proto import lab_pb2

EXAMPLES = Path(__file__).parents[2] / "examples"


def scenario(name: str) -> lab_pb2.Scenario:
    found, located = read_file(EXAMPLES / name, lab_pb2.Scenario)
    located.check()
    return found


def test_a_short_bad_day_keeps_every_rule(tmp_path: Path) -> None:
    said: list[str] = []
    verdict = asyncio.run(play_day(scenario("short-day.textproto"), str(tmp_path), said.append))
    assert verdict["kept"], as_text(verdict)
    assert all(rule["checked"] for rule in verdict["rules"].values()), as_text(verdict)
    # The troubles really came: a node and a reader died, streams broke and were resumed.
    rows = json.loads((tmp_path / "clients.json").read_text())
    assert any(r["how"] in ("reset", "connect") for r in rows) and any(r["code"] == "ABORTED" for r in rows)
    assert any(r["resume_from"] and r["finished"] for r in rows)
    assert verdict["worth"]["all"]["served"] > 0.5
    assert "every rule was kept" in as_text(verdict)


def test_the_same_seed_gives_the_same_clients() -> None:
    day = scenario("bad-day.textproto")

    def drawn(seed: int) -> list[tuple[float, str, int, str]]:
        return [(a.at, a.name, a.prompt_tokens, a.prefix) for a in arrivals(day, seed)]

    assert drawn(4) == drawn(4) != drawn(5)


@pytest.mark.parametrize(("change", "field"), [
    ('load { request_class: "huh" tenant: "north" }', "load[7].request_class"),
    ('load { request_class: "question" tenant: "huh" }', "load[7].tenant"),
    ('happening { who: "huh" crash: true }', "happening[18].who"),
    ('happening { who: "node-0" }', "happening[18]"),
    ('engines { name: "x" count: 1 kind: "huh" }', "engines[3].kind"),
])
def test_a_scenario_that_cant_be_played_is_turned_down_before_anything_starts(change: str, field: str) -> None:
    from google.protobuf import text_format

    day = scenario("bad-day.textproto")
    text_format.Merge(change, day)
    with pytest.raises(ConfigError) as caught:
        asyncio.run(play_day(day))
    assert [p.field for p in caught.value.problems] == [field]
