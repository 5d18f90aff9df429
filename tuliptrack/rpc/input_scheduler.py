"""Shares the processing of received input fairly between the connections of one event loop.

A peer decides into how many parts it cuts what it sends: a body of one megabyte may come as a million chunks,
and all of them may be readable at once, on many connections. Without a limit they would be processed within
one iteration of the loop, and meanwhile no other connection is read and no timer fires.

So the work of one iteration is limited, over all connections together (`WORK_PER_ITERATION`). A connection
processes its input at once if the iteration has work left, but at most `QUANTUM` of it. With more, it waits in
a queue of connections that continue; these get the rest of the work by turns. Input that has just arrived is
processed before them, so a connection with little input does not wait for those with much, and up to half of
each iteration is reserved for it. A connection that waits must not be read from, so its buffer stays bounded.

Work is counted, not measured: a part of a message (head, chunk, frame) is one unit, and what it causes is
added by the connection: `REQUEST_WORK` for a request, and some for the size of what is parsed further.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import ClassVar, Protocol
from weakref import WeakKeyDictionary

from tuliptrack.rpc.clock import now_us

__all__ = [
    "EVENT_BYTES_PER_UNIT",
    "FIELDS_PER_UNIT",
    "JSON_BYTES_PER_UNIT",
    "QUANTUM",
    "READ_BYTES",
    "REQUEST_WORK",
    "WORK_PER_ITERATION",
    "InputScheduler",
    "Receiver",
]

WORK_PER_ITERATION = 256
"""Units of work that one iteration of the loop may begin: a few milliseconds."""
QUANTUM = 32
"""Units of work that one connection may do at a time."""
REQUEST_WORK = 8
"""Units of work that a request costs beside those of its parts: a quantum holds four requests."""

FIELDS_PER_UNIT = 8
"""Header fields that cost one more unit of work."""
JSON_BYTES_PER_UNIT = 4_096
"""Bytes of a request's body that cost one more unit of work."""
EVENT_BYTES_PER_UNIT = 256
"""Bytes of an answer that cost one more unit of work: they may hold an event every few bytes."""
READ_BYTES = 32_768
"""Size of one read from a socket, and so of the input that a waiting connection buffers."""


class Receiver(Protocol):
    """A connection that processes input when the scheduler says so."""

    def process_input(self, quantum: int) -> int:
        """Process buffered input worth about `quantum` units of work at most; return the work done.

        The last step may exceed the quantum by its own work.
        """

    def has_input(self) -> bool:
        """Whether buffered input is left that can be processed now."""

    def abort(self) -> None:
        """Close the connection immediately, as processing its input has raised an error."""


class PollTimes(Protocol):
    """What is known of when input has arrived; see `polled_loop.py`."""

    earliest_arrival_us: int


class InputScheduler:
    """Decides which connection of an event loop processes its input, and how much of it.

    Bound: one place in a queue for each connection.
    """

    _by_loop: ClassVar[WeakKeyDictionary[asyncio.AbstractEventLoop, InputScheduler]] = WeakKeyDictionary()

    def __init__(self) -> None:
        """Create a scheduler; connections get that of their loop from `of`."""
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        """What was read last, from whichever connection of the loop, which copies it at once."""
        self.poll_times: PollTimes | None = None
        """The times at which the loop looks for input, if it keeps them."""
        self._arrived: OrderedDict[Receiver, None] = OrderedDict()
        """Connections whose input arrived when the iteration had no work left."""
        self._continuing: OrderedDict[Receiver, None] = OrderedDict()
        """Connections that have used up their quantum and have more input."""
        self._work_done = 0
        """Work done since the start of this iteration, or of an earlier one."""
        self._is_reset_due = False
        """Whether `_begin_iteration` is called in the next iteration."""

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> InputScheduler:
        """Return the only scheduler of a loop: what it limits is an iteration of that loop."""
        scheduler = cls._by_loop.get(loop)
        if scheduler is None:
            scheduler = cls._by_loop[loop] = cls()
        return scheduler

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which bytes that are read now can have arrived, if they were awaited."""
        return self.poll_times.earliest_arrival_us if self.poll_times else now_us()

    def process(self, receiver: Receiver) -> None:
        """Let a connection process its input: now if this iteration has work left, else in its turn."""
        if receiver in self._continuing or receiver in self._arrived:
            return
        if self._work_done < WORK_PER_ITERATION:
            self._run(receiver)
        else:
            self._arrived[receiver] = None
        self._reset_soon()

    def remove(self, receiver: Receiver) -> None:
        """Forget a connection that has ended."""
        self._arrived.pop(receiver, None)
        self._continuing.pop(receiver, None)

    def _run(self, receiver: Receiver) -> None:
        self._work_done += receiver.process_input(QUANTUM)
        if receiver.has_input():
            self._continuing[receiver] = None

    def _reset_soon(self) -> None:
        # A reset costs a callback. Without one the work of several iterations counts as that of one, which is
        # less than is allowed, so that a reset may wait until there is a fair amount of it.
        is_needed = self._arrived or self._continuing or self._work_done >= WORK_PER_ITERATION // 2
        if is_needed and not self._is_reset_due:
            self._is_reset_due = True
            asyncio.get_running_loop().call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        """Serve the connections that wait; runs before those whose input arrives in this iteration."""
        self._is_reset_due = False
        self._work_done = 0
        self._serve(self._arrived, WORK_PER_ITERATION)
        # Those that continue get one turn at least, however much else arrives, so that none waits forever.
        self._serve(self._continuing, max(WORK_PER_ITERATION // 2, self._work_done + 1))
        self._reset_soon()

    def _serve(self, waiting: OrderedDict[Receiver, None], limit: int) -> None:
        while waiting and self._work_done < limit:
            receiver, _ = waiting.popitem(last=False)
            try:
                self._run(receiver)
            except Exception as error:
                # The others must still get their turns. The rest is what asyncio does with an error of a
                # connection that processes its input at once.
                context = {"message": "received input can't be processed", "exception": error}
                asyncio.get_running_loop().call_exception_handler(context)
                receiver.abort()
