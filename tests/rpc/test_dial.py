"""Opening a connection when no time is left for it."""

from __future__ import annotations

import asyncio
import gc

import pytest
from world import run

from tuliptrack.rpc.dial import dial


@pytest.mark.parametrize("within_s", [0.0, -1.0])
def test_a_dial_without_time_times_out_and_leaves_no_coroutine(
    within_s: float, recwarn: pytest.WarningsRecorder
) -> None:
    async def go() -> None:
        with pytest.raises(TimeoutError):
            await dial(lambda: asyncio.open_connection("127.0.0.1", 1), within_s)

    run(go)
    gc.collect()
    assert not recwarn.list
