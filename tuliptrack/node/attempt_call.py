"""The handle of an attempt in flight, as the protocol that carries it gives it to the core."""

from __future__ import annotations

from typing import Protocol

from tuliptrack.interface import Status
from tuliptrack.node.attempt_state import Delivery

__all__ = ["AttemptCall"]


class AttemptCall(Protocol):
    """An attempt in flight at an engine."""

    def cancel(self, status: Status) -> None:
        """Give the attempt up: the engine sees its connection or stream end.

        The core hears of the end, as `status`, at once through `Core.attempt_ended`.
        """

    def delivery(self) -> Delivery:
        """Return how far the attempt has come, as far as this node can know."""

    def confirm_arrival(self) -> None:
        """Find out whether the attempt has arrived, since the lease of its KV state ends soon."""

    def mark_doubtful(self) -> None:
        """Do not rely on its connection and its host, silent for too long, until they answer."""

    def pause(self) -> None:
        """Read no more of the answer for now."""

    def resume(self) -> None:
        """Read the answer again."""
