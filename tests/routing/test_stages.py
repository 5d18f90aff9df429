"""The design's stages, one by one: home, spill, refusal by worth, writer pick."""

from __future__ import annotations

from helpers import BOTH, MS, READ, WRITE, S, World, answers, fleet, none, only, server, settings, world

from tuliptrack.interface import (
    EndpointListUpdate,
    EndpointState,
    LogMessage,
    Reject,
    Release,
    Request,
    SendAttempt,
    SetTimer,
    Status,
    Subscribe,
    TimerFired,
    UpdateKind,
)
from tuliptrack.routing.router import Router
from tuliptrack.routing.tenant_quota import TokenBucket


def test_one_prefix_goes_to_one_home_from_every_node() -> None:
    homes = set()
    for seed in (1, 2, 3):
        w = world(seed=seed)
        _, said = w.ask(session=seed, prefix=5)
        homes.add(only(SendAttempt, said).endpoint_id)
    assert len(homes) == 1


def test_without_a_prefix_the_session_picks_the_home_and_sessions_spread() -> None:
    seen = {}
    for session in range(1, 30):
        _, said = world().ask(session=session, prefix=0)
        seen[session] = only(SendAttempt, said).endpoint_id
        _, again = world().ask(session=session, prefix=0)
        assert only(SendAttempt, again).endpoint_id == seen[session]
    assert set(seen.values()) == {10, 11, 12}


def test_a_list_change_moves_only_the_keys_of_the_reader_that_left() -> None:
    for prefix in range(1, 40):
        before = only(SendAttempt, world().ask(prefix=prefix)[1]).endpoint_id
        w = world()
        w.list(server(10, READ, state=EndpointState.DRAINING))
        after = only(SendAttempt, w.ask(prefix=prefix)[1]).endpoint_id
        assert after == before or before == 10


def test_a_home_past_the_threshold_spills_to_the_lowest_score() -> None:
    w = world()
    first, said = w.ask()
    home = only(SendAttempt, said).endpoint_id
    w.end(first, home, Status.PREFILLED, after=200 * MS)
    sent = [only(SendAttempt, w.ask(time_left_us=20 * S, class_index=1)[1]).endpoint_id for _ in range(6)]
    assert sent[0] == home
    assert any(other != home for other in sent), "a home with more than half an aim of work must spill"


def test_when_all_are_past_worth_decides_and_half_is_low_worths_share() -> None:
    w = world(fleet(readers=1, writers=1))
    first, said = w.ask()
    w.end(first, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=100 * MS)
    w.ask(class_index=1)
    w.ask(class_index=1)
    w.ask(class_index=1)
    w.router.quotas.buckets[1] = TokenBucket(0.0, w.now)
    low = [w.ask(tenant=1)[1] for _ in range(6)]
    assert any(isinstance(a, Reject) for said in low for a in said), "over-share work is refused first"
    _, plain = w.ask()
    only(SendAttempt, plain)
    for _ in range(4):
        w.ask(class_index=1)
    _, plain = w.ask()
    only(Reject, plain)
    _, dear = w.ask(class_index=1)
    only(SendAttempt, dear)


def test_top_worth_is_refused_too_once_it_could_only_be_late() -> None:
    w = world(fleet(readers=1, writers=1))
    first, said = w.ask()
    w.end(first, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=100 * MS)
    verdicts = [w.ask(class_index=1)[1] for _ in range(40)]
    assert any(isinstance(a, Reject) for said in verdicts for a in said)


def test_states_that_wait_for_writers_reach_the_refusal_before_any_report() -> None:
    w = world(fleet(readers=1, writers=1))
    for _ in range(12):
        number, said = w.ask(class_index=1)
        w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=1 * MS)
    w.now += 800 * MS
    _, said = w.ask()
    only(Reject, said)


def test_an_idle_writer_that_would_be_passed_over_does_not_hide_the_jam() -> None:
    w = world([server(1, READ), server(2, WRITE), server(3, WRITE), server(4, WRITE)])
    for _ in range(3):
        number, _ = w.ask(class_index=1)
        w.end(number, 1, Status.PREFILLED, after=10 * MS)
    full = next(s.info.id for s in w.router.endpoints.values() if s.waiting)
    number = next(iter(w.router.endpoints[full].waiting))
    w.end(number, full, Status.AT_CAPACITY, load_report=(30.0, 0.9), after=1 * MS)
    assert not w.router.endpoints[full].waiting
    for _ in range(4):
        number, _ = w.ask(class_index=1)
        w.end(number, 1, Status.PREFILLED, after=10 * MS)
    w.now += 900 * MS
    assert not w.router.endpoints[full].waiting
    only(Reject, w.ask()[1])


def test_the_writer_with_the_fewest_projected_tokens_is_picked() -> None:
    w = world(fleet(readers=1, writers=3))
    used = []
    for _ in range(6):
        number, said = w.ask(max_tokens=4000.0)
        said = w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=10 * MS)
        used.append(only(SendAttempt, said).endpoint_id)
        w.start(number, used[-1], after=10 * MS)
    assert sorted(used) == [11, 11, 12, 12, 13, 13]


def test_a_hint_replaces_half_of_the_most_tokens() -> None:
    w = world(fleet(readers=1, writers=2))
    for hint in (3 * 60_000, None):
        number, _ = w.ask(stream_time_hint_us=hint, max_tokens=2000.0)
        w.end(number, 10, Status.PREFILLED, after=5 * MS)
    loads = {s.info.id: s.projected_tokens for s in w.router.endpoints.values()}
    assert sorted((loads[11], loads[12])) == [1003.0, 2000.0]


def test_near_ties_go_to_the_readers_cell() -> None:
    for reader, writer in ((1, 3), (4, 2)):
        w = world(
            [
                server(1, READ, cell=4),
                server(4, READ, cell=3),
                server(2, WRITE, cell=3),
                server(3, WRITE, cell=4),
            ]
        )
        number, said = w.ask(
            prefix=next(
                p
                for p in range(1, 50)
                if only(SendAttempt, world([server(1, READ), server(4, READ)]).ask(prefix=p)[1]).endpoint_id
                == reader
            )
        )
        assert only(SendAttempt, said).endpoint_id == reader
        assert only(SendAttempt, w.end(number, reader, Status.PREFILLED)).endpoint_id == writer


def test_a_writer_with_clearly_more_memory_held_is_passed_over() -> None:
    w = world([server(1, READ, cell=4), server(2, WRITE), server(3, WRITE), server(4, WRITE, cell=4)])
    number, _ = w.ask()
    w.end(number, 1, Status.PREFILLED)
    w.end(number, 4, Status.AT_CAPACITY, load_report=(30.0, 0.9))
    number, _ = w.ask()
    assert only(SendAttempt, w.end(number, 1, Status.PREFILLED)).endpoint_id != 4


def test_a_report_fades_so_that_a_refused_reader_comes_back() -> None:
    w = world([server(1, BOTH)])
    number, said = w.ask()
    w.start(number, 1, after=100 * MS)
    w.end(number, 1, Status.OK, is_final=True, load_report=(400.0, 0.5))
    only(Reject, w.ask()[1])
    _, said = w.ask(after=3 * S)
    only(SendAttempt, said)


def test_a_prompt_with_a_long_queue_of_tokens_ahead_spills_though_few_requests_wait() -> None:
    w = world(fleet(readers=3, writers=3))
    number, said = w.ask()
    home = only(SendAttempt, said).endpoint_id
    w.end(number, home, Status.PREFILLED, after=20 * MS)
    w.ask(prompt_tokens=30_000.0, class_index=1)
    assert only(SendAttempt, w.ask(class_index=1)[1]).endpoint_id != home


def test_a_mixed_servers_running_answers_count_as_its_depth() -> None:
    w = world([server(1, BOTH)], report_fields=())
    for _ in range(12):
        number, said = w.ask(class_index=1)
        only(SendAttempt, said)
        w.start(number, 1, after=150 * MS)
    only(Reject, w.ask()[1])


def test_a_slow_reader_loses_its_keys_but_not_when_all_are_slow() -> None:
    def serve(w: World, slow: set[int], prefix: int) -> int:
        number, said = w.ask(class_index=1, prefix=prefix)
        first = reader = only(SendAttempt, said).endpoint_id
        late = 40 * MS
        if reader in slow:  # 1.5 s, or as long as the router waits
            sent, late = only(SendAttempt, said), 1500 * MS
            if 0 < sent.timeout_us < late:
                said = w.end(number, reader, Status.TIMEOUT, after=sent.timeout_us)
                reader, late = only(SendAttempt, said).endpoint_id, 40 * MS if len(slow) == 1 else 1500 * MS
        writer = only(SendAttempt, w.end(number, reader, Status.PREFILLED, after=late)).endpoint_id
        w.start(number, writer, after=20 * MS)
        w.end(number, writer, Status.OK, is_final=True)
        return first

    home = serve(world(), set(), prefix=3)
    for slow, kept in (({home}, False), ({10, 11, 12}, True)):
        w = world(fleet(readers=3, writers=3))
        for prefix in range(1, 60):
            serve(w, slow, prefix=prefix)
        at_home = sum(serve(w, slow, prefix=3) == home for _ in range(20))
        assert at_home == 20 if kept else at_home <= 8, "trials only"
        w.now += 30 * S
        assert serve(w, slow, prefix=3) == home, "a trial comes in the end"


def test_a_silent_reader_is_left_by_the_attempts_own_time_out() -> None:
    w = world(replicas=200)
    number, said = w.ask()
    sent = only(SendAttempt, said)
    assert 0 < sent.timeout_us < 1 * S, "a retry must still fit into the aim"
    said = w.end(number, sent.endpoint_id, Status.TIMEOUT, after=sent.timeout_us)
    again = only(SendAttempt, said)
    assert again.endpoint_id != sent.endpoint_id and again.timeout_us > sent.timeout_us


def test_a_failed_server_is_tried_again_by_one_jittered_send_at_a_time() -> None:
    w = world(fleet(readers=2, writers=1))
    number, said = w.ask()
    home = only(SendAttempt, said).endpoint_id
    other = only(SendAttempt, w.end(number, home, Status.CONNECT_FAILED)).endpoint_id
    assert other != home
    writer = only(SendAttempt, w.end(number, other, Status.PREFILLED, after=30 * MS)).endpoint_id
    w.start(number, writer)
    w.now += 1 * S
    trial, said = w.ask()
    assert only(SendAttempt, said).endpoint_id == home
    assert only(SendAttempt, w.ask()[1]).endpoint_id != home
    w.end(trial, home, Status.PREFILLED, after=30 * MS)
    assert only(SendAttempt, w.ask()[1]).endpoint_id == home


def test_an_exception_is_logged_once_as_it_begins_and_once_as_it_ends() -> None:
    w = world(fleet(readers=1, writers=1))
    number, said = w.ask()
    w.end(number, only(SendAttempt, said).endpoint_id, Status.CONNECT_FAILED)
    assert [a.text for a in w.said if isinstance(a, LogMessage)] == ["endpoint 10 ejected: begins"]
    for _ in range(3):
        number, said = w.ask(after=2 * S)
        said = w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)
        w.start(number, 11)
        w.end(number, 11, Status.OK, is_final=True)
    assert [a.text for a in w.said if isinstance(a, LogMessage)] == [
        "endpoint 10 ejected: begins",
        "endpoint 10 ejected: ends",
    ]


def test_a_lost_state_is_read_again_and_a_full_writer_is_followed_by_the_next() -> None:
    w = world()
    number, said = w.ask()
    first = only(
        SendAttempt, w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED)
    ).endpoint_id
    second = only(SendAttempt, w.end(number, first, Status.AT_CAPACITY)).endpoint_id
    assert second in (13, 14, 15) and second != first
    again = only(SendAttempt, w.end(number, second, Status.AT_CAPACITY, is_state_lost=True)).endpoint_id
    assert again in (10, 11, 12)


def test_the_list_is_subscribed_to_and_asked_for_anew_after_a_failure() -> None:
    w = world(must_subscribe=True)
    assert any(isinstance(a, Subscribe) for a in w.said)
    said = w.tell(EndpointListUpdate(UpdateKind.FAILED))
    token = only(SetTimer, said).token
    only(Subscribe, w.tell(TimerFired(token), after=1 * S))


def test_a_full_list_drops_what_it_does_not_name() -> None:
    w = world(fleet(readers=2, writers=1))
    w.list(server(11, READ), server(12, WRITE), kind=UpdateKind.FULL)
    for prefix in range(1, 9):
        assert only(SendAttempt, w.ask(prefix=prefix)[1]).endpoint_id == 11


def test_settings_without_tenants_prefixes_reports_or_hints_work() -> None:
    router = Router(settings(tenants=(), report_fields=()), 1)
    router.handle(0, [EndpointListUpdate(UpdateKind.CACHED, 1, tuple(fleet()))])
    said = router.handle(1, [Request(1, 0, 5 * S)])
    only(SendAttempt, said)


def test_with_no_server_at_all_the_answer_is_a_refusal() -> None:
    w = world([])
    _, said = w.ask()
    assert len(answers(said)) == 1
    only(Reject, said)
    none(said, Release)
