"""What the kernel holds between the TCP sockets of one process: bytes, connections and ends that have not
arrived yet.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

__all__ = ["anything_on_its_way"]

# Offsets in Linux's struct tcp_info.
_STATE, _BYTES_RECEIVED, _BYTES_SENT, _BYTES_RETRANSMITTED = 0, 128, 200, 208
_TCP_INFO_SIZE = 256
_SYN_SENT, _LISTEN = 2, 10


@dataclass(frozen=True)
class _End:
    """One end of a connection, or a listener."""

    state: int
    sent: int = 0
    received: int = 0


def anything_on_its_way(descriptors: Iterable[int]) -> bool:
    """Whether something that one of these sockets did has not arrived at the other end yet, as far as both
    are among them. The end of a connection can't be told so.
    """
    ends: dict[tuple[Any, Any], _End] = {}
    listeners: set[Any] = set()
    for descriptor in descriptors:
        if found := _look(descriptor):
            local, peer, end = found
            if end.state == _LISTEN:
                listeners.add(local)
            else:
                ends[local, peer] = end
    return any(
        _on_its_way(end, ends.get((peer, local)), peer in listeners) for (local, peer), end in ends.items()
    )


def _on_its_way(end: _End, other: _End | None, peer_listens: bool) -> bool:
    if end.state == _SYN_SENT:
        return peer_listens
    if other is None:
        return False
    return end.sent > other.received


def _look(descriptor: int) -> tuple[Any, Any, _End] | None:
    """A socket's addresses and state; None where it is no TCP socket with addresses."""
    try:
        one = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        if one.family != socket.AF_INET or one.type != socket.SOCK_STREAM:
            return None
        info = one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        state = info[_STATE]
        local = one.getsockname()
        peer = None if state == _LISTEN else one.getpeername() if state != _SYN_SENT else _dialled(one)
        sent, again = (struct.unpack_from("<Q", info, at)[0] for at in (_BYTES_SENT, _BYTES_RETRANSMITTED))
        return local, peer, _End(state, sent - again, struct.unpack_from("<Q", info, _BYTES_RECEIVED)[0])
    except OSError:
        return None
    finally:
        one.detach()


def _dialled(one: socket.socket) -> Any:
    """Whom a socket dials whose connection isn't up."""
    try:
        return one.getpeername()
    except OSError:
        return None
