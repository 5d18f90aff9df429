"""One pool of connections for each engine of the list, under the address that the list gives now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping

from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange
from tuliptrack.rpc.http1_pool import Connections, Pool, no_question

__all__ = ["EnginePools"]


class EnginePools:
    """The pools by engine. Bound: `Connections`, for all of them together. `close` ends every connection and
    task.
    """

    def __init__(self, options: ClientOptions, connections: Connections) -> None:
        self.options, self.connections = options, connections
        self.make_question: Callable[[str], Exchange | None] = no_question
        """See `Pool`."""
        self.addresses: dict[int, str] = {}
        self._pools: dict[int, Pool] = {}
        self._retired: list[Pool] = []
        """Pools of engines that have gone or moved, kept until what runs on them has ended."""
        self._closing: set[asyncio.Task[None]] = set()

    def __iter__(self) -> Iterator[int]:
        return iter(self.addresses)

    def __contains__(self, server: int) -> bool:
        return server in self.addresses

    def get(self, server: int) -> Pool | None:
        """The pool of an engine, made if need be; None where the list gives no address."""
        found = self._pools.get(server)
        if found is None and (address := self.addresses.get(server)):
            found = self._pools[server] = Pool(
                address, self.options, self.connections, lambda to: self.make_question(to)
            )
        return found

    def all(self) -> list[Pool]:
        """Every pool, also those of engines that have gone or moved."""
        return [*self._pools.values(), *self._retired]

    def made(self, server: int) -> Pool | None:
        """The pool of an engine, where it has been used."""
        return self._pools.get(server)

    def update(self, addresses: Mapping[int, str]) -> None:
        """Take the addresses that hold now. Under a new address an engine has new connections; the old ones
        end with what runs on them.
        """
        for server in [s for s in self._pools if self.addresses.get(s) != addresses.get(s)]:
            self._retired.append(self._pools.pop(server))
        self.addresses = dict(addresses)
        self.sweep()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, and those to engines that have gone."""
        for pool in self._pools.values():
            pool.sweep()
        busy = []
        for pool in self._retired:
            pool.close_idle()
            if pool.busy:
                busy.append(pool)
            else:
                task = asyncio.get_running_loop().create_task(pool.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)
        self._retired = busy

    async def close(self) -> None:
        """End every connection."""
        for pool in self.all():
            await pool.close()
        self._pools, self._retired = {}, []
        if self._closing:
            await asyncio.wait(self._closing)
