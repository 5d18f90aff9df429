"""Plays events against the core in every order: clients disconnect, attempts end in all ways, endpoints
drain, reservations are released, attempts are cancelled, the node shuts down; each event may also be reported
twice.

Hypothesis plays them on a virtual clock. A model of the engines knows which KV states are really reserved and
which attempts have really executed, and checks the five rules. A core without one of its guards must break a
rule."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from helpers import DECODE, MIXED, PREFILL, settings
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
from tuliptrack.fronts.port import ClientRequest, Failure, FinishReason, ResponseWriter
from tuliptrack.node import timers
from tuliptrack.node.attempt_state import Delivery, may_have_executed
from tuliptrack.node.core import Core, RequestHandle
from tuliptrack.node.port import AttemptResult
from tuliptrack.node.request_reader import CoreLimits
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord

US_PER_S = 1_000_000
RELEASE_SLACK_US = 300_000  # the platform allows so much beyond the settings' `release_within_us`
ENDPOINTS = (
    io.EndpointInfo(1, PREFILL),
    io.EndpointInfo(2, PREFILL),
    io.EndpointInfo(3, DECODE),
    io.EndpointInfo(4, DECODE),
    io.EndpointInfo(5, MIXED),
)
DEADLINES_US = (300_000, 1_500_000, 4_000_000)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only in `advance`."""

    def __init__(self) -> None:
        super().__init__()
        self.moment = 1_000.0

    def time(self) -> float:
        return self.moment

    def spin(self) -> None:
        """Run the callbacks that are ready or due."""
        for _ in range(4):
            self.call_soon(self.stop)
            self.run_forever()

    def advance(self, seconds: float, check: Callable[[], None]) -> None:
        """Let time pass, from one timer to the next; `check` is called after each."""
        until = self.moment + seconds
        while True:
            waiting = [handle.when() for handle in self._scheduled if not handle.cancelled()]  # type: ignore[attr-defined]
            next_time = min([until, *waiting])
            self.moment = max(self.moment, min(next_time, until))
            self.spin()
            check()
            if self.moment >= until:
                return


@dataclass(eq=False)
class Call:
    """An attempt in flight; implements `AttemptCall`."""

    engines: Engines
    record: RequestRecord
    attempt: Attempt
    is_begun: bool = False
    """Whether a part of the attempt was written."""
    sent_at_us: int = 0
    """The time at which the last byte of the attempt was written; 0 if it was not written."""
    has_arrived: bool = False
    """Whether the engine has the attempt."""
    is_streaming: bool = False
    is_over: bool = False

    def cancel(self, status: io.Status) -> None:
        if self.sent_at_us:
            self.end(AttemptResult(status, "given up"))
        else:
            is_late = status is io.Status.TIMEOUT
            self.end(
                AttemptResult(
                    io.Status.CONNECT_FAILED if is_late else io.Status.ABANDONED,
                    "never sent",
                    is_connection_only=is_late,
                )
            )

    def delivery(self) -> Delivery:
        """Return what a node can know: until the first token, only the engine knows `has_arrived`."""
        if not self.sent_at_us:
            return Delivery.NOT_SENT
        return Delivery.CONFIRMED if self.is_streaming else Delivery.POSSIBLE

    def confirm_arrival(self) -> None: ...

    def mark_doubtful(self) -> None: ...

    def sample_unread(self) -> bool:
        return False

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def end(self, ended: AttemptResult) -> None:
        """End the attempt, unless it has ended; the model of the engines is updated first."""
        if not self.is_over:
            self.is_over = True
            self.engines.ended(self, ended)
            self.engines.core.attempt_ended(self.record, self.attempt, ended)


@dataclass(eq=False)
class ObservedRequest:
    """A request as its client and the engines see it."""

    answer: Answer
    effect: io.Idempotency
    deadline_us: int
    left_at_us: int = 0
    is_leave_reported: bool = False
    """Whether the core was told that the client has disconnected."""
    reserved_since_us: int = 0
    """The time since which a KV state is reserved and no attempt waits for the state; 0 if none is reserved
    or an attempt waits."""
    is_reserved: bool = False
    executed_at_us: int = 0
    """The time at which the first attempt that may have executed was sent; 0 if there is none."""


@dataclass(eq=False)
class Answer:
    """Records the response that the client gets."""

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
        self.ends.append("rejected")

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        self.ends.append("failed")


class Engines:
    """An `EngineClient`, and the model of what its engines have really reserved and executed."""

    prefills_have_no_effect = False
    releases_are_global = True
    release_transit_us = 0

    def __init__(self, core: Core) -> None:
        self.core = core
        self.calls: list[Call] = []
        self.observed: dict[int, ObservedRequest] = {}
        self.draining_since_us: dict[int, int] = {}

    @property
    def now(self) -> int:
        return self.core.now()

    def has_address(self, endpoint_id: int) -> bool:
        return True

    def start(self, record: RequestRecord, attempt: Attempt, timeout: int) -> Call:
        assert not any(call.record is record and not call.is_over for call in self.calls), (
            "rule 2: two attempts at once"
        )
        assert timeout <= max(record.deadline_us - self.now, 1), "an attempt outlives its client's deadline"
        call = Call(self, record, attempt)
        self.calls.append(call)
        left = self.core.settings.connect_timeout_us
        if attempt.connect_by_us:
            left = min(left, max(attempt.connect_by_us - self.now, 0))
        asyncio.get_running_loop().call_later(left / US_PER_S, self.time_out_connection, call)
        return call

    def time_out_connection(self, call: Call) -> None:
        if not call.is_begun:
            call.end(AttemptResult(io.Status.CONNECT_FAILED, "connect", is_connection_only=True))

    def send(self, call: Call, has_arrived: bool) -> None:
        """Write the whole attempt now that its connection is up, unless the core no longer wants it."""
        self.begin(call)
        self.finish(call, has_arrived)

    def begin(self, call: Call) -> None:
        """Write a part of the attempt now that its connection is up, unless the core no longer wants it."""
        if call.is_over or call.is_begun:
            return
        if not self.core.may_still_begin(call.record, call.attempt.endpoint_id):
            call.end(AttemptResult(io.Status.CONNECT_FAILED, "not wanted", is_connection_only=True))
            return
        observed = self.observed[call.record.id]
        assert not observed.left_at_us, "sent for a client that has disconnected"
        assert not observed.answer.ends, "rule 1: sent after the end"
        assert call.attempt.endpoint_id not in self.draining_since_us, "rule 3: sent to a draining endpoint"
        self.check_repeat(observed)
        call.is_begun = True

    def check_repeat(self, observed: ObservedRequest) -> None:
        """Check that an attempt that is written now repeats no effect."""
        if observed.executed_at_us and observed.effect is not io.Idempotency.IDEMPOTENT:
            assert observed.effect is io.Idempotency.WITH_KEY, (
                "rule 2: sent again though it may have executed"
            )
            window = self.core.settings.classes[0].deduplication_window_us
            assert self.now - observed.executed_at_us <= window + 1_000, "rule 2: sent again after its window"

    def finish(self, call: Call, has_arrived: bool) -> None:
        """Write the last byte of the attempt, as its engine reads on: from then on it runs."""
        if call.is_over or call.sent_at_us or not call.is_begun:
            return
        observed = self.observed[call.record.id]
        assert not observed.is_leave_reported, "finished for a client that has disconnected"
        assert not observed.answer.ends, f"rule 2: runs after its request was {observed.answer.ends}"
        self.check_repeat(observed)
        call.sent_at_us, call.has_arrived = self.now, has_arrived
        if has_arrived:
            observed.reserved_since_us = 0

    def ended(self, call: Call, ended: AttemptResult) -> None:
        """Update the model at the end of an attempt."""
        observed = self.observed[call.record.id]
        if observed.is_reserved and call.has_arrived and not call.is_streaming:
            observed.reserved_since_us = self.now
        is_unexecuted = ended.status in (io.Status.CONNECT_FAILED, io.Status.ABANDONED, io.Status.AT_CAPACITY)
        may_have_run = ended.status is io.Status.TIMEOUT if call.attempt.is_prefill else not is_unexecuted
        if call.sent_at_us and may_have_run and not observed.executed_at_us:
            observed.executed_at_us = call.sent_at_us

    def leave_state(self, call: Call) -> None:
        """Record that a prefill has succeeded at its engine and left a KV state."""
        observed = self.observed[call.record.id]
        observed.is_reserved, observed.reserved_since_us = True, self.now

    def is_awaited(self, request: int) -> bool:
        """Return whether a decode attempt waits for the KV state of the request."""
        return any(
            not call.is_over and call.has_arrived and not call.attempt.is_prefill
            for call in self.calls
            if call.record.id == request
        )

    def free(self, request: int) -> None:
        observed = self.observed[request]
        if not self.is_awaited(request):
            observed.is_reserved, observed.reserved_since_us = False, 0

    def release(self, endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False) -> None:
        self.free(record.id)
        if has_unconfirmed_attempt:
            after = self.core.settings.release_within_us / 2 / US_PER_S
            asyncio.get_running_loop().call_later(after, self.free, record.id)

    def release_later(self, endpoint_id: int, record: RequestRecord) -> None: ...

    def cancel_release(self, record: RequestRecord) -> None: ...

    def reserve(self, endpoint_id: int, record: RequestRecord, attempt: Attempt) -> None: ...

    def check_health(self, endpoint_id: int, done: Callable[[io.HealthCheckResult], None]) -> None: ...

    def close_idle_connections(self, endpoint_id: int) -> None: ...


class Source:
    """An endpoint list source that sends nothing: the machine dispatches the lists itself."""

    def subscribe(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class CoreMachine(RuleBasedStateMachine):
    """The core between clients and engines that act in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.errors: list[Any] = []
        self.loop.set_exception_handler(
            lambda loop, context: self.errors.append(context.get("exception") or context)
        )
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(timers, "now_us", lambda: round(self.loop.moment * US_PER_S))

    def remove_guard(self, core: Core) -> None:
        """Remove one of the guards of the core; overridden by the machines that do so."""

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
        classes = tuple(
            replace(request_class, deduplication_window_us=200_000) for request_class in base.classes
        )
        self.core = Core(
            replace(base, classes=classes),
            7,
            "n",
            CoreLimits(answer_lead_us=20_000),
            ConcurrencyLimits(64, 64, 64),
        )
        self.engines = Engines(self.core)
        self.core.engines, self.core.source = self.engines, Source()
        self.handles: dict[int, RequestHandle] = {}
        self.remove_guard(self.core)
        self.run_on_loop(self.core.dispatch, io.EndpointListUpdate(io.UpdateKind.FULL, 1, ENDPOINTS))

    def run_on_loop(self, callback: Callable[..., Any], *arguments: Any) -> None:
        self.loop.call_soon(callback, *arguments)
        self.loop.spin()
        self.raise_errors()

    def raise_errors(self) -> None:
        if self.errors:
            raise (
                self.errors[0]
                if isinstance(self.errors[0], BaseException)
                else AssertionError(self.errors[0])
            )

    def pick(self, number: int, among: list[Any]) -> Any:
        return among[number % len(among)]

    def calls_in_flight(self, **wanted: bool) -> list[Call]:
        """Return the attempts in flight with these properties."""
        calls = [call for call in self.engines.calls if not call.is_over]
        if "is_begun" in wanted:
            calls = [call for call in calls if call.is_begun is wanted["is_begun"]]
        if "is_sent" in wanted:
            calls = [call for call in calls if bool(call.sent_at_us) is wanted["is_sent"]]
        if "has_arrived" in wanted:
            calls = [call for call in calls if call.has_arrived is wanted["has_arrived"]]
        if "is_prefill" in wanted:
            calls = [call for call in calls if call.attempt.is_prefill is wanted["is_prefill"]]
        return calls

    def awaited_requests(self) -> list[int]:
        """Return the requests whose clients still wait for an answer or read it."""
        return [
            n
            for n, observed in self.engines.observed.items()
            if not observed.left_at_us and not observed.answer.ends
        ]

    @rule(deadline_us=st.sampled_from(DEADLINES_US), prefix=st.integers(1, 3))
    def submit_request(self, deadline_us: int, prefix: int) -> None:
        def submit() -> None:
            answer, now = Answer(), self.core.now()
            number = self.core.table._next_id
            observed = ObservedRequest(answer, self.core.settings.classes[0].idempotency, now + deadline_us)
            self.engines.observed[number] = observed
            client_request = ClientRequest(
                "plain",
                "prompt",
                "a",
                f"s{number}",
                f"p{prefix}",
                1_000,
                800,
                200,
                first_token_deadline_us=now + deadline_us,
                payload=object(),
                is_disconnected=lambda: bool(observed.left_at_us),
            )
            self.handles[number] = self.core.submit(client_request, answer)

        self.run_on_loop(submit)

    @rule(deadline_us=st.sampled_from(DEADLINES_US[1:]), prefix=st.integers(1, 3))
    def submit_and_prefill(self, deadline_us: int, prefix: int) -> None:
        """Submit a request whose prompt is prefilled at once, so that many requests get as far as
        decoding."""
        self.submit_request(deadline_us, prefix)
        call = next(
            (
                call
                for call in self.calls_in_flight(is_sent=False, is_prefill=True)
                if call.record.id == max(self.engines.observed)
            ),
            None,
        )
        if call:
            self.run_on_loop(self.engines.send, call, True)
            self.end_prefill(call, False)

    @rule(prefix=st.integers(1, 3))
    def prefill_breaks_and_the_next_connection_is_late(self, prefix: int) -> None:
        """An attempt that may have executed is retried on a connection that is established only after the end
        of the deduplication window.
        """
        self.submit_request(DEADLINES_US[-1], prefix)
        for breaks in (True, False):
            call = next(
                (
                    call
                    for call in self.calls_in_flight(is_sent=False)
                    if call.record.id == max(self.engines.observed)
                ),
                None,
            )
            if call is None:
                return
            if not breaks:
                self.time_passes(0.21)
            self.run_on_loop(self.engines.send, call, True)
            if breaks:
                self.run_on_loop(call.end, AttemptResult(io.Status.RESET, "failed"))

    @rule(prefix=st.integers(1, 3))
    def repeat_hangs_in_mid_request(self, prefix: int) -> None:
        """A decode attempt that may have executed breaks. The engine of the next attempt stops reading in the
        middle of it, and reads on after the deduplication window.
        """
        self.submit_and_prefill(DEADLINES_US[-1], prefix)
        request = max(self.engines.observed)
        for is_first in (True, False):
            calls = [call for call in self.calls_in_flight(is_begun=False) if call.record.id == request]
            if not calls or calls[0].attempt.is_prefill:
                return
            self.run_on_loop(self.engines.begin, calls[0])
            if not is_first:
                self.time_passes(0.21)
            self.run_on_loop(self.engines.finish, calls[0], True)
            if is_first:
                self.run_on_loop(calls[0].end, AttemptResult(io.Status.RESET, "failed"))

    @precondition(lambda self: self.awaited_requests())
    @rule(number=st.integers(0, 9), unread=st.booleans())
    def client_leaves(self, number: int, unread: bool) -> None:
        """A client disconnects, which is reported at once or found only when the next attempt is about to
        begin."""
        request = self.pick(number, self.awaited_requests())
        self.engines.observed[request].left_at_us = self.core.now()
        if not unread:
            self.report_leave(request, "left")

    def report_leave(self, request: int, reason: str) -> None:
        self.engines.observed[request].is_leave_reported = True
        self.run_on_loop(self.handles[request].disconnected, reason)

    @precondition(lambda self: self.engines.observed)
    @rule(number=st.integers(0, 9))
    def ends_are_reported_again(self, number: int) -> None:
        """Releases, cancellations and ends of attempts are reported again, in any order."""
        request = self.pick(number, list(self.engines.observed))
        observed = self.engines.observed[request]
        if observed.left_at_us:
            self.report_leave(request, "left once more")
        for call in self.engines.calls:
            if call.is_over and call.record.id == request:
                self.run_on_loop(call.cancel, io.Status.CANCELLED)
                self.run_on_loop(
                    self.core.attempt_ended,
                    call.record,
                    call.attempt,
                    AttemptResult(io.Status.RESET, "once more"),
                )
        if observed.answer.ends or observed.left_at_us:
            self.run_on_loop(self.core.release, io.Release(request))

    @precondition(lambda self: self.calls_in_flight(is_sent=False))
    @rule(number=st.integers(0, 9), has_arrived=st.sampled_from([True, True, False]))
    def connection_comes_up(self, number: int, has_arrived: bool) -> None:
        self.run_on_loop(
            self.engines.send, self.pick(number, self.calls_in_flight(is_sent=False)), has_arrived
        )

    @precondition(lambda self: self.calls_in_flight(is_begun=False))
    @rule(number=st.integers(0, 9))
    def engine_hangs_in_mid_request(self, number: int) -> None:
        """A connection comes up, and its engine stops reading before it has the whole request."""
        self.run_on_loop(self.engines.begin, self.pick(number, self.calls_in_flight(is_begun=False)))

    @precondition(lambda self: self.calls_in_flight(is_begun=True, is_sent=False))
    @rule(number=st.integers(0, 9), has_arrived=st.sampled_from([True, True, False]))
    def engine_reads_on(self, number: int, has_arrived: bool) -> None:
        call = self.pick(number, self.calls_in_flight(is_begun=True, is_sent=False))
        self.run_on_loop(self.engines.finish, call, has_arrived)

    @precondition(lambda self: self.calls_in_flight(is_sent=False))
    @rule(number=st.integers(0, 9))
    def connection_comes_up_late(self, number: int) -> None:
        call = self.pick(number, self.calls_in_flight(is_sent=False))
        self.time_passes(0.21)
        self.run_on_loop(self.engines.send, call, True)

    @precondition(lambda self: self.calls_in_flight(is_sent=False))
    @rule(number=st.integers(0, 9))
    def connection_is_refused(self, number: int) -> None:
        self.run_on_loop(
            self.pick(number, self.calls_in_flight(is_sent=False)).end,
            AttemptResult(io.Status.CONNECT_FAILED, "refused"),
        )

    @precondition(lambda self: self.calls_in_flight(has_arrived=True, is_prefill=True))
    @rule(number=st.integers(0, 9), broke=st.booleans())
    def prefill_ends(self, number: int, broke: bool) -> None:
        """A prefill succeeds, and its engine either reports the success or loses the connection at that
        moment."""
        self.end_prefill(self.pick(number, self.calls_in_flight(has_arrived=True, is_prefill=True)), broke)

    def end_prefill(self, call: Call, broke: bool) -> None:
        def end() -> None:
            self.engines.leave_state(call)
            if broke:
                call.end(AttemptResult(io.Status.RESET, "broke as it ended"))
            else:
                self.core.prefill_finished(
                    call.record, call.attempt, KvStateLocation(call.attempt.endpoint_id, "", ""), 0
                )
                call.end(AttemptResult(io.Status.OK, is_confirmed=True))

        self.run_on_loop(end)

    @precondition(lambda self: self.calls_in_flight(is_sent=True))
    @rule(
        number=st.integers(0, 9),
        status=st.sampled_from([io.Status.RESET, io.Status.ERROR, io.Status.AT_CAPACITY]),
        is_state_lost=st.booleans(),
    )
    def attempt_fails(self, number: int, status: io.Status, is_state_lost: bool) -> None:
        call = self.pick(number, self.calls_in_flight(is_sent=True))
        if call.is_streaming and status is io.Status.AT_CAPACITY:
            return
        if status is not io.Status.RESET and not call.has_arrived:
            return
        lost = is_state_lost and status is io.Status.AT_CAPACITY and not call.attempt.is_prefill
        if lost:
            self.engines.observed[call.record.id].is_reserved = False  # The model agrees with the report.
        self.run_on_loop(
            call.end, AttemptResult(status, "failed", lost, is_confirmed=status is not io.Status.RESET)
        )

    @precondition(lambda self: self.calls_in_flight(has_arrived=True, is_prefill=False))
    @rule(number=st.integers(0, 9), last=st.booleans())
    def stream_continues(self, number: int, last: bool) -> None:
        call = self.pick(number, self.calls_in_flight(has_arrived=True, is_prefill=False))
        observed = self.engines.observed[call.record.id]

        def go() -> None:
            call.is_streaming = True
            observed.is_reserved, observed.reserved_since_us = False, 0
            if self.core.output_arrived(call.record, call.attempt):
                observed.answer.events()
            if last and not call.is_over:
                call.record.finish_reason = FinishReason.STOP
                call.end(AttemptResult(io.Status.OK, is_confirmed=True))

        self.run_on_loop(go)

    @rule(seconds=st.sampled_from([0.01, 0.15, 0.3, 0.3, 0.7, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.loop.advance(seconds, self.check_no_state_is_reserved_too_long)
        self.raise_errors()

    @rule(endpoint_id=st.integers(1, 15), ready=st.booleans())
    def endpoint_list_changes(self, endpoint_id: int, ready: bool) -> None:
        if endpoint_id > len(ENDPOINTS):  # Changes are rare, so that requests can progress.
            return
        info = ENDPOINTS[endpoint_id - 1]
        if ready:
            self.engines.draining_since_us.pop(endpoint_id, None)
        else:
            self.engines.draining_since_us.setdefault(endpoint_id, self.core.now())
        state = io.EndpointState.READY if ready else io.EndpointState.DRAINING
        self.run_on_loop(
            self.core.dispatch, io.EndpointListUpdate(io.UpdateKind.DELTA, 2, (replace(info, state=state),))
        )

    @rule(chance=st.integers(0, 9))
    def node_shuts_down(self, chance: int) -> None:
        """For two of the ten values of `chance`, streams are handed back to their clients or the grace period
        ends."""
        if chance < 2:
            self.run_on_loop((self.core.migrate_streams, self.core.conclude_open_requests)[chance])

    @invariant()
    def each_request_has_one_end(self) -> None:
        for number, observed in getattr(self, "engines", Engines).__dict__.get("observed", {}).items():
            assert len(observed.answer.ends) <= 1, f"rule 1: {number} was answered {observed.answer.ends}"
            if "rejected" in observed.answer.ends and observed.executed_at_us:
                scope = self.core.settings.classes[0].idempotency_scope
                harmless = observed.effect is io.Idempotency.IDEMPOTENT or (
                    observed.effect is io.Idempotency.WITH_KEY and scope is io.IdempotencyScope.ALL
                )
                assert harmless, f"rule 2: {number} was rejected though it may have executed"

    def check_no_state_is_reserved_too_long(self) -> None:
        allowed_us = self.core.settings.release_within_us + RELEASE_SLACK_US
        for number, observed in self.engines.observed.items():
            reserved_us = (
                observed.is_reserved
                and observed.reserved_since_us
                and self.core.now() - observed.reserved_since_us
            )
            assert not reserved_us or reserved_us <= allowed_us, (
                f"rule 5: {number} has been reserved for {reserved_us} us"
            )

    def teardown(self) -> None:
        try:
            if hasattr(self, "core") and not self.errors:
                self.loop.advance(10.0, self.check_no_state_is_reserved_too_long)
                self.raise_errors()
                for number, observed in self.engines.observed.items():
                    assert observed.answer.ends or observed.left_at_us or observed.answer.begun, (
                        f"rule 1: {number} has no answer"
                    )
                self.run_on_loop(self.core.close)
                self.run_on_loop(self.core.close)
                self.loop.advance(1.0, self.check_no_state_is_reserved_too_long)
                self.raise_errors()
                assert not self.core.table.open and not self.core.router.in_flight, "requests left"
                assert len(self.core.timers) == 0, "timers left"
                assert not any(
                    endpoint.waiting or endpoint.streams for endpoint in self.core.router.endpoints.values()
                ), "waiting requests or streams left at endpoints"
                assert not any(observed.is_reserved for observed in self.engines.observed.values()), (
                    "states left"
                )
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


def test_every_order_of_ends_keeps_the_rules() -> None:
    run_state_machine_as_test(CoreMachine, settings=FAST)


def without_lease_expiry(core: Core) -> None:
    core.leases.expire = lambda record: None  # type: ignore[method-assign]


def without_lease_start(core: Core) -> None:
    core.leases.restart = lambda record: None  # type: ignore[method-assign]


def with_write_as_arrival(core: Core) -> None:
    """Replace a guard: written bytes stop the lease, though the engine may never read them."""
    expire = core.leases.expire

    def unless_written(record: RequestRecord) -> None:
        if not (record.attempt and record.attempt.call and may_have_executed(record.attempt.call.delivery())):
            expire(record)

    core.leases.expire = unless_written  # type: ignore[method-assign]


def without_check_on_connection(core: Core) -> None:
    core.may_still_begin = lambda record, endpoint_id: True  # type: ignore[method-assign]


def without_deduplication_window(core: Core) -> None:
    class_of = core.class_of
    core.class_of = lambda record: replace(class_of(record), idempotency=io.Idempotency.IDEMPOTENT)  # type: ignore[method-assign]


def without_end_of_window(core: Core) -> None:
    core.attempt_starter._end_window = lambda record, attempt: None  # type: ignore[method-assign]


def without_cancellation_of_unsent_attempts(core: Core) -> None:
    def notify_router_only(record: RequestRecord, must_cancel: bool = False) -> None:
        core.dispatch(io.ClientDisconnected(record.id))
        core.remove_if_finished(record)

    core.answers.end_request = notify_router_only  # type: ignore[method-assign]


def without_release_of_broken_prefills(core: Core) -> None:
    release = core.engines.release

    def release_if_sure(
        endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False
    ) -> None:
        if not has_unconfirmed_attempt:
            release(endpoint_id, record)

    core.engines.release = release_if_sure  # type: ignore[method-assign]


def without_disconnections(core: Core) -> None:
    core.client_disconnected = lambda record, reason: None  # type: ignore[method-assign]
    submit = core.submit

    def submit_as_connected(client_request: ClientRequest, response: ResponseWriter) -> RequestHandle:
        return submit(replace(client_request, is_disconnected=lambda: False), response)

    core.submit = submit_as_connected  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "removal",
    [
        without_lease_expiry,
        without_lease_start,
        with_write_as_arrival,
        without_check_on_connection,
        without_deduplication_window,
        without_end_of_window,
        without_cancellation_of_unsent_attempts,
        without_release_of_broken_prefills,
        without_disconnections,
    ],
)
def test_core_without_a_guard_breaks_a_rule(removal: Callable[[Core], None]) -> None:
    class Unguarded(CoreMachine):
        def remove_guard(self, core: Core) -> None:
            removal(core)

    thorough = examples(FAST, max_examples=1_000, phases=[Phase.generate])
    with pytest.raises((AssertionError, RuntimeError)):
        run_state_machine_as_test(Unguarded, settings=thorough)


@contextlib.contextmanager
def started_machine(effect: io.Idempotency) -> Iterator[CoreMachine]:
    """Return a machine whose settings forbid cancelling, and check it at the end."""
    machine = CoreMachine()
    machine.start(effect, may_cancel=False, connect_timeout=700_000)
    try:
        yield machine
    finally:
        machine.teardown()


# Guards against a request that is rejected as the node stops, and runs once its engine reads on.
def test_a_half_written_attempt_is_cancelled_as_its_request_is_rejected_at_shutdown() -> None:
    with started_machine(io.Idempotency.NOT_IDEMPOTENT) as machine:
        machine.submit_request(4_000_000, 1)
        machine.engine_hangs_in_mid_request(0)
        machine.node_shuts_down(1)
        assert machine.engines.observed[1].answer.ends == ["rejected"]
        for call in machine.engines.calls:
            machine.run_on_loop(machine.engines.finish, call, True)
        assert not any(call.sent_at_us for call in machine.engines.calls)


# Guards against a stream that goes on, and a request that stays in the tables, after its router has failed.
def test_a_request_whose_router_fails_is_answered_once_and_its_attempt_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(now: int, events: list[io.Event]) -> list[io.Action]:
        monkeypatch.undo()
        raise RuntimeError("a fault of the router")

    with started_machine(io.Idempotency.NOT_IDEMPOTENT) as machine:
        machine.submit_and_prefill(4_000_000, 1)
        machine.connection_comes_up(0, has_arrived=True)
        [call] = machine.calls_in_flight()
        monkeypatch.setattr(machine.core.router, "handle", fail)
        machine.stream_continues(0, last=False)
        assert machine.engines.observed[1].answer.ends == ["failed"]
        assert call.is_over and not machine.core.table.open and not machine.core.router.in_flight


# Guards against a repeat whose last byte is written after its deduplication window, when it counts as a new request.
def test_a_half_written_repeat_is_cancelled_at_the_end_of_its_window() -> None:
    with started_machine(io.Idempotency.WITH_KEY) as machine:
        machine.repeat_hangs_in_mid_request(1)
        assert machine.engines.observed[1].executed_at_us
        hung = [call for call in machine.engines.calls if call.is_begun and not call.sent_at_us]
        assert hung and all(call.is_over for call in hung)


def test_release_is_repeated_when_the_attempt_that_kept_the_state_reserved_ends() -> None:
    """A client disconnects while a decode attempt waits for the KV state of its request. The release that
    follows does not free the state, because an attempt waits for it. Unless the core sends another release
    when that attempt ends, nothing releases the state, and the memory of the engine stays reserved
    forever."""
    machine = CoreMachine()
    machine.start(io.Idempotency.IDEMPOTENT, may_cancel=False, connect_timeout=250_000)
    machine.submit_and_prefill(1_500_000, 1)
    machine.connection_comes_up(0, has_arrived=True)
    machine.client_leaves(0, unread=False)
    machine.ends_are_reported_again(0)
    machine.teardown()
