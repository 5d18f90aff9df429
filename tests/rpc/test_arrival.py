"""Proofs of arrival on a simulated clock: when a ping is sent, what its answer proves, when doubt arises."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import pytest

from tuliptrack.rpc import arrival
from tuliptrack.rpc.arrival import ArrivalProofs

PROVE_AFTER_US, TIMEOUT_US = 60_000, 1_000_000


@dataclass
class Call:
    """A call whose arrival is to be proven."""

    open: bool = True
    arrived: bool = False


@dataclass
class Timer:
    """One timer of `Loop`."""

    due: float
    callback: Callable[[], None]
    cancelled: bool = False

    def when(self) -> float:
        return self.due

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class Loop:
    """The timers of an event loop, on a clock that the test advances."""

    now: float = 100.0
    timers: list[Timer] = field(default_factory=list)

    def time(self) -> float:
        return self.now

    def call_at(self, due: float, callback: Callable[[], None]) -> Timer:
        self.timers.append(Timer(due, callback))
        return self.timers[-1]

    def run_for(self, microseconds: int) -> None:
        """Advance the clock, and call the timers that expire."""
        end = self.now + microseconds / 1e6
        while due := [timer for timer in self.timers if not timer.cancelled and timer.due <= end]:
            timer = min(due, key=Timer.when)
            self.timers.remove(timer)
            self.now = max(self.now, timer.due)
            timer.callback()
        self.now = end


@dataclass
class Link:
    """A connection that records its calls."""

    loop: Loop
    heard_at: int = 0
    pings: int = 0
    doubts: int = 0
    closed: str = ""
    waiting: set[int] = field(default_factory=set)
    """Streams of calls that are not written completely."""

    def ping(self, data: bytes) -> None:
        self.pings += 1

    def unsent(self, stream: int) -> int:
        return int(stream in self.waiting)

    def doubted(self, checks: int) -> None:
        self.doubts += 1

    def close(self, reason: str) -> None:
        self.closed = reason

    def receive(self) -> None:
        """Record that something was received on the connection."""
        self.heard_at = round(self.loop.now * 1e6)


@pytest.fixture
def link(monkeypatch: pytest.MonkeyPatch) -> Link:
    made = Link(Loop())
    monkeypatch.setattr(arrival, "now_us", lambda: round(made.loop.now * 1e6))
    return made


def proofs_of(link: Link) -> ArrivalProofs:
    return ArrivalProofs(link, cast(asyncio.AbstractEventLoop, link.loop), PROVE_AFTER_US, TIMEOUT_US)


def test_a_call_that_is_answered_soon_needs_no_ping(link: Link) -> None:
    proofs, call = proofs_of(link), Call()
    proofs.sent(1, call, None)
    link.loop.run_for(50_000)
    proofs.heard(1, call)
    link.loop.run_for(1_000_000)
    assert call.arrived and link.pings == 0 and not link.loop.timers


def test_one_ping_proves_only_the_calls_written_before_it(link: Link) -> None:
    proofs, calls = proofs_of(link), [Call() for _ in range(4)]
    link.waiting = {2}
    for stream in (0, 1, 2):
        proofs.sent(stream, calls[stream], None)
    link.loop.run_for(60_000)
    assert link.pings == 1
    proofs.sent(3, calls[3], None)  # sent after the ping, whose answer does not prove this call
    link.receive()
    proofs.answered()
    assert [call.arrived for call in calls] == [True, True, False, False]
    link.waiting = set()
    link.loop.run_for(60_000)
    assert link.pings == 2
    proofs.answered()
    assert all(call.arrived for call in calls)


def test_a_call_with_little_time_is_proven_sooner(link: Link) -> None:
    proofs = proofs_of(link)
    proofs.sent(1, Call(), None)
    proofs.sent(2, Call(), 10_000)
    link.loop.run_for(10_000)
    assert link.pings == 1


def test_silence_leads_to_doubt_then_to_the_close_and_any_input_starts_over(link: Link) -> None:
    proofs = proofs_of(link)
    proofs.sent(1, Call(), None)
    link.loop.run_for(60_000 + 45_000)
    link.receive()  # input that is not the answer to the ping
    link.loop.run_for(55_000)
    assert not proofs.doubtful and link.doubts == 0
    link.loop.run_for(20_000)
    assert proofs.doubtful and link.doubts > 0 and not link.closed
    link.loop.run_for(900_000)
    assert not link.closed
    link.loop.run_for(100_000)
    assert link.closed


def test_a_delayed_loop_does_not_doubt_a_connection(link: Link) -> None:
    """A delayed iteration of the loop runs the check just before it reads the answer, which came in time."""
    proofs, call = proofs_of(link), Call()
    proofs.sent(1, call, None)
    link.loop.run_for(60_000)
    link.loop.now += 0.5
    link.loop.run_for(0)  # runs a check half a second late
    assert not proofs.doubtful
    link.receive()
    proofs.answered()
    assert call.arrived and link.doubts == 0


def test_ended_calls_need_no_ping_and_a_closed_connection_has_no_timer(link: Link) -> None:
    proofs, call = proofs_of(link), Call()
    proofs.sent(1, call, None)
    call.open = False
    link.loop.run_for(200_000)
    assert link.pings == 0
    proofs.sent(2, Call(), None)
    proofs.close()
    link.loop.run_for(200_000)
    assert link.pings == 0 and all(timer.cancelled for timer in link.loop.timers)
