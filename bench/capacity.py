"""What each role costs at a size: `measure` writes a result file, `render` puts its tables into
`docs/CAPACITY.md`.

Not in CI. Usage: python bench/capacity.py measure --json bench/capacity.json; python bench/capacity.py render
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
REMEMBERED: dict[str, Any] = {
    "streams": (35, 70, 140, 280, 560),
    "tenants": (50, 150, 450, 1_000),
    "prefixes": (100, 500, 1_500, 5_000),
}
BEFORE = "before."  # of the series of another router, measured in the same run


def sizes_of(option: str, text: str, least: int, most: int) -> tuple[int, ...]:
    """Sizes from `1,2,3`; a UsageError names what can't be one."""
    try:
        sizes = tuple(sorted({int(part) for part in text.split(",")}))
    except ValueError:
        raise click.UsageError(
            f"{option}: must be whole numbers with commas between, is {text[:60]!r}"
        ) from None
    if len(sizes) < 4:
        raise click.UsageError(f"{option}: at least four are needed for a fit, got {len(sizes)}")
    if sizes[0] < least or sizes[-1] > most:
        raise click.UsageError(f"{option}: must lie in [{least}, {most}], got {text[:60]!r}")
    return sizes


def other_router(path: str) -> node.Maker:
    """The Router of a package folder with a module `routing/router.py`."""
    folder = Path(path).resolve()
    if not (folder / "routing" / "router.py").is_file():
        raise click.UsageError(f"--before: {path!r} holds no routing/router.py")
    sys.path.insert(0, str(folder.parent))
    module = __import__(f"{folder.name}.routing.router", fromlist=["Router"])
    made: node.Maker = module.Router
    return made


@click.group()
def main() -> None:
    """What each role costs at a size."""


@main.command()
@click.option("--sizes", default="100,190,425,850,1700,3400", help="Engines.")
@click.option("--hosts", default="25,50,100,200,350", help="Hosts of a controller.")
@click.option(
    "--json", "path", required=True, type=click.Path(dir_okay=False, path_type=Path), help="The result file."
)
@click.option(
    "--before", default="", help="Package folder of another router, measured beside the program's own."
)
def measure(sizes: str, hosts: str, path: Path, before: str) -> None:
    """Measure every role and write the result file."""
    set_up(json_lines=False, quiet=True)
    engines, controlled = sizes_of("--sizes", sizes, 12, 10_000), sizes_of("--hosts", hosts, 3, 1_000)
    results = Results(
        python=platform.python_version(),
        command=_command(sizes, hosts, before),
        commit=_commit(),
    )
    by_engines = node.NodeCosts()
    yardstick = Yardstick()
    if before:
        other = other_router(before)
        node.measure_lists(other, engines, yardstick, by_engines, BEFORE)
        node.measure_decisions(other, engines, yardstick, by_engines, BEFORE)
    click.echo("lists and decisions ...", err=True)
    node.measure_lists(Router, engines, yardstick, by_engines)
    node.measure_decisions(Router, engines, yardstick, by_engines)
    click.echo("memory ...", err=True)
    node.measure_memory(Router, engines, by_engines)
    asyncio.run(processes.measure_node_memory(engines, by_engines))
    remembered = {name: node.NodeCosts() for name in REMEMBERED}
    node.measure_remembered(Router, engines[-1], remembered, REMEMBERED)
    click.echo("controllers, agents, watches ...", err=True)
    by_hosts, single = node.NodeCosts(), node.NodeCosts()
    asyncio.run(control.measure_control(controlled, by_hosts))
    asyncio.run(processes.measure_agent(single))
    asyncio.run(processes.measure_watches(single))
    for costs, by in (
        (by_engines, "engines"),
        (by_hosts, "hosts"),
        (single, "one"),
        *((costs, name) for name, costs in remembered.items()),
    ):
        for one in costs.series(_unit, by):
            results.add(one)
    results.yardstick_us = yardstick.median_us
    results.write(path)


def _command(sizes: str, hosts: str, before: str) -> str:
    """What was run, but for where its result went."""
    beside = f" --before {before}" if before else ""
    return f"python bench/capacity.py measure --sizes {sizes} --hosts {hosts}{beside}"


def _unit(name: str) -> str:
    name = name.removeprefix(BEFORE)
    return UNITS.get(name) or UNITS[name.partition(".")[0]]


def _commit() -> str:
    found = subprocess.run(["git", "log", "-1", "--format=%h"], capture_output=True, text=True, cwd=ROOT)
    return found.stdout.strip() or "unknown"


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
