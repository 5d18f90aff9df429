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
        assert stream.verdict(at_us, LIMITS) is StreamVerdict.CONTINUES
    assert stream.check_at_us(4 * S, LIMITS) == 5 * S
    assert stream.verdict(5 * S, LIMITS) is StreamVerdict.ENGINE_IDLE
    assert (stream.last_event_at_us, stream.last_output_at_us) == (1 * S, 4 * S)
    stream.output_arrived(OutputKind.EVENT, 5 * S)
    assert stream.verdict(8 * S, LIMITS) is StreamVerdict.CONTINUES


def test_a_client_that_reads_nothing_is_given_up_at_its_own_limit() -> None:
    stream = begun()
    stream.pause(2 * S)
    assert stream.check_at_us(2 * S, LIMITS) == 5 * S
    assert stream.verdict(32 * S - 1, LIMITS) is StreamVerdict.CONTINUES
    assert stream.verdict(32 * S, LIMITS) is StreamVerdict.CLIENT_STALLED
    assert (stream.pause_count, stream.paused_us(12 * S)) == (1, 10 * S)


# Guards against a stream that is over but for its end, and that its engine keeps open by further events.
def test_nothing_after_the_end_marker_restarts_the_idle_time() -> None:
    stream = begun()
    stream.output_arrived(OutputKind.LAST_EVENT, 2 * S)
    stream.output_arrived(OutputKind.EVENT, 5 * S)
    stream.output_arrived(OutputKind.LAST_EVENT, 5 * S)
    assert stream.verdict(6 * S, LIMITS) is StreamVerdict.ENGINE_IDLE
