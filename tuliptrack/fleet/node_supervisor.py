"""Keeps the node of one host running: starts it, restarts it with backoff, replaces it by another release.

The supervisor polls the process at short intervals. It makes no decisions: `run_release` sets the release
that has to run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from dataclasses import dataclass

import structlog

from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.fleet.host_folder import HostFolder
from tuliptrack.fleet.node_process import NodeProcess, find_node, start_node
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.loop_errors import log_fault
from tuliptrack.rpc.periodic import run_periodically

__all__ = ["NodeSupervisor"]

log = structlog.get_logger("agent")
POLL_INTERVAL_S = 0.05
TERMINATION_GRACE_S = 10.0
"""From SIGTERM to SIGKILL. A node that ignores SIGTERM would otherwise block all later releases."""
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0


@dataclass(slots=True)
class _RestartBackoff:
    """When a node may be started again: the delay doubles with each failure in a row, up to a maximum."""

    delay_s: float = 0.0
    """Delay after the last failure; 0 if the last start did not fail."""
    not_before_s: float = 0.0

    def record_failure(self, now_s: float) -> None:
        self.delay_s = min(max(2 * self.delay_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
        self.not_before_s = now_s + self.delay_s

    def reset(self) -> None:
        self.delay_s, self.not_before_s = 0.0, 0.0


class NodeSupervisor:
    """One host's node. `find`, then `watch` for as long as the agent runs."""

    def __init__(self, folder: HostFolder, release: NodeRelease) -> None:
        """Prepare to run `release`; nothing is started yet."""
        self.fault = ""
        """Why the last start or step failed, for operators; empty once a start succeeds."""
        self.step_errors = 0
        """Steps of `watch` that failed by a fault of this program."""
        self.address = ""
        """host:port of the node, once it is ready."""
        self.ready_at_us = 0
        """Since when the node has been ready; 0 while it is not."""
        self.unexpected_exits = 0
        self._folder, self._release = folder, release
        self._node: NodeProcess | None = None
        self._stopping_at_s = 0.0
        """When the node was sent SIGTERM; 0 if it was not."""
        self._backoff = _RestartBackoff()

    @property
    def pid(self) -> int:
        """The node's process; 0 if there is none."""
        return self._node.pid if self._node else 0

    @property
    def running(self) -> NodeRelease | None:
        """The release that runs, ready or not."""
        return self._node.release if self._node else None

    def run_release(self, release: NodeRelease) -> None:
        """Run this release from now on; it is started without any backoff from earlier failures."""
        self._release = release
        self._backoff.reset()

    def find(self) -> None:
        """Take over the node that an earlier agent left running, if there is one."""
        self._node = find_node(self._folder.root)
        if self._node:
            log.info("node found", pid=self._node.pid, release=self._node.release.name)

    async def watch(self) -> None:
        """Keep the node running until cancelled, which leaves it as it is."""
        loop = asyncio.get_running_loop()
        await run_periodically(
            "watch of the node", POLL_INTERVAL_S, lambda: self._step(loop.time()), self._record_step_error
        )

    def _record_step_error(self, _name: str, error: Exception) -> None:
        if not self.step_errors:  # Each step may raise it, twenty times a second.
            log_fault(error)
        self.step_errors += 1
        self.fault = f"agent: {type(error).__name__}: {error}"

    def _step(self, now_s: float) -> None:
        if self._node and not self._node.is_running():
            self._handle_exit(self._node, now_s)
        if not self._node:
            if now_s >= self._backoff.not_before_s:
                self._start(now_s)
        elif self._stopping_at_s:
            if now_s - self._stopping_at_s > TERMINATION_GRACE_S:
                _send(self._node, signal.SIGKILL)
        elif self._node.release != self._release:
            self._begin_replacement(self._node, now_s)
        elif not self.ready_at_us:
            self._check_readiness()

    def _handle_exit(self, node: NodeProcess, now_s: float) -> None:
        is_unexpected = not self._stopping_at_s
        log.info("node ended", pid=node.pid, unexpected=is_unexpected)
        self._node, self._stopping_at_s = None, 0.0
        self.ready_at_us, self.address = 0, ""
        if is_unexpected:
            self.unexpected_exits += 1
            self._backoff.record_failure(now_s)
        else:
            self._backoff.reset()

    def _begin_replacement(self, node: NodeProcess, now_s: float) -> None:
        log.info("node replaced", old=node.release.name, new=self._release.name)
        self._stopping_at_s, self.ready_at_us = now_s, 0
        self._backoff.reset()
        _send(node, signal.SIGTERM)

    def _check_readiness(self) -> None:
        """Read the line that the node prints once it is ready; before, it is missing or incomplete."""
        with contextlib.suppress(OSError, ValueError, KeyError, TypeError):
            self.address = str(json.loads(self._folder.node_output.read_text())["address"])
            self.ready_at_us = now_us()
            self._backoff.reset()
            log.info("node ready", address=self.address)

    def _start(self, now_s: float) -> None:
        if missing := self._folder.missing(self._release):
            self.fault = missing
            return
        try:
            self._node = start_node(self._folder, self._release)
            self.fault = ""
            log.info("node started", pid=self._node.pid, release=self._release.name)
        except OSError as error:
            self.fault = f"{self._folder.program(self._release)}: {error.strerror or error}"
            self._backoff.record_failure(now_s)


def _send(node: NodeProcess, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(node.pid, number)
