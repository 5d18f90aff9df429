"""Injects failing system calls and steps of the wall clock into the process of a node, in a soak or a test.

`FaultySocket` replaces `socket.socket` in the whole process, so that the calls of every socket can be made to
fail. The clock shim adds the steps so far to `time.time` and `time.time_ns`; monotonic time is not changed.
"""

from __future__ import annotations

import errno
import os
import random
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import World

__all__ = ["CallFaults", "FaultySelector", "FaultySocket", "install_from_environment", "step_wall_clock"]

_CREATE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_ACCEPT = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
_CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
_CLOSE = (errno.EINTR, errno.EIO)
_SHUTDOWN = (errno.ENOTCONN, errno.ENOBUFS)
_BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
_BREAK_SHARE = 0.1
"""Share of the failures on an open connection that break it. The others shorten a read or a write."""


@dataclass
class CallFaults:
    """Which errors calls fail with. `share` is the share of calls that fail; 0: none."""

    share: float = 0.0
    create: tuple[int, ...] = _CREATE
    accept: tuple[int, ...] = _ACCEPT
    connect: tuple[int, ...] = _CONNECT
    broken: tuple[int, ...] = _BROKEN
    close: tuple[int, ...] = _CLOSE
    shutdown: tuple[int, ...] = _SHUTDOWN
    interrupts: bool = True
    """Whether the selector's waits may return early."""
    random: random.Random = field(default_factory=lambda: random.Random(7))
    failed: int = 0

    def should_fail(self) -> bool:
        """Decide at random whether the current call fails."""
        return self.share > 0 and self.random.random() < self.share

    def fail(self, among: tuple[int, ...]) -> None:
        """Raise an OSError with one of these error numbers."""
        self.failed += 1
        number = self.random.choice(among)
        raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail as `faults` says."""

    faults = CallFaults()
    """Shared by all sockets of the process."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        """Given a descriptor, there is no system call that could fail."""
        if fileno is None and self.faults.create and self.faults.should_fail():
            self.faults.fail(self.faults.create)
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        if self.faults.accept and self.faults.should_fail():
            self.faults.fail(self.faults.accept)
        return super().accept()

    def connect(self, address: Any) -> None:
        if self.faults.connect and self.faults.should_fail():
            self.faults.fail(self.faults.connect)
        super().connect(address)

    def recv(self, size: int, *flags: int) -> bytes:
        if self.type & socket.SOCK_STREAM and self.faults.should_fail():
            if self.faults.broken and self._is_outgoing() and self.faults.random.random() < _BREAK_SHARE:
                self.faults.fail(self.faults.broken)
            size = max(size // 64, 1)
        return super().recv(size, *flags)

    def send(self, data: Any, *flags: int) -> int:
        if self.faults.should_fail():
            data = bytes(data[: max(len(data) // 2, 1)])
        return super().send(data, *flags)

    def shutdown(self, how: int) -> None:
        if self.faults.shutdown and self.faults.should_fail():
            self.faults.fail(self.faults.shutdown)
        super().shutdown(how)

    def close(self) -> None:
        """As on Linux, the descriptor is freed even if the call fails."""
        may_fail = (
            self.fileno() >= 0 and self.family != socket.AF_UNIX
        )  # asyncio's own socket pair does not belong to the program
        super().close()
        if may_fail and self.faults.close and self.faults.should_fail():
            self.faults.fail(self.faults.close)

    def _is_outgoing(self) -> bool:
        """Whether this process opened the connection. Only such connections are broken: a broken client connection is
        not the node's fault.
        """
        if self.family == socket.AF_UNIX:  # asyncio's own socket pair
            return False
        try:
            return int(self.getsockname()[1]) != _listen_port()
        except OSError:
            return False


class FaultySelector(selectors.DefaultSelector):
    """A selector whose waits are interrupted as by a signal: asyncio's selectors treat EINTR as no events."""

    def select(self, timeout: float | None = None) -> Any:
        if FaultySocket.faults.interrupts and FaultySocket.faults.should_fail():
            FaultySocket.faults.failed += 1
            return []
        return super().select(timeout)


def _listen_port() -> int:
    return int(os.environ.get("SOAK_LISTEN", "0"))


def step_wall_clock(offset: Callable[[], float]) -> None:
    """Shift the wall clock by `offset()` seconds from now on."""
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + offset()
    time.time_ns = lambda: real_time_ns() + int(offset() * 1e9)


def install_from_environment() -> None:
    """Install the faults of this node. Called from `sitecustomize` when the process of a node starts."""
    world, node = World.read(Path(os.environ["SOAK_WORLD"])), os.environ["SOAK_NODE"]
    faults = [fault for fault in world.schedule.faults if fault.target == node]
    steps = [fault for fault in faults if fault.kind is FaultKind.CLOCK_STEP]
    calls = [fault for fault in faults if fault.kind is FaultKind.SYSTEM_CALLS]
    if steps:
        step_wall_clock(
            lambda: sum(step.amount for step in steps if time.monotonic() >= world.began + step.at)
        )
    if calls:

        class _Scheduled(CallFaults):
            def should_fail(self) -> bool:
                now = time.monotonic() - world.began
                self.share = max((call.amount for call in calls if call.at <= now < call.until), default=0.0)
                return super().should_fail()

        FaultySocket.faults = _Scheduled(random=random.Random(f"{world.schedule.seed} {node}"))
        socket.socket = FaultySocket  # type: ignore[misc]
        selectors.DefaultSelector = FaultySelector  # type: ignore[misc]
