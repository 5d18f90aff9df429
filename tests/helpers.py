"""Settings, endpoint lists and events for tests of the router."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import TypeVar

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    EndpointInfo,
    EndpointListUpdate,
    Event,
    Fail,
    Idempotency,
    IdempotencyScope,
    Reject,
    Request,
    RequestClass,
    Role,
    SendAttempt,
    Settings,
    Status,
    StreamStarted,
    Tenant,
    UpdateKind,
)
from tuliptrack.routing.router import Router

MS = 1_000
S = 1_000_000
PREFILL, DECODE, MIXED = 0, 1, 2
A = TypeVar("A", bound=Action)


def settings(
    effect: Idempotency = Idempotency.IDEMPOTENT,
    scope: IdempotencyScope = IdempotencyScope.ALL,
    **changes: object,
) -> Settings:
    base = Settings(
        replicas=2,
        classes=(
            RequestClass(
                "plain",
                1.0,
                1 * S,
                5 * S,
                idempotency=effect,
                idempotency_scope=scope,
                deduplication_window_us=3 * S,
                inter_token_objective_us=60_000.0,
            ),
            RequestClass(
                "dear",
                3.0,
                1 * S,
                5 * S,
                idempotency=effect,
                idempotency_scope=scope,
                deduplication_window_us=3 * S,
                inter_token_objective_us=60_000.0,
            ),
        ),
        roles=(Role.PREFILL, Role.DECODE, Role.PREFILL_AND_DECODE),
        tenants=(Tenant("a", 0.9, 1000.0), Tenant("b", 0.1, 2.0)),
        over_quota_weight_factor=0.1,
        max_attempts=5,
        release_within_us=300 * MS,
        drain_grace_us=500 * MS,
        slow_start_us=10 * S,
        slow_start_initial_share=0.25,
        slow_start_overload_factor=2.5,
        slow_start_window_us=2 * S,
        may_cancel=True,
        may_send_retry_after=True,
        report_fields=("in_flight", "memory_share"),
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def server(number: int, kind: int, **changes: object) -> EndpointInfo:
    return replace(EndpointInfo(number, kind), **changes)  # type: ignore[arg-type]


def fleet(prefill: int = 3, decode: int = 3, mixed: int = 0) -> list[EndpointInfo]:
    kinds = [PREFILL] * prefill + [DECODE] * decode + [MIXED] * mixed
    return [server(10 + i, kind) for i, kind in enumerate(kinds)]


@dataclass
class World:
    """One router with a clock, the actions that it has returned, and the attempt number of each request."""

    router: Router
    now: int = 100 * S
    actions: list[Action] = field(default_factory=list)
    attempt_numbers: dict[int, int] = field(default_factory=dict)
    ids: int = 0

    def handle_events(self, *events: Event, after: int = 0) -> list[Action]:
        self.now += after
        actions = self.router.handle(self.now, list(events))
        self.actions += actions
        for action in actions:
            if isinstance(action, SendAttempt):
                self.attempt_numbers[action.request_id] = self.attempt_numbers.get(action.request_id, -1) + 1
        return actions

    def ask(self, after: int = 0, **changes: object) -> tuple[int, list[Action]]:
        self.ids += 1
        request = Request(
            self.ids,
            0,
            5 * S,
            prompt_tokens=1000.0,
            prefix_tokens=800.0,
            max_tokens=200.0,
            session=self.ids,
            prefix=77,
        )
        request = replace(request, **changes)  # type: ignore[arg-type]
        return request.request_id, self.handle_events(request, after=after)

    def end(
        self, request: int, at: int, status: Status, after: int = 50 * MS, **more: object
    ) -> list[Action]:
        outcome = AttemptEnded(request, self.attempt_numbers[request], at, status, after)
        return self.handle_events(replace(outcome, **more), after=after)  # type: ignore[arg-type]

    def start(self, request: int, at: int, after: int = 50 * MS) -> list[Action]:
        return self.handle_events(
            StreamStarted(request, self.attempt_numbers[request], at, after), after=after
        )

    def list(self, *servers: EndpointInfo, kind: UpdateKind = UpdateKind.DELTA) -> list[Action]:
        return self.handle_events(EndpointListUpdate(kind, 2, servers))


def world(servers: Iterable[EndpointInfo] | None = None, seed: int = 1, **changes: object) -> World:
    made = World(Router(settings(**changes), seed))  # type: ignore[arg-type]
    made.handle_events(
        EndpointListUpdate(UpdateKind.CACHED, 1, tuple(fleet() if servers is None else servers))
    )
    return made


def only(kind: type[A], actions: list[Action]) -> A:
    found = [action for action in actions if isinstance(action, kind)]
    assert len(found) == 1, f"one {kind.__name__} expected in {actions}"
    return found[0]


def none(actions: list[Action], *kinds: type) -> None:
    assert not [action for action in actions if isinstance(action, kinds)], actions


def answers(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Reject | Fail)]
