"""The decision module as it stood before the indexes: each question looks at every server.

Kept as the oracle of `tests/routing/test_same_decisions.py`. It differs from that text where chance, rounding or order had to be
named, so that an index can follow it to the letter: ties are settled by one draw among the servers in the order of their
numbers, and not by one draw for each; sums of loads are rounded once; paces are brought up to the moment at which they are
compared; a server at which nothing of this node's is left has no projected tokens.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

from oracle.state import Asked, Blame, Fleet, Flight, Kind, Seat, any_of, least_of, median_low, mix
from tuliptrack.decisions.cross_zone_budget import CrossZoneBudgets
from tuliptrack.decisions.zone_recovery import ZoneRecovery
from tuliptrack.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    IdempotencyScope,
    LogMessage,
    MigrateStream,
    Reject,
    Release,
    Request,
    Role,
    SendAttempt,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
)

QUEUE_THRESHOLD = 0.5  # share of the aim that a queue may take; past it a home spills, and all past it refuse
SPILL_HOMES = 3  # readers in a prefix's hash order to spill among, the last home counted
HOME_SHARE = 0.28  # at most this share of the readers are a prefix's homes: nodes see little of their queues
HOT_SPARE = 2.0  # times a prefix's part of what this node was asked is its homes' part of the readers
CARRIED_US = 20_000_000  # microseconds in which tokens given to a role fade: some tens of requests
ORDERS_KEPT = 1000  # keys whose hash order is kept; sessions without a prefix pass through here too
LOW_TIER = 0.5  # share of the threshold at which low worth is refused (the design's figure)
TOP_TIER = 1.6  # times the threshold at which top worth is refused too: past it most would only be late
SMOOTHING = 0.2  # weight of a new sample in an average: about the last five reads, a second's worth
SILENCE_FLOOR = 0.5  # share of the aim before which no attempt is given up: two tries still fit into the aim
SILENCE_RATIO = 2.5  # times the pace of the slowest fifth of answers at which an attempt counts as silent
SILENCE_STEP = 1.5  # growth of that time at each further silence of one request: no retry storm in a slowness
LOST_MOST = 0.7  # share of silent attempts past which it's a jam, not lost answers: then all are waited for
STALL_US = 150_000  # microseconds for which a node may stand still between its clock and the wire
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
DRAWS = 64  # servers drawn by chance for one that fits, before all are looked at
DRAW_SHARE = 8  # least part of the servers, as its inverse, that must fit for that
SUBSCRIBE_US = 500_000  # microseconds before a failed call for the list is repeated, jittered

_PROVEN = (Status.AT_CAPACITY, Status.CONNECT_FAILED, Status.ABANDONED, Status.PREFILLED)  # the attempt had no effect
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
        self.fleet = Fleet(settings.roles)
        self.seats, self.asked = self.fleet.seats, Asked()
        self.flights: dict[int, Flight] = {}
        self.quota: dict[int, tuple[float, int]] = beside.quota if beside else {}
        # What answers of a role have shown; those of other zones apart, where crossings are counted.
        self.kinds = {(role, far): Kind(deque(maxlen=TYPICAL_OF)) for role in Role for far in (False, True)}
        self.quotas = sum(t.quota_per_s for t in settings.tenants)  # what this fleet is built for
        self.gap, self.unseen = 0.0, 1 - 1 / settings.replicas  # the part of all traffic that others see
        self.noted: set[str] = set()
        self.acts: dict[type, Callable[[Any], None]] = {
            Request: self._arrive, AttemptEnded: self._outcome, StreamStarted: self._started, EndpointListUpdate: self._listed,
            ClientDisconnected: self._client_gone, TimerFired: lambda _: self.out.append(Subscribe(True))}
        self.zones: CrossZoneBudgets | None = (
            beside.zones if beside else CrossZoneBudgets(settings) if settings.zone_budgets else None)
        self.returns = ZoneRecovery()
        self.has_depth = "in_flight" in settings.report_fields
        self.low_worth, self.top_worth = (pick(c.priority_weight for c in settings.classes) for pick in (min, max))

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

    def _listed(self, change: EndpointListUpdate) -> None:
        if change.kind is UpdateKind.FAILED:
            self.out.append(SetTimer(int(SUBSCRIBE_US * (1 + self.random.random())), 0))
            return
        if change.kind is UpdateKind.CACHED and self.settings.must_subscribe:
            self.out.append(Subscribe(True))
        for server in self.fleet.apply(change):
            self.noted -= {f"endpoint {server} ejected", f"endpoint {server} has slow streams"}
        self.quotas = change.quota_share * sum(t.quota_per_s for t in self.settings.tenants)
        for seat in self.seats.values():
            seat.kind = self.kinds[seat.role, self._abroad(seat)]
        if self.zones:
            self.zones.start(self.now)
        self._note_zones()

    def _note_zones(self) -> None:
        """Tell the crossings which zones have servers to be used, and the operators what follows."""
        if self.zones and len({s.info.zone for s in self.seats.values()}) > 1:
            up = [(s.info.zone, s.role) for s in self.seats.values()
                  if s.info.state is EndpointState.READY and _ALL not in s.blamed]
            for change in self.returns.observe(self.now, up):
                self.out.append(LogMessage(str(change)))

    # -- arrival: worth and refusal

    def _arrive(self, request: Request) -> None:
        cls = self.settings.classes[request.class_index]
        hint = request.stream_time_hint_us if cls.inter_token_objective_us else None
        answer = request.max_tokens / 2 if hint is None else hint / cls.inter_token_objective_us
        aim = cls.latency_objective_us + int(cls.objective_us_per_1000_tokens * request.prompt_tokens / 1000)
        flight = Flight(request, cls, self.now + request.time_left_us, aim, request.prompt_tokens + answer)
        self.flights[request.request_id] = flight
        self.asked.note(request.class_index, flight.unread, answer, ASKED_SMOOTHING, request.prefix)
        over = self._over_share(request) or request.is_over_token_budget
        worth = cls.priority_weight * (self.settings.over_quota_weight_factor if over else 1.0)
        tier = LOW_TIER if worth < self.low_worth else TOP_TIER if worth >= self.top_worth else 1.0
        tier = TOP_TIER if request.is_resumed else tier  # What was done for it so far would be lost.
        self.gap += SMOOTHING * (self.now - (self.arrived_at or self.now) - self.gap)
        self.arrived_at = self.now
        if self.zones:
            self.zones.record_arrival(self.now)
        reader, most = self._pick_reader(flight), tier * QUEUE_THRESHOLD * aim
        look = self._outlook(flight, reader)
        # Serving comes before the budget: the best reader of another zone is looked at before a refusal.
        if look > most and self.zones and tier >= 1 and (far := self._spill(flight, self._far(flight), 0.0)):
            reader, look = far, self._outlook(flight, far)
        if look > most and self.zones and self.returns.is_ramping_up:  # Elsewhere is no room: its zone has it sooner.
            flight.hurried = True
            reader = self._pick_reader(flight)
            look = self._outlook(flight, reader)
        if look > most / 2:  # On the way to a jam a turn at any cold reader is room, past it any idle one's.
            open_to = self._pool(self._order(flight), flight, len(self.seats))
            near = [s for s in open_to if look > most or not self._abroad(s)]
            seat = next((s for s in near if self._cold_turn(s, flight)), None) or (
                self._spill_anywhere(flight, near) if look > most else None)
            if seat and (2 * (wait := self._outlook(flight, seat)) <= most or self._cold_turn(seat, flight)):
                reader, look = seat, wait
        roles = (Role.PREFILL, Role.DECODE) if reader and reader.role is Role.PREFILL else (Role.PREFILL_AND_DECODE,)
        soonest = sum(self.kinds[role, False].quick for role in roles) * aim  # Till a first token, if quick.
        refuse = look > most or max(look, soonest) > request.time_left_us
        jammed = look > most or max(look, soonest) > aim  # Else only this client's own time is too short.
        self.refused_at = self.now if refuse and jammed else self.refused_at
        flight.wait = max(int(look - most), 0) if refuse else 0  # Till what waits may be down to the threshold.
        self._note("shedding load by priority", self.now - self.refused_at < CALM_US)
        self._send(flight, None if refuse else reader)

    def _note(self, what: str, on: bool) -> None:
        """Tell the operators once when an exception begins and once when it ends."""
        if on != (what in self.noted):
            self.noted ^= {what}
            self.out.append(LogMessage(f"{what}: {'begins' if on else 'ends'}"))

    def _over_share(self, request: Request) -> bool:
        """Whether the tenant is past its quota at this node: a bucket filled at its share of a replica."""
        if request.tenant >= len(self.settings.tenants):
            return False
        rate = self.settings.tenants[request.tenant].quota_per_s / self.settings.replicas
        most = max(rate * QUOTA_BURST_S, QUOTA_LEAST)
        saved, since = self.quota.get(request.tenant, (most, self.now))
        saved = min(saved + rate * (self.now - since) / 1e6, most)
        over = saved < 1
        self.quota[request.tenant] = (saved - (not (over or request.is_retry or request.is_resumed)), self.now)
        return over

    def _outlook(self, flight: Flight, reader: Seat | None) -> float:
        """Microseconds to a first token where the request would go. An idle server that it would not get
        can't hide a jam where it would; a turn at a cold one is room; waiting states show late in reports.
        """
        writer = self._pick_writer(flight) if reader and reader.role is Role.PREFILL else None
        queue, typical = self._queue_us(reader) if reader else 0.0, 0.0
        queue += writer.open_work * self._us_per_token(writer) if writer else 0.0
        far = reader is not None and self._abroad(reader)
        roles = (Role.PREFILL, Role.DECODE) if reader and reader.role is Role.PREFILL else (Role.PREFILL_AND_DECODE,)
        # A node with a request a second has hardly any own work open: its last reports and answers stand in,
        # and the ages of attempts out, as no answer comes of a jam; the median, lest one silent server do.
        for role in roles:
            kind = self.kinds[role, far]
            olds = [self._oldest(s) for s in self.fleet.ready(role) if s.kind is kind]
            fresh = max(0.0, 1 - (self.now - kind.told_at) / TYPICAL_US)
            waits = kind.waiting  # A queue just reported by the very reader tells more than its peers'.
            waits += (reader.waiting - waits) * self._fresh(reader) if reader and reader.role is role else 0.0
            told = TYPICAL_WEIGHT * self.unseen**2 * (waits + kind.work) * kind.us_per_token
            aged = self.unseen**AGES_POWER * median_low([0, *(self.now - old.sent for old in olds if old)])
            typical += max(fresh * (told + kind.full * flight.aim), aged)
        return queue if reader and self._cold_turn(reader, flight) else max(queue, typical)

    # -- the first stage: a reader

    def _pick_reader(self, flight: Flight) -> Seat | None:
        request, cls, order = flight.request, flight.cls, self._order(flight)
        own = (sum(not self._abroad(s) for s in order) if self.zones else 0) or len(order)
        once = cls.objective_us_per_1000_tokens * request.prefix_tokens / 1000  # That the aim grants to read it.
        least = SPILL_HOMES if SPILL_HOMES * once <= QUEUE_THRESHOLD * (cls.latency_objective_us + once) else 1
        wanted = max(least, HOT_SPARE * self.asked.part(request.prefix, ASKED_SMOOTHING) * own)
        count = max(1, int(min(HOME_SHARE * self.unseen * own, wanted))) if request.prefix else 1
        seats = self._pool(order, flight, count + SPILL_HOMES - 1)
        if not seats:
            return None
        # A session stays at one of its prefix's homes, whichever node it comes through; a turn would lapse.
        homes = [s for s in seats[:count] if not self._abroad(s)] or seats[:count]
        home = max(homes, key=lambda s: (self._cold_turn(s, flight), self._rank(request.session, s)))
        if self._queue_us(home) <= QUEUE_THRESHOLD * flight.aim:
            return home
        far = [s for s in self._far(flight) if s not in seats] if self.zones else []
        return self._spill(flight, seats + far, 1.0)

    def _spill(self, flight: Flight, seats: list[Seat], priced: float) -> Seat | None:
        """The lowest score; a reader of another zone scores worse by the price of what would cross."""
        def score(seat: Seat) -> float:
            return (self._depth(seat) + 1) * self._latency(seat) * (1 + priced * self._price(flight, seat))

        return any_of(least_of(seats, score), self.random)

    def _spill_anywhere(self, flight: Flight, seats: list[Seat]) -> Seat | None:
        """Any of the least score: where most know nothing of this node and are many, by trials among all readers."""
        def score(seat: Seat) -> float:
            return (self._depth(seat) + 1) * self._latency(seat) * (1 + self._price(flight, seat))

        tied = least_of(sorted(seats, key=lambda s: s.info.id), score)
        since = self.now - REPORT_LIFE_US
        unknown = [s for s in tied if not (s.open or s.running or s.latency or (s.told_at and s.told_at > since))]
        ready = self.fleet.ready(Role.PREFILL)
        if unknown and DRAW_SHARE * len(tied) >= len(ready):
            for _ in range(DRAWS):
                seat = ready[int(self.random.random() * len(ready))]
                if seat in tied:
                    return seat
        return any_of(tied, self.random)

    def _far(self, flight: Flight) -> list[Seat]:
        """Readers of other zones among which to spill, in this prefix's hash order."""
        return self._pool([s for s in self._order(flight) if self._abroad(s)], flight, SPILL_HOMES)

    def _abroad(self, seat: Seat) -> bool:
        """Whether a server lies in another zone, where crossings are counted."""
        return self.zones is not None and seat.info.zone != self.settings.zone

    def _crossing(self, flight: Flight, seat: Seat) -> float:
        """Bytes that an attempt there would move between zones: prompt, state, and the answer back."""
        if self.zones is None:
            return 0.0
        held = flight.held.info.zone if flight.held and seat.role is not Role.PREFILL else None
        return self.zones.crossing_bytes(flight.request, seat.info.zone, held, seat.role is not Role.PREFILL, flight.cost)

    def _price(self, flight: Flight, seat: Seat) -> float:
        if self.zones is None:
            return 0.0
        size, worth = self._crossing(flight, seat), flight.cls.priority_weight / self.top_worth
        return self.zones.price(self.now, flight.request.class_index, size, worth)

    def _order(self, flight: Flight) -> list[Seat]:
        """The ready readers in this prefix's hash order, kept until the list changes: ranking is dear."""
        key, orders = flight.request.prefix or flight.request.session, self.fleet.orders
        if key not in orders:
            if len(orders) >= ORDERS_KEPT:
                orders.clear()
            orders[key] = sorted(self.fleet.ready(Role.PREFILL),
                                 key=lambda s: (self._abroad(s), -self._rank(key, s)))
        return orders[key]

    def _rank(self, key: int, seat: Seat) -> float:
        """Weighted rendezvous: every node ranks alike, and a change of the list moves few keys."""
        share = (mix(key ^ mix(seat.info.id)) + 1) / (2**64 + 1)
        return seat.info.weight / -math.log(share)

    def _depth(self, seat: Seat) -> float:
        """What stands there: by the last report, and of this node's own. A mixed server's running answers
        count as its reports count them, since each read there slows all of them.
        """
        own = len(seat.running) if seat.role is Role.PREFILL_AND_DECODE and not self.has_depth else 0
        return seat.depth * self._fresh(seat) + len(seat.open) + own

    def _queue_us(self, seat: Seat) -> float:
        """Microseconds in which the tokens that wait there are worked off, at the speed seen here. So
        the threshold fits fast and slow servers, long and short prompts; slowness alone is no overload.
        """
        # Each read at a mixed server slows the answers that run there: they count like reads that wait.
        others = (self._depth(seat) - len(seat.open)) * seat.busy_tokens / self.settings.replicas
        others = others if seat.role is Role.PREFILL_AND_DECODE else self.unseen**2 * seat.waiting * self._fresh(seat)
        return max(seat.open_work, others) * self._us_per_token(seat)

    def _us_per_token(self, seat: Seat) -> float:
        """Own busy time there for each token worked off, not less than what the oldest attempt has shown."""
        oldest = self._oldest(seat)
        seen = seat.busy_us / seat.busy_tokens if seat.busy_tokens else seat.kind.us_per_token
        return max(seen, (self.now - seat.busy_from) / oldest.work) if oldest else seen

    def _oldest(self, seat: Seat) -> Flight | None:
        return next(iter(seat.open.values()), None)

    def _fresh(self, seat: Seat) -> float:
        """How much a report still counts: a server that gets no sends sends no new ones."""
        return max(0.0, 1 - (self.now - seat.told_at) / REPORT_LIFE_US)

    def _latency(self, seat: Seat) -> float:
        """The smoothed time to 'read', or the age of the oldest open one: a hung reader ends no reads."""
        oldest = self._oldest(seat)
        return max(seat.latency or seat.kind.latency, self.now - oldest.sent if oldest else 0, 1)

    # -- the second stage: a writer

    def _pick_writer(self, flight: Flight) -> Seat | None:
        pool = self._pool(self.fleet.ready(Role.DECODE), flight, len(self.seats))
        if not pool:
            return None
        # Little is known of the memory of servers abroad: those at home are compared with each other.
        zones = {s.info.zone: s for s in pool} if self.zones else {}
        prices = {zone: self._price(flight, s) for zone, s in zones.items()}
        home = [s for s in pool if not prices[s.info.zone]] if prices else pool
        bound = median_low(s.memory for s in home or pool) + MEMORY_ABOVE
        loads = self._loads([s for s in pool if s.memory <= bound])
        if any(prices.values()):  # A crossing weighs so many mean loads more.
            mean = max(self._mean(loads), flight.cost)
            loads = {i: load + mean * prices[self.seats[i].info.zone] for i, load in loads.items()}
        least = min(loads.values())
        most = least + NEAR_TIE * self._mean(loads)
        near = [s for s in pool if loads.get(s.info.id, math.inf) <= most]
        cell = flight.held.info.cell if flight.held else None
        # A cell's writers get no more of its reads than they can take, by the list: the rest would jam them.
        if cell is not None and (reads := self.fleet.cell_part(Role.PREFILL, cell)):
            cell = cell if self.random.random() < self.fleet.cell_part(Role.DECODE, cell) / reads else None
        turns = [s for s in near if self._cold_turn(s, flight)]
        own = [s for s in near if s.info.cell == cell]
        if turns or (own and cell is not None and len(self._in_cell(cell)) < len(self.fleet.ready(Role.DECODE))):
            return any_of(least_of(turns or own, lambda s: (s.info.cell != cell, loads[s.info.id])), self.random)
        return self._any_least([s for s in near if loads[s.info.id] == least])

    def _in_cell(self, cell: int) -> list[Seat]:
        return [s for s in self.fleet.ready(Role.DECODE) if s.info.cell == cell]

    def _any_least(self, tied: list[Seat]) -> Seat | None:
        """Any of these: where most have no own streams and are many, by trials among all."""
        ready = self.fleet.ready(Role.DECODE)
        if any(not s.tokens for s in tied) and DRAW_SHARE * len(tied) >= len(ready):
            for _ in range(DRAWS):
                seat = ready[int(self.random.random() * len(ready))]
                if seat in tied:
                    return seat
        return any_of(tied, self.random)

    def _mean(self, loads: dict[int, float]) -> float:
        """Over all, rounded once for those with own streams and once for each role and zone of the others."""
        own = math.fsum(load for server, load in loads.items() if self.seats[server].tokens)
        idle = Counter((self.seats[server].role, self.seats[server].info.zone if self.zones else 0, load)
                       for server, load in loads.items() if not self.seats[server].tokens)
        return (own + math.fsum(load * count for (_, _, load), count in idle.items())) / len(loads)

    def _loads(self, seats: list[Seat]) -> dict[int, float]:
        """Projected own tokens there, and what all of its role get from this node, each by the list's sizes:
        a mixed server that has reads of its own takes a state only where writers are as full.
        """
        roles = {role: self.kinds[role, False].carry(0.0, self.now, CARRIED_US) / self.fleet.size(role)
                 for role in {s.role for s in seats}}
        return {s.info.id: s.tokens / max(s.info.weight, 1e-6) + roles[s.role] for s in seats}

    # -- health and guards, one notion for both stages

    def _pool(self, seats: list[Seat], flight: Flight, most: int) -> list[Seat]:
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
        return _ALL, flight.request.class_index, len(self.settings.classes) + flight.request.tenant

    def _usable(self, seat: Seat, flight: Flight) -> bool:
        """Not blamed for this kind of request, or due for a trial; nor in a zone it is yet to return to."""
        if self.zones and self.returns.is_ramping_up and not flight.hurried and not self.returns.admits(
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
        seat.blamed[key] = Blame(fails, self.now, self.now + self._trial_wait(fails))
        if key == _ALL:
            self._note_zones()
        self._note(f"endpoint {seat.info.id} ejected", True)

    def _clear(self, seat: Seat, flight: Flight) -> None:
        """An answer clears the blame for its kind of request."""
        for key in self._keys(flight) if seat.blamed else ():
            if seat.blamed.pop(key, None) and key == _ALL:
                self._note_zones()
        if not seat.blamed:
            self._note(f"endpoint {seat.info.id} ejected", False)

    def _ran(self, seat: Seat, flight: Flight, whole: bool) -> None:
        """An answer that had started is over; one no longer than usual clears its server of dragging."""
        seat.ran(self.now, PACE_US, whole)
        took = self.now - seat.running.pop(flight.request.request_id)
        if whole and _PACE in seat.blamed:
            for one in self.seats.values():
                one.ran(self.now, PACE_US)
            ends, ran_us = self._paces()
            if took * ends < PACE_RATIO * ran_us:
                del seat.blamed[_PACE]
                self._note(f"endpoint {seat.info.id} has slow streams", False)

    def _paces(self) -> tuple[float, float]:
        """How many answers have ended lately at all writers, and how long answers have run there."""
        return sum(s.ends for s in self.seats.values()), sum(s.ran_us for s in self.seats.values())

    def _look_at_paces(self) -> None:
        """Find servers that begin answers in time but drag them out. The evidence: how few have ended there
        for the time that they have run, against its peers in the same seconds; a common slowness is nobody's.
        Nothing new goes there but trials; what runs there is handed back, to be resumed elsewhere. Not while
        this node refuses: then even a slow server is missed.
        """
        for seat in self.seats.values():
            seat.ran(self.now, PACE_US)
        if self.now - self.refused_at < CALM_US:
            return
        ends, ran_us = self._paces()
        dragging = sum(_PACE in s.blamed for s in self.fleet.ready(Role.DECODE))
        for seat in sorted(self.seats.values(), key=lambda s: s.info.id):
            others, peers = ends - seat.ends, ran_us - seat.ran_us
            if not seat.running or others < PACE_ENDS or peers <= 0:
                continue
            usual = seat.ran_us / max(peers / others, PACE_FLOOR_US)
            sure = usual * (1 - 1 / PACE_RATIO) - seat.ends * math.log(PACE_RATIO) >= PACE_SURE
            if not sure or (_PACE not in seat.blamed
                            and dragging >= PACE_MOST * len(self.fleet.ready(Role.DECODE))):
                continue
            fails = min(seat.blamed[_PACE].fails + 1, 4) if _PACE in seat.blamed else 2
            seat.blamed[_PACE] = Blame(fails, self.now, self.now + self._trial_wait(fails))
            self._note(f"endpoint {seat.info.id} has slow streams", True)
            seat.ends = seat.ran_us = 0.0
            if self.settings.may_resume:
                self.out.extend(MigrateStream(request_id) for request_id in seat.running)

    def _patience(self, flight: Flight, seat: Seat) -> int:
        """The attempt's own time-out: silence well past what answers take here, while a retry can still be in
        time. None where most are silent, this node refuses or, of a read, nothing has been heard of its role
        just now: that is a jam, or may be one, and retries would feed it.
        """
        kind = seat.kind
        left = self.settings.max_attempts - flight.attempts - (seat.role is Role.PREFILL)
        window = {Idempotency.IDEMPOTENT: math.inf, Idempotency.WITH_KEY: flight.cls.deduplication_window_us}.get(flight.cls.idempotency, 0)
        unheard = seat.role is not Role.DECODE and 0 < kind.heard_at < self.now - SILENCE_FLOOR * flight.aim
        jammed = unheard or kind.lost >= LOST_MOST or self.now - self.refused_at < CALM_US
        if left <= 0 or not window or jammed:
            return 0
        # The oldest attempt out at each peer counts with the answers: a common slowness shows there first.
        olds = [old for s in self.fleet.ready(seat.role) if (old := self._oldest(s))]
        paces = sorted([*kind.paces, *((self.now - old.sent) / old.aim for old in olds)])
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
        what its last life may have used. A class of h mean requests fits one turn in h.
        """
        s, start = self.settings, seat.info.started_at_us
        if not start or self.now >= start + s.slow_start_us:
            return 0
        able = self.quotas * self.fleet.share(seat) / 1e6 or 1 / s.slow_start_window_us  # no quota told: one
        rate = min(COLD_SHARE * s.slow_start_overload_factor, 1.0) * able

        def come(at: int) -> int:
            return int(rate * at * (s.slow_start_initial_share + (1 - s.slow_start_initial_share) * at / (2 * s.slow_start_us))) if at > 0 else 0

        turn = come(self.now - start)
        turn -= (turn + mix(seat.info.id) - s.replica_index) % s.replicas
        if turn <= max(seat.turn, come(max(self.now - s.slow_start_window_us, self.born) - start)):
            return None
        heavy = self.asked.heaviness(flight.request.class_index, seat.role)
        return turn if turn * COLD_SPREAD % 1 * heavy <= 1 else None

    def _in_group(self, flight: Flight, seat: Seat) -> bool:
        """Whether a send there, also to be read anew, can't double an effect of what may have run."""
        if flight.effect is None or flight.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        sent, first = flight.effect
        if flight.cls.idempotency is Idempotency.NOT_IDEMPOTENT or self.now - sent > flight.cls.deduplication_window_us:
            return False
        scope, zone, cell = flight.cls.idempotency_scope, seat.info.zone == first.zone, seat.info.cell == first.cell
        return scope is IdempotencyScope.ALL or (zone and (scope is IdempotencyScope.ZONE or cell))

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
        seat.take(flight, self.now)
        if seat.role is not Role.PREFILL:
            seat.tokens += flight.cost
            self.kinds[seat.role, False].carry(flight.cost, self.now, CARRIED_US)
        for key in (_PACE, *self._keys(flight)) if seat.blamed else ():
            if key in seat.blamed:  # This is its trial: the next waits anew.
                seat.blamed[key].until = self.now + self._trial_wait(seat.blamed[key].fails)
        cause = self.zones.reserve(self.now, request.request_id, request.class_index, self._crossing(flight, seat),
                                   bool(flight.tried)) if self.zones else None
        self.out.append(SendAttempt(request.request_id, seat.info.id, self._patience(flight, seat), cause))

    def _started(self, event: StreamStarted) -> None:
        flight = self.flights.get(event.request_id)
        if flight is None or flight.at is None:
            return
        flight.started = True
        flight.at.ran(self.now, PACE_US)
        flight.at.running[event.request_id] = self.now
        if flight.at.off(flight):
            self._good(flight.at, event.latency_us, flight)

    def _good(self, seat: Seat, latency: int, flight: Flight) -> None:
        kind, read = seat.kind, seat.role is not Role.DECODE and flight.held is None
        seat.answered(flight, latency, self.now, SMOOTHING, read)
        kind.answered(flight, latency, seat.waiting, SMOOTHING, read, self.now)
        kind.ended(0.0, 0.0, self.now, SMOOTHING)
        seat.breaks = 0
        self._clear(seat, flight)

    def _bad(self, seat: Seat, event: AttemptEnded, flight: Flight) -> None:
        """What a failed attempt says, and of what: a broken connection of the server, an error or silence of
        its service of one class, a slow `full` of one tenant's; a quick one tells lack of room.
        """
        everything, cls, tenant = self._keys(flight)
        early = event.latency_us < EARLY * flight.aim
        if event.status in _BROKEN:
            seat.breaks += 1
            if not event.is_connection_only or seat.breaks >= LONE_MOST:
                self._blame(seat, everything, flight.sent)
        elif event.status is Status.ERROR or (event.status is Status.TIMEOUT and self.now < flight.due):
            flight.silences += 1
            seat.kind.ended(1.0, 0.0, self.now, SMOOTHING)
            self._blame(seat, cls, flight.sent)
        elif event.status is Status.AT_CAPACITY and not event.is_state_lost:
            seat.kind.ended(0.0, float(early), self.now, SMOOTHING)
            self._blame(seat, everything if early else tenant, flight.sent)

    def _outcome(self, event: AttemptEnded) -> None:
        flight = self.flights.get(event.request_id)
        if self.zones:
            self.zones.settle(self.now, event.request_id, event.cross_zone_bytes)
        told = self.seats.get(event.endpoint_id)
        if told and event.load_report:
            told.told(dict(zip(self.settings.report_fields, event.load_report, strict=False)), self.now)
            news = max(SMOOTHING, min((self.now - told.kind.heard_at) / REPORT_LIFE_US, 1.0))
            told.kind.waiting += news * (told.waiting - told.kind.waiting)
        if flight is None or flight.at is None:
            if event.status is Status.PREFILLED:
                self.out.append(Release(event.request_id))
            return
        seat = flight.at
        if not seat.off(flight):
            self._ran(seat, flight, event.status is Status.OK)
        elif event.status not in (Status.PREFILLED, Status.OK):
            self._bad(seat, event, flight)
        if seat.role is not Role.PREFILL:
            seat.tokens = max(seat.tokens - flight.cost, 0.0) if seat.open or seat.running else 0.0
        given_up = event.status is Status.TIMEOUT  # Even a read may run yet, where its engine hangs.
        if flight.effect is None and (given_up if seat.role is Role.PREFILL else event.status not in _PROVEN):
            flight.effect = (flight.sent, seat.info)
        flight.at = None
        if event.status is Status.PREFILLED:
            self._good(seat, event.latency_us, flight)
            flight.held, flight.silences = seat, 0
        if event.is_state_lost:
            flight.held = None
        if event.is_final or flight.ended:
            flight.ended = True
            self._finish(flight)
            return
        # What follows an attempt that has not answered: the next stage, another server, or the end.
        flight.breaks += event.is_connection_only
        again = event.is_connection_only and flight.breaks <= LONE_AGAIN
        flight.tried_at(seat, event.status, again, len(self.fleet.ready(Role.DECODE)))
        jam = event.status is Status.AT_CAPACITY and seat.kind.full > FULL_MOST
        seek = self._pick_writer if flight.held else self._pick_reader
        self._send(flight, None if event.status is Status.ABANDONED or jam else seek(flight))

    # -- the end

    def _client_gone(self, event: ClientDisconnected) -> None:
        flight = self.flights.get(event.request_id)
        if flight is None or flight.ended:
            return
        flight.ended = True
        if flight.at is None:
            self._finish(flight)
        elif self.settings.may_cancel and not flight.started:
            self.out.append(CancelAttempt(event.request_id, flight.attempts - 1))

    def _finish(self, flight: Flight) -> None:
        """The one place where requests end: what is held is let go, one answer goes out if one is owed."""
        request_id = flight.request.request_id
        del self.flights[request_id]
        if flight.held and not flight.started:
            self.out.append(Release(request_id))
        if flight.ended:
            return
        back_by = self.now + self.settings.max_retry_after_us + flight.cls.deadline_us + STALL_US
        harmless = flight.effect is None or flight.cls.idempotency is Idempotency.IDEMPOTENT or (
            flight.cls.idempotency is Idempotency.WITH_KEY and flight.cls.idempotency_scope is IdempotencyScope.ALL
            and back_by <= flight.effect[0] + flight.cls.deduplication_window_us)
        if harmless and self.now < flight.due:
            wait = min(flight.wait, self.settings.max_retry_after_us) if self.settings.may_send_retry_after else 0
            self.out.append(Reject(request_id, wait))
        else:
            self.out.append(Fail(request_id))
