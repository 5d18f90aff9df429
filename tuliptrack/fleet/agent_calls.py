"""A controller's calls to the agents of all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog
from google.protobuf.message import Message

from tuliptrack.fleet.host import Host
from tuliptrack.fleet.unary_call import CallError, call_unary
from tuliptrack.proto import rollout_pb2 as pb
from tuliptrack.rpc.channel import Channel, Options

__all__ = ["AgentCalls"]

log = structlog.get_logger("controller")
CALL_TIMEOUT_US = 1_000_000
CONNECT_TIMEOUT_US = 500_000


class AgentCalls:
    """Channels to agents, by host. Bound: one channel a host, and the calls that have not ended."""

    def __init__(self, hosts: Iterable[Host]) -> None:
        """Prepare a channel to each host's agent; it connects with the first call."""
        options = Options(connect_timeout=CONNECT_TIMEOUT_US)
        self._channels = {host.name: Channel(host.agent, options) for host in hosts}
        self._tasks: set[asyncio.Task[tuple[str, pb.AgentAnswer | None]]] = set()

    async def request_report(self, host: str, request: pb.LookRequest) -> pb.HostReport:
        """Return the report of one host; CallError if there is none."""
        return await call_unary(self._channels[host], "Agent/Look", request, pb.HostReport, CALL_TIMEOUT_US)

    async def call_all_until(
        self, method: str, request: Message, is_enough: Callable[[str, pb.AgentAnswer], bool]
    ) -> None:
        """Call every agent, and return once `is_enough` is true of an answer, or all calls have ended.

        The other calls continue, as every agent should receive the request.
        """
        loop = asyncio.get_running_loop()
        pending = {loop.create_task(self._call(host, method, request)) for host in self._channels}
        for task in pending:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                host, answer = task.result()
                if answer is not None and is_enough(host, answer):
                    return

    async def _call(self, host: str, method: str, request: Message) -> tuple[str, pb.AgentAnswer | None]:
        try:
            channel = self._channels[host]
            return host, await call_unary(channel, method, request, pb.AgentAnswer, CALL_TIMEOUT_US)
        except CallError as error:
            log.debug("no answer", host=host, method=method, reason=str(error))
            return host, None

    async def cancel(self) -> None:
        """Cancel all pending calls."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
