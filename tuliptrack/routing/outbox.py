"""The actions of one call of `Router.handle`, in order, and the conditions that operators are told of."""

from __future__ import annotations

from tuliptrack.interface import Action, LogMessage

__all__ = ["Outbox"]


class Outbox:
    """Collects actions. Bound: one entry for each condition that holds now."""

    def __init__(self) -> None:
        self.actions: list[Action] = []
        self.conditions: set[str] = set()
        """Conditions that were announced and have not ended."""

    def start_batch(self) -> list[Action]:
        """Begin a new list of actions and return it."""
        self.actions = []
        return self.actions

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)

    def log(self, text: str) -> None:
        """Append a line for the operators."""
        self.add(LogMessage(text))

    def announce(self, condition: str, is_active: bool) -> None:
        """Log a condition once when it begins and once when it ends."""
        if is_active != (condition in self.conditions):
            self.conditions ^= {condition}
            self.log(f"{condition}: {'begins' if is_active else 'ends'}")

    def forget(self, *conditions: str) -> None:
        """Drop conditions whose subject is gone, without a line."""
        self.conditions -= set(conditions)
