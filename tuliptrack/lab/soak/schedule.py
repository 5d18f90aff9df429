"""The schedule of a soak's faults: drawn from a seed, written to a file, replayed and shrunk.

All times are seconds since the soak's beginning.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field, replace
from enum import Enum
from typing import Any

__all__ = ["LATER_KINDS", "LONGEST_STREAM_S", "FaultKind", "Schedule", "ScheduledFault", "draw"]

QUIET_S = 1.5
"""Time without faults at the beginning and at the end."""


class FaultKind(Enum):
    """The kinds of fault. "The end" is the end of the fault."""

    SILENCE_OPEN = "silence open connections"
    """The open connections to an engine discard all bytes; new ones work."""
    SILENCE_MACHINE = "silence a machine"
    """All connections to an engine, new ones too, discard all bytes."""
    CUT_MACHINE = "cut off a machine"
    """No bytes arrive at an engine until the end; then all do."""
    DELAY = "delay"
    """Bytes to and from an engine are delayed."""
    RESET = "reset connections"
    """The open connections to an engine are reset."""
    ENGINE_HANGS = "an engine hangs"
    """It accepts requests and does not answer."""
    ENGINE_STOPS = "an engine is stopped"
    """SIGSTOP until the end."""
    ENGINE_RESTARTS = "an engine restarts"
    """SIGKILL, and at the end a new process, which is cold."""
    DRAIN = "an engine drains"
    """The list shows it as terminating until the end."""
    AGENT_SILENT = "discovery is silent"
    NODE_HELD_UP = "a node is held up"
    """SIGSTOP, for as long as the platform allows a node to be paused."""
    NODE_RESTARTS = "a planned restart"
    """SIGTERM, SIGKILL at the earliest time that the platform allows, and a new process."""
    NODE_KILLED = "a node is killed"
    """SIGKILL, and a new process at the end."""
    NODE_RELOADS = "new configurations in a row"
    """SIGHUP several times; the agent's address alternates between two values."""
    CLOCK_STEP = "a node's wall clock is stepped"
    SYSTEM_CALLS = "system calls of a node fail"
    SIGNALS = "signals in series"
    """SIGHUP repeatedly, each with other settings, before the previous reload has finished."""
    HOSTILE_LIST = "an entry of the list cannot be used"
    HOSTILE_ADVICE = "an engine's load reports and token counts cannot be used"
    CROWD = "a crowd of idle clients"
    """They use up a node's descriptors, and one client pipelines many commands."""
    STREAM_STOPS = "an engine stops in the middle of its streams"
    STREAM_SLOW = "an engine writes its streams slowly"
    STREAM_NO_EVENTS = "an engine writes what is no event"
    READ_LATE = "clients read large answers late"
    MALFORMED_ANSWERS = "an engine's answers cannot be read"
    LONG_ANSWERS = "an engine writes long answers"
    MORE_THAN_ANSWERS = "an engine sends more than its answers"
    REJECTIONS = "an engine rejects requests or fails"
    READS_SLOWLY = "an engine reads its requests slowly"
    """Requests are large meanwhile."""
    WRITE_SLOWLY = "clients write their requests slowly"
    MALFORMED_REQUESTS = "clients send what cannot be read"
    AGENT_FAILS = "discovery fails"
    """Its answers are errors, cannot be read, or break off; it counts as silent meanwhile."""
    UNREACHABLE = "new connections to an engine do not come up"


@dataclass(frozen=True)
class ScheduledFault:
    """One fault, with its target and its time."""

    kind: FaultKind
    target: str
    """The name of an engine or a node; empty: the agent."""
    at: float
    until: float
    amount: float = 0.0
    """Depending on the kind: seconds of a delay or of a clock step; the share of system calls that fail; whether a
    planned restart comes with signals in series (1) or not (0); the number of a hostile value, of a malformed answer or of a
    rejection; seconds of a client's rest.
    """


@dataclass(frozen=True)
class Schedule:
    """The sizes, settings and faults of one soak."""

    seed: int
    seconds: float
    nodes: int
    readers: int
    writers: int
    clients: int
    deadlines_s: tuple[float, ...]
    """Deadlines of the request classes, in the order of `settings.EFFECTS`."""
    release_within_s: float
    fall_multiple: float = 2.5
    """Multiple of its current capacity that an engine in slow start may be sent."""
    cold_from: float = 0.25
    """The share of its capacity that an engine has at its start."""
    quota_per_s: float = 400.0
    """Requests per second that the only tenant may send to all nodes together; slow start assumes no more."""
    mixed: int = 0
    """Number of engines that do both prefill and decode."""
    aim_s: float = 1.0
    """Time within which clients want their first token."""
    may_resume: bool = True
    """Whether clients may ask another node for the rest of a stream that broke."""
    faults: tuple[ScheduledFault, ...] = field(default=())

    @property
    def engines(self) -> tuple[str, ...]:
        roles = {"r": self.readers, "w": self.writers, "m": self.mixed}
        return tuple(f"{role}{number}" for role, count in roles.items() for number in range(count))

    @property
    def node_names(self) -> tuple[str, ...]:
        return tuple(f"n{number}" for number in range(self.nodes))

    def as_json(self) -> dict[str, Any]:
        """Return the schedule as JSON values, for a file."""
        fields = asdict(self)
        fields["faults"] = [{**asdict(fault), "kind": fault.kind.value} for fault in self.faults]
        return fields

    @staticmethod
    def from_json(fields: dict[str, Any]) -> Schedule:
        """Build a schedule from a file's JSON values. Raises KeyError or ValueError if they are not a schedule."""
        faults = tuple(
            ScheduledFault(**{**fault, "kind": FaultKind(fault["kind"])}) for fault in fields["faults"]
        )
        return Schedule(**{**fields, "faults": faults, "deadlines_s": tuple(fields["deadlines_s"])})


_DURATIONS_S = {
    FaultKind.SILENCE_OPEN: (1.0, 4.0),
    FaultKind.SILENCE_MACHINE: (0.5, 4.0),
    FaultKind.CUT_MACHINE: (0.2, 3.0),
    FaultKind.DELAY: (0.5, 3.0),
    FaultKind.RESET: (0.1, 0.1),
    FaultKind.ENGINE_HANGS: (0.5, 4.0),
    FaultKind.ENGINE_STOPS: (0.1, 2.5),
    FaultKind.ENGINE_RESTARTS: (0.2, 2.0),
    FaultKind.DRAIN: (2.0, 5.0),
    FaultKind.AGENT_SILENT: (1.0, 8.0),
    FaultKind.NODE_HELD_UP: (0.05, 0.15),
    FaultKind.NODE_RESTARTS: (4.0, 4.5),
    FaultKind.NODE_KILLED: (0.1, 1.0),
    FaultKind.NODE_RELOADS: (0.5, 1.5),
    FaultKind.CLOCK_STEP: (9.0, 9.0),
    FaultKind.SYSTEM_CALLS: (0.3, 2.0),
    FaultKind.SIGNALS: (0.05, 0.5),
    FaultKind.HOSTILE_LIST: (3.0, 8.0),
    FaultKind.HOSTILE_ADVICE: (1.0, 4.0),
    FaultKind.CROWD: (1.0, 4.0),
    FaultKind.STREAM_STOPS: (1.5, 3.0),
    FaultKind.STREAM_SLOW: (1.5, 3.0),
    FaultKind.STREAM_NO_EVENTS: (1.5, 3.0),
    FaultKind.READ_LATE: (1.0, 4.0),
    FaultKind.MALFORMED_ANSWERS: (1.5, 3.0),
    FaultKind.LONG_ANSWERS: (1.5, 3.0),
    FaultKind.MORE_THAN_ANSWERS: (1.0, 3.0),
    FaultKind.REJECTIONS: (0.5, 3.0),
    FaultKind.READS_SLOWLY: (1.0, 3.0),
    FaultKind.WRITE_SLOWLY: (1.0, 3.0),
    FaultKind.MALFORMED_REQUESTS: (0.1, 0.1),
    FaultKind.AGENT_FAILS: (1.0, 5.0),
    FaultKind.UNREACHABLE: (0.5, 3.0),
}
"""Shortest and longest duration of each kind."""
_NODE_KINDS = frozenset(
    {
        FaultKind.NODE_HELD_UP,
        FaultKind.NODE_RESTARTS,
        FaultKind.NODE_KILLED,
        FaultKind.NODE_RELOADS,
        FaultKind.CLOCK_STEP,
        FaultKind.SYSTEM_CALLS,
        FaultKind.SIGNALS,
        FaultKind.CROWD,
        FaultKind.MALFORMED_REQUESTS,
    }
)
_MULTIPLE_ENGINE_KINDS = frozenset(
    {
        FaultKind.SILENCE_OPEN,
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.DELAY,
        FaultKind.RESET,
    }
)
"""Kinds that affect several engines at the same time."""
ADDED_KINDS = (FaultKind.SIGNALS, FaultKind.HOSTILE_LIST, FaultKind.HOSTILE_ADVICE, FaultKind.CROWD)
"""Kinds that were added later. They are drawn separately from the others, so that the other faults of a seed stay
the same as before.
"""
STREAM_KINDS = (
    FaultKind.STREAM_STOPS,
    FaultKind.STREAM_SLOW,
    FaultKind.STREAM_NO_EVENTS,
    FaultKind.READ_LATE,
)
"""Kinds that affect streams that have begun. They are drawn separately too, for the same reason."""
MESSAGE_KINDS = (
    FaultKind.MALFORMED_ANSWERS,
    FaultKind.LONG_ANSWERS,
    FaultKind.MORE_THAN_ANSWERS,
    FaultKind.REJECTIONS,
    FaultKind.READS_SLOWLY,
    FaultKind.WRITE_SLOWLY,
    FaultKind.MALFORMED_REQUESTS,
    FaultKind.AGENT_FAILS,
    FaultKind.UNREACHABLE,
)
"""Kinds that concern what is in a message, or how it is written and read. They are drawn separately too."""
LATER_KINDS = (*ADDED_KINDS, *STREAM_KINDS, *MESSAGE_KINDS)
"""All kinds that are drawn separately."""
LONGEST_STREAM_S = 7.0
"""Time that a disturbed stream may take to its end; no such fault begins later than this before the soak's end."""
_REST_S = (0.5, 4.0)
_ONCE_PER_NODE = frozenset({FaultKind.NODE_RESTARTS, FaultKind.NODE_KILLED})


def draw(seed: int, seconds: float, nodes: int) -> Schedule:
    """Draw a schedule from a seed. The same seed and sizes give the same schedule."""
    rng = random.Random(f"soak {seed}")
    base = Schedule(
        seed=seed,
        seconds=seconds,
        nodes=nodes,
        readers=rng.randint(2, 4),
        writers=rng.randint(3, 6),
        clients=rng.randint(6, 14),
        deadlines_s=tuple(rng.choice((1.0, 2.0, 4.0, 8.0)) for _ in range(3)),
        release_within_s=rng.choice((0.2, 0.3, 0.5)),
    )
    settings_rng = random.Random(f"platform {seed}")
    base = replace(
        base,
        fall_multiple=settings_rng.choice((1.0, 2.5)),
        cold_from=settings_rng.choice((0.1, 0.25)),
        aim_s=settings_rng.choice((0.5, 1.0, 1.8)),
        mixed=settings_rng.choice((0, 0, 2)),
        quota_per_s=settings_rng.choice((15.0, 60.0, 400.0)),
    )
    faults: list[ScheduledFault] = []
    restarted: set[str] = set()
    for _ in range(max(4, round(seconds / 1.5))):
        kind = rng.choice([candidate for candidate in FaultKind if candidate not in LATER_KINDS])
        begin = rng.uniform(QUIET_S, max(seconds - 2 * QUIET_S, QUIET_S))
        for target in _targets(rng, kind, base):
            if kind in _ONCE_PER_NODE and (target in restarted or restarted.add(target)):  # type: ignore[func-returns-value]
                continue
            shortest, longest = _DURATIONS_S[kind]
            end = min(begin + rng.uniform(shortest, longest), max(seconds - QUIET_S, begin + shortest))
            faults.append(ScheduledFault(kind, target, round(begin, 3), round(end, 3), _amount(rng, kind)))
    faults = [*_with_added_kinds(faults, base), *_stream_faults(base), *_message_faults(base)]
    return replace(base, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _with_added_kinds(faults: list[ScheduledFault], base: Schedule) -> list[ScheduledFault]:
    """Add faults of the kinds in `ADDED_KINDS`, and signals in series to about half of the planned restarts."""
    rng = random.Random(f"added {base.seed}")
    found = [
        replace(fault, amount=float(rng.randint(0, 1))) if fault.kind is FaultKind.NODE_RESTARTS else fault
        for fault in faults
    ]
    for _ in range(max(2, round(base.seconds / 4))):
        kind = rng.choice(ADDED_KINDS)
        begin = rng.uniform(QUIET_S, max(base.seconds - 2 * QUIET_S, QUIET_S))
        end = min(begin + rng.uniform(*_DURATIONS_S[kind]), max(base.seconds - QUIET_S, begin + 0.05))
        target = _targets(rng, kind, base)[0]
        found.append(ScheduledFault(kind, target, round(begin, 3), round(end, 3), float(rng.randint(0, 99))))
    return found


def _stream_faults(base: Schedule) -> list[ScheduledFault]:
    """Draw faults of the kinds in `STREAM_KINDS`, two of each; in a very short soak some are left out."""
    rng = random.Random(f"streams {base.seed}")
    decode_engines = [name for name in base.engines if not name.startswith("r")]
    found = []
    for kind in STREAM_KINDS * 2:
        begin = rng.uniform(QUIET_S, base.seconds - LONGEST_STREAM_S)
        until = begin + rng.uniform(*_DURATIONS_S[kind])
        target, rest_s = rng.choice(decode_engines), rng.uniform(*_REST_S)
        if begin < QUIET_S:
            continue
        if kind is FaultKind.READ_LATE:
            found.append(ScheduledFault(kind, "", round(begin, 3), round(until, 3), round(rest_s, 3)))
        else:
            found.append(ScheduledFault(kind, target, round(begin, 3), round(until, 3)))
    return found


def _message_faults(base: Schedule) -> list[ScheduledFault]:
    """Draw faults of the kinds in `MESSAGE_KINDS`, one of each; in a very short soak some are left out."""
    rng = random.Random(f"messages {base.seed}")
    found = []
    for kind in MESSAGE_KINDS:
        begin = rng.uniform(QUIET_S, base.seconds - LONGEST_STREAM_S)
        until = begin + rng.uniform(*_DURATIONS_S[kind])
        target, number = _target_of_message_fault(rng, kind, base), float(rng.randint(0, 99))
        if begin >= QUIET_S:
            found.append(ScheduledFault(kind, target, round(begin, 3), round(until, 3), number))
    return found


def _target_of_message_fault(rng: random.Random, kind: FaultKind, base: Schedule) -> str:
    if kind in (FaultKind.WRITE_SLOWLY, FaultKind.AGENT_FAILS):
        return ""
    if kind in (FaultKind.MALFORMED_ANSWERS, FaultKind.LONG_ANSWERS):
        return rng.choice([name for name in base.engines if not name.startswith("r")])
    return _targets(rng, kind, base)[0]


def _targets(rng: random.Random, kind: FaultKind, base: Schedule) -> list[str]:
    if kind in (FaultKind.AGENT_SILENT, FaultKind.HOSTILE_LIST):
        return [""]
    if kind in _NODE_KINDS:
        return [rng.choice(base.node_names)]
    if kind in _MULTIPLE_ENGINE_KINDS:
        role = rng.choice(("r", "w", ""))
        candidates = [name for name in base.engines if name.startswith(role)]
        return rng.sample(candidates, rng.randint(1, len(candidates)))
    return [rng.choice(base.engines)]


def _amount(rng: random.Random, kind: FaultKind) -> float:
    if kind is FaultKind.DELAY:
        return round(rng.uniform(0.02, 1.2), 3)
    if kind is FaultKind.CLOCK_STEP:
        return rng.choice((-3600.0, 3600.0, -5.0, 5.0))
    return 0.2 if kind is FaultKind.SYSTEM_CALLS else 0.0
