"""The decisions on indexes and those by a scan of every server are the same, event by event, whatever comes.

`oracle.brain` looks at every server for each question; `tuliptrack.routing` must say the same to the letter.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import oracle.brain
import pytest
from helpers import BOTH, MS, READ, WRITE, S, settings
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
BAD = (Status.RESET, Status.ERROR, Status.CONNECT_FAILED, Status.AT_CAPACITY, Status.TIMEOUT)


@dataclass(frozen=True)
class Case:
    """What is drawn for one sequence."""

    seed: int
    replicas: int = 350
    engines: int = 60
    zones: int = 1
    cells: int = 8
    mixed: float = 0.0
    """Share of mixed servers."""
    weights: tuple[float, ...] = (1.0,)
    effect: Idempotency = Idempotency.IDEMPOTENT
    scope: IdempotencyScope = IdempotencyScope.ALL
    budget: bool = False
    """Crossings of zones are counted."""
    trouble: float = 0.05
    """Share of the attempts that fail."""
    slow: float = 1.0
    """How much longer answers take in the middle of the sequence: past some twenty it is a jam."""
    memory: float = 0.5
    """Most memory that is reported."""

    def settings(self) -> Settings:
        """Of both routers."""
        cls = RequestClass(
            "plain",
            1.0,
            500 * MS,
            3 * S,
            objective_us_per_1000_tokens=20_000.0,
            inter_token_objective_us=60_000.0,
            idempotency=self.effect,
            idempotency_scope=self.scope,
            deduplication_window_us=2 * S,
        )
        zoned = (
            {
                "zone_budgets": (ZoneBudget(1e6, 1e7, 1e5),),
                "prompt_bytes": 6.0,
                "state_bytes": 16.0,
                "answer_bytes": 24.0,
            }
            if self.budget
            else {}
        )
        return replace(
            settings(),
            replicas=self.replicas,
            classes=(cls, replace(cls, name="dear", priority_weight=3.0)),
            tenants=(Tenant("a", 0.9, 20.0 * self.engines), Tenant("b", 0.1, 2.0)),
            may_resume=True,
            report_fields=("in_flight", "memory_share", "tokens_waiting_k"),
            **zoned,  # type: ignore[arg-type]
        )


class Pair:
    """Two routers that are told the same; whatever they say is compared before it is carried out."""

    def __init__(self, case: Case) -> None:
        self.case, self.random, self.now = case, Random(case.seed), 100 * S
        made = case.settings()
        self.router, self.oracle = Router(made, case.seed), oracle.brain.Router(made, case.seed)
        self.queue: list[tuple[int, int, Event]] = []
        self.order, self.ids = itertools.count(), itertools.count(1)
        self.version, self.compared, self.refused = 1, 0, 0
        self.attempts: dict[int, int] = {}
        self.open: dict[int, tuple[int, int]] = {}
        """Attempt and server of each request that has one out."""
        self.started: set[int] = set()
        self.slow = 1.0
        self.servers = {n + 1: self.server(n + 1) for n in range(case.engines)}
        self.tell(EndpointListUpdate(UpdateKind.CACHED, 1, tuple(self.servers.values())))

    def server(self, number: int, **changes: object) -> EndpointInfo:
        """A server of the case, ready and warm."""
        chance = Random(f"{self.case.seed} {number}")
        kind = BOTH if chance.random() < self.case.mixed else READ if number % 3 == 0 else WRITE
        made = EndpointInfo(
            number,
            kind,
            weight=chance.choice(self.case.weights),
            cell=chance.randrange(self.case.cells),
            zone=chance.randrange(self.case.zones),
        )
        return replace(made, **changes)  # type: ignore[arg-type]

    def tell(self, *events: Event) -> list[Action]:
        """Both are told; they have to say the same."""
        said, wanted = self.router.handle(self.now, list(events)), self.oracle.handle(self.now, list(events))
        assert said == wanted, f"after {self.compared} calls at {self.now}: {events}"
        self.compared += 1
        for action in wanted:
            self._carry_out(action)
        return wanted

    def at(self, late: float, event: Event) -> None:
        """An event that comes so many microseconds later."""
        heapq.heappush(self.queue, (self.now + int(late), next(self.order), event))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Reject):
            self.refused += 1
        if isinstance(action, CancelAttempt) and action.request_id in self.open:
            attempt, server = self.open[action.request_id]
            self.at(1, AttemptEnded(action.request_id, attempt, server, Status.CANCELLED, 1, is_final=True))
        if not isinstance(action, SendAttempt):
            return
        attempt = self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
        self.open[action.request_id] = (attempt, action.endpoint_id)
        chance = self.random
        load = (
            float(chance.randrange(8)),
            chance.random() * self.case.memory,
            3 * chance.random() * self.slow,
        )
        took = int(chance.expovariate(1 / (60 * MS)) * self.slow) + 1 * MS
        told = AttemptEnded(
            action.request_id,
            attempt,
            action.endpoint_id,
            Status.PREFILLED,
            took,
            load_report=load if chance.random() < 0.8 else (),
        )
        if chance.random() < self.case.trouble:
            status = chance.choice(BAD)
            took = action.timeout_us if status is Status.TIMEOUT and action.timeout_us else took
            self.at(
                took,
                replace(
                    told,
                    status=status,
                    latency_us=took,
                    is_connection_only=status is Status.RESET and chance.random() < 0.5,
                ),
            )
        elif ROLES[self.servers[action.endpoint_id].kind] is Role.PREFILL:
            self.at(took, told)
        else:
            lasting = took + int(chance.expovariate(1 / (2 * S)) * (6 if action.endpoint_id % 7 == 0 else 1))
            self.at(took, StreamStarted(action.request_id, attempt, action.endpoint_id, took))
            self.at(lasting, replace(told, status=Status.OK, latency_us=lasting, is_final=True))

    def _due(self, event: Event) -> bool:
        """Whether an event may still come: an attempt ends once, and what has not begun does not start
        later.
        """
        if isinstance(event, StreamStarted | AttemptEnded):
            if self.open.get(event.request_id) != (event.attempt, event.endpoint_id):
                return False
            if isinstance(event, StreamStarted):
                self.started.add(event.request_id)
            else:
                if event.status is Status.TIMEOUT and event.request_id in self.started:
                    return False
                del self.open[event.request_id]
        return True

    def ask(self) -> None:
        """A request comes; some clients leave soon."""
        chance, number = self.random, next(self.ids)
        tokens = 200.0 + chance.expovariate(1 / 2_000)
        self.tell(
            Request(
                number,
                int(chance.random() < 0.3),
                int(chance.uniform(0.5, 3) * S),
                tokens,
                0.8 * tokens,
                300.0,
                chance.getrandbits(40),
                chance.choice((0, 1, 2, 3, chance.getrandbits(20))),
                int(chance.random() < 0.2),
                is_resumed=chance.random() < 0.05,
            )
        )
        if chance.random() < 0.1:
            self.at(chance.random() * S, ClientDisconnected(number))

    def change(self) -> None:
        """The list changes: one server, some, none, or all anew."""
        chance, kind = self.random, self.random.random()
        self.version += 1
        if kind < 0.1:
            self.tell(EndpointListUpdate(UpdateKind.DELTA, self.version))
        elif kind < 0.2:
            listed = [
                s
                for s in self.servers.values()
                if chance.random() < 0.97 and s.state is not EndpointState.REMOVED
            ]
            self.tell(EndpointListUpdate(UpdateKind.FULL, self.version, tuple(listed)))
            for missing in self.servers.keys() - {s.id for s in listed}:
                self.servers[missing] = replace(self.servers[missing], state=EndpointState.REMOVED)
        elif kind < 0.3:
            number = max(self.servers) + 1
            self._list([self.server(number, started_at_us=self.now - chance.randrange(2 * S))])
        else:
            some = chance.sample(sorted(self.servers), min(len(self.servers), chance.choice((1, 1, 1, 2, 6))))
            self._list([self._other(self.servers[number]) for number in some])

    def _other(self, known: EndpointInfo) -> EndpointInfo:
        chance = self.random
        if known.state is not EndpointState.READY:
            return replace(known, state=EndpointState.READY, started_at_us=self.now - chance.randrange(S))
        return replace(
            known,
            state=chance.choice((EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.READY)),
            weight=chance.choice(self.case.weights),
        )

    def _list(self, servers: list[EndpointInfo]) -> None:
        self.servers |= {server.id: server for server in servers}
        self.tell(EndpointListUpdate(UpdateKind.DELTA, self.version, tuple(servers)))

    def step(self) -> None:
        """The next thing that happens."""
        if self.queue and self.random.random() < 0.6:
            self.now, _, event = heapq.heappop(self.queue)
            if self._due(event):
                self.tell(event)
        elif self.random.random() < 0.12:
            self.change()
        else:
            self.now = min(
                self.now + int(self.random.expovariate(1 / (30 * MS))),
                self.queue[0][0] if self.queue else self.now + S,
            )
            self.ask()

    def play(self, steps: int) -> Pair:
        """So many steps, the middle third of them slow."""
        for place in range(steps):
            self.slow = self.case.slow if steps / 3 < place < 2 * steps / 3 else 1.0
            self.step()
        return self


CASES = st.builds(
    Case,
    seed=st.integers(0, 2**32),
    replicas=st.sampled_from((2, 20, 350)),
    engines=st.sampled_from((12, 40, 150, 400)),
    zones=st.sampled_from((1, 3)),
    cells=st.sampled_from((1, 4, 30)),
    mixed=st.sampled_from((0.0, 0.0, 0.3, 1.0)),
    weights=st.sampled_from(((1.0,), (0.5, 1.0, 2.0), (0.3, 1.0, 1.7))),
    effect=st.sampled_from(Idempotency),
    scope=st.sampled_from(IdempotencyScope),
    budget=st.booleans(),
    trouble=st.sampled_from((0.0, 0.05, 0.4)),
    slow=st.sampled_from((1.0, 8.0, 40.0)),
    memory=st.sampled_from((0.0, 0.3, 1.0)),
)


@examples(max_examples=60, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(CASES)
def test_random_sequences_are_decided_alike(case: Case) -> None:
    assert Pair(case).play(260).compared > 150


@pytest.mark.parametrize(
    "case",
    [
        Case(1, engines=1_000),
        Case(2, engines=1_000, trouble=0.4),
        Case(3, engines=1_000, slow=40.0, memory=1.0),
        Case(4, engines=1_000, mixed=0.4, weights=(0.3, 1.0, 1.7)),
        Case(5, engines=1_000, zones=8, budget=True, mixed=0.2),
    ],
)
def test_a_thousand_engines_are_decided_alike(case: Case) -> None:
    pair = Pair(case).play(500)
    assert pair.compared > 300
    assert pair.refused or case.slow == 1.0, "a jam, and so refusals, was played"


def blamed(pair: Pair, servers: list[int]) -> None:
    """These all have a failure behind them, by the same way in both."""
    for server in servers:
        pair.oracle.now = pair.now
        pair.router.state.advance(pair.now)
        pair.router.outliers._record_ejection(pair.router.endpoints[server], ALL_REQUESTS, pair.now)
        pair.oracle._blame(pair.oracle.seats[server], -1, pair.now)


def test_nine_hundred_and_ninety_of_a_thousand_blamed() -> None:
    pair = Pair(Case(7, engines=1_000, trouble=0.0))
    blamed(pair, list(range(1, 991)))
    pair.play(300)


def test_every_server_blamed() -> None:
    pair = Pair(Case(8, engines=40, trouble=0.0))
    blamed(pair, list(pair.servers))
    pair.play(300)


def test_a_list_change_with_every_event() -> None:
    pair = Pair(Case(9, engines=150))
    for _ in range(200):
        pair.change()
        pair.step()


def test_changes_that_name_nobody_and_whole_lists_equal_to_the_one_held() -> None:
    pair = Pair(Case(10, engines=150))
    for version in range(2, 60):
        pair.step()
        pair.tell(EndpointListUpdate(UpdateKind.DELTA, version))
        pair.tell(EndpointListUpdate(UpdateKind.FULL, version, tuple(pair.servers.values())))
        pair.ask()


@pytest.mark.parametrize("at_once", [True, False])
def test_a_zone_that_is_lost_and_comes_back_cold(at_once: bool) -> None:
    pair = Pair(Case(11, engines=400, zones=8, cells=50)).play(100)
    zone = [s for s in pair.servers.values() if s.zone == 3]
    for state, started in ((EndpointState.REMOVED, 0), (EndpointState.READY, pair.now)):
        told = [replace(s, state=state, started_at_us=started) for s in zone]
        for part in [told] if at_once else [[one] for one in told]:
            pair._list(part)
            pair.ask()
        pair.play(200)


def test_a_key_whose_homes_are_all_cold() -> None:
    pair = Pair(Case(12, engines=60, trouble=0.0))
    readers = [s for s in pair.servers.values() if s.kind == READ]
    pair._list([replace(s, started_at_us=pair.now) for s in readers])
    pair.play(400)


def test_one_reader_and_one_writer() -> None:
    pair = Pair(Case(13, engines=1, trouble=0.3))
    pair.servers = {1: EndpointInfo(1, READ), 2: EndpointInfo(2, WRITE)}
    pair.tell(EndpointListUpdate(UpdateKind.FULL, 2, tuple(pair.servers.values())))
    for _ in range(300):
        pair.step()


def test_what_a_role_carries_fades_and_turns_the_order_of_roles_round() -> None:
    """A mixed server that has been given much takes states again once that has faded."""
    pair = Pair(Case(14, engines=30, mixed=0.5, trouble=0.0, weights=(1.0, 3.0)))
    for _ in range(12):
        pair.play(40)
        pair.now += 9 * S


def _no_median_left_out(self: EndpointTable, endpoint: object, report: object, now: int) -> None:
    """Reports that never reach the index of memory."""
    endpoint.record_report(report, now)  # type: ignore[attr-defined]


PLANTED: dict[str, tuple[type, str, Callable[..., object]]] = {
    "memory is not indexed": (EndpointTable, "record_report", _no_median_left_out),
    "idle servers are counted wrongly": (ProjectedLoads, "unloaded_count_at", lambda self, load: 0),
    "blame is not indexed": (EndpointTable, "ejected", lambda self, role: []),
    "cold servers are not indexed": (EndpointTable, "started_since", lambda self, role, since: []),
    "waiting attempts are not indexed": (EndpointTable, "oldest_waiting", lambda self, role: ()),
    "barred servers are drawn": (
        Candidates,
        "__contains__",
        lambda self, endpoint: endpoint.info.id in self.ready,
    ),
}


@pytest.mark.parametrize("planted", PLANTED)
def test_a_wrong_index_is_found(planted: str, monkeypatch: pytest.MonkeyPatch) -> None:
    of, name, wrong = PLANTED[planted]
    monkeypatch.setattr(of, name, wrong)
    with pytest.raises((AssertionError, LookupError)):  # It decides otherwise, or finds nothing to decide by.
        for seed in range(8):
            Pair(Case(seed, engines=40, mixed=0.3, trouble=0.3, slow=20.0, memory=1.0)).play(400)
