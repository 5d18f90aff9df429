"""`tuliptrack call`: ask a node, print tokens as they come, resume a stream that breaks."""

from __future__ import annotations

import asyncio
import sys

import click
from google.rpc import error_details_pb2

from tuliptrack.proto import generation_pb2 as pb
from tuliptrack.rpc.channel import Channel, End, Options
from tuliptrack.rpc.status import Code

__all__ = ["call"]


@click.command()
@click.argument("address")
@click.argument("prompt")
@click.option("--class", "request_class", required=True, help="Request class, as in the node's settings.")
@click.option("--tenant", default="")
@click.option("--session", default="")
@click.option("--prefix", default="")
@click.option("--max-tokens", default=0, type=click.IntRange(0))
@click.option("--timeout", default=30.0, type=click.FloatRange(0.001), help="Seconds for the whole call.")
@click.option(
    "--tries", default=3, type=click.IntRange(1), help="Tries in all, after refusals and broken streams."
)
def call(
    address: str,
    prompt: str,
    request_class: str,
    tenant: str,
    session: str,
    prefix: str,
    max_tokens: int,
    timeout: float,
    tries: int,
) -> None:
    """Send PROMPT to the node at ADDRESS (host:port). Exit code 0 when served, 1 when refused or failed."""
    request = pb.GenerateRequest(
        request_class=request_class,
        tenant=tenant,
        session=session,
        prefix=prefix,
        prompt=prompt,
        max_tokens=max_tokens,
    )
    sys.exit(asyncio.run(_run(address, request, timeout, tries)))


async def _run(address: str, request: pb.GenerateRequest, timeout: float, tries: int) -> int:
    channel = Channel(address, Options(connect_timeout=2_000_000))
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout
    try:
        for attempt in range(tries):
            over: asyncio.Future[End] = loop.create_future()

            def token(data: bytes) -> None:
                message = pb.GenerateResponse.FromString(data)
                request.resume.next_index = message.index + 1
                request.resume.text += message.text
                click.echo(message.text, nl=False)
                if message.finish_reason:
                    u = message.usage
                    click.echo(
                        f"\n[{pb.FinishReason.Name(message.finish_reason)}: {u.prompt_tokens} prompt tokens, "
                        f"{u.cached_tokens} of them cached, {u.completion_tokens} tokens]",
                        err=True,
                    )

            channel.call(
                "/tuliptrack.v1.Generation/Generate",
                message=request.SerializeToString(),
                on_message=token,
                on_end=over.set_result,
                timeout=max(int((until - loop.time()) * 1e6), 1),
            )
            end = await over
            code = end.status.code
            if code is Code.OK:
                return 0
            click.echo(f"\n[{code.name}: {end.status.message}]", err=True)
            if code not in (Code.UNAVAILABLE, Code.ABORTED) or attempt + 1 == tries or loop.time() >= until:
                return 1
            request.repeat = True
            if not request.resume.next_index:
                request.ClearField("resume")
            wait = next(
                (
                    d.retry_delay.ToMicroseconds() / 1e6
                    for d in end.status.parsed()
                    if isinstance(d, error_details_pb2.RetryInfo)
                ),
                0.0,
            )
            await asyncio.sleep(min(wait or 0.1 * 2**attempt, max(until - loop.time(), 0)))
        return 1
    finally:
        await channel.close()
