"""The deadline that an attempt tells its engine is at most what its client has left, on further attempts
too."""

from __future__ import annotations

import asyncio

import pytest
from relay_world import Platform, Script, Seen, delay_connections, platform, reads, request, writes
from world import run

BUDGET_S = 3.0
SLACK_S = 0.15  # the platform's


class Told:
    """What engines were told of the time left, beside what was truly left as the request came to them."""

    def __init__(self) -> None:
        self.began = 0.0
        self.deadlines: list[tuple[str, float, float]] = []

    def breaks_late(self, script: Script, failures: int, after: float) -> Script:
        """An engine that breaks the connection of its first requests `after` seconds, and then plays
        `script`."""
        left = failures

        async def noting(one: Seen, writer: asyncio.StreamWriter) -> None:
            nonlocal left
            if one.method == "POST":
                self.deadlines.append(
                    (
                        one.call_id,
                        float(one.head["x-budget"]),
                        BUDGET_S - (asyncio.get_running_loop().time() - self.began),
                    )
                )
                if left:
                    left -= 1
                    await asyncio.sleep(after)
                    writer.transport.abort()
                    return
            await script(one, writer)

        return noting

    async def ask(self, p: Platform) -> int:
        """One request; the status of its answer."""
        self.began = asyncio.get_running_loop().time()
        return (await p.say(request("d1", budget=f"{BUDGET_S:.3f}"))).status

    def excess(self) -> float:
        """The most seconds that any attempt told beyond what its client had left."""
        return max(told - left for _, told, left in self.deadlines)


def test_further_attempts_tell_no_more_time_than_the_client_has_left() -> None:
    async def go() -> None:
        told = Told()
        writer = told.breaks_late(writes, 1, 0.2)
        async with platform(r0=told.breaks_late(reads, 1, 0.4), w0=writer, w1=writer) as p:
            assert await told.ask(p) == 200
            assert len(told.deadlines) >= 4, "two reads and two writes at least"
            assert told.excess() < SLACK_S

    run(go, virtual=True)


def test_an_attempt_whose_connection_comes_up_late_tells_no_more_time_than_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        told = Told()
        async with platform(r0=told.breaks_late(reads, 0, 0.0), w0=told.breaks_late(writes, 0, 0.0)) as p:
            delay_connections(
                monkeypatch, lambda port: 0.2 if port in (p.engines["r0"].port, p.engines["w0"].port) else 0
            )
            assert await told.ask(p) == 200
            assert told.excess() < SLACK_S

    run(go, virtual=True)


def test_a_node_that_tells_each_attempt_the_whole_time_is_found_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check above, with the count of what is left taken out."""

    async def go() -> None:
        told = Told()
        async with platform(r0=told.breaks_late(reads, 1, 0.4), w0=told.breaks_late(writes, 0, 0.0)) as p:
            begin = p.relay.engines.start
            monkeypatch.setattr(
                p.relay.engines,
                "start",
                lambda record, attempt, _: begin(record, attempt, int(BUDGET_S * 1e6)),
            )
            assert await told.ask(p) == 200
            assert told.excess() > SLACK_S

    run(go, virtual=True)
