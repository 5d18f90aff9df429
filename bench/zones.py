"""Worth served against bytes that cross zones, at 190 nodes and 66 engines, in process; not in CI.

The routers are real, the engines are drawn: readers read first come first, writers have slots and steps. A
calm day with traffic that is uneven over zones, and one on which a zone's engines are dark for a while.
Beside the router with budgets of 100 to 0 % of the free choice's crossings stand two baselines: zones ignored
(free), and no server of another zone known (never). Usage: python bench/zones.py [--seconds 40] [--plot FILE]
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict, deque
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from tuliptrack.interface import (
    AttemptEnded,
    CrossZoneCause,
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Request,
    RequestClass,
    Role,
    SendAttempt,
    Settings,
    Status,
    StreamStarted,
    Tenant,
    UpdateKind,
    ZoneBudget,
)
from tuliptrack.routing.router import Router

NODES, ENGINES, ZONES = 190, 66, 3
Day = tuple[str, float, tuple[float, ...], tuple[float, float] | None, float]
"""Name, requests a second, the zones' shares of them, from when to when zone 0 is dark (seconds), and the
part of a zone's traffic that comes to a tenth of its nodes."""
READ_US, SLOTS, STEP_US = 30.0, 40, 15_000  # a token read; a writer's slots; a token written
PROMPT_B, STATE_B, ANSWER_B = 6.0, 16.0, 24.0
CLASSES = (
    RequestClass("question", 1.0, 1_200_000, 5_000_000, inter_token_objective_us=60_000.0),
    RequestClass("summary", 2.0, 2_500_000, 12_000_000, inter_token_objective_us=80_000.0),
)


class Engine:
    """One drawn engine: when it would be done with the next thing."""

    def __init__(self) -> None:
        self.free = [0] * SLOTS
        self.reader_free = 0
        self.held = 0
        self.dark = False


def run(
    name: str, budget: float | None, seconds: float, day: Day, by_traffic: float = 0.0, seed: int = 1
) -> dict[str, Any]:
    """One day; `budget` in bytes a second for all nodes (None: zones ignored; -1: other zones unknown)."""
    chance = random.Random(seed)
    _, rate, shares, dark, skew = day
    budgets = (
        ()
        if budget is None or budget < 0
        else (ZoneBudget(budget, max(budget * 5, 80_000.0), 80_000.0, by_traffic=by_traffic),)
    )
    servers = [EndpointInfo(n + 1, n % 2, cell=n % ZONES, zone=n % ZONES) for n in range(ENGINES)]
    engines = {s.id: Engine() for s in servers}
    zone_of = {s.id: s.zone for s in servers}
    routers, node_zone = [], []
    for slot in range(NODES):
        zone = slot % ZONES
        known = [s for s in servers if budget != -1 or s.zone == zone]
        routers.append(
            Router(
                Settings(
                    replicas=NODES,
                    replica_index=slot,
                    zone=zone,
                    classes=CLASSES,
                    roles=(Role.PREFILL, Role.DECODE),
                    max_attempts=5,
                    tenants=(Tenant("a", 1.0, rate * 1.5),),
                    may_cancel=True,
                    report_fields=("in_flight", "memory_share"),
                    zone_budgets=budgets,
                    prompt_bytes=PROMPT_B,
                    state_bytes=STATE_B,
                    answer_bytes=ANSWER_B,
                ),
                slot,
            )
        )
        routers[-1].handle(1_000_000, [EndpointListUpdate(UpdateKind.FULL, 1, tuple(known))])
        node_zone.append(zone)
    tie = itertools.count()
    queue: list[tuple[int, int, int, Any]] = []
    start, at = 2_000_000, 2_000_000.0
    while at < start + seconds * 1e6:
        at += chance.expovariate(rate) * 1e6
        zone = chance.choices(range(ZONES), shares)[0]
        few = NODES // ZONES // 10
        node = chance.randrange(few if chance.random() < skew else NODES // ZONES) * ZONES + zone
        cls = int(chance.random() < 0.2)
        prompt, shared = (3000.0, 0.0) if cls else (2800.0, 2400.0)
        ask = Request(
            next(tie) + 1,
            cls,
            CLASSES[cls].deadline_us,
            prompt * (0.7 + 0.6 * chance.random()),
            shared,
            200.0,
            chance.getrandbits(40),
            0 if cls else chance.randrange(40) + 1,
        )
        heapq.heappush(queue, (int(at), next(tie), node, ask))
    if dark:
        for begin, state in ((dark[0], EndpointState.REMOVED), (dark[1], EndpointState.READY)):
            moment = start + int(begin * 1e6)
            heapq.heappush(queue, (moment, next(tie), -1, state))
            change = EndpointListUpdate(
                UpdateKind.DELTA,
                2,
                tuple(
                    EndpointInfo(s.id, s.kind, state, cell=s.cell, zone=s.zone)
                    for s in servers
                    if s.zone == 0
                ),
            )
            for node in range(NODES):
                heapq.heappush(queue, (moment + 1_000_000, next(tie), node, change))
    asks: dict[int, tuple[Request, int]] = {}
    tries: dict[int, int] = defaultdict(int)
    held: dict[int, int] = {}
    crossed: dict[CrossZoneCause | None, float] = defaultdict(float)
    spent: deque[tuple[int, float]] = deque()
    worth: dict[str, float] = defaultdict(float)
    by_zone: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    while queue:
        now, _, node, event = heapq.heappop(queue)
        if node < 0:
            for server in servers:
                if server.zone == 0:
                    engines[server.id].dark = event is EndpointState.REMOVED
            continue
        if isinstance(event, Request):
            asks[event.request_id] = (event, now)
            worth["asked"] += CLASSES[event.class_index].priority_weight
            by_zone[node_zone[node]][0] += CLASSES[event.class_index].priority_weight
        elif isinstance(event, StreamStarted):
            ask, came = asks[event.request_id]
            if now - came <= CLASSES[ask.class_index].latency_objective_us:
                worth["in time"] += CLASSES[ask.class_index].priority_weight
                by_zone[node_zone[node]][1] += CLASSES[ask.class_index].priority_weight
        for action in routers[node].handle(now, [event]):
            if not isinstance(action, SendAttempt):
                continue
            ask, _ = asks[action.request_id]
            attempt, tries[action.request_id] = tries[action.request_id], tries[action.request_id] + 1
            engine, zone, home = engines[action.endpoint_id], zone_of[action.endpoint_id], node_zone[node]
            if engine.dark:
                heapq.heappush(
                    queue,
                    (
                        now + 2_000,
                        next(tie),
                        node,
                        AttemptEnded(
                            ask.request_id, attempt, action.endpoint_id, Status.CONNECT_FAILED, 2_000
                        ),
                    ),
                )
                continue
            answer = int(20 + chance.expovariate(1 / 60))
            size = PROMPT_B * ask.prompt_tokens * (zone != home)
            if action.endpoint_id % 2:  # ids start at 1: odd ones read
                begin = max(engine.reader_free, now)
                engine.reader_free = begin + int(READ_US * max(ask.prompt_tokens - ask.prefix_tokens, 1.0))
                done = engine.reader_free
                held[ask.request_id] = zone
                heapq.heappush(
                    queue,
                    (
                        done,
                        next(tie),
                        node,
                        AttemptEnded(
                            ask.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.PREFILLED,
                            done - now,
                            cross_zone_bytes=size,
                            load_report=(float(max(engine.reader_free - now, 0) // 15_000), 0.3),
                        ),
                    ),
                )
            else:
                size += ANSWER_B * answer * (zone != home) + STATE_B * ask.prompt_tokens * (
                    held[ask.request_id] != zone
                )
                slot = min(range(SLOTS), key=engine.free.__getitem__)
                first = max(engine.free[slot], now) + STEP_US
                engine.free[slot] = first + answer * STEP_US
                busy = sum(f > now for f in engine.free)
                heapq.heappush(
                    queue,
                    (
                        first,
                        next(tie),
                        node,
                        StreamStarted(ask.request_id, attempt, action.endpoint_id, first - now),
                    ),
                )
                heapq.heappush(
                    queue,
                    (
                        engine.free[slot],
                        next(tie),
                        node,
                        AttemptEnded(
                            ask.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.OK,
                            engine.free[slot] - now,
                            True,
                            cross_zone_bytes=size,
                            load_report=(float(busy), busy / SLOTS * 0.5),
                        ),
                    ),
                )
            if size:
                crossed[action.cross_zone_cause] += size
                if action.cross_zone_cause in (CrossZoneCause.BUDGET, CrossZoneCause.RETRY):
                    spent.append((now, size))
    worst, most, total = 0.0, 0.0, 0.0
    window: deque[tuple[int, float]] = deque()
    for when, size in spent:  # windows of a second
        window.append((when, size))
        total += size
        while window[0][0] < when - 1_000_000:
            total -= window.popleft()[1]
        most = max(most, total)
    if budgets:
        worst = most / (budgets[0].bytes_per_s + budgets[0].burst + budgets[0].quantum)
    return {
        "name": name,
        "in time": worth["in time"] / worth["asked"],
        "crossed": sum(crossed.values()) / seconds,
        "forced": crossed[CrossZoneCause.FORCED] / seconds,
        "worst": worst,
        "zones": [done / max(asked, 1e-9) for _, (asked, done) in sorted(by_zone.items())],
    }


@click.command()
@click.option("--seconds", default=40.0)
@click.option("--plot", type=click.Path())
def main(seconds: float, plot: str | None) -> None:
    click.echo(f"{NODES} nodes, {ENGINES} engines in {ZONES} zones, {seconds:g} s a day")
    shades = []
    days: list[Day] = [
        ("calm", 420.0, (0.42, 0.33, 0.25), None, 0.0),
        ("zone 0 overfull", 600.0, (0.72, 0.16, 0.12), None, 0.0),
        (
            f"zone 0 dark from 10 to {seconds * 0.75:g} s",
            420.0,
            (0.42, 0.33, 0.25),
            (10.0, seconds * 0.75),
            0.0,
        ),
        ("zone 0 overfull, uneven nodes", 600.0, (0.72, 0.16, 0.12), None, 0.8),
    ]
    for day in days:
        title = f"{day[0]}: {day[1]:g} requests a second, shares {day[2]}"
        with ProcessPoolExecutor(7) as pool:
            free = run("free", None, seconds, day)
            parts = (1.0, 0.3, 0.1, 0.03, 0.0)
            jobs = [("never cross", -1.0, 0.0)] + [
                (f"{p:.0%} of free", p * free["crossed"], 0.0) for p in parts
            ]
            jobs += [(f"{p:.0%} by traffic", p * free["crossed"], 1.0) for p in parts[:3] if day[4]]
            found = [free] + [
                row.result()
                for row in [
                    pool.submit(run, name, budget, seconds, day, by_traffic)
                    for name, budget, by_traffic in jobs
                ]
            ]
        click.echo(
            f"\n{title}\n{'':15} {'in time':>8} {'KB/s crossed':>13} {'of it forced':>13} {'worst s of bound':>17}  by zone"
        )
        for row in found:
            click.echo(
                f"{row['name']:15} {row['in time']:8.1%} {row['crossed'] / 1000:13.0f} {row['forced'] / 1000:13.0f} "
                f"{row['worst']:17.0%}  " + " ".join(f"{z:.1%}" for z in row["zones"])
            )
        shades.append((day[0], found))
    if plot and shades:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 4))
        for name, found in shades:
            axes.plot(
                [r["crossed"] / 1000 for r in found], [r["in time"] * 100 for r in found], "o", label=name
            )
            for row in found:
                axes.annotate(row["name"], (row["crossed"] / 1000, row["in time"] * 100), fontsize=6)
        axes.legend()
        axes.set(xlabel="KB a second across zones", ylabel="% of the worth in time (drawn engines)")
        figure.savefig(plot, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
