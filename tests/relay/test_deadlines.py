"""The remaining time that an attempt states to its engine is at most what its client has left, also on retries."""

from __future__ import annotations

import asyncio

import pytest
from relay_harness import (
    FINAL_EVENTS,
    SETTINGS,
    STREAM_HEAD,
    TOKEN_EVENTS,
    Platform,
    ReceivedRequest,
    Script,
    answer_decode,
    answer_prefill,
    chunk,
    delay_connections,
    platform,
    read_reply,
    request,
)
from world import run

BUDGET_S = 3.0
TOLERANCE_S = 0.15  # the excess of stated over remaining time that the platform tolerates


class StatedDeadlines:
    """The remaining time that each attempt stated, and the time that was truly left as the attempt reached
    its engine."""

    def __init__(self) -> None:
        self.started_at = 0.0
        self.attempts: list[tuple[str, float, float]] = []

    def recording(self, script: Script, failures: int, after_s: float) -> Script:
        """Return an engine that records the stated times. It breaks the connections of its first `failures` requests,
        `after_s` seconds after each, and then runs `script`."""
        failures_left = failures

        async def record(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal failures_left
            if received.method == "POST":
                self.attempts.append(
                    (
                        received.call_id,
                        float(received.head["x-budget"]),
                        BUDGET_S - (asyncio.get_running_loop().time() - self.started_at),
                    )
                )
                if failures_left:
                    failures_left -= 1
                    await asyncio.sleep(after_s)
                    writer.transport.abort()
                    return
            await script(received, writer)

        return record

    async def send_request(self, p: Platform) -> int:
        """Send one request and return the status of its answer."""
        self.started_at = asyncio.get_running_loop().time()
        return (await p.send(request("d1", budget=f"{BUDGET_S:.3f}"))).status

    def excess(self) -> float:
        """Return the largest number of seconds by which an attempt stated more time than its client had
        left."""
        return max(stated - left for _, stated, left in self.attempts)


def test_retries_state_no_more_time_than_the_client_has_left() -> None:
    async def go() -> None:
        deadlines = StatedDeadlines()
        decode = deadlines.recording(answer_decode, 1, 0.2)
        async with platform(r0=deadlines.recording(answer_prefill, 1, 0.4), w0=decode, w1=decode) as p:
            assert await deadlines.send_request(p) == 200
            assert len(deadlines.attempts) >= 4, "two prefill and two decode attempts at least"
            assert deadlines.excess() < TOLERANCE_S

    run(go, virtual=True)


def test_an_attempt_whose_connection_opens_late_states_no_more_time_than_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        deadlines = StatedDeadlines()
        async with platform(
            r0=deadlines.recording(answer_prefill, 0, 0.0), w0=deadlines.recording(answer_decode, 0, 0.0)
        ) as p:
            delay_connections(
                monkeypatch, lambda port: 0.2 if port in (p.engines["r0"].port, p.engines["w0"].port) else 0
            )
            assert await deadlines.send_request(p) == 200
            assert deadlines.excess() < TOLERANCE_S

    run(go, virtual=True)


def test_the_check_fails_for_a_node_that_states_the_whole_time_to_each_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node does not subtract the time that has passed, so the check of the tests above has to fail."""

    async def go() -> None:
        deadlines = StatedDeadlines()
        async with platform(
            r0=deadlines.recording(answer_prefill, 1, 0.4), w0=deadlines.recording(answer_decode, 0, 0.0)
        ) as p:
            start = p.relay.engines.start
            monkeypatch.setattr(
                p.relay.engines,
                "start",
                lambda record, attempt, _: start(record, attempt, int(BUDGET_S * 1e6)),
            )
            assert await deadlines.send_request(p) == 200
            assert deadlines.excess() > TOLERANCE_S

    run(go, virtual=True)


def test_a_request_that_waited_behind_an_earlier_one_gets_no_new_budget() -> None:
    """Guards against an attempt that begins after its client has given up: the client counts its budget from
    when it sent the request, not from when the node had time for it."""

    async def go() -> None:
        async def slow_decode(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if received.call_id != "first":
                await answer_decode(received, writer)
                return
            writer.write(STREAM_HEAD + chunk(TOKEN_EVENTS[0]))
            await asyncio.sleep(1.0)
            writer.write(chunk(b"".join(FINAL_EVENTS)) + b"0\r\n\r\n")

        async with platform(r0=answer_prefill, w0=slow_decode) as p:
            reader, writer = await p.connect()
            writer.write(request("first") + request("second", budget="0.500") + request("third"))
            replies = [await read_reply(reader) for _ in range(3)]
            assert [reply.status for reply in replies] == [200, 503, 200]
            assert {received.call_id for received in p.received("POST")} == {"first", "third"}
            writer.close()

    run(go, virtual=True)


# Guards against a client's time that is counted from when its connection was accepted, not from its request.
def test_a_request_that_waited_for_its_connection_to_be_accepted_states_what_is_left() -> None:
    async def go() -> None:
        stated = StatedDeadlines()
        engine = stated.recording(answer_decode, failures=0, after_s=0.0)
        patient = {
            **SETTINGS["classes"][0],
            "promise": 60_000_000,
        }  # The attempt may take all the time that is left.
        async with platform({"settings": {"classes": [patient]}}, m0=engine) as p:
            listener = p.relay.front.server._listener
            assert listener
            listener._pause()  # As after an error of `accept`; it is resumed by hand.
            assert listener._resume_timer
            listener._resume_timer.cancel()
            reader, writer = await p.connect()
            stated.started_at = asyncio.get_running_loop().time()
            writer.write(request("waits", budget=str(BUDGET_S)))
            await asyncio.sleep(4 * TOLERANCE_S)
            listener._resume()
            assert (await read_reply(reader)).is_complete
            writer.close()
            assert len(stated.attempts) == 1 and stated.excess() < TOLERANCE_S, stated.attempts

    run(go)
