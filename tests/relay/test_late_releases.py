"""An engine that hangs during a request and completes the prefill later gets a release of its own, in
time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from relay_harness import (
    SETTINGS,
    Platform,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    platform,
    request,
)
from world import run, until

from tuliptrack.node.request_reader import key
from tuliptrack.relay import late_releases

ALLOWED_S = SETTINGS["specifics"]["letGoBy"] / 1e6


@dataclass
class StoppedPrefillEngine:
    """A prefill engine whose process is stopped. Once the process continues, it handles all requests that
    have reached it, also those that were cancelled meanwhile."""

    continues: asyncio.Event = field(default_factory=asyncio.Event)
    prefilled_at: dict[str, float] = field(default_factory=dict)
    released_at: dict[str, list[float]] = field(default_factory=dict)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def __call__(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if received.method == "POST":
            self._tasks.append(asyncio.ensure_future(self._end_prefill(received.call_id)))
        await self.continues.wait()
        if received.method == "DELETE":
            self.released_at.setdefault(received.target.rpartition("/")[2], []).append(
                asyncio.get_running_loop().time()
            )
        await answer_prefill(received, writer)

    async def _end_prefill(self, call_id: str) -> None:
        await self.continues.wait()
        self.prefilled_at[call_id] = asyncio.get_running_loop().time()

    def released_after_s(self, call_id: str) -> float | None:
        """Return the seconds from the end of a prefill to the first release after it."""
        later = [at for at in self.released_at.get(call_id, []) if at >= self.prefilled_at[call_id]]
        return later[0] - self.prefilled_at[call_id] if later else None


async def time_out(p: Platform, call_id: str) -> None:
    """Send a request whose prefill hangs until the client's deadline."""
    reply = await p.send(request(call_id, budget="0.3"))
    assert reply.status == 504


def test_a_prefill_that_ends_after_a_hang_is_released_in_time() -> None:
    """The engine hangs until long after the request has failed. When the engine continues, it completes the
    prefill and reserves a state that no attempt will use."""

    async def go() -> None:
        engine = StoppedPrefillEngine()
        async with platform(r0=engine, w0=answer_decode) as p:
            await time_out(p, "hung")
            await asyncio.sleep(3 * ALLOWED_S)  # All releases at running engines have ended.
            engine.continues.set()
            await until(lambda: engine.prefilled_at and engine.released_after_s("hung") is not None, 2.0)
            reserved_s = engine.released_after_s("hung")
            assert reserved_s is not None and reserved_s <= ALLOWED_S + 0.3
            await until(lambda: not len(p.relay.channels.late_releases), 2.0)

    run(go, virtual=True)


def test_a_release_that_an_engine_may_process_before_the_prefill_is_followed_by_another() -> None:
    """An engine that continues after a hang processes the requests in its queue in any order."""

    async def go() -> None:
        engine = StoppedPrefillEngine()
        async with platform(r0=engine, w0=answer_decode) as p:
            await time_out(p, "hung")
            await until(
                lambda: any(one.target.endswith("/hung") for one in p.engines["r0"].received("DELETE")), 2.0
            )
            engine.continues.set()
            await until(lambda: len(engine.released_at.get("hung", [])) >= late_releases.ROUNDS, 2.0)

    run(go, virtual=True)


def test_one_release_at_a_time_is_tried_at_an_engine_and_none_after_its_removal() -> None:
    """Many releases are pending at an engine that hangs; then the engine leaves the endpoint list."""

    async def go() -> None:
        engine = StoppedPrefillEngine()
        async with platform(r0=engine, w0=answer_decode) as p:
            releases = p.relay.channels.late_releases
            for number in range(20):
                releases.start(key("r0"), f"many-{number}")
            await asyncio.sleep(2.5 * ALLOWED_S)
            assert 1 <= len(p.engines["r0"].received("DELETE")) <= 4
            p.relay.pools.update({key("w0"): p.engines["w0"].address})
            await until(lambda: not len(releases), 2.0)

    run(go, virtual=True)


def test_pending_releases_are_bounded_and_cancelled_when_the_client_sends_again() -> None:
    """More releases start than may be pending; then a client sends again a request whose release is
    pending."""

    async def go() -> None:
        engine = StoppedPrefillEngine()
        async with platform(r0=engine, w0=answer_decode) as p:
            releases = p.relay.channels.late_releases
            for number in range(late_releases.MAX_PENDING + 5):
                releases.start(key("r0"), f"many-{number}")
            assert len(releases) == late_releases.MAX_PENDING
            assert p.relay.counter_values()["late_releases_dropped"] == 5
            releases.cancel("many-7")
            assert len(releases) == late_releases.MAX_PENDING - 1

    run(go, virtual=True)
