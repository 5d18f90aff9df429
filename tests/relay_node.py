"""The deploy file's `run` as a process, as the platform starts it; what the platform refuses ends it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from relay_world import SETTINGS

__all__ = ["CLOSED", "ROOT", "Node", "spawn_node", "start_node", "told"]

ROOT = Path(__file__).resolve().parents[1]
CLOSED = -100
"""In the place of a descriptor: the process has no standard error at all."""
# What the whole fleet's platform refuses a node, each made to end it at once.
REFUSED = """
import os, sys
def refuse(event, args):
    unix = event in ("socket.bind", "socket.connect") and not isinstance(args[1], tuple)
    if unix or event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"):
        os.write(2, f"refused: {event}\\n".encode())
        os._exit(99)
sys.addaudithook(refuse)
for name in ("sendfile", "splice", "copy_file_range"):
    setattr(os, name, lambda *a, name=name: refuse("os.system", ()))
"""


class Node:
    """One process that serves. Its log is read, lest a full pipe stop it."""

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


def told(agent: str, **changes: Any) -> str:
    """A settings file."""
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
    """A node's process with these settings, which may not serve yet. `standard_error`: a descriptor, PIPE or
    CLOSED; `shim`: what else is run as it starts; `descriptors`: the system's limit on them, 0 for the usual
    one.
    """
    path.write_text(settings)
    (path.parent / "sitecustomize.py").write_text(REFUSED + shim)
    line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"].replace(
        ".venv/bin/python", sys.executable
    )
    limit = f"ulimit -n {descriptors}; " if descriptors else ""
    closed = standard_error == CLOSED
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        limit + ("exec 2>&-; " if closed else "") + line,
        stderr=asyncio.subprocess.DEVNULL if closed else standard_error,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(path.parent), **(environment or {})},
    )


async def start_node(agent: str, path: Path, descriptors: int = 0, **changes: Any) -> Node:
    """A node with these settings, once it serves; with so many descriptors at most by the system."""
    process = await spawn_node(path, told(agent, **changes), asyncio.subprocess.PIPE, descriptors=descriptors)
    assert process.stderr
    said = []
    while text := (await process.stderr.readline()).decode():
        said.append(text)
        if "serving" in text:
            return Node(process, text.split("address=")[1].split()[0])
    raise AssertionError(f"it never served: {said}")
