"""Choosing among members: ties by chance, the least by a rank, the middle value."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, TypeVar

__all__ = ["any_of", "least_of", "median_low"]

T = TypeVar("T")


def median_low(values: Iterable[float]) -> float:
    """The middle one of these, the lower of two; ValueError where there are none. Its namesake in the
    standard library costs a process a twentieth of the time in which it gets ready."""
    ordered = sorted(values)
    if not ordered:
        raise ValueError("no median of nothing")
    return ordered[(len(ordered) - 1) // 2]


def any_of(members: Sequence[T], random: Random) -> T | None:
    """One of these, each as likely; None where there are none."""
    if len(members) > 1:
        return members[int(random.random() * len(members))]
    return members[0] if members else None


def least_of(members: Sequence[T], rank: Callable[[T], Any]) -> list[T]:
    """Those of the lowest rank, in their order; none where there are no members."""
    ranks = [rank(member) for member in members]
    least = min(ranks, default=None)
    return [member for member, own in zip(members, ranks, strict=True) if own == least]
