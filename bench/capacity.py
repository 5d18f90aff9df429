"""Measures the cost of each process role by fleet size.

`measure` writes a result file; `render` puts its tables into `docs/CAPACITY.md`. Not part of CI.
Usage: python bench/capacity.py measure --json bench/capacity.json; python bench/capacity.py render
"""

from __future__ import annotations

import asyncio
import platform
import subprocess
import sys
from pathlib import Path
from typing import Any

import click

from tuliptrack.lab.capacity import control, node, processes
from tuliptrack.lab.capacity.page import page_with_tables, read_fleets
from tuliptrack.lab.capacity.results import ResultError, Results
from tuliptrack.lab.capacity.yardstick import Yardstick
from tuliptrack.node.logs import set_up
from tuliptrack.routing.router import Router

ROOT = Path(__file__).resolve().parents[1]
UNITS = {
    "list": "yardsticks",
    "change": "yardsticks",
    "zone": "yardsticks",
    "decision": "yardsticks",
    "list.bytes": "bytes",
    "change.bytes": "bytes",
    "list.operations": "operations",
    "change.operations": "operations",
    "decision.operations": "operations",
    "connection": "share",
    "memory": "bytes",
    "process": "bytes",
    "record": "bytes",
    "takeover": "bytes",
    "look": "bytes",
    "controller": "share of a core",
    "controller.memory": "bytes",
    "controller.looks_per_s": "1/s",
    "agent": "share of a core",
    "agent.memory": "bytes",
    "watch": "bytes/s",
    "watch.calls_per_s": "1/s",
    "watch.core_share": "share of a core",
}
# Numbers of concurrent streams, tenants and prefixes at which the router's memory is measured.
STATE_SIZES: dict[str, Any] = {
    "streams": (35, 70, 140, 280, 560),
    "tenants": (50, 150, 450, 1_000),
    "prefixes": (100, 500, 1_500, 5_000),
}
BEFORE = "before."  # prefix of the series of the `--before` router, measured in the same run


def parse_sizes(option: str, text: str, lowest: int, highest: int) -> tuple[int, ...]:
    """Parses sizes such as `1,2,3,4`; raises a UsageError that quotes invalid input."""
    try:
        sizes = tuple(sorted({int(part) for part in text.split(",")}))
    except ValueError:
        raise click.UsageError(
            f"{option}: must be whole numbers separated by commas, got {text[:60]!r}"
        ) from None
    if len(sizes) < 4:
        raise click.UsageError(f"{option}: at least four are needed for a fit, got {len(sizes)}")
    if sizes[0] < lowest or sizes[-1] > highest:
        raise click.UsageError(f"{option}: must lie in [{lowest}, {highest}], got {text[:60]!r}")
    return sizes


def load_router(path: str) -> node.RouterFactory:
    """Loads the Router class of a package folder that has a module `routing/router.py`."""
    folder = Path(path).resolve()
    if not (folder / "routing" / "router.py").is_file():
        raise click.UsageError(f"--before: {path!r} holds no routing/router.py")
    sys.path.insert(0, str(folder.parent))
    module = __import__(f"{folder.name}.routing.router", fromlist=["Router"])
    router_class: node.RouterFactory = module.Router
    return router_class


@click.group()
def main() -> None:
    """Cost of each process role by fleet size."""


@main.command()
@click.option("--sizes", default="100,190,425,850,1700,3400", help="Engines.")
@click.option("--hosts", default="25,50,100,200,350", help="Hosts of a controller.")
@click.option(
    "--json", "path", required=True, type=click.Path(dir_okay=False, path_type=Path), help="The result file."
)
@click.option(
    "--before", default="", help="Package folder of another router, measured in addition to this one."
)
def measure(sizes: str, hosts: str, path: Path, before: str) -> None:
    """Measure every role and write the result file."""
    set_up(json_lines=False, quiet=True)
    engine_counts, host_counts = (
        parse_sizes("--sizes", sizes, 12, 10_000),
        parse_sizes("--hosts", hosts, 3, 1_000),
    )
    results = Results(
        python=platform.python_version(),
        command=_command(sizes, hosts, before),
        commit=_commit(),
    )
    by_engines = node.NodeCosts()
    yardstick = Yardstick()
    if before:
        other_router_class = load_router(before)
        node.measure_lists(other_router_class, engine_counts, yardstick, by_engines, BEFORE)
        node.measure_decisions(other_router_class, engine_counts, yardstick, by_engines, BEFORE)
    click.echo("lists and decisions ...", err=True)
    node.measure_lists(Router, engine_counts, yardstick, by_engines)
    node.measure_decisions(Router, engine_counts, yardstick, by_engines)
    click.echo("memory ...", err=True)
    node.measure_memory(Router, engine_counts, by_engines)
    asyncio.run(processes.measure_node_memory(engine_counts, by_engines))
    costs_by_state = {name: node.NodeCosts() for name in STATE_SIZES}
    node.measure_kept_state(Router, engine_counts[-1], costs_by_state, STATE_SIZES)
    click.echo("controllers, agents, watches ...", err=True)
    by_hosts, fixed_costs = node.NodeCosts(), node.NodeCosts()
    asyncio.run(control.measure_control(host_counts, by_hosts))
    asyncio.run(processes.measure_agent(fixed_costs))
    asyncio.run(processes.measure_watches(fixed_costs))
    for costs, size_name in (
        (by_engines, "engines"),
        (by_hosts, "hosts"),
        (fixed_costs, "one"),
        *((costs, name) for name, costs in costs_by_state.items()),
    ):
        for series in costs.series(_unit, size_name):
            results.add(series)
    results.yardstick_us = yardstick.median_us
    results.write(path)


def _command(sizes: str, hosts: str, before: str) -> str:
    """Returns the command line of this run without the path of the result file."""
    before_option = f" --before {before}" if before else ""
    return f"python bench/capacity.py measure --sizes {sizes} --hosts {hosts}{before_option}"


def _unit(name: str) -> str:
    name = name.removeprefix(BEFORE)
    return UNITS.get(name) or UNITS[name.partition(".")[0]]


def _commit() -> str:
    git_log = subprocess.run(["git", "log", "-1", "--format=%h"], capture_output=True, text=True, cwd=ROOT)
    return git_log.stdout.strip() or "unknown"


@main.command()
@click.option("--json", "path", default=ROOT / "bench" / "capacity.json", type=click.Path(path_type=Path))
@click.option("--page", default=ROOT / "docs" / "CAPACITY.md", type=click.Path(path_type=Path))
def render(path: Path, page: Path) -> None:
    """Put the tables of a result file into the page."""
    try:
        fleets = read_fleets(sorted(path.parent.glob("fleet-*.json")))
        page.write_text(page_with_tables(page.read_text(), Results.read(path), fleets))
    except (ResultError, OSError) as error:
        raise click.UsageError(f"--json: {error}") from None


if __name__ == "__main__":
    main()
