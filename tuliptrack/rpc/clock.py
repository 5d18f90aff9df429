"""The program's one clock."""

from __future__ import annotations

import time

__all__ = ["now_us"]


def now_us() -> int:
    """Monotonic time in whole microseconds."""
    return time.monotonic_ns() // 1000
