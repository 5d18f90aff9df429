"""Encodes actions as the records of a reply."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from tuliptrack import interface as io
from tuliptrack.simulator_adapter.records import RECORD

__all__ = ["encode_reply"]

MAX_U32 = 0xFFFFFFFF
ALL_PEERS = MAX_U32
"""Peer number that stands for all other nodes."""
MAX_TEXT_BYTES = 0xFFFF
NODE_BYTES = 2
"""Size of the node number that each record begins with."""


def encode_reply(actions: list[tuple[int, io.Action]]) -> bytes:
    """Return the reply frame for (node, action) pairs, in order."""
    records = []
    for node, action in actions:
        code, encode = _ENCODERS[type(action)]
        fields = encode(action)
        records.append(RECORD.pack(code, NODE_BYTES + len(fields)) + struct.pack("<H", node) + fields)
    body = b"".join(records)
    return struct.pack("<II", len(actions), len(body)) + body


def _unsigned(value: int) -> int:
    """Clamp a value to the range of an unsigned 32-bit integer."""
    return min(max(value, 0), MAX_U32)


def _set_timer(action: io.SetTimer) -> bytes:
    return struct.pack("<IQ", _unsigned(action.delay_us), action.token)


def _no_fields(_: io.FetchEndpointList) -> bytes:
    return b""


def _send_gossip(action: io.SendGossip) -> bytes:
    peer = ALL_PEERS if action.peer is None else action.peer
    return struct.pack("<IH", peer, len(action.data)) + action.data


def _cancel_attempt(action: io.CancelAttempt) -> bytes:
    return struct.pack("<QB", action.request_id, action.attempt)


def _subscribe(action: io.Subscribe) -> bytes:
    return struct.pack("<B", action.on)


def _send_attempt(action: io.SendAttempt) -> bytes:
    return struct.pack("<QII", action.request_id, action.endpoint_id, _unsigned(action.timeout_us))


def _reserve_capacity(action: io.ReserveCapacity) -> bytes:
    return struct.pack("<QI", action.request_id, action.endpoint_id)


def _log_message(action: io.LogMessage) -> bytes:
    data = action.text.encode()[:MAX_TEXT_BYTES].decode(errors="ignore").encode()
    return struct.pack("<H", len(data)) + data


def _reject(action: io.Reject) -> bytes:
    return struct.pack("<QI", action.request_id, _unsigned(action.retry_after_us))


def _request_only(action: io.MigrateStream | io.Fail | io.Release) -> bytes:
    return struct.pack("<Q", action.request_id)


def _endpoint_only(action: io.CheckHealth | io.CloseIdleConnections) -> bytes:
    return struct.pack("<I", action.endpoint_id)


_ENCODERS: dict[type, tuple[int, Callable[[Any], bytes]]] = {
    io.SetTimer: (256, _set_timer),
    io.FetchEndpointList: (257, _no_fields),
    io.SendGossip: (258, _send_gossip),
    io.MigrateStream: (259, _request_only),
    io.Fail: (260, _request_only),
    io.CancelAttempt: (261, _cancel_attempt),
    io.Subscribe: (262, _subscribe),
    io.CheckHealth: (263, _endpoint_only),
    io.SendAttempt: (265, _send_attempt),
    io.CloseIdleConnections: (266, _endpoint_only),
    io.ReserveCapacity: (267, _reserve_capacity),
    io.Release: (268, _request_only),
    io.LogMessage: (269, _log_message),
    io.Reject: (270, _reject),
}
