"""What a node counts of itself: events by name, and violated invariants with the request's steps."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import structlog

from tuliptrack.node.timers import US_PER_MS

__all__ = ["Counters", "InvariantError", "RequestTrace"]

log = structlog.get_logger("invariants")

MAX_TRACE_STEPS = 48
"""Steps of one request that are recorded; beyond it the oldest are left out."""

MAX_RECORDED_VIOLATIONS = 64
"""Violated invariants that are recorded; beyond it the oldest are left out."""


class InvariantError(AssertionError):
    """An invariant was violated; raised only where `Counters.strict` asks for it, as tests do."""


class RequestTrace:
    """The steps of one request, each with the milliseconds since it came. Bound: `MAX_TRACE_STEPS`."""

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
    """Counts by name. Names are few and fixed in the code, so they need no bound."""

    strict: bool = False
    """Raise where an invariant is violated."""
    watchers: list[Callable[[str], None]] = []  # noqa: RUF012  # Shared by design: tests look at every node of a process.
    """Called with each violated invariant."""

    def __init__(self) -> None:
        """Start at zero."""
        self.violations: deque[str] = deque(maxlen=MAX_RECORDED_VIOLATIONS)
        """The latest violated invariants, each with its facts."""
        self._values: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""
        self._values[name] += count

    def violated(self, invariant: str, trace: RequestTrace | None = None, **facts: Any) -> None:
        """Count and log that an invariant does not hold.

        Args:
            invariant: its name.
            trace: the steps of the request concerned.
            **facts: what else is known, for the log.

        Raises:
            InvariantError: where `strict` is set.
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
