"""Gossip between the nodes of the fleet: opaque messages of the routers, carried over gRPC.

A message is sent once without waiting for its answer, because the routers repeat their messages.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tuliptrack.interface import GossipReceived, SendGossip
from tuliptrack.proto import fleet_pb2
from tuliptrack.rpc.channel import Channel, Options
from tuliptrack.rpc.server import Server, ServerCall, unary_request
from tuliptrack.rpc.status import Code, Status

__all__ = ["PeerGossip"]

PEERS_SERVICE = "tuliptrack.v1.Peers"
GOSSIP_TIMEOUT_US = 1_000_000


class PeerGossip:
    """Sends and receives the gossip of one node."""

    def __init__(self, addresses: Sequence[str], replica_index: int, options: Options) -> None:
        """Create the channels; nothing is connected yet.

        Args:
            addresses: host:port of every node by replica index, including this one; empty: no gossip.
            replica_index: The replica index of this node.
            options: Timeouts and limits of the connections.
        """
        self.replica_index = replica_index
        self.channels = [Channel(address, options) for address in addresses]

    def send(self, action: SendGossip) -> None:
        """Send gossip to the peer that it is addressed to, or to all peers."""
        message = fleet_pb2.PeerBytes(sender=self.replica_index, data=action.data).SerializeToString()
        for index, channel in enumerate(self.channels):
            if index != self.replica_index and action.peer in (None, index):
                channel.call(f"/{PEERS_SERVICE}/Tell", message=message, timeout=GOSSIP_TIMEOUT_US)

    def install(self, server: Server, receive: Callable[[GossipReceived], None]) -> None:
        """Serve the peers' messages: each is acknowledged, then passed to `receive`."""

        def handle(call: ServerCall, message: fleet_pb2.PeerBytes) -> None:
            call.send(b"")
            call.end(Status(Code.OK))
            receive(GossipReceived(message.sender, message.data))

        if self.channels:
            server.add(PEERS_SERVICE, "Tell", unary_request(fleet_pb2.PeerBytes, handle))

    async def close(self) -> None:
        """Close the connections to the peers."""
        for channel in self.channels:
            await channel.close()
