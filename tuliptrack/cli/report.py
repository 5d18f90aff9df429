"""`tuliptrack report`: what nodes have written down, for people and programs."""

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
    """Reports from what nodes have written down."""


def read_rows(files: tuple[str, ...]) -> list[dict[str, Any]]:
    """Rows of the files, in time's order; a ClickException names the line that can't be read. The last line
    of a file may be cut off by a crash: it is left out, and told.
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
    """Bytes and moves by these columns, with the part that was forced and the part of retries."""
    found: dict[tuple[str, ...], dict[str, Any]] = defaultdict(
        lambda: {"bytes": 0, "forced": 0, "retry": 0, "moves": 0}
    )
    for row in rows:
        one = found[tuple(str(row[name]) for name in by)]
        one["bytes"] += row["bytes"]
        one["moves"] += row["moves"]
        if row["cause"] in ("forced", "retry"):
            one[row["cause"]] += row["bytes"]
    return [{**dict(zip(by, key, strict=True)), **one} for key, one in sorted(found.items())]


@report.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--by", default="class,from,to", help="Columns, of: node, class, tenant, stage, from, to, cause."
)
@click.option("--json", "as_json", is_flag=True)
@click.option("--budget", type=float, help="Bytes a second that may cross, for comparison.")
@click.option(
    "--plot", type=click.Path(), help="Write a PNG of bytes a second over time, by class and cause."
)
def zones(files: tuple[str, ...], by: str, as_json: bool, budget: float | None, plot: str | None) -> None:
    """What has crossed zones, from the report files of one node or several."""
    columns = by.split(",")
    unknown = set(columns) - {"node", "class", "tenant", "stage", "from", "to", "cause"}
    if unknown:
        raise click.BadParameter(f"{sorted(unknown)[0]!r} is no column", param_hint="--by")
    rows = read_rows(files)
    table = sums(rows, columns)
    length = max(rows[-1]["t"] - rows[0]["t"], 1e-9) if rows else 0.0
    whole = sum(row["bytes"] for row in rows)
    forced = sum(row["bytes"] for row in rows if row["cause"] == "forced")
    if as_json:
        click.echo(
            json.dumps(
                {"rows": table, "bytes": whole, "forced": forced, "seconds": length, "budget_per_s": budget}
            )
        )
    else:
        heads = [*columns, "bytes", "forced", "retry", "moves"]
        cells = [heads, *([str(row[h]) for h in heads] for row in table)]
        widths = [max(len(row[n]) for row in cells) for n in range(len(heads))]
        for row in cells:
            click.echo(
                "  ".join(
                    cell.rjust(w) if n >= len(columns) else cell.ljust(w)
                    for n, (cell, w) in enumerate(zip(row, widths, strict=True))
                )
            )
        click.echo(
            f"{whole} bytes in {length:.0f} s, {forced} of them forced"
            + (f"; the budget for that time is {budget * length:.0f}" if budget else "")
        )
    if plot:
        _plot(rows, budget, plot)


def _plot(rows: list[dict[str, Any]], budget: float | None, path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    start = rows[0]["t"] if rows else 0.0
    steps = sorted({row["t"] for row in rows})
    every = min((b - a for a, b in pairwise(steps) if b - a > 0.5), default=1.0)
    for name in sorted({(row["class"], row["cause"]) for row in rows}):
        points: dict[float, float] = defaultdict(float)
        for row in rows:
            points[round((row["t"] - start) / every) * every] += (
                row["bytes"] / every * ((row["class"], row["cause"]) == name)
            )
        axes.step(list(points), list(points.values()), where="post", label=" ".join(name))
    if budget:
        axes.axhline(budget, linestyle="--", color="black", label="budget")
    axes.set(xlabel="s", ylabel="bytes a second across zones")
    axes.legend()
    figure.savefig(path, dpi=110, bbox_inches="tight")
    pyplot.close(figure)
