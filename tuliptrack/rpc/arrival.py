"""Proofs that calls have arrived, and doubt of a connection on which they are missing.

What TCP confirms says nothing of a process behind it. A call has arrived where the peer has said something on
it, or has answered a ping that was sent after the call's last byte. `ArrivalProofs` pings where a call has
brought no word for a while, once for all calls that wait for a proof, and doubts the connection while the
answer is missing.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tuliptrack.rpc.clock import now_us

__all__ = ["ARRIVED_PING", "ArrivalProofs", "ProvenCall", "ProvenLink"]

ARRIVED_PING = b"arrived?"
"""The data of pings for proofs."""
_CHECKS_BEFORE_DOUBT = 6
"""Looks for a missing answer before a connection is doubted: a loop that is late itself makes each of them
late."""


class ProvenCall(Protocol):
    """A call, as far as its proof goes."""

    open: bool
    arrived: bool


class ProvenLink(Protocol):
    """The connection that proofs are of."""

    heard_at: int

    def ping(self, data: bytes) -> None:
        """Send a ping after all that was written."""

    def unsent(self, stream: int) -> int:
        """Bytes of a call that are not written yet."""

    def doubted(self, checks: int) -> None:
        """Nothing comes on it; told at each look that finds so, with their number."""

    def close(self, reason: str) -> None:
        """End it: nothing has come for too long."""


class ArrivalProofs:
    """The proofs of one connection's calls. Bound: its open calls, and one timer; `close` ends it."""

    def __init__(
        self, link: ProvenLink, loop: asyncio.AbstractEventLoop, prove_after: int, timeout: int
    ) -> None:
        """`prove_after`: microseconds without a word until a ping, and from there until doubt; `timeout`:
        until the end.
        """
        self._link, self._loop, self._prove_after, self._timeout = link, loop, prove_after, timeout
        self._unproven: dict[int, ProvenCall] = {}
        """Calls that may not have arrived, by stream."""
        self._to_prove: list[ProvenCall] = []
        """Those that the ping under way proves."""
        self._pinged_at = 0
        """When that ping was sent, or its connection was last heard since; 0: none is under way."""
        self.checks = 0
        """Looks for that ping's answer, while nothing at all came."""
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def doubtful(self) -> bool:
        """Whether a ping has had no answer for too long, and nothing else has come."""
        return self.checks >= _CHECKS_BEFORE_DOUBT and self._link.heard_at <= self._pinged_at

    def sent(self, stream: int, call: ProvenCall, within: int | None) -> None:
        """A call has gone out; its proof is looked for after the usual time, or within so many microseconds
        if that is sooner.
        """
        self._unproven[stream] = call
        self._schedule_check(within)

    def heard(self, stream: int, call: ProvenCall) -> None:
        """The peer has said something on a call."""
        if not call.arrived:
            call.arrived = True
            self._unproven.pop(stream, None)

    def answered(self) -> None:
        """The answer to the ping has come."""
        for call in self._to_prove:
            call.arrived = True
        self._forget_settled()
        self._to_prove, self._pinged_at, self.checks = [], 0, 0
        if self._unproven:
            self._schedule_check()

    def ping(self) -> None:
        """Ask for a proof now."""
        self._pinged_at, self.checks = now_us(), 0
        self._link.ping(ARRIVED_PING)
        self._schedule_check(self._prove_after // _CHECKS_BEFORE_DOUBT)

    def close(self) -> None:
        """Look for nothing any more."""
        self._closed = True
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self, within: int | None = None) -> None:
        """Look after the usual time, or within so many microseconds where that is sooner."""
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
        """Ping for what has gone out and brought no word. Each ping follows at least one call: stock servers
        end connections on which pings come with nothing between.
        """
        self._forget_settled()
        self._to_prove = [call for stream, call in self._unproven.items() if not self._link.unsent(stream)]
        if self._to_prove:
            self.ping()
        elif self._unproven:
            self._schedule_check()

    def _forget_settled(self) -> None:
        """Leave out the calls that have ended or are proven."""
        self._unproven = {
            stream: call for stream, call in self._unproven.items() if call.open and not call.arrived
        }

    def _check_answer(self) -> None:
        """The ping's answer has not come yet."""
        if self._link.heard_at > self._pinged_at:
            self._pinged_at, self.checks = self._link.heard_at, 0
        self.checks += 1
        if self.doubtful and now_us() - self._pinged_at >= self._timeout:
            self._link.close("a ping after calls had no answer")
            return
        self._schedule_check(self._prove_after // _CHECKS_BEFORE_DOUBT)
        if self.doubtful:
            self._link.doubted(self.checks)
