"""`tuliptrack bills`: what ledgers say, of one node or of several."""

from __future__ import annotations

import csv
import json
import sys
from dataclasses import asdict

import click

from tuliptrack.decisions.billing import (
    Bill,
    DailyTotal,
    UsageRecord,
    compute_bills,
    daily_totals,
    newer_state,
    newest_states,
)
from tuliptrack.store.ledger import Ledger, LedgerError
from tuliptrack.store.ledger_reading import read_daily_totals, read_usage_records, verify

__all__ = ["bills"]

_SUMS = ("works", "read", "kept", "written", "amount")
_LEDGERS = click.argument("ledgers", nargs=-1, required=True, type=click.Path(file_okay=False))


@click.group()
def bills() -> None:
    """Bills from the ledgers of one node or of several."""


def _parts(ledgers: tuple[str, ...]) -> list[UsageRecord]:
    try:
        return [part for path in ledgers for part in read_usage_records(path)]
    except LedgerError as error:
        raise click.ClickException(str(error)) from None


@bills.command()
@_LEDGERS
@click.option("--json", "as_json", is_flag=True)
def show(ledgers: tuple[str, ...], as_json: bool) -> None:
    """Sums by tenant and day (UTC), those of compacted works included. Amounts in millionths of the
    currency.
    """
    rows: dict[tuple[str, int], dict[str, int]] = {
        key: asdict(t) for key, t in daily_totals(compute_bills(_parts(ledgers))).items()
    }
    for path in ledgers:
        for old in read_daily_totals(path):
            row = rows.setdefault((old.tenant, old.day), {})
            for name in DailyTotal.__dataclass_fields__:
                row[name] = row.get(name, 0) + getattr(old, name)
    table = [{"tenant": tenant, "day": day, **row} for (tenant, day), row in sorted(rows.items())]
    if as_json:
        click.echo(json.dumps(table))
        return
    click.echo(f"{'tenant':20} {'day':>6}" + "".join(f" {name:>13}" for name in (*_SUMS, "our loss")))
    for (tenant, day), row in sorted(rows.items()):
        lost = row["lost_read"] + row["lost_written"]
        click.echo(f"{tenant:20} {day:6}" + "".join(f" {row[name]:13}" for name in _SUMS) + f" {lost:13}")


@bills.command()
@_LEDGERS
@click.option("--format", "kind", type=click.Choice(["csv", "json"]), default="csv")
def export(ledgers: tuple[str, ...], kind: str) -> None:
    """One row for each piece of work."""
    rows = [asdict(bill) for bill in compute_bills(_parts(ledgers))]
    if kind == "json":
        click.echo(json.dumps(rows))
        return
    writer = csv.DictWriter(sys.stdout, list(Bill.__dataclass_fields__))
    writer.writeheader()
    writer.writerows(rows)


@bills.command("verify")
@_LEDGERS
def verify_(ledgers: tuple[str, ...]) -> None:
    """Look for damaged, missing and doubled batches; the exit code tells whether any was found."""
    bad = False
    for path in ledgers:
        try:
            count, problems = verify(path)
        except LedgerError as error:
            raise click.ClickException(str(error)) from None
        click.echo(f"{path}: {count} batches, {len(problems)} problems")
        for problem in problems:
            click.echo(f"{path}: batch {problem.sequence}: {problem.reason}")
        bad = bad or bool(problems)
    if bad:
        raise SystemExit(1)


@bills.command()
@click.argument("target", type=click.Path(file_okay=False))
@_LEDGERS
def merge(target: str, ledgers: tuple[str, ...]) -> None:
    """Put what LEDGERS hold into the ledger TARGET; what it has already is left out. Any order, any number of
    times.
    """
    new = _parts(ledgers)
    try:
        into = Ledger(target)
        into.close()
        held = {part.key: part for part in read_usage_records(target)}
        best = newest_states(new)
        into = Ledger(target)
        for name, part in sorted(best.items()):
            if name not in held or (newer_state(held[name], part) == part and held[name] != part):
                while not into.add(part):
                    into.commit()
        count = into.commit()
        into.close()
    except LedgerError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{target}: {count} parts added, {len(best) - count} were there")
