"""Rule 4 over all nodes: the load that they send together to an endpoint in slow start, in any window.

The simulated endpoints answer after fixed times and only count attempts. `Deployment` sets their capacity,
and the quotas in the nodes' settings are nine tenths of it. Work is measured in mean requests.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import Any

import pytest
from helpers import DECODE, MIXED, MS, PREFILL, S, World, only, server, settings

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Reject,
    Role,
    SendAttempt,
    Status,
    StreamStarted,
    Tenant,
    UpdateKind,
)
from tuliptrack.routing import slow_start
from tuliptrack.routing.router import Router

START = 100 * S
HEAVY_COST = 3.0
"""Ratio of the tokens of the heavy class to those of the plain one, for prompts and outputs."""
HEAVY_SHARE = 0.2
"""Share of the heavy class in the requests for which the quotas are set; the actual share may differ."""


@dataclass(frozen=True)
class Deployment:
    """The settings and the endpoint list. The first endpoint of each kind has just started."""

    kinds: tuple[int, ...] = (PREFILL,) * 10 + (DECODE,) * 12 + (MIXED,) * 8
    capacity_per_s: tuple[float, float, float] = (8.0, 4.0, 3.5)
    """Mean requests per second of a warm endpoint, by kind."""
    window: int = 2 * S
    slow_start_us: int = 14 * S
    initial_share: float = 0.27
    overload_factor: float = 3.0
    quota_share: float = 0.9
    """Sum of the quotas, as a share of the capacity of all endpoints that decode."""

    @property
    def slow_start_ids(self) -> tuple[int, ...]:
        return tuple(self.kinds.index(kind) + 1 for kind in (PREFILL, DECODE, MIXED) if kind in self.kinds)

    @property
    def fleet(self) -> list[EndpointInfo]:
        return [
            server(i + 1, kind, cell=i % 5, started_at_us=START if i + 1 in self.slow_start_ids else 0)
            for i, kind in enumerate(self.kinds)
        ]

    @property
    def started_endpoints(self) -> list[EndpointInfo]:
        return [s for s in self.fleet if s.id in self.slow_start_ids]

    @property
    def warm_endpoints(self) -> list[EndpointInfo]:
        return [s for s in self.fleet if s.id not in self.slow_start_ids]

    @property
    def quota(self) -> float:
        return self.quota_share * sum(self.capacity_per_s[kind] for kind in self.kinds if kind != PREFILL)

    def budget(self, number: int, since: int) -> float:
        """Return how many mean requests an endpoint in slow start can serve in a window that begins at
        `since`.
        """
        ramp = self.initial_share + (1 - self.initial_share) * (since - START) / self.slow_start_us
        return self.overload_factor * ramp * self.capacity_per_s[self.kinds[number - 1]] * self.window / S


USUAL = Deployment()
QUOTA, KINDS, FLEET, WARM_ENDPOINTS, SLOW_START_IDS = (
    USUAL.quota,
    USUAL.kinds,
    USUAL.fleet,
    USUAL.warm_endpoints,
    USUAL.slow_start_ids,
)
WINDOW, SLOW_START_US, CAPACITY_PER_S = USUAL.window, USUAL.slow_start_us, USUAL.capacity_per_s


class Service:
    """Simulates nodes and a fleet: requests arrive at random, each attempt ends soon after it was sent.

    `replicas` is the number of nodes in the settings, if it differs from the actual number. `late` is the
    time in seconds within which all nodes learn of the started endpoints. `latencies_us` are the times to the end of a prefill, to the first token and to the end of the stream.
    """

    def __init__(
        self,
        nodes: int,
        rate: float,
        deployment: Deployment = USUAL,
        seed: int = 0,
        replicas: int = 0,
        uneven: bool = False,
        late: float = 0.0,
        latencies_us: tuple[int, int, int] = (150 * MS, 100 * MS, 2 * S),
    ) -> None:
        self.deployment, self.latencies_us = deployment, latencies_us
        self.settings = settings(
            replicas=replicas or nodes,
            slow_start_us=deployment.slow_start_us,
            slow_start_initial_share=deployment.initial_share,
            slow_start_overload_factor=deployment.overload_factor,
            slow_start_window_us=deployment.window,
            tenants=(Tenant("a", 0.7, 0.7 * deployment.quota), Tenant("b", 0.3, 0.3 * deployment.quota)),
        )
        self.random = Random(nodes + 1000 * seed)
        self.weights = [self.random.expovariate(1.0) ** 2 if uneven else 1.0 for _ in range(nodes)]
        # `rejects_half`: whether half of the attempts are rejected for lack of capacity.
        self.heavy_share, self.rejects_half = HEAVY_SHARE, False
        self.classes: dict[int, int] = {}
        self.sent: dict[int, list[tuple[int, int]]] = {number: [] for number in deployment.slow_start_ids}
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.event_numbers = count()
        self.now = START - 12 * S
        self.removed_ids: set[int] = set()
        self.start_counts = [0] * nodes
        self.nodes = [self.new_node(slot, deployment.warm_endpoints) for slot in range(nodes)]
        arrival_us = float(self.now)
        while arrival_us < START + deployment.slow_start_us:
            arrival_us += self.random.expovariate(rate / S)
            self.schedule(
                int(arrival_us), lambda: self.ask(self.random.choices(range(nodes), self.weights)[0])
            )
        self.schedule_list_change(START + 300 * MS, deployment.started_endpoints, late)

    def schedule(self, at_us: int, callback: Callable[..., None], *args: object) -> None:
        heapq.heappush(self.queue, (at_us, next(self.event_numbers), lambda: callback(*args)))

    def schedule_list_change(self, at_us: int, endpoints: list[EndpointInfo], late: float = 0.0) -> None:
        """Schedule a change of the endpoint list, which reaches one node after another."""
        for slot in range(len(self.nodes)):
            self.schedule(
                at_us + slot + int(self.random.random() * late * S), self.update_list, slot, endpoints
            )

    def new_node(self, slot: int, endpoints: list[EndpointInfo]) -> World:
        """Start a node that knows only its last endpoint list."""
        self.start_counts[slot] += 1
        node_settings = replace(self.settings, replica_index=slot % self.settings.replicas)
        node = World(Router(node_settings, 1000 * self.start_counts[slot] + slot), self.now)
        node.ids = 1_000_000 * (1000 * self.start_counts[slot] + slot)
        node.handle_events(EndpointListUpdate(UpdateKind.CACHED, 1, tuple(endpoints)))
        return node

    def restart(self, slot: int) -> None:
        self.nodes[slot] = self.new_node(
            slot, [s for s in self.deployment.fleet if s.id not in self.removed_ids]
        )

    def update_list(self, slot: int, endpoints: list[EndpointInfo]) -> None:
        node = self.nodes[slot]
        node.now = self.now
        node.handle_events(EndpointListUpdate(UpdateKind.DELTA, 2, tuple(endpoints)))

    def ask(self, slot: int) -> None:
        cls = int(self.random.random() < self.heavy_share)
        size = HEAVY_COST if cls else 1.0
        node = self.nodes[slot]
        node.now = self.now
        number = node.ids + 1
        self.classes[number] = cls
        self.simulate(
            slot,
            node.ask(
                class_index=cls,
                prefix=self.random.randrange(1, 6),
                session=self.random.getrandbits(40),
                prompt_tokens=800.0 + 400 * size,
                prefix_tokens=800.0,
                max_tokens=200.0 * size,
            )[1],
        )

    def simulate(self, slot: int, actions: list[Action]) -> None:
        node = self.nodes[slot]
        for action in actions:
            if not isinstance(action, SendAttempt):
                continue
            if action.endpoint_id in self.sent:
                self.sent[action.endpoint_id].append((self.now, self.classes[action.request_id]))
            kind, attempt = (
                self.deployment.kinds[action.endpoint_id - 1],
                node.attempt_numbers[action.request_id],
            )
            if self.rejects_half and self.random.random() < 0.5:
                end = AttemptEnded(action.request_id, attempt, action.endpoint_id, Status.AT_CAPACITY, 1 * MS)
            elif kind == PREFILL:
                end = AttemptEnded(
                    action.request_id, attempt, action.endpoint_id, Status.PREFILLED, self.latencies_us[0]
                )
            else:
                _, first_token_us, end_us = self.latencies_us
                self.schedule_event(
                    slot,
                    node,
                    first_token_us,
                    StreamStarted(action.request_id, attempt, action.endpoint_id, first_token_us),
                )
                end = AttemptEnded(
                    action.request_id, attempt, action.endpoint_id, Status.OK, end_us, is_final=True
                )
            self.schedule_event(slot, node, end.latency_us, end)

    def schedule_event(self, slot: int, node: World, after: int, event: AttemptEnded | StreamStarted) -> None:
        def handle() -> None:
            if self.nodes[slot] is node:  # a restarted node gets no events of its earlier process
                node.now = self.now
                self.simulate(slot, node.handle_events(event))

        self.schedule(self.now + after, handle)

    def run(self) -> Service:
        while self.queue and self.queue[0][0] < START + self.deployment.slow_start_us:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        return self

    def flood(self, since: float, count: int) -> None:
        """Send `count` requests to each node, spread over a window that begins after `since` seconds."""
        for slot in range(len(self.nodes)):
            for k in range(count):
                part = (k + self.random.random()) / count
                self.schedule(START + int(since * S + part * self.deployment.window), self.ask, slot)

    def worst(self, number: int, allowed: Callable[[float], float] = lambda budget: budget) -> float:
        """Return the work sent in a window as a share of the allowed work, for the window with the largest
        share.

        Each attempt counts as the mean work of its class.
        """
        mean = 1 + HEAVY_SHARE * (HEAVY_COST - 1)
        weights = (1 / mean, HEAVY_COST / mean)
        sends, used, work, end = self.sent[number], 0.0, 0.0, 0
        for since, cls in sends:
            while end < len(sends) and sends[end][0] < since + self.deployment.window:
                work += weights[sends[end][1]]
                end += 1
            used = max(used, work / allowed(self.deployment.budget(number, since)))
            work -= weights[cls]
        return used

    def is_within_budget(self) -> bool:
        """Whether every endpoint in slow start got less work than it can serve, in every window."""
        return all(self.worst(number) < 1 for number in self.sent)


@pytest.fixture(params=[(40, 1), (200, 1), (200, 2)], ids=["40 nodes", "200 nodes", "200 nodes, busy"])
def service(request: pytest.FixtureRequest) -> Service:
    nodes, load = request.param
    return Service(nodes, rate=0.6 * load * QUOTA)


def test_ordinary_load_is_within_the_budget_and_starves_no_endpoint_in_slow_start(service: Service) -> None:
    assert service.run().is_within_budget()
    capacity = (
        sum(CAPACITY_PER_S[KINDS[number - 1]] for number in SLOW_START_IDS)
        * (USUAL.initial_share + 1)
        / 2
        * SLOW_START_US
        / S
    )
    sent = sum(map(len, service.sent.values()))
    assert sent >= (0.3 if len(service.nodes) == 40 else 0.04) * capacity, (
        "endpoints must get requests during slow start"
    )


def test_no_endpoint_in_slow_start_gets_the_load_of_removed_endpoints(service: Service) -> None:
    removed = [replace(s, state=EndpointState.REMOVED) for s in WARM_ENDPOINTS if s.id not in (2, 12)]
    service.removed_ids = {s.id for s in removed}
    service.schedule_list_change(START + 2 * S, removed)
    assert service.run().is_within_budget()


def test_an_endpoint_in_slow_start_gets_no_more_than_its_slots_when_all_others_are_removed(
    service: Service,
) -> None:
    removed = [replace(s, state=EndpointState.REMOVED) for s in WARM_ENDPOINTS]
    service.schedule_list_change(START + 2 * S, removed)
    assert service.run().is_within_budget()
    assert sum(map(len, service.sent.values())) >= 10, "no other endpoint is left"


def test_nodes_restarted_during_slow_start_begin_no_new_budget(service: Service) -> None:
    for slot in range(len(service.nodes)):
        for wave in (2, 4, 6, 8):
            service.schedule(START + wave * S + 700 * MS * slot // len(service.nodes), service.restart, slot)
    assert service.run().is_within_budget()


def test_all_nodes_restarted_at_once_with_a_burst_begin_no_new_budget(service: Service) -> None:
    for slot in range(len(service.nodes)):
        for wave in (2, 5, 8):
            service.schedule(START + wave * S, service.restart, slot)
            for _ in range(5):
                service.schedule(START + wave * S + 10 * MS, service.ask, slot)
    assert service.run().is_within_budget()


def test_a_burst_of_requests_and_retries_at_every_node_gets_only_the_slots(service: Service) -> None:
    service.rejects_half = True  # rejected attempts are retried at once
    for slot in range(len(service.nodes)):
        for _ in range(20):
            service.schedule(START + 3 * S, service.ask, slot)
    assert service.run().is_within_budget()


def test_a_heavy_class_counts_by_its_cost(service: Service) -> None:
    service.schedule(START, setattr, service, "heavy_share", 0.9)
    assert service.run().is_within_budget()


def test_an_endpoint_that_is_removed_and_listed_again_with_its_old_start_time_keeps_its_used_slots() -> None:
    endpoints = [server(1, PREFILL), server(2, DECODE), server(3, DECODE, started_at_us=START)]
    w = World(Router(replace(Service(1, rate=1.0).settings, tenants=()), 1), START)
    w.handle_events(EndpointListUpdate(UpdateKind.FULL, 1, tuple(endpoints)))
    used: list[int] = []
    for _ in range(20):
        number, actions = w.ask(after=0 if used else 6 * S)
        used.append(
            only(
                SendAttempt,
                w.end(number, only(SendAttempt, actions).endpoint_id, Status.PREFILLED, after=1 * MS),
            ).endpoint_id
        )
        for listed in (endpoints[:2], endpoints):
            w.handle_events(EndpointListUpdate(UpdateKind.FULL, 2, tuple(listed)))
    assert used.count(3) == 1, "one slot is good for one attempt"


@pytest.mark.parametrize("since", [1, 4, 8])
def test_a_burst_at_every_node_after_low_load_finds_no_accumulated_slots(since: int) -> None:
    service = Service(40, rate=0.05 * QUOTA)
    for slot in range(40):
        for k in range(40):
            service.schedule(START + since * S + 50 * MS * k + slot, service.ask, slot)
    assert service.run().is_within_budget()
    assert sum(map(len, service.sent.values())) >= 10


def test_an_open_slot_is_used_when_the_role_is_overloaded() -> None:
    prefill, decode = server(1, PREFILL), server(11, DECODE)
    for started_at_us, expected in ((START, SendAttempt), (0, Reject)):
        w = World(Router(Service(1, rate=1.0).settings, 1), START)
        w.handle_events(
            EndpointListUpdate(UpdateKind.CACHED, 1, (replace(prefill, started_at_us=started_at_us), decode))
        )
        w.now += 5 * S
        role = w.router.state.statistics[Role.PREFILL, False]
        role.rejection_share, role.observed_at_us = 1.0, w.now  # all recent attempts were rejected
        only(expected, w.ask()[1])


# The following tests apply the rule to all processes together: an excess of 2 x sqrt(N) + 2 over the budget
# of N requests is within random variation.

LARGE = Deployment(
    kinds=(PREFILL,) * 2 + (DECODE,) * 4,
    capacity_per_s=(200.0, 100.0, 0.0),
    overload_factor=1.5,
    initial_share=0.5,
    quota_share=1.0,
)
QUICK_US = (10 * MS, 10 * MS, 30 * MS)


def with_bursts(service: Service) -> Service:
    """Add bursts of more requests than there are slots, each after low load for as long as a slot is
    valid.
    """
    slots = service.deployment.budget(
        service.deployment.slow_start_ids[0], START + service.deployment.slow_start_us
    )
    for since in (1.0, 8.0):
        service.flood(since, math.ceil(1.2 * slots / len(service.nodes)) + 3)
    return service


def large(
    nodes: int, seed: int = 1, deployment: Deployment = LARGE, rate: float = 3.0, **more: Any
) -> Service:
    return with_bursts(Service(nodes, rate, deployment, seed, latencies_us=QUICK_US, **more))


SCENARIOS: dict[str, Callable[[int], Service]] = {
    "uneven traffic": lambda nodes: large(nodes, rate=0.3 * LARGE.quota, uneven=True),
    "lists delayed by up to 2 s": lambda nodes: large(nodes, late=2.0),
    "50 % more processes than replicas": lambda nodes: large(nodes, replicas=max(nodes * 2 // 3, 1)),
    "quotas 50 % above the capacity": lambda nodes: large(nodes, deployment=replace(LARGE, quota_share=1.5)),
    "two small engines": lambda nodes: large(
        nodes, deployment=replace(LARGE, kinds=(PREFILL, DECODE), capacity_per_s=(2.0, 1.5, 0.0))
    ),
}


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_processes_together_exceed_the_budget_only_by_random_variation(scenario: str, nodes: int) -> None:
    service = SCENARIOS[scenario](nodes)
    # Restarted nodes know nothing of the slots used by their earlier processes.
    for slot in service.random.sample(range(nodes), math.ceil(nodes / 3)):
        for since in (1.5, 8.5):
            service.schedule(START + int(since * S), service.restart, slot)
    service.run()
    assert max(service.worst(number, lambda n: n + 2 * math.sqrt(n) + 2) for number in service.sent) < 1
    assert any(service.sent.values())


@pytest.mark.parametrize(
    ("rejects_half", "heavy_share"), [(True, HEAVY_SHARE), (False, 0.9)], ids=["retries", "a heavy class"]
)
def test_all_processes_together_keep_the_budget_with_retries_and_heavy_requests(
    rejects_half: bool, heavy_share: float
) -> None:
    service = large(30, 2)
    service.rejects_half = rejects_half
    service.schedule(START, setattr, service, "heavy_share", heavy_share)
    assert max(service.run().worst(number, lambda n: n + 2 * math.sqrt(n) + 2) for number in service.sent) < 1


def slot_limit(nodes: int) -> Callable[[float], float]:
    """Return the limit for a window that follows from the docstring of `routing/slow_start.py`.

    The limit is the sum of three parts: the slots that become due in the window, which are a third of the
    budget plus the growth of the ramp in the window; unused slots of the previous window, which are one for
    each process and at most a third of the budget; and random variation in the mix of classes.
    """
    return lambda n: 1.07 * n / 3 + min(n / 3, nodes) + math.sqrt(n) + 2


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("fault", ["", "two nodes per replica index", "slots at twice the rate"])
def test_a_burst_after_low_load_exceeds_the_slot_limit_only_with_a_fault(
    fault: str, nodes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if fault == "slots at twice the rate":
        monkeypatch.setattr(slow_start, "SLOT_RATE_SHARE", 2 / 3)
    service = large(2 * nodes, replicas=nodes) if fault == "two nodes per replica index" else large(nodes)
    worst = max(service.run().worst(number, slot_limit(nodes)) for number in service.sent)
    assert (worst > 1) == bool(fault)
