"""Proves that calls have arrived, and detects connections that have fallen silent.

An acknowledgement by TCP says nothing about the process behind it. A call has arrived if the peer has sent
something on it, or has answered a ping that was sent after the call's last byte. `ArrivalProofs` sends a ping
when calls have had no answer for a while, one for all of them, and doubts the connection while the answer to
the ping is missing.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tuliptrack.rpc.clock import now_us

__all__ = ["ARRIVED_PING", "ArrivalProofs", "ProvenCall", "ProvenLink"]

ARRIVED_PING = b"arrived?"
"""The data of pings for proofs."""
_CHECKS_BEFORE_DOUBT = 6
"""Number of checks that find the answer to a ping missing before the connection is doubted. A delayed event
loop delays each check, so a delay alone does not make a connection doubtful."""


class ProvenCall(Protocol):
    """The part of a call that `ArrivalProofs` uses."""

    open: bool
    arrived: bool


class ProvenLink(Protocol):
    """The part of a connection that `ArrivalProofs` uses."""

    heard_at: int

    def ping(self, data: bytes) -> None:
        """Send a ping after everything that was written."""

    def unsent(self, stream: int) -> int:
        """Return how many bytes of a call are not written yet."""

    def doubted(self, checks: int) -> None:
        """Act on a doubtful connection; called at each check that finds it silent.

        `checks`: number of checks since the ping was sent or anything was last received after it.
        """

    def close(self, reason: str) -> None:
        """Close the connection, because nothing was received on it for too long."""


class ArrivalProofs:
    """Proofs of arrival for the calls of one connection.

    Bound: the open calls of the connection, and one timer, which `close` cancels.
    """

    def __init__(
        self, link: ProvenLink, loop: asyncio.AbstractEventLoop, prove_after: int, timeout: int
    ) -> None:
        """Start without calls.

        `prove_after`: microseconds without an answer until a ping is sent, and microseconds of silence after
        the ping until the connection is doubted; `timeout`: microseconds of silence after the ping until the
        connection is closed.
        """
        self._link, self._loop, self._prove_after, self._timeout = link, loop, prove_after, timeout
        self._unproven: dict[int, ProvenCall] = {}
        """Calls that are not known to have arrived, by stream number."""
        self._to_prove: list[ProvenCall] = []
        """Calls that the answer to the pending ping proves."""
        self._pinged_at = 0
        """When the pending ping was sent, or when anything was last received after it, in monotonic
        microseconds; 0 if no ping is pending."""
        self.checks = 0
        """Number of checks that found the answer to the pending ping missing, since the ping was sent or
        anything was last received after it."""
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def doubtful(self) -> bool:
        """Whether a ping has had no answer for too long, and nothing else was received."""
        return self.checks >= _CHECKS_BEFORE_DOUBT and self._link.heard_at <= self._pinged_at

    def sent(self, stream: int, call: ProvenCall, within: int | None) -> None:
        """Note that a call was sent. Its arrival is checked after `prove_after`, or after `within`
        microseconds if that is sooner.
        """
        self._unproven[stream] = call
        self._schedule_check(within)

    def heard(self, stream: int, call: ProvenCall) -> None:
        """Note that the peer has sent something on a call."""
        if not call.arrived:
            call.arrived = True
            self._unproven.pop(stream, None)

    def answered(self) -> None:
        """Note that the peer has answered the pending ping."""
        for call in self._to_prove:
            call.arrived = True
        self._forget_settled()
        self._to_prove, self._pinged_at, self.checks = [], 0, 0
        if self._unproven:
            self._schedule_check()

    def ping(self) -> None:
        """Send a ping now."""
        self._pinged_at, self.checks = now_us(), 0
        self._link.ping(ARRIVED_PING)
        self._schedule_check(self._prove_after // _CHECKS_BEFORE_DOUBT)

    def close(self) -> None:
        """Stop checking."""
        self._closed = True
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self, within: int | None = None) -> None:
        """Set the timer to `prove_after`, or to `within` microseconds if that is sooner."""
        wait = self._prove_after if within is None else min(max(within, 0), self._prove_after)
        due = self._loop.time() + wait / 1e6
        if self._closed or (self._timer and self._timer.when() <= due):
            return
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._pinged_at:
            self._check_answer()
        else:
            self._ping_unproven()

    def _ping_unproven(self) -> None:
        """Ping the peer if calls were written completely and have no answer.

        Each ping follows at least one call: stock servers end connections on which pings arrive without any
        data between them.
        """
        self._forget_settled()
        self._to_prove = [call for stream, call in self._unproven.items() if not self._link.unsent(stream)]
        if self._to_prove:
            self.ping()
        elif self._unproven:
            self._schedule_check()

    def _forget_settled(self) -> None:
        """Remove the calls that have ended or are proven."""
        self._unproven = {
            stream: call for stream, call in self._unproven.items() if call.open and not call.arrived
        }

    def _check_answer(self) -> None:
        """Note that the answer to the ping is missing; doubt or close the connection after enough checks."""
        if self._link.heard_at > self._pinged_at:
            self._pinged_at, self.checks = self._link.heard_at, 0
        self.checks += 1
        if self.doubtful and now_us() - self._pinged_at >= self._timeout:
            self._link.close("a ping after calls had no answer")
            return
        self._schedule_check(self._prove_after // _CHECKS_BEFORE_DOUBT)
        if self.doubtful:
            self._link.doubted(self.checks)
