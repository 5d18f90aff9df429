"""The interface between a front (one client protocol) and the core of the node.

A front parses its protocol into a `ClientRequest`, submits it to the `Core`, and implements `ResponseWriter`,
by which the core writes the response. For each request the core returns a `RequestHandle`, by which the front
reports what its client does. A front makes no decisions, and the core knows no front.

Everything runs on one event loop and no method blocks. Times are microseconds: deadlines on the monotonic
clock of `rpc/clock.py`, waits as durations. Counts are tokens.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from tuliptrack.decisions.model_catalog import Model

__all__ = [
    "ClientRequest",
    "Core",
    "Failure",
    "FinishReason",
    "InvalidRequestError",
    "ModelDirectory",
    "RawResponseWriter",
    "RequestHandle",
    "ResponseWriter",
    "Usage",
]


class InvalidRequestError(Exception):
    """A request that can't be accepted; nothing was done for it.

    Attributes:
        field: The invalid field of the client's request.
        reason: What is wrong with it, for the client.
        is_unknown: The field names something that isn't served here, rather than being malformed.
    """

    def __init__(self, field: str, reason: str, is_unknown: bool = False) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason
        self.is_unknown = is_unknown


def _never_disconnected() -> bool:
    """Default of `ClientRequest.is_disconnected`, for fronts that have no means to look."""
    return False


@dataclass(slots=True)
class ClientRequest:
    """A client's request, in the same form from every front. A count of 0 tokens means not given."""

    request_class: str
    """Name of the request class, which has the latency objectives and the priority."""
    prompt: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    """Name of the prefix that the prompt shares with other requests; empty: none."""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_tokens: int = 0
    resume_index: int = 0
    """Output tokens that the client has from a stream that broke."""
    resume_text: str = ""
    """The text of those tokens."""
    is_retry: bool = False
    """The client says that it has sent this request before."""
    deadline_us: int | None = None
    """When the client gives up the whole call, monotonic microseconds; None: never."""
    model: str = ""
    model_version: str = ""
    work_id: str = ""
    """The client's name for this piece of work, shared by its retries and resumes; empty: none."""
    connection: object = None
    """Identifies the client's connection, for its concurrency limit; compared by identity."""
    first_token_deadline_us: int | None = None
    """When the client gives up unless it has the first token, monotonic microseconds; None: the default of
    the request class."""
    is_resumed: bool = False
    """It asks for the rest of a stream that broke, which its engine can see from the request itself."""
    call_id: str = ""
    """The client's own name for this request, for the log; empty: none."""
    payload: object = None
    """The request in the client's own protocol, where engines get it unchanged. Only the front and the engine
    client know its type."""
    is_disconnected: Callable[[], bool] = _never_disconnected
    """Whether the operating system knows that the client's connection has ended, though
    `RequestHandle.disconnected` has not been called yet."""


class FinishReason(Enum):
    """Why a complete stream ended."""

    STOP = "stop"
    """The model has finished."""
    LENGTH = "length"
    """`ClientRequest.max_tokens` was reached."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one served stream: prompt, prompt tokens found in a cache, and output."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Failure(Enum):
    """How a request failed. None of these guarantees that the request has had no effect.

    The values are published (`docs/operate/grpc.md`): clients get them as the kind of the failure.
    """

    DEADLINE = "DEADLINE"
    """The first or the last token did not come by the client's deadline."""
    BROKEN = "BROKEN"
    """A stream that had begun broke; it can be resumed from its next token."""
    MIGRATED = "HANDED_BACK"
    """A stream that had begun was ended so that the client resumes it at another node."""
    LOST = "LOST"
    """An attempt ended without evidence of whether it had run."""
    STALLED = "STALLED"
    """The client did not read its response for too long."""
    INVALID = "UNUSABLE"
    """An engine answered that the request is invalid."""


class ResponseWriter(Protocol):
    """A front's side of one request: writes the response to the client.

    `token` is called for each output token. Then exactly one of `served`, `rejected` and `failed` is called,
    once; none of them after `RequestHandle.disconnected`. A call may come before `Core.submit` has returned.
    """

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        """Write the next output token.

        Args:
            index: Its index in the output, from 0; a resumed stream begins at `ClientRequest.resume_index`.
            text: Its text.
            finish: Why the stream ends, with the last token; None before.
            usage: The token counts of the request, with the last token; None before.

        Returns:
            False to pause the engine's stream until `RequestHandle.writable` is called.
        """

    def served(self) -> None:
        """End the response: all tokens were written."""

    def rejected(self, reason: str, retry_after_us: int) -> None:
        """Answer that the request was not run, so that a retry is harmless, after `retry_after_us`."""

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        """Answer that the request failed; a resumed stream would go on from token `next_index`."""


class RawResponseWriter(ResponseWriter, Protocol):
    """The response writer of a front whose clients speak the engines' own protocol."""

    def events(self, data: bytes) -> bool:
        """Write complete events of the engine's stream, unchanged; returns as `token` does."""


class RequestHandle(Protocol):
    """The core's side of one request: what the front reports of its client."""

    def disconnected(self, reason: str) -> None:
        """Record that the client has disconnected: the request is cancelled and nothing more is written."""

    def writable(self) -> None:
        """Record that the client reads again, after `ResponseWriter.token` has returned False."""


class ModelDirectory(Protocol):
    """The models that are served, for fronts whose protocol can list them."""

    def listed(self) -> list[Model]:
        """Return every known model and version."""

    def serving(self, name: str = "") -> list[Model]:
        """Return the models (of this name, if given) that have ready prefill and decode endpoints."""

    def ready(self, name: str, version: str = "") -> bool:
        """Return whether a request for the model would find endpoints."""


class Core(Protocol):
    """The core of the node, as fronts use it."""

    @property
    def models(self) -> ModelDirectory:
        """The models that are served."""

    def serving(self) -> bool:
        """Return whether requests are accepted: the node has started and is not draining."""

    def overload(self) -> tuple[str, int]:
        """Return why any request would be rejected now, and after how many microseconds to retry.

        Asked before a request is parsed. The reason is empty where a request would be considered.
        """

    def submit(self, request: ClientRequest, response: ResponseWriter) -> RequestHandle:
        """Start to serve a request; its response may begin before this returns.

        Raises:
            InvalidRequestError: The request can't be accepted; nothing is written to `response`.
        """
