"""Counters of a node: events by name, and violated invariants with the steps of the request concerned."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import structlog

from tuliptrack.node.timers import US_PER_MS

__all__ = ["Counters", "InvariantError", "RequestTrace"]

log = structlog.get_logger("invariants")

MAX_TRACE_STEPS = 48
"""Maximum number of recorded steps per request; beyond it, the oldest steps are dropped."""

MAX_RECORDED_VIOLATIONS = 64
"""Maximum number of recorded violations; beyond it, the oldest violations are dropped."""


class InvariantError(AssertionError):
    """An invariant was violated; raised only if `Counters.strict` is set, as tests do."""


class RequestTrace:
    """The steps of one request, each with the milliseconds since its arrival; at most `MAX_TRACE_STEPS`."""

    __slots__ = ("_began_at_us", "_steps")

    def __init__(self, began_at_us: int) -> None:
        """Start without steps; times are monotonic microseconds."""
        self._began_at_us = began_at_us
        self._steps: deque[tuple[int, str]] = deque(maxlen=MAX_TRACE_STEPS)

    def add(self, now_us: int, step: str) -> None:
        """Record a step."""
        self._steps.append((now_us - self._began_at_us, step))

    def __str__(self) -> str:
        return " | ".join(f"{elapsed_us / US_PER_MS:.1f} {step}" for elapsed_us, step in self._steps)


class Counters:
    """Counters by name. Their number needs no bound, because names are few and fixed in the code."""

    strict: bool = False
    """Whether to raise `InvariantError` when an invariant is violated."""
    watchers: list[Callable[[str], None]] = []  # noqa: RUF012  # Shared by design: tests watch every node of a process.
    """Functions that are called with the text of each violated invariant."""

    def __init__(self) -> None:
        """Start with every count at zero."""
        self.violations: deque[str] = deque(maxlen=MAX_RECORDED_VIOLATIONS)
        """The latest violated invariants, each with the fields that were logged."""
        self._values: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""
        self._values[name] += count

    def record_violation(self, invariant: str, trace: RequestTrace | None = None, **facts: Any) -> None:
        """Count and log a violated invariant.

        Args:
            invariant: the name of the invariant.
            trace: the steps of the request concerned.
            **facts: further fields for the log.

        Raises:
            InvariantError: if `strict` is set.
        """
        self.add(f"violations_{invariant}")
        log.error("invariant violated", invariant=invariant, steps=str(trace or ""), **facts)
        text = f"{invariant}: {facts} {trace or ''}"
        self.violations.append(text)
        for watcher in self.watchers:
            watcher(text)
        if self.strict:
            raise InvariantError(text)

    def as_dict(self) -> dict[str, int]:
        """Return all counts, ordered by name."""
        return dict(sorted(self._values.items()))
