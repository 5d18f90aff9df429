"""KV states are released within the time that the settings allow, as judged by the times at which engines got
the releases.

"In time" means within the time that the platform allows: the time in the settings plus 0.3 s."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest
from relay_harness import (
    SETTINGS,
    Peer,
    Platform,
    ReceivedRequest,
    UnreachableEngine,
    answer_decode,
    answer_prefill,
    never_answer,
    platform,
    request,
)
from world import run, until

from tuliptrack import interface as io
from tuliptrack.node.request_reader import key
from tuliptrack.node.requests import RequestRecord

ALLOWED_S = SETTINGS["specifics"]["letGoBy"] / 1e6
IN_TIME_S = ALLOWED_S + 0.3


def now() -> float:
    return asyncio.get_running_loop().time()


@dataclass
class Timeline:
    """The times at which engines answered prefills and got releases, by request."""

    prefilled_at: dict[str, float] = field(default_factory=dict)
    released_at: dict[str, list[float]] = field(default_factory=dict)

    async def prefill(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """A prefill engine that answers at once."""
        if received.method == "DELETE":
            self.record_release(received)
        else:
            self.prefilled_at[received.call_id] = now()
        await answer_prefill(received, writer)

    async def ignores_releases(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """A prefill engine whose machine is cut off after its prefill: it never answers a release, and releases
        that it gets are not recorded."""
        if received.method == "DELETE":
            await never_answer(received, writer)
        await self.prefill(received, writer)

    async def hanging_decode(self, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """A decode engine that accepts requests and releases and never starts an answer."""
        if received.method == "DELETE":
            self.record_release(received)
            await answer_prefill(received, writer)
        await never_answer(received, writer)

    def record_release(self, received: ReceivedRequest) -> None:
        self.released_at.setdefault(received.target.rpartition("/")[2], []).append(now())


LARGE_BODY = b'{"stream":true,"x":"%b"}' % (b"x" * 200_000)


class SilentMachine(Peer):
    """An engine whose machine has fallen silent: connections open, but most of what is written to them is never
    acknowledged by TCP."""

    def __init__(self) -> None:
        super().__init__(never_answer)
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)

    async def start(self) -> Peer:
        self.address = "{}:{}".format(*self._listener.getsockname())
        return self

    async def stop(self) -> None:
        self._listener.close()


def release(p: Platform, call_id: str, engine: str, may_end_later: bool = False) -> None:
    """Release what one engine has reserved for a request that has ended."""
    record = SimpleNamespace(client_request=SimpleNamespace(call_id=call_id))
    p.relay.channels.release(key(engine), cast(RequestRecord, record), has_unconfirmed_attempt=may_end_later)


def test_a_release_between_two_rounds_of_an_earlier_one_starts_at_once() -> None:
    """A state may have been reserved after the first round was confirmed. The time allowed for its release
    runs from the second call of `release`, so a release that waited for the next round would be too late."""

    async def go() -> None:
        timeline = Timeline()
        async with platform(r0=timeline.prefill, w0=timeline.prefill) as p:
            release(p, "again", "r0", may_end_later=True)
            await until(
                lambda: (
                    timeline.released_at.get("again") and p.relay.channels.releases.awaits_next_round("again")
                ),
                2.0,
            )
            requested_at = now()
            release(p, "again", "r0", may_end_later=True)
            await until(lambda: len(timeline.released_at["again"]) == 2, 2.0)
            assert timeline.released_at["again"][1] - requested_at < ALLOWED_S / 4

    run(go, virtual=True)


def test_a_state_is_released_in_time_if_its_decode_attempt_never_arrived() -> None:
    """The machine of the decode engine has fallen silent: connections open, but most of the attempt's bytes are never
    acknowledged by TCP."""

    async def go() -> None:
        timeline = Timeline()
        async with platform(r0=timeline.prefill, w0=SilentMachine()) as p:
            reply = asyncio.ensure_future(p.send(request("lost", LARGE_BODY)))
            await until(lambda: "lost" in timeline.released_at, 2.0)
            assert timeline.released_at["lost"][0] - timeline.prefilled_at["lost"] <= IN_TIME_S
            reply.cancel()

    run(go, virtual=True)


def test_a_state_is_released_in_time_while_its_attempt_waits() -> None:
    """The attempt's bytes were acknowledged by TCP, which does not prove that the engine has them. So the
    state is released while the attempt is in flight: an engine keeps a state for which an attempt waits."""

    async def go() -> None:
        timeline = Timeline()

        async def slow_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST":
                await asyncio.sleep(2 * ALLOWED_S)
            await timeline.hanging_decode(
                received, writer
            ) if received.method == "DELETE" else await answer_decode(received, writer)

        async with platform(r0=timeline.prefill, w0=slow_decode) as p:
            reply = await p.send(request("slow", LARGE_BODY))
            assert reply.status == 200 and reply.is_complete
            assert len(p.engines["w0"].received()) == 1
            assert timeline.released_at["slow"][0] - timeline.prefilled_at["slow"] <= IN_TIME_S

    run(go, virtual=True)


def test_a_broken_prefill_is_released_in_time_while_other_prefill_engines_are_unreachable() -> None:
    """An engine breaks the prefill off and may have reserved a state; the other prefill engines have vanished."""

    async def go() -> None:
        timeline = Timeline()
        broken_at: list[float] = []

        async def breaks(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST":
                broken_at.append(now())
                writer.transport.abort()
                await never_answer(received, writer)
            await timeline.prefill(received, writer)

        async with platform(
            r0=breaks,
            r1=UnreachableEngine(),
            r2=UnreachableEngine(),
            r3=UnreachableEngine(),
            w0=timeline.prefill,
        ) as p:
            requests = 0
            while not broken_at:  # The prefix decides which engine is first.
                requests += 1
                await p.send(
                    request(
                        f"left-{requests}",
                        X_Call_Info=f"prefix={requests},prompt_len=9,prefix_len=4,max_out=20",
                    )
                )
            await until(lambda: f"left-{requests}" in timeline.released_at, 2.0)
            assert timeline.released_at[f"left-{requests}"][0] - broken_at[0] <= IN_TIME_S

    run(go, virtual=True)


def test_a_release_does_not_wait_for_one_silent_engine_after_another() -> None:
    """Seven of eight engines never answer a release."""

    async def go() -> None:
        timeline = Timeline()
        unresponsive: dict[str, Any] = {f"r{n}": timeline.ignores_releases for n in range(6)}
        async with platform(None, **unresponsive, w0=timeline.ignores_releases, w1=timeline.prefill) as p:
            started_at = now()
            release(p, "stuck", "r0")
            await until(lambda: "stuck" in timeline.released_at, 2.0)
            assert timeline.released_at["stuck"][0] - started_at <= ALLOWED_S

    run(go, virtual=True)


def test_engines_that_reject_connections_are_tried_at_a_bounded_rate() -> None:
    """All engines reject connections, so that each try of a release fails at once."""

    async def go() -> None:
        timeline = Timeline()
        names = [f"r{n}" for n in range(6)]
        engines: dict[str, Any] = dict.fromkeys(names, timeline.prefill)
        async with platform(None, **engines, w0=timeline.prefill) as p:
            for engine in p.engines.values():
                await engine.stop()
            before = p.relay.pools.connections.made
            release(p, "nobody", "r0")
            await asyncio.sleep(3 * ALLOWED_S)
            assert 4 <= p.relay.pools.connections.made - before <= 19 + 3 * 4

    run(go, virtual=True)


def test_more_releases_than_tries_may_be_open_all_reach_an_engine() -> None:
    """More releases start at once than tries may be open: some wait for capacity."""

    async def go() -> None:
        timeline = Timeline()
        async with platform(r0=timeline.prefill, w0=timeline.prefill) as p:
            wanted = {f"many-{n}" for n in range(700)}
            for call_id in sorted(wanted):
                release(p, call_id, "r0")
            await until(lambda: set(timeline.released_at) == wanted, 5.0)

    run(go, virtual=True)


def test_no_release_is_made_while_another_attempt_of_the_request_goes_on() -> None:
    """The first prefill is cancelled; the state of the second one goes to a decode engine, whose first token
    releases whatever was reserved."""

    async def go() -> None:
        timeline = Timeline()
        first: list[str] = []

        async def silent_at_first(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST" and not first:
                first.append(received.call_id)
                await never_answer(received, writer)
            await timeline.prefill(received, writer)

        async def slow_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.8 * ALLOWED_S)
            await answer_decode(received, writer)

        async with platform(r0=silent_at_first, r1=silent_at_first, w0=slow_decode) as p:
            reply = await p.send(request("again"))
            answered_at = now()
            assert reply.status == 200 and reply.is_complete
            assert all(at >= answered_at - 0.01 for at in timeline.released_at.get("again", []))
            assert not p.engines["w0"].received("DELETE")

    run(go, virtual=True)


def test_a_prefill_that_ends_just_after_it_was_cancelled_is_released() -> None:
    """The client leaves while its prefill runs. The first release may arrive before the prefill has ended,
    and a second release frees what the prefill reserves."""

    async def go() -> None:
        timeline = Timeline()

        async def hanging_prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST":
                await never_answer(received, writer)
            await timeline.prefill(received, writer)

        async with platform(r0=hanging_prefill, w0=timeline.prefill) as p:
            _, writer = await p.connect()
            writer.write(request("crossing"))
            await until(lambda: bool(p.engines["r0"].received()))
            left_at = now()
            writer.close()
            await until(lambda: len(timeline.released_at.get("crossing", [])) == 2, 2.0)
            assert timeline.released_at["crossing"][1] - left_at <= IN_TIME_S

    run(go, virtual=True)


async def state_is_gone_410(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    if received.method == "DELETE":
        await answer_prefill(received, writer)
        return
    writer.write(b"HTTP/1.1 410 Gone\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")


def test_a_state_that_an_engine_reports_as_gone_is_released_all_the_same() -> None:
    """A decode engine answers that the state is gone, which may be wrong."""

    async def go() -> None:
        timeline = Timeline()
        no_more_tries = {"settings": {"limits": {**SETTINGS["limits"], "mostTries": 2}}}
        async with platform(no_more_tries, r0=timeline.prefill, w0=state_is_gone_410) as p:
            assert (await p.send(request("said"))).status == 503
            await until(
                lambda: [one.target for one in p.received("DELETE")] == ["/bootstrap/rooms/said"], 2.0
            )

    run(go, virtual=True)


def test_a_state_is_released_and_the_request_ends_if_the_router_fails() -> None:
    """A defect in the router shows as an exception at the end of an attempt."""

    async def go() -> None:
        timeline = Timeline()
        async with platform(r0=timeline.prefill, w0=answer_decode) as p:
            handle = p.relay.router.handle

            def failing_handle(at: int, events: list[io.Event]) -> list[io.Action]:
                if any(isinstance(event, io.AttemptEnded) for event in events):
                    raise RuntimeError("a defect")
                return handle(at, events)

            p.relay.router.handle = failing_handle  # type: ignore[method-assign,assignment]
            reply = await p.send(request("broken"))
            assert reply.status == 502 and reply.is_complete
            await until(lambda: "broken" in timeline.released_at, 2.0)
            assert timeline.released_at["broken"][0] - timeline.prefilled_at["broken"] <= IN_TIME_S

    run(go, virtual=True)


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({}, id="attempts may be cancelled"),
        pytest.param(
            {"settings": {"limits": {**SETTINGS["limits"], "cancel": False}}},
            id="attempts may not be cancelled",
        ),
    ],
)
def test_a_state_that_is_reserved_as_the_node_stops_is_released_before_it_exits(
    changes: dict[str, Any],
) -> None:
    """The node stops while an attempt runs, and engines are slow to confirm the release."""

    async def go() -> None:
        timeline = Timeline()

        async def slow_to_release(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "DELETE":
                await asyncio.sleep(ALLOWED_S / 2)
            await timeline.hanging_decode(received, writer)

        async with platform(changes, r0=timeline.ignores_releases, w0=slow_to_release) as p:
            _, writer = await p.connect()
            writer.write(request("open"))
            await until(lambda: bool(p.engines["w0"].received()))
            p.relay.front.server.abort_connections()
            await p.relay.stop(0.0, 0.0)
            assert "open" in timeline.released_at
            assert now() - timeline.prefilled_at["open"] < 2.0

    run(go, virtual=True)
