"""The stages of a decision: prefix affinity, spill over, load shedding, choice of the decode endpoint."""

from __future__ import annotations

from helpers import DECODE, MIXED, MS, PREFILL, S, World, answers, fleet, none, only, server, settings, world

from tuliptrack.interface import (
    EndpointListUpdate,
    EndpointState,
    LogMessage,
    Reject,
    Release,
    Request,
    SendAttempt,
    SetTimer,
    Status,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from tuliptrack.routing.router import Router
from tuliptrack.routing.tenant_quota import TokenBucket


def test_a_prefix_has_the_same_affinity_endpoint_at_all_nodes() -> None:
    affinity_ids = set()
    for seed in (1, 2, 3):
        w = world(seed=seed)
        _, actions = w.ask(session=seed, prefix=5)
        affinity_ids.add(only(SendAttempt, actions).endpoint_id)
    assert len(affinity_ids) == 1


def test_without_a_prefix_the_session_determines_the_endpoint_and_sessions_are_spread() -> None:
    used = {}
    for session in range(1, 30):
        _, actions = world().ask(session=session, prefix=0)
        used[session] = only(SendAttempt, actions).endpoint_id
        _, repeated = world().ask(session=session, prefix=0)
        assert only(SendAttempt, repeated).endpoint_id == used[session]
    assert set(used.values()) == {10, 11, 12}


def test_a_list_change_moves_only_the_prefixes_of_the_removed_endpoint() -> None:
    for prefix in range(1, 40):
        before = only(SendAttempt, world().ask(prefix=prefix)[1]).endpoint_id
        w = world()
        w.list(server(10, PREFILL, state=EndpointState.DRAINING))
        after = only(SendAttempt, w.ask(prefix=prefix)[1]).endpoint_id
        assert after == before or before == 10


def test_an_affinity_endpoint_above_the_queue_limit_spills_over_to_the_lowest_score() -> None:
    w = world()
    first, actions = w.ask()
    affinity_id = only(SendAttempt, actions).endpoint_id
    w.end(first, affinity_id, Status.PREFILLED, after=200 * MS)
    sent = [only(SendAttempt, w.ask(time_left_us=20 * S, class_index=1)[1]).endpoint_id for _ in range(6)]
    assert sent[0] == affinity_id
    assert any(endpoint_id != affinity_id for endpoint_id in sent), (
        "an endpoint with a queue of more than half the latency objective must spill over"
    )


def test_an_overload_sheds_by_priority_and_the_lowest_priority_at_half_the_queue_limit() -> None:
    w = world(fleet(prefill=1, decode=1))
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=100 * MS)
    w.ask(class_index=1)
    w.ask(class_index=1)
    w.ask(class_index=1)
    w.router.quotas.buckets[1] = TokenBucket(0.0, w.now)
    over_quota = [w.ask(tenant=1)[1] for _ in range(6)]
    assert any(isinstance(a, Reject) for actions in over_quota for a in actions), (
        "requests over their quota are shed first"
    )
    _, plain = w.ask()
    only(SendAttempt, plain)
    for _ in range(4):
        w.ask(class_index=1)
    _, plain = w.ask()
    only(Reject, plain)
    _, high_priority = w.ask(class_index=1)
    only(SendAttempt, high_priority)


def test_the_highest_priority_is_shed_too_once_it_could_only_be_late() -> None:
    w = world(fleet(prefill=1, decode=1))
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=100 * MS)
    results = [w.ask(class_index=1)[1] for _ in range(40)]
    assert any(isinstance(a, Reject) for actions in results for a in actions)


def test_kv_states_that_wait_for_decode_cause_rejections_before_any_load_report() -> None:
    w = world(fleet(prefill=1, decode=1))
    for _ in range(12):
        request_id, actions = w.ask(class_index=1)
        w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=1 * MS)
    w.now += 800 * MS
    _, actions = w.ask()
    only(Reject, actions)


def test_an_idle_decode_endpoint_that_would_be_left_out_does_not_hide_the_overload() -> None:
    w = world([server(1, PREFILL), server(2, DECODE), server(3, DECODE), server(4, DECODE)])
    for _ in range(3):
        request_id, _ = w.ask(class_index=1)
        w.end(request_id, 1, Status.PREFILLED, after=10 * MS)
    loaded_id = next(s.info.id for s in w.router.endpoints.values() if s.waiting)
    request_id = next(iter(w.router.endpoints[loaded_id].waiting))
    w.end(request_id, loaded_id, Status.AT_CAPACITY, load_report=(30.0, 0.9), after=1 * MS)
    assert not w.router.endpoints[loaded_id].waiting
    for _ in range(4):
        request_id, _ = w.ask(class_index=1)
        w.end(request_id, 1, Status.PREFILLED, after=10 * MS)
    w.now += 900 * MS
    assert not w.router.endpoints[loaded_id].waiting
    only(Reject, w.ask()[1])


def test_the_decode_endpoint_with_the_fewest_projected_tokens_is_chosen() -> None:
    w = world(fleet(prefill=1, decode=3))
    used = []
    for _ in range(6):
        request_id, actions = w.ask(max_tokens=4000.0)
        actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=10 * MS)
        used.append(only(SendAttempt, actions).endpoint_id)
        w.start(request_id, used[-1], after=10 * MS)
    assert sorted(used) == [11, 11, 12, 12, 13, 13]


def test_a_stream_time_hint_replaces_half_of_max_tokens() -> None:
    w = world(fleet(prefill=1, decode=2))
    for hint in (3 * 60_000, None):
        request_id, _ = w.ask(stream_time_hint_us=hint, max_tokens=2000.0)
        w.end(request_id, 10, Status.PREFILLED, after=5 * MS)
    loads = {s.info.id: s.projected_tokens for s in w.router.endpoints.values()}
    assert sorted((loads[11], loads[12])) == [1003.0, 2000.0]


def test_near_ties_go_to_the_cell_that_holds_the_kv_state() -> None:
    for prefill_id, decode_id in ((1, 3), (4, 2)):
        w = world(
            [
                server(1, PREFILL, cell=4),
                server(4, PREFILL, cell=3),
                server(2, DECODE, cell=3),
                server(3, DECODE, cell=4),
            ]
        )
        request_id, actions = w.ask(
            prefix=next(
                p
                for p in range(1, 50)
                if only(
                    SendAttempt, world([server(1, PREFILL), server(4, PREFILL)]).ask(prefix=p)[1]
                ).endpoint_id
                == prefill_id
            )
        )
        assert only(SendAttempt, actions).endpoint_id == prefill_id
        assert only(SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED)).endpoint_id == decode_id


def test_a_decode_endpoint_with_clearly_more_memory_in_use_is_left_out() -> None:
    w = world([server(1, PREFILL, cell=4), server(2, DECODE), server(3, DECODE), server(4, DECODE, cell=4)])
    request_id, _ = w.ask()
    w.end(request_id, 1, Status.PREFILLED)
    w.end(request_id, 4, Status.AT_CAPACITY, load_report=(30.0, 0.9))
    request_id, _ = w.ask()
    assert only(SendAttempt, w.end(request_id, 1, Status.PREFILLED)).endpoint_id != 4


def test_a_load_report_expires_so_an_overloaded_endpoint_is_used_again() -> None:
    w = world([server(1, MIXED)])
    request_id, actions = w.ask()
    w.start(request_id, 1, after=100 * MS)
    w.end(request_id, 1, Status.OK, is_final=True, load_report=(400.0, 0.5))
    only(Reject, w.ask()[1])
    _, actions = w.ask(after=3 * S)
    only(SendAttempt, actions)


def test_a_long_queue_of_tokens_spills_over_although_few_requests_wait() -> None:
    w = world(fleet(prefill=3, decode=3))
    request_id, actions = w.ask()
    affinity_id = only(SendAttempt, actions).endpoint_id
    w.end(request_id, affinity_id, Status.PREFILLED, after=20 * MS)
    w.ask(prompt_tokens=30_000.0, class_index=1)
    assert only(SendAttempt, w.ask(class_index=1)[1]).endpoint_id != affinity_id


def test_the_open_streams_of_a_mixed_endpoint_count_as_its_queue() -> None:
    w = world([server(1, MIXED)], report_fields=())
    for _ in range(12):
        request_id, actions = w.ask(class_index=1)
        only(SendAttempt, actions)
        w.start(request_id, 1, after=150 * MS)
    only(Reject, w.ask()[1])


def test_a_slow_prefill_endpoint_loses_its_prefixes_but_not_if_all_are_slow() -> None:
    def serve(w: World, slow: set[int], prefix: int) -> int:
        """Serve one request, and return the endpoint of its first prefill attempt."""
        request_id, actions = w.ask(class_index=1, prefix=prefix)
        first_id = prefill_id = only(SendAttempt, actions).endpoint_id
        latency_us = 40 * MS
        if prefill_id in slow:  # the prefill takes 1.5 s, or until the router abandons it
            sent, latency_us = only(SendAttempt, actions), 1500 * MS
            if 0 < sent.timeout_us < latency_us:
                actions = w.end(request_id, prefill_id, Status.TIMEOUT, after=sent.timeout_us)
                prefill_id, latency_us = (
                    only(SendAttempt, actions).endpoint_id,
                    40 * MS if len(slow) == 1 else 1500 * MS,
                )
        decode_id = only(
            SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED, after=latency_us)
        ).endpoint_id
        w.start(request_id, decode_id, after=20 * MS)
        w.end(request_id, decode_id, Status.OK, is_final=True)
        return first_id

    affinity_id = serve(world(), set(), prefix=3)
    for slow, keeps_prefix in (({affinity_id}, False), ({10, 11, 12}, True)):
        w = world(fleet(prefill=3, decode=3))
        for prefix in range(1, 60):
            serve(w, slow, prefix=prefix)
        affinity_count = sum(serve(w, slow, prefix=3) == affinity_id for _ in range(20))
        assert affinity_count == 20 if keeps_prefix else affinity_count <= 8, "health checks only"
        w.now += 30 * S
        assert serve(w, slow, prefix=3) == affinity_id, "a health check is due after 30 s"


def test_an_attempt_at_an_endpoint_that_does_not_answer_is_retried_after_its_time_out() -> None:
    w = world(replicas=200)
    request_id, actions = w.ask()
    sent = only(SendAttempt, actions)
    assert 0 < sent.timeout_us < 1 * S, "a retry must still fit into the latency objective"
    actions = w.end(request_id, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us)
    retry = only(SendAttempt, actions)
    assert retry.endpoint_id != sent.endpoint_id and retry.timeout_us > sent.timeout_us


def test_an_ejected_endpoint_gets_one_jittered_health_check_at_a_time() -> None:
    w = world(fleet(prefill=2, decode=1))
    request_id, actions = w.ask()
    affinity_id = only(SendAttempt, actions).endpoint_id
    other = only(SendAttempt, w.end(request_id, affinity_id, Status.CONNECT_FAILED)).endpoint_id
    assert other != affinity_id
    decode_id = only(SendAttempt, w.end(request_id, other, Status.PREFILLED, after=30 * MS)).endpoint_id
    w.start(request_id, decode_id)
    w.now += 1 * S
    check_id, actions = w.ask()
    assert only(SendAttempt, actions).endpoint_id == affinity_id
    assert only(SendAttempt, w.ask()[1]).endpoint_id != affinity_id
    w.end(check_id, affinity_id, Status.PREFILLED, after=30 * MS)
    assert only(SendAttempt, w.ask()[1]).endpoint_id == affinity_id


def test_a_condition_is_logged_once_when_it_begins_and_once_when_it_ends() -> None:
    w = world(fleet(prefill=1, decode=1))
    request_id, actions = w.ask()
    w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.CONNECT_FAILED)
    assert [a.text for a in w.actions if isinstance(a, LogMessage)] == ["endpoint 10 ejected: begins"]
    for _ in range(3):
        request_id, actions = w.ask(after=2 * S)
        actions = w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
        w.start(request_id, 11)
        w.end(request_id, 11, Status.OK, is_final=True)
    assert [a.text for a in w.actions if isinstance(a, LogMessage)] == [
        "endpoint 10 ejected: begins",
        "endpoint 10 ejected: ends",
    ]


def test_a_lost_kv_state_is_prefilled_again_and_a_full_decode_endpoint_is_followed_by_another() -> None:
    w = world()
    request_id, actions = w.ask()
    first = only(
        SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
    ).endpoint_id
    second = only(SendAttempt, w.end(request_id, first, Status.AT_CAPACITY)).endpoint_id
    assert second in (13, 14, 15) and second != first
    retry = only(SendAttempt, w.end(request_id, second, Status.AT_CAPACITY, is_state_lost=True)).endpoint_id
    assert retry in (10, 11, 12)


def test_the_endpoint_list_is_subscribed_to_again_after_a_failure() -> None:
    w = world(must_subscribe=True)
    assert any(isinstance(a, Subscribe) for a in w.actions)
    actions = w.handle_events(EndpointListUpdate(UpdateKind.FAILED))
    token = only(SetTimer, actions).token
    only(Subscribe, w.handle_events(TimerFired(token), after=1 * S))


def test_a_full_list_removes_the_endpoints_that_it_does_not_contain() -> None:
    w = world(fleet(prefill=2, decode=1))
    w.list(server(11, PREFILL), server(12, DECODE), kind=UpdateKind.FULL)
    for prefix in range(1, 9):
        assert only(SendAttempt, w.ask(prefix=prefix)[1]).endpoint_id == 11


def test_settings_without_tenants_or_load_reports_and_requests_without_hints_are_valid() -> None:
    router = Router(settings(tenants=(), report_fields=()), 1)
    router.handle(0, [EndpointListUpdate(UpdateKind.CACHED, 1, tuple(fleet()))])
    actions = router.handle(1, [Request(1, 0, 5 * S)])
    only(SendAttempt, actions)


def test_without_endpoints_a_request_is_rejected() -> None:
    w = world([])
    _, actions = w.ask()
    assert len(answers(actions)) == 1
    only(Reject, actions)
    none(actions, Release)
