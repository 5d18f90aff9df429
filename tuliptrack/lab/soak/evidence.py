"""What the records of a soak say about its requests, its faults, and the ends of its processes."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from tuliptrack.lab.soak.schedule import LATER_KINDS, LONGEST_STREAM_S, FaultKind
from tuliptrack.lab.soak.settings import World

__all__ = [
    "DECODE_ROLES",
    "NODE_PAUSE_S",
    "SHUTDOWN_S",
    "CrowdSpans",
    "FaultSpans",
    "ProcessEnds",
    "Request",
    "SlowStreamSpans",
    "collect_requests",
]

DECODE_ROLES = "wm"
"""First letters of engines at which a request may have its effect."""
NODE_PAUSE_S = 0.15
"""Time for which the platform may pause a node."""
SHUTDOWN_S = 5.0
"""Time after SIGTERM within which a node may still be shutting down."""
_LOSS_AFTER_SIGTERM_S = 0.7
_TOLERATED_KINDS = {kind.value for kind in LATER_KINDS}
"""Faults that excuse no violation: a node must tolerate them without losing anything."""
_SLOW_STREAM_KINDS = {
    kind.value
    for kind in (
        FaultKind.STREAM_STOPS,
        FaultKind.STREAM_SLOW,
        FaultKind.STREAM_NO_EVENTS,
        FaultKind.MALFORMED_ANSWERS,
    )
}
"""Faults after which an engine's streams count as slow."""


@dataclass
class Request:
    """What the records say about one request."""

    name: str
    node: str = ""
    effect: str = ""
    sent: float = 0.0
    budget: float = 0.0
    left: float = 0.0
    kept: bool = False
    """Whether it was sent on a kept connection."""
    answer: dict[str, Any] | None = None
    bytes: list[tuple[float, str, float]] = field(default_factory=list)
    """For each attempt: when its bytes left the node, for which engine, and the time budget it carried."""
    taken: list[tuple[float, str]] = field(default_factory=list)
    rejected: int = 0
    """Attempts that an engine with decode rejected without running them."""

    @property
    def engines_and_node(self) -> list[str]:
        """The engines that took it, and its node."""
        return [*(engine for _, engine in self.taken), self.node]


def collect_requests(records: list[dict[str, Any]]) -> dict[str, Request]:
    """Return what the records say about each request, by its id."""
    requests: dict[str, Request] = {}
    for record in records:
        if "id" not in record:
            continue
        request = requests.setdefault(record["id"], Request(record["id"]))
        match record["event"]:
            case "sent":
                request.node, request.effect, request.sent, request.budget = (
                    record["node"],
                    record["effect"],
                    record["t"],
                    record["budget"],
                )
                request.kept = record["kept"]
            case "left":
                request.left = record["t"]
            case "answer":
                request.answer = record
            case "bytes":
                request.bytes.append((record["t"], record["who"].removeprefix("p-"), record["budget"]))
            case "taken":
                request.taken.append((record["t"], record["who"]))
            case "rejected" if record["who"][0] in DECODE_ROLES:
                request.rejected += 1
    return requests


class ProcessEnds:
    """When nodes and engines were sent SIGTERM and SIGKILL."""

    def __init__(self, records: list[dict[str, Any]], margin: float) -> None:
        """A request sent less than `margin` before a kill can't be answered any more. For as long after a kill
        is recorded, the process may still accept connections.
        """
        self.margin = margin
        self.killed: dict[str, list[float]] = defaultdict(list)
        self.terminated: dict[str, list[float]] = defaultdict(list)
        for record in records:
            if record["event"] == "killed":
                self.killed[record["target"]].append(record["t"])
            elif record["event"] == "terminated":
                self.terminated[record["target"]].append(record["t"])

    def kill_after(self, name: str, moment: float) -> float:
        """The first kill at or after a moment; infinity if there is none."""
        return min((at for at in self.killed[name] if at >= moment), default=float("inf"))

    def is_shutting_down(self, name: str, moment: float, margin: float = 0.0) -> bool:
        """Whether a node got SIGTERM so close to a moment that it may have been shutting down."""
        return any(abs(moment - at) < SHUTDOWN_S + margin for at in self.terminated[name])

    def may_have_lost(self, name: str, sent: float, answered_by: float) -> bool:
        """Whether a request may have been lost with its node. It may if the node was killed without a SIGTERM in
        the 5 s before, or if the request came before that SIGTERM or shortly after it.
        """
        kill = self.kill_after(name, sent - self.margin)
        if kill > answered_by:
            return False
        if sent > kill - self.margin:
            return True
        term = max((at for at in self.terminated[name] if at <= kill), default=None)
        return term is None or kill - term > 5.0 or sent <= term + _LOSS_AFTER_SIGTERM_S


class CrowdSpans:
    """When idle clients may have used up a node's descriptors. The node may then close new connections unread."""

    def __init__(self, world: World, records: list[dict[str, Any]]) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in records:
            if record["event"] == "fault" and record["kind"] == FaultKind.CROWD.value:
                self._spans[record["target"]].append((record["t"], world.began + record["until"]))

    def may_have_closed(self, request: Request, margin: float) -> bool:
        """Whether the node may have closed the request's new connection unread."""
        assert request.answer
        is_closed = request.answer["status"] == 0 and not request.kept and not request.bytes
        return is_closed and any(
            begin - margin <= request.sent <= end + margin for begin, end in self._spans[request.node]
        )


class SlowStreamSpans:
    """When an engine's streams were slowed or stopped. A node then hands its streams back to clients that may resume
    them, also those that begin a little later.
    """

    def __init__(self, world: World, records: list[dict[str, Any]]) -> None:
        self._may_resume = world.schedule.may_resume
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for record in records:
            if record["event"] == "fault" and record["kind"] in _SLOW_STREAM_KINDS:
                until = world.began + record["until"] + LONGEST_STREAM_S
                self._spans[record["target"]].append((record["t"], until))

    def may_be_handed_back(self, engine: str, moment: float) -> bool:
        """Whether a stream of the engine that is under way at a moment may be handed back for being slow."""
        return self._may_resume and any(begin <= moment <= end for begin, end in self._spans[engine])


class FaultSpans:
    """When a fault affected an engine, the connections to it, or a node."""

    def __init__(self, world: World, records: list[dict[str, Any]], margin: float) -> None:
        """`margin` is how late the process that plays a fault may end it."""
        self._spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
        for record in records:
            if record["event"] == "fault" and record["kind"] not in _TOLERATED_KINDS:
                delay = record["amount"] if record["kind"] == FaultKind.DELAY.value else 0.0
                # Other processes start the fault by the schedule, shortly before the runner records it.
                start = min(record["t"], world.began + record.get("at", float("inf")))
                end = world.began + record["until"] + delay + margin
                self._spans[record["target"]].append((start, end, record["kind"]))

    def affected(self, request: Request, but: frozenset[str] = frozenset()) -> bool:
        """Whether a fault, other than of the kinds `but`, affected the request's node or one of its engines before
        its answer ended.
        """
        assert request.answer
        ended = request.sent + request.answer["after"]
        return any(
            start <= ended and end >= request.sent and kind not in but
            for name in request.engines_and_node
            for start, end, kind in self._spans[name]
        )
