"""Rule 4 summed over all nodes: what together they send a cold server, in every window of the rule.

The servers here answer at once and only count; what they can do is settled below, and the quotas told to
the nodes are nine tenths of it. Work is told in mean requests.
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
from helpers import BOTH, MS, READ, WRITE, S, World, only, server, settings

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
HEAVY = 3.0  # tokens of the heavy class, prompt and answer, against the plain one's
MIX = 0.2  # the heavy class's part of the requests for which the quotas are told, whatever comes later


@dataclass(frozen=True)
class Deployment:
    """What the settings and the list tell. The first server of each kind has just started."""

    kinds: tuple[int, ...] = (READ,) * 10 + (WRITE,) * 12 + (BOTH,) * 8
    able: tuple[float, float, float] = (8.0, 4.0, 3.5)  # mean requests a second of a warm server, by kind
    window: int = 2 * S
    cold_for: int = 14 * S
    cold_from: float = 0.27
    multiple: float = 3.0
    told: float = 0.9  # the quotas, against what all writers can do

    @property
    def cold(self) -> tuple[int, ...]:
        return tuple(self.kinds.index(kind) + 1 for kind in (READ, WRITE, BOTH) if kind in self.kinds)

    @property
    def fleet(self) -> list[EndpointInfo]:
        return [
            server(i + 1, kind, cell=i % 5, started_at_us=START if i + 1 in self.cold else 0)
            for i, kind in enumerate(self.kinds)
        ]

    @property
    def young(self) -> list[EndpointInfo]:
        return [s for s in self.fleet if s.id in self.cold]

    @property
    def before(self) -> list[EndpointInfo]:
        return [s for s in self.fleet if s.id not in self.cold]

    @property
    def quota(self) -> float:
        return self.told * sum(self.able[kind] for kind in self.kinds if kind != READ)

    def budget(self, number: int, since: int) -> float:
        """Mean requests that a cold server takes in a window that begins then."""
        ramp = self.cold_from + (1 - self.cold_from) * (since - START) / self.cold_for
        return self.multiple * ramp * self.able[self.kinds[number - 1]] * self.window / S


USUAL = Deployment()
QUOTA, KINDS, FLEET, BEFORE, COLD = USUAL.quota, USUAL.kinds, USUAL.fleet, USUAL.before, USUAL.cold
WINDOW, COLD_FOR, ABLE = USUAL.window, USUAL.cold_for, USUAL.able


class Service:
    """Nodes before a fleet: requests come by chance, each attempt ends soon after it was sent. `replicas`: of
    how many the settings tell, where there are not that many; `late`: seconds within which the list tells
    each node of the start; `pace`: microseconds to a read's end, to a first token and to an answer's end.
    """

    def __init__(
        self,
        nodes: int,
        rate: float,
        of: Deployment = USUAL,
        seed: int = 0,
        replicas: int = 0,
        uneven: bool = False,
        late: float = 0.0,
        pace: tuple[int, int, int] = (150 * MS, 100 * MS, 2 * S),
    ) -> None:
        self.of, self.pace = of, pace
        self.settings = settings(
            replicas=replicas or nodes,
            slow_start_us=of.cold_for,
            slow_start_initial_share=of.cold_from,
            slow_start_overload_factor=of.multiple,
            slow_start_window_us=of.window,
            tenants=(Tenant("a", 0.7, 0.7 * of.quota), Tenant("b", 0.3, 0.3 * of.quota)),
        )
        self.random = Random(nodes + 1000 * seed)
        self.weights = [self.random.expovariate(1.0) ** 2 if uneven else 1.0 for _ in range(nodes)]
        self.heavy, self.full = MIX, False
        self.classes: dict[int, int] = {}
        self.sent: dict[int, list[tuple[int, int]]] = {number: [] for number in of.cold}
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = count()
        self.now = START - 12 * S
        self.gone: set[int] = set()
        self.lives = [0] * nodes
        self.nodes = [self.begin(slot, of.before) for slot in range(nodes)]
        at = float(self.now)
        while at < START + of.cold_for:
            at += self.random.expovariate(rate / S)
            self.at(int(at), lambda: self.ask(self.random.choices(range(nodes), self.weights)[0]))
        self.list_changes(START + 300 * MS, of.young, late)

    def at(self, when: int, what: Callable[..., None], *given: object) -> None:
        heapq.heappush(self.queue, (when, next(self.order), lambda: what(*given)))

    def list_changes(self, when: int, servers: list[EndpointInfo], late: float = 0.0) -> None:
        """Each node is told of it, one after another."""
        for slot in range(len(self.nodes)):
            self.at(when + slot + int(self.random.random() * late * S), self.tell, slot, servers)

    def begin(self, slot: int, servers: list[EndpointInfo]) -> World:
        """A node that knows nothing but its last list."""
        self.lives[slot] += 1
        told = replace(self.settings, replica_index=slot % self.settings.replicas)
        made = World(Router(told, 1000 * self.lives[slot] + slot), self.now)
        made.ids = 1_000_000 * (1000 * self.lives[slot] + slot)
        made.tell(EndpointListUpdate(UpdateKind.CACHED, 1, tuple(servers)))
        return made

    def restart(self, slot: int) -> None:
        self.nodes[slot] = self.begin(slot, [s for s in self.of.fleet if s.id not in self.gone])

    def tell(self, slot: int, servers: list[EndpointInfo]) -> None:
        node = self.nodes[slot]
        node.now = self.now
        node.tell(EndpointListUpdate(UpdateKind.DELTA, 2, tuple(servers)))

    def ask(self, slot: int) -> None:
        cls = int(self.random.random() < self.heavy)
        size = HEAVY if cls else 1.0
        node = self.nodes[slot]
        node.now = self.now
        number = node.ids + 1
        self.classes[number] = cls
        self.carry_out(
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

    def carry_out(self, slot: int, said: list[Action]) -> None:
        node = self.nodes[slot]
        for action in said:
            if not isinstance(action, SendAttempt):
                continue
            if action.endpoint_id in self.sent:
                self.sent[action.endpoint_id].append((self.now, self.classes[action.request_id]))
            kind, attempt = self.of.kinds[action.endpoint_id - 1], node.tries[action.request_id]
            if self.full and self.random.random() < 0.5:
                end = AttemptEnded(action.request_id, attempt, action.endpoint_id, Status.AT_CAPACITY, 1 * MS)
            elif kind == READ:
                end = AttemptEnded(
                    action.request_id, attempt, action.endpoint_id, Status.PREFILLED, self.pace[0]
                )
            else:
                _, first, last = self.pace
                self.later(
                    slot, node, first, StreamStarted(action.request_id, attempt, action.endpoint_id, first)
                )
                end = AttemptEnded(
                    action.request_id, attempt, action.endpoint_id, Status.OK, last, is_final=True
                )
            self.later(slot, node, end.latency_us, end)

    def later(self, slot: int, node: World, after: int, event: AttemptEnded | StreamStarted) -> None:
        def come() -> None:
            if self.nodes[slot] is node:  # a node that died hears nothing more
                node.now = self.now
                self.carry_out(slot, node.tell(event))

        self.at(self.now + after, come)

    def run(self) -> Service:
        while self.queue and self.queue[0][0] < START + self.of.cold_for:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        return self

    def flood(self, since: float, asks: int) -> None:
        """Every node is asked so often, spread over one window from then on (seconds after the start)."""
        for slot in range(len(self.nodes)):
            for k in range(asks):
                part = (k + self.random.random()) / asks
                self.at(START + int(since * S + part * self.of.window), self.ask, slot)

    def worst(self, number: int, allowed: Callable[[float], float] = lambda budget: budget) -> float:
        """The most of what the budget allows that any window has used, each send as the mean work of its
        class.
        """
        mean = 1 + MIX * (HEAVY - 1)
        weights = (1 / mean, HEAVY / mean)
        sends, used, work, end = self.sent[number], 0.0, 0.0, 0
        for since, cls in sends:
            while end < len(sends) and sends[end][0] < since + self.of.window:
                work += weights[sends[end][1]]
                end += 1
            used = max(used, work / allowed(self.of.budget(number, since)))
            work -= weights[cls]
        return used

    def kept(self) -> bool:
        """Whether no cold server was pushed over."""
        return all(self.worst(number) < 1 for number in self.sent)


@pytest.fixture(params=[(40, 1), (200, 1), (200, 2)], ids=["40 nodes", "200 nodes", "200 nodes, busy"])
def service(request: pytest.FixtureRequest) -> Service:
    nodes, busy = request.param
    return Service(nodes, rate=0.6 * busy * QUOTA)


def test_ordinary_load_keeps_within_the_budget_and_starves_no_cold_server(service: Service) -> None:
    assert service.run().kept()
    able = sum(ABLE[KINDS[number - 1]] for number in COLD) * (USUAL.cold_from + 1) / 2 * COLD_FOR / S
    sent = sum(map(len, service.sent.values()))
    assert sent >= (0.3 if len(service.nodes) == 40 else 0.04) * able, "work comes while they warm up"


def test_no_cold_server_takes_the_place_of_peers_that_are_gone(service: Service) -> None:
    gone = [replace(s, state=EndpointState.REMOVED) for s in BEFORE if s.id not in (2, 12)]
    service.gone = {s.id for s in gone}
    service.list_changes(START + 2 * S, gone)
    assert service.run().kept()


def test_all_peers_gone_leave_a_cold_server_its_own_part_and_no_more(service: Service) -> None:
    gone = [replace(s, state=EndpointState.REMOVED) for s in BEFORE]
    service.list_changes(START + 2 * S, gone)
    assert service.run().kept()
    assert sum(map(len, service.sent.values())) >= 10, "there is no one else to do it"


def test_nodes_restarted_in_mid_warm_up_start_no_new_budget(service: Service) -> None:
    for slot in range(len(service.nodes)):
        for wave in (2, 4, 6, 8):
            service.at(START + wave * S + 700 * MS * slot // len(service.nodes), service.restart, slot)
    assert service.run().kept()


def test_all_nodes_restarted_at_once_each_with_a_batch_start_no_new_budget(service: Service) -> None:
    for slot in range(len(service.nodes)):
        for wave in (2, 5, 8):
            service.at(START + wave * S, service.restart, slot)
            for _ in range(5):
                service.at(START + wave * S + 10 * MS, service.ask, slot)
    assert service.run().kept()


def test_a_batch_of_held_states_and_retries_at_every_node_finds_the_turns_only(service: Service) -> None:
    service.full = True  # half of all attempts are turned away, and tried again at once
    for slot in range(len(service.nodes)):
        for _ in range(20):
            service.at(START + 3 * S, service.ask, slot)
    assert service.run().kept()


def test_a_heavy_class_is_counted_by_its_weight(service: Service) -> None:
    service.at(START, setattr, service, "heavy", 0.9)
    assert service.run().kept()


def test_a_server_that_leaves_the_list_and_comes_back_with_its_old_start_keeps_its_used_turns() -> None:
    servers = [server(1, READ), server(2, WRITE), server(3, WRITE, started_at_us=START)]
    w = World(Router(replace(Service(1, rate=1.0).settings, tenants=()), 1), START)
    w.tell(EndpointListUpdate(UpdateKind.FULL, 1, tuple(servers)))
    used: list[int] = []
    for _ in range(20):
        number, said = w.ask(after=0 if used else 6 * S)
        used.append(
            only(
                SendAttempt,
                w.end(number, only(SendAttempt, said).endpoint_id, Status.PREFILLED, after=1 * MS),
            ).endpoint_id
        )
        for listed in (servers[:2], servers):
            w.tell(EndpointListUpdate(UpdateKind.FULL, 2, tuple(listed)))
    assert used.count(3) == 1, "one turn, one send"


@pytest.mark.parametrize("since", [1, 4, 8])
def test_a_flood_at_every_node_after_a_lull_finds_no_turns_saved_up(since: int) -> None:
    service = Service(40, rate=0.05 * QUOTA)
    for slot in range(40):
        for k in range(40):
            service.at(START + since * S + 50 * MS * k + slot, service.ask, slot)
    assert service.run().kept()
    assert sum(map(len, service.sent.values())) >= 10


def test_a_turn_at_a_cold_server_is_taken_where_the_role_is_jammed() -> None:
    reader, writer = server(1, READ), server(11, WRITE)
    for at, kind in ((START, SendAttempt), (0, Reject)):
        w = World(Router(Service(1, rate=1.0).settings, 1), START)
        w.tell(EndpointListUpdate(UpdateKind.CACHED, 1, (replace(reader, started_at_us=at), writer)))
        w.now += 5 * S
        role = w.router.state.statistics[Role.PREFILL, False]
        role.rejection_share, role.observed_at_us = 1.0, w.now  # what it tried was turned away at once
        only(kind, w.ask()[1])


# The same rule as all processes together keep it: beyond the budget of N calls, 2 x root of N + 2 are chance.

LARGE = Deployment(
    kinds=(READ,) * 2 + (WRITE,) * 4, able=(200.0, 100.0, 0.0), multiple=1.5, cold_from=0.5, told=1.0
)
QUICK = (10 * MS, 10 * MS, 30 * MS)


def floods(service: Service) -> Service:
    """After lulls as long as a turn is good for, more requests than there are turns."""
    turns = service.of.budget(service.of.cold[0], START + service.of.cold_for)
    for since in (1.0, 8.0):
        service.flood(since, math.ceil(1.2 * turns / len(service.nodes)) + 3)
    return service


def large(nodes: int, seed: int = 1, of: Deployment = LARGE, rate: float = 3.0, **more: Any) -> Service:
    return floods(Service(nodes, rate, of, seed, pace=QUICK, **more))


TROUBLES: dict[str, Callable[[int], Service]] = {
    "uneven traffic": lambda nodes: large(nodes, rate=0.3 * LARGE.quota, uneven=True),
    "lists late by up to 2 s": lambda nodes: large(nodes, late=2.0),
    "half as many processes again as told": lambda nodes: large(nodes, replicas=max(nodes * 2 // 3, 1)),
    "quotas half as much again as the fleet can do": lambda nodes: large(nodes, of=replace(LARGE, told=1.5)),
    "two small engines": lambda nodes: large(
        nodes, of=replace(LARGE, kinds=(READ, WRITE), able=(2.0, 1.5, 0.0))
    ),
}


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_all_processes_together_leave_a_cold_server_its_budget_and_chance(trouble: str, nodes: int) -> None:
    service = TROUBLES[trouble](nodes)
    for slot in service.random.sample(
        range(nodes), math.ceil(nodes / 3)
    ):  # They know nothing of their last life.
        for since in (1.5, 8.5):
            service.at(START + int(since * S), service.restart, slot)
    service.run()
    assert max(service.worst(number, lambda n: n + 2 * math.sqrt(n) + 2) for number in service.sent) < 1
    assert any(service.sent.values())


@pytest.mark.parametrize(("full", "heavy"), [(True, MIX), (False, 0.9)], ids=["retries", "a heavy class"])
def test_all_processes_together_keep_the_budget_through_retries_and_heavy_requests(
    full: bool, heavy: float
) -> None:
    service = large(30, 2)
    service.full = full
    service.at(START, setattr, service, "heavy", heavy)
    assert max(service.run().worst(number, lambda n: n + 2 * math.sqrt(n) + 2) for number in service.sent) < 1


def turns(nodes: int) -> Callable[[float], float]:
    """What `routing/slow_start.py` argues for a window: its own turns, a third of the budget (and the ramp's
    growth meanwhile); of the window before, one for each process, a third at most; chance in the mix of
    classes.
    """
    return lambda n: 1.07 * n / 3 + min(n / 3, nodes) + math.sqrt(n) + 2


@pytest.mark.parametrize("nodes", [1, 2, 20, 30, 200])
@pytest.mark.parametrize("loosened", ["", "a slot for two", "a turn for two"])
def test_a_flood_after_a_lull_finds_the_turns_argued_and_more_only_where_they_are_loosened(
    loosened: str, nodes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    if loosened == "a turn for two":
        monkeypatch.setattr(slow_start, "SLOT_RATE_SHARE", 2 / 3)
    service = large(2 * nodes, replicas=nodes) if loosened == "a slot for two" else large(nodes)
    worst = max(service.run().worst(number, turns(nodes)) for number in service.sent)
    assert (worst > 1) == bool(loosened)
