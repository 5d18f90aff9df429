"""Structured logging on standard error, as JSON lines or for people."""

from __future__ import annotations

import logging
import sys
from typing import TextIO, cast

import structlog

from tuliptrack.node.log_output import LogOutput

__all__ = ["lines_lost", "set_up"]

_STANDARD_ERROR = 2
_outputs: list[LogOutput] = []
"""The one that `set_up` made last, if it made any."""


def set_up(json_lines: bool, quiet: bool = False, colours: bool | None = None) -> None:
    """Configure structlog for the process; `quiet` keeps warnings and worse; `colours` None: on a
    terminal.
    """
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if json_lines
        else structlog.dev.ConsoleRenderer(
            colors=_on_a_terminal() if colours is None else colours,
            exception_formatter=structlog.dev.plain_traceback,
        )
    )
    chain: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if json_lines:
        chain.append(structlog.processors.format_exc_info)
    structlog.configure(
        processors=[*chain, renderer],
        cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING if quiet else logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=_output()),
    )


def _output() -> TextIO:
    """Standard error, by its descriptor; what took its place in this process, if anything has."""
    if sys.stderr is not None and sys.stderr is not sys.__stderr__:
        return sys.stderr
    _outputs[:] = [LogOutput(_STANDARD_ERROR if sys.stderr else -1)]
    return cast(TextIO, _outputs[0])


def lines_lost() -> int:
    """Lines that could not be written since `set_up`."""
    return sum(output.lost for output in _outputs)


def _on_a_terminal() -> bool:
    return sys.stderr is not None and sys.stderr.isatty()
