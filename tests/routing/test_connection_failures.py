"""What breaks with just its own connection tells nothing of its server; streams that come back are let in."""

from __future__ import annotations

from helpers import MS, answers, fleet, only, world

from tuliptrack.interface import Reject, SendAttempt, Status, Tenant


def test_a_lone_break_blames_nobody_and_is_tried_again_where_its_prompt_is_kept() -> None:
    w = world()
    request, actions = w.ask()
    home = only(SendAttempt, actions).endpoint_id
    for _ in range(2):
        again = only(SendAttempt, w.end(request, home, Status.RESET, after=2 * MS, is_connection_only=True))
        assert again.endpoint_id == home and not w.router.endpoints[home].ejections
    # A third one may be the request's own doing: it goes elsewhere.
    assert (
        only(
            SendAttempt, w.end(request, home, Status.RESET, after=2 * MS, is_connection_only=True)
        ).endpoint_id
        != home
    )


def test_breaks_in_a_row_without_an_answer_between_speak_against_the_server() -> None:
    w = world(fleet(readers=1))
    seat = w.router.endpoints[10]
    for answered in (True, False):
        for _ in range(3):
            request, actions = w.ask()
            w.end(
                request,
                only(SendAttempt, actions).endpoint_id,
                Status.RESET,
                after=2 * MS,
                is_connection_only=True,
            )
            if answered:
                w.end(request, 10, Status.PREFILLED)
            assert not seat.ejections
    request, _ = w.ask()
    w.end(request, 10, Status.RESET, after=2 * MS, is_connection_only=True)
    assert seat.ejections


def test_any_other_break_still_blames_at_once() -> None:
    w = world()
    request, actions = w.ask()
    home = only(SendAttempt, actions).endpoint_id
    assert only(SendAttempt, w.end(request, home, Status.RESET, after=2 * MS)).endpoint_id != home
    assert w.router.endpoints[home].ejections


def test_a_stream_that_comes_back_is_let_in_where_a_new_request_is_refused() -> None:
    w = world(fleet(readers=1, writers=1), tenants=(Tenant("a", 1.0, 1000.0),))
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=50 * MS)

    def fill(resumed: bool = False) -> int:
        """Ask until a request is refused; how many were let in."""
        for n in range(1000):
            if answers(w.ask(prompt_tokens=300.0, prefix=0, is_resumed=resumed)[1]):
                return n
        raise AssertionError("nothing is refused")

    assert fill() > 0
    let_in = fill(resumed=True)
    assert let_in > 0  # up to 1.6 times the threshold: past it, it could only be late
    assert fill() == 0


def test_a_refusal_for_want_of_room_tells_when_there_may_be_some() -> None:
    w = world(fleet(readers=1, writers=1), tenants=(Tenant("a", 1.0, 1000.0),), max_retry_after_us=500 * MS)
    first, actions = w.ask()
    w.end(first, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=50 * MS)
    told: list[int] = []
    for _ in range(200):
        told += [a.retry_after_us for a in w.ask(prompt_tokens=900.0, prefix=0)[1] if isinstance(a, Reject)]
    assert told and all(0 < wait <= 500 * MS for wait in told)
    w = world([], max_retry_after_us=500 * MS)
    assert only(Reject, w.ask()[1]).retry_after_us == 0  # nothing is known of when


def test_a_writer_that_could_not_be_reached_is_not_asked_again_for_the_request_while_others_stand_by() -> (
    None
):
    """Its connection did not come up in the little time that was left, so that nobody is blamed, and the
    state was lost.
    """
    for seed in range(20):
        w = world(fleet(readers=1, writers=4), seed=seed)
        request, actions = w.ask()
        asked = []
        for _ in range(2):
            writer = only(
                SendAttempt, w.end(request, only(SendAttempt, actions).endpoint_id, Status.PREFILLED)
            ).endpoint_id
            asked.append(writer)
            actions = w.end(
                request, writer, Status.CONNECT_FAILED, is_connection_only=True, is_state_lost=True
            )
        assert len(set(asked)) == 2, f"seed {seed}: {asked}"
