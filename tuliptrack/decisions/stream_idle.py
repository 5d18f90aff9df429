"""Decides when a stream whose answer has begun is ended, because its engine or its client has stopped.

Fronts and engine clients report what happens to a stream; `StreamActivity` is the only place that says which
output counts, and from when the idle time runs. All times are monotonic microseconds.

- Only events count: output that carries a part of the answer, up to the end marker. An engine that hangs may
  send comments, fields without data or the pieces of an event for ever, and its client would wait as long.
- The idle time runs from the arrival of the last event at this machine, not from when it was read or from
  when the client last made room for it: a pause of the client must not give a dead engine more time.
- While the client pauses, idle time is not held against an engine whose output waits here unread. After such
  a pause the engine gets `catch_up_us` once, since its connection may have had no room for more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["OutputKind", "StreamActivity", "StreamLimits", "StreamVerdict"]


class OutputKind(Enum):
    """What a part of an engine's output is, with regard to the idle time."""

    EVENT = "event"
    """It holds a part of the answer."""
    LAST_EVENT = "last event"
    """It holds the end marker: what follows is no part of the answer."""
    NO_EVENT = "no event"
    """It is forwarded, but holds no part of the answer."""


class StreamVerdict(Enum):
    """Whether a stream goes on, or the reason for its end."""

    CONTINUES = "continues"
    ENGINE_IDLE = "the engine fell silent mid-stream"
    CLIENT_STALLED = "the client leaves its answer unread"


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Time limits of streams that have begun."""

    max_idle_us: int = 15_000_000
    """Maximum time since the last event."""
    max_client_stall_us: int = 30_000_000
    """Maximum time for which a client may leave its answer unread."""
    catch_up_us: int = 500_000
    """Minimum time after a pause for output that the pause has held up."""
    recheck_us: int = 250_000
    """Interval of the checks during a pause, when the verdict depends on what waits unread."""


@dataclass(slots=True)
class StreamActivity:
    """What has happened to the stream of one request. A time of 0 means never."""

    last_event_at_us: int = 0
    last_output_at_us: int = 0
    last_byte_at_us: int = 0
    is_over: bool = False
    """Whether the end marker has arrived."""
    paused_at_us: int = 0
    """When the client stopped reading; 0 while it reads."""
    pause_count: int = 0
    _paused_before_us: int = 0
    """Duration of the pauses that are over."""
    _catch_up_until_us: int = 0
    _has_caught_up: bool = True
    """Whether an event has arrived since the last catch-up time began. Until one has, there is no further
    catch-up time, which pauses in a row would else make endless."""

    def bytes_arrived(self, arrived_at_us: int) -> None:
        """Note that the engine sent anything at all."""
        self.last_byte_at_us = max(self.last_byte_at_us, arrived_at_us)

    def output_arrived(self, kind: OutputKind, arrived_at_us: int) -> None:
        """Note output for the client."""
        self.bytes_arrived(arrived_at_us)
        self.last_output_at_us = max(self.last_output_at_us, arrived_at_us)
        if kind is OutputKind.NO_EVENT or self.is_over:
            return
        self.is_over = kind is OutputKind.LAST_EVENT
        self.last_event_at_us = max(self.last_event_at_us, arrived_at_us)
        self._has_caught_up = True

    def pause(self, now_us: int) -> None:
        """Note that the client accepts no more for now."""
        if not self.paused_at_us:
            self.paused_at_us = now_us
            self.pause_count += 1

    def resume(self, now_us: int, limits: StreamLimits, has_unread: bool) -> None:
        """Note that the client reads again; `has_unread`: whether output waits that the pause has held up."""
        self._paused_before_us += now_us - self.paused_at_us
        self.paused_at_us = 0
        if has_unread and self._has_caught_up:
            self._has_caught_up = False
            self._catch_up_until_us = now_us + limits.catch_up_us

    def paused_us(self, now_us: int) -> int:
        """Return for how long the client has not read, in all."""
        return self._paused_before_us + (now_us - self.paused_at_us if self.paused_at_us else 0)

    def verdict(self, now_us: int, limits: StreamLimits, has_unread: bool) -> StreamVerdict:
        """Decide whether the stream goes on.

        Args:
            now_us: the current time.
            limits: the limits of the node.
            has_unread: whether output of the engine waits at this machine to be read.
        """
        if self.paused_at_us and now_us >= self.paused_at_us + limits.max_client_stall_us:
            return StreamVerdict.CLIENT_STALLED
        if now_us < self._idle_at_us(limits) or (self.paused_at_us and has_unread):
            return StreamVerdict.CONTINUES
        return StreamVerdict.ENGINE_IDLE

    def check_at_us(self, now_us: int, limits: StreamLimits) -> int:
        """Return when to ask for the verdict, unless the client pauses or resumes the stream before."""
        if not self.paused_at_us:
            return self._idle_at_us(limits)
        stalled_at_us = self.paused_at_us + limits.max_client_stall_us
        return min(stalled_at_us, now_us + limits.recheck_us)

    def _idle_at_us(self, limits: StreamLimits) -> int:
        """Return when the engine has been idle for too long, unless another event arrives."""
        return max(self.last_event_at_us + limits.max_idle_us, self._catch_up_until_us)
