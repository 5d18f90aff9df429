"""Connections to engines of the gRPC node that fall silent with no error: states are let go in time, requests
are served.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from world import World, run, until, world

from tuliptrack.lab.soak.proxy import Fault, FaultProxy
from tuliptrack.rpc.status import Code

RELEASE_WITHIN_US = 300_000
REQUESTS = 12
NEVER = 1 << 62

Proxies = dict[str, FaultProxy]


@asynccontextmanager
async def proxied(engines: str, settings: str) -> AsyncIterator[tuple[World, Proxies]]:
    """A world with a proxy before each engine, and connections to all of them."""
    async with world(engines, settings=settings) as w:
        proxies = {
            name: await FaultProxy(engine.server.address).start() for name, engine in w.engines.items()
        }
        try:
            await w.list_at({name: proxy.address for name, proxy in proxies.items()})
            for _ in range(20):
                warm = [w.ask() for _ in range(8)]
                await asyncio.gather(*(one.wait() for one in warm))
                if all(proxy.open_connections for proxy in proxies.values()):
                    break
            yield w, proxies
        finally:
            for proxy in proxies.values():
                await proxy.close()


def silence_open(roles: str) -> Callable[[Proxies], None]:
    """The connections to engines of these roles that are open now swallow everything; new ones work."""

    def begin(proxies: Proxies) -> None:
        for name, proxy in proxies.items():
            if name[0] in roles:
                proxy.fail_open_connections(Fault.DISCARD)

    return begin


def silence_machine(name: str) -> Callable[[Proxies], None]:
    """All connections to an engine swallow everything, new ones too."""
    return lambda proxies: proxies[name].fail_machine(Fault.DISCARD)


SILENCES: dict[str, Callable[[Proxies], object]] = {
    "a writer": silence_machine("w0"),
    "a reader": silence_machine("r0"),
    "open connections": silence_open("rw"),
}


def longest_held(w: World, since: int) -> int:
    """For how many microseconds a state was held at most, of those read since a moment: until it was let go,
    or an attempt that came for it had reached a writer.
    """
    rows = [row for row in w.seen() if row["t"] >= since]

    def settled(kept: dict[str, Any]) -> int:
        ends = [
            row["t"]
            for row in rows
            if row["t"] >= kept["t"]
            and (
                (row["what"] == "let go" and row["state"] == kept["state"])
                or (row["what"] == "call" and row["kind"] == "write" and row["request"] == kept["request"])
            )
        ]
        return min(ends, default=NEVER)

    return max((settled(row) - row["t"] for row in rows if row["what"] == "kept"), default=0)


@pytest.mark.parametrize("silence", SILENCES)
def test_what_falls_silent_holds_no_state_and_loses_no_request(silence: str) -> None:
    async def go() -> None:
        async with proxied("r0 r1 r2 w0 w1 w2 w3", "") as (w, proxies):
            SILENCES[silence](proxies)
            since = max(row["t"] for row in w.seen())
            asked = [w.ask(timeout=4) for _ in range(REQUESTS)]
            ends = [await one.wait() for one in asked]
            await until(lambda: not w.node.table.open)
            assert sum(end.status.code is Code.OK for end in ends) >= 0.9 * REQUESTS
            assert longest_held(w, since) <= RELEASE_WITHIN_US

    run(go, virtual=True)
