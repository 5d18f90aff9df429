"""What goes wrong in a soak, and when: drawn from a seed, written to a file, replayed and shrunk.

All times are seconds since the soak's beginning.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field, replace
from enum import Enum
from typing import Any

__all__ = ["FaultKind", "Schedule", "ScheduledFault", "draw"]

QUIET_S = 1.5
"""At the beginning and at the end nothing goes wrong."""


class FaultKind(Enum):
    """What goes wrong."""

    SILENCE_OPEN = "silence open connections"
    """Connections to an engine that are open now swallow everything; new ones work."""
    SILENCE_MACHINE = "silence a machine"
    """All connections to an engine swallow everything, new ones too."""
    CUT_MACHINE = "cut off a machine"
    """Nothing arrives at an engine until the end, then everything does."""
    DELAY = "delay"
    """Bytes to and from an engine arrive late."""
    RESET = "reset connections"
    """Connections to an engine that are open now are reset."""
    ENGINE_HANGS = "an engine hangs"
    """It takes requests and says nothing."""
    ENGINE_STOPS = "an engine is stopped"
    """SIGSTOP until the end."""
    ENGINE_RESTARTS = "an engine restarts"
    """SIGKILL, and a new process at the end, which is cold."""
    DRAIN = "an engine drains"
    """The list says so until the end."""
    AGENT_SILENT = "discovery is silent"
    NODE_HELD_UP = "a node is held up"
    """SIGSTOP for as long as the platform allows."""
    NODE_RESTARTS = "a planned restart"
    """SIGTERM, SIGKILL as early as it may come, a new process."""
    NODE_KILLED = "a node is killed"
    """SIGKILL, and a new process at the end."""
    NODE_RELOADS = "new configurations in a row"
    """SIGHUP several times, the list's address moving to and fro."""
    CLOCK_STEP = "a node's wall clock is stepped"
    SYSTEM_CALLS = "system calls of a node fail"
    SIGNALS = "signals in series"
    """SIGHUP again and again, each with other settings, before the last reload is through."""
    HOSTILE_LIST = "an entry of the list cannot be used"
    HOSTILE_ADVICE = "an engine's load reports and token counts cannot be used"
    CROWD = "a crowd of idle clients"
    """They fill a node's descriptors, and one sends many commands at once."""


@dataclass(frozen=True)
class ScheduledFault:
    """One thing that goes wrong."""

    kind: FaultKind
    target: str
    """The name of an engine or a node; empty: the list's agent."""
    at: float
    until: float
    amount: float = 0.0
    """Seconds of delay or of a clock's step; the share of system calls that fail; whether a planned restart
    comes with signals in series; the number of a hostile value.
    """


@dataclass(frozen=True)
class Schedule:
    """A whole soak, as it is played."""

    seed: int
    seconds: float
    nodes: int
    readers: int
    writers: int
    clients: int
    deadlines_s: tuple[float, ...]
    """Of the classes, in the order of `settings.EFFECTS`."""
    release_within_s: float
    fall_multiple: float = 2.5
    """How many times its present capacity an engine in slow start bears."""
    cold_from: float = 0.25
    """The part of its capacity that an engine has at its start."""
    quota_per_s: float = 400.0
    """Requests a second that the one tenant may ask of all nodes together; slow start counts on no more."""
    mixed: int = 0
    """Engines that read and write."""
    aim_s: float = 1.0
    """Within which clients wish for their first token."""
    faults: tuple[ScheduledFault, ...] = field(default=())

    @property
    def engines(self) -> tuple[str, ...]:
        kinds = {"r": self.readers, "w": self.writers, "m": self.mixed}
        return tuple(f"{kind}{number}" for kind, count in kinds.items() for number in range(count))

    @property
    def node_names(self) -> tuple[str, ...]:
        return tuple(f"n{n}" for n in range(self.nodes))

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        told = asdict(self)
        told["faults"] = [{**asdict(fault), "kind": fault.kind.value} for fault in self.faults]
        return told

    @staticmethod
    def from_json(told: dict[str, Any]) -> Schedule:
        """From a file; KeyError or ValueError where it is none."""
        faults = tuple(
            ScheduledFault(**{**fault, "kind": FaultKind(fault["kind"])}) for fault in told["faults"]
        )
        return Schedule(**{**told, "faults": faults, "deadlines_s": tuple(told["deadlines_s"])})


_LASTS_S = {
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
}
"""How long each lasts, from and to."""
_OF_NODES = frozenset(
    {
        FaultKind.NODE_HELD_UP,
        FaultKind.NODE_RESTARTS,
        FaultKind.NODE_KILLED,
        FaultKind.NODE_RELOADS,
        FaultKind.CLOCK_STEP,
        FaultKind.SYSTEM_CALLS,
        FaultKind.SIGNALS,
        FaultKind.CROWD,
    }
)
_SEVERAL = frozenset(
    {
        FaultKind.SILENCE_OPEN,
        FaultKind.SILENCE_MACHINE,
        FaultKind.CUT_MACHINE,
        FaultKind.DELAY,
        FaultKind.RESET,
    }
)
"""Those that strike several machines together."""
_ADDED = (FaultKind.SIGNALS, FaultKind.HOSTILE_LIST, FaultKind.HOSTILE_ADVICE, FaultKind.CROWD)
"""Drawn apart from the others, so that a seed still draws the faults that it drew before there were these."""
_ONCE_A_NODE = frozenset({FaultKind.NODE_RESTARTS, FaultKind.NODE_KILLED})


def draw(seed: int, seconds: float, nodes: int) -> Schedule:
    """A soak from a seed: the same seed and sizes give the same schedule."""
    rng = random.Random(f"soak {seed}")
    plain = Schedule(
        seed=seed,
        seconds=seconds,
        nodes=nodes,
        readers=rng.randint(2, 4),
        writers=rng.randint(3, 6),
        clients=rng.randint(6, 14),
        deadlines_s=tuple(rng.choice((1.0, 2.0, 4.0, 8.0)) for _ in range(3)),
        release_within_s=rng.choice((0.2, 0.3, 0.5)),
    )
    platform = random.Random(f"platform {seed}")
    plain = replace(
        plain,
        fall_multiple=platform.choice((1.0, 2.5)),
        cold_from=platform.choice((0.1, 0.25)),
        aim_s=platform.choice((0.5, 1.0, 1.8)),
        mixed=platform.choice((0, 0, 2)),
        quota_per_s=platform.choice((15.0, 60.0, 400.0)),
    )
    faults: list[ScheduledFault] = []
    restarted: set[str] = set()
    for _ in range(max(4, round(seconds / 1.5))):
        kind = rng.choice([one for one in FaultKind if one not in _ADDED])
        begin = rng.uniform(QUIET_S, max(seconds - 2 * QUIET_S, QUIET_S))
        for target in _targets(rng, kind, plain):
            if kind in _ONCE_A_NODE and (target in restarted or restarted.add(target)):  # type: ignore[func-returns-value]
                continue
            least, most = _LASTS_S[kind]
            end = min(begin + rng.uniform(least, most), max(seconds - QUIET_S, begin + least))
            faults.append(ScheduledFault(kind, target, round(begin, 3), round(end, 3), _amount(rng, kind)))
    faults = _with_added(faults, plain)
    return replace(plain, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _with_added(faults: list[ScheduledFault], plain: Schedule) -> list[ScheduledFault]:
    """The faults with those of `_ADDED`, and with signals in series around half of the planned restarts."""
    rng = random.Random(f"added {plain.seed}")
    found = [
        replace(fault, amount=float(rng.randint(0, 1))) if fault.kind is FaultKind.NODE_RESTARTS else fault
        for fault in faults
    ]
    for _ in range(max(2, round(plain.seconds / 4))):
        kind = rng.choice(_ADDED)
        begin = rng.uniform(QUIET_S, max(plain.seconds - 2 * QUIET_S, QUIET_S))
        end = min(begin + rng.uniform(*_LASTS_S[kind]), max(plain.seconds - QUIET_S, begin + 0.05))
        target = _targets(rng, kind, plain)[0]
        found.append(ScheduledFault(kind, target, round(begin, 3), round(end, 3), float(rng.randint(0, 99))))
    return found


def _targets(rng: random.Random, kind: FaultKind, plain: Schedule) -> list[str]:
    if kind in (FaultKind.AGENT_SILENT, FaultKind.HOSTILE_LIST):
        return [""]
    if kind in _OF_NODES:
        return [rng.choice(plain.node_names)]
    if kind in _SEVERAL:
        role = rng.choice(("r", "w", ""))
        struck = [name for name in plain.engines if name.startswith(role)]
        return rng.sample(struck, rng.randint(1, len(struck)))
    return [rng.choice(plain.engines)]


def _amount(rng: random.Random, kind: FaultKind) -> float:
    if kind is FaultKind.DELAY:
        return round(rng.uniform(0.02, 1.2), 3)
    if kind is FaultKind.CLOCK_STEP:
        return rng.choice((-3600.0, 3600.0, -5.0, 5.0))
    return 0.2 if kind is FaultKind.SYSTEM_CALLS else 0.0
