"""Structured logging on standard error, as JSON lines or for people."""

from __future__ import annotations

import logging
import sys

import structlog

__all__ = ["set_up"]


def set_up(json_lines: bool, quiet: bool = False, colours: bool | None = None) -> None:
    """Configure structlog for the process; `quiet` keeps warnings and worse; `colours` None: on a terminal."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer() if json_lines else structlog.dev.ConsoleRenderer(
            colors=sys.stderr.isatty() if colours is None else colours, exception_formatter=structlog.dev.plain_traceback))
    chain: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
    if json_lines:
        chain.append(structlog.processors.format_exc_info)
    structlog.configure(
        processors=[*chain, renderer], cache_logger_on_first_use=True,
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING if quiet else logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr))
