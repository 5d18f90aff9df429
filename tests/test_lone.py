"""What breaks with just its own connection tells nothing of its server; streams that come back are let in."""

from __future__ import annotations

from helpers import MS, answers, fleet, only, world

from tuliptrack.interface import Refuse, Send, Status, Tenant


def test_a_lone_break_blames_nobody_and_is_tried_again_where_its_prompt_is_kept() -> None:
    w = world()
    request, actions = w.ask()
    home = only(Send, actions).server
    for _ in range(2):
        again = only(Send, w.end(request, home, Status.RESET, after=2 * MS, lone=True))
        assert again.server == home and not w.router.seats[home].blamed
    # A third one may be the request's own doing: it goes elsewhere.
    assert only(Send, w.end(request, home, Status.RESET, after=2 * MS, lone=True)).server != home


def test_breaks_in_a_row_without_an_answer_between_speak_against_the_server() -> None:
    w = world(fleet(readers=1))
    seat = w.router.seats[10]
    for answered in (True, False):
        for _ in range(3):
            request, actions = w.ask()
            w.end(request, only(Send, actions).server, Status.RESET, after=2 * MS, lone=True)
            if answered:
                w.end(request, 10, Status.READ)
            assert not seat.blamed
    request, _ = w.ask()
    w.end(request, 10, Status.RESET, after=2 * MS, lone=True)
    assert seat.blamed


def test_any_other_break_still_blames_at_once() -> None:
    w = world()
    request, actions = w.ask()
    home = only(Send, actions).server
    assert only(Send, w.end(request, home, Status.RESET, after=2 * MS)).server != home
    assert w.router.seats[home].blamed


def test_a_stream_that_comes_back_is_let_in_where_a_new_request_is_refused() -> None:
    w = world(fleet(readers=1, writers=1), tenants=(Tenant("a", 1.0, 1000.0),))
    first, actions = w.ask()
    w.end(first, only(Send, actions).server, Status.READ, after=50 * MS)

    def fill(resumed: bool = False) -> int:
        """Ask until a request is refused; how many were let in."""
        for n in range(1000):
            if answers(w.ask(prompt_tokens=300.0, prefix=0, resumed=resumed)[1]):
                return n
        raise AssertionError("nothing is refused")

    assert fill() > 0
    let_in = fill(resumed=True)
    assert let_in > 0  # up to 1.6 times the threshold: past it, it could only be late
    assert fill() == 0


def test_a_refusal_for_want_of_room_tells_when_there_may_be_some() -> None:
    w = world(fleet(readers=1, writers=1), tenants=(Tenant("a", 1.0, 1000.0),), max_retry_after=500 * MS)
    first, actions = w.ask()
    w.end(first, only(Send, actions).server, Status.READ, after=50 * MS)
    told: list[int] = []
    for _ in range(200):
        told += [a.retry_after for a in w.ask(prompt_tokens=900.0, prefix=0)[1] if isinstance(a, Refuse)]
    assert told and all(0 < wait <= 500 * MS for wait in told)
    w = world([], max_retry_after=500 * MS)
    assert only(Refuse, w.ask()[1]).retry_after == 0  # nothing is known of when


def test_a_writer_that_could_not_be_reached_is_not_asked_again_for_the_request_while_others_stand_by() -> (
    None
):
    """Its connection did not come up in the little time that was left, so that nobody is blamed, and the
    state was lost."""
    for seed in range(20):
        w = world(fleet(readers=1, writers=4), seed=seed)
        request, actions = w.ask()
        asked = []
        for _ in range(2):
            writer = only(Send, w.end(request, only(Send, actions).server, Status.READ)).server
            asked.append(writer)
            actions = w.end(request, writer, Status.CONNECT_FAILED, lone=True, state_lost=True)
        assert len(set(asked)) == 2, f"seed {seed}: {asked}"
