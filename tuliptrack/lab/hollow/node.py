"""A hollow node: the real discovery client, endpoint list and decisions of the platform's node, in real time,
with simulated clients and engines.
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
from tuliptrack.lab.hollow.traffic import Rates, SyntheticTraffic
from tuliptrack.relay.discovery import Discovery
from tuliptrack.relay.endpoint_directory import EndpointDirectory
from tuliptrack.routing.router import Router
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.loop_errors import log_fault

__all__ = ["HollowNode", "NodeReport"]

ZONES = tuple(f"zone-{n}" for n in range(64))


@dataclass(slots=True)
class NodeReport:
    """Measurements of one hollow node. Points in time are seconds on the machine's monotonic clock."""

    slot: int
    taken: dict[int, float] = field(default_factory=dict)
    """When this node had each revision of the list."""
    longest_event_s: float = 0.0
    """Processor time, as are `list_s` and `decision_s`."""
    list_s: float = 0.0
    """Seconds spent applying parsed lists and passing them to the router."""
    decision_s: float = 0.0
    """Seconds spent on all other events: requests, outcomes of attempts and timers."""
    requests: int = 0
    sends: int = 0
    refusals: int = 0
    cold_sends: list[tuple[int, float]] = field(default_factory=list)
    """Engine and time of each send to an engine in slow start."""


class HollowNode:
    """Between `start` and `stop`, fetches the list from `agent` and decides on synthetic requests."""

    def __init__(
        self, slot: int, replicas: int, agent: str, rates: Rates, seed: int, make: Callable[..., Any] = Router
    ) -> None:
        self.settings = node_settings(replicas, slot)
        self.router = make(self.settings, seed)
        self.directory = EndpointDirectory(KINDS, ZONES)
        self.traffic = SyntheticTraffic(rates, seed, self._role_of)
        self.report = NodeReport(slot)
        self.source = Discovery(
            agent,
            lambda: max(self.directory.revision, 0),
            self._apply_list,
            self.settings.drain_grace_us,
            log_fault,
        )
        self._random = Random(seed)
        self._timers: set[asyncio.TimerHandle] = set()
        self._last_update: tuple[UpdateKind, int] | None = None

    def start(self) -> None:
        """Start the discovery client and the synthetic requests."""
        self.source.start()
        self._schedule(self.traffic.pause(), self._on_request)

    async def stop(self) -> None:
        """Cancel all timers and close the discovery client."""
        for timer in self._timers:
            timer.cancel()
        await self.source.close()

    def _role_of(self, server: int) -> Role:
        endpoint = self.router.endpoints.get(server)
        return endpoint.role if endpoint else ROLES[0]

    def _apply_list(self, parsed: Any, first: bool) -> bool:
        """Apply a list as the platform's node does: see `relay/node.py`."""
        began = time.thread_time()
        change = self.directory.apply(parsed, is_new_agent=first)
        if change is None:
            return False
        previous, self._last_update = self._last_update, (change.kind, change.version)
        if (previous != self._last_update or first) and (
            change.kind is not UpdateKind.DELTA or change.endpoints
        ):
            self._handle(change)
        took = time.thread_time() - began
        self.report.list_s += took
        self.report.longest_event_s = max(self.report.longest_event_s, took)
        self.report.taken.setdefault(self.directory.revision, time.monotonic())
        return True

    def _on_request(self) -> None:
        self._schedule(self.traffic.pause(), self._on_request)
        self.report.requests += 1
        self._decide(self.traffic.request())

    def _decide(self, event: Event) -> None:
        began = time.thread_time()
        self._handle(event)
        took = time.thread_time() - began
        self.report.decision_s += took
        self.report.longest_event_s = max(self.report.longest_event_s, took)

    def _handle(self, event: Event) -> None:
        now = now_us()
        for action in self.router.handle(now, [event]):
            if isinstance(action, SendAttempt):
                self._start_attempt(now, action)
            elif isinstance(action, SetTimer):
                self._schedule(action.delay_us, self._decide, TimerFired(action.token))
            elif isinstance(event, Request | AttemptEnded | StreamStarted):
                self.report.refusals += type(action).__name__ == "Reject"

    def _start_attempt(self, now: int, action: SendAttempt) -> None:
        self.report.sends += 1
        started = self.router.endpoints[action.endpoint_id].info.started_at_us
        if started and now < started + self.settings.slow_start_us:
            self.report.cold_sends.append((action.endpoint_id, now / 1e6))
        for delay_us, answer in self.traffic.answers(action):
            self._schedule(delay_us, self._decide, answer)

    def _schedule(self, delay_us: int, act: Callable[..., None], *arguments: Any) -> None:
        def run() -> None:
            self._timers.discard(handle)
            act(*arguments)

        handle = asyncio.get_running_loop().call_later(delay_us / 1e6, run)
        self._timers.add(handle)
