"""The ledger's rates: parts a second, time of a commit, recovery, bytes a part; structures beside plain ones.
Not in CI.

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


def timed(act: object) -> float:
    begin = time.perf_counter()
    act()  # type: ignore[operator]
    return time.perf_counter() - begin


@click.command()
@click.option("--parts", default=1_000_000)
@click.option("--batch", default=1_000)
def main(parts: int, batch: int) -> None:
    chance = random.Random(1)
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "ledger")
        ledger, commits = Ledger(path, 1 << 34), []
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
            commits.append(timed(ledger.commit))
        commits.sort()
        click.echo(
            f"{parts} parts by {batch}: {parts / sum(commits):,.0f} parts a second in commits of median "
            f"{statistics.median(commits) * 1e3:.1f} ms, p99 {commits[len(commits) * 99 // 100] * 1e3:.1f} ms; "
            f"{ledger.size() / parts:.0f} bytes a part"
        )
        ledger.close()
        click.echo(
            f"opened again in {timed(lambda: Ledger(path, 1 << 34).close()) * 1e3:.0f} ms, verified in "
            f"{timed(lambda: verify(path)):.1f} s, billed in {timed(lambda: compute_bills(read_usage_records(path))):.1f} s"
        )
    count = 1_000_000
    whens = [chance.randrange(60_000_000) for _ in range(count)]
    wheel: TimingWheel[int] = TimingWheel(0)
    heap: list[tuple[int, int]] = []

    def by_wheel() -> None:
        for key, when in enumerate(whens):
            wheel.schedule(key, when)
        for key, when in enumerate(whens[: count // 2]):
            wheel.schedule(key, when + 1_000_000)  # half are moved
        for now in range(0, 62_000_000, 10_000):
            for _ in wheel.advance(now):
                pass

    def by_heap() -> None:
        due = dict(enumerate(whens))
        for key, when in enumerate(whens):
            heapq.heappush(heap, (when, key))
        for key, when in enumerate(whens[: count // 2]):
            due[key] = when + 1_000_000
            heapq.heappush(heap, (when + 1_000_000, key))
        for now in range(0, 62_000_000, 10_000):
            while heap and heap[0][0] <= now:
                when, key = heapq.heappop(heap)
                if due.get(key) == when:
                    del due[key]

    click.echo(
        f"{count} timers, half moved: wheel {timed(by_wheel):.2f} s, heap with dead entries {timed(by_heap):.2f} s"
    )
    names = [f"t{int(100_000 * chance.random() ** 3)}" for _ in range(count)]
    sketch, plain = HeavyHitterSketch(2_048), Counter[str]()
    took = timed(lambda: [sketch.add(name, 10) for name in names])
    took_plain = timed(lambda: [plain.update((name,)) for name in names])
    best = {h.name for h in sketch.top(20)}
    click.echo(
        f"{count} amounts of {len(plain)} names: sketch of 2,048 {took:.2f} s, a table of all {took_plain:.2f} s; "
        f"{len(best & {n for n, _ in plain.most_common(20)})} of the 20 heaviest found"
    )


if __name__ == "__main__":
    main()
