"""Decides how much load an endpoint in slow start may get, over all nodes together, without communication.

A warming endpoint fails if all nodes send it much more than N requests in one window, N being what the
settings allow it in that time; 2 x sqrt(N) + 2 more are within chance. Nodes therefore send by numbered
slots. A slot becomes due whenever the ramp of the endpoint allows one more request, at `SLOT_RATE_SHARE` x
`slow_start_overload_factor` x its share of the capacity. Slot k belongs to the node whose replica index is k
modulo the number of replicas. It is good for one attempt and expires after one window.

In any window the usable slots are those that became due in it (a third of N), unused ones of the window
before (a third of N), and one for each node. The last third covers half as many processes as replicas again,
quotas above the capacity, and endpoints that were removed before a node received its first list. Peers,
traffic and chance have no influence: a batch of retries finds one slot, and a restarted node leaves the slots
that its earlier incarnation may have used. A request of a class that costs h mean requests may use one slot
in h.

The quotas are taken for the capacity; without quotas a warm endpoint is assumed to serve one request in a
window. Inputs are the endpoint's start time, the replica index and the settings. Times are microseconds.
"""

from __future__ import annotations

import math

from tuliptrack.routing.node_state import NodeState
from tuliptrack.state.endpoint import Endpoint
from tuliptrack.state.in_flight import InFlightRequest
from tuliptrack.state.slot_schedule import SlotSchedule
from tuliptrack.structures.rendezvous import mix

__all__ = ["WARM", "SlowStart"]

SLOT_RATE_SHARE = 1 / 3
"""Share of the overload factor at which slots become due; the module's text says why a third."""
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2
"""Successive slots' multiples of it, modulo 1, are spread evenly from 0 to 1."""
WARM = 0
"""The slot number of endpoints that need none. Slots are numbered from 1."""


class SlowStart:
    """Hands out this node's slots at the endpoints in slow start."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def slot_for(self, endpoint: Endpoint, request: InFlightRequest) -> int | None:
        """Return the slot by which a request may go to an endpoint.

        It is `WARM` if the endpoint is not in slow start, and None if no slot of this node is open for it.
        """
        state, settings = self._state, self._state.settings
        started_at_us = endpoint.info.started_at_us
        if not started_at_us or state.now_us >= started_at_us + settings.slow_start_us:
            return WARM
        if state.now_us < endpoint.no_slot_before_us:
            return None
        schedule = self._schedule(endpoint)
        slot = schedule.slots_due(state.now_us - started_at_us)
        slot -= (slot + mix(endpoint.info.id) - settings.replica_index) % settings.replicas
        # Slots that have expired, or were due before this process saw its first event, may have been used.
        usable_from_us = max(state.now_us - settings.slow_start_window_us, state.first_event_at_us)
        if slot <= max(endpoint.last_slot, schedule.slots_due(usable_from_us - started_at_us)):
            endpoint.no_slot_before_us = started_at_us + schedule.age_before(slot + settings.replicas)
            return None
        cost = state.demand.relative_cost(request.request.class_index, endpoint.role)
        return slot if slot * GOLDEN_RATIO_FRACTION % 1 * cost <= 1 else None

    def has_open_slot(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether an endpoint is in slow start and the request may go there by a slot."""
        return bool(self.slot_for(endpoint, request))

    def is_blocked(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether an endpoint is in slow start and no slot is open for the request."""
        return self.slot_for(endpoint, request) is None

    def use_slot(self, endpoint: Endpoint, request: InFlightRequest) -> None:
        """Record that an attempt is sent there."""
        endpoint.last_slot = self.slot_for(endpoint, request) or endpoint.last_slot

    def _schedule(self, endpoint: Endpoint) -> SlotSchedule:
        state, settings = self._state, self._state.settings
        share = state.table.capacity.endpoint_share(endpoint.role, endpoint.info.weight)
        requests_per_us = state.fleet_capacity_per_s * share / 1e6 or 1 / settings.slow_start_window_us
        rate = min(SLOT_RATE_SHARE * settings.slow_start_overload_factor, 1.0) * requests_per_us
        return SlotSchedule(rate, settings.slow_start_initial_share, settings.slow_start_us)
