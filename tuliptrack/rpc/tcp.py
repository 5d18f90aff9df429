"""The kernel's state of a TCP connection, which may be ahead of what the event loop has read."""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import struct
import termios

from tuliptrack.rpc.clock import now_us

__all__ = [
    "has_unread",
    "is_closed_by_peer",
    "is_established",
    "last_arrival_us",
    "set_nodelay",
    "set_receive_buffer",
    "unread_bytes",
]

_ESTABLISHED = 1
_LAST_DATA_RECEIVED = struct.Struct("=I")
_LAST_DATA_RECEIVED_OFFSET = 52  # bytes into `tcp_info` of `tcpi_last_data_recv`, an age in milliseconds
_US_PER_MS = 1_000
_ENDED = frozenset({6, 7, 8, 9, 11})  # TIME_WAIT, CLOSE (after a reset), CLOSE_WAIT, LAST_ACK, CLOSING


def _state(transport: asyncio.BaseTransport) -> int:
    """Return the kernel's state of the connection; 0 if it is unknown."""
    info = _info(transport, 1)
    return info[0] if info else 0


def _info(transport: asyncio.BaseTransport, size: int) -> bytes:
    """Return the first `size` bytes of the kernel's `tcp_info`; empty if it is unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return b""
    try:
        info: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return b""
    return info


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


def set_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Set the size of the kernel's receive buffer, in bytes, as far as the system allows it."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError:
            pass  # The connection was reset meanwhile.


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes were received that the loop has not read yet; False if that is unknown."""
    return unread_bytes(transport) > 0


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes were received that the loop has not read yet; 0 if that is unknown."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return count[0]


def last_arrival_us(transport: asyncio.BaseTransport) -> int:
    """Return when the latest bytes arrived, in monotonic microseconds; the current time if that is unknown."""
    info = _info(transport, _LAST_DATA_RECEIVED.size + _LAST_DATA_RECEIVED_OFFSET)
    if len(info) < _LAST_DATA_RECEIVED.size + _LAST_DATA_RECEIVED_OFFSET:
        return now_us()
    age_ms: int = _LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_RECEIVED_OFFSET)[0]
    return now_us() - age_ms * _US_PER_MS
