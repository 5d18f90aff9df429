"""Leases of KV states: limit how long the state that a prefill left stays reserved without being used.

A KV state is reserved from the end of its prefill, or possibly from the time at which a prefill was
interrupted. Its lease runs until an attempt that fetches the state is known to have arrived
(`attempt_state.has_arrived`): an attempt that was written and has not been answered may be on a silent
connection. When the lease expires, the state is therefore released even if such an attempt is still in
flight. If the attempt did arrive, the engine keeps the state that the attempt waits for; if the attempt
arrives later, the engine reports the state as lost and the prompt is prefilled again.

Nothing is released while a prefill in flight is unanswered: engines would also free a state whose prefill is
still running (see `docs/incidents/silent-connections.md`). What that prefill may leave is released when the
prefill is cancelled.

The inputs are the ends of attempts and what is known about their delivery. All times are in microseconds on
the monotonic clock.
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
"""Time by which the event loop may fire a timer too early."""

CONFIRMATION_LEAD_US = 80_000
"""Time before the end of a lease at which the node checks whether the attempt has arrived: enough for one
round trip to an engine, even on a new connection."""

MIN_LEASE_SHARE = 0.5
"""Minimum duration of a lease, as a share of the time for which a state may stay reserved, however long a
release takes to arrive."""


class KvStateLeases:
    """The leases of one node, with at most one lease and one timer for each open request."""

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
            engines: returns the client that sends releases; called at each use, because the node creates the
                client after the leases.
            now_us: the node's monotonic clock.
            counters: the node's counters.
        """
        self._release_within_us = release_within_us
        self._engines = engines
        self._now_us = now_us
        self._counters = counters

    @property
    def lease_us(self) -> int:
        """Duration of a lease: short enough for the release to arrive while the state may stay reserved."""
        shortest_us = int(self._release_within_us * MIN_LEASE_SHARE)
        return max(self._release_within_us - self._engines().release_transit_us, shortest_us)

    def start(self, record: RequestRecord, kv_state: KvStateLocation) -> None:
        """Start the lease of the state that a successful prefill has reserved."""
        record.kv_state = kv_state
        self._engines().cancel_release(record)  # A release in flight would free this new state.
        self.restart(record)

    def restart(self, record: RequestRecord) -> None:
        """Begin anew the lease of a state that is, or may be, reserved."""
        self.stop(record)
        record.lease_began_at_us = self._now_us()
        record.was_release_sent = False
        confirm_in_us = max(self.lease_us - CONFIRMATION_LEAD_US, self.lease_us // 2)
        self._set_timer(record, confirm_in_us, self._confirm_arrival)

    def stop(self, record: RequestRecord) -> None:
        """Cancel the timer of the lease."""
        if record.lease_timer:
            record.lease_timer.cancel()
            record.lease_timer = None

    def connect_by_us(self, record: RequestRecord) -> int:
        """Return the time by which the next attempt needs its connection; 0 if there is no limit."""
        return record.lease_began_at_us + self.lease_us if record.kv_state else 0

    def expire(self, record: RequestRecord) -> None:
        """Handle the end of a lease: release the state unless an attempt is known to have arrived."""
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
        """Release what is, or may be, reserved for a request.

        While an attempt is in flight, the request's record keeps the state: the engine keeps what that
        attempt waits for, and the state is released when the attempt ends.
        """
        self._send_release(record)
        if record.attempt is None:
            self._forget(record)

    def release_all(self, record: RequestRecord) -> None:
        """Release everything for a request that is removed, including what an engine may reserve later."""
        self.release(record)
        for endpoint_id in record.unconfirmed_endpoints:
            self._engines().release_later(endpoint_id, record)

    def handle_first_token(self, record: RequestRecord) -> None:
        """Handle the first token of an answer, which has consumed the state."""
        self._forget(record)
        self._engines().cancel_release(record)

    def handle_broken_prefill(self, record: RequestRecord, attempt: Attempt) -> None:
        """Handle an interrupted prefill, which may have left a KV state or may still do so.

        If one release covers all engines, it is sent only when no further attempt follows; the first token of
        an answer makes it unnecessary.
        """
        if self._engines().releases_are_global:
            record.possible_kv_state_endpoint_id = attempt.endpoint_id
            self.restart(record)
        else:
            self._engines().release(attempt.endpoint_id, record)

    def handle_attempt_ended(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> None:
        """Handle the end of an attempt: begin anew the lease that the attempt's arrival had stopped.

        If a decode attempt ended unconfirmed, its engine may see that end only after a release has reached
        another engine, which has then kept what the attempt was waiting for. So a second release is needed.
        """
        if self._was_lease_stopped(record):
            self.restart(record)
        was_sent = attempt_result.status not in (io.Status.CONNECT_FAILED, io.Status.ABANDONED)
        if not was_sent or attempt_result.is_confirmed:
            return
        if not attempt.is_prefill:
            record.needs_second_release = True
        if attempt.is_prefill or attempt.state_endpoint_id:
            record.unconfirmed_endpoints.add(attempt.endpoint_id)

    def handle_decode_without_token(
        self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult
    ) -> bool:
        """Handle a decode attempt that ended before its first token: keep its state reserved, or give it up.

        The state stays reserved as long as its lease allows; only an attempt that is known to have arrived
        begins the lease anew.

        Returns:
            Whether the state is lost, so that the prompt has to be prefilled again.
        """
        if self._is_state_lost(record, attempt, attempt_result):
            self.release(record)  # Even if an engine reports the state as lost: the report may be wrong.
            return True
        has_arrived_at_engine = attempt_result.is_confirmed or attempt_result.is_corroborated
        if has_arrived_at_engine and record.has_reserved_state:
            self.restart(record)
        return False

    def _is_state_lost(self, record: RequestRecord, attempt: Attempt, attempt_result: AttemptResult) -> bool:
        """Return whether a decode attempt that ended without a token leaves no state to decode from.

        If a release was sent while the attempt was in flight, and the attempt was never answered, the state
        is most likely gone: an attempt to fetch it at another endpoint costs more than a new prefill.
        """
        was_not_connected_in_time = (
            attempt_result.status is io.Status.CONNECT_FAILED
            and 0 < attempt.connect_by_us <= self._now_us() + TIMER_TOLERANCE_US
        )
        was_released_unconfirmed = record.was_release_sent and not attempt_result.is_confirmed
        return attempt_result.is_state_lost or was_not_connected_in_time or was_released_unconfirmed

    def _confirm_arrival(self, record: RequestRecord) -> None:
        """Check whether the attempt in flight has arrived, shortly before the lease expires."""
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
        is_unconfirmed = record.possible_kv_state_endpoint_id is not None or record.needs_second_release
        self._engines().release(endpoint_id, record, has_unconfirmed_attempt=is_unconfirmed)

    def _forget(self, record: RequestRecord) -> None:
        """Record that nothing is reserved for the request any more, as far as this node is concerned."""
        self.stop(record)
        record.kv_state = None
        record.possible_kv_state_endpoint_id = None

    def _was_lease_stopped(self, record: RequestRecord) -> bool:
        """Return whether the arrival of an attempt has stopped the lease of a state that may be reserved."""
        return record.has_reserved_state and record.lease_timer is None and not record.was_release_sent
