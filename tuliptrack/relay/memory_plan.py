"""Divides a node's memory among the buffers that grow with what clients and engines send.

A node that exceeds its memory limit is killed. Its process and its connections take a part of the limit even
without traffic. The rest is divided among the kinds of buffers below. A part of it is left for what is not
counted: copies that exist for a moment, objects of requests, and fragmentation. Each kind has a bound of its
own, so that a flood which fills one kind takes nothing from the others.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MemoryPlan"]

_MIB = 1_048_576
PROCESS_BYTES = 40 * _MIB
"""The interpreter, the program and a large endpoint list."""
CONNECTION_BYTES = 16_384
"""A connection without buffered data: its transport, its parser and its entries in tables."""
MIN_BUFFER_SHARE = 0.125
"""Minimum share of the limit for all buffers, if the limit is too low for the process and its connections."""
ARRIVING_SHARE = 0.23
OPEN_REQUEST_SHARE = 0.3
PIPELINED_SHARE = 0.07
ENGINE_WRITE_SHARE = 0.07
CLIENT_WRITE_SHARE = 0.07
MIN_WRITE_BYTES = 4_096
"""Minimum size of a write buffer; with less, each write would cost more than it brings."""
MAX_ENGINE_WRITE_BYTES = 65_536
MAX_CLIENT_WRITE_BYTES = 32_768


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Bounds of a node's buffers, in bytes."""

    arriving: int
    """For request bodies that are being received, of all clients together."""
    open_requests: int
    """For the bodies of requests whose answers have not started, of all clients together."""
    pipelined: int
    """For input that clients send while a request of theirs is answered, of all clients together."""
    engine_write: int
    """For the part of a request that waits in the write buffer of one connection to an engine."""
    client_write: int
    """For the part of an answer that waits in the write buffer of one client, beyond which its engine is not
    read."""

    @classmethod
    def of(
        cls, memory_bytes: int, max_clients: int, max_engine_connections: int, max_body_bytes: int
    ) -> MemoryPlan:
        """Return the plan for a memory limit.

        Args:
            memory_bytes: the limit of the whole process.
            max_clients: the maximum number of client connections.
            max_engine_connections: the maximum number of connections to engines.
            max_body_bytes: the maximum size of a request's body; one of that size always fits.
        """
        connections_bytes = CONNECTION_BYTES * (max_clients + max_engine_connections)
        buffers = max(memory_bytes - PROCESS_BYTES - connections_bytes, int(memory_bytes * MIN_BUFFER_SHARE))
        engine_write = int(buffers * ENGINE_WRITE_SHARE) // max(max_engine_connections, 1)
        client_write = int(buffers * CLIENT_WRITE_SHARE) // max(max_clients, 1)
        return cls(
            arriving=max(int(buffers * ARRIVING_SHARE), max_body_bytes),
            open_requests=max(int(buffers * OPEN_REQUEST_SHARE), max_body_bytes),
            pipelined=int(buffers * PIPELINED_SHARE),
            engine_write=min(max(engine_write, MIN_WRITE_BYTES), MAX_ENGINE_WRITE_BYTES),
            client_write=min(max(client_write, MIN_WRITE_BYTES), MAX_CLIENT_WRITE_BYTES),
        )
