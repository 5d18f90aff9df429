"""When a stopping node does what, in seconds after SIGTERM.

The platform excuses what SIGKILL finds unanswered only if it arrived within `EXCUSED_AFTER_SIGTERM_S` of
SIGTERM. What arrives later has to be rejected, or to end before the earliest SIGKILL:

- If clients can resume streams, requests are served until shortly before SIGKILL. Then their streams are
  ended while their clients can still ask another node for the rest.
- If they cannot, a stream has to be forwarded to its end, and no node knows whether its engine will end it in
  time. So requests are rejected from the end of the excused time on, when a retry at another node is
  harmless. What was taken before is served to its end, as SIGKILL may come much later than at the earliest.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ShutdownSchedule"]

EXCUSED_AFTER_SIGTERM_S = 0.7
"""Time after SIGTERM within which the platform excuses requests that SIGKILL finds unanswered."""
MAX_SIGNAL_DELAY_S = 0.15
"""Time for which a process may be held up before it handles a signal."""
MIGRATE_BEFORE_KILL_S = 1.1
"""Time before the earliest SIGKILL at which streams are migrated and new requests begin to be rejected."""
CONCLUDE_BEFORE_KILL_S = 0.5
"""Time before the earliest SIGKILL at which requests that are not excused get their final answers."""
MAX_STREAM_S = 600.0
"""Time that a stream may go on after the earliest SIGKILL if it cannot be resumed: an engine that never ends
its stream must not keep the process forever."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The schedule of one shutdown. All times but `grace_s` are in seconds after SIGTERM."""

    reject_after_s: float
    """New requests are rejected from then on, and each answer closes its connection. Streams that can be
    resumed are migrated then."""
    excused_until_s: float
    """Requests that arrived before may be left unanswered at SIGKILL."""
    conclude_after_s: float
    """Requests that are not excused get their final answers then, if their streams can be resumed."""
    close_after_s: float
    """SIGKILL may come from then on. Connections without a request are closed, and the node ends with its
    last request."""
    grace_s: float
    """Time that requests may take to end after `close_after_s`."""

    @classmethod
    def plan(cls, may_resume: bool, kill_after_s: float, grace_s: float) -> ShutdownSchedule:
        """Plan a shutdown.

        Args:
            may_resume: Whether clients can resume streams.
            kill_after_s: The earliest time of SIGKILL.
            grace_s: Time that requests may take to end after that, if their streams can be resumed.
        """
        excused_until_s = EXCUSED_AFTER_SIGTERM_S - MAX_SIGNAL_DELAY_S
        migrate_after_s = max(kill_after_s - MIGRATE_BEFORE_KILL_S, 0.0)
        return cls(
            reject_after_s=migrate_after_s if may_resume else min(excused_until_s, migrate_after_s),
            excused_until_s=excused_until_s,
            conclude_after_s=max(kill_after_s - CONCLUDE_BEFORE_KILL_S, 0.0),
            close_after_s=kill_after_s,
            grace_s=grace_s if may_resume else max(grace_s, MAX_STREAM_S),
        )
