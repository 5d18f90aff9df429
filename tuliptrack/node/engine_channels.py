"""The gRPC channels to the engines: one for each endpoint of the list, created at its first call.

An endpoint that was removed from the list, or has a new address, gets no new calls on its old channel, which
is closed once its last call has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from tuliptrack.config.node import EngineOptions
from tuliptrack.rpc.channel import Channel, Options
from tuliptrack.rpc.core import Limits

__all__ = ["EngineChannels"]

MAX_HEADER_BYTES = 65_536
"""Maximum size of the headers of an engine's response."""


class EngineChannels:
    """The channels of one node, by endpoint."""

    def __init__(self, options: EngineOptions, max_message_bytes: int) -> None:
        """Set the options; nothing is connected yet.

        Args:
            options: Timeouts, keepalive and the number of connections per endpoint.
            max_message_bytes: Maximum size of a message from an engine.
        """
        self.idle_timeout_us = options.idle
        self.options = Options(
            connect_timeout=options.connect_timeout,
            keepalive_after=options.keepalive_after,
            keepalive_timeout=options.keepalive_timeout,
            max_links=options.connections,
            limits=Limits(max_message_bytes=max_message_bytes, max_header_bytes=MAX_HEADER_BYTES),
        )
        self.channels: dict[int, Channel] = {}
        self.addresses: dict[int, str] = {}
        """host:port of each endpoint of the list."""
        self._retired: list[Channel] = []
        """Channels that get no new calls but still have running ones."""
        self._closing: set[asyncio.Task[None]] = set()

    def update(self, addresses: Mapping[int, str], removed: Iterable[int]) -> None:
        """Apply an endpoint list: the addresses that it gives, and the endpoints removed from it."""
        for endpoint_id, address in addresses.items():
            if self.addresses.get(endpoint_id) != address:
                self._retire(endpoint_id)
                self.addresses[endpoint_id] = address
        for endpoint_id in removed:
            self._retire(endpoint_id)
            self.addresses.pop(endpoint_id, None)

    def _retire(self, endpoint_id: int) -> None:
        if channel := self.channels.pop(endpoint_id, None):
            self._retired.append(channel)
            self.close_idle()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long, and retired channels without calls."""
        for channel in self.channels.values():
            channel.close_idle(self.idle_timeout_us)
        in_use = []
        for channel in self._retired:
            channel.close_idle()
            if channel.links or channel.waiting or channel.tasks:
                in_use.append(channel)
            else:
                self._close_in_background(channel)
        self._retired = in_use

    def _close_in_background(self, channel: Channel) -> None:
        task = asyncio.get_running_loop().create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def channel(self, endpoint_id: int) -> Channel | None:
        """Return the channel to an endpoint, or None if it is not listed."""
        channel = self.channels.get(endpoint_id)
        if channel is None and (address := self.addresses.get(endpoint_id)):
            channel = self.channels[endpoint_id] = Channel(address, self.options)
        return channel

    async def close(self) -> None:
        """Close all channels, including those with running calls."""
        for channel in [*self.channels.values(), *self._retired]:
            await channel.close()
        self.channels.clear()
        self._retired = []
        if self._closing:
            await asyncio.wait(self._closing)
