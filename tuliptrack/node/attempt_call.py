"""The handle through which the core controls an attempt in flight, implemented by each engine protocol."""

from __future__ import annotations

from typing import Protocol

from tuliptrack.interface import Status
from tuliptrack.node.attempt_state import Delivery

__all__ = ["AttemptCall"]


class AttemptCall(Protocol):
    """An attempt in flight at an engine."""

    def cancel(self, status: Status) -> None:
        """Cancel the attempt: the engine sees its connection or stream close.

        The core is notified at once through `Core.attempt_ended`, with `status` as the result.
        """

    def delivery(self) -> Delivery:
        """Return what this node knows about the delivery of the attempt."""

    def confirm_arrival(self) -> None:
        """Check whether the attempt has arrived; called when the lease of its KV state expires soon."""

    def mark_doubtful(self) -> None:
        """Treat the attempt's connection and host, silent for too long, as unreliable until they answer."""

    def sample_unread(self) -> bool:
        """Return whether output of the engine waits to be read, because the attempt is paused.

        It has to be called regularly during a pause, and before `resume`, as it also dates what has arrived
        since the last call.
        """

    def pause(self) -> None:
        """Stop reading the answer until `resume` is called."""

    def resume(self) -> None:
        """Resume reading the answer."""
