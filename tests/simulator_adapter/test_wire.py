"""Encoding and decoding of frames, and the rejection of malformed ones."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from tuliptrack import interface, simulator_adapter

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


REQUEST_ID_HEX = "4444444444440400"  # 0x4444444444444 as eight bytes
REQUEST_ID = 0x4444444444444

EVENTS: list[tuple[int, str, Any]] = [
    (
        257,
        "07000003000000010000000100 0a00000000000000 63000000 0200 01 0000803f 0500",
        interface.EndpointListUpdate(
            interface.UpdateKind.DELTA,
            3,
            (interface.EndpointInfo(99, 2, interface.EndpointState.DRAINING, 1.0, 5, 1, 10),),
        ),
    ),
    (
        258,
        "0700"
        + REQUEST_ID_HEX
        + "05000000 e8030000 0000803f 00000040 0100000000000000 0200000000000000 0000404001000000 01 13",
        interface.Request(REQUEST_ID, 1, 1000, 3.0, 1.0, 2.0, 1, 2, 1, 5, True, True),
    ),
    (259, "0700" + REQUEST_ID_HEX + "02 63000000 0a000000", interface.StreamStarted(REQUEST_ID, 2, 99, 10)),
    (
        260,
        "0700" + REQUEST_ID_HEX + "01 09000000 63000000 02 ca 0a000000 01 0000803f",
        interface.AttemptEnded(REQUEST_ID, 2, 99, interface.Status.PREFILLED, 10, True, 9, False, (1.0,)),
    ),
    (
        260,
        "0700" + REQUEST_ID_HEX + "00 01000000 63000000 02 02 0a000000 00",
        interface.AttemptEnded(REQUEST_ID, 2, 99, interface.Status.AT_CAPACITY, 10, False, 0, True, ()),
    ),
    (261, "0700" + REQUEST_ID_HEX, interface.ClientDisconnected(REQUEST_ID)),
    (262, "0700" + REQUEST_ID_HEX, interface.TimerFired(REQUEST_ID)),
    (
        263,
        "0700 63000000 04 0a000000 00",
        interface.HealthCheckResult(99, interface.Status.CONNECT_FAILED, 10, ()),
    ),
    (264, "0700 0300 0200 6869", interface.GossipReceived(3, b"hi")),
    (
        266,
        "0700" + REQUEST_ID_HEX + "02 63000000 01 00000000",
        interface.ReservationResult(REQUEST_ID, 2, 99, True),
    ),
    (
        266,
        "0700" + REQUEST_ID_HEX + "02 63000000 02 00000000",
        interface.ReservationResult(REQUEST_ID, 2, 99, False),
    ),
]

ACTIONS: list[tuple[interface.Action, int, str]] = [
    (interface.SetTimer(500_000, 77), 256, "0700 20a10700 4d00000000000000"),
    (interface.FetchEndpointList(), 257, "0700"),
    (interface.SendGossip(b"hi"), 258, "0700 ffffffff 0200 6869"),
    (interface.SendGossip(b"hi", 3), 258, "0700 03000000 0200 6869"),
    (interface.MigrateStream(REQUEST_ID), 259, "0700" + REQUEST_ID_HEX),
    (interface.Fail(REQUEST_ID), 260, "0700" + REQUEST_ID_HEX),
    (interface.CancelAttempt(REQUEST_ID, 2), 261, "0700" + REQUEST_ID_HEX + "02"),
    (interface.Subscribe(True), 262, "0700 01"),
    (interface.CheckHealth(99), 263, "0700 63000000"),
    (interface.SendAttempt(REQUEST_ID, 99, 1000), 265, "0700" + REQUEST_ID_HEX + "63000000 e8030000"),
    (interface.CloseIdleConnections(99), 266, "0700 63000000"),
    (interface.ReserveCapacity(REQUEST_ID, 99), 267, "0700" + REQUEST_ID_HEX + "63000000"),
    (interface.Release(REQUEST_ID), 268, "0700" + REQUEST_ID_HEX),
    (interface.LogMessage("hi"), 269, "0700 0200 6869"),
    (interface.Reject(REQUEST_ID, 1000), 270, "0700" + REQUEST_ID_HEX + "e8030000"),
]


@pytest.mark.parametrize(("code", "body", "expected"), EVENTS)
def test_events_from_golden_bytes(code: int, body: str, expected: Any) -> None:
    assert list(simulator_adapter.decode_batch(record(code, body), 1)) == [(7, expected)]


@pytest.mark.parametrize(("action", "code", "body"), ACTIONS)
def test_actions_to_golden_bytes(action: interface.Action, code: int, body: str) -> None:
    encoded = record(code, body)
    assert simulator_adapter.encode_reply([(7, action)]) == struct.pack("<II", 1, len(encoded)) + encoded


def test_start_and_halt_from_golden_bytes() -> None:
    text = json.dumps(ENV).encode()
    start = record(256, "0700 0900000000000000" + struct.pack("<I", len(text)).hex() + text.hex())
    ((node, event), (_, halt)) = simulator_adapter.decode_batch(start + record(265, "0700"), 2)
    assert node == 7 and event.seed == 9 and isinstance(halt, simulator_adapter.Halt)
    assert event.settings.roles == (interface.Role.PREFILL, interface.Role.DECODE)
    assert event.settings.report_fields == ("in_flight", "memory_share")
    assert event.settings.max_attempts == 4 and event.settings.release_within_us == 300000


def start_record(node: int, env: dict[str, Any] | None = None) -> bytes:
    text = json.dumps(env or ENV).encode()
    return record(256, struct.pack("<HQI", node, 1, len(text)).hex() + text.hex())


def list_record(node: int) -> bytes:
    entry = struct.Struct("<HQIHBfH")
    body = (
        struct.pack("<HBII", node, 2, 1, 2)
        + entry.pack(0, 0, 5, 0, 0, 1.0, 0)
        + entry.pack(0, 0, 6, 1, 0, 1.0, 0)
    )
    return record(257, body.hex())


def request_record(node: int, request_id: int) -> bytes:
    return record(
        258, struct.pack("<HQIIffQQfIBB", node, request_id, 0, 5000000, 0, 9, 1, 0, 9, 0, 0, 0).hex()
    )


def run(*frames: bytes) -> bytes:
    sink = io.BytesIO()
    simulator_adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_batch_has_an_empty_reply() -> None:
    assert run(frame()) == bytes(8)


def test_nodes_are_independent_and_a_restart_discards_earlier_events() -> None:
    single = run(frame(start_record(1), list_record(1)), frame(request_record(1, 4)))
    both = run(frame(start_record(1), list_record(1), start_record(2)), frame(request_record(1, 4)))
    assert single == both
    restarted = run(
        frame(
            start_record(1),
            list_record(1),
            request_record(1, 4),
            record(265, "0100"),
            start_record(1),
            list_record(1),
        ),
        frame(request_record(1, 4)),
    )
    assert restarted == single, "events before a halt have no effect on the restarted node"


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"abc", "batch header: 3 bytes, 16 needed"),
        (struct.pack("<IQI", 9, 1, 1) + b"x", "batch: 9 bytes told, 1 there"),
        (frame(record(999, "0100")), "record 0: code: unknown value 999"),
        (frame(record(262, "0100 01")), "record 0 (DEADLINE_HIT): fields end at byte 3, 10 needed"),
        (frame(record(262, "0100" + REQUEST_ID_HEX + "00")), "record 0 (DEADLINE_HIT): 1 bytes left over"),
        (frame(record(262, "0100" + REQUEST_ID_HEX)), "node 1: an event for a node that has not started"),
        (frame(record(256, "0100 0900000000000000 02000000 6869")), "settings: not JSON"),
        (frame(start_record(1, {**ENV, "limits": {}})), "settings: key 'mostTries' is missing"),
        (frame(start_record(1, {**ENV, "replicasOfMe": 0})), "settings: replicas: must be above 0"),
        (
            frame(record(260, "0100" + REQUEST_ID_HEX + "00 00000000 05000000 00 63 00000000 00")),
            "disposition: unknown",
        ),
    ],
)
def test_malformed_input_exits_with_one_line_on_standard_error(data: bytes, expected: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "tuliptrack.simulator_adapter"], input=data, capture_output=True
    )
    assert process.returncode == 2
    lines = process.stderr.decode().splitlines()
    assert len(lines) == 1 and expected in lines[0], lines


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
def test_invalid_settings_raise_an_error_that_names_the_field(field: str, value: Any) -> None:
    from helpers import settings

    with pytest.raises(ValueError, match=field):
        settings(**{field: value})
