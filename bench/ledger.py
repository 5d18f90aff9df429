"""Measures the ledger: usage records per second, commit time, time to reopen and verify, bytes per record.

Also compares the timing wheel with a heap and the heavy-hitter sketch with exact counts. Not part of CI.
Usage: python bench/ledger.py [--parts 1000000] [--batch 1000]
"""

from __future__ import annotations

import heapq
import random
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from tuliptrack.decisions.billing import TokenPrice, UsageOutcome, UsageRecord, compute_bills
from tuliptrack.store.ledger import Ledger
from tuliptrack.store.ledger_reading import read_usage_records, verify
from tuliptrack.structures.heavy_hitters import HeavyHitterSketch
from tuliptrack.structures.timing_wheel import TimingWheel


def elapsed_s(function: object) -> float:
    started_at = time.perf_counter()
    function()  # type: ignore[operator]
    return time.perf_counter() - started_at


@click.command()
@click.option("--parts", default=1_000_000)
@click.option("--batch", default=1_000)
def main(parts: int, batch: int) -> None:
    rng = random.Random(1)
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "ledger")
        ledger, commit_times_s = Ledger(path, 1 << 34), []
        for start in range(0, parts, batch):
            for n in range(start, start + batch):
                ledger.add(
                    UsageRecord(
                        "0123456789ab",
                        n,
                        f"tenant{n % 1000}",
                        f"work-{n}",
                        n,
                        3000,
                        2000,
                        0,
                        120,
                        UsageOutcome.SERVED,
                        price=TokenPrice(2, 1, 10),
                        request_class="question",
                    )
                )
            commit_times_s.append(elapsed_s(ledger.commit))
        commit_times_s.sort()
        click.echo(
            f"{parts} parts by {batch}: {parts / sum(commit_times_s):,.0f} parts a second in commits of median "
            f"{statistics.median(commit_times_s) * 1e3:.1f} ms, p99 {commit_times_s[len(commit_times_s) * 99 // 100] * 1e3:.1f} ms; "
            f"{ledger.size() / parts:.0f} bytes a part"
        )
        ledger.close()
        click.echo(
            f"opened again in {elapsed_s(lambda: Ledger(path, 1 << 34).close()) * 1e3:.0f} ms, verified in "
            f"{elapsed_s(lambda: verify(path)):.1f} s, billed in {elapsed_s(lambda: compute_bills(read_usage_records(path))):.1f} s"
        )
    count = 1_000_000
    expiries = [rng.randrange(60_000_000) for _ in range(count)]
    wheel: TimingWheel[int] = TimingWheel(0)
    heap: list[tuple[int, int]] = []

    def run_wheel() -> None:
        for key, expiry in enumerate(expiries):
            wheel.schedule(key, expiry)
        for key, expiry in enumerate(expiries[: count // 2]):
            wheel.schedule(key, expiry + 1_000_000)  # half are rescheduled
        for now in range(0, 62_000_000, 10_000):
            for _ in wheel.advance(now):
                pass

    def run_heap() -> None:
        current_expiry = dict(enumerate(expiries))
        for key, expiry in enumerate(expiries):
            heapq.heappush(heap, (expiry, key))
        for key, expiry in enumerate(expiries[: count // 2]):
            current_expiry[key] = expiry + 1_000_000
            heapq.heappush(heap, (expiry + 1_000_000, key))
        for now in range(0, 62_000_000, 10_000):
            while heap and heap[0][0] <= now:
                expiry, key = heapq.heappop(heap)
                if current_expiry.get(key) == expiry:
                    del current_expiry[key]

    click.echo(
        f"{count} timers, half moved: wheel {elapsed_s(run_wheel):.2f} s, heap with dead entries {elapsed_s(run_heap):.2f} s"
    )
    tenants = [f"t{int(100_000 * rng.random() ** 3)}" for _ in range(count)]
    sketch, exact_counts = HeavyHitterSketch(2_048), Counter[str]()
    sketch_s = elapsed_s(lambda: [sketch.add(name, 10) for name in tenants])
    exact_s = elapsed_s(lambda: [exact_counts.update((name,)) for name in tenants])
    heaviest = {hitter.name for hitter in sketch.top(20)}
    click.echo(
        f"{count} amounts of {len(exact_counts)} names: sketch of 2,048 {sketch_s:.2f} s, a table of all {exact_s:.2f} s; "
        f"{len(heaviest & {n for n, _ in exact_counts.most_common(20)})} of the 20 heaviest found"
    )


if __name__ == "__main__":
    main()
