"""Hard cases of the running node, each caused on purpose, judged by what engines and clients saw."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from world import GENERATE, World, run, until, world

from tuliptrack.interface import EndpointState
from tuliptrack.lab.engine import Engine
from tuliptrack.node.request_state import FINAL_STATES, TRANSITIONS, RequestState
from tuliptrack.proto import fleet_pb2, lab_pb2
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel, EndReason, Options
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.core import Core
from tuliptrack.rpc.status import Code

LONG = "answer_least: 150 answer_most: 150 step_ms: 5"


def states(w: World) -> int:
    return sum(len(e.states) for e in w.engines.values())


def test_a_client_that_leaves_while_its_state_waits_for_a_writer_lets_it_go() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            w.engines["w0"].apply(lab_pb2.Trouble(pause_ms=5000))
            w.engines["w0"].m["slots"] = 0  # It waits in the writer's queue; its state, at the reader.
            one = w.ask()
            await until(lambda: w.seen("call", kind="write"))
            assert states(w) == 1 and one.call
            left = now_us()
            one.call.cancel()
            await until(lambda: w.seen("let go"))
            assert w.seen("let go")[0]["why"] == "released"
            assert w.seen("let go")[0]["t"] - left < 300_000
            await until(lambda: not w.node.table.open)

    run(go, virtual=True)


def test_a_reset_that_crosses_the_last_message_ends_the_request_once() -> None:
    async def go() -> None:
        async with world(model="answer_least: 3 answer_most: 3 step_ms: 1") as w:
            asked = [w.ask(request_class="bulk") for _ in range(30)]

            def leave_at_the_end(one: object) -> None:
                for a in asked:
                    if a.call and a.call.open and a.tokens and a.tokens[-1].finish_reason:
                        a.call.cancel()

            while not all(a.ends for a in asked):
                leave_at_the_end(None)
                await asyncio.sleep(0)
            assert {a.end.how for a in asked} <= {EndReason.STATUS, EndReason.CANCELLED}
            await until(lambda: not w.node.table.open)
            ends = w.node.table.end_counts
            assert ends[RequestState.SERVED] + ends[RequestState.DISCONNECTED] == 30 and states(w) == 0

    run(go, virtual=True)


def test_a_reader_that_dies_with_states_waiting_has_them_read_anew_elsewhere() -> None:
    async def go() -> None:
        async with world("r0 r1 w0", settings="routing { max_attempts: 8 }") as w:
            w.engines["w0"].m["slots"] = 0
            asked = [w.ask(session=f"s{n}", timeout=8) for n in range(12)]
            await until(lambda: states(w) == 12)
            dead = "r0" if w.engines["r0"].states else "r1"
            lost = len(w.engines[dead].states)
            assert lost
            await w.engines[dead].stop()
            w.engines["w0"].m["slots"] = 32
            w.engines["w0"]._wake.set()
            for one in asked:
                assert (await one.wait()).status.code is Code.OK
                one.check_tokens()
            assert len(w.seen("kept")) == 12 + lost

    run(go, virtual=True)


def test_a_deadline_between_read_and_write_is_answered_in_time_and_lets_the_state_go() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            w.engines["w0"].m["slots"] = 0
            one = w.ask(timeout=0.8)
            end = await one.wait()
            assert (end.how, end.status.code) == (EndReason.STATUS, Code.DEADLINE_EXCEEDED)
            await until(lambda: w.seen("let go"))
            assert w.seen("let go")[0]["why"] == "released"

    run(go, virtual=True)


def test_an_engine_that_goes_away_gracefully_ends_its_open_streams_first() -> None:
    async def go() -> None:
        async with world("r0 w0 w1", model=LONG) as w:
            asked = [w.ask() for _ in range(6)]
            await until(lambda: all(a.tokens for a in asked))
            leaving = next(n for n in ("w0", "w1") if w.engines[n].writing)
            stopping = asyncio.ensure_future(w.engines[leaving].server.stop(5))
            await asyncio.sleep(0)
            later = [w.ask() for _ in range(6)]
            for one in asked + later:
                assert (await one.wait()).status.code is Code.OK
                one.check_tokens()
            await stopping

    run(go, virtual=True)


def test_a_stream_runs_on_where_the_list_says_its_engine_is_gone() -> None:
    async def go() -> None:
        async with world("r0 w0 w1", model=LONG) as w:
            one = w.ask()
            await until(lambda: one.tokens)
            name = next(n for n in ("w0", "w1") if w.engines[n].writing)
            w.feed.change(w.entry(name, fleet_pb2.ServerEntry.GONE))
            await until(lambda: len(w.node.endpoint_list.entries) == 2)
            others = [w.ask() for _ in range(8)]
            for each in [one, *others]:
                assert (await each.wait()).status.code is Code.OK
                each.check_tokens()
            assert len(w.seen("call", kind="write", engine=name)) == 1
            await until(lambda: not w.node.channels._retired)  # its channel ends once the stream has

    run(go, virtual=True)


def test_an_engine_that_starts_again_at_its_address_is_reached_anew() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            assert (await w.ask().wait()).status.code is Code.OK
            for name in ("r0", "w0"):
                old = w.engines[name]
                port = int(old.server.address.rpartition(":")[2])
                await old.stop()
                w.engines[name] = Engine(name, old.model, w.logs[name])
                await w.engines[name].start(port=port)
            for _ in range(3):
                again = w.ask()
                await again.wait()
                if again.end.status.code is Code.OK:
                    break
                await asyncio.sleep(0.3)
            assert again.end.status.code is Code.OK
            again.check_tokens()

    run(go, virtual=True)


def test_a_peer_that_falls_silent_is_found_by_keepalive_and_ends_its_calls() -> None:
    async def go() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)  # It accepts, reads nothing, says nothing.

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        channel = Channel(f"127.0.0.1:{port}", Options(keepalive_after=100_000, keepalive_timeout=100_000))
        over = asyncio.get_running_loop().create_future()
        begun = asyncio.get_running_loop().time()
        channel.call("/x.Y/Z", message=b"", on_end=over.set_result)
        end = await over
        assert (
            end.how is EndReason.RESET
            and "keepalive" in end.status.message
            and asyncio.get_running_loop().time() - begun < 3
        )
        await channel.close()
        for writer in writers:
            writer.close()
        server.close()

    run(go, virtual=True)


def test_messages_behind_our_reset_are_dropped_and_the_connection_goes_on() -> None:
    client, server = Core(True), Core(False)

    def exchange() -> list[object]:
        server.receive(client.take(), 0)
        return list(client.receive(server.take(), 0))

    one, two = client.start("/x.Y/Z"), client.start("/x.Y/Z")
    exchange()
    server.send(one, b"late" * 100)
    server.send(two, b"fine")
    client.reset(one)  # crosses what the server sends
    seen = exchange()
    assert [e.data for e in seen if hasattr(e, "data")] == [b"fine"]
    assert not client.dead and list(client.calls) == [two]
    exchange()
    assert list(server.calls) == [two]


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\0" * 64,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 100,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0" + b"\0\0\4\0\0\0\0\0\1gggg",
        b"",
    ],
)
def test_broken_http2_ends_its_own_connection_and_disturbs_no_other(garbage: bytes) -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG) as w:
            neighbour = w.ask()
            await until(lambda: neighbour.tokens)
            host, port = w.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(garbage)
            if not garbage:
                writer.write_eof()
            await asyncio.wait_for(reader.read(-1), 5)  # The node ends it.
            writer.close()
            await until(lambda: len(w.node.server.links) == 1)
            assert (await neighbour.wait()).status.code is Code.OK
            neighbour.check_tokens()

    run(go, virtual=True)


def test_calls_opened_and_reset_in_a_loop_cost_their_own_connection_only() -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG) as w:
            neighbour = w.ask()
            flooder = Channel(w.address, Options(connect_timeout=2_000_000, max_links=1))
            request = pb.GenerateRequest(
                request_class="question", tenant="south", prompt="x", prompt_tokens=1
            )
            for n in range(6000):
                call = flooder.call(GENERATE, message=request.SerializeToString())
                if n % 50 == 0:
                    await asyncio.sleep(0)
                call.cancel()
                if flooder.connects > 1:
                    break
            await until(lambda: w.node.server.broken >= 1)
            await flooder.close()
            assert (await neighbour.wait()).status.code is Code.OK
            await until(lambda: not w.node.table.open and w.node.server.open_calls() == 0)

    run(go, virtual=True)


def test_a_malformed_load_report_is_left_out_and_the_answer_served(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            for engine in w.engines.values():
                engine.report = (now_us() + 60_000_000, b"\xff\xff\xff")
            one = w.ask()
            assert (await one.wait()).status.code is Code.OK
            assert all(seat.reported_at_us == 0 for seat in w.node.router.endpoints.values())

    run(go, virtual=True)
    assert "load report not taken" in capsys.readouterr().out


def test_a_malformed_entry_of_a_list_is_left_out_and_the_others_hold(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def go() -> None:
        async with world("r0 w0 w1") as w:
            bad = fleet_pb2.ServerEntry(id=9, address="nowhere", kind="reader")
            draining = w.entry("w1")
            draining.state = fleet_pb2.ServerEntry.DRAINING
            servers = [w.entry("r0"), bad, w.entry("w0"), draining]
            w.feed.push(fleet_pb2.ServerList(kind=fleet_pb2.ServerList.FULL, version=99, servers=servers))
            await until(lambda: w.node.endpoint_list.version == 99)
            assert (await w.ask().wait()).status.code is Code.OK
            entries = w.node.endpoint_list.entries
            assert sorted(entries) == sorted(one.id for one in servers if one is not bad)
            assert w.node.router.endpoints[draining.id].info.state is EndpointState.DRAINING

    run(go, virtual=True)
    assert "servers[1].address" in capsys.readouterr().out


def test_shutdown_under_load_ends_every_stream_once() -> None:
    async def go() -> None:
        async with world(model=LONG + " read_per_s: 20000") as w:
            asked = [w.ask(timeout=20) for _ in range(60)]
            await until(
                lambda: sum(bool(a.tokens) for a in asked) >= 10
            )  # Of those that came at once some are refused.
            doubtful = [w.ask(request_class="order") for _ in range(4)]
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(pause_ms=5000))
            await until(
                lambda: sum(r.state is RequestState.DECODING for r in w.node.table.open.values()) >= 1
            )
            writing = {
                r.client_request.prompt
                for r in w.node.table.open.values()
                if r.state is RequestState.DECODING and r.client_request.request_class == "order"
            }
            await w.node.stop(0.1)
            for one in doubtful:  # What may have run is not called harmless.
                assert (await one.wait()).status.code is (
                    Code.UNKNOWN if one.prompt in writing else Code.UNAVAILABLE
                )
            for one in asked:
                end = await one.wait()
                one.check_tokens()
                # Every answer is the node's own: served, resumable, or refused with advice.
                assert end.how is EndReason.STATUS and end.status.code in (
                    Code.OK,
                    Code.ABORTED,
                    Code.UNAVAILABLE,
                )
                assert end.status.code is Code.OK or end.status.parsed()
                assert bool(one.tokens) == (end.status.code is not Code.UNAVAILABLE)
            assert w.node.server.open_calls() == 0 and not w.node.table.open
            await until(lambda: states(w) == 0 and not any(e.jobs for e in w.engines.values()))

    run(go, virtual=True)


def test_final_states_are_final_and_every_state_has_transitions() -> None:
    assert set(TRANSITIONS) == set(RequestState)
    for end in (
        RequestState.SERVED,
        RequestState.REJECTED,
        RequestState.FAILED,
        RequestState.DISCONNECTED,
    ):
        assert end in FINAL_STATES and not TRANSITIONS[end]
    abort_connections = {RequestState.FAILED, RequestState.DISCONNECTED}
    assert all(TRANSITIONS[state] & abort_connections for state in RequestState if TRANSITIONS[state])


def test_the_last_list_is_kept_for_a_restart_without_its_feed() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            await until(lambda: w.node.list_cache.task is not None and w.node.list_cache.task.done())
            await w.node.stop(0)
            await w.channel.close()
            await w.feed.stop()
            node = type(w.node)(w.node.config)
            w.node = node
            w.address = await node.start()
            w.channel = Channel(w.address, Options(connect_timeout=2_000_000))
            assert len(node.endpoint_list.entries) == 2
            one = w.ask()
            assert (await one.wait()).status.code is Code.OK

    run(go, virtual=True)


def test_a_client_that_never_reads_its_answer_is_ended_after_the_time_allowed() -> None:
    async def go() -> None:
        model = "answer_least: 20000 answer_most: 20000 step_ms: 0.2 per_answer_ms: 0"
        async with world(
            "r0 w0", model=model, settings="limits { client_stall_ms: 300 answer_bytes: 4096 }"
        ) as w:
            one = w.ask(timeout=None)
            await until(lambda: one.tokens)
            assert one.call
            one.call.pause()
            await until(lambda: w.node.table.end_counts[RequestState.FAILED] == 1)
            await until(lambda: w.seen("gone", kind="write"))
            one.call.resume()
            end = await one.wait()
            assert end.status.code is Code.CANCELLED and "unread" in end.status.message
            one.check_tokens()

    run(go)


def test_an_engine_that_goes_silent_in_mid_stream_is_given_up_after_the_time_allowed() -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG, settings="engines { token_silence_ms: 400 }") as w:
            one = w.ask(timeout=20)
            await until(lambda: one.tokens)
            w.engines["w0"].apply(lab_pb2.Trouble(pause_ms=20_000))
            end = await one.wait()
            assert end.status.code is Code.ABORTED and "silent" in end.status.message
            one.check_tokens()
            await until(lambda: w.seen("gone", kind="write"))

    run(go, virtual=True)


def test_a_stream_whose_last_token_came_is_served_though_its_engine_dies_before_the_status() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            engine = w.engines["w0"]

            def die(job: Any, status: object) -> None:
                engine._off(job)
                asyncio.get_running_loop().call_later(0.05, job.call.reset)  # once the last token has gone

            engine._finish = die  # type: ignore[method-assign]
            one = w.ask()
            assert (await one.wait()).status.code is Code.OK
            one.check_tokens()
            assert one.tokens[-1].finish_reason == pb.STOP

    run(go, virtual=True)
