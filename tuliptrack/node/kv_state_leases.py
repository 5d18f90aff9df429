"""Leases of KV states: how long what a prefill left may stay reserved without an attempt that uses it.

A KV state is reserved from the end of its prefill, or perhaps from the moment at which a prefill broke off.
Its lease runs until an attempt that fetches the state has surely arrived (`attempt_state.has_arrived`): an
attempt that was written and has not been answered may be on a silent connection. When the lease expires the
state is therefore released beside such an attempt. If the attempt did arrive, the engine spares the state
that the attempt waits for; if it arrives later, the engine reports the state as lost and the prompt is
prefilled again.

Nothing is released beside a prefill that has not been answered: engines do not spare a state whose prefill is
still running (see `docs/incidents/silent-connections.md`). What that prefill may leave is released when the
prefill is cancelled.

Inputs: the ends of attempts, with what is known of their delivery. All times are monotonic microseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tuliptrack import interface as io
from tuliptrack.node.attempt_state import has_arrived
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.node.timers import US_PER_S

if TYPE_CHECKING:
    from tuliptrack.node.counters import Counters

__all__ = ["KvStateLeases"]

TIMER_TOLERANCE_US = 1_000
"""The event loop may fire a timer this much early."""

CONFIRMATION_LEAD_US = 80_000
"""How long before a lease expires the arrival of its attempt is confirmed: one round trip to an engine, on a
new connection too."""

MIN_LEASE_SHARE = 0.5
"""Part of the allowed time that a lease lasts at least, however long a release travels."""


class KvStateLeases:
    """The leases of one node. Bound: one lease, and one timer, for each open request."""

    def __init__(
        self,
        release_within_us: int,
        engines: Callable[[], EngineClient],
        now_us: Callable[[], int],
        counters: Counters,
    ) -> None:
        """Start without leases.

        Args:
            release_within_us: how long a state may stay reserved with no attempt at an engine.
            engines: gives the client that sends releases; asked late, since the node makes it after this.
            now_us: the node's monotonic clock.
            counters: the node's counters.
        """
        self._release_within_us = release_within_us
        self._engines = engines
        self._now_us = now_us
        self._counters = counters

    @property
    def lease_us(self) -> int:
        """How long a lease lasts: short enough for the release to arrive within the allowed time."""
        shortest_us = int(self._release_within_us * MIN_LEASE_SHARE)
        return max(self._release_within_us - self._engines().release_transit_us, shortest_us)

    def start(self, record: RequestRecord, kv_state: KvStateLocation) -> None:
        """A prefill has ended well: its state is reserved from now on."""
        record.kv_state = kv_state
        self._engines().cancel_release(record)  # A release that is under way would free this new state.
        self.restart(record)

    def restart(self, record: RequestRecord) -> None:
        """The state is reserved, or may be, and its lease begins anew."""
        self.stop(record)
        record.lease_began_at_us = self._now_us()
        record.was_release_sent = False
        confirm_in_us = max(self.lease_us - CONFIRMATION_LEAD_US, self.lease_us // 2)
        self._set_timer(record, confirm_in_us, self._confirm_arrival)

    def stop(self, record: RequestRecord) -> None:
        """End the timer of the lease."""
        if record.lease_timer:
            record.lease_timer.cancel()
            record.lease_timer = None

    def connect_by_us(self, record: RequestRecord) -> int:
        """By when the next attempt needs its connection; 0: at any time."""
        return record.lease_began_at_us + self.lease_us if record.kv_state else 0

    def expire(self, record: RequestRecord) -> None:
        """The lease is over: the state is released, unless an attempt has surely arrived."""
        record.lease_timer = None
        if record.attempt and record.attempt.call:
            if has_arrived(record.attempt.call.delivery()):
                self._counters.add("leases_ended_by_arrival")
                return
            record.attempt.call.mark_doubtful()
            self._counters.add("releases_beside_attempts")
        record.was_release_sent = True
        record.trace.add(self._now_us(), "lease expired")
        self._send_release(record)

    def release(self, record: RequestRecord) -> None:
        """Release what is or may be reserved.

        While an attempt is in flight the state stays on record: the engine spares what that attempt waits
        for, and it is released when the attempt ends.
        """
        self._send_release(record)
        if record.attempt is None:
            self._forget(record)

    def release_all(self, record: RequestRecord) -> None:
        """The request is removed: nothing stays reserved for it, now or later."""
        self.release(record)
        for endpoint_id in record.unconfirmed_endpoints:
            self._engines().release_later(endpoint_id, record)

    def handle_first_token(self, record: RequestRecord) -> None:
        """An answer has begun: its first token has used up the state."""
        self._forget(record)
        self._engines().cancel_release(record)

    def handle_broken_prefill(self, record: RequestRecord, attempt: Attempt) -> None:
        """A prefill may have ended well as it broke off, or may do so yet.

        Where one release covers all engines, it is sent when no further attempt follows; the first token of
        an answer makes it needless.
        """
        if self._engines().releases_are_global:
            record.possible_kv_state_endpoint_id = attempt.endpoint_id
            self.restart(record)
        else:
            self._engines().release(attempt.endpoint_id, record)

    def handle_attempt_ended(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> None:
        """An attempt is over: a lease that its arrival had stopped begins anew.

        Where a decode attempt ended unconfirmed, its engine may see that end after a release has reached
        another engine, which has then spared what the attempt was waiting for. A second release is needed.
        """
        if self._was_lease_stopped(record):
            self.restart(record)
        was_sent = ended.status not in (io.Status.CONNECT_FAILED, io.Status.ABANDONED)
        if not was_sent or ended.is_confirmed:
            return
        if not attempt.is_prefill:
            record.needs_second_release = True
        if attempt.is_prefill or attempt.state_endpoint_id:
            record.unconfirmed_endpoints.add(attempt.endpoint_id)

    def handle_decode_without_token(
        self, record: RequestRecord, attempt: Attempt, ended: AttemptResult
    ) -> bool:
        """A decode attempt has ended before its first token: keep its state reserved, or give it up.

        The state stays reserved as long as its lease allows; only an attempt that has surely arrived begins
        the lease anew.

        Returns:
            Whether the state is lost, so that the prompt has to be prefilled again.
        """
        if self._is_state_lost(record, attempt, ended):
            self.release(record)  # Also where an engine reports it as lost: the report may be wrong.
            return True
        has_surely_arrived = ended.is_confirmed or ended.is_corroborated
        if has_surely_arrived and record.has_reserved_state:
            self.restart(record)
        return False

    def _is_state_lost(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> bool:
        """Whether a decode attempt that ended without a token leaves no state to decode from.

        After a release beside an attempt that was never answered the state is most likely gone: trying it
        elsewhere costs more than a new prefill.
        """
        had_no_connection_in_time = (
            ended.status is io.Status.CONNECT_FAILED
            and 0 < attempt.connect_by_us <= self._now_us() + TIMER_TOLERANCE_US
        )
        was_released_unconfirmed = record.was_release_sent and not ended.is_confirmed
        return ended.is_state_lost or had_no_connection_in_time or was_released_unconfirmed

    def _confirm_arrival(self, record: RequestRecord) -> None:
        """The lease expires soon: find out whether the attempt in flight has arrived."""
        if record.attempt and record.attempt.call:
            record.attempt.call.confirm_arrival()
        left_us = record.lease_began_at_us + self.lease_us - self._now_us()
        self._set_timer(record, max(left_us, 0), self.expire)

    def _set_timer(
        self, record: RequestRecord, delay_us: int, callback: Callable[[RequestRecord], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        record.lease_timer = loop.call_later(delay_us / US_PER_S, callback, record)

    def _send_release(self, record: RequestRecord) -> None:
        endpoint_id = record.kv_state.endpoint_id if record.kv_state else record.possible_kv_state_endpoint_id
        if endpoint_id is None:
            return
        record.trace.add(self._now_us(), "release")
        is_unsure = record.possible_kv_state_endpoint_id is not None or record.needs_second_release
        self._engines().release(endpoint_id, record, unsure=is_unsure)

    def _forget(self, record: RequestRecord) -> None:
        """Nothing is reserved for the request any more, as far as this node has to do with it."""
        self.stop(record)
        record.kv_state = None
        record.possible_kv_state_endpoint_id = None

    def _was_lease_stopped(self, record: RequestRecord) -> bool:
        """Whether a state is or may be reserved whose lease the arrival of an attempt has stopped."""
        return record.has_reserved_state and record.lease_timer is None and not record.was_release_sent
