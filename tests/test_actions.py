"""Every action of the interface carried out on sockets, and the event that comes back: those that the router
itself seldom or never says are put into its mouth."""

from __future__ import annotations

from typing import Any

from world import World, run, until, world

from tuliptrack import interface as io
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel
from tuliptrack.rpc.status import Code

LONG = "answer_least: 120 answer_most: 120 step_ms: 5"


def listen(w: World) -> list[Any]:
    """Every event that the router is told from now on."""
    heard: list[Any] = []
    handle = w.node.router.handle

    def told(now: int, events: list[io.Event]) -> list[io.Action]:
        heard.extend(events)
        return handle(now, events)

    w.node.router.handle = told  # type: ignore[method-assign]
    return heard


def act(w: World, action: io.Action) -> None:
    w.node.action_handlers[type(action)](action)


def of(heard: list[Any], kind: type) -> list[Any]:
    return [e for e in heard if isinstance(e, kind)]


def test_places_are_held_ahead_told_of_and_let_go() -> None:
    async def go() -> None:
        async with world("r0 w0", model="read_per_s: 1500") as w:
            heard = listen(w)
            one = w.ask()
            await until(lambda: w.seen("call", kind="read"))
            number = next(iter(w.node.table.open))
            act(w, io.ReserveCapacity(number, 2))
            await until(lambda: of(heard, io.ReservationResult))
            note = of(heard, io.ReservationResult)[0]
            assert (note.request_id, note.attempt, note.endpoint_id, note.is_reserved) == (number, 0, 2, True)
            record = w.node.table.open[number]
            act(w, io.Release(number))
            assert record.reserved_endpoint_id is None
            assert (await one.wait()).status.code is Code.OK

    run(go, virtual=True)


def test_a_stream_is_handed_back_and_goes_on_where_it_stopped() -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG) as w:
            heard = listen(w)
            one = w.ask("q-back hand it")
            await until(lambda: len(one.tokens) > 5)
            act(w, io.MigrateStream(next(iter(w.node.table.open))))
            end = await one.wait()
            assert end.status.code is Code.ABORTED and "handed back" in end.status.message
            await until(lambda: not w.node.table.open)
            last = of(heard, io.AttemptEnded)[-1]
            assert (last.status, last.is_final) == (io.Status.CANCELLED, True)
            have = len(one.tokens)
            point = pb.ResumePoint(next_index=have, text="".join(t.text for t in one.tokens))
            again = w.ask("q-back hand it", resume=point)
            assert (await again.wait()).status.code is Code.OK
            one.tokens += again.tokens
            one.check_tokens()
            assert len(one.tokens) == 120

    run(go, virtual=True)


def test_probes_idle_connections_timers_and_the_list() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            heard = listen(w)
            act(w, io.CheckHealth(1))
            await until(lambda: of(heard, io.HealthCheckResult))
            result = of(heard, io.HealthCheckResult)[0]
            assert (result.endpoint_id, result.status, len(result.load_report)) == (1, io.Status.OK, 3)
            channel = w.node.channels.channels[1]
            assert len(channel.links) == 1
            act(w, io.CloseIdleConnections(1))
            await until(lambda: not channel.links)
            await w.engines["r0"].stop()
            act(w, io.CheckHealth(1))
            await until(lambda: len(of(heard, io.HealthCheckResult)) == 2)
            assert of(heard, io.HealthCheckResult)[1].status is io.Status.CONNECT_FAILED
            act(w, io.SetTimer(1000, 77))
            await until(lambda: io.TimerFired(77) in heard)
            act(w, io.FetchEndpointList())
            await until(lambda: of(heard, io.EndpointListUpdate))
            assert of(heard, io.EndpointListUpdate)[0].kind is io.UpdateKind.FULL
            w.feed.set_failing(True)
            await until(lambda: of(heard, io.EndpointListUpdate)[-1].kind is io.UpdateKind.FAILED)
            w.feed.set_failing(False)
            # The router asks again by itself, by its own timer.
            await until(lambda: of(heard, io.EndpointListUpdate)[-1].kind is io.UpdateKind.FULL)
            act(w, io.Subscribe(False))
            assert w.node.source.stream is None

    run(go, virtual=True)


def test_sends_that_cant_be_are_moot_or_not_connected(no_invariant_is_violated: list[str]) -> None:
    async def go() -> None:
        async with world("r0 w0", model="read_per_s: 1500") as w:
            heard = listen(w)
            one = w.ask()
            await until(lambda: w.seen("call", kind="read"))
            number = next(iter(w.node.table.open))
            act(w, io.SendAttempt(number, 1))  # another is out
            w.node.dispatch(io.TimerFired(0))
            await until(lambda: of(heard, io.AttemptEnded))
            assert of(heard, io.AttemptEnded)[0].status is io.Status.ABANDONED
            act(w, io.SendAttempt(999_999, 1))  # nobody's
            assert one.call
            one.call.cancel()
            await until(lambda: not w.node.table.open)
            assert len(w.seen("call")) == 1

    run(go, virtual=True)
    assert len(no_invariant_is_violated) == 1 and "in_flight" in no_invariant_is_violated[0], (
        "the second send is told of"
    )
    no_invariant_is_violated.clear()


def test_peers_hear_each_other() -> None:
    async def go() -> None:
        async with world("r0") as one:
            heard = listen(one)
            one.node.peers = [Channel(one.address), Channel(one.address)]  # slot 0 is this node's: never told
            one.node._install_peers()
            act(one, io.SendGossip(b"\0not for 0", peer=0))
            act(one, io.SendGossip(b"\0word"))
            await until(lambda: of(heard, io.GossipReceived))
            assert of(heard, io.GossipReceived) == [io.GossipReceived(0, b"\0word")]

    run(go, virtual=True)
