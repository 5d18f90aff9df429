"""Starts a node as a process, with the `run` command of the deploy file, as the platform does. System calls
that the platform denies end the process."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from relay_harness import SETTINGS

__all__ = ["CLOSED", "ROOT", "Node", "settings_text", "spawn_node", "start_node"]

ROOT = Path(__file__).resolve().parents[1]
CLOSED = -100
"""Value instead of a descriptor, with which the process starts with standard error closed."""
# Code that runs at the start of a node's process: each call that the platform denies to a node ends the
# process.
DENIED_CALLS = """
import os, sys
def deny(event, args):
    unix = event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple)
    if unix or event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"):
        os.write(2, f"denied: {event}\\n".encode())
        os._exit(99)
sys.addaudithook(deny)
for name in ("sendfile", "splice", "copy_file_range"):
    setattr(os, name, lambda *a, name=name: deny("os.system", ()))
"""


class Node:
    """The process of a node that serves. Its log is read continuously, since a full pipe would block the
    process.
    """

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self.process, self.address = process, address
        self.log: list[str] = []
        self._reading = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        assert self.process.stderr
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading


def settings_text(agent: str, **changes: Any) -> str:
    """Return the text of a settings file."""
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": agent,
            "seed": "1",
            "settings": SETTINGS,
            "limits": {"memory_mb": 128, "sockets": 256},
            "known": {"revision": 0, "complete": True, "members": []},
            **changes,
        }
    )


async def spawn_node(
    path: Path,
    settings: str,
    standard_error: int,
    shim: str = "",
    environment: Mapping[str, str] | None = None,
    descriptors: int = 0,
) -> asyncio.subprocess.Process:
    """Start a node's process with the given settings; the node may not serve yet when this function returns.

    `standard_error` is a descriptor, PIPE or CLOSED. `shim` is Python code that runs at the start of the
    process. `descriptors` is the system's limit on the open descriptors of the process, or 0 for the usual
    limit.
    """
    path.write_text(settings)
    (path.parent / "sitecustomize.py").write_text(DENIED_CALLS + shim)
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
        ".venv/bin/python", sys.executable
    )
    limit = f"ulimit -n {descriptors}; " if descriptors else ""
    closed = standard_error == CLOSED
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        limit + ("exec 2>&-; " if closed else "") + command,
        stderr=asyncio.subprocess.DEVNULL if closed else standard_error,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(path.parent), **(environment or {})},
    )


async def start_node(agent: str, path: Path, descriptors: int = 0, **changes: Any) -> Node:
    """Start a node with the given settings and return it once it serves; `descriptors` as in `spawn_node`."""
    process = await spawn_node(
        path, settings_text(agent, **changes), asyncio.subprocess.PIPE, descriptors=descriptors
    )
    assert process.stderr
    log = []
    while line := (await process.stderr.readline()).decode():
        log.append(line)
        if "serving" in line:
            return Node(process, line.split("address=")[1].split()[0])
    raise AssertionError(f"the node has ended before it served: {log}")
