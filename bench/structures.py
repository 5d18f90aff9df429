"""The indexes of the decisions beside plain ones and, where they are installed, libraries of the registry.

In process; not in CI. Usage: python bench/structures.py [--members 2550]; pip install sortedcontainers numpy
for all rows.
"""

from __future__ import annotations

import importlib
import subprocess
import sys
import timeit
from collections.abc import Callable
from random import Random
from typing import Any

import click

from tuliptrack.structures.grouped_values import GroupedValues
from tuliptrack.structures.rendezvous import RendezvousHasher, rendezvous_score
from tuliptrack.structures.sorted_members import SortedMembers

ROUNDS, REPEATS = 50, 5


def microseconds(work: Callable[[], object]) -> float:
    """The least of some repeats."""
    return min(timeit.repeat(work, number=ROUNDS, repeat=REPEATS)) / ROUNDS * 1e6


def library(name: str) -> Any | None:
    """A module, where it is installed."""
    try:
        return importlib.import_module(name)
    except ImportError:
        return None


def members_rows(count: int, chance: Random) -> dict[str, float]:
    """One member leaves and comes back, and one is found by place."""
    keys = [chance.getrandbits(64) for _ in range(count)]
    own: SortedMembers[int] = SortedMembers()
    plain = {key: key for key in keys}
    for key in keys:
        own.put(key, key)

    def change() -> int:
        own.remove(keys[7])
        own.put(keys[7], 7)
        return own[count // 2]

    def rebuild() -> int:
        plain.pop(keys[7])
        plain[keys[7]] = 7
        return plain[sorted(plain)[count // 2]]

    rows = {"SortedMembers": microseconds(change), "rebuilt list": microseconds(rebuild)}
    if sorted_containers := library("sortedcontainers"):
        other = sorted_containers.SortedDict(plain)

        def change_other() -> Any:
            del other[keys[7]]
            other[keys[7]] = 7
            return other.peekitem(count // 2)

        rows["sortedcontainers.SortedDict"] = microseconds(change_other)
    return rows


def medians_rows(count: int, chance: Random) -> dict[str, float]:
    """A report comes, and the median without ten members is asked for."""
    values = {key: chance.random() for key in range(count)}
    own: GroupedValues[int] = GroupedValues()
    for key, value in values.items():
        own.put(key, 0, value)
    left_out = set(chance.sample(range(count), 10))

    def change() -> float:
        own.put(7, 0, chance.random())
        return own.low_median(left_out)

    def scan() -> float:
        values[7] = chance.random()
        ordered = sorted(value for key, value in values.items() if key not in left_out)
        return ordered[(len(ordered) - 1) // 2]

    rows = {"GroupedValues": microseconds(change), "scan and sort": microseconds(scan)}
    if numpy := library("numpy"):
        column = numpy.array(list(values.values()))
        kept = numpy.ones(count, bool)

        def partition() -> Any:
            column[7] = chance.random()
            kept[list(left_out)] = False
            some = column[kept]
            return numpy.partition(some, (len(some) - 1) // 2)[(len(some) - 1) // 2]

        rows["numpy column"] = microseconds(partition)
    return rows


def ranking_rows(count: int, chance: Random) -> dict[str, float]:
    """The first three members for a new key."""
    numbers = [chance.getrandbits(64) for _ in range(count)]
    hasher = RendezvousHasher(numbers, numbers, [1.0] * count)

    def head() -> list[int]:
        return [member for member, _ in zip(hasher.ranking(chance.getrandbits(64)), range(3), strict=False)]

    def plain() -> list[int]:
        key = chance.getrandbits(64)
        return sorted(numbers, key=lambda number: -rendezvous_score(key, number, 1.0))[:3]

    rows = {"RendezvousHasher": microseconds(head), "one after another": microseconds(plain)}
    if numpy := library("numpy"):
        lanes = numpy.array([mixed for mixed in hasher.hashes(0)], dtype=numpy.uint64)

        def vectors() -> Any:
            mixed = lanes ^ numpy.uint64(chance.getrandbits(64))
            for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
                mixed = (mixed ^ (mixed >> numpy.uint64(shift))) * numpy.uint64(factor)
            return numpy.argpartition(mixed, -3)[-3:]

        rows["numpy column"] = microseconds(vectors)
    return rows


def start_rows() -> dict[str, float]:
    """Milliseconds of a bare interpreter, and with each library; the least of five."""
    rows = {}
    for name, line in (
        ("bare", "pass"),
        ("our structures", "import tuliptrack.state"),
        ("sortedcontainers", "import sortedcontainers"),
        ("numpy", "import numpy"),
    ):
        if name in ("numpy", "sortedcontainers") and not library(name):
            continue
        command = [sys.executable, "-c", line]
        rows[name] = (
            min(timeit.repeat(lambda command=command: subprocess.run(command), number=1, repeat=5)) * 1e3
        )
    return rows


@click.command()
@click.option("--members", default=2_550, help="Members of an index.")
def main(members: int) -> None:
    """Print each comparison."""
    chance = Random(1)
    for name, unit, rows in (
        ("a change and a look by place", "us", members_rows(members, chance)),
        ("a report and a median", "us", medians_rows(members, chance)),
        ("the first three for a new key, a third as many", "us", ranking_rows(members // 3, chance)),
        ("start of a process", "ms", start_rows()),
    ):
        click.echo(name)
        for what, took in rows.items():
            click.echo(f"  {what:30} {took:10.1f} {unit}")


if __name__ == "__main__":
    main()
