"""The kernel's state of a TCP connection, which may be ahead of what the event loop has read."""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import termios

__all__ = ["has_unread", "is_closed_by_peer", "is_established", "set_nodelay"]

_ESTABLISHED = 1
_ENDED = frozenset({6, 7, 8, 9, 11})  # TIME_WAIT, CLOSE (after a reset), CLOSE_WAIT, LAST_ACK, CLOSING


def _state(transport: asyncio.BaseTransport) -> int:
    """Return the kernel's state of the connection; 0 if it is unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        state: int = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return 0
    return state


def is_established(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel reports the connection as established; it may miss a very recent failure."""
    return _state(transport) == _ESTABLISHED


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has shut down or reset the connection, even if the loop has not read that yet."""
    return _state(transport) in _ENDED


def set_nodelay(transport: asyncio.BaseTransport) -> None:
    """Send small writes without delay.

    asyncio sets TCP_NODELAY itself only if a socket states its protocol, which a socket that was accepted
    from a plain listener does not.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # The connection was reset meanwhile.


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes were received that the loop has not read yet; False if that is unknown."""
    return _waiting(transport, termios.FIONREAD)


def _waiting(transport: asyncio.BaseTransport, queue: int) -> bool:
    """Whether one of the connection's queues in the kernel holds bytes."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), queue, count)
    except OSError:
        return False
    return count[0] > 0
