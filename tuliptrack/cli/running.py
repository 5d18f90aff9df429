"""Run something that listens until the process is told to stop."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Protocol

__all__ = ["run_until_told"]


class _Listens(Protocol):
    async def start(self, host: str, port: int) -> str: ...

    async def stop(self) -> None: ...


async def run_until_told(one: _Listens, listen: str, **more: str) -> None:
    """Start it at host:port, print one JSON line with its address and `more`, and stop it at SIGTERM or
    SIGINT.
    """
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    host, _, port = listen.rpartition(":")
    address = await one.start(host, int(port))
    print(json.dumps({"address": address, **more}), flush=True)
    await stop.wait()
    await one.stop()
