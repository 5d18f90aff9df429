"""Long-lived tasks that run a step periodically, and continue after a step that raises."""

from __future__ import annotations

import asyncio

from world import run

from tuliptrack.rpc.periodic import run_periodically


def test_a_step_that_raises_is_recorded_and_the_next_one_runs() -> None:
    """If the exception were not handled, the task would end silently and never do its work again."""

    async def go() -> None:
        steps: list[str] = []
        faults: list[tuple[str, str]] = []

        async def step() -> None:
            steps.append("step")
            if len(steps) in (1, 3):
                raise ZeroDivisionError

        task = asyncio.ensure_future(
            run_periodically("name", 1.0, step, lambda name, e: faults.append((name, type(e).__name__)))
        )
        await asyncio.sleep(4.5)
        assert len(steps) == 5 and faults == [("name", "ZeroDivisionError")] * 2
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled()

    run(go, virtual=True)
