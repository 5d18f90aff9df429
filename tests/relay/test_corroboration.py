"""Attempts that bring no word for longer than a lease: those that surely wait at their engine, and those that
never came.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from relay_world import SETTINGS, Peer, Platform, Script, Seen, platform, reads, request, writes
from world import run

from tuliptrack.lab.soak.proxy import Fault, FaultProxy
from tuliptrack.node.request_reader import key

ALLOWED_S = SETTINGS["specifics"]["letGoBy"] / 1e6
IN_TIME_S = ALLOWED_S + 0.3
JAM_S = 3 * ALLOWED_S
PATIENT = {"settings": {"classes": [{**SETTINGS["classes"][0], "promise": 4_000_000}]}}
"""Requests that wait for longer than a jam lasts."""


def now() -> float:
    return asyncio.get_running_loop().time()


class Proxied(Peer):
    """An engine behind a fault proxy."""

    proxy: FaultProxy

    async def start(self) -> Peer:
        await super().start()
        self.proxy = await FaultProxy(self.address).start()
        self.address = self.proxy.address
        return self

    async def stop(self) -> None:
        await self.proxy.close()
        await super().stop()


class Engines:
    """Two readers and a writer, which notes what reached them of one request."""

    def __init__(self) -> None:
        self.jammed = False
        """The writer lets requests wait for `JAM_S` before it begins an answer."""
        self.read_at = 0.0
        self.released_at: list[float] = []
        self.by_name: dict[str, Proxied] = {
            "r0": Proxied(self.reader),
            "r1": Proxied(self.reader),
            "w0": Proxied(self.writer),
        }

    @property
    def scripts(self) -> dict[str, Script | Peer]:
        """For a platform."""
        return dict(self.by_name)

    async def reader(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        self.note(one)
        await reads(one, writer)

    async def writer(self, one: Seen, writer: asyncio.StreamWriter) -> None:
        self.note_release(one)
        if one.method == "POST" and self.jammed:
            await asyncio.sleep(JAM_S)
        await writes(one, writer)

    def note(self, one: Seen) -> None:
        self.note_release(one)
        if one.method == "POST" and one.call_id == "watched":
            self.read_at = now()

    def note_release(self, one: Seen) -> None:
        if one.method == "DELETE" and one.target.endswith("/watched"):
            self.released_at.append(now())

    async def warm_up(self, p: Platform) -> None:
        """Have a request that has been served, and one kept connection to each engine that was asked, which
        has rested.
        """
        for _ in range(4):
            await p.ask()
            await asyncio.sleep(0.1)

    def at_the_attempt(self, what: Callable[[], None]) -> None:
        """Do this as the watched request's bytes come to the writer's machine, before they are handed on."""
        proxy = self.by_name["w0"].proxy

        def look(connection: object, data: bytes) -> None:
            if data.startswith(b"POST") and b"watched" in data:
                what()

        proxy.on_request_bytes = look


def test_nothing_is_let_go_beside_an_attempt_that_waits_at_an_engine_that_answers() -> None:
    async def go() -> None:
        engines = Engines()
        async with platform(PATIENT, **engines.scripts) as p:
            await engines.warm_up(p)
            engines.jammed = True
            reply = await p.say(request("watched"))
            assert reply.status == 200 and reply.whole
            assert not engines.released_at
            assert p.relay.counter_values()["leases_ended_by_arrival"] == 1

    run(go, virtual=True)


def silence_its_machine(engines: Engines) -> None:
    engines.by_name["w0"].proxy.fail_machine(Fault.DISCARD)


def silence_all_open_connections(engines: Engines) -> None:
    """New ones work, to the writer's machine too."""
    for engine in engines.by_name.values():
        engine.proxy.fail_open_connections(Fault.DISCARD)


@pytest.mark.parametrize("silence", [silence_its_machine, silence_all_open_connections])
def test_a_state_is_let_go_in_time_where_its_attempt_is_swallowed_as_it_arrives(
    silence: Callable[[Engines], None],
) -> None:
    """The connection had proven itself the moment before."""

    async def go() -> None:
        engines = Engines()
        async with platform(PATIENT, **engines.scripts) as p:
            await engines.warm_up(p)
            engines.at_the_attempt(lambda: silence(engines))
            await p.say(request("watched", budget="2.0"))
            assert engines.read_at
            assert engines.released_at and engines.released_at[0] - engines.read_at <= IN_TIME_S

    run(go, virtual=True)


def test_a_state_that_an_attempt_came_for_is_let_go_in_time_after_that_attempt_is_given_up() -> None:
    """The lease that its arrival had ended begins anew with its end."""

    async def go() -> None:
        engines = Engines()
        async with platform(PATIENT, **engines.scripts) as p:
            await engines.warm_up(p)
            engines.jammed = True
            reply = await p.say(request("watched", budget="0.7"))
            ended_at = now()
            assert reply.status != 200
            await asyncio.sleep(IN_TIME_S)
            assert engines.released_at and engines.released_at[0] - ended_at <= IN_TIME_S

    run(go, virtual=True)


def test_an_attempt_on_a_connection_that_has_only_come_up_is_not_taken_to_have_arrived() -> None:
    """A kernel, a proxy or a middlebox may have accepted it."""

    async def go() -> None:
        engines = Engines()
        async with platform(PATIENT, **engines.scripts) as p:
            await engines.warm_up(p)
            p.relay.channels.close_idle_connections(key("w0"))
            engines.jammed = True
            await p.say(request("watched"))
            assert engines.released_at and engines.released_at[0] - engines.read_at <= IN_TIME_S

    run(go, virtual=True)


def test_an_attempt_whose_connection_took_long_to_answer_is_not_taken_to_have_arrived() -> None:
    """Much may have happened to the connection in the meantime."""

    async def go() -> None:
        engines = Engines()
        async with platform(PATIENT, **engines.scripts) as p:
            await engines.warm_up(p)
            engines.by_name[
                "w0"
            ].proxy.delay_s = 0.015  # each way, and so within the time that a kept one has to answer
            engines.jammed = True
            await p.say(request("watched"))
            assert engines.released_at and engines.released_at[0] - engines.read_at <= IN_TIME_S

    run(go, virtual=True)
