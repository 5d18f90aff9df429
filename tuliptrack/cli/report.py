"""`tuliptrack report`: summarizes the report files of nodes, as tables, JSON or plots."""

from __future__ import annotations

import json
from collections import defaultdict
from itertools import pairwise
from pathlib import Path
from typing import Any

import click

__all__ = ["report"]


@click.group()
def report() -> None:
    """Summaries of the report files of nodes."""


def read_rows(files: tuple[str, ...]) -> list[dict[str, Any]]:
    """Read the rows of report files, ordered by time.

    A crash may cut off the last line of a file; it is left out with a message on standard error.

    Raises:
        click.ClickException: Names a line that is invalid.
    """
    rows = []
    for name in files:
        lines = Path(name).read_text().splitlines(keepends=True)
        for number, line in enumerate(lines, 1):
            try:
                row = json.loads(line)
                rows.append(
                    {**row, "t": float(row["t"]), "bytes": int(row["bytes"]), "moves": int(row["moves"])}
                )
            except (ValueError, KeyError, TypeError) as error:
                if number == len(lines) and not line.endswith("\n"):
                    click.echo(f"{name}:{number}: cut off, left out", err=True)
                    continue
                raise click.ClickException(f"{name}:{number}: not a row of a zone report ({error})") from None
    return sorted(rows, key=lambda row: row["t"])


def sums(rows: list[dict[str, Any]], by: list[str]) -> list[dict[str, Any]]:
    """Sum bytes and transfers, grouped by some columns; also the bytes of forced transfers and of retries."""
    groups: dict[tuple[str, ...], dict[str, Any]] = defaultdict(
        lambda: {"bytes": 0, "forced": 0, "retry": 0, "moves": 0}
    )
    for row in rows:
        group = groups[tuple(str(row[name]) for name in by)]
        group["bytes"] += row["bytes"]
        group["moves"] += row["moves"]
        if row["cause"] in ("forced", "retry"):
            group[row["cause"]] += row["bytes"]
    return [{**dict(zip(by, key, strict=True)), **group} for key, group in sorted(groups.items())]


@report.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--by",
    default="class,from,to",
    help="Columns to group by, out of: node, class, tenant, stage, from, to, cause.",
)
@click.option("--json", "as_json", is_flag=True)
@click.option("--budget", type=float, help="Allowed bytes per second across zones, for comparison.")
@click.option(
    "--plot", type=click.Path(), help="Write a PNG of bytes per second over time, by class and cause."
)
def zones(files: tuple[str, ...], by: str, as_json: bool, budget: float | None, plot: str | None) -> None:
    """Show the traffic across zones, from the report files of one or more nodes."""
    columns = by.split(",")
    unknown = set(columns) - {"node", "class", "tenant", "stage", "from", "to", "cause"}
    if unknown:
        raise click.BadParameter(f"{sorted(unknown)[0]!r} is no column", param_hint="--by")
    rows = read_rows(files)
    table = sums(rows, columns)
    duration_s = max(rows[-1]["t"] - rows[0]["t"], 1e-9) if rows else 0.0
    total_bytes = sum(row["bytes"] for row in rows)
    forced_bytes = sum(row["bytes"] for row in rows if row["cause"] == "forced")
    if as_json:
        click.echo(
            json.dumps(
                {
                    "rows": table,
                    "bytes": total_bytes,
                    "forced": forced_bytes,
                    "seconds": duration_s,
                    "budget_per_s": budget,
                }
            )
        )
    else:
        headings = [*columns, "bytes", "forced", "retry", "moves"]
        cells = [headings, *([str(row[heading]) for heading in headings] for row in table)]
        widths = [max(len(row[n]) for row in cells) for n in range(len(headings))]
        for row in cells:
            click.echo(
                "  ".join(
                    cell.rjust(w) if n >= len(columns) else cell.ljust(w)
                    for n, (cell, w) in enumerate(zip(row, widths, strict=True))
                )
            )
        click.echo(
            f"{total_bytes} bytes in {duration_s:.0f} s, {forced_bytes} of them forced"
            + (f"; the budget for that time is {budget * duration_s:.0f}" if budget else "")
        )
    if plot:
        _plot(rows, budget, plot)


def _plot(rows: list[dict[str, Any]], budget: float | None, path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    start = rows[0]["t"] if rows else 0.0
    times = sorted({row["t"] for row in rows})
    interval_s = min((b - a for a, b in pairwise(times) if b - a > 0.5), default=1.0)
    for name in sorted({(row["class"], row["cause"]) for row in rows}):
        points: dict[float, float] = defaultdict(float)
        for row in rows:
            points[round((row["t"] - start) / interval_s) * interval_s] += (
                row["bytes"] / interval_s * ((row["class"], row["cause"]) == name)
            )
        axes.step(list(points), list(points.values()), where="post", label=" ".join(name))
    if budget:
        axes.axhline(budget, linestyle="--", color="black", label="budget")
    axes.set(xlabel="s", ylabel="bytes a second across zones")
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)
