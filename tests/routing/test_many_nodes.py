"""Routing by hundreds of nodes that get about one request per second each and infer the rest of the load."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from helpers import DECODE, MIXED, MS, PREFILL, S, World, fleet, none, only, server, world

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


def nodes(endpoints: list[EndpointInfo], count: int = NODES) -> list[World]:
    return [world(endpoints, seed=seed, replicas=NODES) for seed in range(1, count + 1)]


def run_prefill(w: World, after: int = 30 * MS, **changes: object) -> tuple[int, int, int]:
    """Run one request up to its decode attempt.

    Returns the ids of the request, of its prefill endpoint and of its decode endpoint.
    """
    request_id, actions = w.ask(**changes)  # type: ignore[arg-type]
    prefill_id = only(SendAttempt, actions).endpoint_id
    if w.router.endpoints[prefill_id].role is Role.PREFILL_AND_DECODE:
        return request_id, prefill_id, prefill_id
    return (
        request_id,
        prefill_id,
        only(SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED, after=after)).endpoint_id,
    )


def test_nodes_without_load_information_do_not_all_choose_the_same_decode_endpoint() -> None:
    used = Counter(run_prefill(w)[2] for w in nodes(fleet(prefill=10, decode=20)))
    assert len(used) == 20 and max(used.values()) <= 3 * NODES / 20, used


def test_a_session_has_one_affinity_endpoint_at_all_nodes_and_a_popular_prefix_several() -> None:
    worlds = nodes(fleet(prefill=30, decode=5), 20)
    affinity_ids = {
        session: {only(SendAttempt, w.ask(session=session)[1]).endpoint_id for w in worlds}
        for session in range(1, 40)
    }
    assert all(len(ids) == 1 for ids in affinity_ids.values())
    assert 4 <= len(set.union(*affinity_ids.values())) <= 10, "a few of thirty, but more than one"


def test_an_unpopular_prefix_has_the_same_three_affinity_endpoints_at_all_nodes() -> None:
    """If an unpopular prefix had affinity to a share of the endpoints, each of hundreds of prefixes would be
    prefilled again at twenty endpoints and evict other prefixes from their caches.
    """
    endpoints = fleet(prefill=60, decode=5)
    affinity_ids: dict[int, set[int]] = {prefix: set() for prefix in range(1, 9)}
    for index, w in enumerate(nodes(endpoints, 30)):
        for prefix, ids in affinity_ids.items():
            ids.add(only(SendAttempt, w.ask(prefix=prefix, session=100 * index + prefix)[1]).endpoint_id)
    assert all(len(ids) == 3 for ids in affinity_ids.values()), affinity_ids
    popular = {
        only(SendAttempt, nodes(endpoints, 1)[0].ask(prefix=7, session=n)[1]).endpoint_id for n in range(90)
    }
    assert popular == affinity_ids[7], "the same three endpoints"


def test_a_prefix_that_takes_long_for_its_objective_has_one_affinity_endpoint_at_all_nodes() -> None:
    """Each affinity endpoint prefills the prefix once. A prefix has three affinity endpoints if three such
    prefills fit into half of the latency objective, otherwise one.
    """
    cls = RequestClass("plain", 1.0, 1 * S, 5 * S, inter_token_objective_us=60_000.0)
    affinity_counts: dict[tuple[float, float], int] = {}
    for objective in (0.0, 100_000.0, 300_000.0):  # microseconds per 1000 tokens
        for tokens in (300.0, 3_000.0):
            worlds = [
                world(
                    fleet(prefill=60, decode=5),
                    seed=seed,
                    replicas=NODES,
                    classes=(replace(cls, objective_us_per_1000_tokens=objective),),
                )
                for seed in range(1, 31)
            ]
            affinity_counts[objective, tokens] = len(
                {
                    only(
                        SendAttempt,
                        w.ask(prefix=7, session=session, prompt_tokens=5_000.0, prefix_tokens=tokens)[1],
                    ).endpoint_id
                    for session, w in enumerate(worlds)
                }
            )
    assert affinity_counts == {
        (0.0, 300.0): 3,
        (0.0, 3_000.0): 3,
        (100_000.0, 300.0): 3,
        (100_000.0, 3_000.0): 1,
        (300_000.0, 300.0): 3,
        (300_000.0, 3_000.0): 1,
    }


def test_the_share_of_a_prefix_is_that_of_recent_requests_and_memory_is_bounded() -> None:
    demand = DemandStatistics()
    assert demand.prefix_share(1) == 0.0
    demand.record(0, RequestSize(100.0, 10.0), prefix=1)
    assert demand.prefix_share(1) == 0.0, "one request is too few for a share"
    for n in range(2, 5_000):
        demand.record(0, RequestSize(100.0, 10.0), prefix=7 if n % 3 == 0 else 1_000 + n)
    assert (
        0.1 < demand.prefix_share(7) < 1 / 3
        and demand.prefix_share(1) == demand.prefix_share(1_000 + 4_999) == 0.0
    )
    assert len(demand._prefixes) <= MAX_PREFIXES


def test_few_nodes_use_one_affinity_endpoint() -> None:
    affinity_ids = {
        only(SendAttempt, world(fleet(prefill=8)).ask(session=session)[1]).endpoint_id
        for session in range(1, 40)
    }
    assert len(affinity_ids) == 1


def test_a_quota_below_one_request_per_node_does_not_put_every_request_over_quota() -> None:
    w = world(replicas=NODES)
    assert not any(w.router.quotas.is_over_quota(request, w.now) for request in _requests(tenant=1, count=4))
    assert any(w.router.quotas.is_over_quota(request, w.now) for request in _requests(tenant=1, count=4))


def _requests(tenant: int, count: int) -> list[Request]:
    return [Request(1000 + i, 0, 5 * S, tenant=tenant) for i in range(count)]


def test_reported_queues_cause_rejections_although_the_node_has_nothing_in_flight() -> None:
    fields = ("in_flight", "queued", "memory_share", "tokens_waiting_k")
    w = world(fleet(prefill=1, decode=1), replicas=NODES, report_fields=fields)
    for _ in range(12):
        request_id, actions = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in actions):
            break
        w.end(request_id, 10, Status.PREFILLED, after=1500 * MS, load_report=(40.0, 30.0, 0.2, 60.0))
        w.handle_events(StreamStarted(request_id, w.attempt_numbers[request_id], 11, 20 * MS))
        w.end(request_id, 11, Status.OK, is_final=True, load_report=(5.0, 0.0, 0.2, 0.0))
    only(Reject, w.ask()[1])


def test_a_short_prompt_that_is_almost_all_prefix_does_not_make_the_role_look_overloaded() -> None:
    w = world(fleet(prefill=1, decode=1), replicas=NODES)
    for tokens in (900.0, 801.0, 2000.0, 801.0):
        request_id, _, decode_id = run_prefill(w, prompt_tokens=tokens)
        w.start(request_id, decode_id)
        w.end(request_id, decode_id, Status.OK, is_final=True)
    only(SendAttempt, w.ask()[1])


def test_a_time_out_ejects_the_endpoint_for_the_request_class_only() -> None:
    w = world(fleet(prefill=8), replicas=2)
    request_id, actions = w.ask(class_index=0)
    sent = only(SendAttempt, actions)
    w.end(request_id, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us)
    assert only(SendAttempt, w.ask(class_index=0)[1]).endpoint_id != sent.endpoint_id
    assert only(SendAttempt, w.ask(class_index=1)[1]).endpoint_id == sent.endpoint_id


def test_a_late_capacity_rejection_by_an_endpoint_with_free_capacity_ejects_it_for_the_tenant_only() -> None:
    w = world(fleet(prefill=8), replicas=2)
    request_id, actions = w.ask(tenant=1)
    affinity_id = only(SendAttempt, actions).endpoint_id
    w.end(request_id, affinity_id, Status.AT_CAPACITY, after=200 * MS)
    assert only(SendAttempt, w.ask(tenant=1)[1]).endpoint_id != affinity_id
    assert only(SendAttempt, w.ask(tenant=0)[1]).endpoint_id == affinity_id


def test_if_most_attempts_time_out_none_is_abandoned_as_retries_would_add_to_the_overload() -> None:
    w = world(fleet(prefill=8), replicas=NODES)
    request_id, actions = w.ask()
    sent = only(SendAttempt, actions)
    for _ in range(4):
        assert sent.timeout_us
        w.handle_events(ClientDisconnected(request_id))
        w.end(request_id, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us, is_final=True)
        request_id, actions = w.ask(after=3 * S)
        sent = only(SendAttempt, actions)
    while sent.timeout_us:
        sent = only(SendAttempt, w.end(request_id, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us))
    assert w.router.state.statistics[Role.PREFILL, False].timeout_or_error_share > 0.5


def test_a_node_that_sheds_load_abandons_no_attempt_as_retries_would_add_to_the_overload() -> None:
    w = world(fleet(prefill=8), replicas=NODES)

    def attempt_timeout_us(after: int = 0) -> int:
        request_id, actions = w.ask(after=after)
        sent = only(SendAttempt, actions)
        serve(w, request_id, sent.endpoint_id)
        return sent.timeout_us

    assert attempt_timeout_us()
    (
        w.router.state.statistics[Role.PREFILL, False].rejection_share,
        w.router.state.statistics[Role.PREFILL, False].observed_at_us,
    ) = 1.0, w.now
    only(Reject, w.ask()[1])
    w.router.state.statistics[Role.PREFILL, False].rejection_share = 0.0
    assert attempt_timeout_us(after=1 * S) == 0
    attempt_timeout_us(after=2 * S)
    assert attempt_timeout_us(), "time-outs are set again after shedding has ended and an answer has arrived"


def test_prefills_overdue_at_several_endpoints_but_not_at_one_cause_rejections_before_any_answer() -> None:
    for silent_count, expected in ((3, Reject), (1, SendAttempt)):
        w = world(fleet(prefill=8), replicas=NODES)
        prefill_ids = {n: only(SendAttempt, w.ask(session=n, prefix=n)[1]).endpoint_id for n in range(1, 9)}
        assert len(set(prefill_ids.values())) > 4
        silent = list(dict.fromkeys(prefill_ids.values()))[:silent_count]
        for request_id, prefill_id in prefill_ids.items():
            if prefill_id not in silent:
                serve(w, request_id, prefill_id)
        only(expected, w.ask(after=1800 * MS)[1])


def serve(w: World, request_id: int, prefill_id: int) -> None:
    """Answer a request that is at a prefill endpoint, up to the end of its stream."""
    decode_id = only(SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED, after=1 * MS)).endpoint_id
    w.start(request_id, decode_id, after=1 * MS)
    w.end(request_id, decode_id, Status.OK, is_final=True, after=1 * MS)


def test_if_most_attempts_are_rejected_at_once_a_request_is_not_retried_elsewhere() -> None:
    w = world(fleet(prefill=8), replicas=NODES)
    attempt_counts = []
    for _ in range(6):
        request_id, actions = w.ask(after=2 * S, class_index=1)
        attempts = 0
        while sent := [a for a in actions if isinstance(a, SendAttempt)]:
            attempts += 1
            actions = w.end(request_id, sent[0].endpoint_id, Status.AT_CAPACITY, after=1 * MS)
        attempt_counts.append(attempts)
    assert attempt_counts[0] > 1 and attempt_counts[-1] <= 1, attempt_counts


def test_mixed_endpoints_with_prefills_get_no_decode_while_decode_endpoints_have_less_load() -> None:
    w = world(
        [server(1, PREFILL, weight=9.0), server(2, DECODE, weight=9.0), server(3, MIXED, weight=0.5)],
        replicas=NODES,
    )
    endpoint = w.router.endpoints[3]
    w.router.state.statistics[endpoint.role, False].assign(50_000.0, w.now)
    used: Counter[int] = Counter()
    for _ in range(10):
        request_id, actions = w.ask(prefix=0)
        if only(SendAttempt, actions).endpoint_id != 1:
            continue
        used[only(SendAttempt, w.end(request_id, 1, Status.PREFILLED, after=5 * MS)).endpoint_id] += 1
        w.start(request_id, 2)
        w.end(request_id, 2, Status.OK, is_final=True)
    assert set(used) == {2}


def test_a_request_that_is_not_idempotent_has_no_attempt_time_out_at_its_decode_endpoint() -> None:
    w = world(effect=Idempotency.NOT_IDEMPOTENT)
    request_id, actions = w.ask()
    assert (
        only(
            SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
        ).timeout_us
        == 0
    )


def test_a_change_of_hundreds_of_endpoints_and_a_late_partial_load_report_are_valid() -> None:
    w = world(fleet(prefill=300, decode=300), replicas=NODES)
    request_id, _, decode_id = run_prefill(w)
    w.handle_events(StreamStarted(request_id, w.attempt_numbers[request_id], decode_id, 20 * MS))
    none(w.end(request_id, decode_id, Status.OK, is_final=True, load_report=(3.0,)), SendAttempt)
