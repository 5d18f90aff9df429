"""CPU of the node for each streamed token, beside a pass-through proxy on grpc.aio; memory with many open
streams.

Same client, same engines, the two in turn within one run; figures are the processes' own CPU time as the
kernel accounts it. Not in CI. Usage: python bench/relay.py [--streams 10,100,1000] [--tokens 200] [--rounds
3]
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel, End, Options

ROOT = Path(__file__).parent.parent
TICK = os.sysconf("SC_CLK_TCK")
NODE = """
node {{ listen: "127.0.0.1:0" seed: 1 }}
request_class {{ name: "question" worth: 1 aim_ms: 600000 deadline_ms: 600000 }}
kind {{ name: "reader" role: READ }}
kind {{ name: "writer" role: WRITE }}
servers {{ file: "{file}" }}
"""


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


def start(*command: str) -> tuple[subprocess.Popen[bytes], str]:
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=ROOT
    )
    assert process.stdout
    return process, json.loads(process.stdout.readline())["address"]


def start_engines(
    folder: str, tokens: int, step_ms: int, processes: list[subprocess.Popen[bytes]]
) -> tuple[Path, list[str]]:
    """A reader and two writers that answer with so many tokens; the file that lists them, and their
    addresses.
    """
    engines = []
    for role, name in (("READ", "r"), ("WRITE", "w0"), ("WRITE", "w1")):
        model = Path(folder) / f"{name}.model"
        model.write_text(
            f"role: {role} slots: 4000 queue: 4000 memory_tokens: 10000000 read_per_s: 1e8 "
            f"step_ms: {step_ms} per_answer_ms: 0 answer_least: {tokens} answer_most: {tokens}"
        )
        process, address = start("-m", "tuliptrack", "lab", "engine", "--model", str(model), "--name", name)
        processes.append(process)
        engines.append(address)
    listing = Path(folder) / "servers"
    listing.write_text(
        "version: 1 "
        + " ".join(
            f'servers {{ id: {n + 1} address: "{a}" kind: "{"writer" if n else "reader"}" }}'
            for n, a in enumerate(engines)
        )
    )
    return listing, engines


async def load(address: str, streams: int, tokens: int) -> tuple[int, float]:
    """Open so many streams and read them all to their end; tokens that came, and seconds."""
    channel = Channel(address, Options(connect_timeout=5_000_000, max_links=4))
    loop = asyncio.get_running_loop()
    count = 0
    overs: list[asyncio.Future[End]] = []

    def got(_: bytes) -> None:
        nonlocal count
        count += 1

    begin = time.monotonic()
    for n in range(streams):
        if n % 20 == 19:
            await asyncio.sleep(0.02)  # A thousand prompts at once are an overload: the node would say so.
        over: asyncio.Future[End] = loop.create_future()
        request = pb.GenerateRequest(
            request_class="question",
            session=f"s{n}",
            prompt=f"b{n} " + "x" * 200,
            prompt_tokens=50,
            max_tokens=tokens,
        )
        channel.call(
            "/tuliptrack.v1.Generation/Generate",
            message=request.SerializeToString(),
            on_message=got,
            on_end=over.set_result,
        )
        overs.append(over)
    for over in overs:
        end = await over
        if end.status.code:
            raise click.ClickException(f"a stream ended with {end.status}")
    took = time.monotonic() - begin
    await channel.close()
    return count, took


@click.command()
@click.option("--streams", default="10,100,1000")
@click.option("--tokens", default=200)
@click.option("--rounds", default=3)
def main(streams: str, tokens: int, rounds: int) -> None:
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            listing, engines = start_engines(folder, tokens, 30, processes)
            config = Path(folder) / "node"
            config.write_text(NODE.format(file=listing))
            node, node_at = start("-m", "tuliptrack", "serve", str(config), "--ready")
            proxy, proxy_at = start("bench/passthrough.py", *engines)
            processes += [node, proxy]
            time.sleep(0.5)
            click.echo(
                f"{tokens} tokens a stream, {rounds} rounds, medians; CPU microseconds of the process for each token"
            )
            click.echo(
                f"{'streams':>8} {'node':>8} {'grpc.aio':>9} {'ratio':>6} {'node tok/s':>11} {'node MB':>8}"
            )
            for count in map(int, streams.split(",")):
                rows: dict[str, list[float]] = {"node": [], "proxy": [], "speed": []}
                for _ in range(rounds):
                    for name, process, address in (("node", node, node_at), ("proxy", proxy, proxy_at)):
                        before = cpu(process.pid)
                        got, took = asyncio.run(load(address, count, tokens))
                        rows[name].append((cpu(process.pid) - before) / got * 1e6)
                        if name == "node":
                            rows["speed"].append(got / took)
                a, b = statistics.median(rows["node"]), statistics.median(rows["proxy"])
                click.echo(
                    f"{count:8} {a:8.1f} {b:9.1f} {a / b:6.2f} {statistics.median(rows['speed']):11.0f} "
                    f"{memory_mb(node.pid):8.0f}"
                )
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(10)


if __name__ == "__main__":
    main()
