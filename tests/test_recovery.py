"""A fleet that has lost its caches or its readers: what hundreds of half-blind nodes may not do to it."""

from __future__ import annotations

import pytest
from helpers import MS, READ, WRITE, S, World, fleet, only, server, world

from tuliptrack.interface import Refuse, Role, Send, ServerState, Started, Status
from tuliptrack.state import GONE_KEPT

NODES = 200
FIELDS = ("in_flight", "queued", "memory_share", "tokens_waiting_k")


def serve(w: World, number: int, reader: int, read: int = 50 * MS, waiting_k: float = 0.0) -> None:
    """One request from its read to its end; the reader reports so many thousand tokens that wait there."""
    load = (4.0, 2.0, 0.2, waiting_k)
    writer = only(Send, w.end(number, reader, Status.READ, after=read, load=load)).server
    w.tell(Started(number, w.tries[number], writer, 20 * MS), after=20 * MS)
    w.end(number, writer, Status.OK, over=True, after=100 * MS)


def test_a_read_has_no_own_time_out_where_nothing_was_heard_of_readers_just_now() -> None:
    """A cache flush makes every read slow at once; a node with a request a second can't tell that from
    silence, and its further attempts were a third of all reading."""
    w = world(fleet(readers=8), replicas=NODES)
    given = []
    for after in (0, 100 * MS, 3 * S, 100 * MS):
        number, said = w.ask(after=after)
        given.append(only(Send, said).timeout > 0)
        serve(w, number, only(Send, said).server)
    assert given == [True, True, False, True], (
        "a start, heard just now, nothing heard for three seconds, heard again"
    )


def test_what_reports_tell_of_a_queue_fades_with_time_and_not_with_the_number_of_answers() -> None:
    """A node that refuses hears little: its belief in a jam lasted ten seconds longer than the jam."""
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(8):
        number, said = w.ask(cls=1, after=100 * MS)
        if any(isinstance(a, Refuse) for a in said):
            break
        serve(w, number, only(Send, said).server, read=900 * MS, waiting_k=60.0)
    only(Refuse, w.ask(after=100 * MS)[1])
    for _ in range(2):  # Two answers, two seconds apart, tell that nothing waits any more.
        number, said = w.ask(cls=1, resumed=True, after=2 * S)
        serve(w, number, only(Send, said).server, waiting_k=0.0)
    assert w.router.kinds[Role.READ, False].waiting < 1000
    only(Send, w.ask(after=100 * MS)[1])


def test_a_request_whose_client_leaves_before_first_tokens_come_is_refused_and_costs_no_read() -> None:
    """Clients that give up after half a second and come again were three in four requests, none of them
    served."""
    w = world(fleet(readers=8), replicas=NODES)
    for _ in range(6):
        number, said = w.ask(after=100 * MS)
        serve(w, number, only(Send, said).server, read=300 * MS)
    only(Refuse, w.ask(time_left=250 * MS, after=100 * MS)[1])
    only(Send, w.ask(time_left=2 * S, after=100 * MS)[1])


def test_a_turn_at_a_cold_reader_is_taken_rather_than_refusing() -> None:
    w = world(
        [server(1, READ), server(2, WRITE)],
        replicas=1,
        cold_for=12 * S,
        cold_from=0.25,
        fall_multiple=2.5,
        fall_window=3 * S,
        report_fields=FIELDS,
    )
    w.router.unseen = 1 - 1 / NODES
    for _ in range(8):
        number, said = w.ask(cls=1, after=100 * MS)
        if any(isinstance(a, Refuse) for a in said):
            break
        serve(w, number, 1, read=900 * MS, waiting_k=60.0)
    only(Refuse, w.ask(after=100 * MS)[1])
    for n in range(3, 40):  # Far down in the order of most prefixes.
        w.list(server(n, READ, started_at=w.now))
    w.now += 2 * S
    kind = w.router.kinds[Role.READ, False]
    kind.told_at = kind.heard_at = w.now
    assert only(Send, w.ask(after=1 * MS)[1]).server != 1


def test_a_writer_that_says_nothing_is_left_whatever_was_heard() -> None:
    """Of three zones one falls silent: a node that hears little still rescues what waits at its writers."""
    w = world(fleet(readers=8), replicas=NODES)
    for after in (0, 3 * S):
        number, said = w.ask(after=after)
        sent = only(Send, w.end(number, only(Send, said).server, Status.READ, after=50 * MS))
        assert sent.timeout > 0
        w.tell(Started(number, w.tries[number], sent.server, 20 * MS), after=20 * MS)
        w.end(number, sent.server, Status.OK, over=True, after=100 * MS)


def test_two_hundred_releases_leave_no_trace_of_servers_long_gone() -> None:
    w = world([server(1, READ), server(2, WRITE)])
    for n in range(200):
        old, new = (1, 2) if n == 0 else (10 * n, 10 * n + 1), (10 * n + 10, 10 * n + 11)
        w.list(server(new[0], READ), server(new[1], WRITE))
        w.list(*(server(s, kind, state=ServerState.GONE) for s, kind in zip(old, (READ, WRITE), strict=True)))
        number, said = w.ask(after=1 * S)
        reader = only(Send, said).server
        assert reader == new[0]
        w.end(number, reader, Status.RESET)
    router = w.router
    assert len(router.seats) <= GONE_KEPT + 4 and len(router.noted) <= GONE_KEPT + 4
    assert not router.flights and {2000, 2001} <= set(router.seats)


def test_one_slow_read_after_a_silence_does_not_make_all_readers_slow() -> None:
    """While a queue empties, its last reads took long and nothing waits behind them: a time per token that
    rests on one of them is ten times too long, and the node refused for seconds beside idle readers."""
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(20):
        number, said = w.ask(after=500 * MS)
        serve(w, number, only(Send, said).server, read=50 * MS, waiting_k=2.0)
    number, said = w.ask(after=2 * S)
    serve(w, number, only(Send, said).server, read=1500 * MS, waiting_k=2.0)
    only(Send, w.ask(after=100 * MS)[1])


def test_a_home_that_has_just_told_of_a_queue_is_not_sent_more() -> None:
    w = world(fleet(readers=8), replicas=NODES, report_fields=FIELDS)
    for _ in range(4):
        number, said = w.ask(after=500 * MS, prefix=5, session=9)
        home = only(Send, said).server
        serve(w, number, home, read=100 * MS, waiting_k=0.1)
    number, said = w.ask(after=500 * MS, prefix=5, session=9)
    assert only(Send, said).server == home
    serve(w, number, home, read=100 * MS, waiting_k=80.0)
    assert only(Send, w.ask(cls=1, after=10 * MS, prefix=5, session=9)[1]).server != home
    assert only(Send, w.ask(cls=1, after=4 * S, prefix=5, session=9)[1]).server == home, "old word is no word"


def served_at(w: World, jammed: set[int], session: int) -> int | None:
    """The reader that serves one more request of the prefix; None where it is refused. The jammed ones report
    their queues."""
    for one in jammed:
        w.router.seats[one].told({"in_flight": 30.0, "tokens_waiting_k": 120.0}, w.now)
    number, said = w.ask(after=30 * MS, prefix=77, session=session)
    if any(isinstance(action, Refuse) for action in said):
        return None
    reader = only(Send, said).server
    serve(w, number, reader, read=40 * MS, waiting_k=120.0 if reader in jammed else 0.0)
    return reader


def quiet(nodes: int) -> World:
    """Ten idle readers whose speed is known, and a node that refuses nothing."""
    w = world(fleet(readers=10, writers=6), replicas=nodes, report_fields=FIELDS)
    for prefix in range(1_000, 1_012):
        number, said = w.ask(after=50 * MS, prefix=prefix)
        serve(w, number, only(Send, said).server, read=40 * MS)
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
