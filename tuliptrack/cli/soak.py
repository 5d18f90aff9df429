"""`tuliptrack lab soak`: runs nodes as processes under randomized faults, and checks invariants."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

import click

from tuliptrack.cli.errors import BadFile
from tuliptrack.lab.soak.runner import Result, play, shrink
from tuliptrack.lab.soak.schedule import Schedule, draw

__all__ = ["soak"]

_MIN_MINUTES, _MAX_MINUTES, _MAX_NODES = 0.1, 10.0, 8
_MAX_SHRINK_RUNS = 24
_EXIT_TERMINATED = 130  # After SIGTERM or SIGINT.

T = TypeVar("T")


class _Seeds(click.ParamType):  # type: ignore[type-arg]
    """One seed, or the range A..B, both ends included."""

    name = "seeds"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> range:
        first, separator, last = str(value).partition("..")
        try:
            seeds = range(int(first), int(last if separator else first) + 1)
        except ValueError:
            self.fail(f"must be a seed or A..B, is {str(value)[:40]!r}", param, ctx)
        if not seeds:
            self.fail(f"{value} holds no seed", param, ctx)
        return seeds


@click.command()
@click.option("--seeds", type=_Seeds(), default="1..1", show_default=True, help="One seed, or A..B.")
@click.option("--nodes", type=click.IntRange(1, _MAX_NODES), default=3, show_default=True)
@click.option("--minutes", type=click.FloatRange(_MIN_MINUTES, _MAX_MINUTES), default=0.25, show_default=True)
@click.option(
    "--resume/--no-resume",
    "may_resume",
    default=True,
    show_default=True,
    help="Whether streams can be resumed.",
)
@click.option(
    "--schedule", "schedule_file", type=click.Path(), help="Run the schedule in this file instead of seeds."
)
@click.option(
    "--shrink",
    "to_shrink",
    type=click.Path(),
    help="Reduce a failing schedule, and write the smallest one that still fails to this file.",
)
@click.option("--keep", type=click.Path(), help="Folder for the records of seeds that failed.")
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON for each seed.")
def soak(
    seeds: range,
    nodes: int,
    minutes: float,
    may_resume: bool,
    schedule_file: str | None,
    to_shrink: str | None,
    keep: str | None,
    as_json: bool,
) -> None:
    """Run nodes, engines, proxies, clients and the agent of the endpoint list as processes on loopback, under
    faults drawn from each seed in turn. Check what reached the engines and the clients against invariants.
    Exit code 0 if every invariant held, 1 otherwise.
    """
    schedules = (
        [_read_schedule(schedule_file)]
        if schedule_file
        else [replace(draw(seed, minutes * 60, nodes), may_resume=may_resume) for seed in seeds]
    )
    failures = 0
    for schedule in schedules:
        result = asyncio.run(
            _until_terminated(play(schedule, Path(keep) / str(schedule.seed) if keep else None))
        )
        _print_result(result, as_json)
        if not result.violations:
            continue
        failures += 1
        if to_shrink:
            smallest = asyncio.run(_until_terminated(shrink(schedule, _MAX_SHRINK_RUNS)))
            Path(to_shrink).write_text(json.dumps(smallest.as_json(), indent=1))
    sys.exit(1 if failures else 0)


async def _until_terminated(work: Coroutine[Any, Any, T]) -> T:
    """Await `work`, which SIGTERM and SIGINT cancel, so that it stops the processes that it has started."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise SystemExit(_EXIT_TERMINATED) from None


def _read_schedule(path: str) -> Schedule:
    try:
        return Schedule.from_json(json.loads(Path(path).read_text()))
    except OSError as error:
        raise BadFile(f"--schedule: {path}: {error.strerror or error}") from None
    except (ValueError, KeyError, TypeError) as error:
        raise BadFile(f"--schedule: {path}: {error}"[:200]) from None


def _print_result(result: Result, as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(result.as_json()))
        return
    click.echo(
        f"seed {result.seed}: {result.requests} requests, {result.served} served, {result.processes} processes, "
        f"stand-ins late by {result.lag_s:.3f} s, {len(result.violations)} violations"
    )
    for violation in result.violations[:20]:
        click.echo(f"  {violation.rule}: {violation.request}: {violation.text}")
