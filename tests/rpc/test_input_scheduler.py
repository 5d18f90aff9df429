"""Which connection processes its input, and how much of it, in one iteration of the loop."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from world import run

from tuliptrack.rpc.input_scheduler import QUANTUM, WORK_PER_ITERATION, InputScheduler

turns: list[str] = []


@dataclass(eq=False)
class FakeReceiver:
    name: str
    input_left: int
    """Units of work that its buffered input holds."""
    fails: bool = False
    aborted: list[str] = field(default_factory=list)

    def process_input(self, quantum: int) -> int:
        turns.append(self.name)
        if self.fails and self.input_left <= QUANTUM:
            raise ValueError("broken")
        work = min(quantum, self.input_left)
        self.input_left -= work
        return work

    def has_input(self) -> bool:
        return self.input_left > 0

    def abort(self) -> None:
        self.aborted.append(self.name)


@pytest.fixture(autouse=True)
def no_turns() -> None:
    turns.clear()


def test_an_iteration_begins_a_bounded_amount_of_work_and_all_of_it_is_done_in_the_end() -> None:
    async def go() -> None:
        scheduler = InputScheduler()
        receivers = [FakeReceiver(str(number), 10 * QUANTUM) for number in range(100)]
        for receiver in receivers:
            scheduler.process(receiver)
        assert len(turns) * QUANTUM == WORK_PER_ITERATION
        while any(receiver.input_left for receiver in receivers):
            done = len(turns)
            await asyncio.sleep(0)
            assert 0 < (len(turns) - done) * QUANTUM <= WORK_PER_ITERATION + QUANTUM
        assert all(turns.count(receiver.name) == 10 for receiver in receivers)

    run(go)


def test_input_that_has_just_arrived_is_not_behind_that_of_connections_that_continue() -> None:
    async def go() -> None:
        scheduler = InputScheduler()
        heavy = [FakeReceiver("heavy", 100_000) for _ in range(50)]
        for receiver in heavy:
            scheduler.process(receiver)
        while len(turns) < 2 * len(heavy):
            await asyncio.sleep(0)
        turns.clear()
        for number in range(WORK_PER_ITERATION):
            scheduler.process(FakeReceiver(f"light{number}", 1))
        assert len(turns) == WORK_PER_ITERATION // 2, "half of the iteration was left for them"
        await asyncio.sleep(0)
        assert turns[:WORK_PER_ITERATION] == [f"light{number}" for number in range(WORK_PER_ITERATION)]
        assert "heavy" in turns[WORK_PER_ITERATION:], "those that continue get a turn in each iteration"
        for receiver in heavy:
            receiver.input_left = 0

    run(go)


def test_connections_that_continue_get_turns_however_much_arrives() -> None:
    async def go() -> None:
        scheduler = InputScheduler()
        scheduler.process(heavy := FakeReceiver("heavy", 10 * QUANTUM))
        for _ in range(20):
            for number in range(100):
                scheduler.process(FakeReceiver(f"light{number}", QUANTUM))
            await asyncio.sleep(0)
        assert not heavy.input_left

    run(go)


def test_an_error_of_one_connection_closes_it_and_no_other_loses_its_turn() -> None:
    async def go() -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context.get("exception"))
        )
        scheduler = InputScheduler()
        failing = FakeReceiver("failing", 2 * QUANTUM, fails=True)
        sound = FakeReceiver("sound", 20 * QUANTUM)
        scheduler.process(failing)
        scheduler.process(sound)
        while sound.input_left:
            await asyncio.sleep(0)
        assert failing.aborted == ["failing"]
        assert [str(error) for error in errors] == ["broken"]

    run(go)


def test_a_connection_that_has_ended_gets_no_turn() -> None:
    async def go() -> None:
        scheduler = InputScheduler()
        scheduler.process(gone := FakeReceiver("gone", 10_000))
        scheduler.remove(gone)
        turns.clear()
        for _ in range(5):
            await asyncio.sleep(0)
        assert not turns

    run(go)
