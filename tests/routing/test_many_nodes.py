"""Hundreds of nodes, each with about a request a second: what one may assume of all together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import BOTH, MS, READ, WRITE, S, World, fleet, none, only, server, world

from tuliptrack.interface import (
    ClientDisconnected,
    EndpointInfo,
    Idempotency,
    Reject,
    Request,
    RequestClass,
    Role,
    SendAttempt,
    Status,
    StreamStarted,
)
from tuliptrack.state.demand import MAX_PREFIXES, DemandStatistics, RequestSize

NODES = 200


def nodes(servers: list[EndpointInfo], count: int = NODES) -> list[World]:
    return [world(servers, seed=seed, replicas=NODES) for seed in range(1, count + 1)]


def read(w: World, after: int = 30 * MS, **request: object) -> tuple[int, int, int]:
    """One request up to its writer: its number, its reader and its writer."""
    number, said = w.ask(**request)  # type: ignore[arg-type]
    reader = only(SendAttempt, said).endpoint_id
    if w.router.endpoints[reader].role is Role.PREFILL_AND_DECODE:
        return number, reader, reader
    return number, reader, only(SendAttempt, w.end(number, reader, Status.PREFILLED, after=after)).endpoint_id


def test_nodes_that_know_equally_little_do_not_all_choose_one_writer() -> None:
    used = Counter(read(w)[2] for w in nodes(fleet(readers=10, writers=20)))
    assert len(used) == 20 and max(used.values()) <= 3 * NODES / 20, used


def test_a_session_is_read_at_one_home_from_every_node_and_a_hot_prefix_at_a_share_of_the_readers() -> None:
    asking = nodes(fleet(readers=30, writers=5), 20)
    homes = {
        session: {only(SendAttempt, w.ask(session=session)[1]).endpoint_id for w in asking}
        for session in range(1, 40)
    }
    assert all(len(at) == 1 for at in homes.values())
    assert 4 <= len(set.union(*homes.values())) <= 10, "a few of thirty, but not one"


def test_a_prefix_that_seldom_comes_has_three_homes_whichever_node_asks() -> None:
    """Kept at a share of the readers, each of hundreds of prefixes is read anew at twenty and pushes others
    out of memory.
    """
    servers = fleet(readers=60, writers=5)
    homes: dict[int, set[int]] = {prefix: set() for prefix in range(1, 9)}
    for number, w in enumerate(nodes(servers, 30)):
        for prefix, at in homes.items():
            at.add(only(SendAttempt, w.ask(prefix=prefix, session=100 * number + prefix)[1]).endpoint_id)
    assert all(len(at) == 3 for at in homes.values()), homes
    hot = {only(SendAttempt, nodes(servers, 1)[0].ask(prefix=7, session=n)[1]).endpoint_id for n in range(90)}
    assert hot == homes[7], "the same three"


def test_a_prefix_that_is_long_to_read_by_what_the_aim_grants_has_one_home_whichever_node_asks() -> None:
    """Each of its homes reads it once: three homes where the three reads fit into half of the aim, else
    one.
    """
    cls = RequestClass("plain", 1.0, 1 * S, 5 * S, inter_token_objective_us=60_000.0)
    homes: dict[tuple[float, float], int] = {}
    for grant in (0.0, 100_000.0, 300_000.0):  # microseconds for a thousand tokens
        for tokens in (300.0, 3_000.0):
            asking = [
                world(
                    fleet(readers=60, writers=5),
                    seed=seed,
                    replicas=NODES,
                    classes=(replace(cls, objective_us_per_1000_tokens=grant),),
                )
                for seed in range(1, 31)
            ]
            homes[grant, tokens] = len(
                {
                    only(
                        SendAttempt,
                        w.ask(prefix=7, session=number, prompt_tokens=5_000.0, prefix_tokens=tokens)[1],
                    ).endpoint_id
                    for number, w in enumerate(asking)
                }
            )
    assert homes == {
        (0.0, 300.0): 3,
        (0.0, 3_000.0): 3,
        (100_000.0, 300.0): 3,
        (100_000.0, 3_000.0): 1,
        (300_000.0, 300.0): 3,
        (300_000.0, 3_000.0): 1,
    }


def test_a_prefix_is_hot_by_its_part_of_what_came_and_nothing_grows_without_end() -> None:
    demand = DemandStatistics()
    assert demand.prefix_share(1) == 0.0
    demand.record(0, RequestSize(100.0, 10.0), prefix=1)
    assert demand.prefix_share(1) == 0.0, "one request says nothing"
    for n in range(2, 5_000):
        demand.record(0, RequestSize(100.0, 10.0), prefix=7 if n % 3 == 0 else 1_000 + n)
    assert (
        0.1 < demand.prefix_share(7) < 1 / 3
        and demand.prefix_share(1) == demand.prefix_share(1_000 + 4_999) == 0.0
    )
    assert len(demand._prefixes) <= MAX_PREFIXES


def test_few_nodes_keep_one_home() -> None:
    homes = {
        only(SendAttempt, world(fleet(readers=8)).ask(session=session)[1]).endpoint_id
        for session in range(1, 40)
    }
    assert len(homes) == 1


def test_a_quota_below_one_request_a_node_does_not_make_every_request_over_share() -> None:
    w = world(replicas=NODES)
    assert not any(w.router.quotas.is_over_quota(request, w.now) for request in _requests(tenant=1, count=4))
    assert any(w.router.quotas.is_over_quota(request, w.now) for request in _requests(tenant=1, count=4))


def _requests(tenant: int, count: int) -> list[Request]:
    return [Request(1000 + i, 0, 5 * S, tenant=tenant) for i in range(count)]


def test_reports_of_a_queue_refuse_where_own_work_is_nil() -> None:
    fields = ("in_flight", "queued", "memory_share", "tokens_waiting_k")
    w = world(fleet(readers=1, writers=1), replicas=NODES, report_fields=fields)
    for _ in range(12):
        number, said = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in said):
            break
        w.end(number, 10, Status.PREFILLED, after=1500 * MS, load_report=(40.0, 30.0, 0.2, 60.0))
        w.tell(StreamStarted(number, w.tries[number], 11, 20 * MS))
        w.end(number, 11, Status.OK, is_final=True, load_report=(5.0, 0.0, 0.2, 0.0))
    only(Reject, w.ask()[1])


def test_a_short_prompt_that_is_nearly_all_shared_does_not_make_the_role_look_jammed() -> None:
    w = world(fleet(readers=1, writers=1), replicas=NODES)
    for tokens in (900.0, 801.0, 2000.0, 801.0):
        number, _, writer = read(w, prompt_tokens=tokens)
        w.start(number, writer)
        w.end(number, writer, Status.OK, is_final=True)
    only(SendAttempt, w.ask()[1])


def test_a_class_unanswered_by_a_server_is_kept_from_it_and_the_other_class_is_not() -> None:
    w = world(fleet(readers=8), replicas=2)
    number, said = w.ask(class_index=0)
    sent = only(SendAttempt, said)
    w.end(number, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us)
    assert only(SendAttempt, w.ask(class_index=0)[1]).endpoint_id != sent.endpoint_id
    assert only(SendAttempt, w.ask(class_index=1)[1]).endpoint_id == sent.endpoint_id


def test_a_tenant_told_full_slowly_by_a_server_with_room_is_kept_from_it_and_others_are_not() -> None:
    w = world(fleet(readers=8), replicas=2)
    number, said = w.ask(tenant=1)
    home = only(SendAttempt, said).endpoint_id
    w.end(number, home, Status.AT_CAPACITY, after=200 * MS)
    assert only(SendAttempt, w.ask(tenant=1)[1]).endpoint_id != home
    assert only(SendAttempt, w.ask(tenant=0)[1]).endpoint_id == home


def test_where_most_attempts_are_silent_none_is_given_up_since_that_would_feed_a_jam() -> None:
    w = world(fleet(readers=8), replicas=NODES)
    number, said = w.ask()
    sent = only(SendAttempt, said)
    for _ in range(4):
        assert sent.timeout_us
        w.tell(ClientDisconnected(number))
        w.end(number, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us, is_final=True)
        number, said = w.ask(after=3 * S)
        sent = only(SendAttempt, said)
    while sent.timeout_us:
        sent = only(SendAttempt, w.end(number, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us))
    assert w.router.state.statistics[Role.PREFILL, False].timeout_or_error_share > 0.5


def test_a_node_that_refuses_gives_up_no_attempt_since_its_retry_would_feed_the_jam() -> None:
    w = world(fleet(readers=8), replicas=NODES)

    def patience(after: int = 0) -> int:
        number, said = w.ask(after=after)
        sent = only(SendAttempt, said)
        serve(w, number, sent.endpoint_id)
        return sent.timeout_us

    assert patience()
    (
        w.router.state.statistics[Role.PREFILL, False].rejection_share,
        w.router.state.statistics[Role.PREFILL, False].observed_at_us,
    ) = 1.0, w.now
    only(Reject, w.ask()[1])
    w.router.state.statistics[Role.PREFILL, False].rejection_share = 0.0
    assert patience(after=1 * S) == 0
    patience(after=2 * S)
    assert patience(), "silence counts again once it has stopped refusing and has heard an answer"


def test_reads_long_out_at_several_readers_refuse_before_any_answer_and_one_silent_reader_does_not() -> None:
    for stuck, kind in ((3, Reject), (1, SendAttempt)):
        w = world(fleet(readers=8), replicas=NODES)
        reads = {n: only(SendAttempt, w.ask(session=n, prefix=n)[1]).endpoint_id for n in range(1, 9)}
        assert len(set(reads.values())) > 4
        silent = list(dict.fromkeys(reads.values()))[:stuck]
        for number, at in reads.items():
            if at not in silent:
                serve(w, number, at)
        only(kind, w.ask(after=1800 * MS)[1])


def serve(w: World, number: int, reader: int) -> None:
    writer = only(SendAttempt, w.end(number, reader, Status.PREFILLED, after=1 * MS)).endpoint_id
    w.start(number, writer, after=1 * MS)
    w.end(number, writer, Status.OK, is_final=True, after=1 * MS)


def test_where_most_attempts_are_turned_away_at_once_a_request_is_not_offered_on() -> None:
    w = world(fleet(readers=8), replicas=NODES)
    offers = []
    for _ in range(6):
        number, said = w.ask(after=2 * S, class_index=1)
        tries = 0
        while sent := [a for a in said if isinstance(a, SendAttempt)]:
            tries += 1
            said = w.end(number, sent[0].endpoint_id, Status.AT_CAPACITY, after=1 * MS)
        offers.append(tries)
    assert offers[0] > 1 and offers[-1] <= 1, offers


def test_mixed_servers_with_reads_of_their_own_take_no_state_while_writers_are_emptier() -> None:
    w = world(
        [server(1, READ, weight=9.0), server(2, WRITE, weight=9.0), server(3, BOTH, weight=0.5)],
        replicas=NODES,
    )
    seat = w.router.endpoints[3]
    w.router.state.statistics[seat.role, False].assign(50_000.0, w.now)
    used: Counter[int] = Counter()
    for _ in range(10):
        number, said = w.ask(prefix=0)
        if only(SendAttempt, said).endpoint_id != 1:
            continue
        used[only(SendAttempt, w.end(number, 1, Status.PREFILLED, after=5 * MS)).endpoint_id] += 1
        w.start(number, 2)
        w.end(number, 2, Status.OK, is_final=True)
    assert set(used) == {2}


def test_an_unsafe_request_has_no_own_time_out_where_it_may_run() -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    number, said = w.ask()
    assert (
        only(SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)).timeout_us
        == 0
    )


def test_a_list_of_hundreds_in_one_change_and_late_partial_reports_are_legal() -> None:
    w = world(fleet(readers=300, writers=300), replicas=NODES)
    number, _, writer = read(w)
    w.tell(StreamStarted(number, w.tries[number], writer, 20 * MS))
    none(w.end(number, writer, Status.OK, is_final=True, load_report=(3.0,)), SendAttempt)
