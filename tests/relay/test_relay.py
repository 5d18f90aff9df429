"""The node on the platform's HTTP, whole paths on real sockets, judged by what engines and clients saw."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import signal
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from relay_node import start_node, told
from relay_world import (
    OPENING,
    SETTINGS,
    STREAM,
    TOKENS,
    Peer,
    Script,
    Seen,
    Vanished,
    chunk,
    config,
    delay_connections,
    hangs,
    platform,
    read_reply,
    reads,
    request,
    writes,
)
from world import run, until

from tuliptrack.interface import Action, Event, Log, Refuse, Request, ServerState
from tuliptrack.node.attempt_state import HELD_UP_US
from tuliptrack.relay.discovery import ListError, Members


def test_a_request_passes_unchanged_to_a_reader_and_a_writer_and_its_events_come_back() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            body = json.dumps({"stream": True, "messages": ["ü" * 3_000]}).encode()
            reply = await p.say(request("call-1", body))
            assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)
            first, second = p.saw()
            for one in (first, second):
                assert (one.method, one.target, one.body) == ("POST", "/v1/chat/completions?a=1", body)
                assert one.call_id == "call-1" and 0 < float(one.head["x-budget"]) < 4.8
            assert first in p.engines["r0"].seen and second in p.engines["w0"].seen
            seats = {s.role.value: s for s in p.relay.router.seats.values()}
            assert seats["read"].depth == 2.0 and seats["write"].memory == 0.25  # the reports, at its head and at its end
            assert not p.saw("DELETE")

    run(go, virtual=True)


def test_what_a_head_says_end_to_end_reaches_engines_and_what_is_of_one_connection_does_not() -> None:
    """Classes that may be repeated with a key carry it in a field of their own, which no settings name."""

    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            reply = await p.say(
                request(
                    "keyed",
                    Idempotency_Key="k-77",
                    Accept_Language="de, en",
                    X_Name="J\u00f6rg",
                    Cookie="a=1",
                    Connection="keep-alive, X-Hop",
                    X_Hop="1",
                    TE="trailers",
                    Keep_Alive="timeout=5",
                    Accept_Encoding="gzip",
                )
            )
            assert reply.status == 200 and reply.whole
            sent = {"idempotency-key": "k-77", "accept-language": "de, en", "x-name": "J\u00c3\u00b6rg", "cookie": "a=1"}
            for one in p.saw():
                assert {name: one.head.get(name) for name in sent} == sent
                assert not {"x-hop", "te", "keep-alive", "connection", "accept-encoding"} & one.head.keys()
            assert len(p.saw()) == 2

    run(go, virtual=True)


def spoilt(*parts: bytes) -> Script:
    async def script(one: Seen, writer: asyncio.StreamWriter) -> None:
        if one.method == "DELETE":
            await reads(one, writer)
            return
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        await asyncio.Event().wait()

    return script


@pytest.mark.parametrize(
    "parts",
    [
        (b"\x00\xff\x13noise\r\n\r\n",),
        (b"HTTP/1.1 200 OK\r\nx: " + b"y" * 70_000,),
        (OPENING + b"zz\r\n",),
        (OPENING + b"5\r\nhello world, this does not fit\r\n",),
        (OPENING + chunk(b"never an end " * 6_000),),
        (b"HTTP/1.1 100 Continue\r\n\r\n" * 40,),
        (OPENING + b"0\r\n\r\n",),
    ],
    ids=["noise", "head without end", "chunk size", "chunk that does not fit", "event without end", "1xx for ever", "empty"],
)
def test_a_stream_spoilt_before_its_first_event_is_tried_elsewhere(parts: tuple[bytes, ...]) -> None:
    async def go() -> None:
        tried: list[Seen] = []
        bad = spoilt(*parts)

        async def first_bad(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                tried.append(one)
            await (bad if len(tried) == 1 and one.method == "POST" else writes)(one, writer)

        async with platform(r0=reads, w0=first_bad, w1=first_bad) as p:
            reply = await p.ask()
            assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)
            assert len(tried) == 2

    run(go, virtual=True)


@pytest.mark.parametrize(
    "part",
    [
        b"zz\r\n",
        b"b2d05e00\r\n" + b"data: x" * 50_000,
        b"4\r\nnot what it says\r\n",
        chunk(b"no event\n\n"),
        chunk(b"data: cut") + b"0\r\n\r\n",
    ],
)
def test_a_stream_spoilt_later_ends_the_clients_connection_without_its_last_chunk(part: bytes) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=spoilt(OPENING + chunk(TOKENS[0]), part), w1=hangs) as p:
            p.tell(w1="Terminating")
            await until(lambda: p.relay.members.revision == p.revision)
            reply = await asyncio.wait_for(p.ask(), 5.0)
            assert (reply.status, reply.whole, reply.body) == (200, False, TOKENS[0])
            assert len(p.engines["w0"].asked()) == 1

    run(go, virtual=True)


def test_what_an_engine_sends_unasked_reaches_no_other_request() -> None:
    async def go() -> None:
        async def talks_on(one: Seen, writer: asyncio.StreamWriter) -> None:
            await writes(one, writer)
            await asyncio.sleep(0.005)
            writer.write(OPENING + chunk(b"data: not yours\n\n") + b"0\r\n\r\n")

        async with platform(r0=reads, w0=talks_on) as p:
            for _ in range(6):
                reply = await p.ask()
                assert (reply.status, reply.whole, reply.body) == (200, True, STREAM)

    run(go, virtual=True)


def test_what_was_read_is_let_go_where_its_client_leaves_and_where_its_reader_is_silent() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=hangs, w1=writes) as p:
            p.tell(w1="Terminating")
            await until(lambda: p.relay.members.revision == p.revision)
            _, writer = await p.connect()
            writer.write(request("leaves"))
            await until(lambda: bool(p.engines["w0"].asked()))
            writer.close()
            await until(lambda: any(one.target == "/bootstrap/rooms/leaves" for one in p.saw("DELETE")))
            assert "leaves" in p.engines["w0"].broke  # its attempt was given up with its connection
            # Its reader takes no more connections: any other engine is told instead.
            await p.engines["r0"].stop()
            p.relay.channels.release(next(iter(p.relay.table.open), 0) or 0, _record("lost"))
            await until(lambda: any(one.target == "/bootstrap/rooms/lost" for one in p.saw("DELETE")))

    run(go, virtual=True)


def test_a_state_is_not_held_while_one_connection_after_another_fails_to_come_up() -> None:
    """With three writers that take no connection it was held for three times `connectTimeout`."""

    async def go() -> None:
        held: list[float] = []
        let_go: list[float] = []

        async def reader(one: Seen, writer: asyncio.StreamWriter) -> None:
            (let_go if one.method == "DELETE" else held).append(asyncio.get_running_loop().time())
            await reads(one, writer)

        async with platform(r0=reader, w0=Vanished(), w1=Vanished(), w2=Vanished()) as p:
            reply = await p.ask()
            assert reply.status in (429, 503) and reply.whole
            assert len(held) == len(let_go) >= 1
            slack = (SETTINGS["specifics"]["letGoBy"] + 300_000) / 1e6  # the platform's, from its own page
            assert all(gone - since <= slack for since, gone in zip(held, let_go, strict=True))

    run(go, virtual=True)


def _record(call_id: str) -> Any:
    return SimpleNamespace(ask=SimpleNamespace(call_id=call_id))


RUDE = {
    "noise": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "two lengths": request("x1", Content_Length="15", Transfer_Encoding="chunked"),
    "negative length": request("x2", Content_Length="-5"),
    "huge length": request("x3", Content_Length="62914560"),
    "length beyond numbers": request("x4", Content_Length="9" * 30),
    "no such class": request("x5", X_Call_Class="nobody"),
    "no such tenant": request("x6", X_Caller="nobody"),
    "no deadline": request("x7", budget="soon"),
    "deadline not a number": request("x8", budget="nan"),
    "no id": request(""),
    "an id that is a path": request("../../x"),
    "lengths that are none": request("x9", X_Call_Info="prompt_len=-3"),
    "not JSON": request("x10", b"{never"),
    "a head without end": b"POST / HTTP/1.1\r\nX-A: " + b"b" * 100_000,
    "60 MB in chunks": request("x11", b"", Transfer_Encoding="chunked", Content_Length="") + chunk(b"{" * 60_000) * 40,
}


@pytest.mark.parametrize("name", RUDE)
def test_what_cant_be_read_or_used_is_answered_with_an_error_and_reaches_no_engine(name: str) -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            reply = await p.say(RUDE[name], 3.0)
            assert reply.status == 0 or 400 <= reply.status < 500, reply
            if reply.status:
                assert json.loads(reply.body)["error"]
            assert not p.saw()
            assert (await p.ask()).whole

    run(go, virtual=True)


def test_an_open_id_is_not_taken_twice_and_an_unusable_request_blames_no_engine() -> None:
    async def go() -> None:
        async def unusable(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.call_id == "odd":
                writer.write(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n")
            else:
                await asyncio.sleep(0.2)
                await reads(one, writer)

        async with platform(r0=unusable, w0=writes) as p:
            first = asyncio.ensure_future(p.say(request("twice")))
            await until(lambda: bool(p.saw()))
            assert (await p.say(request("twice"))).status == 400
            assert (await p.say(request("odd"))).status == 400
            assert (await first).whole
            assert [one.call_id for one in p.engines["r0"].asked()] == ["twice", "odd"]
            assert not any(seat.blamed for seat in p.relay.router.seats.values())

    run(go, virtual=True)


def test_readiness_and_advice_on_refusals() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            assert (await p.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200
            head = await p.say(b"HEAD /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert head.status == 200 and head.head["content-length"] != "0"
            assert (await p.say(b"PUT /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")).status == 405
            handle = p.relay.router.handle

            def refuses(now: int, events: list[Event]) -> list[Action]:
                return [Refuse(e.id, 250_000) if isinstance(e, Request) else Log("") for e in events]

            p.relay.router.handle = refuses  # type: ignore[method-assign]
            reply = await p.ask()
            assert (reply.status, reply.head["retry-after"]) == (503, "0.250")
            p.relay.router.handle = handle  # type: ignore[method-assign]
            assert (await p.ask()).whole

    run(go, virtual=True)


def test_silent_and_slow_connections_end_in_time_and_make_room() -> None:
    async def go() -> None:
        async with platform(r0=reads, w0=writes) as p:
            limits = p.relay.front.server.limits
            assert limits.connections < p.relay.config.sockets / 2
            silent = [await p.connect() for _ in range(limits.connections + 40)]
            assert len(p.relay.front.server.links) <= limits.connections
            assert (await p.ask()).whole  # there is room for who says something
            began = asyncio.get_running_loop().time()
            _, half = silent[-1]
            half.write(b"POST / HTTP/1.1\r\nX-A: b")
            for reader, writer in silent:
                try:
                    await asyncio.wait_for(reader.read(-1), 10)
                except OSError:
                    pass
                writer.close()
            assert asyncio.get_running_loop().time() - began < 5.0

    run(go, virtual=True)


def test_drains_and_new_agents_are_followed() -> None:
    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            p.tell(r0="Terminating", w0="Terminating")
            await until(lambda: p.relay.members.revision == p.revision)
            for _ in range(10):
                assert (await p.ask()).whole
            assert not p.engines["r0"].seen and not p.engines["w0"].seen
            other = await Peer(p.answers).start()
            await p.agent.stop()
            p.relay.source.move(other.address)
            p.tell(r0="Ready", w0="Ready", r1="Gone", w1="Gone")
            await until(lambda: p.relay.members.revision == p.revision)
            before = len(p.engines["r1"].seen)
            for _ in range(10):
                assert (await p.ask()).whole
            assert len(p.engines["r1"].seen) == before
            await other.stop()

    run(go, virtual=True)


def test_what_a_silent_agent_has_at_its_return_is_heeded_within_the_drain_grace() -> None:
    """Calls that are open in an outage are never answered; a watch alone falls silent while new calls are answered."""

    async def go() -> None:
        async with platform(r0=reads, r1=reads, w0=writes, w1=writes) as p:
            grace = SETTINGS["obligations"]["drainGrace"] / 1e6
            answers, down = p.agent.script, asyncio.Event()

            async def silent_when_down(one: Seen, writer: asyncio.StreamWriter) -> None:
                told = re.search(r"since=(\d+)&timeout_ms=(\d+)", one.target)
                for _ in range(int(told[2]) // 5 if told else 0):
                    if down.is_set() or (told and int(told[1]) < p.revision):
                        break
                    await asyncio.sleep(0.005)
                if down.is_set():
                    await hangs(one, writer)
                await answers(Seen(one.method, "/api/targets", {}, b""), writer)

            p.agent.script = silent_when_down
            for round_, seconds in enumerate((0.9, 0.35, 0.0)):
                down.set()
                await asyncio.sleep(seconds)
                down.clear()
                phase = ("Terminating", "Ready")[round_ % 2]
                p.tell(r0=phase, w0=phase)
                await until(lambda: p.relay.members.revision == p.revision, grace)
            for _ in range(10):
                assert (await p.ask()).whole
            assert not p.engines["r0"].seen and not p.engines["w0"].seen
            assert p.agent.connections > 4  # each broken watch was followed by a call on a new connection

    run(go, virtual=True)


def test_what_may_have_run_is_not_refused_as_the_node_ends() -> None:
    """Its prompt is being read anew, after an attempt at a writer that broke: a refusal would say that it never ran."""

    async def go() -> None:
        async def breaks(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                raise OSError
            await reads(one, writer)

        async def state_gone(one: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 410 Gone\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")

        async def reads_once(one: Seen, writer: asyncio.StreamWriter) -> None:
            await (hangs if len(p.engines["r0"].asked()) > 1 and one.method == "POST" else reads)(one, writer)

        keyed = {**SETTINGS["classes"][0], "effect": "guarded", "keyScope": "zone", "dedupWindow": 5_000_000}
        async with platform({"settings": {"classes": [keyed]}}, r0=reads_once, w0=breaks, w1=breaks) as p:
            asking = asyncio.ensure_future(p.ask())
            await until(lambda: bool(p.engines["w0"].asked() or p.engines["w1"].asked()))
            for name in ("w0", "w1"):
                p.engines[name].script = state_gone
            await until(lambda: len(p.engines["r0"].asked()) > 1)
            p.relay.cut()
            assert (await asking).status == 502

    run(go, virtual=True)


def test_an_engine_that_began_to_drain_while_its_connection_came_up_is_sent_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def go() -> None:
        limits = {**SETTINGS["limits"], "connectTimeout": 2_000_000}
        obligations = {**SETTINGS["obligations"], "drainGrace": 200_000}
        async with platform({"settings": {"limits": limits, "obligations": obligations}}, r0=reads, w0=writes) as p:
            p.engines["r1"] = await Peer(reads).start()
            connecting = asyncio.Event()

            def delay(port: int) -> float:
                if port != p.engines["r0"].port:
                    return 0.0
                connecting.set()
                return 0.6

            delay_connections(monkeypatch, delay)
            asking = asyncio.ensure_future(p.ask())
            await connecting.wait()
            p.tell(r0="Terminating")
            reply = await asking
            assert (reply.status, reply.whole) == (200, True)
            assert not p.engines["r0"].asked() and len(p.engines["r1"].asked()) == 1

    run(go, virtual=True)


def test_no_repeat_is_sent_after_its_window_when_its_connection_comes_up_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first attempt breaks within the window; the second one's connection comes up after it."""

    async def go() -> None:
        async def breaks(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.1)
            writer.transport.abort()

        held_up = HELD_UP_US / 1e6  # A node may be held up for so long before it writes: its window is that much shorter.
        window = 0.4
        keyed = {
            **SETTINGS["classes"][0],
            "effect": "guarded",
            "keyScope": "zone",
            "dedupWindow": int((window + held_up) * 1e6),
        }
        limits = {**SETTINGS["limits"], "connectTimeout": 2_000_000}
        loop = asyncio.get_running_loop()
        for late in (0.0, window + 0.2):
            async with platform({"settings": {"classes": [keyed], "limits": limits}}, m0=breaks, m1=breaks) as p:
                waits = iter((0.0, *[late] * 9))
                ports = [engine.port for engine in p.engines.values()]

                def delay(port: int, waits: Iterator[float] = waits, ports: list[int] = ports) -> float:
                    return next(waits) if port in ports else 0.0

                with monkeypatch.context() as patch:
                    delay_connections(patch, delay)
                    began = loop.time()
                    reply = await p.ask()
                assert reply.status == 502, "it may have run"
                assert loop.time() - began < window + 0.2
                assert len(p.saw()) == (1 if late else 4), "as often as there is time for"

    run(go, virtual=True)


def test_an_entry_that_cant_be_used_is_left_out_and_old_lists_change_nothing() -> None:
    members = Members(("reads",), ("z",))
    good = {"id": "a", "host_port": "127.0.0.1:1", "locality": "z", "flavor": "reads", "phase": "Ready"}
    odd: list[Any] = [{**good, "id": "b", field: "no such"} for field in ("locality", "flavor", "phase", "host_port", "size")]
    change = members.take({"revision": 5, "complete": True, "members": [*odd, 7, good]})
    assert change and len(change.servers) == 1 and list(members.names.values()) == ["a"]
    assert members.take({"revision": 4, "complete": True, "members": []}) is None and members.names
    broken: tuple[Any, ...] = ([], {"members": 3}, {"revision": "x", "members": []})
    for wrong in broken:
        with pytest.raises(ListError):
            members.take(wrong)
    gone = members.take({"revision": 6, "complete": False, "members": [{"id": "a", "phase": "Gone"}]})
    assert gone and gone.servers[0].state is ServerState.GONE and not members.addresses


def test_signals_bring_new_settings_and_an_end_that_loses_nothing(tmp_path: Path) -> None:
    async def go() -> None:
        async def slowly(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.2)
            if one.call_id == "endless":
                writer.write(OPENING + chunk(TOKENS[0]))
                await asyncio.Event().wait()
            await writes(one, writer)

        async with platform(r0=reads, w0=slowly) as p:
            path = tmp_path / "config.json"
            node = await start_node(p.agent.address, path)
            process, address = node.process, node.address
            children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
            assert "tuliptrack.relay" in Path(f"/proc/{process.pid}/cmdline").read_text(), "the shell has become the node"
            assert not children.exists() or not children.read_text().strip(), "one process"
            host, _, port = address.rpartition(":")
            other = await Peer(p.answers).start()
            path.write_text("{ not whole")  # a bad file changes nothing
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            path.write_text(told(other.address))
            process.send_signal(signal.SIGHUP)
            await until(lambda: bool(other.seen))
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("open"))
            await until(lambda: bool(p.engines["w0"].asked()))
            process.send_signal(signal.SIGTERM)
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(request("late"))
            for one in (reader, late_reader):
                reply = await asyncio.wait_for(read_reply(one), 10)
                assert (reply.status, reply.whole) == (200, True)
            # Its connections stay open, and are good: no other node may be there yet.
            late_writer.write(request("later"))
            assert (await asyncio.wait_for(read_reply(late_reader), 10)).whole
            # A stream that SIGKILL would break is handed back before it can come.
            endless_reader, endless_writer = await asyncio.open_connection(host, int(port))
            endless_writer.write(request("endless"))
            reply = await asyncio.wait_for(read_reply(endless_reader), 3.5)
            assert (reply.status, reply.whole) == (200, False)
            # From then on it takes nothing new, but no connection is closed on a request that may be on its way.
            late_writer.write(request("last"))
            reply = await asyncio.wait_for(read_reply(late_reader), 3.5)
            assert (reply.status, reply.whole, reply.head.get("connection")) == (503, True, "close")
            assert await asyncio.wait_for(process.wait(), 10) == 0
            for end in (writer, late_writer, endless_writer):
                end.close()
            await other.stop()

    run(go)


def test_two_nodes_restarted_in_turn_under_load_answer_all_that_they_take(tmp_path: Path) -> None:
    """Slow readers, and a writer that hangs, then all of them; each node is killed as soon after SIGTERM as the platform may.
    Clients keep their connections for as long as these stay open, and come again at once."""
    deadline, load, hanging = 2.0, 6, 1.4  # seconds; clients; seconds before the kill from which on all writers hang
    killed = deadline + 0.7  # the platform's: the longest deadline, and so much more

    async def go() -> None:
        async def slowly(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.05 if one.method == "POST" else 0.0)
            await reads(one, writer)

        async def hung(one: Seen, writer: asyncio.StreamWriter) -> None:
            await (hangs if one.method == "POST" else reads)(one, writer)

        async with platform(r0=slowly, r1=slowly, w0=writes, w1=writes, w2=hung) as p:
            classes = [{**SETTINGS["classes"][0], "deadline": int(deadline * 1e6)}]
            changes: dict[str, Any] = {"settings": {**SETTINGS, "classes": classes}}
            paths = [tmp_path / name / "config.json" for name in ("n0", "n1")]
            for path in paths:
                path.parent.mkdir()
            nodes = [await start_node(p.agent.address, path, **changes) for path in paths]
            over = asyncio.Event()
            got: list[int] = []
            lost: list[str] = []
            crossed = 0

            async def connect(first: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
                for turn in range(2_000):
                    host, _, port = nodes[(first + turn) % 2].address.rpartition(":")
                    try:
                        return await asyncio.open_connection(host, int(port))
                    except OSError:
                        await asyncio.sleep(0.005)
                raise AssertionError("no node takes a connection")

            async def client(number: int) -> None:
                nonlocal crossed
                reader, writer = await connect(number)
                fresh = True
                for turn in itertools.count():
                    if over.is_set():
                        break
                    call_id = f"k{number}-{turn}"
                    for again in range(2):
                        with contextlib.suppress(OSError):
                            writer.write(request(call_id, budget=f"{deadline - 0.2:.3f}"))
                        reply = await asyncio.wait_for(read_reply(reader), 2 * deadline)
                        if reply.status or fresh:
                            break
                        crossed += 1  # A kept connection closed just then: the platform's clients send once more.
                        writer.close()
                        reader, writer = await connect(number + turn + again)
                        fresh = True
                    got.append(reply.status)
                    if not reply.status:
                        lost.append(call_id)
                    fresh = not reply.status or reply.head.get("connection") == "close" or not reply.whole
                    if fresh:
                        writer.close()
                        reader, writer = await connect(number + turn)
                writer.close()

            clients = [asyncio.ensure_future(client(number)) for number in range(load)]
            await until(lambda: len(got) > 4 * load)
            for number in (0, 1):
                process, address = nodes[number].process, nodes[number].address
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(killed - hanging)  # What comes now is to be answered before the kill all the same.
                for name in ("w0", "w1"):
                    p.engines[name].script = hung
                await asyncio.sleep(hanging)
                for name in ("w0", "w1"):
                    p.engines[name].script = writes
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
                nodes[number] = await start_node(p.agent.address, paths[number], **changes, listen=address)
                since = len(got)
                await until(lambda since=since: len(got) > since + 4 * load)  # type: ignore[misc]
            over.set()
            await asyncio.gather(*clients)
            for node in nodes:
                await node.kill()
            assert not lost, "taken, and never answered"
            assert crossed == 0, "closed with a request on its way"
            assert set(got) <= {200, 429, 502, 503, 504} and got.count(200) > 4 * load, Counter(got)
            for name in ("w0", "w1", "w2"):
                ids = [one.call_id for one in p.engines[name].asked()]
                assert len(ids) == len(set(ids)), "the same request twice at one writer"

    run(go, 60)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {"classes": 3}}, "settings"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"known": 7}, "known"),
    ],
)
def test_settings_that_cant_be_used_are_named(change: dict[str, Any], field: str) -> None:
    from tuliptrack.relay.config import RelayConfigError

    with pytest.raises(RelayConfigError, match=field):
        config([], "127.0.0.1:1", **change)
