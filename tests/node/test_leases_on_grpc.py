"""Leases of read states on the gRPC node: they end in time while connections to writers fail to come up."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from relay_world import Vanished
from world import World, run, until, world

from tuliptrack.rpc.status import Code

RELEASE_WITHIN_US = 300_000


@asynccontextmanager
async def vanished_writers(engines: str, settings: str = "") -> AsyncIterator[World]:
    """A world in which no connection to a writer comes up."""
    async with world(engines, settings=settings) as w:
        writers = {name: await Vanished().start() for name in w.engines if name.startswith("w")}
        try:
            await w.list_at({name: writer.address for name, writer in writers.items()})
            yield w
        finally:
            for writer in writers.values():
                await writer.stop()


def held_for(w: World) -> list[int]:
    """For how many microseconds each state was held."""
    let_go = {row["state"]: row["t"] for row in w.seen("let go")}
    return [let_go[row["state"]] - row["t"] for row in w.seen("kept")]


def test_a_state_is_let_go_in_time_while_no_connection_to_a_writer_comes_up() -> None:
    async def go() -> None:
        async with vanished_writers("r0 r1 w0 w1") as w:
            one = w.ask()
            assert (await one.wait()).status.code is not Code.OK
            await until(lambda: not w.node.table.open)
            await until(lambda: len(w.seen("let go")) == len(w.seen("kept")))
            assert held_for(w)
            assert max(held_for(w)) <= RELEASE_WITHIN_US

    run(go, virtual=True)


def test_a_client_that_leaves_while_a_connection_comes_up_ends_the_attempt_at_once() -> None:
    async def go() -> None:
        async with vanished_writers("r0 w0", "engines { connect_timeout_ms: 5000 }") as w:
            one = w.ask()
            await until(lambda: w.seen("kept"))
            assert one.call
            one.call.cancel()
            await until(lambda: not w.node.table.open)
            await until(lambda: w.seen("let go"))
            assert max(held_for(w)) <= RELEASE_WITHIN_US

    run(go, virtual=True)
