"""The clocks of the program: monotonic time, and the wall clock where it is unavoidable."""

from __future__ import annotations

import time

__all__ = ["now_us", "wall_us"]


def now_us() -> int:
    """Return the monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Return the microseconds since 1970 by the wall clock, which may be stepped at any time.

    It is used only for the single reading that a span is counted from, and for output to people. Nothing else
    in the program reads the wall clock.
    """
    return time.time_ns() // 1000
