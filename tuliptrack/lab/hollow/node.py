"""A hollow node: the platform node's real discovery client, list and decisions in real time; clients and
engines are drawn.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from tuliptrack.interface import (
    AttemptEnded,
    Event,
    Request,
    Role,
    SendAttempt,
    SetTimer,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from tuliptrack.lab.hollow.population import KINDS, ROLES, node_settings
from tuliptrack.lab.hollow.traffic import DrawnTraffic, Rates
from tuliptrack.relay.discovery import Discovery
from tuliptrack.relay.endpoint_directory import EndpointDirectory
from tuliptrack.routing.router import Router
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.loop_errors import log_fault

__all__ = ["HollowNode", "NodeReport"]

ZONES = tuple(f"zone-{n}" for n in range(64))


@dataclass(slots=True)
class NodeReport:
    """What one hollow node saw. Moments are seconds on the machine's monotonic clock."""

    slot: int
    taken: dict[int, float] = field(default_factory=dict)
    """By revision of the list, when this node had it."""
    longest_event_s: float = 0.0
    """Of processor time, as are the two below."""
    list_s: float = 0.0
    """Seconds spent on lists: parsed ones taken, the router told."""
    decision_s: float = 0.0
    """Seconds spent on events of requests."""
    requests: int = 0
    sends: int = 0
    refusals: int = 0
    cold_sends: list[tuple[int, float]] = field(default_factory=list)
    """Engine and moment of each send to one in slow start."""


class HollowNode:
    """`start`, then `stop`; between them it asks `agent` for the list and serves drawn requests."""

    def __init__(
        self, slot: int, replicas: int, agent: str, rates: Rates, seed: int, make: Callable[..., Any] = Router
    ) -> None:
        self.settings = node_settings(replicas, slot)
        self.router = make(self.settings, seed)
        self.directory = EndpointDirectory(KINDS, ZONES)
        self.traffic = DrawnTraffic(rates, seed, self._role_of)
        self.report = NodeReport(slot)
        self.source = Discovery(
            agent,
            lambda: max(self.directory.revision, 0),
            self._listed,
            self.settings.drain_grace_us,
            log_fault,
        )
        self._random = Random(seed)
        self._timers: set[asyncio.TimerHandle] = set()
        self._last: tuple[UpdateKind, int] | None = None

    def start(self) -> None:
        """Ask for the list, and let requests come."""
        self.source.start()
        self._later(self.traffic.pause(), self._arrive)

    async def stop(self) -> None:
        """End every call and timer."""
        for timer in self._timers:
            timer.cancel()
        await self.source.close()

    def _role_of(self, server: int) -> Role:
        endpoint = self.router.endpoints.get(server)
        return endpoint.role if endpoint else ROLES[0]

    def _listed(self, told: Any, first: bool) -> bool:
        """As the platform's node takes a list: see `relay/node.py`."""
        began = time.thread_time()
        change = self.directory.apply(told, is_new_agent=first)
        if change is None:
            return False
        known, self._last = self._last, (change.kind, change.version)
        if (known != self._last or first) and (change.kind is not UpdateKind.DELTA or change.endpoints):
            self._tell(change)
        took = time.thread_time() - began
        self.report.list_s += took
        self.report.longest_event_s = max(self.report.longest_event_s, took)
        self.report.taken.setdefault(self.directory.revision, time.monotonic())
        return True

    def _arrive(self) -> None:
        self._later(self.traffic.pause(), self._arrive)
        self.report.requests += 1
        self._decide(self.traffic.request())

    def _decide(self, event: Event) -> None:
        began = time.thread_time()
        self._tell(event)
        took = time.thread_time() - began
        self.report.decision_s += took
        self.report.longest_event_s = max(self.report.longest_event_s, took)

    def _tell(self, event: Event) -> None:
        now = now_us()
        for action in self.router.handle(now, [event]):
            if isinstance(action, SendAttempt):
                self._sent(now, action)
            elif isinstance(action, SetTimer):
                self._later(action.delay_us, self._decide, TimerFired(action.token))
            elif isinstance(event, Request | AttemptEnded | StreamStarted):
                self.report.refusals += type(action).__name__ == "Reject"

    def _sent(self, now: int, action: SendAttempt) -> None:
        self.report.sends += 1
        started = self.router.endpoints[action.endpoint_id].info.started_at_us
        if started and now < started + self.settings.slow_start_us:
            self.report.cold_sends.append((action.endpoint_id, now / 1e6))
        for late, answer in self.traffic.answers(action):
            self._later(late, self._decide, answer)

    def _later(self, late: int, act: Callable[..., None], *arguments: Any) -> None:
        def run() -> None:
            self._timers.discard(handle)
            act(*arguments)

        handle = asyncio.get_running_loop().call_later(late / 1e6, run)
        self._timers.add(handle)
