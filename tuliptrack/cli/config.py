"""`tuliptrack config`: look at settings without serving."""

from __future__ import annotations

import click

from tuliptrack.cli.errors import load_config

__all__ = ["config"]


@click.group()
def config() -> None:
    """Settings of a node."""


@config.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check FILE and print every problem: file, line, field, reason. Exit code 2 where there is one."""
    found = load_config(file)
    s = found.settings
    click.echo(
        f"{file}: good: {len(s.classes)} classes, {len(found.kinds)} kinds of server, {len(s.tenants)} tenants, "
        f"node {s.replica_index} of {s.replicas}"
    )
