"""KV states are released in the time that the settings allow, judged by when engines got the releases.

"In time" below is what the platform allows: the settings' time and 0.3 s more."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest
from relay_world import SETTINGS, Peer, Platform, Seen, Vanished, hangs, platform, reads, request, writes
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
    """When engines answered prefills, and when they got releases, by request."""

    prefilled_at: dict[str, float] = field(default_factory=dict)
    released_at: dict[str, list[float]] = field(default_factory=dict)

    async def prefill(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        """A prefill engine that answers at once."""
        if one.method == "DELETE":
            self.record_release(one)
        else:
            self.prefilled_at[one.call_id] = now()
        await reads(one, writer)

    async def ignores_releases(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        """A prefill engine whose machine is cut off after its prefill: it never answers a release, which does
        not count."""
        if one.method == "DELETE":
            await hangs(one, writer)
        await self.prefill(one, writer)

    async def hanging_decode(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        """A decode engine that accepts requests and releases and never starts an answer."""
        if one.method == "DELETE":
            self.record_release(one)
            await reads(one, writer)
        await hangs(one, writer)

    def record_release(self, one: Seen) -> None:
        self.released_at.setdefault(one.target.rpartition("/")[2], []).append(now())


BODY = b'{"stream":true,"x":"%b"}' % (b"x" * 200_000)


class SilentMachine(Peer):
    """An engine whose machine has fallen silent: connections come up, most of what is written to them is
    never confirmed."""

    def __init__(self) -> None:
        super().__init__(hangs)
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
    """A state may have been reserved after the first round was confirmed: its time runs from the second request
    for a release on, so that waiting for the next round would be late."""

    async def go() -> None:
        line = Timeline()
        async with platform(r0=line.prefill, w0=line.prefill) as p:
            release(p, "again", "r0", may_end_later=True)
            await until(
                lambda: (
                    line.released_at.get("again") and p.relay.channels.releases.awaits_next_round("again")
                ),
                2.0,
            )
            requested_at = now()
            release(p, "again", "r0", may_end_later=True)
            await until(lambda: len(line.released_at["again"]) == 2, 2.0)
            assert line.released_at["again"][1] - requested_at < ALLOWED_S / 4

    run(go, virtual=True)


def test_a_state_is_released_in_time_if_its_decode_attempt_never_arrived() -> None:
    """The machine of the decode engine has fallen silent: connections come up, and most of the attempt's bytes
    are never confirmed."""

    async def go() -> None:
        line = Timeline()
        async with platform(r0=line.prefill, w0=SilentMachine()) as p:
            asking = asyncio.ensure_future(p.say(request("lost", BODY)))
            await until(lambda: "lost" in line.released_at, 2.0)
            assert line.released_at["lost"][0] - line.prefilled_at["lost"] <= IN_TIME_S
            asking.cancel()

    run(go, virtual=True)


def test_a_state_is_released_in_time_beside_an_attempt_that_waits() -> None:
    """The attempt's bytes were confirmed, which says nothing of its engine. So the state is released beside the
    attempt, which goes on: the engine spares a state that an attempt waits for."""

    async def go() -> None:
        line = Timeline()

        async def slow_decode(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                await asyncio.sleep(2 * ALLOWED_S)
            await line.hanging_decode(one, writer) if one.method == "DELETE" else await writes(one, writer)

        async with platform(r0=line.prefill, w0=slow_decode) as p:
            reply = await p.say(request("slow", BODY))
            assert reply.status == 200 and reply.whole
            assert len(p.engines["w0"].asked()) == 1
            assert line.released_at["slow"][0] - line.prefilled_at["slow"] <= IN_TIME_S

    run(go, virtual=True)


def test_a_broken_prefill_is_released_in_time_while_other_prefill_engines_are_unreachable() -> None:
    """An engine breaks the prefill off and may have reserved a state; the other prefill engines have vanished."""

    async def go() -> None:
        line = Timeline()
        broken_at: list[float] = []

        async def breaks(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                broken_at.append(now())
                writer.transport.abort()
                await hangs(one, writer)
            await line.prefill(one, writer)

        async with platform(r0=breaks, r1=Vanished(), r2=Vanished(), r3=Vanished(), w0=line.prefill) as p:
            requests = 0
            while not broken_at:  # The prefix decides which engine is first.
                requests += 1
                await p.say(
                    request(
                        f"left-{requests}",
                        X_Call_Info=f"prefix={requests},prompt_len=9,prefix_len=4,max_out=20",
                    )
                )
            await until(lambda: f"left-{requests}" in line.released_at, 2.0)
            assert line.released_at[f"left-{requests}"][0] - broken_at[0] <= IN_TIME_S

    run(go, virtual=True)


def test_a_release_does_not_wait_for_one_silent_engine_after_another() -> None:
    """Seven of eight engines never answer a release."""

    async def go() -> None:
        line = Timeline()
        deaf: dict[str, Any] = {f"r{n}": line.ignores_releases for n in range(6)}
        async with platform(None, **deaf, w0=line.ignores_releases, w1=line.prefill) as p:
            started_at = now()
            release(p, "stuck", "r0")
            await until(lambda: "stuck" in line.released_at, 2.0)
            assert line.released_at["stuck"][0] - started_at <= ALLOWED_S

    run(go, virtual=True)


def test_engines_that_reject_connections_are_tried_at_a_bounded_rate() -> None:
    """All engines reject connections, so that each try of a release fails at once."""

    async def go() -> None:
        line = Timeline()
        names = [f"r{n}" for n in range(6)]
        engines: dict[str, Any] = dict.fromkeys(names, line.prefill)
        async with platform(None, **engines, w0=line.prefill) as p:
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
        line = Timeline()
        async with platform(r0=line.prefill, w0=line.prefill) as p:
            wanted = {f"many-{n}" for n in range(700)}
            for call_id in sorted(wanted):
                release(p, call_id, "r0")
            await until(lambda: set(line.released_at) == wanted, 5.0)

    run(go, virtual=True)


def test_no_release_is_made_while_another_attempt_of_the_request_goes_on() -> None:
    """The first prefill is given up; the state of the second one goes to a decode engine, whose first token
    releases whatever was reserved."""

    async def go() -> None:
        line = Timeline()
        first: list[str] = []

        async def silent_at_first(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST" and not first:
                first.append(one.call_id)
                await hangs(one, writer)
            await line.prefill(one, writer)

        async def slow_decode(one: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.8 * ALLOWED_S)
            await writes(one, writer)

        async with platform(r0=silent_at_first, r1=silent_at_first, w0=slow_decode) as p:
            reply = await p.say(request("again"))
            answered_at = now()
            assert reply.status == 200 and reply.whole
            assert all(at >= answered_at - 0.01 for at in line.released_at.get("again", []))
            assert not p.engines["w0"].asked("DELETE")

    run(go, virtual=True)


def test_a_prefill_that_ends_just_after_it_was_given_up_is_released() -> None:
    """The client leaves while its prefill runs. The first release may arrive before the prefill has ended, and
    what that reserves is released by a second one."""

    async def go() -> None:
        line = Timeline()

        async def hanging_prefill(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "POST":
                await hangs(one, writer)
            await line.prefill(one, writer)

        async with platform(r0=hanging_prefill, w0=line.prefill) as p:
            _, writer = await p.connect()
            writer.write(request("crossing"))
            await until(lambda: bool(p.engines["r0"].asked()))
            left_at = now()
            writer.close()
            await until(lambda: len(line.released_at.get("crossing", [])) == 2, 2.0)
            assert line.released_at["crossing"][1] - left_at <= IN_TIME_S

    run(go, virtual=True)


async def state_is_gone_410(one: Seen, writer: asyncio.StreamWriter) -> None:
    if one.method == "DELETE":
        await reads(one, writer)
        return
    writer.write(b"HTTP/1.1 410 Gone\r\nx-rejected: 1\r\ncontent-length: 0\r\n\r\n")


def test_a_state_that_an_engine_reports_as_gone_is_released_all_the_same() -> None:
    """A decode engine answers that the state is gone, which may be wrong."""

    async def go() -> None:
        line = Timeline()
        no_more_tries = {"settings": {"limits": {**SETTINGS["limits"], "mostTries": 2}}}
        async with platform(no_more_tries, r0=line.prefill, w0=state_is_gone_410) as p:
            assert (await p.say(request("said"))).status == 503
            await until(lambda: [one.target for one in p.saw("DELETE")] == ["/bootstrap/rooms/said"], 2.0)

    run(go, virtual=True)


def test_a_state_is_released_and_the_request_ends_if_the_router_fails() -> None:
    """A defect in the router shows as an exception at the end of an attempt."""

    async def go() -> None:
        line = Timeline()
        async with platform(r0=line.prefill, w0=writes) as p:
            handle = p.relay.router.handle

            def failing_handle(at: int, events: list[io.Event]) -> list[io.Action]:
                if any(isinstance(event, io.AttemptEnded) for event in events):
                    raise RuntimeError("a defect")
                return handle(at, events)

            p.relay.router.handle = failing_handle  # type: ignore[method-assign,assignment]
            reply = await p.say(request("broken"))
            assert reply.status == 502 and reply.whole
            await until(lambda: "broken" in line.released_at, 2.0)
            assert line.released_at["broken"][0] - line.prefilled_at["broken"] <= IN_TIME_S

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
def test_what_is_reserved_as_the_node_ends_is_released_before_its_end(changes: dict[str, Any]) -> None:
    """The node ends while an attempt runs, and engines are slow to confirm the release."""

    async def go() -> None:
        line = Timeline()

        async def slow_to_release(one: Seen, writer: asyncio.StreamWriter) -> None:
            if one.method == "DELETE":
                await asyncio.sleep(ALLOWED_S / 2)
            await line.hanging_decode(one, writer)

        async with platform(changes, r0=line.ignores_releases, w0=slow_to_release) as p:
            _, writer = await p.connect()
            writer.write(request("open"))
            await until(lambda: bool(p.engines["w0"].asked()))
            p.relay.front.server.abort_connections()
            await p.relay.stop(0.0, 0.0)
            assert "open" in line.released_at
            assert now() - line.prefilled_at["open"] < 2.0

    run(go, virtual=True)
