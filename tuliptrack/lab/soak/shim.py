"""Failing system calls and a stepping wall clock inside a node of a soak, or of a test.

`FaultySocket` takes the place of `socket.socket` for the whole process: one layer that every socket goes
through, which is told what fails, how and when. The clock's shim adds the steps so far to `time.time` and
`time.time_ns`; monotonic time is left alone.
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
_BREAKS = 0.1
"""Share of the failures at an open connection that break it; the others make a read or a write short."""


@dataclass
class CallFaults:
    """What fails now. `share` of the calls fail; 0: none."""

    share: float = 0.0
    create: tuple[int, ...] = _CREATE
    accept: tuple[int, ...] = _ACCEPT
    connect: tuple[int, ...] = _CONNECT
    broken: tuple[int, ...] = _BROKEN
    close: tuple[int, ...] = _CLOSE
    shutdown: tuple[int, ...] = _SHUTDOWN
    interrupts: bool = True
    """Whether waits return early."""
    random: random.Random = field(default_factory=lambda: random.Random(7))
    failed: int = 0

    def strikes(self) -> bool:
        """Whether the call at hand fails."""
        return self.share > 0 and self.random.random() < self.share

    def fail(self, among: tuple[int, ...]) -> None:
        """Raise one of these errors."""
        self.failed += 1
        number = self.random.choice(among)
        raise OSError(number, os.strerror(number))


class FaultySocket(socket.socket):
    """A socket whose calls fail as it is told."""

    faults = CallFaults()
    """Of all sockets of the process."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        """With a descriptor at hand there is no call that could fail."""
        if fileno is None and self.faults.create and self.faults.strikes():
            self.faults.fail(self.faults.create)
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        if self.faults.accept and self.faults.strikes():
            self.faults.fail(self.faults.accept)
        return super().accept()

    def connect(self, address: Any) -> None:
        if self.faults.connect and self.faults.strikes():
            self.faults.fail(self.faults.connect)
        super().connect(address)

    def recv(self, size: int, *flags: int) -> bytes:
        if self.type & socket.SOCK_STREAM and self.faults.strikes():
            if self.faults.broken and self._outgoing() and self.faults.random.random() < _BREAKS:
                self.faults.fail(self.faults.broken)
            size = max(size // 64, 1)
        return super().recv(size, *flags)

    def send(self, data: Any, *flags: int) -> int:
        if self.faults.strikes():
            data = bytes(data[: max(len(data) // 2, 1)])
        return super().send(data, *flags)

    def shutdown(self, how: int) -> None:
        if self.faults.shutdown and self.faults.strikes():
            self.faults.fail(self.faults.shutdown)
        super().shutdown(how)

    def close(self) -> None:
        """As on Linux, the descriptor is free whatever the call says."""
        fails = (
            self.fileno() >= 0 and self.family != socket.AF_UNIX
        )  # asyncio's own pair of sockets is none of the program's
        super().close()
        if fails and self.faults.close and self.faults.strikes():
            self.faults.fail(self.faults.close)

    def _outgoing(self) -> bool:
        """Whether this process opened the connection: a client's connection that breaks is no fault of the
        node's.
        """
        if self.family == socket.AF_UNIX:  # asyncio's own pair
            return False
        try:
            return int(self.getsockname()[1]) != _listens_at()
        except OSError:
            return False


class FaultySelector(selectors.DefaultSelector):
    """Waits that a signal interrupts: asyncio's selectors take EINTR for a wait in which nothing has come."""

    def select(self, timeout: float | None = None) -> Any:
        if FaultySocket.faults.interrupts and FaultySocket.faults.strikes():
            FaultySocket.faults.failed += 1
            return []
        return super().select(timeout)


def _listens_at() -> int:
    return int(os.environ.get("SOAK_LISTEN", "0"))


def step_wall_clock(offset: Callable[[], float]) -> None:
    """From now on the wall clock goes wrong by so many seconds."""
    right, right_ns = time.time, time.time_ns
    time.time = lambda: right() + offset()
    time.time_ns = lambda: right_ns() + int(offset() * 1e9)


def install_from_environment() -> None:
    """Called as the process of a node starts, by its `sitecustomize`."""
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
            def strikes(self) -> bool:
                now = time.monotonic() - world.began
                self.share = max((call.amount for call in calls if call.at <= now < call.until), default=0.0)
                return super().strikes()

        FaultySocket.faults = _Scheduled(random=random.Random(f"{world.schedule.seed} {node}"))
        socket.socket = FaultySocket  # type: ignore[misc]
        selectors.DefaultSelector = FaultySelector  # type: ignore[misc]
