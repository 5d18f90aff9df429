"""The leases of read states: each is taken by an attempt or let go within the time that the settings allow.

A state is held from the end of its read, or perhaps from the moment that a read broke off. Its lease runs
until an attempt that came for it has surely arrived (`attempt_state.has_arrived`): one that was written and
has brought no word may be on a silent connection. So when the lease is over the state is let go beside such
an attempt. Where that did arrive, the engine spares what it waits for; where it arrives later, the engine
says that the state is gone and the prompt is read anew.

Nothing is let go beside a read that brings no word: engines do not spare one that runs (measured, see the
incident's page), so what its answer was to tell of is let go when the read is given up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tuliptrack import interface as io
from tuliptrack.node.attempt_state import has_arrived
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord

if TYPE_CHECKING:
    from tuliptrack.node.counters import Counters

__all__ = ["KvStateLeases"]

_TIMER_EARLY_US = 1_000  # a timer may fire a little early
_SEEK_EARLY_US = 80_000  # before a lease ends: a round trip to an engine, on a new connection too
_LEAST_LEASE = 0.5  # part of the time allowed that a lease lasts, however long releases travel


class KvStateLeases:
    """What is held for requests. Bound: one lease, and one timer, for each open request."""

    def __init__(
        self,
        release_within: int,
        engines: Callable[[], EngineClient],
        now: Callable[[], int],
        counters: Counters,
    ) -> None:
        """`release_within`: microseconds for which a state may be held with no attempt at an engine."""
        self.release_within = release_within
        self._engines, self._now, self._counters = engines, now, counters

    @property
    def lease(self) -> int:
        """Microseconds after which a state is let go, early enough for the release to arrive within the time
        allowed."""
        return max(
            self.release_within - self._engines().release_transit_us, int(self.release_within * _LEAST_LEASE)
        )

    def hold(self, record: RequestRecord, held: KvStateLocation) -> None:
        """A read has ended well: its state is held from now on."""
        record.kv_state = held
        self._engines().cancel_release(record)  # One that is under way would let go of this state.
        self.restart(record)

    def connect_by(self, record: RequestRecord) -> int:
        """By when a connection for the next attempt has to be up; 0: at any time."""
        return record.lease_began_at_us + self.lease if record.kv_state else 0

    def restart(self, record: RequestRecord) -> None:
        """The state is held, or may be, and its lease begins anew."""
        self.stop(record)
        record.lease_began_at_us, record.was_release_sent = self._now(), False
        sought_in = max(self.lease - _SEEK_EARLY_US, self.lease // 2)
        record.lease_timer = asyncio.get_running_loop().call_later(
            sought_in / 1e6, self._seek_arrival, record
        )

    def _seek_arrival(self, record: RequestRecord) -> None:
        """The lease ends soon: find out whether the attempt that is out has arrived."""
        if record.attempt and record.attempt.call:
            record.attempt.call.confirm_arrival()
        left = record.lease_began_at_us + self.lease - self._now()
        record.lease_timer = asyncio.get_running_loop().call_later(max(left, 0) / 1e6, self.overdue, record)

    def overdue(self, record: RequestRecord) -> None:
        """The lease is over: the state is let go, unless an attempt has surely arrived."""
        record.lease_timer = None
        if record.attempt and record.attempt.call:
            if has_arrived(record.attempt.call.delivery()):
                self._counters.add("leases_ended_by_arrival")
                return
            record.attempt.call.mark_doubtful()
            self._counters.add("releases_beside_attempts")
        record.was_release_sent = True
        record.trace.add(self._now(), "lease over")
        self._ask_release(record)

    def request_over(self, record: RequestRecord) -> None:
        """The request is dropped: nothing stays held for it, now or later."""
        self.release(record)
        for server in record.unconfirmed_endpoints:
            self._engines().release_later(server, record)

    def release(self, record: RequestRecord) -> None:
        """Let go of what is held, if anything is or may be. While an attempt is out it stays on record: what
        that waits for is spared, and let go when it ends."""
        self._ask_release(record)
        if record.attempt is None:
            self.drop(record)

    def _ask_release(self, record: RequestRecord) -> None:
        server = record.kv_state.endpoint_id if record.kv_state else record.possible_kv_state_at
        if server is not None:
            record.trace.add(self._now(), "release")
            unsure = record.possible_kv_state_at is not None or record.needs_second_release
            self._engines().release(server, record, unsure=unsure)

    def taken(self, record: RequestRecord) -> None:
        """An answer has begun: with its first token it has taken what was held."""
        self.drop(record)
        self._engines().cancel_release(record)

    def drop(self, record: RequestRecord) -> None:
        """Nothing is held for a request any more, as far as this node has to do with it."""
        self.stop(record)
        record.kv_state = record.possible_kv_state_at = None

    def stop(self, record: RequestRecord) -> None:
        """End the lease's timer."""
        if record.lease_timer:
            record.lease_timer.cancel()
            record.lease_timer = None

    def read_broke_off(self, record: RequestRecord, attempt: Attempt) -> None:
        """A read may have ended well as it broke off, or may yet. Where one release is for everything, it is
        made when no further attempt follows; an answer's first token makes it needless."""
        if self._engines().releases_are_global:
            record.possible_kv_state_at = attempt.endpoint_id
            self.restart(record)
        else:
            self._engines().release(attempt.endpoint_id, record)

    def attempt_ended(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> None:
        """An attempt is over. Where one at a writer ended without a word, by our own hand or its
        connection's, its engine may see that later than a release gets to another one, which then has spared
        what that attempt was waiting for."""
        if self._lease_was_stopped(record):
            self.restart(record)
        sent = ended.status not in (io.Status.CONNECT_FAILED, io.Status.ABANDONED)
        if not sent or ended.is_confirmed:
            return
        if not attempt.is_prefill:
            record.needs_second_release = True
        if attempt.is_prefill or attempt.state_endpoint_id:
            record.unconfirmed_endpoints.add(attempt.endpoint_id)

    @staticmethod
    def _lease_was_stopped(record: RequestRecord) -> bool:
        """Whether something is or may be held for which an attempt's arrival has stopped the lease."""
        held = record.kv_state is not None or record.possible_kv_state_at is not None
        return held and record.lease_timer is None and not record.was_release_sent

    def lost_with(self, record: RequestRecord, attempt: Attempt, ended: AttemptResult) -> bool:
        """An attempt at a writer is over without a token: whether the prompt has to be read anew. The state
        is held on as long as its lease allows; only what has surely arrived begins the lease anew. After a
        release beside an attempt that never spoke the state is most likely gone: to try it elsewhere costs
        more than to read the prompt (measured)."""
        no_connection_in_time = (
            ended.status is io.Status.CONNECT_FAILED
            and 0 < attempt.connect_by_us <= self._now() + _TIMER_EARLY_US
        )
        if (
            ended.is_state_lost
            or no_connection_in_time
            or (record.was_release_sent and not ended.is_confirmed)
        ):
            self.release(record)  # Also where it is said to be gone: the word may be wrong.
            return True
        if (ended.is_confirmed or ended.is_corroborated) and (
            record.kv_state or record.possible_kv_state_at is not None
        ):
            self.restart(record)
        return False
