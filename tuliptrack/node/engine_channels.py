"""The engines as the node reaches them: a channel for each server of the list, and load reports read from
trailers.
"""

from __future__ import annotations

import asyncio
import math

import structlog
from google.protobuf.message import DecodeError
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from tuliptrack.config.node import REPORT_FIELDS, EngineOptions
from tuliptrack.interface import Status
from tuliptrack.rpc.channel import Channel, End, How, Options
from tuliptrack.rpc.core import Limits
from tuliptrack.rpc.status import Code

__all__ = ["REPORT_TRAILER", "EngineChannels", "load_of", "outcome_of"]

REPORT_TRAILER = "endpoint-load-metrics-bin"
log = structlog.get_logger("engines")

_CODES = {
    Code.OK: Status.OK,
    Code.RESOURCE_EXHAUSTED: Status.AT_CAPACITY,
    Code.FAILED_PRECONDITION: Status.AT_CAPACITY,
    Code.DEADLINE_EXCEEDED: Status.TIMEOUT,
    Code.CANCELLED: Status.CANCELLED,
}


def outcome_of(end: End) -> Status:
    """What the router is told of a call's end. A call that the peer never looked at counts as not
    connected.
    """
    if end.how is How.CONNECT or (end.unprocessed and end.how is How.RESET):
        return Status.CONNECT_FAILED
    if end.how is How.STATUS:
        return _CODES.get(end.status.code, Status.ERROR)
    return {How.RESET: Status.RESET, How.TIMEOUT: Status.TIMEOUT}.get(end.how, Status.CANCELLED)


def load_of(end: End, server: int) -> tuple[float, ...]:
    """The values of `REPORT_FIELDS` from an ORCA report in the trailers; nothing where there is none, or a
    malformed one, which is logged.
    """
    data = next((v for k, v in end.metadata if k == REPORT_TRAILER and isinstance(v, bytes)), None)
    if data is None:
        return ()
    try:
        report = OrcaLoadReport.FromString(data)
    except DecodeError:
        log.warning("load report not taken", server=server, reason="malformed ORCA report")
        return ()
    named = report.named_metrics
    values = (named.get("in_flight", 0.0), report.mem_utilization, named.get("tokens_waiting_k", 0.0))
    wrong = [
        name
        for name, v in zip(REPORT_FIELDS, values, strict=True)
        if not math.isfinite(v) or not 0 <= v < 1e9
    ]
    if wrong:
        log.warning("load report not taken", server=server, reason=f"{wrong[0]}: not a number from 0 to 1e9")
        return ()
    return values


class EngineChannels:
    """One channel for each server that was listed. A server that has gone keeps its channel while calls run
    there.
    """

    def __init__(self, options: EngineOptions, message_bytes: int) -> None:
        self.idle = options.idle
        self.options = Options(
            connect_timeout=options.connect_timeout,
            keepalive_after=options.keepalive_after,
            keepalive_timeout=options.keepalive_timeout,
            max_links=options.connections,
            limits=Limits(max_message_bytes=message_bytes, max_header_bytes=65_536),
        )
        self.channels: dict[int, Channel] = {}
        self.addresses: dict[int, str] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._old: list[Channel] = []

    def listed(self, addresses: dict[int, str], gone: set[int]) -> None:
        """Take the addresses of a list. A server under a new address gets a new channel; the old one ends
        with its calls.
        """
        for server, address in addresses.items():
            if self.addresses.get(server) != address:
                self._retire(server)
                self.addresses[server] = address
        for server in gone:
            self._retire(server)
            self.addresses.pop(server, None)

    def _retire(self, server: int) -> None:
        if channel := self.channels.pop(server, None):
            self._old.append(channel)
            self.sweep()

    def sweep(self) -> None:
        """Close what is idle: connections past their time, and retired channels without calls."""
        for channel in self.channels.values():
            channel.close_idle(self.idle)
        still = []
        for channel in self._old:
            channel.close_idle()
            if channel.links or channel.waiting or channel.tasks:
                still.append(channel)
            else:
                task = asyncio.get_running_loop().create_task(channel.close())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)
        self._old = still

    def channel(self, server: int) -> Channel | None:
        """Where to call a server; None where no list has named it, or it has gone."""
        found = self.channels.get(server)
        if found is None and (address := self.addresses.get(server)):
            found = self.channels[server] = Channel(address, self.options)
        return found

    async def close(self) -> None:
        for channel in [*self.channels.values(), *self._old]:
            await channel.close()
        self.channels.clear()
        self._old = []
        if self._closing:
            await asyncio.wait(self._closing)
