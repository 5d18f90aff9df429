"""Renders the tables of `docs/CAPACITY.md` from result files, so that each figure comes from a run."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tuliptrack.lab.capacity.fit import Form
from tuliptrack.lab.capacity.results import ResultError, Results, Series
from tuliptrack.lab.capacity.roles import ROWS

__all__ = [
    "page_with_tables",
    "read_fleets",
    "render_fleets",
    "render_ranking",
    "render_roles",
    "render_series",
]


def _number(value: float) -> str:
    if value == 0:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    names = list(head)
    lines = ["| " + " | ".join(names) + " |", "| " + " | ".join("---" for _ in names) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def render_roles(results: Results) -> str:
    """Render a table for each role."""
    parts = []
    for role in dict.fromkeys(row.role for row in ROWS):
        rows = []
        for row in (row for row in ROWS if row.role == role):
            ratio = row.ratio(results)
            shown = [_number(value) for value in row.values(results)]
            rows.append(
                [
                    f"{row.quantity}{f', {row.unit}' if row.unit else ''}",
                    row.basis,
                    *shown[:2],
                    f"{shown[2]} ({row.worst_case})",
                    _number(row.budget) if row.budget else "-",
                    f"**{ratio:.2g}**"
                    if ratio and ratio > 1
                    else f"{ratio:.2g}"
                    if ratio is not None
                    else "-",
                    row.mechanism,
                ]
            )
        parts.append(
            f"### {role[0].upper()}{role[1:]}\n\n"
            + _table(
                ("what", "rests on", "ordinary", "peak", "worst hour", "budget", "ratio", "carried by"), rows
            )
        )
    return "\n\n".join(parts)


def render_ranking(results: Results) -> str:
    """Render the rows that exceed their budget, the greatest ratio first."""
    over = [(ratio, row) for row in ROWS if (ratio := row.ratio(results)) is not None and ratio > 1]
    over.sort(key=lambda entry: -entry[0])
    return _table(
        ("ratio", "role", "what", "carried by"),
        ([f"{ratio:.3g}", row.role, row.quantity, row.mechanism] for ratio, row in over),
    )


def render_series(results: Results) -> str:
    """Render every measured series, with its fit."""
    head = (
        f"Measured with `{results.command}` at {results.commit}, Python {results.python}; one yardstick is "
        f"{results.yardstick_us:.0f} us on that machine (parsing a fixed JSON text of 100 engines)."
    )
    rows = [_series_row(series) for series in results.series.values() if len(series.points) >= 4]
    single = [
        [series.name, series.unit, _number(series.points[0][1])]
        for series in results.series.values()
        if len(series.points) < 4
    ]
    return "\n\n".join(
        [
            head,
            _table(("series", "unit", "by", "points (size: value)", "fit", "residual"), rows),
            _table(("series of one size", "unit", "value"), single),
        ]
    )


def _series_row(series: Series) -> list[str]:
    fitted = series.fit
    points = ", ".join(f"{size:g}: {value:.4g}" for size, value in series.points)
    text = fitted.text if fitted.form is not Form.BENT else "bends: no line; the measured points hold"
    return [series.name, series.unit, series.by, points, text, f"{100 * fitted.residual:.0f} %"]


def render_fleets(runs: dict[str, dict[str, Any]]) -> str:
    """Render reports of hollow fleets, by the name of the run."""
    rows = []
    for name, run in runs.items():
        plan = run["plan"]
        size = f"{plan['nodes']} x {plan['engines']}, {plan['rate']:g} requests/s a node"
        for phase in run["phases"]:
            incomplete = [spread for spread in phase["spread_s"] if spread is None]
            spread = (
                f"not all in the part ({len(incomplete)})"
                if incomplete
                else f"{max(phase['spread_s'], default=0.0):.2f}"
            )
            rows.append(
                [
                    name,
                    size,
                    phase["name"],
                    str(phase["changes"]),
                    str(phase["entries"]),
                    spread,
                    f"{100 * phase['node_core_share']:.2f}",
                    f"{phase['list_bytes_per_s']:,.0f}",
                    f"{phase['calls_per_s']:.1f}",
                    str(phase["whole_lists"]),
                ]
            )
    totals = [
        [
            name,
            str(run["processes"]),
            f"{run['node_memory'] / 1e6:.1f}",
            str(run["requests"]),
            str(run["refusals"]),
            f"{run['decision_us']:,.0f}",
            f"{run['longest_event_ms']:.0f}",
            str(run["cold_engines"]),
            f"{run['cold_most_of_budget']:.2f}",
        ]
        for name, run in runs.items()
    ]
    return "\n\n".join(
        [
            _table(
                (
                    "run",
                    "size",
                    "part",
                    "changes",
                    "entries",
                    "last node has it after, s",
                    "node, % of a core",
                    "list, B/s a node",
                    "calls/s a node",
                    "whole lists",
                ),
                rows,
            ),
            _table(
                (
                    "run",
                    "processes",
                    "MB a node",
                    "requests",
                    "refused",
                    "decisions of a request, us",
                    "longest event, ms",
                    "cold engines sent to",
                    "most of a cold engine's budget",
                ),
                totals,
            ),
        ]
    )


def page_with_tables(page: str, results: Results, fleets: dict[str, dict[str, Any]]) -> str:
    """Return the page with each table between its marks replaced; raise ResultError if a mark is missing."""
    tables = {
        "roles": render_roles(results),
        "ranking": render_ranking(results),
        "series": render_series(results),
        "fleets": render_fleets(fleets),
    }
    for name, table in tables.items():
        begin, end = f"<!-- {name}: rendered -->", f"<!-- {name}: end -->"
        before, found, rest = page.partition(begin)
        _, ended, after = rest.partition(end)
        if not (found and ended):
            raise ResultError(f"docs/CAPACITY.md: marks of {name!r} are missing")
        page = f"{before}{begin}\n\n{table}\n\n{end}{after}"
    return page


def read_fleets(paths: Iterable[Path]) -> dict[str, dict[str, Any]]:
    """Read reports of hollow fleets, by file name; raise ResultError for a file that can't be used."""
    reports = {}
    for path in paths:
        try:
            report = json.loads(path.read_text())
            render_fleets({path.stem: report})
        except OSError as error:
            raise ResultError(f"{path}: {error.strerror or error}") from None
        except (ValueError, KeyError, TypeError) as error:
            raise ResultError(f"{path}: not a report of a fleet: {error!r}") from None
        reports[path.stem] = report
    return reports
