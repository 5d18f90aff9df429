"""What a front and the core say to each other. A front turns its protocol's words into an `ClientRequest` and
carries an `ResponseWriter` out to its client; it decides nothing. The core knows no front.
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
    """A request that can't be taken; nothing was done for it."""

    def __init__(self, field: str, reason: str, is_unknown: bool = False) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason
        self.is_unknown = is_unknown
        """It names something that isn't served here, rather than being malformed."""


def _unknown() -> bool:
    return False


@dataclass(slots=True)
class ClientRequest:
    """A client's request, as every front puts it. Counts are tokens; 0 stands for 'not told'."""

    request_class: str
    prompt: str
    tenant: str = ""
    session: str = ""
    prefix: str = ""
    prompt_tokens: int = 0
    prefix_tokens: int = 0
    max_tokens: int = 0
    resume_index: int = 0
    """Tokens of the answer that the client has from a stream that broke."""
    resume_text: str = ""
    is_retry: bool = False
    deadline_us: int | None = None
    """When the client gives up the whole call, monotonic microseconds; None: it waits."""
    model: str = ""
    model_version: str = ""
    work_id: str = ""
    """The client's name for this piece of work, shared by its retries and resumes; empty: none."""
    connection: object = None
    """What stands for the client's connection; compared by identity."""
    first_token_deadline_us: int | None = None
    """When the client gives up unless the answer has begun, monotonic microseconds; None: as its class has
    it."""
    is_resumed: bool = False
    """It asks for the rest of a stream that broke, which its engine can tell from the request itself."""
    call_id: str = ""
    """The client's own name for this request, for the log; empty: none."""
    payload: object = None
    """The request in the client's own protocol, where engines get it unchanged; its front and its engines
    know it."""
    is_disconnected: Callable[[], bool] = _unknown
    """Whether the client's connection has ended, as far as the system knows, though `RequestHandle.gone` has
    not been called yet."""


class FinishReason(Enum):
    """Why an answer ended."""

    STOP = "stop"
    LENGTH = "length"


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one served stream."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class Failure(Enum):
    """How a request failed. None of these promises that it has not run."""

    DEADLINE = "deadline"
    """No first token, or no last one, by the client's deadline."""
    BROKEN = "broken"
    """A stream that had begun broke; it can be resumed from its next token."""
    MIGRATED = "handed back"
    """A stream that had begun is given back for the client to resume elsewhere."""
    LOST = "lost"
    """An attempt ended with no word on whether it had run."""
    STALLED = "stalled"
    """The client has left its answer unread for too long."""
    INVALID = "unusable"
    """An engine has looked at the request and can't make anything of it."""


class ResponseWriter(Protocol):
    """A front's side of one request. Exactly one of the last three is called, once, unless the client
    left.
    """

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        """The next token; `finish` and `usage` with the last. False asks to pause until
        `RequestHandle.writable`.
        """

    def served(self) -> None:
        """All was sent."""

    def rejected(self, reason: str, retry_after: int) -> None:
        """Not served, and trying again is harmless, after so many microseconds."""

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        """Not served whole; `next_index` is where a resumed stream would go on."""


class RawResponseWriter(ResponseWriter, Protocol):
    """That of a front whose clients speak the engines' own protocol."""

    def events(self, data: bytes) -> bool:
        """Whole events of the engine's stream, unchanged; as `token` in all else."""


class RequestHandle(Protocol):
    """The core's side of one request."""

    def disconnected(self, reason: str) -> None:
        """The client has left; nothing more is owed."""

    def writable(self) -> None:
        """The client has taken enough to be sent more."""


class ModelDirectory(Protocol):
    """What is served, for fronts that tell it."""

    def listed(self) -> list[Model]:
        """Every model and version that is known."""

    def serving(self, name: str = "") -> list[Model]:
        """Those (of a name) that have ready readers and writers."""

    def ready(self, name: str, version: str = "") -> bool:
        """Whether a request for it would find engines."""


class Core(Protocol):
    """What takes requests."""

    @property
    def models(self) -> ModelDirectory: ...

    def serving(self) -> bool:
        """Whether requests are taken: started, and not about to stop."""

    def overload(self) -> tuple[str, int]:
        """Why any request would be refused now, whoever sends it, and after how many microseconds to come
        back; an empty reason where it would be looked at.
        """

    def submit(self, ask: ClientRequest, answer: ResponseWriter) -> RequestHandle:
        """Take a request; AskError where it can't be one. The answer may begin before this returns."""
