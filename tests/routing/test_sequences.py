"""Seeded random legal event sequences: whatever comes, the rules hold; equal events give equal actions."""

from __future__ import annotations

import hashlib
import os
import random
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import BOTH, MS, READ, WRITE, S, fleet, server, settings

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
PROVEN = {Status.AT_CAPACITY, Status.CONNECT_FAILED, Status.ABANDONED, Status.PREFILLED}


class Life:
    """What a lawful world knows of one request."""

    def __init__(self, due: int) -> None:
        self.due = due
        self.out: tuple[int, int] | None = None  # attempt, server
        self.attempts = 0
        self.state = False
        self.started = False
        self.answered = False
        self.gone = False
        self.may_have_run: tuple[int, int] | None = None  # when sent, where
        self.sent_at = 0
        self.cancelled = False


class LawfulWorld:
    """Plays random events that the interface allows and checks every action against the rules."""

    def __init__(self, seed: int, effect: Idempotency, scope: IdempotencyScope) -> None:
        self.random = random.Random(seed)
        self.settings = settings(effect=effect, scope=scope)
        self.effect, self.scope = effect, scope
        self.router = Router(self.settings, seed)
        self.now = 50 * S
        self.lives: dict[int, Life] = {}
        self.timers: list[tuple[int, int]] = []
        self.servers = {
            s.id: s
            for s in [
                *fleet(3, 3, 2),
                server(30, BOTH, cell=1, zone=1),
                server(31, WRITE, cell=1, zone=1),
                server(32, READ, cell=1),
            ]
        }
        self.text: list[str] = []
        self.step([EndpointListUpdate(UpdateKind.CACHED, 1, tuple(self.servers.values()))])

    def role(self, number: int) -> int:
        return self.servers[number].kind

    def step(self, events: list[Event]) -> None:
        actions = self.router.handle(self.now, events)
        self.text.append(repr(actions))
        for action in actions:
            self.check(action)
        for number, life in self.lives.items():
            assert life.out or life.started or not life.state, f"rule 5: {number} is left holding a state"
            assert life.answered or life.gone or life.out, f"rule 1: {number} is held with no attempt out"

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_us, action.token))
        elif isinstance(action, SendAttempt):
            life = self.lives[action.request_id]
            assert not life.answered and not life.gone, "rule 1: sent after the end"
            assert life.out is None, "two attempts out"
            assert life.attempts < self.settings.max_attempts
            assert self.servers[action.endpoint_id].state is EndpointState.READY, "rule 3: sent to a drain"
            if life.may_have_run and self.effect is not Idempotency.IDEMPOTENT:
                assert self.effect is not Idempotency.NOT_IDEMPOTENT, "rule 2: unsafe twice"
                sent, at = life.may_have_run
                assert self.now - sent <= self.settings.classes[0].deduplication_window_us, (
                    "rule 2: after the window"
                )
                same = self.servers[action.endpoint_id].cell == self.servers[at].cell
                assert same or self.scope is not IdempotencyScope.CELL, "rule 2: other cell"
            life.out, life.sent_at = (life.attempts, action.endpoint_id), self.now
            life.attempts += 1
            life.cancelled = False
        elif isinstance(action, Reject | Fail):
            life = self.lives[action.request_id]
            assert not life.answered and not life.gone, "rule 1: two answers"
            assert self.now <= life.due + ANSWER_SLACK_US, "rule 1: answered late"
            if isinstance(action, Reject) and life.may_have_run:
                assert self.effect is Idempotency.IDEMPOTENT or (
                    self.effect is Idempotency.WITH_KEY and self.scope is IdempotencyScope.ALL
                ), "rule 2: refused unproved"
                sent, _ = life.may_have_run
                cls = self.settings.classes[0]
                repeated_by = self.now + self.settings.max_retry_after_us + cls.deadline_us
                assert self.effect is Idempotency.IDEMPOTENT or (
                    repeated_by <= sent + cls.deduplication_window_us
                ), "rule 2: refused, and its repeat may come after the window"
            life.answered = True
        elif isinstance(action, Release):
            self.lives[action.request_id].state = False
        elif isinstance(action, CancelAttempt):
            life = self.lives[action.request_id]
            assert life.out and life.out[0] == action.attempt and not life.started
            life.cancelled = True

    def outcome(self, number: int, life: Life) -> list[Event]:
        assert life.out
        attempt, at = life.out
        reader = self.role(at) == READ
        may_start = not (life.started or life.cancelled or reader or self.now >= life.due)
        if may_start and self.random.random() < 0.5:
            life.started, life.state = True, False
            return [StreamStarted(number, attempt, at, self.now - life.sent_at)]
        if life.started:
            status, over = self.random.choice([Status.OK, Status.OK, Status.RESET]), True
        elif self.now >= life.due:
            status, over = Status.TIMEOUT, life.gone
        elif life.cancelled:
            late = Status.PREFILLED if reader else Status.ERROR
            status, over = self.random.choice([Status.CANCELLED, late]), life.gone
        else:
            over = life.gone
            failures = [Status.AT_CAPACITY, Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT]
            status = self.random.choice([Status.PREFILLED] * 6 + failures if reader else failures)
        lost = status is Status.AT_CAPACITY and not reader and self.random.random() < 0.3
        if reader:
            life.state = status is Status.PREFILLED
        elif lost:
            life.state = False
        given_up = status is Status.TIMEOUT  # Even a read that was given up may yet run.
        if (given_up if reader else not lost and status not in PROVEN) and life.may_have_run is None:
            life.may_have_run = (life.sent_at, at)
        life.out = None
        if over:
            life.answered = True
        load = (self.random.uniform(0, 20), self.random.random()) if self.random.random() < 0.7 else ()
        return [AttemptEnded(number, attempt, at, status, self.now - life.sent_at, over, 0, lost, load)]

    def events(self) -> list[Event]:
        events: list[Event] = []
        draw = self.random.random()
        open_lives = [(n, life) for n, life in self.lives.items() if life.out]
        overdue = [(n, life) for n, life in open_lives if self.now >= life.due and not life.started]
        for number, life in overdue:
            events += self.outcome(number, life)
        if not overdue:
            if draw < 0.35:
                number = len(self.lives) + 1
                left = self.random.choice([5 * S, 1 * S, 200 * MS])
                self.lives[number] = Life(self.now + left)
                events.append(
                    Request(
                        number,
                        self.random.randrange(2),
                        left,
                        prompt_tokens=self.random.choice([200.0, 4000.0]),
                        prefix_tokens=100.0,
                        max_tokens=300.0,
                        session=number // 2 + 1,
                        prefix=self.random.randrange(5),
                        tenant=self.random.randrange(2),
                    )
                )
            elif draw < 0.85 and open_lives:
                events += self.outcome(*self.random.choice(open_lives))
            elif draw < 0.9 and open_lives:
                number, life = self.random.choice(open_lives)
                if not life.started and not life.gone:
                    life.gone = True
                    events.append(ClientDisconnected(number))
            elif draw < 0.93:
                old = self.random.choice(list(self.servers.values()))
                state = self.random.choice([EndpointState.READY, EndpointState.READY, EndpointState.DRAINING])
                new = EndpointInfo(
                    old.id,
                    old.kind,
                    state,
                    old.weight,
                    old.cell,
                    old.zone,
                    self.random.choice([old.started_at_us, self.now - 1]),
                )
                self.servers[old.id] = new
                events.append(EndpointListUpdate(UpdateKind.DELTA, 2, (new,)))
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        return events + [TimerFired(token) for _, token in due]

    def play(self, steps: int) -> str:
        for _ in range(steps):
            earliest = min(
                (life.due for life in self.lives.values() if life.out and not life.started),
                default=self.now + S,
            )
            self.now = max(self.now + 1, min(self.now + self.random.randrange(40 * MS), earliest))
            self.step(self.events())
        for _ in range(20_000):
            waiting = [(n, life) for n, life in self.lives.items() if life.out]
            if not waiting:
                break
            self.now += 1 * MS
            number, life = min(waiting, key=lambda item: item[1].due)
            self.now = max(self.now, min(life.due, self.now + 10 * MS))
            overdue = [(n, x) for n, x in waiting if self.now >= x.due and not x.started]
            self.step([e for n, x in overdue for e in self.outcome(n, x)] or self.outcome(number, life))
        assert all(life.answered or life.gone for life in self.lives.values()), "rule 1: never answered"
        assert not self.router.in_flight, "entries must end with their requests"
        for seat in self.router.endpoints.values():
            assert not seat.waiting and seat.waiting_tokens == 0 and not seat.streams
        return "\n".join(self.text)


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
def test_random_legal_sequences_keep_the_rules(
    seed: int, effect: Idempotency, scope: IdempotencyScope
) -> None:
    played = LawfulWorld(seed, effect, scope)
    played.play(600)
    assert len(played.lives) > 100 and any(life.started for life in played.lives.values())


def digest(seed: int) -> str:
    return hashlib.sha256(
        LawfulWorld(seed, Idempotency.IDEMPOTENT, IdempotencyScope.ALL).play(400).encode()
    ).hexdigest()


def test_equal_events_give_equal_actions_under_any_hash_seed() -> None:
    here = Path(__file__).parent
    found = {digest(3)}
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
        found.add(done.stdout.strip())
    assert len(found) == 1


def test_routers_in_one_process_do_not_share_anything() -> None:
    alone = LawfulWorld(5, Idempotency.IDEMPOTENT, IdempotencyScope.ALL).play(300)
    first, other = (
        LawfulWorld(5, Idempotency.IDEMPOTENT, IdempotencyScope.ALL),
        LawfulWorld(6, Idempotency.IDEMPOTENT, IdempotencyScope.ALL),
    )
    other.play(300)
    assert first.play(300) == alone
