"""`tuliptrack lab`: stand-in engines and scripted days."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

import click

from tuliptrack.cli.errors import BadFile
from tuliptrack.cli.running import run_until_told
from tuliptrack.cli.soak import soak
from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.lab.engine import Engine
from tuliptrack.node.logs import set_up
from tuliptrack.proto import config_pb2, lab_pb2
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals

__all__ = ["lab"]


@click.group()
def lab() -> None:
    """The laboratory: stand-in engines and scripted days."""


lab.add_command(soak)


@lab.command()
@click.option(
    "--role", type=click.Choice(["READ", "WRITE", "BOTH"]), help="Role, where no model file tells it."
)
@click.option("--model", type=click.Path(), help="EngineModel in text format.")
@click.option("--listen", default="127.0.0.1:0", help="host:port; port 0: the kernel chooses.")
@click.option("--name", default="engine")
@click.option("--log", "log_path", type=click.Path(), help="File for what is seen on the sockets.")
@click.option("--cold", is_flag=True, help="Start cold, as the model tells it.")
def engine(
    role: str | None, model: str | None, listen: str, name: str, log_path: str | None, cold: bool
) -> None:
    """Run a stand-in engine until SIGTERM; prints one JSON line with its address."""
    signals = ProcessSignals(*STOP_SIGNALS)
    made = lab_pb2.EngineModel()
    if model:
        try:
            made, located = read_file(model, lab_pb2.EngineModel)
            located.check()
        except ConfigError as error:
            raise BadFile(str(error)) from None
    if role:
        made.role = config_pb2.RoleName.Value(role)  # type: ignore[assignment]  # stubs disagree on enums
    if not made.role:
        raise click.UsageError("--role or a model with a role is needed")
    set_up(json_lines=False, quiet=True)
    with open(log_path, "a") if log_path else contextlib.nullcontext() as seen:
        asyncio.run(run_until_told(Engine(name, made, seen, cold), listen, signals))


@lab.command()
@click.argument("file", type=click.Path())
@click.option("--seed", type=int, help="In place of the scenario's own.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
@click.option(
    "--keep", type=click.Path(), help="Folder for the logs of the day; default: removed afterwards."
)
def play(file: str, seed: int | None, as_json: bool, keep: str | None) -> None:
    """Play the scripted day in FILE with nodes and engines as processes, and judge it by the traffic. Exit
    code 0 when all rules were kept, 1 when one was broken.
    """
    from tuliptrack.lab.report import as_text
    from tuliptrack.lab.scenario_run import run_scenario

    set_up(json_lines=False, quiet=True)
    try:
        scenario, located = read_file(file, lab_pb2.Scenario)
        located.check()
    except ConfigError as error:
        raise BadFile(str(error)) from None
    if seed is not None:
        scenario.seed = seed
    verdict = asyncio.run(
        run_scenario(scenario, keep, None if as_json else lambda text: click.echo(text, err=True))
    )
    click.echo(json.dumps(verdict, indent=1) if as_json else as_text(verdict))
    sys.exit(0 if verdict["kept"] else 1)


@lab.command("fleet")
@click.option("--nodes", default=350, help="Hollow nodes.")
@click.option("--engines", default=3_400, help="Drawn engines.")
@click.option("--processes", default=24, help="Processes that share the nodes.")
@click.option("--list-servers", default=4, help="Processes that stand in for discovery.")
@click.option("--rate", default=7.1, help="Requests a second of one node.")
@click.option("--seconds", default=60.0, help="Of ordinary changes.")
@click.option("--settle", default=8.0, help="Seconds after each part.")
@click.option("--seed", default=1)
@click.option("--router", default="", help="Module file whose Router decides, in place of the program's own.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="File for the report.")
def play_hollow_fleet(path: str | None, **options: Any) -> None:
    """Play a fleet of hollow nodes before drawn engines: start, changes, a lost zone, new roles, a silent
    discovery.
    """
    from tuliptrack.lab.hollow.fleet import FleetError, FleetPlan, play_fleet

    try:
        report = asyncio.run(play_fleet(FleetPlan(**options)))
    except FleetError as error:
        raise click.UsageError(f"--{str(error).replace('_', '-', 1)}") from None
    text = json.dumps(report.as_dict(), indent=1)
    if path:
        Path(path).write_text(text + "\n")
    click.echo(text)
