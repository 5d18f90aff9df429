"""Random valid event sequences: the rules hold for each of them, and equal events give equal actions."""

from __future__ import annotations

import hashlib
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import DECODE, MIXED, MS, PREFILL, S, fleet, server, settings

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    IdempotencyScope,
    Reject,
    Release,
    Request,
    SendAttempt,
    SetTimer,
    Status,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from tuliptrack.routing.router import Router

ANSWER_SLACK_US = 16 * MS
"""Maximum time from the client's deadline to the final answer."""
NOT_EXECUTED = {Status.AT_CAPACITY, Status.CONNECT_FAILED, Status.ABANDONED, Status.PREFILLED}
"""Statuses that prove that the attempt did not take effect."""


class RequestState:
    """What the simulated environment knows of one request."""

    def __init__(self, deadline_at_us: int) -> None:
        self.deadline_at_us = deadline_at_us
        self.attempt_in_flight: tuple[int, int] | None = None  # attempt number, endpoint id
        self.attempts = 0
        self.holds_kv_state = False
        self.is_started = False
        self.is_answered = False
        self.is_disconnected = False
        self.may_have_executed: tuple[int, int] | None = None  # time of sending, endpoint id
        self.sent_at_us = 0
        self.is_cancelled = False


class RandomWorld:
    """Generates random events that the interface allows and checks every action against the rules."""

    def __init__(self, seed: int, effect: Idempotency, scope: IdempotencyScope) -> None:
        self.random = random.Random(seed)
        self.settings = settings(effect=effect, scope=scope)
        self.effect, self.scope = effect, scope
        self.router = Router(self.settings, seed)
        self.now = 50 * S
        self.requests: dict[int, RequestState] = {}
        self.timers: list[tuple[int, int]] = []
        self.endpoints = {
            s.id: s
            for s in [
                *fleet(3, 3, 2),
                server(30, MIXED, cell=1, zone=1),
                server(31, DECODE, cell=1, zone=1),
                server(32, PREFILL, cell=1),
            ]
        }
        self.transcript: list[str] = []
        self.step([EndpointListUpdate(UpdateKind.CACHED, 1, tuple(self.endpoints.values()))])

    def kind(self, endpoint_id: int) -> int:
        return self.endpoints[endpoint_id].kind

    def step(self, events: list[Event]) -> None:
        actions = self.router.handle(self.now, events)
        self.transcript.append(repr(actions))
        for action in actions:
            self.check(action)
        for request_id, state in self.requests.items():
            assert state.attempt_in_flight or state.is_started or not state.holds_kv_state, (
                f"rule 5: request {request_id} still holds a KV state"
            )
            assert state.is_answered or state.is_disconnected or state.attempt_in_flight, (
                f"rule 1: request {request_id} is open without an attempt"
            )

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_us, action.token))
        elif isinstance(action, SendAttempt):
            state = self.requests[action.request_id]
            assert not state.is_answered and not state.is_disconnected, (
                "rule 1: attempt after the end of the request"
            )
            assert state.attempt_in_flight is None, "two attempts in flight"
            assert state.attempts < self.settings.max_attempts
            assert self.endpoints[action.endpoint_id].state is EndpointState.READY, (
                "rule 3: sent to an endpoint that is not ready"
            )
            if state.may_have_executed and self.effect is not Idempotency.IDEMPOTENT:
                assert self.effect is not Idempotency.NOT_IDEMPOTENT, (
                    "rule 2: second attempt of a request that is not idempotent"
                )
                sent_at_us, endpoint_id = state.may_have_executed
                assert self.now - sent_at_us <= self.settings.classes[0].deduplication_window_us, (
                    "rule 2: attempt after the deduplication window"
                )
                is_same_cell = self.endpoints[action.endpoint_id].cell == self.endpoints[endpoint_id].cell
                assert is_same_cell or self.scope is not IdempotencyScope.CELL, (
                    "rule 2: attempt in another cell"
                )
            state.attempt_in_flight, state.sent_at_us = (state.attempts, action.endpoint_id), self.now
            state.attempts += 1
            state.is_cancelled = False
        elif isinstance(action, Reject | Fail):
            state = self.requests[action.request_id]
            assert not state.is_answered and not state.is_disconnected, "rule 1: two answers"
            assert self.now <= state.deadline_at_us + ANSWER_SLACK_US, "rule 1: answered late"
            if isinstance(action, Reject) and state.may_have_executed:
                assert self.effect is Idempotency.IDEMPOTENT or (
                    self.effect is Idempotency.WITH_KEY and self.scope is IdempotencyScope.ALL
                ), "rule 2: rejected although it may have executed"
                sent_at_us, _ = state.may_have_executed
                cls = self.settings.classes[0]
                retried_by_us = self.now + self.settings.max_retry_after_us + cls.deadline_us
                assert self.effect is Idempotency.IDEMPOTENT or (
                    retried_by_us <= sent_at_us + cls.deduplication_window_us
                ), "rule 2: rejected, and its retry may come after the deduplication window"
            state.is_answered = True
        elif isinstance(action, Release):
            self.requests[action.request_id].holds_kv_state = False
        elif isinstance(action, CancelAttempt):
            state = self.requests[action.request_id]
            assert (
                state.attempt_in_flight
                and state.attempt_in_flight[0] == action.attempt
                and not state.is_started
            )
            state.is_cancelled = True

    def outcome(self, request_id: int, state: RequestState) -> list[Event]:
        """Return the next event of the attempt in flight: the start of its stream, or the end of the
        attempt.
        """
        assert state.attempt_in_flight
        attempt, endpoint_id = state.attempt_in_flight
        is_prefill = self.kind(endpoint_id) == PREFILL
        may_start = not (
            state.is_started or state.is_cancelled or is_prefill or self.now >= state.deadline_at_us
        )
        if may_start and self.random.random() < 0.5:
            state.is_started, state.holds_kv_state = True, False
            return [StreamStarted(request_id, attempt, endpoint_id, self.now - state.sent_at_us)]
        if state.is_started:
            status, is_final = self.random.choice([Status.OK, Status.OK, Status.RESET]), True
        elif self.now >= state.deadline_at_us:
            status, is_final = Status.TIMEOUT, state.is_disconnected
        elif state.is_cancelled:
            late_status = Status.PREFILLED if is_prefill else Status.ERROR
            status, is_final = self.random.choice([Status.CANCELLED, late_status]), state.is_disconnected
        else:
            is_final = state.is_disconnected
            failures = [Status.AT_CAPACITY, Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT]
            status = self.random.choice([Status.PREFILLED] * 6 + failures if is_prefill else failures)
        is_state_lost = status is Status.AT_CAPACITY and not is_prefill and self.random.random() < 0.3
        if is_prefill:
            state.holds_kv_state = status is Status.PREFILLED
        elif is_state_lost:
            state.holds_kv_state = False
        is_abandoned = status is Status.TIMEOUT  # Even an abandoned prefill may still execute.
        if (
            is_abandoned if is_prefill else not is_state_lost and status not in NOT_EXECUTED
        ) and state.may_have_executed is None:
            state.may_have_executed = (state.sent_at_us, endpoint_id)
        state.attempt_in_flight = None
        if is_final:
            state.is_answered = True
        load = (self.random.uniform(0, 20), self.random.random()) if self.random.random() < 0.7 else ()
        return [
            AttemptEnded(
                request_id,
                attempt,
                endpoint_id,
                status,
                self.now - state.sent_at_us,
                is_final,
                0,
                is_state_lost,
                load,
            )
        ]

    def events(self) -> list[Event]:
        """Return random events for the current time, first the ends of attempts whose deadline is over."""
        events: list[Event] = []
        choice = self.random.random()
        open_requests = [(n, state) for n, state in self.requests.items() if state.attempt_in_flight]
        overdue = [
            (n, state)
            for n, state in open_requests
            if self.now >= state.deadline_at_us and not state.is_started
        ]
        for request_id, state in overdue:
            events += self.outcome(request_id, state)
        if not overdue:
            if choice < 0.35:
                request_id = len(self.requests) + 1
                time_left_us = self.random.choice([5 * S, 1 * S, 200 * MS])
                self.requests[request_id] = RequestState(self.now + time_left_us)
                events.append(
                    Request(
                        request_id,
                        self.random.randrange(2),
                        time_left_us,
                        prompt_tokens=self.random.choice([200.0, 4000.0]),
                        prefix_tokens=100.0,
                        max_tokens=300.0,
                        session=request_id // 2 + 1,
                        prefix=self.random.randrange(5),
                        tenant=self.random.randrange(2),
                    )
                )
            elif choice < 0.85 and open_requests:
                events += self.outcome(*self.random.choice(open_requests))
            elif choice < 0.9 and open_requests:
                request_id, state = self.random.choice(open_requests)
                if not state.is_started and not state.is_disconnected:
                    state.is_disconnected = True
                    events.append(ClientDisconnected(request_id))
            elif choice < 0.93:
                old = self.random.choice(list(self.endpoints.values()))
                endpoint_state = self.random.choice(
                    [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]
                )
                new = EndpointInfo(
                    old.id,
                    old.kind,
                    endpoint_state,
                    old.weight,
                    old.cell,
                    old.zone,
                    self.random.choice([old.started_at_us, self.now - 1]),
                )
                self.endpoints[old.id] = new
                events.append(EndpointListUpdate(UpdateKind.DELTA, 2, (new,)))
        due_timers = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        return events + [TimerFired(token) for _, token in due_timers]

    def play(self, steps: int) -> str:
        """Run the given number of random steps, then let all requests end. Returns all actions as text."""
        for _ in range(steps):
            earliest = min(
                (
                    state.deadline_at_us
                    for state in self.requests.values()
                    if state.attempt_in_flight and not state.is_started
                ),
                default=self.now + S,
            )
            self.now = max(self.now + 1, min(self.now + self.random.randrange(40 * MS), earliest))
            self.step(self.events())
        for _ in range(20_000):
            open_requests = [(n, state) for n, state in self.requests.items() if state.attempt_in_flight]
            if not open_requests:
                break
            self.now += 1 * MS
            request_id, state = min(open_requests, key=lambda item: item[1].deadline_at_us)
            self.now = max(self.now, min(state.deadline_at_us, self.now + 10 * MS))
            overdue = [(n, x) for n, x in open_requests if self.now >= x.deadline_at_us and not x.is_started]
            self.step([e for n, x in overdue for e in self.outcome(n, x)] or self.outcome(request_id, state))
        assert all(state.is_answered or state.is_disconnected for state in self.requests.values()), (
            "rule 1: never answered"
        )
        assert not self.router.in_flight, "requests must be removed when they end"
        for endpoint in self.router.endpoints.values():
            assert not endpoint.waiting and endpoint.waiting_tokens == 0 and not endpoint.streams
        return "\n".join(self.transcript)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(
    ("effect", "scope"),
    [
        (Idempotency.IDEMPOTENT, IdempotencyScope.ALL),
        (Idempotency.WITH_KEY, IdempotencyScope.CELL),
        (Idempotency.WITH_KEY, IdempotencyScope.ALL),
        (Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL),
    ],
)
def test_random_valid_sequences_keep_the_rules(
    seed: int, effect: Idempotency, scope: IdempotencyScope
) -> None:
    generated = RandomWorld(seed, effect, scope)
    generated.play(600)
    assert len(generated.requests) > 100 and any(state.is_started for state in generated.requests.values())


def digest(seed: int) -> str:
    return hashlib.sha256(
        RandomWorld(seed, Idempotency.IDEMPOTENT, IdempotencyScope.ALL).play(400).encode()
    ).hexdigest()


def test_equal_events_give_equal_actions_under_any_hash_seed() -> None:
    here = Path(__file__).parent
    digests = {digest(3)}
    for hash_seed in ("0", "1", "4242"):
        code = "import test_sequences as t; print(t.digest(3))"
        path = os.pathsep.join([str(here), str(here.parent), str(here.parent.parent)])
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": path},
        )
        digests.add(done.stdout.strip())
    assert len(digests) == 1


def test_routers_in_one_process_do_not_share_anything() -> None:
    expected = RandomWorld(5, Idempotency.IDEMPOTENT, IdempotencyScope.ALL).play(300)
    first, other = (
        RandomWorld(5, Idempotency.IDEMPOTENT, IdempotencyScope.ALL),
        RandomWorld(6, Idempotency.IDEMPOTENT, IdempotencyScope.ALL),
    )
    other.play(300)
    assert first.play(300) == expected
