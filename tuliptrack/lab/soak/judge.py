"""Checks the invariants of a soak against the records of engines, proxies and clients. A node's own account is
not used.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from typing import Any

from tuliptrack.lab.soak.evidence import (
    DECODE_ROLES,
    NODE_PAUSE_S,
    SHUTDOWN_S,
    CrowdSpans,
    FaultSpans,
    ProcessEnds,
    Request,
    SlowStreamSpans,
    collect_requests,
)
from tuliptrack.lab.soak.run_queue import RunQueueWaits
from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import DRAIN_GRACE_S, REPEAT_WINDOW_S, SLACK_S, World
from tuliptrack.lab.soak.slow_start import check_slow_starts
from tuliptrack.lab.soak.stream_checks import (
    check_events,
    check_idle_streams,
    check_slow_streams,
    check_streams,
)
from tuliptrack.lab.soak.violation import Violation

__all__ = ["judge"]

_AFTER_DISCONNECT_S, _DEADLINE_SLACK_S, _ANSWER_SLACK_S, _STALLED_CLIENT_S = 0.1, 0.15, 0.5, 3.0
_LONG_DELAY_S = 0.1
_SERVED = 200
_UNRESPONSIVE_KINDS = {
    kind.value
    for kind in (
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.ENGINE_STOPS,
        FaultKind.ENGINE_HANGS,
        FaultKind.ENGINE_RESTARTS,
        FaultKind.UNREACHABLE,
    )
}
"""Faults during which an engine answers nothing."""
_ANSWER_LEAD_S = 0.3
"""An answer that the engine completed this long before the client's deadline must reach the client."""


def judge(world: World, records: list[dict[str, Any]], lag_s: float) -> list[Violation]:
    """Return every violation. `lag_s` is the largest event loop delay measured in the proxies, the agent and the
    clients.
    """
    margin = 0.05 + lag_s
    requests, fault_spans = collect_requests(records), FaultSpans(world, records, margin)
    process_ends = ProcessEnds(records, margin)
    return [
        *_check_answers(requests.values(), process_ends, CrowdSpans(world, records), margin),
        *check_streams(requests.values(), fault_spans, process_ends),
        *check_events(requests.values(), fault_spans, margin),
        *check_idle_streams(world, records, requests, fault_spans, margin),
        *check_slow_streams(world, records, requests, fault_spans, process_ends),
        *_check_states(world, records, _EngineReachability(world, records), process_ends, margin),
        *_check_repeats(requests.values(), margin),
        *_check_disconnects(requests.values(), margin),
        *_check_deadlines(requests.values(), RunQueueWaits(records), margin),
        *_check_advice(world, records, requests, fault_spans, process_ends, margin),
        *_check_commands(records, process_ends, margin),
        *_check_drains(records, requests, margin),
        *check_slow_starts(world, records, margin),
        *_check_stalled_clients(records, process_ends, margin),
        *_check_malformed_requests(records, process_ends, margin),
    ]


def _check_answers(
    requests: Any, process_ends: ProcessEnds, crowd_spans: CrowdSpans, margin: float
) -> list[Violation]:
    """Each request gets a final answer in time."""
    found = []
    for request in requests:
        if not request.sent or request.answer is None or request.answer.get("unreachable"):
            continue
        by = request.sent + request.budget + _ANSWER_SLACK_S + margin
        if request.answer["status"] <= 0:
            is_lost_with_node = process_ends.may_have_lost(
                request.node, request.sent, request.sent + request.budget + 1
            )
            if not is_lost_with_node and not crowd_spans.may_have_closed(request, margin):
                found.append(
                    Violation(
                        "answer",
                        request.name,
                        f"none: {request.answer} sent {request.sent:.3f} to {request.node}",
                    )
                )
        elif request.answer["status"] != 200 and request.sent + request.answer["after"] > by:
            found.append(Violation("answer", request.name, f"late: {request.answer} of {request.budget:.3f}"))
    return found


def _is_unresponsive(fault: dict[str, Any]) -> bool:
    """Whether the fault keeps an engine from answering in time."""
    return fault["kind"] in _UNRESPONSIVE_KINDS or (
        fault["kind"] == FaultKind.DELAY.value and fault["amount"] > _LONG_DELAY_S
    )


class _EngineReachability:
    """When at least one engine was reachable and answered."""

    def __init__(self, world: World, records: list[dict[str, Any]]) -> None:
        unresponsive: dict[str, list[tuple[float, float]]] = {name: [] for name in world.schedule.engines}
        for record in records:
            if record["event"] == "fault" and record["target"] in unresponsive and _is_unresponsive(record):
                unresponsive[record["target"]].append((record["t"], world.began + record["until"]))
        self._unresponsive = list(unresponsive.values())

    def seconds(self, since: float, until: float) -> float:
        """Seconds of a span with a reachable engine. Without one, no KV state can be released."""
        if until <= since:
            return 0.0
        edges = {since, until}
        for spans in self._unresponsive:
            edges.update(moment for span in spans for moment in span if since < moment < until)
        points = sorted(edges)
        return sum(
            end - start for start, end in pairwise(points) if not self._none_reachable((start + end) / 2)
        )

    def _none_reachable(self, moment: float) -> bool:
        return all(any(start <= moment <= end for start, end in spans) for spans in self._unresponsive)


def _check_states(
    world: World,
    records: list[dict[str, Any]],
    reachable: _EngineReachability,
    process_ends: ProcessEnds,
    margin: float,
) -> list[Violation]:
    """Each KV state is taken by a decode attempt or released in time, measured by what reached a running engine.
    The time counts from when the prefill's answer reaches its node or the node gives the prefill up.
    """
    allowed = world.schedule.release_within_s + SLACK_S + margin
    end = max(record["t"] for record in records)
    held: dict[str, tuple[float, str]] = {}
    prefill_ends: dict[tuple[str, str], list[float]] = defaultdict(list)
    for record in records:
        if record["event"] in ("heard", "given up"):
            prefill_ends[record["id"], record["who"].removeprefix("p-")].append(record["t"])
    sent = {record["id"]: (record["node"], record["t"]) for record in records if record["event"] == "sent"}
    found = []

    def settle(name: str, moment: float) -> None:
        since, engine = held.pop(name, (moment, ""))
        node, sent_at = sent.get(name, ("", since))
        killed_at = min(process_ends.kill_after(engine, since), process_ends.kill_after(node, sent_at))
        if reachable.seconds(since, min(moment, killed_at)) > allowed:
            found.append(
                Violation("held state", name, f"{moment - since:.3f} s at {engine} from {since:.3f}")
            )

    for record in records:
        match record["event"]:
            case "read" | "held again":
                since = min(
                    (at for at in prefill_ends[record["id"], record["who"]] if at >= record["t"]),
                    default=record["t"],
                )
                held[record["id"]] = (since, record["who"])
            case "taken" | "released":
                settle(record["id"], record["t"])
    for name in list(held):
        settle(name, end)
    return found


def _check_repeats(requests: Any, margin: float) -> list[Violation]:
    """Requests that may run only once do so, and repeats with a key come within the deduplication window."""
    found = []
    for request in requests:
        writes = [at for at, engine in request.taken if engine[0] in DECODE_ROLES]
        counted = len(writes) - request.rejected
        if request.effect == "single_shot" and counted > 1:
            found.append(Violation("repeat", request.name, f"{counted} times at writers"))
        sent = [at for at, engine, _ in request.bytes if engine[0] in DECODE_ROLES]
        if (
            request.effect == "guarded"
            and not request.rejected
            and sent
            and max(sent) - min(sent) > REPEAT_WINDOW_S + margin
        ):
            found.append(Violation("repeat", request.name, f"after its window: {sent}"))
    return found


def _check_disconnects(requests: Any, margin: float) -> list[Violation]:
    """No attempt begins after the client has disconnected."""
    return [
        Violation("left", request.name, f"{at - request.left:.3f} s after, to {engine}")
        for request in requests
        if request.left
        for at, engine, _ in request.bytes
        if at > request.left + _AFTER_DISCONNECT_S + NODE_PAUSE_S + margin
    ]


def _check_deadlines(requests: Any, waits: RunQueueWaits, margin: float) -> list[Violation]:
    """An attempt carries no larger time budget than its client has left. Time in which the node waited for a
    processor is allowed for: the node learns of a request, and especially of a new connection, some iterations
    of its event loop after the client's write.
    """
    return [
        Violation("deadline", request.name, f"told {budget:.3f} of {request.sent + request.budget - at:.3f}")
        for request in requests
        if request.sent
        for at, _, budget in request.bytes
        if budget
        > request.sent
        + request.budget
        - at
        + _DEADLINE_SLACK_S
        + margin
        + waits.seconds(request.node, request.sent, at)
    ]


def _check_drains(
    records: list[dict[str, Any]], requests: dict[str, Request], margin: float
) -> list[Violation]:
    """A draining engine gets no new attempts once the list has said so for the drain grace period."""
    spans: dict[str, list[list[float]]] = defaultdict(list)
    silences = _agent_silences(records)
    for record in records:
        if record["event"] == "list changed" and record["phase"]:
            if record["phase"] == "Terminating":
                announced = max(
                    [record["t"], *(end for begin, end in silences if begin <= record["t"] < end)]
                )
                spans[record["engine"]].append([announced, float("inf")])
            for span in spans[record["engine"]]:
                if record["phase"] == "Ready":
                    span[1] = min(span[1], record["t"])
    return [
        Violation("drain", request.name, f"{at - begin:.3f} s after the drain of {engine}")
        for request in requests.values()
        for at, engine, _ in request.bytes
        for begin, end in spans[engine]
        if begin + DRAIN_GRACE_S + NODE_PAUSE_S + margin < at < end
    ]


def _agent_silences(records: list[dict[str, Any]]) -> list[tuple[float, float]]:
    """The spans in which the agent was silent. A change made meanwhile counts as announced when the agent
    answers again, or up to 6 s after the silence began.
    """
    found: list[tuple[float, float]] = []
    for record in records:
        if record["event"] == "agent":
            if record["silent"]:
                found.append((record["t"], float("inf")))
            elif found:
                found[-1] = (found[-1][0], record["t"])
    return found


def _check_advice(
    world: World,
    records: list[dict[str, Any]],
    requests: dict[str, Request],
    fault_spans: FaultSpans,
    process_ends: ProcessEnds,
    margin: float,
) -> list[Violation]:
    """A complete answer that an engine sent in time reaches the client, whatever load reports and token counts
    came with it. A stream may be handed back to the client to be resumed, but not because of these values.
    """
    hostile = [
        (record["target"], record["t"] - margin, world.began + record["until"] + margin)
        for record in records
        if record["event"] == "fault" and record["kind"] == FaultKind.HOSTILE_ADVICE.value
    ]
    given_up = {
        (record["id"], record["who"].removeprefix("p-"))
        for record in records
        if record["event"] == "given up"
    }
    slow_streams = SlowStreamSpans(world, records)
    found = []
    for record in records:
        if record["event"] != "answered" or (record["id"], record["who"]) in given_up:
            continue
        request = requests[record["id"]]
        is_in_time = record["t"] <= request.sent + request.budget - _ANSWER_LEAD_S - margin
        if request.answer is None or request.left or not is_in_time or fault_spans.affected(request):
            continue
        if process_ends.may_have_lost(
            request.node, request.sent, request.sent + request.answer["after"] + margin
        ):
            continue
        has_hostile_values = any(
            engine == record["who"] and begin <= record["t"] <= end for engine, begin, end in hostile
        )
        is_shutting_down = process_ends.is_shutting_down(request.node, record["t"])
        may_be_handed_back = is_shutting_down or slow_streams.may_be_handed_back(record["who"], record["t"])
        is_cut_off = has_hostile_values and not may_be_handed_back and not request.answer["whole"]
        if request.answer["status"] != 200 or is_cut_off:
            found.append(Violation("advice", request.name, f"answered by {record['who']}: {request.answer}"))
    return found


def _check_commands(
    records: list[dict[str, Any]], process_ends: ProcessEnds, margin: float
) -> list[Violation]:
    """Commands pipelined on one connection are all answered, or none if the node closed the connection unread. A
    node that is shutting down may close the connection after some of the answers.
    """
    return [
        Violation("commands", record["node"], f"{record['answered']} of {record['sent']} answered")
        for record in records
        if record["event"] == "commands"
        and 0 < record["answered"] < record["sent"]
        and not process_ends.is_shutting_down(record["node"], record["t"], margin)
        and process_ends.kill_after(record["node"], record["t"] - SHUTDOWN_S) > record["t"] + margin
    ]


def _check_stalled_clients(
    records: list[dict[str, Any]], process_ends: ProcessEnds, margin: float
) -> list[Violation]:
    """A client that stalls in the middle of a request gets an error, or its connection is closed."""
    return [
        Violation("stalled client", record["id"], f"nothing for {record['after']:.3f} s")
        for record in records
        if record["event"] == "stalled"
        and record["after"] > _STALLED_CLIENT_S + NODE_PAUSE_S + margin
        and process_ends.kill_after(record["node"], record["t"] - record["after"]) > record["t"]
    ]


def _check_malformed_requests(
    records: list[dict[str, Any]], process_ends: ProcessEnds, margin: float
) -> list[Violation]:
    """A request that cannot be used gets an error, or its connection is closed, in time; it is not served."""
    return [
        Violation("malformed request", record["name"], f"{record['status']} after {record['after']:.3f} s")
        for record in records
        if record["event"] == "malformed request"
        and (record["status"] == _SERVED or record["after"] > _STALLED_CLIENT_S + NODE_PAUSE_S + margin)
        and process_ends.kill_after(record["node"], record["t"] - record["after"]) > record["t"]
    ]
