"""The five rules of routing, kept by a single node."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import DECODE, MIXED, MS, PREFILL, S, World, answers, fleet, none, only, server, world

from tuliptrack.interface import (
    CancelAttempt,
    ClientDisconnected,
    EndpointState,
    Fail,
    Idempotency,
    IdempotencyScope,
    Reject,
    Release,
    SendAttempt,
    Status,
    Tenant,
    UpdateKind,
)
from tuliptrack.routing.router import Router


def send_to_decode(w: World) -> tuple[int, int]:
    """Run one request up to its decode attempt; return the ids of the request and of the decode endpoint."""
    request_id, actions = w.ask()
    actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
    return request_id, only(SendAttempt, actions).endpoint_id


def test_rule_1_a_time_out_at_the_deadline_fails_the_request_at_once() -> None:
    w = world()
    request_id, actions = w.ask(time_left_us=1 * S)
    actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.TIMEOUT, after=1 * S)
    only(Fail, actions)
    none(actions, SendAttempt)


def test_rule_1_there_are_no_actions_after_the_end_of_a_request() -> None:
    w = world()
    request_id, endpoint_id = send_to_decode(w)
    w.start(request_id, endpoint_id)
    none(w.end(request_id, endpoint_id, Status.OK, is_final=True), SendAttempt, Reject, Fail, Release)
    none(w.handle_events(ClientDisconnected(request_id)), SendAttempt, Reject, Fail)
    assert not w.router.in_flight


def test_rule_1_the_request_gets_one_answer_when_no_attempt_is_left() -> None:
    w = world(fleet(prefill=9, decode=1), max_attempts=3)
    request_id, actions = w.ask()
    for _ in range(3):
        actions = w.end(
            request_id, only(SendAttempt, actions).endpoint_id, Status.CONNECT_FAILED, after=1 * MS
        )
    assert len(answers(actions)) == 1
    none(actions, SendAttempt)


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_rule_2_a_request_that_is_not_idempotent_and_may_have_executed_is_failed(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    request_id, endpoint_id = send_to_decode(w)
    actions = w.end(request_id, endpoint_id, status)
    none(actions, SendAttempt, Reject)
    only(Fail, actions)
    only(Release, actions)


@pytest.mark.parametrize("status", [Status.AT_CAPACITY, Status.CONNECT_FAILED])
def test_rule_2_a_request_that_is_not_idempotent_and_has_not_executed_is_retried(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    request_id, endpoint_id = send_to_decode(w)
    assert only(SendAttempt, w.end(request_id, endpoint_id, status)).endpoint_id != endpoint_id


@pytest.mark.parametrize("status", [Status.RESET, Status.ERROR, Status.AT_CAPACITY, Status.CONNECT_FAILED])
def test_rule_2_a_prefill_attempt_that_has_ended_has_no_effect(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    request_id, actions = w.ask()
    only(SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, status))


@pytest.mark.parametrize(
    ("effect", "scope", "answer"),
    [
        (Idempotency.IDEMPOTENT, IdempotencyScope.ALL, SendAttempt),
        (Idempotency.WITH_KEY, IdempotencyScope.ALL, SendAttempt),
        (Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, Fail),
    ],
)
@pytest.mark.parametrize("after", [1 * S, 4 * S])
def test_rule_2_an_abandoned_prefill_attempt_may_still_execute(
    effect: Idempotency, scope: IdempotencyScope, answer: type, after: int
) -> None:
    """When an engine that hung continues, it finds the whole request in its buffer, even if the connection
    was closed meanwhile.
    """
    w = world(effect=effect, scope=scope)
    request_id, actions = w.ask()
    actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.TIMEOUT, after=after)
    is_window_over = effect is Idempotency.WITH_KEY and after > 3 * S
    only(Fail if is_window_over else answer, actions)
    assert bool([action for action in actions if isinstance(action, SendAttempt)]) is (
        answer is SendAttempt and not is_window_over
    )


def test_rule_2_no_attempt_is_abandoned_if_it_could_not_be_retried() -> None:
    for effect in (Idempotency.NOT_IDEMPOTENT, Idempotency.WITH_KEY):
        w = world(effect=effect)
        if effect is Idempotency.WITH_KEY:
            classes = tuple(
                replace(cls, deduplication_window_us=100 * MS) for cls in w.router.settings.classes
            )
            w = World(Router(replace(w.router.settings, classes=classes), 1))
            w.list(*fleet(), kind=UpdateKind.FULL)
        for _ in range(8):
            request_id, actions = w.ask()
            assert only(SendAttempt, actions).timeout_us == 0
            actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
            assert only(SendAttempt, actions).timeout_us == 0
            w.start(request_id, only(SendAttempt, actions).endpoint_id)
            w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.OK, is_final=True)


@pytest.mark.parametrize(
    ("effect", "after", "is_retried"),
    [
        (Idempotency.IDEMPOTENT, 3_100 * MS, True),
        (Idempotency.WITH_KEY, 2_000 * MS, True),
        (Idempotency.WITH_KEY, 3_100 * MS, False),
        (Idempotency.NOT_IDEMPOTENT, 10 * MS, False),
    ],
)
def test_rule_2_what_may_have_executed_is_not_prefilled_again_if_it_may_not_be_retried(
    effect: Idempotency, after: int, is_retried: bool
) -> None:
    """The KV state is lost with the decode attempt, so the next attempt could only be a prefill."""
    w = world(effect=effect)
    request_id, endpoint_id = send_to_decode(w)
    actions = w.end(request_id, endpoint_id, Status.RESET, after=after, is_state_lost=True)
    assert bool([action for action in actions if isinstance(action, SendAttempt)]) is is_retried
    assert bool(answers(actions)) is not is_retried


def test_rule_2_a_request_with_a_key_is_prefilled_again_in_the_cell_that_deduplicates_it() -> None:
    servers = [server(n, PREFILL, cell=n % 3) for n in range(1, 10)] + [
        server(n, DECODE, cell=n % 3) for n in range(10, 19)
    ]
    for prefix in range(1, 10):
        w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.CELL)
        request_id, actions = w.ask(prefix=prefix)
        endpoint_id = only(
            SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
        ).endpoint_id
        retry_id = only(
            SendAttempt, w.end(request_id, endpoint_id, Status.RESET, is_state_lost=True)
        ).endpoint_id
        assert retry_id < 10 and retry_id % 3 == endpoint_id % 3


def test_rule_2_a_request_with_a_key_stays_in_the_cell_that_deduplicates_it() -> None:
    servers = [server(1, PREFILL), *(server(i, DECODE, cell=i // 10) for i in (10, 11, 20, 21))]
    w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.CELL)
    request_id, endpoint_id = send_to_decode(w)
    retry_id = only(SendAttempt, w.end(request_id, endpoint_id, Status.RESET)).endpoint_id
    assert retry_id // 10 == endpoint_id // 10 and retry_id != endpoint_id
    actions = w.end(request_id, retry_id, Status.RESET)
    only(Fail, actions)


def test_rule_2_a_request_with_a_key_is_not_retried_after_the_deduplication_window() -> None:
    w = world(effect=Idempotency.WITH_KEY)
    request_id, endpoint_id = send_to_decode(w)
    actions = w.end(request_id, endpoint_id, Status.RESET, after=3_100 * MS)
    none(actions, SendAttempt, Reject)
    only(Fail, actions)


def test_rule_2_a_request_with_a_key_per_zone_can_be_failed_but_not_rejected() -> None:
    servers = [server(1, PREFILL), server(2, DECODE, zone=1), server(3, DECODE, zone=2)]
    w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.ZONE)
    request_id, endpoint_id = send_to_decode(w)
    actions = w.end(request_id, endpoint_id, Status.ERROR)
    none(actions, SendAttempt, Reject)
    only(Fail, actions)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_rule_3_nothing_new_is_sent_to_draining_or_removed_endpoints(state: EndpointState) -> None:
    w = world(fleet(prefill=2, decode=2))
    w.list(server(10, PREFILL, state=state), server(12, DECODE, state=state))
    for prefix in range(1, 20):
        request_id, actions = w.ask(prefix=prefix, class_index=1)
        for send in [a for a in actions if isinstance(a, SendAttempt)]:
            assert send.endpoint_id == 11
            assert only(SendAttempt, w.end(request_id, 11, Status.PREFILLED, after=5 * MS)).endpoint_id == 13


def test_rule_3_nothing_is_sent_to_a_draining_endpoint_even_if_it_is_the_last() -> None:
    w = world([server(1, PREFILL, state=EndpointState.DRAINING), server(2, DECODE)])
    only(Reject, w.ask()[1])


@pytest.mark.parametrize("kind", [PREFILL, DECODE, MIXED])
def test_rule_4_an_endpoint_in_slow_start_gets_its_slots_and_no_more_in_a_burst(kind: int) -> None:
    warm = [server(i, kind) for i in (10, 11, 12)]
    rest = [server(1, PREFILL), server(2, DECODE)]
    w = world([*rest, *warm, server(9, kind, started_at_us=99 * S)], tenants=(Tenant("a", 1.0, 40.0),))
    sent = {endpoint_id: 0 for endpoint_id in (1, 2, 9, 10, 11, 12)}
    for session in range(1, 120):
        request_id, actions = w.ask(prefix=0, session=session, after=5 * MS)
        for send in [a for a in actions if isinstance(a, SendAttempt)]:
            sent[send.endpoint_id] += 1
            endpoint_id = send.endpoint_id
            for action in (
                w.end(request_id, endpoint_id, Status.PREFILLED, after=3 * MS)
                if kind != MIXED or endpoint_id == 1
                else ()
            ):
                if isinstance(action, SendAttempt):
                    sent[action.endpoint_id] += 1
                    endpoint_id = action.endpoint_id
            w.start(request_id, endpoint_id, after=2 * MS)
            w.end(request_id, endpoint_id, Status.OK, is_final=True, after=1 * MS)
    assert sent[9] >= 1, "an endpoint in slow start is not starved"
    # In two seconds of slow start, slots become due at a rate of 2.5 / 3 x ramp x capacity. The ramp is a
    # quarter to four tenths; the endpoint's capacity by the quotas is 8 to 10 requests per second.
    assert sent[9] <= 1 + 2 * 2.5 / 3 * 0.4 * 10, sent


def test_rule_4_without_quotas_an_endpoint_in_slow_start_is_assumed_to_serve_one_request_per_window() -> None:
    servers = [server(1, PREFILL), server(2, DECODE), server(3, DECODE, started_at_us=100 * S)]
    w = world(servers, replicas=1, tenants=())
    sent = 0
    while w.now < 109 * S:
        request_id, actions = w.ask(after=50 * MS)
        actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=1 * MS)
        sent += only(SendAttempt, actions).endpoint_id == 3
        w.start(request_id, w.router.in_flight[request_id].endpoint.info.id, after=1 * MS)  # type: ignore[union-attr]
        w.end(request_id, w.router.in_flight[request_id].endpoint.info.id, Status.OK, is_final=True)  # type: ignore[union-attr]
    assert sent == 2, "the next slot becomes due after slow start"


def test_rule_5_a_held_kv_state_is_released_with_a_rejection() -> None:
    w = world(fleet(prefill=1, decode=1))
    request_id, endpoint_id = send_to_decode(w)
    actions = w.end(request_id, endpoint_id, Status.AT_CAPACITY)
    only(Release, actions)
    only(Reject, actions)


def test_rule_5_the_kv_state_of_a_prefill_that_ends_after_its_client_disconnected_is_released() -> None:
    w = world()
    request_id, actions = w.ask()
    endpoint_id = only(SendAttempt, actions).endpoint_id
    assert only(CancelAttempt, w.handle_events(ClientDisconnected(request_id))).attempt == 0
    actions = w.end(request_id, endpoint_id, Status.PREFILLED, is_final=True)
    only(Release, actions)
    none(actions, SendAttempt, Reject, Fail)
    assert not w.router.in_flight and not w.router.endpoints[endpoint_id].waiting


def test_rule_5_the_kv_state_is_released_when_a_disconnected_clients_decode_is_cancelled() -> None:
    w = world()
    request_id, endpoint_id = send_to_decode(w)
    w.handle_events(ClientDisconnected(request_id))
    only(Release, w.end(request_id, endpoint_id, Status.CANCELLED, is_final=True))


def test_rule_5_a_kv_state_is_sent_to_decode_in_the_event_batch_that_reports_it() -> None:
    w = world()
    request_id, actions = w.ask()
    assert (
        only(
            SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
        ).request_id
        == request_id
    )
