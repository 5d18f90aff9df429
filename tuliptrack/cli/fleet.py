"""`tuliptrack fleet`: controllers, and what operators say to them."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click

from tuliptrack.cli.running import run_until_told
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

_ANSWER_US = 5_000_000
_ENDED = {"done": 0, "taken back": 3, "held": 4}  # exit codes of `start --wait`


@click.group()
def fleet() -> None:
    """Rolling changes of a fleet's nodes."""


def read_hosts(path: Path) -> tuple[Host, ...]:
    """Hosts from a JSON file; a ClickException names what can't be used."""
    try:
        hosts = tuple(Host(**row) for row in json.loads(path.read_text()))
    except (OSError, ValueError, TypeError) as error:
        raise click.ClickException(f"{path}: {error}") from None
    if not hosts or len({h.name for h in hosts}) != len(hosts):
        raise click.ClickException(f"{path}: hosts: at least one, each name once")
    return hosts


@fleet.command()
@click.argument("number", type=click.IntRange(0, MAX_CONTROLLERS - 1))
@click.argument("hosts", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--listen", default="127.0.0.1:0", help="host:port for operators; port 0: the kernel chooses.")
@click.option(
    "--window", default=5.0, type=click.FloatRange(0.05), help="Seconds of reports between decisions."
)
@click.option(
    "--takeover",
    default=3.0,
    type=click.FloatRange(0.05),
    help="Seconds without a leader before this one claims.",
)
def serve(number: int, hosts: Path, listen: str, window: float, takeover: float) -> None:
    """Run controller NUMBER (each another one, from 0) for the fleet in HOSTS until SIGTERM. HOSTS is a JSON
    list of objects with `name`, `zone` and `agent` (host:port). Prints one JSON line with the address.
    """
    signals = ProcessSignals(*STOP_SIGNALS)
    set_up(json_lines=True)
    one = Controller(number, read_hosts(hosts), int(window * 1e6), int(takeover * 1e6))
    asyncio.run(run_until_told(one, listen, signals))


async def _first(controllers: tuple[str, ...], method: str, question: Any) -> pb.FleetState:
    """The answer of the controller that acts; Unanswered with the last reason where none does."""
    last = CallError(Code.UNAVAILABLE, "no controller was named")
    for address in controllers:
        channel = Channel(address, Options(connect_timeout=1_000_000))
        try:
            state = await call_unary(channel, method, question, pb.FleetState, _ANSWER_US)
            if state.leads:
                return state
            last = CallError(Code.FAILED_PRECONDITION, f"{address} does not act")
        except CallError as error:
            last = error
            if error.code in (Code.INVALID_ARGUMENT, Code.ABORTED):
                break
        finally:
            await channel.close()
    raise last


def _ask(controllers: tuple[str, ...], method: str, question: Any) -> pb.FleetState:
    try:
        return asyncio.run(_first(controllers, method, question))
    except CallError as error:
        raise click.ClickException(str(error)) from None


def _show(state: pb.FleetState, as_json: bool) -> dict[str, Any]:
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
        else f"no rollout yet; what is usual is known from {state.learnt} windows"
    )
    for name, host in sorted(hosts.items()):
        what = (
            "not heard of"
            if not host["heard"]
            else (
                f"{'ready' if host['ready'] else 'out'}, runs {host['release'] or 'nothing'}, died {host['died']}"
                + (f", {host['trouble']}" if host["trouble"] else "")
            )
        )
        click.echo(f"  {name} ({host['zone']}): {what}")
    return dict(record)


_controllers = click.option(
    "--controller", "controllers", multiple=True, required=True, help="host:port; name all."
)
_json = click.option("--json", "as_json", is_flag=True)


@fleet.command()
@_controllers
@_json
def status(controllers: tuple[str, ...], as_json: bool) -> None:
    """What the controller that acts has decided, and what it knows of each host."""
    _show(_ask(controllers, "Fleet/State", pb.StateRequest()), as_json)


@fleet.command()
@click.argument("plan", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--wait",
    is_flag=True,
    help="Show progress until it has ended. Exit code 0: done, 3: taken back, 4: held.",
)
@_controllers
@_json
def start(plan: Path, wait: bool, controllers: tuple[str, ...], as_json: bool) -> None:
    """Begin the rollout in PLAN, a JSON file."""
    record = _show(_ask(controllers, "Fleet/Begin", pb.BeginRequest(plan=plan.read_text())), as_json)
    number, told = record["number"], ""
    while wait:
        try:
            state = asyncio.run(_first(controllers, "Fleet/State", pb.StateRequest()))
        except CallError as error:
            state = None
            line = f"no controller acts just now ({error.text})"
        if state:
            record = json.loads(state.record)
            line = f"{record['phase']}, stage {record['stage'] + 1}: {record['reason']}"
        if line != told:
            click.echo(line, err=True)
            told = line
        if record["number"] != number or record["phase"] in _ENDED:
            sys.exit(_ENDED.get(record["phase"], 1))
        asyncio.run(asyncio.sleep(0.2))


def _say(word: str) -> None:
    @fleet.command(word, help=f"Tell the rollout under way to {word}.")
    @_controllers
    @_json
    def said(controllers: tuple[str, ...], as_json: bool) -> None:
        _show(_ask(controllers, "Fleet/Say", pb.SayRequest(command=word)), as_json)


for _word in ("pause", "resume", "abort"):
    _say(_word)
