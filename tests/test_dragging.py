"""Writers that begin answers in time and drag them out: told by how few end there, against their peers."""

from __future__ import annotations

from helpers import MS, S, fleet, only, world

from tuliptrack.interface import HandBack, Send, Status

LENGTH = 2 * S  # of an answer at a healthy writer


class Streams:
    """A world with streams under way, twelve requests a second; each answer ends after `LENGTH` times what
    its writer's slowness says."""

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
                    w.end(request, writer, Status.OK, after=0, over=True)
            request, actions = w.ask()
            reader = only(Send, actions).server
            writer = only(Send, w.end(request, reader, Status.READ, after=MS)).server
            w.start(request, writer, after=MS)
            self.begun[request] = (writer, w.now + int(LENGTH * slow.get(writer, 1.0)))
            for action in w.said[self.heard :]:
                if isinstance(action, Send):
                    sent[action.server] = sent.get(action.server, 0) + 1
                elif isinstance(action, HandBack):
                    back.append(action.id)
                    w.end(action.id, self.begun.pop(action.id)[0], Status.CANCELLED, after=0, over=True)
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
    router, seat = s.w.router, s.w.router.seats[13]
    request, _ = s.w.ask()
    flight = router.flights[request]
    assert len(seat.blamed) == 1
    next(iter(seat.blamed.values())).until = s.w.now + S
    assert not router._usable(seat, flight)
    router.refused_at = s.w.now  # room is short
    assert router._usable(seat, flight)


def test_a_short_halt_amid_very_short_answers_is_no_dragging() -> None:
    """A machine may stand still for some tens of milliseconds: many times as long as answers of a millisecond
    take."""
    w = world(fleet(writers=4), may_resume=True)
    for _ in range(300):
        request, actions = w.ask(after=4 * MS)
        writer = only(Send, w.end(request, only(Send, actions).server, Status.READ, after=MS)).server
        w.start(request, writer, after=MS)
        w.end(request, writer, Status.OK, after=MS, over=True)
    halted, actions = w.ask()
    writer = only(Send, w.end(halted, only(Send, actions).server, Status.READ, after=MS)).server
    w.start(halted, writer, after=MS)
    w.tell(after=60 * MS)
    w.router.looked_at = 0  # the next event finds a look due
    heard = len(w.said)
    w.tell(after=MS)
    assert not [action for action in w.said[heard:] if isinstance(action, HandBack)]
