"""After every event, the router's accounts, the node's request table and its connections agree on the
attempts in flight, while engines break, hang, drain and are replaced and clients leave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from random import Random

from relay_harness import (
    STREAM_HEAD,
    TOKEN_EVENTS,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    chunk,
    platform,
    read_reply,
    request,
)
from world import run, until

from tuliptrack import interface as io
from tuliptrack.relay.engine_client import HttpEngineClient
from tuliptrack.relay.http_attempt import HttpAttempt
from tuliptrack.routing.router import Router


def test_router_table_and_connections_agree_on_attempts_in_flight_after_every_event() -> None:
    async def go() -> None:
        random = Random(7)

        async def unsteady(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "DELETE" or (draw := random.random()) < 0.5:
                await asyncio.sleep(random.random() / 30)
                await (
                    answer_prefill
                    if received.method == "DELETE" or received.head.get("host") in prefill_addresses
                    else answer_decode
                )(received, writer)
            elif draw < 0.6:
                writer.transport.abort()
            elif draw < 0.7:
                writer.write(b"HTTP/1.1 503 No\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")
            elif draw < 0.8:
                writer.write(b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n")
            elif draw < 0.9:
                writer.write(STREAM_HEAD + chunk(TOKEN_EVENTS[0]))
                await asyncio.sleep(0.05)
                writer.transport.abort()
            else:
                await asyncio.Event().wait()

        names = ("r0", "r1", "r2", "w0", "w1", "w2", "w3")
        async with platform(None, **{name: unsteady for name in names}) as p:
            prefill_addresses = {p.engines[name].address for name in names if name[0] == "r"}
            relay, engines, comparisons, max_in_flight = p.relay, p.relay.channels, 0, 0
            assert isinstance(engines, HttpEngineClient)
            dispatch = relay.dispatch
            mismatches: list[tuple[int, ...]] = []

            def compare() -> None:
                nonlocal comparisons, max_in_flight
                router = relay.router
                by_router = {
                    (number, endpoint.info.id)
                    for endpoint in router.endpoints.values()
                    for number in (*endpoint.waiting, *endpoint.streams)
                }
                by_table = {
                    record.id: record.attempt for record in relay.table.open.values() if record.attempt
                }
                pools = engines.pools.all()
                on_connections = {link.exchange for pool in pools for link in pool.links if link.exchange}
                connecting = {borrow.exchange for pool in pools for borrow in pool.borrows}
                by_connections = {
                    exchange
                    for exchange in on_connections | connecting
                    if exchange.open and exchange.method == "POST"
                }
                exchanges = {
                    call.exchange
                    for attempt in by_table.values()
                    if isinstance(call := attempt.call, HttpAttempt)
                }
                if by_connections != exchanges or by_router != {
                    (number, attempt.endpoint_id) for number, attempt in by_table.items()
                }:
                    mismatches.append((len(by_router), len(by_table), len(exchanges), len(by_connections)))
                comparisons, max_in_flight = comparisons + 1, max(max_in_flight, len(exchanges))

            def dispatch_and_compare(event: io.Event, router: Router | None = None) -> None:
                is_outermost = not relay.dispatcher.is_running
                dispatch(event, router)
                if is_outermost:
                    compare()

            relay.dispatch = dispatch_and_compare  # type: ignore[method-assign]
            ids = itertools.count()

            async def client() -> None:
                for _ in range(25):
                    reader, writer = await p.connect()
                    writer.write(request(f"v{next(ids)}", budget="1.500"))
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.1 if random.random() < 0.3 else 5):
                            await read_reply(reader)
                    writer.close()

            clients = [asyncio.ensure_future(client()) for _ in range(8)]
            phases = ("Ready", "Terminating", "Gone")
            while not all(task.done() for task in clients):
                await asyncio.sleep(0.05)
                p.publish(
                    **{
                        name: phases[random.randrange(3)] if random.random() < 0.3 else "Ready"
                        for name in names
                    }
                )
            await asyncio.gather(*clients)
            await until(lambda: not relay.table.open)
            compare()
            assert not mismatches, (len(mismatches), mismatches[:5])
            assert comparisons > 500 and max_in_flight > 4, (comparisons, max_in_flight)
            assert not any(
                endpoint.waiting or endpoint.streams for endpoint in relay.router.endpoints.values()
            )

    run(go, 60, virtual=True)
