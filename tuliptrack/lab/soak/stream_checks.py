"""Checks the streams of a soak: none gets stuck, is cut off while its events come, or keeps its client waiting."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from tuliptrack.lab.soak.evidence import NODE_PAUSE_S, FaultSpans, ProcessEnds, Request
from tuliptrack.lab.soak.schedule import FaultKind
from tuliptrack.lab.soak.settings import World
from tuliptrack.lab.soak.violation import Violation

__all__ = ["check_events", "check_idle_streams", "check_slow_streams", "check_streams"]

_MAX_EVENT_DELAY_S = 0.3
_MAX_WAIT_AFTER_EVENT_S = 5.05
_MAX_WAIT_AFTER_REST_S = 1.0
"""Time after a rest within which a client has all that its engine wrote, and is let go."""
_HARMLESS_TO_STREAMS = frozenset(
    kind.value
    for kind in (
        FaultKind.NODE_HELD_UP,
        FaultKind.NODE_RELOADS,
        FaultKind.CLOCK_STEP,
        FaultKind.DRAIN,
    )
)
"""Faults that neither end a stream nor hold up what its engine has written for long."""


def check_streams(requests: Any, fault_spans: FaultSpans, process_ends: ProcessEnds) -> list[Violation]:
    """An answer that has begun continues or is cut off; it may only get stuck if a fault affected its engine or
    node meanwhile. The settings leave it to the client to resume an answer that was cut off.
    """
    return [
        Violation("stream", request.name, f"stuck: {request.answer} from {request.engines_and_node}")
        for request in requests
        if request.answer
        and request.answer["status"] == 200
        and request.answer.get("given_up")
        and not fault_spans.affected(request)
        and not process_ends.may_have_lost(request.node, request.sent, request.sent + request.answer["after"])
    ]


def check_events(requests: Any, fault_spans: FaultSpans, margin: float) -> list[Violation]:
    """Events reach the client without delay unless a fault affected the request."""
    allowed = _MAX_EVENT_DELAY_S + margin
    return [
        Violation(
            "event held back",
            request.name,
            f"{request.answer['held_back']:.3f} s, from {request.engines_and_node}",
        )
        for request in requests
        if request.answer
        and request.answer.get("held_back", 0.0) > allowed
        and not fault_spans.affected(request)
    ]


def check_idle_streams(
    world: World,
    records: list[dict[str, Any]],
    requests: dict[str, Request],
    fault_spans: FaultSpans,
    margin: float,
) -> list[Violation]:
    """A client is let go in time after the last event of an engine that has stopped, or after its own rest.

    A client that still waits when the nodes are ended has waited until then.
    """
    found = []
    over = world.began + world.schedule.seconds
    waiting = {
        name: replace(request, answer={"after": over - request.sent})
        for name, request in requests.items()
        if request.answer is None and request.sent
    }
    for at, request, answer in _undisturbed("last event", records, requests | waiting, fault_spans):
        by = max(at + _MAX_WAIT_AFTER_EVENT_S, answer.get("rested_until", 0.0) + _MAX_WAIT_AFTER_REST_S)
        ended = request.sent + answer["after"]
        if ended > by + NODE_PAUSE_S + margin:
            text = f"let go {ended - at:.3f} s after the last event"
            found.append(Violation("idle stream", request.name, text))
    return found


def check_slow_streams(
    world: World,
    records: list[dict[str, Any]],
    requests: dict[str, Request],
    fault_spans: FaultSpans,
    process_ends: ProcessEnds,
) -> list[Violation]:
    """A stream whose events still come is not cut off, unless its client may resume it elsewhere."""
    if world.schedule.may_resume:
        return []
    found = []
    for at, request, answer in _undisturbed("slow", records, requests, fault_spans):
        is_cut_off = answer["status"] == 200 and not answer["whole"]
        ended = request.sent + answer["after"]
        is_at_the_end = ended > world.began + world.schedule.seconds
        is_shutting_down = process_ends.is_shutting_down(request.node, ended)
        is_killed = process_ends.kill_after(request.node, request.sent) <= ended
        if is_cut_off and not (is_at_the_end or is_shutting_down or is_killed):
            text = f"cut off {ended - at:.3f} s after an event"
            found.append(Violation("slow stream", request.name, text))
    return found


def _undisturbed(
    event: str, records: list[dict[str, Any]], requests: dict[str, Request], fault_spans: FaultSpans
) -> Iterator[tuple[float, Request, dict[str, Any]]]:
    """Yield when engines recorded this event, with the request and its answer, where no other fault excuses it."""
    for record in records:
        request = requests[record["id"]] if record["event"] == event else None
        if request is None or request.answer is None or request.left:
            continue
        if not fault_spans.affected(request, _HARMLESS_TO_STREAMS):
            yield record["t"], request, request.answer
