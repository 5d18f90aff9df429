"""Simulates a fleet in one process on a virtual, seeded clock: nodes with partial information, engines with
prefix caches, and a disturbance in the middle of the run.

The nodes are the production `Router`; engines, links and clients are modelled, in whole microseconds. There
are no sockets and no real time: a run of some ten simulated seconds takes about as long to compute. At any
event a node's view of an engine can be compared with the engine's true state
(`FleetSimulation.now`, `FleetSimulation.engines`).
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate, count
from random import Random
from typing import Any, Protocol

from tuliptrack.interface import (
    Action,
    AttemptEnded,
    EndpointInfo,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    Reject,
    Request,
    RequestClass,
    Role,
    SendAttempt,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Tenant,
    TimerFired,
    UpdateKind,
)
from tuliptrack.routing.router import Router

__all__ = ["FleetScenario", "FleetSimulation", "FullInformationPolicy", "RandomPolicy", "Result"]

_SECOND_US = 1_000_000
_LINK_US = 500  # one way, between a node and an engine
_REPORT_FIELDS = ("in_flight", "queued", "memory_share", "tokens_waiting_k")


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """Parameters of a simulated run. Times are microseconds, sizes are tokens."""

    nodes: int = 60
    prefill_engines: int = 10
    decode_engines: int = 12
    prefix_count: int = 80
    requests_per_s: float = 110.0
    """Over all nodes together."""
    warm_until_us: int = 3 * _SECOND_US
    """Until then every prefix counts as cached on every engine, so that the run begins with warm caches."""
    last_arrival_us: int = 16 * _SECOND_US
    """No request arrives after this time."""
    change_start_us: int = 5 * _SECOND_US
    """When the disturbance (replacements, restarts, flush, burst) begins."""
    replaced_share: float = 0.0
    """Share of the prefill engines that are replaced, one after the other, within `change_duration_us`."""
    change_duration_us: int = 3 * _SECOND_US
    restarted_share: float = 0.0
    """Share of the nodes that are restarted without any state, within the same time."""
    flush_caches: bool = False
    """All engines lose their caches when the change begins."""
    burst_factor: float = 1.0
    """Multiple of the usual request rate during the change."""
    hot_prefix_share: float = 0.0
    """Share of the requests during the change that share a single prefix."""
    prefix_tokens: float = 6000.0
    suffix_tokens: float = 500.0
    cache_tokens: float = 150_000.0
    prefill_us_per_token: float = 25.0
    inter_token_us: int = 8_000
    """Time between two tokens of an answer; grows with the number of streams on the decode engine."""
    objective_us: int = 1 * _SECOND_US
    deadline_us: int = 5 * _SECOND_US


class Policy(Protocol):
    """Decides for one node: the router, or a baseline in its place."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...


@dataclass(slots=True)
class Engine:
    """The true state of a prefill or decode engine."""

    info: EndpointInfo
    prefills: list[tuple[int, float]] = field(default_factory=list)
    """End time and uncached tokens of each prefill that waits or runs."""
    free_at: int = 0
    cached: OrderedDict[int, float] = field(default_factory=OrderedDict)
    running: int = 0
    cache_capacity: float = 0.0

    def prefill(self, now: int, request: Request, us_per_token: float, is_warm: bool) -> tuple[int, float]:
        """Enqueue a prefill; return its end time and the number of cached tokens."""
        cached = (
            request.prefix_tokens
            if is_warm
            else min(self.cached.get(request.prefix, 0.0), request.prefix_tokens)
        )
        uncached = request.prompt_tokens - cached
        self.free_at = max(self.free_at, now) + int(uncached * us_per_token) + 5_000
        self.prefills.append((self.free_at, uncached))
        return self.free_at, cached

    def cache_prefix(self, request: Request) -> None:
        """Cache the prefix of a finished prefill, evicting the least recently used prefixes."""
        self.cached[request.prefix] = request.prefix_tokens
        self.cached.move_to_end(request.prefix)
        while sum(self.cached.values()) > self.cache_capacity:
            self.cached.popitem(last=False)

    def waiting_tokens(self, now: int) -> float:
        """Uncached tokens of all prefills that wait or run here."""
        self.prefills = [r for r in self.prefills if r[0] > now]
        return sum(tokens for _, tokens in self.prefills)

    def load(self, now: int) -> tuple[float, ...]:
        """The load report, in the order of `_REPORT_FIELDS`."""
        waiting = self.waiting_tokens(now)
        requests = len(self.prefills) + self.running
        return (
            float(requests),
            float(max(len(self.prefills) - 1, 0)),
            min(requests / 100, 1.0),
            waiting / 1000,
        )


@dataclass(slots=True)
class Result:
    """Outcomes of the requests."""

    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    """Outcomes by the second in which the requests arrived."""
    duplicates: int = 0
    """Number of second final answers, and of attempts sent while another one was in flight."""
    unanswered: int = 0
    cached_share: float = 0.0
    """Share of prompt tokens found cached, over requests that arrive a second or more after the change
    begins.
    """

    def on_time_share(self, start: int, end: int) -> float:
        """Share of the requests arriving in this interval (microseconds) whose latency objective was met."""
        seconds = [c for s, c in self.by_second.items() if start <= s * _SECOND_US < end]
        return sum(c["in time"] for c in seconds) / max(sum(c.total() for c in seconds), 1)

    def recovery_us(self, since: int, level: float = 0.9) -> int | None:
        """Microseconds after `since` from which on, in each second, a share of at least `level` was served in
        time; None if that point is not reached before the last second.
        """
        missed = [
            s
            for s, c in self.by_second.items()
            if s * _SECOND_US >= since and c["in time"] < level * c.total()
        ]
        if not missed:
            return 0
        recovered_at = (max(missed) + 1) * _SECOND_US
        return recovered_at - since if recovered_at < max(self.by_second) * _SECOND_US else None


@dataclass(slots=True)
class _RequestRecord:
    """A request and its progress."""

    request: Request
    node: int
    arrived_at: int
    attempt: int = -1
    in_flight: int | None = None
    """The attempt in flight."""
    engine: Engine | None = None
    """Target of the latest attempt."""
    first_token_at: int = 0
    outcome: str = ""


class FleetSimulation:
    """Runs one scenario. `policy` builds a node's policy from its settings, its seed and this object."""

    def __init__(
        self,
        scenario: FleetScenario,
        seed: int,
        policy: Callable[[Settings, int, FleetSimulation], Policy] | None = None,
    ) -> None:
        self.scenario, self.random, self.now = scenario, Random(seed), 0
        self.policy = policy or (lambda settings, number, _: Router(settings, number))
        self.settings = Settings(
            replicas=scenario.nodes,
            roles=(Role.PREFILL, Role.DECODE),
            report_fields=_REPORT_FIELDS,
            max_attempts=4,
            classes=(
                RequestClass(
                    "chat",
                    1.0,
                    scenario.objective_us,
                    scenario.deadline_us,
                    inter_token_objective_us=60_000.0,
                ),
                RequestClass(
                    "dear",
                    3.0,
                    scenario.objective_us,
                    scenario.deadline_us,
                    inter_token_objective_us=60_000.0,
                ),
            ),
            tenants=(Tenant("a", 1.0, 1.3 * scenario.requests_per_s),),
            slow_start_us=8 * _SECOND_US,
            slow_start_initial_share=0.25,
            slow_start_overload_factor=2.5,
            slow_start_window_us=2 * _SECOND_US,
            drain_grace_us=500_000,
            max_retry_after_us=2 * _SECOND_US,
            may_send_retry_after=True,
        )
        self.engines: dict[int, Engine] = {}
        self.records: dict[int, _RequestRecord] = {}
        self.result = Result()
        self.on_event: Callable[[int], None] = lambda node: None
        """Hook called with the node's number after each event there."""
        self._events: list[tuple[int, int, Any]] = []
        self._sequence, self._ids, self._prompt_tokens, self._cached_tokens = count(), count(1), 0.0, 0.0
        for i in range(scenario.prefill_engines + scenario.decode_engines):
            self._add_engine(EndpointInfo(i, 0 if i < scenario.prefill_engines else 1))
        self.nodes = [self._start_node(i, i + 1) for i in range(scenario.nodes)]

    def run(self) -> Result:
        """Run the simulation until no event is left."""
        scenario = self.scenario
        weights = list(accumulate(1 / (n + 8) for n in range(scenario.prefix_count)))
        at, during_change = 0.0, False
        while (
            at := at
            + self.random.expovariate(
                scenario.requests_per_s * (scenario.burst_factor if during_change else 1.0) / _SECOND_US
            )
        ) < scenario.last_arrival_us:
            during_change = (
                scenario.change_start_us <= at < scenario.change_start_us + scenario.change_duration_us
            )
            prefix = 1 + self.random.choices(range(scenario.prefix_count), cum_weights=weights)[0]
            prefix = (
                scenario.prefix_count + 1
                if during_change and self.random.random() < scenario.hot_prefix_share
                else prefix
            )
            suffix = self.random.expovariate(1 / scenario.suffix_tokens)
            request = Request(
                next(self._ids),
                int(self.random.random() < 0.2),
                scenario.deadline_us,
                prompt_tokens=scenario.prefix_tokens + suffix,
                prefix_tokens=scenario.prefix_tokens,
                max_tokens=120.0,
                session=self.random.getrandbits(40),
                prefix=prefix,
            )
            self._schedule(int(at), self._arrive, request, self.random.randrange(scenario.nodes))
        self._schedule_change()
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.result.unanswered = sum(not r.outcome for r in self.records.values())
        self.result.cached_share = self._cached_tokens / max(self._prompt_tokens, 1.0)
        return self.result

    # -- disturbances

    def _schedule_change(self) -> None:
        scenario = self.scenario
        if scenario.flush_caches:
            for engine in self.engines.values():
                self._schedule(scenario.change_start_us, engine.cached.clear)
        replacements = int(scenario.replaced_share * scenario.prefill_engines)
        for i in range(replacements):
            self._schedule(
                scenario.change_start_us + scenario.change_duration_us * i // replacements,
                self._replace_engine,
                i,
                1000 + i,
            )
        restarts = int(scenario.restarted_share * scenario.nodes)
        for i in range(restarts):
            self._schedule(
                scenario.change_start_us + scenario.change_duration_us * i // restarts, self._restart_node, i
            )

    def _replace_engine(self, old: int, new: int) -> None:
        """Drain a prefill engine and add a cold one; each node gets the list update within 200 ms."""
        draining = self.engines[old].info = replace(self.engines[old].info, state=EndpointState.DRAINING)
        added = EndpointInfo(new, 0, started_at_us=self.now)
        self._add_engine(added)
        for i in range(len(self.nodes)):
            change = EndpointListUpdate(UpdateKind.DELTA, 2, (draining, added))
            self._schedule(self.now + self.random.randrange(200_000), self._deliver, i, change)

    def _restart_node(self, number: int) -> None:
        """Restart a node without state. The outcome of its unanswered requests is "lost"."""
        for record in self.records.values():
            if record.node == number and not record.outcome:
                self._conclude(record, "lost")
        self.nodes[number] = self._start_node(number, number + 1000)

    def attempts_in_flight(self, node: int) -> dict[int, int]:
        """Engine id by request id of the attempts that this node truly has in flight."""
        return {
            r.request.request_id: r.engine.info.id
            for r in self.records.values()
            if r.node == node and r.in_flight is not None and r.engine and r.outcome != "lost"
        }

    def _start_node(self, number: int, seed: int) -> Policy:
        policy = self.policy(replace(self.settings, replica_index=number), seed, self)
        listed = tuple(e.info for e in self.engines.values() if e.info.state is EndpointState.READY)
        self._execute(number, policy.handle(self.now, [EndpointListUpdate(UpdateKind.FULL, 1, listed)]))
        return policy

    def _add_engine(self, info: EndpointInfo) -> None:
        self.engines[info.id] = Engine(info, cache_capacity=self.scenario.cache_tokens)

    # -- requests and attempts

    def _arrive(self, request: Request, node: int) -> None:
        self.records[request.request_id] = _RequestRecord(request, node, self.now)
        self._schedule(self.now + request.time_left_us, self._deadline, request.request_id)
        self._deliver(node, request)

    def _deadline(self, number: int) -> None:
        """The client's deadline has passed: time out the attempt in flight unless its stream has started."""
        record = self.records[number]
        if record.in_flight is not None and not record.first_token_at:
            self._end_attempt(record, record.in_flight, Status.TIMEOUT, self.now)

    def _execute(self, node: int, actions: list[Action]) -> None:
        """Carry out a node's actions. KV state takes no memory in this model, so `Release` is a no-op."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(self.records[action.request_id], action)
            elif isinstance(action, Reject | Fail):
                self._conclude(
                    self.records[action.request_id], "refused" if isinstance(action, Reject) else "failed"
                )
            elif isinstance(action, SetTimer):
                self._schedule(self.now + action.delay_us, self._deliver, node, TimerFired(action.token))

    def _send(self, record: _RequestRecord, action: SendAttempt) -> None:
        self.result.duplicates += record.in_flight is not None
        record.attempt += 1
        attempt = record.in_flight = record.attempt
        engine = record.engine = self.engines[action.endpoint_id]
        if action.timeout_us:
            self._schedule(
                self.now + action.timeout_us, self._end_attempt, record, attempt, Status.TIMEOUT, self.now
            )
        self._schedule(self.now + _LINK_US, self._reach_engine, record, attempt, engine, self.now)

    def _reach_engine(self, record: _RequestRecord, attempt: int, engine: Engine, sent: int) -> None:
        if engine.info.kind == 0:
            done, cached = engine.prefill(
                self.now,
                record.request,
                self.scenario.prefill_us_per_token,
                self.now < self.scenario.warm_until_us,
            )
            if record.arrived_at >= self.scenario.change_start_us + _SECOND_US:
                self._prompt_tokens += record.request.prompt_tokens
                self._cached_tokens += cached
            self._schedule(
                done, engine.cache_prefix, record.request
            )  # An abandoned prefill still runs to its end.
            self._schedule(
                done + _LINK_US, self._end_attempt, record, attempt, Status.PREFILLED, sent, int(cached)
            )
            return
        engine.running += 1
        until_first = 15_000 + self.scenario.inter_token_us * (1 + engine.running // 20)
        until_end = until_first + int(
            record.request.max_tokens / 2 * self.scenario.inter_token_us * (1 + engine.running / 40)
        )
        self._schedule(self.now + until_first, self._start_stream, record, attempt, engine, sent)
        self._schedule(self.now + until_end, self._end_stream, record, attempt, engine, sent)

    def _start_stream(self, record: _RequestRecord, attempt: int, engine: Engine, sent: int) -> None:
        if record.in_flight == attempt and not record.outcome:
            record.first_token_at = self.now
            self._deliver(
                record.node,
                StreamStarted(record.request.request_id, attempt, engine.info.id, self.now - sent),
            )

    def _end_stream(self, record: _RequestRecord, attempt: int, engine: Engine, sent: int) -> None:
        engine.running -= 1
        if record.in_flight == attempt and not record.outcome:
            late = record.first_token_at - record.arrived_at > self.scenario.objective_us
            self._conclude(record, "late" if late else "in time")
            self._end_attempt(record, attempt, Status.OK, sent)

    def _end_attempt(
        self, record: _RequestRecord, attempt: int, status: Status, sent: int, cached: int = 0
    ) -> None:
        """Report an attempt's end to its node, unless the attempt has already ended. A time-out after the first
        token is ignored, and so is any end but OK once the request has an outcome.
        """
        engine = record.engine
        if (
            record.in_flight != attempt
            or engine is None
            or (status is Status.TIMEOUT and record.first_token_at)
            or (record.outcome and status is not Status.OK)
        ):
            return
        record.in_flight = None
        load = engine.load(self.now) if status in (Status.PREFILLED, Status.OK) else ()
        self._deliver(
            record.node,
            AttemptEnded(
                record.request.request_id,
                attempt,
                engine.info.id,
                status,
                self.now - sent,
                is_final=status is Status.OK,
                cached_tokens=cached,
                load_report=load,
            ),
        )

    def _conclude(self, record: _RequestRecord, outcome: str) -> None:
        self.result.duplicates += bool(record.outcome)
        record.outcome = record.outcome or outcome
        self.result.by_second.setdefault(record.arrived_at // _SECOND_US, Counter())[outcome] += 1

    # -- event queue

    def _deliver(self, node: int, event: Event) -> None:
        if (
            isinstance(event, StreamStarted | AttemptEnded)
            and self.records[event.request_id].outcome == "lost"
        ):
            return  # The node was restarted and no longer knows this request.
        self._execute(node, self.nodes[node].handle(self.now, [event]))
        self.on_event(node)

    def _schedule(self, at: int, act: Callable[..., object], *args: object) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), partial(act, *args)))


class _BaselinePolicy:
    """Base of the baseline policies: sends each stage to the engine that `pick` returns; never retries."""

    def __init__(self, settings: Settings, seed: int, simulation: FleetSimulation) -> None:
        self.simulation, self.random = simulation, Random(seed)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            if isinstance(event, Request):
                actions.append(SendAttempt(event.request_id, self.pick(0, event)))
            elif isinstance(event, AttemptEnded) and not event.is_final:
                if event.status is Status.PREFILLED:
                    actions.append(
                        SendAttempt(
                            event.request_id, self.pick(1, self.simulation.records[event.request_id].request)
                        )
                    )
                else:
                    actions.append(Fail(event.request_id))
        return actions

    def ready_engines(self, kind: int) -> list[Engine]:
        return [
            e
            for e in self.simulation.engines.values()
            if e.info.kind == kind and e.info.state is EndpointState.READY
        ]

    def pick(self, kind: int, request: Request) -> int:
        raise NotImplementedError


class RandomPolicy(_BaselinePolicy):
    """Picks a random engine of the role: the lower baseline."""

    def pick(self, kind: int, request: Request) -> int:
        return self.random.choice(self.ready_engines(kind)).info.id


class FullInformationPolicy(_BaselinePolicy):
    """Sees the true state of every engine and ignores slow start: picks the earliest prefill completion, or
    the decode engine with the fewest streams.
    """

    def pick(self, kind: int, request: Request) -> int:
        def time_to_finish(e: Engine) -> float:
            uncached = request.prompt_tokens - min(e.cached.get(request.prefix, 0.0), request.prefix_tokens)
            return (
                max(e.free_at - self.simulation.now, 0)
                + uncached * self.simulation.scenario.prefill_us_per_token
            )

        return min(self.ready_engines(kind), key=(lambda e: e.running) if kind else time_to_finish).info.id
