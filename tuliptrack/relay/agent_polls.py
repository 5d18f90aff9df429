"""Polls one discovery agent for its endpoint list by consecutive long polls, which overlap if one is late.

The platform expects a node to apply an endpoint list within 6 s once the agent has the list and is reachable,
whichever polls failed in between. So the node does not rely on any single poll. The agent answers a long poll
within `LONG_POLL_GRACE_SHARE` of the drain grace, with an empty delta if nothing changes. If there is no
answer after a further `LATE_GRACE_SHARE`, the next poll starts in parallel on another connection, and one
more after each such time-out. The earlier polls continue: a connection may be established slowly, an answer
may arrive late or in small pieces, or this process may be late to read it. With `MAX_POLLS_PER_AGENT` open,
the poll that has received nothing for longest is cancelled, but not one of the `PATIENT_POLLS` oldest; no
poll lasts longer than `MAX_POLL_S`, including its connection.

The time that a change takes to arrive is bounded once the agent is reachable, which means that the agent
answers a poll in full within `MAX_POLL_S`. In the worst case all `MAX_POLLS_PER_AGENT` polls are open, each
still receiving an answer older than the change, and end at `MAX_POLL_S`; then follow a backoff and a poll
that takes `MAX_POLL_S` itself. The bound is 2 x 2.5 s + 1.5 x `BACKOFF_GRACE_SHARE` of 2 s (the longest
grace), which is 5.3 s and leaves 0.7 s for delays of this process. If answers come at once, the change takes
at most one time-out and one backoff: 0.65 of the drain grace.

A poll that fails at once (connection rejected or reset, half a body, 503, not JSON) is followed by one
backoff. So is an answer that is rejected, after which the full list is requested. Polls start at least a
backoff apart, however quickly they are answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog

from tuliptrack.relay.endpoint_entries import InvalidEndpointListError
from tuliptrack.rpc.http1_client import ClientOptions
from tuliptrack.rpc.http1_exchange import Exchange, ExchangeOutcome
from tuliptrack.rpc.http1_pool import ConnectionBudget, Pool
from tuliptrack.rpc.json_text import InvalidJsonError, parse_json_pruned

__all__ = ["MAX_POLLS_PER_AGENT", "AgentPolls", "FaultHandler", "ListHandler"]

log = structlog.get_logger("discovery")
LONG_POLL_GRACE_SHARE = 0.25
"""Share of the drain grace that the agent may wait for a change before it answers."""
LATE_GRACE_SHARE = 0.25
"""Further share of the drain grace after which a poll without an answer is late."""
BACKOFF_GRACE_SHARE = 0.1
"""Minimum share of the drain grace between the starts of two polls. After a failure it is the pause
before the next poll, jittered by 50 % either way."""
MAX_POLLS_PER_AGENT = 8
"""Maximum number of polls open at once, each on a connection of its own."""
PATIENT_POLLS = MAX_POLLS_PER_AGENT // 2
"""Number of the oldest open polls that are not replaced: an agent may take up to `MAX_POLL_S` to answer."""
MAX_POLL_S = 2.5
"""Maximum duration of a poll: two polls and a backoff fit into the 6 s within which the platform expects a
list to be applied."""
MAX_OLDER_ANSWERS = 3
"""Number of consecutive answers older than the known list after which the agent must have restarted."""
MAX_BODY_BYTES = 16_777_216
"""Maximum size of the body of one answer."""
MAX_REASON_CHARACTERS = 200
_HTTP_OK = 200
_PATH = "/api/targets"

ListHandler = Callable[[Any, bool], bool]
"""Handles the JSON of an answer; the second argument says whether it is the first answer of an agent, or of a
restarted agent. Returns whether the answer was applied: False if it is older than the known list. Raises
`InvalidEndpointListError` if the answer cannot be used."""

FaultHandler = Callable[[Exception], None]
"""Counts and logs an error that can only be caused by a bug in this program."""


@dataclass(slots=True, eq=False)
class _Poll:
    """One poll. Times are on the event loop's clock, in seconds."""

    exchange: Exchange
    started_at: float
    last_received_at: float
    body: bytearray = field(default_factory=bytearray)
    outcome: ExchangeOutcome = ExchangeOutcome.CANCELLED
    failure: str = ""

    def message(self) -> Any:
        """Return the answer's JSON.

        Raises:
            OSError: The poll failed, or was answered by another status than 200.
            InvalidJsonError: The answer is not JSON.
        """
        if self.outcome is not ExchangeOutcome.ANSWER:
            raise OSError(self.failure)
        if self.exchange.status != _HTTP_OK:
            raise OSError(f"answered {self.exchange.status}")
        return parse_json_pruned(bytes(self.body))


class AgentPolls:
    """Polls one agent, from the creation of this object until `stop` or `close`."""

    def __init__(
        self,
        address: str,
        drain_grace_s: float,
        known_revision: Callable[[], int],
        handle: ListHandler,
        record_fault: FaultHandler,
    ) -> None:
        self.address = address
        self._drain_grace_s = drain_grace_s
        self._known_revision = known_revision
        self._handle = handle
        self._record_fault = record_fault
        self._poll_timeout_s = (LONG_POLL_GRACE_SHARE + LATE_GRACE_SHARE) * drain_grace_s
        """Time after which a poll is late, and the next one starts in parallel."""
        self._needs_full_list = True
        """Whether the next poll requests the full list."""
        self._is_first_answer = True
        """Whether the next answer is handled as the first one of its agent."""
        self._is_reachable = True
        """False from a failed or late poll until the next usable answer; each change is logged once."""
        self._older_answers = 0
        """Number of consecutive answers that were older than the known list."""
        self._open_polls: list[_Poll] = []
        self._ended_polls: deque[_Poll] = deque()
        """Polls that ended without being cancelled here, and have not been handled yet."""
        self._has_ended_poll = asyncio.Event()
        self._next_poll_at = 0.0
        """The time at which the next poll is due, on the event loop's clock, in seconds."""
        self._is_stopped = False
        self._loop = asyncio.get_running_loop()
        self._task = self._loop.create_task(self._run())

    def request_full_list(self) -> None:
        """Make the next poll request the full list."""
        self._needs_full_list = True

    def stop(self) -> None:
        """Stop polling; further answers are not handled."""
        self._is_stopped = True
        self._task.cancel()

    async def close(self) -> None:
        """Stop polling and close every connection."""
        self.stop()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        pool = Pool(
            self.address,
            ClientOptions(connect_timeout=int(MAX_POLL_S * 1e6), rest=0, stated_bytes=MAX_BODY_BYTES),
            ConnectionBudget(MAX_POLLS_PER_AGENT),
        )
        self._next_poll_at = self._loop.time()
        try:
            while not self._is_stopped:
                self._cancel_overlong_polls()
                if self._loop.time() >= self._next_poll_at:
                    self._start_next_poll(pool)
                if await self._wait_for_ended_poll():
                    pause_s = self._handle_ended(self._ended_polls.popleft())
                    self._next_poll_at = self._loop.time() + pause_s
        finally:
            self._open_polls.clear()
            await pool.close()

    async def _wait_for_ended_poll(self) -> bool:
        """Wait until a poll has ended; return False if the next poll is due first."""
        if self._ended_polls:
            return True
        self._has_ended_poll.clear()
        try:
            async with asyncio.timeout_at(self._next_poll_at):
                await self._has_ended_poll.wait()
        except TimeoutError:
            if self._open_polls:
                self._log_failure("no answer in time")
            return False
        return True

    def _start_next_poll(self, pool: Pool) -> None:
        self._cancel_silent_poll_at_limit()
        if len(self._open_polls) < MAX_POLLS_PER_AGENT:
            self._start_poll(pool)
        self._next_poll_at = self._loop.time() + self._poll_timeout_s

    def _start_poll(self, pool: Pool) -> None:
        now_s = self._loop.time()
        poll = _Poll(Exchange("GET", self._target(), [("host", self.address)]), now_s, now_s)

        def record_data(part: bytes) -> None:
            poll.body += part
            poll.last_received_at = self._loop.time()
            if len(poll.body) > MAX_BODY_BYTES:
                record_end(ExchangeOutcome.RESET, f"an answer of more than {MAX_BODY_BYTES} bytes")
                poll.exchange.cancel()

        def record_end(outcome: ExchangeOutcome, failure: str) -> None:
            if poll in self._open_polls:
                self._open_polls.remove(poll)
                poll.outcome, poll.failure = outcome, failure
                self._ended_polls.append(poll)
                self._has_ended_poll.set()

        poll.exchange.on_data, poll.exchange.on_end = record_data, record_end
        self._open_polls.append(poll)
        pool.send(poll.exchange)

    def _target(self) -> str:
        if self._needs_full_list:
            return _PATH
        wait_ms = int(LONG_POLL_GRACE_SHARE * self._drain_grace_s * 1e3)
        return f"{_PATH}?since={self._known_revision()}&timeout_ms={wait_ms}"

    def _cancel(self, poll: _Poll) -> None:
        # The poll is removed first, so that `record_end` ignores its end.
        self._open_polls.remove(poll)
        poll.exchange.cancel()

    def _cancel_overlong_polls(self) -> None:
        now_s = self._loop.time()
        for poll in [poll for poll in self._open_polls if now_s - poll.started_at >= MAX_POLL_S]:
            self._cancel(poll)

    def _cancel_silent_poll_at_limit(self) -> None:
        """If the maximum of polls is open, cancel the younger one that has received nothing for longest."""
        # While the agent's machine is cut off from the network, no open poll is answered or fails. A new poll
        # could start only once one of them reaches `MAX_POLL_S`, and the list would stay old after the agent
        # is back. A poll that is late and silent is replaced; one that still receives data is kept, since it
        # may deliver the list. The oldest are kept too: with a short grace the others live less long than a
        # slow agent takes to answer, and none would ever be answered.
        if len(self._open_polls) < MAX_POLLS_PER_AGENT:
            return
        silent = min(self._open_polls[PATIENT_POLLS:], key=lambda poll: poll.last_received_at)
        if self._loop.time() - silent.last_received_at >= self._poll_timeout_s:
            self._cancel(silent)

    def _handle_ended(self, poll: _Poll) -> float:
        """Handle a poll that has ended; return the pause before the next one, in seconds."""
        try:
            is_applied = self._handle(poll.message(), self._is_first_answer)
        except OSError as error:
            return self._handle_failure(error)
        except (InvalidJsonError, InvalidEndpointListError) as error:
            # The rejected answer may have been a delta, whose changes are missing now.
            self._needs_full_list = True
            return self._handle_failure(error)
        except Exception as error:
            # An unforeseen answer may raise any error in the handler. If the error ended the polling task,
            # the list would never change again. So the error is counted, and polling continues.
            self._needs_full_list = True
            self._record_fault(error)
            return self._handle_failure(error)
        self._record_answer(is_applied)
        for other in [other for other in self._open_polls if not other.body]:
            self._cancel(other)
        next_poll_at = poll.started_at + BACKOFF_GRACE_SHARE * self._drain_grace_s
        return max(next_poll_at - self._loop.time(), 0.0)

    def _handle_failure(self, error: Exception) -> float:
        """Log why a poll failed; return the pause before the next one, in seconds."""
        self._log_failure(str(error) or type(error).__name__)
        return BACKOFF_GRACE_SHARE * self._drain_grace_s * (0.5 + random.random())

    def _record_answer(self, is_applied: bool) -> None:
        # A restarted agent counts its revisions from the start, so each of its lists looks older than the
        # known one, and the list would never change again. A single older answer may have been overtaken by a
        # later poll; several in a row cannot, so the next answer is handled as the first one of its agent.
        self._older_answers = 0 if is_applied else self._older_answers + 1
        self._is_first_answer = self._older_answers >= MAX_OLDER_ANSWERS
        self._needs_full_list = self._is_first_answer
        if not self._is_reachable:
            self._is_reachable = True
            log.info("endpoint list polls succeed again", address=self.address)

    def _log_failure(self, reason: str) -> None:
        if self._is_reachable:
            self._is_reachable = False
            log.warning(
                "endpoint list polls fail", address=self.address, reason=reason[:MAX_REASON_CHARACTERS]
            )
