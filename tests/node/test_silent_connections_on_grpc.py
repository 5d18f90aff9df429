"""Connections of the gRPC node to engines that fall silent without an error: KV states are released in time
and requests are served.
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
    """Run a node and engines with a proxy in front of each engine, and open connections to all of them."""
    async with world(engines, settings=settings) as w:
        proxies = {
            name: await FaultProxy(engine.server.address).start() for name, engine in w.engines.items()
        }
        try:
            await w.list_at({name: proxy.address for name, proxy in proxies.items()})
            for _ in range(20):
                warm_up = [w.ask() for _ in range(8)]
                await asyncio.gather(*(request.wait() for request in warm_up))
                if all(proxy.open_connections for proxy in proxies.values()):
                    break
            yield w, proxies
        finally:
            for proxy in proxies.values():
                await proxy.close()


def silence_open(roles: str) -> Callable[[Proxies], None]:
    """Return a fault: the open connections to engines of these roles discard all data; new connections
    work."""

    def begin(proxies: Proxies) -> None:
        for name, proxy in proxies.items():
            if name[0] in roles:
                proxy.fail_open_connections(Fault.DISCARD)

    return begin


def silence_machine(name: str) -> Callable[[Proxies], None]:
    """Return a fault: all connections to an engine discard all data, including new connections."""
    return lambda proxies: proxies[name].fail_machine(Fault.DISCARD)


SILENCES: dict[str, Callable[[Proxies], object]] = {
    "a decode engine": silence_machine("w0"),
    "a prefill engine": silence_machine("r0"),
    "open connections": silence_open("rw"),
}


def longest_reserved_us(w: World, since: int) -> int:
    """Return the longest time in microseconds for which a KV state prefilled after `since` was reserved:
    until the state was released, or an attempt that fetches it had reached a decode engine.
    """
    rows = [row for row in w.seen() if row["t"] >= since]

    def released_or_fetched_at(kept: dict[str, Any]) -> int:
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

    return max((released_or_fetched_at(row) - row["t"] for row in rows if row["what"] == "kept"), default=0)


@pytest.mark.parametrize("silence", SILENCES)
def test_states_are_released_and_requests_served_while_connections_are_silent(silence: str) -> None:
    async def scenario() -> None:
        async with proxied("r0 r1 r2 w0 w1 w2 w3", "") as (w, proxies):
            SILENCES[silence](proxies)
            since = max(row["t"] for row in w.seen())
            requests = [w.ask(timeout=4) for _ in range(REQUESTS)]
            ends = [await request.wait() for request in requests]
            await until(lambda: not w.node.table.open)
            assert sum(end.status.code is Code.OK for end in ends) >= 0.9 * REQUESTS
            assert longest_reserved_us(w, since) <= RELEASE_WITHIN_US

    run(scenario, virtual=True)
