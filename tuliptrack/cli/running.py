"""Run something that listens until the process is told to stop."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol

from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals

__all__ = ["run_until_told"]


class _Listens(Protocol):
    async def start(self, host: str, port: int) -> str: ...

    async def stop(self) -> None: ...


async def run_until_told(one: _Listens, listen: str, signals: ProcessSignals, **more: str) -> None:
    """Start it at host:port, print one JSON line with its address and `more`, and stop it at SIGTERM or
    SIGINT. One that has come already: nothing is started.

    Args:
        one: What is run.
        listen: host:port.
        signals: Made as the program began, so that none is lost.
        **more: Further values of the line.
    """
    stop = asyncio.Event()
    signals.attach(asyncio.get_running_loop())
    for number in STOP_SIGNALS:
        signals.handle(number, stop.set)
    if stop.is_set():
        return
    host, _, port = listen.rpartition(":")
    address = await one.start(host, int(port))
    print(json.dumps({"address": address, **more}), flush=True)
    await stop.wait()
    await one.stop()
    signals.block()
