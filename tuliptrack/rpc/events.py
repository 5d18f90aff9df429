"""Events of a gRPC connection: of its calls and of the connection itself."""

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
    """Server: the headers of a new call were received. `timeout` in microseconds, None if there is none."""

    stream: int
    method: str
    timeout: int | None
    metadata: Metadata


@dataclass(slots=True)
class CallHeaders:
    """Client: the leading headers of an answer were received.

    This occurs at most once in a call, and never if the answer consists of trailers only.
    """

    stream: int
    metadata: Metadata


@dataclass(slots=True)
class MessageReceived:
    """A complete message was received; `data` is decompressed."""

    stream: int
    data: bytes


@dataclass(slots=True)
class HalfClosed:
    """Server: the client will send no more messages in this call."""

    stream: int


@dataclass(slots=True)
class Cancelled:
    """Server: the call ended before its handler ended it, by a reset or an error of its client or with the
    connection. The handler can send nothing more.
    """

    stream: int
    reason: str


@dataclass(slots=True)
class CallEnded:
    """Client: the call ended. `reset`: the stream or connection broke before a status was received.
    `unprocessed`: the peer states that it has not processed the call.
    """

    stream: int
    status: Status
    metadata: Metadata = ()
    reset: bool = False
    unprocessed: bool = False


@dataclass(slots=True)
class Writable:
    """The bytes of a call that wait to be sent have fallen to `Limits.pending_low`, after `send` had returned
    False.
    """

    stream: int


@dataclass(slots=True)
class GoAway:
    """The peer accepts no new calls on this connection; calls up to stream `last_stream` continue."""

    last_stream: int
    error: int
    reason: str


@dataclass(slots=True)
class Pong:
    """The peer has answered a ping that was sent from here; `data` is the data of that ping."""

    data: bytes


@dataclass(slots=True)
class Broken:
    """The connection has failed: every open call was ended before this event."""

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
