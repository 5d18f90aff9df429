"""Compares the index structures of the router with simple implementations and with third-party libraries.

Library rows appear only for installed libraries: pip install sortedcontainers numpy for all of them. Runs in
one process; not part of CI. Usage: python bench/structures.py [--members 2550]
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


def fastest_us(function: Callable[[], object]) -> float:
    """Returns the time of one call in microseconds: the fastest of `REPEATS` averages over `ROUNDS` calls."""
    return min(timeit.repeat(function, number=ROUNDS, repeat=REPEATS)) / ROUNDS * 1e6


def import_if_installed(name: str) -> Any | None:
    """Returns the module, or None if it is not installed."""
    try:
        return importlib.import_module(name)
    except ImportError:
        return None


def time_sorted_members(count: int, rng: Random) -> dict[str, float]:
    """Times removing a member, adding it again and looking up the member at a position."""
    keys = [rng.getrandbits(64) for _ in range(count)]
    sorted_members: SortedMembers[int] = SortedMembers()
    members = {key: key for key in keys}
    for key in keys:
        sorted_members.put(key, key)

    def change() -> int:
        sorted_members.remove(keys[7])
        sorted_members.put(keys[7], 7)
        return sorted_members[count // 2]

    def rebuild() -> int:
        members.pop(keys[7])
        members[keys[7]] = 7
        return members[sorted(members)[count // 2]]

    rows = {"SortedMembers": fastest_us(change), "rebuilt list": fastest_us(rebuild)}
    if sortedcontainers := import_if_installed("sortedcontainers"):
        sorted_dict = sortedcontainers.SortedDict(members)

        def change_sorted_dict() -> Any:
            del sorted_dict[keys[7]]
            sorted_dict[keys[7]] = 7
            return sorted_dict.peekitem(count // 2)

        rows["sortedcontainers.SortedDict"] = fastest_us(change_sorted_dict)
    return rows


def time_medians(count: int, rng: Random) -> dict[str, float]:
    """Times updating one value and computing the median with ten members excluded."""
    values = {key: rng.random() for key in range(count)}
    grouped_values: GroupedValues[int] = GroupedValues()
    for key, value in values.items():
        grouped_values.put(key, 0, value)
    excluded = set(rng.sample(range(count), 10))

    def change() -> float:
        grouped_values.put(7, 0, rng.random())
        return grouped_values.low_median(excluded)

    def scan() -> float:
        values[7] = rng.random()
        ordered = sorted(value for key, value in values.items() if key not in excluded)
        return ordered[(len(ordered) - 1) // 2]

    rows = {"GroupedValues": fastest_us(change), "scan and sort": fastest_us(scan)}
    if numpy := import_if_installed("numpy"):
        column = numpy.array(list(values.values()))
        included = numpy.ones(count, bool)

        def partition() -> Any:
            column[7] = rng.random()
            included[list(excluded)] = False
            selected = column[included]
            return numpy.partition(selected, (len(selected) - 1) // 2)[(len(selected) - 1) // 2]

        rows["numpy column"] = fastest_us(partition)
    return rows


def time_rankings(count: int, rng: Random) -> dict[str, float]:
    """Times finding the three highest-ranked members for a new key."""
    numbers = [rng.getrandbits(64) for _ in range(count)]
    hasher = RendezvousHasher(numbers, numbers, [1.0] * count)

    def first_three() -> list[int]:
        return [member for member, _ in zip(hasher.ranking(rng.getrandbits(64)), range(3), strict=False)]

    def sort_all() -> list[int]:
        key = rng.getrandbits(64)
        return sorted(numbers, key=lambda number: -rendezvous_score(key, number, 1.0))[:3]

    rows = {"RendezvousHasher": fastest_us(first_three), "one after another": fastest_us(sort_all)}
    if numpy := import_if_installed("numpy"):
        member_hashes = numpy.array([hashed for hashed in hasher.hashes(0)], dtype=numpy.uint64)

        def score_column() -> Any:
            hashed = member_hashes ^ numpy.uint64(rng.getrandbits(64))
            for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
                hashed = (hashed ^ (hashed >> numpy.uint64(shift))) * numpy.uint64(factor)
            return numpy.argpartition(hashed, -3)[-3:]

        rows["numpy column"] = fastest_us(score_column)
    return rows


def time_interpreter_starts() -> dict[str, float]:
    """Returns the start time of a bare interpreter and with each import, in milliseconds: the fastest of five."""
    rows = {}
    for name, statement in (
        ("bare", "pass"),
        ("our structures", "import tuliptrack.state"),
        ("sortedcontainers", "import sortedcontainers"),
        ("numpy", "import numpy"),
    ):
        if name in ("numpy", "sortedcontainers") and not import_if_installed(name):
            continue
        command = [sys.executable, "-c", statement]
        rows[name] = (
            min(timeit.repeat(lambda command=command: subprocess.run(command), number=1, repeat=5)) * 1e3
        )
    return rows


@click.command()
@click.option("--members", default=2_550, help="Members of an index.")
def main(members: int) -> None:
    """Print all comparisons."""
    rng = Random(1)
    for name, unit, rows in (
        ("a change and a look by place", "us", time_sorted_members(members, rng)),
        ("a report and a median", "us", time_medians(members, rng)),
        ("the first three for a new key, a third as many", "us", time_rankings(members // 3, rng)),
        ("start of a process", "ms", time_interpreter_starts()),
    ):
        click.echo(name)
        for implementation, duration in rows.items():
            click.echo(f"  {implementation:30} {duration:10.1f} {unit}")


if __name__ == "__main__":
    main()
