"""Endpoint lists pushed by a `tuliptrack.v1.ServerFeed`.

The router decides when to subscribe, and when to do so again: the end of a stream is only published as
FAILED. Within one stream a list that is not newer than the last is dropped; a new stream begins with the full
list, whatever its version.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog
from google.protobuf.message import DecodeError

from tuliptrack.proto import fleet_pb2 as pb
from tuliptrack.rpc.channel import Channel, ClientCall, End, Options

__all__ = ["FeedSource"]

log = structlog.get_logger("sources.feed")
WATCH_METHOD = "/tuliptrack.v1.ServerFeed/Watch"
FETCH_METHOD = "/tuliptrack.v1.ServerFeed/Fetch"
FETCH_TIMEOUT_US = 2_000_000
CONNECT_TIMEOUT_US = 250_000
KEEPALIVE_US = 5_000_000


@dataclass(eq=False, slots=True)
class _WatchStream:
    """One watch stream."""

    call: ClientCall | None = None
    has_full_list: bool = False


class FeedSource:
    """Follows a feed on one watch stream at a time, while subscribed."""

    def __init__(
        self,
        address: str,
        node: str = "",
        connect_timeout_us: int = CONNECT_TIMEOUT_US,
        keepalive_us: int = KEEPALIVE_US,
    ) -> None:
        """Prepare to call the feed at `address` (host:port); `subscribe` and `fetch` call it.

        Args:
            address: Where the feed listens, as host:port.
            node: The name of this node in requests to the feed.
            connect_timeout_us: How long a connection attempt may take.
            keepalive_us: Idle time before a keepalive, and the time-out of its answer. It detects a feed that
                became unreachable without closing the connection.
        """
        self.channel = Channel(
            address,
            Options(
                connect_timeout=connect_timeout_us,
                keepalive_after=keepalive_us,
                keepalive_timeout=keepalive_us,
                max_links=1,
            ),
        )
        self.dropped_count = 0
        """Lists dropped as not newer than the one before."""
        self._node = node
        self._publish: Callable[[pb.ServerList], None] = lambda _: None
        self._stream: _WatchStream | None = None
        self._version = 0

    @property
    def is_watching(self) -> bool:
        """Whether a watch stream is open."""
        return self._stream is not None

    def start(self, publish: Callable[[pb.ServerList], None]) -> None:
        """Call `publish` with each list from now on."""
        self._publish = publish

    def subscribe(self, on: bool) -> None:
        """Open a watch stream if there is none, or close the one that is open."""
        if on and not self._stream:
            self._open_stream()
        elif not on and self._stream:
            stream, self._stream = self._stream, None
            if stream.call:
                stream.call.cancel()

    def _open_stream(self) -> None:
        stream = self._stream = _WatchStream()
        stream.call = self.channel.call(
            WATCH_METHOD,
            on_message=lambda data: self._handle_watch_message(stream, data),
            on_end=lambda end: self._handle_watch_end(stream, end),
            message=self._watch_request(),
        )

    def _handle_watch_message(self, stream: _WatchStream, data: bytes) -> None:
        try:
            message = pb.ServerList.FromString(data)
        except DecodeError as error:
            self._log_rejected(f"malformed: {error}")
            return
        is_failure = message.kind == pb.ServerList.FAILED
        if not stream.has_full_list and message.kind != pb.ServerList.FULL:
            self._log_rejected("a stream must begin with a full list")
            return
        if stream.has_full_list and not is_failure and message.version <= self._version:
            self.dropped_count += 1
            return
        if not is_failure:
            stream.has_full_list, self._version = True, message.version
        self._publish(message)

    def _handle_watch_end(self, stream: _WatchStream, end: End) -> None:
        if self._stream is stream:
            self._stream = None
            log.warning("endpoint feed lost", source=self.channel.address, reason=end.status.message)
            self._publish_failure()

    def fetch(self) -> None:
        """Request the full list once; a failure is published as FAILED."""
        messages: list[bytes] = []
        self.channel.call(
            FETCH_METHOD,
            timeout=FETCH_TIMEOUT_US,
            on_message=messages.append,
            on_end=lambda end: self._handle_fetch_end(messages, end),
            message=self._watch_request(),
        )

    def _handle_fetch_end(self, messages: list[bytes], end: End) -> None:
        try:
            if end.status.code or not messages:
                raise ValueError(end.status.message)
            self._publish(pb.ServerList.FromString(messages[0]))
        except (ValueError, DecodeError) as error:
            log.warning("endpoint list not fetched", source=self.channel.address, reason=str(error))
            self._publish_failure()

    def _watch_request(self) -> bytes:
        return pb.WatchRequest(version=self._version, node=self._node).SerializeToString()

    def _publish_failure(self) -> None:
        self._publish(pb.ServerList(kind=pb.ServerList.FAILED))

    def _log_rejected(self, reason: str) -> None:
        log.warning("endpoint list rejected", source=self.channel.address, reason=reason)

    async def close(self) -> None:
        """End the watch stream and close the connection."""
        self.subscribe(False)
        await self.channel.close()
