"""Leases of read states whose attempts arrive and end in every way: none is left without an end."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from world import run

from tuliptrack.interface import Status
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.counters import Counters, RequestTrace
from tuliptrack.node.held_states import HeldStates
from tuliptrack.node.port import Ended, Engines
from tuliptrack.node.requests import Attempt, Held, Record
from tuliptrack.rpc.clock import now_us

WITHIN_US = 300_000
WITHIN_S = WITHIN_US / 1e6
TURNS_US = 1_000  # of the loop


class Call:
    """An attempt that is out and has arrived, as other words say."""

    def delivery(self) -> Delivery:
        return Delivery.CORROBORATED

    def seek_arrival(self) -> None: ...

    def doubt(self) -> None: ...


class Releases:
    """Engines that note what is let go."""

    release_travel = 0
    one_release_for_all = True

    def __init__(self) -> None:
        self.released_at: list[int] = []

    def release(self, server: int, record: Record, unsure: bool = False) -> None:
        self.released_at.append(now_us())

    def cancel_release(self, record: Record) -> None: ...


def open_request() -> Record:
    made: Any = SimpleNamespace(
        held=None,
        maybe_held=None,
        held_at=0,
        hold_timer=None,
        release_asked=False,
        release_may_cross=False,
        out=None,
        unheard=set(),
        trace=RequestTrace(now_us()),
    )
    return cast(Record, made)


@pytest.mark.parametrize(
    "status", [Status.AT_CAPACITY, Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED]
)
@pytest.mark.parametrize("reading", [True, False], ids=["a read", "a write"])
def test_a_lease_that_an_arrival_has_stopped_begins_anew_with_the_attempts_end(
    status: Status, reading: bool
) -> None:
    """Before a read there may be what an earlier one left, before a write what the read left."""

    async def go() -> None:
        engines = Releases()
        states = HeldStates(WITHIN_US, lambda: cast(Engines, engines), now_us, Counters())
        record = open_request()
        if reading:
            record.maybe_held = 1
            states.restart(record)
        else:
            states.hold(record, Held(1, "", ""))
        attempt = Attempt(1, 2, now_us(), call=cast(Any, Call()), reading=reading, reader=0 if reading else 1)
        record.out = attempt
        await asyncio.sleep(2 * WITHIN_S)
        assert not engines.released_at, "it is out at its engine"
        record.out, ended_at = None, now_us()
        ended = Ended(status, arrived=True)
        states.attempt_ended(record, attempt, ended)
        if not reading:
            states.lost_with(record, attempt, ended)
        await asyncio.sleep(2 * WITHIN_S)
        assert engines.released_at and engines.released_at[0] - ended_at <= WITHIN_US + TURNS_US

    run(go, virtual=True)
