"""One process of a soak besides the nodes: `python -m tuliptrack.lab.soak.participant ROLE NAME WORLD`.

Each reads the schedule and plays its own part of it; nobody tells it anything while the soak runs.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time
from collections.abc import Callable
from pathlib import Path

from tuliptrack.lab.soak.agent import SoakAgent
from tuliptrack.lab.soak.client import run_clients
from tuliptrack.lab.soak.engine import SoakEngine
from tuliptrack.lab.soak.proxy import Fault, FaultProxy
from tuliptrack.lab.soak.records import Recorder
from tuliptrack.lab.soak.schedule import FaultKind, ScheduledFault
from tuliptrack.lab.soak.settings import World

__all__ = ["main"]

_CALL_ID = re.compile(
    rb"POST [^\r\n]* HTTP/1\.1\r\n(?:[^\r\n]+\r\n)*?x-call-id: ([^\r\n]+)\r\n(?:[^\r\n]+\r\n)*?"
    rb"x-budget: ([0-9.]+)",
    re.IGNORECASE,
)
_LAG_LOOK_S = 0.02


def _at(world: World, moment: float, what: Callable[[], None]) -> None:
    """Do something at a moment of the soak."""
    loop = asyncio.get_running_loop()
    loop.call_later(max(world.began + moment - time.monotonic(), 0), what)


def _faults_of(world: World, name: str, *kinds: FaultKind) -> list[ScheduledFault]:
    return [fault for fault in world.schedule.faults if fault.target == name and fault.kind in kinds]


async def _engine(world: World, name: str, recorder: Recorder) -> None:
    engine = SoakEngine(name, world.folder, world.schedule.seed, recorder)

    def hang(on: bool) -> None:
        engine.hangs = on

    for fault in _faults_of(world, name, FaultKind.ENGINE_HANGS):
        _at(world, fault.at, lambda: hang(True))
        _at(world, fault.until, lambda: hang(False))

    def advise(turn: int | None) -> None:
        engine.advice_turn = turn

    for fault in _faults_of(world, name, FaultKind.HOSTILE_ADVICE):
        _at(world, fault.at, lambda fault=fault: advise(int(fault.amount)))  # type: ignore[misc]
        _at(world, fault.until, lambda: advise(None))
    host, _, port = world.engines[name].rpartition(":")
    await engine.server.listen(host, int(port))


async def _proxy(world: World, name: str, recorder: Recorder) -> None:
    proxy = FaultProxy(world.engines[name])

    on_connection: dict[object, str] = {}

    def sent(connection: object, data: bytes) -> None:
        if found := _CALL_ID.search(data):
            on_connection[connection] = found[1].decode()
            recorder.note("bytes", id=on_connection[connection], budget=float(found[2]))
        elif data.startswith(b"DELETE "):
            on_connection.pop(connection, None)

    def answered(connection: object) -> None:
        if call_id := on_connection.get(connection):
            recorder.note("heard", id=call_id)

    def given_up(connection: object) -> None:
        if call_id := on_connection.pop(connection, ""):
            recorder.note("given up", id=call_id)

    def begin(fault: ScheduledFault) -> None:
        if fault.kind is FaultKind.SILENCE_OPEN:
            proxy.fail_open_connections(Fault.DISCARD)
        elif fault.kind is FaultKind.SILENCE_MACHINE:
            proxy.fail_machine(Fault.DISCARD)
        elif fault.kind is FaultKind.CUT_MACHINE:
            proxy.fail_machine(Fault.HOLD)
        elif fault.kind is FaultKind.DELAY:
            proxy.delay_s = fault.amount
        else:
            proxy.reset_open_connections()

    proxy.on_request_bytes, proxy.on_answer_bytes, proxy.on_given_up = sent, answered, given_up
    kinds = (
        FaultKind.SILENCE_OPEN,
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.DELAY,
        FaultKind.RESET,
    )
    for fault in _faults_of(world, name, *kinds):
        _at(world, fault.at, lambda fault=fault: begin(fault))  # type: ignore[misc]
        if fault.kind is not FaultKind.RESET:
            _at(world, fault.until, proxy.heal)
    host, _, port = world.proxies[name].rpartition(":")
    await proxy.start(host, int(port))


async def _agent(world: World, name: str, recorder: Recorder) -> None:
    agent = SoakAgent(world, recorder)
    for fault in world.schedule.faults:
        if fault.kind is FaultKind.AGENT_SILENT:
            _at(world, fault.at, lambda: agent.speak(True))
            _at(world, fault.until, lambda: agent.speak(False))
        elif fault.kind is FaultKind.HOSTILE_LIST:
            turn = int(fault.amount)
            _at(world, fault.at, lambda turn=turn: agent.insert_hostile_entry(turn))  # type: ignore[misc]
            _at(world, fault.until, lambda: agent.insert_hostile_entry(None))
        elif fault.kind is FaultKind.DRAIN:
            _at(world, fault.at, lambda fault=fault: agent.tell(fault.target, "Terminating"))  # type: ignore[misc]
            _at(world, fault.until, lambda fault=fault: agent.tell(fault.target, "Ready"))  # type: ignore[misc]
        elif fault.kind is FaultKind.ENGINE_RESTARTS:
            # The runner starts the process anew at this moment; the list tells of it a little later.
            start_ms = int((time.time() + world.began + fault.until - time.monotonic()) * 1e3)
            _at(
                world,
                fault.until + 0.2,
                lambda fault=fault, start_ms=start_ms: agent.tell(  # type: ignore[misc]
                    fault.target, "Ready", start_ms
                ),
            )
    await agent.listen()


async def _measure_lag(recorder: Recorder) -> None:
    """Note how late this process is: a machine that is too busy shows nothing of the nodes."""
    worst = 0.0
    loop = asyncio.get_running_loop()
    while True:
        began = loop.time()
        await asyncio.sleep(_LAG_LOOK_S)
        late = loop.time() - began - _LAG_LOOK_S
        if late > max(worst, 0.02):
            worst = late
            recorder.note("lag", seconds=round(late, 3))


async def _run(role: str, name: str, world: World) -> None:
    recorder = Recorder(world.folder, name)
    lag = asyncio.get_running_loop().create_task(_measure_lag(recorder)) if role != "engine" else None
    if role == "clients":
        await run_clients(world, recorder, int(name.removeprefix("c")))
        return
    await {"engine": _engine, "proxy": _proxy, "agent": _agent}[role](
        world, name.removeprefix("p-"), recorder
    )
    recorder.note("ready")
    await asyncio.sleep(
        max(world.began + world.schedule.seconds + 30 - time.monotonic(), 0)
    )  # It is ended before.
    if lag:
        lag.cancel()


def main(arguments: list[str]) -> int:
    """Play one role."""
    role, name, path = arguments
    asyncio.run(_run(role, name, World.read(Path(path))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
