"""Detects bytes and connections in transit in the kernel between the TCP sockets of one process."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["has_data_in_transit"]

# Offsets in Linux's struct tcp_info.
_STATE, _BYTES_RECEIVED, _BYTES_SENT, _BYTES_RETRANSMITTED = 0, 128, 200, 208
_TCP_INFO_SIZE = 256
_SYN_SENT, _LISTEN = 2, 10


@dataclass(frozen=True)
class _SocketState:
    """State of one socket, which is an end of a connection or a listener."""

    state: int
    sent: int = 0
    received: int = 0


def has_data_in_transit(descriptors: Iterable[int]) -> bool:
    """Whether bytes or a connection attempt from one of the given sockets have not arrived at the other end
    yet.

    Only connections with both ends among the sockets count. The close of a connection is not detected.
    """
    ends: dict[tuple[Any, Any], _SocketState] = {}
    listeners: set[Any] = set()
    for descriptor in descriptors:
        if found := _socket_state(descriptor):
            local, peer, own = found
            if own.state == _LISTEN:
                listeners.add(local)
            else:
                ends[local, peer] = own
    return any(
        _is_in_transit(own, ends.get((peer, local)), peer in listeners) for (local, peer), own in ends.items()
    )


def _is_in_transit(own: _SocketState, other: _SocketState | None, peer_listens: bool) -> bool:
    if own.state == _SYN_SENT:
        return peer_listens
    if other is None:
        return False
    return own.sent > other.received


def _socket_state(descriptor: int) -> tuple[Any, Any, _SocketState] | None:
    """Return the local address, peer address and state of a socket; None if it is not a usable TCP socket."""
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
            return None
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        state = info[_STATE]
        local = sock.getsockname()
        peer = (
            None
            if state == _LISTEN
            else sock.getpeername()
            if state != _SYN_SENT
            else _peer_while_connecting(sock)
        )
        sent, retransmitted = (
            struct.unpack_from("<Q", info, at)[0] for at in (_BYTES_SENT, _BYTES_RETRANSMITTED)
        )
        return (
            local,
            peer,
            _SocketState(state, sent - retransmitted, struct.unpack_from("<Q", info, _BYTES_RECEIVED)[0]),
        )
    except OSError:
        return None
    finally:
        sock.detach()


def _peer_while_connecting(sock: socket.socket) -> Any:
    """Return the address that a socket is connecting to, or None if it is not known."""
    try:
        return sock.getpeername()
    except OSError:
        return None
