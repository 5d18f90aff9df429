"""`tuliptrack bills`: computes, exports, verifies and merges bills from the ledgers of one or more nodes."""

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

_TOTAL_COLUMNS = ("works", "read", "kept", "written", "amount")
_LEDGERS = click.argument("ledgers", nargs=-1, required=True, type=click.Path(file_okay=False))


@click.group()
def bills() -> None:
    """Bills from the ledgers of one or more nodes."""


def _usage_records(ledgers: tuple[str, ...]) -> list[UsageRecord]:
    try:
        return [record for path in ledgers for record in read_usage_records(path)]
    except LedgerError as error:
        raise click.ClickException(str(error)) from None


@bills.command()
@_LEDGERS
@click.option("--json", "as_json", is_flag=True)
def show(ledgers: tuple[str, ...], as_json: bool) -> None:
    """Show totals by tenant and day (UTC), including compacted records. Amounts are in millionths of the
    currency.
    """
    rows: dict[tuple[str, int], dict[str, int]] = {
        key: asdict(total) for key, total in daily_totals(compute_bills(_usage_records(ledgers))).items()
    }
    for path in ledgers:
        for compacted in read_daily_totals(path):
            row = rows.setdefault((compacted.tenant, compacted.day), {})
            for name in DailyTotal.__dataclass_fields__:
                row[name] = row.get(name, 0) + getattr(compacted, name)
    table = [{"tenant": tenant, "day": day, **row} for (tenant, day), row in sorted(rows.items())]
    if as_json:
        click.echo(json.dumps(table))
        return
    click.echo(
        f"{'tenant':20} {'day':>6}" + "".join(f" {name:>13}" for name in (*_TOTAL_COLUMNS, "our loss"))
    )
    for (tenant, day), row in sorted(rows.items()):
        lost = row["lost_read"] + row["lost_written"]
        click.echo(
            f"{tenant:20} {day:6}" + "".join(f" {row[name]:13}" for name in _TOTAL_COLUMNS) + f" {lost:13}"
        )


@bills.command()
@_LEDGERS
@click.option("--format", "kind", type=click.Choice(["csv", "json"]), default="csv")
def export(ledgers: tuple[str, ...], kind: str) -> None:
    """Export one row for each piece of work."""
    rows = [asdict(bill) for bill in compute_bills(_usage_records(ledgers))]
    if kind == "json":
        click.echo(json.dumps(rows))
        return
    writer = csv.DictWriter(sys.stdout, list(Bill.__dataclass_fields__))
    writer.writeheader()
    writer.writerows(rows)


@bills.command("verify")
@_LEDGERS
def verify_(ledgers: tuple[str, ...]) -> None:
    """Check the ledgers for damaged, missing and duplicate batches. Exit code 1 where any is found."""
    has_problems = False
    for path in ledgers:
        try:
            count, problems = verify(path)
        except LedgerError as error:
            raise click.ClickException(str(error)) from None
        click.echo(f"{path}: {count} batches, {len(problems)} problems")
        for problem in problems:
            click.echo(f"{path}: batch {problem.sequence}: {problem.reason}")
        has_problems = has_problems or bool(problems)
    if has_problems:
        raise SystemExit(1)


@bills.command()
@click.argument("target", type=click.Path(file_okay=False))
@_LEDGERS
def merge(target: str, ledgers: tuple[str, ...]) -> None:
    """Merge LEDGERS into the ledger TARGET, which may already have some of their records. The result depends
    neither on the order of merges nor on how often one is repeated.
    """
    merged = _usage_records(ledgers)
    try:
        ledger = Ledger(target)
        ledger.close()
        existing = {record.key: record for record in read_usage_records(target)}
        newest = newest_states(merged)
        ledger = Ledger(target)
        for key, record in sorted(newest.items()):
            if key not in existing or (
                newer_state(existing[key], record) == record and existing[key] != record
            ):
                while not ledger.add(record):
                    ledger.commit()
        count = ledger.commit()
        ledger.close()
    except LedgerError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{target}: {count} parts added, {len(newest) - count} were there")
