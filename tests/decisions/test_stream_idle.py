"""When a stream is ended: what restarts its idle time, and from when that runs."""

from __future__ import annotations

from tuliptrack.decisions.stream_idle import OutputKind, StreamActivity, StreamLimits, StreamVerdict

S = 1_000_000
LIMITS = StreamLimits(max_idle_us=4 * S, max_client_stall_us=30 * S)


def begun(at_us: int = 1 * S) -> StreamActivity:
    stream = StreamActivity()
    stream.output_arrived(OutputKind.EVENT, at_us)
    return stream


# Guards against a stream that an engine keeps open for ever by what is no event.
def test_only_events_restart_the_idle_time() -> None:
    stream = begun()
    for at_us in range(2 * S, 5 * S, S):
        stream.output_arrived(OutputKind.NO_EVENT, at_us)
        assert stream.verdict(at_us, LIMITS, has_unread=False) is StreamVerdict.CONTINUES
    assert stream.check_at_us(4 * S, LIMITS) == 5 * S
    assert stream.verdict(5 * S, LIMITS, has_unread=False) is StreamVerdict.ENGINE_IDLE
    assert (stream.last_event_at_us, stream.last_output_at_us) == (1 * S, 4 * S)
    stream.output_arrived(OutputKind.EVENT, 5 * S)
    assert stream.verdict(8 * S, LIMITS, has_unread=False) is StreamVerdict.CONTINUES


def test_a_client_that_reads_nothing_is_given_up_at_its_own_limit() -> None:
    stream = begun()
    stream.pause(2 * S)
    assert stream.check_at_us(2 * S, LIMITS) == 2 * S + LIMITS.recheck_us
    assert stream.verdict(32 * S - 1, LIMITS, has_unread=True) is StreamVerdict.CONTINUES
    assert stream.verdict(32 * S, LIMITS, has_unread=True) is StreamVerdict.CLIENT_STALLED
    assert (stream.pause_count, stream.paused_us(12 * S)) == (1, 10 * S)


# Guards against a stream that is over but for its end, and that its engine keeps open by further events.
def test_nothing_after_the_end_marker_restarts_the_idle_time() -> None:
    stream = begun()
    stream.output_arrived(OutputKind.LAST_EVENT, 2 * S)
    stream.output_arrived(OutputKind.EVENT, 5 * S)
    stream.output_arrived(OutputKind.LAST_EVENT, 5 * S)
    assert stream.verdict(6 * S, LIMITS, has_unread=False) is StreamVerdict.ENGINE_IDLE


# Guards against a client that waits longer because it rested, and against one whose engine is cut off for the rest.
def test_a_pause_neither_restarts_the_idle_time_nor_counts_against_an_engine_that_still_writes() -> None:
    stream = begun()
    stream.pause(2 * S)
    assert stream.verdict(5 * S, LIMITS, has_unread=True) is StreamVerdict.CONTINUES
    assert stream.verdict(5 * S, LIMITS, has_unread=False) is StreamVerdict.ENGINE_IDLE
    stream.resume(7 * S, LIMITS, has_unread=True)
    caught_up_at_us = 7 * S + LIMITS.catch_up_us
    assert stream.verdict(caught_up_at_us - 1, LIMITS, has_unread=False) is StreamVerdict.CONTINUES
    assert stream.check_at_us(7 * S, LIMITS) == caught_up_at_us
    assert stream.verdict(caught_up_at_us, LIMITS, has_unread=False) is StreamVerdict.ENGINE_IDLE
    assert stream.paused_us(8 * S) == 5 * S


# Guards against a stream that a client keeps open for ever by pauses, while its engine sends what is no event.
def test_pauses_in_a_row_give_no_more_time_than_one() -> None:
    stream = begun()
    for at_us in range(5 * S, 9 * S, S // 4):
        stream.pause(at_us)
        stream.resume(at_us + 1, LIMITS, has_unread=True)
        stream.output_arrived(OutputKind.NO_EVENT, at_us + 2)
    assert stream.verdict(9 * S, LIMITS, has_unread=True) is StreamVerdict.ENGINE_IDLE
