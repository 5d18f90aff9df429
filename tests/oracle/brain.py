"""A former version of the router without indexes: each decision examines every endpoint.

It is the oracle of `tests/routing/test_same_decisions.py`. It differs from the former version where randomness, rounding or order
had to be specified, so that an implementation with indexes can return exactly the same actions: ties are resolved by one random
draw among the endpoints in the order of their ids, not by one draw for each endpoint; sums of loads are rounded once; stream
rates are advanced to the time at which they are compared; an endpoint without attempts or streams of this node has no projected
tokens.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any

from oracle.state import (
    DemandStatistics,
    Ejection,
    Endpoint,
    EndpointTable,
    InFlightRequest,
    RoleStatistics,
    lowest_ranked,
    median_low,
    mix,
    random_member,
)
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

MAX_QUEUE_SHARE = 0.5  # maximum queue time as a share of the latency objective; above it requests spill over, and are shed if all endpoints are above it
SPILL_ENDPOINTS = 3  # number of prefill endpoints that a request may spill over to: the last affinity endpoint of its prefix, and those that follow in the prefix's hash order
MAX_AFFINITY_SHARE = 0.28  # maximum share of the prefill endpoints that have affinity to one prefix; limited because nodes see little of the queues at affinity endpoints
AFFINITY_HEADROOM = 2.0  # ratio of a popular prefix's share of the prefill endpoints to its share of this node's demand
ASSIGNED_DECAY_US = 20_000_000  # time constant, in microseconds, of the decay of the tokens assigned to a role: about as long as some tens of requests take
MAX_CACHED_RANKINGS = 1000  # keys whose hash order is cached; sessions without a prefix are keys too
LOW_PRIORITY_FACTOR = 0.5  # multiple of the queue limit above which requests of the lowest priority are shed
TOP_PRIORITY_FACTOR = 1.6  # multiple of the queue limit above which requests of the highest priority are shed too, because most of them would only be late
SAMPLE_WEIGHT = 0.2  # weight of a new sample in an average: about the last five prefills, a second of traffic
MIN_TIMEOUT_SHARE = 0.5  # minimum time-out, as a share of the latency objective: two attempts still fit into the objective
TIMEOUT_RATIO = 2.5  # ratio of an attempt's time-out to the lowest latency among the slowest fifth of answers
TIMEOUT_GROWTH = 1.5  # factor by which the time-out grows with each earlier time-out or error of a request, so that a slowdown causes no retry storm
MAX_TIMEOUT_SHARE = 0.7  # share of attempts with time-outs or errors that shows an overload, not lost answers; from this share on no attempt times out
NODE_STALL_US = 150_000  # microseconds for which a node may stall between reading its clock and sending
EARLY_REJECTION_SHARE = 0.08  # share of the latency objective up to which a rejection counts as early and shows a lack of capacity; a later rejection shows that a tenant is throttled
MAX_REJECTION_SHARE = 0.4  # share of early rejections among a role's attempts above which a rejected request is not sent to another endpoint
MAX_LATENCIES = 15  # maximum number of stored latencies of a role; the slowest fifth of them is used
STATISTICS_MAX_AGE_US = 5_000_000  # age in microseconds from which on role statistics no longer count; without this limit they would not change once all requests are shed
ROLE_QUEUE_WEIGHT = 0.9  # weight of the role's typical time to first token; multiplied by the square of the other nodes' share
AGE_EXPONENT = 6  # exponent of the other nodes' share in the weight of ages: with few nodes, the node's own queue is more informative
CHECK_INTERVAL_US = 700_000  # interval in microseconds between health checks of an ejected endpoint; doubled with each failure, then jittered
CHECK_INTERVAL_REQUESTS = 20  # minimum interval between health checks, as the number of requests that this node receives meanwhile: each check delays one request
MAX_CHECK_INTERVAL_US = 15_000_000  # maximum interval in microseconds between health checks: faults last tens of seconds, and afterwards the capacity is needed
NEAR_TIE_SHARE = 1.0  # share of the mean load by which the load of a decode endpoint in the preferred cell may exceed the least load
MEMORY_MARGIN = 0.12  # maximum excess of a decode endpoint's memory share over the median of the decode endpoints; above it the endpoint is left out
SLOT_RATE_SHARE = 1 / 3  # rate at which slots become due, as a share of the rate that overloads the endpoint; `_slot_for` explains why the share is a third
GOLDEN_RATIO_FRACTION = (math.sqrt(5) - 1) / 2  # its products with successive slot numbers, modulo 1, are spread evenly from 0 to 1
REQUEST_WEIGHT = 0.05  # weight of a request in the averages of the demand: about twenty requests show the mix of classes
BURST_S = 2.0  # bucket size in seconds of quota: absorbs random variation, but is too small to hide a burst
MIN_BURST_REQUESTS = 4.0  # minimum bucket size in requests: if there are hundreds of nodes, a tenant's requests arrive at each of them at random, not evenly
REPORT_MAX_AGE_US = 2_000_000  # age in microseconds from which on a report no longer counts: about twice the longest interval between reports
SHEDDING_PERIOD_US = 2_000_000  # microseconds after the last shed request for which the node counts as shedding, for log and time-outs
STREAM_DECAY_US = 6_000_000  # time constant, in microseconds, of the decay of past streams: about as long as a few streams take
STREAM_CHECK_INTERVAL_US = 250_000  # minimum microseconds between two comparisons of stream rates
MIN_MEAN_LENGTH_US = 100_000  # minimum, in microseconds, of the mean stream length used in a comparison: a short stall would outlast many shorter streams
SLOWDOWN = 3.0  # factor by which the streams of a slow endpoint are assumed to take longer than those of its peers
MIN_LOG_ODDS = 5.0  # minimum logarithm of the odds that an endpoint is slow: with frequent checks, lower odds occur by chance
MIN_PEER_STREAMS = 4.0  # minimum number of recently completed streams at the peers, so that a general slowdown is not attributed to one endpoint
MAX_SLOW_SHARE = 0.34  # share of the decode endpoints that may be ejected for slow streams at once; if more of them are slow, there is a common cause
MAX_CONNECTION_ONLY_RETRIES = 2  # maximum retries of a request at the endpoint at which only the connection failed: the prompt is cached at that endpoint
MAX_CONNECTION_FAILURES = 4  # number of consecutive connection-only failures, without an answer in between, that eject the endpoint
MAX_DRAWS = 64  # maximum number of random draws for a suitable endpoint; after them all endpoints are examined
MAX_MEAN_DRAWS = 8  # inverse of the minimum share of suitable endpoints for which random draws are used
RESUBSCRIBE_US = 500_000  # minimum delay in microseconds before a failed subscription is repeated; then jittered

_NOT_EXECUTED = (Status.AT_CAPACITY, Status.CONNECT_FAILED, Status.ABANDONED, Status.PREFILLED)  # statuses that prove that the attempt had no effect
_CONNECTION_STATUSES = (Status.CONNECT_FAILED, Status.RESET)  # statuses of failures that count against the whole endpoint
_ALL_REQUESTS = -1  # ejection scope of all requests to an endpoint; the scope of a class is its index; the scopes of tenants are the numbers above the class indexes
_SLOW_STREAMS = -2  # ejection scope for slow streams


class Router:
    """Makes the decisions of one node: `handle` takes events and returns actions."""

    def __init__(self, settings: Settings, seed: int, sibling_router: Router | None = None) -> None:
        """`sibling_router` is this node's router of another model; they share quotas and zone budgets."""
        self.settings, self.random = settings, Random(seed)
        self.now, self.first_event_at_us, self.shed_at_us, self.checked_at_us, self.arrived_at_us = 0, 0, -SHEDDING_PERIOD_US, 0, 0
        self.actions: list[Action] = []
        self.table = EndpointTable(settings.roles)
        self.endpoints, self.demand = self.table.endpoints, DemandStatistics()
        self.in_flight: dict[int, InFlightRequest] = {}
        self.quota_buckets: dict[int, tuple[float, int]] = sibling_router.quota_buckets if sibling_router else {}
        # Statistics of each role; remote zones have their own if cross-zone traffic is budgeted.
        self.statistics = {(role, is_remote): RoleStatistics(deque(maxlen=MAX_LATENCIES)) for role in Role for is_remote in (False, True)}
        self.fleet_capacity_per_s = sum(t.quota_per_s for t in settings.tenants)  # capacity of the listed endpoints
        self.arrival_gap_us, self.other_nodes_share = 0.0, 1 - 1 / settings.replicas  # share of all traffic that this node does not see
        self.active_conditions: set[str] = set()
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self._handle_request, AttemptEnded: self._handle_attempt_ended, StreamStarted: self._handle_stream_started, EndpointListUpdate: self._handle_list_update,
            ClientDisconnected: self._handle_client_disconnected, TimerFired: lambda _: self.actions.append(Subscribe(True))}
        self.budgets: CrossZoneBudgets | None = (
            sibling_router.budgets if sibling_router else CrossZoneBudgets(settings) if settings.zone_budgets else None)
        self.zone_recovery = ZoneRecovery()
        self.are_in_flight_reported = "in_flight" in settings.report_fields
        self.min_priority_weight, self.max_priority_weight = (choose(c.priority_weight for c in settings.classes) for choose in (min, max))

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one time, in order; return the actions, in order."""
        self.now, self.actions, self.first_event_at_us = now, [], self.first_event_at_us or now
        for event in events:
            self._handlers.get(type(event), lambda _: None)(event)
        if now - self.checked_at_us > STREAM_CHECK_INTERVAL_US:
            self.checked_at_us = now
            self._check_stream_rates()
        return self.actions

    # Endpoint list

    def _handle_list_update(self, change: EndpointListUpdate) -> None:
        if change.kind is UpdateKind.FAILED:
            self.actions.append(SetTimer(int(RESUBSCRIBE_US * (1 + self.random.random())), 0))
            return
        if change.kind is UpdateKind.CACHED and self.settings.must_subscribe:
            self.actions.append(Subscribe(True))
        for endpoint_id in self.table.apply(change):
            self.active_conditions -= {f"endpoint {endpoint_id} ejected", f"endpoint {endpoint_id} has slow streams"}
        self.fleet_capacity_per_s = change.quota_share * sum(t.quota_per_s for t in self.settings.tenants)
        for endpoint in self.endpoints.values():
            endpoint.statistics = self.statistics[endpoint.role, self._is_remote(endpoint)]
        if self.budgets:
            self.budgets.start(self.now)
        self._observe_zones()

    def _observe_zones(self) -> None:
        """Update the zone recovery with the usable endpoints of each zone, and log the zones lost and recovered."""
        if self.budgets and len({s.info.zone for s in self.endpoints.values()}) > 1:
            usable = [(s.info.zone, s.role) for s in self.endpoints.values()
                  if s.info.state is EndpointState.READY and _ALL_REQUESTS not in s.ejections]
            for change in self.zone_recovery.observe(self.now, usable):
                self.actions.append(LogMessage(str(change)))

    # Admission

    def _handle_request(self, request: Request) -> None:
        cls = self.settings.classes[request.class_index]
        stream_time_us = request.stream_time_hint_us if cls.inter_token_objective_us else None
        output_tokens = request.max_tokens / 2 if stream_time_us is None else stream_time_us / cls.inter_token_objective_us
        latency_objective_us = cls.latency_objective_us + int(cls.objective_us_per_1000_tokens * request.prompt_tokens / 1000)
        in_flight = InFlightRequest(request, cls, self.now + request.time_left_us, latency_objective_us, request.prompt_tokens + output_tokens)
        self.in_flight[request.request_id] = in_flight
        self.demand.record(request.class_index, in_flight.uncached_tokens, output_tokens, REQUEST_WEIGHT, request.prefix)
        is_over_quota = self._is_over_quota(request) or request.is_over_token_budget
        priority = cls.priority_weight * (self.settings.over_quota_weight_factor if is_over_quota else 1.0)
        queue_factor = LOW_PRIORITY_FACTOR if priority < self.min_priority_weight else TOP_PRIORITY_FACTOR if priority >= self.max_priority_weight else 1.0
        queue_factor = TOP_PRIORITY_FACTOR if request.is_resumed else queue_factor  # Shedding it would lose the work done so far.
        self.arrival_gap_us += SAMPLE_WEIGHT * (self.now - (self.arrived_at_us or self.now) - self.arrival_gap_us)
        self.arrived_at_us = self.now
        if self.budgets:
            self.budgets.record_arrival(self.now)
        prefill_endpoint, limit_us = self._choose_prefill(in_flight), queue_factor * MAX_QUEUE_SHARE * latency_objective_us
        estimate_us = self._time_to_first_token_us(in_flight, prefill_endpoint)
        # Serving has priority over the budget: the best remote prefill endpoint is tried before the request is shed.
        if estimate_us > limit_us and self.budgets and queue_factor >= 1 and (remote := self._choose_by_score(in_flight, self._remote_endpoints(in_flight), 0.0)):
            prefill_endpoint, estimate_us = remote, self._time_to_first_token_us(in_flight, remote)
        if estimate_us > limit_us and self.budgets and self.zone_recovery.is_ramping_up:  # No capacity elsewhere: the recovering zone serves it ahead of its ramp.
            in_flight.ignores_recovery_ramp = True
            prefill_endpoint = self._choose_prefill(in_flight)
            estimate_us = self._time_to_first_token_us(in_flight, prefill_endpoint)
        if estimate_us > limit_us / 2:  # Near overload a slot at any endpoint in slow start is capacity; in overload, so is any idle endpoint.
            eligible = self._first_eligible(self._ranking(in_flight), in_flight, len(self.endpoints))
            allowed = [e for e in eligible if estimate_us > limit_us or not self._is_remote(e)]
            endpoint = next((e for e in allowed if self._slot_for(e, in_flight)), None) or (
                self._choose_by_score_of_all(in_flight, allowed) if estimate_us > limit_us else None)
            if endpoint and (2 * (alternative_us := self._time_to_first_token_us(in_flight, endpoint)) <= limit_us or self._slot_for(endpoint, in_flight)):
                prefill_endpoint, estimate_us = endpoint, alternative_us
        roles = (Role.PREFILL, Role.DECODE) if prefill_endpoint and prefill_endpoint.role is Role.PREFILL else (Role.PREFILL_AND_DECODE,)
        fastest_us = sum(self.statistics[role, False].fast_relative_latency for role in roles) * latency_objective_us  # Fastest time to first token.
        is_shed = estimate_us > limit_us or max(estimate_us, fastest_us) > request.time_left_us
        is_overloaded = estimate_us > limit_us or max(estimate_us, fastest_us) > latency_objective_us  # Otherwise only the client's deadline is too short.
        self.shed_at_us = self.now if is_shed and is_overloaded else self.shed_at_us
        in_flight.retry_after_us = max(int(estimate_us - limit_us), 0) if is_shed else 0  # Time until the queue may be within the limit.
        self._announce("shedding load by priority", self.now - self.shed_at_us < SHEDDING_PERIOD_US)
        self._send(in_flight, None if is_shed else prefill_endpoint)

    def _announce(self, condition: str, is_active: bool) -> None:
        """Log once when a condition begins and once when it ends."""
        if is_active != (condition in self.active_conditions):
            self.active_conditions ^= {condition}
            self.actions.append(LogMessage(f"{condition}: {'begins' if is_active else 'ends'}"))

    def _is_over_quota(self, request: Request) -> bool:
        """Whether the tenant exceeds its quota at this node: a token bucket filled at one replica's share of the quota."""
        if request.tenant >= len(self.settings.tenants):
            return False
        rate = self.settings.tenants[request.tenant].quota_per_s / self.settings.replicas
        bucket_size = max(rate * BURST_S, MIN_BURST_REQUESTS)
        available, filled_at_us = self.quota_buckets.get(request.tenant, (bucket_size, self.now))
        available = min(available + rate * (self.now - filled_at_us) / 1e6, bucket_size)
        is_over_quota = available < 1
        self.quota_buckets[request.tenant] = (available - (not (is_over_quota or request.is_retry or request.is_resumed)), self.now)
        return is_over_quota

    def _time_to_first_token_us(self, in_flight: InFlightRequest, prefill_endpoint: Endpoint | None) -> float:
        """Estimate the microseconds to the first token at the endpoint where the request would go. An idle endpoint
        to which the request would not be sent does not hide an overload; an open slot at an endpoint in slow start is
        capacity; waiting KV states appear late in reports.
        """
        decode_endpoint = self._choose_decode(in_flight) if prefill_endpoint and prefill_endpoint.role is Role.PREFILL else None
        queue_us, role_us = self._endpoint_queue_us(prefill_endpoint) if prefill_endpoint else 0.0, 0.0
        queue_us += decode_endpoint.waiting_tokens * self._us_per_token(decode_endpoint) if decode_endpoint else 0.0
        is_remote = prefill_endpoint is not None and self._is_remote(prefill_endpoint)
        roles = (Role.PREFILL, Role.DECODE) if prefill_endpoint and prefill_endpoint.role is Role.PREFILL else (Role.PREFILL_AND_DECODE,)
        # A node with one request per second has hardly any attempts in flight. Instead, its last reports and answers
        # count, and the ages of its attempts, as no answers arrive in an overload. The median of the ages is used, so
        # that one silent endpoint does not change it.
        for role in roles:
            statistics = self.statistics[role, is_remote]
            oldest_attempts = [self._oldest_waiting(s) for s in self.table.ready(role) if s.statistics is statistics]
            weight = max(0.0, 1 - (self.now - statistics.observed_at_us) / STATISTICS_MAX_AGE_US)
            waiting_tokens = statistics.waiting_tokens  # A recent report of the endpoint itself is more informative than its peers'.
            waiting_tokens += (prefill_endpoint.reported_waiting_tokens - waiting_tokens) * self._report_weight(prefill_endpoint) if prefill_endpoint and prefill_endpoint.role is role else 0.0
            observed_us = ROLE_QUEUE_WEIGHT * self.other_nodes_share**2 * (waiting_tokens + statistics.attempt_tokens) * statistics.us_per_token
            median_age_us = self.other_nodes_share**AGE_EXPONENT * median_low([0, *(self.now - attempt.sent_at_us for attempt in oldest_attempts if attempt)])
            role_us += max(weight * (observed_us + statistics.rejection_share * in_flight.latency_objective_us), median_age_us)
        return queue_us if prefill_endpoint and self._slot_for(prefill_endpoint, in_flight) else max(queue_us, role_us)

    # Prefill placement

    def _choose_prefill(self, in_flight: InFlightRequest) -> Endpoint | None:
        request, cls, ranking = in_flight.request, in_flight.request_class, self._ranking(in_flight)
        local_count = (sum(not self._is_remote(s) for s in ranking) if self.budgets else 0) or len(ranking)
        prefix_allowance_us = cls.objective_us_per_1000_tokens * request.prefix_tokens / 1000  # Allowance of the latency objective for the prefix.
        min_count = SPILL_ENDPOINTS if SPILL_ENDPOINTS * prefix_allowance_us <= MAX_QUEUE_SHARE * (cls.latency_objective_us + prefix_allowance_us) else 1
        wanted_count = max(min_count, AFFINITY_HEADROOM * self.demand.prefix_share(request.prefix, REQUEST_WEIGHT) * local_count)
        affinity_count = max(1, int(min(MAX_AFFINITY_SHARE * self.other_nodes_share * local_count, wanted_count))) if request.prefix else 1
        endpoints = self._first_eligible(ranking, in_flight, affinity_count + SPILL_ENDPOINTS - 1)
        if not endpoints:
            return None
        # A session stays at one affinity endpoint of its prefix, through whichever node it arrives; an open slot goes
        # first, because it would expire.
        affinity_endpoints = [s for s in endpoints[:affinity_count] if not self._is_remote(s)] or endpoints[:affinity_count]
        session_endpoint = max(affinity_endpoints, key=lambda s: (self._slot_for(s, in_flight), self._rendezvous_score(request.session, s)))
        if self._endpoint_queue_us(session_endpoint) <= MAX_QUEUE_SHARE * in_flight.latency_objective_us:
            return session_endpoint
        remote = [s for s in self._remote_endpoints(in_flight) if s not in endpoints] if self.budgets else []
        return self._choose_by_score(in_flight, endpoints + remote, 1.0)

    def _choose_by_score(self, in_flight: InFlightRequest, endpoints: list[Endpoint], price_weight: float) -> Endpoint | None:
        """Choose an endpoint with the lowest score; the price of the cross-zone traffic raises the score of a remote endpoint."""
        def score(endpoint: Endpoint) -> float:
            return (self._in_flight_at(endpoint) + 1) * self._expected_prefill_latency_us(endpoint) * (1 + price_weight * self._price(in_flight, endpoint))

        return random_member(lowest_ranked(endpoints, score), self.random)

    def _choose_by_score_of_all(self, in_flight: InFlightRequest, endpoints: list[Endpoint]) -> Endpoint | None:
        """Choose randomly among the lowest scores. If many of them have no data at this node, draw from all endpoints."""
        def score(endpoint: Endpoint) -> float:
            return (self._in_flight_at(endpoint) + 1) * self._expected_prefill_latency_us(endpoint) * (1 + self._price(in_flight, endpoint))

        tied = lowest_ranked(sorted(endpoints, key=lambda s: s.info.id), score)
        oldest_report_us = self.now - REPORT_MAX_AGE_US
        unknown = [s for s in tied if not (s.waiting or s.streams or s.prefill_latency_us or (s.reported_at_us and s.reported_at_us > oldest_report_us))]
        ready = self.table.ready(Role.PREFILL)
        if unknown and MAX_MEAN_DRAWS * len(tied) >= len(ready):
            for _ in range(MAX_DRAWS):
                endpoint = ready[int(self.random.random() * len(ready))]
                if endpoint in tied:
                    return endpoint
        return random_member(tied, self.random)

    def _remote_endpoints(self, in_flight: InFlightRequest) -> list[Endpoint]:
        """Remote prefill endpoints to spill over to, in the prefix's hash order."""
        return self._first_eligible([s for s in self._ranking(in_flight) if self._is_remote(s)], in_flight, SPILL_ENDPOINTS)

    def _is_remote(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is in another zone and cross-zone traffic is budgeted."""
        return self.budgets is not None and endpoint.info.zone != self.settings.zone

    def _crossing_bytes(self, in_flight: InFlightRequest, endpoint: Endpoint) -> float:
        """Bytes that an attempt would move between zones: prompt, KV state and output."""
        if self.budgets is None:
            return 0.0
        holder_zone = in_flight.kv_holder.info.zone if in_flight.kv_holder and endpoint.role is not Role.PREFILL else None
        return self.budgets.crossing_bytes(in_flight.request, endpoint.info.zone, holder_zone, endpoint.role is not Role.PREFILL, in_flight.projected_tokens)

    def _price(self, in_flight: InFlightRequest, endpoint: Endpoint) -> float:
        if self.budgets is None:
            return 0.0
        crossing_bytes, relative_priority = self._crossing_bytes(in_flight, endpoint), in_flight.request_class.priority_weight / self.max_priority_weight
        return self.budgets.price(self.now, in_flight.request.class_index, crossing_bytes, relative_priority)

    def _ranking(self, in_flight: InFlightRequest) -> list[Endpoint]:
        """Ready prefill endpoints in the prefix's hash order, cached until the list changes because ranking is costly."""
        key, rankings = in_flight.request.prefix or in_flight.request.session, self.table.prefill_rankings
        if key not in rankings:
            if len(rankings) >= MAX_CACHED_RANKINGS:
                rankings.clear()
            rankings[key] = sorted(self.table.ready(Role.PREFILL),
                                 key=lambda s: (self._is_remote(s), -self._rendezvous_score(key, s)))
        return rankings[key]

    def _rendezvous_score(self, key: int, endpoint: Endpoint) -> float:
        """Weighted rendezvous hashing: all nodes rank alike, and a list change moves few keys."""
        uniform = (mix(key ^ mix(endpoint.info.id)) + 1) / (2**64 + 1)
        return endpoint.info.weight / -math.log(uniform)

    def _in_flight_at(self, endpoint: Endpoint) -> float:
        """Estimate the requests in flight at an endpoint from its last report and this node's attempts. At an endpoint
        of both roles streams count as they do in its reports, because each prefill there slows them down.
        """
        own_streams = len(endpoint.streams) if endpoint.role is Role.PREFILL_AND_DECODE and not self.are_in_flight_reported else 0
        return endpoint.reported_in_flight * self._report_weight(endpoint) + len(endpoint.waiting) + own_streams

    def _endpoint_queue_us(self, endpoint: Endpoint) -> float:
        """Microseconds that the endpoint needs to process its waiting tokens, at the speed that this node has observed.
        So one limit fits fast and slow endpoints, long and short prompts; one slow endpoint is no overload.
        """
        # Each prefill at an endpoint of both roles slows the streams there, so the streams count like waiting prefills.
        others = (self._in_flight_at(endpoint) - len(endpoint.waiting)) * endpoint.service_tokens / self.settings.replicas
        others = others if endpoint.role is Role.PREFILL_AND_DECODE else self.other_nodes_share**2 * endpoint.reported_waiting_tokens * self._report_weight(endpoint)
        return max(endpoint.waiting_tokens, others) * self._us_per_token(endpoint)

    def _us_per_token(self, endpoint: Endpoint) -> float:
        """Service time per token, at least the lower bound given by the oldest waiting attempt."""
        oldest = self._oldest_waiting(endpoint)
        known = endpoint.service_us / endpoint.service_tokens if endpoint.service_tokens else endpoint.statistics.us_per_token
        return max(known, (self.now - endpoint.busy_since_us) / oldest.attempt_tokens) if oldest else known

    def _oldest_waiting(self, endpoint: Endpoint) -> InFlightRequest | None:
        return next(iter(endpoint.waiting.values()), None)

    def _report_weight(self, endpoint: Endpoint) -> float:
        """Weight of the last report, which falls with its age: an endpoint that gets no attempts sends no reports."""
        return max(0.0, 1 - (self.now - endpoint.reported_at_us) / REPORT_MAX_AGE_US)

    def _expected_prefill_latency_us(self, endpoint: Endpoint) -> float:
        """Smoothed prefill latency, or the age of the oldest waiting attempt: an endpoint that hangs ends no prefills."""
        oldest = self._oldest_waiting(endpoint)
        return max(endpoint.prefill_latency_us or endpoint.statistics.prefill_latency_us, self.now - oldest.sent_at_us if oldest else 0, 1)

    # Decode placement

    def _choose_decode(self, in_flight: InFlightRequest) -> Endpoint | None:
        eligible = self._first_eligible(self.table.ready(Role.DECODE), in_flight, len(self.endpoints))
        if not eligible:
            return None
        # Little is known of the memory of remote endpoints, so the local ones determine the median.
        zones = {s.info.zone: s for s in eligible} if self.budgets else {}
        prices = {zone: self._price(in_flight, s) for zone, s in zones.items()}
        local = [s for s in eligible if not prices[s.info.zone]] if prices else eligible
        max_memory_share = median_low(s.reported_memory_share for s in local or eligible) + MEMORY_MARGIN
        loads = self._projected_loads([s for s in eligible if s.reported_memory_share <= max_memory_share])
        if any(prices.values()):  # The price is a multiple of the mean load.
            mean = max(self._mean_load(loads), in_flight.projected_tokens)
            loads = {i: load + mean * prices[self.endpoints[i].info.zone] for i, load in loads.items()}
        least = min(loads.values())
        limit = least + NEAR_TIE_SHARE * self._mean_load(loads)
        preferred = [s for s in eligible if loads.get(s.info.id, math.inf) <= limit]
        cell = in_flight.kv_holder.info.cell if in_flight.kv_holder else None
        # A cell's decode endpoints get no more of its prefills than their listed capacity allows; more would overload them.
        if cell is not None and (prefill_share := self.table.cell_share(Role.PREFILL, cell)):
            cell = cell if self.random.random() < self.table.cell_share(Role.DECODE, cell) / prefill_share else None
        with_slot = [s for s in preferred if self._slot_for(s, in_flight)]
        in_cell = [s for s in preferred if s.info.cell == cell]
        if with_slot or (in_cell and cell is not None and len(self._in_cell(cell)) < len(self.table.ready(Role.DECODE))):
            return random_member(lowest_ranked(with_slot or in_cell, lambda s: (s.info.cell != cell, loads[s.info.id])), self.random)
        return self._random_least_loaded([s for s in preferred if loads[s.info.id] == least])

    def _in_cell(self, cell: int) -> list[Endpoint]:
        return [s for s in self.table.ready(Role.DECODE) if s.info.cell == cell]

    def _random_least_loaded(self, tied: list[Endpoint]) -> Endpoint | None:
        """Choose randomly among the tied endpoints. If many of them have no streams of this node, draw from all endpoints."""
        ready = self.table.ready(Role.DECODE)
        if any(not s.projected_tokens for s in tied) and MAX_MEAN_DRAWS * len(tied) >= len(ready):
            for _ in range(MAX_DRAWS):
                endpoint = ready[int(self.random.random() * len(ready))]
                if endpoint in tied:
                    return endpoint
        return random_member(tied, self.random)

    def _mean_load(self, loads: dict[int, float]) -> float:
        """Mean of all loads, rounded once for the endpoints with projected tokens and once for each role and zone of the others."""
        loaded_sum = math.fsum(load for endpoint_id, load in loads.items() if self.endpoints[endpoint_id].projected_tokens)
        unloaded = Counter((self.endpoints[endpoint_id].role, self.endpoints[endpoint_id].info.zone if self.budgets else 0, load)
                       for endpoint_id, load in loads.items() if not self.endpoints[endpoint_id].projected_tokens)
        return (loaded_sum + math.fsum(load * count for (_, _, load), count in unloaded.items())) / len(loads)

    def _projected_loads(self, endpoints: list[Endpoint]) -> dict[int, float]:
        """This node's projected tokens at each endpoint and at its whole role, each divided by the listed capacity. The
        prefills of endpoints of both roles count too, so such an endpoint gets a KV state only if the decode endpoints are as loaded.
        """
        role_loads = {role: self.statistics[role, False].assign(0.0, self.now, ASSIGNED_DECAY_US) / self.table.capacity(role)
                 for role in {s.role for s in endpoints}}
        return {s.info.id: s.projected_tokens / max(s.info.weight, 1e-6) + role_loads[s.role] for s in endpoints}

    # Eligibility and ejection, for both stages

    def _first_eligible(self, endpoints: list[Endpoint], in_flight: InFlightRequest, count: int) -> list[Endpoint]:
        """Return the first `count` endpoints that the request may be sent to; ejected ones only if no others are left."""
        usable: list[Endpoint] = []
        ejected: list[Endpoint] = []
        for endpoint in endpoints:
            if (endpoint.info.id not in in_flight.excluded and self._may_send_to(in_flight, endpoint)
                    and self._slot_for(endpoint, in_flight) is not None):
                (usable if self._is_usable(endpoint, in_flight) else ejected).append(endpoint)
                if len(usable) == count:
                    break
        return usable or ejected[:count]

    def _ejection_scopes(self, in_flight: InFlightRequest) -> tuple[int, int, int]:
        """The ejection scopes that a failure can count for: the endpoint, the request class or the tenant."""
        return _ALL_REQUESTS, in_flight.request.class_index, len(self.settings.classes) + in_flight.request.tenant

    def _is_usable(self, endpoint: Endpoint, in_flight: InFlightRequest) -> bool:
        """Whether the endpoint is not ejected for this request or is due for a health check, and its zone's ramp admits the request."""
        if self.budgets and self.zone_recovery.is_ramping_up and not in_flight.ignores_recovery_ramp and not self.zone_recovery.admits(
                self.now, endpoint.info.zone, endpoint.role, mix(in_flight.request.session) / 2**64):
            return False
        scopes = self._ejection_scopes(in_flight) if self.now - self.shed_at_us < SHEDDING_PERIOD_US else (_SLOW_STREAMS, *self._ejection_scopes(in_flight))
        return not endpoint.ejections or all(self.now >= endpoint.ejections[scope].next_check_at_us for scope in scopes if scope in endpoint.ejections)

    def _check_interval_us(self, failures: int) -> int:
        interval_us = min(max(CHECK_INTERVAL_US * 2 ** (failures - 1), CHECK_INTERVAL_REQUESTS * self.arrival_gap_us), MAX_CHECK_INTERVAL_US)
        return int(interval_us * (0.5 + self.random.random()))

    def _record_ejection(self, endpoint: Endpoint, scope: int, sent_at_us: int) -> None:
        ejection = endpoint.ejections.get(scope)
        if ejection and sent_at_us < ejection.failed_at_us:
            return  # When a process fails, many attempts fail at once; they count as one failure.
        failures = ejection.failures + 1 if ejection else 1
        endpoint.ejections[scope] = Ejection(failures, self.now, self.now + self._check_interval_us(failures))
        if scope == _ALL_REQUESTS:
            self._observe_zones()
        self._announce(f"endpoint {endpoint.info.id} ejected", True)

    def _clear_ejections(self, endpoint: Endpoint, in_flight: InFlightRequest) -> None:
        """End the ejections for the scopes of a request that was answered."""
        for scope in self._ejection_scopes(in_flight) if endpoint.ejections else ():
            if endpoint.ejections.pop(scope, None) and scope == _ALL_REQUESTS:
                self._observe_zones()
        if not endpoint.ejections:
            self._announce(f"endpoint {endpoint.info.id} ejected", False)

    def _end_stream(self, endpoint: Endpoint, in_flight: InFlightRequest, is_completed: bool) -> None:
        """Record the end of a stream; a completed stream of normal length ends an ejection for slow streams."""
        endpoint.advance_streams(self.now, STREAM_DECAY_US, is_completed)
        duration_us = self.now - endpoint.streams.pop(in_flight.request.request_id)
        if is_completed and _SLOW_STREAMS in endpoint.ejections:
            for peer in self.endpoints.values():
                peer.advance_streams(self.now, STREAM_DECAY_US)
            completed, streamed_us = self._stream_totals()
            if duration_us * completed < SLOWDOWN * streamed_us:
                del endpoint.ejections[_SLOW_STREAMS]
                self._announce(f"endpoint {endpoint.info.id} has slow streams", False)

    def _stream_totals(self) -> tuple[float, float]:
        """Recently completed streams at all endpoints, and their streaming time."""
        return sum(s.completed_streams for s in self.endpoints.values()), sum(s.streamed_us for s in self.endpoints.values())

    def _check_stream_rates(self) -> None:
        """Eject endpoints that answer in time but whose streams are slow: fewer streams complete per streaming time than
        at their peers in the same seconds, so a general slowdown ejects none. Only health checks are sent to an
        ejected endpoint, and its streams are migrated. While this node sheds load, none is ejected, because even slow
        capacity is needed then.
        """
        for endpoint in self.endpoints.values():
            endpoint.advance_streams(self.now, STREAM_DECAY_US)
        if self.now - self.shed_at_us < SHEDDING_PERIOD_US:
            return
        completed, streamed_us = self._stream_totals()
        slow_count = sum(_SLOW_STREAMS in s.ejections for s in self.table.ready(Role.DECODE))
        for endpoint in sorted(self.endpoints.values(), key=lambda s: s.info.id):
            peers_completed, peers_streamed_us = completed - endpoint.completed_streams, streamed_us - endpoint.streamed_us
            if not endpoint.streams or peers_completed < MIN_PEER_STREAMS or peers_streamed_us <= 0:
                continue
            expected = endpoint.streamed_us / max(peers_streamed_us / peers_completed, MIN_MEAN_LENGTH_US)
            is_slow = expected * (1 - 1 / SLOWDOWN) - endpoint.completed_streams * math.log(SLOWDOWN) >= MIN_LOG_ODDS
            if not is_slow or (_SLOW_STREAMS not in endpoint.ejections
                            and slow_count >= MAX_SLOW_SHARE * len(self.table.ready(Role.DECODE))):
                continue
            failures = min(endpoint.ejections[_SLOW_STREAMS].failures + 1, 4) if _SLOW_STREAMS in endpoint.ejections else 2
            endpoint.ejections[_SLOW_STREAMS] = Ejection(failures, self.now, self.now + self._check_interval_us(failures))
            self._announce(f"endpoint {endpoint.info.id} has slow streams", True)
            endpoint.completed_streams = endpoint.streamed_us = 0.0
            if self.settings.may_resume:
                self.actions.extend(MigrateStream(request_id) for request_id in endpoint.streams)

    def _timeout_us(self, in_flight: InFlightRequest, endpoint: Endpoint) -> int:
        """Time-out of an attempt: well above the latency of answers, and short enough for a retry to be in time. It is 0,
        which means no time-out, if most attempts time out, if this node sheds load or, for a prefill, if the role has not
        answered recently: these conditions indicate an overload, which retries would increase.
        """
        statistics = endpoint.statistics
        attempts_left = self.settings.max_attempts - in_flight.attempts - (endpoint.role is Role.PREFILL)
        retry_window_us = {Idempotency.IDEMPOTENT: math.inf, Idempotency.WITH_KEY: in_flight.request_class.deduplication_window_us}.get(in_flight.request_class.idempotency, 0)
        is_role_silent = endpoint.role is not Role.DECODE and 0 < statistics.answered_at_us < self.now - MIN_TIMEOUT_SHARE * in_flight.latency_objective_us
        is_overload_likely = is_role_silent or statistics.timeout_or_error_share >= MAX_TIMEOUT_SHARE or self.now - self.shed_at_us < SHEDDING_PERIOD_US
        if attempts_left <= 0 or not retry_window_us or is_overload_likely:
            return 0
        # The ages of the oldest attempts at the peers count as answers: a general slowdown shows in these ages first.
        oldest_attempts = [attempt for s in self.table.ready(endpoint.role) if (attempt := self._oldest_waiting(s))]
        relative_latencies = sorted([*statistics.relative_latencies, *((self.now - attempt.sent_at_us) / attempt.latency_objective_us for attempt in oldest_attempts)])
        slow_latency = relative_latencies[-len(relative_latencies) // 5]
        # With few nodes, the queue that a node sees explains a long wait, so the time-out is longer.
        timeout_us = max(MIN_TIMEOUT_SHARE / max(self.other_nodes_share, 0.5) ** 0.75, TIMEOUT_RATIO * slow_latency) * in_flight.latency_objective_us
        timeout_us *= TIMEOUT_GROWTH**in_flight.unanswered_attempts
        # If reports show a queue, the attempt is waiting, and a retry would only lengthen the queue.
        timeout_us *= (1 + statistics.waiting_tokens / max(statistics.attempt_tokens, 1.0)) / max(1 - statistics.timeout_or_error_share, 1 - MAX_TIMEOUT_SHARE)
        return int(timeout_us) if self.now + 2 * timeout_us < in_flight.deadline_us and timeout_us < retry_window_us else 0

    def _slot_for(self, endpoint: Endpoint, in_flight: InFlightRequest) -> int | None:
        """The slot that lets a request be sent to an endpoint: 0 if the endpoint is warm, None if no slot is open.

        An endpoint in slow start fails if all nodes together send it much more in one window than N, the number that the
        settings allow; an excess of 2 x root of N + 2 is within random variation. Nodes therefore send by numbered slots,
        assigned in rotation to the replica indexes. A slot becomes due whenever the ramp allows one more request, at
        SLOT_RATE_SHARE x slow_start_overload_factor of the endpoint's share of the quotas; it is valid for one attempt and
        expires after a slow_start_window. A window can contain the slots due in it, N/3, and unused ones of the window
        before: N/3, one for each node at most. The last third covers half as many additional processes as replicas, quotas
        above the capacity, and endpoints removed before a node's first list. Peers, traffic and chance have no influence: a
        batch of retries gets one slot, and a restarted node skips what its earlier process may have used. A request of a
        class that costs as much as h mean requests may use one slot in h.
        """
        settings, started_at_us = self.settings, endpoint.info.started_at_us
        if not started_at_us or self.now >= started_at_us + settings.slow_start_us:
            return 0
        requests_per_us = self.fleet_capacity_per_s * self.table.endpoint_share(endpoint) / 1e6 or 1 / settings.slow_start_window_us  # without quotas, one request per window
        rate = min(SLOT_RATE_SHARE * settings.slow_start_overload_factor, 1.0) * requests_per_us

        def slots_due(age_us: int) -> int:
            return int(rate * age_us * (settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * age_us / (2 * settings.slow_start_us))) if age_us > 0 else 0

        slot = slots_due(self.now - started_at_us)
        slot -= (slot + mix(endpoint.info.id) - settings.replica_index) % settings.replicas
        if slot <= max(endpoint.last_slot, slots_due(max(self.now - settings.slow_start_window_us, self.first_event_at_us) - started_at_us)):
            return None
        cost = self.demand.relative_cost(in_flight.request.class_index, endpoint.role)
        return slot if slot * GOLDEN_RATIO_FRACTION % 1 * cost <= 1 else None

    def _may_send_to(self, in_flight: InFlightRequest, endpoint: Endpoint) -> bool:
        """Whether an attempt at the endpoint, also a repeated prefill, cannot repeat the effect of an earlier attempt."""
        if in_flight.first_execution is None or in_flight.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        sent_at_us, first_endpoint = in_flight.first_execution
        if in_flight.request_class.idempotency is Idempotency.NOT_IDEMPOTENT or self.now - sent_at_us > in_flight.request_class.deduplication_window_us:
            return False
        scope, is_same_zone, is_same_cell = in_flight.request_class.idempotency_scope, endpoint.info.zone == first_endpoint.zone, endpoint.info.cell == first_endpoint.cell
        return scope is IdempotencyScope.ALL or (is_same_zone and (scope is IdempotencyScope.ZONE or is_same_cell))

    # Attempts

    def _send(self, in_flight: InFlightRequest, endpoint: Endpoint | None) -> None:
        """The only place that sends attempts: one at a time, none after the deadline, none above the maximum number."""
        if endpoint is None or in_flight.attempts >= self.settings.max_attempts or self.now >= in_flight.deadline_us:
            self._conclude(in_flight)
            return
        request = in_flight.request
        in_flight.attempts += 1
        in_flight.attempt_tokens = max(request.prompt_tokens, 1.0) if in_flight.kv_holder else in_flight.uncached_tokens
        endpoint.last_slot = self._slot_for(endpoint, in_flight) or endpoint.last_slot
        endpoint.add_waiting(in_flight, self.now)
        if endpoint.role is not Role.PREFILL:
            endpoint.projected_tokens += in_flight.projected_tokens
            self.statistics[endpoint.role, False].assign(in_flight.projected_tokens, self.now, ASSIGNED_DECAY_US)
        for scope in (_SLOW_STREAMS, *self._ejection_scopes(in_flight)) if endpoint.ejections else ():
            if scope in endpoint.ejections:  # This attempt is the health check; the next one is due an interval later.
                endpoint.ejections[scope].next_check_at_us = self.now + self._check_interval_us(endpoint.ejections[scope].failures)
        cause = self.budgets.reserve(self.now, request.request_id, request.class_index, self._crossing_bytes(in_flight, endpoint),
                                   bool(in_flight.excluded)) if self.budgets else None
        self.actions.append(SendAttempt(request.request_id, endpoint.info.id, self._timeout_us(in_flight, endpoint), cause))

    def _handle_stream_started(self, event: StreamStarted) -> None:
        in_flight = self.in_flight.get(event.request_id)
        if in_flight is None or in_flight.endpoint is None:
            return
        in_flight.is_streaming = True
        in_flight.endpoint.advance_streams(self.now, STREAM_DECAY_US)
        in_flight.endpoint.streams[event.request_id] = self.now
        if in_flight.endpoint.remove_waiting(in_flight):
            self._record_answer(in_flight.endpoint, event.latency_us, in_flight)

    def _record_answer(self, endpoint: Endpoint, latency_us: int, in_flight: InFlightRequest) -> None:
        statistics, is_prefill = endpoint.statistics, endpoint.role is not Role.DECODE and in_flight.kv_holder is None
        endpoint.record_answer(in_flight, latency_us, self.now, SAMPLE_WEIGHT, is_prefill)
        statistics.record_answer(in_flight, latency_us, endpoint.reported_waiting_tokens, SAMPLE_WEIGHT, is_prefill, self.now)
        statistics.record_end(0.0, 0.0, self.now, SAMPLE_WEIGHT)
        endpoint.connection_failures = 0
        self._clear_ejections(endpoint, in_flight)

    def _record_failure(self, endpoint: Endpoint, event: AttemptEnded, in_flight: InFlightRequest) -> None:
        """Record a failed attempt: a failed connection counts against the endpoint, an error or time-out against its
        service of the request class, a late rejection against its service of the tenant; an early rejection shows a lack of
        capacity and counts against the endpoint.
        """
        endpoint_scope, class_scope, tenant_scope = self._ejection_scopes(in_flight)
        is_early = event.latency_us < EARLY_REJECTION_SHARE * in_flight.latency_objective_us
        if event.status in _CONNECTION_STATUSES:
            endpoint.connection_failures += 1
            if not event.is_connection_only or endpoint.connection_failures >= MAX_CONNECTION_FAILURES:
                self._record_ejection(endpoint, endpoint_scope, in_flight.sent_at_us)
        elif event.status is Status.ERROR or (event.status is Status.TIMEOUT and self.now < in_flight.deadline_us):
            in_flight.unanswered_attempts += 1
            endpoint.statistics.record_end(1.0, 0.0, self.now, SAMPLE_WEIGHT)
            self._record_ejection(endpoint, class_scope, in_flight.sent_at_us)
        elif event.status is Status.AT_CAPACITY and not event.is_state_lost:
            endpoint.statistics.record_end(0.0, float(is_early), self.now, SAMPLE_WEIGHT)
            self._record_ejection(endpoint, endpoint_scope if is_early else tenant_scope, in_flight.sent_at_us)

    def _handle_attempt_ended(self, event: AttemptEnded) -> None:
        in_flight = self.in_flight.get(event.request_id)
        if self.budgets:
            self.budgets.settle(self.now, event.request_id, event.cross_zone_bytes)
        reporting = self.endpoints.get(event.endpoint_id)
        if reporting and event.load_report:
            reporting.record_report(dict(zip(self.settings.report_fields, event.load_report, strict=False)), self.now)
            weight = max(SAMPLE_WEIGHT, min((self.now - reporting.statistics.answered_at_us) / REPORT_MAX_AGE_US, 1.0))
            reporting.statistics.waiting_tokens += weight * (reporting.reported_waiting_tokens - reporting.statistics.waiting_tokens)
        if in_flight is None or in_flight.endpoint is None:
            if event.status is Status.PREFILLED:
                self.actions.append(Release(event.request_id))
            return
        endpoint = in_flight.endpoint
        if not endpoint.remove_waiting(in_flight):
            self._end_stream(endpoint, in_flight, event.status is Status.OK)
        elif event.status not in (Status.PREFILLED, Status.OK):
            self._record_failure(endpoint, event, in_flight)
        if endpoint.role is not Role.PREFILL:
            endpoint.projected_tokens = max(endpoint.projected_tokens - in_flight.projected_tokens, 0.0) if endpoint.waiting or endpoint.streams else 0.0
        has_timed_out = event.status is Status.TIMEOUT  # Even a prefill may be executed later if its engine hangs.
        if in_flight.first_execution is None and (has_timed_out if endpoint.role is Role.PREFILL else event.status not in _NOT_EXECUTED):
            in_flight.first_execution = (in_flight.sent_at_us, endpoint.info)
        in_flight.endpoint = None
        if event.status is Status.PREFILLED:
            self._record_answer(endpoint, event.latency_us, in_flight)
            in_flight.kv_holder, in_flight.unanswered_attempts = endpoint, 0
        if event.is_state_lost:
            in_flight.kv_holder = None
        if event.is_final or in_flight.is_concluded:
            in_flight.is_concluded = True
            self._conclude(in_flight)
            return
        # After an attempt without a final answer: the next stage, another endpoint, or the conclusion.
        in_flight.connection_failures += event.is_connection_only
        may_return = event.is_connection_only and in_flight.connection_failures <= MAX_CONNECTION_ONLY_RETRIES
        in_flight.exclude_after(endpoint, event.status, may_return, len(self.table.ready(Role.DECODE)))
        is_overload_likely = event.status is Status.AT_CAPACITY and endpoint.statistics.rejection_share > MAX_REJECTION_SHARE
        choose = self._choose_decode if in_flight.kv_holder else self._choose_prefill
        self._send(in_flight, None if event.status is Status.ABANDONED or is_overload_likely else choose(in_flight))

    # Conclusion

    def _handle_client_disconnected(self, event: ClientDisconnected) -> None:
        in_flight = self.in_flight.get(event.request_id)
        if in_flight is None or in_flight.is_concluded:
            return
        in_flight.is_concluded = True
        if in_flight.endpoint is None:
            self._conclude(in_flight)
        elif self.settings.may_cancel and not in_flight.is_streaming:
            self.actions.append(CancelAttempt(event.request_id, in_flight.attempts - 1))

    def _conclude(self, in_flight: InFlightRequest) -> None:
        """The only place that concludes requests: release the KV state, and give the final answer if one is owed."""
        request_id = in_flight.request.request_id
        del self.in_flight[request_id]
        if in_flight.kv_holder and not in_flight.is_streaming:
            self.actions.append(Release(request_id))
        if in_flight.is_concluded:
            return
        retried_by_us = self.now + self.settings.max_retry_after_us + in_flight.request_class.deadline_us + NODE_STALL_US
        may_reject = in_flight.first_execution is None or in_flight.request_class.idempotency is Idempotency.IDEMPOTENT or (
            in_flight.request_class.idempotency is Idempotency.WITH_KEY and in_flight.request_class.idempotency_scope is IdempotencyScope.ALL
            and retried_by_us <= in_flight.first_execution[0] + in_flight.request_class.deduplication_window_us)
        if may_reject and self.now < in_flight.deadline_us:
            retry_after_us = min(in_flight.retry_after_us, self.settings.max_retry_after_us) if self.settings.may_send_retry_after else 0
            self.actions.append(Reject(request_id, retry_after_us))
        else:
            self.actions.append(Fail(request_id))
