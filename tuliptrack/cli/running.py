"""Runs a server until the process gets SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol

from tuliptrack.rpc.process_signals import STOP_SIGNALS, ProcessSignals

__all__ = ["run_until_stopped"]


class _Server(Protocol):
    """Something that listens on an address; `start` returns it as host:port."""

    async def start(self, host: str, port: int) -> str: ...

    async def stop(self) -> None: ...


async def run_until_stopped(server: _Server, listen: str, signals: ProcessSignals, **more: str) -> None:
    """Start a server, print its address as one JSON line, and stop it at SIGTERM or SIGINT.

    Nothing is started if such a signal has come before.

    Args:
        server: The server to run.
        listen: host:port to listen on.
        signals: The signals of the process, created when the program started, so that none is lost.
        **more: Further members of the JSON line.
    """
    stop = asyncio.Event()
    signals.attach(asyncio.get_running_loop())
    for signal_number in STOP_SIGNALS:
        signals.handle(signal_number, stop.set)
    if stop.is_set():
        return
    host, _, port = listen.rpartition(":")
    address = await server.start(host, int(port))
    print(json.dumps({"address": address, **more}), flush=True)
    await stop.wait()
    await server.stop()
    signals.block()
