"""`tuliptrack lab`: simulated engines, scripted scenarios, randomized faults and simulated fleets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

import click

from tuliptrack.cli.errors import BadFile
from tuliptrack.cli.running import run_until_stopped
from tuliptrack.cli.soak import soak
from tuliptrack.config.textformat import ConfigError, read_file
from tuliptrack.lab.engine import Engine
from tuliptrack.node.logs import set_up
from tuliptrack.proto import config_pb2, lab_pb2
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals

__all__ = ["lab"]


@click.group()
def lab() -> None:
    """Simulated engines, and tests of nodes under scripted or randomized faults."""


lab.add_command(soak)


@lab.command()
@click.option(
    "--role", type=click.Choice(["READ", "WRITE", "BOTH"]), help="Role; overrides that of the model file."
)
@click.option("--model", type=click.Path(), help="File with an EngineModel in text format.")
@click.option("--listen", default="127.0.0.1:0", help="host:port; port 0: any free port.")
@click.option("--name", default="engine")
@click.option("--log", "log_path", type=click.Path(), help="File for a log of the traffic on the sockets.")
@click.option(
    "--cold", "slow_start", is_flag=True, help="Start cold: slower at first, as the model describes."
)
def engine(
    role: str | None, model: str | None, listen: str, name: str, log_path: str | None, slow_start: bool
) -> None:
    """Run a simulated engine until SIGTERM. Prints its address as one JSON line."""
    signals = ProcessSignals(*STOP_SIGNALS)
    engine_model = lab_pb2.EngineModel()
    if model:
        try:
            engine_model, diagnostics = read_file(model, lab_pb2.EngineModel)
            diagnostics.check()
        except ConfigError as error:
            raise BadFile(str(error)) from None
    if role:
        engine_model.role = config_pb2.RoleName.Value(role)  # type: ignore[assignment]  # stubs disagree on enums
    if not engine_model.role:
        raise click.UsageError("--role or a model with a role is required")
    set_up(json_lines=False, quiet=True)
    with open(log_path, "a") if log_path else contextlib.nullcontext() as traffic_log:
        asyncio.run(run_until_stopped(Engine(name, engine_model, traffic_log, slow_start), listen, signals))


@lab.command()
@click.argument("file", type=click.Path())
@click.option("--seed", type=int, help="Seed; overrides that of the scenario.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as JSON.")
@click.option("--keep", type=click.Path(), help="Folder for the logs; default: they are removed afterwards.")
def play(file: str, seed: int | None, as_json: bool, keep: str | None) -> None:
    """Run the scenario in FILE with nodes and engines as processes, and check the traffic against the rules.
    Exit code 0 if no rule was broken, 1 otherwise.
    """
    from tuliptrack.lab.report import as_text
    from tuliptrack.lab.scenario_run import run_scenario

    set_up(json_lines=False, quiet=True)
    try:
        scenario, diagnostics = read_file(file, lab_pb2.Scenario)
        diagnostics.check()
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
@click.option("--nodes", default=350, help="Number of hollow nodes.")
@click.option("--engines", default=3_400, help="Number of engines, generated from the seed.")
@click.option("--processes", default=24, help="Number of processes that the nodes are divided among.")
@click.option("--list-servers", default=4, help="Number of processes that simulate discovery.")
@click.option("--rate", default=7.1, help="Requests per second to each node.")
@click.option("--seconds", default=60.0, help="Seconds of ordinary changes.")
@click.option("--settle", default=8.0, help="Seconds to wait after each phase.")
@click.option("--seed", default=1)
@click.option("--router", default="", help="Module file with the Router to use in place of the default one.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="File for the report.")
def play_hollow_fleet(path: str | None, **options: Any) -> None:
    """Simulate a fleet of hollow nodes (real discovery and routing, but no traffic to engines) and generated
    engines: start, changes, the loss of a zone, changes of role, and discovery that does not answer
    for a while.
    """
    from tuliptrack.lab.hollow.fleet import FleetError, FleetPlan, run_fleet

    try:
        report = asyncio.run(run_fleet(FleetPlan(**options)))
    except FleetError as error:
        raise click.UsageError(f"--{str(error).replace('_', '-', 1)}") from None
    text = json.dumps(report.as_dict(), indent=1)
    if path:
        Path(path).write_text(text + "\n")
    click.echo(text)
