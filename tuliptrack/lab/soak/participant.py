"""A process of a soak other than a node: `python -m tuliptrack.lab.soak.participant ROLE NAME WORLD`.

Each process reads the schedule and plays its own part of it. There is no coordination while the soak runs.
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
_LAG_INTERVAL_S = 0.02
_SLOW_READ_BYTES_PER_S = 20_000
_ENGINE_MESSAGE_KINDS = (
    FaultKind.MALFORMED_ANSWERS,
    FaultKind.LONG_ANSWERS,
    FaultKind.MORE_THAN_ANSWERS,
    FaultKind.REJECTIONS,
)


def _at(world: World, moment: float, action: Callable[[], None]) -> None:
    """Schedule an action, `moment` seconds after the soak's beginning."""
    loop = asyncio.get_running_loop()
    loop.call_later(max(world.began + moment - time.monotonic(), 0), action)


def _faults_of(world: World, name: str, *kinds: FaultKind) -> list[ScheduledFault]:
    return [fault for fault in world.schedule.faults if fault.target == name and fault.kind in kinds]


async def _engine(world: World, name: str, recorder: Recorder) -> None:
    engine = SoakEngine(name, world.folder, world.schedule.seed, recorder)

    def set_hanging(on: bool) -> None:
        engine.is_hanging = on

    for fault in _faults_of(world, name, FaultKind.ENGINE_HANGS):
        _at(world, fault.at, lambda: set_hanging(True))
        _at(world, fault.until, lambda: set_hanging(False))

    def set_hostile_values(turn: int | None) -> None:
        engine.hostile_turn = turn

    for fault in _faults_of(world, name, FaultKind.HOSTILE_ADVICE):
        _at(world, fault.at, lambda fault=fault: set_hostile_values(int(fault.amount)))  # type: ignore[misc]
        _at(world, fault.until, lambda: set_hostile_values(None))
    _play_stream_faults(world, engine)
    host, _, port = world.engines[name].rpartition(":")
    await engine.server.listen(host, int(port))


def _play_stream_faults(world: World, engine: SoakEngine) -> None:
    def set_stream_fault(kind: FaultKind | None) -> None:
        engine.stream_fault = kind

    kinds = (FaultKind.STREAM_STOPS, FaultKind.STREAM_SLOW, FaultKind.STREAM_NO_EVENTS)
    for fault in _faults_of(world, engine.name, *kinds):
        _at(world, fault.at, lambda fault=fault: set_stream_fault(fault.kind))  # type: ignore[misc]
        _at(world, fault.until, lambda: set_stream_fault(None))

    for fault in _faults_of(world, engine.name, *_ENGINE_MESSAGE_KINDS):
        begin, end = _message_fault(engine, fault)
        _at(world, fault.at, begin)
        _at(world, fault.until, end)

    def set_large_events(on: bool) -> None:
        engine.writes_large_events = on

    for fault in _faults_of(world, "", FaultKind.READ_LATE):
        _at(world, fault.at, lambda: set_large_events(True))
        _at(world, fault.until, lambda: set_large_events(False))


def _message_fault(
    engine: SoakEngine, fault: ScheduledFault
) -> tuple[Callable[[], None], Callable[[], None]]:
    """Return the functions that begin and end a fault of an engine's messages."""

    def begin() -> None:
        engine.message_faults[fault.kind] = int(fault.amount)

    def end() -> None:
        engine.message_faults.pop(fault.kind, None)

    return begin, end


async def _proxy(world: World, name: str, recorder: Recorder) -> None:
    proxy = FaultProxy(world.engines[name])

    call_ids: dict[object, str] = {}

    def request_bytes_arrived(connection: object, data: bytes) -> None:
        if found := _CALL_ID.search(data):
            call_ids[connection] = found[1].decode()
            recorder.note("bytes", id=call_ids[connection], budget=float(found[2]))
        elif data.startswith(b"DELETE "):
            call_ids.pop(connection, None)

    def answer_arrived(connection: object) -> None:
        if call_id := call_ids.get(connection):
            recorder.note("heard", id=call_id)

    def attempt_abandoned(connection: object) -> None:
        if call_id := call_ids.pop(connection, ""):
            recorder.note("given up", id=call_id)

    def begin_fault(fault: ScheduledFault) -> None:
        if fault.kind is FaultKind.SILENCE_OPEN:
            proxy.fail_open_connections(Fault.DISCARD)
        elif fault.kind is FaultKind.SILENCE_MACHINE:
            proxy.fail_machine(Fault.DISCARD)
        elif fault.kind is FaultKind.CUT_MACHINE:
            proxy.fail_machine(Fault.HOLD)
        elif fault.kind is FaultKind.DELAY:
            proxy.delay_s = fault.amount
        elif fault.kind is FaultKind.READS_SLOWLY:
            proxy.read_slowly(_SLOW_READ_BYTES_PER_S)
        elif fault.kind is FaultKind.UNREACHABLE:
            proxy.accept_no_more()
        else:
            proxy.reset_open_connections()

    proxy.on_request_bytes = request_bytes_arrived
    proxy.on_answer_bytes, proxy.on_abandoned = answer_arrived, attempt_abandoned
    kinds = (
        FaultKind.SILENCE_OPEN,
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.DELAY,
        FaultKind.RESET,
        FaultKind.READS_SLOWLY,
        FaultKind.UNREACHABLE,
    )
    for fault in _faults_of(world, name, *kinds):
        _at(world, fault.at, lambda fault=fault: begin_fault(fault))  # type: ignore[misc]
        if fault.kind is FaultKind.READS_SLOWLY:
            _at(world, fault.until, lambda: proxy.read_slowly(0))
        elif fault.kind is FaultKind.UNREACHABLE:
            _at(world, fault.until, proxy.accept_again)
        elif fault.kind is not FaultKind.RESET:
            _at(world, fault.until, proxy.heal)
    host, _, port = world.proxies[name].rpartition(":")
    await proxy.start(host, int(port))


async def _agent(world: World, name: str, recorder: Recorder) -> None:
    agent = SoakAgent(world, recorder)
    for fault in world.schedule.faults:
        if fault.kind is FaultKind.AGENT_SILENT:
            _at(world, fault.at, lambda: agent.set_silent(True))
            _at(world, fault.until, lambda: agent.set_silent(False))
        elif fault.kind is FaultKind.AGENT_FAILS:
            _at(world, fault.at, lambda: agent.set_failing(True))
            _at(world, fault.until, lambda: agent.set_failing(False))
        elif fault.kind is FaultKind.HOSTILE_LIST:
            turn = int(fault.amount)
            _at(world, fault.at, lambda turn=turn: agent.insert_hostile_entry(turn))  # type: ignore[misc]
            _at(world, fault.until, lambda: agent.insert_hostile_entry(None))
        elif fault.kind is FaultKind.DRAIN:
            _at(world, fault.at, lambda fault=fault: agent.update_member(fault.target, "Terminating"))  # type: ignore[misc]
            _at(world, fault.until, lambda fault=fault: agent.update_member(fault.target, "Ready"))  # type: ignore[misc]
        elif fault.kind is FaultKind.ENGINE_RESTARTS:
            # The runner starts the new process at `until`; the list shows it 0.2 s later.
            start_ms = int((time.time() + world.began + fault.until - time.monotonic()) * 1e3)
            _at(
                world,
                fault.until + 0.2,
                lambda fault=fault, start_ms=start_ms: agent.update_member(  # type: ignore[misc]
                    fault.target, "Ready", start_ms
                ),
            )
    await agent.listen()


async def _measure_lag(recorder: Recorder) -> None:
    """Record the delay of this process's event loop. On a machine that is too busy, a soak says nothing about the
    nodes.
    """
    worst = 0.0
    loop = asyncio.get_running_loop()
    while True:
        began = loop.time()
        await asyncio.sleep(_LAG_INTERVAL_S)
        late = loop.time() - began - _LAG_INTERVAL_S
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
    )  # The runner kills it before that.
    if lag:
        lag.cancel()


def main(arguments: list[str]) -> int:
    """Play one role until the end of the soak."""
    role, name, path = arguments
    asyncio.run(_run(role, name, World.read(Path(path))))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
