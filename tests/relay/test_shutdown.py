"""What a stopping node still takes, and how what it has taken ends. SIGTERM comes at 0 s, SIGKILL may come 3.7 s
later; the engines answer with streams of 84 events, one every 60 ms, which take 5 s."""

from __future__ import annotations

import asyncio
from typing import Any

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
from world import run

from tuliptrack.relay import shutdown_schedule

KILL_AFTER_S = 3.7
EXCUSED_S = 0.7
"""Time after SIGTERM up to which the platform excuses that SIGKILL finds a request unanswered."""
EVENTS, EVENT_GAP_S = 84, 0.06
LONGEST_DEADLINE_S = 5.0
GRACE_S = 4 * LONGEST_DEADLINE_S


async def slow_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    if received.method == "DELETE":
        await answer_prefill(received, writer)
        return
    writer.write(STREAM_HEAD)
    for _ in range(EVENTS):
        await asyncio.sleep(EVENT_GAP_S)
        writer.write(chunk(TOKEN_EVENTS[0]))
    writer.write(chunk(b"".join(FINAL_EVENTS)) + b"0\r\n\r\n")


def settings(may_resume: bool, deadline_s: float = LONGEST_DEADLINE_S) -> dict[str, Any]:
    specifics = {**SETTINGS["specifics"], "resume": may_resume}
    classes = [{**SETTINGS["classes"][0], "deadline": int(deadline_s * 1e6)}]
    return {"settings": {"specifics": specifics, "classes": classes}}


class Clients:
    """Clients that were served before on their connections, and send one request each after SIGTERM."""

    def __init__(self, p: Platform) -> None:
        self.p = p
        self.ended_at: dict[float, float] = {}
        """When each reply ended, in seconds after SIGTERM, by the time at which its request was sent."""

    async def send(self, sent_at_s: list[float], kill_after_s: float, grace_s: float) -> dict[float, Reply]:
        """Stop the node; return the replies by the times at which their requests were sent."""
        connections = [await self.p.connect() for _ in sent_at_s]
        for reader, writer in connections:
            writer.write(b"GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n")
            assert (await read_reply(reader)).status == 200
        loop = asyncio.get_running_loop()
        stopped_at = loop.time() + max(-min(sent_at_s), 0.0)

        async def ask(after_s: float, number: int) -> Reply:
            reader, writer = connections[number]
            await asyncio.sleep(stopped_at + after_s - loop.time())
            writer.write(request(f"q{number}"))
            reply = await read_reply(reader)
            self.ended_at[after_s] = loop.time() - stopped_at
            return reply

        asked = {at: asyncio.ensure_future(ask(at, number)) for number, at in enumerate(sent_at_s)}
        await asyncio.sleep(stopped_at - loop.time())
        await self.p.relay.stop(grace_s, kill_after_s)
        self.node_ended_at = loop.time() - stopped_at
        replies = {at: await asyncio.wait_for(task, 1.0) for at, task in asked.items()}
        for _, writer in connections:
            writer.close()
        return replies


# Guards against streams that a stopping node takes and cuts off, where clients don't ask for the rest.
def test_where_streams_cannot_be_resumed_each_is_whole_or_its_request_was_rejected() -> None:
    async def go() -> None:
        async with platform(settings(False), r0=answer_prefill, w0=slow_decode, w1=slow_decode) as p:
            clients = Clients(p)
            sent_at_s = [-0.5, 0.0, 0.3, 0.5, 0.7, 0.9, 1.5, 2.1, 2.5, 3.0, 3.5]
            replies = await clients.send(sent_at_s, KILL_AFTER_S, GRACE_S)
            for at, reply in replies.items():
                assert reply.is_complete, f"cut off: the request of {at} s"
                if at <= 0.5:
                    assert reply.status == 200, f"rejected though it is excused: the request of {at} s"
                elif at >= EXCUSED_S:
                    assert reply.status == 503 and clients.ended_at[at] < at + 0.1
                    assert reply.head["connection"] == "close"
            last_end = max(clients.ended_at.values())
            assert last_end > KILL_AFTER_S and clients.node_ended_at < last_end + 1.5

    run(go, virtual=True)


# Guards against a node that cuts its streams off when SIGKILL may come, though it may come much later.
def test_short_deadlines_do_not_cut_off_streams_that_cannot_be_resumed() -> None:
    async def go() -> None:
        deadline_s = 0.5
        async with platform(settings(False, deadline_s), r0=answer_prefill, w0=slow_decode) as p:
            clients = Clients(p)
            replies = await clients.send([-0.3, 0.05, 1.0], deadline_s + EXCUSED_S, 4 * deadline_s)
            assert [(reply.status, reply.is_complete) for reply in replies.values()] == [
                (200, True),
                (200, True),
                (503, True),
            ]

    run(go, virtual=True)


def test_a_stream_that_never_ends_does_not_keep_the_node_forever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown_schedule, "MAX_STREAM_S", 2 * GRACE_S)

    async def go() -> None:
        async def endless_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(STREAM_HEAD)
            while True:
                writer.write(chunk(TOKEN_EVENTS[0]))
                await asyncio.sleep(2.0)

        async with platform(settings(False), r0=answer_prefill, w0=endless_decode) as p:
            clients = Clients(p)
            reply = (await clients.send([-0.5], KILL_AFTER_S, GRACE_S))[-0.5]
            assert (reply.status, reply.is_complete) == (200, False)
            assert clients.ended_at[-0.5] >= KILL_AFTER_S + 2 * GRACE_S
            assert clients.node_ended_at < KILL_AFTER_S + 2 * GRACE_S + 2.0

    run(go, 2_000, virtual=True)


@pytest.mark.parametrize("hold_up_s", [0.0, 0.14])
def test_where_streams_can_be_resumed_nothing_is_left_unanswered_at_the_kill(hold_up_s: float) -> None:
    """Until shortly before the kill requests are served; then their streams end so that clients ask for the
    rest in time. The node may get SIGTERM somewhat late."""

    async def go() -> None:
        async def prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.call_id in slow:  # These are in prefill until after the kill.
                await asyncio.sleep(4.0)
            await answer_prefill(received, writer)

        async with platform(settings(True), r0=prefill, r1=prefill, w0=slow_decode, w1=slow_decode) as p:
            clients = Clients(p)
            sent_at_s = [0.72, *(round(0.1 * step, 1) for step in range(-3, 37))]
            slow = {f"q{number}" for number in range(0, len(sent_at_s), 8)}
            late_s = [at - hold_up_s for at in sent_at_s]  # by the node's clock
            replies = await clients.send(late_s, KILL_AFTER_S, GRACE_S)
            for sent_at, reply in replies.items():
                at = sent_at + hold_up_s
                if at > EXCUSED_S:
                    assert reply.status, f"no answer: the request of {at:.1f} s"
                    assert clients.ended_at[sent_at] + hold_up_s < KILL_AFTER_S, f"the request of {at:.1f} s"
                if 0 <= at < KILL_AFTER_S - 1.2 and reply.status != 200:
                    assert f"q{late_s.index(sent_at)}" in slow, f"rejected: {at:.1f} s, {reply}"

    run(go, virtual=True)
