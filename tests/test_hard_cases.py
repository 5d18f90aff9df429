"""Rare cases of a running node, each provoked, checked by what the engines and clients see."""

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


def kv_state_count(w: World) -> int:
    return sum(len(e.states) for e in w.engines.values())


def test_a_disconnect_before_decode_starts_releases_the_kv_state() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            w.engines["w0"].apply(lab_pb2.Trouble(pause_ms=5000))
            w.engines["w0"].params["slots"] = (
                0  # The request waits in the decode engine's queue; the prefill engine holds its KV state.
            )
            one = w.ask()
            await until(lambda: w.seen("call", kind="write"))
            assert kv_state_count(w) == 1 and one.call
            disconnected_at = now_us()
            one.call.cancel()
            await until(lambda: w.seen("let go"))
            assert w.seen("let go")[0]["why"] == "released"
            assert w.seen("let go")[0]["t"] - disconnected_at < 300_000
            await until(lambda: not w.node.table.open)

    run(go, virtual=True)


def test_a_reset_that_crosses_the_last_message_ends_the_request_once() -> None:
    async def go() -> None:
        async with world(model="answer_least: 3 answer_most: 3 step_ms: 1") as w:
            asked = [w.ask(request_class="bulk") for _ in range(30)]

            def cancel_finished(_: object) -> None:
                for a in asked:
                    if a.call and a.call.open and a.tokens and a.tokens[-1].finish_reason:
                        a.call.cancel()

            while not all(a.ends for a in asked):
                cancel_finished(None)
                await asyncio.sleep(0)
            assert {a.end.how for a in asked} <= {EndReason.STATUS, EndReason.CANCELLED}
            await until(lambda: not w.node.table.open)
            ends = w.node.table.end_counts
            assert (
                ends[RequestState.SERVED] + ends[RequestState.DISCONNECTED] == 30 and kv_state_count(w) == 0
            )

    run(go, virtual=True)


def test_kv_states_lost_with_a_prefill_engine_are_prefilled_again_elsewhere() -> None:
    async def go() -> None:
        async with world("r0 r1 w0", settings="routing { max_attempts: 8 }") as w:
            w.engines["w0"].params["slots"] = 0
            asked = [w.ask(session=f"s{n}", timeout=8) for n in range(12)]
            await until(lambda: kv_state_count(w) == 12)
            dead = "r0" if w.engines["r0"].states else "r1"
            lost = len(w.engines[dead].states)
            assert lost
            await w.engines[dead].stop()
            w.engines["w0"].params["slots"] = 32
            w.engines["w0"]._wake.set()
            for one in asked:
                assert (await one.wait()).status.code is Code.OK
                one.check_tokens()
            assert len(w.seen("kept")) == 12 + lost

    run(go, virtual=True)


def test_a_deadline_between_prefill_and_decode_is_answered_in_time_and_releases_the_kv_state() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            w.engines["w0"].params["slots"] = 0
            one = w.ask(timeout=0.8)
            end = await one.wait()
            assert (end.how, end.status.code) == (EndReason.STATUS, Code.DEADLINE_EXCEEDED)
            await until(lambda: w.seen("let go"))
            assert w.seen("let go")[0]["why"] == "released"

    run(go, virtual=True)


def test_an_engine_that_shuts_down_gracefully_completes_its_open_streams() -> None:
    async def go() -> None:
        async with world("r0 w0 w1", model=LONG) as w:
            asked = [w.ask() for _ in range(6)]
            await until(lambda: all(a.tokens for a in asked))
            leaving = next(n for n in ("w0", "w1") if w.engines[n].decoding)
            stopping = asyncio.ensure_future(w.engines[leaving].server.stop(5))
            await asyncio.sleep(0)
            later = [w.ask() for _ in range(6)]
            for one in asked + later:
                assert (await one.wait()).status.code is Code.OK
                one.check_tokens()
            await stopping

    run(go, virtual=True)


def test_a_stream_continues_after_its_engine_is_removed_from_the_list() -> None:
    async def go() -> None:
        async with world("r0 w0 w1", model=LONG) as w:
            one = w.ask()
            await until(lambda: one.tokens)
            name = next(n for n in ("w0", "w1") if w.engines[n].decoding)
            w.feed.change(w.entry(name, fleet_pb2.ServerEntry.GONE))
            await until(lambda: len(w.node.endpoint_list.entries) == 2)
            others = [w.ask() for _ in range(8)]
            for each in [one, *others]:
                assert (await each.wait()).status.code is Code.OK
                each.check_tokens()
            assert len(w.seen("call", kind="write", engine=name)) == 1
            await until(lambda: not w.node.channels._retired)  # the channel closes after the stream's end

    run(go, virtual=True)


def test_an_engine_restarted_at_its_address_is_connected_to_again() -> None:
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


def test_keepalive_detects_a_silent_peer_and_ends_its_calls() -> None:
    async def go() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)  # The peer accepts the connection, but neither reads nor writes.

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


def test_messages_after_a_local_reset_are_dropped_and_the_connection_stays_open() -> None:
    client, server = Core(True), Core(False)

    def exchange() -> list[object]:
        server.receive(client.take(), 0)
        return list(client.receive(server.take(), 0))

    one, two = client.start("/x.Y/Z"), client.start("/x.Y/Z")
    exchange()
    server.send(one, b"late" * 100)
    server.send(two, b"fine")
    client.reset(one)  # the reset crosses the server's message on the way
    seen = exchange()
    assert [e.data for e in seen if hasattr(e, "data")] == [b"fine"]
    assert not client.dead and list(client.calls) == [two]
    exchange()
    assert list(server.calls) == [two]


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\0" * 64,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 100,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4\0\0\0\0\0" + b"\0\0\4\0\0\0\0\0\1gggg",
        b"",
    ],
)
def test_malformed_http2_closes_its_own_connection_and_affects_no_other(malformed: bytes) -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG) as w:
            neighbour = w.ask()
            await until(lambda: neighbour.tokens)
            host, port = w.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(malformed)
            if not malformed:
                writer.write_eof()
            await asyncio.wait_for(reader.read(-1), 5)  # The node closes the connection.
            writer.close()
            await until(lambda: len(w.node.server.links) == 1)
            assert (await neighbour.wait()).status.code is Code.OK
            neighbour.check_tokens()

    run(go, virtual=True)


def test_calls_opened_and_reset_in_a_loop_affect_only_their_own_connection() -> None:
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


def test_a_malformed_load_report_is_ignored_and_the_answer_is_served(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            for engine in w.engines.values():
                engine.report = (now_us() + 60_000_000, b"\xff\xff\xff")
            one = w.ask()
            assert (await one.wait()).status.code is Code.OK
            assert all(endpoint.reported_at_us == 0 for endpoint in w.node.router.endpoints.values())

    run(go, virtual=True)
    assert "load report not taken" in capsys.readouterr().out


def test_a_malformed_list_entry_is_ignored_and_the_others_are_applied(
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
            assert sorted(entries) == sorted(server.id for server in servers if server is not bad)
            assert w.node.router.endpoints[draining.id].info.state is EndpointState.DRAINING

    run(go, virtual=True)
    assert "servers[1].address" in capsys.readouterr().out


def test_shutdown_under_load_ends_every_stream_once() -> None:
    async def go() -> None:
        async with world(model=LONG + " read_per_s: 20000") as w:
            asked = [w.ask(timeout=20) for _ in range(60)]
            await until(
                lambda: sum(bool(a.tokens) for a in asked) >= 10
            )  # Some of the simultaneous requests are rejected.
            non_idempotent = [w.ask(request_class="order") for _ in range(4)]
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(pause_ms=5000))
            await until(
                lambda: sum(r.state is RequestState.DECODING for r in w.node.table.open.values()) >= 1
            )
            decoding = {
                r.client_request.prompt
                for r in w.node.table.open.values()
                if r.state is RequestState.DECODING and r.client_request.request_class == "order"
            }
            await w.node.stop(0.1)
            # The answer to a request that may have been executed does not say that a retry is safe.
            for one in non_idempotent:
                assert (await one.wait()).status.code is (
                    Code.UNKNOWN if one.prompt in decoding else Code.UNAVAILABLE
                )
            for one in asked:
                end = await one.wait()
                one.check_tokens()
                # Every answer comes from the node: served, resumable, or rejected with retry advice.
                assert end.how is EndReason.STATUS and end.status.code in (
                    Code.OK,
                    Code.ABORTED,
                    Code.UNAVAILABLE,
                )
                assert end.status.code is Code.OK or end.status.parsed()
                assert bool(one.tokens) == (end.status.code is not Code.UNAVAILABLE)
            assert w.node.server.open_calls() == 0 and not w.node.table.open
            await until(lambda: kv_state_count(w) == 0 and not any(e.jobs for e in w.engines.values()))

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


def test_the_cached_list_is_used_after_a_restart_without_a_feed() -> None:
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


def test_the_call_of_a_client_that_never_reads_its_answer_ends_after_the_stall_limit() -> None:
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


def test_a_stream_from_an_engine_that_falls_silent_ends_after_the_silence_limit() -> None:
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


def test_a_stream_with_its_last_token_counts_as_served_if_the_engine_fails_before_the_status() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            engine = w.engines["w0"]

            def reset_instead(job: Any, status: object) -> None:
                engine._remove_job(job)
                asyncio.get_running_loop().call_later(0.05, job.call.reset)  # after the last token was sent

            engine._finish = reset_instead  # type: ignore[method-assign]
            one = w.ask()
            assert (await one.wait()).status.code is Code.OK
            one.check_tokens()
            assert one.tokens[-1].finish_reason == pb.STOP

    run(go, virtual=True)
