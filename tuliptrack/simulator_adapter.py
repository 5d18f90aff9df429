"""The bench's side door: frames on standard input and output, translated to and from the interface.

Hosts any number of routers, each kept apart under its node number. Nothing is decided here. What
can't be understood ends the process with one plain line on standard error and exit code 2, because a
half-understood frame would make a router act on a world that is not there.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, BinaryIO, TypeVar

from tuliptrack import interface as io
from tuliptrack.routing.router import Router

__all__ = ["WireError", "decode_batch", "encode_reply", "main", "serve", "settings_from_json", "settings_of"]

T = TypeVar("T")

_HEADER = struct.Struct("<IQI")
_RECORD = struct.Struct("<HI")
_ENTRY = struct.Struct("<HQIHBfH")
_HALT, _START = 265, 256
_MAX_U32 = 0xFFFFFFFF

_STATUS = {
    1: io.Status.OK,
    0: io.Status.ERROR,
    2: io.Status.AT_CAPACITY,
    3: io.Status.TIMEOUT,
    4: io.Status.CONNECT_FAILED,
    5: io.Status.RESET,
    6: io.Status.CANCELLED,
    7: io.Status.ABANDONED,
    202: io.Status.PREFILLED,
}
_STATE = {0: io.EndpointState.READY, 1: io.EndpointState.DRAINING, 2: io.EndpointState.REMOVED}
_LIST_KIND = {0: io.UpdateKind.DELTA, 1: io.UpdateKind.FULL, 2: io.UpdateKind.CACHED, 3: io.UpdateKind.FAILED}
_ROLE = {"read": io.Role.PREFILL, "write": io.Role.DECODE, "both": io.Role.PREFILL_AND_DECODE}
_EFFECT = {
    "free": io.Idempotency.IDEMPOTENT,
    "guarded": io.Idempotency.WITH_KEY,
    "single_shot": io.Idempotency.NOT_IDEMPOTENT,
}

_REPORT = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "latency_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
    "x0": "memory_share",
    "x1": "tokens_waiting_k",
}


class WireError(Exception):
    """A frame, record or settings text that can't be understood; its text says what and where."""


class Start:
    """A node has started: the settings and the seed of its random numbers."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.seed = seed


class Halt:
    """A node was killed: everything it knew is to be forgotten."""


class _Reader:
    """Takes typed fields off one record, and names the record when they run out."""

    def __init__(self, body: bytes, what: str) -> None:
        self.body, self.what, self.at = body, what, 0

    def take(self, form: str) -> tuple[Any, ...]:
        size = struct.calcsize("<" + form)
        if self.at + size > len(self.body):
            raise WireError(f"{self.what}: fields end at byte {len(self.body)}, {self.at + size} needed")
        values = struct.unpack_from("<" + form, self.body, self.at)
        self.at += size
        return values

    def blob(self, form: str) -> bytes:
        (size,) = self.take(form)
        return bytes(self.take(f"{size}s")[0])

    def floats(self) -> tuple[float, ...]:
        (count,) = self.take("B")
        return self.take(f"{count}f")

    def end(self) -> None:
        if self.at != len(self.body):
            raise WireError(f"{self.what}: {len(self.body) - self.at} bytes left over after its fields")


def _lookup(table: dict[Any, T], code: object, what: str) -> T:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"{what}: unknown value {code!r}") from None


# ---------------------------------------------------------------- settings


def settings_from_json(text: bytes) -> io.Settings:
    """Translate the settings text of a start record; unknown keys are ignored."""
    try:
        env = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings: not JSON ({error})") from None
    return settings_of(env)


def settings_of(env: object) -> io.Settings:
    """Translate the settings object, wherever it stood; unknown keys are ignored. WireError names what is
    wrong.
    """
    if not isinstance(env, dict):
        raise WireError("settings: not a JSON object")
    try:
        return _settings(env)
    except KeyError as error:
        raise WireError(f"settings: key {error.args[0]!r} is missing") from None
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise WireError(f"settings: {error}") from None


def _enum(kind: type[Enum], value: str, what: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"settings: {what} {value!r} is unknown") from None


def _role(name: object) -> io.Role:
    try:
        return _ROLE[str(name)]
    except KeyError:
        raise WireError(f"settings: specifics.dutyByKind {name!r} is unknown") from None


def _settings(env: dict[str, Any]) -> io.Settings:
    facts, limits, duties = env["specifics"], env["limits"], env["obligations"]
    per_1000 = facts.get("aimUsPer1000PromptTokens") or []
    token_aim = facts.get("tokenAim") or []
    reporting = env.get("reporting") or {}
    classes = tuple(
        io.RequestClass(
            name=str(c.get("name", i)),
            priority_weight=float(c["importance"]),
            latency_objective_us=int(c["promise"]),
            deadline_us=int(c["deadline"]),
            objective_us_per_1000_tokens=float(per_1000[i]) if i < len(per_1000) else 0.0,
            inter_token_objective_us=float(token_aim[i]) if i < len(token_aim) else 0.0,
            idempotency=_lookup(_EFFECT, c["effect"], "settings: classes[].effect"),
            idempotency_scope=_enum(io.IdempotencyScope, c.get("keyScope", "all"), "classes[].keyScope"),
            deduplication_window_us=int(c.get("dedupWindow", 0)),
        )
        for i, c in enumerate(env["classes"])
    )
    return io.Settings(
        replicas=int(env["replicasOfMe"]),
        classes=classes,
        roles=tuple(_role(name) for name in facts["dutyByKind"]),
        tenants=tuple(
            io.Tenant(str(t.get("name", "")), float(t.get("share", 0.0)), float(t["quotaPerS"]))
            for t in env.get("projects") or ()
        ),
        replica_index=int(env.get("slotNo", 0)),
        zone=int(env.get("az", 0)),
        over_quota_weight_factor=float(env.get("overShareWorth", 1.0)),
        max_attempts=int(limits["mostTries"]),
        release_within_us=int(facts["letGoBy"]),
        drain_grace_us=int(duties["drainGrace"]),
        must_subscribe=env.get("discovery") == "subscribe",
        slow_start_us=int(duties["cold"]),
        slow_start_initial_share=float(duties["coldFrom"]),
        slow_start_overload_factor=float(duties["fallMultiple"]),
        slow_start_window_us=int(duties["fall"]),
        connect_timeout_us=int(limits.get("connectTimeout", 0)),
        may_cancel=bool(limits.get("cancel", False)),
        may_send_retry_after=bool(limits.get("retryAfter", False)),
        may_resume=bool(facts.get("resume", False)),
        max_retry_after_us=int(limits.get("maxRetryAfter", 0)),
        report_fields=tuple(
            _REPORT.get(f, f) for f in reporting.get("fields") or () if reporting.get("how") != "silent"
        ),
    )


# ---------------------------------------------------------------- events in


def _start(r: _Reader) -> Start:
    (seed,) = r.take("Q")
    return Start(settings_from_json(r.blob("I")), seed)


def _roster(r: _Reader) -> io.EndpointListUpdate:
    kind, version, count = r.take("BII")
    servers = []
    for _ in range(count):
        zone, since, server, sort, state, weight, cell = r.take(_ENTRY.format[1:])
        servers.append(
            io.EndpointInfo(
                server, sort, _lookup(_STATE, state, f"{r.what}: health"), weight, cell, zone, since
            )
        )
    return io.EndpointListUpdate(_lookup(_LIST_KIND, kind, f"{r.what}: kind"), version, tuple(servers))


def _request(r: _Reader) -> io.Request:
    ref, hint, grace, prefix_len, most, session, prefix, prompt, tenant, cls, bits = r.take("QIIffQQfIBB")
    return io.Request(
        ref,
        cls,
        grace,
        prompt,
        prefix_len,
        most,
        session,
        prefix,
        tenant,
        hint if bits & 1 else None,
        bool(bits & 2),
        bool(bits & 16),
    )


def _started(r: _Reader) -> io.StreamStarted:
    ref, attempt, server, lag = r.take("QBII")
    return io.StreamStarted(ref, attempt, server, lag)


def _note(r: _Reader) -> io.ReservationResult:
    ref, attempt, server, what, _value = r.take("QBIBf")
    return io.ReservationResult(ref, attempt, server, what == 1)


def _verdict(r: _Reader) -> io.AttemptEnded:
    ref, over, note, server, attempt, code, lag = r.take("QBIIBBI")
    status = _lookup(_STATUS, code, f"{r.what}: disposition")
    kept = note if status in (io.Status.OK, io.Status.PREFILLED) else 0
    return io.AttemptEnded(
        ref,
        attempt,
        server,
        status,
        lag,
        bool(over),
        kept,
        status is io.Status.AT_CAPACITY and note == 1,
        r.floats(),
    )


def _probed(r: _Reader) -> io.HealthCheckResult:
    server, code, lag = r.take("IBI")
    return io.HealthCheckResult(server, _lookup(_STATUS, code, f"{r.what}: disposition"), lag, r.floats())


def _peer(r: _Reader) -> io.GossipReceived:
    (sender,) = r.take("H")
    return io.GossipReceived(sender, r.blob("H"))


_EVENTS: dict[int, tuple[str, Callable[[_Reader], object]]] = {
    256: ("START", _start),
    257: ("ROSTER_CHANGE", _roster),
    258: ("KNOCK", _request),
    259: ("STARTED", _started),
    260: ("VERDICT", _verdict),
    261: ("ABORTED", lambda r: io.ClientDisconnected(r.take("Q")[0])),
    262: ("DEADLINE_HIT", lambda r: io.TimerFired(r.take("Q")[0])),
    263: ("PING_RESULT", _probed),
    264: ("MEMO", _peer),
    265: ("HALT", lambda r: Halt()),
    266: ("PLACE_NOTE", _note),
}


def decode_batch(body: bytes, count: int) -> Iterator[tuple[int, Any]]:
    """Yield (node, event) for each record of a batch."""
    at = 0
    for index in range(count):
        if at + _RECORD.size > len(body):
            raise WireError(f"record {index}: cut off at byte {len(body)} of the batch")
        code, size = _RECORD.unpack_from(body, at)
        at += _RECORD.size
        name, decode = _lookup(_EVENTS, code, f"record {index}: code")
        if at + size > len(body):
            raise WireError(f"record {index} ({name}): {size} bytes told, {len(body) - at} there")
        r = _Reader(body[at : at + size], f"record {index} ({name})")
        at += size
        (node,) = r.take("H")
        event = decode(r)
        r.end()
        yield node, event
    if at != len(body):
        raise WireError(f"batch: {len(body) - at} bytes left over after {count} records")


# ---------------------------------------------------------------- actions out


def _text(value: str) -> bytes:
    data = value.encode()[:0xFFFF].decode(errors="ignore").encode()
    return struct.pack("<H", len(data)) + data


_ACTIONS: dict[type, tuple[int, Callable[[Any], bytes]]] = {
    io.SetTimer: (256, lambda a: struct.pack("<IQ", min(max(a.delay_us, 0), _MAX_U32), a.token)),
    io.FetchEndpointList: (257, lambda a: b""),
    io.SendGossip: (
        258,
        lambda a: struct.pack("<IH", _MAX_U32 if a.peer is None else a.peer, len(a.data)) + a.data,
    ),
    io.MigrateStream: (259, lambda a: struct.pack("<Q", a.request_id)),
    io.Fail: (260, lambda a: struct.pack("<Q", a.request_id)),
    io.CancelAttempt: (261, lambda a: struct.pack("<QB", a.request_id, a.attempt)),
    io.Subscribe: (262, lambda a: struct.pack("<B", a.on)),
    io.CheckHealth: (263, lambda a: struct.pack("<I", a.endpoint_id)),
    io.SendAttempt: (
        265,
        lambda a: struct.pack("<QII", a.request_id, a.endpoint_id, min(max(a.timeout_us, 0), _MAX_U32)),
    ),
    io.CloseIdleConnections: (266, lambda a: struct.pack("<I", a.endpoint_id)),
    io.ReserveCapacity: (267, lambda a: struct.pack("<QI", a.request_id, a.endpoint_id)),
    io.Release: (268, lambda a: struct.pack("<Q", a.request_id)),
    io.LogMessage: (269, lambda a: _text(a.text)),
    io.Reject: (270, lambda a: struct.pack("<QI", a.request_id, min(max(a.retry_after_us, 0), _MAX_U32))),
}


def encode_reply(actions: list[tuple[int, io.Action]]) -> bytes:
    """The reply frame for (node, action) pairs, in order."""
    parts = []
    for node, action in actions:
        code, encode = _ACTIONS[type(action)]
        fields = encode(action)
        parts.append(_RECORD.pack(code, 2 + len(fields)) + struct.pack("<H", node) + fields)
    body = b"".join(parts)
    return struct.pack("<II", len(actions), len(body)) + body


# ---------------------------------------------------------------- the host


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    routers: dict[int, Router] = {}
    while head := source.read(_HEADER.size):
        if len(head) < _HEADER.size:
            raise WireError(f"batch header: {len(head)} bytes, {_HEADER.size} needed")
        size, now, count = _HEADER.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"batch: {size} bytes told, {len(body)} there")
        sink.write(encode_reply(_run_batch(routers, now, decode_batch(body, count))))
        sink.flush()


def _run_batch(
    routers: dict[int, Router],
    now: int,
    records: Iterator[tuple[int, Any]],
) -> list[tuple[int, io.Action]]:
    """Give each node its own events, in order; a start or halt in mid-batch parts one life from the next."""
    pending: dict[int, list[io.Event]] = {}
    actions: list[tuple[int, io.Action]] = []

    def run(node: int) -> None:
        if events := pending.pop(node, None):
            actions.extend((node, action) for action in routers[node].handle(now, events))

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
    for node in list(pending):
        run(node)
    return actions


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"tuliptrack.simulator_adapter: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
