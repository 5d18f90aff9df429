"""Processes of nodes, in `/proc`: started by this agent, or left running by an earlier one.

A node runs in a session of its own, so it keeps running when the agent ends. Its environment holds a mark
with the host's folder and the release, by which the next agent finds it, whenever the earlier one ended.
"""

from __future__ import annotations

import os
import subprocess
from dataclasses import dataclass
from pathlib import Path

from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.fleet.host_folder import HostFolder

__all__ = ["NodeProcess", "find_node", "start_node"]

MARK_VARIABLE = "TULIPTRACK_HOST"
"""In a node's environment: the host's folder, the program and the settings."""
MARK_SEPARATOR = "|"
PROC = Path("/proc")
STATE_FIELD = 0
START_TIME_FIELD = 19
"""Positions in `/proc/PID/stat`, counted after the process name."""
ZOMBIE = "Z"


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """One process of a node."""

    pid: int
    start_time: str
    """By the kernel's clock; if it differs, the pid was reused by another process."""
    release: NodeRelease
    child: subprocess.Popen[bytes] | None = None
    """Handle of the process, if this agent started it; None if an earlier agent did."""

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        if self.child:
            self.child.poll()  # Otherwise it would remain as a zombie.
        return _start_time(self.pid) == self.start_time


def find_node(root: Path) -> NodeProcess | None:
    """Return the node that an earlier agent started for this folder, if it still runs."""
    for entry in PROC.iterdir():
        if not entry.name.isdigit():
            continue
        try:
            release = _release_of(entry, root)
            pid = int(entry.name)
            start_time = _start_time(pid)
            if release and os.getsid(pid) == pid and start_time:
                return NodeProcess(pid, start_time, release)
        except (OSError, ValueError):
            continue  # Another user's process, or one that has ended meanwhile.
    return None


def _release_of(entry: Path, root: Path) -> NodeRelease | None:
    """Return the release in the mark of a process, or None if that is no node of this folder."""
    prefix = f"{MARK_VARIABLE}={root}{MARK_SEPARATOR}".encode()
    variables = (entry / "environ").read_bytes().split(b"\0")
    marks = [variable for variable in variables if variable.startswith(prefix)]
    if not marks:
        return None
    _, program, settings = marks[0].decode().split(MARK_SEPARATOR)
    return NodeRelease(program, settings)


def _start_time(pid: int) -> str:
    """Return when a process started, by the kernel's clock; empty if there is none or it has ended."""
    try:
        fields = (PROC / str(pid) / "stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[STATE_FIELD] == ZOMBIE else fields[START_TIME_FIELD]


def start_node(folder: HostFolder, release: NodeRelease) -> NodeProcess:
    """Start a node.

    Raises:
        OSError: It could not be started.
    """
    mark = MARK_SEPARATOR.join((str(folder.root), release.program, release.settings))
    with open(folder.node_output, "wb") as output, open(folder.node_log, "ab") as node_log:
        child = subprocess.Popen(
            [str(folder.program(release)), str(folder.settings(release))],
            stdout=output,
            stderr=node_log,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
            env={**os.environ, MARK_VARIABLE: mark},
        )
    return NodeProcess(child.pid, _start_time(child.pid), release, child)
