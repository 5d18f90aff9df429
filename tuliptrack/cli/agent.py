"""`tuliptrack agent`: run and supervise the node of one host."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from tuliptrack.cli.running import run_until_stopped
from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.fleet.agent import Agent
from tuliptrack.node.logs import set_up
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals
from tuliptrack.store.sealed import SealedError

__all__ = ["agent"]


@click.command()
@click.argument("host")
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.option("--program", required=True, help="Digest of the program to run before any release was ordered.")
@click.option("--settings", required=True, help="Digest of the settings for that program.")
@click.option("--listen", default="127.0.0.1:0", help="host:port for controllers; port 0: any free port.")
def agent(host: str, folder: Path, program: str, settings: str, listen: str) -> None:
    """Run the node of HOST from FOLDER until SIGTERM, which stops the agent but not the node. Prints the
    agent's address as one JSON line.
    """
    signals = ProcessSignals(*STOP_SIGNALS)
    set_up(json_lines=True)
    try:
        host_agent = Agent(host, folder, NodeRelease(program, settings))
        asyncio.run(run_until_stopped(host_agent, listen, signals, life=host_agent.incarnation))
    except (SealedError, OSError) as error:
        raise click.ClickException(str(error)) from None
