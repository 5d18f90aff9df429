"""A fleet that has lost its caches or its readers: what hundreds of half-blind nodes may not do to it."""

from __future__ import annotations

import pytest
from helpers import MS, READ, WRITE, S, World, fleet, only, server, world

from tuliptrack.interface import EndpointState, Reject, Role, SendAttempt, Status, StreamStarted
from tuliptrack.state.endpoint_table import MAX_REMOVED

NODES = 200
FIELDS = ("in_flight", "queued", "memory_share", "tokens_waiting_k")


def serve(w: World, number: int, reader: int, read: int = 50 * MS, waiting_k: float = 0.0) -> None:
    """One request from its read to its end; the reader reports so many thousand tokens that wait there."""
    load = (4.0, 2.0, 0.2, waiting_k)
    writer = only(
        SendAttempt, w.end(number, reader, Status.PREFILLED, after=read, load_report=load)
    ).endpoint_id
    w.tell(StreamStarted(number, w.tries[number], writer, 20 * MS), after=20 * MS)
    w.end(number, writer, Status.OK, is_final=True, after=100 * MS)


def test_a_read_has_no_own_time_out_where_nothing_was_heard_of_readers_just_now() -> None:
    """A cache flush makes every read slow at once; a node with a request a second can't tell that from
    silence, and its further attempts were a third of all reading.
    """
    w = world(fleet(readers=8), replicas=NODES)
    given = []
    for after in (0, 100 * MS, 3 * S, 100 * MS):
        number, said = w.ask(after=after)
        given.append(only(SendAttempt, said).timeout_us > 0)
        serve(w, number, only(SendAttempt, said).endpoint_id)
    assert given == [True, True, False, True], (
        "a start, heard just now, nothing heard for three seconds, heard again"
    )


def test_what_reports_tell_of_a_queue_fades_with_time_and_not_with_the_number_of_answers() -> None:
    """A node that refuses hears little: its belief in a jam lasted ten seconds longer than the jam."""
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(8):
        number, said = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in said):
            break
        serve(w, number, only(SendAttempt, said).endpoint_id, read=900 * MS, waiting_k=60.0)
    only(Reject, w.ask(after=100 * MS)[1])
    for _ in range(2):  # Two answers, two seconds apart, tell that nothing waits any more.
        number, said = w.ask(class_index=1, is_resumed=True, after=2 * S)
        serve(w, number, only(SendAttempt, said).endpoint_id, waiting_k=0.0)
    assert w.router.state.statistics[Role.PREFILL, False].waiting_tokens < 1000
    only(SendAttempt, w.ask(after=100 * MS)[1])


def test_a_request_whose_client_leaves_before_first_tokens_come_is_refused_and_costs_no_read() -> None:
    """Clients that give up after half a second and come again were three in four requests, none of them
    served.
    """
    w = world(fleet(readers=8), replicas=NODES)
    for _ in range(6):
        number, said = w.ask(after=100 * MS)
        serve(w, number, only(SendAttempt, said).endpoint_id, read=300 * MS)
    only(Reject, w.ask(time_left_us=250 * MS, after=100 * MS)[1])
    only(SendAttempt, w.ask(time_left_us=2 * S, after=100 * MS)[1])


def test_a_turn_at_a_cold_reader_is_taken_rather_than_refusing() -> None:
    w = world(
        [server(1, READ), server(2, WRITE)],
        replicas=1,
        slow_start_us=12 * S,
        slow_start_initial_share=0.25,
        slow_start_overload_factor=2.5,
        slow_start_window_us=3 * S,
        report_fields=FIELDS,
    )
    w.router.state.other_nodes_share = 1 - 1 / NODES
    for _ in range(8):
        number, said = w.ask(class_index=1, after=100 * MS)
        if any(isinstance(a, Reject) for a in said):
            break
        serve(w, number, 1, read=900 * MS, waiting_k=60.0)
    only(Reject, w.ask(after=100 * MS)[1])
    for n in range(3, 40):  # Far down in the order of most prefixes.
        w.list(server(n, READ, started_at_us=w.now))
    w.now += 2 * S
    kind = w.router.state.statistics[Role.PREFILL, False]
    kind.observed_at_us = kind.answered_at_us = w.now
    assert only(SendAttempt, w.ask(after=1 * MS)[1]).endpoint_id != 1


def test_a_writer_that_says_nothing_is_left_whatever_was_heard() -> None:
    """Of three zones one falls silent: a node that hears little still rescues what waits at its writers."""
    w = world(fleet(readers=8), replicas=NODES)
    for after in (0, 3 * S):
        number, said = w.ask(after=after)
        sent = only(
            SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=50 * MS)
        )
        assert sent.timeout_us > 0
        w.tell(StreamStarted(number, w.tries[number], sent.endpoint_id, 20 * MS), after=20 * MS)
        w.end(number, sent.endpoint_id, Status.OK, is_final=True, after=100 * MS)


def test_two_hundred_releases_leave_no_trace_of_servers_long_gone() -> None:
    w = world([server(1, READ), server(2, WRITE)])
    for n in range(200):
        old, new = (1, 2) if n == 0 else (10 * n, 10 * n + 1), (10 * n + 10, 10 * n + 11)
        w.list(server(new[0], READ), server(new[1], WRITE))
        w.list(
            *(
                server(s, kind, state=EndpointState.REMOVED)
                for s, kind in zip(old, (READ, WRITE), strict=True)
            )
        )
        number, said = w.ask(after=1 * S)
        reader = only(SendAttempt, said).endpoint_id
        assert reader == new[0]
        w.end(number, reader, Status.RESET)
    router = w.router
    assert len(router.endpoints) <= MAX_REMOVED + 4 and len(router.outbox.conditions) <= MAX_REMOVED + 4
    assert not router.in_flight and {2000, 2001} <= set(router.endpoints)


def test_one_slow_read_after_a_silence_does_not_make_all_readers_slow() -> None:
    """While a queue empties, its last reads took long and nothing waits behind them: a time per token that
    rests on one of them is ten times too long, and the node refused for seconds beside idle readers.
    """
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(20):
        number, said = w.ask(after=500 * MS)
        serve(w, number, only(SendAttempt, said).endpoint_id, read=50 * MS, waiting_k=2.0)
    number, said = w.ask(after=2 * S)
    serve(w, number, only(SendAttempt, said).endpoint_id, read=1500 * MS, waiting_k=2.0)
    only(SendAttempt, w.ask(after=100 * MS)[1])


def test_a_home_that_has_just_told_of_a_queue_is_not_sent_more() -> None:
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(4):
        number, said = w.ask(after=500 * MS, prefix=5, session=9)
        home = only(SendAttempt, said).endpoint_id
        serve(w, number, home, read=100 * MS, waiting_k=0.1)
    number, said = w.ask(after=500 * MS, prefix=5, session=9)
    assert only(SendAttempt, said).endpoint_id == home
    serve(w, number, home, read=100 * MS, waiting_k=80.0)
    assert only(SendAttempt, w.ask(class_index=1, after=10 * MS, prefix=5, session=9)[1]).endpoint_id != home
    assert only(SendAttempt, w.ask(class_index=1, after=4 * S, prefix=5, session=9)[1]).endpoint_id == home, (
        "old word is no word"
    )


def served_at(w: World, jammed: set[int], session: int) -> int | None:
    """The reader that serves one more request of the prefix; None where it is refused. The jammed ones report
    their queues.
    """
    for one in jammed:
        w.router.endpoints[one].record_report({"in_flight": 30.0, "tokens_waiting_k": 120.0}, w.now)
    number, said = w.ask(after=30 * MS, prefix=77, session=session)
    if any(isinstance(action, Reject) for action in said):
        return None
    reader = only(SendAttempt, said).endpoint_id
    serve(w, number, reader, read=40 * MS, waiting_k=120.0 if reader in jammed else 0.0)
    return reader


def quiet(nodes: int) -> World:
    """Ten idle readers whose speed is known, and a node that refuses nothing."""
    w = world(fleet(readers=10, writers=6), replicas=nodes, report_fields=FIELDS)
    for prefix in range(1_000, 1_012):
        number, said = w.ask(after=50 * MS, prefix=prefix)
        serve(w, number, only(SendAttempt, said).endpoint_id, read=40 * MS)
    return w


@pytest.mark.parametrize("nodes", [2, 20, 200])
def test_sessions_whose_homes_are_jammed_are_served_elsewhere_while_there_is_room(nodes: int) -> None:
    """However many of the readers that a prefix may spill to are past the threshold, others are idle."""
    w, homes = quiet(nodes), list[int]()
    while len(homes) < 10:  # Each reader in turn is jammed as soon as the prefix goes there.
        at = [served_at(w, set(homes), 5_000 + session) for session in range(6)]
        assert None not in at, f"refused throughout with {10 - len(homes)} idle readers"
        assert not set(homes) & set(at)
        homes += [next(one for one in at if one is not None)]
    assert served_at(w, set(homes), 5_000) is None


def test_a_restarted_endpoint_does_not_keep_its_predecessors_time_per_token() -> None:
    """Failure: an engine that was slow restarts and is estimated by what the process before it needed."""
    w = world(fleet(readers=2, writers=2))
    for prefix in range(1, 41):
        number, actions = w.ask(after=200 * MS, prefix=prefix)
        if not [action for action in actions if isinstance(action, SendAttempt)]:
            continue
        sent = only(SendAttempt, actions)
        took = 900 * MS if sent.endpoint_id == 10 else 20 * MS
        actions = w.end(number, sent.endpoint_id, Status.PREFILLED, after=took)
        w.start(number, only(SendAttempt, actions).endpoint_id, after=MS)
        w.end(number, only(SendAttempt, actions).endpoint_id, Status.OK, after=MS, is_final=True)
    endpoint = w.router.endpoints[10]
    assert endpoint.service_tokens, "it was used"
    assert endpoint.us_per_token(w.now) > 2 * w.router.endpoints[11].us_per_token(w.now)
    w.list(server(10, READ, started_at_us=w.now))
    assert endpoint.us_per_token(w.now) == endpoint.statistics.us_per_token
