"""Leases of KV states on the gRPC node: they expire in time while connections to decode engines can't be
made."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from relay_harness import UnreachableEngine
from world import World, run, until, world

from tuliptrack.rpc.status import Code

RELEASE_WITHIN_US = 300_000


@asynccontextmanager
async def unreachable_decode_engines(engines: str, settings: str = "") -> AsyncIterator[World]:
    """Run a node and engines; no connection to a decode engine can be made."""
    async with world(engines, settings=settings) as w:
        decode_engines = {
            name: await UnreachableEngine().start() for name in w.engines if name.startswith("w")
        }
        try:
            await w.list_at({name: engine.address for name, engine in decode_engines.items()})
            yield w
        finally:
            for engine in decode_engines.values():
                await engine.stop()


def reserved_times_us(w: World) -> list[int]:
    """Return the microseconds for which each KV state was reserved."""
    released_at = {row["state"]: row["t"] for row in w.seen("let go")}
    return [released_at[row["state"]] - row["t"] for row in w.seen("kept")]


def test_state_is_released_in_time_while_no_decode_engine_is_reachable() -> None:
    async def scenario() -> None:
        async with unreachable_decode_engines("r0 r1 w0 w1") as w:
            request = w.ask()
            assert (await request.wait()).status.code is not Code.OK
            await until(lambda: not w.node.table.open)
            await until(lambda: len(w.seen("let go")) == len(w.seen("kept")))
            assert reserved_times_us(w)
            assert max(reserved_times_us(w)) <= RELEASE_WITHIN_US

    run(scenario, virtual=True)


def test_client_that_disconnects_during_a_connection_attempt_ends_the_attempt_at_once() -> None:
    async def scenario() -> None:
        async with unreachable_decode_engines("r0 w0", "engines { connect_timeout_ms: 5000 }") as w:
            request = w.ask()
            await until(lambda: w.seen("kept"))
            assert request.call
            request.call.cancel()
            await until(lambda: not w.node.table.open)
            await until(lambda: w.seen("let go"))
            assert max(reserved_times_us(w)) <= RELEASE_WITHIN_US

    run(scenario, virtual=True)
