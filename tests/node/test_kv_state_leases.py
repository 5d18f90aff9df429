"""Leases of KV states: each lease expires eventually, whatever the results of the attempts that use the
state."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from world import run

from tuliptrack.decisions.model_catalog import Model
from tuliptrack.fronts.port import ClientRequest
from tuliptrack.interface import Status
from tuliptrack.node.attempt_state import Delivery
from tuliptrack.node.counters import Counters
from tuliptrack.node.kv_state_leases import KvStateLeases
from tuliptrack.node.port import AttemptResult, EngineClient
from tuliptrack.node.requests import Attempt, KvStateLocation, RequestRecord, RequestTable
from tuliptrack.rpc.clock import now_us

RELEASE_WITHIN_US = 300_000
RELEASE_WITHIN_S = RELEASE_WITHIN_US / 1e6
LOOP_LATENCY_US = 1_000


class CorroboratedCall:
    """An attempt in flight whose arrival is corroborated by other connections of its engine."""

    def delivery(self) -> Delivery:
        return Delivery.CORROBORATED

    def confirm_arrival(self) -> None: ...

    def mark_doubtful(self) -> None: ...


class RecordingEngines:
    """Engines that record when a state is released."""

    release_transit_us = 0
    releases_are_global = True

    def __init__(self) -> None:
        self.released_at: list[int] = []

    def release(self, endpoint_id: int, record: RequestRecord, has_unconfirmed_attempt: bool = False) -> None:
        self.released_at.append(now_us())

    def cancel_release(self, record: RequestRecord) -> None: ...


def make_record() -> RequestRecord:
    """Return a request's record as the table makes it; leases use neither its client nor its router."""
    unused: Any = None
    table = RequestTable("n")
    return table.add(ClientRequest("chat", "prompt"), unused, now_us() + 1_000_000, now_us(), unused, Model())


@pytest.mark.parametrize(
    "status", [Status.AT_CAPACITY, Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED]
)
@pytest.mark.parametrize("is_prefill", [True, False], ids=["prefill", "decode"])
def test_lease_stopped_by_an_arrival_restarts_when_the_attempt_ends(status: Status, is_prefill: bool) -> None:
    """The arrival of an attempt stops the lease of the state. If the attempt then ends without using the
    state, nothing else would release it, and the engine's memory would stay reserved forever. So the lease
    has to restart, both for a prefill (the state that an earlier prefill may have left) and for a decode (the
    state that the prefill left).
    """

    async def scenario() -> None:
        engines = RecordingEngines()
        leases = KvStateLeases(RELEASE_WITHIN_US, lambda: cast(EngineClient, engines), now_us, Counters())
        record = make_record()
        if is_prefill:
            record.possible_kv_state_endpoint_id = 1
            leases.restart(record)
        else:
            leases.start(record, KvStateLocation(1, "", ""))
        attempt = Attempt(
            1,
            2,
            now_us(),
            call=cast(Any, CorroboratedCall()),
            is_prefill=is_prefill,
            state_endpoint_id=0 if is_prefill else 1,
        )
        record.attempt = attempt
        await asyncio.sleep(2 * RELEASE_WITHIN_S)
        assert not engines.released_at, "the attempt is still in flight at its engine"
        record.attempt, ended_at = None, now_us()
        ended = AttemptResult(status, is_corroborated=True)
        leases.handle_attempt_ended(record, attempt, ended)
        if not is_prefill:
            leases.handle_decode_without_token(record, attempt, ended)
        await asyncio.sleep(2 * RELEASE_WITHIN_S)
        assert (
            engines.released_at and engines.released_at[0] - ended_at <= RELEASE_WITHIN_US + LOOP_LATENCY_US
        )

    run(scenario, virtual=True)
