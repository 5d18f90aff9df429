"""When a node process ends a stream whose engine no longer writes events, and when it must not.

The platform lets a client wait 5 s after the last event of a running engine. It counts as lost a stream that is
cut off while its events still come.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from relay_harness import (
    FINAL_EVENTS,
    SETTINGS,
    STREAM_HEAD,
    TOKEN_EVENTS,
    Platform,
    ReceivedRequest,
    Reply,
    answer_prefill,
    chunk,
    platform,
    read_reply,
    request,
)
from relay_process import Node, start_node
from world import run, until

MAX_WAIT_S = 5.05
"""Time after an engine's last event within which its client must be let go."""
SOUND_GAP_S = 4.5
"""Time between two events that a stream must survive."""
NON_EVENT_PERIOD_S = 0.5
NON_EVENT_COUNT = 20
LARGE_EVENT = b'data: {"x":"' + b"y" * 16_000 + b'"}\n\n'
LARGE_ANSWER = [LARGE_EVENT] * 15
"""More than the buffers between an engine and a client that does not read, and less than an answer may have."""
CATCH_UP_S = 0.5
"""Time after a rest within which a client is let go if its engine has stopped meanwhile."""
MARGIN_S = 0.3

Write = Callable[[bytes], None]
Answer = Callable[["Stream", Write], Awaitable[None]]


def now() -> float:
    return asyncio.get_running_loop().time()


async def read_at_once(reader: asyncio.StreamReader) -> Reply:
    return await read_reply(reader)


def rest_before_reading(seconds: float) -> Callable[[asyncio.StreamReader], Awaitable[Reply]]:
    async def read(reader: asyncio.StreamReader) -> Reply:
        await asyncio.sleep(seconds)
        return await read_reply(reader)

    return read


async def read_slowly(reader: asyncio.StreamReader) -> Reply:
    """Read about 60 kB a second."""
    throttled = asyncio.StreamReader()

    async def copy() -> None:
        while data := await reader.read(3_000):
            throttled.feed_data(data)
            await asyncio.sleep(0.05)
        throttled.feed_eof()

    copying = asyncio.ensure_future(copy())
    reply = await read_reply(throttled)
    await copying
    return reply


@dataclass
class Stream:
    """One stream of an engine, and what its client got."""

    answer: Answer
    read: Callable[[asyncio.StreamReader], Awaitable[Reply]] = read_at_once
    budget: str = "4.8"
    last_event_at: float = 0.0
    """When the engine wrote its last event, as the engine sets it."""
    ended_at: float = 0.0
    reply: Reply | None = None

    @property
    def waited_s(self) -> float:
        """The time from the engine's last event to the end of the client's connection."""
        return self.ended_at - self.last_event_at


def then(*steps: Answer) -> Answer:
    async def answer(stream: Stream, write: Write) -> None:
        for step in steps:
            await step(stream, write)

    return answer


def events(*data: bytes) -> Answer:
    """Write events, and note the time of the last."""

    async def answer(stream: Stream, write: Write) -> None:
        for event in data:
            write(event)
        stream.last_event_at = now()

    return answer


def wait(seconds: float) -> Answer:
    async def answer(stream: Stream, write: Write) -> None:
        await asyncio.sleep(seconds)

    return answer


def repeat(data: bytes, count: int = NON_EVENT_COUNT, period_s: float = NON_EVENT_PERIOD_S) -> Answer:
    """Write the same bytes, which are no event, again and again."""

    async def answer(stream: Stream, write: Write) -> None:
        for _ in range(count):
            await asyncio.sleep(period_s)
            write(data)

    return answer


async def stay_silent(stream: Stream, write: Write) -> None:
    await asyncio.Event().wait()


def spell(data: bytes, seconds: float) -> Answer:
    """Write one event over some time, in pieces, and note when it is complete."""

    async def answer(stream: Stream, write: Write) -> None:
        size = max(len(data) // 30, 1)
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        for piece in pieces:
            write(piece)
            await asyncio.sleep(seconds / len(pieces))
        stream.last_event_at = now()

    return answer


Meanwhile = Callable[[Platform, Node], None]


def nothing(p: Platform, node: Node) -> None:
    pass


def play(tmp_path: Path, streams: dict[str, Stream], meanwhile: Meanwhile = nothing) -> list[str]:
    """Play streams at the same time, over one node process and one decode engine; return the node's log.

    `meanwhile` is called once the streams have begun.
    """
    log: list[str] = []

    async def go() -> None:
        log.extend(await play_on_loop(tmp_path, streams, meanwhile))

    run(go, 60)
    return log


async def play_on_loop(tmp_path: Path, streams: dict[str, Stream], meanwhile: Meanwhile) -> list[str]:
    async def decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "DELETE":
            await answer_prefill(received, writer)
            return
        stream = streams[received.call_id]
        writer.write(STREAM_HEAD)
        await stream.answer(stream, lambda data: writer.write(chunk(data)))
        writer.write(b"0\r\n\r\n")

    async def ask(node: Node, call_id: str, stream: Stream) -> None:
        host, _, port = node.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)  # A client that rests is felt at once.
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=4_096)
        writer.write(request(call_id, budget=stream.budget))
        stream.reply = await stream.read(reader)
        stream.ended_at = now()
        writer.close()

    async with platform({}, r0=answer_prefill, w0=decode) as p:
        node = await start_node(
            p.agent.address,
            tmp_path / "node.json",
            settings={
                **SETTINGS,
                "classes": [{**SETTINGS["classes"][0], "promise": 600_000_000}],
                "specifics": {**SETTINGS["specifics"], "resume": False},
            },
            known={"revision": 1, "complete": True, "members": p.members()},
        )
        try:
            asks = [ask(node, call_id, stream) for call_id, stream in streams.items()]
            asking = asyncio.gather(*asks)
            await until(lambda: asking.done() or all(stream.last_event_at for stream in streams.values()))
            meanwhile(p, node)
            await asyncio.wait_for(asking, 40)
        finally:
            await node.kill()
    return node.log


def check_let_go(streams: dict[str, Stream], at_most_s: float = MAX_WAIT_S) -> None:
    """Check that each stream was ended, as incomplete, no sooner than needed and no later than allowed."""
    waited = {name: round(stream.waited_s, 2) for name, stream in streams.items()}
    print("waited after the last event:", waited)
    for name, stream in streams.items():
        assert stream.reply and stream.reply.status == 200 and not stream.reply.is_complete, name
        assert SOUND_GAP_S <= stream.waited_s <= at_most_s, waited


def check_complete(streams: dict[str, Stream], body: bytes) -> None:
    for name, stream in streams.items():
        assert stream.reply and stream.reply.is_complete and stream.reply.body == body, (name, stream.reply)


NON_EVENTS = {
    "comment": b": ping\n\n",
    "blank lines": b"\n\n",
    "event field": b"event: ping\n\n",
    "id field": b"id: 7\n\n",
    "retry field": b"retry: 100\n\n",
    "empty data": b"data:\n\n",
    "start of an event": b"event: ping\n",
}


# Guards against a client that waits for as long as its engine writes something, though no event.
def test_what_is_no_event_does_not_keep_a_stream_open(tmp_path: Path) -> None:
    streams = {
        name.replace(" ", "-"): Stream(then(events(*TOKEN_EVENTS), repeat(data), stay_silent))
        for name, data in NON_EVENTS.items()
    }
    log = play(tmp_path, streams)
    check_let_go(streams)
    line = next(line for line in log if "call_id=event-field " in line)
    event_age_ms, output_age_ms = (
        float(line.split(f"{name}=")[1].split()[0]) for name in ("event_age_ms", "output_age_ms")
    )
    assert output_age_ms <= 1_000 * NON_EVENT_PERIOD_S + 100 < event_age_ms, line


# Guards against a client that waits for the end of a stream that is over but for its last chunk.
def test_what_follows_the_end_marker_does_not_keep_a_stream_open(tmp_path: Path) -> None:
    whole = events(*TOKEN_EVENTS, *FINAL_EVENTS)
    streams = {
        "silent": Stream(then(whole, stay_silent)),
        "events": Stream(then(whole, repeat(TOKEN_EVENTS[0]), stay_silent)),
        "marker": Stream(then(whole, repeat(FINAL_EVENTS[-1]), stay_silent)),
    }
    play(tmp_path, streams)
    check_let_go(streams)


# Guards against an answer that begins with no event: its client would have no deadline any more.
def test_what_is_no_event_does_not_begin_an_answer(tmp_path: Path) -> None:
    streams = {
        "event-field": Stream(then(repeat(b"event: ping\n\n", period_s=0.1), stay_silent), budget="1.0"),
        "empty-data": Stream(then(repeat(b"data:\n\n", period_s=0.1), stay_silent), budget="1.0"),
    }
    play(tmp_path, streams)
    for name, stream in streams.items():
        assert stream.reply and stream.reply.status == 504, (name, stream.reply)


# Guards against a client that waits longer because it rested: the pause must not restart the idle time.
def test_a_client_that_reads_late_is_let_go_in_time(tmp_path: Path) -> None:
    def large(read: Callable[[asyncio.StreamReader], Awaitable[Reply]]) -> Stream:
        return Stream(then(events(*LARGE_ANSWER), stay_silent), read)

    in_time = {f"rests-{rest_s}": large(rest_before_reading(rest_s)) for rest_s in (1, 2, 4)}
    in_time["slow-reader"] = large(read_slowly)
    pings = repeat(b"event: ping\n\n")
    for rest_s in (1, 3):
        stream = Stream(then(events(*LARGE_ANSWER), pings, stay_silent), rest_before_reading(rest_s))
        in_time[f"rests-{rest_s}-beside-pings"] = stream
    too_late = {f"rests-{rest_s}": (rest_s, large(rest_before_reading(rest_s))) for rest_s in (6, 8)}
    play(tmp_path, in_time | {name: stream for name, (_, stream) in too_late.items()})
    check_let_go(in_time)
    for rest_s, stream in too_late.values():
        check_let_go({"rests": stream}, rest_s + CATCH_UP_S + MARGIN_S)
        assert stream.reply and len(stream.reply.body) == len(b"".join(LARGE_ANSWER))


# Guards against a stream that is cut off though its engine still writes: no gap, event or rest is too long yet.
def test_a_stream_whose_events_still_come_is_not_cut_off(tmp_path: Path) -> None:
    first, *others = TOKEN_EVENTS
    body = b"".join([first, *others, *FINAL_EVENTS])
    rest = events(*others, *FINAL_EVENTS)
    streams = {
        "pause": Stream(then(events(first), wait(SOUND_GAP_S), rest)),
        "slow-event": Stream(
            then(events(first), spell(others[0], SOUND_GAP_S), events(*others[1:], *FINAL_EVENTS))
        ),
        "late-chunk": Stream(then(events(*TOKEN_EVENTS, *FINAL_EVENTS), wait(SOUND_GAP_S))),
    }
    late = {
        "rest": Stream(then(events(*LARGE_ANSWER), rest), rest_before_reading(8.0)),
        "event-in-a-rest": Stream(
            then(events(*LARGE_ANSWER[1:]), wait(3.8), events(LARGE_EVENT), wait(4.2), rest),
            rest_before_reading(6.0),
        ),
    }
    play(tmp_path, streams | late)
    check_complete(streams, body)
    check_complete(late, b"".join([*LARGE_ANSWER, *others, *FINAL_EVENTS]))


def shut_down(p: Platform, node: Node) -> None:
    node.process.send_signal(signal.SIGTERM)


def drain(p: Platform, node: Node) -> None:
    p.publish(w0="Terminating")


def remove(p: Platform, node: Node) -> None:
    p.unlisted.add("w0")
    p.publish()


# Guards against streams that a shutdown, or the end of an engine's place on the list, keeps open or cuts off.
@pytest.mark.parametrize("meanwhile", [shut_down, drain, remove])
def test_neither_a_shutdown_nor_a_change_of_the_list_moves_the_limit(
    meanwhile: Meanwhile, tmp_path: Path
) -> None:
    idle = {
        "silent": Stream(then(events(*TOKEN_EVENTS), stay_silent)),
        "pings": Stream(then(events(*TOKEN_EVENTS), repeat(b"event: ping\n\n"), stay_silent)),
    }
    first, *others = TOKEN_EVENTS
    sound = {"pause": Stream(then(events(first), wait(SOUND_GAP_S), events(*others, *FINAL_EVENTS)))}
    play(tmp_path, idle | sound, meanwhile)
    check_let_go(idle)
    check_complete(sound, b"".join([first, *others, *FINAL_EVENTS]))
