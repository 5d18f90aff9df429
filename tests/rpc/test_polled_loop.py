"""How long received bytes may have waited, by the polls of the event loop."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest

from tuliptrack.rpc import clock
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.http1 import HttpCall, HttpServer
from tuliptrack.rpc.polled_loop import PollTimes, new_event_loop


def test_input_found_at_once_may_have_arrived_since_the_poll_before() -> None:
    times = PollTimes(100)
    times.begin(200)
    times.end(5_000)
    assert times.earliest_arrival_us == 5_000, "the poll has waited for it"
    times.begin(900_000)
    times.end(900_010)
    assert times.earliest_arrival_us == 5_000
    times.begin(900_500)
    times.end(900_500)
    assert times.earliest_arrival_us == 900_010


# Guards against a budget that is counted anew after the process was held up: the client counts on.
def test_a_request_that_comes_while_the_loop_is_busy_is_dated_by_the_poll_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    skipped_ns, dates = [0], []
    real = time.monotonic_ns
    monkeypatch.setattr(clock, "time", SimpleNamespace(monotonic_ns=lambda: real() + skipped_ns[0]))

    def handle(call: HttpCall) -> None:
        dates.append(now_us() - call.received_at_us)
        call.respond(200, b"")

    async def go() -> None:
        server = HttpServer(handle, lambda call: None)
        await server.listen()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for is_busy in (False, True, False):
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            if is_busy:
                skipped_ns[0] += 3_000_000_000  # as if the callbacks of this iteration had taken so long
            assert b"200" in await reader.readuntil(b"\r\n\r\n")
        writer.close()
        await server.stop()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(go())
    assert dates[0] < 1_000_000 and dates[2] < 1_000_000
    assert 3_000_000 <= dates[1] < 4_000_000
