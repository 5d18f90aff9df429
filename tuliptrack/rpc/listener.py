"""A listening socket that recovers from every error of `accept`.

asyncio's own server stops accepting for a whole second if the system lacks a resource for a connection, and
logs a traceback for each `accept` that fails in another way. Here a failed `accept` is retried after
`_RETRY_DELAY_S`, without a limit; the first failure and the recovery are logged with one line each.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections.abc import Callable

import structlog

__all__ = ["ACCEPTED_AT_ONCE", "Listener"]

log = structlog.get_logger("rpc.listener")
ACCEPTED_AT_ONCE = 8
"""Number of connections that are accepted in one iteration of the loop, before any of them is checked against
a limit. The number is small so that a flood can't exceed the bound on descriptors."""
_BACKLOG = 1_024  # connections that the kernel queues
_RETRY_DELAY_S = 0.02
_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    }
)
"""Errors of the connection being accepted, which has failed already; Linux reports them by `accept`. The next
connection is accepted immediately; accepting pauses after `ACCEPTED_AT_ONCE` such errors in a row."""


def _close(sock: socket.socket) -> None:
    """Close a socket. Linux frees its descriptor even if the call fails."""
    with contextlib.suppress(OSError):
        sock.close()


class Listener:
    """Accepts connections and gives each a protocol from `factory`. `close` ends it and all its tasks.

    Bound: `ACCEPTED_AT_ONCE` connections in one iteration of the loop; the protocols limit the number of open
    connections.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.BaseProtocol]) -> None:
        self._loop, self._factory = loop, factory
        self._socket: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed = 0
        """Number of failed calls of `accept` since a connection was last accepted."""

    def start(self, host: str, port: int) -> str:
        """Listen; return host:port, with the port that the kernel chose for port 0."""
        self._socket = socket.create_server((host, port), backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept)
        name = self._socket.getsockname()
        return f"{name[0]}:{name[1]}"

    def _accept(self) -> None:
        assert self._socket
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._note_failure(error)
                if error.errno not in _CONNECTION_ERRORS:
                    self._pause()
                    return
                continue
            self._note_success()
            self._start_connection(connection)
        if self.failed >= ACCEPTED_AT_ONCE:
            self._pause()

    def _start_connection(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        # The connection may have ended meanwhile. asyncio handles that only for connections of its own
        # listeners.
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._hand_over(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hand_over(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError:
            _close(connection)  # The connection has ended meanwhile.

    def _pause(self) -> None:
        """Stop accepting for `_RETRY_DELAY_S`, as the system lacks resources.

        The socket stays readable while `accept` fails, so the loop would otherwise call it without a pause.
        """
        assert self._socket
        self._loop.remove_reader(self._socket)
        self._resume_timer = self._loop.call_later(_RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        if self._socket:
            self._loop.add_reader(self._socket, self._accept)
            self._accept()

    def _note_failure(self, error: OSError) -> None:
        if not self.failed:
            log.warning("connections can't be accepted", reason=os.strerror(error.errno or 0))
        self.failed += 1

    def _note_success(self) -> None:
        if self.failed:
            log.info("connections are accepted again", failed=self.failed)
            self.failed = 0

    async def close(self) -> None:
        """Accept no more connections."""
        if self._resume_timer:
            self._resume_timer.cancel()
            self._resume_timer = None
        if self._socket:
            self._loop.remove_reader(self._socket)
            _close(self._socket)
            self._socket = None
        if self._tasks:
            await asyncio.wait(self._tasks)
