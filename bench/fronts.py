"""Measures the node's CPU time per token and per request for each front.

The fronts are the Generation service ("first front"), v2 gRPC as a stream and as a unary call, and v2 REST as
an event stream and as one response. All cases use one node and one set of engines and run in turn in every
round; the ratios compare each case with the first front in the same round. Not part of CI.
Usage: python bench/fronts.py [--streams 30] [--tokens 200] [--rounds 5]
"""

from __future__ import annotations

import asyncio
import json
import statistics
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import click
from relay import NODE_CONFIG, cpu_seconds, start_engines, start_script

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.proto import kserve_pb2 as v2
from tuliptrack.rpc.channel import Channel, End, Options


async def run_grpc(
    address: str, streams: int, tokens: int, method: str, make_message: Callable[[int], bytes]
) -> int:
    channel = Channel(address, Options(connect_timeout=5_000_000, max_links=4))
    count = 0
    call_ends: list[asyncio.Future[End]] = []

    def count_message(_: bytes) -> None:
        nonlocal count
        count += 1

    for n in range(streams):
        call_end: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        channel.call(method, message=make_message(n), on_message=count_message, on_end=call_end.set_result)
        call_ends.append(call_end)
    for call_end in call_ends:
        if (await call_end).status.code:
            raise click.ClickException(f"a call ended with {(await call_end).status}")
    await channel.close()
    return count


def generate_request(tokens: int) -> Callable[[int], bytes]:
    return lambda n: pb.GenerateRequest(
        request_class="question",
        session=f"s{n}",
        prompt=f"b{n} " + "x" * 200,
        prompt_tokens=50,
        max_tokens=tokens,
    ).SerializeToString()


def infer_request(tokens: int) -> Callable[[int], bytes]:
    def make_message(n: int) -> bytes:
        request = v2.ModelInferRequest(model_name="m")
        text_input = request.inputs.add(name="text_input", datatype="BYTES", shape=[1])
        text_input.contents.bytes_contents.append(b"b%d " % n + b"x" * 200)
        request.parameters["session"].string_param = f"s{n}"
        for name, value in (("prompt_tokens", 50), ("max_tokens", tokens)):
            request.parameters[name].int64_param = value
        return request.SerializeToString()

    return make_message


async def run_rest(address: str, streams: int, tokens: int, operation: str) -> int:
    async def post(n: int) -> int:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(
            {
                "text_input": f"b{n} " + "x" * 200,
                "session": f"s{n}",
                "prompt_tokens": 50,
                "max_tokens": tokens,
            }
        ).encode()
        writer.write(
            b"POST /v2/models/m/%b HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
            % (operation.encode(), len(body))
            + body
        )
        response = await reader.read(-1)
        writer.close()
        if b" 200 " not in response[:20]:
            raise click.ClickException(f"an answer was {response[:200]!r}")
        return response.count(b"data: ")

    return sum(await asyncio.gather(*(post(n) for n in range(streams))))


@click.command()
@click.option("--streams", default=30)
@click.option("--tokens", default=200)
@click.option("--rounds", default=5)
def main(streams: int, tokens: int, rounds: int) -> None:
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            servers_file, _ = start_engines(folder, tokens, 10, processes)
            config = Path(folder) / "node"
            config.write_text(
                NODE_CONFIG.format(file=servers_file) + 'kserve { rest_listen: "127.0.0.1:17463" }'
            )
            node, address = start_script("-m", "tuliptrack", "serve", str(config), "--ready")
            processes.append(node)
            time.sleep(0.5)
            service = "/inference.GRPCInferenceService/"
            cases: dict[str, tuple[int, Callable[[], Awaitable[int]]]] = {}
            for kind, tokens_per_request in (("token", tokens), ("request", 1)):
                requests_per_run = streams if kind == "token" else streams * 10
                cases |= {
                    f"first front, a {kind}": (
                        requests_per_run * tokens_per_request,
                        lambda count=requests_per_run, size=tokens_per_request: run_grpc(
                            address, count, size, "/tuliptrack.v1.Generation/Generate", generate_request(size)
                        ),
                    ),
                    f"v2 stream, a {kind}": (
                        requests_per_run * tokens_per_request,
                        lambda count=requests_per_run, size=tokens_per_request: run_grpc(
                            address, count, size, service + "ModelStreamInfer", infer_request(size)
                        ),
                    ),
                    f"v2 unary, a {kind}": (
                        requests_per_run * tokens_per_request,
                        lambda count=requests_per_run, size=tokens_per_request: run_grpc(
                            address, count, size, service + "ModelInfer", infer_request(size)
                        ),
                    ),
                    f"REST events, a {kind}": (
                        requests_per_run * tokens_per_request,
                        lambda count=requests_per_run, size=tokens_per_request: run_rest(
                            "127.0.0.1:17463", count, size, "generate_stream"
                        ),
                    ),
                    f"REST whole, a {kind}": (
                        requests_per_run * tokens_per_request,
                        lambda count=requests_per_run, size=tokens_per_request: run_rest(
                            "127.0.0.1:17463", count, size, "generate"
                        ),
                    ),
                }
            costs_by_case: dict[str, list[float]] = {name: [] for name in cases}
            for round_index in range(rounds + 1):
                for name, (unit_count, run_case) in cases.items():
                    cpu_before = cpu_seconds(node.pid)
                    asyncio.run(run_case())  # type: ignore[arg-type]
                    if round_index:  # the first round warms up
                        costs_by_case[name].append((cpu_seconds(node.pid) - cpu_before) / unit_count * 1e6)
            click.echo(
                f"{streams} streams of {tokens} tokens, {streams * 10} requests of one; CPU us, {rounds} rounds"
            )
            for name, costs_us in costs_by_case.items():
                baseline_us = costs_by_case["first front, a " + name.rpartition(" ")[2]]
                ratio = statistics.median(a / b for a, b in zip(costs_us, baseline_us, strict=True))
                click.echo(f"{name:26} {statistics.median(costs_us):8.1f} {ratio:6.2f} of the first front")
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(10)


if __name__ == "__main__":
    main()
