"""The program's one clock."""

from __future__ import annotations

import time

__all__ = ["now_us", "wall_us"]


def now_us() -> int:
    """Monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Microseconds since 1970 by the machine's clock, which may be stepped at any time: for the one reading
    that a span is counted from, and for what people read. Nothing else in the program reads that clock.
    """
    return time.time_ns() // 1000
