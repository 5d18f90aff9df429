"""Fits, result files, and the tables of `docs/CAPACITY.md`, which must be those rendered from the result files."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from tuliptrack.cli.main import main
from tuliptrack.lab.capacity.fit import Fit, Form, fit
from tuliptrack.lab.capacity.page import page_with_tables, read_fleets
from tuliptrack.lab.capacity.results import ResultError, Results, Series
from tuliptrack.lab.capacity.roles import ROWS
from tuliptrack.lab.capacity.target import TARGET

ROOT = Path(__file__).resolve().parents[2]
SIZES = (100.0, 200.0, 800.0, 3_200.0)


def fit_values(curve: list[float]) -> Fit:
    return fit(list(zip(SIZES, curve, strict=True)))


def test_fit_distinguishes_lines_power_laws_and_bent_curves() -> None:
    line = fit_values([7 + 3 * size for size in SIZES])
    assert line.form is Form.LINE and line.at(1_000) == pytest.approx(3_007) and line.residual < 1e-9
    power = fit_values([5 * size**0.5 for size in SIZES])
    assert (
        power.form is Form.POWER and power.b == pytest.approx(0.5) and power.at(10_000) == pytest.approx(500)
    )
    assert power.extrapolated(10_000) and not power.extrapolated(300)
    bent = fit_values([1.0, 1.0, 1.0, 40.0])
    assert bent.form is Form.BENT
    with pytest.raises(ValueError, match="bends"):
        bent.at(1_000)
    with pytest.raises(ValueError, match="at least four"):
        fit([(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)])


def test_a_measured_size_has_its_measured_value_and_others_that_of_the_fit() -> None:
    series = Series("x", "bytes", "engines", tuple((size, 2 * size + (size == 800)) for size in SIZES))
    assert series.at(800) == 1_601 and series.at(1_600) == pytest.approx(3_200, rel=0.01)


def test_errors_name_the_result_file_and_what_is_wrong_with_it(tmp_path: Path) -> None:
    path = tmp_path / "r.json"
    with pytest.raises(ResultError, match=r"r\.json: No such file"):
        Results.read(path)
    for text, message in (
        ("nope", "not a result file"),
        ('{"format": 9}', "format: must be 1, is 9"),
        ("[]", "format: must be"),
        ('{"format": 1}', "series: can't be read"),
    ):
        path.write_text(text)
        with pytest.raises(ResultError, match=message):
            Results.read(path)
    results = Results(yardstick_us=200.0)
    results.add(Series("list.bytes", "bytes", "engines", tuple((size, size) for size in SIZES)))
    results.write(path)
    assert Results.read(path).at("list.bytes", 100.0) == 100.0
    with pytest.raises(ResultError, match=r"'decision\.request' is missing: the file is stale"):
        Results.read(path, ["list.bytes", "decision.request"])
    with pytest.raises(ResultError, match="stale"):
        Results.read(path).at("decision.request", 100.0)


def test_the_page_is_what_its_result_files_give() -> None:
    results = Results.read(ROOT / "bench" / "capacity.json")
    fleets = read_fleets(sorted((ROOT / "bench").glob("fleet-*.json")))
    assert fleets, "runs of the hollow fleet"
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert page_with_tables(page, results, fleets) == page, "python bench/capacity.py render"


def test_every_row_has_a_mechanism_and_a_ratio_if_it_has_a_budget() -> None:
    results = Results.read(ROOT / "bench" / "capacity.json")
    assert {row.role for row in ROWS} == {
        "node",
        "agent",
        "controller",
        "record holder",
        "discovery's agent",
        "engine",
    }
    for row in ROWS:
        assert row.mechanism and all(value >= 0 for value in row.values(results)), row.quantity
        assert (row.ratio(results) is None) == (row.budget is None)


def test_the_arithmetic_of_the_target() -> None:
    assert TARGET.node_requests_per_s == pytest.approx(7.14, abs=0.01)
    assert TARGET.answer_tokens == 276
    assert TARGET.node_streams == pytest.approx(138, abs=1)
    assert TARGET.zone_engines == 425
    assert 1 / TARGET.config_changes_per_s == pytest.approx(16.3, abs=0.1)


@pytest.mark.parametrize(
    ("options", "message"),
    [
        (("--nodes", "0"), "--nodes: must lie in [1, 2000], got 0"),
        (("--engines", "63"), "--engines: must lie in [64, 10000], got 63"),
        (("--processes", "201"), "--processes: must lie in [1, 200], got 201"),
        (("--processes", "199", "--list-servers", "4"), "--processes: 200 at most"),
        (("--rate", "0"), "--rate: must lie in [0.01, 100.0], got 0.0"),
        (("--nodes", "2000", "--engines", "10000"), "--nodes: "),
    ],
)
def test_invalid_fleet_options_give_a_one_line_error(options: tuple[str, ...], message: str) -> None:
    done = CliRunner().invoke(main, ["lab", "fleet", *options])
    assert done.exit_code == 2 and message in done.output and "Traceback" not in done.output


def test_all_nodes_of_a_small_hollow_fleet_get_every_change(tmp_path: Path) -> None:
    """Real discovery clients, lists and decisions run in worker processes; the assertions use the counts of the
    list servers and of the nodes.
    """
    path = tmp_path / "fleet.json"
    done = CliRunner().invoke(
        main,
        [
            "lab",
            "fleet",
            "--nodes",
            "6",
            "--engines",
            "64",
            "--processes",
            "2",
            "--list-servers",
            "2",
            "--rate",
            "3",
            "--seconds",
            "2",
            "--settle",
            "2",
            "--json",
            str(path),
        ],
    )
    assert done.exit_code == 0, done.output
    report = json.loads(path.read_text())
    phases = {phase["name"]: phase for phase in report["phases"]}
    assert phases["start of all"]["whole_lists"] == 6, "one whole list for each node, and no more after it"
    assert all(phase["whole_lists"] == 0 for name, phase in phases.items() if name != "start of all")
    assert all(spread < 6.0 for phase in phases.values() for spread in phase["spread_s"]), (
        "the last node has each change within six seconds"
    )
    assert phases["a zone lost"]["entries"] == phases["the zone back, cold"]["entries"] == 8
    assert phases["half of the readers become writers"]["entries"] == 16
    assert report["processes"] == 4 and report["requests"] > 50 and report["cold_most_of_budget"] <= 1.0
