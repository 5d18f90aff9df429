"""Passes events to routers and carries out their actions, one event at a time.

Actions may cause further events at once, such as the end of an attempt that could not start. These are
queued: each event is handled and all its actions are carried out before the next event, so that a router
never sees an event while its own actions are only partly carried out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import structlog

from tuliptrack import interface as io
from tuliptrack.node.core_state import CoreState
from tuliptrack.routing.router import Router

__all__ = ["EventDispatcher"]

log = structlog.get_logger("node")


class EventDispatcher:
    """The only entry point for events of a node. Its queue holds only events that one event causes."""

    def __init__(self, core: CoreState, on_router_failure: Callable[[int], None]) -> None:
        """Start with an empty queue.

        Args:
            core: the core whose events are dispatched.
            on_router_failure: called when a router raises, with the id of the request concerned (0: none).
        """
        self.action_handlers: dict[type, Callable[[Any], None]] = {}
        """The handler of each type of action."""
        self.is_running = False
        """Whether an event is being handled."""
        self.active_router = core.router
        """The router whose actions are being carried out."""
        self._core = core
        self._on_router_failure = on_router_failure
        self._queue: deque[tuple[io.Event, Router | None]] = deque()

    def dispatch(self, event: io.Event, router: Router | None = None) -> None:
        """Handle an event, now or after the one that is being handled.

        An event of a request goes to the router of that request. Any other goes to `router`, by default to
        the one that keeps the subscription to the endpoint list.
        """
        self.defer(event, router)
        if self.is_running:
            return
        self.is_running = True
        try:
            while self._queue:
                self._handle(*self._queue.popleft())
        finally:
            self.is_running = False

    def defer(self, event: io.Event, router: Router | None = None) -> None:
        """Queue an event behind the one that is being handled."""
        self._queue.append((event, router))

    def _handle(self, event: io.Event, router: Router | None) -> None:
        request_id: int = getattr(event, "request_id", 0)
        self._core.decisions += 1
        record = self._core.table.open.get(request_id)
        self.active_router = record.router if record else router or self._core.router
        actions = self._actions_of_router(event, request_id)
        record = self._core.table.open.get(request_id)  # None if the router of the request failed.
        if record and isinstance(event, io.AttemptEnded):
            record.pending_events -= 1
        for action in actions:
            self.action_handlers[type(action)](action)
        if record:
            self._core.remove_if_finished(record)

    def _actions_of_router(self, event: io.Event, request_id: int) -> list[io.Action]:
        """Return the actions that follow an event; none if the router raises.

        A router that raises is a bug in this program. Only the request concerned fails: the node continues
        with all the others.
        """
        try:
            return self.active_router.handle(self._core.now(), [event])
        except Exception:
            log.exception("the router failed", event_kind=type(event).__name__)
            self._on_router_failure(request_id)
            return []

    def set_timer(self, action: io.SetTimer) -> None:
        """Start a timer of the router whose actions are being carried out."""
        router = self.active_router
        fired = io.TimerFired(action.token)
        self._core.timers.call_later(action.delay_us, lambda: self._core.dispatch(fired, router))

    def check_health(self, action: io.CheckHealth) -> None:
        """Check the health of an endpoint for the router whose actions are being carried out."""
        router = self.active_router
        engines = self._core.engines
        if not engines.has_address(action.endpoint_id):
            unreachable = io.HealthCheckResult(action.endpoint_id, io.Status.CONNECT_FAILED, 0)
            self.defer(unreachable, router)
            return
        engines.check_health(action.endpoint_id, lambda result: self._core.dispatch(result, router))
