"""Decodes the records of a batch to events."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from tuliptrack import interface as io
from tuliptrack.simulator_adapter.errors import WireError, lookup
from tuliptrack.simulator_adapter.records import RECORD, RecordReader
from tuliptrack.simulator_adapter.settings import settings_from_json

__all__ = ["Halt", "Start", "decode_batch"]

STATUSES = {
    0: io.Status.ERROR,
    1: io.Status.OK,
    2: io.Status.AT_CAPACITY,
    3: io.Status.TIMEOUT,
    4: io.Status.CONNECT_FAILED,
    5: io.Status.RESET,
    6: io.Status.CANCELLED,
    7: io.Status.ABANDONED,
    202: io.Status.PREFILLED,
}
ENDPOINT_STATES = {
    0: io.EndpointState.READY,
    1: io.EndpointState.DRAINING,
    2: io.EndpointState.REMOVED,
}
UPDATE_KINDS = {
    0: io.UpdateKind.DELTA,
    1: io.UpdateKind.FULL,
    2: io.UpdateKind.CACHED,
    3: io.UpdateKind.FAILED,
}
ENTRY_FORMAT = "HQIHBfH"
"""`struct` format of one entry of the endpoint list."""
HAS_HINT, IS_RETRY, IS_RESUMED = 1, 2, 16
"""Bits of a request's flags."""
STATE_LOST = 1
"""Value of the `note` field that means a lost KV state, in the record of an attempt that ended with
`AT_CAPACITY`."""
RESERVED = 1
"""Result code of a reservation that was granted."""


@dataclass(frozen=True)
class Start:
    """A node has started."""

    settings: io.Settings
    seed: int
    """Seed of the node's random numbers."""


@dataclass(frozen=True)
class Halt:
    """A node was killed: its state is lost."""


def decode_batch(body: bytes, count: int) -> Iterator[tuple[int, Any]]:
    """Yield (node, event) for each record of a batch.

    Raises:
        WireError: a record cannot be decoded, or bytes are left over.
    """
    position = 0
    for index in range(count):
        if position + RECORD.size > len(body):
            raise WireError(f"record {index}: cut off at byte {len(body)} of the batch")
        code, size = RECORD.unpack_from(body, position)
        position += RECORD.size
        name, decode = lookup(_DECODERS, code, f"record {index}: code")
        if position + size > len(body):
            raise WireError(f"record {index} ({name}): {size} bytes told, {len(body) - position} there")
        reader = RecordReader(body[position : position + size], f"record {index} ({name})")
        position += size
        (node,) = reader.read("H")
        event = decode(reader)
        reader.end()
        yield node, event
    if position != len(body):
        raise WireError(f"batch: {len(body) - position} bytes left over after {count} records")


def _start(reader: RecordReader) -> Start:
    (seed,) = reader.read("Q")
    return Start(settings_from_json(reader.read_bytes("I")), seed)


def _halt(_: RecordReader) -> Halt:
    return Halt()


def _list_update(reader: RecordReader) -> io.EndpointListUpdate:
    kind, version, count = reader.read("BII")
    endpoints = tuple(_entry(reader) for _ in range(count))
    return io.EndpointListUpdate(lookup(UPDATE_KINDS, kind, f"{reader.record}: kind"), version, endpoints)


def _entry(reader: RecordReader) -> io.EndpointInfo:
    zone, started_at_us, endpoint_id, kind, state, weight, cell = reader.read(ENTRY_FORMAT)
    known_state = lookup(ENDPOINT_STATES, state, f"{reader.record}: health")
    return io.EndpointInfo(endpoint_id, kind, known_state, weight, cell, zone, started_at_us)


def _request(reader: RecordReader) -> io.Request:
    request_id, hint_us, time_left_us, prefix_tokens, max_tokens = reader.read("QIIff")
    session, prefix, prompt_tokens, tenant, class_index, flags = reader.read("QQfIBB")
    return io.Request(
        request_id=request_id,
        class_index=class_index,
        time_left_us=time_left_us,
        prompt_tokens=prompt_tokens,
        prefix_tokens=prefix_tokens,
        max_tokens=max_tokens,
        session=session,
        prefix=prefix,
        tenant=tenant,
        stream_time_hint_us=hint_us if flags & HAS_HINT else None,
        is_retry=bool(flags & IS_RETRY),
        is_resumed=bool(flags & IS_RESUMED),
    )


def _stream_started(reader: RecordReader) -> io.StreamStarted:
    request_id, attempt, endpoint_id, latency_us = reader.read("QBII")
    return io.StreamStarted(request_id, attempt, endpoint_id, latency_us)


def _reservation_result(reader: RecordReader) -> io.ReservationResult:
    request_id, attempt, endpoint_id, result, _ = reader.read("QBIBf")
    return io.ReservationResult(request_id, attempt, endpoint_id, result == RESERVED)


def _attempt_ended(reader: RecordReader) -> io.AttemptEnded:
    request_id, is_final, note, endpoint_id, attempt, code, latency_us = reader.read("QBIIBBI")
    status = lookup(STATUSES, code, f"{reader.record}: disposition")
    return io.AttemptEnded(
        request_id=request_id,
        attempt=attempt,
        endpoint_id=endpoint_id,
        status=status,
        latency_us=latency_us,
        is_final=bool(is_final),
        cached_tokens=note if status in (io.Status.OK, io.Status.PREFILLED) else 0,
        is_state_lost=status is io.Status.AT_CAPACITY and note == STATE_LOST,
        load_report=reader.read_floats(),
    )


def _client_disconnected(reader: RecordReader) -> io.ClientDisconnected:
    (request_id,) = reader.read("Q")
    return io.ClientDisconnected(request_id)


def _timer_fired(reader: RecordReader) -> io.TimerFired:
    (token,) = reader.read("Q")
    return io.TimerFired(token)


def _health_check_result(reader: RecordReader) -> io.HealthCheckResult:
    endpoint_id, code, latency_us = reader.read("IBI")
    status = lookup(STATUSES, code, f"{reader.record}: disposition")
    return io.HealthCheckResult(endpoint_id, status, latency_us, reader.read_floats())


def _gossip_received(reader: RecordReader) -> io.GossipReceived:
    (sender,) = reader.read("H")
    return io.GossipReceived(sender, reader.read_bytes("H"))


_DECODERS: dict[int, tuple[str, Callable[[RecordReader], object]]] = {
    256: ("START", _start),
    257: ("ROSTER_CHANGE", _list_update),
    258: ("KNOCK", _request),
    259: ("STARTED", _stream_started),
    260: ("VERDICT", _attempt_ended),
    261: ("ABORTED", _client_disconnected),
    262: ("DEADLINE_HIT", _timer_fired),
    263: ("PING_RESULT", _health_check_result),
    264: ("MEMO", _gossip_received),
    265: ("HALT", _halt),
    266: ("PLACE_NOTE", _reservation_result),
}
