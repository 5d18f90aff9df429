"""The actions that one call of `Router.handle` returns, and the conditions that are logged for operators."""

from __future__ import annotations

from tuliptrack.interface import Action, LogMessage

__all__ = ["Outbox"]


class Outbox:
    """Collects actions, and keeps one entry for each condition that is currently active."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.conditions: set[str] = set()
        """Active conditions: those whose beginning was logged, and whose end was not logged yet."""

    def start_batch(self) -> list[Action]:
        """Begin a new list of actions and return it."""
        self.actions = []
        return self.actions

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Append a log line for operators."""
        self.add(LogMessage(text))

    def announce(self, condition: str, is_active: bool) -> None:
        """Log a condition when it begins and when it ends, but not while it is unchanged."""
        if is_active != (condition in self.conditions):
            self.conditions ^= {condition}
            self.log(f"{condition}: {'begins' if is_active else 'ends'}")

    def forget(self, *conditions: str) -> None:
        """Drop conditions whose subject no longer exists, without a log line."""
        self.conditions -= set(conditions)
