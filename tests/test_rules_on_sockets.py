"""Each rule on real sockets: the node keeps it, and breaks it when the code that enforces it is disabled."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest
from world import World, run, world

from tuliptrack import interface as io
from tuliptrack.config.node import NodeConfig
from tuliptrack.lab.client import Client, arrivals
from tuliptrack.lab.engine import Engine
from tuliptrack.lab.judge import ProcessLifetime, RunRecord, judge
from tuliptrack.node import grpc_engine_client
from tuliptrack.proto import fleet_pb2, lab_pb2
from tuliptrack.routing.slow_start import WARM
from tuliptrack.rpc.channel import ClientCall, End, EndReason
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.status import Code, Status

Fault = Callable[[World], Any]
GuardRemoval = Callable[[World, pytest.MonkeyPatch], None]


def day(per_s: float = 25, seconds: float = 2.0, **load: Any) -> lab_pb2.Scenario:
    scenario = lab_pb2.Scenario(length_ms=seconds * 1000)
    scenario.load.add(
        **{
            "request_class": "question",
            "tenant": "north",
            "per_s": per_s,
            "retries": 1,
            "deadline_ms": 1500,
            **load,
        }
    )
    return scenario


async def play(w: World, scenario: lab_pb2.Scenario, fault: Fault) -> dict[str, Any]:
    """Run the scenario's clients and a fault against the node of the world; return the judge's verdict."""
    config: NodeConfig = w.node.config
    list_events: list[dict[str, Any]] = [
        {"t": now_us(), "what": "entry", "id": str(n), "engine": name} for n, name in enumerate(w.engines, 1)
    ]
    w.feed.note = lambda what, **facts: list_events.append({"t": now_us(), "what": what, **facts})
    life = ProcessLifetime("node-0", w.node.instance, now_us() - 1)
    classes = {c.name: c for c in config.settings.classes}
    client = Client([w.channel], classes)
    planned_arrivals = sorted(arrivals(scenario, 3), key=lambda a: a.at)
    begin = time.monotonic()
    fault_task = asyncio.ensure_future(fault(w))

    async def play_arrival(arrival: Any) -> None:
        await asyncio.sleep(max(begin + arrival.at - time.monotonic(), 0))
        await client.play(arrival)

    await asyncio.gather(*(play_arrival(a) for a in planned_arrivals))
    await fault_task
    await asyncio.sleep(0.8)  # longer than the rules allow an action to take, so that overdue ones are seen
    return judge(RunRecord(planned_arrivals, w.seen(), list_events, [life], classes, end=now_us()))


async def lose_half_of_the_answers(w: World) -> None:
    for name in ("r0", "r1", "w0", "w1"):
        w.engines[name].apply(lab_pb2.Trouble(lose_before=0.5))


async def silence_a_prefill_engine(w: World) -> None:
    w.engines["r0"].apply(lab_pb2.Trouble(lose_before=1.0))


async def drain_a_decode_engine(w: World) -> None:
    await asyncio.sleep(0.3)
    w.feed.change(w.entry("w0", fleet_pb2.ServerEntry.DRAINING))


async def pause_decode_engines(w: World) -> None:
    for name in ("w0", "w1"):
        w.engines[name].apply(lab_pb2.Trouble(pause_ms=2500))


async def restart_decode_engines(w: World) -> None:
    """Restart all decode engines, so that all of them are in slow start and would get all traffic."""
    for name in ("w0", "w1"):
        old = w.engines[name]
        address = old.server.address
        await old.stop()
        w.engines[name] = Engine(name, old.model, w.logs[name], cold=True)
        await w.engines[name].start(port=int(address.rpartition(":")[2]))
    started = time.time_ns() // 1000
    w.feed.change(*(w.entry(name, started_unix_us=started) for name in ("w0", "w1")))


def disable_timeouts(w: World, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w.node.attempt_starter, "expire", lambda record, attempt: None)


def drop_failures(w: World, patch: pytest.MonkeyPatch) -> None:
    patch.setitem(w.node.action_handlers, io.Fail, lambda action: None)


def keep_cancelled_calls_running(w: World, patch: pytest.MonkeyPatch) -> None:
    def cancel(self: ClientCall, how: EndReason = EndReason.CANCELLED) -> None:
        if self.open:
            self.ended(End(how, Status(Code.DEADLINE_EXCEEDED, how.value)))

    patch.setattr(ClientCall, "cancel", cancel)


def drop_list_updates(w: World, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w.node.model_routers, "dispatch", lambda update, router: None)


def treat_all_as_warm(w: World, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w.node.router.slow_start, "slot_for", lambda endpoint, request: WARM)


def drop_releases(w: World, patch: pytest.MonkeyPatch) -> None:
    patch.setattr(w.node.engines, "release", lambda server, record, has_unconfirmed_attempt=False: None)


def repeat_a_token(w: World, patch: pytest.MonkeyPatch) -> None:
    for engine in w.engines.values():
        emit = engine._emit

        def twice(job: Any, emit: Any = emit) -> None:
            emit(job)
            if job.index == 5 and not job.done:
                job.index = 4
                emit(job)

        patch.setattr(engine, "_emit", twice)
    patch.setattr(grpc_engine_client, "_is_next_token", lambda record, message: True)


SLOW_START_MODEL = (
    "slots: 4 cold_from: 0.1 cold_ms: 4000 fall_window_ms: 500 answer_least: 10 answer_most: 10 step_ms: 40"
)
SLOW_START_SETTINGS = "routing { cold_for_ms: 4000 cold_from: 0.1 fall_window_ms: 500 }"


@pytest.mark.parametrize(
    ("rule", "fault", "guard", "load", "model", "settings"),
    [
        (1, lose_half_of_the_answers, disable_timeouts, {}, "", ""),
        (1, lose_half_of_the_answers, drop_failures, {}, "", ""),
        (2, silence_a_prefill_engine, keep_cancelled_calls_running, {"deadline_ms": 4000}, "", ""),
        (3, drain_a_decode_engine, drop_list_updates, {}, "", ""),
        (
            4,
            restart_decode_engines,
            treat_all_as_warm,
            {"per_s": 60.0},
            SLOW_START_MODEL,
            SLOW_START_SETTINGS,
        ),  # two warm decode engines serve 20 requests per second
        (5, pause_decode_engines, drop_releases, {"leave": 1.0, "leave_within_ms": 600}, "", ""),
        (6, drain_a_decode_engine, repeat_a_token, {}, "", ""),
    ],
    ids=["1-times-out", "1-answers", "2", "3", "4", "5", "6"],
)
def test_the_rule_is_kept_and_breaks_without_its_guard(
    rule: int,
    fault: Fault,
    guard: GuardRemoval,
    load: dict[str, Any],
    model: str,
    settings: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    verdicts: list[dict[str, Any]] = []

    async def go(is_guard_removed: bool) -> None:
        # One process runs clients, node and engines. The settings let the node send final answers earlier, so
        # that they are in time on a slow machine.
        settings_with_margin = settings + " limits { answer_ahead_ms: 300 }"
        async with world(model=model, settings=settings_with_margin, quota=20 if rule == 4 else 1000) as w:
            if is_guard_removed:
                guard(w, monkeypatch)
            verdicts.append(await play(w, day(**load), fault))

    run(lambda: go(False))
    kept = verdicts[0]
    assert kept["kept"], {n: r["first"] for n, r in kept["rules"].items() if not r["kept"]}
    assert kept["rules"][rule]["checked"] > 0
    run(lambda: go(True))
    assert not verdicts[1]["rules"][rule]["kept"]
