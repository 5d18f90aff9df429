"""`tuliptrack serve`: run a node until it is told to stop."""

from __future__ import annotations

import asyncio
import json

import click

from tuliptrack.cli.errors import load_config
from tuliptrack.config.node import NodeConfig
from tuliptrack.node.logs import set_up
from tuliptrack.node.node import Node
from tuliptrack.rpc.loop_errors import log_loop_errors
from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals

__all__ = ["serve"]


@click.command()
@click.argument("file", type=click.Path())
@click.option(
    "--ready", is_flag=True, help="Print one JSON line with the address on standard output once serving."
)
def serve(file: str, ready: bool) -> None:
    """Serve with the settings in FILE. SIGTERM or SIGINT: drain, refuse, end; a second one: end now."""
    signals = ProcessSignals(*STOP_SIGNALS)
    found = load_config(file)
    set_up(found.json_log)
    try:
        asyncio.run(_run(found, ready, signals))
    except OSError as error:
        raise click.ClickException(f"{found.listen}: {error.strerror or error}") from None


async def _run(found: NodeConfig, ready: bool, signals: ProcessSignals) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_errors(loop)
    signals.attach(loop)
    for name in STOP_SIGNALS:
        signals.handle(name, stop.set)
    if stop.is_set():
        return
    node = Node(found)
    address = await node.start()
    if ready:
        click.echo(json.dumps({"address": address, "instance": node.instance}))
    await stop.wait()
    stop.clear()
    ending = loop.create_task(node.stop())
    again = loop.create_task(stop.wait())
    await asyncio.wait({ending, again}, return_when=asyncio.FIRST_COMPLETED)
    if not ending.done():
        node.server.end_grace_period()
    again.cancel()
    await ending
    signals.block()
