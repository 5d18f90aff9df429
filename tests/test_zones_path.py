"""Crossings on real sockets: the node's account against what its engines saw, by class, tenant, stage and pair."""

from __future__ import annotations

import asyncio
import json
from collections import defaultdict
from pathlib import Path

import pytest
from click.testing import CliRunner
from world import World, run, until, world

from tuliptrack.cli.main import main
from tuliptrack.proto import lab_pb2
from tuliptrack.rpc.status import Code

ZONES = {"r1": 1, "w1": 1, "r2": 2, "w2": 2}
BUDGET = """zones { name: "here" name: "there" name: "beyond" report_every_ms: 100
  budget { bytes_per_s: 100000 burst_bytes: 400000 request_class: "question" }
  budget { bytes_per_s: 1000000 burst_bytes: 4000000 } }"""


def seen(w: World) -> dict[tuple[str, str, str, str, str], int]:
    """Bytes that crossed, as the engines' sockets saw them: class, tenant, stage, from, to."""
    names = ["here", "there", "beyond"]
    found: dict[tuple[str, str, str, str, str], int] = defaultdict(int)
    works = {}
    for name, engine in w.engines.items():
        zone = names[w.zones.get(name, 0)]
        for _, work, traffic in engine.moved:
            works[work.request_id] = work
            if zone != "here":
                found[work.request_class, work.tenant, "prompt", "here", zone] += traffic.received
                found[work.request_class, work.tenant, "answer", zone, "here"] += traffic.sent
    readers = {name: e for name, e in w.engines.items() if name[0] == "r"}
    for name, engine in readers.items():
        source = names[w.zones.get(name, 0)]
        for request, moved in engine.fetched.items():
            writers = [n for n, e in w.engines.items() for kind, work, _ in e.moved
                       if kind == "write" and work.request_id == request]
            target = names[w.zones.get(writers[-1], 0)]
            if source != target:
                work = works[request]
                found[work.request_class, work.tenant, "state", source, target] += sum(t.sent for t in moved)
    return {key: size for key, size in found.items() if size}


def booked(w: World) -> dict[tuple[str, str, str, str, str], int]:
    w.node.account.book()
    found: dict[tuple[str, str, str, str, str], int] = defaultdict(int)
    for key, row in w.node.account.total.items():
        found[key[0], key[1], key[2], key[3], key[4]] += int(row[0])
    return dict(found)


def test_the_account_is_what_the_engines_sockets_saw_also_for_cancelled_and_broken_attempts(tmp_path: Path) -> None:
    report = tmp_path / "zones.jsonl"
    settings = BUDGET.replace("report_every_ms", f'report: "{report}" report_every_ms')

    async def go() -> None:
        # Readers only there, writers only here and beyond: each prompt and each state must cross.
        async with world("r1 r2 w0 w2", settings=settings, zones=ZONES, model="step_ms: 3") as w:
            for name in ("w0", "w2"):
                w.engines[name].apply(lab_pb2.Trouble(lose_after=0.3, lose_after_tokens=4))
            kinds = [("question", "north"), ("summary", "south"), ("question", "south")]
            asked = [w.ask(request_class=cls, tenant=tenant, prompt=f"z{n} what?", session=f"s{n}", max_tokens=500)
                     for n, (cls, tenant) in enumerate(kinds * 12)]
            for n, one in enumerate(asked):
                if n % 5 == 0:
                    await until(lambda one=one: one.tokens or one.ends)  # type: ignore[misc]
                    assert one.call
                    one.call.cancel()
            ends = [(await one.wait()).status.code for one in asked]
            assert {Code.OK, Code.ABORTED, Code.CANCELLED} <= set(ends)
            await until(lambda: not w.node.table.open)
            await until(lambda: booked(w) == seen(w), seconds=3)
            assert any(key[2] == "state" for key in seen(w)) and len(seen(w)) > 8
            causes = {key[5] for key in w.node.account.total}
            assert causes <= {"budget", "forced", "retry"} and "forced" in causes
            assert all(not c.open for c in [w.node.router.zones] if c)

    run(go)
    rows = [json.loads(line) for line in report.read_text().splitlines()]
    assert sum(row["bytes"] for row in rows) > 0
    shown = CliRunner().invoke(main, ["report", "zones", str(report), "--json", "--by", "class,cause"])
    assert json.loads(shown.output)["bytes"] == sum(row["bytes"] for row in rows)
    table = CliRunner().invoke(main, ["report", "zones", str(report), "--budget", "100000", "--plot", str(tmp_path / "p.png")])
    assert table.exit_code == 0 and "question" in table.output and "forced" in table.output
    assert (tmp_path / "p.png").read_bytes().startswith(b"\x89PNG")


def test_a_zone_without_readers_or_writers_is_told_once(capsys: pytest.CaptureFixture[str]) -> None:
    async def go() -> None:
        async with world("r0 w0 r1", settings=BUDGET, zones=ZONES) as w:
            w.feed.change(w.entry("r0"))
            await until(lambda: w.node.roster.version == 2)

    run(go)
    lines = [line for line in capsys.readouterr().out.splitlines() if "zone lacks a role" in line]
    told = sorted((" ".join(line.split()).split("role=")[1].split()[0], line.split("zone=")[1].split()[0]) for line in lines)
    assert told == [("read", "beyond"), ("write", "beyond"), ("write", "there")]


def test_what_can_be_served_at_home_stays_there_and_a_dark_zone_is_left_and_returned_to() -> None:
    async def go() -> None:
        async with world("r0 w0 r1 w1", settings=BUDGET, zones=ZONES) as w:
            for _ in range(10):
                assert (await w.ask().wait()).status.code is Code.OK
            assert not booked(w) and not seen(w)
            for name in ("r0", "w0"):
                await w.engines[name].stop()
            served = 0
            for _ in range(12):
                served += (await w.ask(timeout=5).wait()).status.code is Code.OK
                await asyncio.sleep(0.05)
            assert served >= 9 and sum(booked(w).values()) > 0
            await until(lambda: booked(w) == seen(w), seconds=3)

    run(go)
