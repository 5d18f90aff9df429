"""Every order of endings against the core: clients that leave, attempts that end in all ways, drains,
releases, cancels and the node's end, each also twice. Hypothesis plays them on a clock of its own; a model of
the engines knows what is really held and what has really run, and checks the five rules. Machines without one
of the core's guards have to be found out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from helpers import BOTH, READ, WRITE, settings
from hypothesis import HealthCheck, Phase
from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tuliptrack import interface as io
from tuliptrack.decisions.concurrency_limit import ConcurrencyLimits
from tuliptrack.fronts.port import ClientRequest, Failure, FinishReason
from tuliptrack.node import timers
from tuliptrack.node.attempt_state import Delivery, may_have_executed
from tuliptrack.node.core import Core
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord

US = 1_000_000
SLACK_US = 300_000  # what the platform allows past the settings' time for a held state
SERVERS = (
    io.EndpointInfo(1, READ),
    io.EndpointInfo(2, READ),
    io.EndpointInfo(3, WRITE),
    io.EndpointInfo(4, WRITE),
    io.EndpointInfo(5, BOTH),
)
BUDGETS_US = (300_000, 1_500_000, 4_000_000)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on only when it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.moment = 1_000.0

    def time(self) -> float:
        return self.moment

    def spin(self) -> None:
        """Run what is ready and due."""
        for _ in range(4):
            self.call_soon(self.stop)
            self.run_forever()

    def advance(self, seconds: float, look: Callable[[], None]) -> None:
        """Let time pass, from one timer to the next; `look` is called after each."""
        until = self.moment + seconds
        while True:
            waiting = [handle.when() for handle in self._scheduled if not handle.cancelled()]  # type: ignore[attr-defined]
            following = min([until, *waiting])
            self.moment = max(self.moment, min(following, until))
            self.spin()
            look()
            if self.moment >= until:
                return


@dataclass(eq=False)
class Call:
    """An attempt that is out, as the core's `Call`."""

    engines: Engines
    record: RequestRecord
    attempt: Attempt
    sent_at: int = 0
    """When its last byte was written; 0: it was not."""
    reached: bool = False
    """Its engine has it."""
    streams: bool = False
    over: bool = False

    def cancel(self, status: io.Status) -> None:
        if self.sent_at:
            self.end(AttemptResult(status, "given up"))
        else:
            late = status is io.Status.TIMEOUT
            self.end(
                AttemptResult(
                    io.Status.CONNECT_FAILED if late else io.Status.ABANDONED,
                    "never sent",
                    is_connection_only=late,
                )
            )

    def delivery(self) -> Delivery:
        """What a node can know: `reached` is the engines' own knowledge until the first token."""
        if not self.sent_at:
            return Delivery.NOT_SENT
        return Delivery.CONFIRMED if self.streams else Delivery.POSSIBLE

    def confirm_arrival(self) -> None: ...

    def mark_doubtful(self) -> None: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def end(self, ended: AttemptResult) -> None:
        """Once; the engines' truth first."""
        if not self.over:
            self.over = True
            self.engines.ended(self, ended)
            self.engines.core.attempt_ended(self.record, self.attempt, ended)


@dataclass(eq=False)
class Life:
    """One request, as its client and the engines know it."""

    answer: Answer
    effect: io.Idempotency
    due: int
    left_at: int = 0
    held_since: int = 0
    """A state is held and no attempt waits for it since then; 0: none is held, or one does."""
    holds: bool = False
    ran_at: int = 0
    """When the first attempt was sent that may have run; 0: none."""


@dataclass(eq=False)
class Answer:
    """The client's side: what it was told."""

    ends: list[str] = field(default_factory=list)
    begun: bool = False

    def events(self) -> None:
        assert not self.ends, "rule 1: an event after the end"
        self.begun = True

    def token(self, index: int, text: str, finish: Any, usage: Any) -> bool:
        raise NotImplementedError

    def served(self) -> None:
        self.ends.append("served")

    def rejected(self, reason: str, retry_after: int) -> None:
        self.ends.append("refused")

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        self.ends.append("failed")


class Engines:
    """The core's `Engines`, and what is true of them."""

    prefills_have_no_effect = False
    releases_are_global = True
    release_transit_us = 0

    def __init__(self, core: Core) -> None:
        self.core = core
        self.calls: list[Call] = []
        self.lives: dict[int, Life] = {}
        self.draining_since: dict[int, int] = {}

    @property
    def now(self) -> int:
        return self.core.now()

    def is_reachable(self, server: int) -> bool:
        return True

    def start(self, record: RequestRecord, attempt: Attempt, timeout: int) -> Call:
        assert not any(call.record is record and not call.over for call in self.calls), (
            "rule 2: two attempts at once"
        )
        assert timeout <= max(record.deadline_us - self.now, 1), "an attempt outlives its client's deadline"
        call = Call(self, record, attempt)
        self.calls.append(call)
        left = self.core.settings.connect_timeout_us
        if attempt.connect_by_us:
            left = min(left, max(attempt.connect_by_us - self.now, 0))
        asyncio.get_running_loop().call_later(left / US, self.never_connected, call)
        return call

    def never_connected(self, call: Call) -> None:
        if not call.sent_at:
            call.end(AttemptResult(io.Status.CONNECT_FAILED, "connect", is_connection_only=True))

    def send(self, call: Call, reached: bool) -> None:
        """Its connection is up: it is written, unless it isn't wanted any more."""
        if call.over or call.sent_at:
            return
        if not self.core.may_still_begin(call.record, call.attempt.endpoint_id):
            call.end(AttemptResult(io.Status.CONNECT_FAILED, "not wanted", is_connection_only=True))
            return
        life = self.lives[call.record.id]
        assert not life.left_at, "sent for a client that has gone"
        assert not life.answer.ends, "rule 1: sent after the end"
        assert call.attempt.endpoint_id not in self.draining_since, "rule 3: sent to a server that drains"
        if life.ran_at and life.effect is not io.Idempotency.IDEMPOTENT:
            assert life.effect is io.Idempotency.WITH_KEY, "rule 2: sent again though it may have run"
            window = self.core.settings.classes[0].deduplication_window_us
            assert self.now - life.ran_at <= window + 1_000, "rule 2: sent again after its window"
        call.sent_at, call.reached = self.now, reached
        if reached:
            life.held_since = 0

    def ended(self, call: Call, ended: AttemptResult) -> None:
        """The truth after an attempt."""
        life = self.lives[call.record.id]
        if life.holds and call.reached and not call.streams:
            life.held_since = self.now
        proven = ended.status in (io.Status.CONNECT_FAILED, io.Status.ABANDONED, io.Status.AT_CAPACITY)
        may_run = ended.status is io.Status.TIMEOUT if call.attempt.is_prefill else not proven
        if call.sent_at and may_run and not life.ran_at:
            life.ran_at = call.sent_at

    def hold_state(self, call: Call) -> None:
        """A read has ended well at its engine."""
        life = self.lives[call.record.id]
        life.holds, life.held_since = True, self.now

    def waits(self, request: int) -> bool:
        """Whether an attempt at a writer waits for the request's state."""
        return any(
            not call.over and call.reached and not call.attempt.is_prefill
            for call in self.calls
            if call.record.id == request
        )

    def let_go(self, request: int) -> None:
        life = self.lives[request]
        if not self.waits(request):
            life.holds, life.held_since = False, 0

    def release(self, server: int, record: RequestRecord, unsure: bool = False) -> None:
        self.let_go(record.id)
        if unsure:
            after = self.core.settings.release_within_us / 2 / US
            asyncio.get_running_loop().call_later(after, self.let_go, record.id)

    def release_later(self, server: int, record: RequestRecord) -> None: ...

    def cancel_release(self, record: RequestRecord) -> None: ...

    def reserve(self, server: int, record: RequestRecord, attempt: Attempt) -> None: ...

    def check_health(self, server: int, done: Callable[[io.HealthCheckResult], None]) -> None: ...

    def close_idle_connections(self, server: int) -> None: ...


class Source:
    """No list but what the machine tells."""

    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class Orders(RuleBasedStateMachine):
    """The core between clients and engines that do what they like."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.errors: list[Any] = []
        self.loop.set_exception_handler(
            lambda loop, context: self.errors.append(context.get("exception") or context)
        )
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(timers, "now_us", lambda: round(self.loop.moment * US))

    def guard(self, core: Core) -> None:
        """A machine without one of the core's guards takes it out here."""

    @initialize(
        effect=st.sampled_from(list(io.Idempotency)),
        may_cancel=st.booleans(),
        connect_timeout=st.sampled_from([250_000, 700_000]),
    )
    def start(self, effect: io.Idempotency, may_cancel: bool, connect_timeout: int) -> None:
        base = settings(
            effect=effect,
            may_cancel=may_cancel,
            connect_timeout_us=connect_timeout,
            release_within_us=300_000,
            report_fields=(),
        )
        classes = tuple(replace(one, deduplication_window_us=200_000) for one in base.classes)
        self.core = Core(
            replace(base, classes=classes),
            7,
            "n",
            CoreLimits(answer_ahead=20_000),
            ConcurrencyLimits(64, 64, 64),
        )
        self.engines = Engines(self.core)
        self.core.engines, self.core.source = self.engines, Source()
        self.tickets: dict[int, Any] = {}
        self.guard(self.core)
        self.do(self.core.dispatch, io.EndpointListUpdate(io.UpdateKind.FULL, 1, SERVERS))

    def do(self, what: Callable[..., Any], *arguments: Any) -> None:
        self.loop.call_soon(what, *arguments)
        self.loop.spin()
        self.raise_errors()

    def raise_errors(self) -> None:
        if self.errors:
            raise (
                self.errors[0]
                if isinstance(self.errors[0], BaseException)
                else AssertionError(self.errors[0])
            )

    def one(self, number: int, among: list[Any]) -> Any:
        return among[number % len(among)]

    def out(self, **wanted: bool) -> list[Call]:
        """Attempts that are out, with these properties."""
        calls = [call for call in self.engines.calls if not call.over]
        if "sent" in wanted:
            calls = [call for call in calls if bool(call.sent_at) is wanted["sent"]]
        if "reached" in wanted:
            calls = [call for call in calls if call.reached is wanted["reached"]]
        if "reading" in wanted:
            calls = [call for call in calls if call.attempt.is_prefill is wanted["reading"]]
        return calls

    def waiting(self) -> list[int]:
        """Requests whose clients still wait, or read."""
        return [n for n, life in self.engines.lives.items() if not life.left_at and not life.answer.ends]

    @rule(budget=st.sampled_from(BUDGETS_US), prefix=st.integers(1, 3))
    def ask(self, budget: int, prefix: int) -> None:
        def submit() -> None:
            answer, now = Answer(), self.core.now()
            number = self.core.table._next_id
            life = Life(answer, self.core.settings.classes[0].idempotency, now + budget)
            self.engines.lives[number] = life
            ask = ClientRequest(
                "plain",
                "prompt",
                "a",
                f"s{number}",
                f"p{prefix}",
                1_000,
                800,
                200,
                first_token_deadline_us=now + budget,
                payload=object(),
                is_disconnected=lambda: bool(life.left_at),
            )
            self.tickets[number] = self.core.submit(ask, answer)

        self.do(submit)

    @rule(budget=st.sampled_from(BUDGETS_US[1:]), prefix=st.integers(1, 3))
    def ask_and_read(self, budget: int, prefix: int) -> None:
        """A request whose prompt is read at once, so that many get as far as a writer."""
        self.ask(budget, prefix)
        call = next(
            (
                call
                for call in self.out(sent=False, reading=True)
                if call.record.id == max(self.engines.lives)
            ),
            None,
        )
        if call:
            self.do(self.engines.send, call, True)
            self.read_ends(call, False)

    @rule(prefix=st.integers(1, 3))
    def a_read_breaks_and_the_next_connection_comes_up_late(self, prefix: int) -> None:
        """What may have run is tried anew, on a connection that comes up when the window for repeats is
        over.
        """
        self.ask(BUDGETS_US[-1], prefix)
        for breaks in (True, False):
            call = next(
                (call for call in self.out(sent=False) if call.record.id == max(self.engines.lives)), None
            )
            if call is None:
                return
            if not breaks:
                self.time_passes(0.21)
            self.do(self.engines.send, call, True)
            if breaks:
                self.do(call.end, AttemptResult(io.Status.RESET, "failed"))

    @precondition(lambda self: self.waiting())
    @rule(number=st.integers(0, 9), unread=st.booleans())
    def client_leaves(self, number: int, unread: bool) -> None:
        """Its end is read at once, or only found when the next attempt would begin."""
        request = self.one(number, self.waiting())
        self.engines.lives[request].left_at = self.core.now()
        if not unread:
            self.do(self.tickets[request].disconnected, "left")

    @precondition(lambda self: self.engines.lives)
    @rule(number=st.integers(0, 9))
    def an_end_is_told_again(self, number: int) -> None:
        """Releases, cancels and ends that come twice, in any order."""
        request = self.one(number, list(self.engines.lives))
        life = self.engines.lives[request]
        if life.left_at:
            self.do(self.tickets[request].disconnected, "left once more")
        for call in self.engines.calls:
            if call.over and call.record.id == request:
                self.do(call.cancel, io.Status.CANCELLED)
                self.do(
                    self.core.attempt_ended,
                    call.record,
                    call.attempt,
                    AttemptResult(io.Status.RESET, "once more"),
                )
        if life.answer.ends or life.left_at:
            self.do(self.core.release, io.Release(request))

    @precondition(lambda self: self.out(sent=False))
    @rule(number=st.integers(0, 9), reached=st.sampled_from([True, True, False]))
    def a_connection_comes_up(self, number: int, reached: bool) -> None:
        self.do(self.engines.send, self.one(number, self.out(sent=False)), reached)

    @precondition(lambda self: self.out(sent=False))
    @rule(number=st.integers(0, 9))
    def a_connection_comes_up_late(self, number: int) -> None:
        call = self.one(number, self.out(sent=False))
        self.time_passes(0.21)
        self.do(self.engines.send, call, True)

    @precondition(lambda self: self.out(sent=False))
    @rule(number=st.integers(0, 9))
    def a_connection_is_refused(self, number: int) -> None:
        self.do(
            self.one(number, self.out(sent=False)).end, AttemptResult(io.Status.CONNECT_FAILED, "refused")
        )

    @precondition(lambda self: self.out(reached=True, reading=True))
    @rule(number=st.integers(0, 9), broke=st.booleans())
    def a_read_ends(self, number: int, broke: bool) -> None:
        """Well, and told; or well, just as its connection broke."""
        self.read_ends(self.one(number, self.out(reached=True, reading=True)), broke)

    def read_ends(self, call: Call, broke: bool) -> None:
        def end() -> None:
            self.engines.hold_state(call)
            if broke:
                call.end(AttemptResult(io.Status.RESET, "broke as it ended"))
            else:
                self.core.prefill_finished(
                    call.record, call.attempt, KvStateLocation(call.attempt.endpoint_id, "", ""), 0
                )
                call.end(AttemptResult(io.Status.OK, is_confirmed=True))

        self.do(end)

    @precondition(lambda self: self.out(sent=True))
    @rule(
        number=st.integers(0, 9),
        status=st.sampled_from([io.Status.RESET, io.Status.ERROR, io.Status.AT_CAPACITY]),
        gone=st.booleans(),
    )
    def an_attempt_fails(self, number: int, status: io.Status, gone: bool) -> None:
        call = self.one(number, self.out(sent=True))
        if call.streams and status is io.Status.AT_CAPACITY:
            return
        if status is not io.Status.RESET and not call.reached:
            return
        lost = gone and status is io.Status.AT_CAPACITY and not call.attempt.is_prefill
        if lost:
            self.engines.lives[call.record.id].holds = False  # Its word is right.
        self.do(call.end, AttemptResult(status, "failed", lost, is_confirmed=status is not io.Status.RESET))

    @precondition(lambda self: self.out(reached=True, reading=False))
    @rule(number=st.integers(0, 9), last=st.booleans())
    def a_stream_goes_on(self, number: int, last: bool) -> None:
        call = self.one(number, self.out(reached=True, reading=False))
        life = self.engines.lives[call.record.id]

        def go() -> None:
            call.streams = True
            life.holds, life.held_since = False, 0
            if self.core.output_arrived(call.record, call.attempt):
                life.answer.events()
            if last and not call.over:
                call.record.finish_reason = FinishReason.STOP
                call.end(AttemptResult(io.Status.OK, is_confirmed=True))

        self.do(go)

    @rule(seconds=st.sampled_from([0.01, 0.15, 0.3, 0.3, 0.7, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.loop.advance(seconds, self.nothing_is_held_too_long)
        self.raise_errors()

    @rule(server=st.integers(1, 15), ready=st.booleans())
    def the_list_changes(self, server: int, ready: bool) -> None:
        if server > len(SERVERS):  # Rarely, lest no request come far.
            return
        info = SERVERS[server - 1]
        if ready:
            self.engines.draining_since.pop(server, None)
        else:
            self.engines.draining_since.setdefault(server, self.core.now())
        state = io.EndpointState.READY if ready else io.EndpointState.DRAINING
        self.do(
            self.core.dispatch, io.EndpointListUpdate(io.UpdateKind.DELTA, 2, (replace(info, state=state),))
        )

    @rule(chance=st.integers(0, 9))
    def the_node_ends(self, chance: int) -> None:
        """Rarely: its streams are handed back, or its grace is over."""
        if chance < 2:
            self.do((self.core.migrate_streams, self.core.conclude_open_requests)[chance])

    @invariant()
    def each_request_has_one_end(self) -> None:
        for number, life in getattr(self, "engines", Engines).__dict__.get("lives", {}).items():
            assert len(life.answer.ends) <= 1, f"rule 1: {number} was answered {life.answer.ends}"
            if "refused" in life.answer.ends and life.ran_at:
                scope = self.core.settings.classes[0].idempotency_scope
                harmless = life.effect is io.Idempotency.IDEMPOTENT or (
                    life.effect is io.Idempotency.WITH_KEY and scope is io.IdempotencyScope.ALL
                )
                assert harmless, f"rule 2: {number} was refused though it may have run"

    def nothing_is_held_too_long(self) -> None:
        allowed = self.core.settings.release_within_us + SLACK_US
        for number, life in self.engines.lives.items():
            held = life.holds and life.held_since and self.core.now() - life.held_since
            assert not held or held <= allowed, f"rule 5: {number} has been held for {held} us"

    def teardown(self) -> None:
        try:
            if hasattr(self, "core") and not self.errors:
                self.loop.advance(10.0, self.nothing_is_held_too_long)
                self.raise_errors()
                for number, life in self.engines.lives.items():
                    assert life.answer.ends or life.left_at or life.answer.begun, (
                        f"rule 1: {number} has no answer"
                    )
                self.do(self.core.close)
                self.do(self.core.close)
                self.loop.advance(1.0, self.nothing_is_held_too_long)
                self.raise_errors()
                assert not self.core.table.open and not self.core.router.in_flight, "requests left"
                assert len(self.core.timers) == 0, "timers left"
                assert not any(
                    seat.waiting or seat.streams for seat in self.core.router.endpoints.values()
                ), "books left open"
                assert not any(life.holds for life in self.engines.lives.values()), "states left"
        finally:
            self.patch.undo()
            self.loop.close()


FAST = examples(
    max_examples=400,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_every_order_of_endings_keeps_the_rules() -> None:
    run_state_machine_as_test(Orders, settings=FAST)


def leases_never_expire(core: Core) -> None:
    core.leases.expire = lambda record: None  # type: ignore[method-assign]


def leases_never_start(core: Core) -> None:
    core.leases.restart = lambda record: None  # type: ignore[method-assign]


def write_counts_as_arrival(core: Core) -> None:
    """The fault of the incident: bytes that were written stop the lease."""
    expire = core.leases.expire

    def unless_written(record: RequestRecord) -> None:
        if not (record.attempt and record.attempt.call and may_have_executed(record.attempt.call.delivery())):
            expire(record)

    core.leases.expire = unless_written  # type: ignore[method-assign]


def always_wanted(core: Core) -> None:
    core.may_still_begin = lambda record, endpoint_id: True  # type: ignore[method-assign]


def windows_forgotten(core: Core) -> None:
    class_of = core.class_of
    core.class_of = lambda record: replace(class_of(record), idempotency=io.Idempotency.IDEMPOTENT)  # type: ignore[method-assign]


def reads_break_unseen(core: Core) -> None:
    release = core.engines.release

    def sure_only(server: int, record: RequestRecord, unsure: bool = False) -> None:
        if not unsure:
            release(server, record)

    core.engines.release = sure_only  # type: ignore[method-assign]


def leavers_untold(core: Core) -> None:
    core.client_disconnected = lambda record, reason: None  # type: ignore[method-assign]
    submit = core.submit
    core.submit = lambda client_request, response: submit(  # type: ignore[method-assign]
        replace(client_request, is_disconnected=lambda: False), response
    )


@pytest.mark.parametrize(
    "removed",
    [
        leases_never_expire,
        leases_never_start,
        write_counts_as_arrival,
        always_wanted,
        windows_forgotten,
        reads_break_unseen,
        leavers_untold,
    ],
)
def test_a_core_without_a_guard_is_found_out(removed: Callable[[Core], None]) -> None:
    class Unguarded(Orders):
        def guard(self, core: Core) -> None:
            removed(core)

    thorough = examples(FAST, max_examples=1_000, phases=[Phase.generate])
    with pytest.raises((AssertionError, RuntimeError)):
        run_state_machine_as_test(Unguarded, settings=thorough)


def test_a_release_while_an_attempt_waits_for_the_state_is_made_again_when_that_ends() -> None:
    """Found by a longer run of the machine: what the release spared was then held by nobody's account."""
    orders = Orders()
    orders.start(io.Idempotency.IDEMPOTENT, may_cancel=False, connect_timeout=250_000)
    orders.ask_and_read(1_500_000, 1)
    orders.a_connection_comes_up(0, reached=True)
    orders.client_leaves(0, unread=False)
    orders.an_end_is_told_again(0)
    orders.teardown()
