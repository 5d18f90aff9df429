"""`tuliptrack fleet`: runs controllers, and sends them operators' commands for rollouts."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click

from tuliptrack.cli.running import run_until_stopped
from tuliptrack.decisions.consensus import MAX_CONTROLLERS
from tuliptrack.fleet.controller import Controller
from tuliptrack.fleet.host import Host
from tuliptrack.fleet.unary_call import CallError, call_unary
from tuliptrack.node.logs import set_up
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel, Options
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals
from tuliptrack.rpc.status import Code

__all__ = ["fleet"]

_CALL_TIMEOUT_US = 5_000_000
_EXIT_CODE_BY_PHASE = {"done": 0, "taken back": 3, "held": 4}  # Of `start --wait`.


@click.group()
def fleet() -> None:
    """Rollouts of programs and settings to the nodes of a fleet."""


def read_hosts(path: Path) -> tuple[Host, ...]:
    """Read the hosts from a JSON file; ClickException where it is invalid."""
    try:
        hosts = tuple(Host(**row) for row in json.loads(path.read_text()))
    except (OSError, ValueError, TypeError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if not hosts or len({h.name for h in hosts}) != len(hosts):
        raise click.ClickException(f"{path}: hosts: at least one is required, and names must be unique")
    return hosts


@fleet.command()
@click.argument("number", type=click.IntRange(0, MAX_CONTROLLERS - 1))
@click.argument("hosts", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--listen", default="127.0.0.1:0", help="host:port for operators; port 0: any free port.")
@click.option(
    "--window",
    default=5.0,
    type=click.FloatRange(0.05),
    help="Seconds for which reports are gathered before each decision.",
)
@click.option(
    "--takeover",
    default=3.0,
    type=click.FloatRange(0.05),
    help="Seconds without a leader before this controller claims to lead.",
)
def serve(number: int, hosts: Path, listen: str, window: float, takeover: float) -> None:
    """Run controller NUMBER (unique, from 0) for the fleet in HOSTS until SIGTERM. HOSTS is a JSON list of
    objects with `name`, `zone` and `agent` (host:port). Prints its address as one JSON line.
    """
    signals = ProcessSignals(*STOP_SIGNALS)
    set_up(json_lines=True)
    controller = Controller(number, read_hosts(hosts), int(window * 1e6), int(takeover * 1e6))
    asyncio.run(run_until_stopped(controller, listen, signals))


async def _call_leader(controllers: tuple[str, ...], method: str, request: Any) -> pb.FleetState:
    """Return the answer of the leading controller; CallError with the last reason where none leads."""
    last_error = CallError(Code.UNAVAILABLE, "no controller was given")
    for address in controllers:
        channel = Channel(address, Options(connect_timeout=1_000_000))
        try:
            state = await call_unary(channel, method, request, pb.FleetState, _CALL_TIMEOUT_US)
            if state.leads:
                return state
            last_error = CallError(Code.FAILED_PRECONDITION, f"{address} does not act")
        except CallError as error:
            last_error = error
            if error.code in (Code.INVALID_ARGUMENT, Code.ABORTED):
                break
        finally:
            await channel.close()
    raise last_error


def _ask(controllers: tuple[str, ...], method: str, request: Any) -> pb.FleetState:
    """Call the leading controller; ClickException where none answers."""
    try:
        return asyncio.run(_call_leader(controllers, method, request))
    except CallError as error:
        raise click.ClickException(str(error)) from None


def _show(state: pb.FleetState, as_json: bool) -> dict[str, Any]:
    """Print the state of the fleet; returns the record of the rollout."""
    record, hosts = json.loads(state.record), json.loads(state.hosts)
    if as_json:
        click.echo(
            json.dumps({"epoch": state.epoch, "record": record, "hosts": hosts, "learnt": state.learnt})
        )
        return dict(record)
    stages = len(record["plan"]["stages"]) if record["plan"] else 0
    click.echo(
        f"rollout {record['number']}: {record['phase']}, stage {record['stage'] + 1} of {stages}: {record['reason']}"
        if record["number"]
        else f"no rollout yet; the baseline comes from {state.learnt} windows"
    )
    for name, host in sorted(hosts.items()):
        status_text = (
            "not heard of"
            if not host["heard"]
            else (
                f"{'ready' if host['ready'] else 'out'}, runs {host['release'] or 'nothing'}, died {host['died']}"
                + (f", {host['trouble']}" if host["trouble"] else "")
            )
        )
        click.echo(f"  {name} ({host['zone']}): {status_text}")
    return dict(record)


_controllers = click.option(
    "--controller",
    "controllers",
    multiple=True,
    required=True,
    help="host:port of a controller; repeat the option for each of them.",
)
_json = click.option("--json", "as_json", is_flag=True)


@fleet.command()
@_controllers
@_json
def status(controllers: tuple[str, ...], as_json: bool) -> None:
    """Show the current rollout, and the state of each host as the leading controller knows it."""
    _show(_ask(controllers, "Fleet/State", pb.StateRequest()), as_json)


@fleet.command()
@click.argument("plan", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--wait",
    is_flag=True,
    help="Show progress until the rollout ends. Exit code 0: done, 3: taken back (rolled back), 4: held.",
)
@_controllers
@_json
def start(plan: Path, wait: bool, controllers: tuple[str, ...], as_json: bool) -> None:
    """Start the rollout that PLAN, a JSON file, describes."""
    record = _show(_ask(controllers, "Fleet/Begin", pb.BeginRequest(plan=plan.read_text())), as_json)
    number, last_line = record["number"], ""
    while wait:
        try:
            state = asyncio.run(_call_leader(controllers, "Fleet/State", pb.StateRequest()))
        except CallError as error:
            state = None
            line = f"no controller leads at present ({error.text})"
        if state:
            record = json.loads(state.record)
            line = f"{record['phase']}, stage {record['stage'] + 1}: {record['reason']}"
        if line != last_line:
            click.echo(line, err=True)
            last_line = line
        if record["number"] != number or record["phase"] in _EXIT_CODE_BY_PHASE:
            sys.exit(_EXIT_CODE_BY_PHASE.get(record["phase"], 1))
        asyncio.run(asyncio.sleep(0.2))


def _add_rollout_command(name: str) -> None:
    @fleet.command(name, help=f"{name.capitalize()} the rollout in progress.")
    @_controllers
    @_json
    def send_command(controllers: tuple[str, ...], as_json: bool) -> None:
        _show(_ask(controllers, "Fleet/Say", pb.SayRequest(command=name)), as_json)


for _name in ("pause", "resume", "abort"):
    _add_rollout_command(_name)
