"""What the router makes of cross-zone budgets and recovering zones: placement, causes, reservations."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from helpers import MS, READ, WRITE, S, World, fleet, only, server, world

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CrossZoneCause,
    EndpointInfo,
    EndpointState,
    LogMessage,
    Reject,
    Role,
    SendAttempt,
    Status,
    StreamStarted,
    ZoneBudget,
)

BUDGET: dict[str, Any] = {
    "zone_budgets": (ZoneBudget(1_000_000.0, 400_000.0, 50_000.0),),
    "prompt_bytes": 6.0,
    "state_bytes": 16.0,
    "answer_bytes": 24.0,
    "replicas": 1,
}


def random_run(w: World, seed: int, count: int = 400) -> list[Action]:
    """Return the router's actions for random requests through both stages."""
    chance = random.Random(seed)
    out: list[tuple[int, SendAttempt]] = []
    for _ in range(count):
        _, said = w.ask(
            after=chance.randrange(8 * MS), prefix=chance.randrange(5), class_index=chance.randrange(2)
        )
        out += [(w.now, a) for a in said if isinstance(a, SendAttempt)]
        while out and chance.random() < 0.7:
            sent, send = out.pop(chance.randrange(len(out)))
            lag = w.now - sent + 20 * MS
            if w.router.endpoints[send.endpoint_id].role is Role.PREFILL:
                said = w.tell(
                    AttemptEnded(
                        send.request_id,
                        w.tries[send.request_id],
                        send.endpoint_id,
                        Status.PREFILLED,
                        lag,
                        load_report=(1.0, 0.2),
                    )
                )
            elif chance.random() < 0.1:
                said = w.tell(
                    AttemptEnded(
                        send.request_id, w.tries[send.request_id], send.endpoint_id, Status.AT_CAPACITY, lag
                    )
                )
            else:
                w.tell(StreamStarted(send.request_id, w.tries[send.request_id], send.endpoint_id, lag))
                said = w.tell(
                    AttemptEnded(
                        send.request_id,
                        w.tries[send.request_id],
                        send.endpoint_id,
                        Status.OK,
                        lag,
                        is_final=True,
                    )
                )
            out += [(w.now, a) for a in said if isinstance(a, SendAttempt)]
    return w.said


def test_with_one_zone_a_budget_changes_nothing() -> None:
    for seed in range(4):
        unbudgeted = random_run(world(seed=seed, replicas=1), seed)
        budgeted = random_run(world(seed=seed, **BUDGET), seed)
        assert unbudgeted == budgeted and len(unbudgeted) > 400


def test_requests_stay_in_the_nodes_zone_while_it_serves_and_cross_when_nothing_else_is_left() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    w = world([*near, *far], **BUDGET)
    for _ in range(30):
        _, said = w.ask(after=200 * MS)
        send = only(SendAttempt, said)
        assert send.endpoint_id < 50 and send.cross_zone_cause is None
        written = only(SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED))
        assert written.endpoint_id < 50 and written.cross_zone_cause is None
        w.end(send.request_id, written.endpoint_id, Status.OK, is_final=True)
    w.list(*(replace(s, state=type(s.state).REMOVED) for s in near if s.kind == READ))
    causes = []
    for _ in range(40):
        _, said = w.ask(after=20 * MS)
        if not said or isinstance(said[0], Reject):
            continue
        send = only(SendAttempt, said)
        assert send.endpoint_id > 50
        causes.append(send.cross_zone_cause)
        # Its KV state is in the other zone: a decode there moves the output back, one here the KV state.
        written = only(
            SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, cross_zone_bytes=6000.0)
        )
        w.start(send.request_id, written.endpoint_id)
        w.end(send.request_id, written.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=3000.0)
    assert causes[0] is CrossZoneCause.BUDGET and len(causes) > 20


def test_an_empty_budget_does_not_stop_a_crossing_without_alternative_which_is_booked_as_forced() -> None:
    far = [server(60, READ, zone=1), server(61, WRITE, zone=1)]
    w = world(far, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    for _ in range(10):
        _, said = w.ask(after=200 * MS)
        assert only(SendAttempt, said).cross_zone_cause is CrossZoneCause.FORCED
        w.end(w.ids, 60, Status.ERROR)


def test_kv_states_stay_in_their_zone_until_its_decode_engines_are_much_fuller() -> None:
    pool = [server(10, READ), server(11, WRITE), server(12, WRITE, zone=1)]
    for budget, crossing in ((1e6, True), (0.0, False)):
        w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(budget, 400_000.0, 50_000.0),)})
        went = set()
        for _ in range(6):
            _, said = w.ask(after=400 * MS, max_tokens=400.0, class_index=1)
            read = only(SendAttempt, said)
            sent = [
                a
                for a in w.end(read.request_id, read.endpoint_id, Status.PREFILLED)
                if isinstance(a, SendAttempt)
            ]
            went.add(sent[0].endpoint_id)  # streams go on: the decode engine of the own zone fills
            w.start(read.request_id, sent[0].endpoint_id)
        assert (12 in went) is crossing, (budget, went)


def test_decode_engines_of_the_own_zone_are_preferred_to_remote_ones_of_unknown_memory() -> None:
    pool = [server(10, READ), server(11, WRITE), *(server(20 + n, WRITE, zone=1) for n in range(3))]
    w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 400_000.0, 50_000.0),)})
    for _ in range(5):
        _, said = w.ask(after=100 * MS)
        read = only(SendAttempt, said)
        written = only(SendAttempt, w.end(read.request_id, 10, Status.PREFILLED))
        assert written.endpoint_id == 11
        w.start(read.request_id, 11)
        w.end(
            read.request_id, 11, Status.OK, is_final=True, load_report=(3.0, 0.4)
        )  # two fifths used: clearly above nothing reported


def test_a_jam_in_the_own_zone_is_not_taken_for_one_of_another_zone() -> None:
    """With many nodes a role's last reports stand for all its endpoints, in each zone apart."""
    pool = [
        *(server(10 + n, READ) for n in range(2)),
        *(server(20 + n, READ, zone=1) for n in range(2)),
        server(30, WRITE),
        server(31, WRITE, zone=1),
    ]
    w = world(
        pool,
        **{**BUDGET, "replicas": 100, "report_fields": ("in_flight", "memory_share", "tokens_waiting_k")},
    )
    servers = []
    for _ in range(30):
        _, said = w.ask(after=30 * MS, prefix=0)
        sends = [a for a in said if isinstance(a, SendAttempt)]
        servers += [a.endpoint_id for a in sends] or [0]
        if sends:  # prefill in the own zone is slow, and reports a long queue
            lag, load = (
                (900 * MS, (40.0, 0.2, 60.0)) if sends[0].endpoint_id < 20 else (40 * MS, (0.0, 0.2, 0.0))
            )
            written = only(
                SendAttempt,
                w.end(
                    sends[0].request_id, sends[0].endpoint_id, Status.PREFILLED, after=lag, load_report=load
                ),
            )
            w.end(
                written.request_id,
                written.endpoint_id,
                Status.OK,
                after=20 * MS,
                is_final=True,
                load_report=(0.0, 0.2, 0.0),
            )
    assert 0 not in servers and sum(20 <= s < 30 for s in servers) > 10, servers


def prefills_after_recovery(w: World, near: list[EndpointInfo], busy: bool) -> list[int]:
    """A zone's endpoints are removed, and listed again 5 s later.

    Returns how many prefills were sent there in each half-second after that.
    """
    w.list(*(replace(s, state=EndpointState.REMOVED) for s in near))
    w.now += 5 * S
    said = w.list(*near)
    assert any("recovering" in a.text for a in said if isinstance(a, LogMessage))
    recovered_at, prefills = w.now, [0] * 24
    while w.now < recovered_at + 12 * S:
        _, said = w.ask(after=20 * MS, session=random.Random(w.ids).getrandbits(40), prefix=0)
        for send in [a for a in said if isinstance(a, SendAttempt)]:
            prefills[min((w.now - recovered_at) // (500 * MS), 23)] += send.endpoint_id < 50
            if busy and send.endpoint_id >= 50:
                continue  # in the other zone nothing ends any more
            written = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, written.endpoint_id, after=5 * MS)
            w.end(send.request_id, written.endpoint_id, Status.OK, after=5 * MS, is_final=True)
    return prefills


def test_a_recovered_zone_is_ramped_up_and_faster_where_other_zones_are_overloaded() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    ramped = prefills_after_recovery(world([*near, *far], **BUDGET), near, busy=False)
    assert 0 < sum(ramped[:2]) < 0.35 * sum(ramped[-2:]) and ramped[4] < ramped[10] < ramped[-2], ramped
    faster = prefills_after_recovery(world([*near, *far], **BUDGET), near, busy=True)
    assert sum(faster[2:8]) > 1.5 * sum(ramped[2:8]), (faster, ramped)


def test_an_endpoints_zone_may_change_while_it_serves() -> None:
    w = world(
        [server(10, READ), server(11, WRITE), server(20, READ, zone=1), server(21, WRITE, zone=1)], **BUDGET
    )
    _, said = w.ask(after=S)
    assert only(SendAttempt, said).endpoint_id == 10
    w.list(server(10, READ, zone=1), server(20, READ))  # they swap zones, with a KV state at one of them
    written = only(SendAttempt, w.end(1, 10, Status.PREFILLED))
    assert written.cross_zone_cause is not None  # the KV state or the output has to cross now
    w.start(1, written.endpoint_id)
    w.end(1, written.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=16_000.0)
    _, said = w.ask(after=200 * MS)
    assert only(SendAttempt, said).endpoint_id == 20 and only(SendAttempt, said).cross_zone_cause is None
    assert w.router.locality.budgets and w.router.locality.budgets.reservations.keys() == set()


def test_no_request_is_rejected_for_the_budget_alone() -> None:
    """The own zone is overloaded and the budget is empty: the request crosses as forced, it is not rejected."""
    pool = [server(10, READ), server(11, WRITE), server(20, READ, zone=1), server(21, WRITE, zone=1)]
    w = world(pool, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    causes = []
    for number in range(30):
        _, said = w.ask(after=20 * MS, prefix=0)
        send = only(SendAttempt, said)  # each is sent somewhere
        causes.append((send.endpoint_id, send.cross_zone_cause))
        if send.endpoint_id == 20 or number < 10:
            written = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, written.endpoint_id, after=MS)
            w.end(send.request_id, written.endpoint_id, Status.OK, after=MS, is_final=True)
    assert (20, CrossZoneCause.FORCED) in causes and all(
        c is CrossZoneCause.FORCED for s, c in causes if s == 20
    )


def test_a_retry_after_a_connection_failed_is_booked_as_a_retry() -> None:
    """Failure: what a retry moves is booked as ordinary traffic of the budget, where only the connection failed,
    as its endpoint is not excluded."""
    far = [server(60, READ, zone=1), server(61, WRITE, zone=1)]
    w = world(far, **BUDGET)
    number, said = w.ask(after=S)
    sent = only(SendAttempt, said)
    assert sent.cross_zone_cause is CrossZoneCause.BUDGET
    said = w.end(number, sent.endpoint_id, Status.RESET, after=10 * MS, is_connection_only=True)
    assert only(SendAttempt, said).cross_zone_cause is CrossZoneCause.RETRY
