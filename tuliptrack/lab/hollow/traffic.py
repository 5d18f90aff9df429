"""Synthetic traffic of one node: requests and the outcomes of attempts, with their times, are drawn at random
and given to the router as events.

The same source drives a router in virtual time (`Playback`, for measurements and tests) and in real time
(`node.py`).
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

__all__ = ["Playback", "Rates", "RouterProtocol", "SyntheticTraffic"]

_S = 1_000_000


class RouterProtocol(Protocol):
    """Interface of the decision module, and of modules that replace it."""

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process events that occur at the same time; return the actions to take."""
        ...


@dataclass(frozen=True, slots=True)
class Rates:
    """Rate and kind of the requests to one node, and how engines respond. Times are microseconds."""

    per_s: float = 7.1
    """Requests per second."""
    answer_tokens: float = 276.0
    """Mean length of a response."""
    token_us: int = 70_000
    prefixes: int = 5_000
    tenants: int = 450
    models: int = 1
    reset_share: float = 0.005
    """Share of the attempts whose connection breaks."""


class SyntheticTraffic:
    """Requests and responses drawn from one seed. `role_of` returns the role of an engine."""

    def __init__(self, rates: Rates, seed: int, role_of: Callable[[int], Role]) -> None:
        self.rates, self.random, self.role_of = rates, Random(seed), role_of
        self._ids = itertools.count(1)
        self._attempts: dict[int, int] = {}

    def pause(self) -> int:
        """Draw the microseconds until the next request."""
        return int(self.random.expovariate(self.rates.per_s) * _S)

    def request(self) -> Request:
        """Draw a new request. Some prefixes and tenants are drawn far more often than others."""
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
        """Draw the outcome of an attempt: its events, each with its delay in microseconds from the send."""
        attempt = self._attempts[send.request_id] = self._attempts[send.request_id] + 1
        random = self.random
        load = (float(random.randrange(6)), random.random() * 0.4, random.random())
        if random.random() < self.rates.reset_share:
            delay_us = int(random.expovariate(1 / 50_000))
            yield delay_us, AttemptEnded(send.request_id, attempt, send.endpoint_id, Status.RESET, delay_us)
        elif self.role_of(send.endpoint_id) is Role.PREFILL:
            elapsed_us = 40_000 + int(random.expovariate(1 / 60_000))
            yield (
                elapsed_us,
                AttemptEnded(
                    send.request_id,
                    attempt,
                    send.endpoint_id,
                    Status.PREFILLED,
                    elapsed_us,
                    cached_tokens=1_800,
                    load_report=load,
                ),
            )
        else:
            first_us = 20_000 + int(random.expovariate(1 / 20_000))
            last_us = first_us + int(random.expovariate(1 / self.rates.answer_tokens) * self.rates.token_us)
            yield first_us, StreamStarted(send.request_id, attempt, send.endpoint_id, first_us)
            yield (
                last_us,
                AttemptEnded(
                    send.request_id,
                    attempt,
                    send.endpoint_id,
                    Status.OK,
                    last_us,
                    is_final=True,
                    load_report=load,
                ),
            )

    def forget(self, request: int) -> None:
        """Drop the state of a request after its last event."""
        self._attempts.pop(request, None)


Watch = Callable[[int, Event, list[Action]], None]


class Playback:
    """Drives one router with synthetic traffic in virtual time. `watch` is called after each event."""

    def __init__(self, router: RouterProtocol, traffic: SyntheticTraffic, start: int = 1_000 * _S) -> None:
        self.router, self.traffic, self.now = router, traffic, start
        self.call: Callable[[int, Event], list[Action]] = lambda now, event: router.handle(now, [event])
        """Calls the router; replace it to measure the calls."""
        self.watch: Watch = lambda now, event, actions: None
        self._queue: list[tuple[int, int, Event]] = []
        self._order = itertools.count()
        self._remaining = 0

    def tell(self, event: Event) -> list[Action]:
        """Give the router one event now; schedule the responses to the attempts that it sends."""
        actions = self.call(self.now, event)
        self.watch(self.now, event, actions)
        for action in actions:
            if isinstance(action, SendAttempt):
                for delay_us, answer in self.traffic.answers(action):
                    self._schedule(self.now + delay_us, answer)
        return actions

    def play(self, requests: int) -> None:
        """Play so many requests; those that are still open then stay open."""
        self._remaining = requests
        self._schedule(self.now + self.traffic.pause(), self.traffic.request())
        while self._remaining:
            self.now, _, event = heapq.heappop(self._queue)
            if isinstance(event, Request):
                self._remaining -= 1
                self._schedule(self.now + self.traffic.pause(), self.traffic.request())
            self.tell(event)

    def at(self, delay_us: int, event: Event) -> None:
        """Schedule an additional event, `delay_us` microseconds from now."""
        self._schedule(self.now + delay_us, event)

    def _schedule(self, time_us: int, event: Event) -> None:
        heapq.heappush(self._queue, (time_us, next(self._order), event))
