"""Limits the load of an endpoint in slow start, over all nodes together, without communication between them.

A warming endpoint fails if all nodes together send it much more than N requests in one window, where N is the
number of requests that the settings allow in a window; an excess of 2 x sqrt(N) + 2 is within random
variation. Nodes therefore send by numbered slots. A slot becomes due whenever the ramp of the endpoint allows
one more request, at the rate of `SLOT_RATE_SHARE` x `slow_start_overload_factor` x the endpoint's share of
the capacity. Slot k belongs to the node whose replica index is k modulo the number of replicas; the id of the
endpoint shifts this assignment. A slot is valid for one attempt and expires after one window.

In any window the usable slots are those that became due in it (a third of N), unused ones of the previous
window (a third of N), and one for each node. The last third covers half as many additional processes as there
are replicas, quotas above the capacity, and endpoints that were removed before a node received its first
list. The limit does not depend on peers, traffic or chance: a batch of retries gets one slot, and a restarted
node skips the slots that its earlier process may have used. A request of a class that costs as much as h mean
requests may use one slot in h.

The quotas are used as the capacity; without quotas a warm endpoint is assumed to serve one request per
window. The inputs are the endpoint's start time, the replica index and the settings. Times are microseconds.
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
"""Rate at which slots become due, as a share of the rate that overloads the endpoint; the module docstring
explains why the share is a third."""
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2
"""Fraction of the golden ratio: its products with successive slot numbers, modulo 1, are spread evenly from 0
to 1."""
WARM = 0
"""Value instead of a slot number for an endpoint that needs no slot. Slots are numbered from 1."""


class SlowStart:
    """Hands out this node's slots at the endpoints in slow start."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def slot_for(self, endpoint: Endpoint, request: InFlightRequest) -> int | None:
        """Return the slot that lets a request be sent to an endpoint.

        The result is `WARM` if the endpoint is not in slow start, and None if no slot of this node is open
        for the request.
        """
        started_at_us = endpoint.info.started_at_us
        if not started_at_us:
            return WARM
        state, settings = self._state, self._state.settings
        if state.now_us >= started_at_us + settings.slow_start_us:
            return WARM
        if state.now_us < endpoint.no_slot_before_us:
            return None
        schedule = self._schedule(endpoint)
        slot = schedule.slots_due(state.now_us - started_at_us)
        slot -= (slot + mix(endpoint.info.id) - settings.replica_index) % settings.replicas
        # Slots that became due before the window are expired; those due before this process saw its first
        # event may have been used by an earlier process.
        usable_from_us = max(state.now_us - settings.slow_start_window_us, state.first_event_at_us)
        if slot <= max(endpoint.last_slot, schedule.slots_due(usable_from_us - started_at_us)):
            endpoint.no_slot_before_us = started_at_us + schedule.age_before(slot + settings.replicas)
            return None
        cost = state.demand.relative_cost(request.request.class_index, endpoint.role)
        return slot if slot * GOLDEN_RATIO_FRACTION % 1 * cost <= 1 else None

    def has_open_slot(self, endpoint: Endpoint, request: InFlightRequest) -> bool:
        """Whether an endpoint is in slow start and has an open slot for the request."""
        return bool(self.slot_for(endpoint, request))

    def use_slot(self, endpoint: Endpoint, request: InFlightRequest) -> None:
        """Mark the slot of an attempt that is sent to an endpoint as used."""
        endpoint.last_slot = self.slot_for(endpoint, request) or endpoint.last_slot

    def _schedule(self, endpoint: Endpoint) -> SlotSchedule:
        state, settings = self._state, self._state.settings
        share = state.table.capacity.endpoint_share(endpoint.role, endpoint.info.weight)
        requests_per_us = state.fleet_capacity_per_s * share / 1e6 or 1 / settings.slow_start_window_us
        rate = min(SLOT_RATE_SHARE * settings.slow_start_overload_factor, 1.0) * requests_per_us
        return SlotSchedule(rate, settings.slow_start_initial_share, settings.slow_start_us)
