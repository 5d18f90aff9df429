"""The soak: its schedules, its judge, which finds each invariant broken, and one short seed with real
processes.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from world import until

from tuliptrack.cli.main import main
from tuliptrack.lab.soak import runner
from tuliptrack.lab.soak.judge import judge
from tuliptrack.lab.soak.ports import loopback_addresses
from tuliptrack.lab.soak.proxy import Fault, FaultProxy
from tuliptrack.lab.soak.records import Recorder, read_records
from tuliptrack.lab.soak.run_queue import RunQueueWatch
from tuliptrack.lab.soak.runner import play
from tuliptrack.lab.soak.schedule import _ADDED, FaultKind, Schedule, ScheduledFault, draw
from tuliptrack.lab.soak.settings import World

SCHEDULE = replace(draw(1, 10.0, 2), quota_per_s=40.0, fall_multiple=1.0, cold_from=0.25)
WORLD = World(SCHEDULE, Path("/nowhere"), 0.0, {}, {}, {}, {"n0": "", "n1": ""})
Record = dict[str, Any]
FAULTS_OF_SEED_1 = [
    ("an engine restarts", "r1", 2.272, 3.019),
    ("delay", "w0", 3.295, 4.147),
    ("delay", "w1", 3.66, 4.937),
    ("delay", "w4", 3.66, 5.964),
    ("delay", "w3", 3.66, 4.745),
    ("delay", "w0", 3.66, 6.476),
    ("delay", "w2", 3.66, 5.578),
    ("silence open connections", "r0", 4.166, 6.5),
    ("silence open connections", "w3", 4.166, 5.21),
    ("silence open connections", "w0", 4.166, 6.5),
    ("silence open connections", "w2", 4.166, 5.489),
    ("silence open connections", "r1", 4.166, 6.5),
    ("silence open connections", "w1", 4.166, 6.325),
    ("silence open connections", "w4", 4.166, 6.5),
    ("an engine restarts", "w1", 4.752, 5.333),
]
"""Kind, target, begin and end of what `draw(1, 8.0, 2)` drew on bdb06c0."""


def served(call_id: str = "a", effect: str = "free") -> list[Record]:
    """A request that went well."""
    return [
        {
            "t": 1.0,
            "who": "c0",
            "event": "sent",
            "id": call_id,
            "node": "n0",
            "effect": effect,
            "budget": 2.0,
            "kept": False,
        },
        {"t": 1.01, "who": "p-r0", "event": "bytes", "id": call_id, "budget": 1.98},
        {"t": 1.01, "who": "r0", "event": "taken", "id": call_id, "budget": 1.98},
        {"t": 1.05, "who": "r0", "event": "read", "id": call_id},
        {"t": 1.06, "who": "p-w0", "event": "bytes", "id": call_id, "budget": 1.93},
        {"t": 1.06, "who": "w0", "event": "taken", "id": call_id, "budget": 1.93},
        {"t": 1.5, "who": "c0", "event": "answer", "id": call_id, "status": 200, "whole": True, "after": 0.5},
    ]


def rules(records: list[Record]) -> set[str]:
    return {violation.rule for violation in judge(WORLD, sorted(records, key=lambda one: one["t"]), 0.0)}


def test_a_request_that_went_well_breaks_nothing() -> None:
    assert rules(served()) == set()


BROKEN: dict[str, list[Record]] = {
    "answer": [
        {
            "t": 1.0,
            "who": "c0",
            "event": "sent",
            "id": "b",
            "node": "n0",
            "effect": "free",
            "budget": 1.0,
            "kept": False,
        },
        {"t": 5.0, "who": "c0", "event": "answer", "id": "b", "status": -1, "whole": False, "after": 4.0},
    ],
    "stream": [
        {
            "t": 1.0,
            "who": "c0",
            "event": "sent",
            "id": "b",
            "node": "n0",
            "effect": "free",
            "budget": 1.0,
            "kept": False,
        },
        {"t": 1.1, "who": "w1", "event": "taken", "id": "b", "budget": 0.9},
        {
            "t": 5.0,
            "who": "c0",
            "event": "answer",
            "id": "b",
            "status": 200,
            "whole": False,
            "after": 4.0,
            "given_up": True,
        },
    ],
    "held state": [
        {"t": 2.0, "who": "r0", "event": "read", "id": "b"},
        {"t": 4.0, "who": "w1", "event": "released", "id": "b"},
    ],
    "repeat": [{"t": 1.7, "who": "w1", "event": "taken", "id": "a", "budget": 1.0}],
    "left": [
        {"t": 1.02, "who": "c0", "event": "left", "id": "a"},
        {"t": 1.6, "who": "p-w1", "event": "bytes", "id": "a", "budget": 1.0},
    ],
    "deadline": [{"t": 2.0, "who": "p-w1", "event": "bytes", "id": "a", "budget": 1.5}],
    "drain": [
        {
            "t": 1.1,
            "who": "agent",
            "event": "list changed",
            "engine": "w1",
            "phase": "Terminating",
            "silent": False,
        },
        {"t": 1.9, "who": "p-w1", "event": "bytes", "id": "a", "budget": 1.0},
    ],
    "event held back": [{**served("b")[-1], "held_back": 0.5}, {**served("b")[0]}],
    "slow start": [
        {
            "t": 1.2,
            "who": "runner",
            "event": "fault",
            "kind": "an engine restarts",
            "target": "w1",
            "until": 1.3,
            "amount": 0.0,
        },
        {
            "t": 1.5,
            "who": "agent",
            "event": "list changed",
            "engine": "w1",
            "phase": "Ready",
            "start_ms": 5,
            "silent": False,
        },
        *(
            {"t": 1.7 + n / 100, "who": "p-w1", "event": "bytes", "id": f"x{n}", "budget": 1.0}
            for n in range(30)
        ),
    ],
    "advice": [
        {**served("b")[0]},
        {"t": 1.3, "who": "w1", "event": "answered", "id": "b"},
        {"t": 1.4, "who": "c0", "event": "answer", "id": "b", "status": 503, "whole": True, "after": 0.4},
    ],
    "commands": [{"t": 9.0, "who": "c0", "event": "commands", "node": "n0", "sent": 40, "answered": 39}],
    "stalled client": [{"t": 9.0, "who": "c0", "event": "stalled", "id": "s", "node": "n0", "after": 3.5}],
}


@pytest.mark.parametrize("rule", BROKEN)
def test_each_broken_invariant_is_found(rule: str) -> None:
    assert rules([*served(effect="single_shot" if rule == "repeat" else "free"), *BROKEN[rule]]) == {rule}


def test_what_a_killed_node_or_engine_took_along_is_nobodys_fault() -> None:
    killed = [{"t": 2.1, "who": "runner", "event": "killed", "target": "n0"}]
    open_at_the_kill = [{"t": 2.0, **BROKEN["answer"][0]} | {"t": 2.0}, BROKEN["answer"][1]]
    assert rules([*served(), *open_at_the_kill, *killed]) == set()
    held = [{"t": 2.0, "who": "r0", "event": "read", "id": "a"}, {"t": 9.0, "who": "c0", "event": "other"}]
    assert rules([*served(), *held, {**killed[0], "target": "r0"}]) == set()
    assert rules([*served(), *held]) == {"held state"}


def test_a_stream_that_its_engine_s_silence_has_stopped_is_nobodys_fault() -> None:
    silence = {
        "t": 1.2,
        "who": "runner",
        "event": "fault",
        "kind": "silence a machine",
        "target": "w1",
        "until": 3.0,
        "amount": 0.0,
    }
    assert rules([*served(), *BROKEN["stream"], silence]) == set()
    assert rules([*served(), *BROKEN["stream"], {**silence, "target": "w0"}]) == {"stream"}
    assert rules([*served(), *BROKEN["event held back"], {**silence, "target": "n0"}]) == set()


def test_a_stream_that_is_handed_back_is_no_lost_answer_but_for_hostile_advice() -> None:
    """Seed 1411: a node handed a stream back to be resumed, and its engine went on to the end."""
    cut_off = [*BROKEN["advice"][:2], {**BROKEN["advice"][2], "status": 200, "whole": False}]
    advice: Record = {
        "t": 1.1,
        "who": "runner",
        "event": "fault",
        "kind": "an engine's load reports and token counts cannot be used",
        "target": "w1",
        "until": 2.0,
        "amount": 0.0,
    }
    assert rules([*served(), *cut_off]) == set()
    assert rules([*served(), *cut_off, advice]) == {"advice"}
    assert rules([*served(), *cut_off, {**advice, "target": "w0"}]) == set()
    ending = {"t": 0.5, "who": "runner", "event": "terminated", "target": "n0"}
    assert rules([*served(), *cut_off, advice, ending]) == set()


def test_a_fault_begins_at_its_moment_and_not_when_the_runner_notes_it() -> None:
    """Seed 1437: a proxy reset a connection 7 ms before the runner's note of it."""
    reset: Record = {
        "t": 5.01,
        "who": "runner",
        "event": "fault",
        "kind": "reset connections",
        "target": "w1",
        "until": 5.1,
        "amount": 0.0,
    }
    assert rules([*served(), *BROKEN["stream"], {**reset, "at": 4.99}]) == set()
    assert rules([*served(), *BROKEN["stream"], {**reset, "at": 5.005}]) == {"stream"}
    assert rules([*served(), *BROKEN["stream"], reset]) == {"stream"}
    # It ends when a stand-in ends it, by what those are late at most.
    over = {**reset, "t": 0.5, "at": 0.5}
    assert rules([*served(), *BROKEN["stream"], {**over, "until": 0.96}]) == set()
    assert rules([*served(), *BROKEN["stream"], {**over, "until": 0.94}]) == {"stream"}


def test_a_cold_engine_bears_its_part_of_the_quotas_and_only_what_was_told_counts() -> None:
    start = BROKEN["slow start"]
    assert rules(start[:12]) == set()  # ten calls
    warm = [{**one, "t": one["t"] + 9.0} for one in start[2:]]
    assert rules([*start[:2], *warm]) == set()
    assert rules([start[0], {**start[1], "t": 2.5}, *start[2:]]) == set()  # Nobody was told yet.


def test_nothing_can_be_let_go_while_no_engine_can_be_reached() -> None:
    held = [
        {"t": 2.0, "who": "r0", "event": "read", "id": "a"},
        {"t": 4.0, "who": "w1", "event": "released", "id": "a"},
    ]
    silence: Record = {"t": 1.9, "who": "runner", "event": "fault", "kind": "silence a machine", "until": 3.9}
    everywhere = [{**silence, "target": engine} for engine in SCHEDULE.engines]
    assert rules([*served(), *held]) == {"held state"}
    assert rules([*served(), *held, *everywhere]) == set()
    assert rules([*served(), *held, *everywhere[1:]]) == {"held state"}
    for amount, broken in ((0.3, set()), (0.05, {"held state"})):
        delays = [{**one, "kind": "delay", "amount": amount} for one in everywhere]
        assert rules([*served(), *held, *delays]) == broken
    given_up_later = {"t": 4.0, "who": "p-r0", "event": "given up", "id": "a"}
    assert rules([*served(), held[0], {**held[1], "t": 2.5}, given_up_later]) == set()


def test_a_request_that_meets_a_process_while_it_is_killed_is_nobodys_fault() -> None:
    lost = [BROKEN["answer"][0], {**BROKEN["answer"][1], "t": 1.01, "status": 0, "after": 0.01}]
    killed = {"t": 0.998, "who": "runner", "event": "killed", "target": "n0"}
    assert rules([*lost, killed]) == set()
    assert rules([*lost, {**killed, "t": 0.9}]) == {"answer"}


def test_a_deadline_is_judged_by_the_time_in_which_the_node_could_run() -> None:
    """The kernel's account of its run queue says how long the machine kept the node from running."""
    told = BROKEN["deadline"]  # 0.5 s more than the client has left
    waits: Record = {"who": "runner", "event": "waited to run", "target": "n0"}
    before, within = {**waits, "t": 0.9, "seconds": 0.4}, {**waits, "t": 1.4, "seconds": 0.4}
    assert rules([*served(), *told, within]) == set()
    assert rules([*served(), *told, {**within, "seconds": 0.2}]) == {"deadline"}
    assert rules([*served(), *told, {**within, "target": "n1"}]) == {"deadline"}
    assert rules([*served(), *told, before]) == {"deadline"}


def test_a_process_that_waits_for_a_processor_is_seen_to(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path, "runner")
    busy = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(2)]
    try:
        os.sched_setaffinity(busy[0].pid, {0})
        os.sched_setaffinity(busy[1].pid, {0})
        watch = RunQueueWatch(recorder)
        watch.sample("n0", busy[0].pid)
        time.sleep(0.5)
        watch.sample("n0", busy[0].pid)
    finally:
        for process in busy:
            process.kill()
            process.wait()
        recorder.close()
    assert sum(one["seconds"] for one in read_records(tmp_path)) > 0.05


def test_a_schedule_is_the_same_for_its_seed_and_outlives_a_file() -> None:
    assert draw(7, 20.0, 3) == draw(7, 20.0, 3) != draw(8, 20.0, 3)
    assert Schedule.from_json(json.loads(json.dumps(draw(7, 20.0, 3).as_json()))) == draw(7, 20.0, 3)
    kinds = {fault.kind for seed in range(40) for fault in draw(seed, 20.0, 3).faults}
    assert len(kinds) >= 18, "hardly anything is drawn"


def test_what_a_seed_drew_before_there_were_signals_in_series_it_still_draws() -> None:
    """Kept seeds name what was found with them; what is added comes beside it."""
    former = [
        (fault.kind.value, fault.target, fault.at, fault.until)
        for fault in draw(1, 8.0, 2).faults
        if fault.kind not in _ADDED
    ]
    assert former == FAULTS_OF_SEED_1


def test_a_new_connection_that_is_shut_unread_in_a_crowd_is_nobodys_fault() -> None:
    shut = [BROKEN["answer"][0], {**BROKEN["answer"][1], "t": 1.01, "status": 0, "after": 0.01}]
    crowd: Record = {
        "t": 0.5,
        "who": "runner",
        "event": "fault",
        "kind": "a crowd of idle clients",
        "target": "n0",
        "until": 2.0,
        "amount": 0.0,
    }
    assert rules([*shut, crowd]) == set()
    assert rules([{**shut[0], "kept": True}, shut[1], crowd]) == {"answer"}
    read = {"t": 1.005, "who": "p-r0", "event": "bytes", "id": "b", "budget": 0.9}
    assert rules([*shut, crowd, read]) == {"answer"}
    assert rules([*shut, {**crowd, "target": "n1"}]) == {"answer"}


def test_hostile_advice_and_crowds_excuse_nothing() -> None:
    for kind in _ADDED:
        span: Record = {"t": 0.9, "who": "runner", "event": "fault", "kind": kind.value, "until": 3.0}
        for target in ("w1", "n0"):
            fault = {**span, "target": target, "amount": 0.0}
            assert rules([*served(), *BROKEN["stream"], fault]) == {"stream"}
            assert rules([*served(), *BROKEN["advice"], fault]) == {"advice"}


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        (["--seeds", "x"], "--seeds"),
        (["--seeds", "5..2"], "--seeds"),
        (["--nodes", "0"], "--nodes"),
        (["--minutes", "0"], "--minutes"),
        (["--schedule", "/no/such/file"], "--schedule"),
    ],
)
def test_bad_input_is_one_error_that_names_the_option(arguments: list[str], named: str) -> None:
    done = CliRunner().invoke(main, ["lab", "soak", *arguments])
    assert done.exit_code == 2 and named in done.output and "Traceback" not in done.output


def test_a_schedule_file_that_is_none_is_named(tmp_path: Path) -> None:
    (tmp_path / "s.json").write_text('{"faults": 3}')
    done = CliRunner().invoke(main, ["lab", "soak", "--schedule", str(tmp_path / "s.json")])
    assert done.exit_code == 2 and "--schedule" in done.output


def test_the_proxy_swallows_holds_and_heals() -> None:
    async def go() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = await FaultProxy(f"127.0.0.1:{server.sockets[0].getsockname()[1]}").start()
        host, _, port = proxy.address.rpartition(":")

        async def says(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, text: bytes, within: float
        ) -> bytes:
            writer.write(text)
            try:
                return await asyncio.wait_for(reader.read(100), within)
            except TimeoutError:
                return b"-"

        one, two = (
            await asyncio.open_connection(host, int(port)),
            await asyncio.open_connection(host, int(port)),
        )
        assert await says(*one, b"a", 5) == b"a"
        proxy.fail_open_connections(Fault.HOLD)
        assert await says(*one, b"b", 0.05) == b"-"
        proxy.heal()
        assert await asyncio.wait_for(one[0].read(100), 5) == b"b"
        proxy.fail_open_connections(Fault.DISCARD)
        assert await says(*two, b"c", 0.05) == b"-"
        fresh = await asyncio.open_connection(host, int(port))
        assert await says(*fresh, b"d", 5) == b"d"
        for _, writer in (one, two, fresh):
            writer.close()
        await proxy.close()
        server.close()

    asyncio.run(asyncio.wait_for(go(), 30))


def test_soaks_at_the_same_time_have_addresses_of_their_own() -> None:
    with loopback_addresses(50) as first, loopback_addresses(50) as second:
        assert len(set(first) | set(second)) == 100


def test_a_soak_that_is_told_to_stop_leaves_no_process(tmp_path: Path) -> None:
    soak = subprocess.Popen(
        [sys.executable, "-m", "tuliptrack", "lab", "soak", "--seeds", "1", "--nodes", "1"],
        env={**os.environ, "TMPDIR": str(tmp_path)},
        stdout=subprocess.DEVNULL,
    )
    children = Path(f"/proc/{soak.pid}/task/{soak.pid}/children")
    asyncio.run(until(lambda: len(children.read_text().split()) > 3))
    started = children.read_text().split()
    soak.send_signal(signal.SIGTERM)
    assert soak.wait(20) == 130
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]
    assert not list(tmp_path.iterdir())


def test_one_short_seed_with_real_processes() -> None:
    result = asyncio.run(asyncio.wait_for(play(draw(1, 8.0, 2)), 60))
    assert result.violations == [] or result.lag_s > 0.3, result.violations
    assert result.requests > 30 and result.processes >= 10


def test_a_seed_with_signals_in_series_hostile_values_and_a_crowd() -> None:
    """A drain beside an entry that cannot be used, hostile advice, a planned restart with signals in series."""
    schedule = draw(23, 14.0, 2)
    assert set(_ADDED) <= {fault.kind for fault in schedule.faults}
    result = asyncio.run(asyncio.wait_for(play(schedule), 90))
    assert result.violations == [] or result.lag_s > 0.3, result.violations
    assert result.requests > 50


def test_restarts_of_one_engine_that_overlap_leave_one_process_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[asyncio.subprocess.Process] = []

    async def spawn(soak: runner._Soak, key: str, module: list[str], environment: dict[str, str]) -> None:
        soak.processes[key] = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "import time; time.sleep(60)"
        )
        started.append(soak.processes[key])

    async def go() -> None:
        world = replace(WORLD, folder=tmp_path, began=time.monotonic())
        soak = runner._Soak(world)
        try:
            await soak._start("r0", "engine", "r0")
            spans = ((0.0, 0.4), (0.1, 0.2))
            faults = [ScheduledFault(FaultKind.ENGINE_RESTARTS, "r0", begin, end) for begin, end in spans]
            await asyncio.gather(*(soak._play(fault) for fault in faults))
            assert [one.returncode is None for one in started].count(True) == 1
            await soak._end_all()
            assert all(one.returncode is not None for one in started)
        finally:
            for one in started:
                if one.returncode is None:
                    one.kill()
                await one.wait()
            soak.recorder.close()

    monkeypatch.setattr(runner._Soak, "_spawn", spawn)
    asyncio.run(go())
