"""Races at the end of a request, a connection or a node. Each test forces one order of events."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from relay_harness import (
    LARGE_BODY,
    SETTINGS,
    STREAM,
    STREAM_HEAD,
    TOKEN_EVENTS,
    HangingReceiver,
    Platform,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    answer_prefill_after,
    chunk,
    never_answer,
    platform,
    read_reply,
    request,
)
from relay_process import settings_text
from world import run, until

CLASS: dict[str, Any] = SETTINGS["classes"][0]


def one_class(**changes: Any) -> dict[str, Any]:
    """Return settings with a single class: the first class of the usual settings, with these changes."""
    return {"settings": {"classes": [{**CLASS, **changes}]}}


async def hanging_prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer releases, and read requests in full without ever answering them."""
    await (answer_prefill if received.method == "DELETE" else never_answer)(received, writer)


@pytest.mark.parametrize(("effect", "status"), [("free", 503), ("single_shot", 502)])
def test_a_request_in_prefill_as_the_node_stops_is_rejected_only_if_it_may_run_twice(
    effect: str, status: int
) -> None:
    """The engine hangs and has the complete request, so it may still run the request after its connection has closed."""

    async def go() -> None:
        async with platform(one_class(effect=effect), r0=hanging_prefill, w0=answer_decode) as p:
            reader, writer = await p.connect()
            writer.write(request("reading"))
            await until(lambda: bool(p.received()))
            p.relay.conclude_open_requests()
            reply = await asyncio.wait_for(read_reply(reader), 5.0)
            assert (reply.status, reply.is_complete) == (status, True)
            writer.close()

    run(go, virtual=True)


def without_cancel(**changes: Any) -> dict[str, Any]:
    """Return settings that forbid cancelling, with one class that may not be repeated."""
    settings = one_class(effect="single_shot", **changes)
    settings["settings"]["limits"] = {**SETTINGS["limits"], "cancel": False}
    return settings


def shut_down(p: Platform, writer: asyncio.StreamWriter) -> None:
    p.relay.conclude_open_requests()


def wait_for_the_deadline(p: Platform, writer: asyncio.StreamWriter) -> None:
    """Do nothing: the budget of the request ends by itself."""


def leave(p: Platform, writer: asyncio.StreamWriter) -> None:
    writer.close()


def remove_the_engine(p: Platform, writer: asyncio.StreamWriter) -> None:
    p.publish(m0="Gone")


# Guards against requests that have ended and run all the same, once the engine that hung in mid-request reads on.
@pytest.mark.parametrize(
    ("end", "budget", "status"),
    [
        (shut_down, "9", 503),
        (wait_for_the_deadline, "1.5", 504),
        (leave, "9", 0),
        (remove_the_engine, "1.5", 504),
    ],
)
def test_the_rest_of_a_half_written_request_is_not_sent_after_its_end(
    end: Callable[[Platform, asyncio.StreamWriter], None], budget: str, status: int
) -> None:
    async def go() -> None:
        engine = HangingReceiver(answer_decode)
        async with platform(without_cancel(), m0=engine) as p:
            reader, writer = await p.connect()
            writer.write(request("half", LARGE_BODY, budget))
            await until(lambda: engine.hanging == 1)
            end(p, writer)
            if status:
                assert (await asyncio.wait_for(read_reply(reader), 5.0)).status == status
            await until(lambda: not p.relay.front.call_ids.open)
            engine.may_read.set()
            await until(lambda: not engine.open_connections)
            assert not engine.received()
            writer.close()

    run(go)


# Guards against two attempts of one request, as the rest of the first is sent after its engine has turned it away.
def test_the_rest_of_a_request_that_was_rejected_early_is_not_sent() -> None:
    async def go() -> None:
        rejection = b"HTTP/1.1 503 Busy\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n"
        rejecting = HangingReceiver(answer_decode, rejection)
        async with platform(without_cancel(), m0=rejecting, m1=answer_decode) as p:
            number = 0
            while not rejecting.hanging:
                number += 1
                # Each prefix has its own home, so that one of them soon has the rejecting engine.
                info = f"prefix=p{number},prompt_len=9,prefix_len=4,max_out=20"
                reply = await p.send(request(f"early-{number}", LARGE_BODY, "9", X_Call_Info=info))
                assert (reply.status, reply.is_complete) == (200, True)
            rejecting.may_read.set()
            await until(lambda: not rejecting.open_connections)
            assert not rejecting.received()
            assert len(p.engines["m1"].received()) == number

    run(go)


# Guards against a prefill that is answered after its request has failed at a shutdown, and leaves its state reserved.
def test_the_state_of_a_prefill_that_outlives_its_request_is_released() -> None:
    async def go() -> None:
        may_end = asyncio.Event()

        async with platform(without_cancel(), r0=answer_prefill_after(may_end), w0=answer_decode) as p:
            reader, writer = await p.connect()
            writer.write(request("outlived"))
            await until(lambda: bool(p.received()))
            p.relay.conclude_open_requests()
            assert (await asyncio.wait_for(read_reply(reader), 5.0)).status == 502
            may_end.set()
            await until(lambda: not p.relay.table.open)
            await until(
                lambda: any(one.target == "/bootstrap/rooms/outlived" for one in p.received("DELETE"))
            )
            assert len(p.received()) == 1
            writer.close()

    run(go, virtual=True)


def test_a_request_whose_last_byte_comes_with_its_clients_fin_reaches_no_engine() -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            for pieces in (1, 2, 7, 40):
                data = request(f"pieces-{pieces}")
                _, writer = await p.connect()
                size = -(-len(data) // pieces)
                for at in range(0, len(data) - size, size):
                    writer.write(data[at : at + size])
                    await asyncio.sleep(0)
                writer.write(data[len(data) - size :])
                writer.write_eof()  # The end is sent in the same turn of the event loop as the last byte.
                await until(lambda: not p.relay.front.server.links)
                writer.close()
            assert not p.received("POST")
            assert (await p.send_request()).is_complete

    run(go, virtual=True)


def test_connections_that_are_reset_right_after_they_were_accepted_are_forgotten() -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            host, _, port = p.relay.front.server.address.rpartition(":")
            for number in range(60):
                with socket.create_connection((host, int(port))) as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    if number % 3:
                        sock.sendall(request(f"reset-{number}")[: number % 3 * 100])
                await asyncio.sleep(0)
            await until(lambda: not p.relay.front.server.links)
            assert not p.received("POST")
            assert (await p.send_request()).is_complete

    run(go, virtual=True)


@pytest.mark.parametrize(
    "half",
    [
        b"HTTP/1.1 20",
        b"HTTP/1.1 200 OK\r\ncontent-ty",
        STREAM_HEAD + b"1",
        STREAM_HEAD + chunk(TOKEN_EVENTS[0])[:9],
    ],
)
def test_an_attempt_whose_engine_breaks_off_within_a_line_is_retried(half: bytes) -> None:
    async def go() -> None:
        tried: list[str] = []

        async def half_at_first(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST" and not tried:
                tried.append(received.call_id)
                writer.write(half)
                writer.close()
                return
            await answer_decode(received, writer)

        async with platform(r0=answer_prefill, w0=half_at_first, w1=half_at_first) as p:
            reply = await p.send_request()
            assert (reply.status, reply.is_complete, reply.body) == (200, True, STREAM)
            assert len(tried) == 1

    run(go, virtual=True)


def test_a_client_that_leaves_as_half_a_line_comes_from_its_engine_affects_no_other_request() -> None:
    async def go() -> None:
        streams: list[asyncio.StreamWriter] = []

        async def half_a_line(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.call_id == "leaves":
                writer.write(STREAM_HEAD + chunk(TOKEN_EVENTS[0]))
                streams.append(writer)
                await never_answer(received, writer)
            await answer_decode(received, writer)

        async with platform(r0=answer_prefill, w0=half_a_line) as p:
            reader, writer = await p.connect()
            writer.write(request("leaves"))
            await until(lambda: bool(streams))
            await reader.readuntil(TOKEN_EVENTS[0])
            writer.close()
            streams[0].write(chunk(TOKEN_EVENTS[1])[:7])
            await until(lambda: not p.relay.table.open)
            assert (await p.send_request()).is_complete

    run(go, virtual=True)


def test_repeated_signals_while_the_node_stops_change_nothing(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def go() -> None:
        async with platform(r0=answer_prefill, w0=answer_decode) as p:
            path = tmp_path / "config.json"
            path.write_text(settings_text("127.0.0.1:9"))
            monkeypatch.setenv("RELAY_CONFIG", str(path))
            first = asyncio.ensure_future(p.relay.stop(0.2, 0.1))
            await asyncio.sleep(0)
            p.relay.reload()
            again = asyncio.ensure_future(p.relay.stop(0.2, 0.0))
            await asyncio.wait_for(asyncio.gather(first, again), 5.0)
            p.relay.reload()  # The agent is no longer polled.
            assert p.relay.source.address == "127.0.0.1:9"

    run(go, virtual=True)
