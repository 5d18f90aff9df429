"""One connection pool for each engine of the endpoint list, at its current address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping

from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool, no_probe

__all__ = ["EnginePools"]


class EnginePools:
    """The pools by `endpoint_id`. `ConnectionBudget` bounds the connections of all pools together."""

    def __init__(self, options: ClientOptions, connections: ConnectionBudget) -> None:
        self.options, self.connections = options, connections
        self.make_probe: Callable[[str], Exchange | None] = no_probe
        """Makes a request without effect that shows whether a connection works; see `Pool`."""
        self.addresses: dict[int, str] = {}
        """host:port of the listed endpoints."""
        self._pools: dict[int, Pool] = {}
        self._retired: list[Pool] = []
        """Pools of endpoints that were removed or changed their address, kept until their exchanges have
        ended."""
        self._closing: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[int]:
        """Iterate over the listed endpoints."""
        return iter(self.addresses)

    def __contains__(self, endpoint_id: int) -> bool:
        """Return whether the endpoint is listed."""
        return endpoint_id in self.addresses

    def get_or_create(self, endpoint_id: int) -> Pool | None:
        """Return the pool of an endpoint; None if the list states no address."""
        pool = self._pools.get(endpoint_id)
        if pool is None and (address := self.addresses.get(endpoint_id)):
            # `make_probe` is looked up at each use, since it may be set after the first pools are created.
            pool = Pool(address, self.options, self.connections, lambda to: self.make_probe(to))
            self._pools[endpoint_id] = pool
        return pool

    def get(self, endpoint_id: int) -> Pool | None:
        """Return the pool of an endpoint; None if no pool has been created for it."""
        return self._pools.get(endpoint_id)

    def all(self) -> list[Pool]:
        """Return every pool, including those of endpoints that were removed or changed their address."""
        return [*self._pools.values(), *self._retired]

    def update(self, addresses: Mapping[int, str]) -> None:
        """Apply the addresses of a new endpoint list.

        An endpoint whose address has changed gets new connections. The old ones are closed when the exchanges
        on them have ended.
        """
        changed = [known for known in self._pools if self.addresses.get(known) != addresses.get(known)]
        for endpoint_id in changed:
            self._retired.append(self._pools.pop(endpoint_id))
        self.addresses = dict(addresses)
        self.sweep()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, and those to endpoints no longer listed."""
        for pool in self._pools.values():
            pool.sweep()
        busy = []
        for pool in self._retired:
            pool.close_idle()
            if pool.busy:
                busy.append(pool)
            else:
                self._close_later(pool)
        self._retired = busy

    async def close(self) -> None:
        """Close every connection and wait for the closing tasks."""
        for pool in self.all():
            await pool.close()
        self._pools, self._retired = {}, []
        if self._closing:
            await asyncio.wait(self._closing)

    def _close_later(self, pool: Pool) -> None:
        task = asyncio.get_running_loop().create_task(pool.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
