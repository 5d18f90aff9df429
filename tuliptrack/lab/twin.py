"""A whole fleet in one process: half-blind nodes, engines with caches, and a change in the middle, on a
seeded clock.

The nodes are `Router`s as they run; engines, links and clients are modelled, in whole microseconds. No
sockets and no real time: a day of some ten seconds takes about as long to play. What a node believes of an
engine can be held against the engine itself at any event (`Twin.now`, `Twin.engines`).
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

__all__ = ["Blind", "Fleet", "LateSeeing", "Result", "Twin"]

_S = 1_000_000
_LINK_US = 500  # one way, between a node and an engine
_REPORTS = ("in_flight", "queued", "memory_share", "tokens_waiting_k")


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is played. Times are microseconds, sizes tokens."""

    nodes: int = 60
    readers: int = 10
    writers: int = 12
    prefixes: int = 80
    rate: float = 110.0
    """Requests a second, all nodes together."""
    warms: int = 3 * _S
    """Until then prefixes are found kept wherever they are asked for: the day begins in its middle."""
    ends: int = 16 * _S
    """When the last request comes."""
    changes: int = 5 * _S
    """When what happens begins."""
    replaced: float = 0.0
    """Share of the readers that are replaced, one after the other, within `within`."""
    within: int = 3 * _S
    restarted: float = 0.0
    """Share of the nodes that are restarted with nothing known, within the same time."""
    flushed: bool = False
    """All readers lose their caches when the change begins."""
    burst: float = 1.0
    """Times the usual rate in that time."""
    hot: float = 0.0
    """Share of the requests in that time that have one and the same prefix."""
    prefix_tokens: float = 6000.0
    own_tokens: float = 500.0
    cache_tokens: float = 150_000.0
    read_us_per_token: float = 25.0
    token_us: int = 8_000
    """Between two tokens of an answer, with a writer's usual company."""
    aim: int = 1 * _S
    deadline: int = 5 * _S


class Policy(Protocol):
    """What a node asks: the decision module, or a baseline in its place."""

    def handle(self, now: int, events: list[Event]) -> list[Action]: ...


@dataclass(slots=True)
class Engine:
    """A reader or a writer as it truly is."""

    info: EndpointInfo
    reads: list[tuple[int, float]] = field(default_factory=list)
    """When each read that waits or runs will have ended, and its tokens."""
    free_at: int = 0
    kept: OrderedDict[int, float] = field(default_factory=OrderedDict)
    running: int = 0
    room: float = 0.0

    def read(self, now: int, request: Request, us_per_token: float, warm: bool) -> tuple[int, float]:
        """Take a read in; when it will have ended, and the tokens that it found kept."""
        found = (
            request.prefix_tokens if warm else min(self.kept.get(request.prefix, 0.0), request.prefix_tokens)
        )
        unread = request.prompt_tokens - found
        self.free_at = max(self.free_at, now) + int(unread * us_per_token) + 5_000
        self.reads.append((self.free_at, unread))
        return self.free_at, found

    def keep(self, request: Request) -> None:
        """A read has ended: its prefix is kept, and what was used the longest ago gives way."""
        self.kept[request.prefix] = request.prefix_tokens
        self.kept.move_to_end(request.prefix)
        while sum(self.kept.values()) > self.room:
            self.kept.popitem(last=False)

    def waiting(self, now: int) -> float:
        """Tokens that truly wait here to be read."""
        self.reads = [r for r in self.reads if r[0] > now]
        return sum(tokens for _, tokens in self.reads)

    def load(self, now: int) -> tuple[float, ...]:
        """Its load report."""
        waiting = self.waiting(now)
        held = len(self.reads) + self.running
        return (float(held), float(max(len(self.reads) - 1, 0)), min(held / 100, 1.0), waiting / 1000)


@dataclass(slots=True)
class Result:
    """What became of the requests."""

    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    twice: int = 0
    """Requests with a second final answer, or with two attempts out at once."""
    unanswered: int = 0
    kept: float = 0.0
    """Share of the prompts' tokens that was found kept from a second after the change on."""

    def share(self, start: int, end: int) -> float:
        """Share of the requests that came in these microseconds and were served within their aim."""
        seen = [c for s, c in self.by_second.items() if start <= s * _S < end]
        return sum(c["in time"] for c in seen) / max(sum(c.total() for c in seen), 1)

    def recovered(self, since: int, level: float = 0.9) -> int | None:
        """Microseconds after `since` from which on each second had `level` served in time; None if that never
        came.
        """
        low = [s for s, c in self.by_second.items() if s * _S >= since and c["in time"] < level * c.total()]
        if not low:
            return 0
        back = (max(low) + 1) * _S
        return back - since if back < max(self.by_second) * _S else None


@dataclass(slots=True)
class _Asked:
    """A request and what became of it so far."""

    request: Request
    node: int
    at: int
    attempt: int = -1
    out: int | None = None
    """The attempt that is out."""
    engine: Engine | None = None
    """Where the newest attempt went."""
    first: int = 0
    answered: str = ""


class Twin:
    """Plays one day. `policy` makes what decides at a node, from its settings, its seed and this day."""

    def __init__(
        self, fleet: Fleet, seed: int, policy: Callable[[Settings, int, Twin], Policy] | None = None
    ) -> None:
        self.fleet, self.random, self.now = fleet, Random(seed), 0
        self.policy = policy or (lambda settings, number, _: Router(settings, number))
        self.settings = Settings(
            replicas=fleet.nodes,
            roles=(Role.PREFILL, Role.DECODE),
            report_fields=_REPORTS,
            max_attempts=4,
            classes=(
                RequestClass("chat", 1.0, fleet.aim, fleet.deadline, inter_token_objective_us=60_000.0),
                RequestClass("dear", 3.0, fleet.aim, fleet.deadline, inter_token_objective_us=60_000.0),
            ),
            tenants=(Tenant("a", 1.0, 1.3 * fleet.rate),),
            slow_start_us=8 * _S,
            slow_start_initial_share=0.25,
            slow_start_overload_factor=2.5,
            slow_start_window_us=2 * _S,
            drain_grace_us=500_000,
            max_retry_after_us=2 * _S,
            may_send_retry_after=True,
        )
        self.engines: dict[int, Engine] = {}
        self.asked: dict[int, _Asked] = {}
        self.result = Result()
        self.watch: Callable[[int], None] = lambda node: None
        """Called after each event at a node, with its number. Replace it to look in."""
        self._events: list[tuple[int, int, Any]] = []
        self._count, self._ids, self._tokens, self._found = count(), count(1), 0.0, 0.0
        for i in range(fleet.readers + fleet.writers):
            self._add(EndpointInfo(i, 0 if i < fleet.readers else 1))
        self.nodes = [self._node(i, i + 1) for i in range(fleet.nodes)]

    def play(self) -> Result:
        """The whole day, to the last answer."""
        fleet = self.fleet
        weights = list(accumulate(1 / (n + 8) for n in range(fleet.prefixes)))
        at, more = 0.0, False
        while (
            at := at + self.random.expovariate(fleet.rate * (fleet.burst if more else 1.0) / _S)
        ) < fleet.ends:
            more = fleet.changes <= at < fleet.changes + fleet.within
            prefix = 1 + self.random.choices(range(fleet.prefixes), cum_weights=weights)[0]
            prefix = fleet.prefixes + 1 if more and self.random.random() < fleet.hot else prefix
            own = self.random.expovariate(1 / fleet.own_tokens)
            request = Request(
                next(self._ids),
                int(self.random.random() < 0.2),
                fleet.deadline,
                prompt_tokens=fleet.prefix_tokens + own,
                prefix_tokens=fleet.prefix_tokens,
                max_tokens=120.0,
                session=self.random.getrandbits(40),
                prefix=prefix,
            )
            self._at(int(at), self._comes, request, self.random.randrange(fleet.nodes))
        self._plan_change()
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.result.unanswered = sum(not a.answered for a in self.asked.values())
        self.result.kept = self._found / max(self._tokens, 1.0)
        return self.result

    # -- what happens

    def _plan_change(self) -> None:
        fleet = self.fleet
        if fleet.flushed:
            for engine in self.engines.values():
                self._at(fleet.changes, engine.kept.clear)
        count_ = int(fleet.replaced * fleet.readers)
        for i in range(count_):
            self._at(fleet.changes + fleet.within * i // count_, self._replace, i, 1000 + i)
        restarts = int(fleet.restarted * fleet.nodes)
        for i in range(restarts):
            self._at(fleet.changes + fleet.within * i // restarts, self._restart, i)

    def _replace(self, old: int, new: int) -> None:
        """One reader drains and a cold one comes in its place; each node hears within 200 ms."""
        gone = self.engines[old].info = replace(self.engines[old].info, state=EndpointState.DRAINING)
        fresh = EndpointInfo(new, 0, started_at_us=self.now)
        self._add(fresh)
        for i in range(len(self.nodes)):
            change = EndpointListUpdate(UpdateKind.DELTA, 2, (gone, fresh))
            self._at(self.now + self.random.randrange(200_000), self._tell, i, change)

    def _restart(self, number: int) -> None:
        """A node comes back with nothing known; what it had open is lost to its clients, who count as
        failed.
        """
        for asked in self.asked.values():
            if asked.node == number and not asked.answered:
                self._final(asked, "lost")
        self.nodes[number] = self._node(number, number + 1000)

    def out_at(self, node: int) -> dict[int, int]:
        """What this node truly has out: the engine of each of its requests."""
        return {
            a.request.request_id: a.engine.info.id
            for a in self.asked.values()
            if a.node == node and a.out is not None and a.engine and a.answered != "lost"
        }

    def _node(self, number: int, seed: int) -> Policy:
        made = self.policy(replace(self.settings, replica_index=number), seed, self)
        listed = tuple(e.info for e in self.engines.values() if e.info.state is EndpointState.READY)
        self._do(number, made.handle(self.now, [EndpointListUpdate(UpdateKind.FULL, 1, listed)]))
        return made

    def _add(self, info: EndpointInfo) -> None:
        self.engines[info.id] = Engine(info, room=self.fleet.cache_tokens)

    # -- requests and attempts

    def _comes(self, request: Request, node: int) -> None:
        self.asked[request.request_id] = _Asked(request, node, self.now)
        self._at(self.now + request.time_left_us, self._due, request.request_id)
        self._tell(node, request)

    def _due(self, number: int) -> None:
        """The client's time is up: what is out ends."""
        asked = self.asked[number]
        if asked.out is not None and not asked.first:
            self._back(asked, asked.out, Status.TIMEOUT, self.now)

    def _do(self, node: int, actions: list[Action]) -> None:
        """Carry out what a node says. Read states take no room here: `Release` changes nothing."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(self.asked[action.request_id], action)
            elif isinstance(action, Reject | Fail):
                self._final(
                    self.asked[action.request_id], "refused" if isinstance(action, Reject) else "failed"
                )
            elif isinstance(action, SetTimer):
                self._at(self.now + action.delay_us, self._tell, node, TimerFired(action.token))

    def _send(self, asked: _Asked, action: SendAttempt) -> None:
        self.result.twice += asked.out is not None
        asked.attempt += 1
        attempt = asked.out = asked.attempt
        engine = asked.engine = self.engines[action.endpoint_id]
        if action.timeout_us:
            self._at(self.now + action.timeout_us, self._back, asked, attempt, Status.TIMEOUT, self.now)
        self._at(self.now + _LINK_US, self._reach, asked, attempt, engine, self.now)

    def _reach(self, asked: _Asked, attempt: int, engine: Engine, sent: int) -> None:
        if engine.info.kind == 0:
            done, found = engine.read(
                self.now, asked.request, self.fleet.read_us_per_token, self.now < self.fleet.warms
            )
            if asked.at >= self.fleet.changes + _S:
                self._tokens += asked.request.prompt_tokens
                self._found += found
            self._at(done, engine.keep, asked.request)  # Given up or not, it is read.
            self._at(done + _LINK_US, self._back, asked, attempt, Status.PREFILLED, sent, int(found))
            return
        engine.running += 1
        first = 15_000 + self.fleet.token_us * (1 + engine.running // 20)
        whole = first + int(asked.request.max_tokens / 2 * self.fleet.token_us * (1 + engine.running / 40))
        self._at(self.now + first, self._starts, asked, attempt, engine, sent)
        self._at(self.now + whole, self._ends, asked, attempt, engine, sent)

    def _starts(self, asked: _Asked, attempt: int, engine: Engine, sent: int) -> None:
        if asked.out == attempt and not asked.answered:
            asked.first = self.now
            self._tell(
                asked.node, StreamStarted(asked.request.request_id, attempt, engine.info.id, self.now - sent)
            )

    def _ends(self, asked: _Asked, attempt: int, engine: Engine, sent: int) -> None:
        engine.running -= 1
        if asked.out == attempt and not asked.answered:
            late = asked.first - asked.at > self.fleet.aim
            self._final(asked, "late" if late else "in time")
            self._back(asked, attempt, Status.OK, sent)

    def _back(self, asked: _Asked, attempt: int, status: Status, sent: int, found: int = 0) -> None:
        """An attempt ends at its node, unless it has already or, started, can't time out any more."""
        engine = asked.engine
        if (
            asked.out != attempt
            or engine is None
            or (status is Status.TIMEOUT and asked.first)
            or (asked.answered and status is not Status.OK)
        ):
            return
        asked.out = None
        load = engine.load(self.now) if status in (Status.PREFILLED, Status.OK) else ()
        self._tell(
            asked.node,
            AttemptEnded(
                asked.request.request_id,
                attempt,
                engine.info.id,
                status,
                self.now - sent,
                is_final=status is Status.OK,
                cached_tokens=found,
                load_report=load,
            ),
        )

    def _final(self, asked: _Asked, what: str) -> None:
        self.result.twice += bool(asked.answered)
        asked.answered = asked.answered or what
        self.result.by_second.setdefault(asked.at // _S, Counter())[what] += 1

    # -- the clock

    def _tell(self, node: int, event: Event) -> None:
        if (
            isinstance(event, StreamStarted | AttemptEnded)
            and self.asked[event.request_id].answered == "lost"
        ):
            return  # Its node is another one now.
        self._do(node, self.nodes[node].handle(self.now, [event]))
        self.watch(node)

    def _at(self, at: int, act: Callable[..., object], *args: object) -> None:
        heapq.heappush(self._events, (at, next(self._count), partial(act, *args)))


class _Plain:
    """A baseline's node: each stage goes where `pick` says; what fails is refused."""

    def __init__(self, settings: Settings, seed: int, twin: Twin) -> None:
        self.twin, self.random = twin, Random(seed)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        out: list[Action] = []
        for event in events:
            if isinstance(event, Request):
                out.append(SendAttempt(event.request_id, self.pick(0, event)))
            elif isinstance(event, AttemptEnded) and not event.is_final:
                if event.status is Status.PREFILLED:
                    out.append(
                        SendAttempt(event.request_id, self.pick(1, self.twin.asked[event.request_id].request))
                    )
                else:
                    out.append(Fail(event.request_id))
        return out

    def up(self, kind: int) -> list[Engine]:
        return [
            e
            for e in self.twin.engines.values()
            if e.info.kind == kind and e.info.state is EndpointState.READY
        ]

    def pick(self, kind: int, request: Request) -> int:
        raise NotImplementedError


class Blind(_Plain):
    """Any engine of the role by chance: the plainest baseline."""

    def pick(self, kind: int, request: Request) -> int:
        return self.random.choice(self.up(kind)).info.id


class LateSeeing(_Plain):
    """Sees every engine as it truly is, and minds no cold one: where a prompt will have been read the
    soonest.
    """

    def pick(self, kind: int, request: Request) -> int:
        def soon(e: Engine) -> float:
            unread = request.prompt_tokens - min(e.kept.get(request.prefix, 0.0), request.prefix_tokens)
            return max(e.free_at - self.twin.now, 0) + unread * self.twin.fleet.read_us_per_token

        return min(self.up(kind), key=(lambda e: e.running) if kind else soon).info.id
