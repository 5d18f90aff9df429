"""Effect of cross-zone budgets and recovering zones on the router: placement, causes, reservations."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from helpers import DECODE, MS, PREFILL, S, World, fleet, only, server, world

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
    rng = random.Random(seed)
    in_flight: list[tuple[int, SendAttempt]] = []
    for _ in range(count):
        _, actions = w.ask(after=rng.randrange(8 * MS), prefix=rng.randrange(5), class_index=rng.randrange(2))
        in_flight += [(w.now, a) for a in actions if isinstance(a, SendAttempt)]
        while in_flight and rng.random() < 0.7:
            sent, send = in_flight.pop(rng.randrange(len(in_flight)))
            latency_us = w.now - sent + 20 * MS
            if w.router.endpoints[send.endpoint_id].role is Role.PREFILL:
                actions = w.handle_events(
                    AttemptEnded(
                        send.request_id,
                        w.attempt_numbers[send.request_id],
                        send.endpoint_id,
                        Status.PREFILLED,
                        latency_us,
                        load_report=(1.0, 0.2),
                    )
                )
            elif rng.random() < 0.1:
                actions = w.handle_events(
                    AttemptEnded(
                        send.request_id,
                        w.attempt_numbers[send.request_id],
                        send.endpoint_id,
                        Status.AT_CAPACITY,
                        latency_us,
                    )
                )
            else:
                w.handle_events(
                    StreamStarted(
                        send.request_id, w.attempt_numbers[send.request_id], send.endpoint_id, latency_us
                    )
                )
                actions = w.handle_events(
                    AttemptEnded(
                        send.request_id,
                        w.attempt_numbers[send.request_id],
                        send.endpoint_id,
                        Status.OK,
                        latency_us,
                        is_final=True,
                    )
                )
            in_flight += [(w.now, a) for a in actions if isinstance(a, SendAttempt)]
    return w.actions


def test_with_one_zone_a_budget_has_no_effect() -> None:
    for seed in range(4):
        unbudgeted = random_run(world(seed=seed, replicas=1), seed)
        budgeted = random_run(world(seed=seed, **BUDGET), seed)
        assert unbudgeted == budgeted and len(unbudgeted) > 400


def test_requests_stay_in_the_nodes_zone_while_it_serves_and_cross_when_nothing_else_is_left() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    w = world([*near, *far], **BUDGET)
    for _ in range(30):
        _, actions = w.ask(after=200 * MS)
        send = only(SendAttempt, actions)
        assert send.endpoint_id < 50 and send.cross_zone_cause is None
        decode = only(SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED))
        assert decode.endpoint_id < 50 and decode.cross_zone_cause is None
        w.end(send.request_id, decode.endpoint_id, Status.OK, is_final=True)
    w.list(*(replace(s, state=type(s.state).REMOVED) for s in near if s.kind == PREFILL))
    causes = []
    for _ in range(40):
        _, actions = w.ask(after=20 * MS)
        if not actions or isinstance(actions[0], Reject):
            continue
        send = only(SendAttempt, actions)
        assert send.endpoint_id > 50
        causes.append(send.cross_zone_cause)
        # The KV state is in the other zone: a decode attempt in that zone moves the output to the node's
        # zone; one in the node's zone moves the KV state.
        decode = only(
            SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, cross_zone_bytes=6000.0)
        )
        w.start(send.request_id, decode.endpoint_id)
        w.end(send.request_id, decode.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=3000.0)
    assert causes[0] is CrossZoneCause.BUDGET and len(causes) > 20


def test_an_empty_budget_does_not_prevent_a_crossing_without_alternative_which_is_counted_as_forced() -> None:
    far = [server(60, PREFILL, zone=1), server(61, DECODE, zone=1)]
    w = world(far, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    for _ in range(10):
        _, actions = w.ask(after=200 * MS)
        assert only(SendAttempt, actions).cross_zone_cause is CrossZoneCause.FORCED
        w.end(w.ids, 60, Status.ERROR)


def test_kv_states_stay_in_their_zone_until_its_decode_engines_are_much_fuller() -> None:
    endpoints = [server(10, PREFILL), server(11, DECODE), server(12, DECODE, zone=1)]
    for budget, crossing in ((1e6, True), (0.0, False)):
        w = world(endpoints, **{**BUDGET, "zone_budgets": (ZoneBudget(budget, 400_000.0, 50_000.0),)})
        used = set()
        for _ in range(6):
            _, actions = w.ask(after=400 * MS, max_tokens=400.0, class_index=1)
            prefill = only(SendAttempt, actions)
            sent = [
                a
                for a in w.end(prefill.request_id, prefill.endpoint_id, Status.PREFILLED)
                if isinstance(a, SendAttempt)
            ]
            used.add(sent[0].endpoint_id)  # streams stay open and fill the local decode engine
            w.start(prefill.request_id, sent[0].endpoint_id)
        assert (12 in used) is crossing, (budget, used)


def test_decode_engines_of_the_own_zone_are_preferred_to_remote_ones_of_unknown_memory() -> None:
    endpoints = [server(10, PREFILL), server(11, DECODE), *(server(20 + n, DECODE, zone=1) for n in range(3))]
    w = world(endpoints, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 400_000.0, 50_000.0),)})
    for _ in range(5):
        _, actions = w.ask(after=100 * MS)
        prefill = only(SendAttempt, actions)
        decode = only(SendAttempt, w.end(prefill.request_id, 10, Status.PREFILLED))
        assert decode.endpoint_id == 11
        w.start(prefill.request_id, 11)
        w.end(
            prefill.request_id, 11, Status.OK, is_final=True, load_report=(3.0, 0.4)
        )  # 40 % of the endpoint's memory is in use; the remote endpoints have reported nothing


def test_an_overload_of_the_own_zone_is_not_attributed_to_another_zone() -> None:
    """With many nodes, the load of a role is estimated from load reports, separately for local and remote
    zones.
    """
    endpoints = [
        *(server(10 + n, PREFILL) for n in range(2)),
        *(server(20 + n, PREFILL, zone=1) for n in range(2)),
        server(30, DECODE),
        server(31, DECODE, zone=1),
    ]
    w = world(
        endpoints,
        **{**BUDGET, "replicas": 100, "report_fields": ("in_flight", "memory_share", "tokens_waiting_k")},
    )
    endpoint_ids = []
    for _ in range(30):
        _, actions = w.ask(after=30 * MS, prefix=0)
        sends = [a for a in actions if isinstance(a, SendAttempt)]
        endpoint_ids += [a.endpoint_id for a in sends] or [0]
        if sends:  # local prefills are slow, with long queues in the load reports
            latency_us, load = (
                (900 * MS, (40.0, 0.2, 60.0)) if sends[0].endpoint_id < 20 else (40 * MS, (0.0, 0.2, 0.0))
            )
            decode = only(
                SendAttempt,
                w.end(
                    sends[0].request_id,
                    sends[0].endpoint_id,
                    Status.PREFILLED,
                    after=latency_us,
                    load_report=load,
                ),
            )
            w.end(
                decode.request_id,
                decode.endpoint_id,
                Status.OK,
                after=20 * MS,
                is_final=True,
                load_report=(0.0, 0.2, 0.0),
            )
    assert 0 not in endpoint_ids and sum(20 <= s < 30 for s in endpoint_ids) > 10, endpoint_ids


def prefills_after_recovery(w: World, near: list[EndpointInfo], busy: bool) -> list[int]:
    """Remove a zone's endpoints and list them again 5 s later.

    Returns how many prefills were sent to them in each half-second after they were listed again.
    """
    w.list(*(replace(s, state=EndpointState.REMOVED) for s in near))
    w.now += 5 * S
    actions = w.list(*near)
    assert any("recovering" in a.text for a in actions if isinstance(a, LogMessage))
    recovered_at, prefills = w.now, [0] * 24
    while w.now < recovered_at + 12 * S:
        _, actions = w.ask(after=20 * MS, session=random.Random(w.ids).getrandbits(40), prefix=0)
        for send in [a for a in actions if isinstance(a, SendAttempt)]:
            prefills[min((w.now - recovered_at) // (500 * MS), 23)] += send.endpoint_id < 50
            if busy and send.endpoint_id >= 50:
                continue  # attempts in the other zone never end, so it becomes overloaded
            decode = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, decode.endpoint_id, after=5 * MS)
            w.end(send.request_id, decode.endpoint_id, Status.OK, after=5 * MS, is_final=True)
    return prefills


def test_a_recovered_zone_is_ramped_up_and_faster_where_other_zones_are_overloaded() -> None:
    near, far = fleet(3, 3), [replace(s, id=s.id + 50, zone=1) for s in fleet(3, 3)]
    ramped = prefills_after_recovery(world([*near, *far], **BUDGET), near, busy=False)
    assert 0 < sum(ramped[:2]) < 0.35 * sum(ramped[-2:]) and ramped[4] < ramped[10] < ramped[-2], ramped
    faster = prefills_after_recovery(world([*near, *far], **BUDGET), near, busy=True)
    assert sum(faster[2:8]) > 1.5 * sum(ramped[2:8]), (faster, ramped)


def test_an_endpoints_zone_may_change_while_it_serves() -> None:
    w = world(
        [server(10, PREFILL), server(11, DECODE), server(20, PREFILL, zone=1), server(21, DECODE, zone=1)],
        **BUDGET,
    )
    _, actions = w.ask(after=S)
    assert only(SendAttempt, actions).endpoint_id == 10
    w.list(
        server(10, PREFILL, zone=1), server(20, PREFILL)
    )  # the two endpoints swap zones while endpoint 10 holds a KV state
    decode = only(SendAttempt, w.end(1, 10, Status.PREFILLED))
    assert decode.cross_zone_cause is not None  # the KV state or the output now has to cross zones
    w.start(1, decode.endpoint_id)
    w.end(1, decode.endpoint_id, Status.OK, is_final=True, cross_zone_bytes=16_000.0)
    _, actions = w.ask(after=200 * MS)
    assert (
        only(SendAttempt, actions).endpoint_id == 20 and only(SendAttempt, actions).cross_zone_cause is None
    )
    assert w.router.locality.budgets and w.router.locality.budgets.reservations.keys() == set()


def test_no_request_is_rejected_for_the_budget_alone() -> None:
    """The node's zone is overloaded and the budget is empty: requests cross zones with the cause `FORCED`."""
    endpoints = [
        server(10, PREFILL),
        server(11, DECODE),
        server(20, PREFILL, zone=1),
        server(21, DECODE, zone=1),
    ]
    w = world(endpoints, **{**BUDGET, "zone_budgets": (ZoneBudget(0.0, 50_000.0, 50_000.0),)})
    causes = []
    for index in range(30):
        _, actions = w.ask(after=20 * MS, prefix=0)
        send = only(SendAttempt, actions)  # each request is sent to some endpoint
        causes.append((send.endpoint_id, send.cross_zone_cause))
        if send.endpoint_id == 20 or index < 10:
            decode = only(
                SendAttempt, w.end(send.request_id, send.endpoint_id, Status.PREFILLED, after=5 * MS)
            )
            w.start(send.request_id, decode.endpoint_id, after=MS)
            w.end(send.request_id, decode.endpoint_id, Status.OK, after=MS, is_final=True)
    assert (20, CrossZoneCause.FORCED) in causes and all(
        c is CrossZoneCause.FORCED for s, c in causes if s == 20
    )


def test_a_retry_after_a_connection_failed_is_booked_as_a_retry() -> None:
    """Cross-zone bytes of a retry must not be counted as ordinary traffic of the budget.

    The router recognises a retry by the request's excluded endpoints. If only the connection failed, the
    endpoint is not excluded, so the bytes of that retry are counted as ordinary traffic.
    """
    far = [server(60, PREFILL, zone=1), server(61, DECODE, zone=1)]
    w = world(far, **BUDGET)
    request_id, actions = w.ask(after=S)
    sent = only(SendAttempt, actions)
    assert sent.cross_zone_cause is CrossZoneCause.BUDGET
    actions = w.end(request_id, sent.endpoint_id, Status.RESET, after=10 * MS, is_connection_only=True)
    assert only(SendAttempt, actions).cross_zone_cause is CrossZoneCause.RETRY
