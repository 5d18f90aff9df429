"""The wire's bytes, both ways, and what malformed frames get."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from tuliptrack import interface as face
from tuliptrack import simulator_adapter

ENV: dict[str, Any] = {
    "replicasOfMe": 2,
    "classes": [
        {
            "importance": 1.0,
            "promise": 1000000,
            "deadline": 5000000,
            "effect": "free",
            "stream": True,
            "unknown": 1,
        }
    ],
    "limits": {"mostTries": 4, "cancel": True},
    "specifics": {"dutyByKind": ["read", "write"], "letGoBy": 300000},
    "obligations": {"drainGrace": 1, "cold": 1, "coldFrom": 0.5, "fallMultiple": 2.0, "fall": 5},
    "reporting": {"fields": ["inflight", "x0"], "how": "piggyback"},
    "something": {"new": True},
}


def record(code: int, body: str) -> bytes:
    data = bytes.fromhex(body)
    return struct.pack("<HI", code, len(data)) + data


def frame(*records: bytes, now: int = 5) -> bytes:
    body = b"".join(records)
    return struct.pack("<IQI", len(body), now, len(records)) + body


REF = "4444444444440400"  # 0x4444444444444 as eight bytes
NUMBER = 0x4444444444444

EVENTS: list[tuple[int, str, Any]] = [
    (
        257,
        "07000003000000010000000100 0a00000000000000 63000000 0200 01 0000803f 0500",
        face.EndpointListUpdate(
            face.UpdateKind.DELTA, 3, (face.EndpointInfo(99, 2, face.EndpointState.DRAINING, 1.0, 5, 1, 10),)
        ),
    ),
    (
        258,
        "0700"
        + REF
        + "05000000 e8030000 0000803f 00000040 0100000000000000 0200000000000000 0000404001000000 01 13",
        face.Request(NUMBER, 1, 1000, 3.0, 1.0, 2.0, 1, 2, 1, 5, True, True),
    ),
    (259, "0700" + REF + "02 63000000 0a000000", face.StreamStarted(NUMBER, 2, 99, 10)),
    (
        260,
        "0700" + REF + "01 09000000 63000000 02 ca 0a000000 01 0000803f",
        face.AttemptEnded(NUMBER, 2, 99, face.Status.PREFILLED, 10, True, 9, False, (1.0,)),
    ),
    (
        260,
        "0700" + REF + "00 01000000 63000000 02 02 0a000000 00",
        face.AttemptEnded(NUMBER, 2, 99, face.Status.AT_CAPACITY, 10, False, 0, True, ()),
    ),
    (261, "0700" + REF, face.ClientDisconnected(NUMBER)),
    (262, "0700" + REF, face.TimerFired(NUMBER)),
    (263, "0700 63000000 04 0a000000 00", face.HealthCheckResult(99, face.Status.CONNECT_FAILED, 10, ())),
    (264, "0700 0300 0200 6869", face.GossipReceived(3, b"hi")),
    (266, "0700" + REF + "02 63000000 01 00000000", face.ReservationResult(NUMBER, 2, 99, True)),
    (266, "0700" + REF + "02 63000000 02 00000000", face.ReservationResult(NUMBER, 2, 99, False)),
]

ACTIONS: list[tuple[face.Action, int, str]] = [
    (face.SetTimer(500_000, 77), 256, "0700 20a10700 4d00000000000000"),
    (face.FetchEndpointList(), 257, "0700"),
    (face.SendGossip(b"hi"), 258, "0700 ffffffff 0200 6869"),
    (face.SendGossip(b"hi", 3), 258, "0700 03000000 0200 6869"),
    (face.MigrateStream(NUMBER), 259, "0700" + REF),
    (face.Fail(NUMBER), 260, "0700" + REF),
    (face.CancelAttempt(NUMBER, 2), 261, "0700" + REF + "02"),
    (face.Subscribe(True), 262, "0700 01"),
    (face.CheckHealth(99), 263, "0700 63000000"),
    (face.SendAttempt(NUMBER, 99, 1000), 265, "0700" + REF + "63000000 e8030000"),
    (face.CloseIdleConnections(99), 266, "0700 63000000"),
    (face.ReserveCapacity(NUMBER, 99), 267, "0700" + REF + "63000000"),
    (face.Release(NUMBER), 268, "0700" + REF),
    (face.LogMessage("hi"), 269, "0700 0200 6869"),
    (face.Reject(NUMBER, 1000), 270, "0700" + REF + "e8030000"),
]


@pytest.mark.parametrize(("code", "body", "expected"), EVENTS)
def test_events_from_golden_bytes(code: int, body: str, expected: Any) -> None:
    assert list(simulator_adapter.decode_batch(record(code, body), 1)) == [(7, expected)]


@pytest.mark.parametrize(("action", "code", "body"), ACTIONS)
def test_actions_to_golden_bytes(action: face.Action, code: int, body: str) -> None:
    one = record(code, body)
    assert simulator_adapter.encode_reply([(7, action)]) == struct.pack("<II", 1, len(one)) + one


def test_start_and_halt_from_golden_bytes() -> None:
    text = json.dumps(ENV).encode()
    start = record(256, "0700 0900000000000000" + struct.pack("<I", len(text)).hex() + text.hex())
    ((node, event), (_, halt)) = simulator_adapter.decode_batch(start + record(265, "0700"), 2)
    assert node == 7 and event.seed == 9 and isinstance(halt, simulator_adapter.Halt)
    assert event.settings.roles == (face.Role.PREFILL, face.Role.DECODE)
    assert event.settings.report_fields == ("in_flight", "memory_share")
    assert event.settings.max_attempts == 4 and event.settings.release_within_us == 300000


def start(node: int, env: dict[str, Any] | None = None) -> bytes:
    text = json.dumps(env or ENV).encode()
    return record(256, struct.pack("<HQI", node, 1, len(text)).hex() + text.hex())


def roster(node: int) -> bytes:
    entry = struct.Struct("<HQIHBfH")
    body = (
        struct.pack("<HBII", node, 2, 1, 2)
        + entry.pack(0, 0, 5, 0, 0, 1.0, 0)
        + entry.pack(0, 0, 6, 1, 0, 1.0, 0)
    )
    return record(257, body.hex())


def knock(node: int, ref: int) -> bytes:
    return record(258, struct.pack("<HQIIffQQfIBB", node, ref, 0, 5000000, 0, 9, 1, 0, 9, 0, 0, 0).hex())


def run(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_batch_has_an_empty_reply() -> None:
    assert run(frame()) == bytes(8)


def test_nodes_are_kept_apart_and_a_restart_forgets() -> None:
    alone = run(frame(start(1), roster(1)), frame(knock(1, 4)))
    both = run(frame(start(1), roster(1), start(2)), frame(knock(1, 4)))
    assert alone == both
    again = run(
        frame(start(1), roster(1), knock(1, 4), record(265, "0100"), start(1), roster(1)), frame(knock(1, 4))
    )
    assert again == alone, "a life's events before its halt leave nothing behind"


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"abc", "batch header: 3 bytes, 16 needed"),
        (struct.pack("<IQI", 9, 1, 1) + b"x", "batch: 9 bytes told, 1 there"),
        (frame(record(999, "0100")), "record 0: code: unknown value 999"),
        (frame(record(262, "0100 01")), "record 0 (DEADLINE_HIT): fields end at byte 3, 10 needed"),
        (frame(record(262, "0100" + REF + "00")), "record 0 (DEADLINE_HIT): 1 bytes left over"),
        (frame(record(262, "0100" + REF)), "node 1: an event for a node that has not started"),
        (frame(record(256, "0100 0900000000000000 02000000 6869")), "settings: not JSON"),
        (frame(start(1, {**ENV, "limits": {}})), "settings: key 'mostTries' is missing"),
        (frame(start(1, {**ENV, "replicasOfMe": 0})), "settings: replicas: must be above 0"),
        (frame(record(260, "0100" + REF + "00 00000000 05000000 00 63 00000000 00")), "disposition: unknown"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(data: bytes, words: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "tuliptrack.simulator_adapter"], input=data, capture_output=True
    )
    assert done.returncode == 2
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1 and words in lines[0], lines


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("replicas", 0),
        ("max_attempts", 0),
        ("slow_start_initial_share", 0.0),
        ("classes", ()),
        ("slow_start_window_us", 0),
        ("drain_grace_us", -1),
    ],
)
def test_invalid_settings_raise_with_the_fields_name(field: str, value: Any) -> None:
    from helpers import settings

    with pytest.raises(ValueError, match=field):
        settings(**{field: value})
