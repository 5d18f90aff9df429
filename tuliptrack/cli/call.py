"""`tuliptrack call`: sends a request to a node, prints its tokens, and resumes a stream that breaks."""

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
    "--tries",
    "max_attempts",
    default=3,
    type=click.IntRange(1),
    help="Attempts in all, the first one included. Rejected requests and broken streams are retried.",
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
    max_attempts: int,
) -> None:
    """Send PROMPT to the node at ADDRESS (host:port). Exit code 0 when served, 1 when rejected or failed."""
    request = pb.GenerateRequest(
        request_class=request_class,
        tenant=tenant,
        session=session,
        prefix=prefix,
        prompt=prompt,
        max_tokens=max_tokens,
    )
    sys.exit(asyncio.run(_run(address, request, timeout, max_attempts)))


async def _run(address: str, request: pb.GenerateRequest, timeout: float, max_attempts: int) -> int:
    channel = Channel(address, Options(connect_timeout=2_000_000))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    try:
        for attempt in range(max_attempts):
            ended: asyncio.Future[End] = loop.create_future()

            def handle_message(data: bytes) -> None:
                message = pb.GenerateResponse.FromString(data)
                request.resume.next_index = message.index + 1
                request.resume.text += message.text
                click.echo(message.text, nl=False)
                if message.finish_reason:
                    usage = message.usage
                    click.echo(
                        f"\n[{pb.FinishReason.Name(message.finish_reason)}: "
                        f"{usage.prompt_tokens} prompt tokens, "
                        f"{usage.cached_tokens} of them cached, {usage.completion_tokens} tokens]",
                        err=True,
                    )

            channel.call(
                "/tuliptrack.v1.Generation/Generate",
                message=request.SerializeToString(),
                on_message=handle_message,
                on_end=ended.set_result,
                timeout=max(int((deadline - loop.time()) * 1e6), 1),
            )
            end = await ended
            code = end.status.code
            if code is Code.OK:
                return 0
            click.echo(f"\n[{code.name}: {end.status.message}]", err=True)
            if (
                code not in (Code.UNAVAILABLE, Code.ABORTED)
                or attempt + 1 == max_attempts
                or loop.time() >= deadline
            ):
                return 1
            request.repeat = True
            if not request.resume.next_index:
                request.ClearField("resume")
            retry_delay_s = next(
                (
                    detail.retry_delay.ToMicroseconds() / 1e6
                    for detail in end.status.parsed()
                    if isinstance(detail, error_details_pb2.RetryInfo)
                ),
                0.0,
            )
            await asyncio.sleep(min(retry_delay_s or 0.1 * 2**attempt, max(deadline - loop.time(), 0)))
        return 1
    finally:
        await channel.close()
