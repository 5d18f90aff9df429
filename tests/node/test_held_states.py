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
from tuliptrack.node.kv_state_leases import KvStateLeases
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord
from tuliptrack.rpc.clock import now_us

WITHIN_US = 300_000
WITHIN_S = WITHIN_US / 1e6
TURNS_US = 1_000  # of the loop


class Call:
    """An attempt that is out and has arrived, as other words say."""

    def delivery(self) -> Delivery:
        return Delivery.CORROBORATED

    def confirm_arrival(self) -> None: ...

    def mark_doubtful(self) -> None: ...


class Releases:
    """Engines that note what is let go."""

    release_transit_us = 0
    releases_are_global = True

    def __init__(self) -> None:
        self.released_at: list[int] = []

    def release(self, server: int, record: RequestRecord, unsure: bool = False) -> None:
        self.released_at.append(now_us())

    def cancel_release(self, record: RequestRecord) -> None: ...


def open_request() -> RequestRecord:
    made: Any = SimpleNamespace(
        kv_state=None,
        possible_kv_state_at=None,
        lease_began_at_us=0,
        lease_timer=None,
        was_release_sent=False,
        needs_second_release=False,
        attempt=None,
        unconfirmed_endpoints=set(),
        trace=RequestTrace(now_us()),
    )
    return cast(RequestRecord, made)


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
        states = KvStateLeases(WITHIN_US, lambda: cast(EngineClient, engines), now_us, Counters())
        record = open_request()
        if reading:
            record.possible_kv_state_at = 1
            states.restart(record)
        else:
            states.hold(record, KvStateLocation(1, "", ""))
        attempt = Attempt(
            1, 2, now_us(), call=cast(Any, Call()), is_prefill=reading, state_endpoint_id=0 if reading else 1
        )
        record.attempt = attempt
        await asyncio.sleep(2 * WITHIN_S)
        assert not engines.released_at, "it is out at its engine"
        record.attempt, ended_at = None, now_us()
        ended = AttemptResult(status, is_corroborated=True)
        states.attempt_ended(record, attempt, ended)
        if not reading:
            states.lost_with(record, attempt, ended)
        await asyncio.sleep(2 * WITHIN_S)
        assert engines.released_at and engines.released_at[0] - ended_at <= WITHIN_US + TURNS_US

    run(go, virtual=True)
