"""The command line `tuliptrack`; each subcommand is in a module of its own."""

from __future__ import annotations

import click

from tuliptrack.cli.agent import agent
from tuliptrack.cli.bills import bills
from tuliptrack.cli.call import call
from tuliptrack.cli.config import config
from tuliptrack.cli.fleet import fleet
from tuliptrack.cli.lab import lab
from tuliptrack.cli.report import report
from tuliptrack.cli.serve import serve

__all__ = ["main"]


@click.group()
@click.version_option(package_name="tuliptrack")
def main() -> None:
    """A router for language-model serving with separate prefill and decode engines."""


main.add_command(serve)
main.add_command(config)
main.add_command(call)
main.add_command(lab)
main.add_command(report)
main.add_command(bills)
main.add_command(fleet)
main.add_command(agent)
