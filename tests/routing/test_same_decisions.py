"""Decisions made with indexes equal those made by a scan of all endpoints, for any sequence of events.

`oracle.brain` scans all endpoints for each decision; `tuliptrack.routing` must return the same actions.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import oracle.brain
import pytest
from helpers import DECODE, MIXED, MS, PREFILL, S, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Event,
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
    ZoneBudget,
)
from tuliptrack.routing.router import Router
from tuliptrack.state.candidates import Candidates
from tuliptrack.state.ejection import ALL_REQUESTS
from tuliptrack.state.endpoint_table import EndpointTable
from tuliptrack.state.projected_loads import ProjectedLoads

ROLES = (Role.PREFILL, Role.DECODE, Role.PREFILL_AND_DECODE)
FAILURES = (Status.RESET, Status.ERROR, Status.CONNECT_FAILED, Status.AT_CAPACITY, Status.TIMEOUT)


@dataclass(frozen=True)
class Case:
    """Parameters of one sequence of events."""

    seed: int
    replicas: int = 350
    engines: int = 60
    zones: int = 1
    cells: int = 8
    mixed_share: float = 0.0
    """Share of endpoints that serve both prefill and decode."""
    weights: tuple[float, ...] = (1.0,)
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    scope: IdempotencyScope = IdempotencyScope.ALL
    has_zone_budget: bool = False
    """Whether traffic between zones is limited by a budget."""
    failure_share: float = 0.05
    """Share of the attempts that fail."""
    slowdown: float = 1.0
    """Factor by which answers take longer in the middle third of the sequence; above a factor of about twenty
    the fleet is overloaded."""
    max_memory_share: float = 0.5
    """Upper limit of the memory shares in load reports."""

    def settings(self) -> Settings:
        """Return the settings of both routers."""
        cls = RequestClass(
            "plain",
            1.0,
            500 * MS,
            3 * S,
            objective_us_per_1000_tokens=20_000.0,
            inter_token_objective_us=60_000.0,
            idempotency=self.idempotency,
            idempotency_scope=self.scope,
            deduplication_window_us=2 * S,
        )
        zone_settings = (
            {
                "zone_budgets": (ZoneBudget(1e6, 1e7, 1e5),),
                "prompt_bytes": 6.0,
                "state_bytes": 16.0,
                "answer_bytes": 24.0,
            }
            if self.has_zone_budget
            else {}
        )
        return replace(
            settings(),
            replicas=self.replicas,
            classes=(cls, replace(cls, name="dear", priority_weight=3.0)),
            tenants=(Tenant("a", 0.9, 20.0 * self.engines), Tenant("b", 0.1, 2.0)),
            may_resume=True,
            report_fields=("in_flight", "memory_share", "tokens_waiting_k"),
            **zone_settings,  # type: ignore[arg-type]
        )


class Pair:
    """Two routers that handle the same events; their actions are compared and then simulated."""

    def __init__(self, case: Case) -> None:
        self.case, self.random, self.now = case, Random(case.seed), 100 * S
        router_settings = case.settings()
        self.router, self.oracle = (
            Router(router_settings, case.seed),
            oracle.brain.Router(router_settings, case.seed),
        )
        self.queue: list[tuple[int, int, Event]] = []
        self.event_numbers, self.ids = itertools.count(), itertools.count(1)
        self.version, self.compared, self.rejected = 1, 0, 0
        self.attempts: dict[int, int] = {}
        self.in_flight: dict[int, tuple[int, int]] = {}
        """Attempt number and endpoint id of each request with an attempt in flight."""
        self.started: set[int] = set()
        self.slowdown = 1.0
        self.endpoints = {n + 1: self.endpoint_info(n + 1) for n in range(case.engines)}
        self.handle(EndpointListUpdate(UpdateKind.CACHED, 1, tuple(self.endpoints.values())))

    def endpoint_info(self, number: int, **changes: object) -> EndpointInfo:
        """Return an endpoint of the case, ready and not in slow start."""
        rng = Random(f"{self.case.seed} {number}")
        kind = MIXED if rng.random() < self.case.mixed_share else PREFILL if number % 3 == 0 else DECODE
        info = EndpointInfo(
            number,
            kind,
            weight=rng.choice(self.case.weights),
            cell=rng.randrange(self.case.cells),
            zone=rng.randrange(self.case.zones),
        )
        return replace(info, **changes)  # type: ignore[arg-type]

    def handle(self, *events: Event) -> list[Action]:
        """Pass events to both routers, whose actions must be equal."""
        actions, expected = (
            self.router.handle(self.now, list(events)),
            self.oracle.handle(self.now, list(events)),
        )
        assert actions == expected, f"after {self.compared} calls, at {self.now}: {events}"
        self.compared += 1
        for action in expected:
            self._simulate(action)
        return expected

    def schedule(self, delay_us: float, event: Event) -> None:
        """Add an event that occurs after a delay."""
        heapq.heappush(self.queue, (self.now + int(delay_us), next(self.event_numbers), event))

    def _simulate(self, action: Action) -> None:
        if isinstance(action, Reject):
            self.rejected += 1
        if isinstance(action, CancelAttempt) and action.request_id in self.in_flight:
            attempt, endpoint_id = self.in_flight[action.request_id]
            self.schedule(
                1, AttemptEnded(action.request_id, attempt, endpoint_id, Status.CANCELLED, 1, is_final=True)
            )
        if not isinstance(action, SendAttempt):
            return
        attempt = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        self.in_flight[action.request_id] = (attempt, action.endpoint_id)
        rng = self.random
        load = (
            float(rng.randrange(8)),
            rng.random() * self.case.max_memory_share,
            3 * rng.random() * self.slowdown,
        )
        latency_us = int(rng.expovariate(1 / (60 * MS)) * self.slowdown) + 1 * MS
        ended = AttemptEnded(
            action.request_id,
            attempt,
            action.endpoint_id,
            Status.PREFILLED,
            latency_us,
            load_report=load if rng.random() < 0.8 else (),
        )
        if rng.random() < self.case.failure_share:
            status = rng.choice(FAILURES)
            latency_us = action.timeout_us if status is Status.TIMEOUT and action.timeout_us else latency_us
            self.schedule(
                latency_us,
                replace(
                    ended,
                    status=status,
                    latency_us=latency_us,
                    is_connection_only=status is Status.RESET and rng.random() < 0.5,
                ),
            )
        elif ROLES[self.endpoints[action.endpoint_id].kind] is Role.PREFILL:
            self.schedule(latency_us, ended)
        else:
            length_us = latency_us + int(
                rng.expovariate(1 / (2 * S)) * (6 if action.endpoint_id % 7 == 0 else 1)
            )
            self.schedule(
                latency_us, StreamStarted(action.request_id, attempt, action.endpoint_id, latency_us)
            )
            self.schedule(length_us, replace(ended, status=Status.OK, latency_us=length_us, is_final=True))

    def _is_valid(self, event: Event) -> bool:
        """Whether an event may still occur: each attempt ends once, and no stream starts after its end."""
        if isinstance(event, StreamStarted | AttemptEnded):
            if self.in_flight.get(event.request_id) != (event.attempt, event.endpoint_id):
                return False
            if isinstance(event, StreamStarted):
                self.started.add(event.request_id)
            else:
                if event.status is Status.TIMEOUT and event.request_id in self.started:
                    return False
                del self.in_flight[event.request_id]
        return True

    def ask(self) -> None:
        """Generate a request; some clients disconnect soon after."""
        rng, number = self.random, next(self.ids)
        tokens = 200.0 + rng.expovariate(1 / 2_000)
        self.handle(
            Request(
                number,
                int(rng.random() < 0.3),
                int(rng.uniform(0.5, 3) * S),
                tokens,
                0.8 * tokens,
                300.0,
                rng.getrandbits(40),
                rng.choice((0, 1, 2, 3, rng.getrandbits(20))),
                int(rng.random() < 0.2),
                is_resumed=rng.random() < 0.05,
            )
        )
        if rng.random() < 0.1:
            self.schedule(rng.random() * S, ClientDisconnected(number))

    def change_list(self) -> None:
        """Change the endpoint list: one endpoint, several, none, or a full list."""
        rng, kind = self.random, self.random.random()
        self.version += 1
        if kind < 0.1:
            self.handle(EndpointListUpdate(UpdateKind.DELTA, self.version))
        elif kind < 0.2:
            listed = [
                s
                for s in self.endpoints.values()
                if rng.random() < 0.97 and s.state is not EndpointState.REMOVED
            ]
            self.handle(EndpointListUpdate(UpdateKind.FULL, self.version, tuple(listed)))
            for missing in self.endpoints.keys() - {s.id for s in listed}:
                self.endpoints[missing] = replace(self.endpoints[missing], state=EndpointState.REMOVED)
        elif kind < 0.3:
            number = max(self.endpoints) + 1
            self.update_list([self.endpoint_info(number, started_at_us=self.now - rng.randrange(2 * S))])
        else:
            changed = rng.sample(
                sorted(self.endpoints), min(len(self.endpoints), rng.choice((1, 1, 1, 2, 6)))
            )
            self.update_list([self._changed(self.endpoints[number]) for number in changed])

    def _changed(self, known: EndpointInfo) -> EndpointInfo:
        """Return an endpoint with another state or weight."""
        rng = self.random
        if known.state is not EndpointState.READY:
            return replace(known, state=EndpointState.READY, started_at_us=self.now - rng.randrange(S))
        return replace(
            known,
            state=rng.choice((EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.READY)),
            weight=rng.choice(self.case.weights),
        )

    def update_list(self, endpoints: list[EndpointInfo]) -> None:
        self.endpoints |= {endpoint.id: endpoint for endpoint in endpoints}
        self.handle(EndpointListUpdate(UpdateKind.DELTA, self.version, tuple(endpoints)))

    def step(self) -> None:
        """Handle the next event: a scheduled one, a list change or a request."""
        if self.queue and self.random.random() < 0.6:
            self.now, _, event = heapq.heappop(self.queue)
            if self._is_valid(event):
                self.handle(event)
        elif self.random.random() < 0.12:
            self.change_list()
        else:
            self.now = min(
                self.now + int(self.random.expovariate(1 / (30 * MS))),
                self.queue[0][0] if self.queue else self.now + S,
            )
            self.ask()

    def play(self, steps: int) -> Pair:
        """Play the given number of steps, with a slowdown in the middle third."""
        for index in range(steps):
            self.slowdown = self.case.slowdown if steps / 3 < index < 2 * steps / 3 else 1.0
            self.step()
        return self


CASES = st.builds(
    Case,
    seed=st.integers(0, 2**32),
    replicas=st.sampled_from((2, 20, 350)),
    engines=st.sampled_from((12, 40, 150, 400)),
    zones=st.sampled_from((1, 3)),
    cells=st.sampled_from((1, 4, 30)),
    mixed_share=st.sampled_from((0.0, 0.0, 0.3, 1.0)),
    weights=st.sampled_from(((1.0,), (0.5, 1.0, 2.0), (0.3, 1.0, 1.7))),
    idempotency=st.sampled_from(Idempotency),
    scope=st.sampled_from(IdempotencyScope),
    has_zone_budget=st.booleans(),
    failure_share=st.sampled_from((0.0, 0.05, 0.4)),
    slowdown=st.sampled_from((1.0, 8.0, 40.0)),
    max_memory_share=st.sampled_from((0.0, 0.3, 1.0)),
)


@examples(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(CASES)
def test_random_sequences_are_decided_alike(case: Case) -> None:
    assert Pair(case).play(260).compared > 150


@pytest.mark.parametrize(
    "case",
    [
        Case(1, engines=1_000),
        Case(2, engines=1_000, failure_share=0.4),
        Case(3, engines=1_000, slowdown=40.0, max_memory_share=1.0),
        Case(4, engines=1_000, mixed_share=0.4, weights=(0.3, 1.0, 1.7)),
        Case(5, engines=1_000, zones=8, has_zone_budget=True, mixed_share=0.2),
    ],
)
def test_a_thousand_engines_are_decided_alike(case: Case) -> None:
    pair = Pair(case).play(500)
    assert pair.compared > 300
    assert pair.rejected or case.slowdown == 1.0, "the slowdown must cause an overload, and so rejections"


def eject(pair: Pair, endpoint_ids: list[int]) -> None:
    """Record an ejection of endpoints for all requests, in both routers."""
    for endpoint_id in endpoint_ids:
        pair.oracle.now = pair.now
        pair.router.state.advance(pair.now)
        pair.router.outliers._record_ejection(pair.router.endpoints[endpoint_id], ALL_REQUESTS, pair.now)
        pair.oracle._record_ejection(pair.oracle.endpoints[endpoint_id], -1, pair.now)


def test_nine_hundred_and_ninety_of_a_thousand_endpoints_ejected() -> None:
    pair = Pair(Case(7, engines=1_000, failure_share=0.0))
    eject(pair, list(range(1, 991)))
    pair.play(300)


def test_all_endpoints_ejected() -> None:
    pair = Pair(Case(8, engines=40, failure_share=0.0))
    eject(pair, list(pair.endpoints))
    pair.play(300)


def test_a_list_change_with_every_event() -> None:
    pair = Pair(Case(9, engines=150))
    for _ in range(200):
        pair.change_list()
        pair.step()


def test_empty_list_changes_and_full_lists_equal_to_the_current_one() -> None:
    pair = Pair(Case(10, engines=150))
    for version in range(2, 60):
        pair.step()
        pair.handle(EndpointListUpdate(UpdateKind.DELTA, version))
        pair.handle(EndpointListUpdate(UpdateKind.FULL, version, tuple(pair.endpoints.values())))
        pair.ask()


@pytest.mark.parametrize("at_once", [True, False])
def test_a_zone_that_is_lost_and_comes_back_in_slow_start(at_once: bool) -> None:
    pair = Pair(Case(11, engines=400, zones=8, cells=50)).play(100)
    zone = [s for s in pair.endpoints.values() if s.zone == 3]
    for state, started in ((EndpointState.REMOVED, 0), (EndpointState.READY, pair.now)):
        changed = [replace(s, state=state, started_at_us=started) for s in zone]
        for part in [changed] if at_once else [[endpoint] for endpoint in changed]:
            pair.update_list(part)
            pair.ask()
        pair.play(200)


def test_a_prefix_with_all_affinity_endpoints_in_slow_start() -> None:
    pair = Pair(Case(12, engines=60, failure_share=0.0))
    prefill_endpoints = [s for s in pair.endpoints.values() if s.kind == PREFILL]
    pair.update_list([replace(s, started_at_us=pair.now) for s in prefill_endpoints])
    pair.play(400)


def test_one_prefill_and_one_decode_endpoint() -> None:
    pair = Pair(Case(13, engines=1, failure_share=0.3))
    pair.endpoints = {1: EndpointInfo(1, PREFILL), 2: EndpointInfo(2, DECODE)}
    pair.handle(EndpointListUpdate(UpdateKind.FULL, 2, tuple(pair.endpoints.values())))
    for _ in range(300):
        pair.step()


def test_the_load_given_to_a_role_decays_and_reverses_the_order_of_roles() -> None:
    """An endpoint of both roles that got much load is used for decode again once that load has decayed."""
    pair = Pair(Case(14, engines=30, mixed_share=0.5, failure_share=0.0, weights=(1.0, 3.0)))
    for _ in range(12):
        pair.play(40)
        pair.now += 9 * S


def _record_without_index(self: EndpointTable, endpoint: object, report: object, now: int) -> None:
    """Record a load report without updating the index of memory shares."""
    endpoint.record_report(report, now)  # type: ignore[attr-defined]


WRONG_INDEXES: dict[str, tuple[type, str, Callable[..., object]]] = {
    "memory is not indexed": (EndpointTable, "record_report", _record_without_index),
    "idle endpoints are counted wrongly": (ProjectedLoads, "unloaded_count_at", lambda self, load: 0),
    "ejected endpoints are not indexed": (EndpointTable, "ejected", lambda self, role: []),
    "endpoints in slow start are not indexed": (EndpointTable, "started_since", lambda self, role, since: []),
    "waiting attempts are not indexed": (EndpointTable, "oldest_waiting", lambda self, role: ()),
    "excluded endpoints are chosen": (
        Candidates,
        "__contains__",
        lambda self, endpoint: endpoint.info.id in self.ready,
    ),
}


@pytest.mark.parametrize("fault", WRONG_INDEXES)
def test_a_wrong_index_is_detected(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, name, wrong = WRONG_INDEXES[fault]
    monkeypatch.setattr(owner, name, wrong)
    # With the wrong method, decisions differ or an endpoint is missing from an index.
    with pytest.raises((AssertionError, LookupError)):
        for seed in range(8):
            Pair(
                Case(
                    seed, engines=40, mixed_share=0.3, failure_share=0.3, slowdown=20.0, max_memory_share=1.0
                )
            ).play(400)
