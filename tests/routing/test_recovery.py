"""Recovery of a fleet that has lost its caches or prefill endpoints, with hundreds of nodes."""

from __future__ import annotations

import pytest
from helpers import DECODE, MS, PREFILL, S, World, fleet, only, server, world

from tuliptrack.interface import EndpointState, Reject, Role, SendAttempt, Status, StreamStarted
from tuliptrack.state.endpoint_table import MAX_REMOVED

NODES = 200
FIELDS = ("in_flight", "queued", "memory_share", "tokens_waiting_k")


def serve(
    w: World, request_id: int, prefill_id: int, prefill_us: int = 50 * MS, waiting_k: float = 0.0
) -> None:
    """Answer one request from its prefill to the end of its stream.

    The prefill endpoint reports `waiting_k` thousand waiting tokens.
    """
    load = (4.0, 2.0, 0.2, waiting_k)
    decode_id = only(
        SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED, after=prefill_us, load_report=load)
    ).endpoint_id
    w.handle_events(
        StreamStarted(request_id, w.attempt_numbers[request_id], decode_id, 20 * MS), after=20 * MS
    )
    w.end(request_id, decode_id, Status.OK, is_final=True, after=100 * MS)


def test_a_prefill_has_no_attempt_time_out_without_recent_answers_to_prefills() -> None:
    """A cache flush makes all prefills slow at once. A node with one request per second cannot tell slow
    prefills from endpoints that do not answer. With attempt time-outs, the retries of such nodes make up a
    third of all prefills.
    """
    w = world(fleet(prefill=8), replicas=NODES)
    have_timeout = []
    for after in (0, 100 * MS, 3 * S, 100 * MS):
        request_id, actions = w.ask(after=after)
        have_timeout.append(only(SendAttempt, actions).timeout_us > 0)
        serve(w, request_id, only(SendAttempt, actions).endpoint_id)
    assert have_timeout == [True, True, False, True], (
        "at the start, after an answer, without answers for three seconds, after an answer again"
    )


def test_reported_queues_decay_with_time_and_not_with_the_number_of_answers() -> None:
    """A node that sheds load gets few answers. If reported queues decay only with answers, the node assumes
    an overload for ten seconds after the overload has ended.
    """
    w = world(fleet(prefill=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(8):
        request_id, actions = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in actions):
            break
        serve(w, request_id, only(SendAttempt, actions).endpoint_id, prefill_us=900 * MS, waiting_k=60.0)
    only(Reject, w.ask(after=100 * MS)[1])
    for _ in range(2):  # Two answers, two seconds apart, report empty queues.
        request_id, actions = w.ask(class_index=1, is_resumed=True, after=2 * S)
        serve(w, request_id, only(SendAttempt, actions).endpoint_id, waiting_k=0.0)
    assert w.router.state.statistics[Role.PREFILL, False].waiting_tokens < 1000
    only(SendAttempt, w.ask(after=100 * MS)[1])


def test_a_request_whose_client_deadline_is_before_its_first_token_is_rejected_without_a_prefill() -> None:
    """Without the rejection, requests of clients that give up after half a second and retry make up three
    quarters of all requests, and none of them is served.
    """
    w = world(fleet(prefill=8), replicas=NODES)
    for _ in range(6):
        request_id, actions = w.ask(after=100 * MS)
        serve(w, request_id, only(SendAttempt, actions).endpoint_id, prefill_us=300 * MS)
    only(Reject, w.ask(time_left_us=250 * MS, after=100 * MS)[1])
    only(SendAttempt, w.ask(time_left_us=2 * S, after=100 * MS)[1])


def test_an_open_slot_at_a_prefill_endpoint_in_slow_start_is_used_rather_than_rejecting() -> None:
    w = world(
        [server(1, PREFILL), server(2, DECODE)],
        replicas=1,
        slow_start_us=12 * S,
        slow_start_initial_share=0.25,
        slow_start_overload_factor=2.5,
        slow_start_window_us=3 * S,
        report_fields=FIELDS,
    )
    w.router.state.other_nodes_share = 1 - 1 / NODES
    for _ in range(8):
        request_id, actions = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in actions):
            break
        serve(w, request_id, 1, prefill_us=900 * MS, waiting_k=60.0)
    only(Reject, w.ask(after=100 * MS)[1])
    for n in range(3, 40):  # Most of these endpoints are low in the rendezvous order of the prefix.
        w.list(server(n, PREFILL, started_at_us=w.now))
    w.now += 2 * S
    statistics = w.router.state.statistics[Role.PREFILL, False]
    statistics.observed_at_us = statistics.answered_at_us = w.now
    assert only(SendAttempt, w.ask(after=1 * MS)[1]).endpoint_id != 1


def test_a_decode_attempt_has_a_time_out_even_without_recent_answers() -> None:
    """If one of three zones stops answering, a node with few answers still retries its decode attempts."""
    w = world(fleet(prefill=8), replicas=NODES)
    for after in (0, 3 * S):
        request_id, actions = w.ask(after=after)
        sent = only(
            SendAttempt,
            w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=50 * MS),
        )
        assert sent.timeout_us > 0
        w.handle_events(
            StreamStarted(request_id, w.attempt_numbers[request_id], sent.endpoint_id, 20 * MS), after=20 * MS
        )
        w.end(request_id, sent.endpoint_id, Status.OK, is_final=True, after=100 * MS)


def test_endpoints_removed_long_ago_are_forgotten_over_two_hundred_rollouts() -> None:
    w = world([server(1, PREFILL), server(2, DECODE)])
    for n in range(200):
        old, new = (1, 2) if n == 0 else (10 * n, 10 * n + 1), (10 * n + 10, 10 * n + 11)
        w.list(server(new[0], PREFILL), server(new[1], DECODE))
        w.list(
            *(
                server(endpoint_id, kind, state=EndpointState.REMOVED)
                for endpoint_id, kind in zip(old, (PREFILL, DECODE), strict=True)
            )
        )
        request_id, actions = w.ask(after=1 * S)
        prefill_id = only(SendAttempt, actions).endpoint_id
        assert prefill_id == new[0]
        w.end(request_id, prefill_id, Status.RESET)
    router = w.router
    assert len(router.endpoints) <= MAX_REMOVED + 4 and len(router.outbox.conditions) <= MAX_REMOVED + 4
    assert not router.in_flight and {2000, 2001} <= set(router.endpoints)


def test_one_slow_prefill_after_a_pause_does_not_make_all_endpoints_look_slow() -> None:
    """The last prefills of a queue that has drained took long, although no tokens wait any more. A time per
    token that is estimated from one of these prefills is ten times too long. With this estimate, a node sheds
    load for seconds while endpoints are idle.
    """
    w = world(fleet(prefill=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(20):
        request_id, actions = w.ask(after=500 * MS)
        serve(w, request_id, only(SendAttempt, actions).endpoint_id, prefill_us=50 * MS, waiting_k=2.0)
    request_id, actions = w.ask(after=2 * S)
    serve(w, request_id, only(SendAttempt, actions).endpoint_id, prefill_us=1500 * MS, waiting_k=2.0)
    only(SendAttempt, w.ask(after=100 * MS)[1])


def test_an_affinity_endpoint_that_has_just_reported_a_queue_is_not_sent_more() -> None:
    w = world(fleet(prefill=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(4):
        request_id, actions = w.ask(after=500 * MS, prefix=5, session=9)
        affinity_id = only(SendAttempt, actions).endpoint_id
        serve(w, request_id, affinity_id, prefill_us=100 * MS, waiting_k=0.1)
    request_id, actions = w.ask(after=500 * MS, prefix=5, session=9)
    assert only(SendAttempt, actions).endpoint_id == affinity_id
    serve(w, request_id, affinity_id, prefill_us=100 * MS, waiting_k=80.0)
    assert (
        only(SendAttempt, w.ask(class_index=1, after=10 * MS, prefix=5, session=9)[1]).endpoint_id
        != affinity_id
    )
    assert (
        only(SendAttempt, w.ask(class_index=1, after=4 * S, prefix=5, session=9)[1]).endpoint_id
        == affinity_id
    ), "an old report no longer counts"


def prefill_endpoint_of(w: World, overloaded: set[int], session: int) -> int | None:
    """Serve one more request with the prefix, while the overloaded endpoints report long queues.

    Returns the prefill endpoint, or None if the request is rejected.
    """
    for endpoint_id in overloaded:
        w.router.endpoints[endpoint_id].record_report({"in_flight": 30.0, "tokens_waiting_k": 120.0}, w.now)
    request_id, actions = w.ask(after=30 * MS, prefix=77, session=session)
    if any(isinstance(action, Reject) for action in actions):
        return None
    prefill_id = only(SendAttempt, actions).endpoint_id
    serve(w, request_id, prefill_id, prefill_us=40 * MS, waiting_k=120.0 if prefill_id in overloaded else 0.0)
    return prefill_id


def idle_world(nodes: int) -> World:
    """Return a world with ten idle prefill endpoints of known speed, whose node sheds no load."""
    w = world(fleet(prefill=10, decode=6), replicas=nodes, report_fields=FIELDS)
    for prefix in range(1_000, 1_012):
        request_id, actions = w.ask(after=50 * MS, prefix=prefix)
        serve(w, request_id, only(SendAttempt, actions).endpoint_id, prefill_us=40 * MS)
    return w


@pytest.mark.parametrize("nodes", [2, 20, 200])
def test_sessions_with_overloaded_affinity_endpoints_are_served_elsewhere_while_others_are_idle(
    nodes: int,
) -> None:
    """Requests are admitted as long as some endpoints are idle, even if all endpoints that the prefix spills
    over to exceed the queue limit.
    """
    w, overloaded = idle_world(nodes), list[int]()
    while len(overloaded) < 10:  # Each endpoint becomes overloaded as soon as the prefix is sent there.
        used = [prefill_endpoint_of(w, set(overloaded), 5_000 + session) for session in range(6)]
        assert None not in used, f"rejected with {10 - len(overloaded)} idle endpoints"
        assert not set(overloaded) & set(used)
        overloaded += [next(endpoint_id for endpoint_id in used if endpoint_id is not None)]
    assert prefill_endpoint_of(w, set(overloaded), 5_000) is None


def test_a_restarted_endpoint_does_not_keep_its_predecessors_time_per_token() -> None:
    """The time per token of a restarted engine must not be estimated from its earlier, slow process."""
    w = world(fleet(prefill=2, decode=2))
    for prefix in range(1, 41):
        request_id, actions = w.ask(after=200 * MS, prefix=prefix)
        if not [action for action in actions if isinstance(action, SendAttempt)]:
            continue
        sent = only(SendAttempt, actions)
        prefill_us = 900 * MS if sent.endpoint_id == 10 else 20 * MS
        actions = w.end(request_id, sent.endpoint_id, Status.PREFILLED, after=prefill_us)
        w.start(request_id, only(SendAttempt, actions).endpoint_id, after=MS)
        w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.OK, after=MS, is_final=True)
    endpoint = w.router.endpoints[10]
    assert endpoint.service_tokens, "endpoint 10 was used"
    assert endpoint.us_per_token(w.now) > 2 * w.router.endpoints[11].us_per_token(w.now)
    w.list(server(10, PREFILL, started_at_us=w.now))
    assert endpoint.us_per_token(w.now) == endpoint.statistics.us_per_token
