"""The sans-I/O core with arbitrary chunks, with and without the path for plain frames, and with garbage."""

from __future__ import annotations

from dataclasses import astuple

from hypothesis import given, settings
from hypothesis import strategies as st

from tuliptrack.rpc.core import Core, Limits
from tuliptrack.rpc.events import Broken, Event, MessageReceived, Pong, Writable
from tuliptrack.rpc.status import Code, Status

LIMITS = Limits(max_message_bytes=50_000, stream_window=20_000, connection_window=100_000)
OPS = st.lists(
    st.one_of(
        st.tuples(st.just("start"), st.booleans()),
        st.tuples(st.just("send"), st.integers(0, 9), st.binary(max_size=40), st.integers(0, 900)),
        st.tuples(st.just("half"), st.integers(0, 9)),
        st.tuples(st.just("reset"), st.integers(0, 9)),
        st.tuples(st.just("reply"), st.integers(0, 9), st.integers(0, 30_000)),
        st.tuples(st.just("finish"), st.integers(0, 9), st.sampled_from([Code.OK, Code.UNAVAILABLE])),
        st.tuples(st.just("ping"), st.binary(min_size=8, max_size=8)),
        st.tuples(st.just("drain"), st.just(0)),
    ),
    max_size=30,
)


def transcript(ops: list[tuple]) -> tuple[bytes, bytes, list[Event], list[Event]]:  # type: ignore[type-arg]
    """Run the operations; return the bytes to the server and to the client, and the events at each side."""
    client, server = Core(True, LIMITS), Core(False, LIMITS)
    to_server, to_client = bytearray(), bytearray()
    at_server: list[Event] = []
    at_client: list[Event] = []
    streams: list[int] = []

    def exchange() -> None:
        for _ in range(40):
            one, other = client.take(), server.take()
            if not one and not other:
                return
            to_server.extend(one)
            to_client.extend(other)
            at_server.extend(server.receive(one, 0))
            at_client.extend(client.receive(other, 0))
            at_server.extend(server.events())
            at_client.extend(client.events())

    for op, *args in ops:
        stream = streams[args[0] % len(streams)] if streams and isinstance(args[0], int) else 0
        if op == "start" and client.available_streams() > 0:
            streams.append(client.start("/x.Y/Z", (("a-bin", b"\0\xff"), ("b", "c")), 5_000_000, args[0]))
        elif op == "send":
            client.send(stream, args[1] * (1 + args[2]))
        elif op == "half":
            client.half_close(stream)
        elif op == "reset":
            client.reset(stream)
        elif op == "reply":
            server.send(stream, b"r" * args[1])
        elif op == "finish":
            server.finish(stream, Status(args[1], "über %"))
        elif op == "ping":
            client.ping(args[0])
        elif op == "drain":
            server.drain()
        exchange()
    return bytes(to_server), bytes(to_client), at_server, at_client


def feed(core: Core, data: bytes, cuts: list[int]) -> list[Event]:
    """Give a core these bytes in chunks; return its events, without those that its own sending causes."""
    events: list[Event] = []
    at = 0
    for cut in [*sorted(c % (len(data) + 1) for c in cuts), len(data)]:
        events += core.receive(data[at:cut], 0)
        core.take()
        at = max(at, cut)
    return events


def described(events: list[Event]) -> list[tuple[str, tuple[object, ...]]]:
    return [(type(e).__name__, astuple(e)) for e in events if not isinstance(e, Writable | Pong)]


@settings(max_examples=120, deadline=None, derandomize=True)
@given(OPS, st.lists(st.integers(0, 1 << 20), max_size=40))
def test_any_chunking_and_either_way_through_h2_give_the_same_events(ops, cuts) -> None:  # type: ignore[no-untyped-def]
    to_server, _, lived, _ = transcript(ops)
    whole = described(feed(Core(False, LIMITS), to_server, []))
    assert described(feed(Core(False, LIMITS), to_server, cuts)) == whole
    slow = Core(False, LIMITS)
    slow.h2.plain_data = False
    assert described(feed(slow, to_server, cuts)) == whole
    # The live server received at most these messages: its own resets and ends can only end calls earlier.
    lived_messages = [e.data for e in lived if isinstance(e, MessageReceived)]
    assert len(lived_messages) <= sum(1 for name, _ in whole if name == "MessageReceived")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    OPS,
    st.lists(st.tuples(st.integers(0, 1 << 20), st.binary(min_size=1, max_size=12)), min_size=1, max_size=8),
    st.lists(st.integers(0, 1 << 20), max_size=12),
)
def test_damaged_bytes_end_calls_or_the_connection_and_never_raise(ops, damage, cuts) -> None:  # type: ignore[no-untyped-def]
    to_server, to_client, _, _ = transcript(ops)
    for client, data in ((False, bytearray(to_server)), (True, bytearray(to_client))):
        for place, new in damage:
            place %= len(data) + 1
            data[place : place + len(new)] = new
        core = Core(client, LIMITS)
        if client:
            for _ in range(3):
                core.half_close(core.start("/x.Y/Z"))
        events = feed(core, bytes(data), cuts)
        if any(isinstance(e, Broken) for e in events):
            assert core.dead and not core.calls
            assert isinstance(events[-1], Broken)
        if core.dead:
            assert core.receive(b"more", 0) == []
        core.lost("test")
        assert not core.calls


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=400), st.booleans())
def test_garbage_is_an_event(data: bytes, preface: bool) -> None:
    core = Core(False, LIMITS)
    events = core.receive((b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" if preface else b"") + data, 0)
    events += core.lost("closed")
    assert isinstance(events[-1], Broken) and not core.calls
