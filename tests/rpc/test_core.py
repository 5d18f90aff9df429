"""Limits of the core, and cases of the gRPC specification that a stock peer does not produce."""

from __future__ import annotations

import zlib

import h2.connection
import pytest
from h2.config import H2Configuration

from tuliptrack.rpc.core import Core, Limits
from tuliptrack.rpc.events import (
    Broken,
    CallEnded,
    CallStarted,
    Cancelled,
    Event,
    GoAway,
    HalfClosed,
    MessageReceived,
    Writable,
)
from tuliptrack.rpc.status import Code, Status, decode_message, decode_timeout, encode_message, encode_timeout

HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/x.Y/Z"),
    (":authority", "a"),
    ("te", "trailers"),
    ("content-type", "application/grpc"),
]


class Peer:
    """A bare h2 client, which can send malformed requests."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.h2 = h2.connection.H2Connection(
            H2Configuration(client_side=True, header_encoding="utf-8", validate_outbound_headers=False)
        )
        self.h2.initiate_connection()
        self.core = Core(False, limits)
        self.seen: list[object] = []

    def deliver(self, now: int = 0) -> list[Event]:
        events = self.core.receive(self.h2.data_to_send(), now)
        self.read_output()
        return events

    def read_output(self) -> None:
        if data := self.core.take():
            self.seen += self.h2.receive_data(data)

    def send_request(self, stream: int = 1, headers: dict[str, str] | None = None, end: bool = False) -> None:
        named = {k.replace("_", "-"): v for k, v in (headers or {}).items()}
        kept: list[tuple[str, str]] = [(k, v) for k, v in HEADERS if k.strip(":") not in named]
        own: list[tuple[str, str]] = [
            (f":{k}" if k in ("method", "path") else k, v) for k, v in named.items()
        ]
        both: list[tuple[str, str]] = sorted([*kept, *own], key=lambda kv: not kv[0].startswith(":"))
        self.h2.send_headers(stream, both, end_stream=end)

    def status(self) -> tuple[str, str]:
        for event in self.seen:
            headers = dict(getattr(event, "headers", None) or [])
            if "grpc-status" in headers:
                return headers["grpc-status"], decode_message(headers.get("grpc-message", ""))
            if headers.get(":status", "200") != "200":
                return headers[":status"], ""
        raise AssertionError(self.seen)


@pytest.mark.parametrize(
    ("headers", "status", "word"),
    [
        ({"method": "GET"}, "405", ""),
        ({"content_type": "text/plain"}, "415", ""),
        ({"grpc_timeout": "12x"}, str(int(Code.INVALID_ARGUMENT)), "grpc-timeout"),
        ({"grpc_timeout": "123456789S"}, str(int(Code.INVALID_ARGUMENT)), "grpc-timeout"),
        ({"x_bin": "!!"}, str(int(Code.INVALID_ARGUMENT)), "x-bin"),
        ({"grpc_encoding": "br"}, str(int(Code.UNIMPLEMENTED)), "br"),
    ],
)
def test_malformed_requests_get_their_status(headers: dict[str, str], status: str, word: str) -> None:
    peer = Peer()
    peer.send_request(headers=headers)
    assert not [e for e in peer.deliver() if isinstance(e, CallStarted)]
    got, text = peer.status()
    assert got == status and word in text
    assert not peer.core.calls


def message(data: bytes, flag: int = 0) -> bytes:
    return bytes([flag]) + len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize(
    ("data", "headers", "code"),
    [
        (message(b"x" * 3000), {}, Code.RESOURCE_EXHAUSTED),
        (
            message(zlib.compress(b"\0" * 5_000_000)),
            {"grpc_encoding": "deflate", "flag": "1"},
            Code.RESOURCE_EXHAUSTED,
        ),
        (message(b"no gzip"), {"grpc_encoding": "gzip", "flag": "1"}, Code.INTERNAL),
        (
            message(zlib.compress(b"cut off here")[:-3]),
            {"grpc_encoding": "deflate", "flag": "1"},
            Code.INTERNAL,
        ),
        (message(b"x", 1), {}, Code.INTERNAL),
        (message(b"x", 7), {"grpc_encoding": "gzip"}, Code.INTERNAL),
    ],
)
def test_malformed_messages_end_only_their_call(data: bytes, headers: dict[str, str], code: Code) -> None:
    peer = Peer(Limits(max_message_bytes=2000))
    headers = dict(headers)
    if headers.pop("flag", ""):
        data = b"\1" + data[1:]
    peer.send_request(1, headers)
    peer.send_request(3)
    peer.h2.send_data(1, data)
    peer.h2.send_data(3, message(b"fine"), end_stream=True)
    events = peer.deliver()
    assert [e.stream for e in events if isinstance(e, Cancelled)] == [1]
    assert [e.data for e in events if isinstance(e, MessageReceived)] == [b"fine"]
    assert peer.status()[0] == str(int(code)) and list(peer.core.calls) == [3]


def test_a_request_that_ends_inside_a_message_is_an_invalid_argument() -> None:
    peer = Peer()
    peer.send_request()
    peer.h2.send_data(1, message(b"whole") + message(b"cut")[:-1], end_stream=True)
    events = peer.deliver()
    assert [e.data for e in events if isinstance(e, MessageReceived)] == [b"whole"]
    assert not [e for e in events if isinstance(e, HalfClosed)]
    assert peer.status()[0] == str(int(Code.INVALID_ARGUMENT))


def test_calls_opened_and_reset_in_a_loop_end_the_connection() -> None:
    peer = Peer(Limits(reset_burst=50, reset_per_s=1))
    for n in range(200):
        peer.send_request(2 * n + 1)
        peer.h2.reset_stream(2 * n + 1, 8)
        if any(isinstance(e, Broken) for e in peer.deliver()):
            break
    assert 50 <= n <= 52 and peer.core.dead and not peer.core.calls


@pytest.mark.parametrize("flood", ["ping", "settings", "empty"])
def test_floods_of_control_frames_end_the_connection(flood: str) -> None:
    peer = Peer(Limits(control_burst=20, control_per_s=1))
    peer.send_request()
    for _ in range(60):
        if flood == "ping":
            peer.h2.ping(b"12345678")
        elif flood == "settings":
            peer.h2.update_settings({4: 65_535})
        else:
            peer.h2.send_data(1, b"")
        if any(isinstance(e, Broken) for e in peer.deliver()):
            return
    raise AssertionError("the flood went on")


def test_pings_within_the_rate_do_not_end_the_connection() -> None:
    peer = Peer(Limits(control_burst=20, control_per_s=10))
    for n in range(100):
        peer.h2.ping(b"12345678")
        assert not [e for e in peer.deliver(now=n * 100_000) if isinstance(e, Broken)]


def test_a_frame_too_large_ends_the_connection_before_its_body_is_buffered() -> None:
    core = Core(False)
    events = core.receive(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff\xff\xff" + b"\0" * 6, 0)
    assert isinstance(events[-1], Broken) and "frame" in events[-1].reason


def test_calls_beyond_the_limit_are_rejected_as_unprocessed_and_others_continue() -> None:
    peer = Peer(Limits(max_streams=3, control_burst=30, control_per_s=0.1))
    for n in range(5):  # The client sends these before it has received the limit.
        peer.send_request(2 * n + 1)
    events = peer.deliver()
    assert [e.stream for e in events if isinstance(e, CallStarted)] == [1, 3, 5] == list(peer.core.calls)
    refused = [e for e in peer.seen if type(e).__name__ == "StreamReset"]
    assert [(e.stream_id, int(e.error_code)) for e in refused] == [(7, 7), (9, 7)]  # type: ignore[attr-defined]
    peer.core.finish(1, Status(Code.OK))
    peer.read_output()
    peer.send_request(11)
    assert [e.stream for e in peer.deliver() if isinstance(e, CallStarted)] == [11]
    for n in range(100):  # A client that keeps ignoring the limit is disconnected.
        peer.h2.remote_settings.max_concurrent_streams = 1000
        peer.h2.remote_settings.acknowledge()
        peer.send_request(13 + 2 * n)
        if any(isinstance(e, Broken) for e in peer.deliver()):
            return
    raise AssertionError("the connection went on")


def test_headers_beyond_the_limit_are_rejected() -> None:
    peer = Peer(Limits(max_header_bytes=2000))
    peer.send_request(headers={"x": "y" * 4000})
    assert not [e for e in peer.deliver() if isinstance(e, CallStarted)]


def test_a_smaller_window_stops_sending_and_a_larger_one_resumes_it() -> None:
    peer = Peer(Limits(pending_high=10_000, pending_low=1_000))
    peer.h2.update_settings({4: 100})
    peer.send_request(end=True)
    peer.deliver()
    assert not peer.core.send(1, b"x" * 20_000)
    peer.read_output()
    assert sum(len(getattr(e, "data", None) or b"") for e in peer.seen) == 100
    assert peer.core.pending(1) == 20_005 - 100
    peer.h2.update_settings({4: 50_000})
    peer.deliver()
    assert [type(e) for e in peer.core.events()] == [Writable] and peer.core.pending(1) == 0


def test_a_paused_call_gets_one_window_and_delays_no_other() -> None:
    peer = Peer(Limits(stream_window=1000, connection_window=65_535))
    for stream in (1, 3):
        peer.send_request(stream)
    peer.deliver()
    peer.core.pause(1)
    assert peer.h2.local_flow_control_window(1) == 1000
    for _ in range(300):
        size = min(peer.h2.local_flow_control_window(1), 300)
        if size:
            peer.h2.send_data(1, b"\0" * size)
        peer.h2.send_data(3, message(b"x" * 295))
        peer.deliver()
    assert peer.h2.local_flow_control_window(1) == 0
    peer.core.resume(1)
    peer.read_output()
    assert peer.h2.local_flow_control_window(1) == 1000


def test_a_graceful_drain_lets_open_calls_end_and_stops_new_ones() -> None:
    client, server = Core(True), Core(False)

    def exchange() -> tuple[list[Event], list[Event]]:
        here: list[Event] = []
        there: list[Event] = []
        for _ in range(6):
            there += server.receive(client.take(), 0)
            here += client.receive(server.take(), 0)
        return here, there

    first = client.start("/x.Y/Z")
    client.half_close(first)
    exchange()
    server.drain()
    crossing = client.start("/x.Y/Z")  # crosses the GOAWAY of the server
    here, there = exchange()
    assert [e for e in here if isinstance(e, GoAway)] and client.available_streams() == 0
    # The first GOAWAY of the server still allows the crossing call.
    assert any(isinstance(e, CallStarted) and e.stream == crossing for e in there)
    server.send(first, b"still")
    server.finish(first, Status(Code.OK))
    here, _ = exchange()
    assert [e.status.code for e in here if isinstance(e, CallEnded)] == [Code.OK]


def test_goaway_marks_later_calls_as_unprocessed() -> None:
    client = Core(True)
    server = h2.connection.H2Connection(H2Configuration(client_side=False))
    server.initiate_connection()
    one, two = client.start("/x.Y/Z"), client.start("/x.Y/Z")
    server.receive_data(client.take())
    client.receive(server.data_to_send(), 0)
    server.close_connection(last_stream_id=one)
    events = client.receive(server.data_to_send(), 0)
    assert [(e.stream, e.unprocessed) for e in events if isinstance(e, CallEnded)] == [(two, True)]
    assert list(client.calls) == [one]
    events = client.lost("closed")
    assert [(e.stream, e.unprocessed, e.reset) for e in events if isinstance(e, CallEnded)] == [
        (one, False, True)
    ]


@pytest.mark.parametrize(
    ("us", "text"),
    [(1, "1u"), (99_999_999, "99999999u"), (100_000_000, "100000m"), (360_000_000_000_000, "6000000M")],
)
def test_timeouts_take_the_finest_unit_that_fits(us: int, text: str) -> None:
    assert encode_timeout(us) == text.encode()
    assert decode_timeout(text) == us


def test_messages_survive_percent_encoding() -> None:
    text = "100 % ünbekannt\n\t~"
    encoded = encode_message(text)
    assert all(0x20 <= b <= 0x7E for b in encoded) and decode_message(encoded.decode()) == text
