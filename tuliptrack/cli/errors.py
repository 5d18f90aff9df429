"""Errors of the command line: a message without a traceback, and exit code 2."""

from __future__ import annotations

from pathlib import Path

import click

from tuliptrack.config.node import NodeConfig, load
from tuliptrack.config.textformat import ConfigError

__all__ = ["BadFile", "load_config"]


class BadFile(click.ClickException):
    """A file that is invalid or can't be read; the message has one problem a line."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(self.message, err=True)


def load_config(path: str | Path) -> NodeConfig:
    """Read a node's settings; BadFile where they are invalid."""
    try:
        return load(path)
    except ConfigError as error:
        raise BadFile(str(error)) from None
