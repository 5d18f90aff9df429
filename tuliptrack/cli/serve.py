"""`tuliptrack serve`: runs a node until SIGTERM or SIGINT."""

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
    "--ready",
    is_flag=True,
    help="Print the address as one JSON line on standard output once the node serves.",
)
def serve(file: str, ready: bool) -> None:
    """Run a node with the settings in FILE. SIGTERM or SIGINT drains it: new requests are rejected, open ones
    may finish within the grace period. A second signal ends the grace period at once.
    """
    signals = ProcessSignals(*STOP_SIGNALS)
    config = load_config(file)
    set_up(config.json_log)
    try:
        asyncio.run(_run(config, ready, signals))
    except OSError as error:
        raise click.ClickException(f"{config.listen}: {error.strerror or error}") from None


async def _run(config: NodeConfig, ready: bool, signals: ProcessSignals) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_errors(loop)
    signals.attach(loop)
    for signal_number in STOP_SIGNALS:
        signals.handle(signal_number, stop.set)
    if stop.is_set():
        return
    node = Node(config)
    address = await node.start()
    if ready:
        click.echo(json.dumps({"address": address, "instance": node.instance}))
    await stop.wait()
    stop.clear()
    stopping = loop.create_task(node.stop())
    second_signal = loop.create_task(stop.wait())
    await asyncio.wait({stopping, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        node.end_grace_period()
    second_signal.cancel()
    await stopping
    signals.block()
