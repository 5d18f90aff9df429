"""One question and its answer over gRPC."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from google.protobuf.message import DecodeError, Message

from tuliptrack.rpc.channel import Channel, End
from tuliptrack.rpc.status import Code

__all__ = ["Unanswered", "ask"]

M = TypeVar("M", bound=Message)


class Unanswered(Exception):
    """No answer came, or an error did."""

    def __init__(self, code: Code, text: str) -> None:
        super().__init__(f"{code.name}: {text}")
        self.code, self.text = code, text


async def ask(channel: Channel, method: str, question: Message, kind: type[M], timeout: int) -> M:
    """Call a method with one message each way; `timeout` in microseconds."""
    got: list[bytes] = []
    over: asyncio.Future[End] = asyncio.get_running_loop().create_future()

    def ended(end: End) -> None:
        if not over.done():
            over.set_result(end)

    call = channel.call(
        f"/tuliptrack.v1.{method}",
        message=question.SerializeToString(),
        timeout=timeout,
        on_message=got.append,
        on_end=ended,
    )
    try:
        end = await over
    finally:
        call.cancel()
    if end.status.code is not Code.OK or len(got) != 1:
        raise Unanswered(end.status.code, end.status.message or "no answer")
    try:
        return kind.FromString(got[0])
    except DecodeError as error:
        raise Unanswered(Code.INTERNAL, f"answer: {error}") from None
