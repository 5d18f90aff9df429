"""CPU of the node for each token and each request, by front: the first, v2 stream and unary, REST events and
whole.

One node, one set of engines, the forms in turn within one run; the first front stands in each round, and
ratios are to it. Not in CI. Usage: python bench/fronts.py [--streams 30] [--tokens 200] [--rounds 5]
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
from relay import NODE, cpu, start, start_engines

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.proto import kserve_pb2 as v2
from tuliptrack.rpc.channel import Channel, End, Options


async def by_grpc(address: str, streams: int, tokens: int, method: str, make: Callable[[int], bytes]) -> int:
    channel = Channel(address, Options(connect_timeout=5_000_000, max_links=4))
    count = 0
    overs: list[asyncio.Future[End]] = []

    def got(_: bytes) -> None:
        nonlocal count
        count += 1

    for n in range(streams):
        over: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        channel.call(method, message=make(n), on_message=got, on_end=over.set_result)
        overs.append(over)
    for over in overs:
        if (await over).status.code:
            raise click.ClickException(f"a call ended with {(await over).status}")
    await channel.close()
    return count


def first(tokens: int) -> Callable[[int], bytes]:
    return lambda n: pb.GenerateRequest(
        request_class="question",
        session=f"s{n}",
        prompt=f"b{n} " + "x" * 200,
        prompt_tokens=50,
        max_tokens=tokens,
    ).SerializeToString()


def second(tokens: int) -> Callable[[int], bytes]:
    def make(n: int) -> bytes:
        made = v2.ModelInferRequest(model_name="m")
        one = made.inputs.add(name="text_input", datatype="BYTES", shape=[1])
        one.contents.bytes_contents.append(b"b%d " % n + b"x" * 200)
        made.parameters["session"].string_param = f"s{n}"
        for name, value in (("prompt_tokens", 50), ("max_tokens", tokens)):
            made.parameters[name].int64_param = value
        return made.SerializeToString()

    return make


async def by_rest(address: str, streams: int, tokens: int, what: str) -> int:
    async def one(n: int) -> int:
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
            % (what.encode(), len(body))
            + body
        )
        answer = await reader.read(-1)
        writer.close()
        if b" 200 " not in answer[:20]:
            raise click.ClickException(f"an answer was {answer[:200]!r}")
        return answer.count(b"data: ")

    return sum(await asyncio.gather(*(one(n) for n in range(streams))))


@click.command()
@click.option("--streams", default=30)
@click.option("--tokens", default=200)
@click.option("--rounds", default=5)
def main(streams: int, tokens: int, rounds: int) -> None:
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            listing, _ = start_engines(folder, tokens, 10, processes)
            config = Path(folder) / "node"
            config.write_text(NODE.format(file=listing) + 'kserve { rest_listen: "127.0.0.1:17463" }')
            node, at = start("-m", "tuliptrack", "serve", str(config), "--ready")
            processes.append(node)
            time.sleep(0.5)
            service = "/inference.GRPCInferenceService/"
            forms: dict[str, tuple[int, Callable[[], Awaitable[int]]]] = {}
            for kind, size in (("token", tokens), ("request", 1)):
                many = streams if kind == "token" else streams * 10
                forms |= {
                    f"first front, a {kind}": (
                        many * size,
                        lambda m=many, s=size: by_grpc(
                            at, m, s, "/tuliptrack.v1.Generation/Generate", first(s)
                        ),
                    ),
                    f"v2 stream, a {kind}": (
                        many * size,
                        lambda m=many, s=size: by_grpc(at, m, s, service + "ModelStreamInfer", second(s)),
                    ),
                    f"v2 unary, a {kind}": (
                        many * size,
                        lambda m=many, s=size: by_grpc(at, m, s, service + "ModelInfer", second(s)),
                    ),
                    f"REST events, a {kind}": (
                        many * size,
                        lambda m=many, s=size: by_rest("127.0.0.1:17463", m, s, "generate_stream"),
                    ),
                    f"REST whole, a {kind}": (
                        many * size,
                        lambda m=many, s=size: by_rest("127.0.0.1:17463", m, s, "generate"),
                    ),
                }
            rows: dict[str, list[float]] = {name: [] for name in forms}
            for number in range(rounds + 1):
                for name, (units, act) in forms.items():
                    before = cpu(node.pid)
                    asyncio.run(act())  # type: ignore[arg-type]
                    if number:  # the first round warms up
                        rows[name].append((cpu(node.pid) - before) / units * 1e6)
            click.echo(
                f"{streams} streams of {tokens} tokens, {streams * 10} requests of one; CPU us, {rounds} rounds"
            )
            for name, found in rows.items():
                base = rows["first front, a " + name.rpartition(" ")[2]]
                ratio = statistics.median(a / b for a, b in zip(found, base, strict=True))
                click.echo(f"{name:26} {statistics.median(found):8.1f} {ratio:6.2f} of the first front")
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(10)


if __name__ == "__main__":
    main()
