"""Follows one discovery agent, and switches to another one when the settings name it.

A new agent is polled in parallel with the followed one, and replaces it with its first full list. So a new
agent that is down or silent does no harm. Its revisions are independent of the former agent's and may start
lower: see `EndpointDirectory.apply`. While no agent answers, the known list stays in force: an endpoint keeps
its state until an agent states another one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tuliptrack.relay.agent_polls import MAX_POLLS_PER_AGENT, AgentPolls, FaultHandler, ListHandler

__all__ = ["MAX_CONNECTIONS", "Discovery"]

MAX_CONNECTIONS = 2 * MAX_POLLS_PER_AGENT
"""Maximum number of connections to the followed agent and to the new one together."""
MIN_DRAIN_GRACE_S = 0.1
"""Value that replaces a shorter drain grace: with this value there are already twenty polls a second."""
MAX_DRAIN_GRACE_S = 2.0
"""Value that replaces a longer drain grace: polls follow each other within half of the drain grace."""


class Discovery:
    """Polls the agents of the endpoint list; `start`, then `close`."""

    def __init__(
        self,
        address: str,
        known_revision: Callable[[], int],
        handle: ListHandler,
        drain_grace_us: int,
        record_fault: FaultHandler,
    ) -> None:
        """Create it without polling.

        Args:
            address: The agent's host:port.
            known_revision: Returns the revision of the known list; changes since that revision are requested.
            handle: Called with each answer.
            drain_grace_us: Time after which a draining endpoint must not get further requests.
            record_fault: Called with each error of `handle` other than `InvalidEndpointListError`.
        """
        self.address = address
        """Address of the agent to follow, whether or not it has answered."""
        self._known_revision = known_revision
        self._handle = handle
        self._record_fault = record_fault
        self._drain_grace_s = min(max(drain_grace_us / 1e6, MIN_DRAIN_GRACE_S), MAX_DRAIN_GRACE_S)
        self._followed: AgentPolls | None = None
        self._candidate: AgentPolls | None = None
        """Polls of a new agent that has not sent a full list yet."""
        self._closing: set[asyncio.Task[None]] = set()
        """Tasks that close the polls of former agents."""

    def start(self) -> None:
        """Start to poll the agent."""
        self._followed = self._poll(self.address)

    def subscribe(self, on: bool) -> None:
        """Do nothing: the list is polled continuously."""

    def fetch(self) -> None:
        """Request the full list with the next poll."""
        if self._followed:
            self._followed.request_full_list()

    def switch_to(self, address: str) -> None:
        """Poll another agent, which replaces the followed one with its first full list."""
        if address == self.address:
            return
        self.address = address
        if self._candidate:
            self._leave(self._candidate)
            self._candidate = None
        if self._followed and self._followed.address != address:
            self._candidate = self._poll(address)

    async def close(self) -> None:
        """Stop all polls and close their connections."""
        agents = [polls for polls in (self._followed, self._candidate) if polls]
        self._followed = self._candidate = None
        for polls in agents:
            await polls.close()
        if self._closing:
            await asyncio.wait(self._closing)

    def _poll(self, address: str) -> AgentPolls:
        def handle(message: Any, is_first_answer: bool) -> bool:
            is_applied = self._handle(message, is_first_answer)
            if polls is self._candidate and self._followed:
                self._leave(self._followed)
                self._followed, self._candidate = polls, None
            return is_applied

        polls = AgentPolls(address, self._drain_grace_s, self._known_revision, handle, self._record_fault)
        return polls

    def _leave(self, polls: AgentPolls) -> None:
        polls.stop()
        task = asyncio.get_running_loop().create_task(polls.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
