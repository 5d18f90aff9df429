"""Actions carried out on sockets, and the events that they cause.

The tests pass actions that the router returns seldom or never directly to the node's handlers.
"""

from __future__ import annotations

from typing import Any

from world import World, run, until, world

from tuliptrack import interface as io
from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel
from tuliptrack.rpc.status import Code

LONG = "answer_least: 120 answer_most: 120 step_ms: 5"


def record_events(w: World) -> list[Any]:
    """Return a list to which every event that the router handles from now on is appended."""
    events_seen: list[Any] = []
    handle = w.node.router.handle

    def handle_and_record(now: int, events: list[io.Event]) -> list[io.Action]:
        events_seen.extend(events)
        return handle(now, events)

    w.node.router.handle = handle_and_record  # type: ignore[method-assign]
    return events_seen


def carry_out(w: World, action: io.Action) -> None:
    w.node.action_handlers[type(action)](action)


def of_type(events_seen: list[Any], kind: type) -> list[Any]:
    return [e for e in events_seen if isinstance(e, kind)]


def test_capacity_is_reserved_reported_and_released() -> None:
    async def go() -> None:
        async with world("r0 w0", model="read_per_s: 1500") as w:
            events_seen = record_events(w)
            asked = w.ask()
            await until(lambda: w.seen("call", kind="read"))
            number = next(iter(w.node.table.open))
            carry_out(w, io.ReserveCapacity(number, 2))
            await until(lambda: of_type(events_seen, io.ReservationResult))
            note = of_type(events_seen, io.ReservationResult)[0]
            assert (note.request_id, note.attempt, note.endpoint_id, note.is_reserved) == (number, 0, 2, True)
            record = w.node.table.open[number]
            carry_out(w, io.Release(number))
            assert record.reserved_endpoint_id is None
            assert (await asked.wait()).status.code is Code.OK

    run(go, virtual=True)


def test_a_migrated_stream_is_resumed_where_it_stopped() -> None:
    async def go() -> None:
        async with world("r0 w0", model=LONG) as w:
            events_seen = record_events(w)
            asked = w.ask("q-back hand it")
            await until(lambda: len(asked.tokens) > 5)
            carry_out(w, io.MigrateStream(next(iter(w.node.table.open))))
            end = await asked.wait()
            assert end.status.code is Code.ABORTED and "handed back" in end.status.message
            await until(lambda: not w.node.table.open)
            last = of_type(events_seen, io.AttemptEnded)[-1]
            assert (last.status, last.is_final) == (io.Status.CANCELLED, True)
            have = len(asked.tokens)
            point = pb.ResumePoint(next_index=have, text="".join(t.text for t in asked.tokens))
            again = w.ask("q-back hand it", resume=point)
            assert (await again.wait()).status.code is Code.OK
            asked.tokens += again.tokens
            asked.check_tokens()
            assert len(asked.tokens) == 120

    run(go, virtual=True)


def test_health_checks_idle_connections_timers_and_the_endpoint_list() -> None:
    async def go() -> None:
        async with world("r0 w0") as w:
            events_seen = record_events(w)
            carry_out(w, io.CheckHealth(1))
            await until(lambda: of_type(events_seen, io.HealthCheckResult))
            result = of_type(events_seen, io.HealthCheckResult)[0]
            assert (result.endpoint_id, result.status, len(result.load_report)) == (1, io.Status.OK, 3)
            channel = w.node.channels.channels[1]
            assert len(channel.links) == 1
            carry_out(w, io.CloseIdleConnections(1))
            await until(lambda: not channel.links)
            await w.engines["r0"].stop()
            carry_out(w, io.CheckHealth(1))
            await until(lambda: len(of_type(events_seen, io.HealthCheckResult)) == 2)
            assert of_type(events_seen, io.HealthCheckResult)[1].status is io.Status.CONNECT_FAILED
            carry_out(w, io.SetTimer(1000, 77))
            await until(lambda: io.TimerFired(77) in events_seen)
            carry_out(w, io.FetchEndpointList())
            await until(lambda: of_type(events_seen, io.EndpointListUpdate))
            assert of_type(events_seen, io.EndpointListUpdate)[0].kind is io.UpdateKind.FULL
            w.feed.set_failing(True)
            await until(lambda: of_type(events_seen, io.EndpointListUpdate)[-1].kind is io.UpdateKind.FAILED)
            w.feed.set_failing(False)
            # The router subscribes again when the timer that it has set fires.
            await until(lambda: of_type(events_seen, io.EndpointListUpdate)[-1].kind is io.UpdateKind.FULL)
            carry_out(w, io.Subscribe(False))
            assert not w.node.source.is_watching

    run(go, virtual=True)


def test_an_attempt_that_cannot_be_sent_is_abandoned(no_invariant_is_violated: list[str]) -> None:
    async def go() -> None:
        async with world("r0 w0", model="read_per_s: 1500") as w:
            events_seen = record_events(w)
            asked = w.ask()
            await until(lambda: w.seen("call", kind="read"))
            number = next(iter(w.node.table.open))
            carry_out(w, io.SendAttempt(number, 1))  # while another attempt is in flight
            w.node.dispatch(io.TimerFired(0))
            await until(lambda: of_type(events_seen, io.AttemptEnded))
            assert of_type(events_seen, io.AttemptEnded)[0].status is io.Status.ABANDONED
            carry_out(w, io.SendAttempt(999_999, 1))  # there is no request with this id
            assert asked.call
            asked.call.cancel()
            await until(lambda: not w.node.table.open)
            assert len(w.seen("call")) == 1

    run(go, virtual=True)
    assert len(no_invariant_is_violated) == 1 and "in_flight" in no_invariant_is_violated[0], (
        "the second attempt is reported"
    )
    no_invariant_is_violated.clear()


def test_gossip_reaches_the_other_nodes() -> None:
    async def go() -> None:
        async with world("r0") as w:
            events_seen = record_events(w)
            w.node.gossip.channels = [
                Channel(w.address),
                Channel(w.address),
            ]  # index 0 is this node itself, to which nothing is sent
            w.node.gossip.install(w.node.server, w.node._handle_gossip)
            carry_out(w, io.SendGossip(b"\0not for 0", peer=0))
            carry_out(w, io.SendGossip(b"\0word"))
            await until(lambda: of_type(events_seen, io.GossipReceived))
            assert of_type(events_seen, io.GossipReceived) == [io.GossipReceived(0, b"\0word")]

    run(go, virtual=True)
