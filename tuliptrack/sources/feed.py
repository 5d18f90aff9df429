"""Server lists pushed by a `tuliptrack.v1.ServerFeed`.

The router decides when to subscribe (again): a stream that ends is told as FAILED, nothing more. Within one
stream a list older than the last is dropped; a new stream begins with the whole list, whatever its number.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
from google.protobuf.message import DecodeError

from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.channel import Channel, ClientCall, End, Options

__all__ = ["FeedSource"]

log = structlog.get_logger("sources.feed")
_FAILED = pb.ServerList(kind=pb.ServerList.FAILED)
_FETCH_TIMEOUT = 2_000_000  # microseconds for one whole list


class FeedSource:
    """One Watch stream at a time, while subscribed. `keepalive` (microseconds) finds a feed that died
    silently.
    """

    def __init__(
        self, address: str, node: str = "", connect_timeout: int = 250_000, keepalive: int = 5_000_000
    ) -> None:
        self.node = node
        self.channel = Channel(
            address,
            Options(
                connect_timeout=connect_timeout,
                keepalive_after=keepalive,
                keepalive_timeout=keepalive,
                max_links=1,
            ),
        )
        self.tell: Callable[[pb.ServerList], None] = lambda _: None
        self.stream: ClientCall | None = None
        self.version = 0
        self.dropped = 0

    def start(self, tell: Callable[[pb.ServerList], None]) -> None:
        self.tell = tell

    def subscribe(self, on: bool) -> None:
        if not on:
            if self.stream:
                stream, self.stream = self.stream, None
                stream.cancel()
            return
        if self.stream:
            return
        first = True

        def got(data: bytes) -> None:
            nonlocal first
            try:
                message = pb.ServerList.FromString(data)
            except DecodeError as error:
                log.warning(
                    "server list not taken", source=self.channel.address, reason=f"malformed: {error}"
                )
                return
            if first and message.kind != pb.ServerList.FULL:
                log.warning(
                    "server list not taken",
                    source=self.channel.address,
                    reason="a stream must begin with a whole list",
                )
                return
            if not first and message.version <= self.version and message.kind != pb.ServerList.FAILED:
                self.dropped += 1
                return
            if message.kind != pb.ServerList.FAILED:
                first, self.version = False, message.version
            self.tell(message)

        def ended(end: End) -> None:
            if self.stream is call:
                self.stream = None
                log.warning("server feed lost", source=self.channel.address, reason=end.status.message)
                self.tell(_FAILED)

        call = self.stream = self.channel.call(
            "/tuliptrack.v1.ServerFeed/Watch",
            on_message=got,
            on_end=ended,
            message=pb.WatchRequest(version=self.version, node=self.node).SerializeToString(),
        )

    def fetch(self) -> None:
        got: list[bytes] = []

        def ended(end: End) -> None:
            try:
                if end.status.code or not got:
                    raise ValueError(end.status.message)
                self.tell(pb.ServerList.FromString(got[0]))
            except (ValueError, DecodeError) as error:
                log.warning("server list not fetched", source=self.channel.address, reason=str(error))
                self.tell(_FAILED)

        self.channel.call(
            "/tuliptrack.v1.ServerFeed/Fetch",
            timeout=_FETCH_TIMEOUT,
            on_message=got.append,
            on_end=ended,
            message=pb.WatchRequest(version=self.version, node=self.node).SerializeToString(),
        )

    async def close(self) -> None:
        self.subscribe(False)
        await self.channel.close()
