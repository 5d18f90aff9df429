"""The five rules, kept by one node on its own."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import BOTH, MS, READ, WRITE, S, World, answers, fleet, none, only, server, world

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


def to_writer(w: World) -> tuple[int, int]:
    number, said = w.ask()
    said = w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)
    return number, only(SendAttempt, said).endpoint_id


def test_rule_1_a_time_out_at_the_deadline_is_answered_with_a_failure_at_once() -> None:
    w = world()
    number, said = w.ask(time_left_us=1 * S)
    said = w.end(number, only(SendAttempt, said).endpoint_id, Status.TIMEOUT, after=1 * S)
    only(Fail, said)
    none(said, SendAttempt)


def test_rule_1_nothing_follows_the_end_of_a_request() -> None:
    w = world()
    number, at = to_writer(w)
    w.start(number, at)
    none(w.end(number, at, Status.OK, is_final=True), SendAttempt, Reject, Fail, Release)
    none(w.tell(ClientDisconnected(number)), SendAttempt, Reject, Fail)
    assert not w.router.in_flight


def test_rule_1_attempts_end_at_the_most_allowed_with_one_answer() -> None:
    w = world(fleet(readers=9, writers=1), max_attempts=3)
    number, said = w.ask()
    for _ in range(3):
        said = w.end(number, only(SendAttempt, said).endpoint_id, Status.CONNECT_FAILED, after=1 * MS)
    assert len(answers(said)) == 1
    none(said, SendAttempt)


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_rule_2_an_unsafe_request_that_may_have_run_is_failed(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    number, at = to_writer(w)
    said = w.end(number, at, status)
    none(said, SendAttempt, Reject)
    only(Fail, said)
    only(Release, said)


@pytest.mark.parametrize("status", [Status.AT_CAPACITY, Status.CONNECT_FAILED])
def test_rule_2_an_unsafe_request_proved_not_to_have_run_goes_on(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    number, at = to_writer(w)
    assert only(SendAttempt, w.end(number, at, status)).endpoint_id != at


@pytest.mark.parametrize("status", [Status.RESET, Status.ERROR, Status.AT_CAPACITY, Status.CONNECT_FAILED])
def test_rule_2_a_read_that_has_ended_has_no_effect_however_it_ended(status: Status) -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    number, said = w.ask()
    only(SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, status))


@pytest.mark.parametrize(
    ("effect", "scope", "answer"),
    [
        (Idempotency.IDEMPOTENT, IdempotencyScope.ALL, SendAttempt),
        (Idempotency.WITH_KEY, IdempotencyScope.ALL, SendAttempt),
        (Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, Fail),
    ],
)
@pytest.mark.parametrize("after", [1 * S, 4 * S])
def test_rule_2_a_read_that_was_given_up_may_yet_run(
    effect: Idempotency, scope: IdempotencyScope, answer: type, after: int
) -> None:
    """An engine that hangs finds the whole request in its buffer when it goes on, whatever became of the
    connection.
    """
    w = world(effect=effect, scope=scope)
    number, said = w.ask()
    said = w.end(number, only(SendAttempt, said).endpoint_id, Status.TIMEOUT, after=after)
    outside = effect is Idempotency.WITH_KEY and after > 3 * S
    only(Fail if outside else answer, said)
    assert bool([action for action in said if isinstance(action, SendAttempt)]) is (
        answer is SendAttempt and not outside
    )


def test_rule_2_no_attempt_is_given_up_where_it_could_not_be_sent_again() -> None:
    for effect in (Idempotency.NOT_IDEMPOTENT, Idempotency.WITH_KEY):
        w = world(effect=effect)
        if effect is Idempotency.WITH_KEY:
            classes = tuple(
                replace(one, deduplication_window_us=100 * MS) for one in w.router.settings.classes
            )
            w = World(Router(replace(w.router.settings, classes=classes), 1))
            w.list(*fleet(), kind=UpdateKind.FULL)
        for _ in range(8):
            number, said = w.ask()
            assert only(SendAttempt, said).timeout_us == 0
            said = w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)
            assert only(SendAttempt, said).timeout_us == 0
            w.start(number, only(SendAttempt, said).endpoint_id)
            w.end(number, only(SendAttempt, said).endpoint_id, Status.OK, is_final=True)


@pytest.mark.parametrize(
    ("effect", "after", "again"),
    [
        (Idempotency.IDEMPOTENT, 3_100 * MS, True),
        (Idempotency.WITH_KEY, 2_000 * MS, True),
        (Idempotency.WITH_KEY, 3_100 * MS, False),
        (Idempotency.NOT_IDEMPOTENT, 10 * MS, False),
    ],
)
def test_rule_2_what_may_have_run_is_not_read_anew_where_it_may_not_be_sent_again(
    effect: Idempotency, after: int, again: bool
) -> None:
    """Its state went with the attempt at a writer, so that only a reader could be next."""
    w = world(effect=effect)
    number, at = to_writer(w)
    said = w.end(number, at, Status.RESET, after=after, is_state_lost=True)
    assert bool([action for action in said if isinstance(action, SendAttempt)]) is again
    assert bool(answers(said)) is not again


def test_rule_2_a_keyed_request_is_read_anew_in_the_group_that_drops_its_repeats() -> None:
    servers = [server(n, READ, cell=n % 3) for n in range(1, 10)] + [
        server(n, WRITE, cell=n % 3) for n in range(10, 19)
    ]
    for prefix in range(1, 10):
        w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.CELL)
        number, said = w.ask(prefix=prefix)
        at = only(
            SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)
        ).endpoint_id
        again = only(SendAttempt, w.end(number, at, Status.RESET, is_state_lost=True)).endpoint_id
        assert again < 10 and again % 3 == at % 3


def test_rule_2_a_keyed_request_stays_in_the_group_that_drops_its_repeats() -> None:
    servers = [server(1, READ), *(server(i, WRITE, cell=i // 10) for i in (10, 11, 20, 21))]
    w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.CELL)
    number, at = to_writer(w)
    again = only(SendAttempt, w.end(number, at, Status.RESET)).endpoint_id
    assert again // 10 == at // 10 and again != at
    said = w.end(number, again, Status.RESET)
    only(Fail, said)


def test_rule_2_a_keyed_request_is_not_sent_after_the_window() -> None:
    w = world(effect=Idempotency.WITH_KEY)
    number, at = to_writer(w)
    said = w.end(number, at, Status.RESET, after=3_100 * MS)
    none(said, SendAttempt, Reject)
    only(Fail, said)


def test_rule_2_keyed_by_zone_can_be_failed_but_not_refused() -> None:
    servers = [server(1, READ), server(2, WRITE, zone=1), server(3, WRITE, zone=2)]
    w = world(servers, effect=Idempotency.WITH_KEY, scope=IdempotencyScope.ZONE)
    number, at = to_writer(w)
    said = w.end(number, at, Status.ERROR)
    none(said, SendAttempt, Reject)
    only(Fail, said)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_rule_3_nothing_new_goes_to_what_drains_or_is_gone(state: EndpointState) -> None:
    w = world(fleet(readers=2, writers=2))
    w.list(server(10, READ, state=state), server(12, WRITE, state=state))
    for prefix in range(1, 20):
        number, said = w.ask(prefix=prefix, class_index=1)
        for send in [a for a in said if isinstance(a, SendAttempt)]:
            assert send.endpoint_id == 11
            assert only(SendAttempt, w.end(number, 11, Status.PREFILLED, after=5 * MS)).endpoint_id == 13


def test_rule_3_a_drain_is_kept_when_it_is_the_last_server() -> None:
    w = world([server(1, READ, state=EndpointState.DRAINING), server(2, WRITE)])
    only(Reject, w.ask()[1])


@pytest.mark.parametrize("kind", [READ, WRITE, BOTH])
def test_rule_4_a_cold_server_gets_its_turns_and_no_more_of_a_burst(kind: int) -> None:
    warm = [server(i, kind) for i in (10, 11, 12)]
    rest = [server(1, READ), server(2, WRITE)]
    w = world([*rest, *warm, server(9, kind, started_at_us=99 * S)], tenants=(Tenant("a", 1.0, 40.0),))
    sent = {s: 0 for s in (1, 2, 9, 10, 11, 12)}
    for session in range(1, 120):
        number, said = w.ask(prefix=0, session=session, after=5 * MS)
        for send in [a for a in said if isinstance(a, SendAttempt)]:
            sent[send.endpoint_id] += 1
            at = send.endpoint_id
            for more in w.end(number, at, Status.PREFILLED, after=3 * MS) if kind != BOTH or at == 1 else ():
                if isinstance(more, SendAttempt):
                    sent[more.endpoint_id] += 1
                    at = more.endpoint_id
            w.start(number, at, after=2 * MS)
            w.end(number, at, Status.OK, is_final=True, after=1 * MS)
    assert sent[9] >= 1, "a cold server is not starved"
    # Two seconds of its life at 2.5 / 3 of what it can do by the quotas, a quarter to four tenths of 8 to 10.
    assert sent[9] <= 1 + 2 * 2.5 / 3 * 0.4 * 10, sent


def test_rule_4_where_no_quota_is_told_a_cold_server_is_taken_to_do_a_request_a_window() -> None:
    servers = [server(1, READ), server(2, WRITE), server(3, WRITE, started_at_us=100 * S)]
    w = world(servers, replicas=1, tenants=())
    sent = 0
    while w.now < 109 * S:
        number, said = w.ask(after=50 * MS)
        said = w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=1 * MS)
        sent += only(SendAttempt, said).endpoint_id == 3
        w.start(number, w.router.in_flight[number].endpoint.info.id, after=1 * MS)  # type: ignore[union-attr]
        w.end(number, w.router.in_flight[number].endpoint.info.id, Status.OK, is_final=True)  # type: ignore[union-attr]
    assert sent == 2, "the next turn comes as it is warm"


def test_rule_5_what_is_held_is_let_go_with_a_refusal() -> None:
    w = world(fleet(readers=1, writers=1))
    number, at = to_writer(w)
    said = w.end(number, at, Status.AT_CAPACITY)
    only(Release, said)
    only(Reject, said)


def test_rule_5_a_read_that_ends_after_its_client_left_is_let_go() -> None:
    w = world()
    number, said = w.ask()
    at = only(SendAttempt, said).endpoint_id
    assert only(CancelAttempt, w.tell(ClientDisconnected(number))).attempt == 0
    said = w.end(number, at, Status.PREFILLED, is_final=True)
    only(Release, said)
    none(said, SendAttempt, Reject, Fail)
    assert not w.router.in_flight and not w.router.endpoints[at].waiting


def test_rule_5_a_state_whose_writer_was_called_off_for_a_lost_client_is_let_go() -> None:
    w = world()
    number, at = to_writer(w)
    w.tell(ClientDisconnected(number))
    only(Release, w.end(number, at, Status.CANCELLED, is_final=True))


def test_rule_5_a_read_state_is_taken_in_the_batch_that_told_of_it() -> None:
    w = world()
    number, said = w.ask()
    assert (
        only(SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)).request_id
        == number
    )
