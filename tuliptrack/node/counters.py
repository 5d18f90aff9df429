"""What a node counts of itself, for operators: events by name, and broken invariants with the request's own
history.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import structlog

__all__ = ["Counters", "InvariantError", "RequestTrace"]

log = structlog.get_logger("invariants")
_MOST_STEPS = 48  # of one request's history; then the oldest are left out
_MOST_KEPT = 64  # broken invariants that are kept for a look


class InvariantError(AssertionError):
    """An invariant was broken; raised only where `Counters.strict` asks for it, as tests do."""


class RequestTrace:
    """The history of one request: what happened, with milliseconds since it came. Bound: `_MOST_STEPS`."""

    __slots__ = ("_began", "_steps")

    def __init__(self, began: int) -> None:
        self._began = began
        self._steps: deque[tuple[int, str]] = deque(maxlen=_MOST_STEPS)

    def add(self, now: int, step: str) -> None:
        """Note a step; `now` in monotonic microseconds."""
        self._steps.append((now - self._began, step))

    def __str__(self) -> str:
        return " | ".join(f"{at / 1000:.1f} {step}" for at, step in self._steps)


class Counters:
    """Counts by name. Names are few and fixed in the code, so they need no bound."""

    strict: bool = False
    """Raise where an invariant is broken."""
    watchers: list[Callable[[str], None]] = []  # noqa: RUF012  # Shared by design: tests look at every node of a process.
    """Called with each broken invariant."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self.broken: deque[str] = deque(maxlen=_MOST_KEPT)

    def add(self, name: str, count: int = 1) -> None:
        """Count an event."""
        self.values[name] += count

    def violated(self, invariant: str, trace: RequestTrace | None = None, **facts: Any) -> None:
        """An invariant does not hold: it is counted and logged, with the request's history."""
        self.add(f"violations_{invariant}")
        log.error("invariant violated", invariant=invariant, steps=str(trace or ""), **facts)
        text = f"{invariant}: {facts} {trace or ''}"
        self.broken.append(text)
        for watcher in self.watchers:
            watcher(text)
        if self.strict:
            raise InvariantError(text)

    def as_dict(self) -> dict[str, int]:
        """All counts by name, in order."""
        return dict(sorted(self.values.items()))
