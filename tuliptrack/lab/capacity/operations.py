"""How many bytecode operations a call executes: exact, the same on each machine, and so fit for a test."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

__all__ = ["count_operations"]


def count_operations(work: Callable[[], object]) -> int:
    """Operations of the interpreter in `work` and all that it calls; sorts and other work in C count as one
    each.
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
