"""Converts client requests into router requests, and reports which field makes a request invalid.

Values that the client left open are filled in: the token count of its prompt, the maximum length of its
answer, its deadline.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from tuliptrack import interface as io
from tuliptrack.decisions.stream_idle import StreamLimits
from tuliptrack.fronts.port import ClientRequest, InvalidRequestError

__all__ = ["CoreLimits", "RequestReader", "key"]

TOKEN_COUNT_FIELDS = {
    "prompt_tokens": "prompt_tokens",
    "prefix_tokens": "prefix_tokens",
    "max_tokens": "max_tokens",
    "resume_index": "resume.next_index",
}
"""The token counts of a `ClientRequest`, and the names by which clients know them."""

DEADLINE_OBJECTIVE_FACTOR = 2
"""Factor in the assumed deadline of a client that states none: the deadline of its class, plus this many
times the growth of the latency objective with the prompt length."""
MAX_QUOTED_CHARACTERS = 60
"""Maximum number of characters of the client's own text that an error quotes."""


def key(text: str) -> int:
    """Return a 64-bit key that is the same at every node; 0 for an empty text."""
    return (xxhash.xxh3_64_intdigest(text.encode()) or 1) if text else 0


@dataclass(frozen=True, slots=True)
class CoreLimits:
    """Size and time limits of a node, for all protocols."""

    max_tokens: int = 1_048_576
    """Maximum number of tokens of one prompt or answer."""
    bytes_per_token: float = 4.0
    """Bytes per token for the estimate of a prompt's tokens if the client does not state their number."""
    answer_lead_us: int = 50_000
    """Minimum time from the sending of an answer to the client's deadline."""
    streams: StreamLimits = field(default_factory=StreamLimits)


class RequestReader:
    """Converts client requests into router requests."""

    def __init__(self, settings: io.Settings, limits: CoreLimits) -> None:
        """Index the classes and tenants of the settings by name."""
        self._settings = settings
        self._limits = limits
        self._class_indices = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        self._tenant_indices = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def class_of(self, client_request: ClientRequest) -> io.RequestClass:
        """Return the class of a request that was read."""
        return self._settings.classes[self._class_indices[client_request.request_class]]

    def read(self, client_request: ClientRequest, now_us: int) -> io.Request:
        """Return the router request, with the id still 0, and fill in `client_request`.

        Raises:
            InvalidRequestError: a field is invalid.
        """
        class_index = self._class_index(client_request)
        tenant_index = self._tenant_index(client_request)
        if not client_request.prompt and client_request.payload is None:
            raise InvalidRequestError("prompt", "is required")
        self._check_token_counts(client_request)
        self._fill_in_token_counts(client_request)
        self._check_resume(client_request)
        resume_index = client_request.resume_index
        session = client_request.session or client_request.prompt
        return io.Request(
            request_id=0,
            class_index=class_index,
            time_left_us=self._time_left_us(client_request, now_us),
            prompt_tokens=float(client_request.prompt_tokens + resume_index),
            prefix_tokens=float(client_request.prefix_tokens),
            max_tokens=float(client_request.max_tokens - resume_index),
            session=key(f"{client_request.tenant}\0{session}"),
            prefix=key(client_request.prefix),
            tenant=tenant_index,
            is_retry=client_request.is_retry,
            is_resumed=client_request.is_resumed or resume_index > 0,
        )

    def answer_by_us(self, client_request: ClientRequest) -> int | None:
        """Return the latest time to send an answer that meets the client's deadline; None if it has none."""
        deadline_us = client_request.first_token_deadline_us
        if deadline_us is None:
            deadline_us = client_request.deadline_us
        return None if deadline_us is None else deadline_us - self._limits.answer_lead_us

    def _class_index(self, client_request: ClientRequest) -> int:
        name = client_request.request_class
        index = self._class_indices.get(name)
        if index is None:
            quoted = name[:MAX_QUOTED_CHARACTERS]
            known = sorted(self._class_indices)
            raise InvalidRequestError("request_class", f"{quoted!r} is not among {known}")
        return index

    def _tenant_index(self, client_request: ClientRequest) -> int:
        name = client_request.tenant
        index = self._tenant_indices.get(name)
        if index is None and (self._tenant_indices or name):
            raise InvalidRequestError("tenant", f"{name[:MAX_QUOTED_CHARACTERS]!r} is not known")
        return index or 0

    def _check_token_counts(self, client_request: ClientRequest) -> None:
        max_tokens = self._limits.max_tokens
        for name, client_name in TOKEN_COUNT_FIELDS.items():
            count = getattr(client_request, name)
            if not 0 <= count <= max_tokens:
                raise InvalidRequestError(client_name, f"must be from 0 to {max_tokens}, is {count}")

    def _fill_in_token_counts(self, client_request: ClientRequest) -> None:
        limits = self._limits
        if not client_request.prompt_tokens:
            estimate = round(len(client_request.prompt.encode()) / limits.bytes_per_token)
            client_request.prompt_tokens = max(1, min(estimate, limits.max_tokens))
        prefix_tokens, prompt_tokens = client_request.prefix_tokens, client_request.prompt_tokens
        if prefix_tokens > prompt_tokens:
            reason = f"{prefix_tokens} are more than the prompt's {prompt_tokens}"
            raise InvalidRequestError("prefix_tokens", reason)
        client_request.max_tokens = client_request.max_tokens or limits.max_tokens

    def _check_resume(self, client_request: ClientRequest) -> None:
        resume_index, max_tokens = client_request.resume_index, client_request.max_tokens
        if resume_index and not self._settings.may_resume:
            raise InvalidRequestError("resume", "streams can't be resumed here")
        if resume_index >= max_tokens:
            raise InvalidRequestError("resume.next_index", f"{resume_index} is past max_tokens {max_tokens}")

    def _time_left_us(self, client_request: ClientRequest, now_us: int) -> int:
        """Return the time left for a first token, by the client's deadline, or else by class and prompt."""
        answer_by_us = self.answer_by_us(client_request)
        if answer_by_us is not None:
            return max(answer_by_us - now_us, 1)
        request_class = self.class_of(client_request)
        objective_us = request_class.objective_us_per_1000_tokens * client_request.prompt_tokens / 1000
        return request_class.deadline_us + int(DEADLINE_OBJECTIVE_FACTOR * objective_us)
