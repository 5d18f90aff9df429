"""What a gRPC connection tells of: calls that begin, go on and end, and the connection itself."""

from __future__ import annotations

from dataclasses import dataclass

from tuliptrack.rpc.status import Metadata, Status

__all__ = [
    "Broken",
    "CallEnded",
    "CallHeaders",
    "CallStarted",
    "Cancelled",
    "Event",
    "GoAway",
    "HalfClosed",
    "MessageReceived",
    "Pong",
    "Writable",
]


@dataclass(slots=True)
class CallStarted:
    """Server: the headers of a new call have come. `timeout` in microseconds, None where none was told."""

    stream: int
    method: str
    timeout: int | None
    metadata: Metadata


@dataclass(slots=True)
class CallHeaders:
    """Client: the answer's leading headers have come; fires at most once a call, never for trailers-only."""

    stream: int
    metadata: Metadata


@dataclass(slots=True)
class MessageReceived:
    """A whole message has come, decompressed."""

    stream: int
    data: bytes


@dataclass(slots=True)
class HalfClosed:
    """Server: the client will send no more messages in this call."""

    stream: int


@dataclass(slots=True)
class Cancelled:
    """Server: the call is over without an answer, by the client's reset or its fault. Nothing can be sent."""

    stream: int
    reason: str


@dataclass(slots=True)
class CallEnded:
    """Client: the call is over. `reset` says that no status came but the stream or connection broke;
    `unprocessed` that the peer vouches it never looked at the call.
    """

    stream: int
    status: Status
    metadata: Metadata = ()
    reset: bool = False
    unprocessed: bool = False


@dataclass(slots=True)
class Writable:
    """What waits to be sent in a call has fallen below `Limits.pending_low` after `send` said stop."""

    stream: int


@dataclass(slots=True)
class GoAway:
    """The peer takes no new calls on this connection; those up to `last_stream` go on."""

    last_stream: int
    error: int
    reason: str


@dataclass(slots=True)
class Pong:
    """The answer to a `ping` of ours."""

    data: bytes


@dataclass(slots=True)
class Broken:
    """The connection can't go on: every open call has been ended before this event."""

    reason: str


Event = (
    CallStarted
    | CallHeaders
    | MessageReceived
    | HalfClosed
    | Cancelled
    | CallEnded
    | Writable
    | GoAway
    | Pong
    | Broken
)
