"""Attempts of the gRPC node that wait for a connection as the node concludes their requests at its shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from relay_harness import delay_connections
from world import run, until, world

from tuliptrack.rpc.status import Code

CONNECT_S = 0.5


# Guards against a call that is rejected as the node stops, and sent once its connection is up.
@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_attempt_that_waits_for_its_connection_is_not_sent_after_the_shutdown_concluded_it(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with world("m0", settings="engines { connect_timeout_ms: 5000 }") as w:
            w.node.router.settings = replace(w.node.router.settings, may_cancel=may_cancel)
            engine_port = int(w.engines["m0"].server.address.rpartition(":")[2])
            delay_connections(monkeypatch, lambda port: CONNECT_S if port == engine_port else 0.0)
            request = w.ask(request_class="order")
            await until(lambda: any(record.attempt for record in w.node.table.open.values()))
            w.node.conclude_open_requests()
            assert (await request.wait()).status.code is Code.UNAVAILABLE
            await asyncio.sleep(2 * CONNECT_S)
            assert not w.seen("call")
            assert not w.node.table.open

    run(scenario, virtual=True)
