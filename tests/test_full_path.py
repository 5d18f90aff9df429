"""The full path on real sockets: client, node and simulated engines, checked at the sockets."""

from __future__ import annotations

import asyncio

from world import run, until, world

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.proto import lab_pb2
from tuliptrack.rpc.status import Code

MODEL = lab_pb2.EngineModel(answer_least=10, answer_most=30)


def test_answers_stream_token_by_token_and_end_once() -> None:
    """The request class has a long latency objective: one process runs client, node and engines, and the
    delays of this process must not count as a queue.
    """

    async def go() -> None:
        async with world() as w:
            asked = [w.ask(request_class="bulk") for _ in range(40)]
            for one in asked:
                assert (await one.wait()).status.code is Code.OK
                one.check_tokens()
                assert one.whole(MODEL)
                assert one.tokens[-1].finish_reason == pb.STOP
                assert one.tokens[-1].usage.completion_tokens == len(one.tokens)
            await until(lambda: not w.node.table.open)
            assert len(w.seen("kept")) == 40 == len(w.seen("let go", why="fetched"))

    run(go, virtual=True)


def test_a_disconnect_in_mid_stream_ends_the_engines_stream_and_no_other() -> None:
    async def go() -> None:
        async with world(model="answer_least: 200 answer_most: 200 step_ms: 5") as w:
            cancelled, other = w.ask(), w.ask()
            await until(lambda: len(cancelled.tokens) > 3)
            assert cancelled.call
            cancelled.call.cancel()
            await until(lambda: w.seen("gone", kind="write"))
            assert (await other.wait()).status.code is Code.OK
            other.check_tokens()
            assert len(w.seen("gone")) == 1
            await until(lambda: not w.node.table.open)

    run(go, virtual=True)


def test_a_disconnect_during_the_prefill_leaves_no_kv_state_reserved() -> None:
    async def go() -> None:
        async with world(model="read_per_s: 2000") as w:
            cancelled = w.ask()
            await until(lambda: w.seen("call", kind="read"))
            assert cancelled.call
            cancelled.call.cancel()
            await until(lambda: w.seen("gone", kind="read"))
            await until(lambda: not w.node.table.open)
            assert not w.seen("call", kind="write")
            assert all(not e.states for e in w.engines.values())

    run(go, virtual=True)


def test_a_slow_client_pauses_its_own_stream_and_no_other_on_the_same_connection() -> None:
    async def go() -> None:
        async with world(
            model="answer_least: 20000 answer_most: 20000 step_ms: 0.2 per_answer_ms: 0",
            settings=("limits { answer_bytes: 4096 }"),
        ) as w:
            slow = w.ask(timeout=None)
            await until(lambda: slow.tokens)
            assert slow.call
            slow.call.pause()
            record = next(iter(w.node.table.open.values()))
            await until(lambda: record.stream.paused_at_us)
            quick = w.ask(timeout=None, max_tokens=300)
            assert (await quick.wait()).status.code is Code.OK
            quick.check_tokens()
            await until(lambda: any(j.unread for e in w.engines.values() for j in e.decoding))
            call = next(c for link in w.node.server.links for c in link.calls.values())
            # The bytes that wait at the node are at most its own limit plus one window of the engine's
            # stream.
            assert call.link.core.pending(call.stream) < 4096 + 65_535 + 16_384
            had = len(slow.tokens)
            slow.call.resume()
            await until(lambda: len(slow.tokens) > had + 6000)
            slow.check_tokens()
            slow.call.cancel()
            await until(lambda: not w.node.table.open)

    run(go)


def test_a_broken_stream_is_reported_and_resumed_without_repeated_or_missing_tokens() -> None:
    async def go() -> None:
        async with world(model="answer_least: 30 answer_most: 30") as w:
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble(lose_after=1.0, lose_after_tokens=7))
            one = w.ask("q-broken tell me")
            end = await one.wait()
            assert end.status.code is Code.ABORTED
            info = next(d for d in end.status.parsed() if d.DESCRIPTOR.name == "ErrorInfo")
            assert info.reason == "BROKEN" and info.metadata["next_index"] == str(len(one.tokens)) == "7"  # type: ignore[attr-defined]
            for name in ("w0", "w1"):
                w.engines[name].apply(lab_pb2.Trouble())
            point = pb.ResumePoint(next_index=7, text="".join(t.text for t in one.tokens))
            again = w.ask("q-broken tell me", resume=point, repeat=True)
            assert (await again.wait()).status.code is Code.OK
            again.check_tokens(first=7)
            one.tokens += again.tokens
            one.check_tokens()
            assert len(one.tokens) == 30

    run(go, virtual=True)


def test_a_request_whose_answers_are_all_lost_fails_before_its_deadline() -> None:
    async def go() -> None:
        async with world() as w:
            for engine in w.engines.values():
                engine.apply(lab_pb2.Trouble(lose_before=1.0))
            one = w.ask(timeout=1.5)
            end = await one.wait()
            # The end is the node's answer, not the client's own time-out.
            assert (end.status.code, end.how.value) == (Code.DEADLINE_EXCEEDED, "status")
            assert end.status.message.startswith("failed")

    run(go, virtual=True)


def test_shutdown_completes_open_streams_and_rejects_new_ones() -> None:
    async def go() -> None:
        async with world(model="answer_least: 100 answer_most: 100 step_ms: 5") as w:
            first = w.ask()
            await until(lambda: first.tokens)
            stopping = asyncio.create_task(w.node.stop(5))
            await asyncio.sleep(0)
            assert (await first.wait()).status.code is Code.OK
            first.check_tokens()
            late = w.ask(timeout=3)
            assert (await late.wait()).unprocessed
            await stopping

    run(go, virtual=True)
