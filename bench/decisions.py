"""Time of one decision (`Router.handle` with one event) at a given number of servers, by kind of event.

In process, against engines that answer after drawn times; not in CI. Usage: python bench/decisions.py
[--servers 190]
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
@click.option("--per-s", default=800.0, help="Arrivals a second at this node.")
@click.option("--zones", default=0, help="Spread the servers over so many zones, with a budget; 0: no zones.")
def main(servers: int, requests: int, per_s: float, zones: int) -> None:
    chance = random.Random(1)
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
    fleet = tuple(
        EndpointInfo(n, n % 2, cell=n // 8, zone=n // 2 % zones if zones else 0)
        for n in range(1, servers + 1)
    )
    took: dict[str, list[float]] = defaultdict(list)
    queue: list[tuple[int, int, object]] = [(1_000_000, 0, EndpointListUpdate(UpdateKind.FULL, 1, fleet))]
    tie = itertools.count(1)
    at = 1_000_000
    for number in range(1, requests + 1):
        at += int(chance.expovariate(per_s) * 1e6)
        prefix = int(200 * chance.random() ** 2) + 1
        heapq.heappush(
            queue,
            (
                at,
                next(tie),
                Request(
                    number,
                    int(chance.random() < 0.2),
                    5_000_000,
                    3000.0,
                    2500.0,
                    200.0,
                    chance.getrandbits(40),
                    prefix,
                    int(chance.random() < 0.5),
                ),
            ),
        )
    tries: dict[int, int] = defaultdict(int)
    ends: dict[str, int] = defaultdict(int)
    while queue:
        now, _, event = heapq.heappop(queue)
        begun = time.perf_counter()
        actions = router.handle(now, [event])  # type: ignore[list-item]
        took[type(event).__name__].append(time.perf_counter() - begun)
        for action in actions:
            ends[type(action).__name__] += 1
            if not isinstance(action, SendAttempt):
                continue
            attempt, tries[action.request_id] = tries[action.request_id], tries[action.request_id] + 1
            load = (float(chance.randrange(12)), chance.random() * 0.5, chance.random())
            if action.endpoint_id % 2 == 0:
                lag = int(30_000 + chance.expovariate(1 / 40_000))
                heapq.heappush(
                    queue,
                    (
                        now + lag,
                        next(tie),
                        AttemptEnded(
                            action.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.PREFILLED,
                            lag,
                            cached_tokens=2000,
                            load_report=load,
                        ),
                    ),
                )
            else:
                lag = int(20_000 + chance.expovariate(1 / 20_000))
                heapq.heappush(
                    queue,
                    (
                        now + lag,
                        next(tie),
                        StreamStarted(action.request_id, attempt, action.endpoint_id, lag),
                    ),
                )
                heapq.heappush(
                    queue,
                    (
                        now + lag + 3_000_000,
                        next(tie),
                        AttemptEnded(
                            action.request_id,
                            attempt,
                            action.endpoint_id,
                            Status.OK,
                            lag + 3_000_000,
                            is_final=True,
                            load_report=load,
                        ),
                    ),
                )
    click.echo(f"{servers} servers, {requests} requests at {per_s:g} a second; actions {dict(ends)}")
    click.echo(f"{'event':12} {'count':>7} {'median us':>10} {'p99 us':>8} {'most us':>8}")
    took["all"] = [one for times in took.values() for one in times]
    for name, times in took.items():
        times.sort()
        click.echo(
            f"{name:12} {len(times):7} {times[len(times) // 2] * 1e6:10.0f} {times[len(times) * 99 // 100] * 1e6:8.0f} "
            f"{times[-1] * 1e6:8.0f}"
        )


if __name__ == "__main__":
    main()
