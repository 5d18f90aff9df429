"""What a node costs by the engines that it is told of, and by what it remembers."""

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
from tuliptrack.lab.hollow.traffic import Decides, DrawnTraffic, Playback, Rates
from tuliptrack.relay.endpoint_directory import EndpointDirectory

__all__ = ["Maker", "NodeCosts", "measure_decisions", "measure_lists", "measure_memory", "playback"]

Maker = Callable[[Settings, int], Any]
"""Makes a router from its settings and seed."""

REPLICAS = 350
WARM_UP, COUNTED = (
    400,
    600,
)  # requests before and in a measurement: a minute of traffic at 7.1 a second, and more
TRACED = 20  # requests whose operations are counted
IDLE_US = 13_000_000  # microseconds that a node keeps an idle connection to an engine
ZONES = 8


@dataclass(slots=True)
class NodeCosts:
    """Points of each series, by name."""

    points: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))

    def note(self, name: str, size: float, value: float) -> None:
        """One more point."""
        self.points[name].append((size, round(value, 6)))

    def series(self, unit: Callable[[str], str], by: str) -> Iterable[Series]:
        """All of them; `unit` of each name."""
        for name, points in self.points.items():
            yield Series(name, unit(name), by, tuple(points))


def playback(make: Maker, engines: int, rates: Rates | None = None, seed: int = 1) -> Playback:
    """A router that was told of so many engines, under drawn traffic."""
    population = Population(engines, zones=min(ZONES, engines))
    router: Decides = make(node_settings(REPLICAS), seed)
    made = Playback(
        router, DrawnTraffic(rates or Rates(), seed, lambda server: ROLES[population.kind(server - 1)])
    )
    made.tell(EndpointListUpdate(UpdateKind.FULL, 1, population.servers()))
    return made


@dataclass(slots=True)
class _Timing:
    """Times of a playback's events, in microseconds; and which connections it would have opened."""

    by_kind: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    kept_until: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    """By engine, the moments until which its idle connections are kept."""
    opened: int = 0
    sent: int = 0

    def call(self, router: Decides) -> Callable[[int, Event], list[Action]]:
        """`Playback.call` that takes the time of each event."""

        def timed(now: int, event: Event) -> list[Action]:
            actions: list[Action] = []
            took = timed_us(lambda: actions.extend(router.handle(now, [event])))
            status = event.status.value if isinstance(event, AttemptEnded) else type(event).__name__.lower()
            self.by_kind[status].append(took)
            self._connections(now, event, actions)
            return actions

        return timed

    def _connections(self, now: int, event: Event, actions: list[Action]) -> None:
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
        """Every event's time, the shortest first."""
        return sorted(time for times in self.by_kind.values() for time in times)


def measure_decisions(
    make: Maker, sizes: Iterable[int], clock: Yardstick, costs: NodeCosts, prefix: str = ""
) -> None:
    """Times of decisions by engines, in yardsticks; operations of a request, and the share of new
    connections.
    """
    for engines in sizes:
        one = playback(make, engines)
        one.play(WARM_UP)
        yardstick = clock.now_us()
        timing = _Timing()
        one.call = timing.call(one.router)
        one.play(COUNTED)
        times = timing.all
        costs.note(f"{prefix}decision.request", engines, sum(times) / COUNTED / yardstick)
        for kind in ("request", "read", "started", "ok"):
            costs.note(f"{prefix}decision.{kind}_event", engines, median(timing.by_kind[kind]) / yardstick)
        costs.note(f"{prefix}decision.p99", engines, times[len(times) * 99 // 100] / yardstick)
        costs.note(f"{prefix}decision.operations", engines, request_operations(one))
        costs.note(f"{prefix}connection.new_share", engines, timing.opened / timing.sent)


def request_operations(one: Playback, requests: int = TRACED) -> float:
    """Mean operations of all events that come while so many requests do."""
    counted: list[int] = []
    handle = one.router.handle

    def call(now: int, event: Event) -> list[Action]:
        actions: list[Action] = []
        counted.append(count_operations(lambda: actions.extend(handle(now, [event]))))
        return actions

    one.call = call
    one.play(requests)
    return sum(counted) / requests


class _Listing:
    """A node's list as discovery brings it: bytes in, the router told."""

    def __init__(self, make: Maker, engines: int) -> None:
        self.population = Population(engines, zones=min(ZONES, engines))
        self.playback = playback(make, engines)
        self.directory = EndpointDirectory(KINDS, tuple(f"zone-{z}" for z in range(ZONES)))
        self.revision = 0
        self.clock = self.playback.now

    def text(self, members: list[dict[str, Any]], complete: bool = False) -> bytes:
        """An answer of discovery's agent."""
        self.revision += 1
        return json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()

    def take(self, text: bytes) -> EndpointListUpdate:
        """Parse it and bring the list up to it."""
        change = self.directory.apply(json.loads(text))
        assert change
        return change

    def tell(self, change: EndpointListUpdate) -> None:
        """Tell the router."""
        self.clock += 1_000
        self.playback.router.handle(self.clock, [change])

    def both(self, text: bytes) -> None:
        """All that a node does with an answer, but for its sockets."""
        self.tell(self.take(text))

    def drain(self, number: int) -> bytes:
        """One engine begins to drain, or is ready again."""
        phase = "Terminating" if self.revision % 2 else "Ready"
        return self.text([self.population.member(number, phase=phase)])


def measure_lists(
    make: Maker, sizes: Iterable[int], clock: Yardstick, costs: NodeCosts, prefix: str = ""
) -> None:
    """What lists and changes cost by engines: bytes, yardsticks, operations."""
    for engines in sizes:
        one = _Listing(make, engines)
        yardstick = clock.now_us()
        members = one.population.members()
        whole = one.text(members, complete=True)
        costs.note(f"{prefix}list.bytes", engines, len(whole))
        costs.note(f"{prefix}change.bytes", engines, len(one.drain(0)))
        costs.note(f"{prefix}list.first", engines, timed_us(partial(one.both, whole)) / yardstick)
        one.playback.play(60)
        again = [one.text(members, complete=True) for _ in range(3)]
        equal = median([timed_us(partial(one.both, text)) for text in again])
        costs.note(f"{prefix}list.equal", engines, equal / yardstick)
        _measure_changes(one, yardstick, costs, prefix, engines)


def _measure_changes(one: _Listing, yardstick: float, costs: NodeCosts, prefix: str, engines: int) -> None:
    drains = iter([one.drain(4 * (n // 2) + 1) for n in range(40)])
    costs.note(f"{prefix}change.one", engines, median_us(lambda: one.both(next(drains)), 19) / yardstick)
    changes = iter([one.take(text) for text in drains])
    costs.note(f"{prefix}change.handle", engines, median_us(lambda: one.tell(next(changes)), 19) / yardstick)
    costs.note(f"{prefix}change.operations", engines, count_operations(lambda: one.tell(next(changes))))
    zone = one.population.in_zone(3)
    gone = one.text([one.population.member(n, phase="Gone") for n in zone])
    costs.note(f"{prefix}zone.at_once", engines, timed_us(lambda: one.both(gone)) / yardstick)
    back = one.text([one.population.member(n) for n in zone])
    one.both(back)
    singly = [one.text([one.population.member(n, phase="Terminating")]) for n in zone]
    took = sum(timed_us(partial(one.both, text)) for text in singly)
    costs.note(f"{prefix}zone.one_by_one", engines, took / yardstick)
    whole = one.text(one.population.members(), complete=True)
    change = one.take(whole)
    costs.note(f"{prefix}list.operations", engines, count_operations(lambda: one.tell(change)))


def _traced(work: Callable[[], object]) -> tuple[float, object]:
    """Bytes that are kept after some work, and what it returned, so that it is not let go."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = work()
        gc.collect()
        return float(tracemalloc.get_traced_memory()[0]), kept
    finally:
        tracemalloc.stop()


def measure_memory(make: Maker, sizes: Iterable[int], costs: NodeCosts) -> None:
    """Bytes of a router and its list by engines, right after the list and after some minutes of traffic."""
    for engines in sizes:
        kept, listing = _traced(partial(_listed, make, engines))
        costs.note("memory.listed", engines, kept)
        del listing
        kept, played = _traced(partial(_played, make, engines, Rates(), 1_000))
        costs.note("memory.used", engines, kept)
        del played


def measure_remembered(
    make: Maker, engines: int, costs: dict[str, NodeCosts], sizes: dict[str, Iterable[int]]
) -> None:
    """Bytes by streams at once, by tenants and by prefixes, at one size of the fleet."""
    for streams in sizes["streams"]:
        rates = Rates(per_s=streams / 19.3)
        costs["streams"].note(
            "memory.by_streams", streams, _traced(partial(_played, make, engines, rates, 600))[0]
        )
    for tenants in sizes["tenants"]:
        rates = Rates(tenants=tenants)
        costs["tenants"].note(
            "memory.by_tenants", tenants, _traced(partial(_played, make, engines, rates, 600))[0]
        )
    for prefixes in sizes["prefixes"]:
        rates = Rates(prefixes=prefixes)
        costs["prefixes"].note(
            "memory.by_prefixes", prefixes, _traced(partial(_played, make, engines, rates, 600))[0]
        )


def _listed(make: Maker, engines: int) -> _Listing:
    made = _Listing(make, engines)
    made.both(made.text(made.population.members(), complete=True))
    return made


def _played(make: Maker, engines: int, rates: Rates, requests: int) -> Playback:
    one = playback(make, engines, rates)
    one.play(requests)
    return one
