"""Pools whose peers end new connections at once. Each test forces the moment at which the end is noticed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from relay_harness import fin, reset
from world import run

from tuliptrack.decisions.concurrency_limit import ByteBudget
from tuliptrack.rpc import http1_pool
from tuliptrack.rpc.dial import dial
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer
from tuliptrack.rpc.http1_client import ClientConnection, ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool

CONNECTIONS = 4


async def unnoticed(connection: ClientConnection) -> None:
    """The connection is used before the loop looks at its socket."""


async def noticed(connection: ClientConnection) -> None:
    """The loop has reported the end of the connection before it is used."""
    while not connection.dead:
        await asyncio.sleep(0)


async def outcome_of(pool: Pool) -> tuple[ExchangeOutcome, bool]:
    """Send a request; return its outcome, and whether it counts as sent."""
    ended: asyncio.Future[ExchangeOutcome] = asyncio.get_running_loop().create_future()
    exchange = Exchange("POST", "/", [("host", "a")], b"{}")
    exchange.on_end = lambda how, reason: ended.set_result(how)
    pool.send(exchange)
    return await asyncio.wait_for(ended, 5.0), exchange.sent


def respond(call: HttpCall) -> None:
    call.respond(200, b"{}")


# Guards against a pool that fails for good, as connections that ended at once count in its budget forever.
@pytest.mark.parametrize("end", [fin, reset])
@pytest.mark.parametrize("notice", [unnoticed, noticed])
def test_connections_that_end_as_they_are_opened_send_nothing_and_leave_the_budget(
    end: Callable[[socket.socket], None],
    notice: Callable[[ClientConnection], Awaitable[None]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        listener = socket.create_server(("127.0.0.1", 0))

        async def dial_and_be_ended(opening: Callable[[], Awaitable[Any]], within_s: float) -> Any:
            opened = await dial(opening, within_s)
            end(listener.accept()[0])
            await notice(opened[1])
            return opened

        monkeypatch.setattr(http1_pool, "dial", dial_and_be_ended)
        budget = ConnectionBudget(CONNECTIONS)
        host, port = listener.getsockname()
        pool = Pool(f"{host}:{port}", ClientOptions(), budget)
        for _ in range(3 * CONNECTIONS):
            assert await outcome_of(pool) == (ExchangeOutcome.CONNECT, False)
        assert (budget.open_count, len(pool.links), len(pool.idle)) == (0, 0, 0)
        listener.close()

        monkeypatch.undo()
        server = HttpServer(respond, lambda call: None, HttpLimits(), ByteBudget(1 << 20))
        sound = Pool(await server.listen(), ClientOptions(), budget)
        assert (await outcome_of(sound))[0] is ExchangeOutcome.ANSWER
        await sound.close()
        await pool.close()
        assert budget.open_count == 0
        await server.stop()

    run(go)
