"""Measures how long `Router.handle` takes for one event at a given number of servers, by event type.

Runs in one process, in virtual time, against simulated engines with random latencies; not part of CI.
Usage: python bench/decisions.py [--servers 190]
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import defaultdict

import click

from tuliptrack.interface import (
    AttemptEnded,
    EndpointInfo,
    EndpointListUpdate,
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


@click.command()
@click.option("--servers", default=190)
@click.option("--requests", default=20_000)
@click.option("--per-s", default=800.0, help="Requests per second that arrive at this node.")
@click.option(
    "--zones", default=0, help="Zones to spread the servers over, with a cross-zone budget; 0: no zones."
)
def main(servers: int, requests: int, per_s: float, zones: int) -> None:
    rng = random.Random(1)
    settings = Settings(
        replicas=4,
        roles=(Role.PREFILL, Role.DECODE),
        may_cancel=True,
        max_attempts=5,
        classes=(
            RequestClass("question", 1.0, 1_200_000, 5_000_000),
            RequestClass("summary", 2.0, 2_500_000, 12_000_000),
        ),
        tenants=(Tenant("a", 0.5, 4 * per_s), Tenant("b", 0.5, 4 * per_s)),
        report_fields=("in_flight", "memory_share", "tokens_waiting_k"),
        prompt_bytes=6.0,
        state_bytes=16.0,
        answer_bytes=24.0,
        zone_budgets=(ZoneBudget(1e7, 1e8, 1e5),) if zones else (),
    )
    router = Router(settings, 1)
    endpoints = tuple(
        EndpointInfo(n, n % 2, cell=n // 8, zone=n // 2 % zones if zones else 0)
        for n in range(1, servers + 1)
    )
    durations_s: dict[str, list[float]] = defaultdict(list)
    event_queue: list[tuple[int, int, object]] = [
        (1_000_000, 0, EndpointListUpdate(UpdateKind.FULL, 1, endpoints))
    ]
    sequence = itertools.count(1)
    arrival_us = 1_000_000
    for request_number in range(1, requests + 1):
        arrival_us += int(rng.expovariate(per_s) * 1e6)
        prefix_id = int(200 * rng.random() ** 2) + 1
        heapq.heappush(
            event_queue,
            (
                arrival_us,
                next(sequence),
                Request(
                    request_number,
                    int(rng.random() < 0.2),
                    5_000_000,
                    3000.0,
                    2500.0,
                    200.0,
                    rng.getrandbits(40),
                    prefix_id,
                    int(rng.random() < 0.5),
                ),
            ),
        )
    attempt_counts: dict[int, int] = defaultdict(int)
    action_counts: dict[str, int] = defaultdict(int)
    while event_queue:
        now_us, _, event = heapq.heappop(event_queue)
        started_at = time.perf_counter()
        actions = router.handle(now_us, [event])  # type: ignore[list-item]
        durations_s[type(event).__name__].append(time.perf_counter() - started_at)
        for action in actions:
            action_counts[type(action).__name__] += 1
            if not isinstance(action, SendAttempt):
                continue
            attempt, attempt_counts[action.request_id] = (
                attempt_counts[action.request_id],
                attempt_counts[action.request_id] + 1,
            )
            load = (float(rng.randrange(12)), rng.random() * 0.5, rng.random())
            if action.endpoint_id % 2 == 0:
                latency_us = int(30_000 + rng.expovariate(1 / 40_000))
                heapq.heappush(
                    event_queue,
                    (
                        now_us + latency_us,
                        next(sequence),
                        AttemptEnded(
                            action.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.PREFILLED,
                            latency_us,
                            cached_tokens=2000,
                            load_report=load,
                        ),
                    ),
                )
            else:
                latency_us = int(20_000 + rng.expovariate(1 / 20_000))
                heapq.heappush(
                    event_queue,
                    (
                        now_us + latency_us,
                        next(sequence),
                        StreamStarted(action.request_id, attempt, action.endpoint_id, latency_us),
                    ),
                )
                heapq.heappush(
                    event_queue,
                    (
                        now_us + latency_us + 3_000_000,
                        next(sequence),
                        AttemptEnded(
                            action.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.OK,
                            latency_us + 3_000_000,
                            is_final=True,
                            load_report=load,
                        ),
                    ),
                )
    click.echo(f"{servers} servers, {requests} requests at {per_s:g} a second; actions {dict(action_counts)}")
    click.echo(f"{'event':12} {'count':>7} {'median us':>10} {'p99 us':>8} {'most us':>8}")
    durations_s["all"] = [duration for times in durations_s.values() for duration in times]
    for name, times in durations_s.items():
        times.sort()
        click.echo(
            f"{name:12} {len(times):7} {times[len(times) // 2] * 1e6:10.0f} {times[len(times) * 99 // 100] * 1e6:8.0f} "
            f"{times[-1] * 1e6:8.0f}"
        )


if __name__ == "__main__":
    main()
