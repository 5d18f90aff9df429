"""The server list as a node was last told it, with the indexes that its questions need."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from random import Random

from tuliptrack.interface import FleetChange, ListKind, Role, Server, ServerState
from tuliptrack.state.choosing import any_of, least_of
from tuliptrack.state.loads import Candidates, Group
from tuliptrack.state.records import Blame, Flight, Pace, Seat
from tuliptrack.structures.grouped_values import GroupedValues
from tuliptrack.structures.rendezvous import RendezvousColumn
from tuliptrack.structures.sorted_members import SortedMembers

__all__ = ["GONE_KEPT", "Changed", "Fleet"]

SIZE_UNIT = (
    2**30
)  # sizes are added up as whole multiples of its inverse: no sum depends on the order of changes
GONE_KEPT = 128  # servers that have gone and are still known, so that one that comes and goes keeps its blame and turn


@dataclass(frozen=True, slots=True)
class Changed:
    """What a change of the list has done."""

    seats: list[Seat]
    """New ones, and those whose entry is another one now."""
    forgotten: list[int]
    """Servers gone for the longest, of which nothing is known any more."""


class Fleet:
    """The server list as this node was last told it, with indexes that each change mends: no question and no
    change costs a look at every server."""

    def __init__(self, roles: tuple[Role, ...], by_zone: bool = False) -> None:
        """`by_zone`: what crosses zones is counted."""
        self.roles, self.by_zone = roles, by_zone
        self.seats: dict[int, Seat] = {}
        self.waiting: dict[int, Seat] = {}
        """Servers at which attempts of this node wait for an answer."""
        self.running: dict[int, Seat] = {}
        """Those at which answers run."""
        self.loaded: dict[int, Seat] = {}
        """Those with projected tokens of this node's streams."""
        self.pace = Pace()
        """Of all servers together."""
        self.groups: list[Group] = []
        """Every group that was ever listed: roles, by zones where crossings are counted."""
        self._group_numbers: dict[tuple[Role, int], int] = {}
        self.memory: GroupedValues[int] = GroupedValues()
        """Reported memory of the ready servers that write."""
        self.latency: GroupedValues[int] = GroupedValues()
        """Smoothed time to the end of a read at the ready servers that read; 0 before the first."""
        self._reported: dict[int, Seat] = {}
        """Servers whose reports came lately, the last one at the end."""
        self._blamed: dict[int, Seat] = {}
        self._young: dict[Role, SortedMembers[Seat]] = {role: SortedMembers() for role in Role}
        """Ready servers that had started shortly before they were listed."""
        self._first_start: float = math.inf
        """Not later than the earliest start among them."""
        self._gone: dict[int, Seat] = {}
        """The last to go stands last."""
        self._ready: dict[Role, SortedMembers[Seat]] = {role: SortedMembers() for role in Role}
        self._cells: dict[int, SortedMembers[Seat]] = {}
        """Ready servers that write, by cell."""
        self._column: RendezvousColumn[Seat] | None = None
        self._sizes: dict[tuple[Role, int | None], int] = {}
        """Listed sizes of the ready servers of just a role, in all and by cell, in `SIZE_UNIT`s."""
        self._listed: dict[Role, tuple[int, int]] = {}
        """Of every server known, ready or not: sizes and their number."""
        self._most = {Role.READ: 0, Role.WRITE: 0}

    # -- changes of the list

    def apply(self, change: FleetChange, now: int, fade: float) -> Changed:
        """Take a change, or a whole list, in which what isn't named has gone. Servers gone the longest, with
        nothing of this node's there, are forgotten past `GONE_KEPT`. `fade`: of paces."""
        changed: dict[int, Seat] = {}
        infos: Iterable[Server] = change.servers
        if change.kind is not ListKind.DELTA:
            named = {server.id for server in change.servers}
            absent = [
                s.info
                for s in self.seats.values()
                if s.info.id not in named and s.info.state is not ServerState.GONE
            ]
            absent.sort(key=lambda info: info.id)
            infos = [*(replace(info, state=ServerState.GONE) for info in absent), *change.servers]
        for info in infos:
            seat = self.seats.get(info.id)
            if seat is None:
                seat = self.seats[info.id] = Seat(info, self._role(info.kind))
                self._count_listed(seat.role, _units(info.weight), 1)
                self._enter(seat)
            elif info is not seat.info and info != seat.info:
                self._replace(seat, info, now, fade)
            elif info.state is not ServerState.GONE:
                continue
            if info.state is ServerState.GONE:
                self._gone.pop(info.id, None)
                self._gone[info.id] = seat
            changed[info.id] = seat
        for role, most in self._most.items():
            self._most[role] = max(most, len(self._ready[role]))
        for members in self._young.values():  # Each server's part of the fleet may be another one now.
            for seat in members:
                seat.no_turn_before = 0
        return Changed(list(changed.values()), self._forget(now, fade))

    def _replace(self, seat: Seat, info: Server, now: int, fade: float) -> None:
        """A known server has another entry. A new process under an old id: what the old one did says nothing
        of it."""
        self._leave(seat)
        self._count_listed(seat.role, _units(info.weight) - _units(seat.info.weight), 0)
        if info.started_at > seat.info.started_at:
            seat.blamed, seat.latency, seat.memory, seat.waiting, seat.turn = {}, 0.0, 0.0, 0.0, 0
            self.pace.leave_out(seat.pace, now, fade)
            seat.pace = Pace(seat.pace.running, at=now)
        seat.info = info
        self._gone.pop(info.id, None)
        self._enter(seat)

    def _enter(self, seat: Seat) -> None:
        """Put a server into the indexes that its entry asks for."""
        info, role = seat.info, seat.role
        if info.state is not ServerState.READY:
            return
        for asked in {role, Role.READ, Role.WRITE} if role is Role.BOTH else {role}:
            self._ready[asked].put(info.id, seat)
            if info.started_at:
                self._young[asked].put(info.id, seat)
                self._first_start = min(self._first_start, info.started_at)
        seat.group = self._group(role, info.zone if self.by_zone else 0)
        if role is not Role.WRITE:
            self._column = None
            self.latency.put(info.id, seat.group, seat.latency)
        if role is not Role.READ:
            seat.load = seat.tokens / max(info.weight, 1e-6)
            self.memory.put(info.id, seat.group, seat.memory)
            self._cells.setdefault(info.cell, SortedMembers()).put(info.id, seat)
        self._count_ready(seat, _units(info.weight))

    def _leave(self, seat: Seat) -> None:
        """Take a server out of every index over entries."""
        info, role = seat.info, seat.role
        if info.state is not ServerState.READY:
            return
        for members in (*self._ready.values(), *self._young.values()):
            members.remove(info.id)
        if role is not Role.WRITE:
            self._column = None
            self.latency.remove(info.id)
        if role is not Role.READ:
            self.memory.remove(info.id)
            cell = self._cells[info.cell]
            cell.remove(info.id)
            if not cell:
                del self._cells[info.cell]
        self._count_ready(seat, -_units(info.weight))

    def _group(self, role: Role, zone: int) -> int:
        number = self._group_numbers.get((role, zone))
        if number is None:
            number = self._group_numbers[role, zone] = len(self.groups)
            self.groups.append(Group(role, zone))
        return number

    def _count_ready(self, seat: Seat, units: int) -> None:
        for cell in (None, seat.info.cell):
            key = (seat.role, cell)
            self._sizes[key] = self._sizes.get(key, 0) + units
            if not self._sizes[key]:
                del self._sizes[key]

    def _count_listed(self, role: Role, units: int, number: int) -> None:
        known, count = self._listed.get(role, (0, 0))
        self._listed[role] = (known + units, count + number)

    def _forget(self, now: int, fade: float) -> list[int]:
        idle = [s for s in self._gone.values() if not (s.open or s.running)]
        forgotten = idle[:-GONE_KEPT]
        for seat in forgotten:
            server = seat.info.id
            del self.seats[server], self._gone[server]
            self._blamed.pop(server, None)
            self._reported.pop(server, None)
            self.loaded.pop(server, None)
            self.pace.leave_out(seat.pace, now, fade)
            self._count_listed(seat.role, -_units(seat.info.weight), -1)
        return [seat.info.id for seat in forgotten]

    def _role(self, kind: int) -> Role:
        return self.roles[kind] if kind < len(self.roles) else Role.WRITE

    # -- this node's own traffic

    def take(self, seat: Seat, flight: Flight, now: int) -> None:
        """A new attempt waits there."""
        seat.take(flight, now)
        self.waiting[seat.info.id] = seat

    def off(self, seat: Seat, flight: Flight) -> bool:
        """Take an attempt off those that wait there; False where its answer had started."""
        waited = seat.off(flight)
        if not seat.open:
            self.waiting.pop(seat.info.id, None)
        return waited

    def begin(self, seat: Seat, request: int, now: int, fade: float) -> None:
        """An answer has started there."""
        seat.pace.begin(now, fade)
        self.pace.begin(now, fade)
        seat.running[request] = now
        self.running[seat.info.id] = seat

    def end(self, seat: Seat, request: int, now: int, fade: float, whole: bool) -> int:
        """An answer that had started is over; the microseconds that it ran."""
        seat.pace.end(now, fade, whole)
        self.pace.end(now, fade, whole)
        began = seat.running.pop(request)
        if not seat.running:
            self.running.pop(seat.info.id, None)
        return now - began

    def load(self, seat: Seat, tokens: float) -> None:
        """Projected tokens of a stream come there, or leave. Where nothing of this node's is there, none
        are."""
        seat.tokens = max(seat.tokens + tokens, 0.0) if seat.open or seat.running else 0.0
        seat.load = seat.tokens / max(seat.info.weight, 1e-6)
        if seat.tokens:
            self.loaded[seat.info.id] = seat
        else:
            self.loaded.pop(seat.info.id, None)

    def told(self, seat: Seat, report: dict[str, float], now: int) -> None:
        """A load report has come."""
        seat.told(report, now)
        self._reported.pop(seat.info.id, None)
        self._reported[seat.info.id] = seat
        if seat.info.id in self.memory:
            self.memory.put(seat.info.id, seat.group, seat.memory)

    def answered(self, seat: Seat, flight: Flight, latency: int, now: int, weight: float, read: bool) -> None:
        """An answer has come: its averages are brought up to it."""
        seat.answered(flight, latency, now, weight, read)
        if seat.info.id in self.latency:
            self.latency.put(seat.info.id, seat.group, seat.latency)

    def blame(self, seat: Seat, key: int, blame: Blame) -> None:
        """Note a failure there."""
        seat.blamed[key] = blame
        self._blamed[seat.info.id] = seat

    def forget_pace(self, seat: Seat, now: int, fade: float) -> None:
        """Begin anew with how its answers run."""
        self.pace.leave_out(seat.pace, now, fade)
        seat.pace = Pace(seat.pace.running, at=now)

    # -- questions

    def ready(self, role: Role) -> SortedMembers[Seat]:
        """The servers that take this role's work, mixed ones too, by their numbers."""
        return self._ready[role]

    def cell(self, cell: int) -> Collection[Seat]:
        """The ready servers of a cell that write, by their numbers."""
        return self._cells.get(cell, ())

    def blamed(self, role: Role) -> list[Seat]:
        """Ready servers of a role of which something is blamed."""
        for server in [server for server, seat in self._blamed.items() if not seat.blamed]:
            del self._blamed[server]
        return [seat for server, seat in self._blamed.items() if server in self._ready[role]]

    def cold(self, role: Role, since: int) -> Collection[Seat]:
        """Ready servers of a role that have started after a moment, by their numbers; the others are warm
        from now on."""
        if self._first_start <= since:
            for members in self._young.values():
                for seat in [seat for seat in members if seat.info.started_at <= since]:
                    members.remove(seat.info.id)
            starts = (seat.info.started_at for members in self._young.values() for seat in members)
            self._first_start = min(starts, default=math.inf)
        return self._young[role]

    def busy(self, since: int) -> dict[int, Seat]:
        """Servers at which something of this node's waits or runs, or that have reported after a moment."""
        for server, seat in list(self._reported.items()):
            if seat.told_at > since:
                break
            del self._reported[server]
        return self._reported | self.waiting | self.running

    def any_least(
        self, open_to: Candidates, score: Callable[[Seat], float], since: int, random: Random
    ) -> Seat | None:
        """Any of the readers of the least score that are candidates, each as likely. Where nothing of this
        node's is and no report came after `since`, the score has to rise with the latency, and be one for all
        of a group without any."""
        busy = self.busy(since)
        looked_at = open_to.among(busy.values())
        left_out = open_to.barred | {server for server in busy if server in self.latency}
        without = self.latency.counts(0.0, left_out)
        alike: list[tuple[float, int]] = []
        for group, count in without.items():
            if count:
                first = next(key for _, key in self.latency.rising(group) if key not in left_out)
                alike.append((score(self.seats[first]), count))
            quiet = (self.seats[key] for _, key in self.latency.rising(group, 0.0) if key not in left_out)
            looked_at += _first_alike(quiet, score)
        known = least_of(looked_at, score)
        least = min([*(own for own, _ in alike), *(score(seat) for seat in known[:1])], default=math.inf)
        tied = [seat for seat in known if score(seat) == least]
        others = sum(count for own, count in alike if own == least)
        if not others:
            return any_of(sorted(tied, key=lambda s: s.info.id), random)
        return open_to.draw(lambda s: s in open_to and score(s) == least, others + len(tied), random)

    def readers(self) -> RendezvousColumn[Seat]:
        """The ready servers that read, to be ranked for a prefix."""
        if self._column is None:
            seats = list(self._ready[Role.READ])
            self._column = RendezvousColumn(seats, [s.info.id for s in seats], [s.info.weight for s in seats])
        return self._column

    def oldest(self, role: Role) -> Iterable[tuple[Seat, Flight]]:
        """The oldest attempt that waits at each ready server of a role."""
        ready = self._ready[role]
        return ((s, s.oldest) for server, s in self.waiting.items() if s.oldest and server in ready)

    def size(self, role: Role, cell: int | None = None) -> float:
        """The listed sizes of the ready servers of just this role, in all or in one cell, summed."""
        return max(self._sizes.get((role, cell), 0) / SIZE_UNIT, 1e-6)

    def cell_part(self, role: Role, cell: int) -> float:
        """The part of this role's listed size that one cell holds."""
        return self.size(role, cell) / self.size(role)

    def share(self, seat: Seat) -> float:
        """The part that a ready server is of all that do its stage, by its listed size within its role and
        the most of them ever listed here: it doesn't grow when others go. A mixed server does both stages."""
        units, count = self._listed[seat.role]
        mean = (units / SIZE_UNIT or 1.0) / count
        most = max(n for role, n in self._most.items() if seat.role in (role, Role.BOTH))
        return seat.info.weight / mean / most


def _first_alike(seats: Iterable[Seat], score: Callable[[Seat], float]) -> list[Seat]:
    """The first of some servers, and those after it with the same score."""
    found: list[Seat] = []
    for seat in seats:
        if found and score(seat) != score(found[0]):
            break
        found.append(seat)
    return found


def _units(weight: float) -> int:
    return round(weight * SIZE_UNIT)
