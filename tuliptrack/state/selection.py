"""Selection from a few members: a random member, the members of the lowest rank, the median."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, TypeVar

__all__ = ["lowest_ranked", "median_low", "random_member"]

T = TypeVar("T")


def median_low(values: Iterable[float]) -> float:
    """Return the lower of the two middle values.

    `statistics.median_low` is not used, because importing that module doubles the start-up time of a process.

    Raises:
        ValueError: there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no median of an empty sequence")
    return ordered[(len(ordered) - 1) // 2]


def random_member(members: Sequence[T], random: Random) -> T | None:
    """Return one of the members with equal chances, or None if there are none.

    A single member is returned without drawing a random number, so the sequence of random numbers depends
    only on real choices.
    """
    if len(members) > 1:
        return members[int(random.random() * len(members))]
    return members[0] if members else None


def lowest_ranked(members: Sequence[T], rank: Callable[[T], Any]) -> list[T]:
    """Return the members that share the lowest rank, in their original order."""
    ranks = [rank(member) for member in members]
    lowest = min(ranks, default=None)
    return [member for member, member_rank in zip(members, ranks, strict=True) if member_rank == lowest]
