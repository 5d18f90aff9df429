"""What is owed in the instant in which something ends: a request, a connection, a node. Each test forces one crossing."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from relay_world import SETTINGS, Seen, hangs, platform, read_reply, reads, request, writes
from world import run, until

CLASS: dict[str, Any] = SETTINGS["classes"][0]


def one_class(**changes: Any) -> dict[str, Any]:
    """Settings whose one class differs from the usual one."""
    return {"settings": {"classes": [{**CLASS, **changes}]}}


async def hanging_reader(one: Seen, writer: asyncio.StreamWriter) -> None:
    """Takes releases, and requests whole, and never answers those."""
    await (reads if one.method == "DELETE" else hangs)(one, writer)


@pytest.mark.parametrize(("effect", "status"), [("free", 503), ("single_shot", 502)])
def test_a_read_that_is_out_as_the_node_ends_is_refused_only_where_it_may_run_twice(effect: str, status: int) -> None:
    """Its engine hangs and has the whole request: whatever becomes of the connection, it may run yet."""
    async def go() -> None:
        async with platform(one_class(effect=effect), r0=hanging_reader, w0=writes) as p:
            reader, writer = await p.connect()
            writer.write(request("reading"))
            await until(lambda: bool(p.saw()))
            p.relay.cut()
            reply = await asyncio.wait_for(read_reply(reader), 5.0)
            assert (reply.status, reply.whole) == (status, True)
            writer.close()

    run(go)
