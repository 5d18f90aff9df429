"""Where a request may go, and how loaded servers are: most of them counted by groups, few looked at one by
one."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from random import Random

from tuliptrack.interface import Role
from tuliptrack.state.choosing import any_of
from tuliptrack.state.records import Seat
from tuliptrack.structures.sorted_members import SortedMembers

__all__ = ["Candidates", "Group", "Loads"]

DRAWS = 64  # servers drawn by chance for one that fits, before all are looked at
DRAW_SHARE = (
    8  # least part of the servers, as its inverse, that must fit for that: eight draws at most on the mean
)


@dataclass(frozen=True, slots=True)
class Group:
    """Servers of a role and, where crossings are counted, of a zone. They are named by their place in
    `Fleet.groups`."""

    role: Role
    zone: int


class Loads:
    """Projected loads of some servers: those with own streams one by one, all others as a count in each
    group. The sum is rounded once, so it does not depend on any order."""

    def __init__(self, counts: dict[int, int], base: dict[int, float], loaded: Collection[Seat]) -> None:
        """`counts` of the servers by group, `base` what each of a group has from its role, `loaded` those
        with streams."""
        self.count = sum(counts.values())
        self.base = base
        self.idle = dict(counts)
        """How many of each group have no streams of this node."""
        self._loaded = loaded
        self.own = {seat.info.id: seat.load + base[seat.group] for seat in loaded}
        for seat in loaded:
            self.idle[seat.group] -= 1

    def of(self, seat: Seat) -> float:
        """The load of one of them."""
        return self.own.get(seat.info.id, self.base[seat.group])

    def raise_by(self, unit: float, prices: dict[int, float]) -> None:
        """Each becomes more by its group's price in units."""
        self.base = {group: base + unit * prices[group] for group, base in self.base.items()}
        for seat in self._loaded:
            self.own[seat.info.id] += unit * prices[seat.group]

    @property
    def mean(self) -> float:
        """Over all of them."""
        idle = math.fsum(self.base[group] * n for group, n in self.idle.items())
        return (math.fsum(self.own.values()) + idle) / self.count

    @property
    def least(self) -> float:
        """The lowest load."""
        return min([*self.own.values(), *(self.base[group] for group, n in self.idle.items() if n)])

    def idle_at(self, load: float) -> int:
        """How many without streams of this node have just this load."""
        return sum(n for group, n in self.idle.items() if self.base[group] == load)

    def loaded_at(self, load: float) -> list[Seat]:
        """Those with streams of this node that have just this load, by their numbers."""
        return sorted((s for s in self._loaded if self.own[s.info.id] == load), key=lambda s: s.info.id)


@dataclass(slots=True)
class Candidates:
    """The ready servers of a role to which a request may go: all but those that are barred."""

    ready: SortedMembers[Seat]
    barred: set[int]
    turns: list[Seat]
    """Those among them in slow start that have a turn open."""

    def __len__(self) -> int:
        return len(self.ready) - len(self.barred)

    def __contains__(self, seat: Seat) -> bool:
        return seat.info.id not in self.barred and seat.info.id in self.ready

    def among(self, seats: Iterable[Seat]) -> list[Seat]:
        """Those of some servers that are candidates."""
        ready, barred = self.ready.keys(), self.barred
        return [seat for seat in seats if seat.info.id in ready and seat.info.id not in barred]

    def __iter__(self) -> Iterator[Seat]:
        """By their numbers."""
        return (seat for seat in self.ready if seat.info.id not in self.barred)

    def draw(self, fits: Callable[[Seat], bool], count: int, random: Random) -> Seat | None:
        """Any of the `count` that fit, each as likely: by trials where they are many, else all are looked
        at."""
        for _ in range(DRAWS if DRAW_SHARE * count >= len(self.ready) else 0):
            seat = self.ready[int(random.random() * len(self.ready))]
            if fits(seat):
                return seat
        return any_of([seat for seat in self if fits(seat)], random)
