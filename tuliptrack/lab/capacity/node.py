"""Measures the costs of a node by the number of listed engines, and by the state that it keeps."""

from __future__ import annotations

import gc
import json
import tracemalloc
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from statistics import median
from typing import Any

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    EndpointListUpdate,
    Event,
    SendAttempt,
    Settings,
    UpdateKind,
)
from tuliptrack.lab.capacity.operations import count_operations
from tuliptrack.lab.capacity.results import Series
from tuliptrack.lab.capacity.yardstick import Yardstick, median_us, timed_us
from tuliptrack.lab.hollow.population import KINDS, ROLES, Population, node_settings
from tuliptrack.lab.hollow.traffic import Playback, Rates, RouterProtocol, SyntheticTraffic
from tuliptrack.relay.endpoint_directory import EndpointDirectory

__all__ = ["NodeCosts", "RouterFactory", "measure_decisions", "measure_lists", "measure_memory", "playback"]

RouterFactory = Callable[[Settings, int], Any]
"""Creates a router from its settings and seed."""

REPLICAS = 350
WARM_UP, COUNTED = (
    400,
    600,
)  # requests before and during a measurement, of traffic of 7.1 a second: about a minute, and more
TRACED = 20  # requests whose bytecode operations are counted
IDLE_US = 13_000_000  # microseconds that a node keeps an idle connection to an engine
ZONES = 8


@dataclass(slots=True)
class NodeCosts:
    """Points of each measured series, by its name."""

    points: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))

    def add_point(self, name: str, size: float, value: float) -> None:
        """Add a point to a series."""
        self.points[name].append((size, round(value, 6)))

    def series(self, unit: Callable[[str], str], by: str) -> Iterable[Series]:
        """Return all series; `unit` returns the unit of a series by its name."""
        for name, points in self.points.items():
            yield Series(name, unit(name), by, tuple(points))


def playback(make: RouterFactory, engines: int, rates: Rates | None = None, seed: int = 1) -> Playback:
    """Return the playback of synthetic traffic for a router that has a list of so many engines."""
    population = Population(engines, zones=min(ZONES, engines))
    router: RouterProtocol = make(node_settings(REPLICAS), seed)
    playback = Playback(
        router, SyntheticTraffic(rates or Rates(), seed, lambda server: ROLES[population.kind(server - 1)])
    )
    playback.tell(EndpointListUpdate(UpdateKind.FULL, 1, population.servers()))
    return playback


@dataclass(slots=True)
class _Timing:
    """Times of a playback's events in microseconds, and the number of connections that a node would open."""

    by_kind: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    kept_until: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    """For each engine, the times until which its idle connections are kept."""
    opened: int = 0
    sent: int = 0

    def call(self, router: RouterProtocol) -> Callable[[int, Event], list[Action]]:
        """Return a replacement of `Playback.call` that times each event."""

        def timed(now: int, event: Event) -> list[Action]:
            actions: list[Action] = []
            elapsed_us = timed_us(lambda: actions.extend(router.handle(now, [event])))
            status = event.status.value if isinstance(event, AttemptEnded) else type(event).__name__.lower()
            self.by_kind[status].append(elapsed_us)
            self._count_connections(now, event, actions)
            return actions

        return timed

    def _count_connections(self, now: int, event: Event, actions: list[Action]) -> None:
        if isinstance(event, AttemptEnded):
            self.kept_until[event.endpoint_id].append(now + IDLE_US)
        for action in actions:
            if isinstance(action, SendAttempt):
                kept = [until for until in self.kept_until[action.endpoint_id] if until > now]
                self.sent += 1
                self.opened += not kept
                self.kept_until[action.endpoint_id] = kept[:-1]

    @property
    def all(self) -> list[float]:
        """The times of all events in ascending order."""
        return sorted(time for times in self.by_kind.values() for time in times)


def measure_decisions(
    make: RouterFactory, sizes: Iterable[int], clock: Yardstick, costs: NodeCosts, prefix: str = ""
) -> None:
    """Measure by the number of engines: times of decisions in yardsticks, bytecode operations of a request,
    and the share of attempts that open a connection.
    """
    for engines in sizes:
        played = playback(make, engines)
        played.play(WARM_UP)
        yardstick = clock.now_us()
        timing = _Timing()
        played.call = timing.call(played.router)
        played.play(COUNTED)
        times = timing.all
        costs.add_point(f"{prefix}decision.request", engines, sum(times) / COUNTED / yardstick)
        for kind in ("request", "read", "started", "ok"):
            costs.add_point(
                f"{prefix}decision.{kind}_event", engines, median(timing.by_kind[kind]) / yardstick
            )
        costs.add_point(f"{prefix}decision.p99", engines, times[len(times) * 99 // 100] / yardstick)
        costs.add_point(f"{prefix}decision.operations", engines, request_operations(played))
        costs.add_point(f"{prefix}connection.new_share", engines, timing.opened / timing.sent)


def request_operations(played: Playback, requests: int = TRACED) -> float:
    """Return the operations of all events that occur while so many requests arrive, divided by that number."""
    counted: list[int] = []
    handle = played.router.handle

    def call(now: int, event: Event) -> list[Action]:
        actions: list[Action] = []
        counted.append(count_operations(lambda: actions.extend(handle(now, [event]))))
        return actions

    played.call = call
    played.play(requests)
    return sum(counted) / requests


class _ListedNode:
    """A node's endpoint directory and router, fed with responses of discovery as bytes."""

    def __init__(self, make: RouterFactory, engines: int) -> None:
        self.population = Population(engines, zones=min(ZONES, engines))
        self.playback = playback(make, engines)
        self.directory = EndpointDirectory(KINDS, tuple(f"zone-{z}" for z in range(ZONES)))
        self.revision = 0
        self.clock = self.playback.now

    def response(self, members: list[dict[str, Any]], complete: bool = False) -> bytes:
        """Return the next response of discovery's agent."""
        self.revision += 1
        return json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()

    def apply(self, response: bytes) -> EndpointListUpdate:
        """Parse a response and apply it to the directory; return the change for the router."""
        change = self.directory.apply(json.loads(response))
        assert change
        return change

    def notify_router(self, change: EndpointListUpdate) -> None:
        """Pass a change to the router."""
        self.clock += 1_000
        self.playback.router.handle(self.clock, [change])

    def process_response(self, response: bytes) -> None:
        """Do all that a node does with a response, except for its sockets."""
        self.notify_router(self.apply(response))

    def drain(self, number: int) -> bytes:
        """Return a response by which one engine begins to drain, or is ready again."""
        phase = "Terminating" if self.revision % 2 else "Ready"
        return self.response([self.population.member(number, phase=phase)])


def measure_lists(
    make: RouterFactory, sizes: Iterable[int], clock: Yardstick, costs: NodeCosts, prefix: str = ""
) -> None:
    """Measure lists and their changes by the number of engines: bytes, times in yardsticks, operations."""
    for engines in sizes:
        node = _ListedNode(make, engines)
        yardstick = clock.now_us()
        members = node.population.members()
        whole = node.response(members, complete=True)
        costs.add_point(f"{prefix}list.bytes", engines, len(whole))
        costs.add_point(f"{prefix}change.bytes", engines, len(node.drain(0)))
        costs.add_point(
            f"{prefix}list.first", engines, timed_us(partial(node.process_response, whole)) / yardstick
        )
        node.playback.play(60)
        again = [node.response(members, complete=True) for _ in range(3)]
        equal = median([timed_us(partial(node.process_response, response)) for response in again])
        costs.add_point(f"{prefix}list.equal", engines, equal / yardstick)
        _measure_changes(node, yardstick, costs, prefix, engines)


def _measure_changes(
    node: _ListedNode, yardstick: float, costs: NodeCosts, prefix: str, engines: int
) -> None:
    drains = iter([node.drain(4 * (n // 2) + 1) for n in range(40)])
    costs.add_point(
        f"{prefix}change.one", engines, median_us(lambda: node.process_response(next(drains)), 19) / yardstick
    )
    changes = iter([node.apply(response) for response in drains])
    costs.add_point(
        f"{prefix}change.handle",
        engines,
        median_us(lambda: node.notify_router(next(changes)), 19) / yardstick,
    )
    costs.add_point(
        f"{prefix}change.operations", engines, count_operations(lambda: node.notify_router(next(changes)))
    )
    zone = node.population.in_zone(3)
    gone = node.response([node.population.member(n, phase="Gone") for n in zone])
    costs.add_point(
        f"{prefix}zone.at_once", engines, timed_us(lambda: node.process_response(gone)) / yardstick
    )
    back = node.response([node.population.member(n) for n in zone])
    node.process_response(back)
    singly = [node.response([node.population.member(n, phase="Terminating")]) for n in zone]
    elapsed_us = sum(timed_us(partial(node.process_response, response)) for response in singly)
    costs.add_point(f"{prefix}zone.one_by_one", engines, elapsed_us / yardstick)
    whole = node.response(node.population.members(), complete=True)
    change = node.apply(whole)
    costs.add_point(f"{prefix}list.operations", engines, count_operations(lambda: node.notify_router(change)))


def _traced(work: Callable[[], object]) -> tuple[float, object]:
    """Return the bytes allocated by `work` that remain, and its result, which keeps them alive."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = work()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]), kept
    finally:
        tracemalloc.stop()


def measure_memory(make: RouterFactory, sizes: Iterable[int], costs: NodeCosts) -> None:
    """Measure the bytes of a router and its list by the number of engines, both right after the list and after
    some minutes of traffic.
    """
    for engines in sizes:
        kept, listing = _traced(partial(_create_listed, make, engines))
        costs.add_point("memory.listed", engines, kept)
        del listing
        kept, played = _traced(partial(_create_played, make, engines, Rates(), 1_000))
        costs.add_point("memory.used", engines, kept)
        del played


def measure_kept_state(
    make: RouterFactory, engines: int, costs: dict[str, NodeCosts], sizes: dict[str, Iterable[int]]
) -> None:
    """Measure the bytes by concurrent streams, by tenants and by prefixes, at one size of the fleet."""
    for streams in sizes["streams"]:
        rates = Rates(per_s=streams / 19.3)
        costs["streams"].add_point(
            "memory.by_streams", streams, _traced(partial(_create_played, make, engines, rates, 600))[0]
        )
    for tenants in sizes["tenants"]:
        rates = Rates(tenants=tenants)
        costs["tenants"].add_point(
            "memory.by_tenants", tenants, _traced(partial(_create_played, make, engines, rates, 600))[0]
        )
    for prefixes in sizes["prefixes"]:
        rates = Rates(prefixes=prefixes)
        costs["prefixes"].add_point(
            "memory.by_prefixes", prefixes, _traced(partial(_create_played, make, engines, rates, 600))[0]
        )


def _create_listed(make: RouterFactory, engines: int) -> _ListedNode:
    node = _ListedNode(make, engines)
    node.process_response(node.response(node.population.members(), complete=True))
    return node


def _create_played(make: RouterFactory, engines: int, rates: Rates, requests: int) -> Playback:
    played = playback(make, engines, rates)
    played.play(requests)
    return played
