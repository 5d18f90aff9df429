"""The invariants of a soak, judged by what reached the engines and what clients got, never by what a node
believes.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from tuliptrack.lab.soak.run_queue import RunQueueWaits
from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import DRAIN_GRACE_S, REPEAT_WINDOW_S, SLACK_S, World
from tuliptrack.lab.soak.slow_start import slow_starts
from tuliptrack.lab.soak.violation import Violation

__all__ = ["judge"]

_AFTER_LEAVING_S, _TOLD_SLACK_S, _ANSWER_SLACK_S, _BAD_CLIENT_S = 0.1, 0.15, 0.5, 3.0
_HELD_UP_S = 0.15
_HELD_BACK_S = 0.3
_TERM_FORGIVEN_S = 0.7
_LONG_DELAY_S = 0.1
_WRITERS = "wm"  # first letters of engines at which a request may have its effect
_AWAY = {
    kind.value
    for kind in (
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.ENGINE_STOPS,
        FaultKind.ENGINE_HANGS,
        FaultKind.ENGINE_RESTARTS,
    )
}
"""Faults in which an engine answers nothing."""


_NO_EXCUSE = {
    kind.value
    for kind in (FaultKind.SIGNALS, FaultKind.HOSTILE_LIST, FaultKind.HOSTILE_ADVICE, FaultKind.CROWD)
}
"""Faults that a node has to bear without any loss."""
_ENDING_S = 5.0
"""For so long after SIGTERM a node may still end."""
_ANSWERED_BEFORE_S = 0.3
"""An engine's answer that is complete so long before the client's time has to reach the client."""


@dataclass
class _Request:
    """What is known of one request."""

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
    """When an attempt's bytes left the node, for which engine, and the time left that it told."""
    taken: list[tuple[float, str]] = field(default_factory=list)
    rejected: int = 0
    """Attempts that an engine turned away unseen."""

    @property
    def places(self) -> list[str]:
        """The engines that took it, and its node."""
        return [*(engine for _, engine in self.taken), self.node]


def judge(world: World, records: list[dict[str, Any]], lag_s: float) -> list[Violation]:
    """Every violation; `lag_s` is by how much the stand-ins themselves were late."""
    margin = 0.05 + lag_s
    requests, troubles = _collect(records), _Troubles(world, records, margin)
    lives = _Lives(records, margin)
    return [
        *_answers(requests.values(), lives, _Crowds(world, records), margin),
        *_streams(requests.values(), troubles, lives),
        *_events(requests.values(), troubles, margin),
        *_states(world, records, _Reachable(world, records), lives, margin),
        *_repeats(requests.values(), margin),
        *_after_leaving(requests.values(), margin),
        *_deadlines(requests.values(), RunQueueWaits(records), margin),
        *_advice(world, records, requests, troubles, lives, margin),
        *_commands(records, lives, margin),
        *_drains(records, requests, margin),
        *slow_starts(world, records, margin),
        *_stalled(records, lives, margin),
    ]


class _Lives:
    """When nodes and engines were told to end and were killed."""

    def __init__(self, records: list[dict[str, Any]], margin: float) -> None:
        """`margin`: so shortly before a kill no request can be answered, and for so long after one is noted
        its process may take connections.
        """
        self.margin = margin
        self.killed: dict[str, list[float]] = defaultdict(list)
        self.terminated: dict[str, list[float]] = defaultdict(list)
        for one in records:
            if one["event"] == "killed":
                self.killed[one["target"]].append(one["t"])
            elif one["event"] == "terminated":
                self.terminated[one["target"]].append(one["t"])

    def kill_after(self, name: str, moment: float) -> float:
        """The first kill from a moment on; infinite where there is none."""
        return min((at for at in self.killed[name] if at >= moment), default=float("inf"))

    def forgiven(self, name: str, sent: float, answered_by: float) -> bool:
        """Whether a request may have been lost with its node: one that was killed without a word, or soon
        after its end was announced where the request had come before or shortly after that.
        """
        kill = self.kill_after(name, sent - self.margin)
        if kill > answered_by:
            return False
        if sent > kill - self.margin:
            return True
        term = max((at for at in self.terminated[name] if at <= kill), default=None)
        return term is None or kill - term > 5.0 or sent <= term + _TERM_FORGIVEN_S


def _collect(records: list[dict[str, Any]]) -> dict[str, _Request]:
    requests: dict[str, _Request] = {}
    for one in records:
        if "id" not in one:
            continue
        known = requests.setdefault(one["id"], _Request(one["id"]))
        match one["event"]:
            case "sent":
                known.node, known.effect, known.sent, known.budget = (
                    one["node"],
                    one["effect"],
                    one["t"],
                    one["budget"],
                )
                known.kept = one["kept"]
            case "left":
                known.left = one["t"]
            case "answer":
                known.answer = one
            case "bytes":
                known.bytes.append((one["t"], one["who"].removeprefix("p-"), one["budget"]))
            case "taken":
                known.taken.append((one["t"], one["who"]))
            case "rejected":
                known.rejected += 1
    return requests


class _Crowds:
    """When idle clients may have filled a node's descriptors: new connections may be shut unread then."""

    def __init__(self, world: World, records: list[dict[str, Any]]) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for one in records:
            if one["event"] == "fault" and one["kind"] == FaultKind.CROWD.value:
                self._spans[one["target"]].append((one["t"], world.began + one["until"]))

    def may_have_shut(self, one: _Request, margin: float) -> bool:
        """Whether a request's new connection may have been shut unread."""
        assert one.answer
        is_shut = one.answer["status"] == 0 and not one.kept and not one.bytes
        return is_shut and any(
            begin - margin <= one.sent <= end + margin for begin, end in self._spans[one.node]
        )


def _answers(requests: Any, lives: _Lives, crowds: _Crowds, margin: float) -> list[Violation]:
    """Each request has one final answer in time."""
    found = []
    for one in requests:
        if not one.sent or one.answer is None or one.answer.get("unreachable"):
            continue
        by = one.sent + one.budget + _ANSWER_SLACK_S + margin
        if one.answer["status"] <= 0:
            is_lost_with_node = lives.forgiven(one.node, one.sent, one.sent + one.budget + 1)
            if not is_lost_with_node and not crowds.may_have_shut(one, margin):
                found.append(
                    Violation("answer", one.name, f"none: {one.answer} sent {one.sent:.3f} to {one.node}")
                )
        elif one.answer["status"] != 200 and one.sent + one.answer["after"] > by:
            found.append(Violation("answer", one.name, f"late: {one.answer} of {one.budget:.3f}"))
    return found


class _Troubles:
    """When something went wrong at an engine, on the way to it, or at a node."""

    def __init__(self, world: World, records: list[dict[str, Any]], margin: float) -> None:
        """`margin`: so late the stand-ins may end a fault."""
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for one in records:
            if one["event"] == "fault" and one["kind"] not in _NO_EXCUSE:
                delay = one["amount"] if one["kind"] == FaultKind.DELAY.value else 0.0
                # Other processes play their part by the schedule, a little before the runner notes it.
                start = min(one["t"], world.began + one.get("at", float("inf")))
                self._spans[one["target"]].append((start, world.began + one["until"] + delay + margin))

    def met_by(self, one: _Request) -> bool:
        """Whether a request's node or one of its engines was in trouble before its answer ended."""
        assert one.answer
        ended = one.sent + one.answer["after"]
        return any(
            start <= ended and end >= one.sent for place in one.places for start, end in self._spans[place]
        )


def _streams(requests: Any, troubles: _Troubles, lives: _Lives) -> list[Violation]:
    """An answer that has begun goes on or is cut off, unless something went wrong at its engine or its node
    meanwhile. One that is cut off is the client's to resume, as the settings have it.
    """
    return [
        Violation("stream", one.name, f"stuck: {one.answer} from {one.places}")
        for one in requests
        if one.answer
        and one.answer["status"] == 200
        and one.answer.get("given_up")
        and not troubles.met_by(one)
        and not lives.forgiven(one.node, one.sent, one.sent + one.answer["after"])
    ]


def _events(requests: Any, troubles: _Troubles, margin: float) -> list[Violation]:
    """Events reach their clients as they come, where nothing went wrong."""
    allowed = _HELD_BACK_S + margin
    return [
        Violation("event held back", one.name, f"{one.answer['held_back']:.3f} s, from {one.places}")
        for one in requests
        if one.answer and one.answer.get("held_back", 0.0) > allowed and not troubles.met_by(one)
    ]


def _takes_away(fault: dict[str, Any]) -> bool:
    """Whether an engine can't answer in time during a fault."""
    return fault["kind"] in _AWAY or (
        fault["kind"] == FaultKind.DELAY.value and fault["amount"] > _LONG_DELAY_S
    )


class _Reachable:
    """When at least one engine could be reached and answered."""

    def __init__(self, world: World, records: list[dict[str, Any]]) -> None:
        away: dict[str, list[tuple[float, float]]] = {name: [] for name in world.schedule.engines}
        for one in records:
            if one["event"] == "fault" and one["target"] in away and _takes_away(one):
                away[one["target"]].append((one["t"], world.began + one["until"]))
        self._away = list(away.values())

    def seconds(self, since: float, until: float) -> float:
        """How much of a span that was; while none can be reached, nothing can be let go."""
        if until <= since:
            return 0.0
        edges = {since, until}
        for spans in self._away:
            edges.update(moment for span in spans for moment in span if since < moment < until)
        points = sorted(edges)
        return sum(end - start for start, end in pairwise(points) if not self._none((start + end) / 2))

    def _none(self, moment: float) -> bool:
        return all(any(start <= moment <= end for start, end in spans) for spans in self._away)


def _states(
    world: World, records: list[dict[str, Any]], reachable: _Reachable, lives: _Lives, margin: float
) -> list[Violation]:
    """A read state is taken or let go in time, by what reached a running engine. A read is out until its
    answer comes to its node, or the node gives it up.
    """
    allowed = world.schedule.release_within_s + SLACK_S + margin
    end = max(one["t"] for one in records)
    held: dict[str, tuple[float, str]] = {}
    over: dict[tuple[str, str], list[float]] = defaultdict(list)
    for one in records:
        if one["event"] in ("heard", "given up"):
            over[one["id"], one["who"].removeprefix("p-")].append(one["t"])
    sent = {one["id"]: (one["node"], one["t"]) for one in records if one["event"] == "sent"}
    found = []

    def settle(name: str, moment: float) -> None:
        since, where = held.pop(name, (moment, ""))
        node, asked = sent.get(name, ("", since))
        gone = min(lives.kill_after(where, since), lives.kill_after(node, asked))
        if reachable.seconds(since, min(moment, gone)) > allowed:
            found.append(Violation("held state", name, f"{moment - since:.3f} s at {where} from {since:.3f}"))

    for one in records:
        match one["event"]:
            case "read" | "held again":
                since = min((at for at in over[one["id"], one["who"]] if at >= one["t"]), default=one["t"])
                held[one["id"]] = (since, one["who"])
            case "taken" | "released":
                settle(one["id"], one["t"])
    for name in list(held):
        settle(name, end)
    return found


def _repeats(requests: Any, margin: float) -> list[Violation]:
    """Nothing runs twice that may not, and a keyed repeat comes within its window."""
    found = []
    for one in requests:
        writes = [at for at, engine in one.taken if engine[0] in _WRITERS]
        counted = len(writes) - one.rejected
        if one.effect == "single_shot" and counted > 1:
            found.append(Violation("repeat", one.name, f"{counted} times at writers"))
        sent = [at for at, engine, _ in one.bytes if engine[0] in _WRITERS]
        if (
            one.effect == "guarded"
            and not one.rejected
            and sent
            and max(sent) - min(sent) > REPEAT_WINDOW_S + margin
        ):
            found.append(Violation("repeat", one.name, f"after its window: {sent}"))
    return found


def _after_leaving(requests: Any, margin: float) -> list[Violation]:
    """No attempt begins once the client has gone."""
    return [
        Violation("left", one.name, f"{at - one.left:.3f} s after, to {engine}")
        for one in requests
        if one.left
        for at, engine, _ in one.bytes
        if at > one.left + _AFTER_LEAVING_S + _HELD_UP_S + margin
    ]


def _deadlines(requests: Any, waits: RunQueueWaits, margin: float) -> list[Violation]:
    """An engine is told no more time than its client has left, but for what the node was kept from running:
    it learns of a request, and above all of a new connection, some turns of its loop after the client's write.
    """
    return [
        Violation("deadline", one.name, f"told {told:.3f} of {one.sent + one.budget - at:.3f}")
        for one in requests
        if one.sent
        for at, _, told in one.bytes
        if told > one.sent + one.budget - at + _TOLD_SLACK_S + margin + waits.seconds(one.node, one.sent, at)
    ]


def _drains(records: list[dict[str, Any]], requests: dict[str, _Request], margin: float) -> list[Violation]:
    """Nothing new goes to an engine that drains, once that has been told for the grace."""
    spans: dict[str, list[list[float]]] = defaultdict(list)
    silent_until = _agent_silences(records)
    for one in records:
        if one["event"] == "list changed" and one["phase"]:
            if one["phase"] == "Terminating":
                told = max([one["t"], *(end for begin, end in silent_until if begin <= one["t"] < end)])
                spans[one["engine"]].append([told, float("inf")])
            for span in spans[one["engine"]]:
                if one["phase"] == "Ready":
                    span[1] = min(span[1], one["t"])
    return [
        Violation("drain", one.name, f"{at - begin:.3f} s after the drain of {engine}")
        for one in requests.values()
        for at, engine, _ in one.bytes
        for begin, end in spans[engine]
        if begin + DRAIN_GRACE_S + _HELD_UP_S + margin < at < end
    ]


def _agent_silences(records: list[dict[str, Any]]) -> list[tuple[float, float]]:
    """When the agent said nothing; what it had counts as told up to 6 s after that began, or as it speaks
    again.
    """
    found: list[tuple[float, float]] = []
    for one in records:
        if one["event"] == "agent":
            if one["silent"]:
                found.append((one["t"], float("inf")))
            elif found:
                found[-1] = (found[-1][0], one["t"])
    return found


def _advice(
    world: World,
    records: list[dict[str, Any]],
    requests: dict[str, _Request],
    troubles: _Troubles,
    lives: _Lives,
    margin: float,
) -> list[Violation]:
    """What an engine has answered in full, and in time, reaches its client, whatever advice came with it. A
    stream may be handed back to be resumed, but not because of advice.
    """
    hostile = [
        (one["target"], one["t"] - margin, world.began + one["until"] + margin)
        for one in records
        if one["event"] == "fault" and one["kind"] == FaultKind.HOSTILE_ADVICE.value
    ]
    given_up = {(one["id"], one["who"].removeprefix("p-")) for one in records if one["event"] == "given up"}
    found = []
    for record in records:
        if record["event"] != "answered" or (record["id"], record["who"]) in given_up:
            continue
        one = requests[record["id"]]
        is_in_time = record["t"] <= one.sent + one.budget - _ANSWERED_BEFORE_S - margin
        if one.answer is None or one.left or not is_in_time or troubles.met_by(one):
            continue
        if lives.forgiven(one.node, one.sent, one.sent + one.answer["after"] + margin):
            continue
        is_advised = any(
            engine == record["who"] and begin <= record["t"] <= end for engine, begin, end in hostile
        )
        is_ending = any(abs(record["t"] - at) < _ENDING_S for at in lives.terminated[one.node])
        is_cut_off = is_advised and not is_ending and not one.answer["whole"]
        if one.answer["status"] != 200 or is_cut_off:
            found.append(Violation("advice", one.name, f"answered by {record['who']}: {one.answer}"))
    return found


def _commands(records: list[dict[str, Any]], lives: _Lives, margin: float) -> list[Violation]:
    """Commands that come at once on one connection are all answered, or none where it was shut unread; a node
    that ends closes its connections with their answers.
    """
    return [
        Violation("commands", one["node"], f"{one['answered']} of {one['sent']} answered")
        for one in records
        if one["event"] == "commands"
        and 0 < one["answered"] < one["sent"]
        and not any(abs(one["t"] - at) < _ENDING_S + margin for at in lives.terminated[one["node"]])
        and lives.kill_after(one["node"], one["t"] - _ENDING_S) > one["t"] + margin
    ]


def _stalled(records: list[dict[str, Any]], lives: _Lives, margin: float) -> list[Violation]:
    """A client that stops in the middle of its request gets an error or a close."""
    return [
        Violation("stalled client", one["id"], f"nothing for {one['after']:.3f} s")
        for one in records
        if one["event"] == "stalled"
        and one["after"] > _BAD_CLIENT_S + _HELD_UP_S + margin
        and lives.kill_after(one["node"], one["t"] - one["after"]) > one["t"]
    ]
