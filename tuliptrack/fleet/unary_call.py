"""One gRPC call with one request and one response, awaited."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from tuliptrack.rpc.channel import Channel, End
from tuliptrack.rpc.status import Code

__all__ = ["CallError", "call_unary"]

M = TypeVar("M", bound=Message)

PACKAGE = "tuliptrack.v1"


class CallError(Exception):
    """A call that ended without a usable response."""

    def __init__(self, code: Code, text: str) -> None:
        """Describe the end of a call: its status code, and a text for operators."""
        super().__init__(f"{code.name}: {text}")
        self.code, self.text = code, text


async def call_unary(
    channel: Channel, method: str, request: Message, response_type: type[M], timeout_us: int
) -> M:
    """Call a method, and return its response.

    Args:
        channel: Where to send the request.
        method: Service and method within this project's package, as in "Agent/Look".
        request: The one request message.
        response_type: The message type of the response.
        timeout_us: Microseconds until the call fails.

    Raises:
        CallError: The call failed, or had no response or a malformed one.
    """
    responses: list[bytes] = []
    ended: asyncio.Future[End] = asyncio.get_running_loop().create_future()

    def handle_end(end: End) -> None:
        if not ended.done():
            ended.set_result(end)

    call = channel.call(
        f"/{PACKAGE}.{method}",
        message=request.SerializeToString(),
        timeout=timeout_us,
        on_message=responses.append,
        on_end=handle_end,
    )
    try:
        end = await ended
    finally:
        call.cancel()
    if end.status.code is not Code.OK or len(responses) != 1:
        raise CallError(end.status.code, end.status.message or "no answer")
    try:
        return response_type.FromString(responses[0])
    except DecodeError as error:
        raise CallError(Code.INTERNAL, f"answer: {error}") from None
