"""Writers that begin answers in time and drag them out: told by how few end there, against their peers."""

from __future__ import annotations

from helpers import MS, S, fleet, only, world

from tuliptrack.interface import MigrateStream, SendAttempt, Status

LENGTH = 2 * S  # of an answer at a healthy writer


class Streams:
    """A world with streams under way, twelve requests a second; each answer ends after `LENGTH` times what
    its writer's slowness says.
    """

    def __init__(self, writers: int = 4, resume: bool = True) -> None:
        self.w = world(fleet(writers=writers), may_resume=resume)
        self.begun: dict[int, tuple[int, int]] = {}
        """Answers under way, by request: their writer and when they end."""
        self.heard = 0

    def play(self, seconds: int, slow: dict[int, float]) -> tuple[list[int], dict[int, int]]:
        """The requests that were handed back in so long, and how many were sent to each server."""
        w, back, sent = self.w, list[int](), dict[int, int]()
        for _ in range(seconds * 12):
            w.tell(after=S // 12)
            for request, (writer, end) in list(self.begun.items()):
                if w.now >= end:
                    del self.begun[request]
                    w.end(request, writer, Status.OK, after=0, is_final=True)
            request, actions = w.ask()
            reader = only(SendAttempt, actions).endpoint_id
            writer = only(SendAttempt, w.end(request, reader, Status.PREFILLED, after=MS)).endpoint_id
            w.start(request, writer, after=MS)
            self.begun[request] = (writer, w.now + int(LENGTH * slow.get(writer, 1.0)))
            for action in w.said[self.heard :]:
                if isinstance(action, SendAttempt):
                    sent[action.endpoint_id] = sent.get(action.endpoint_id, 0) + 1
                elif isinstance(action, MigrateStream):
                    back.append(action.request_id)
                    w.end(
                        action.request_id,
                        self.begun.pop(action.request_id)[0],
                        Status.CANCELLED,
                        after=0,
                        is_final=True,
                    )
            self.heard = len(w.said)
        return back, sent


def test_answers_at_a_dragging_writer_are_handed_back_and_hardly_more_go_there() -> None:
    s = Streams()
    assert s.play(6, {})[0] == []
    back, _ = s.play(8, {13: 8.0})
    assert len(back) > 3
    _, sent = s.play(6, {13: 8.0})
    assert sent.get(13, 0) < min(sent[n] for n in (14, 15, 16)) / 3
    s.play(20, {})  # it is well again: a trial's answer ends in time
    _, sent = s.play(6, {})
    assert sent[13] > min(sent[n] for n in (14, 15, 16)) / 2


def test_a_slowness_of_all_writers_is_nobodys() -> None:
    s = Streams()
    s.play(6, {})
    assert s.play(12, {n: 4.0 for n in (13, 14, 15, 16)})[0] == []


def test_nothing_is_handed_back_where_streams_cant_be_resumed() -> None:
    s = Streams(resume=False)
    s.play(6, {})
    assert s.play(8, {13: 8.0})[0] == []
    _, sent = s.play(6, {13: 8.0})
    assert sent.get(13, 0) < min(sent[n] for n in (14, 15, 16)) / 3


def test_a_dragging_writer_is_used_while_this_node_refuses() -> None:
    s = Streams()
    s.play(6, {})
    s.play(8, {13: 8.0})
    router, endpoint = s.w.router, s.w.router.endpoints[13]
    request_id, _ = s.w.ask()
    request = router.in_flight[request_id]
    assert len(endpoint.ejections) == 1
    next(iter(endpoint.ejections.values())).next_check_at_us = s.w.now + S
    assert not router.eligibility.is_usable(endpoint, request)
    router.state.shed_at_us = s.w.now  # capacity is short
    assert router.eligibility.is_usable(endpoint, request)


def test_a_short_halt_amid_very_short_answers_is_no_dragging() -> None:
    """A machine may stand still for some tens of milliseconds: many times as long as answers of a millisecond
    take.
    """
    w = world(fleet(writers=4), may_resume=True)
    for _ in range(300):
        request, actions = w.ask(after=4 * MS)
        writer = only(
            SendAttempt, w.end(request, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=MS)
        ).endpoint_id
        w.start(request, writer, after=MS)
        w.end(request, writer, Status.OK, after=MS, is_final=True)
    halted, actions = w.ask()
    writer = only(
        SendAttempt, w.end(halted, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=MS)
    ).endpoint_id
    w.start(halted, writer, after=MS)
    w.tell(after=60 * MS)
    w.router.slow_streams.checked_at_us = 0  # the next event finds a look due
    heard = len(w.said)
    w.tell(after=MS)
    assert not [action for action in w.said[heard:] if isinstance(action, MigrateStream)]
