"""Errors of the command line: one clear text, exit code 2, no traceback."""

from __future__ import annotations

from pathlib import Path

import click

from tuliptrack.config.node import NodeConfig, load
from tuliptrack.config.textformat import ConfigError

__all__ = ["BadFile", "load_config"]


class BadFile(click.ClickException):
    """A file that can't be used; every problem on a line of its own."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(self.message, err=True)


def load_config(path: str | Path) -> NodeConfig:
    """Read a node's settings for a command."""
    try:
        return load(path)
    except ConfigError as error:
        raise BadFile(str(error)) from None
