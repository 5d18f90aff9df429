"""Hosts the routers of all nodes of a simulation, and answers one batch of events after another."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from tuliptrack import interface as io
from tuliptrack.routing.router import Router
from tuliptrack.simulator_adapter.actions import encode_reply
from tuliptrack.simulator_adapter.errors import WireError
from tuliptrack.simulator_adapter.events import Halt, Start, decode_batch

__all__ = ["serve"]

BATCH_HEADER = struct.Struct("<IQI")
"""Header of a batch: size of the batch's body in bytes, time in microseconds, and number of records."""


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: a batch cannot be decoded.
    """
    routers: dict[int, Router] = {}
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"batch header: {len(header)} bytes, {BATCH_HEADER.size} needed")
        size, now_us, count = BATCH_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"batch: {size} bytes told, {len(body)} there")
        sink.write(encode_reply(_handle_batch(routers, now_us, decode_batch(body, count))))
        sink.flush()


def _handle_batch(
    routers: dict[int, Router], now_us: int, records: Iterator[tuple[int, Any]]
) -> list[tuple[int, io.Action]]:
    """Let each node handle its own events, in order, and return the actions of all nodes.

    A start or halt of a node discards the node's earlier events in the batch, which belong to its earlier
    process.
    """
    pending: dict[int, list[io.Event]] = {}
    for node, event in records:
        if isinstance(event, Halt):
            pending.pop(node, None)
            routers.pop(node, None)
        elif isinstance(event, Start):
            pending.pop(node, None)
            routers[node] = Router(event.settings, event.seed)
        elif node in routers:
            pending.setdefault(node, []).append(event)
        else:
            raise WireError(f"node {node}: an event for a node that has not started")
    return [
        (node, action) for node, events in pending.items() for action in routers[node].handle(now_us, events)
    ]
