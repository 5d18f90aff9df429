"""A request whose id has been used: it must not run beside the earlier one, nor have its effect twice.

The tests judge by what engines received.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from relay_harness import (
    SETTINGS,
    Platform,
    ReceivedRequest,
    answer_decode,
    answer_prefill,
    never_answer,
    platform,
    request,
    reset,
)
from test_client_disconnects import attempts, client, wait_until_idle
from world import run, until

EFFECTS = ("free", "guarded", "single_shot")


def changes(may_cancel: bool = True) -> dict[str, Any]:
    """Return settings with a class for each effect, with the same name."""
    classes = [
        {
            **SETTINGS["classes"][0],
            "name": effect,
            "effect": effect,
            "keyScope": "all",
            "dedupWindow": 60_000_000,
        }
        for effect in EFFECTS
    ]
    return {"settings": {"classes": classes, "limits": {**SETTINGS["limits"], "cancel": may_cancel}}}


def of_effect(effect: str, call_id: str = "twice") -> bytes:
    return request(call_id, X_Call_Class=effect)


async def hang_once(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """A decode engine that never answers the request `twice` and serves the others."""
    hangs = received.method == "POST" and received.call_id == "twice"
    await (never_answer if hangs else answer_decode)(received, writer)


async def leave_at_decode(p: Platform, effect: str) -> None:
    """Send the request `twice`, and leave once its attempt is at the decode engine."""
    sock = client(p, of_effect(effect))
    await until(lambda: len(attempts(p, "twice")) == 2)
    reset(sock)


# Guards against an effect that takes place twice, as the id comes again after its client has left.
@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_that_may_have_run_does_not_run_again_after_its_client_left(effect: str) -> None:
    async def go() -> None:
        async with platform(changes(), r0=answer_prefill, w0=hang_once) as p:
            await leave_at_decode(p, effect)
            await wait_until_idle(p)
            reply = await p.send(of_effect(effect))
            assert reply.status == 400 and b"x-call-id" in reply.body and len(attempts(p, "twice")) == 2
            assert (await p.send(of_effect(effect, "other"))).status == 200

    run(go)


# Guards against two attempts at once: an attempt that may not be cancelled outlives its client.
@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_whose_attempt_is_still_in_flight_does_not_run(effect: str) -> None:
    async def go() -> None:
        async with platform(changes(may_cancel=False), r0=answer_prefill, w0=hang_once) as p:
            await leave_at_decode(p, effect)
            await asyncio.sleep(0.3)
            assert p.relay.table.open and (await p.send(of_effect(effect))).status == 400
            assert len(attempts(p, "twice")) == 2

    run(go)


# Guards against an effect that takes place twice, as the id comes again after its answer.
@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_that_was_served_runs_again_only_if_that_is_harmless(effect: str) -> None:
    async def go() -> None:
        async with platform(changes(), r0=answer_prefill, w0=answer_decode) as p:
            assert (await p.send(of_effect(effect))).status == 200
            again = await p.send(of_effect(effect))
            assert again.status == (200 if effect == "free" else 400)

    run(go)


# Guards against a request that is refused though nothing of its id has run: its client left during the prefill.
@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_that_cannot_have_run_may_come_again(effect: str) -> None:
    async def go() -> None:
        may_answer = asyncio.Event()

        async def prefill(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.method == "POST":
                await may_answer.wait()
            await answer_prefill(received, writer)

        async with platform(changes(), r0=prefill, w0=answer_decode) as p:
            sock = client(p, of_effect(effect))
            await until(lambda: bool(attempts(p, "twice")))
            reset(sock)
            await wait_until_idle(p)
            may_answer.set()
            assert (await p.send(of_effect(effect))).status == 200

    run(go)


# Guards against a rejection that is not kept: it says that a repeat is harmless, also where an attempt may have run.
def test_an_id_that_was_rejected_may_come_again() -> None:
    async def go() -> None:
        is_broken = True

        async def decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if is_broken and received.method == "POST":
                writer.transport.abort()
                return
            await answer_decode(received, writer)

        async with platform(changes(), r0=answer_prefill, w0=decode) as p:
            assert (await p.send(of_effect("guarded"))).status == 503 and p.engines["w0"].received()
            is_broken = False
            assert (await p.send(of_effect("guarded"))).status == 200

    run(go)
