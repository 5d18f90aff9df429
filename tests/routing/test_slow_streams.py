"""Decode endpoints that start streams in time but complete fewer of them than their peers."""

from __future__ import annotations

from helpers import MS, S, fleet, only, world

from tuliptrack.interface import MigrateStream, SendAttempt, Status

LENGTH_US = 2 * S
"""Length of a stream at a healthy decode endpoint."""


class Streams:
    """A world with open streams and twelve requests per second.

    Each stream takes `LENGTH_US`, multiplied by the factor of its decode endpoint if that endpoint is slow.
    """

    def __init__(self, decode_endpoints: int = 4, may_resume: bool = True) -> None:
        self.world = world(fleet(decode=decode_endpoints), may_resume=may_resume)
        self.open: dict[int, tuple[int, int]] = {}
        """Decode endpoint and end time of each open stream, by request id."""
        self.handled_actions = 0

    def play(self, seconds: int, slow: dict[int, float]) -> tuple[list[int], dict[int, int]]:
        """Run `seconds`; return the migrated requests, and how many attempts were sent to each endpoint.

        `slow` has the factor by which the streams of each slow endpoint take longer.
        """
        w, migrated, sent = self.world, list[int](), dict[int, int]()
        for _ in range(seconds * 12):
            w.handle_events(after=S // 12)
            for request_id, (decode_id, ends_at_us) in list(self.open.items()):
                if w.now >= ends_at_us:
                    del self.open[request_id]
                    w.end(request_id, decode_id, Status.OK, after=0, is_final=True)
            request_id, actions = w.ask()
            prefill_id = only(SendAttempt, actions).endpoint_id
            decode_id = only(
                SendAttempt, w.end(request_id, prefill_id, Status.PREFILLED, after=MS)
            ).endpoint_id
            w.start(request_id, decode_id, after=MS)
            self.open[request_id] = (decode_id, w.now + int(LENGTH_US * slow.get(decode_id, 1.0)))
            for action in w.actions[self.handled_actions :]:
                if isinstance(action, SendAttempt):
                    sent[action.endpoint_id] = sent.get(action.endpoint_id, 0) + 1
                elif isinstance(action, MigrateStream):
                    migrated.append(action.request_id)
                    w.end(
                        action.request_id,
                        self.open.pop(action.request_id)[0],
                        Status.CANCELLED,
                        after=0,
                        is_final=True,
                    )
            self.handled_actions = len(w.actions)
        return migrated, sent


def test_streams_of_a_slow_endpoint_are_migrated_and_few_new_ones_are_sent_there() -> None:
    streams = Streams()
    assert streams.play(6, {})[0] == []
    migrated, _ = streams.play(8, {13: 8.0})
    assert len(migrated) > 3
    _, sent = streams.play(6, {13: 8.0})
    assert sent.get(13, 0) < min(sent[n] for n in (14, 15, 16)) / 3
    streams.play(20, {})  # the endpoint has recovered: the stream of a health check completes in time
    _, sent = streams.play(6, {})
    assert sent[13] > min(sent[n] for n in (14, 15, 16)) / 2


def test_no_endpoint_is_ejected_if_all_are_slow() -> None:
    streams = Streams()
    streams.play(6, {})
    assert streams.play(12, {n: 4.0 for n in (13, 14, 15, 16)})[0] == []


def test_no_stream_is_migrated_if_streams_cannot_be_resumed() -> None:
    streams = Streams(may_resume=False)
    streams.play(6, {})
    assert streams.play(8, {13: 8.0})[0] == []
    _, sent = streams.play(6, {13: 8.0})
    assert sent.get(13, 0) < min(sent[n] for n in (14, 15, 16)) / 3


def test_a_slow_endpoint_is_used_while_this_node_sheds_load() -> None:
    streams = Streams()
    streams.play(6, {})
    streams.play(8, {13: 8.0})
    router, endpoint = streams.world.router, streams.world.router.endpoints[13]
    request_id, _ = streams.world.ask()
    request = router.in_flight[request_id]
    assert len(endpoint.ejections) == 1
    next(iter(endpoint.ejections.values())).next_check_at_us = streams.world.now + S
    assert not router.eligibility.is_usable(endpoint, request)
    router.state.shed_at_us = streams.world.now  # the node sheds load
    assert router.eligibility.is_usable(endpoint, request)


def test_a_short_pause_among_very_short_streams_is_not_taken_for_a_slow_endpoint() -> None:
    """A machine may pause for some tens of milliseconds, many times the length of streams that take one
    millisecond.
    """
    w = world(fleet(decode=4), may_resume=True)
    for _ in range(300):
        request_id, actions = w.ask(after=4 * MS)
        decode_id = only(
            SendAttempt, w.end(request_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=MS)
        ).endpoint_id
        w.start(request_id, decode_id, after=MS)
        w.end(request_id, decode_id, Status.OK, after=MS, is_final=True)
    paused_id, actions = w.ask()
    decode_id = only(
        SendAttempt, w.end(paused_id, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=MS)
    ).endpoint_id
    w.start(paused_id, decode_id, after=MS)
    w.handle_events(after=60 * MS)
    w.router.slow_streams.checked_at_us = 0  # so that a comparison is due at the next event
    action_count = len(w.actions)
    w.handle_events(after=MS)
    assert not [action for action in w.actions[action_count:] if isinstance(action, MigrateStream)]
