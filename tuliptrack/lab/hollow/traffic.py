"""Drawn traffic of one node: requests come, attempts are answered after drawn times, and the router hears of
it.

The same source drives a router on a clock of its own (`Playback`, for measurements and tests) and in real
time (`node.py`).
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Protocol

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    Event,
    Request,
    Role,
    SendAttempt,
    Status,
    StreamStarted,
)

__all__ = ["Decides", "DrawnTraffic", "Playback", "Rates"]

_S = 1_000_000


class Decides(Protocol):
    """The decision module, or one in its place."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment; return what to do."""
        ...


@dataclass(frozen=True, slots=True)
class Rates:
    """What comes to one node, and how engines answer. Times are microseconds."""

    per_s: float = 7.1
    """Requests a second."""
    answer_tokens: float = 276.0
    """Mean length of an answer."""
    token_us: int = 70_000
    prefixes: int = 5_000
    tenants: int = 450
    models: int = 1
    reset_share: float = 0.005
    """Share of the attempts whose connection breaks."""


class DrawnTraffic:
    """Requests and answers drawn from one seed. `role_of` tells what an engine does."""

    def __init__(self, rates: Rates, seed: int, role_of: Callable[[int], Role]) -> None:
        self.rates, self.random, self.role_of = rates, Random(seed), role_of
        self._ids = itertools.count(1)
        self._attempts: dict[int, int] = {}

    def pause(self) -> int:
        """Microseconds to the next request."""
        return int(self.random.expovariate(self.rates.per_s) * _S)

    def request(self) -> Request:
        """A new request: some prefixes and tenants are asked for far more often than others."""
        number = next(self._ids)
        self._attempts[number] = -1
        prefix = 1 + int(self.rates.prefixes * self.random.random() ** 3)
        return Request(
            number,
            int(self.random.random() < 0.2),
            5 * _S,
            2_000.0 + self.random.expovariate(1 / 1_500.0),
            1_800.0,
            2 * self.rates.answer_tokens,
            self.random.getrandbits(40),
            prefix,
            int(self.rates.tenants * self.random.random() ** 2),
        )

    def answers(self, send: SendAttempt) -> Iterator[tuple[int, Event]]:
        """What comes of an attempt: events, and the microseconds after which each comes."""
        attempt = self._attempts[send.request_id] = self._attempts[send.request_id] + 1
        chance = self.random
        load = (float(chance.randrange(6)), chance.random() * 0.4, chance.random())
        if chance.random() < self.rates.reset_share:
            late = int(chance.expovariate(1 / 50_000))
            yield late, AttemptEnded(send.request_id, attempt, send.endpoint_id, Status.RESET, late)
        elif self.role_of(send.endpoint_id) is Role.PREFILL:
            took = 40_000 + int(chance.expovariate(1 / 60_000))
            yield (
                took,
                AttemptEnded(
                    send.request_id,
                    attempt,
                    send.endpoint_id,
                    Status.PREFILLED,
                    took,
                    cached_tokens=1_800,
                    load_report=load,
                ),
            )
        else:
            first = 20_000 + int(chance.expovariate(1 / 20_000))
            whole = first + int(chance.expovariate(1 / self.rates.answer_tokens) * self.rates.token_us)
            yield first, StreamStarted(send.request_id, attempt, send.endpoint_id, first)
            yield (
                whole,
                AttemptEnded(
                    send.request_id,
                    attempt,
                    send.endpoint_id,
                    Status.OK,
                    whole,
                    is_final=True,
                    load_report=load,
                ),
            )

    def forget(self, request: int) -> None:
        """Its last event has come."""
        self._attempts.pop(request, None)


Watch = Callable[[int, Event, list[Action]], None]


class Playback:
    """One router under drawn traffic, on a clock of its own. `watch` is called after each event."""

    def __init__(self, router: Decides, traffic: DrawnTraffic, start: int = 1_000 * _S) -> None:
        self.router, self.traffic, self.now = router, traffic, start
        self.call: Callable[[int, Event], list[Action]] = lambda now, event: router.handle(now, [event])
        """How the router is asked; replace it to measure."""
        self.watch: Watch = lambda now, event, actions: None
        self._queue: list[tuple[int, int, Event]] = []
        self._order = itertools.count()
        self._left = 0

    def tell(self, event: Event) -> list[Action]:
        """One event, now."""
        actions = self.call(self.now, event)
        self.watch(self.now, event, actions)
        for action in actions:
            if isinstance(action, SendAttempt):
                for late, answer in self.traffic.answers(action):
                    self._at(self.now + late, answer)
        return actions

    def play(self, requests: int) -> None:
        """So many requests; what is still open then stays open."""
        self._left = requests
        self._at(self.now + self.traffic.pause(), self.traffic.request())
        while self._left:
            self.now, _, event = heapq.heappop(self._queue)
            if isinstance(event, Request):
                self._left -= 1
                self._at(self.now + self.traffic.pause(), self.traffic.request())
            self.tell(event)

    def at(self, late: int, event: Event) -> None:
        """An event of the test's own, so many microseconds from now."""
        self._at(self.now + late, event)

    def _at(self, at: int, event: Event) -> None:
        heapq.heappush(self._queue, (at, next(self._order), event))
