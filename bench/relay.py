"""Compares the node's CPU time per streamed token with a grpc.aio pass-through proxy; also prints node memory.

Both use the same client and the same engines and run in turn in every round. CPU time is that of the process
as the kernel accounts it; memory is the node's resident set after the runs with each number of streams.
Not part of CI. Usage: python bench/relay.py [--streams 10,100,1000] [--tokens 200] [--rounds 3]
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
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
NODE_CONFIG = """
node {{ listen: "127.0.0.1:0" seed: 1 }}
request_class {{ name: "question" worth: 1 aim_ms: 600000 deadline_ms: 600000 }}
kind {{ name: "reader" role: READ }}
kind {{ name: "writer" role: WRITE }}
servers {{ file: "{file}" }}
"""


def cpu_seconds(pid: int) -> float:
    """Returns the user and system CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def start_script(*command: str) -> tuple[subprocess.Popen[bytes], str]:
    process = subprocess.Popen(
        [sys.executable, *command], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=ROOT
    )
    assert process.stdout
    return process, json.loads(process.stdout.readline())["address"]


def start_engines(
    folder: str, tokens: int, step_ms: int, processes: list[subprocess.Popen[bytes]]
) -> tuple[Path, list[str]]:
    """Starts one prefill and two decode engines whose answers have `tokens` tokens.

    Appends the processes to `processes`; returns the endpoint list file and the engines' addresses.
    """
    engines = []
    for role, name in (("READ", "r"), ("WRITE", "w0"), ("WRITE", "w1")):
        model = Path(folder) / f"{name}.model"
        model.write_text(
            f"role: {role} slots: 4000 queue: 4000 memory_tokens: 10000000 read_per_s: 1e8 "
            f"step_ms: {step_ms} per_answer_ms: 0 answer_least: {tokens} answer_most: {tokens}"
        )
        process, address = start_script(
            "-m", "tuliptrack", "lab", "engine", "--model", str(model), "--name", name
        )
        processes.append(process)
        engines.append(address)
    servers_file = Path(folder) / "servers"
    servers_file.write_text(
        "version: 1 "
        + " ".join(
            f'servers {{ id: {n + 1} address: "{a}" kind: "{"writer" if n else "reader"}" }}'
            for n, a in enumerate(engines)
        )
    )
    return servers_file, engines


async def run_streams(address: str, streams: int, tokens: int) -> tuple[int, float]:
    """Opens `streams` streams and reads them to the end; returns the messages received and the seconds taken."""
    channel = Channel(address, Options(connect_timeout=5_000_000, max_links=4))
    loop = asyncio.get_running_loop()
    message_count = 0
    call_ends: list[asyncio.Future[End]] = []

    def count_message(_: bytes) -> None:
        nonlocal message_count
        message_count += 1

    started_at = time.monotonic()
    for n in range(streams):
        if n % 20 == 19:
            await asyncio.sleep(0.02)  # The node would reject 1,000 prompts at once as an overload.
        call_end: asyncio.Future[End] = loop.create_future()
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
            on_message=count_message,
            on_end=call_end.set_result,
        )
        call_ends.append(call_end)
    for call_end in call_ends:
        end = await call_end
        if end.status.code:
            raise click.ClickException(f"a stream ended with {end.status}")
    elapsed_s = time.monotonic() - started_at
    await channel.close()
    return message_count, elapsed_s


@click.command()
@click.option("--streams", default="10,100,1000")
@click.option("--tokens", default=200)
@click.option("--rounds", default=3)
def main(streams: str, tokens: int, rounds: int) -> None:
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            servers_file, engines = start_engines(folder, tokens, 30, processes)
            config = Path(folder) / "node"
            config.write_text(NODE_CONFIG.format(file=servers_file))
            node, node_address = start_script("-m", "tuliptrack", "serve", str(config), "--ready")
            proxy, proxy_address = start_script("bench/passthrough.py", *engines)
            processes += [node, proxy]
            time.sleep(0.5)
            click.echo(
                f"{tokens} tokens a stream, {rounds} rounds, medians; CPU microseconds of the process for each token"
            )
            click.echo(
                f"{'streams':>8} {'node':>8} {'grpc.aio':>9} {'ratio':>6} {'node tok/s':>11} {'node MB':>8}"
            )
            for stream_count in map(int, streams.split(",")):
                samples: dict[str, list[float]] = {"node": [], "proxy": [], "speed": []}
                for _ in range(rounds):
                    for name, process, address in (
                        ("node", node, node_address),
                        ("proxy", proxy, proxy_address),
                    ):
                        cpu_before = cpu_seconds(process.pid)
                        message_count, elapsed_s = asyncio.run(run_streams(address, stream_count, tokens))
                        samples[name].append((cpu_seconds(process.pid) - cpu_before) / message_count * 1e6)
                        if name == "node":
                            samples["speed"].append(message_count / elapsed_s)
                node_us, proxy_us = statistics.median(samples["node"]), statistics.median(samples["proxy"])
                click.echo(
                    f"{stream_count:8} {node_us:8.1f} {proxy_us:9.1f} {node_us / proxy_us:6.2f} {statistics.median(samples['speed']):11.0f} "
                    f"{memory_mb(node.pid):8.0f}"
                )
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(10)


if __name__ == "__main__":
    main()
