"""Counts the bytecode operations that a call executes. The count is the same on each machine, so tests can
assert on it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

__all__ = ["count_operations"]


def count_operations(work: Callable[[], object]) -> int:
    """Return the number of bytecode operations in `work` and all that it calls; a sort or other work in C
    counts as one.
    """
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count
