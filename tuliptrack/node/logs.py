"""Structured logging on standard error, as JSON lines or as human-readable text."""

from __future__ import annotations

import logging
import sys
from typing import TextIO, cast

import structlog

from tuliptrack.node.log_output import CLOSED, LogOutput

__all__ = ["lines_lost", "set_up"]

STANDARD_ERROR = 2

_outputs: list[LogOutput] = []
"""The output that `set_up` created last, if any."""


def set_up(json_lines: bool, quiet: bool = False, colours: bool | None = None) -> None:
    """Configure structlog for the process.

    Args:
        json_lines: whether to log JSON, one object per line, instead of text.
        quiet: whether to log only warnings and errors.
        colours: whether text has colours; if None, it has them only on a terminal.
    """
    processors: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if json_lines:
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(_text_renderer(_is_on_terminal() if colours is None else colours))
    structlog.configure(
        processors=processors,
        cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING if quiet else logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=_output()),
    )


def lines_lost() -> int:
    """Return how many lines could not be written since `set_up`."""
    return sum(output.lost for output in _outputs)


def _text_renderer(colours: bool) -> structlog.typing.Processor:
    formatter = structlog.dev.plain_traceback
    return structlog.dev.ConsoleRenderer(colors=colours, exception_formatter=formatter)


def _output() -> TextIO:
    """Return a writer on the descriptor of standard error, or the stream that has replaced it."""
    if sys.stderr is not None and sys.stderr is not sys.__stderr__:
        return sys.stderr
    output = LogOutput(STANDARD_ERROR if sys.stderr else CLOSED)
    _outputs[:] = [output]
    return cast(TextIO, output)


def _is_on_terminal() -> bool:
    return sys.stderr is not None and sys.stderr.isatty()
