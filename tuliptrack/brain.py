"""Every decision of tuliptrack. Its settings, events and actions are defined in `interface.py`,
the plain records it keeps in `state.py`.

A request meets, in this order: `_arrive` (worth and refusal), `_pick_reader` (hash home, score spill),
`_pick_writer` (fewest projected own tokens) and `_outcome` (what follows an attempt). Health of readers and
writers is one notion, `_blame`; every attempt leaves through `_send`, every answer through `_finish`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from random import Random
from typing import Any

from tuliptrack.decisions.zones import Crossings, Returns
from tuliptrack.interface import (
    Action, Cancel, ClientGone, Effect, Event, Fail, FleetChange, HandBack, KeyScope, ListKind, Log, Outcome,
    Refuse, Release, Request, Role, Send, ServerState, SetTimer, Settings, Started, Status, Subscribe, Timer,
)
from tuliptrack.state import (
    Asked, Blame, Candidates, Fleet, Flight, Kind, Loads, Ramp, Seat, any_of, least_of, median_low,
)
from tuliptrack.structures.rendezvous import mix, rendezvous_score

QUEUE_THRESHOLD = 0.5  # share of the aim that a queue may take; past it a home spills, and all past it refuse
SPILL_HOMES = 3  # readers in a prefix's hash order to spill among, the last home counted
HOME_SHARE = 0.28  # at most this share of the readers are a prefix's homes: nodes see little of their queues
HOT_SPARE = 2.0  # times a prefix's part of what this node was asked is its homes' part of the readers
CARRIED_US = 20_000_000  # microseconds in which tokens given to a role fade: some tens of requests
LOW_TIER = 0.5  # share of the threshold at which low worth is refused (the design's figure)
TOP_TIER = 1.6  # times the threshold at which top worth is refused too: past it most would only be late
SMOOTHING = 0.2  # weight of a new sample in an average: about the last five reads, a second's worth
SILENCE_FLOOR = 0.5  # share of the aim before which no attempt is given up: two tries still fit into the aim
SILENCE_RATIO = 2.5  # times the pace of the slowest fifth of answers at which an attempt counts as silent
SILENCE_STEP = 1.5  # growth of that time at each further silence of one request: no retry storm in a slowness
LOST_MOST = 0.7  # share of silent attempts past which it's a jam, not lost answers: then all are waited for
EARLY = 0.08  # share of the aim by which a server without room says `full`; later, it holds back a tenant
FULL_MOST = 0.4  # share of attempts turned away at once past which a request isn't offered to one more server
TYPICAL_OF = 15  # answers of one role by whose slowest fifth this node knows its pace
TYPICAL_US = 5_000_000  # microseconds in which that pace fades, so that refusing all doesn't freeze it
TYPICAL_WEIGHT = 0.9  # of the typical time to a first token, times the square of the part a node can't see
AGES_POWER = 6  # of the part a node can't see, as the weight of ages: of few nodes the own queue tells more
TRIAL_US = 700_000  # microseconds between trial sends to a blamed server, doubled at each failure, jittered
TRIAL_GAPS = 20  # or the time of so many requests at this node, if longer: each trial is one request's delay
TRIAL_MOST_US = 15_000_000  # but no longer: troubles last tens of seconds, and capacity is missed after them
NEAR_TIE = 1.0  # of the mean load: so far above the least may a writer in the reader's cell lie
MEMORY_ABOVE = 0.12  # share of memory above the writers' median at which a writer is passed over
COLD_SHARE = 1 / 3  # of the multiple at which turns come; `_cold_turn` tells why a third
COLD_SPREAD = (math.sqrt(5) - 1) / 2  # successive turns' multiples of it, mod 1, spread evenly over 0 to 1
ASKED_SMOOTHING = 0.05  # weight of a request in what this node is asked: some twenty tell the mix of classes
QUOTA_BURST_S = 2.0  # seconds of a tenant's quota it may save up: smooths chance, too short to hide a burst
QUOTA_LEAST = 4.0  # requests it may save up at least: one node of hundreds gets them by chance, not evenly
REPORT_LIFE_US = 2_000_000  # microseconds in which a report fades: about two of the slowest refreshes seen
CALM_US = 2_000_000  # microseconds without a refusal after which refusing has ended, for log and time-outs
PACE_US = 6_000_000  # microseconds in which what is known of answers' lengths fades: a few answers
PACE_LOOK_US = 250_000  # microseconds between looks at it
PACE_FLOOR_US = 100_000  # microseconds: where answers take less, a short halt outlasts many of them
PACE_RATIO = 3.0  # times longer than its peers' that a dragging server's answers take
PACE_SURE = 5.0  # log of the odds at which it drags: looked at often, a lower bar is met by chance
PACE_ENDS = 4.0  # answers of its peers that must have ended lately, lest a common slowness look like its own
PACE_MOST = 0.34  # share of the writers that may drag at once: more are no server's own fault
LONE_AGAIN = 2  # times that a request goes again to where just its connection broke: its prompt is kept there
LONE_MOST = 4  # such breaks in a row, with no answer between, that speak against the server all the same
SUBSCRIBE_US = 500_000  # microseconds before a failed call for the list is repeated, jittered

_BROKEN = (Status.CONNECT_FAILED, Status.RESET)  # what speaks against the whole server
_ALL = -1  # the key of blame for a whole server; classes have their number, tenants those above
_PACE = -2  # that for the pace of its answers


class Router:
    """The decisions of one node. `handle` takes what has happened and returns what to do."""

    def __init__(self, settings: Settings, seed: int, beside: Router | None = None) -> None:
        """`beside` is this node's router of another model: quotas and zones' budgets are kept together."""
        self.settings, self.random = settings, Random(seed)
        self.now, self.born, self.refused_at, self.looked_at, self.arrived_at = 0, 0, -CALM_US, 0, 0
        self.out: list[Action] = []
        self.fleet = Fleet(settings.roles, bool(settings.zone_budgets))
        self.seats, self.asked = self.fleet.seats, Asked()
        self.flights: dict[int, Flight] = {}
        self.quota: dict[int, tuple[float, int]] = beside.quota if beside else {}
        # What answers of a role have shown; those of other zones apart, where crossings are counted.
        self.kinds = {(role, far): Kind(deque(maxlen=TYPICAL_OF)) for role in Role for far in (False, True)}
        self.quotas = self.whole_quotas = sum(t.quota_per_s for t in settings.tenants)  # what all can do
        self.gap, self.unseen = 0.0, 1 - 1 / settings.replicas  # the part of all traffic that others see
        self.noted: set[str] = set()
        self.acts: dict[type, Callable[[Any], None]] = {
            Request: self._arrive, Outcome: self._outcome, Started: self._started, FleetChange: self._listed,
            ClientGone: self._client_gone, Timer: lambda _: self.out.append(Subscribe(True))}
        self.zones: Crossings | None = (
            beside.zones if beside else Crossings(settings) if settings.zone_budgets else None)
        self.returns = Returns()
        self.has_depth = "in_flight" in settings.report_fields
        self.low_worth, self.top_worth = (pick(c.worth for c in settings.classes) for pick in (min, max))

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment, in order; return the actions, in order."""
        self.now, self.out, self.born = now, [], self.born or now
        for event in events:
            self.acts.get(type(event), lambda _: None)(event)
        if now - self.looked_at > PACE_LOOK_US:
            self.looked_at = now
            self._look_at_paces()
        return self.out

    # -- the server list

    def _listed(self, change: FleetChange) -> None:
        if change.kind is ListKind.FAILED:
            self.out.append(SetTimer(int(SUBSCRIBE_US * (1 + self.random.random())), 0))
            return
        if change.kind is ListKind.CACHED and self.settings.must_subscribe:
            self.out.append(Subscribe(True))
        changed = self.fleet.apply(change, self.now, PACE_US)
        for server in changed.forgotten:
            self.noted -= {f"server {server} suspect", f"server {server} drags"}
        for seat in changed.seats:
            seat.kind = self.kinds[seat.role, self._abroad(seat)]
        self.quotas = change.part * self.whole_quotas
        if self.zones:
            self.zones.begin(self.now)
        self._note_zones()

    def _note_zones(self) -> None:
        """Tell the crossings which zones have servers to be used, and the operators what follows."""
        if self.zones and len({s.info.zone for s in self.seats.values()}) > 1:
            up = [(s.info.zone, s.role) for s in self.seats.values()
                  if s.info.state is ServerState.READY and _ALL not in s.blamed]
            for zone, what in self.returns.note(self.now, up):
                self.out.append(Log(f"zone {zone}: {what}"))

    # -- arrival: worth and refusal

    def _arrive(self, request: Request) -> None:
        cls = self.settings.classes[request.cls]
        hint = request.hint if cls.token_aim else None
        answer = request.max_tokens / 2 if hint is None else hint / cls.token_aim
        aim = cls.aim + int(cls.aim_per_1000_tokens * request.prompt_tokens / 1000)
        flight = Flight(request, cls, self.now + request.time_left, aim, request.prompt_tokens + answer)
        self.flights[request.id] = flight
        self.asked.note(request.cls, flight.unread, answer, ASKED_SMOOTHING, request.prefix)
        over = self._over_share(request) or request.over_budget
        worth = cls.worth * (self.settings.over_share_worth if over else 1.0)
        tier = LOW_TIER if worth < self.low_worth else TOP_TIER if worth >= self.top_worth else 1.0
        tier = TOP_TIER if request.resumed else tier  # What was done for it so far would be lost.
        self.gap += SMOOTHING * (self.now - (self.arrived_at or self.now) - self.gap)
        self.arrived_at = self.now
        if self.zones:
            self.zones.arrived(self.now)
        reader, most = self._pick_reader(flight), tier * QUEUE_THRESHOLD * aim
        look = self._outlook(flight, reader)
        # Serving comes before the budget: the best reader of another zone is looked at before a refusal.
        if look > most and self.zones and tier >= 1 and (far := self._spill(flight, self._far(flight), 0.0)):
            reader, look = far, self._outlook(flight, far)
        if look > most and self.zones and self.returns.back:  # Elsewhere is no room: its zone has it sooner.
            flight.hurried = True
            reader = self._pick_reader(flight)
            look = self._outlook(flight, reader)
        if look > most / 2:  # On the way to a jam a turn at any cold reader is room, past it any idle one's.
            open_to = self._open_to(Role.READ, flight)
            turns = [s for s in open_to.turns if look > most or not self._abroad(s)]
            key = request.prefix or request.session  # The first in this order.
            seat = min(turns, default=None, key=lambda s: (
                self._abroad(s), -rendezvous_score(key, s.info.id, s.info.weight))) or (
                self._spill_anywhere(flight, open_to) if look > most else None)
            if seat and (2 * (wait := self._outlook(flight, seat)) <= most or self._cold_turn(seat, flight)):
                reader, look = seat, wait
        roles = (Role.READ, Role.WRITE) if reader and reader.role is Role.READ else (Role.BOTH,)
        soonest = sum(self.kinds[role, False].quick for role in roles) * aim  # Till a first token, if quick.
        refuse = look > most or max(look, soonest) > request.time_left
        self.refused_at = self.now if refuse else self.refused_at
        flight.wait = int(look - most) if refuse else 0  # Till what waits may be down to the threshold.
        self._note("refusing by worth", self.now - self.refused_at < CALM_US)
        self._send(flight, None if refuse else reader)

    def _note(self, what: str, on: bool) -> None:
        """Tell the operators once when an exception begins and once when it ends."""
        if on != (what in self.noted):
            self.noted ^= {what}
            self.out.append(Log(f"{what}: {'begins' if on else 'ends'}"))

    def _over_share(self, request: Request) -> bool:
        """Whether the tenant is past its quota at this node: a bucket filled at its share of a replica."""
        if request.tenant >= len(self.settings.tenants):
            return False
        rate = self.settings.tenants[request.tenant].quota_per_s / self.settings.replicas
        most = max(rate * QUOTA_BURST_S, QUOTA_LEAST)
        saved, since = self.quota.get(request.tenant, (most, self.now))
        saved = min(saved + rate * (self.now - since) / 1e6, most)
        over = saved < 1
        self.quota[request.tenant] = (saved - (not (over or request.repeat or request.resumed)), self.now)
        return over

    def _outlook(self, flight: Flight, reader: Seat | None) -> float:
        """Microseconds to a first token where the request would go. An idle server that it would not get
        can't hide a jam where it would; a turn at a cold one is room; waiting states show late in reports."""
        writer = self._pick_writer(flight) if reader and reader.role is Role.READ else None
        queue, typical = self._queue_us(reader) if reader else 0.0, 0.0
        queue += writer.open_work * writer.us_per_token(self.now) if writer else 0.0
        far = reader is not None and self._abroad(reader)
        roles = (Role.READ, Role.WRITE) if reader and reader.role is Role.READ else (Role.BOTH,)
        # A node with a request a second has hardly any own work open: its last reports and answers stand in,
        # and the ages of attempts out, as no answer comes of a jam; the median, lest one silent server do.
        for role in roles:
            kind = self.kinds[role, far]
            ages = [self.now - old.sent for s, old in self.fleet.oldest(role) if s.kind is kind]
            fresh = max(0.0, 1 - (self.now - kind.told_at) / TYPICAL_US)
            waits = kind.waiting  # A queue just reported by the very reader tells more than its peers'.
            if reader and reader.role is role:
                waits += (reader.waiting - waits) * reader.fresh(self.now, REPORT_LIFE_US)
            told = TYPICAL_WEIGHT * self.unseen**2 * (waits + kind.work) * kind.us_per_token
            aged = self.unseen**AGES_POWER * median_low([0, *ages])
            typical += max(fresh * (told + kind.full * flight.aim), aged)
        return queue if reader and self._cold_turn(reader, flight) else max(queue, typical)

    # -- the first stage: a reader

    def _pick_reader(self, flight: Flight) -> Seat | None:
        request, cls, order = flight.request, flight.cls, self._order(flight)
        own = (sum(not self._abroad(s) for s in order) if self.zones else 0) or len(order)
        once = cls.aim_per_1000_tokens * request.prefix_tokens / 1000  # That the aim grants to read it.
        least = SPILL_HOMES if SPILL_HOMES * once <= QUEUE_THRESHOLD * (cls.aim + once) else 1
        wanted = max(least, HOT_SPARE * self.asked.part(request.prefix, ASKED_SMOOTHING) * own)
        count = max(1, int(min(HOME_SHARE * self.unseen * own, wanted))) if request.prefix else 1
        seats = self._pool(order, flight, count + SPILL_HOMES - 1)
        if not seats:
            return None
        # A session stays at one of its prefix's homes, whichever node it comes through; a turn would lapse.
        homes = [s for s in seats[:count] if not self._abroad(s)] or seats[:count]
        home = max(homes, key=lambda s: (
            self._cold_turn(s, flight), rendezvous_score(request.session, s.info.id, s.info.weight)))
        if self._queue_us(home) <= QUEUE_THRESHOLD * flight.aim:
            return home
        far = [s for s in self._far(flight) if s not in seats] if self.zones else []
        return self._spill(flight, seats + far, 1.0)

    def _score(self, flight: Flight, seat: Seat, priced: float) -> float:
        """A reader of another zone scores worse by the price of what would cross."""
        price = priced * self._price(flight, seat.info.zone, seat.role is not Role.READ)
        depth = seat.standing(self.now, REPORT_LIFE_US, self.has_depth)
        return (depth + 1) * seat.usual_latency(self.now) * (1 + price)

    def _spill(self, flight: Flight, seats: list[Seat], priced: float) -> Seat | None:
        # Nodes that know equally little must not all choose one server: ties go by the node's own chance.
        return any_of(least_of(seats, lambda s: self._score(flight, s, priced)), self.random)

    def _spill_anywhere(self, flight: Flight, open_to: Candidates) -> Seat | None:
        since = self.now - REPORT_LIFE_US
        return self.fleet.any_least(open_to, lambda s: self._score(flight, s, 1.0), since, self.random)

    def _far(self, flight: Flight) -> list[Seat]:
        """Readers of other zones among which to spill, in this prefix's hash order."""
        return self._pool([s for s in self._order(flight) if self._abroad(s)], flight, SPILL_HOMES)

    def _abroad(self, seat: Seat) -> bool:
        """Whether a server lies in another zone, where crossings are counted."""
        return self.zones is not None and seat.info.zone != self.settings.zone

    def _crossing(self, flight: Flight, zone: int, writes: bool) -> float:
        """Bytes that an attempt there would move between zones: prompt, state, and the answer back."""
        assert self.zones
        held = flight.held.info.zone if flight.held and writes else None
        return self.zones.size(flight.request, zone, held, writes, flight.cost)

    def _price(self, flight: Flight, zone: int, writes: bool) -> float:
        if self.zones is None:
            return 0.0
        size, worth = self._crossing(flight, zone, writes), flight.cls.worth / self.top_worth
        return self.zones.price(self.now, flight.request.cls, size, worth)

    def _order(self, flight: Flight) -> Collection[Seat]:
        """The ready readers in this prefix's hash order, those of this zone first."""
        order = self.fleet.readers().ranking(flight.request.prefix or flight.request.session)
        return sorted(order, key=self._abroad) if self.zones else order

    def _queue_us(self, seat: Seat) -> float:
        """Microseconds in which the tokens that wait there are worked off, at the speed seen here. So
        the threshold fits fast and slow servers, long and short prompts; slowness alone is no overload."""
        # Each read at a mixed server slows the answers that run there: they count like reads that wait.
        others = self.unseen**2 * seat.waiting * seat.fresh(self.now, REPORT_LIFE_US)
        if seat.role is Role.BOTH:
            depth = seat.standing(self.now, REPORT_LIFE_US, self.has_depth)
            others = (depth - len(seat.open)) * seat.busy_tokens / self.settings.replicas
        return max(seat.open_work, others) * seat.us_per_token(self.now)

    # -- the second stage: a writer

    def _pick_writer(self, flight: Flight) -> Seat | None:
        """The fewest projected own tokens. Servers with none of this node's are only counted, by groups."""
        fleet, open_to = self.fleet, self._open_to(Role.WRITE, flight)
        if not open_to:
            return None
        # Little is known of the memory of servers abroad: those at home are compared with each other.
        zoned = fleet.memory.counts(math.inf, open_to.barred) if self.zones else {}
        prices = {g: self._price(flight, fleet.groups[g].zone, True) for g, n in zoned.items() if n}
        home = [group for group, price in prices.items() if not price]
        bound = fleet.memory.low_median(open_to.barred, home or None) + MEMORY_ABOVE
        counts = {g: n for g, n in fleet.memory.counts(bound, open_to.barred).items() if n}
        roles = {role: self.kinds[role, False].carry(0.0, self.now, CARRIED_US) / fleet.size(role)
                 for role in {fleet.groups[g].role for g in counts}}
        loaded = open_to.among(seat for seat in fleet.loaded.values() if seat.memory <= bound)
        loads = Loads(counts, {g: roles[fleet.groups[g].role] for g in counts}, loaded)
        if any(prices.values()):  # A crossing weighs so many mean loads more.
            loads.raise_by(max(loads.mean, flight.cost), prices)
        least = loads.least
        most = least + NEAR_TIE * loads.mean

        def load(seat: Seat) -> float:
            """Infinite where a state may not go."""
            return loads.of(seat) if seat.memory <= bound and seat in open_to else math.inf

        cell = flight.held.info.cell if flight.held else None
        # A cell's writers get no more of its reads than they can take, by the list: the rest would jam them.
        if cell is not None and (reads := fleet.cell_part(Role.READ, cell)):
            cell = cell if self.random.random() < fleet.cell_part(Role.WRITE, cell) / reads else None
        near = [s for s in open_to.turns if load(s) <= most]
        if not near and cell is not None and len(fleet.cell(cell)) < len(open_to.ready):
            near = [s for s in fleet.cell(cell) if load(s) <= most]
        if not near:
            idle, loaded = loads.idle_at(least), loads.loaded_at(least)
            if not idle:
                return any_of(loaded, self.random)
            return open_to.draw(lambda s: load(s) == least, idle + len(loaded), self.random)
        return any_of(least_of(near, lambda s: (s.info.cell != cell, load(s))), self.random)

    # -- health and guards, one notion for both stages

    def _open_to(self, role: Role, flight: Flight) -> Candidates:
        """The ready servers of a role where this request may go: suspects only where nothing else is left."""
        ready, fleet = self.fleet.ready(role), self.fleet
        cold = fleet.cold(role, self.now - self.settings.cold_for)
        barred = {server for server in flight.tried if server in ready}
        barred.update([s.info.id for s in cold
                       if s.no_turn_before > self.now or self._cold_turn(s, flight) is None])
        if flight.effect is not None and flight.cls.effect is not Effect.SAFE:
            barred.update(s.info.id for s in ready if not self._in_group(flight, s))
        looked_at = ready if self.zones and self.returns.back else fleet.blamed(role)
        poor = {s.info.id for s in looked_at if not self._usable(s, flight)} | barred
        barred = poor if len(poor) < len(ready) else barred
        return Candidates(ready, barred, [s for s in cold if s.info.id not in barred])

    def _pool(self, seats: Iterable[Seat], flight: Flight, most: int) -> list[Seat]:
        """The first of these where this request may go: suspects only where nothing else is left."""
        fit: list[Seat] = []
        poor: list[Seat] = []
        for seat in seats:
            if (seat.info.id not in flight.tried and self._in_group(flight, seat)
                    and self._cold_turn(seat, flight) is not None):
                (fit if self._usable(seat, flight) else poor).append(seat)
                if len(fit) == most:
                    break
        return fit or poor[:most]

    def _keys(self, flight: Flight) -> tuple[int, int, int]:
        """What a failure can be laid to: the server, its service of this class, or of this tenant."""
        return _ALL, flight.request.cls, len(self.settings.classes) + flight.request.tenant

    def _usable(self, seat: Seat, flight: Flight) -> bool:
        """Not blamed for this kind of request, or due for a trial; nor in a zone it is yet to return to."""
        if self.zones and self.returns.back and not flight.hurried and not self.returns.admits(
                self.now, seat.info.zone, seat.role, mix(flight.request.session) / 2**64):
            return False
        keys = self._keys(flight) if self.now - self.refused_at < CALM_US else (_PACE, *self._keys(flight))
        return not seat.blamed or all(self.now >= seat.blamed[k].until for k in keys if k in seat.blamed)

    def _trial_wait(self, fails: int) -> int:
        wait = min(max(TRIAL_US * 2 ** (fails - 1), TRIAL_GAPS * self.gap), TRIAL_MOST_US)
        return int(wait * (0.5 + self.random.random()))

    def _blame(self, seat: Seat, key: int, sent: int) -> None:
        known = seat.blamed.get(key)
        if known and sent < known.at:
            return  # Many attempts break at once when a process dies: they count as one failure.
        fails = known.fails + 1 if known else 1
        self.fleet.blame(seat, key, Blame(fails, self.now, self.now + self._trial_wait(fails)))
        if key == _ALL:
            self._note_zones()
        self._note(f"server {seat.info.id} suspect", True)

    def _clear(self, seat: Seat, flight: Flight) -> None:
        """An answer clears the blame for its kind of request."""
        for key in self._keys(flight) if seat.blamed else ():
            if seat.blamed.pop(key, None) and key == _ALL:
                self._note_zones()
        if not seat.blamed:
            self._note(f"server {seat.info.id} suspect", False)

    def _ran(self, seat: Seat, flight: Flight, whole: bool) -> None:
        """An answer that had started is over; one no longer than usual clears its server of dragging."""
        took, pace = self.fleet.end(seat, flight.request.id, self.now, PACE_US, whole), self.fleet.pace
        if whole and _PACE in seat.blamed and took * pace.ends < PACE_RATIO * pace.ran_us:
            del seat.blamed[_PACE]
            self._note(f"server {seat.info.id} drags", False)

    def _look_at_paces(self) -> None:
        """Find servers that begin answers in time but drag them out. The evidence: how few have ended there
        for the time that they have run, against its peers in the same seconds; a common slowness is nobody's.
        Nothing new goes there but trials; what runs there is handed back, to be resumed elsewhere. Not while
        this node refuses: then even a slow server is missed."""
        if self.now - self.refused_at < CALM_US:
            return
        self.fleet.pace.advance(self.now, PACE_US)
        ends, ran_us = self.fleet.pace.ends, self.fleet.pace.ran_us
        dragging = sum(_PACE in s.blamed for s in self.fleet.blamed(Role.WRITE))
        for seat in [self.seats[server] for server in sorted(self.fleet.running)]:
            seat.pace.advance(self.now, PACE_US)
            others, peers = ends - seat.pace.ends, ran_us - seat.pace.ran_us
            if others < PACE_ENDS or peers <= 0:
                continue
            usual = seat.pace.ran_us / max(peers / others, PACE_FLOOR_US)
            sure = usual * (1 - 1 / PACE_RATIO) - seat.pace.ends * math.log(PACE_RATIO) >= PACE_SURE
            if not sure or (_PACE not in seat.blamed
                            and dragging >= PACE_MOST * len(self.fleet.ready(Role.WRITE))):
                continue
            fails = min(seat.blamed[_PACE].fails + 1, 4) if _PACE in seat.blamed else 2
            self.fleet.blame(seat, _PACE, Blame(fails, self.now, self.now + self._trial_wait(fails)))
            self._note(f"server {seat.info.id} drags", True)
            self.fleet.forget_pace(seat, self.now, PACE_US)
            if self.settings.may_resume:
                self.out.extend(HandBack(request_id) for request_id in seat.running)

    def _patience(self, flight: Flight, seat: Seat) -> int:
        """The attempt's own time-out: silence well past what answers take here, while a retry can still be in
        time. None where most are silent, this node refuses or, of a read, nothing has been heard of its role
        just now: that is a jam, or may be one, and retries would feed it."""
        kind = seat.kind
        left = self.settings.max_attempts - flight.attempts - (seat.role is Role.READ)
        window = {Effect.SAFE: math.inf, Effect.KEYED: flight.cls.dedup_window}.get(flight.cls.effect, 0)
        unheard = seat.role is not Role.WRITE and 0 < kind.heard_at < self.now - SILENCE_FLOOR * flight.aim
        jammed = unheard or kind.lost >= LOST_MOST or self.now - self.refused_at < CALM_US
        if left <= 0 or not window or jammed:
            return 0
        # The oldest attempt out at each peer counts with the answers: a common slowness shows there first.
        ages = ((self.now - old.sent) / old.aim for _, old in self.fleet.oldest(seat.role))
        paces = sorted([*kind.paces, *ages])
        slow = paces[-len(paces) // 5]
        # Few nodes see much: there what is queued explains a wait, and patience is longer.
        wait = max(SILENCE_FLOOR / max(self.unseen, 0.5) ** 0.75, SILENCE_RATIO * slow) * flight.aim
        wait *= SILENCE_STEP**flight.silences
        # Where reports tell of a queue, silence is waiting: a retry would only lengthen it.
        wait *= (1 + kind.waiting / max(kind.work, 1.0)) / max(1 - kind.lost, 1 - LOST_MOST)
        return int(wait) if self.now + 2 * wait < flight.due and wait < window else 0

    def _cold_turn(self, seat: Seat, flight: Flight) -> int | None:
        """The turn by which a request may go to a server: 0 where it is warm, None where there is none.

        A cold server is pushed over by what all nodes send it in one window: past N, what the settings allow
        it, 2 x root of N + 2 are chance. So they send by turns, numbered from its start, handed round their
        slots. One comes whenever its ramp has made room for a request, at COLD_SHARE x fall_multiple of its
        part of the quotas; it is good for one send and lapses after a fall_window. A window can see turns
        that came in it, N/3, and unused ones of that before: N/3, one a node at most. The last third is for
        half as many processes as slots again, quotas too high, servers gone before a node's first list.
        Peers, traffic and chance have no part in it: a batch of retries finds one send, a new node leaves
        what its last life may have used. A class of h mean requests fits one turn in h."""
        s, start = self.settings, seat.info.started_at
        if not start or self.now >= start + s.cold_for:
            return 0
        if self.now < seat.no_turn_before:
            return None
        able = self.quotas * self.fleet.share(seat) / 1e6 or 1 / s.fall_window  # no quota told: one
        ramp = Ramp(min(COLD_SHARE * s.fall_multiple, 1.0) * able, s.cold_from, s.cold_for)
        turn = ramp.turns(self.now - start)
        turn -= (turn + mix(seat.info.id) - s.slot) % s.replicas
        if turn <= max(seat.turn, ramp.turns(max(self.now - s.fall_window, self.born) - start)):
            seat.no_turn_before = start + ramp.before(turn + s.replicas)
            return None
        heavy = self.asked.heaviness(flight.request.cls, seat.role)
        return turn if turn * COLD_SPREAD % 1 * heavy <= 1 else None

    def _in_group(self, flight: Flight, seat: Seat) -> bool:
        """Whether a send there, also to be read anew, can't double an effect of what may have run."""
        if flight.effect is None or flight.cls.effect is Effect.SAFE:
            return True
        sent, first = flight.effect
        if flight.cls.effect is Effect.UNSAFE or self.now - sent > flight.cls.dedup_window:
            return False
        scope, zone, cell = flight.cls.key_scope, seat.info.zone == first.zone, seat.info.cell == first.cell
        return scope is KeyScope.ALL or (zone and (scope is KeyScope.ZONE or cell))

    # -- attempts

    def _send(self, flight: Flight, seat: Seat | None) -> None:
        """The one place where attempts leave: never a second one out, none too late, none too many."""
        if seat is None or flight.attempts >= self.settings.max_attempts or self.now >= flight.due:
            self._finish(flight)
            return
        request = flight.request
        flight.attempts += 1
        flight.work = max(request.prompt_tokens, 1.0) if flight.held else flight.unread
        seat.turn = self._cold_turn(seat, flight) or seat.turn
        self.fleet.take(seat, flight, self.now)
        if seat.role is not Role.READ:
            self.fleet.load(seat, flight.cost)
            self.kinds[seat.role, False].carry(flight.cost, self.now, CARRIED_US)
        for key in (_PACE, *self._keys(flight)) if seat.blamed else ():
            if key in seat.blamed:  # This is its trial: the next waits anew.
                seat.blamed[key].until = self.now + self._trial_wait(seat.blamed[key].fails)
        cause = self.zones.reserve(self.now, request.id, request.cls, self._crossing(
            flight, seat.info.zone, seat.role is not Role.READ), bool(flight.tried)) if self.zones else None
        self.out.append(Send(request.id, seat.info.id, self._patience(flight, seat), cause))

    def _started(self, event: Started) -> None:
        flight = self.flights.get(event.id)
        if flight is None or flight.at is None:
            return
        flight.started = True
        self.fleet.begin(flight.at, event.id, self.now, PACE_US)
        if self.fleet.off(flight.at, flight):
            self._good(flight.at, event.latency, flight)

    def _good(self, seat: Seat, latency: int, flight: Flight) -> None:
        kind, read = seat.kind, seat.role is not Role.WRITE and flight.held is None
        self.fleet.answered(seat, flight, latency, self.now, SMOOTHING, read)
        kind.answered(flight, latency, seat.waiting, SMOOTHING, read, self.now)
        kind.ended(0.0, 0.0, self.now, SMOOTHING)
        seat.breaks = 0
        self._clear(seat, flight)

    def _bad(self, seat: Seat, event: Outcome, flight: Flight) -> None:
        """What a failed attempt says, and of what: a broken connection of the server, an error or silence of
        its service of one class, a slow `full` of one tenant's; a quick one tells lack of room."""
        everything, cls, tenant = self._keys(flight)
        early = event.latency < EARLY * flight.aim
        if event.status in _BROKEN:
            seat.breaks += 1
            if not event.lone or seat.breaks >= LONE_MOST:
                self._blame(seat, everything, flight.sent)
        elif event.status is Status.ERROR or (event.status is Status.TIMEOUT and self.now < flight.due):
            flight.silences += 1
            seat.kind.ended(1.0, 0.0, self.now, SMOOTHING)
            self._blame(seat, cls, flight.sent)
        elif event.status is Status.FULL and not event.state_lost:
            seat.kind.ended(0.0, float(early), self.now, SMOOTHING)
            self._blame(seat, everything if early else tenant, flight.sent)

    def _outcome(self, event: Outcome) -> None:
        flight = self.flights.get(event.id)
        if self.zones:
            self.zones.settle(self.now, event.id, event.crossed)
        told = self.seats.get(event.server)
        if told and event.load:
            self.fleet.told(told, dict(zip(self.settings.report_fields, event.load, strict=False)), self.now)
            news = max(SMOOTHING, min((self.now - told.kind.heard_at) / REPORT_LIFE_US, 1.0))
            told.kind.waiting += news * (told.waiting - told.kind.waiting)
        if flight is None or flight.at is None:
            if event.status is Status.READ:
                self.out.append(Release(event.id))
            return
        seat = flight.at
        if not self.fleet.off(seat, flight):
            self._ran(seat, flight, event.status is Status.OK)
        elif event.status not in (Status.READ, Status.OK):
            self._bad(seat, event, flight)
        if seat.role is not Role.READ:
            self.fleet.load(seat, -flight.cost)
        if flight.effect is None and event.status.may_have_run(seat.role is Role.READ):
            flight.effect = (flight.sent, seat.info)
        flight.at = None
        if event.status is Status.READ:
            self._good(seat, event.latency, flight)
            flight.held, flight.silences = seat, 0
        if event.state_lost:
            flight.held = None
        if event.over or flight.ended:
            flight.ended = True
            self._finish(flight)
            return
        # What follows an attempt that has not answered: the next stage, another server, or the end.
        flight.breaks += event.lone
        again = event.lone and flight.breaks <= LONE_AGAIN
        flight.tried_at(seat, event.status, again, len(self.fleet.ready(Role.WRITE)))
        jam = event.status is Status.FULL and seat.kind.full > FULL_MOST
        seek = self._pick_writer if flight.held else self._pick_reader
        self._send(flight, None if event.status is Status.MOOT or jam else seek(flight))

    # -- the end

    def _client_gone(self, event: ClientGone) -> None:
        flight = self.flights.get(event.id)
        if flight is None or flight.ended:
            return
        flight.ended = True
        if flight.at is None:
            self._finish(flight)
        elif self.settings.may_cancel and not flight.started:
            self.out.append(Cancel(event.id, flight.attempts - 1))

    def _finish(self, flight: Flight) -> None:
        """The one place where requests end: what is held is let go, one answer goes out if one is owed."""
        request_id = flight.request.id
        del self.flights[request_id]
        if flight.held and not flight.started:
            self.out.append(Release(request_id))
        if flight.ended:
            return
        harmless = flight.effect is None or flight.cls.effect is Effect.SAFE or (
            flight.cls.effect is Effect.KEYED and flight.cls.key_scope is KeyScope.ALL)
        if harmless and self.now < flight.due:
            wait = min(flight.wait, self.settings.max_retry_after) if self.settings.may_advise_retry else 0
            self.out.append(Refuse(request_id, wait))
        else:
            self.out.append(Fail(request_id))
