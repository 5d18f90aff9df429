"""Measures the share of priority weight served in time against the bytes that cross zones.

190 real routers run in virtual time against 66 simulated engines: prefill engines serve in order of arrival,
decode engines have slots and a fixed time per token. The scenarios are calm traffic that is uneven over the
zones, an overloaded zone (also with uneven load on its nodes), and an outage of one zone's engines. The router
has cross-zone budgets of 100 to 0 % of the traffic that crosses zones without a budget, and is compared with
two baselines: zones ignored ("free"), and no endpoint of another zone known ("never cross"). Not part of CI.
Usage: python bench/zones.py [--seconds 40] [--plot FILE]
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
Scenario = tuple[str, float, tuple[float, ...], tuple[float, float] | None, float]
"""Name, requests per second, each zone's share of them, start and end in seconds of an outage of zone 0's
engines, and the share of a zone's traffic that goes only to a tenth of its nodes."""
PREFILL_US_PER_TOKEN, DECODE_SLOTS, DECODE_STEP_US = 30.0, 40, 15_000
PROMPT_BYTES, STATE_BYTES, ANSWER_BYTES = 6.0, 16.0, 24.0  # per token
CLASSES = (
    RequestClass("question", 1.0, 1_200_000, 5_000_000, inter_token_objective_us=60_000.0),
    RequestClass("summary", 2.0, 2_500_000, 12_000_000, inter_token_objective_us=80_000.0),
)


class Engine:
    """A simulated engine: the times at which its decode slots and its prefill queue become free."""

    def __init__(self) -> None:
        self.slots_free_at = [0] * DECODE_SLOTS
        self.prefill_free_at = 0
        self.held = 0
        self.is_down = False


def run_scenario(
    name: str,
    budget: float | None,
    seconds: float,
    scenario: Scenario,
    by_traffic: float = 0.0,
    seed: int = 1,
) -> dict[str, Any]:
    """Runs one scenario; `budget` is in bytes per second for all nodes.

    None ignores zones; -1 hides the endpoints of other zones from each router.
    """
    rng = random.Random(seed)
    _, rate, zone_shares, outage, skewed_share = scenario
    budgets = (
        ()
        if budget is None or budget < 0
        else (ZoneBudget(budget, max(budget * 5, 80_000.0), 80_000.0, by_traffic=by_traffic),)
    )
    servers = [EndpointInfo(n + 1, n % 2, cell=n % ZONES, zone=n % ZONES) for n in range(ENGINES)]
    engines = {server.id: Engine() for server in servers}
    zone_of = {server.id: server.zone for server in servers}
    routers, node_zone = [], []
    for slot in range(NODES):
        zone = slot % ZONES
        endpoints = [server for server in servers if budget != -1 or server.zone == zone]
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
                    prompt_bytes=PROMPT_BYTES,
                    state_bytes=STATE_BYTES,
                    answer_bytes=ANSWER_BYTES,
                ),
                slot,
            )
        )
        routers[-1].handle(1_000_000, [EndpointListUpdate(UpdateKind.FULL, 1, tuple(endpoints))])
        node_zone.append(zone)
    sequence = itertools.count()
    queue: list[tuple[int, int, int, Any]] = []
    start, arrival_us = 2_000_000, 2_000_000.0
    while arrival_us < start + seconds * 1e6:
        arrival_us += rng.expovariate(rate) * 1e6
        zone = rng.choices(range(ZONES), zone_shares)[0]
        skewed_nodes = NODES // ZONES // 10
        node = rng.randrange(skewed_nodes if rng.random() < skewed_share else NODES // ZONES) * ZONES + zone
        class_index = int(rng.random() < 0.2)
        prompt_tokens, prefix_tokens = (3000.0, 0.0) if class_index else (2800.0, 2400.0)
        request = Request(
            next(sequence) + 1,
            class_index,
            CLASSES[class_index].deadline_us,
            prompt_tokens * (0.7 + 0.6 * rng.random()),
            prefix_tokens,
            200.0,
            rng.getrandbits(40),
            0 if class_index else rng.randrange(40) + 1,
        )
        heapq.heappush(queue, (int(arrival_us), next(sequence), node, request))
    if outage:
        for begin, state in ((outage[0], EndpointState.REMOVED), (outage[1], EndpointState.READY)):
            change_us = start + int(begin * 1e6)
            heapq.heappush(queue, (change_us, next(sequence), -1, state))
            change = EndpointListUpdate(
                UpdateKind.DELTA,
                2,
                tuple(
                    EndpointInfo(server.id, server.kind, state, cell=server.cell, zone=server.zone)
                    for server in servers
                    if server.zone == 0
                ),
            )
            for node in range(NODES):
                heapq.heappush(queue, (change_us + 1_000_000, next(sequence), node, change))
    requests: dict[int, tuple[Request, int]] = {}
    attempt_counts: dict[int, int] = defaultdict(int)
    kv_state_zone: dict[int, int] = {}
    crossed_by_cause: dict[CrossZoneCause | None, float] = defaultdict(float)
    budgeted_sends: deque[tuple[int, float]] = deque()
    priority_weights: dict[str, float] = defaultdict(float)
    by_zone: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    while queue:
        now, _, node, event = heapq.heappop(queue)
        if node < 0:
            for server in servers:
                if server.zone == 0:
                    engines[server.id].is_down = event is EndpointState.REMOVED
            continue
        if isinstance(event, Request):
            requests[event.request_id] = (event, now)
            priority_weights["asked"] += CLASSES[event.class_index].priority_weight
            by_zone[node_zone[node]][0] += CLASSES[event.class_index].priority_weight
        elif isinstance(event, StreamStarted):
            request, arrived_at = requests[event.request_id]
            if now - arrived_at <= CLASSES[request.class_index].latency_objective_us:
                priority_weights["in time"] += CLASSES[request.class_index].priority_weight
                by_zone[node_zone[node]][1] += CLASSES[request.class_index].priority_weight
        for action in routers[node].handle(now, [event]):
            if not isinstance(action, SendAttempt):
                continue
            request, _ = requests[action.request_id]
            attempt, attempt_counts[action.request_id] = (
                attempt_counts[action.request_id],
                attempt_counts[action.request_id] + 1,
            )
            engine, zone, home_zone = (
                engines[action.endpoint_id],
                zone_of[action.endpoint_id],
                node_zone[node],
            )
            if engine.is_down:
                heapq.heappush(
                    queue,
                    (
                        now + 2_000,
                        next(sequence),
                        node,
                        AttemptEnded(
                            request.request_id, attempt, action.endpoint_id, Status.CONNECT_FAILED, 2_000
                        ),
                    ),
                )
                continue
            answer_tokens = int(20 + rng.expovariate(1 / 60))
            crossed_bytes = PROMPT_BYTES * request.prompt_tokens * (zone != home_zone)
            if action.endpoint_id % 2:  # ids start at 1: odd ones are prefill engines
                begin = max(engine.prefill_free_at, now)
                engine.prefill_free_at = begin + int(
                    PREFILL_US_PER_TOKEN * max(request.prompt_tokens - request.prefix_tokens, 1.0)
                )
                done_us = engine.prefill_free_at
                kv_state_zone[request.request_id] = zone
                heapq.heappush(
                    queue,
                    (
                        done_us,
                        next(sequence),
                        node,
                        AttemptEnded(
                            request.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.PREFILLED,
                            done_us - now,
                            cross_zone_bytes=crossed_bytes,
                            load_report=(float(max(engine.prefill_free_at - now, 0) // 15_000), 0.3),
                        ),
                    ),
                )
            else:
                crossed_bytes += ANSWER_BYTES * answer_tokens * (
                    zone != home_zone
                ) + STATE_BYTES * request.prompt_tokens * (kv_state_zone[request.request_id] != zone)
                slot = min(range(DECODE_SLOTS), key=engine.slots_free_at.__getitem__)
                first_token_us = max(engine.slots_free_at[slot], now) + DECODE_STEP_US
                engine.slots_free_at[slot] = first_token_us + answer_tokens * DECODE_STEP_US
                busy = sum(free_at > now for free_at in engine.slots_free_at)
                heapq.heappush(
                    queue,
                    (
                        first_token_us,
                        next(sequence),
                        node,
                        StreamStarted(request.request_id, attempt, action.endpoint_id, first_token_us - now),
                    ),
                )
                heapq.heappush(
                    queue,
                    (
                        engine.slots_free_at[slot],
                        next(sequence),
                        node,
                        AttemptEnded(
                            request.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.OK,
                            engine.slots_free_at[slot] - now,
                            True,
                            cross_zone_bytes=crossed_bytes,
                            load_report=(float(busy), busy / DECODE_SLOTS * 0.5),
                        ),
                    ),
                )
            if crossed_bytes:
                crossed_by_cause[action.cross_zone_cause] += crossed_bytes
                if action.cross_zone_cause in (CrossZoneCause.BUDGET, CrossZoneCause.RETRY):
                    budgeted_sends.append((now, crossed_bytes))
    peak_of_bound, peak_bytes, window_bytes = 0.0, 0.0, 0.0
    window: deque[tuple[int, float]] = deque()
    for sent_at, crossed_bytes in budgeted_sends:  # sliding window of one second
        window.append((sent_at, crossed_bytes))
        window_bytes += crossed_bytes
        while window[0][0] < sent_at - 1_000_000:
            window_bytes -= window.popleft()[1]
        peak_bytes = max(peak_bytes, window_bytes)
    if budgets:
        peak_of_bound = peak_bytes / (budgets[0].bytes_per_s + budgets[0].burst + budgets[0].quantum)
    return {
        "name": name,
        "in time": priority_weights["in time"] / priority_weights["asked"],
        "crossed": sum(crossed_by_cause.values()) / seconds,
        "forced": crossed_by_cause[CrossZoneCause.FORCED] / seconds,
        "worst": peak_of_bound,
        "zones": [in_time / max(asked, 1e-9) for _, (asked, in_time) in sorted(by_zone.items())],
    }


@click.command()
@click.option("--seconds", default=40.0)
@click.option("--plot", type=click.Path())
def main(seconds: float, plot: str | None) -> None:
    click.echo(f"{NODES} nodes, {ENGINES} engines in {ZONES} zones, {seconds:g} s a day")
    results = []
    scenarios: list[Scenario] = [
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
    for scenario in scenarios:
        title = f"{scenario[0]}: {scenario[1]:g} requests a second, shares {scenario[2]}"
        with ProcessPoolExecutor(7) as pool:
            free = run_scenario("free", None, seconds, scenario)
            shares_of_free = (1.0, 0.3, 0.1, 0.03, 0.0)
            jobs = [("never cross", -1.0, 0.0)] + [
                (f"{share:.0%} of free", share * free["crossed"], 0.0) for share in shares_of_free
            ]
            jobs += [
                (f"{share:.0%} by traffic", share * free["crossed"], 1.0)
                for share in shares_of_free[:3]
                if scenario[4]
            ]
            rows = [free] + [
                row.result()
                for row in [
                    pool.submit(run_scenario, name, budget, seconds, scenario, by_traffic)
                    for name, budget, by_traffic in jobs
                ]
            ]
        click.echo(
            f"\n{title}\n{'':15} {'in time':>8} {'KB/s crossed':>13} {'of it forced':>13} {'worst s of bound':>17}  by zone"
        )
        for row in rows:
            click.echo(
                f"{row['name']:15} {row['in time']:8.1%} {row['crossed'] / 1000:13.0f} {row['forced'] / 1000:13.0f} "
                f"{row['worst']:17.0%}  " + " ".join(f"{served_share:.1%}" for served_share in row["zones"])
            )
        results.append((scenario[0], rows))
    if plot and results:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, axes = pyplot.subplots(figsize=(7, 4))
        for name, rows in results:
            axes.plot(
                [row["crossed"] / 1000 for row in rows],
                [row["in time"] * 100 for row in rows],
                "o",
                label=name,
            )
            for row in rows:
                axes.annotate(row["name"], (row["crossed"] / 1000, row["in time"] * 100), fontsize=6)
        axes.legend()
        axes.set(xlabel="KB a second across zones", ylabel="% of the worth in time (drawn engines)")
        figure.savefig(plot, dpi=110, bbox_inches="tight")


if __name__ == "__main__":
    main()
