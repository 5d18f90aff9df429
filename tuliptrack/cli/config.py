"""`tuliptrack config`: validates a settings file without starting a node."""

from __future__ import annotations

import click

from tuliptrack.cli.errors import load_config

__all__ = ["config"]


@click.group()
def config() -> None:
    """The settings of a node."""


@config.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Validate FILE and print every problem: file, line, field, reason. Exit code 2 where there is any."""
    node_config = load_config(file)
    settings = node_config.settings
    click.echo(
        f"{file}: good: {len(settings.classes)} classes, {len(node_config.kinds)} kinds of server, "
        f"{len(settings.tenants)} tenants, node {settings.replica_index} of {settings.replicas}"
    )
